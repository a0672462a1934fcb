//! Replaces the listed weights of servers by weights from their estimated capacities.
//!
//! The path of the decisions stays as it is: servers are partitioned, bound and weighted by listed weight. Only that weight
//! changes: in place of the configured value stands a lower bound of the estimated capacity, adjusted ("tilted") by zone
//! according to the plan. A weight changes only if the difference is worth the update and lasts for a while; after a jump of
//! the capacity it changes at once. Every coordinator computes weights for itself, from what servers report of all their
//! traffic, so that two coordinators that see different parts of it come to the same weights and do not chase one another.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use craneknot::interface::*;
use serde::{Deserialize, Serialize};

use crate::estimate::{Capacity, Doubt, Estimator, ListedServer, TryReport, WarmUp};
use crate::plan::{Class, Fleet, Plan, Server};

const PLAN_INTERVAL: Nanos = Nanos::from_millis(2_000); // long enough for a few reports
const START_DELAY: Nanos = Nanos::from_millis(4_000); // weights stay as listed after a start: the first estimates are chance
const SETTLED_DEVIATION: f64 = 0.25; // deviation of an estimate below which it replaces the listed weight
const MIN_DURATION: Nanos = Nanos::from_millis(4_000); // how long a difference lasts before the weight changes
const JUMP: f64 = 0.4; // difference of the logarithm that is applied at once: half or one and a half times
const JUMP_DEVIATIONS: f64 = 2.5; // and deviations of the estimate it must exceed, as it may be chance in a new estimate
const CHURN_DEVIATIONS: f64 = 1.0; // deviations of the estimate that are added to the difference worth an update
const UNIT_RATIO_MAX: f64 = 3.0; // largest factor between a weight and the listed one, in the common unit
const UNIT_CHANGE: f64 = 2.0; // factor by which the unit may be off before all weights are sent in a new one
const TILT: (f64, f64) = (0.8, 1.25); // bounds of a zone's tilt, since admission levels rely on weights too
const TILT_SMOOTHING: f64 = 0.3; // part of the way to the tilt of a new plan: plans of equal cost must not cause swings
const DEMAND_HALF_LIFE: Nanos = Nanos::from_millis(5_000); // of the demand that plans are made for
pub const DEFAULT_MARGIN: f64 = 1.0; // deviations: five of six capacities lie above
pub const DEFAULT_CHURN: f64 = 0.1; // the difference for which the decisions send a line
pub const DEFAULT_CROSSING_COST: f64 = 0.2; // in service times: network latency is short
const MIN_WEIGHT: f64 = 0.02; // fraction of the capacity: some traffic must remain to observe the server by
const PLAN_FLOWS_MAX: usize = 20_000; // larger plans would take too long, and are not made; zones then have no tilt
const HISTORY: usize = 4_096; // changes of weights that are kept with their causes

/// Settings of a [`WeightTuner`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub classes: Vec<ClassSettings>,
    pub zones: usize,
    pub warm_up: WarmUp,
    /// Number of proxies of all coordinators together.
    pub proxies: u32,
    /// Deviations of an estimate that are kept as a margin.
    pub margin: f64,
    /// Difference of the logarithm of a weight that is worth an update.
    pub churn: f64,
    /// Cost of an operation between zones, by zone of the proxy and of the server, in service times.
    pub crossing: Vec<Vec<f64>>,
}

/// State of a weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The listed weight, as long as there is no better estimate.
    Listed,
    /// A computed weight that still holds.
    Held,
    /// A computed weight that differs from the current estimate, and may be due for a change.
    Due,
}

/// How a weight compares with the current estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sign {
    /// The estimate is certain enough to replace the listed weight.
    Settled,
    /// The difference is large enough to be applied at once.
    Jumped,
    /// The difference has lasted for the minimum duration.
    Lasted,
    Differs,
    Agrees,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    /// The weight changes.
    Apply,
    /// The minimum duration starts.
    Wait,
    None,
}

/// State of a weight, sign, next state, effect. The first row of the state whose sign holds applies.
const TRANSITIONS: &[(State, Sign, State, Effect)] = &[
    (State::Listed, Sign::Settled, State::Held, Effect::Apply),
    (State::Held, Sign::Jumped, State::Held, Effect::Apply),
    (State::Due, Sign::Jumped, State::Held, Effect::Apply),
    (State::Due, Sign::Lasted, State::Held, Effect::Apply),
    (State::Held, Sign::Differs, State::Due, Effect::Wait),
    (State::Due, Sign::Agrees, State::Held, Effect::None),
];

