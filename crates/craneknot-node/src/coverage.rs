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

use crate::order_queue::OrderOutcome;

const EVALUATION_INTERVAL: Nanos = Nanos::from_millis(100); // ms; how exact the spans are

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
pub struct NoLineWarning {
    pub class: ClassId,
    pub table: Option<TableId>,
    /// The first of them, and how many there are.
    pub proxy: ProxyId,
    pub proxies: usize,
    pub supply: Supply,
    /// Servers open to the class that are listed ready: all of them, those that are cold and those that are shut out.
    pub ready: usize,
    pub cold: usize,
    pub ejected: usize,
}

/// A proxy that lacks a line for a class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoverageGap {
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
pub struct LongestGap {
    /// When it was that long.
    pub at: Nanos,
    /// Who, and what it waited for.
    pub gap: CoverageGap,
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
    pub without_line: usize,
}

/// One class of one proxy.
#[derive(Clone, Copy, Debug, Default)]
struct ClassState {
    table: Option<TableId>,
    /// Bindings ordered and not settled yet.
    pending_bindings: u32,
    /// The last one that was settled had been refused.
    is_refused: bool,
    /// Since when it has had no line; nothing: it has one, or needs none.
    uncovered_since: Option<Nanos>,
    /// Since when it has been bare.
    no_line_since: Option<Nanos>,
    /// Since when it has had no line and no server to go to.
    no_server_since: Option<Nanos>,
    /// What there is for it while it has no line.
    supply: Option<Supply>,
    is_over_limit: bool,
    is_warned: bool,
}

struct ProxyState {
    zone: ZoneId,
    classes: Vec<ClassState>,
}

