//! Whether each joined proxy has a line to pick for each class, by what the relay has acknowledged: the rule on proxies
//! left without a server, judged while the program runs and apart from what the decisions believe.
//!
//! A proxy lacks a line from its joining until the relay has taken a binding to a table that has a line to a server which
//! is listed ready and which the class may use; and again from the moment at which that ceases to hold. While no such
//! server is listed that is warm, nobody lacks anything. What is on its way from the relay to the proxy is not seen here.

use std::collections::{BTreeMap, BTreeSet};

use craneknot::interface::*;

use crate::order_queue::Outcome;

const LOOK_EVERY: Nanos = Nanos::from_millis(100); // ms; how exact the spans are

/// What a proxy without a line waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitingFor {
    /// No binding was ordered.
    Binding,
    /// The relay has not taken the binding yet.
    BindingTaken,
    /// The relay could not use the binding, and it was not given again yet.
    BindingRefused,
    /// The table is empty, and no line of it was ordered.
    Line,
    /// The table is empty, and the relay has not taken its lines yet.
    LineTaken,
    /// All lines are to servers that drain, are gone or are closed to the class.
    UsableServer,
}

/// A proxy that lacks a line for a class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lapse {
    pub proxy: ProxyId,
    pub class: ClassId,
    /// The table it is bound to, as far as is acknowledged.
    pub table: Option<TableId>,
    pub waiting_for: WaitingFor,
    /// How long it has lasted.
    pub lasted: Nanos,
}

/// What an operator wants to know of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CoverageFigures {
    /// Proxies and classes without a line now.
    pub uncovered: usize,
    /// The longest that any lacked a line, those of now included.
    pub longest: Nanos,
    /// How often one lacked a line for longer than the settings allow.
    pub over_limit: u64,
}

/// One class of one proxy.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    table: Option<TableId>,
    /// Bindings ordered and not settled yet.
    ordered: u32,
    /// The last one that was settled had been refused.
    is_refused: bool,
    /// Since when it has had no line; nothing: it has one, or needs none.
    since: Option<Nanos>,
    is_over_limit: bool,
}

struct Joined {
    zone: ZoneId,
    held: Vec<Held>,
}

/// Judges all joined proxies.
pub struct Coverage {
    classes: Vec<ClassSettings>,
    warm_after: Nanos,
    limit: Nanos,
    proxies: BTreeMap<ProxyId, Joined>,
    /// The lines of each table, as acknowledged.
    tables: BTreeMap<TableId, BTreeSet<ServerId>>,
    /// Lines ordered and not settled, by table.
    ordered_lines: BTreeMap<TableId, usize>,
    look_at: Nanos,
    longest: Nanos,
    over_limit: u64,
}

impl Coverage {
    /// Judges by these settings.
    pub fn new(settings: &Settings) -> Self {
        Coverage {
            classes: settings.classes.clone(),
            warm_after: settings.warm_after,
            limit: settings.bare_limit,
            proxies: BTreeMap::new(),
            tables: BTreeMap::new(),
            ordered_lines: BTreeMap::new(),
            look_at: Nanos(0),
            longest: Nanos(0),
            over_limit: 0,
        }
    }

    /// A proxy has joined: none of its bindings stands.
    pub fn joined(&mut self, now: Nanos, proxy: ProxyId, zone: ZoneId) {
        let held = Held { since: Some(now), ..Held::default() };
        self.proxies.insert(proxy, Joined { zone, held: vec![held; self.classes.len()] });
    }

    /// A proxy has left.
    pub fn left(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
    }

    /// The relay takes no orders from anybody for now: what lacks a line begins anew.
    pub fn begin_anew(&mut self, now: Nanos) {
        let held = self.proxies.values_mut().flat_map(|joined| &mut joined.held);
        held.for_each(|held| held.since = held.since.map(|_| now));
    }

    fn bindings(&mut self, proxy: ProxyId, classes: ClassSet) -> impl Iterator<Item = &mut Held> {
        let held =
            self.proxies.get_mut(&proxy).into_iter().flat_map(|joined| joined.held.iter_mut().enumerate());
        held.filter(move |(class, _)| classes.has(ClassId(*class as u8))).map(|(_, held)| held)
    }

    /// An order was given to be sent.
    pub fn ordered(&mut self, order: &Order) {
        match order {
            Order::Line { table, .. } => *self.ordered_lines.entry(*table).or_default() += 1,
            Order::Bind { proxy, classes, .. } => {
                self.bindings(*proxy, *classes).for_each(|held| held.ordered += 1);
            }
            _ => {}
        }
    }

    /// What became of an order that was given.
    pub fn settled(&mut self, order: &Order, outcome: Outcome) {
        let is_taken = outcome == Outcome::Taken;
        match order {
            Order::Line { table, server, weight } => {
                let ordered = self.ordered_lines.entry(*table).or_default();
                *ordered = ordered.saturating_sub(1);
                let lines = self.tables.entry(*table).or_default();
                match is_taken {
                    true if *weight > 0.0 => drop(lines.insert(server.clone())),
                    true => drop(lines.remove(server)),
                    false => {}
                }
            }
            Order::Bind { proxy, classes, table } => {
                for held in self.bindings(*proxy, *classes) {
                    held.ordered = held.ordered.saturating_sub(1);
                    held.is_refused = outcome == Outcome::Refused;
                    held.table = if is_taken { Some(*table) } else { held.table };
                }
            }
            _ => {}
        }
    }