/// Why a weight changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The first estimate replaced the listed weight.
    Found,
    /// The estimate jumped.
    Changed,
    /// The estimate differed for the minimum duration.
    Differed,
    /// All weights changed to another unit.
    Unit,
}

/// One change of a weight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Seconds since the start of the tuner.
    pub at_s: f64,
    pub server: String,
    pub from: f64,
    pub to: f64,
    pub cause: Cause,
    /// The estimated capacity in operations per second, its deviation, the share of lost answers, and the zone's tilt at the
    /// time of the change.
    pub capacity: f64,
    pub deviation: f64,
    pub loss: f64,
    pub tilt: f64,
}

/// A listed server and its weight.
struct Entry {
    listing: Listing,
    state: State,
    /// Start of the current difference.
    since: Nanos,
    /// The weight in use.
    weight: f64,
}

/// A sum that decays exponentially.
#[derive(Clone, Copy, Default)]
struct DecayingSum {
    sum: f64,
    at: Nanos,
}

impl DecayingSum {
    fn read(&self, now: Nanos) -> f64 {
        self.sum * 0.5f64.powf((now - self.at).secs() / DEMAND_HALF_LIFE.secs())
    }

    fn add(&mut self, now: Nanos, amount: f64) {
        *self = DecayingSum { sum: self.read(now) + amount, at: now };
    }

    /// Rate per second of a sum that was first added to `age` ago.
    fn rate(&self, now: Nanos, age: Nanos) -> f64 {
        let filled = 1.0 - 0.5f64.powf(age.secs().max(1.0) / DEMAND_HALF_LIFE.secs());
        self.read(now) * std::f64::consts::LN_2 / DEMAND_HALF_LIFE.secs() / filled
    }
}

/// Computes weights from the events that the decisions get.
pub struct WeightTuner {
    settings: Settings,
    estimator: Estimator,
    entries: BTreeMap<ServerId, Entry>,
    proxies: BTreeMap<ProxyId, ZoneId>,
    /// Number of this coordinator's own proxies, if it is set directly.
    own_proxies: Option<u32>,
    demand: BTreeMap<(usize, usize), DecayingSum>,
    started_at: Nanos,
    next_plan_at: Nanos,
    /// Logarithm of the capacity in operations per second for a unit of weight, once known.
    unit: Option<f64>,
    tilts: Vec<f64>,
    plan: Option<(Fleet, Plan, Vec<ServerId>)>,
    history: VecDeque<Change>,
    /// Number of changes that were not yet taken.
    pending_changes: usize,
    /// Plans that the solver gave up on or that were too large.
    unsolved: u64,
    solved: u64,
}

impl WeightTuner {
    pub fn new(settings: Settings, now: Nanos) -> Self {
        WeightTuner {
            estimator: Estimator::new(settings.warm_up),
            tilts: vec![1.0; settings.zones],
            settings,
            entries: BTreeMap::new(),
            proxies: BTreeMap::new(),
            own_proxies: None,
            demand: BTreeMap::new(),
            started_at: now,
            next_plan_at: now + START_DELAY,
            unit: None,
            plan: None,
            history: VecDeque::new(),
            pending_changes: 0,
            unsolved: 0,
            solved: 0,
        }
    }

    /// Handles the events that the decisions are about to get, replaces listed weights in them, and adds a list of the
    /// weights that change.
    pub fn step(&mut self, now: Nanos, events: &mut Vec<Event>) {
        for event in events.iter_mut() {
            match event {
                Event::List { scope: ListScope::Failed, .. } => {}
                Event::List { scope, entries } => *entries = self.apply_list(now, *scope, entries),
                Event::ProxyJoined { proxy, zone, .. } => {
                    self.proxies.insert(*proxy, *zone);
                }
                Event::ProxyLeft { proxy } => {
                    self.proxies.remove(proxy);
                }
                Event::TriesReported { server, tries, unanswered, latency, report, .. } => {
                    let (tries, unanswered, latency, report) = (*tries, *unanswered, *latency, *report);
                    self.record_tries(now, server, &TryReport { tries, unanswered, latency, report });
                }
                Event::Demand { proxy, class, arrived, .. } => {
                    if let Some(zone) = self.proxies.get(proxy).copied() {
                        self.record_demand(now, zone, *class, *arrived);
                    }
                }
                Event::ExistingBinding { .. }
                | Event::Probed { .. }
                | Event::Applied { .. }
                | Event::OrderRefused { .. }
                | Event::ChannelLoad { .. }
                | Event::Woken
                | Event::PeerMessage { .. }
                | Event::SliceAssigned { .. }
                | Event::SliceLine { .. }
                | Event::SliceDemand { .. } => {}
            }
        }
        events.extend(self.update(now));
    }

