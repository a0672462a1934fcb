//! Every decision of a controller.
//!
//! A host makes one [`Controller`] for each instance, with the settings and the seed that instance is given,
//! and calls [`Controller::step`] with the clock and what has come in; what comes back is to be carried out
//! then, in order. Nothing else goes in or out: no clock, no file, nothing shared between instances.
//! The types stand in `interface.rs`.
//!
//! The ordinary path: the listed servers are dealt into groups, a table each; a proxy is bound, per class, to
//! one group; bindings move by load only as proxies or servers come and go; a paced sender publishes what
//! changed. Around it stand a server's states (`SERVER_MOVES`), a group's (`GROUP_MOVES`), the weights of
//! lines within a group, and the guards of the rules.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use crate::interface::*;
use crate::state::State::{Away, Cold, Doubted, Open, Out, Trial};
use crate::state::*;

const TURN: Nanos = Nanos::from_millis(250); // ms; looks round unasked: well under a report's delay
const HALF_LIFE: Nanos = Nanos::from_millis(2_000); // ms; of what proxies met: a few reports, against noise
const LASTING: Nanos = Nanos::from_millis(8_000); // ms; half-life of traffic as bindings see it
const STEP: Nanos = Nanos::from_millis(5_000); // ms; the design's step: half weight, and time between moves
const JOIN_SHARE: f64 = 0.5; // share of its weight with which a server joins; the design's
const HELD_BACK: f64 = 0.4; // share of its capacity under which a new server waits: one burst would end it
const STEPS: u32 = 2; // steps of moves after a change: the design's
const GROUP_SIZE: usize = 12; // servers; the design's
const ONE_GROUP_BELOW: usize = 8; // servers; the design's
const ZONE_LEAST: usize = 3; // servers of a zone that stand as a group: with fewer, losing one halves it
const AWAY: f64 = 1.15; // load factor of a group in another zone: a crossing costs as much as some load
const MOVE_GAIN: f64 = 1.1; // factor by which a move must lessen the load met: less would be noise
const EVIDENCE: f64 = 4.0; // tries before a server is judged: two or three more failures than chance brings
const BROKEN_SHARE: f64 = 0.35; // unanswered share: clients' further tries no longer make up for it
const ODD_SHARE: f64 = 0.15; // unanswered share: well above chance
const OWN_FAULT: f64 = 2.5; // factor over the other servers' share: the server's own doing, not the load's
const LAST_RESORT: f64 = 0.3; // share of its weight of a server shut out that nothing can stand in for
const FLOOR: f64 = 0.4; // part of a group's listed weight that stays in use; bindings can leave it
const PROBE_EVERY: Nanos = Nanos::from_millis(700); // ms; a probe costs a few ms of work
const CLEARING: u32 = 3; // probes answered before a return, doubled at each relapse up to three times
const BAD_PROBES: u32 = 2; // probes failed in a row that shut out: one may be lost
const TRIAL: Nanos = Nanos::from_millis(8_000); // ms; a return takes this long: reports need a few seconds
const TRIAL_SHARE: f64 = 0.3; // share of its weight with which a server returns: enough to be judged by
const CHANGE: f64 = 0.12; // share by which a line or level must move: less is not worth the channel
const PACE_EVERY: Nanos = Nanos::from_millis(3_000); // ms; reports of the last change must have come
const PACE_POWER: f64 = 0.2; // weight against wait: a late answer must not swing
const PACE_RANGE: (f64, f64) = (0.2, 1.8); // bounds in all: waits tell of queues more than of speed
const WAIT_OVER: f64 = 0.6; // mean wait, in latency goals: waits spread, so well before 1 many miss the goal
const WAIT_LIGHT: f64 = 0.5; // mean wait under which a group can take more
const BUSY_GOAL: f64 = 0.95; // busy share to which a group may be filled
const BUSY_UNTOLD: f64 = 0.6; // taken for the busy share where servers report none: a usual one
const BUSY_LEAST: f64 = 0.3; // least busy share counted with: a nearly idle one tells nothing of capacity
const YIELD_HALF_LIFE: Nanos = Nanos::from_millis(30_000); // ms; what servers can do changes slowly
const CUT: f64 = 0.9; // a cut's share of what is handled: queues must drain
const CUT_MOST: f64 = 0.6; // a cut leaves at least this share of what was let in: reports lag behind it
const CUT_EVERY: Nanos = Nanos::from_millis(2_500); // ms; reports of the last cut must have come
const GROWTH: f64 = 1.1; // growth of a limit in a step
const GROW_EVERY: Nanos = Nanos::from_millis(1_000); // ms; full again in some seconds, slower than reports
const PROVEN: f64 = 0.7; // share of what was handled at best to which a limit grows at once
const CEILING_NEAR: f64 = 3.0; // multiple of what arrives above which a ceiling is not worth its lines
const CHANCE: f64 = 2.0; // standard deviations that what arrives in a second may stray: a cap must let it
const SOFT: f64 = 0.64; // the square of twice the mean excess over a cap at the mean, in standard deviations
const LIFT: f64 = 1.2; // a limit this far above what arrives is lifted
const LEAST: f64 = 0.02; // least share of a weight or a level: something must be met to be judged by
const CHANNEL_SHARE: f64 = 0.5; // share of the channel's told pace counted on: it may run slower
const QUEUE_SHARE: f64 = 0.3; // share of the channel's limit used: there is room for what is urgent
const URGENT_SHARE: f64 = 0.7; // the same for what rules ask for; what one order adds must still fit
const ASK_AGAIN: Nanos = Nanos::from_millis(500); // ms; first wait before the list is asked for again
const ASK_AGAIN_MOST: Nanos = Nanos::from_millis(4_000); // ms; the longest: it is one service for all
const PLACES: usize = 256; // placements a group can have tables for: table numbers end at 65535
const RATE_ALL: f64 = 1e6; // operations a second; more than any proxy carries: a level that lets all in

