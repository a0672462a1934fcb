//! Every decision of a controller.
//!
//! A host makes one [`Controller`] for each instance, with the settings and the seed that instance is given,
//! and calls [`Controller::step`] with the clock and what has come in; what comes back is to be carried out
//! then, in order. Nothing else goes in or out, nothing is shared. The types stand in `interface.rs`.
//!
//! The ordinary path: the listed servers are dealt into groups, a table each; a proxy is bound, per class, to
//! one group; bindings move by load only as proxies or servers come and go; a paced sender publishes what
//! changed. Around it stand a server's states (`SERVER_MOVES`), a group's (`GROUP_MOVES`), the weights of
//! lines within a group, and the guards of the rules.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use crate::interface::*;
use crate::state::State::{Away, Cold, Doubted, Open, Out};
use crate::state::*;

const TURN: Nanos = Nanos::from_millis(250); // ms; looks round unasked: well under a report's delay
const HALF_LIFE: Nanos = Nanos::from_millis(2_000); // ms; of what proxies met; or a report's span
const LASTING: Nanos = Nanos::from_millis(8_000); // ms; half-life of traffic as bindings see it
const STEP: Nanos = Nanos::from_millis(5_000); // ms; the design's step: half weight, and time between moves
const JOIN_SHARE: f64 = 0.5; // share of its weight with which a server joins; the design's
const HELD_BACK: f64 = 0.5; // share of its capacity under which a new server waits: one burst would end it
const STEPS: u32 = 2; // steps of moves after a change: the design's
const GROUP_SIZES: (f64, f64) = (4.0, 30.0); // servers; the design's: a connection each, of every proxy
const BINDINGS: f64 = 4.0; // of a controller for each group: with fewer no move evens out the loads
const ONE_GROUP_BELOW: usize = 8; // servers; the design's
const ZONE_LEAST: usize = 3; // servers of a zone that stand as a group: with fewer, losing one halves it
const AWAY: f64 = 1.3; // load factor of a group in another zone: crossings cost, and cuts strike them
const APART: f64 = 1.25; // load factor of a group with none of a proxy's classes: connections cost handshakes
const MOVE_GAIN: f64 = 1.1; // factor by which a move must lessen the load met: less would be noise
const HEARD: f64 = 0.1; // least count of what is left of reports that a mean is told from
const LEAST_AGE: Nanos = Nanos::from_millis(1_000); // ms; a rate over less is chance
const EVIDENCE: f64 = 4.0; // tries before a server is judged: two or three more failures than chance brings
const BROKEN_SHARE: f64 = 0.35; // unanswered share: clients' further tries no longer make up for it
const ODD_SHARE: f64 = 0.15; // unanswered share: well above chance
const OWN_FAULT: f64 = 2.5; // factor over the other servers' share: the server's own doing, not the load's
const LAST_RESORT: f64 = 0.3; // share of its weight of a server shut out that nothing can stand in for
const FLOOR: f64 = 0.4; // part of a group's listed weight that stays in use; bindings can leave it
const PROBE_EVERY: Nanos = Nanos::from_millis(700); // ms; a probe costs a few ms of work
const CLEARING: u32 = 3; // probes answered before a return, doubled at each relapse up to three times
const BAD_PROBES: u32 = 2; // probes failed in a row that shut out: one may be lost
const DOUBT_ENDS: Nanos = Nanos::from_millis(8_000); // ms; a doubt ends after this without signs
const CHANGE: f64 = 0.12; // share by which a line or level must move: less is not worth the channel
const PACE_EVERY: Nanos = Nanos::from_millis(3_000); // ms; reports of the last change must have come
const PACE_POWER: f64 = 0.2; // weight against wait: a late answer must not swing
const PACE_RANGE: (f64, f64) = (0.2, 1.8); // bounds in all: waits tell of queues more than of speed
const WAIT_OVER: f64 = 0.6; // mean wait, in latency goals: waits spread, so well before 1 many miss the goal
const WAIT_LIGHT: f64 = 0.5; // wait for good answers, in goals, under which a group can take more
const BUSY_GOAL: f64 = 0.95; // busy share to which a group may be filled
const BUSY_UNTOLD: f64 = 0.6; // taken for the busy share where servers report none: a usual one
const BUSY_LEAST: f64 = 0.3; // least busy share counted with: a nearly idle one tells nothing of capacity
const YIELD_HALF_LIFE: Nanos = Nanos::from_millis(30_000); // ms; what servers can do changes slowly
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
const LEAST: f64 = 0.02; // least share of a weight or a level: something must be met to be judged by
const CHANNEL_SHARE: f64 = 0.5; // share of the channel's told pace counted on: it may run slower
const QUEUE_SHARES: [f64; 5] = [0.7, 0.5, 0.3, 0.3, 0.3]; // by rank: share of the limit to be filled
const MARK_SHARE: f64 = 0.1; // share of the channel's limit sent between marks: a mark costs a line a message
const WAY: Nanos = Nanos::from_millis(1_000); // ms; a message's way to a proxy and its answer's back, at most
const MARK_LOST: Nanos = Nanos::from_millis(10_000); // ms; an answer this late is lost, with its stream
const ASK_AGAIN: Nanos = Nanos::from_millis(500); // ms; first wait before the list is asked for again
const ASK_AGAIN_MOST: Nanos = Nanos::from_millis(4_000); // ms; the longest: it is one service for all
const FORGET: Nanos = Nanos::from_millis(60_000); // ms; a server gone for so long comes back as a new one
const PLACES: usize = 256; // placements a group can have tables for: table numbers end at 65535
const LINE_STEPS: f64 = 1e4; // a unit of weight is told in so many steps
const LINE_LEAST: f64 = 1.0 / LINE_STEPS; // the least weight of a line: what is smaller would be none
const REFUSED_AGAIN: Nanos = Nanos::from_millis(500); // ms; until a refused order is given again: its cause may pass
const RATE_ALL: f64 = 1e6; // operations a second; more than any proxy carries: a level that lets all in

