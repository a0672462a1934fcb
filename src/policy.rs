//! Every decision of a controller.
//!
//! A host makes one [`Controller`] for each instance, with the settings and the seed that instance is given,
//! and calls [`Controller::step`] with the clock and what has come in; what comes back is to be carried out at
//! that moment, in order. Nothing else goes in or out: no clock, no file, nothing shared between instances.
//! The types stand in `interface.rs`.
//!
//! The ordinary path: the listed servers are dealt into groups, a table each; a proxy is bound, per class, to
//! one group; bindings move by load only as proxies or servers come and go; a paced sender publishes what
//! changed. Around it stand `SERVER_MOVES` (a server's states), the weights of lines, levels and the guards.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::interface::*;

/// The controller looks round this often unasked, ms: well under the reports' period, and cheap.
const TURN: Nanos = Nanos::from_millis(250);
/// Half of what was measured is forgotten after this, ms: some report periods, so that noise evens out.
const HALF_LIFE: Nanos = Nanos::from_millis(3_000);
/// Proxies' traffic is forgotten this slowly, ms: bindings last, so they go by what lasts.
const DEMAND_HALF_LIFE: Nanos = Nanos::from_millis(8_000);
/// The design's step, ms: a new server has half its weight, and loads settle, for this long between moves.
const STEP: Nanos = Nanos::from_millis(5_000);
/// Steps of moves after a change of membership: the design's two, and one to mend what reports show late.
const STEPS: u32 = 3;
/// Servers a group is dealt: the design's twelve.
const GROUP_SIZE: usize = 12;
/// Fewest servers of a zone that stand as a group: with fewer, losing one takes half the group.
const ZONE_LEAST: usize = 3;
/// Fewer servers than this stay one group: the design's eight.
const ONE_GROUP_BELOW: usize = 8;
/// How much heavier a group out of the proxy's zone counts: a crossing costs less than a quarter more load.
const AWAY: f64 = 1.25;
/// A binding moves if that cuts the load it meets below this share: less would be noise.
const MOVE_GAIN: f64 = 0.9;
/// Tries before a server is judged: two or three more failures than chance brings.
const EVIDENCE: f64 = 4.0;
/// Unanswered share that makes a server broken, and that makes it odd.
const BROKEN_SHARE: f64 = 0.35;
const ODD_SHARE: f64 = 0.15;
/// A share this many times that of the other servers is the server's own doing, not the load's.
const OWN_FAULT: f64 = 2.5;
/// Part of the listed weight that must stay when servers are shut out: the rest must carry their load.
const FLOOR: f64 = 0.7;
/// Time between probes of a server in doubt or out, ms: a probe costs a few ms of work.
const PROBE_EVERY: Nanos = Nanos::from_millis(700);
/// Probes answered in a row before a server comes back, doubled at each relapse up to the second figure.
const CLEARING: u32 = 3;
const CLEARING_MOST: u32 = 24;
/// A server back from health trouble comes up to its weight over this, ms: reports need a few seconds.
const TRIAL: Nanos = Nanos::from_millis(8_000);
/// Share of its weight with which it comes back.
const TRIAL_SHARE: f64 = 0.3;
/// A line is sent again when its weight moved by more than this share: less is not worth the channel.
const LINE_CHANGE: f64 = 0.15;
/// Weights follow measured latency at this interval, ms: reports of the last change must have come.
const PACE_EVERY: Nanos = Nanos::from_millis(3_000);
/// How sharply, and within what bounds of a step and in all.
const PACE_POWER: f64 = 0.4;
const PACE_STEP: (f64, f64) = (0.7, 1.25);
const PACE_RANGE: (f64, f64) = (0.1, 2.5);
/// Share of the channel's told pace that is counted on, and of its limit that is used: it may run slower.
const CHANNEL_SHARE: f64 = 0.5;
const QUEUE_SHARE: f64 = 0.3;
/// First wait before the list is asked for again, and the longest, ms: it is one service for all.
const ASK_AGAIN: Nanos = Nanos::from_millis(500);
const ASK_AGAIN_MOST: Nanos = Nanos::from_millis(4_000);
/// A level that lets all in, as a rate: more than any proxy carries.
const RATE_ALL: f64 = 1e6;

/// A sum that halves with every half-life; brought up to date when read.
#[derive(Clone, Copy, Debug, Default)]
struct Decay {
    sum: f64,
    at: Nanos,
}