/// A server's states, sign, next state, effect. The first sign that holds and has a row is taken.
const SERVER_MOVES: &[(&[State], Sign, State, Effect)] = &[
    (&[Cold, Open, Doubted, Out, Trial], Sign::Unlisted, Away, Effect::Leave),
    (&[Away, Open, Doubted, Out, Trial, Cold], Sign::Started, Cold, Effect::Join),
    (&[Away], Sign::Warm, Open, Effect::Join),
    (&[Cold], Sign::Warm, Open, Effect::Nothing),
    (&[Cold, Open, Doubted, Trial], Sign::Broken, Out, Effect::Expel),
    (&[Open], Sign::Odd, Doubted, Effect::Nothing),
    (&[Doubted, Trial], Sign::Sound, Open, Effect::Nothing),
    (&[Out], Sign::Cleared, Trial, Effect::Return),
];

/// A group's state, strain, next state, effect on the limit of what it takes in.
const GROUP_MOVES: &[(Load, Strain, Load, Limit)] = &[
    (Load::Calm, Strain::Over, Load::Shedding, Limit::Cut),
    (Load::Shedding, Strain::Over, Load::Shedding, Limit::Cut),
    (Load::Shedding, Strain::Light, Load::Shedding, Limit::Grow),
    (Load::Shedding, Strain::Idle, Load::Calm, Limit::Lift),
];

impl Server {
    fn listed_weight(&self) -> f64 {
        self.listing.weight.filter(|weight| *weight > 0.0 && weight.is_finite()).unwrap_or(1.0)
    }

    /// What proxies met: those in its own zone if they are enough, since far ones may suffer from the path.
    fn seen(&self, now: Nanos) -> Seen {
        let near = self.near.read(now, HALF_LIFE);
        if near.tries >= EVIDENCE {
            near
        } else {
            self.far.read(now, HALF_LIFE)
        }
    }

    /// What all proxies met.
    fn met(&self, now: Nanos) -> Seen {
        self.near.read(now, HALF_LIFE).plus(self.far.read(now, HALF_LIFE))
    }

    fn warm(&self, now: Nanos, settings: &Settings) -> bool {
        self.listing.started.is_none_or(|started| now - started >= settings.warm_after)
    }

    /// What it can surely do now, as a share of its listed weight.
    fn share(&self, now: Nanos, born: Nanos, settings: &Settings) -> f64 {
        let warmth = |started: Nanos| ((now - started).secs() / settings.warm_after.secs()).min(1.0);
        let ramp = |warmth: f64| settings.cold_share + (1.0 - settings.cold_share) * warmth;
        let ramp = self.listing.started.map_or(1.0, |started| ramp(warmth(started)));
        let step = if self.joined.is_some_and(|joined| now - joined < STEP) { JOIN_SHARE } else { 1.0 };
        let grown = TRIAL_SHARE + (1.0 - TRIAL_SHARE) * (now - self.since).secs() / TRIAL.secs();
        match self.state {
            Away | Out => 0.0,
            Cold if ramp < HELD_BACK || now - born < STEP => 0.0, // nor while the controller knows little
            Cold | Open | Doubted => ramp * step,
            Trial => ramp * grown.min(1.0),
        }
    }
}

impl Controller {
    /// Takes in what has come and gives the orders of this moment.
    pub fn step(&mut self, now: Nanos, events: &[Event]) -> Vec<Order> {
        self.now = now;
        let mut orders = Vec::new();
        for event in events {
            self.take_in(event);
        }
        if self.next_wake <= now {
            self.next_wake = now + TURN;
            orders.push(Order::Wake { after: TURN });
        }
        if self.ask_at.is_some_and(|at| at <= now) {
            self.ask_at = None;
            orders.push(Order::WatchList);
        }
        self.look_over();
        self.move_servers();
        self.probe(&mut orders);
        if self.settings.slices == 0 {
            self.follow_pace();
            self.move_groups();
            self.bind();
            self.publish(&mut orders);
        }
        orders
    }

