//! Discovery's list as each coordinator received it, and the checks of the rules that depend on it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::settings::WorkloadSettings;
use super::summary::{DrainBreach, NoLinePeriod, OverloadCrash, QueueBreach};

#[derive(Clone, Copy)]
enum ListedState {
    Ready { at: Duration, started: Option<Duration> },
    Lost { at: Duration },
}

/// The list as one coordinator received it, and the spans in which the coordinator's limits are suspended.
pub(super) struct ReceivedList {
    states: Vec<Option<ListedState>>,
    suspended: Vec<(Duration, Duration)>,
}

impl ReceivedList {
    pub fn new(servers: usize) -> Self {
        ReceivedList { states: vec![None; servers], suspended: Vec::new() }
    }

    /// Records that the list shows a server as ready with a given start; a repetition changes nothing.
    pub fn set_ready(&mut self, server: usize, started: Option<Duration>, now: Duration) {
        match self.states[server] {
            Some(ListedState::Ready { started: before, .. }) if before == started => {}
            _ => self.states[server] = Some(ListedState::Ready { at: now, started }),
        }
    }

    /// Records that the list shows a server as draining or removed; the first notification counts.
    pub fn set_lost(&mut self, server: usize, now: Duration) {
        if !matches!(self.states[server], Some(ListedState::Lost { .. })) {
            self.states[server] = Some(ListedState::Lost { at: now });
        }
    }

    /// Since when the coordinator knows that a server is draining or removed.
    pub fn lost_since(&self, server: usize) -> Option<Duration> {
        match self.states[server] {
            Some(ListedState::Lost { at }) => Some(at),
            _ => None,
        }
    }

    /// Since when the coordinator knows that a server is ready with this start.
    pub fn start_known_since(&self, server: usize, start: Option<Duration>) -> Option<Duration> {
        match self.states[server] {
            Some(ListedState::Ready { at, started }) if started == start => Some(at),
            _ => None,
        }
    }

    /// Whether the list shows a ready server, cold or warm, that `allows` accepts.
    pub fn has_ready(&self, allows: impl Fn(usize) -> bool) -> bool {
        let is_ready = |state: &Option<ListedState>| matches!(state, Some(ListedState::Ready { .. }));
        self.states.iter().enumerate().any(|(server, state)| is_ready(state) && allows(server))
    }

    /// Suspends the limits for a span of time.
    pub fn suspend(&mut self, from: Duration, until: Duration) {
        match self.suspended.last_mut() {
            Some(last) if last.1 >= from => last.1 = last.1.max(until),
            _ => self.suspended.push((from, until)),
        }
    }

    /// The time between `from` and `to` without the spans in which the limits were suspended.
    pub fn counted_time(&self, from: Duration, to: Duration) -> Duration {
        let overlap = |span: &(Duration, Duration)| span.1.min(to).saturating_sub(span.0.max(from));
        let suspended: Duration = self.suspended.iter().map(overlap).sum();
        to.saturating_sub(from).saturating_sub(suspended)
    }
}

#[derive(Clone, Copy, Default)]
struct NoLineState {
    since: Option<(Duration, usize)>,
    longest: Option<NoLinePeriod>,
}

/// Unacknowledged marks by order time and message, and totals of the others.
#[derive(Default)]
pub(super) struct Marks {
    waiting: BTreeSet<(Duration, u64, u16)>,
    pub acknowledged: u64,
    pub lost: u64,
    longest: Duration,
}

impl Marks {
    pub fn ordered(&mut self, at: Duration, message: u64, mark: u16) {
        self.waiting.insert((at, message, mark));
    }

    pub fn acknowledged(&mut self, at: Duration, message: u64, mark: u16, now: Duration) {
        if self.waiting.remove(&(at, message, mark)) {
            self.acknowledged += 1;
            self.longest = self.longest.max(now - at);
        }
    }

    pub fn lost(&mut self, at: Duration, message: u64, mark: u16) {
        self.lost += u64::from(self.waiting.remove(&(at, message, mark)));
    }

    pub fn waiting(&self) -> u64 {
        self.waiting.len() as u64
    }

    /// Longest time from an order until its acknowledgement, or until now if it is unacknowledged.
    pub fn longest(&self, now: Duration) -> Duration {
        let oldest = self.waiting.first().map_or(Duration::ZERO, |mark| now - mark.0);
        self.longest.max(oldest)
    }
}