    /// Handles a list of servers; returns it with weights replaced.
    pub fn apply_list(&mut self, now: Nanos, scope: ListScope, entries: &[Listing]) -> Arc<[Listing]> {
        if matches!(scope, ListScope::Whole | ListScope::Remembered) {
            let known: Vec<ServerId> = self.entries.keys().cloned().collect();
            for server in known.iter().filter(|id| !entries.iter().any(|entry| entry.server == **id)) {
                self.entries.remove(server);
                self.estimator.remove(server);
            }
        }
        let replace_weight = |entry: &Listing| {
            if entry.readiness == Readiness::Removed {
                self.entries.remove(&entry.server);
                self.estimator.remove(&entry.server);
                return entry.clone();
            }
            let weight = entry.weight.filter(|weight| weight.is_finite() && *weight > 0.0).unwrap_or(1.0);
            self.estimator.insert(
                now,
                &entry.server,
                ListedServer { kind: entry.kind, weight, started: entry.started },
            );
            let known = self.entries.get(&entry.server);
            let is_new = known.is_none_or(|known| known.listing.started != entry.started);
            let (state, current) = match known.filter(|_| !is_new) {
                Some(known) => (known.state, known.weight),
                // A new server starts with the weight of its kind.
                None => match self.unit {
                    Some(unit) => (State::Held, self.weight(now, &entry.server, entry.zone, weight, unit)),
                    None => (State::Listed, weight),
                },
            };
            let listing = Listing { weight: Some(weight), ..entry.clone() };
            let new_entry = Entry { listing, state, since: now, weight: current };
            self.entries.insert(entry.server.clone(), new_entry);
            Listing { weight: Some(current), ..entry.clone() }
        };
        entries.iter().map(replace_weight).collect()
    }

    /// Records a report of proxies on their tries at a server.
    pub fn record_tries(&mut self, now: Nanos, server: &ServerId, report: &TryReport) {
        self.estimator.record(now, server, report);
    }

    /// Records operations that arrived at the proxies of a zone.
    pub fn record_demand(&mut self, now: Nanos, zone: ZoneId, class: ClassId, arrived: u64) {
        let at = (usize::from(zone.0), usize::from(class.0));
        if at.0 < self.settings.zones && at.1 < self.settings.classes.len() {
            self.demand.entry(at).or_default().add(now, arrived as f64);
        }
    }

    /// Sets the number of this coordinator's own proxies, if their joining is not reported one by one.
    pub fn set_own_proxies(&mut self, proxies: u32) {
        self.own_proxies = Some(proxies);
    }

    /// The fraction of all proxies that are this coordinator's own.
    fn own_share(&self) -> f64 {
        let own = self.own_proxies.map_or(self.proxies.len() as f64, f64::from);
        (own.max(1.0) / f64::from(self.settings.proxies.max(1))).min(1.0)
    }

    /// Updates estimates and plan; returns the weights that change now.
    pub fn update(&mut self, now: Nanos) -> Option<Event> {
        self.estimator.set_own_share(self.own_share());
        let moved = self.estimator.observe(now);
        let is_due = now >= self.next_plan_at;
        if is_due {
            self.next_plan_at = now + PLAN_INTERVAL;
            self.solve(now);
        } else if moved.is_empty() {
            return None;
        }
        let is_new_unit = self.update_unit(now);
        let unit = self.unit?;
        let mut changed: Vec<Listing> = Vec::new();
        let ids: Vec<ServerId> = self.entries.keys().cloned().collect();
        for id in ids {
            let Some(entry) = self.entries.get(&id) else { continue };
            let listed = entry.listing.weight.unwrap_or(1.0);
            let wanted = self.weight(now, &id, entry.listing.zone, listed, unit);
            let found = self.estimator.capacity(now, &id);
            let Some(capacity) = found else { continue };
            let difference = (wanted / entry.weight).ln().abs();
            let threshold = self.settings.churn + CHURN_DEVIATIONS * capacity.deviation;
            let signs = self.signs(now, entry, difference, threshold, &capacity);
            let row = TRANSITIONS.iter().find(|row| row.0 == entry.state && signs.contains(&row.1));
            let Some(entry) = self.entries.get_mut(&id) else { continue };
            let cause = match row {
                Some((_, sign, next, effect)) => {
                    entry.state = *next;
                    match effect {
                        Effect::Apply => Some(match sign {
                            Sign::Jumped => Cause::Changed,
                            Sign::Settled => Cause::Found,
                            Sign::Lasted | Sign::Differs | Sign::Agrees => Cause::Differed,
                        }),
                        Effect::Wait => {
                            entry.since = now;
                            None
                        }
                        Effect::None => None,
                    }
                }
                None => None,
            };
            let cause = cause.or((is_new_unit && difference > 0.0).then_some(Cause::Unit));
            if let Some(cause) = cause.filter(|_| difference > 0.0) {
                let tilt = self.tilts.get(usize::from(entry.listing.zone.0)).copied().unwrap_or(1.0);
                let change = Change {
                    at_s: (now - self.started_at).secs(),
                    server: id.0.to_string(),
                    from: entry.weight,
                    to: wanted,
                    cause,
                    capacity: capacity.median,
                    deviation: capacity.deviation,
                    loss: capacity.loss,
                    tilt,
                };
                entry.weight = wanted;
                changed.push(Listing { weight: Some(wanted), ..entry.listing.clone() });
                if self.history.len() == HISTORY {
                    self.history.pop_front();
                }
                self.history.push_back(change);
                self.pending_changes += 1;
            }
        }
        (!changed.is_empty()).then(|| Event::List { scope: ListScope::Changes, entries: changed.into() })
    }