/// Judges all joined proxies.
pub struct Coverage {
    classes: Vec<ClassSettings>,
    warm_after: Nanos,
    limit: Nanos,
    proxies: BTreeMap<ProxyId, ProxyState>,
    /// The lines of each table, as acknowledged.
    tables: BTreeMap<TableId, BTreeSet<ServerId>>,
    /// Lines ordered and not settled, by table.
    pending_lines: BTreeMap<TableId, usize>,
    evaluate_at: Nanos,
    over_limit: u64,
    longest_gap: Option<LongestGap>,
    /// The longest times without a line, by what there was meanwhile.
    longest_without_line: BTreeMap<Supply, LongestGap>,
    /// Servers that the decisions have shut out.
    ejected: BTreeSet<ServerId>,
    warnings: Vec<NoLineWarning>,
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
            pending_lines: BTreeMap::new(),
            evaluate_at: Nanos(0),
            over_limit: 0,
            longest_gap: None,
            longest_without_line: BTreeMap::new(),
            ejected: BTreeSet::new(),
            warnings: Vec::new(),
        }
    }

    /// The decisions have shut a server out, or no longer do.
    pub fn set_ejected(&mut self, server: &ServerId, is_ejected: bool) {
        if is_ejected {
            self.ejected.insert(server.clone());
        } else {
            self.ejected.remove(server);
        }
    }

    /// Who has become bare for half of the limit since the last call.
    pub fn take_warnings(&mut self) -> Vec<NoLineWarning> {
        std::mem::take(&mut self.warnings)
    }

    /// A proxy has joined: none of its bindings stands.
    pub fn proxy_joined(&mut self, now: Nanos, proxy: ProxyId, zone: ZoneId) {
        let state =
            ClassState { uncovered_since: Some(now), no_line_since: Some(now), ..ClassState::default() };
        self.proxies.insert(proxy, ProxyState { zone, classes: vec![state; self.classes.len()] });
    }

    /// A proxy has left.
    pub fn proxy_left(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
    }

    /// The relay takes no orders from anybody for now: what lacks a line begins anew.
    pub fn restart_gaps(&mut self, now: Nanos) {
        let state = self.proxies.values_mut().flat_map(|proxy_state| &mut proxy_state.classes);
        state.for_each(|state| {
            state.uncovered_since = state.uncovered_since.map(|_| now);
            state.no_line_since = state.no_line_since.map(|_| now);
        });
    }

    fn bindings(&mut self, proxy: ProxyId, classes: ClassSet) -> impl Iterator<Item = &mut ClassState> {
        let state = self
            .proxies
            .get_mut(&proxy)
            .into_iter()
            .flat_map(|proxy_state| proxy_state.classes.iter_mut().enumerate());
        state.filter(move |(class, _)| classes.has(ClassId(*class as u8))).map(|(_, state)| state)
    }

    /// An order was given to be sent.
    pub fn ordered(&mut self, order: &Order) {
        match order {
            Order::Line { table, .. } => *self.pending_lines.entry(*table).or_default() += 1,
            Order::Bind { proxy, classes, .. } => {
                self.bindings(*proxy, *classes).for_each(|state| state.pending_bindings += 1);
            }
            _ => {}
        }
    }

    /// What became of an order that was given.
    pub fn order_finished(&mut self, order: &Order, outcome: OrderOutcome) {
        let is_taken = outcome == OrderOutcome::Taken;
        match order {
            Order::Line { table, server, weight } => {
                let ordered = self.pending_lines.entry(*table).or_default();
                *ordered = ordered.saturating_sub(1);
                let lines = self.tables.entry(*table).or_default();
                match is_taken {
                    true if *weight > 0.0 => drop(lines.insert(server.clone())),
                    true => drop(lines.remove(server)),
                    false => {}
                }
            }
            Order::Bind { proxy, classes, table } => {
                for state in self.bindings(*proxy, *classes) {
                    state.pending_bindings = state.pending_bindings.saturating_sub(1);
                    state.is_refused = outcome == OrderOutcome::Refused;
                    state.table = if is_taken { Some(*table) } else { state.table };
                }
            }
            _ => {}
        }
    }

    fn waiting_for(&self, state: &ClassState) -> WaitingFor {
        let Some(table) = state.table else {
            return match state.pending_bindings {
                0 if state.is_refused => WaitingFor::BindingRefused,
                0 => WaitingFor::Binding,
                _ => WaitingFor::BindingTaken,
            };
        };
        if self.tables.get(&table).is_some_and(|lines| !lines.is_empty()) {
            return WaitingFor::UsableServer;
        }
        let is_ordered = self.pending_lines.get(&table).is_some_and(|count| *count > 0);
        if is_ordered {
            WaitingFor::LineTaken
        } else {
            WaitingFor::Line
        }
    }

    /// Looks at all proxies where that is due; gives those whose lack has just become longer than the settings allow.
    pub fn evaluate<'a>(
        &mut self,
        now: Nanos,
        listed: impl Iterator<Item = &'a Listing>,
    ) -> Vec<CoverageGap> {
        if now < self.evaluate_at {
            return Vec::new();
        }
        self.evaluate_at = now + EVALUATION_INTERVAL;
        let ready_servers = ReadyServers::new(now, self.warm_after, &self.classes, &self.ejected, listed);
        let mut newly_over_limit: Vec<(ProxyId, usize)> = Vec::new();
        let mut supplies: BTreeMap<(usize, ZoneId, Option<TableId>), Option<Supply>> = BTreeMap::new();
        let mut warnings: BTreeMap<(usize, Option<TableId>), NoLineWarning> = BTreeMap::new();
        for (proxy, proxy_state) in &mut self.proxies {
            for (class, state) in proxy_state.classes.iter_mut().enumerate() {
                let lines = state.table.and_then(|table| self.tables.get(&table));
                let supply = *supplies
                    .entry((class, proxy_state.zone, state.table))
                    .or_insert_with(|| ready_servers.supply_without_line(class, proxy_state.zone, lines));
                state.update(now, supply);
                if state.no_line_since.is_some_and(|start| now - start > Nanos(self.limit.0 / 2)) {
                    if !std::mem::replace(&mut state.is_warned, true) {
                        let warn = || ready_servers.warning(*proxy, class, proxy_state.zone, state);
                        warnings.entry((class, state.table)).or_insert_with(warn).proxies += 1;
                    }
                } else {
                    state.is_warned = false;
                }
                let is_over_limit = state.uncovered_since.is_some_and(|start| now - start > self.limit);
                if is_over_limit && !state.is_over_limit {
                    newly_over_limit.push((*proxy, class));
                }
                state.is_over_limit = is_over_limit;
            }
        }
        self.warnings.extend(warnings.into_values());
        self.over_limit += newly_over_limit.len() as u64;
        self.update_longest(now);
        let gap = |(proxy, class)| self.gap(now, proxy, class, |state| state.uncovered_since);
        newly_over_limit.into_iter().filter_map(gap).collect()
    }

    /// Keeps the longest lack, and the longest time without a line for each supply.
    fn update_longest(&mut self, now: Nanos) {
        let gap = self.longest_now(now, |state| state.uncovered_since);
        self.longest_gap = longer_gap(now, self.longest_gap.take(), gap);
        for supply in [Supply::Usable, Supply::AllCold, Supply::AllOut, Supply::NoneListed] {
            let start = |state: &ClassState| {
                let start = state.no_line_since.or(state.no_server_since);
                start.filter(|_| state.supply == Some(supply))
            };
            let gap = self.longest_now(now, start);
            if let Some(longest_gap) = longer_gap(now, self.longest_without_line.remove(&supply), gap) {
                self.longest_without_line.insert(supply, longest_gap);
            }
        }
    }

    fn longest_now(&self, now: Nanos, start: impl Fn(&ClassState) -> Option<Nanos>) -> Option<CoverageGap> {
        let state = self.proxies.iter().flat_map(|(proxy, proxy_state)| {
            proxy_state.classes.iter().enumerate().map(move |(class, state)| (*proxy, class, state))
        });
        let uncovered_classes = state.filter_map(|(proxy, class, state)| Some((start(state)?, proxy, class)));
        let (_, proxy, class) = uncovered_classes.min()?;
        self.gap(now, proxy, class, start)
    }

    fn gap(
        &self,
        now: Nanos,
        proxy: ProxyId,
        class: usize,
        start: impl Fn(&ClassState) -> Option<Nanos>,
    ) -> Option<CoverageGap> {
        let state = self.proxies.get(&proxy)?.classes.get(class)?;
        Some(CoverageGap {
            proxy,
            class: ClassId(class as u8),
            table: state.table,
            waiting_for: self.waiting_for(state),
            supply: state.supply.unwrap_or(Supply::Usable),
            lasted: now - start(state)?,
        })
    }

    /// The figures as of the last look.
    pub fn figures(&self) -> CoverageFigures {
        let state = || self.proxies.values().flat_map(|proxy_state| &proxy_state.classes);
        CoverageFigures {
            uncovered: state().filter(|state| state.uncovered_since.is_some()).count(),
            longest: self.longest_gap.as_ref().map_or(Nanos(0), |longest_gap| longest_gap.gap.lasted),
            over_limit: self.over_limit,
            without_line: state().filter(|state| state.no_line_since.is_some()).count(),
        }
    }

    /// The longest lack since the start.
    pub fn longest_gap(&self) -> Option<&LongestGap> {
        self.longest_gap.as_ref()
    }

    /// The longest times without a line since the start, by what there was meanwhile.
    pub fn longest_without_line(&self) -> &BTreeMap<Supply, LongestGap> {
        &self.longest_without_line
    }
}