impl Decay {
    fn read(&self, now: Nanos, half: Nanos) -> f64 {
        self.sum * 0.5f64.powf((now - self.at).secs() / half.secs())
    }

    fn add(&mut self, now: Nanos, half: Nanos, amount: f64) {
        *self = Decay { sum: self.read(now, half) + amount, at: now };
    }
}

/// What proxies met at a server.
#[derive(Clone, Copy, Debug, Default)]
struct Met {
    tries: Decay,
    unanswered: Decay,
    waited: Decay,
}

/// A server's states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Not listed ready: in no table.
    Away,
    /// Started lately: weight grows with what it can surely do.
    Cold,
    Open,
    /// Odd signs: probed, still in the tables.
    Doubted,
    /// Shut out for its health, and probed.
    Out,
    /// Back from that, at a growing share.
    Trial,
}

/// What moves a server from state to state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sign {
    Unlisted,
    Started,
    Warm,
    Broken,
    Odd,
    Sound,
    Cleared,
}

/// What a move does beside changing the server's weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Nothing,
    /// It enters its group as a new member does; bindings settle.
    Join,
    /// It leaves its group; bindings settle.
    Leave,
    /// As Leave, and its next return takes longer.
    Expel,
    /// What was measured no longer holds.
    Forget,
}

/// State, sign, next state, effect. Signs are tried in this order; the first row that fits is taken.
const SERVER_MOVES: &[(State, Sign, State, Effect)] = &[
    (State::Cold, Sign::Unlisted, State::Away, Effect::Leave),
    (State::Open, Sign::Unlisted, State::Away, Effect::Leave),
    (State::Doubted, Sign::Unlisted, State::Away, Effect::Leave),
    (State::Out, Sign::Unlisted, State::Away, Effect::Leave),
    (State::Trial, Sign::Unlisted, State::Away, Effect::Leave),
    (State::Away, Sign::Started, State::Cold, Effect::Join),
    (State::Open, Sign::Started, State::Cold, Effect::Join),
    (State::Doubted, Sign::Started, State::Cold, Effect::Join),
    (State::Out, Sign::Started, State::Cold, Effect::Join),
    (State::Trial, Sign::Started, State::Cold, Effect::Join),
    (State::Away, Sign::Warm, State::Open, Effect::Join),
    (State::Cold, Sign::Warm, State::Open, Effect::Nothing),
    (State::Cold, Sign::Broken, State::Out, Effect::Expel),
    (State::Open, Sign::Broken, State::Out, Effect::Expel),
    (State::Doubted, Sign::Broken, State::Out, Effect::Expel),
    (State::Trial, Sign::Broken, State::Out, Effect::Expel),
    (State::Open, Sign::Odd, State::Doubted, Effect::Nothing),
    (State::Doubted, Sign::Sound, State::Open, Effect::Nothing),
    (State::Trial, Sign::Sound, State::Open, Effect::Nothing),
    (State::Out, Sign::Cleared, State::Trial, Effect::Forget),
];

struct Server {
    zone: ZoneId,
    kind: KindId,
    listed_weight: f64,
    started: Option<Nanos>,
    ready: bool,
    group: usize,
    state: State,
    since: Nanos,
    /// When it last entered its group.
    joined: Nanos,
    /// Started anew since its state last changed.
    fresh: bool,
    /// Weight against the listed one, by what proxies met.
    pace: f64,
    near: Met,
    far: Met,
    busy: Option<f64>,
    probed: Nanos,
    probes_good: u32,
    probes_bad: u32,
    relapses: u32,
}

impl Server {
    /// Tries, unanswered share and mean wait: of proxies in its own zone if there are enough, since
    /// far ones may suffer from the path between.
    fn met(&self, now: Nanos) -> (f64, f64, f64) {
        let read = |met: &Met| {
            let tries = met.tries.read(now, HALF_LIFE);
            let part = |sum: &Decay| if tries > 0.0 { sum.read(now, HALF_LIFE) / tries } else { 0.0 };
            (tries, part(&met.unanswered), part(&met.waited))
        };
        let near = read(&self.near);
        if near.0 >= EVIDENCE {
            near
        } else {
            read(&self.far)
        }
    }

