//! From what the decisions hear to the weights that their lists show.
//!
//! The decisions' own path stays as it is: servers are dealt, bound and weighed by listed weight. What changes is that weight:
//! in place of what someone wrote by hand stands what the server was found to carry, surely, tilted by zone as the plan has it.
//! A weight that would move moves only when it differs by more than churn is worth, and for long enough; one that has changed
//! at a stroke moves at once. Every coordinator finds weights for itself, from what a server says of all its traffic, so that
//! two that see different parts of it find the same and do not chase one another.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use craneknot::interface::*;
use serde::{Deserialize, Serialize};

use crate::estimate::{Capacity, Doubt, Estimator, ListedServer, TryReport, WarmUp};
use crate::plan::{Class, Fleet, Plan, Server};

const SOLVE_EVERY: Nanos = Nanos::from_millis(2_000); // ms; a few reports must have come
const SETTLE: Nanos = Nanos::from_millis(4_000); // ms; after a start weights stand as listed: a first look is chance
const SURE: f64 = 0.25; // deviation of an estimate under which it is worth more than what was listed
const HOLD: Nanos = Nanos::from_millis(4_000); // ms; a difference lasts so long before it is acted on
const JUMP: f64 = 0.4; // difference of the logarithm that is acted on at once: half or one and a half times
const JUMP_SURE: f64 = 2.5; // deviations of the estimate beyond which it is: while one is being found again it may be chance
const DOUBT_SHARE: f64 = 1.0; // deviations of the estimate that are added to what a change must be worth
const STRAY_MOST: f64 = 3.0; // factor by which a weight strays from the unit at the most, over what its kind was listed
const UNIT_OFF: f64 = 2.0; // factor by which the unit may be off before all weights are told anew
const TILT: (f64, f64) = (0.8, 1.25); // bounds of a zone's tilt: its levels rest on weights too
const TILT_SMOOTH: f64 = 0.3; // part of the way to a new plan's tilt in one solving: ties between plans must not swing
const DEMAND_HALF: Nanos = Nanos::from_millis(5_000); // ms; half-life of traffic as plans see it
pub const DEFAULT_MARGIN: f64 = 1.0; // deviations kept free where nothing else is set: five of six lie above
pub const DEFAULT_CHURN: f64 = 0.1; // difference worth sending where nothing else is set: what the decisions send a line for
pub const DEFAULT_CROSSING_COST: f64 = 0.2; // cost of a crossing where nothing else is set, in service times: a network's way is short
const LEAST_WEIGHT: f64 = 0.02; // of its capacity's: something must be met to be judged by
const SIZE_MOST: usize = 20_000; // flows of a plan; more would take too long, and zones go untilted
const HISTORY: usize = 4_096; // changes of weights remembered with their causes

/// What a steer is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub classes: Vec<ClassSettings>,
    pub zones: usize,
    pub warm_up: WarmUp,
    /// Proxies in all, of all coordinators.
    pub proxies: u32,
    /// Deviations of an estimate that are kept free.
    pub margin: f64,
    /// Difference of the logarithm of a weight that is worth sending it.
    pub churn: f64,
    /// Cost of an operation that crosses, by zone of the proxy and of the server, in service times.
    pub crossing: Vec<Vec<f64>>,
}

/// What stands of a weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// As listed: nothing is known that is worth more.
    Listed,
    /// As given; it holds.
    Held,
    /// It differs from what was given, since a while.
    Due,
}

/// What is seen of a weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sign {
    Settled,
    Jumped,
    Lasted,
    Differs,
    Agrees,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Give,
    Wait,
    Nothing,
}

/// A weight's states, sign, next state, effect. The first sign that holds and has a row is taken.
const MOVES: &[(State, Sign, State, Effect)] = &[
    (State::Listed, Sign::Settled, State::Held, Effect::Give),
    (State::Held, Sign::Jumped, State::Held, Effect::Give),
    (State::Due, Sign::Jumped, State::Held, Effect::Give),
    (State::Due, Sign::Lasted, State::Held, Effect::Give),
    (State::Held, Sign::Differs, State::Due, Effect::Wait),
    (State::Due, Sign::Agrees, State::Held, Effect::Nothing),
];

/// Why a weight was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The first that is found.
    Found,
    /// It changed at a stroke.
    Changed,
    /// It differed for long.
    Differed,
    /// All were told anew in another unit.
    Unit,
}