    fn take_in(&mut self, event: &Event) {
        let now = self.now;
        match event {
            Event::List { scope, entries } => self.take_list(*scope, entries),
            Event::ProxyJoined { proxy, zone, usual_rate } => {
                let places = (0..self.classes.len()).map(|class| self.place_of(class, *zone));
                let bindings = places.map(|place| Binding { place, ..Binding::default() }).collect();
                let joined = Proxy { zone: *zone, usual_rate: *usual_rate, joined: now, bindings };
                self.proxies.insert(*proxy, joined);
                self.steps_left = STEPS;
            }
            Event::ProxyLeft { proxy } => {
                self.proxies.remove(proxy);
                self.steps_left = STEPS;
            }
            Event::Heard { server, zone, tries, unanswered, latency, report, .. } => {
                let Some(server) = self.servers.get_mut(server) else { return };
                server.busy.hear(now, HALF_LIFE, report.busy);
                // A try without an answer weighs as much as the slowest that is of use.
                let (tries, failed) = (*tries as f64, *tries.min(unanswered) as f64);
                let waited = (tries - failed) * latency.secs() + failed * self.goals.1;
                let met = if *zone == server.listing.zone { &mut server.near } else { &mut server.far };
                met.add(now, HALF_LIFE, Seen { tries, failed, waited });
            }
            Event::Demand { proxy, class, arrived, .. } => {
                let Some(proxy) = self.proxies.get_mut(proxy) else { return };
                let Some(binding) = proxy.bindings.get_mut(usize::from(class.0)) else { return };
                binding.lasting.add(now, LASTING, *arrived as f64);
                binding.recent.add(now, HALF_LIFE, *arrived as f64);
                // A joining is complete once the proxy's own traffic is known.
                if !binding.heard && now - proxy.joined > STEP {
                    binding.heard = true;
                    self.steps_left = STEPS;
                }
            }
            Event::Probed { server, outcome, report, .. } => {
                let Some(server) = self.servers.get_mut(server) else { return };
                server.busy.hear(now, HALF_LIFE, report.busy);
                (server.probes_good, server.probes_bad) = match outcome {
                    ProbeOutcome::Answered => (server.probes_good + 1, 0),
                    ProbeOutcome::TurnedAway => (server.probes_good, server.probes_bad),
                    ProbeOutcome::Failed => (0, server.probes_bad + 1),
                };
            }
            Event::Applied { .. } | Event::Woken | Event::PeerSaid { .. } => {}
            Event::SliceGiven { .. } | Event::SliceLine { .. } | Event::SliceDemand { .. } => {}
        }
    }

    fn take_list(&mut self, scope: ListScope, entries: &[Listing]) {
        match scope {
            ListScope::Failed => {
                let jitter = 1.0 + self.rng.random::<f64>();
                self.ask_wait = (self.ask_wait + self.ask_wait).clamp(ASK_AGAIN, ASK_AGAIN_MOST);
                self.ask_at = Some(self.now + Nanos::from_secs(self.ask_wait.secs() * jitter));
                return;
            }
            ListScope::Changes => {}
            ListScope::Whole | ListScope::Remembered => {
                self.servers.values_mut().for_each(|server| server.listing.readiness = Readiness::Removed);
            }
        }
        self.ask_wait = Nanos(0);
        if self.groups.is_empty() {
            self.deal(entries);
        }
        let mut entries: Vec<&Listing> = entries.iter().collect();
        entries.sort_by(|a, b| a.server.cmp(&b.server));
        for entry in entries {
            let known = self.servers.get(&entry.server).filter(|known| known.listing.zone == entry.zone);
            let group = known.map(|known| known.group).unwrap_or_else(|| self.group_for(entry));
            let server =
                self.servers.entry(entry.server.clone()).or_insert_with(|| Server::new(entry.clone(), group));
            server.fresh |= server.listing.started != entry.started;
            (server.listing, server.group) = (entry.clone(), group);
        }
    }

    /// Deals the listed servers into fixed groups, of one zone each where every zone has enough. All
    /// controllers deal alike, since the list and the order of ids are the same for all.
    fn deal(&mut self, entries: &[Listing]) {
        let mut zones: BTreeMap<ZoneId, usize> = BTreeMap::new();
        for entry in entries.iter().filter(|entry| entry.readiness != Readiness::Removed) {
            *zones.entry(entry.zone).or_default() += 1;
        }
        let all: usize = zones.values().sum();
        let zoned = all >= ONE_GROUP_BELOW && zones.values().all(|count| *count >= ZONE_LEAST);
        let dealt =
            if zoned { zones.into_iter().map(|(z, n)| (Some(z), n)).collect() } else { vec![(None, all)] };
        for (zone, count) in dealt {
            self.groups.extend((0..count.div_ceil(GROUP_SIZE)).map(|_| Group::new(zone)));
        }
    }

