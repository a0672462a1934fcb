//! Whether each joined proxy has a line to pick for each class, by what the relay has acknowledged: the rule on proxies
//! left without a server, judged while the program runs and apart from what the decisions believe.
//!
//! A proxy lacks a line from its joining until the relay has taken a binding to a table that has a line to a server which
//! is listed ready and which the class may use; and again from the moment at which that ceases to hold. While no such
//! server is listed that is warm, nobody lacks anything. What is on its way from the relay to the proxy is not seen here.
//!
//! A proxy is bare where it has no such line though a server that it may use is listed ready, cold or warm. The platform's
//! page holds this no break while all of them are cold; the users hold it one beyond the same limit.

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

/// What the servers are like that a proxy without a line could be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Supply {
    /// One at least is warm, or may be, and is not shut out.
    Usable,
    /// All that are listed ready are cold.
    AllCold,
    /// All that are listed ready and warm are shut out for their health.
    AllOut,
    /// None is listed ready.
    NoneListed,
}

/// Proxies that have been bare, for one class and table, for half of the time that the settings allow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BareWarning {
    pub class: ClassId,
    pub table: Option<TableId>,
    /// The first of them, and how many there are.
    pub proxy: ProxyId,
    pub proxies: usize,
    pub supply: Supply,
    /// Servers open to the class that are listed ready: all of them, those that are cold and those that are shut out.
    pub ready: usize,
    pub cold: usize,
    pub shut_out: usize,
}

/// A proxy that lacks a line for a class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lapse {
    pub proxy: ProxyId,
    pub class: ClassId,
    /// The table it is bound to, as far as is acknowledged.
    pub table: Option<TableId>,
    pub waiting_for: WaitingFor,
    pub supply: Supply,
    /// How long it has lasted.
    pub lasted: Nanos,
}

/// The longest lack since the start of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worst {
    /// When it was that long.
    pub at: Nanos,
    /// Who, and what it waited for.
    pub lapse: Lapse,
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
    /// Proxies and classes that are bare now.
    pub bare: usize,
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
    /// Since when it has been bare.
    bare_since: Option<Nanos>,
    /// Since when it has had no line and no server to go to.
    unlisted_since: Option<Nanos>,
    /// What there is for it while it has no line.
    supply: Option<Supply>,
    is_over_limit: bool,
    is_warned_of: bool,
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
    over_limit: u64,
    worst: Option<Worst>,
    /// The longest times without a line, by what there was meanwhile.
    worst_bare: BTreeMap<Supply, Worst>,
    /// Servers that the decisions have shut out.
    shut_out: BTreeSet<ServerId>,
    warnings: Vec<BareWarning>,
}

impl Coverage {
    /// Judges by these settings.
    pub fn new(settings: &Settings) -> Self {
        Coverage {
            classes: settings.classes.clone(),
            warm_after: settings.warm_after,
            limit: settings.no_line_limit,
            proxies: BTreeMap::new(),
            tables: BTreeMap::new(),
            ordered_lines: BTreeMap::new(),
            look_at: Nanos(0),
            over_limit: 0,
            worst: None,
            worst_bare: BTreeMap::new(),
            shut_out: BTreeSet::new(),
            warnings: Vec::new(),
        }
    }

    /// The decisions have shut a server out, or no longer do.
    pub fn set_shut_out(&mut self, server: &ServerId, is_shut_out: bool) {
        if is_shut_out {
            self.shut_out.insert(server.clone());
        } else {
            self.shut_out.remove(server);
        }
    }

    /// Who has become bare for half of the limit since the last call.
    pub fn take_warnings(&mut self) -> Vec<BareWarning> {
        std::mem::take(&mut self.warnings)
    }

    /// A proxy has joined: none of its bindings stands.
    pub fn joined(&mut self, now: Nanos, proxy: ProxyId, zone: ZoneId) {
        let held = Held { since: Some(now), bare_since: Some(now), ..Held::default() };
        self.proxies.insert(proxy, Joined { zone, held: vec![held; self.classes.len()] });
    }

    /// A proxy has left.
    pub fn left(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
    }