    /// All signs that hold, the strongest first.
    fn signs(
        &self,
        now: Nanos,
        entry: &Entry,
        difference: f64,
        threshold: f64,
        capacity: &Capacity,
    ) -> Vec<Sign> {
        let mut signs = Vec::new();
        if capacity.observations > 0 && capacity.deviation <= SETTLED_DEVIATION {
            signs.push(Sign::Settled);
        }
        if difference > JUMP.max(JUMP_DEVIATIONS * capacity.deviation) {
            signs.push(Sign::Jumped);
        }
        if difference > threshold && now - entry.since >= MIN_DURATION {
            signs.push(Sign::Lasted);
        }
        signs.push(if difference > threshold { Sign::Differs } else { Sign::Agrees });
        signs
    }

    /// Updates the unit of weight. It stays as it is if it can, since a change moves all weights and has no other effect.
    /// Returns true if all weights must be sent again.
    fn update_unit(&mut self, now: Nanos) -> bool {
        if now - self.started_at < START_DELAY {
            return false;
        }
        let (mut sum, mut count) = (0.0, 0.0);
        for (id, entry) in &self.entries {
            let Some(found) = self.estimator.capacity(now, id).filter(|found| found.observations > 0) else {
                continue;
            };
            let listed = entry.listing.weight.filter(|weight| *weight > 0.0).unwrap_or(1.0);
            sum += found.median.ln() - listed.ln();
            count += 1.0;
        }
        if count < 1.0 {
            return false;
        }
        let unit = sum / count;
        match self.unit {
            Some(current) if (current - unit).abs() <= UNIT_CHANGE.ln() => false,
            previous => {
                self.unit = Some(unit);
                previous.is_some()
            }
        }
    }

    /// The weight of a server by its estimate.
    fn weight(&self, now: Nanos, id: &ServerId, zone: ZoneId, listed: f64, unit: f64) -> f64 {
        let Some(capacity) = self.estimator.capacity(now, id) else { return listed };
        let margin = (-self.settings.margin * capacity.deviation).exp();
        let ratio =
            (capacity.median.ln() - unit - listed.ln()).clamp(-UNIT_RATIO_MAX.ln(), UNIT_RATIO_MAX.ln());
        let tilt = self.tilts.get(usize::from(zone.0)).copied().unwrap_or(1.0);
        let found = listed * ratio.exp() * tilt;
        let weight = found * margin * (1.0 - capacity.loss);
        (weight.max(MIN_WEIGHT * found) * 1e4).round().max(1.0) / 1e4
    }

    /// Groups of classes with the same rules and importance, and the index of the group of each class.
    pub fn groups(&self) -> (Vec<Class>, Vec<usize>) {
        let mut classes: Vec<Class> = Vec::new();
        let mut group_of = Vec::new();
        for class in &self.settings.classes {
            let one = Class {
                importance: class.importance,
                only_zones: class.only_zones.iter().map(|zone| usize::from(zone.0)).collect(),
                only_kinds: class.only_kinds.iter().map(|kind| kind.0).collect(),
                home_only: class.home_only,
            };
            let group = classes.iter().position(|other| *other == one).unwrap_or_else(|| {
                classes.push(one);
                classes.len() - 1
            });
            group_of.push(group);
        }
        (classes, group_of)
    }