    /// What it can surely do now, against its listed weight.
    fn share(&self, now: Nanos, settings: &Settings) -> f64 {
        let ramp = match self.started {
            Some(started) if now - started < settings.warm_after => {
                let warmth = (now - started).secs() / settings.warm_after.secs();
                settings.cold_share + (1.0 - settings.cold_share) * warmth
            }
            Some(_) | None => 1.0,
        };
        let step = if now - self.joined < STEP && self.joined > Nanos(0) { 0.5 } else { 1.0 };
        match self.state {
            State::Away | State::Out => 0.0,
            State::Cold => ramp * step,
            State::Open | State::Doubted => step,
            State::Trial => {
                let grown = (now - self.since).secs() / TRIAL.secs();
                ramp * (TRIAL_SHARE + (1.0 - TRIAL_SHARE) * grown).min(1.0)
            }
        }
    }
}

/// Where a class may run.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Placement {
    zones: Vec<ZoneId>,
    kinds: Vec<KindId>,
}

impl Placement {
    fn allows(&self, zone: ZoneId, kind: KindId) -> bool {
        (self.zones.is_empty() || self.zones.contains(&zone))
            && (self.kinds.is_empty() || self.kinds.contains(&kind))
    }
}

/// A row a class: what differs by class.
struct ClassRow {
    latency_goal: f64,
    importance: f64,
    repeats: Repeats,
    placement: Placement,
    home_only: bool,
}

/// One proxy's binding for one class.
#[derive(Clone, Debug, Default)]
struct Binding {
    group: Option<usize>,
    sent: Option<TableId>,
    arrived: Decay,
    heard: bool,
}

struct Proxy {
    zone: ZoneId,
    usual_rate: f64,
    joined: Nanos,
    bindings: Vec<Binding>,
}

/// A shared table as the proxies have it.
#[derive(Default)]
struct Table {
    lines: BTreeMap<ServerId, f64>,
    levels: Vec<Option<(f64, FurtherTries)>>,
}

pub struct Controller {
    settings: Settings,
    rng: Pcg32,
    now: Nanos,
    classes: Vec<ClassRow>,
    servers: BTreeMap<ServerId, Server>,
    proxies: BTreeMap<ProxyId, Proxy>,
    /// The zone of each group, where all its servers are of one.
    groups: Vec<Option<ZoneId>>,
    /// Distinct placements; a table is a group's servers under one of them.
    placements: Vec<Placement>,
    tables: BTreeMap<TableId, Table>,
    steps_left: u32,
    next_step: Nanos,
    next_pace: Nanos,
    next_wake: Option<Nanos>,
    /// When to ask for the list, if it must be asked for.
    ask_at: Option<Nanos>,
    ask_wait: Nanos,
    queued: f64,
    queued_at: Nanos,
    sent_at: Nanos,
}

impl Controller {
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Self {
        let any = Placement { zones: Vec::new(), kinds: Vec::new() };
        let row = |class: &ClassSettings| ClassRow {
            latency_goal: class.latency_goal.secs(),
            importance: class.importance,
            repeats: class.repeats,
            placement: Placement { zones: class.only_zones.clone(), kinds: class.only_kinds.clone() },
            home_only: class.home_only,
        };
        Controller {
            rng: Pcg32::seed_from_u64(seed),
            now,
            classes: settings.classes.iter().map(row).collect(),
            servers: BTreeMap::new(),
            proxies: BTreeMap::new(),
            groups: Vec::new(),
            placements: vec![any],
            tables: BTreeMap::new(),
            steps_left: 0,
            next_step: now,
            next_pace: now + PACE_EVERY,
            next_wake: None,
            ask_at: settings.list_on_request.then_some(now),
            ask_wait: ASK_AGAIN,
            queued: 0.0,
            queued_at: now,
            sent_at: Nanos(0),
            settings,
        }
    }

