//! Checks at run time whether each joined proxy has a usable line for each class, by the orders that the
//! relay has acknowledged and independently of the controller's state.
//!
//! A proxy is uncovered from its join until the relay has accepted a binding to a table with a line to a server
//! that is listed ready and allowed for the class, and again from the time when that ceases to hold. While no
//! such server that is warm is listed, no proxy counts as uncovered. Orders in transit from the relay to the
//! proxy are not visible here.
//!
//! A proxy is without a line if it has no such line although a server that it may use is listed ready, cold
//! or warm. The platform's specification does not count this as a violation while all of these servers are
//! cold; operators count it as one if it lasts longer than the same limit.

use std::collections::{BTreeMap, BTreeSet};

use craneknot::interface::*;

use crate::order_queue::OrderOutcome;

const EVALUATION_INTERVAL: Nanos = Nanos::from_millis(100); // the precision of the measured durations

/// What an uncovered proxy waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitingFor {
    /// No binding was ordered.
    Binding,
    /// The relay has not accepted the binding yet.
    BindingTaken,
    /// The relay refused the binding, and it was not ordered again yet.
    BindingRefused,
    /// The table is empty, and no line of it was ordered.
    Line,
    /// The table is empty, and the relay has not accepted its lines yet.
    LineTaken,
    /// All lines are to servers that drain, are removed or are not allowed for the class.
    UsableServer,
}

/// The state of the servers that a proxy without a line could use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Supply {
    /// At least one is warm, or may be, and is not ejected.
    Usable,
    /// All that are listed ready are cold.
    AllCold,
    /// All that are listed ready and warm are ejected for their health.
    AllOut,
    /// None is listed ready.
    NoneListed,
}

/// Proxies that have been without a line, for one class and table, for half of the time that the settings
/// allow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoLineWarning {
    pub class: ClassId,
    pub table: Option<TableId>,
    /// The first of them, and how many there are.
    pub proxy: ProxyId,
    pub proxies: usize,
    pub supply: Supply,
    /// Servers allowed for the class that are listed ready: all of them, the cold ones and the ejected ones.
    pub ready: usize,
    pub cold: usize,
    pub ejected: usize,
}

/// A proxy that has no usable line for a class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoverageGap {
    pub proxy: ProxyId,
    pub class: ClassId,
    /// The table that it is bound to, as far as is acknowledged.
    pub table: Option<TableId>,
    pub waiting_for: WaitingFor,
    pub supply: Supply,
    /// How long the gap has lasted.
    pub lasted: Nanos,
}

/// The longest gap since the start of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LongestGap {
    /// When the gap had reached this duration.
    pub at: Nanos,
    /// The proxy, and what it waited for.
    pub gap: CoverageGap,
}

/// The totals for the status lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CoverageFigures {
    /// Pairs of a proxy and a class that are uncovered now.
    pub uncovered: usize,
    /// The longest time that any was uncovered, including those uncovered now.
    pub longest: Nanos,
    /// How often a pair was uncovered for longer than the settings allow.
    pub over_limit: u64,
    /// Pairs of a proxy and a class that are without a line now.
    pub without_line: usize,
}

/// The state of one class of one proxy.
#[derive(Clone, Copy, Debug, Default)]
struct ClassState {
    table: Option<TableId>,
    /// Bindings ordered whose outcome is not known yet.
    pending_bindings: u32,
    /// The last binding with a known outcome was refused.
    is_refused: bool,
    /// Since when it has been uncovered; `None`: it has a line, or needs none.
    uncovered_since: Option<Nanos>,
    /// Since when it has been without a line.
    no_line_since: Option<Nanos>,
    /// Since when it has had neither a line nor a server to use.
    no_server_since: Option<Nanos>,
    /// The state of its servers while it has no line.
    supply: Option<Supply>,
    is_over_limit: bool,
    is_warned: bool,
}

struct ProxyState {
    zone: ZoneId,
    classes: Vec<ClassState>,
}

/// Evaluates all joined proxies.
pub struct Coverage {
    classes: Vec<ClassSettings>,
    warm_after: Nanos,
    limit: Nanos,
    proxies: BTreeMap<ProxyId, ProxyState>,
    /// The lines of each table, as acknowledged.
    tables: BTreeMap<TableId, BTreeSet<ServerId>>,
    /// Lines ordered whose outcome is not known yet, by table.
    pending_lines: BTreeMap<TableId, usize>,
    evaluate_at: Nanos,
    over_limit: u64,
    longest_gap: Option<LongestGap>,
    /// The longest times without a line, by the state of the servers during them.
    longest_without_line: BTreeMap<Supply, LongestGap>,
    /// Servers that the controller has ejected.
    ejected: BTreeSet<ServerId>,
    warnings: Vec<NoLineWarning>,
}

