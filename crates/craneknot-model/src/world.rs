//! The engine: events in the order of time, one seed one run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

use craneknot::interface::{LoadReport, Nanos, ProbeOutcome, ServerId};
use craneknot_agent::dial::{Dial, Effect, Sign, State};
use craneknot_agent::hold::{Holding, Verdict};
use craneknot_coordinator::desk::{body, Desk, Output, StreamId};
use craneknot_coordinator::session::Answer as Told;
use craneknot_rehearsal::auditor;
use craneknot_rehearsal::caller::{Answer, Caller, Next, Operation};
use craneknot_rehearsal::chooser::{Chooser, Tried};
use craneknot_rehearsal::conduct::{coordinator_settings, terms};
use craneknot_rehearsal::machine::{Arrival, Job, Machine, Make};
use craneknot_rehearsal::plan::{FleetAct, Plan, ProxyAct, ServerAct, ServerPlan, Shows};
use craneknot_rehearsal::record::{merge, EndedAs, Log, What};
use craneknot_rehearsal::sums::Sums;
use craneknot_rehearsal::{Report, Script};
use craneknot_xds::discovery::{DiscoveryRequest, DiscoveryResponse, Kind, Locality, Node, Status};
use craneknot_xds::load::{LoadStatsRequest, Seconds, CLOSED_AT};
use craneknot_xds::orca;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const START: Nanos = Nanos::from_millis(1_000_000_000); // ms; the date at which a run begins
const HOP: Nanos = Nanos(400_000); // ns; one way between any two on one machine, with what their loops take
const FIRST_TABLES: Nanos = Nanos::from_millis(1_500); // ms; from the agents' start to the first operation
const SETTLE: Nanos = Nanos::from_millis(2_500); // ms; after the last operation
const NOTICE: Nanos = Nanos::from_millis(1); // ms; until the end of a process shows at the other end

enum Event {
    Desk(usize),
    ToDesk { coordinator: usize, stream: StreamId, proxy: usize, kind: Kind, refused: Option<Status> },
    ToAgent { proxy: usize, stream: StreamId, kind: Kind, response: Option<Box<DiscoveryResponse>> },
    Dial(usize),
    Lost { proxy: usize, stream: StreamId },
    Report(usize),
    Reported { coordinator: usize, report: Box<LoadStatsRequest> },
    Probed { coordinator: usize, server: ServerId, since: Nanos },
    NextOperation,
    Ask(Box<Operation>),
    Arrive(u64),
    Done { server: usize, life: u64, job: u64 },
    Ended { number: u64, tried: Tried },
    TryOver(u64),
    ClientOver(u64),
    Answered { number: u64, answer: Answer },
    ServerAct(usize),
    ProxyAct(usize),
    FleetAct(usize),
    Rate(usize),
    Queue,
}

struct Server {
    make: Make,
    machine: Machine,
    up: bool,
    life: u64,
    errors: f64,
    hangs: bool,
    loses: f64,
    silent: bool,
}

struct Proxy {
    zone: usize,
    up: bool,
    down_since: Option<Nanos>,
    chooser: Chooser,
    holding: Holding,
    nonces: BTreeMap<Kind, String>,
    dial: Dial,
    order: Vec<usize>,
    stream: Option<(usize, StreamId)>,
    agent: bool,
    sums: Sums,
    sums_since: Nanos,
    paths: BTreeMap<usize, f64>,
    stalled_until: Nanos,
}

struct Try {
    operation: Operation,
    proxy: usize,
    tried: Vec<usize>,
    until: Nanos,
    sent: Nanos,
    done: bool,
}

struct World<'a> {
    script: &'a Script,
    plan: Plan,
    now: Nanos,
    begin: Nanos,
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    desks: Vec<Option<Desk>>,
    desk_at: Vec<Nanos>,
    stalled: Vec<bool>,
    servers: Vec<Server>,
    proxies: Vec<Proxy>,
    owners: BTreeMap<StreamId, usize>,
    tries: BTreeMap<u64, Try>,
    clients: BTreeMap<u64, Operation>,
    caller: Caller,
    upcoming: Option<Operation>,
    factor: f64,
    shows: Vec<Shows>,
    version: u64,
    roster: Option<Vec<u8>>,
    rng: Pcg32,
    log: Log,
}

fn address(server: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + server as u16))
}