/// State of the rule checks during a run.
pub(super) struct RuleChecks {
    pub received_lists: Vec<ReceivedList>,
    pub overload_crashes: Vec<OverloadCrash>,
    pub queue_breaches: Vec<QueueBreach>,
    pub unsafe_repeats: u64,
    pub misplaced_sends: u64,
    pub marks: Marks,
    no_line_states: Vec<Vec<NoLineState>>,
    drains: BTreeMap<(u16, usize, usize), DrainBreach>,
    no_line_limit: Duration,
    drain_grace: Duration,
}

impl RuleChecks {
    pub fn new(settings: &WorkloadSettings) -> Self {
        let servers = settings.servers.len();
        RuleChecks {
            received_lists: (0..settings.coordinators).map(|_| ReceivedList::new(servers)).collect(),
            overload_crashes: Vec::new(),
            queue_breaches: Vec::new(),
            unsafe_repeats: 0,
            misplaced_sends: 0,
            marks: Marks::default(),
            no_line_states: vec![
                vec![NoLineState::default(); settings.classes.len()];
                usize::from(settings.proxies)
            ],
            drains: BTreeMap::new(),
            no_line_limit: settings.no_line_limit + settings.socket_slack,
            drain_grace: settings.drain_grace + settings.socket_slack,
        }
    }

    /// Records the coordinator responsible for a proxy having no line for a class now, or `None` if there is
    /// none.
    pub fn set_no_line(
        &mut self,
        proxy: u16,
        class: usize,
        responsible_coordinator: Option<usize>,
        now: Duration,
    ) {
        let since = self.no_line_states[usize::from(proxy)][class].since;
        if since.map(|since| since.1) == responsible_coordinator {
            return;
        }
        let longest = self.longest_period(proxy, class, now);
        let since = responsible_coordinator.map(|coordinator| (now, coordinator));
        self.no_line_states[usize::from(proxy)][class] = NoLineState { since, longest };
    }

    /// Longest periods without a line by proxy and class, longest first.
    pub fn no_line_periods(&self, now: Duration) -> Vec<NoLinePeriod> {
        let mut no_line_periods = Vec::new();
        for (proxy, classes) in self.no_line_states.iter().enumerate() {
            let of_proxy =
                (0..classes.len()).filter_map(|class| self.longest_period(proxy as u16, class, now));
            no_line_periods.extend(of_proxy.filter(|period| !period.length.is_zero()));
        }
        no_line_periods.sort_by_key(|period| std::cmp::Reverse(period.length));
        no_line_periods
    }

    fn longest_period(&self, proxy: u16, class: usize, now: Duration) -> Option<NoLinePeriod> {
        let state = &self.no_line_states[usize::from(proxy)][class];
        let Some((start, coordinator)) = state.since else { return state.longest };
        let length = self.received_lists[coordinator].counted_time(start, now);
        let breaks_rule = length > self.no_line_limit;
        let present = NoLinePeriod { proxy, class, coordinator, start, length, breaks_rule };
        match state.longest {
            Some(longest) if longest.length >= length => Some(longest),
            _ => Some(present),
        }
    }

    /// Checks a send of a proxy for which `coordinator` has been responsible since `joined`.
    pub fn check_drain(
        &mut self,
        proxy: u16,
        server: usize,
        coordinator: usize,
        joined: Duration,
        now: Duration,
    ) {
        let list = &self.received_lists[coordinator];
        let Some(notified_at) = list.lost_since(server) else { return };
        let counted = list.counted_time(notified_at.max(joined), now);
        let Some(latest_after_grace) =
            counted.checked_sub(self.drain_grace).filter(|excess| !excess.is_zero())
        else {
            return;
        };
        let key = (proxy, server, coordinator);
        let new_breach = DrainBreach { proxy, server, coordinator, first: now, sends: 0, latest_after_grace };
        let breach = self.drains.entry(key).or_insert(new_breach);
        breach.sends += 1;
        breach.latest_after_grace = breach.latest_after_grace.max(latest_after_grace);
    }

    pub fn drain_breaches(&self) -> Vec<DrainBreach> {
        self.drains.values().copied().collect()
    }

    /// Whether a send to a server counts as made with knowledge of the server's start at `started`: the
    /// proxy's last message was ordered after the coordinator was notified, or the grace period since then
    /// has passed.
    pub fn knows_start(
        &self,
        coordinator: usize,
        server: usize,
        started: Option<Duration>,
        last_ordered: Option<Duration>,
        now: Duration,
    ) -> bool {
        let list = &self.received_lists[coordinator];
        let Some(notified_at) = list.start_known_since(server, started) else { return false };
        last_ordered.is_some_and(|ordered| ordered >= notified_at)
            || list.counted_time(notified_at, now) > self.drain_grace
    }
}