    /// The smallest group that a server may join; a zone that has none gets one.
    fn group_for(&mut self, entry: &Listing) -> usize {
        let size = |group: &usize| self.servers.values().filter(|s| s.group == *group && s.ready()).count();
        let open = |group: &usize| self.groups[*group].zone.is_none_or(|zone| zone == entry.zone);
        (0..self.groups.len()).filter(open).min_by_key(size).unwrap_or_else(|| {
            self.groups.push(Group::new(Some(entry.zone)));
            self.groups.len() - 1
        })
    }

    /// The first sign of a server that holds now and has a row for its state.
    fn sign_of(&self, server: &Server) -> Option<(State, Effect)> {
        let (now, seen) = (self.now, server.seen(self.now));
        let (tries, share) = (seen.tries, seen.share());
        let cold = !server.warm(now, &self.settings);
        // Against the others of its group: a crowded group fails as one.
        let group = &self.groups[server.group];
        let of_group = if server.in_use() { server.met(now) } else { Seen::default() };
        let own = share > OWN_FAULT * group.seen.minus(of_group).share();
        let room = group.weight - FLOOR * group.listed;
        let strained = group.load == Load::Shedding && server.probes_bad == 0;
        let failing = tries >= EVIDENCE && share >= BROKEN_SHARE && own && !strained;
        let silent = server.probes_bad >= BAD_PROBES && (share > ODD_SHARE || tries < 1.0);
        let rested = now - server.since >= TRIAL && share < ODD_SHARE;
        let needed = CLEARING << server.relapses.saturating_sub(1).min(3);
        let waited = now - server.since >= Nanos(PROBE_EVERY.0 * u64::from(needed));
        let holds = |sign: Sign| match sign {
            Sign::Unlisted => !server.ready(),
            Sign::Started => server.ready() && cold && (server.state == Away || server.fresh),
            Sign::Warm => server.ready() && !cold,
            Sign::Broken => (failing || silent) && server.listed_weight() <= room,
            Sign::Odd => share * tries >= EVIDENCE / 2.0 && share >= ODD_SHARE && own,
            Sign::Sound => rested || server.state == Doubted && server.probes_good >= CLEARING,
            Sign::Cleared => waited && (server.probes_good >= needed || !self.settings.probes),
        };
        let row = |row: &&(&[State], Sign, State, Effect)| row.0.contains(&server.state) && holds(row.1);
        SERVER_MOVES.iter().find(row).map(|(_, _, next, effect)| (*next, *effect))
    }

    /// Carries every server through `SERVER_MOVES`, the worst first while its group has room to shut out.
    fn move_servers(&mut self) {
        let now = self.now;
        let mut order: Vec<(ServerId, f64)> =
            self.servers.iter().map(|(id, server)| (id.clone(), server.seen(now).share())).collect();
        order.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        for (id, _) in order {
            let Some((next, effect)) = self.sign_of(&self.servers[&id]) else { continue };
            let Some(server) = self.servers.get_mut(&id) else { continue };
            (server.state, server.since, server.fresh) = (next, now, false);
            (server.probes_good, server.probes_bad) = (0, 0);
            match effect {
                Effect::Nothing => continue,
                // The fleet as first listed is no newcomer.
                Effect::Join => (server.joined, server.relapses) = ((now > self.born).then_some(now), 0),
                Effect::Leave => self.next_step = now,
                Effect::Return => {}
                Effect::Expel => {
                    server.relapses += 1;
                    self.groups[server.group].weight -= server.listed_weight();
                }
            }
            if effect != Effect::Expel {
                (server.near, server.far, server.pace) = (Met::default(), Met::default(), 1.0);
            }
            self.steps_left = STEPS;
        }
    }

    fn probe(&mut self, orders: &mut Vec<Order>) {
        for (id, server) in self.servers.iter_mut().filter(|_| self.settings.probes) {
            if matches!(server.state, Doubted | Out) && self.now - server.probed >= PROBE_EVERY {
                server.probed = self.now;
                orders.push(Order::Probe { server: id.clone() });
            }
        }
    }

    /// Looks over the groups, and at what a unit of listed weight could do at its best lately.
    fn look_over(&mut self) {
        let now = self.now;
        let (mut handled, mut busy_weight) = (0.0, 0.0);
        for (index, group) in self.groups.iter_mut().enumerate() {
            let members = || self.servers.values().filter(|s| s.group == index);
            let open = || members().filter(|s| s.in_use());
            group.seen = open().map(|s| s.met(now)).fold(Seen::default(), Seen::plus);
            group.weight = open().map(Server::listed_weight).sum();
            group.listed = members().filter(|s| s.ready()).map(Server::listed_weight).sum();
            group.cold = members().filter(|s| s.state == Cold).map(|s| s.met(now)).reduce(Seen::plus);
            let busy = |s: &Server| Some(s.listed_weight() * s.busy.mean(now, HALF_LIFE)?);
            group.busy = open().map(busy).sum::<Option<f64>>().filter(|_| group.weight > 0.0);
            group.busy = group.busy.map(|busy| (busy / group.weight).clamp(BUSY_LEAST, 1.0));
            handled += group.handled(HALF_LIFE);
            busy_weight += group.weight * group.busy.unwrap_or(BUSY_UNTOLD);
        }
        self.most_listed = self.groups.iter().map(|group| group.listed).sum::<f64>().max(self.most_listed);
        let best = self.best_yield.read(now, YIELD_HALF_LIFE);
        let each = handled / busy_weight.max(1e-9) / self.own_part();
        // Sums that are not filled yet tell too little.
        let each = if now - self.born < STEP { 0.0 } else { each };
        self.best_yield = Decay { sum: each.max(best), at: now };
    }