fn number(text: &str) -> Option<usize> {
    text.rsplit_once(':')?.1.parse::<usize>().ok()?.checked_sub(10_000)
}

/// Plays a script of coordinators that share nothing.
pub fn play(script: &Script) -> Report {
    let plan = Plan::draw(script);
    let terms = terms(script, &plan);
    let Some(caller) = Caller::new(script, script.seed ^ 0xca11) else {
        return Report::new(script, 0.0, auditor::judge(&terms, &[]), Vec::new());
    };
    let mut world = World::new(script, plan, caller);
    let (stop, end) = (world.begin + script.length.0, world.begin + script.length.0 + SETTLE);
    world.run(stop, end);
    let status = world.desks.iter().flatten().map(|desk| serde_json::json!(desk.status(world.now))).collect();
    let judgement = auditor::judge(&terms, &merge(vec![world.log]));
    Report::new(script, script.length.0.secs(), judgement, status)
}

impl<'a> World<'a> {
    fn new(script: &'a Script, plan: Plan, caller: Caller) -> Self {
        let classes: Vec<String> = script.classes.iter().map(|class| class.name.clone()).collect();
        let server = |(place, planned): (usize, &ServerPlan)| {
            let make = plan.make(script, place);
            let machine = Machine::new(make, None);
            let up = planned.from_start;
            Server { make, machine, up, life: 0, errors: 0.0, hangs: false, loses: 0.0, silent: false }
        };
        let count = script.coordinators as usize;
        let proxy = |(place, zone): (usize, &String)| {
            let seed = script.seed.wrapping_mul(31).wrapping_add(place as u64);
            let mut order: Vec<usize> = (0..count).map(|k| (k + place) % count).collect();
            order.sort_by_key(|coordinator| plan.coordinator_zones[*coordinator] != *zone);
            let (least, most) = (Nanos::from_millis(150), Nanos::from_millis(1_500));
            Proxy {
                zone: script.zones.iter().position(|other| other == zone).unwrap_or(0),
                up: true,
                down_since: None,
                chooser: Chooser::new(classes.clone(), script.habits.ejects, script.habits.keep_away.0, seed),
                holding: Holding::default(),
                nonces: BTreeMap::new(),
                dial: Dial::new(count, least, most, seed ^ 0xd1a1, START),
                order,
                stream: None,
                agent: true,
                sums: Sums::default(),
                sums_since: START,
                paths: BTreeMap::new(),
                stalled_until: Nanos(0),
            }
        };
        let mut world = World {
            now: START,
            begin: START + FIRST_TABLES,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            desks: (0..count).map(|_| None).collect(),
            desk_at: vec![Nanos(u64::MAX); count],
            stalled: vec![false; count],
            servers: plan.servers.iter().enumerate().map(server).collect(),
            proxies: plan.proxy_zones.iter().enumerate().map(proxy).collect(),
            owners: BTreeMap::new(),
            tries: BTreeMap::new(),
            clients: BTreeMap::new(),
            caller,
            upcoming: None,
            factor: 1.0,
            shows: plan
                .servers
                .iter()
                .map(|s| if s.from_start { Shows::Up(None) } else { Shows::Nothing })
                .collect(),
            version: 0,
            roster: None,
            rng: Pcg32::seed_from_u64(script.seed ^ 0x30de1),
            log: Log::default(),
            script,
            plan,
        };
        world.list();
        (0..count).for_each(|coordinator| world.start_desk(coordinator));
        for proxy in 0..world.proxies.len() {
            world.log.add(world.now, What::Proxy { proxy, up: true });
            let at = world.proxies[proxy].dial.next_at().unwrap_or(world.now);
            world.set(at, Event::Dial(proxy));
            let spread = Nanos(world.rng.random_range(0..script.report_period.0 .0.max(1)));
            world.set(world.now + spread, Event::Report(proxy));
        }
        let begin = world.begin;
        for place in 0..world.plan.server_acts.len() {
            world.set(begin + world.plan.server_acts[place].0, Event::ServerAct(place));
        }
        for place in 0..world.plan.proxy_acts.len() {
            world.set(begin + world.plan.proxy_acts[place].0, Event::ProxyAct(place));
        }
        for place in 0..world.plan.fleet_acts.len() {
            world.set(begin + world.plan.fleet_acts[place].0, Event::FleetAct(place));
        }
        for place in 0..world.plan.rates.len() {
            world.set(begin + world.plan.rates[place].0, Event::Rate(place));
        }
        world.set(world.now, Event::Queue);
        world
    }