impl ClassState {
    /// `supply`: what there is for it, where it has no line.
    fn update(&mut self, now: Nanos, supply: Option<Supply>) {
        let has_ready_server = supply.is_some_and(|supply| supply != Supply::NoneListed);
        let is_uncovered = matches!(supply, Some(Supply::Usable | Supply::AllOut));
        self.uncovered_since = is_uncovered.then(|| self.uncovered_since.unwrap_or(now));
        self.no_line_since = has_ready_server.then(|| self.no_line_since.unwrap_or(now));
        self.no_server_since =
            (supply.is_some() && !has_ready_server).then(|| self.no_server_since.unwrap_or(now));
        self.supply = supply;
    }
}

/// The longer of the worst until now and a lapse of this moment.
fn longer_gap(now: Nanos, longest_gap: Option<LongestGap>, gap: Option<CoverageGap>) -> Option<LongestGap> {
    let longest = longest_gap.as_ref().map_or(Nanos(0), |longest_gap| longest_gap.gap.lasted);
    let gap = gap.filter(|gap| gap.lasted > longest);
    gap.map(|gap| LongestGap { at: now, gap }).or(longest_gap)
}

/// The servers that are listed ready.
struct ReadyServers<'c, 'a> {
    classes: &'c [ClassSettings],
    now: Nanos,
    warm_after: Nanos,
    ejected: &'c BTreeSet<ServerId>,
    servers: BTreeMap<&'a ServerId, &'a Listing>,
}