    fn waiting_for(&self, held: &Held) -> WaitingFor {
        let Some(table) = held.table else {
            return match held.ordered {
                0 if held.is_refused => WaitingFor::BindingRefused,
                0 => WaitingFor::Binding,
                _ => WaitingFor::BindingTaken,
            };
        };
        if self.tables.get(&table).is_some_and(|lines| !lines.is_empty()) {
            return WaitingFor::UsableServer;
        }
        let is_ordered = self.ordered_lines.get(&table).is_some_and(|count| *count > 0);
        if is_ordered {
            WaitingFor::LineTaken
        } else {
            WaitingFor::Line
        }
    }

    /// Looks at all proxies where that is due; gives those whose lack has just become longer than the settings allow.
    pub fn look<'a>(&mut self, now: Nanos, listed: impl Iterator<Item = &'a Listing>) -> Vec<Lapse> {
        if now < self.look_at {
            return Vec::new();
        }
        self.look_at = now + LOOK_EVERY;
        let usable = Usable::new(now, self.warm_after, &self.classes, listed);
        let mut lapsed: Vec<(ProxyId, usize)> = Vec::new();
        let mut known: BTreeMap<(usize, ZoneId, Option<TableId>), bool> = BTreeMap::new();
        for (proxy, joined) in &mut self.proxies {
            for (class, held) in joined.held.iter_mut().enumerate() {
                let lines = held.table.and_then(|table| self.tables.get(&table));
                let lacks = *known
                    .entry((class, joined.zone, held.table))
                    .or_insert_with(|| usable.is_lacking(class, joined.zone, lines));
                held.since = lacks.then(|| held.since.unwrap_or(now));
                let lasted = held.since.map_or(Nanos(0), |since| now - since);
                self.longest = self.longest.max(lasted);
                if lasted > self.limit && !held.is_over_limit {
                    lapsed.push((*proxy, class));
                }
                held.is_over_limit = lasted > self.limit;
            }
        }
        self.over_limit += lapsed.len() as u64;
        lapsed.into_iter().filter_map(|(proxy, class)| self.lapse(now, proxy, class)).collect()
    }

    fn lapse(&self, now: Nanos, proxy: ProxyId, class: usize) -> Option<Lapse> {
        let held = self.proxies.get(&proxy)?.held.get(class)?;
        Some(Lapse {
            proxy,
            class: ClassId(class as u8),
            table: held.table,
            waiting_for: self.waiting_for(held),
            lasted: now - held.since?,
        })
    }

    /// The figures as of the last look.
    pub fn figures(&self) -> CoverageFigures {
        let held = self.proxies.values().flat_map(|joined| &joined.held);
        CoverageFigures {
            uncovered: held.filter(|held| held.since.is_some()).count(),
            longest: self.longest,
            over_limit: self.over_limit,
        }
    }
}

/// The servers that are listed ready.
struct Usable<'c, 'a> {
    classes: &'c [ClassSettings],
    now: Nanos,
    warm_after: Nanos,
    servers: BTreeMap<&'a ServerId, &'a Listing>,
}

impl<'c, 'a> Usable<'c, 'a> {
    fn new(
        now: Nanos,
        warm_after: Nanos,
        classes: &'c [ClassSettings],
        listed: impl Iterator<Item = &'a Listing>,
    ) -> Self {
        let ready = listed.filter(|entry| entry.readiness == Readiness::Ready);
        Usable { classes, now, warm_after, servers: ready.map(|entry| (&entry.server, entry)).collect() }
    }

    /// Whether it is warm, or may be.
    fn is_warm(&self, entry: &Listing) -> bool {
        let is_old = |started: Nanos| self.now - started >= self.warm_after;
        entry.started.is_none_or(is_old) || !entry.is_start_certain
    }

    fn is_open(&self, class: usize, zone: ZoneId, entry: &Listing) -> bool {
        let settings = &self.classes[class];
        (settings.only_zones.is_empty() || settings.only_zones.contains(&entry.zone))
            && (settings.only_kinds.is_empty() || settings.only_kinds.contains(&entry.kind))
            && (!settings.home_only || entry.zone == zone)
    }

    /// Whether a proxy of a zone with these lines lacks one, though there is a server for it.
    fn is_lacking(&self, class: usize, zone: ZoneId, lines: Option<&BTreeSet<ServerId>>) -> bool {
        let has = |server: &ServerId| {
            self.servers.get(server).is_some_and(|entry| self.is_open(class, zone, entry))
        };
        let is_covered = lines.is_some_and(|lines| lines.iter().any(has));
        let is_due = |entry: &&Listing| self.is_warm(entry) && self.is_open(class, zone, entry);
        !is_covered && self.servers.values().any(is_due)
    }
}