    fn set(&mut self, at: Nanos, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((at.max(self.now), self.next)));
        self.events.insert(self.next, event);
    }

    fn soon(&mut self, event: Event) {
        let spread = Nanos(self.rng.random_range(0..HOP.0));
        self.set(self.now + HOP + spread, event);
    }

    fn run(&mut self, stop: Nanos, end: Nanos) {
        self.plan_next(self.begin, stop);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at >= end {
                self.now = end;
                return;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.happen(event, stop);
            }
        }
    }

    fn happen(&mut self, event: Event, stop: Nanos) {
        match event {
            Event::Desk(coordinator) => {
                if self.desk_at[coordinator] <= self.now {
                    self.turn(coordinator);
                }
            }
            Event::ToDesk { coordinator, stream, proxy, kind, refused } => {
                self.desk_asked(coordinator, stream, proxy, kind, refused);
            }
            Event::ToAgent { proxy, stream, kind, response } => {
                self.agent_told(proxy, stream, kind, response)
            }
            Event::Dial(proxy) => self.dial(proxy),
            Event::Lost { proxy, stream } => {
                if self.proxies[proxy].stream.is_some_and(|(_, of)| of == stream) {
                    self.end_stream(proxy);
                    self.redial(proxy);
                }
            }
            Event::Report(proxy) => self.report(proxy),
            Event::Reported { coordinator, report } => {
                if let Some(desk) = &mut self.desks[coordinator] {
                    let _ = desk.report(self.now, &report);
                    self.wake_desk(coordinator);
                }
            }
            Event::Probed { coordinator, server, since } => self.probed(coordinator, server, since),
            Event::NextOperation => {
                let mut due = self.now;
                if let Some(operation) = self.upcoming.take() {
                    due = operation.asked;
                    self.log.add(self.now, What::Asked { op: operation.id, class: operation.class });
                    self.ask(operation);
                }
                self.plan_next(due, stop);
            }
            Event::Ask(operation) => self.ask(*operation),
            Event::Arrive(number) => self.arrive(number),
            Event::Done { server, life, job } => self.done(server, life, job),
            Event::Ended { number, tried } => self.ended(number, tried),
            Event::TryOver(number) => self.ended(number, Tried::Failed),
            Event::ClientOver(number) => self.answered(number, Answer::Silent),
            Event::Answered { number, answer } => self.answered(number, answer),
            Event::ServerAct(place) => self.server_act(place),
            Event::ProxyAct(place) => self.proxy_act(place),
            Event::FleetAct(place) => self.fleet_act(place),
            Event::Rate(place) => self.factor = self.plan.rates[place].1,
            Event::Queue => {
                for (coordinator, desk) in self.desks.iter().enumerate() {
                    let Some(desk) = desk else { continue };
                    let status = desk.status(self.now);
                    let (lines, most) = (status.channel_lines, status.channel_most);
                    self.log.add(self.now, What::Queue { coordinator, lines, most });
                }
                self.set(self.now + Nanos::from_millis(200), Event::Queue);
            }
        }
    }

    // Coordinators.

    fn start_desk(&mut self, coordinator: usize) {
        let settings = coordinator_settings(self.script, coordinator);
        let mut desk = Desk::new(&settings, settings.seed.unwrap_or(0), self.now);
        if let Some(text) = &self.roster {
            let _ = desk.roster(self.now, text);
        }
        self.desks[coordinator] = Some(desk);
        self.log.add(self.now, What::Coordinator { coordinator, up: true });
        self.wake_desk(coordinator);
    }

    fn wake_desk(&mut self, coordinator: usize) {
        let at = if self.stalled[coordinator] { Nanos(u64::MAX) } else { self.now };
        if at < Nanos(u64::MAX) && self.desk_at[coordinator] != at {
            self.desk_at[coordinator] = at;
            self.set(at, Event::Desk(coordinator));
        }
    }

    fn turn(&mut self, coordinator: usize) {
        self.desk_at[coordinator] = Nanos(u64::MAX);
        if self.stalled[coordinator] {
            return;
        }
        let Some(desk) = &mut self.desks[coordinator] else { return };
        let outputs = desk.turn(self.now);
        let at = desk.next_at().max(self.now + Nanos(1_000));
        self.desk_at[coordinator] = at;
        self.set(at, Event::Desk(coordinator));
        for output in outputs {
            match output {
                Output::Answer { stream, answer, version } => {
                    let Some(proxy) = self.owners.get(&stream).copied() else { continue };
                    let (kind, response) = match answer {
                        Told::Unchanged { kind } => (kind, None),
                        Told::Resources { kind, nonce, resources } => {
                            let text = body(kind, &version, nonce, resources).concat();
                            let Ok(response) = serde_json::from_slice(&text) else { continue };
                            (kind, Some(Box::new(response)))
                        }
                    };
                    // In order on one connection: no spread.
                    self.set(self.now + HOP, Event::ToAgent { proxy, stream, kind, response });
                }
                Output::Break { stream, .. } => {
                    if let Some(proxy) = self.owners.get(&stream).copied() {
                        self.set(self.now + NOTICE, Event::Lost { proxy, stream });
                    }
                }
                Output::Probe { server } => {
                    let since = self.now;
                    self.soon(Event::Probed { coordinator, server, since });
                }
                Output::ReadRoster => self.read_roster(coordinator),
                Output::SendOn { .. } | Output::Save(_) | Output::Keep(_) | Output::Datagram { .. } => {}
            }
        }
    }

    fn probed(&mut self, coordinator: usize, server: ServerId, since: Nanos) {
        let Some(held) = number(&server.0).and_then(|place| self.servers.get(place)) else { return };
        let mute = held.silent || held.hangs;
        if mute && self.now - since < self.script.probe_time_out.0 {
            let at = since + self.script.probe_time_out.0;
            return self.set(at, Event::Probed { coordinator, server, since });
        }
        let outcome = if held.up && !mute { ProbeOutcome::Answered } else { ProbeOutcome::Failed };
        let report = LoadReport { busy: Some(held.machine.busy(self.now)), ..LoadReport::default() };
        if let Some(desk) = &mut self.desks[coordinator] {
            desk.probed(server, outcome, self.now - since, report);
            self.wake_desk(coordinator);
        }
    }

    fn read_roster(&mut self, coordinator: usize) {
        let Some(desk) = &mut self.desks[coordinator] else { return };
        match &self.roster {
            Some(text) => {
                let _ = desk.roster(self.now, text);
            }
            None => desk.roster_failed(self.now),
        }
        self.wake_desk(coordinator);
    }

    fn list(&mut self) {
        self.version += 1;
        let (roster, listed) = self.plan.roster(self.version, self.begin, &self.shows, &address);
        self.roster = serde_json::to_vec(&roster).ok();
        self.log.add(self.now, What::Rostered { servers: listed });
        (0..self.desks.len()).for_each(|coordinator| self.read_roster(coordinator));
    }

    // Agents.

    fn dial(&mut self, proxy: usize) {
        let held = &mut self.proxies[proxy];
        if !held.agent || held.dial.sign(self.now, Sign::Due) != Effect::Dial {
            return;
        }
        let coordinator = held.order[held.dial.coordinator()];
        if self.desks[coordinator].is_none() {
            held.dial.sign(self.now, Sign::Lost);
            let at = held.dial.next_at().unwrap_or(self.now);
            return self.set(at, Event::Dial(proxy));
        }
        held.dial.sign(self.now, Sign::Connected);
        self.next += 1;
        let stream = StreamId(self.next);
        held.stream = Some((coordinator, stream));
        held.nonces.clear();
        self.owners.insert(stream, proxy);
        self.log.add(self.now, What::Joined { proxy, coordinator });
        Kind::ALL.into_iter().for_each(|kind| self.request(proxy, kind, None));
    }

    fn request(&mut self, proxy: usize, kind: Kind, refused: Option<Status>) {
        if let Some((coordinator, stream)) = self.proxies[proxy].stream {
            self.set(self.now + HOP, Event::ToDesk { coordinator, stream, proxy, kind, refused });
        }
    }

    fn desk_asked(
        &mut self,
        coordinator: usize,
        stream: StreamId,
        proxy: usize,
        kind: Kind,
        refused: Option<Status>,
    ) {
        if self.proxies[proxy].stream != Some((coordinator, stream)) {
            return;
        }
        let held = &self.proxies[proxy];
        let usual = self.script.clients.rate / self.proxies.len() as f64;
        let asked = DiscoveryRequest {
            version_info: held.holding.version(kind).text(),
            node: Some(Node {
                id: format!("proxy-{proxy}"),
                locality: Locality::zone(&self.plan.proxy_zones[proxy]),
                metadata: BTreeMap::from([("usual_rate".to_owned(), usual.into())]),
                ..Node::default()
            }),
            type_url: kind.type_url().to_owned(),
            response_nonce: held.nonces.get(&kind).cloned().unwrap_or_default(),
            error_detail: refused,
            ..DiscoveryRequest::default()
        };
        if let Some(desk) = &mut self.desks[coordinator] {
            let _ = desk.ask(self.now, stream, kind, asked);
            self.wake_desk(coordinator);
        }
    }

    fn agent_told(
        &mut self,
        proxy: usize,
        stream: StreamId,
        kind: Kind,
        response: Option<Box<DiscoveryResponse>>,
    ) {
        let held = &mut self.proxies[proxy];
        if held.stream.is_none_or(|(_, of)| of != stream) {
            return;
        }
        if held.stalled_until > self.now {
            let at = held.stalled_until;
            return self.set(at, Event::ToAgent { proxy, stream, kind, response });
        }
        held.dial.sign(self.now, Sign::Heard);
        let Some(response) = response else { return self.request(proxy, kind, None) };
        held.nonces.insert(kind, response.nonce.clone());
        match held.holding.weigh(kind, &response) {
            Ok(Verdict::Swap(staged)) => {
                let mut next = Some(staged);
                while let Some(staged) = next.take() {
                    let held = &mut self.proxies[proxy];
                    let (kind, text) = (staged.kind, staged.text.clone());
                    next = held.holding.commit(staged);
                    match held.chooser.take_up(kind, text.as_bytes(), &number) {
                        Ok(()) => {
                            let (lines, epoch) = (held.chooser.lines(), held.chooser.epoch());
                            self.log.add(self.now, What::Swapped { proxy, lines, epoch });
                        }
                        Err(fault) => self.log.add(self.now, What::Torn { proxy, cause: fault.to_string() }),
                    }
                    self.request(proxy, kind, None);
                }
            }
            Ok(Verdict::Warming { .. }) => {}
            Err(status) => self.request(proxy, kind, Some(status)),
        }
    }

    fn end_stream(&mut self, proxy: usize) {
        let Some((coordinator, stream)) = self.proxies[proxy].stream.take() else { return };
        self.owners.remove(&stream);
        self.log.add(self.now, What::Left { proxy, coordinator });
        if let Some(desk) = &mut self.desks[coordinator] {
            desk.leave(self.now, stream);
            self.wake_desk(coordinator);
        }
    }

    fn redial(&mut self, proxy: usize) {
        let held = &mut self.proxies[proxy];
        if held.dial.state() != State::Resting {
            held.dial.sign(self.now, Sign::Lost);
        }
        let at = held.dial.next_at().unwrap_or(self.now);
        self.set(at, Event::Dial(proxy));
    }

    fn report(&mut self, proxy: usize) {
        self.set(self.now + self.script.report_period.0, Event::Report(proxy));
        let held = &mut self.proxies[proxy];
        let Some((coordinator, _)) = held.stream.filter(|_| held.up && held.stalled_until <= self.now) else {
            return;
        };
        let interval = Seconds((self.now - held.sums_since).secs());
        held.sums_since = self.now;
        let sums = std::mem::take(&mut held.sums);
        let place = |server: usize| (address(server), self.plan.servers[server].group.zone.as_str());
        let cluster_stats = sums.report(interval, &self.script.classes, &place);
        let closed = self.now.0 / 1_000_000;
        let metadata = BTreeMap::from([(CLOSED_AT.to_owned(), closed.into())]);
        let node = Some(Node { id: format!("proxy-{proxy}"), metadata, ..Node::default() });
        let report = Box::new(LoadStatsRequest { node, cluster_stats });
        // By way of the agent, which sends at moments of its own.
        let late = Nanos(self.rng.random_range(0..self.script.report_period.0 .0.max(1)));
        self.set(self.now + late, Event::Reported { coordinator, report });
    }

    // Operations.

    fn plan_next(&mut self, now: Nanos, stop: Nanos) {
        let (at, operation) = self.caller.next(now, self.factor);
        if at < stop {
            self.upcoming = Some(operation);
            self.set(at, Event::NextOperation);
        }
    }

    fn front(&mut self, zone: usize) -> Option<usize> {
        let (now, lag) = (self.now, self.script.clients.front_lag.0);
        let alive = |proxy: &&Proxy| proxy.down_since.is_none_or(|since| now - since < lag);
        let places = |near: bool| {
            let all = self.proxies.iter().enumerate().filter(|(_, proxy)| alive(proxy));
            all.filter(|(_, proxy)| !near || proxy.zone == zone).map(|(k, _)| k).collect::<Vec<usize>>()
        };
        let near = places(true);
        let open = if near.is_empty() { places(false) } else { near };
        open.choose(&mut self.rng).copied()
    }

    fn ask(&mut self, operation: Operation) {
        let class = &self.script.classes[operation.class];
        let within = Nanos((class.hard_stop.0 .0 as f64 * self.script.clients.try_part) as u64);
        let until = (self.now + within).min(operation.asked + class.hard_stop.0);
        self.next += 1;
        let number = self.next;
        self.clients.insert(number, operation.clone());
        self.set(until, Event::ClientOver(number));
        let proxy = self.front(operation.zone);
        let Some(proxy) = proxy.filter(|proxy| self.proxies[*proxy].up) else {
            return self.soon(Event::Answered { number, answer: Answer::Failed });
        };
        let sent = self.now;
        let class = operation.class;
        self.tries.insert(number, Try { operation, proxy, tried: Vec::new(), until, sent, done: true });
        let held = &mut self.proxies[proxy];
        let admitted = held.chooser.admit(self.now, class);
        held.sums.came(class, admitted.is_ok());
        match admitted {
            Ok(()) => self.attempt(number, None),
            Err(refusal) => {
                let again = match refusal {
                    craneknot_rehearsal::chooser::Refusal::Level { again } => again,
                    craneknot_rehearsal::chooser::Refusal::NoLine => Nanos(0),
                };
                self.refuse(number, again);
            }
        }
    }

    fn refuse(&mut self, number: u64, again: Nanos) {
        let again = Nanos::from_secs(again.secs().ceil().max(1.0));
        self.tries.remove(&number);
        self.soon(Event::Answered { number, answer: Answer::Refused { again } });
    }

    fn attempt(&mut self, number: u64, last: Option<Tried>) {
        let Some(mut one) = self.tries.remove(&number) else { return };
        let (proxy, class) = (one.proxy, one.operation.class);
        let Ok(server) = self.proxies[proxy].chooser.pick(self.now, class, &one.tried) else {
            self.tries.insert(number, one);
            return match last {
                None | Some(Tried::Unrun) => self.refuse(number, Nanos(0)),
                Some(Tried::Failed | Tried::Good) => {
                    self.tries.remove(&number);
                    self.soon(Event::Answered { number, answer: Answer::Failed });
                }
            };
        };
        one.tried.push(server);
        (one.sent, one.done) = (self.now, false);
        let (op, attempt, until) = (one.operation.id, one.operation.attempt, one.until);
        self.tries.insert(number, one);
        self.log.add(self.now, What::Sent { proxy, server, op, attempt, class });
        self.proxies[proxy].sums.sent(class, server);
        self.set(until, Event::TryOver(number));
        let cut = self.proxies[proxy].paths.get(&server).copied().unwrap_or(0.0);
        if cut > 0.0 && self.rng.random::<f64>() < cut {
            return;
        }
        self.soon(Event::Arrive(number));
    }

    fn arrive(&mut self, number: u64) {
        let Some(one) = self.tries.get(&number).filter(|one| !one.done) else { return };
        let Some(server) = one.tried.last().copied() else { return };
        let (op, attempt, class) = (one.operation.id, one.operation.attempt, one.operation.class);
        let (proxy, work) = (one.proxy, one.operation.work);
        let held = &mut self.servers[server];
        if held.silent {
            return;
        }
        if !held.up {
            return self.soon(Event::Ended { number, tried: Tried::Unrun });
        }
        self.log.add(self.now, What::Arrived { server, proxy, op, attempt, class, work });
        if held.hangs {
            return;
        }
        if held.errors > 0.0 && self.rng.random::<f64>() < held.errors {
            return self.soon(Event::Ended { number, tried: Tried::Failed });
        }
        match held.machine.arrive(self.now, Job { number, work }) {
            Arrival::Runs { until } => {
                let life = held.life;
                self.log.add(self.now, What::Ran { server, op, attempt, class });
                self.set(until, Event::Done { server, life, job: number });
            }
            Arrival::Waits => {}
            Arrival::Full => self.soon(Event::Ended { number, tried: Tried::Unrun }),
            Arrival::Falls => {
                self.log.add(self.now, What::Fell { server });
                self.stop_server(server);
            }
        }
    }

    fn done(&mut self, server: usize, life: u64, job: u64) {
        let held = &mut self.servers[server];
        if held.life != life {
            return;
        }
        if let Some((next, until)) = held.machine.done(self.now) {
            if let Some(one) = self.tries.get(&next.number) {
                let (op, attempt, class) = (one.operation.id, one.operation.attempt, one.operation.class);
                self.log.add(self.now, What::Ran { server, op, attempt, class });
            }
            self.set(until, Event::Done { server, life, job: next.number });
        }
        let held = &self.servers[server];
        let lost = held.silent || held.loses > 0.0 && self.rng.random::<f64>() < held.loses;
        if !lost {
            self.soon(Event::Ended { number: job, tried: Tried::Good });
        }
    }

    fn ended(&mut self, number: u64, tried: Tried) {
        let Some(one) = self.tries.get_mut(&number).filter(|one| !one.done) else { return };
        one.done = true;
        let (proxy, class, until, tries) = (one.proxy, one.operation.class, one.until, one.tried.len());
        let took = self.now - one.sent;
        let Some(server) = one.tried.last().copied() else { return };
        // One that waits is given up with its connection.
        if tried == Tried::Failed {
            self.servers[server].machine.give_up(number);
        }
        let report = orca::LoadReport {
            cpu_utilization: Some(self.servers[server].machine.busy(self.now)),
            named_metrics: BTreeMap::new(),
        };
        let held = &mut self.proxies[proxy];
        if tried == Tried::Good {
            held.sums.load(class, server, &report);
        }
        held.sums.ended(class, server, tried == Tried::Good, took);
        held.chooser.note(self.now, server, tried);
        if self.now < until && held.up && held.chooser.may_try_again(class, tried, tries) {
            return self.attempt(number, Some(tried));
        }
        match tried {
            Tried::Unrun => self.refuse(number, Nanos(0)),
            Tried::Good | Tried::Failed => {
                self.tries.remove(&number);
                let answer = if tried == Tried::Good { Answer::Good } else { Answer::Failed };
                self.soon(Event::Answered { number, answer });
            }
        }
    }

    fn answered(&mut self, number: u64, answer: Answer) {
        let Some(mut operation) = self.clients.remove(&number) else { return };
        if let Next::Again { at } = self.caller.after(self.now, &operation, answer) {
            operation.attempt += 1;
            return self.set(at, Event::Ask(Box::new(operation)));
        }
        let took = self.now - operation.asked;
        let how = match answer {
            Answer::Good if took <= self.script.classes[operation.class].latency_goal.0 => EndedAs::InGoal,
            Answer::Good => EndedAs::Late,
            Answer::Refused { .. } => EndedAs::Refused,
            Answer::Failed => EndedAs::Failed,
            Answer::Silent => EndedAs::GivenUp,
        };
        self.log.add(self.now, What::Ended { op: operation.id, class: operation.class, how, took });
    }

    // Troubles.

    fn stop_server(&mut self, server: usize) {
        let held = &mut self.servers[server];
        (held.up, held.life) = (false, held.life + 1);
        let at = |one: &Try| !one.done && one.tried.last() == Some(&server);
        let cut: Vec<u64> = self.tries.iter().filter(|(_, one)| at(one)).map(|(number, _)| *number).collect();
        cut.into_iter().for_each(|number| self.soon(Event::Ended { number, tried: Tried::Failed }));
        self.log.add(self.now, What::Stopped { server });
    }

    fn server_act(&mut self, place: usize) {
        let (_, server, act) = self.plan.server_acts[place];
        match act {
            ServerAct::Start => {
                self.stop_server(server);
                let held = &mut self.servers[server];
                held.machine = Machine::new(held.make, Some(self.now));
                (held.up, held.errors, held.hangs, held.loses, held.silent) = (true, 0.0, false, 0.0, false);
                self.log.add(self.now, What::Started { server });
            }
            ServerAct::Die => self.stop_server(server),
            ServerAct::Silence => self.servers[server].silent = true,
            ServerAct::Errors(share) => self.servers[server].errors = share,
            ServerAct::Hang(on) => self.servers[server].hangs = on,
            ServerAct::Slow(factor) => self.servers[server].machine.slow = factor,
            ServerAct::LoseAnswers(share) => self.servers[server].loses = share,
        }
    }

    fn proxy_act(&mut self, place: usize) {
        let (_, proxy, act) = self.plan.proxy_acts[place].clone();
        let held = &mut self.proxies[proxy];
        match act {
            ProxyAct::Die => {
                (held.up, held.down_since) = (false, Some(self.now));
                let mine: Vec<u64> =
                    self.tries.iter().filter(|(_, t)| t.proxy == proxy).map(|(n, _)| *n).collect();
                for number in mine {
                    self.tries.remove(&number);
                    self.soon(Event::Answered { number, answer: Answer::Failed });
                }
                self.log.add(self.now, What::Proxy { proxy, up: false });
            }
            ProxyAct::Start => {
                (held.up, held.down_since, held.sums) = (true, None, Sums::default());
                held.sums_since = self.now;
                self.log.add(self.now, What::Proxy { proxy, up: true });
            }
            ProxyAct::Stall(span) => held.stalled_until = self.now + span,
            ProxyAct::Path { servers, share } => servers.into_iter().for_each(|server| {
                held.paths.insert(server, share);
            }),
        }
    }

    fn fleet_act(&mut self, place: usize) {
        match self.plan.fleet_acts[place].1.clone() {
            FleetAct::List { server, shows } => {
                self.shows[server] = shows;
                if self.roster.is_some() {
                    self.list();
                }
            }
            FleetAct::RosterOut(true) => {
                self.roster = None;
                self.log.add(self.now, What::RosterGone);
                (0..self.desks.len()).for_each(|coordinator| self.read_roster(coordinator));
            }
            FleetAct::RosterOut(false) => self.list(),
            FleetAct::BreakStreams(proxies) => proxies.into_iter().for_each(|proxy| {
                self.end_stream(proxy);
                self.redial(proxy);
            }),
            FleetAct::Unreach { proxies, on, .. } => {
                for proxy in proxies {
                    self.end_stream(proxy);
                    self.proxies[proxy].agent = !on;
                    self.redial(proxy);
                }
            }
            FleetAct::KillCoordinator(coordinator) => {
                self.desks[coordinator] = None;
                self.log.add(self.now, What::Coordinator { coordinator, up: false });
                for proxy in 0..self.proxies.len() {
                    if self.proxies[proxy].stream.is_some_and(|(of, _)| of == coordinator) {
                        self.end_stream(proxy);
                        self.redial(proxy);
                    }
                }
            }
            FleetAct::StartCoordinator(coordinator) => self.start_desk(coordinator),
            FleetAct::StallCoordinator(coordinator, on) => {
                self.stalled[coordinator] = on;
                self.log.add(self.now, What::Stalled { coordinator, on });
                self.wake_desk(coordinator);
            }
            FleetAct::KillAgent(proxy) => {
                self.end_stream(proxy);
                self.proxies[proxy].agent = false;
                self.redial(proxy);
            }
            FleetAct::StartAgent(proxy) => {
                self.proxies[proxy].agent = true;
                self.redial(proxy);
            }
            // Of shared fleets, which are not modelled yet.
            FleetAct::KillLeader(_)
            | FleetAct::StartLeader(_)
            | FleetAct::StallLeader(_)
            | FleetAct::ContinueLeader(_)
            | FleetAct::Cut { .. } => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_seed_is_one_run() {
        let script = Script::built_in().unwrap();
        let (one, two) = (play(&script), play(&script));
        assert_eq!(one.lines(), two.lines());
        assert!(one.passed() && one.service.asked > 3_000, "{}", one.lines());
        let other = play(&Script { seed: 2, ..script });
        assert_ne!(one.lines(), other.lines());
    }
}