/// A server's states, sign, next state, effect. The first sign that holds and has a row is taken.
const SERVER_MOVES: &[(&[State], Sign, State, Effect)] = &[
    (&[Cold, Open, Doubted, Out], Sign::Unlisted, Away, Effect::Leave),
    (&[Away, Open, Doubted, Out, Cold], Sign::Started, Cold, Effect::Join),
    (&[Away], Sign::Warm, Open, Effect::Join),
    (&[Cold], Sign::Warm, Open, Effect::Nothing),
    (&[Cold, Open, Doubted], Sign::Broken, Out, Effect::Expel),
    (&[Open], Sign::Odd, Doubted, Effect::Nothing),
    (&[Doubted], Sign::Sound, Open, Effect::Nothing),
    (&[Out], Sign::Cleared, Open, Effect::Return),
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

    /// In the tables at its whole weight, and counted for its group.
    fn in_use(&self) -> bool {
        matches!(self.state, Open | Doubted)
    }

    /// What proxies met: those in its own zone if they are enough, since far ones may suffer from the path.
    fn seen(&self, now: Nanos) -> Seen {
        let near = Some(self.near.read(now)).filter(|near| near.tries >= EVIDENCE);
        near.unwrap_or_else(|| self.far.read(now))
    }

    fn met(&self, now: Nanos) -> Seen {
        self.near.read(now).plus(self.far.read(now))
    }

    fn warm(&self, now: Nanos, settings: &Settings) -> bool {
        self.listing.started.is_none_or(|started| now - started >= settings.warm_after)
    }

    /// Whether it is warm, or may be as far as can be told.
    fn may_be_warm(&self, now: Nanos, settings: &Settings) -> bool {
        self.warm(now, settings) || !self.listing.is_start_certain
    }

    /// The share of its capacity that it has warmed up to, at the least.
    fn warmed(&self, now: Nanos, settings: &Settings) -> f64 {
        let warmth = |started: Nanos| ((now - started).secs() / settings.warm_after.secs()).min(1.0);
        let ramp = |warmth: f64| settings.cold_share + (1.0 - settings.cold_share) * warmth;
        self.listing.started.map_or(1.0, |started| ramp(warmth(started)))
    }

    /// What it can surely do now, as a share of its listed weight.
    fn share(&self, now: Nanos, born: Nanos, settings: &Settings) -> f64 {
        let ramp = self.warmed(now, settings);
        let step = if self.joined.is_some_and(|joined| now - joined < STEP) { JOIN_SHARE } else { 1.0 };
        match self.state {
            Away | Out => 0.0,
            Cold if ramp < HELD_BACK || now - born < STEP => 0.0, // nor while the controller knows little
            Cold | Open | Doubted => ramp * step,
        }
    }
}