    /// Moves each server's weight towards equal waits within its group. It answers whatever makes one server
    /// slower than its fellows: a wrong listed weight, a slow machine, failures too few to shut it out.
    fn follow_pace(&mut self) {
        if self.now < self.next_pace {
            return;
        }
        self.next_pace = self.now + PACE_EVERY;
        for server in self.servers.values_mut() {
            let seen = server.seen(self.now);
            let step = match self.groups[server.group].seen.wait() / seen.wait() {
                ratio if seen.tries >= EVIDENCE && ratio.is_finite() && ratio > 0.0 => ratio.powf(PACE_POWER),
                _ => server.pace.powf(-PACE_POWER),
            };
            server.pace = (server.pace * step).clamp(PACE_RANGE.0, PACE_RANGE.1);
        }
    }

    /// Carries every group through `GROUP_MOVES`: more work than it can do, whatever the cause, where only
    /// waits can tell; where busy shares are told, the ceiling of its levels does it.
    fn move_groups(&mut self) {
        for index in 0..self.groups.len() {
            let arrived: f64 = (0..self.classes.len()).flat_map(|class| self.arrivals(index, class)).sum();
            let best = self.best_yield.read(self.now, YIELD_HALF_LIFE) * BUSY_UNTOLD * self.own_part();
            let group = &mut self.groups[index];
            let proven = PROVEN * best * group.weight;
            let (wait, rested) = (group.seen.wait() / self.goals.0, self.now - group.changed);
            let (full, most) = (CUT * group.handled(HALF_LIFE), group.limit.min(arrived));
            let strain = if wait > WAIT_OVER && group.seen.tries >= EVIDENCE && group.busy.is_none() {
                Some(Strain::Over)
            } else if wait < WAIT_LIGHT && group.limit > LIFT * arrived && group.cold.is_none() {
                Some(Strain::Idle)
            } else {
                (wait < WAIT_LIGHT).then_some(Strain::Light)
            };
            let row = GROUP_MOVES.iter().find(|row| row.0 == group.load && Some(row.1) == strain);
            let Some((_, _, next, effect)) = row else { continue };
            match effect {
                Limit::Cut if rested >= CUT_EVERY => group.limit = full.clamp(CUT_MOST * most, CUT * most),
                Limit::Grow if rested >= GROW_EVERY => group.limit = (group.limit * GROWTH).max(proven),
                Limit::Lift if rested >= GROW_EVERY => group.limit = f64::INFINITY,
                Limit::Cut | Limit::Grow | Limit::Lift => continue,
            }
            (group.load, group.changed) = (*next, self.now);
        }
    }

    /// The part of all proxies that is this controller's own.
    fn own_part(&self) -> f64 {
        (self.proxies.len().max(1) as f64 / f64::from(self.settings.proxies.max(1))).min(1.0)
    }

    /// What comes of a class to each proxy bound to a group, per second; of one that joined lately and is
    /// unheard, the usual: many that come at once would else count for nothing.
    fn arrivals(&self, group: usize, class: usize) -> Vec<f64> {
        let bound = self.proxies.values().filter(|proxy| proxy.bindings[class].group == Some(group));
        let rate = |proxy: &Proxy| match &proxy.bindings[class].recent {
            unheard if unheard.sum == 0.0 && self.now - proxy.joined < LASTING => self.demand(proxy, class),
            recent => recent.rate(self.now, HALF_LIFE, proxy.joined),
        };
        bound.map(rate).collect()
    }

