//! A proxy: the tables it holds, levels, withdrawals, connections, and how it picks a server.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::seq::index::sample;
use rand::Rng;

use super::channel::{Level, Levels, Message, TableContent, Update};
use super::pick::{Line, Picker};
use super::settings::{Admission, Pick, WorkloadSettings};

/// Servers of the proxy's zone from which on its standing table keeps to that zone.
const SERVERS_TO_STAY_IN_ZONE: usize = 3;

/// A stream to a coordinator.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stream {
    pub id: u64,
    pub coordinator: usize,
    pub joined: Duration,
}

/// A table of one stream.
type TableKey = (u64, u16);

#[derive(Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    filled: Duration,
}

/// A server that may go into a standing table.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    pub server: usize,
    pub zone: usize,
    pub weight: f64,
}

pub(super) struct Proxy {
    pub zone: usize,
    pub stream: Option<Stream>,
    /// The stream for which the time limits run, which may have ended by the coordinator's doing.
    pub accountable: Option<Stream>,
    /// When the last message that was applied on this stream was ordered.
    pub last_ordered: Option<Duration>,
    pub last_arrival: Duration,
    pub applying_until: Duration,
    /// Connections by server, with the time of last use.
    pub connections: BTreeMap<usize, Duration>,
    pub picker: Picker,
    /// Whether its process runs.
    pub running: bool,
    /// Standing tables by class; nothing before the proxy has read the list.
    standing: Option<Vec<TableContent>>,
    tables: BTreeMap<TableKey, TableContent>,
    bound: Vec<Option<TableKey>>,
    withdrawn: BTreeSet<usize>,
    levels_for_all: Levels,
    buckets: Vec<Option<TokenBucket>>,
    failures: BTreeMap<usize, u32>,
    avoided_until: BTreeMap<usize, Duration>,
}

impl Proxy {
    pub fn new(zone: usize, classes: usize) -> Self {
        Proxy {
            zone,
            stream: None,
            accountable: None,
            last_ordered: None,
            last_arrival: Duration::ZERO,
            applying_until: Duration::ZERO,
            connections: BTreeMap::new(),
            picker: Picker::default(),
            running: true,
            standing: None,
            tables: BTreeMap::new(),
            bound: vec![None; classes],
            withdrawn: BTreeSet::new(),
            levels_for_all: vec![None; classes],
            buckets: vec![None; classes],
            failures: BTreeMap::new(),
            avoided_until: BTreeMap::new(),
        }
    }

    pub fn has_standing_table(&self) -> bool {
        self.standing.is_some()
    }

    pub fn holds_only_standing_table(&self) -> bool {
        self.bound.iter().all(Option::is_none)
    }

    /// Draws the standing table from the list, which the proxy reads only now.
    pub fn draw_standing_table(
        &mut self,
        settings: &WorkloadSettings,
        list: &[Candidate],
        rng: &mut impl Rng,
    ) {
        let near: Vec<Candidate> =
            list.iter().filter(|candidate| candidate.zone == self.zone).copied().collect();
        let usual = if near.len() >= SERVERS_TO_STAY_IN_ZONE { &near } else { list };
        let common = draw(usual, settings.standing_table, rng);
        let mut tables = Vec::new();
        for class in 0..settings.classes.len() {
            let allowed = |candidate: &&Candidate| settings.allows(class, self.zone, candidate.zone);
            let open: Vec<Candidate> = list.iter().filter(allowed).copied().collect();
            let restricted = open.len() < list.len();
            tables.push(if restricted { draw(&open, settings.standing_table, rng) } else { common.clone() });
        }
        self.standing = Some(tables);
    }

    /// Applies a message; what it changes stands from now on.
    pub fn apply(&mut self, message: &Message) {
        for update in &message.updates {
            self.apply_update(message.stream, update);
        }
        self.last_ordered = Some(message.ordered);
    }

    fn apply_update(&mut self, stream: u64, update: &Update) {
        match update {
            Update::Table { table, classes, content, withdrawn, levels } => {
                self.bind((stream, *table), classes, content);
                self.withdrawn = withdrawn.iter().copied().collect();
                self.levels_for_all.clone_from(levels);
            }
            Update::Line { table, server, weight, withdrawn } => {
                if let Some(content) = self.tables.get_mut(&(stream, *table)) {
                    content.set_line(*server, *weight);
                    self.set_withdrawn(*server, *withdrawn);
                }
            }
            Update::Clear { table } => {
                if let Some(content) = self.tables.get_mut(&(stream, *table)) {
                    content.clear();
                }
            }
            Update::Withdrawn { server, withdrawn } => self.set_withdrawn(*server, *withdrawn),
            Update::Level { table: None, classes, level } => {
                for class in classes {
                    self.levels_for_all[*class] = Some(*level);
                }
            }
            Update::Level { table: Some(table), classes, level } => {
                if let Some(content) = self.tables.get_mut(&(stream, *table)) {
                    classes.iter().for_each(|class| content.set_level(*class, *level));
                }
            }
            Update::LevelsForAll { levels } => self.levels_for_all.clone_from(levels),
            Update::Mark { .. } => {}
        }
    }

