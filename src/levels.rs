//! Decisions on how much each group takes in: its load state, what it can do, and the levels of its classes.

use std::collections::BTreeMap;

use crate::interface::*;
use crate::policy::{
    DEFAULT_BUSY_SHARE, DEMAND_HALF_LIFE, MIN_RATE_AGE, MIN_REPORT_WEIGHT, MIN_SHARE, MIN_TRIES,
    SETTLING_PERIOD,
};
use crate::state::*;

const OVERLOAD_WAIT: f64 = 0.6; // mean wait, in latency goals: waits spread, so well before 1 many miss the goal
const LIGHT_LOAD_WAIT: f64 = 0.5; // wait for good answers, in goals, under which a group can take more
const TARGET_BUSY_SHARE: f64 = 0.95; // busy share to which a group may be filled
const MAX_HOLD_TIME: f64 = 1.0; // latency goals an operation is held for on average, above which a group is crowded
const QUEUEING_LIMIT_SHARE: f64 = 0.9; // share of what it handles that a crowded group takes in, less by the root of the excess
const MIN_QUEUEING_FACTOR: f64 = 0.5; // the least of that root: what is held is told late
const MIN_SETTLED_SHARE: f64 = 0.6; // share of a group's traffic that must have been here for long, or sums lag behind it
const CUT_SHARE: f64 = 0.9; // a cut's share of what is handled: queues must drain
const MIN_CUT_SHARE: f64 = 0.6; // a cut leaves at least this share of what was let in: reports lag behind it
const CUT_INTERVAL: Nanos = Nanos::from_millis(2_500); // ms; reports of the last cut must have come
const LIMIT_GROWTH_FACTOR: f64 = 1.05; // growth of a limit in a step: refused operations come again, faster fills queues
const GROWTH_INTERVAL: Nanos = Nanos::from_millis(1_000); // ms; slower than reports
const PROVEN_CAPACITY_SHARE: f64 = 0.7; // share of what was handled at best to which a limit grows at once
const MAX_CEILING_MULTIPLE: f64 = 3.0; // multiple of what arrives above which a ceiling is not worth its lines
const CAP_DEVIATIONS: f64 = 1.0; // deviations a cap leaves for what arrives in a second: more lets bursts in
const CAP_SOFTNESS: f64 = 0.16; // how early a cap bites: the square of twice the excess at the mean, in deviations
const LIFT_MULTIPLE: f64 = 1.2; // a limit this far above what arrives is lifted
const UNLIMITED_RATE: f64 = 1e6; // operations a second; more than any proxy carries: a level that lets all in

/// A group's state, strain, next state, effect on the limit of what it takes in.
const GROUP_TRANSITIONS: &[(Load, Strain, Load, Limit)] = &[
    (Load::Calm, Strain::Over, Load::Shedding, Limit::Cut),
    (Load::Shedding, Strain::Over, Load::Shedding, Limit::Cut),
    (Load::Shedding, Strain::Light, Load::Shedding, Limit::Grow),
    (Load::Shedding, Strain::Idle, Load::Calm, Limit::Lift),
];