    /// Levels of a group's classes: the limit goes to the most important first.
    fn wanted_levels(&self, index: usize) -> BTreeMap<usize, (f64, FurtherTries)> {
        let group = &self.groups[index];
        // What its members can do beside what others send: a standing ceiling where busy shares are told,
        // else while some member is cold, or nothing is known yet but usual traffic and what was listed.
        let best = self.best_yield.read(self.now, YIELD_HALF_LIFE);
        let usual: f64 = self.proxies.values().map(|proxy| proxy.usual_rate).sum();
        let each =
            if best > 0.0 { best * self.own_part() } else { usual / BUSY_UNTOLD / self.most_listed.max(1.0) };
        let fresh = (self.weight_of(index, &self.placements[0]) - group.weight).max(0.0);
        let able = match group.busy.filter(|_| best > 0.0) {
            Some(busy) => group.handled(HALF_LIFE) + each * ((BUSY_GOAL - busy) * group.weight + fresh),
            None if group.cold.is_some() || best == 0.0 => each * (group.weight + fresh),
            None => f64::INFINITY,
        };
        let limit = group.limit.min(able);
        let arrivals: Vec<Vec<f64>> =
            (0..self.classes.len()).map(|class| self.arrivals(index, class)).collect();
        let mut levels = BTreeMap::new();
        for (class, row) in self.classes.iter().enumerate() {
            let sum_if = |fits: &dyn Fn(f64) -> bool| -> f64 {
                let fitting = self.classes.iter().zip(&arrivals).filter(|(other, _)| fits(other.importance));
                fitting.flat_map(|(_, arrivals)| arrivals).sum()
            };
            let left = limit - sum_if(&|importance| importance > row.importance);
            let share = (left / sum_if(&|importance| importance == row.importance).max(0.1)).max(LEAST);
            let level = match self.settings.level_unit {
                LevelUnit::Share => share.min(1.0),
                LevelUnit::Rate if share < 1.0 => even_cap(&arrivals[class], share),
                LevelUnit::Rate if share < CEILING_NEAR => {
                    let most = share * arrivals[class].iter().copied().fold(0.1, f64::max);
                    most + CHANCE * most.sqrt()
                }
                LevelUnit::Rate => RATE_ALL,
                LevelUnit::Ignored => 1.0,
            };
            let calm = group.load == Load::Calm && group.cold.is_none() && share >= 1.0;
            // Further tries are more load; only those that surely ran nowhere are safe for every class.
            let tries = if calm { FurtherTries::Unrun } else { FurtherTries::Never };
            levels.insert(class, (level, tries));
        }
        levels
    }

    /// Where a class may run for proxies of a zone, by its place among the placements met so far.
    fn place_of(&mut self, class: usize, zone: ZoneId) -> usize {
        let row = &self.classes[class];
        let zones = if row.home_only { vec![zone] } else { row.placement.zones.clone() };
        let placement = Placement { zones, kinds: row.placement.kinds.clone() };
        self.placements.iter().position(|known| *known == placement).unwrap_or_else(|| {
            self.placements.push(placement);
            self.placements.len() - 1
        })
    }

    /// The table of a group under a placement; a group of one zone shares one among all that allow it whole.
    fn table_of(&self, group: usize, place: usize) -> TableId {
        let placement = &self.placements[place];
        let whole = self.groups[group].zone.is_some_and(|zone| placement.zones.contains(&zone));
        let shared = (whole || placement.zones.is_empty()) && placement.kinds.is_empty();
        let place = if shared { 0 } else { place.min(PLACES - 1) };
        TableId((group.min(254) * PLACES + place) as u16)
    }

    /// Weight of each server of a group that a placement allows; if none warm may be used, of any warm one
    /// that is listed ready, however it seems: a proxy must have a line while there is one.
    fn weights_of(&self, group: usize, placement: &Placement) -> Vec<(&Server, f64)> {
        let fits = |s: &&Server| s.group == group && s.ready() && placement.allows(&s.listing);
        let members = || self.servers.values().filter(fits);
        let weigh = |s: &Server| s.listed_weight() * s.share(self.now, self.born, &self.settings);
        let mut open: Vec<_> = members().map(|s| (s, weigh(s))).filter(|(_, weight)| *weight > 0.0).collect();
        if open.iter().all(|(s, _)| s.state == Cold) {
            let warm = members().filter(|s| s.warm(self.now, &self.settings));
            open.extend(warm.map(|s| (s, LAST_RESORT * s.listed_weight())));
        }
        open
    }

    fn weight_of(&self, group: usize, placement: &Placement) -> f64 {
        self.weights_of(group, placement).iter().map(|(_, weight)| weight).sum()
    }

    /// A proxy's lasting traffic of a class, in operations a second; unheard, the average of its kind.
    fn demand(&self, proxy: &Proxy, class: usize) -> f64 {
        let binding = &proxy.bindings[class];
        let rate = match binding.heard {
            true => binding.lasting.rate(self.now, LASTING, proxy.joined),
            false => proxy.usual_rate / self.classes.len() as f64,
        };
        rate.max(0.01)
    }