    /// The relay takes no orders from anybody for now: what lacks a line begins anew.
    pub fn begin_anew(&mut self, now: Nanos) {
        let held = self.proxies.values_mut().flat_map(|joined| &mut joined.held);
        held.for_each(|held| {
            held.since = held.since.map(|_| now);
            held.bare_since = held.bare_since.map(|_| now);
        });
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
        let usable = Usable::new(now, self.warm_after, &self.classes, &self.shut_out, listed);
        let mut lapsed: Vec<(ProxyId, usize)> = Vec::new();
        let mut known: BTreeMap<(usize, ZoneId, Option<TableId>), Option<Supply>> = BTreeMap::new();
        let mut warnings: BTreeMap<(usize, Option<TableId>), BareWarning> = BTreeMap::new();
        for (proxy, joined) in &mut self.proxies {
            for (class, held) in joined.held.iter_mut().enumerate() {
                let lines = held.table.and_then(|table| self.tables.get(&table));
                let supply = *known
                    .entry((class, joined.zone, held.table))
                    .or_insert_with(|| usable.supply_without_line(class, joined.zone, lines));
                held.note(now, supply);
                if held.bare_since.is_some_and(|since| now - since > Nanos(self.limit.0 / 2)) {
                    if !std::mem::replace(&mut held.is_warned_of, true) {
                        let warn = || usable.warning(*proxy, class, joined.zone, held);
                        warnings.entry((class, held.table)).or_insert_with(warn).proxies += 1;
                    }
                } else {
                    held.is_warned_of = false;
                }
                let is_over_limit = held.since.is_some_and(|since| now - since > self.limit);
                if is_over_limit && !held.is_over_limit {
                    lapsed.push((*proxy, class));
                }
                held.is_over_limit = is_over_limit;
            }
        }
        self.warnings.extend(warnings.into_values());
        self.over_limit += lapsed.len() as u64;
        self.note_worst(now);
        let lapse = |(proxy, class)| self.lapse(now, proxy, class, |held| held.since);
        lapsed.into_iter().filter_map(lapse).collect()
    }

    /// Keeps the longest lack, and the longest time without a line for each supply.
    fn note_worst(&mut self, now: Nanos) {
        let lapse = self.longest_now(now, |held| held.since);
        self.worst = longer(now, self.worst.take(), lapse);
        for supply in [Supply::Usable, Supply::AllCold, Supply::AllOut, Supply::NoneListed] {
            let since = |held: &Held| {
                let since = held.bare_since.or(held.unlisted_since);
                since.filter(|_| held.supply == Some(supply))
            };
            let lapse = self.longest_now(now, since);
            if let Some(worst) = longer(now, self.worst_bare.remove(&supply), lapse) {
                self.worst_bare.insert(supply, worst);
            }
        }
    }

    fn longest_now(&self, now: Nanos, since: impl Fn(&Held) -> Option<Nanos>) -> Option<Lapse> {
        let held = self.proxies.iter().flat_map(|(proxy, joined)| {
            joined.held.iter().enumerate().map(move |(class, held)| (*proxy, class, held))
        });
        let lacking = held.filter_map(|(proxy, class, held)| Some((since(held)?, proxy, class)));
        let (_, proxy, class) = lacking.min()?;
        self.lapse(now, proxy, class, since)
    }

    fn lapse(
        &self,
        now: Nanos,
        proxy: ProxyId,
        class: usize,
        since: impl Fn(&Held) -> Option<Nanos>,
    ) -> Option<Lapse> {
        let held = self.proxies.get(&proxy)?.held.get(class)?;
        Some(Lapse {
            proxy,
            class: ClassId(class as u8),
            table: held.table,
            waiting_for: self.waiting_for(held),
            supply: held.supply.unwrap_or(Supply::Usable),
            lasted: now - since(held)?,
        })
    }

    /// The figures as of the last look.
    pub fn figures(&self) -> CoverageFigures {
        let held = || self.proxies.values().flat_map(|joined| &joined.held);
        CoverageFigures {
            uncovered: held().filter(|held| held.since.is_some()).count(),
            longest: self.worst.as_ref().map_or(Nanos(0), |worst| worst.lapse.lasted),
            over_limit: self.over_limit,
            bare: held().filter(|held| held.bare_since.is_some()).count(),
        }
    }