impl Coverage {
    /// Evaluates by these settings.
    pub fn new(settings: &Settings) -> Self {
        Coverage {
            classes: settings.classes.clone(),
            warm_after: settings.warm_after,
            limit: settings.no_line_limit,
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

    /// The controller has ejected a server, or has readmitted it.
    pub fn set_ejected(&mut self, server: &ServerId, is_ejected: bool) {
        if is_ejected {
            self.ejected.insert(server.clone());
        } else {
            self.ejected.remove(server);
        }
    }

    /// Warns of proxies that have reached half of the limit without a line since the last call.
    pub fn take_warnings(&mut self) -> Vec<NoLineWarning> {
        std::mem::take(&mut self.warnings)
    }

    /// A proxy has joined: none of its bindings is valid.
    pub fn proxy_joined(&mut self, now: Nanos, proxy: ProxyId, zone: ZoneId) {
        let state =
            ClassState { uncovered_since: Some(now), no_line_since: Some(now), ..ClassState::default() };
        self.proxies.insert(proxy, ProxyState { zone, classes: vec![state; self.classes.len()] });
    }

    /// A proxy has left.
    pub fn proxy_left(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
    }

    /// The relay accepts no orders from any coordinator for now: all current gaps start again.
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

    /// An order was queued for sending.
    pub fn ordered(&mut self, order: &Order) {
        match order {
            Order::Line { table, .. } => *self.pending_lines.entry(*table).or_default() += 1,
            Order::Bind { proxy, classes, .. } => {
                self.bindings(*proxy, *classes).for_each(|state| state.pending_bindings += 1);
            }
            _ => {}
        }
    }

    /// The outcome of an order is known.
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

    /// Evaluates all proxies when that is due. Returns the gaps that have just exceeded the limit of the
    /// settings.
    pub fn evaluate<'a>(
        &mut self,
        now: Nanos,
        listed: impl Iterator<Item = &'a Listing>,
    ) -> Vec<CoverageGap> {
        if now < self.evaluate_at {
            return Vec::new();
        }
        self.evaluate_at = now + EVALUATION_INTERVAL;
        let ready = ReadyServers::new(now, self.warm_after, &self.classes, &self.ejected, listed);
        let mut newly_over_limit: Vec<(ProxyId, usize)> = Vec::new();
        let mut supplies: BTreeMap<(usize, ZoneId, Option<TableId>), Option<Supply>> = BTreeMap::new();
        let mut warnings: BTreeMap<(usize, Option<TableId>), NoLineWarning> = BTreeMap::new();
        for (proxy, proxy_state) in &mut self.proxies {
            for (class, state) in proxy_state.classes.iter_mut().enumerate() {
                let lines = state.table.and_then(|table| self.tables.get(&table));
                let supply = *supplies
                    .entry((class, proxy_state.zone, state.table))
                    .or_insert_with(|| ready.supply_without_line(class, proxy_state.zone, lines));
                state.update(now, supply);
                if state.no_line_since.is_some_and(|start| now - start > Nanos(self.limit.0 / 2)) {
                    if !std::mem::replace(&mut state.is_warned, true) {
                        let warn = || ready.warning(*proxy, class, proxy_state.zone, state);
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

    /// Updates the longest gap, and the longest time without a line for each supply.
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
        let states = self.proxies.iter().flat_map(|(proxy, proxy_state)| {
            proxy_state.classes.iter().enumerate().map(move |(class, state)| (*proxy, class, state))
        });
        let uncovered_classes =
            states.filter_map(|(proxy, class, state)| Some((start(state)?, proxy, class)));
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

    /// The totals as of the last evaluation.
    pub fn figures(&self) -> CoverageFigures {
        let states = || self.proxies.values().flat_map(|proxy_state| &proxy_state.classes);
        CoverageFigures {
            uncovered: states().filter(|state| state.uncovered_since.is_some()).count(),
            longest: self.longest_gap.as_ref().map_or(Nanos(0), |longest_gap| longest_gap.gap.lasted),
            over_limit: self.over_limit,
            without_line: states().filter(|state| state.no_line_since.is_some()).count(),
        }
    }

    /// The longest gap since the start.
    pub fn longest_gap(&self) -> Option<&LongestGap> {
        self.longest_gap.as_ref()
    }

    /// The longest times without a line since the start, by the state of the servers during them.
    pub fn longest_without_line(&self) -> &BTreeMap<Supply, LongestGap> {
        &self.longest_without_line
    }
}

impl ClassState {
    /// `supply`: the state of its servers if it has no line, else `None`.
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

/// The longer of the longest gap so far and a current gap.
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

    /// Whether a server is warm, or may be.
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

    /// The state of the servers for a proxy of a zone if it can use none of these lines, else `None`.
    fn supply_without_line(
        &self,
        class: usize,
        zone: ZoneId,
        lines: Option<&BTreeSet<ServerId>>,
    ) -> Option<Supply> {
        let is_usable = |server: &ServerId| {
            self.servers.get(server).is_some_and(|entry| self.is_allowed(class, zone, entry))
        };
        if lines.is_some_and(|lines| lines.iter().any(is_usable)) {
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

    /// A warning that counts no proxy yet: the caller adds to `proxies`.
    fn warning(&self, proxy: ProxyId, class: usize, zone: ZoneId, state: &ClassState) -> NoLineWarning {
        let count =
            |test: &dyn Fn(&Listing) -> bool| self.allowed(class, zone).filter(|entry| test(entry)).count();
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