impl<'c, 'a> ReadyServers<'c, 'a> {
    fn new(
        now: Nanos,
        warm_after: Nanos,
        classes: &'c [ClassSettings],
        ejected: &'c BTreeSet<ServerId>,
        listed: impl Iterator<Item = &'a Listing>,
    ) -> Self {
        let ready = listed.filter(|entry| entry.readiness == Readiness::Ready);
        let servers = ready.map(|entry| (&entry.server, entry)).collect();
        ReadyServers { classes, now, warm_after, ejected, servers }
    }

    /// Whether it is warm, or may be.
    fn is_warm(&self, entry: &Listing) -> bool {
        let is_old = |started: Nanos| self.now - started >= self.warm_after;
        entry.started.is_none_or(is_old) || !entry.is_start_certain
    }

    fn is_allowed(&self, class: usize, zone: ZoneId, entry: &Listing) -> bool {
        let settings = &self.classes[class];
        (settings.only_zones.is_empty() || settings.only_zones.contains(&entry.zone))
            && (settings.only_kinds.is_empty() || settings.only_kinds.contains(&entry.kind))
            && (!settings.home_only || entry.zone == zone)
    }

    fn allowed(&self, class: usize, zone: ZoneId) -> impl Iterator<Item = &&'a Listing> {
        self.servers.values().filter(move |entry| self.is_allowed(class, zone, entry))
    }

    /// What there is for a proxy of a zone, if none of these lines is of use to it.
    fn supply_without_line(
        &self,
        class: usize,
        zone: ZoneId,
        lines: Option<&BTreeSet<ServerId>>,
    ) -> Option<Supply> {
        let has = |server: &ServerId| {
            self.servers.get(server).is_some_and(|entry| self.is_allowed(class, zone, entry))
        };
        if lines.is_some_and(|lines| lines.iter().any(has)) {
            return None;
        }
        let mut warm = self.allowed(class, zone).filter(|entry| self.is_warm(entry)).peekable();
        Some(if warm.peek().is_some() {
            match warm.all(|entry| self.ejected.contains(&entry.server)) {
                true => Supply::AllOut,
                false => Supply::Usable,
            }
        } else if self.allowed(class, zone).next().is_some() {
            Supply::AllCold
        } else {
            Supply::NoneListed
        })
    }

    /// Of no proxy yet: `proxies` is to be counted.
    fn warning(&self, proxy: ProxyId, class: usize, zone: ZoneId, state: &ClassState) -> NoLineWarning {
        let count = |matches: &dyn Fn(&Listing) -> bool| {
            self.allowed(class, zone).filter(|entry| matches(entry)).count()
        };
        NoLineWarning {
            class: ClassId(class as u8),
            table: state.table,
            proxy,
            proxies: 0,
            supply: state.supply.unwrap_or(Supply::NoneListed),
            ready: count(&|_| true),
            cold: count(&|entry| !self.is_warm(entry)),
            ejected: count(&|entry| self.ejected.contains(&entry.server)),
        }
    }
}