    /// Binds what is unbound to the least loaded group, and in a step moves what meets too much load.
    fn bind(&mut self) {
        let due = self.steps_left > 0 && self.now >= self.next_step;
        if due {
            self.steps_left -= 1;
            self.next_step = self.now + STEP;
        }
        let groups = 0..self.groups.len();
        let weights: Vec<f64> = groups.clone().map(|g| self.weight_of(g, &self.placements[0])).collect();
        let mut loads = vec![0.0; weights.len()];
        let open_under = |placement: &Placement| {
            let open: Vec<bool> = groups.clone().map(|g| self.weight_of(g, placement) > 0.0).collect();
            // Nowhere to go: an empty table still rids a proxy of a standing one that names lost servers.
            open.iter().map(|may| *may || !open.contains(&true)).collect::<Vec<bool>>()
        };
        let open: Vec<Vec<bool>> = self.placements.iter().map(open_under).collect();
        let mut wishes: Vec<Wish> = Vec::new();
        for (id, proxy) in &self.proxies {
            for (class, binding) in proxy.bindings.iter().enumerate() {
                let demand = self.demand(proxy, class);
                if let Some(group) = binding.group {
                    loads[group] += demand;
                }
                wishes.push(Wish { proxy: *id, class, demand, place: binding.place });
            }
        }
        // Proxies of other controllers load the groups too: as servers report it, else evenly.
        let own: f64 = loads.iter().sum();
        if self.own_part() < 1.0 && own > 0.0 {
            let told = self.groups.iter().all(|group| group.busy.is_some());
            let part = |g: usize| weights[g] * self.groups[g].busy.filter(|_| told).unwrap_or(1.0);
            let parts: Vec<f64> = groups.clone().map(part).collect();
            let sum: f64 = parts.iter().sum();
            for (load, part) in loads.iter_mut().zip(parts) {
                *load = load.max(own / self.own_part() * part / sum.max(1e-9));
            }
        }
        for _ in 0..2 * wishes.len() {
            // The binding that gains most by moving, in load met; of those that must go, the busiest.
            let mut best: Option<(f64, &Wish, usize)> = None;
            for wish in &wishes {
                let proxy = &self.proxies[&wish.proxy];
                let cost = |group: usize, added: f64| {
                    let home = self.groups[group].zone.is_none_or(|zone| zone == proxy.zone);
                    (loads[group] + added) / weights[group].max(1e-6) * if home { 1.0 } else { AWAY }
                };
                let open = &open[wish.place];
                let from = proxy.bindings[wish.class].group.filter(|group| open[*group]);
                if from.is_some() && !due {
                    continue;
                }
                let old = from.map_or(1e15 * wish.demand, |from| cost(from, 0.0));
                for group in groups.clone().filter(|group| open[*group] && Some(*group) != from) {
                    let gain = old / cost(group, wish.demand);
                    if gain > best.map_or(MOVE_GAIN, |(most, ..)| most) {
                        best = Some((gain, wish, group));
                    }
                }
            }
            let Some((_, wish, group)) = best else { break };
            let Some(proxy) = self.proxies.get_mut(&wish.proxy) else { break };
            if let Some(from) = proxy.bindings[wish.class].group.replace(group) {
                loads[from] -= wish.demand;
            }
            loads[group] += wish.demand;
        }
    }

    /// The lines a table should have.
    fn wanted_lines(&self, group: usize, placement: &Placement) -> BTreeMap<ServerId, f64> {
        // Where tries fail more are made, and proxies that avoid failing servers send all to one that has not
        // failed them yet: a cold server gets less, and, beside servers that fail, nothing.
        let (open, cold) = (&self.groups[group].seen, self.groups[group].cold.unwrap_or_default());
        let answered = 1.0 - open.share().max(cold.share());
        let guard = if open.share() < ODD_SHARE { answered.powi(2).max(LEAST) } else { 0.0 };
        let line = |(server, weight): (&Server, f64)| {
            let weight =
                weight * if server.state == Cold { server.pace.min(1.0) * guard } else { server.pace };
            (server.listing.server.clone(), (weight * 1e4).round() / 1e4)
        };
        self.weights_of(group, placement).into_iter().map(line).filter(|(_, weight)| *weight > 0.0).collect()
    }

