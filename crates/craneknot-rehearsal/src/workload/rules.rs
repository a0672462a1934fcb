//! What the list told each coordinator, and the rules that are judged by it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::settings::WorkloadSettings;
use super::summary::{DrainBreach, NoLinePeriod, OverloadCrash, QueueBreach};

#[derive(Clone, Copy)]
enum Told {
    Ready { at: Duration, started: Option<Duration> },
    Lost { at: Duration },
}

/// The list as one coordinator was told it, and the times in which its limits are held off.
pub(super) struct ToldList {
    told: Vec<Option<Told>>,
    held_off: Vec<(Duration, Duration)>,
}

impl ToldList {
    pub fn new(servers: usize) -> Self {
        ToldList { told: vec![None; servers], held_off: Vec::new() }
    }

    /// The list shows a server ready that started then; telling it again changes nothing.
    pub fn tell_ready(&mut self, server: usize, started: Option<Duration>, now: Duration) {
        match self.told[server] {
            Some(Told::Ready { started: before, .. }) if before == started => {}
            _ => self.told[server] = Some(Told::Ready { at: now, started }),
        }
    }

    /// The list shows a server draining or gone; the first such telling counts.
    pub fn tell_lost(&mut self, server: usize, now: Duration) {
        if !matches!(self.told[server], Some(Told::Lost { .. })) {
            self.told[server] = Some(Told::Lost { at: now });
        }
    }

    /// Since when the coordinator knows that a server drains or is gone.
    pub fn lost_since(&self, server: usize) -> Option<Duration> {
        match self.told[server] {
            Some(Told::Lost { at }) => Some(at),
            _ => None,
        }
    }

    /// Since when the coordinator knows of this start.
    pub fn knows_start_since(&self, server: usize, start: Option<Duration>) -> Option<Duration> {
        match self.told[server] {
            Some(Told::Ready { at, started }) if started == start => Some(at),
            _ => None,
        }
    }

    /// Whether the list shows a ready server, cold or warm, among those that `allows` lets pass.
    pub fn has_ready(&self, allows: impl Fn(usize) -> bool) -> bool {
        let is_ready = |told: &Option<Told>| matches!(told, Some(Told::Ready { .. }));
        self.told.iter().enumerate().any(|(server, told)| is_ready(told) && allows(server))
    }

    /// Holds the limits off for some time.
    pub fn hold_off(&mut self, from: Duration, until: Duration) {
        match self.held_off.last_mut() {
            Some(last) if last.1 >= from => last.1 = last.1.max(until),
            _ => self.held_off.push((from, until)),
        }
    }

    /// The time between two moments in which the limits were not held off.
    pub fn counted(&self, from: Duration, to: Duration) -> Duration {
        let overlap = |span: &(Duration, Duration)| span.1.min(to).saturating_sub(span.0.max(from));
        let held_off: Duration = self.held_off.iter().map(overlap).sum();
        to.saturating_sub(from).saturating_sub(held_off)
    }
}

#[derive(Clone, Copy, Default)]
struct Lack {
    since: Option<(Duration, usize)>,
    longest: Option<NoLinePeriod>,
}

/// Marks on their way, by order time and message.
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

    /// Longest time until an acknowledgement, or until now.
    pub fn longest(&self, now: Duration) -> Duration {
        let oldest = self.waiting.first().map_or(Duration::ZERO, |mark| now - mark.0);
        self.longest.max(oldest)
    }
}

/// What is judged while the day runs.
pub(super) struct Rules {
    pub lists: Vec<ToldList>,
    pub overload_crashes: Vec<OverloadCrash>,
    pub queue_breaches: Vec<QueueBreach>,
    pub unsafe_repeats: u64,
    pub misplaced_sends: u64,
    pub marks: Marks,
    no_line_periods: Vec<Vec<Lack>>,
    drains: BTreeMap<(u16, usize, usize), DrainBreach>,
    lack_limit: Duration,
    grace: Duration,
}

