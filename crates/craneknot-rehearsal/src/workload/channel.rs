//! The channel of a coordinator: messages are sent one after the other, at a rate measured in lines.

use std::collections::VecDeque;
use std::time::Duration;

/// A change that a message makes at a proxy.
#[derive(Clone, Debug)]
pub(super) enum Update {
    /// A whole table for some classes, with the withdrawals and levels that apply to all tables.
    Table { table: u16, classes: Vec<usize>, content: TableContent, withdrawn: Vec<usize>, levels: Levels },
    /// One line of a table.
    Line { table: u16, server: usize, weight: f64, withdrawn: bool },
    /// Removes all lines and levels of a table.
    Clear { table: u16 },
    /// Withdraws a server or restores it.
    Withdrawn { server: usize, withdrawn: bool },
    /// A level of one table, or of all tables.
    Level { table: Option<u16>, classes: Vec<usize>, level: Level },
    /// Levels for all tables, which are sent with every message.
    LevelsForAll { levels: Levels },
    /// Requests an acknowledgement.
    Mark { mark: u16 },
}

impl Update {
    /// Cost of the update, in lines.
    pub fn lines(&self) -> f64 {
        match self {
            Update::Table { content, withdrawn, levels, .. } => {
                let withdrawn = withdrawn.iter().filter(|server| content.contains_server(**server)).count();
                let levels = content.levels.iter().chain(levels).flatten().count();
                (1 + content.lines.len() + levels + withdrawn) as f64
            }
            Update::LevelsForAll { .. } => 0.0,
            _ => 1.0,
        }
    }
}

/// How much of a class is admitted, and its retry mode.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Level {
    pub level: f64,
    pub retry: u8,
}

/// Levels by class.
pub(super) type Levels = Vec<Option<Level>>;

/// Lines and levels of a table.
#[derive(Clone, Debug, Default)]
pub(super) struct TableContent {
    /// Servers and weights, sorted by server.
    pub lines: Vec<(usize, f64)>,
    pub levels: Levels,
}

impl TableContent {
    pub fn set_line(&mut self, server: usize, weight: f64) {
        match self.lines.binary_search_by_key(&server, |line| line.0) {
            Ok(index) if weight > 0.0 => self.lines[index].1 = weight,
            Ok(index) => drop(self.lines.remove(index)),
            Err(index) if weight > 0.0 => self.lines.insert(index, (server, weight)),
            Err(_) => {}
        }
    }

    pub fn set_level(&mut self, class: usize, level: Level) {
        if self.levels.len() <= class {
            self.levels.resize(class + 1, None);
        }
        self.levels[class] = Some(level);
    }

    pub fn clear(&mut self) {
        self.lines.clear();
        self.levels.clear();
    }

    pub fn contains_server(&self, server: usize) -> bool {
        self.lines.binary_search_by_key(&server, |line| line.0).is_ok()
    }
}

/// The updates of one batch of orders for one proxy.
#[derive(Clone, Debug)]
pub(super) struct Message {
    /// Number of the message, unique in the run.
    pub number: u64,
    pub coordinator: usize,
    pub proxy: u16,
    /// The stream on which it is sent.
    pub stream: u64,
    pub ordered: Duration,
    /// Cost in lines, including the overhead per message.
    pub lines: f64,
    pub updates: Vec<Update>,
}

impl Message {
    pub fn marks(&self) -> impl Iterator<Item = u16> + '_ {
        self.updates.iter().filter_map(|update| match update {
            Update::Mark { mark } => Some(*mark),
            _ => None,
        })
    }
}

/// Messages queued for sending, in order.
#[derive(Default)]
pub(super) struct Channel {
    waiting: VecDeque<Message>,
    waiting_lines: f64,
    /// Incremented whenever a scheduled departure becomes invalid.
    pub epoch: u64,
    pub longest_queue: f64,
}

impl Channel {
    /// Adds a message and returns whether it is the only one in the queue.
    pub fn push(&mut self, message: Message) -> bool {
        self.waiting_lines += message.lines;
        self.longest_queue = self.longest_queue.max(self.waiting_lines);
        self.waiting.push_back(message);
        self.waiting.len() == 1
    }

    /// Cost in lines of the next message.
    pub fn next_lines(&self) -> Option<f64> {
        self.waiting.front().map(|message| message.lines)
    }

    /// Removes and returns the next message.
    pub fn pop(&mut self) -> Option<Message> {
        let message = self.waiting.pop_front()?;
        self.waiting_lines = if self.waiting.is_empty() { 0.0 } else { self.waiting_lines - message.lines };
        Some(message)
    }

    /// Drops the messages of a stream that has ended; also returns whether the message being sent was one of
    /// them.
    pub fn drop_stream(&mut self, stream: u64) -> (bool, Vec<Message>) {
        let leaving = self.waiting.front().is_some_and(|message| message.stream == stream);
        let (dropped, kept): (VecDeque<_>, VecDeque<_>) =
            self.waiting.drain(..).partition(|message| message.stream == stream);
        self.waiting = kept;
        self.waiting_lines = self.waiting.iter().map(|message| message.lines).sum();
        self.epoch += u64::from(leaving);
        (leaving, dropped.into())
    }

    /// Drops all messages and returns them.
    pub fn clear(&mut self) -> Vec<Message> {
        self.epoch += 1;
        self.waiting_lines = 0.0;
        self.waiting.drain(..).collect()
    }
}