    /// The input for a plan, and the servers in it.
    fn fleet(&self, now: Nanos) -> (Fleet, Vec<ServerId>) {
        let (classes, group_of) = self.groups();
        let ready = |entry: &&Entry| {
            entry.listing.readiness == Readiness::Ready
                && usize::from(entry.listing.zone.0) < self.settings.zones
        };
        let (mut servers, mut ids) = (Vec::new(), Vec::new());
        for entry in self.entries.values().filter(ready) {
            let id = &entry.listing.server;
            let Some(found) = self.estimator.capacity(now, id) else { continue };
            let warmth = self.settings.warm_up.warmth(now, entry.listing.started);
            servers.push(Server {
                zone: usize::from(entry.listing.zone.0),
                kind: entry.listing.kind.0,
                capacity: found.lower_bound(self.settings.margin) * warmth,
            });
            ids.push(id.clone());
        }
        let own_share = self.own_share();
        let mut demand = vec![vec![0.0; classes.len()]; self.settings.zones];
        // The demand at proxies of other coordinators is not known: assume as much for each proxy, spread over the zones as
        // the capacity is.
        let mut spread = vec![0.0; self.settings.zones];
        servers.iter().for_each(|server| spread[server.zone] += server.capacity);
        let whole = f64::max(spread.iter().sum(), 1e-9);
        for ((zone, class), arrivals) in &self.demand {
            let (rate, class) = (arrivals.rate(now, now - self.started_at), group_of[*class]);
            demand[*zone][class] += rate;
            for (zone, capacity) in spread.iter().enumerate() {
                demand[zone][class] += rate * (1.0 / own_share - 1.0) * capacity / whole;
            }
        }
        let crossing = self.settings.crossing.clone();
        (Fleet { zones: self.settings.zones, classes, servers, demand, crossing }, ids)
    }

    /// Makes a new plan, and moves the tilts of the zones towards it.
    fn solve(&mut self, now: Nanos) {
        let (fleet, ids) = self.fleet(now);
        let kinds = fleet.servers.iter().map(|server| (server.zone, server.kind));
        let pools = kinds.collect::<std::collections::BTreeSet<(usize, u16)>>().len();
        if pools * fleet.classes.len() * fleet.zones > PLAN_FLOWS_MAX {
            self.unsolved += 1;
            return;
        }
        let Some(plan) = fleet.solve() else {
            // The previous plan stays in use.
            self.unsolved += 1;
            return;
        };
        self.solved += 1;
        let mut sums = vec![(0.0, 0.0); self.settings.zones];
        for pool in &plan.pools {
            let sum: &mut (f64, f64) = &mut sums[pool.zone];
            *sum = (sum.0 + pool.load, sum.1 + pool.capacity);
        }
        let whole = sums.iter().fold((0.0, 0.0), |all, one| (all.0 + one.0, all.1 + one.1));
        for (tilt, (load, capacity)) in self.tilts.iter_mut().zip(sums) {
            let even = whole.0 / f64::max(whole.1, 1e-9);
            let wanted =
                if load > 0.0 && capacity > 0.0 && even > 0.0 { load / capacity / even } else { 1.0 };
            let distance = wanted.clamp(TILT.0, TILT.1).ln() - tilt.ln();
            *tilt = (tilt.ln() + TILT_SMOOTHING * distance).exp();
        }
        self.plan = Some((fleet, plan, ids));
    }

    /// The latest plan with its input and its servers.
    pub fn plan(&self) -> Option<(&Fleet, &Plan, &[ServerId])> {
        self.plan.as_ref().map(|(fleet, plan, ids)| (fleet, plan, ids.as_slice()))
    }

    pub fn estimator(&self) -> &Estimator {
        &self.estimator
    }

    /// The changes so far that are kept, the oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Change> {
        self.history.iter()
    }

    /// The kept changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        let count = std::mem::take(&mut self.pending_changes).min(self.history.len());
        self.history.iter().skip(self.history.len() - count).cloned().collect()
    }

    /// Numbers of plans that were solved and that were not.
    pub fn plan_counts(&self) -> (u64, u64) {
        (self.solved, self.unsolved)
    }

    /// A server's weight in use, its listed weight, the state, and why its load reports are not used, if so.
    pub fn weight_of(&self, server: &ServerId) -> Option<(f64, f64, State, Option<Doubt>)> {
        let entry = self.entries.get(server)?;
        let listed = entry.listing.weight.unwrap_or(1.0);
        Some((entry.weight, listed, entry.state, self.estimator.doubt(server)))
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    pub fn tilt(&self, zone: usize) -> f64 {
        self.tilts.get(zone).copied().unwrap_or(1.0)
    }

    pub fn listing(&self, server: &ServerId) -> Option<&Listing> {
        self.entries.get(server).map(|entry| &entry.listing)
    }
}