impl Controller {
    /// Takes in what has come and gives the orders of this moment. Reports alone wait for the next turn.
    pub fn step(&mut self, now: Nanos, events: &[Event]) -> Vec<Order> {
        self.now = now;
        let mut orders = Vec::new();
        for event in events {
            self.take_in(event);
        }
        let news = |event: &Event| {
            matches!(event, Event::List { .. } | Event::ProxyJoined { .. } | Event::ProxyLeft { .. })
        };
        if self.next_wake <= now {
            self.next_wake = now + TURN;
            orders.push(Order::Wake { after: TURN });
        } else if !events.iter().any(news) {
            return orders;
        }
        if self.ask_at.is_some_and(|at| at <= now) {
            self.ask_at = None;
            orders.push(Order::WatchList);
        }
        self.look_over();
        self.move_servers();
        self.forget_servers();
        self.probe(&mut orders);
        if self.settings.slices == 0 {
            self.follow_pace();
            self.bind();
            self.count_arrivals();
            self.move_groups();
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
            Event::ProxyHolds { proxy, class, table } => {
                // A takeover is no change of membership: bindings stay where they stand.
                let group = Some(usize::from(table.0) / PLACES).filter(|group| *group < self.groups.len());
                let bindings = self.proxies.get_mut(proxy).map(|proxy| &mut proxy.bindings);
                if let Some(binding) = bindings.and_then(|all| all.get_mut(usize::from(class.0))) {
                    binding.group = group;
                }
            }
            Event::ProxyLeft { proxy } => {
                self.proxies.remove(proxy);
                self.steps_left = STEPS;
            }
            Event::Heard { server, zone, tries, unanswered, latency, report, span } => {
                let Some(server) = self.servers.get_mut(server) else { return };
                // Where lines wait their turn a report covers more, and must last until the next one.
                let half = (*span).clamp(HALF_LIFE, LASTING);
                server.busy.hear(now, half, report.busy);
                server.held.hear(now, half, report.held);
                // A try without an answer weighs as much as the slowest that is of use.
                let (tries, failed) = (*tries as f64, *tries.min(unanswered) as f64);
                let answering = (tries - failed) * latency.secs();
                let waited = answering + failed * self.goals.1;
                let met = if *zone == server.listing.zone { &mut server.near } else { &mut server.far };
                met.add(now, half, Seen { tries, failed, waited, answering, ..Seen::default() });
            }
            Event::Demand { proxy, class, arrived, span, .. } => {
                let Some(proxy) = self.proxies.get_mut(proxy) else { return };
                let Some(binding) = proxy.bindings.get_mut(usize::from(class.0)) else { return };
                binding.lasting.add(now, LASTING, *arrived as f64);
                binding.recent.add(now, (*span).clamp(HALF_LIFE, LASTING), *arrived as f64);
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
            Event::OrderRefused { order } => {
                self.note_refused(order);
                self.refused.extend(Subject::of(order).map(|subject| (subject, now + REFUSED_AGAIN)));
            }
            Event::Applied { mark, .. } => self.channel.applied(*mark),
            Event::Woken | Event::PeerSaid { .. } => {}
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
        let mut sizes = vec![0; self.groups.len()];
        self.servers.values().filter(|server| server.ready()).for_each(|server| sizes[server.group] += 1);
        let mut entries: Vec<&Listing> = entries.iter().collect();
        entries.sort_by(|a, b| a.server.cmp(&b.server));
        for entry in entries {
            let known = self.servers.get(&entry.server);
            if let Some(known) = known {
                sizes[known.group] -= usize::from(known.ready());
                self.groups[known.group].members.remove(&entry.server);
            }
            let stays = known.filter(|known| known.listing.zone == entry.zone).map(|known| known.group);
            let group = stays.unwrap_or_else(|| self.group_for(entry, &mut sizes));
            sizes[group] += usize::from(entry.readiness == Readiness::Ready);
            self.groups[group].members.insert(entry.server.clone());
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
        // The same for all controllers: by what all are told.
        let proxies = f64::from(self.settings.proxies) / f64::from(self.settings.controllers.max(1));
        let bindings = proxies * self.classes.len() as f64;
        let size = (BINDINGS * all as f64 / bindings.max(1.0)).clamp(GROUP_SIZES.0, GROUP_SIZES.1);
        for (zone, count) in dealt {
            let many =
                if all < ONE_GROUP_BELOW { 1 } else { (count as f64 / size).round().max(1.0) as usize };
            self.groups.extend((0..many).map(|_| Group::new(zone)));
        }
    }

    /// The smallest group that a server may join; a zone that has none gets one.
    fn group_for(&mut self, entry: &Listing, sizes: &mut Vec<usize>) -> usize {
        let open = |group: &usize| self.groups[*group].zone.is_none_or(|zone| zone == entry.zone);
        (0..self.groups.len()).filter(open).min_by_key(|group| sizes[*group]).unwrap_or_else(|| {
            self.groups.push(Group::new(Some(entry.zone)));
            sizes.push(0);
            self.groups.len() - 1
        })
    }

    fn sign_of(&self, server: &Server) -> Option<(Sign, State, Effect)> {
        let (now, seen) = (self.now, server.seen(self.now));
        let (tries, share) = (seen.tries, seen.share());
        let cold = !server.warm(now, &self.settings);
        // Against the better half of its group: a crowded one fails as one, a lost path may take most.
        let group = &self.groups[server.group];
        let own = share > OWN_FAULT * group.better;
        let room = group.weight - FLOOR * group.listed;
        let strained = group.load == Load::Shedding && server.probes_bad == 0;
        let failing = tries >= EVIDENCE && share >= BROKEN_SHARE && own && !strained;
        let silent = server.probes_bad >= BAD_PROBES && (share > ODD_SHARE || tries < 1.0);
        let rested = now - server.since >= DOUBT_ENDS && share < ODD_SHARE;
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
        SERVER_MOVES.iter().find(row).map(|(_, sign, next, effect)| (*sign, *next, *effect))
    }

    /// Carries every server through `SERVER_MOVES`, the worst first while its group has room to shut out.
    fn move_servers(&mut self) {
        let now = self.now;
        let mut order: Vec<(ServerId, f64)> =
            self.servers.iter().map(|(id, server)| (id.clone(), server.seen(now).share())).collect();
        order.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        for (id, _) in order {
            let Some((sign, next, effect)) = self.sign_of(&self.servers[&id]) else { continue };
            let from = self.servers[&id].state;
            self.note_transition(Transition::Server { server: id.clone(), from, to: next, sign });
            let Some(server) = self.servers.get_mut(&id) else { continue };
            (server.state, server.since, server.fresh) = (next, now, false);
            (server.probes_good, server.probes_bad) = (0, 0);
            match effect {
                Effect::Nothing => continue,
                // The fleet as first listed is no newcomer.
                Effect::Join => (server.joined, server.relapses) = ((now > self.born).then_some(now), 0),
                Effect::Leave => self.next_step = now,
                Effect::Return => server.joined = Some(now),
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

    /// Forgets servers long gone, once no table names them: replaced day by day, they would pile up.
    fn forget_servers(&mut self) {
        let (now, groups, tables) = (self.now, &mut self.groups, &self.tables);
        let long_gone = |server: &Server| {
            server.state == Away
                && server.listing.readiness == Readiness::Removed
                && now - server.since >= FORGET
        };
        let named = |id: &ServerId| tables.values().any(|table| table.lines.contains_key(id));
        self.servers.retain(|id, server| {
            let stays = !long_gone(server) || named(id);
            if !stays {
                groups[server.group].members.remove(id);
            }
            stays
        });
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
        for group in &mut self.groups {
            let members = || group.members.iter().map(|id| &self.servers[id]);
            let open = || members().filter(|s| s.in_use());
            let busy = |s: &Server| Some(s.listed_weight() * s.busy.mean(now, HEARD)?);
            let busy: Option<f64> = open().map(busy).sum();
            let weight: f64 = open().map(Server::listed_weight).sum();
            let listed = members().filter(|s| s.ready()).map(Server::listed_weight).sum();
            let mut met: Vec<Seen> = open().map(|s| s.met(now)).collect();
            let seen = met.iter().copied().fold(Seen::default(), Seen::plus);
            met.sort_by(|a, b| a.share().total_cmp(&b.share()));
            let half = met.len().div_ceil(2);
            let better = met.into_iter().take(half).fold(Seen::default(), Seen::plus);
            group.better = (better.failed + 1.0) / (better.tries + EVIDENCE);
            group.cold = members().filter(|s| s.state == Cold).map(|s| s.met(now)).reduce(Seen::plus);
            (group.seen, group.weight, group.listed) = (seen, weight, listed);
            let held =
                members().filter(|s| s.in_use() || s.state == Cold).filter_map(|s| s.held.mean(now, HEARD));
            group.held = held.sum();
            group.busy = busy.filter(|_| weight > 0.0).map(|busy| (busy / weight).clamp(BUSY_LEAST, 1.0));
            handled += seen.handled;
            busy_weight += weight * group.busy.unwrap_or(BUSY_UNTOLD);
        }
        self.most_listed = self.groups.iter().map(|group| group.listed).sum::<f64>().max(self.most_listed);
        let each = handled / busy_weight.max(1e-9) / self.own_part();
        // Sums that are not filled yet tell too little.
        let each = if now - self.born < STEP { 0.0 } else { each };
        let best = self.best_yield.read(now);
        self.best_yield.add(now, YIELD_HALF_LIFE, (each - best).max(0.0));
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
            let arrived: f64 = self.groups[index].arrivals.iter().flatten().sum();
            let best = self.best_yield.read(self.now) * BUSY_UNTOLD * self.own_part();
            let group = &mut self.groups[index];
            let proven = PROVEN * best * group.weight;
            // Tries that fail while the others are answered fast are lost, not crowded out.
            let (wait, answer) = (group.seen.wait() / self.goals.0, group.seen.answer_wait() / self.goals.0);
            let rested = self.now - group.changed;
            let (full, most) = (CUT * group.seen.handled, group.limit.min(arrived));
            let strain = if wait > WAIT_OVER
                && answer > WAIT_LIGHT
                && group.seen.tries >= EVIDENCE
                && group.busy.is_none()
            {
                Some(Strain::Over)
            } else if answer < WAIT_LIGHT && group.limit > LIFT * arrived && group.cold.is_none() {
                Some(Strain::Idle)
            } else {
                (answer < WAIT_LIGHT).then_some(Strain::Light)
            };
            let row = GROUP_MOVES.iter().find(|row| row.0 == group.load && Some(row.1) == strain);
            let Some((_, _, next, effect)) = row else { continue };
            match effect {
                Limit::Cut if rested >= CUT_EVERY => group.limit = full.clamp(CUT_MOST * most, CUT * most),
                Limit::Grow if rested >= GROW_EVERY => group.limit = (group.limit * GROWTH).max(proven),
                Limit::Lift if rested >= GROW_EVERY => group.limit = f64::INFINITY,
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
    fn own_part(&self) -> f64 {
        (self.proxies.len().max(1) as f64 / f64::from(self.settings.proxies.max(1))).min(1.0)
    }

    /// Counts what comes of each class to each proxy, per second, for its group; of one that joined
    /// lately and is unheard, the usual: many that come at once would else count for nothing.
    fn count_arrivals(&mut self) {
        let mut arrivals = vec![vec![Vec::new(); self.classes.len()]; self.groups.len()];
        let mut settled = vec![0.0; self.groups.len()];
        for proxy in self.proxies.values() {
            for (class, binding) in proxy.bindings.iter().enumerate() {
                let Some(group) = binding.group else { continue };
                let age = self.now - proxy.joined;
                let heard = !binding.recent.is_empty() || age >= LASTING;
                let rate = heard.then(|| binding.recent.rate(self.now, age.max(LEAST_AGE)));
                let rate = rate.unwrap_or_else(|| self.demand(proxy, class));
                settled[group] += if age >= STEP { rate } else { 0.0 };
                arrivals[group][class].push(rate);
            }
        }
        for (group, (arrivals, settled)) in self.groups.iter_mut().zip(arrivals.into_iter().zip(settled)) {
            group.settled = settled / arrivals.iter().flatten().sum::<f64>().max(1e-9);
            group.arrivals = arrivals;
        }
        self.usual = self.proxies.values().map(|proxy| proxy.usual_rate).sum();
    }

    /// What a group takes in at most while its servers hold operations for long: by what they hold and handle, which
    /// shows a queue before its answers come late. An operation refused at once has its answer; one that waits may have
    /// none in time.
    fn crowded_limit(&self, group: &Group) -> f64 {
        let handled = group.seen.handled + group.cold.map_or(0.0, |cold| cold.handled);
        // Sums hold what has been here for long; servers tell what they hold of all controllers' proxies.
        let (handled, own) = (handled / group.settled.max(SETTLED), group.held * self.own_part());
        let excess = own / handled.max(HEARD) / (HELD_LONG * self.goals.0);
        if group.settled < SETTLED || handled < 1.0 || excess <= 1.0 {
            return f64::INFINITY;
        }
        handled * HELD_CUT * excess.powf(-0.5).max(HELD_CUT_MOST)
    }

    /// Levels of a group's classes: the limit goes to the most important first.
    fn wanted_levels(&self, index: usize) -> BTreeMap<usize, (f64, FurtherTries)> {
        let group = &self.groups[index];
        // What its members can do beside what others send: a standing ceiling where busy shares are told,
        // else while some member is cold, or nothing is known yet but usual traffic and what was listed.
        let best = self.best_yield.read(self.now);
        let usual = self.usual / BUSY_UNTOLD / self.most_listed.max(1.0);
        let each = if best > 0.0 { best * self.own_part() } else { usual };
        let fresh = (self.weight_of(index, &self.placements[0]) - group.weight).max(0.0);
        let able = match group.busy.filter(|_| best > 0.0) {
            Some(busy) => group.seen.handled + each * ((BUSY_GOAL - busy) * group.weight + fresh),
            None if group.cold.is_some() || best == 0.0 => each * (group.weight + fresh),
            None => f64::INFINITY,
        };
        let limit = group.limit.min(able).min(self.crowded_limit(group));
        let sums: Vec<f64> = group.arrivals.iter().map(|arrivals| arrivals.iter().sum()).collect();
        let mut levels = BTreeMap::new();
        for (class, row) in self.classes.iter().enumerate() {
            let sum_of = |fits: fn(&f64, &f64) -> bool| -> f64 {
                let fitting = self.classes.iter().zip(&sums);
                fitting
                    .filter(|(other, _)| fits(&other.importance, &row.importance))
                    .map(|(_, sum)| sum)
                    .sum()
            };
            let left = limit - sum_of(f64::gt);
            let share = (left / sum_of(f64::eq).max(0.1)).max(LEAST);
            let level = match self.settings.level_unit {
                LevelUnit::Share => share.min(1.0),
                LevelUnit::Rate if share < CEILING_NEAR => even_cap(&group.arrivals[class], share),
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

    /// The table of a group under a placement; a group of one zone shares one among all that allow it whole.
    fn table_of(&self, group: usize, place: usize) -> TableId {
        let placement = &self.placements[place];
        let whole = self.groups[group].zone.is_some_and(|zone| placement.zones.contains(&zone));
        let shared = (whole || placement.zones.is_empty()) && placement.kinds.is_empty();
        let place = if shared { 0 } else { place.min(PLACES - 1) };
        TableId((group.min(254) * PLACES + place) as u16)
    }

    /// Weight of each server of a group that a placement allows; if none warm may be used, of any one that is
    /// listed ready and may be warm, however it seems: a proxy must have a line while there is one.
    fn weights_of(&self, group: usize, placement: &Placement) -> Vec<(&Server, f64)> {
        let fits = |s: &&Server| s.ready() && placement.allows(&s.listing);
        let members = || self.groups[group].members.iter().map(|id| &self.servers[id]).filter(fits);
        let weigh = |s: &Server| s.listed_weight() * s.share(self.now, self.born, &self.settings);
        let mut open: Vec<_> = members().map(|s| (s, weigh(s))).filter(|(_, weight)| *weight > 0.0).collect();
        if open.iter().all(|(s, _)| s.state == Cold) {
            let used: BTreeSet<&ServerId> = open.iter().map(|(s, _)| &s.listing.server).collect();
            let unused = members().filter(|s| !used.contains(&s.listing.server));
            let last = unused.filter(|s| s.may_be_warm(self.now, &self.settings));
            let weigh = |s: &Server| s.listed_weight() * LAST_RESORT.min(s.warmed(self.now, &self.settings));
            let last: Vec<_> = last.map(|s| (s, weigh(s))).collect();
            open.extend(last);
        }
        open
    }

    fn weight_of(&self, group: usize, placement: &Placement) -> f64 {
        self.weights_of(group, placement).iter().map(|(_, weight)| weight).sum()
    }

    /// A proxy's lasting traffic of a class, in operations a second; unheard, the average of its kind.
    fn demand(&self, proxy: &Proxy, class: usize) -> f64 {
        let binding = &proxy.bindings[class];
        let age = (self.now - proxy.joined).max(LEAST_AGE);
        let heard = binding.heard.then(|| binding.lasting.rate(self.now, age));
        heard.unwrap_or(proxy.usual_rate / self.classes.len() as f64).max(0.01)
    }

    /// Binds what is unbound to the least loaded group, and in a step moves what meets too much load: of the
    /// most loaded group first, the busiest binding first.
    fn bind(&mut self) {
        let due = self.steps_left > 0 && self.now >= self.next_step;
        if due {
            self.steps_left -= 1;
            self.next_step = self.now + STEP;
        }
        let weigh = |place: &Placement| (0..self.groups.len()).map(|g| self.weight_of(g, place)).collect();
        let weights: Vec<Vec<f64>> = self.placements.iter().map(weigh).collect();
        // Where no group has a line, a binding still moves: an empty table rids a proxy of a standing one
        // that names lost servers.
        let nowhere: Vec<bool> = weights.iter().map(|row| row.iter().all(|weight| *weight <= 0.0)).collect();
        let open = |place: usize, group: usize| nowhere[place] || weights[place][group] > 0.0;
        let mut wishes = self.wishes(&open);
        if !due && wishes.iter().all(|wish| wish.from.is_some()) {
            return;
        }
        let loads = self.loads(&weights[0], &wishes);
        let mut standing = Standing::new(&weights[0], loads, weights.len(), &self.groups, &open);
        wishes.retain(|wish| due || wish.from.is_none());
        let load = |wish: &Wish| wish.from.map_or(f64::INFINITY, |from| standing.load(from));
        wishes.sort_by_cached_key(|wish| Reverse((load(wish).to_bits(), wish.demand.to_bits())));
        for wish in &wishes {
            let away =
                |zone: Option<ZoneId>| if zone.is_none_or(|zone| zone == wish.zone) { 1.0 } else { AWAY };
            // A proxy's other groups: traffic spread over many servers lets connections fall idle.
            let bindings = self.proxies.get(&wish.proxy).map_or(&[][..], |proxy| &proxy.bindings);
            let others = bindings.iter().enumerate().filter(|(class, _)| *class != wish.class);
            let others: Vec<usize> = others.filter_map(|(_, binding)| binding.group).collect();
            let factor = |zone: Option<ZoneId>, group: usize| {
                away(zone) * if others.is_empty() || others.contains(&group) { 1.0 } else { APART }
            };
            let cost = |(zone, group): (Option<ZoneId>, usize)| {
                let added = wish.demand / standing.weights[group].max(1e-6);
                (group, (standing.load(group) + added) * factor(zone, group))
            };
            let known = others.iter().filter(|group| Some(**group) != wish.from && open(wish.place, **group));
            let known = known.map(|group| (self.groups[*group].zone, *group));
            let least = standing.least(wish.place, wish.from).chain(known).map(cost);
            let Some((to, new)) = least.min_by(|a, b| a.1.total_cmp(&b.1)) else { continue };
            let old = |from: usize| standing.load(from) * factor(self.groups[from].zone, from);
            if wish.from.is_some_and(|from| old(from) <= MOVE_GAIN * new) {
                continue;
            }
            standing.add(to, wish.demand);
            wish.from.into_iter().for_each(|from| standing.add(from, -wish.demand));
            if let Some(proxy) = self.proxies.get_mut(&wish.proxy) {
                proxy.bindings[wish.class].group = Some(to);
            }
        }
    }

    fn wishes(&self, open: &dyn Fn(usize, usize) -> bool) -> Vec<Wish> {
        let all = self
            .proxies
            .iter()
            .flat_map(|(id, proxy)| (0..proxy.bindings.len()).map(move |k| (id, proxy, k)));
        let wish = |(id, proxy, class): (&ProxyId, &Proxy, usize)| {
            let Binding { place, group, .. } = proxy.bindings[class];
            let (from, demand) = (group.filter(|group| open(place, *group)), self.demand(proxy, class));
            Wish { proxy: *id, zone: proxy.zone, class, demand, place, from }
        };
        all.map(wish).collect()
    }

    /// The groups' loads. Proxies of other controllers are taken to load them evenly.
    fn loads(&self, weights: &[f64], wishes: &[Wish]) -> Vec<f64> {
        let mut loads = vec![0.0; weights.len()];
        for wish in wishes {
            wish.from.into_iter().for_each(|from| loads[from] += wish.demand);
        }
        let own: f64 = loads.iter().sum();
        let sum = weights.iter().sum::<f64>().max(1e-9);
        for (load, weight) in loads.iter_mut().zip(weights) {
            *load += own * (1.0 / self.own_part() - 1.0) * weight / sum;
        }
        loads
    }

    fn wanted_lines(&self, group: usize, placement: &Placement) -> BTreeMap<ServerId, f64> {
        // Where tries fail more are made, and proxies that avoid failing servers send all to one that has not
        // failed them yet: a cold server gets less, and, beside servers that fail, nothing.
        let (open, cold) = (&self.groups[group].seen, self.groups[group].cold.unwrap_or_default());
        let answered = 1.0 - open.share().max(cold.share());
        let guard = if open.share() < ODD_SHARE { answered.powi(2).max(LEAST) } else { 0.0 };
        let lines = |guard: f64| -> BTreeMap<ServerId, f64> {
            let line = |(server, weight): (&Server, f64)| {
                let cold = server.state == Cold;
                let weight = weight * if cold { server.pace.min(1.0) * guard } else { server.pace };
                // Rounding must not end a line, however small the weights that are listed.
                let told = ((weight * LINE_STEPS).round() / LINE_STEPS).max(LINE_LEAST);
                (weight > 0.0).then(|| (server.listing.server.clone(), told))
            };
            self.weights_of(group, placement).into_iter().filter_map(line).collect()
        };
        // A group that nothing else is left of keeps a line to its cold servers.
        Some(lines(guard)).filter(|lines| !lines.is_empty()).unwrap_or_else(|| lines(LEAST))
    }

    /// Sends what changed, as far as the channel can drain it; moves off lost servers go first.
    fn publish(&mut self, orders: &mut Vec<Order>) {
        self.channel.drain(self.now, self.settings.channel_lines_per_second * CHANNEL_SHARE);
        let gap = self.settings.message_span.0.checked_div(u64::from(self.settings.message_limit));
        let rested = self.now - self.channel.sent_at;
        if rested < Nanos(gap.unwrap_or(0)) {
            return;
        }
        let mut users = self.users();
        let mut binds: BTreeMap<(ProxyId, TableId), (u8, ClassSet)> = BTreeMap::new();
        let mut used: BTreeSet<TableId> = BTreeSet::new();
        let lost = |id: &ServerId| !self.servers[id].ready() || self.servers[id].state == Cold;
        let left_bare = |table: &TableId| self.tables[table].lines.keys().all(lost);
        for (id, proxy) in &self.proxies {
            for (class, binding) in proxy.bindings.iter().enumerate() {
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
        // By rank: lost servers and lines for empty tables, bare proxies, bindings, weights, levels.
        let mut ranked: Vec<(u8, Order)> = Vec::new();
        for table in self.tables.keys().chain(&used).copied().collect::<BTreeSet<TableId>>() {
            let held = self.tables.get(&table).cloned().unwrap_or_default();
            let (group, place) = (usize::from(table.0) / PLACES, usize::from(table.0) % PLACES);
            let (wanted, levels) = match used.contains(&table) {
                true => (self.wanted_lines(group, &self.placements[place]), self.wanted_levels(group)),
                false => (held.without(lost), BTreeMap::new()),
            };
            let stands = |(id, weight): (&ServerId, &f64)| *weight > LINE_LEAST && wanted.contains_key(id);
            let bare = !held.lines.iter().any(stands);
            let rank = |late: u8| if bare || !users.contains_key(&table) { 0 } else { late };
            for (server, weight) in held.changes(&wanted, CHANGE) {
                let sinks = held.lines.get(&server).is_some_and(|old| weight < *old);
                let rank = if sinks && lost(&server) { 0 } else { rank(3) };
                ranked.push((rank, Order::Line { table, server, weight }));
            }
            for (class, (level, tries)) in levels {
                let differs = |old: &(f64, _)| tries != old.1 || (level - old.0).abs() > CHANGE * old.0;
                if held.levels.get(&class).is_none_or(differs) {
                    let classes = ClassSet::of(ClassId(class as u8));
                    ranked.push((rank(4), Order::Level { table, classes, level, tries }));
                }
            }
        }
        let bind = |((proxy, table), (rank, classes))| (rank, Order::Bind { proxy, classes, table });
        ranked.extend(binds.into_iter().map(bind));
        self.refused.retain(|_, until| *until > self.now);
        ranked.retain(|(_, order)| {
            Subject::of(order).is_none_or(|subject| !self.refused.contains_key(&subject))
        });
        ranked.sort_by_key(|(rank, _)| *rank);
        // What is not applied yet still waits, where the channel runs slower than counted on.
        let limit = self.settings.channel_lines_limit;
        let under_way = self.settings.channel_lines_per_second * WAY.secs();
        let queued = self.channel.queued.max(self.channel.unapplied(self.now, MARK_LOST) - under_way);
        let (mut cost, mut touched) = (0.0, BTreeSet::new());
        for (rank, order) in ranked {
            let spent = cost + touched.len() as f64 * self.settings.lines_per_message;
            if queued + spent > limit * QUEUE_SHARES[usize::from(rank)] || rank >= 3 && rested < TURN + TURN {
                break;
            }
            let (lines, reached) = self.note_sent(&order, &mut users);
            cost += (lines * reached.len()) as f64;
            touched.extend(reached);
            orders.push(order);
        }
        if !touched.is_empty() {
            let lines = cost + touched.len() as f64 * self.settings.lines_per_message;
            let marked = self.channel.send(self.now, lines, touched.len() as f64, MARK_SHARE * limit);
            orders.extend(marked.map(|mark| Order::Mark { mark }));
        }
    }
}

/// The rate at each proxy that lets in a share of all that arrives: the busiest give first. What arrives at
/// one proxy comes by chance, so that a cap at its mean rate refuses some and a cap above it still does.
fn even_cap(arrivals: &[f64], share: f64) -> f64 {
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