    /// Sends what changed, as far as the channel can drain it; moves off lost servers go first.
    fn publish(&mut self, orders: &mut Vec<Order>) {
        self.channel.drain(self.now, self.settings.channel_lines_per_second * CHANNEL_SHARE);
        let gap = self.settings.message_span.0.checked_div(u64::from(self.settings.message_limit));
        let rested = self.now - self.channel.sent_at;
        if rested < Nanos(gap.unwrap_or(0)) {
            return;
        }
        let mut users: BTreeMap<TableId, BTreeSet<ProxyId>> = BTreeMap::new();
        // By proxy and table: the rank, and the classes.
        let mut binds: BTreeMap<(ProxyId, TableId), (u8, ClassSet)> = BTreeMap::new();
        let mut used: BTreeSet<TableId> = BTreeSet::new();
        let lost = |id: &ServerId| !self.servers[id].ready() || self.servers[id].state == Cold;
        let left_bare = |table: &TableId| self.tables[table].lines.keys().all(lost);
        for (id, proxy) in &self.proxies {
            for (class, binding) in proxy.bindings.iter().enumerate() {
                if let Some(sent) = binding.sent {
                    users.entry(sent).or_default().insert(*id);
                }
                let Some(group) = binding.group else { continue };
                let table = self.table_of(group, binding.place);
                used.insert(table);
                if binding.sent != Some(table) {
                    let bind = binds.entry((*id, table)).or_insert((2, ClassSet(0)));
                    let urgent = binding.sent.as_ref().is_none_or(left_bare);
                    *bind = (bind.0.min(if urgent { 1 } else { 2 }), bind.1.with(ClassId(class as u8)));
                }
            }
        }
        // Orders by rank: lost servers and lines for empty tables, bare proxies, bindings, weights, levels.
        let mut ranked: Vec<(u8, Order)> = Vec::new();
        for table in self.tables.keys().chain(&used).copied().collect::<BTreeSet<TableId>>() {
            let held = self.tables.get(&table).cloned().unwrap_or_default();
            let (group, place) = (usize::from(table.0) / PLACES, usize::from(table.0) % PLACES);
            let kept =
                || held.lines.iter().filter(|(id, _)| !lost(id)).map(|(id, weight)| (id.clone(), *weight));
            let (wanted, levels) = match used.contains(&table) {
                true => (self.wanted_lines(group, &self.placements[place]), self.wanted_levels(group)),
                false => (kept().collect(), BTreeMap::new()),
            };
            let bare = !held.lines.keys().any(|id| wanted.contains_key(id));
            let rank = |late: u8| if bare || !users.contains_key(&table) { 0 } else { late };
            for (server, weight) in held.changes(&wanted, CHANGE) {
                let sinks = held.lines.get(&server).is_some_and(|old| weight < *old);
                let rank = if sinks && lost(&server) { 0 } else { rank(3) };
                ranked.push((rank, Order::Line { table, server, weight }));
            }
            for (class, (level, tries)) in levels {
                let old = held.levels.get(&class).copied();
                if old.is_none_or(|(old, way)| way != tries || (level - old).abs() > CHANGE * old) {
                    let classes = ClassSet::of(ClassId(class as u8));
                    ranked.push((rank(4), Order::Level { table, classes, level, tries }));
                }
            }
        }
        let bind = |((proxy, table), (rank, classes))| (rank, Order::Bind { proxy, classes, table });
        ranked.extend(binds.into_iter().map(bind));
        ranked.sort_by_key(|(rank, _)| *rank);
        let room = |rank| {
            let share = if rank < 2 { URGENT_SHARE } else { QUEUE_SHARE };
            self.settings.channel_lines_limit * share - self.channel.queued
        };
        let room: Vec<f64> = (0..5).map(room).collect();
        let (mut cost, mut touched) = (0.0, BTreeSet::new());
        for (rank, order) in ranked {
            let spent = cost + touched.len() as f64 * self.settings.lines_per_message;
            if spent > room[usize::from(rank)] || rank >= 3 && rested < TURN + TURN {
                break;
            }
            let (lines, reached) = self.note_sent(&order, &users);
            cost += (lines * reached.len()) as f64;
            touched.extend(reached);
            orders.push(order);
        }
        if !touched.is_empty() {
            self.channel.queued += cost + touched.len() as f64 * self.settings.lines_per_message;
            self.channel.sent_at = self.now;
        }
    }

    /// Keeps what an order leaves at the proxies, and tells its lines and the proxies it reaches.
    fn note_sent(
        &mut self,
        order: &Order,
        users: &BTreeMap<TableId, BTreeSet<ProxyId>>,
    ) -> (usize, BTreeSet<ProxyId>) {
        match order {
            Order::Line { table, server, weight } => {
                self.tables.entry(*table).or_default().set_line(server, *weight);
                (1, users.get(table).cloned().unwrap_or_default())
            }
            Order::Level { table, classes, level, tries } => {
                let class = classes.0.trailing_zeros() as usize;
                self.tables.entry(*table).or_default().levels.insert(class, (*level, *tries));
                (1, users.get(table).cloned().unwrap_or_default())
            }
            Order::Bind { proxy, classes, table } => {
                let bindings = self.proxies.get_mut(proxy).into_iter().flat_map(|proxy| &mut proxy.bindings);
                let bound = bindings.enumerate().filter(|(class, _)| classes.has(ClassId(*class as u8)));
                bound.for_each(|(_, binding)| binding.sent = Some(*table));
                let sent = self.tables.entry(*table).or_default();
                (1 + sent.lines.len() + sent.levels.len(), BTreeSet::from([*proxy]))
            }
            Order::Probe { .. } | Order::WatchList | Order::Wake { .. } => (0, BTreeSet::new()),
        }
    }
}

/// The rate at each proxy that lets in a share of all that arrives: the busiest give first. What arrives at one
/// proxy comes by chance, so that a cap at its mean rate refuses some and a cap above it still does.
fn even_cap(arrivals: &[f64], share: f64) -> f64 {
    let target = share * arrivals.iter().sum::<f64>();
    let most = arrivals.iter().copied().fold(0.1, f64::max);
    let (mut low, mut high) = (0.0, most + CHANCE * most.sqrt());
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