impl Rules {
    pub fn new(settings: &WorkloadSettings) -> Self {
        let servers = settings.servers.len();
        Rules {
            lists: (0..settings.coordinators).map(|_| ToldList::new(servers)).collect(),
            overload_crashes: Vec::new(),
            queue_breaches: Vec::new(),
            unsafe_repeats: 0,
            misplaced_sends: 0,
            marks: Marks::default(),
            no_line_periods: vec![
                vec![Lack::default(); settings.classes.len()];
                usize::from(settings.proxies)
            ],
            drains: BTreeMap::new(),
            lack_limit: settings.no_line_limit + settings.socket_slack,
            grace: settings.drain_grace + settings.socket_slack,
        }
    }

    /// Records whether a proxy lacks a line for a class now, and which coordinator answers for it.
    pub fn set_lack(&mut self, proxy: u16, class: usize, answerable: Option<usize>, now: Duration) {
        let since = self.no_line_periods[usize::from(proxy)][class].since;
        if since.map(|since| since.1) == answerable {
            return;
        }
        let longest = self.longest_so_far(proxy, class, now);
        let since = answerable.map(|coordinator| (now, coordinator));
        self.no_line_periods[usize::from(proxy)][class] = Lack { since, longest };
    }

    /// Lacks by proxy and class, longest first.
    pub fn no_line_periods(&self, now: Duration) -> Vec<NoLinePeriod> {
        let mut no_line_periods = Vec::new();
        for (proxy, classes) in self.no_line_periods.iter().enumerate() {
            let of_proxy =
                (0..classes.len()).filter_map(|class| self.longest_so_far(proxy as u16, class, now));
            no_line_periods.extend(of_proxy.filter(|lack| !lack.length.is_zero()));
        }
        no_line_periods.sort_by_key(|lack| std::cmp::Reverse(lack.length));
        no_line_periods
    }

    fn longest_so_far(&self, proxy: u16, class: usize, now: Duration) -> Option<NoLinePeriod> {
        let lack = &self.no_line_periods[usize::from(proxy)][class];
        let Some((start, coordinator)) = lack.since else { return lack.longest };
        let length = self.lists[coordinator].counted(start, now);
        let breaks_rule = length > self.lack_limit;
        let present = NoLinePeriod { proxy, class, coordinator, start, length, breaks_rule };
        match lack.longest {
            Some(longest) if longest.length >= length => Some(longest),
            _ => Some(present),
        }
    }

    /// Judges a send of a proxy for which `coordinator` has answered since `joined`.
    pub fn check_drain(
        &mut self,
        proxy: u16,
        server: usize,
        coordinator: usize,
        joined: Duration,
        now: Duration,
    ) {
        let list = &self.lists[coordinator];
        let Some(told) = list.lost_since(server) else { return };
        let counted = list.counted(told.max(joined), now);
        let Some(latest_after_grace) = counted.checked_sub(self.grace).filter(|over| !over.is_zero()) else {
            return;
        };
        let key = (proxy, server, coordinator);
        let fresh = DrainBreach { proxy, server, coordinator, first: now, sends: 0, latest_after_grace };
        let breach = self.drains.entry(key).or_insert(fresh);
        breach.sends += 1;
        breach.latest_after_grace = breach.latest_after_grace.max(latest_after_grace);
    }

    pub fn drain_breaches(&self) -> Vec<DrainBreach> {
        self.drains.values().copied().collect()
    }

    /// Whether a send to a server that started then was made knowing of the start.
    pub fn knows_start(
        &self,
        coordinator: usize,
        server: usize,
        started: Option<Duration>,
        last_ordered: Option<Duration>,
        now: Duration,
    ) -> bool {
        let list = &self.lists[coordinator];
        let Some(told) = list.knows_start_since(server, started) else { return false };
        last_ordered.is_some_and(|ordered| ordered >= told) || list.counted(told, now) > self.grace
    }
}