impl Controller {
    /// Carries every group through `GROUP_TRANSITIONS`: more work than it can do, whatever the cause, where only
    /// waits can tell; where busy shares are told, the ceiling of its levels does it.
    pub(crate) fn update_group_states(&mut self) {
        for index in 0..self.groups.len() {
            let arrived: f64 = self.groups[index].arrivals.iter().flatten().sum();
            let best = self.best_yield.read(self.now) * DEFAULT_BUSY_SHARE * self.own_proxy_share();
            let group = &mut self.groups[index];
            let proven = PROVEN_CAPACITY_SHARE * best * group.weight;
            // Tries that fail while the others are answered fast are lost, not crowded out.
            let (wait, answer) = (group.seen.wait() / self.goals.0, group.seen.answer_wait() / self.goals.0);
            let rested = self.now - group.changed;
            let (full, most) = (CUT_SHARE * group.seen.handled, group.limit.min(arrived));
            let strain = if wait > OVERLOAD_WAIT
                && answer > LIGHT_LOAD_WAIT
                && group.seen.tries >= MIN_TRIES
                && group.busy.is_none()
            {
                Some(Strain::Over)
            } else if answer < LIGHT_LOAD_WAIT
                && group.limit > LIFT_MULTIPLE * arrived
                && group.cold.is_none()
            {
                Some(Strain::Idle)
            } else {
                (answer < LIGHT_LOAD_WAIT).then_some(Strain::Light)
            };
            let row = GROUP_TRANSITIONS.iter().find(|row| row.0 == group.load && Some(row.1) == strain);
            let Some((_, _, next, effect)) = row else { continue };
            match effect {
                Limit::Cut if rested >= CUT_INTERVAL => {
                    group.limit = full.clamp(MIN_CUT_SHARE * most, CUT_SHARE * most)
                }
                Limit::Grow if rested >= GROWTH_INTERVAL => {
                    group.limit = (group.limit * LIMIT_GROWTH_FACTOR).max(proven)
                }
                Limit::Lift if rested >= GROWTH_INTERVAL => group.limit = f64::INFINITY,
                Limit::Cut | Limit::Grow | Limit::Lift => continue,
            }
            let (from, limit) = (group.load, group.limit);
            (group.load, group.changed) = (*next, self.now);
            if from != *next {
                self.note_transition(Transition::Group { group: index, from, to: *next, limit });
            }
        }
    }

    /// The part of all proxies that is this controller's own.
    pub(crate) fn own_proxy_share(&self) -> f64 {
        (self.proxies.len().max(1) as f64 / f64::from(self.settings.proxies.max(1))).min(1.0)
    }

    /// Counts what comes of each class to each proxy, per second, for its group; of one that joined
    /// lately and is unheard, the usual: many that come at once would else count for nothing.
    pub(crate) fn update_arrivals(&mut self) {
        let mut arrivals = vec![vec![Vec::new(); self.classes.len()]; self.groups.len()];
        let mut settled = vec![0.0; self.groups.len()];
        for proxy in self.proxies.values() {
            for (class, binding) in proxy.bindings.iter().enumerate() {
                let Some(group) = binding.group else { continue };
                let rate = self.arrival_rate(proxy, class);
                settled[group] += if self.now - proxy.joined >= SETTLING_PERIOD { rate } else { 0.0 };
                arrivals[group][class].push(rate);
            }
        }
        for (group, (arrivals, settled)) in self.groups.iter_mut().zip(arrivals.into_iter().zip(settled)) {
            group.settled = settled / arrivals.iter().flatten().sum::<f64>().max(1e-9);
            group.arrivals = arrivals;
        }
        self.usual = self.proxies.values().map(|proxy| proxy.usual_rate).sum();
    }

    /// What comes of a class to a proxy, per second; of one that joined lately and is unheard, the usual.
    pub(crate) fn arrival_rate(&self, proxy: &Proxy, class: usize) -> f64 {
        let binding = &proxy.bindings[class];
        let age = self.now - proxy.joined;
        let heard = !binding.recent.is_empty() || age >= DEMAND_HALF_LIFE;
        let rate = heard.then(|| binding.recent.rate(self.now, age.max(MIN_RATE_AGE)));
        rate.unwrap_or_else(|| self.demand(proxy, class))
    }

    /// What a group takes in at most while its servers hold operations for long: by what they hold and handle, which
    /// shows a queue before its answers come late. An operation refused at once has its answer; one that waits may have
    /// none in time.
    pub(crate) fn queueing_limit(&self, group: &Group) -> f64 {
        let handled = group.seen.handled + group.cold.map_or(0.0, |cold| cold.handled);
        // Sums hold what has been here for long; servers tell what they hold of all controllers' proxies.
        let (handled, own) =
            (handled / group.settled.max(MIN_SETTLED_SHARE), group.held * self.own_proxy_share());
        let excess = own / handled.max(MIN_REPORT_WEIGHT) / (MAX_HOLD_TIME * self.goals.0);
        if group.settled < MIN_SETTLED_SHARE || handled < 1.0 || excess <= 1.0 {
            return f64::INFINITY;
        }
        handled * QUEUEING_LIMIT_SHARE * excess.powf(-0.5).max(MIN_QUEUEING_FACTOR)
    }

