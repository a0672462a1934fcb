//! Decisions on how much each group takes in: its load state, what it can do, and the levels of its classes.

use std::collections::BTreeMap;

use crate::interface::*;
use crate::policy::{BUSY_UNTOLD, EVIDENCE, HEARD, LASTING, LEAST, LEAST_AGE, STEP};
use crate::state::*;

const WAIT_OVER: f64 = 0.6; // mean wait, in latency goals: waits spread, so well before 1 many miss the goal
const WAIT_LIGHT: f64 = 0.5; // wait for good answers, in goals, under which a group can take more
const BUSY_GOAL: f64 = 0.95; // busy share to which a group may be filled
const HELD_LONG: f64 = 1.0; // latency goals an operation is held for on average, above which a group is crowded
const HELD_CUT: f64 = 0.9; // share of what it handles that a crowded group takes in, less by the root of the excess
const HELD_CUT_MOST: f64 = 0.5; // the least of that root: what is held is told late
const SETTLED: f64 = 0.6; // share of a group's traffic that must have been here for long, or sums lag behind it
const CUT: f64 = 0.9; // a cut's share of what is handled: queues must drain
const CUT_MOST: f64 = 0.6; // a cut leaves at least this share of what was let in: reports lag behind it
const CUT_EVERY: Nanos = Nanos::from_millis(2_500); // ms; reports of the last cut must have come
const GROWTH: f64 = 1.05; // growth of a limit in a step: refused operations come again, faster fills queues
const GROW_EVERY: Nanos = Nanos::from_millis(1_000); // ms; slower than reports
const PROVEN: f64 = 0.7; // share of what was handled at best to which a limit grows at once
const CEILING_NEAR: f64 = 3.0; // multiple of what arrives above which a ceiling is not worth its lines
const CHANCE: f64 = 1.0; // deviations a cap leaves for what arrives in a second: more lets bursts in
const SOFT: f64 = 0.16; // how early a cap bites: the square of twice the excess at the mean, in deviations
const LIFT: f64 = 1.2; // a limit this far above what arrives is lifted
const RATE_ALL: f64 = 1e6; // operations a second; more than any proxy carries: a level that lets all in

/// A group's state, strain, next state, effect on the limit of what it takes in.
const GROUP_MOVES: &[(LoadState, LoadTrigger, LoadState, LimitChange)] = &[
    (LoadState::Calm, LoadTrigger::Overloaded, LoadState::Shedding, LimitChange::Cut),
    (LoadState::Shedding, LoadTrigger::Overloaded, LoadState::Shedding, LimitChange::Cut),
    (LoadState::Shedding, LoadTrigger::Light, LoadState::Shedding, LimitChange::Grow),
    (LoadState::Shedding, LoadTrigger::Idle, LoadState::Calm, LimitChange::Remove),
];

impl Controller {
    /// Carries every group through `GROUP_MOVES`: more work than it can do, whatever the cause, where only
    /// waits can tell; where busy shares are told, the ceiling of its levels does it.
    pub(crate) fn move_groups(&mut self) {
        for index in 0..self.groups.len() {
            let arrived: f64 = self.groups[index].arrivals.iter().flatten().sum();
            let best = self.best_throughput_per_weight.read(self.now) * BUSY_UNTOLD * self.own_part();
            let group = &mut self.groups[index];
            let proven = PROVEN * best * group.weight_in_use;
            // Tries that fail while the others are answered fast are lost, not crowded out.
            let (wait, answer) = (
                group.outcomes.mean_wait() / self.latency_goal_range.0,
                group.outcomes.mean_answer_wait() / self.latency_goal_range.0,
            );
            let rested = self.now - group.changed_at;
            let (full, most) = (CUT * group.outcomes.handled_rate, group.limit.min(arrived));
            let strain = if wait > WAIT_OVER
                && answer > WAIT_LIGHT
                && group.outcomes.tries >= EVIDENCE
                && group.busy.is_none()
            {
                Some(LoadTrigger::Overloaded)
            } else if answer < WAIT_LIGHT && group.limit > LIFT * arrived && group.cold_outcomes.is_none() {
                Some(LoadTrigger::Idle)
            } else {
                (answer < WAIT_LIGHT).then_some(LoadTrigger::Light)
            };
            let row = GROUP_MOVES.iter().find(|row| row.0 == group.load && Some(row.1) == strain);
            let Some((_, _, next, effect)) = row else { continue };
            match effect {
                LimitChange::Cut if rested >= CUT_EVERY => {
                    group.limit = full.clamp(CUT_MOST * most, CUT * most)
                }
                LimitChange::Grow if rested >= GROW_EVERY => group.limit = (group.limit * GROWTH).max(proven),
                LimitChange::Remove if rested >= GROW_EVERY => group.limit = f64::INFINITY,
                LimitChange::Cut | LimitChange::Grow | LimitChange::Remove => continue,
            }
            let (from, limit) = (group.load, group.limit);
            (group.load, group.changed_at) = (*next, self.now);
            if from != *next {
                self.record_transition(Transition::Group { group: index, from, to: *next, limit });
            }
        }
    }

    /// The part of all proxies that is this controller's own.
    pub(crate) fn own_part(&self) -> f64 {
        (self.proxies.len().max(1) as f64 / f64::from(self.settings.proxies.max(1))).min(1.0)
    }

