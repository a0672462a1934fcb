//! How much load each group admits: its load state, its capacity, and the levels of its classes.

use std::collections::BTreeMap;

use crate::interface::*;
use crate::policy::{DEFAULT_BUSY_SHARE, MIN_REPORT_WEIGHT, MIN_SHARE, MIN_TRIES};
use crate::state::*;

/// Mean wait, in latency goals, from which a group is overloaded; well below 1, since waits vary and many operations
/// would already miss their goal.
const OVERLOAD_WAIT: f64 = 0.6;
/// Mean wait for successful answers, in latency goals, below which a group can admit more.
const LIGHT_LOAD_WAIT: f64 = 0.5;
/// Busy share up to which a group may be loaded.
const TARGET_BUSY_SHARE: f64 = 0.95;
/// Mean time that operations are held, in latency goals, above which a group is queueing.
const MAX_HOLD_TIME: f64 = 1.0;
/// Share of its throughput that a queueing group admits, further divided by the square root of the excess.
const QUEUEING_LIMIT_SHARE: f64 = 0.9;
/// Lower bound of the factor 1/sqrt(excess), since reports of held operations arrive late.
const MIN_QUEUEING_FACTOR: f64 = 0.5;
/// Share of a group's traffic that must come from proxies that joined a while ago; otherwise load reports lag behind
/// the traffic.
const MIN_SETTLED_SHARE: f64 = 0.6;
/// Share of the throughput that is admitted after a cut, so that queues drain.
const CUT_SHARE: f64 = 0.9;
/// Smallest share of the previously admitted load that one cut leaves, since reports lag behind the limit.
const MIN_CUT_SHARE: f64 = 0.6;
/// Time between cuts, in which reports on the last one arrive.
const CUT_INTERVAL: Nanos = Nanos::from_millis(2_500);
/// Growth of a limit per step: rejected operations are retried, so that faster growth fills the queues.
const LIMIT_GROWTH_FACTOR: f64 = 1.05;
/// Time between growth steps; slower than reports arrive.
const GROWTH_INTERVAL: Nanos = Nanos::from_millis(1_000);
/// Share of the best observed throughput to which a limit grows in one step.
const PROVEN_CAPACITY_SHARE: f64 = 0.7;
/// Multiple of the arrivals above which a ceiling is not worth the lines it costs in the channel.
const MAX_CEILING_MULTIPLE: f64 = 3.0;
/// Standard deviations that a cap leaves above the arrivals of a second; more admits bursts.
const CAP_DEVIATIONS: f64 = 1.0;
/// How early a cap takes effect: the square of twice the excess at the mean, in standard deviations.
const CAP_SOFTNESS: f64 = 0.16;
/// A limit above this multiple of the arrivals is removed.
const LIFT_MULTIPLE: f64 = 1.2;
/// Level that admits everything, in operations per second: more than any proxy carries.
const UNLIMITED_RATE: f64 = 1e6;

/// The state machine of a group's load: state, trigger, next state, change of the limit of admitted load.
const GROUP_TRANSITIONS: &[(LoadState, LoadTrigger, LoadState, LimitChange)] = &[
    (LoadState::Calm, LoadTrigger::Overloaded, LoadState::Shedding, LimitChange::Cut),
    (LoadState::Shedding, LoadTrigger::Overloaded, LoadState::Shedding, LimitChange::Cut),
    (LoadState::Shedding, LoadTrigger::Light, LoadState::Shedding, LimitChange::Grow),
    (LoadState::Shedding, LoadTrigger::Idle, LoadState::Calm, LimitChange::Remove),
];