    /// Levels of a group's classes: the limit goes to the most important first.
    pub(crate) fn desired_levels(&self, index: usize) -> BTreeMap<usize, (f64, FurtherTries)> {
        let group = &self.groups[index];
        // What its members can do beside what others send: a standing ceiling where busy shares are told,
        // else while some member is cold, or nothing is known yet but usual traffic and what was listed.
        let best = self.best_yield.read(self.now);
        let usual = self.usual / DEFAULT_BUSY_SHARE / self.most_listed.max(1.0);
        let each = if best > 0.0 { best * self.own_proxy_share() } else { usual };
        let fresh = (self.total_weight(index, &self.placements[0]) - group.weight).max(0.0);
        let able = match group.busy.filter(|_| best > 0.0) {
            Some(busy) => group.seen.handled + each * ((TARGET_BUSY_SHARE - busy) * group.weight + fresh),
            None if group.cold.is_some() || best == 0.0 => each * (group.weight + fresh),
            None => f64::INFINITY,
        };
        let limit = group.limit.min(able).min(self.queueing_limit(group));
        let mut levels = BTreeMap::new();
        for (class, share) in self.admitted_shares(limit, &group.arrivals) {
            let level = match self.settings.level_unit {
                LevelUnit::Share => share.min(1.0),
                LevelUnit::Rate if share < MAX_CEILING_MULTIPLE => rate_cap(&group.arrivals[class], share),
                LevelUnit::Rate => UNLIMITED_RATE,
                LevelUnit::Ignored => 1.0,
            };
            let calm = group.load == Load::Calm && group.cold.is_none() && share >= 1.0;
            // Further tries are more load; only those that surely ran nowhere are safe for every class.
            let tries = if calm { FurtherTries::Unrun } else { FurtherTries::Never };
            levels.insert(class, (level, tries));
        }
        levels
    }
}

impl Controller {
    /// The share of what arrives of each class that a limit leaves it: the most important class comes first.
    pub(crate) fn admitted_shares(&self, limit: f64, arrivals: &[Vec<f64>]) -> BTreeMap<usize, f64> {
        let sums: Vec<f64> = arrivals.iter().map(|arrivals| arrivals.iter().sum()).collect();
        let sum_of = |fits: fn(&f64, &f64) -> bool, importance: f64| -> f64 {
            let fitting = self.classes.iter().zip(&sums);
            fitting.filter(|(other, _)| fits(&other.importance, &importance)).map(|(_, sum)| sum).sum()
        };
        let share = |(class, row): (usize, &ClassRow)| {
            let left = limit - sum_of(f64::gt, row.importance);
            (class, (left / sum_of(f64::eq, row.importance).max(0.1)).max(MIN_SHARE))
        };
        // No proxy has this class here: a level would only meet who is bound next.
        let is_met = |(class, _): &(usize, &ClassRow)| !arrivals[*class].is_empty();
        self.classes.iter().enumerate().filter(is_met).map(share).collect()
    }
}

/// The rate at each proxy that lets in a share of all that arrives: the busiest give first. What arrives at
/// one proxy comes by chance, so that a cap at its mean rate refuses some and a cap above it still does.
pub(crate) fn rate_cap(arrivals: &[f64], share: f64) -> f64 {
    let most = share.max(1.0) * arrivals.iter().copied().fold(0.1, f64::max);
    let (mut low, mut high) = (0.0, most + CAP_DEVIATIONS * most.sqrt());
    if share >= 1.0 {
        return high;
    }
    let target = share * arrivals.iter().sum::<f64>();
    let taken =
        |rate: f64, cap: f64| (rate + cap - ((rate - cap).powi(2) + CAP_SOFTNESS * rate).sqrt()) / 2.0;
    for _ in 0..30 {
        let middle = (low + high) / 2.0;
        if arrivals.iter().map(|rate| taken(*rate, middle).max(0.0)).sum::<f64>() < target {
            low = middle
        } else {
            high = middle
        }
    }
    high
}