    fn bind(&mut self, key: TableKey, classes: &[usize], content: &TableContent) {
        self.tables.insert(key, content.clone());
        for class in classes {
            self.bound[*class] = Some(key);
        }
        let bound = &self.bound;
        self.tables.retain(|held, _| bound.contains(&Some(*held)));
    }

    fn set_withdrawn(&mut self, server: usize, withdrawn: bool) {
        if withdrawn {
            self.withdrawn.insert(server);
        } else {
            self.withdrawn.remove(&server);
        }
    }

    /// Whether a line names the server, or the proxy has it withdrawn.
    pub fn concerns(&self, server: usize) -> bool {
        self.withdrawn.contains(&server) || self.names(server)
    }

    fn names(&self, server: usize) -> bool {
        (0..self.bound.len()).any(|class| self.table(class).is_some_and(|table| table.names(server)))
    }

    /// Connections to servers that are in no table any more, or withdrawn.
    pub fn unneeded_connections(&self) -> Vec<usize> {
        let unneeded = |server: &usize| self.withdrawn.contains(server) || !self.names(*server);
        self.connections.keys().copied().filter(unneeded).collect()
    }

    /// The table for a class: the one that it is bound to, or the standing one.
    fn table(&self, class: usize) -> Option<&TableContent> {
        match self.bound[class] {
            Some(key) => self.tables.get(&key),
            None => self.standing.as_ref().map(|tables| &tables[class]),
        }
    }

    fn open_lines(&self, class: usize) -> impl Iterator<Item = (usize, f64)> + '_ {
        let lines = self.table(class).map_or(&[][..], |table| &table.lines);
        lines.iter().copied().filter(|(server, _)| !self.withdrawn.contains(server))
    }

    /// Whether there is a line to pick for a class.
    pub fn has_line(&self, class: usize) -> bool {
        self.open_lines(class).next().is_some()
    }

    /// Whether there is a line besides that of `server`.
    pub fn has_other_line(&self, class: usize, server: usize) -> bool {
        self.open_lines(class).any(|(other, _)| other != server)
    }

    /// Picks a line; one of a server that the proxy avoids only where there is no other.
    pub fn pick(
        &mut self,
        how: Pick,
        class: usize,
        except: Option<usize>,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let lines: Vec<Line> = self.open_lines(class).filter(|(server, _)| Some(*server) != except).collect();
        let avoided = |server: usize| self.avoided_until.get(&server).is_some_and(|until| *until > now);
        let preferred: Vec<Line> = lines.iter().copied().filter(|(server, _)| !avoided(*server)).collect();
        let lines = if preferred.is_empty() { lines } else { preferred };
        self.picker.pick(how, class, &lines, rng)
    }

    /// The level that holds for a class; the lower one where there are two.
    fn level(&self, class: usize) -> Option<f64> {
        let own = self.table_level(class).map(|level| level.level);
        let for_all = self.levels_for_all[class].map(|level| level.level);
        match (own, for_all) {
            (Some(own), Some(for_all)) => Some(own.min(for_all)),
            (own, for_all) => own.or(for_all),
        }
    }

    fn table_level(&self, class: usize) -> Option<Level> {
        self.table(class)?.levels.get(class).copied().flatten()
    }

    /// The way of retrying that holds for a class.
    pub fn retry(&self, class: usize) -> Option<u8> {
        self.table_level(class).or(self.levels_for_all[class]).map(|level| level.retry)
    }

    /// Whether a level of zero holds for a class.
    pub fn is_shut(&self, class: usize, admission: Admission) -> bool {
        admission != Admission::Ignored && self.level(class) == Some(0.0)
    }

    /// Whether the level lets an operation in.
    pub fn admits(&mut self, class: usize, admission: Admission, now: Duration, rng: &mut impl Rng) -> bool {
        let Some(level) = self.level(class) else { return true };
        match admission {
            Admission::Ignored => true,
            Admission::Share => level >= 1.0 || rng.random::<f64>() < level,
            Admission::Rate => self.take_token(class, level, now),
        }
    }

    /// Takes a token from the bucket of a class, which holds what the level allows in a second, at least one.
    fn take_token(&mut self, class: usize, level: f64, now: Duration) -> bool {
        let size = if level > 0.0 { level.max(1.0) } else { 0.0 };
        let bucket = self.buckets[class].get_or_insert(TokenBucket { tokens: size, filled: now });
        let gained = level * now.saturating_sub(bucket.filled).as_secs_f64();
        bucket.tokens = (bucket.tokens + gained).min(size);
        bucket.filled = now;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// A try at a server was answered.
    pub fn count_success(&mut self, server: usize) {
        self.failures.remove(&server);
    }

    /// A try at a server failed; after a run of them the proxy avoids it for some time.
    pub fn count_failure(&mut self, server: usize, settings: &WorkloadSettings, now: Duration) {
        let failures = self.failures.entry(server).or_insert(0);
        *failures += 1;
        if settings.ejection_threshold > 0 && *failures >= settings.ejection_threshold {
            *failures = 0;
            self.avoided_until.insert(server, now + settings.ejection_time);
        }
    }
}

fn draw(from: &[Candidate], most: usize, rng: &mut impl Rng) -> TableContent {
    let mut table = TableContent::default();
    for place in sample(rng, from.len(), most.min(from.len())) {
        table.set_line(from[place].server, from[place].weight);
    }
    table
}