/// One change of a weight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Since the solver began, s.
    pub at_s: f64,
    pub server: String,
    pub from: f64,
    pub to: f64,
    pub cause: Cause,
    /// Operations a second, its deviation, share of answers lost, and the zone's tilt when it was given.
    pub capacity: f64,
    pub deviation: f64,
    pub loss: f64,
    pub tilt: f64,
}

struct Entry {
    listing: Listing,
    state: State,
    since: Nanos,
    given: f64,
}

/// A decaying sum.
#[derive(Clone, Copy, Default)]
struct Fading {
    sum: f64,
    at: Nanos,
}

impl Fading {
    fn read(&self, now: Nanos) -> f64 {
        self.sum * 0.5f64.powf((now - self.at).secs() / DEMAND_HALF.secs())
    }

    fn add(&mut self, now: Nanos, amount: f64) {
        *self = Fading { sum: self.read(now) + amount, at: now };
    }

    /// Per second, where adding has gone on for `age`.
    fn rate(&self, now: Nanos, age: Nanos) -> f64 {
        let filled = 1.0 - 0.5f64.powf(age.secs().max(1.0) / DEMAND_HALF.secs());
        self.read(now) * std::f64::consts::LN_2 / DEMAND_HALF.secs() / filled
    }
}

/// Finds weights.
pub struct WeightTuner {
    settings: Settings,
    estimator: Estimator,
    entries: BTreeMap<ServerId, Entry>,
    proxies: BTreeMap<ProxyId, ZoneId>,
    /// Proxies of its own, as told in number.
    joined: Option<u32>,
    demand: BTreeMap<(usize, usize), Fading>,
    born: Nanos,
    solve_at: Nanos,
    /// Logarithm of operations a second for a unit of weight, once found.
    unit: Option<f64>,
    tilts: Vec<f64>,
    plan: Option<(Fleet, Plan, Vec<ServerId>)>,
    history: VecDeque<Change>,
    /// Changes that were not told yet.
    untold: usize,
    /// Plans that the solver gave up on, or that were too large to begin.
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
            joined: None,
            demand: BTreeMap::new(),
            born: now,
            solve_at: now + SETTLE,
            unit: None,
            plan: None,
            history: VecDeque::new(),
            untold: 0,
            unsolved: 0,
            solved: 0,
        }
    }

    /// Hears what the decisions are about to hear, puts found weights in place of listed ones, and adds what is to change.
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
                | Event::Woken
                | Event::PeerMessage { .. }
                | Event::SliceAssigned { .. }
                | Event::SliceLine { .. }
                | Event::SliceDemand { .. } => {}
            }
        }
        events.extend(self.update(now));
    }

    /// A list came: the same with found weights.
    pub fn apply_list(&mut self, now: Nanos, scope: ListScope, entries: &[Listing]) -> Arc<[Listing]> {
        if matches!(scope, ListScope::Whole | ListScope::Remembered) {
            let gone: Vec<ServerId> = self.entries.keys().cloned().collect();
            for server in gone.iter().filter(|id| !entries.iter().any(|entry| entry.server == **id)) {
                self.entries.remove(server);
                self.estimator.remove(server);
            }
        }
        let place = |entry: &Listing| {
            if entry.readiness == Readiness::Removed {
                self.entries.remove(&entry.server);
                self.estimator.remove(&entry.server);
                return entry.clone();
            }
            let weight = entry.weight.filter(|weight| weight.is_finite() && *weight > 0.0).unwrap_or(1.0);
            self.estimator.set_listed(
                now,
                &entry.server,
                ListedServer { kind: entry.kind, weight, started: entry.started },
            );
            let known = self.entries.get(&entry.server);
            let anew = known.is_none_or(|known| known.listing.started != entry.started);
            let (state, given) = match known.filter(|_| !anew) {
                Some(known) => (known.state, known.given),
                // A newcomer has its kind's weight from the first moment.
                None => match self.unit {
                    Some(unit) => (State::Held, self.weight(now, &entry.server, entry.zone, weight, unit)),
                    None => (State::Listed, weight),
                },
            };
            let listing = Listing { weight: Some(weight), ..entry.clone() };
            let held = Entry { listing, state, since: now, given };
            self.entries.insert(entry.server.clone(), held);
            Listing { weight: Some(given), ..entry.clone() }
        };
        entries.iter().map(place).collect()
    }

    /// Proxies met something at a server.
    pub fn record_tries(&mut self, now: Nanos, server: &ServerId, met: &TryReport) {
        self.estimator.record(now, server, met);
    }

    /// Operations came from proxies of a zone.
    pub fn record_demand(&mut self, now: Nanos, zone: ZoneId, class: ClassId, arrived: u64) {
        let at = (usize::from(zone.0), usize::from(class.0));
        if at.0 < self.settings.zones && at.1 < self.settings.classes.len() {
            self.demand.entry(at).or_default().add(now, arrived as f64);
        }
    }

    /// How many proxies are this coordinator's own, where they are not told one by one.
    pub fn set_own_proxies(&mut self, proxies: u32) {
        self.joined = Some(proxies);
    }

    /// The part of all proxies that are its own.
    fn own_part(&self) -> f64 {
        let own = self.joined.map_or(self.proxies.len() as f64, f64::from);
        (own.max(1.0) / f64::from(self.settings.proxies.max(1))).min(1.0)
    }

    /// Weights that are to change now.
    pub fn update(&mut self, now: Nanos) -> Option<Event> {
        self.estimator.set_own_share(self.own_part());
        let moved = self.estimator.observe(now);
        let due = now >= self.solve_at;
        if due {
            self.solve_at = now + SOLVE_EVERY;
            self.solve(now);
        } else if moved.is_empty() {
            return None;
        }
        let again = self.find_unit(now);
        let unit = self.unit?;
        let mut changed: Vec<Listing> = Vec::new();
        let ids: Vec<ServerId> = self.entries.keys().cloned().collect();
        for id in ids {
            let Some(entry) = self.entries.get(&id) else { continue };
            let listed = entry.listing.weight.unwrap_or(1.0);
            let wanted = self.weight(now, &id, entry.listing.zone, listed, unit);
            let found = self.estimator.capacity(now, &id);
            let Some(capacity) = found else { continue };
            let away = (wanted / entry.given).ln().abs();
            let worth = self.settings.churn + DOUBT_SHARE * capacity.deviation;
            let sign = self.sign(now, entry, away, worth, &capacity);
            let row = MOVES.iter().find(|row| row.0 == entry.state && sign.contains(&row.1));
            let Some(entry) = self.entries.get_mut(&id) else { continue };
            let cause = match row {
                Some((_, sign, next, effect)) => {
                    entry.state = *next;
                    match effect {
                        Effect::Give => Some(match sign {
                            Sign::Jumped => Cause::Changed,
                            Sign::Settled => Cause::Found,
                            Sign::Lasted | Sign::Differs | Sign::Agrees => Cause::Differed,
                        }),
                        Effect::Wait => {
                            entry.since = now;
                            None
                        }
                        Effect::Nothing => None,
                    }
                }
                None => None,
            };
            let cause = cause.or((again && away > 0.0).then_some(Cause::Unit));
            if let Some(cause) = cause.filter(|_| away > 0.0) {
                let tilt = self.tilts.get(usize::from(entry.listing.zone.0)).copied().unwrap_or(1.0);
                let change = Change {
                    at_s: (now - self.born).secs(),
                    server: id.0.to_string(),
                    from: entry.given,
                    to: wanted,
                    cause,
                    capacity: capacity.median,
                    deviation: capacity.deviation,
                    loss: capacity.loss,
                    tilt,
                };
                entry.given = wanted;
                changed.push(Listing { weight: Some(wanted), ..entry.listing.clone() });
                if self.history.len() == HISTORY {
                    self.history.pop_front();
                }
                self.history.push_back(change);
                self.untold += 1;
            }
        }
        (!changed.is_empty()).then(|| Event::List { scope: ListScope::Changes, entries: changed.into() })
    }

    /// Signs that hold, the strongest first.
    fn sign(&self, now: Nanos, entry: &Entry, away: f64, worth: f64, capacity: &Capacity) -> Vec<Sign> {
        let mut signs = Vec::new();
        if capacity.observations > 0 && capacity.deviation <= SURE {
            signs.push(Sign::Settled);
        }
        if away > JUMP.max(JUMP_SURE * capacity.deviation) {
            signs.push(Sign::Jumped);
        }
        if away > worth && now - entry.since >= HOLD {
            signs.push(Sign::Lasted);
        }
        signs.push(if away > worth { Sign::Differs } else { Sign::Agrees });
        signs
    }

    /// The unit of weight: once found it stands, since to change it moves every weight and nothing else. True: all are told anew.
    fn find_unit(&mut self, now: Nanos) -> bool {
        if now - self.born < SETTLE {
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
            Some(held) if (held - unit).abs() <= UNIT_OFF.ln() => false,
            held => {
                self.unit = Some(unit);
                held.is_some()
            }
        }
    }

    /// What a server is to be listed with.
    fn weight(&self, now: Nanos, id: &ServerId, zone: ZoneId, listed: f64, unit: f64) -> f64 {
        let Some(capacity) = self.estimator.capacity(now, id) else { return listed };
        let surely = (-self.settings.margin * capacity.deviation).exp();
        let stray = (capacity.median.ln() - unit - listed.ln()).clamp(-STRAY_MOST.ln(), STRAY_MOST.ln());
        let tilt = self.tilts.get(usize::from(zone.0)).copied().unwrap_or(1.0);
        let found = listed * stray.exp() * tilt;
        let weight = found * surely * (1.0 - capacity.loss);
        (weight.max(LEAST_WEIGHT * found) * 1e4).round().max(1.0) / 1e4
    }

    /// Classes alike in all that matters here are one: these, and the place of each class among them.
    pub fn groups(&self) -> (Vec<Class>, Vec<usize>) {
        let mut classes: Vec<Class> = Vec::new();
        let mut place_of = Vec::new();
        for class in &self.settings.classes {
            let one = Class {
                importance: class.importance,
                only_zones: class.only_zones.iter().map(|zone| usize::from(zone.0)).collect(),
                only_kinds: class.only_kinds.iter().map(|kind| kind.0).collect(),
                home_only: class.home_only,
            };
            let place = classes.iter().position(|other| *other == one).unwrap_or_else(|| {
                classes.push(one);
                classes.len() - 1
            });
            place_of.push(place);
        }
        (classes, place_of)
    }

    /// The fleet as it is known now.
    fn fleet(&self, now: Nanos) -> (Fleet, Vec<ServerId>) {
        let (classes, place_of) = self.groups();
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
        let part = self.own_part();
        let mut demand = vec![vec![0.0; classes.len()]; self.settings.zones];
        // What comes to proxies of other coordinators is not seen: as much for each, spread as the servers are.
        let mut spread = vec![0.0; self.settings.zones];
        servers.iter().for_each(|server| spread[server.zone] += server.capacity);
        let whole = f64::max(spread.iter().sum(), 1e-9);
        for ((zone, class), fading) in &self.demand {
            let (rate, class) = (fading.rate(now, now - self.born), place_of[*class]);
            demand[*zone][class] += rate;
            for (zone, capacity) in spread.iter().enumerate() {
                demand[zone][class] += rate * (1.0 / part - 1.0) * capacity / whole;
            }
        }
        let crossing = self.settings.crossing.clone();
        (Fleet { zones: self.settings.zones, classes, servers, demand, crossing }, ids)
    }

    fn solve(&mut self, now: Nanos) {
        let (fleet, ids) = self.fleet(now);
        let kinds = fleet.servers.iter().map(|server| (server.zone, server.kind));
        let pools = kinds.collect::<std::collections::BTreeSet<(usize, u16)>>().len();
        if pools * fleet.classes.len() * fleet.zones > SIZE_MOST {
            self.unsolved += 1;
            return;
        }
        let Some(plan) = fleet.solve() else {
            // The last one stands.
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
            let way = wanted.clamp(TILT.0, TILT.1).ln() - tilt.ln();
            *tilt = (tilt.ln() + TILT_SMOOTH * way).exp();
        }
        self.plan = Some((fleet, plan, ids));
    }

    /// The last plan, with the fleet it is for and its servers.
    pub fn plan(&self) -> Option<(&Fleet, &Plan, &[ServerId])> {
        self.plan.as_ref().map(|(fleet, plan, ids)| (fleet, plan, ids.as_slice()))
    }

    pub fn estimator(&self) -> &Estimator {
        &self.estimator
    }

    /// Changes so far, the oldest first, as far as they are remembered.
    pub fn history(&self) -> impl Iterator<Item = &Change> {
        self.history.iter()
    }

    /// Changes since the last time it was asked, as far as they are remembered.
    pub fn take_changes(&mut self) -> Vec<Change> {
        let count = std::mem::take(&mut self.untold).min(self.history.len());
        self.history.iter().skip(self.history.len() - count).cloned().collect()
    }

    /// Plans that were solved, and those that were not.
    pub fn plan_counts(&self) -> (u64, u64) {
        (self.solved, self.unsolved)
    }

    /// A server's weight as given and as listed, what stands of it, and why its own word is doubted.
    pub fn weight_of(&self, server: &ServerId) -> Option<(f64, f64, State, Option<Doubt>)> {
        let entry = self.entries.get(server)?;
        let listed = entry.listing.weight.unwrap_or(1.0);
        Some((entry.given, listed, entry.state, self.estimator.doubt(server)))
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