    /// Counts what comes of each class to each proxy, per second, for its group; of one that joined
    /// lately and is unheard, the usual: many that come at once would else count for nothing.
    pub(crate) fn count_arrivals(&mut self) {
        let mut arrivals = vec![vec![Vec::new(); self.classes.len()]; self.groups.len()];
        let mut settled = vec![0.0; self.groups.len()];
        for proxy in self.proxies.values() {
            for (class, binding) in proxy.bindings.iter().enumerate() {
                let Some(group) = binding.group else { continue };
                let rate = self.arrival_rate(proxy, class);
                settled[group] += if self.now - proxy.joined_at >= STEP { rate } else { 0.0 };
                arrivals[group][class].push(rate);
            }
        }
        for (group, (arrivals, settled)) in self.groups.iter_mut().zip(arrivals.into_iter().zip(settled)) {
            group.settled_share = settled / arrivals.iter().flatten().sum::<f64>().max(1e-9);
            group.arrivals = arrivals;
        }
        self.usual_rate = self.proxies.values().map(|proxy| proxy.usual_rate).sum();
    }

    /// What comes of a class to a proxy, per second; of one that joined lately and is unheard, the usual.
    pub(crate) fn arrival_rate(&self, proxy: &Proxy, class: usize) -> f64 {
        let binding = &proxy.bindings[class];
        let age = self.now - proxy.joined_at;
        let heard = !binding.recent_demand.is_empty() || age >= LASTING;
        let rate = heard.then(|| binding.recent_demand.rate(self.now, age.max(LEAST_AGE)));
        rate.unwrap_or_else(|| self.demand(proxy, class))
    }

    /// What a group takes in at most while its servers hold operations for long: by what they hold and handle, which
    /// shows a queue before its answers come late. An operation refused at once has its answer; one that waits may have
    /// none in time.
    pub(crate) fn crowded_limit(&self, group: &Group) -> f64 {
        let handled = group.outcomes.handled_rate + group.cold_outcomes.map_or(0.0, |cold| cold.handled_rate);
        // Sums hold what has been here for long; servers tell what they hold of all controllers' proxies.
        let (handled, own) = (handled / group.settled_share.max(SETTLED), group.in_flight * self.own_part());
        let excess = own / handled.max(HEARD) / (HELD_LONG * self.latency_goal_range.0);
        if group.settled_share < SETTLED || handled < 1.0 || excess <= 1.0 {
            return f64::INFINITY;
        }
        handled * HELD_CUT * excess.powf(-0.5).max(HELD_CUT_MOST)
    }

    /// Levels of a group's classes: the limit goes to the most important first.
    pub(crate) fn wanted_levels(&self, index: usize) -> BTreeMap<usize, (f64, Retries)> {
        let group = &self.groups[index];
        // What its members can do beside what others send: a standing ceiling where busy shares are told,
        // else while some member is cold, or nothing is known yet but usual traffic and what was listed.
        let best = self.best_throughput_per_weight.read(self.now);
        let usual = self.usual_rate / BUSY_UNTOLD / self.max_listed_weight.max(1.0);
        let each = if best > 0.0 { best * self.own_part() } else { usual };
        let fresh = (self.weight_of(index, &self.placements[0]) - group.weight_in_use).max(0.0);
        let able = match group.busy.filter(|_| best > 0.0) {
            Some(busy) => {
                group.outcomes.handled_rate + each * ((BUSY_GOAL - busy) * group.weight_in_use + fresh)
            }
            None if group.cold_outcomes.is_some() || best == 0.0 => each * (group.weight_in_use + fresh),
            None => f64::INFINITY,
        };
        let limit = group.limit.min(able).min(self.crowded_limit(group));
        let mut levels = BTreeMap::new();
        for (class, share) in self.shares_within(limit, &group.arrivals) {
            let level = match self.settings.level_unit {
                LevelUnit::Share => share.min(1.0),
                LevelUnit::Rate if share < CEILING_NEAR => even_cap(&group.arrivals[class], share),
                LevelUnit::Rate => RATE_ALL,
                LevelUnit::Ignored => 1.0,
            };
            let calm = group.load == LoadState::Calm && group.cold_outcomes.is_none() && share >= 1.0;
            // Further tries are more load; only those that surely ran nowhere are safe for every class.
            let tries = if calm { Retries::IfNotExecuted } else { Retries::Never };
            levels.insert(class, (level, tries));
        }
        levels
    }
}

impl Controller {
    /// The share of what arrives of each class that a limit leaves it: the most important class comes first.
    pub(crate) fn shares_within(&self, limit: f64, arrivals: &[Vec<f64>]) -> BTreeMap<usize, f64> {
        let sums: Vec<f64> = arrivals.iter().map(|arrivals| arrivals.iter().sum()).collect();
        let sum_of = |fits: fn(&f64, &f64) -> bool, importance: f64| -> f64 {
            let fitting = self.classes.iter().zip(&sums);
            fitting.filter(|(other, _)| fits(&other.importance, &importance)).map(|(_, sum)| sum).sum()
        };
        let share = |(class, row): (usize, &ClassRules)| {
            let left = limit - sum_of(f64::gt, row.importance);
            (class, (left / sum_of(f64::eq, row.importance).max(0.1)).max(LEAST))
        };
        // No proxy has this class here: a level would only meet who is bound next.
        let is_met = |(class, _): &(usize, &ClassRules)| !arrivals[*class].is_empty();
        self.classes.iter().enumerate().filter(is_met).map(share).collect()
    }
}

/// The rate at each proxy that lets in a share of all that arrives: the busiest give first. What arrives at
/// one proxy comes by chance, so that a cap at its mean rate refuses some and a cap above it still does.
pub(crate) fn even_cap(arrivals: &[f64], share: f64) -> f64 {
    let most = share.max(1.0) * arrivals.iter().copied().fold(0.1, f64::max);
    let (mut low, mut high) = (0.0, most + CHANCE * most.sqrt());
    if share >= 1.0 {
        return high;
    }
    let target = share * arrivals.iter().sum::<f64>();
    let taken = |rate: f64, cap: f64| (rate + cap - ((rate - cap).powi(2) + SOFT * rate).sqrt()) / 2.0;
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