impl Controller {
    /// Applies `GROUP_TRANSITIONS` to every group. An overload of any cause is detected here only by wait times; where
    /// servers report busy shares, the ceiling of the group's levels limits the load instead.
    pub(crate) fn update_group_states(&mut self) {
        for index in 0..self.groups.len() {
            let arrived: f64 = self.groups[index].arrivals.iter().flatten().sum();
            let best_throughput =
                self.best_throughput_per_weight.read(self.now) * DEFAULT_BUSY_SHARE * self.own_proxy_share();
            let group = &mut self.groups[index];
            let proven = PROVEN_CAPACITY_SHARE * best_throughput * group.weight_in_use;
            // If tries fail while the others are answered quickly, the cause is loss rather than overload.
            let (wait, answer) = (
                group.outcomes.mean_wait() / self.latency_goal_range.0,
                group.outcomes.mean_answer_wait() / self.latency_goal_range.0,
            );
            let since_change = self.now - group.changed_at;
            let (drain_limit, admitted) = (CUT_SHARE * group.outcomes.handled_rate, group.limit.min(arrived));
            let trigger = if wait > OVERLOAD_WAIT
                && answer > LIGHT_LOAD_WAIT
                && group.outcomes.tries >= MIN_TRIES
                && group.busy.is_none()
            {
                Some(LoadTrigger::Overloaded)
            } else if answer < LIGHT_LOAD_WAIT
                && group.limit > LIFT_MULTIPLE * arrived
                && group.cold_outcomes.is_none()
            {
                Some(LoadTrigger::Idle)
            } else {
                (answer < LIGHT_LOAD_WAIT).then_some(LoadTrigger::Light)
            };
            let row = GROUP_TRANSITIONS.iter().find(|row| row.0 == group.load && Some(row.1) == trigger);
            let Some((_, _, next, effect)) = row else { continue };
            match effect {
                LimitChange::Cut if since_change >= CUT_INTERVAL => {
                    group.limit = drain_limit.clamp(MIN_CUT_SHARE * admitted, CUT_SHARE * admitted)
                }
                LimitChange::Grow if since_change >= GROWTH_INTERVAL => {
                    group.limit = (group.limit * LIMIT_GROWTH_FACTOR).max(proven)
                }
                LimitChange::Remove if since_change >= GROWTH_INTERVAL => group.limit = f64::INFINITY,
                LimitChange::Cut | LimitChange::Grow | LimitChange::Remove => continue,
            }
            let (from, limit) = (group.load, group.limit);
            (group.load, group.changed_at) = (*next, self.now);
            if from != *next {
                self.record_transition(Transition::Group { group: index, from, to: *next, limit });
            }
        }
    }

    /// Returns the limit of admitted load while the servers of a group hold operations for long. The held operations
    /// and the throughput show a queue before its answers are late. An operation rejected at once has its answer,
    /// whereas one that waits may get none in time.
    pub(crate) fn queueing_limit(&self, group: &Group) -> f64 {
        let handled = group.outcomes.handled_rate + group.cold_outcomes.map_or(0.0, |cold| cold.handled_rate);
        // Load reports cover settled traffic only, and servers report the operations they hold for the proxies of all
        // controllers.
        let (handled, own_held) =
            (handled / group.settled_share.max(MIN_SETTLED_SHARE), group.in_flight * self.own_proxy_share());
        let excess = own_held / handled.max(MIN_REPORT_WEIGHT) / (MAX_HOLD_TIME * self.latency_goal_range.0);
        if group.settled_share < MIN_SETTLED_SHARE || handled < 1.0 || excess <= 1.0 {
            return f64::INFINITY;
        }
        handled * QUEUEING_LIMIT_SHARE * excess.powf(-0.5).max(MIN_QUEUEING_FACTOR)
    }