    /// Takes in what has come and gives the orders of this moment.
    pub fn step(&mut self, now: Nanos, events: &[Event]) -> Vec<Order> {
        self.now = now;
        let mut orders = Vec::new();
        for event in events {
            self.take_in(event);
        }
        if self.next_wake.is_none_or(|at| at <= now) {
            self.next_wake = Some(now + TURN);
            orders.push(Order::Wake { after: TURN });
        }
        self.ask_for_list(&mut orders);
        self.move_servers();
        self.probe(&mut orders);
        if self.settings.slices == 0 {
            self.follow_pace();
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
                let bindings = vec![Binding::default(); self.classes.len()];
                let proxy_state = Proxy { zone: *zone, usual_rate: *usual_rate, joined: now, bindings };
                self.proxies.insert(*proxy, proxy_state);
                self.settle();
            }
            Event::ProxyLeft { proxy } => {
                if self.proxies.remove(proxy).is_some() {
                    self.settle();
                }
            }
            Event::Heard { server, zone, tries, unanswered, latency, report, .. } => {
                let slow = self.classes.iter().map(|class| class.latency_goal).fold(0.0, f64::max);
                let Some(server) = self.servers.get_mut(server) else { return };
                let good = tries.saturating_sub(*unanswered) as f64;
                let failed = tries.min(unanswered);
                let met = if *zone == server.zone { &mut server.near } else { &mut server.far };
                met.tries.add(now, HALF_LIFE, *tries as f64);
                met.unanswered.add(now, HALF_LIFE, *failed as f64);
                // A try without an answer weighs as much as the slowest that is of use.
                met.waited.add(now, HALF_LIFE, good * latency.secs() + *failed as f64 * slow);
                server.busy = report.busy.or(server.busy);
            }
            Event::Demand { proxy, class, arrived, .. } => {
                let Some(proxy) = self.proxies.get_mut(proxy) else { return };
                let Some(binding) = proxy.bindings.get_mut(usize::from(class.0)) else { return };
                binding.arrived.add(now, DEMAND_HALF_LIFE, *arrived as f64);
                // A joining is complete once the proxy's own traffic is known.
                if !binding.heard && now - proxy.joined > HALF_LIFE {
                    binding.heard = true;
                    self.settle();
                }
            }
            Event::Probed { server, outcome, report, .. } => {
                let Some(server) = self.servers.get_mut(server) else { return };
                server.busy = report.busy.or(server.busy);
                match outcome {
                    ProbeOutcome::Answered => {
                        server.probes_good += 1;
                        server.probes_bad = 0;
                    }
                    ProbeOutcome::TurnedAway => {}
                    ProbeOutcome::Failed => {
                        server.probes_good = 0;
                        server.probes_bad += 1;
                    }
                }
            }
            Event::Applied { .. } | Event::Woken | Event::PeerSaid { .. } => {}
            Event::SliceGiven { .. } | Event::SliceLine { .. } | Event::SliceDemand { .. } => {}
        }
    }

    fn take_list(&mut self, scope: ListScope, entries: &[Listing]) {
        match scope {
            ListScope::Failed => {
                let jitter = 1.0 + self.rng.random::<f64>();
                self.ask_at = Some(self.now + Nanos::from_secs(self.ask_wait.secs() * jitter));
                self.ask_wait = (self.ask_wait + self.ask_wait).min(ASK_AGAIN_MOST);
                return;
            }
            ListScope::Changes => self.ask_wait = ASK_AGAIN,
            ListScope::Whole | ListScope::Remembered => {
                self.ask_wait = ASK_AGAIN;
                for server in self.servers.values_mut() {
                    server.ready = false;
                }
            }
        }
        if self.groups.is_empty() {
            self.deal(entries);
        }
        let first = self.servers.is_empty();
        for entry in entries {
            let ready = entry.readiness == Readiness::Ready;
            let known = self.servers.get(&entry.server).map(|server| (server.group, server.zone));
            let group = match known {
                Some((group, zone)) if zone == entry.zone => group,
                Some(_) | None => self.group_for(entry),
            };
            let server = self.servers.entry(entry.server.clone()).or_insert_with(|| Server {
                zone: entry.zone,
                kind: entry.kind,
                listed_weight: 1.0,
                started: entry.started,
                ready,
                group,
                state: State::Away,
                since: Nanos(0),
                joined: Nanos(0),
                fresh: false,
                pace: 1.0,
                near: Met::default(),
                far: Met::default(),
                busy: None,
                probed: Nanos(0),
                probes_good: 0,
                probes_bad: 0,
                relapses: 0,
            });
            server.fresh |= server.started != entry.started;
            (server.zone, server.kind, server.group) = (entry.zone, entry.kind, group);
            (server.started, server.ready) = (entry.started, ready);
            server.listed_weight = entry.weight.filter(|w| *w > 0.0 && w.is_finite()).unwrap_or(1.0);
        }
        if first {
            // The fleet as first listed is no newcomer.
            self.move_servers();
            self.servers.values_mut().for_each(|server| server.joined = Nanos(0));
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
        if all >= ONE_GROUP_BELOW && zones.values().all(|count| *count >= ZONE_LEAST) {
            for (zone, count) in zones {
                self.groups.extend((0..count.div_ceil(GROUP_SIZE)).map(|_| Some(zone)));
            }
        } else if all > 0 {
            self.groups = vec![None; all.div_ceil(GROUP_SIZE)];
        }
    }

    /// The smallest group that a server may join; a zone that has none gets one.
    fn group_for(&mut self, entry: &Listing) -> usize {
        let size = |group: usize| self.servers.values().filter(|s| s.group == group && s.ready).count();
        let open = |group: &usize| self.groups[*group].is_none_or(|zone| zone == entry.zone);
        match (0..self.groups.len()).filter(open).min_by_key(|group| size(*group)) {
            Some(group) => group,
            None => {
                self.groups.push(Some(entry.zone));
                self.groups.len() - 1
            }
        }
    }

    /// Membership changed: bindings move now and in the next few steps.
    fn settle(&mut self) {
        self.steps_left = STEPS;
        self.next_step = self.next_step.min(self.now);
    }

    fn ask_for_list(&mut self, orders: &mut Vec<Order>) {
        if self.ask_at.is_some_and(|at| at <= self.now) {
            self.ask_at = None;
            orders.push(Order::WatchList);
        }
    }

    /// Signs of a server that hold now, in the order in which they count.
    fn signs(&self, server: &Server, others: f64, spare: f64) -> Vec<Sign> {
        let now = self.now;
        let mut signs = Vec::new();
        if !server.ready {
            return vec![Sign::Unlisted];
        }
        let cold = server.started.is_some_and(|started| now - started < self.settings.warm_after);
        match (cold, server.state) {
            (true, State::Away) => signs.push(Sign::Started),
            (true, _) if server.fresh => signs.push(Sign::Started),
            (false, _) => signs.push(Sign::Warm),
            (true, _) => {}
        }
        let (tries, share, _) = server.met(now);
        let own = share > OWN_FAULT * others;
        let silent = server.probes_bad >= 2 && (share > ODD_SHARE || tries < 1.0);
        if (tries >= EVIDENCE && share >= BROKEN_SHARE && own || silent) && server.listed_weight <= spare {
            signs.push(Sign::Broken);
        }
        if share * tries >= 2.0 && share >= ODD_SHARE && own {
            signs.push(Sign::Odd);
        }
        let rested = now - server.since >= TRIAL;
        if rested && share < ODD_SHARE || server.state == State::Doubted && server.probes_good >= CLEARING {
            signs.push(Sign::Sound);
        }
        let needed = (CLEARING << server.relapses.min(5)).min(CLEARING_MOST);
        let waited = now - server.since >= Nanos(PROBE_EVERY.0 * u64::from(needed));
        if waited && (server.probes_good >= needed || !self.settings.probes) {
            signs.push(Sign::Cleared);
        }
        signs
    }

    /// Carries every server through `SERVER_MOVES`.
    fn move_servers(&mut self) {
        let now = self.now;
        let ready = |s: &&Server| s.ready;
        let listed: f64 = self.servers.values().filter(ready).map(|s| s.listed_weight).sum();
        let out = |s: &&Server| s.ready && s.state == State::Out;
        let lost: f64 = self.servers.values().filter(out).map(|s| s.listed_weight).sum();
        let mut spare = listed * (1.0 - FLOOR) - lost;
        let (mut tries, mut failed) = (0.0, 0.0);
        for server in self.servers.values() {
            let (some, share, _) = server.met(now);
            tries += some;
            failed += some * share;
        }
        // The worst go first, while there is room.
        let mut order: Vec<(f64, ServerId)> =
            self.servers.iter().map(|(id, server)| (server.met(now).1, id.clone())).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        for (_, id) in order {
            let server = &self.servers[&id];
            let (own_tries, own_share, _) = server.met(now);
            let rest = tries - own_tries;
            let others = if rest > 0.0 { (failed - own_tries * own_share) / rest } else { 0.0 };
            let signs = self.signs(server, others.max(0.0), spare);
            let state = server.state;
            let fits = |sign: &Sign| SERVER_MOVES.iter().find(|(from, on, ..)| *from == state && on == sign);
            let Some((_, _, next, effect)) = signs.iter().find_map(fits) else { continue };
            let Some(server) = self.servers.get_mut(&id) else { continue };
            (server.state, server.since, server.fresh) = (*next, now, false);
            (server.probes_good, server.probes_bad) = (0, 0);
            match effect {
                Effect::Nothing => {}
                Effect::Join => {
                    server.joined = now;
                    server.pace = 1.0;
                    (server.near, server.far, server.relapses) = (Met::default(), Met::default(), 0);
                    self.settle();
                }
                Effect::Leave => self.settle(),
                Effect::Expel => {
                    server.relapses += 1;
                    spare -= server.listed_weight;
                    self.settle();
                }
                Effect::Forget => {
                    (server.near, server.far) = (Met::default(), Met::default());
                    server.pace = 1.0;
                    self.settle();
                }
            }
        }
    }

    fn probe(&mut self, orders: &mut Vec<Order>) {
        if !self.settings.probes {
            return;
        }
        for (id, server) in &mut self.servers {
            let wanted = matches!(server.state, State::Doubted | State::Out);
            if wanted && self.now - server.probed >= PROBE_EVERY {
                server.probed = self.now;
                orders.push(Order::Probe { server: id.clone() });
            }
        }
    }

    /// Moves each server's weight towards equal waits within its group.
    fn follow_pace(&mut self) {
        if self.now < self.next_pace {
            return;
        }
        self.next_pace = self.now + PACE_EVERY;
        let now = self.now;
        for group in 0..self.groups.len() {
            let (mut tries, mut waited) = (0.0, 0.0);
            for server in
                self.servers.values().filter(|s| s.group == group && s.share(now, &self.settings) > 0.0)
            {
                let (some, _, wait) = server.met(now);
                tries += some;
                waited += some * wait;
            }
            let usual = if tries > 0.0 { waited / tries } else { 0.0 };
            for server in self.servers.values_mut().filter(|s| s.group == group) {
                let (some, _, wait) = server.met(now);
                let step = if some >= EVIDENCE && wait > 0.0 {
                    (usual / wait).powf(PACE_POWER).clamp(PACE_STEP.0, PACE_STEP.1)
                } else {
                    server.pace.powf(-0.1)
                };
                server.pace = (server.pace * step).clamp(PACE_RANGE.0, PACE_RANGE.1);
            }
        }
    }

    fn placement_of(&self, class: usize, zone: ZoneId) -> Placement {
        let row = &self.classes[class];
        let mut placement = row.placement.clone();
        if row.home_only {
            placement.zones = vec![zone];
        }
        placement
    }

    /// The table of a group under a placement; a group of one zone shares one table among all that allow it.
    fn table_of(&mut self, group: usize, placement: &Placement) -> TableId {
        let whole = self.groups[group].is_some_and(|zone| placement.zones.contains(&zone));
        let shared = (whole || placement.zones.is_empty()) && placement.kinds.is_empty();
        let place = if shared {
            0
        } else {
            let known = self.placements.iter().position(|known| known == placement);
            known.unwrap_or_else(|| {
                self.placements.push(placement.clone());
                self.placements.len() - 1
            })
        };
        // Numbers stay below 65535 with up to 255 groups of 256 placements each.
        TableId((group.min(254) * 256 + place.min(255)) as u16)
    }

    /// Weight of the servers of a group that a placement allows.
    fn weight_of(&self, group: usize, placement: &Placement) -> f64 {
        let fits = |s: &&Server| s.group == group && placement.allows(s.zone, s.kind);
        let weight = |s: &Server| s.listed_weight * s.share(self.now, &self.settings);
        self.servers.values().filter(fits).map(weight).sum()
    }

    /// A proxy's traffic of a class, in operations a second; unheard, the average of its kind.
    fn demand(&self, proxy: &Proxy, class: usize) -> f64 {
        let binding = &proxy.bindings[class];
        if binding.heard {
            let seen = (self.now - proxy.joined).secs() / DEMAND_HALF_LIFE.secs();
            let window = DEMAND_HALF_LIFE.secs() / std::f64::consts::LN_2 * (1.0 - 0.5f64.powf(seen));
            return binding.arrived.read(self.now, DEMAND_HALF_LIFE) / window.max(1.0);
        }
        proxy.usual_rate.max(0.1) / self.classes.len() as f64
    }

    /// Binds what is unbound to the least loaded group, and in a step moves what meets too much load.
    fn bind(&mut self) {
        let due = self.steps_left > 0 && self.now >= self.next_step;
        let any = Placement { zones: Vec::new(), kinds: Vec::new() };
        let weights: Vec<f64> = (0..self.groups.len()).map(|group| self.weight_of(group, &any)).collect();
        let mut loads = vec![0.0; self.groups.len()];
        for proxy in self.proxies.values() {
            for (class, binding) in proxy.bindings.iter().enumerate() {
                if let Some(group) = binding.group {
                    loads[group] += self.demand(proxy, class);
                }
            }
        }
        let ids: Vec<(ProxyId, usize)> =
            self.proxies.keys().flat_map(|id| (0..self.classes.len()).map(|class| (*id, class))).collect();
        let mut moves = 0;
        loop {
            // The binding that gains most by moving.
            let mut best: Option<(f64, ProxyId, usize, usize)> = None;
            for (id, class) in &ids {
                let proxy = &self.proxies[id];
                let placement = self.placement_of(*class, proxy.zone);
                let demand = self.demand(proxy, *class).max(1e-6);
                let cost = |group: usize, added: f64| {
                    let home = self.groups[group].is_none_or(|zone| zone == proxy.zone);
                    let open = self.weight_of(group, &placement) > 0.0;
                    let load = if open { (loads[group] + added) / weights[group] } else { f64::INFINITY };
                    load * if home { 1.0 } else { AWAY }
                };
                let from = proxy.bindings[*class].group;
                let old = from.map_or(f64::INFINITY, |group| cost(group, 0.0));
                if old.is_finite() && !due {
                    continue;
                }
                for group in (0..self.groups.len()).filter(|group| Some(*group) != from) {
                    let gain = old / cost(group, demand);
                    // The busiest go first where all must go.
                    let gain = if gain.is_infinite() { 1e9 * demand / cost(group, demand) } else { gain };
                    if gain * MOVE_GAIN > 1.0 && best.as_ref().is_none_or(|(most, ..)| gain > *most) {
                        best = Some((gain, *id, *class, group));
                    }
                }
            }
            let Some((_, id, class, group)) = best else { break };
            let demand = self.demand(&self.proxies[&id], class).max(1e-6);
            let Some(proxy) = self.proxies.get_mut(&id) else { break };
            if let Some(from) = proxy.bindings[class].group.replace(group) {
                loads[from] -= demand;
            }
            loads[group] += demand;
            moves += 1;
            if moves > 2 * ids.len() {
                break;
            }
        }
        if due {
            self.steps_left -= 1;
            self.next_step = self.now + STEP;
        }
    }

    /// The lines a table should have: weights of open servers, or, if there are none, of any listed ready.
    fn wanted_lines(&self, group: usize, placement: &Placement) -> BTreeMap<ServerId, f64> {
        let fits = |s: &Server| s.group == group && s.ready && placement.allows(s.zone, s.kind);
        let lines = |weigh: &dyn Fn(&Server) -> f64| -> BTreeMap<ServerId, f64> {
            let members = self.servers.iter().filter(|(_, s)| fits(s));
            members.map(|(id, s)| (id.clone(), weigh(s))).filter(|(_, weight)| *weight > 0.0).collect()
        };
        let open = lines(&|s| s.listed_weight * s.pace * s.share(self.now, &self.settings));
        if open.is_empty() {
            lines(&|s| s.listed_weight)
        } else {
            open
        }
    }

    fn wanted_level(&self, class: usize) -> (f64, FurtherTries) {
        let level = match self.settings.level_unit {
            LevelUnit::Share | LevelUnit::Ignored => 1.0,
            LevelUnit::Rate => RATE_ALL,
        };
        let tries = match self.classes[class].repeats {
            Repeats::Safe | Repeats::Guarded | Repeats::Never => FurtherTries::Unrun,
        };
        (level, tries)
    }

    /// Sends what changed, as far as the channel can drain it; moves off lost servers go first.
    fn publish(&mut self, orders: &mut Vec<Order>) {
        let drained =
            (self.now - self.queued_at).secs() * self.settings.channel_lines_per_second * CHANNEL_SHARE;
        self.queued = (self.queued - drained).max(0.0);
        self.queued_at = self.now;
        let gap = match self.settings.message_limit {
            0 => Nanos(0),
            limit => Nanos(self.settings.message_span.0 / u64::from(limit)),
        };
        if self.now - self.sent_at < gap {
            return;
        }
        let room = self.settings.channel_lines_limit * QUEUE_SHARE;
        let mut touched: BTreeSet<ProxyId> = BTreeSet::new();
        let mut cost = 0.0;
        let ids: Vec<ProxyId> = self.proxies.keys().copied().collect();
        let mut binds: Vec<(ProxyId, usize, TableId)> = Vec::new();
        let mut used: BTreeMap<TableId, (usize, Placement)> = BTreeMap::new();
        for id in &ids {
            for class in 0..self.classes.len() {
                let Some(group) = self.proxies[id].bindings[class].group else { continue };
                let placement = self.placement_of(class, self.proxies[id].zone);
                let table = self.table_of(group, &placement);
                let shared =
                    if usize::from(table.0) % 256 == 0 { self.placements[0].clone() } else { placement };
                used.insert(table, (group, shared));
                if self.proxies[id].bindings[class].sent != Some(table) {
                    binds.push((*id, class, table));
                }
            }
        }
        let users = |table: TableId, proxies: &BTreeMap<ProxyId, Proxy>| -> Vec<ProxyId> {
            let uses = |proxy: &Proxy| proxy.bindings.iter().any(|binding| binding.sent == Some(table));
            proxies.iter().filter(|(_, proxy)| uses(proxy)).map(|(id, _)| *id).collect()
        };
        // Lines: those that go first, then the rest, of tables in use or about to be.
        let mut lines: Vec<(bool, TableId, ServerId, f64)> = Vec::new();
        let mut all: BTreeSet<TableId> = self.tables.keys().copied().collect();
        all.extend(used.keys().copied());
        for table in all {
            let sent = &self.tables.entry(table).or_default().lines;
            let held = sent.clone();
            let wanted = match used.get(&table) {
                Some((group, placement)) => self.wanted_lines(*group, placement),
                None => held
                    .iter()
                    .filter(|(id, _)| self.servers[*id].ready)
                    .map(|(k, v)| (k.clone(), *v))
                    .collect(),
            };
            for (id, weight) in &wanted {
                let old = held.get(id).copied().unwrap_or(0.0);
                if (weight - old).abs() > LINE_CHANGE * old {
                    lines.push((old > 0.0, table, id.clone(), *weight));
                }
            }
            for id in held.keys().filter(|id| !wanted.contains_key(*id)) {
                lines.push((self.servers[id].ready, table, id.clone(), 0.0));
            }
        }
        lines.sort_by_key(|(late, ..)| *late);
        let calm = self.now - self.sent_at >= TURN + TURN;
        for (late, table, server, weight) in lines {
            let users = users(table, &self.proxies);
            if late && !users.is_empty() && (!calm || self.queued + cost > room) {
                continue;
            }
            cost += users.len() as f64;
            touched.extend(users);
            let weight = (weight * 1e4).round() / 1e4;
            let sent = &mut self.tables.entry(table).or_default().lines;
            if weight > 0.0 {
                sent.insert(server.clone(), weight)
            } else {
                sent.remove(&server)
            };
            orders.push(Order::Line { table, server, weight });
        }
        // Levels of the tables in use, a line each.
        for table in used.keys() {
            for class in 0..self.classes.len() {
                let wanted = self.wanted_level(class);
                let users = users(*table, &self.proxies);
                if !users.is_empty() && self.queued + cost > room {
                    continue;
                }
                let entry = self.tables.entry(*table).or_default();
                entry.levels.resize(self.classes.len(), None);
                if entry.levels[class] != Some(wanted) {
                    entry.levels[class] = Some(wanted);
                    cost += users.len() as f64;
                    touched.extend(users);
                    let classes = ClassSet::of(ClassId(class as u8));
                    orders.push(Order::Level { table: *table, classes, level: wanted.0, tries: wanted.1 });
                }
            }
        }
        // Bindings: a proxy's classes that go to one table go in one order.
        let mut grouped: BTreeMap<(ProxyId, TableId), Vec<usize>> = BTreeMap::new();
        for (id, class, table) in binds {
            grouped.entry((id, table)).or_default().push(class);
        }
        for ((proxy, table), classes) in grouped {
            if self.queued + cost > room {
                break;
            }
            let (lines, levels) = (self.tables[&table].lines.len(), self.tables[&table].levels.len());
            cost += 1.0 + (lines + levels) as f64;
            touched.insert(proxy);
            let mut set = ClassSet(0);
            for class in classes {
                set = set.with(ClassId(class as u8));
                if let Some(proxy) = self.proxies.get_mut(&proxy) {
                    proxy.bindings[class].sent = Some(table);
                }
            }
            orders.push(Order::Bind { proxy, classes: set, table });
        }
        if !touched.is_empty() {
            self.queued += cost + touched.len() as f64 * self.settings.lines_per_message;
            self.sent_at = self.now;
        }
    }
}