    /// The longest lack since the start.
    pub fn worst(&self) -> Option<&Worst> {
        self.worst.as_ref()
    }

    /// The longest times without a line since the start, by what there was meanwhile.
    pub fn worst_bare(&self) -> &BTreeMap<Supply, Worst> {
        &self.worst_bare
    }
}

impl Held {
    /// `supply`: what there is for it, where it has no line.
    fn note(&mut self, now: Nanos, supply: Option<Supply>) {
        let is_listed = supply.is_some_and(|supply| supply != Supply::NoneListed);
        let is_lacking = matches!(supply, Some(Supply::Usable | Supply::AllOut));
        self.since = is_lacking.then(|| self.since.unwrap_or(now));
        self.bare_since = is_listed.then(|| self.bare_since.unwrap_or(now));
        self.unlisted_since = (supply.is_some() && !is_listed).then(|| self.unlisted_since.unwrap_or(now));
        self.supply = supply;
    }
}

/// The longer of the worst until now and a lapse of this moment.
fn longer(now: Nanos, worst: Option<Worst>, lapse: Option<Lapse>) -> Option<Worst> {
    let longest = worst.as_ref().map_or(Nanos(0), |worst| worst.lapse.lasted);
    let lapse = lapse.filter(|lapse| lapse.lasted > longest);
    lapse.map(|lapse| Worst { at: now, lapse }).or(worst)
}

/// The servers that are listed ready.
struct Usable<'c, 'a> {
    classes: &'c [ClassSettings],
    now: Nanos,
    warm_after: Nanos,
    shut_out: &'c BTreeSet<ServerId>,
    servers: BTreeMap<&'a ServerId, &'a Listing>,
}

impl<'c, 'a> Usable<'c, 'a> {
    fn new(
        now: Nanos,
        warm_after: Nanos,
        classes: &'c [ClassSettings],
        shut_out: &'c BTreeSet<ServerId>,
        listed: impl Iterator<Item = &'a Listing>,
    ) -> Self {
        let ready = listed.filter(|entry| entry.readiness == Readiness::Ready);
        let servers = ready.map(|entry| (&entry.server, entry)).collect();
        Usable { classes, now, warm_after, shut_out, servers }
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

    fn open(&self, class: usize, zone: ZoneId) -> impl Iterator<Item = &&'a Listing> {
        self.servers.values().filter(move |entry| self.is_open(class, zone, entry))
    }

    /// What there is for a proxy of a zone, if none of these lines is of use to it.
    fn supply_without_line(
        &self,
        class: usize,
        zone: ZoneId,
        lines: Option<&BTreeSet<ServerId>>,
    ) -> Option<Supply> {
        let has = |server: &ServerId| {
            self.servers.get(server).is_some_and(|entry| self.is_open(class, zone, entry))
        };
        if lines.is_some_and(|lines| lines.iter().any(has)) {
            return None;
        }
        let mut warm = self.open(class, zone).filter(|entry| self.is_warm(entry)).peekable();
        Some(if warm.peek().is_some() {
            match warm.all(|entry| self.shut_out.contains(&entry.server)) {
                true => Supply::AllOut,
                false => Supply::Usable,
            }
        } else if self.open(class, zone).next().is_some() {
            Supply::AllCold
        } else {
            Supply::NoneListed
        })
    }

    /// Of no proxy yet: `proxies` is to be counted.
    fn warning(&self, proxy: ProxyId, class: usize, zone: ZoneId, held: &Held) -> BareWarning {
        let count =
            |fits: &dyn Fn(&Listing) -> bool| self.open(class, zone).filter(|entry| fits(entry)).count();
        BareWarning {
            class: ClassId(class as u8),
            table: held.table,
            proxy,
            proxies: 0,
            supply: held.supply.unwrap_or(Supply::NoneListed),
            ready: count(&|_| true),
            cold: count(&|entry| !self.is_warm(entry)),
            shut_out: count(&|entry| self.shut_out.contains(&entry.server)),
        }
    }
}
