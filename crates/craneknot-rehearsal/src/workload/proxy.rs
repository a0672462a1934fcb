//! A proxy: its tables, levels, withdrawals and connections, and its selection of servers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::seq::index::sample;
use rand::Rng;

use super::channel::{Level, Levels, Message, TableContent, Update};
use super::pick::{Line, Picker};
use super::settings::{Admission, Pick, WorkloadSettings};

/// Minimum number of listed servers in the proxy's zone for a standing table of that zone only.
const SERVERS_TO_STAY_IN_ZONE: usize = 3;

/// A stream to a coordinator.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stream {
    pub id: u64,
    pub coordinator: usize,
    pub joined: Duration,
}

/// Key of a table: stream and table number.
type TableKey = (u64, u16);

#[derive(Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    filled: Duration,
}

/// A server that may be drawn for a standing table.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    pub server: usize,
    pub zone: usize,
    pub weight: f64,
}

pub(super) struct Proxy {
    pub zone: usize,
    pub stream: Option<Stream>,
    /// The stream for which the time limits run; the coordinator may already have ended it.
    pub monitored_stream: Option<Stream>,
    /// When the last message applied on this stream was ordered.
    pub last_ordered: Option<Duration>,
    pub last_arrival: Duration,
    pub applying_until: Duration,
    /// Time of last use of each connection, by server.
    pub connections: BTreeMap<usize, Duration>,
    pub picker: Picker,
    /// Whether the process runs.
    pub running: bool,
    /// Standing tables by class; `None` until the proxy has read the list.
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
            monitored_stream: None,
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

    /// Draws the standing table from the list. The proxy reads the list only here.
    pub fn draw_standing_table(
        &mut self,
        settings: &WorkloadSettings,
        list: &[Candidate],
        rng: &mut impl Rng,
    ) {
        let same_zone: Vec<Candidate> =
            list.iter().filter(|candidate| candidate.zone == self.zone).copied().collect();
        let eligible = if same_zone.len() >= SERVERS_TO_STAY_IN_ZONE { &same_zone } else { list };
        let common = draw(eligible, settings.standing_table, rng);
        let mut tables = Vec::new();
        for class in 0..settings.classes.len() {
            let allowed = |candidate: &&Candidate| settings.allows(class, self.zone, candidate.zone);
            let allowed_servers: Vec<Candidate> = list.iter().filter(allowed).copied().collect();
            let restricted = allowed_servers.len() < list.len();
            tables.push(if restricted {
                draw(&allowed_servers, settings.standing_table, rng)
            } else {
                common.clone()
            });
        }
        self.standing = Some(tables);
    }

    /// Applies all updates of a message.
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
        self.tables.retain(|held_key, _| bound.contains(&Some(*held_key)));
    }

    fn set_withdrawn(&mut self, server: usize, withdrawn: bool) {
        if withdrawn {
            self.withdrawn.insert(server);
        } else {
            self.withdrawn.remove(&server);
        }
    }

    /// Whether any line of the proxy contains the server or the server is withdrawn at the proxy.
    pub fn is_affected_by(&self, server: usize) -> bool {
        self.withdrawn.contains(&server) || self.uses_server(server)
    }

    fn uses_server(&self, server: usize) -> bool {
        (0..self.bound.len())
            .any(|class| self.table(class).is_some_and(|table| table.contains_server(server)))
    }

    /// Connections to servers that are withdrawn or no longer in any table.
    pub fn unneeded_connections(&self) -> Vec<usize> {
        let unneeded = |server: &usize| self.withdrawn.contains(server) || !self.uses_server(*server);
        self.connections.keys().copied().filter(unneeded).collect()
    }

    /// The table for a class: the bound table, or else the standing table.
    fn table(&self, class: usize) -> Option<&TableContent> {
        match self.bound[class] {
            Some(key) => self.tables.get(&key),
            None => self.standing.as_ref().map(|tables| &tables[class]),
        }
    }

    fn usable_lines(&self, class: usize) -> impl Iterator<Item = (usize, f64)> + '_ {
        let lines = self.table(class).map_or(&[][..], |table| &table.lines);
        lines.iter().copied().filter(|(server, _)| !self.withdrawn.contains(server))
    }

    /// Whether there is a usable line for a class.
    pub fn has_line(&self, class: usize) -> bool {
        self.usable_lines(class).next().is_some()
    }

    /// Whether there is a usable line for a server other than `server`.
    pub fn has_other_line(&self, class: usize, server: usize) -> bool {
        self.usable_lines(class).any(|(other, _)| other != server)
    }

    /// Selects a line. Lines of ejected servers are used only if there is no other.
    pub fn pick(
        &mut self,
        strategy: Pick,
        class: usize,
        excluded: Option<usize>,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let lines: Vec<Line> =
            self.usable_lines(class).filter(|(server, _)| Some(*server) != excluded).collect();
        let avoided = |server: usize| self.avoided_until.get(&server).is_some_and(|until| *until > now);
        let preferred: Vec<Line> = lines.iter().copied().filter(|(server, _)| !avoided(*server)).collect();
        let lines = if preferred.is_empty() { lines } else { preferred };
        self.picker.pick(strategy, class, &lines, rng)
    }

    /// The level that applies to a class; the lower one if there are two.
    fn level(&self, class: usize) -> Option<f64> {
        let own_level = self.table_level(class).map(|level| level.level);
        let for_all = self.levels_for_all[class].map(|level| level.level);
        match (own_level, for_all) {
            (Some(own_level), Some(for_all)) => Some(own_level.min(for_all)),
            (own_level, for_all) => own_level.or(for_all),
        }
    }

    fn table_level(&self, class: usize) -> Option<Level> {
        self.table(class)?.levels.get(class).copied().flatten()
    }

    /// The retry mode that applies to a class.
    pub fn retry(&self, class: usize) -> Option<u8> {
        self.table_level(class).or(self.levels_for_all[class]).map(|level| level.retry)
    }

    /// Whether a level of zero applies to a class.
    pub fn is_closed(&self, class: usize, admission: Admission) -> bool {
        admission != Admission::Ignored && self.level(class) == Some(0.0)
    }

    /// Whether the level admits an operation.
    pub fn admits(&mut self, class: usize, admission: Admission, now: Duration, rng: &mut impl Rng) -> bool {
        let Some(level) = self.level(class) else { return true };
        match admission {
            Admission::Ignored => true,
            Admission::Share => level >= 1.0 || rng.random::<f64>() < level,
            Admission::Rate => self.take_token(class, level, now),
        }
    }

    /// Takes a token from the bucket of a class. The bucket holds one second's tokens at the level, but at
    /// least one unless the level is zero.
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

    /// Records a successful try at a server.
    pub fn count_success(&mut self, server: usize) {
        self.failures.remove(&server);
    }

    /// Records a failed try at a server and ejects the server after enough consecutive failures.
    pub fn count_failure(&mut self, server: usize, settings: &WorkloadSettings, now: Duration) {
        let failures = self.failures.entry(server).or_insert(0);
        *failures += 1;
        if settings.ejection_threshold > 0 && *failures >= settings.ejection_threshold {
            *failures = 0;
            self.avoided_until.insert(server, now + settings.ejection_time);
        }
    }
}

fn draw(candidates: &[Candidate], max_lines: usize, rng: &mut impl Rng) -> TableContent {
    let mut table = TableContent::default();
    for index in sample(rng, candidates.len(), max_lines.min(candidates.len())) {
        table.set_line(candidates[index].server, candidates[index].weight);
    }
    table
}
