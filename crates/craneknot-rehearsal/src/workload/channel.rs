//! The channel of a coordinator: messages that leave one after the other, at a pace counted in lines.

use std::collections::VecDeque;
use std::time::Duration;

/// What a message changes at a proxy.
#[derive(Clone, Debug)]
pub(super) enum Update {
    /// A whole table for some classes, and what stands for all tables.
    Table { table: u16, classes: Vec<usize>, content: TableContent, withdrawn: Vec<usize>, levels: Levels },
    /// One line of a table.
    Line { table: u16, server: usize, weight: f64, withdrawn: bool },
    /// Removes lines and levels of a table.
    Clear { table: u16 },
    /// Withdraws a server or restores it.
    Withdrawn { server: usize, withdrawn: bool },
    /// A level of a table, or of all.
    Level { table: Option<u16>, classes: Vec<usize>, level: Level },
    /// Levels for all tables, which travel with every message.
    LevelsForAll { levels: Levels },
    /// Asks for an acknowledgement.
    Mark { mark: u16 },
}

impl Update {
    /// Lines that the update costs.
    pub fn lines(&self) -> f64 {
        match self {
            Update::Table { content, withdrawn, levels, .. } => {
                let withdrawn = withdrawn.iter().filter(|server| content.names(**server)).count();
                let levels = content.levels.iter().chain(levels).flatten().count();
                (1 + content.lines.len() + levels + withdrawn) as f64
            }
            Update::LevelsForAll { .. } => 0.0,
            _ => 1.0,
        }
    }
}

/// How much of a class is admitted, and when it is tried again.
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
    /// Servers and weights, by server.
    pub lines: Vec<(usize, f64)>,
    pub levels: Levels,
}

impl TableContent {
    pub fn set_line(&mut self, server: usize, weight: f64) {
        match self.lines.binary_search_by_key(&server, |line| line.0) {
            Ok(place) if weight > 0.0 => self.lines[place].1 = weight,
            Ok(place) => drop(self.lines.remove(place)),
            Err(place) if weight > 0.0 => self.lines.insert(place, (server, weight)),
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

    pub fn names(&self, server: usize) -> bool {
        self.lines.binary_search_by_key(&server, |line| line.0).is_ok()
    }
}

/// What one batch of orders changes at one proxy.
#[derive(Clone, Debug)]
pub(super) struct Message {
    /// Its number among all messages of the day.
    pub number: u64,
    pub coordinator: usize,
    pub proxy: u16,
    /// The stream on which it travels.
    pub stream: u64,
    pub ordered: Duration,
    /// Its cost, the envelope included.
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

/// Messages that wait to leave, in order.
#[derive(Default)]
pub(super) struct Channel {
    waiting: VecDeque<Message>,
    waiting_lines: f64,
    /// Changes whenever a departure that was scheduled no longer holds.
    pub epoch: u64,
    pub longest_queue: f64,
}

impl Channel {
    /// Adds a message; whether it is the only one.
    pub fn push(&mut self, message: Message) -> bool {
        self.waiting_lines += message.lines;
        self.longest_queue = self.longest_queue.max(self.waiting_lines);
        self.waiting.push_back(message);
        self.waiting.len() == 1
    }

    /// Lines of the message that leaves next.
    pub fn next_lines(&self) -> Option<f64> {
        self.waiting.front().map(|message| message.lines)
    }

    /// The message that leaves now.
    pub fn pop(&mut self) -> Option<Message> {
        let message = self.waiting.pop_front()?;
        self.waiting_lines = if self.waiting.is_empty() { 0.0 } else { self.waiting_lines - message.lines };
        Some(message)
    }

    /// Drops what waits for a stream that has ended; whether the message that was leaving is among it.
    pub fn drop_stream(&mut self, stream: u64) -> (bool, Vec<Message>) {
        let leaving = self.waiting.front().is_some_and(|message| message.stream == stream);
        let (dropped, kept): (VecDeque<_>, VecDeque<_>) =
            self.waiting.drain(..).partition(|message| message.stream == stream);
        self.waiting = kept;
        self.waiting_lines = self.waiting.iter().map(|message| message.lines).sum();
        self.epoch += u64::from(leaving);
        (leaving, dropped.into())
    }

    /// Drops everything.
    pub fn clear(&mut self) -> Vec<Message> {
        self.epoch += 1;
        self.waiting_lines = 0.0;
        self.waiting.drain(..).collect()
    }
}