    /// Returns the levels of a group's classes: the limit is allocated to the most important class first.
    pub(crate) fn desired_levels(&self, index: usize) -> BTreeMap<usize, (f64, Retries)> {
        let group = &self.groups[index];
        // Capacity of the members that is left beside the load of other controllers: a permanent ceiling where busy
        // shares are reported; otherwise a ceiling only while some member is cold or while nothing is known but the
        // usual traffic and the listed weights.
        let best_throughput = self.best_throughput_per_weight.read(self.now);
        let usual_throughput = self.usual_rate / DEFAULT_BUSY_SHARE / self.max_listed_weight.max(1.0);
        let throughput_per_weight =
            if best_throughput > 0.0 { best_throughput * self.own_proxy_share() } else { usual_throughput };
        let cold_weight = (self.total_weight(index, &self.placements[0]) - group.weight_in_use).max(0.0);
        let capacity = match group.busy.filter(|_| best_throughput > 0.0) {
            Some(busy) => {
                group.outcomes.handled_rate
                    + throughput_per_weight * ((TARGET_BUSY_SHARE - busy) * group.weight_in_use + cold_weight)
            }
            None if group.cold_outcomes.is_some() || best_throughput == 0.0 => {
                throughput_per_weight * (group.weight_in_use + cold_weight)
            }
            None => f64::INFINITY,
        };
        let limit = group.limit.min(capacity).min(self.queueing_limit(group));
        let mut levels = BTreeMap::new();
        for (class, share) in self.admitted_shares(limit, &group.arrivals) {
            let level = match self.settings.level_unit {
                LevelUnit::Share => share.min(1.0),
                LevelUnit::Rate if share < MAX_CEILING_MULTIPLE => rate_cap(&group.arrivals[class], share),
                LevelUnit::Rate => UNLIMITED_RATE,
                LevelUnit::Ignored => 1.0,
            };
            let is_calm = group.load == LoadState::Calm && group.cold_outcomes.is_none() && share >= 1.0;
            // Further tries add load, and only tries that have certainly not run are safe to repeat for every class.
            let allowed_retries = if is_calm { Retries::IfNotExecuted } else { Retries::Never };
            levels.insert(class, (level, allowed_retries));
        }
        levels
    }
}

impl Controller {
    /// Returns the share of each class's arrivals that a limit admits; the most important class comes first.
    pub(crate) fn admitted_shares(&self, limit: f64, arrivals: &[Vec<f64>]) -> BTreeMap<usize, f64> {
        let totals: Vec<f64> = arrivals.iter().map(|arrivals| arrivals.iter().sum()).collect();
        let total_where = |fits: fn(&f64, &f64) -> bool, importance: f64| -> f64 {
            let classes = self.classes.iter().zip(&totals);
            classes.filter(|(other, _)| fits(&other.importance, &importance)).map(|(_, total)| total).sum()
        };
        let share = |(class, rules): (usize, &ClassRules)| {
            let remaining = limit - total_where(f64::gt, rules.importance);
            (class, (remaining / total_where(f64::eq, rules.importance).max(0.1)).max(MIN_SHARE))
        };
        // Skip classes that no proxy uses here: a level would only affect the proxies that are bound next.
        let is_used = |(class, _): &(usize, &ClassRules)| !arrivals[*class].is_empty();
        self.classes.iter().enumerate().filter(is_used).map(share).collect()
    }
}

/// Returns the rate per proxy that admits a share of all arrivals; the busiest proxies are limited first. Arrivals at
/// one proxy are random, so a cap at its mean rate rejects some operations, and even a cap above it does.
pub(crate) fn rate_cap(arrivals: &[f64], share: f64) -> f64 {
    let max_rate = share.max(1.0) * arrivals.iter().copied().fold(0.1, f64::max);
    let (mut low, mut high) = (0.0, max_rate + CAP_DEVIATIONS * max_rate.sqrt());
    if share >= 1.0 {
        return high;
    }
    let target = share * arrivals.iter().sum::<f64>();
    let admitted =
        |rate: f64, cap: f64| (rate + cap - ((rate - cap).powi(2) + CAP_SOFTNESS * rate).sqrt()) / 2.0;
    for _ in 0..30 {
        let middle = (low + high) / 2.0;
        if arrivals.iter().map(|rate| admitted(*rate, middle).max(0.0)).sum::<f64>() < target {
            low = middle
        } else {
            high = middle
        }
    }
    high
}
