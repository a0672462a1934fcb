//! The engine: events in the order of time, one seed one run.

mod agents;
mod coordinators;
mod operations;
mod troubles;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use craneknot::interface::{LoadReport, Nanos, ProbeOutcome, ServerId};
use craneknot_agent::dial::{Dial, Effect, Sign, State};
use craneknot_agent::hold::{Holding, Verdict};
use craneknot_coordinator::desk::{body, Desk, Output, Refused, StreamId};
use craneknot_coordinator::ledger::{Ledger, Told as LedgerTold};
use craneknot_coordinator::session::Answer as Told;
use craneknot_fleet::raft::Saved;
use craneknot_rehearsal::auditor;
use craneknot_rehearsal::caller::{Answer, Caller, Next, Operation};
use craneknot_rehearsal::chooser::{Chooser, Tried};
use craneknot_rehearsal::conduct::{
    coordinator_named, coordinator_settings, shared_settings, terms, FIRST_TABLES, REDIAL, SETTLE, SILENT,
    STATUS_EVERY,
};
use craneknot_rehearsal::machine::{Arrival, Job, Machine, Make};
use craneknot_rehearsal::plan::{Cuts, FleetAct, Plan, ProxyAct, ServerAct, ServerPlan, Shows, Struck};
use craneknot_rehearsal::record::{merge, EndedAs, Log, Record, What};
use craneknot_rehearsal::sums::Sums;
use craneknot_rehearsal::{Report, Script};
use craneknot_settings::LedgerSettings;
use craneknot_xds::discovery::{DiscoveryRequest, DiscoveryResponse, Kind, Locality, Node, Status};
use craneknot_xds::load::{LoadStatsRequest, Seconds, CLOSED_AT};
use craneknot_xds::orca;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::baseline::{self, Seen, Who};
use crate::bound::Asked;
use crate::hosted::{Build, Fault};

const START: Nanos = Nanos::from_millis(1_000_000_000); // ms; the date at which a run begins
const HOP: Nanos = Nanos(70_000); // ns; at least, one way between any two on one machine; half as much more on average: 0.11 ms measured on sockets
/// What a try takes on its way there and back, on average.
pub const ROUND_TRIP: Nanos = Nanos(3 * HOP.0);
const STILL: Nanos = Nanos::from_millis(20); // ms; what comes to a coordinator that stands still is looked at again after it
const NOTICE: Nanos = Nanos::from_millis(1); // ms; until the end of a process shows at the other end

enum Event {
    Desk(usize),
    ToDesk {
        coordinator: usize,
        stream: StreamId,
        proxy: usize,
        kind: Kind,
        refused: Option<Status>,
    },
    ToAgent {
        proxy: usize,
        stream: StreamId,
        kind: Kind,
        response: Option<Box<DiscoveryResponse>>,
    },
    Dial(usize),
    Lost {
        proxy: usize,
        stream: StreamId,
    },
    /// From the proxy to its agent.
    Report(usize),
    /// From the agent to its coordinator.
    SendReport {
        proxy: usize,
        stream: StreamId,
    },
    Reported {
        proxy: usize,
        coordinator: usize,
        report: Box<LoadStatsRequest>,
    },
    Probed {
        coordinator: usize,
        server: ServerId,
        since: Nanos,
    },
    /// A datagram of one coordinator comes in at another.
    Mail {
        to: usize,
        text: Vec<u8>,
    },
    /// The proxy's agent is sent on to the coordinator in charge.
    SentOn {
        proxy: usize,
        stream: StreamId,
        to: usize,
    },
    NextOperation,
    ClientAttempt(Box<Operation>),
    Arrive(u64),
    Done {
        server: usize,
        life: u64,
        job: u64,
    },
    Ended {
        number: u64,
        tried: Tried,
    },
    TryOver(u64),
    ClientOver(u64),
    Answered {
        number: u64,
        answer: Answer,
    },
    /// A coordinator's process starts.
    Raise(usize),
    ServerAct(usize),
    ProxyAct(usize),
    FleetAct(usize),
    Rate(usize),
    Queue,
    LookAtQueues,
    /// The front layer notices that a proxy is gone.
    Noticed,
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
    /// What the agent has still to send.
    waits: craneknot_agent::sums::Sums,
    /// Since when a report has had no answer.
    unanswered: Option<Nanos>,
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

/// A coordinator's store.
#[derive(Default)]
struct Disk {
    saved: Saved,
    followed: BTreeMap<String, String>,
    list: Option<Vec<u8>>,
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
    /// What each coordinator has on its disk.
    disks: Vec<Disk>,
    /// What each coordinator hears while it stands still.
    unread: Vec<Vec<Vec<u8>>>,
    cuts: Cuts,
    struck: Struck,
    servers: Vec<Server>,
    proxies: Vec<Proxy>,
    owners: BTreeMap<StreamId, usize>,
    tries: BTreeMap<u64, Try>,
    clients: BTreeMap<u64, Operation>,
    caller: Caller,
    upcoming: Option<Operation>,
    factor: f64,
    /// Proxies that the front layer sends to, by zone and of all; nothing: to be looked up anew.
    fronts: Option<Vec<Vec<usize>>>,
    shows: Vec<Shows>,
    version: u64,
    roster: Option<Vec<u8>>,
    rng: Pcg32,
    log: Log,
    options: RunOptions<'a>,
    /// Known arrivals that have come.
    given: usize,
    /// What was asked for, whatever became of it.
    asked: Vec<Asked>,
    /// What all proxies know of servers' queues, where the choice is by late knowledge.
    late: Vec<f64>,
    addresses: Addresses,
    fault: Fault,
    cost: Cost,
    /// Middles of spans that reports at each coordinator tell of, until its next flush.
    untaken: Vec<Vec<Nanos>>,
    /// When what was sent last to each proxy arrives, where channels are slow: messages keep their order.
    under_way: Vec<Nanos>,
}

const FIRST_PORT: u16 = 1_024; // ports below it are the system's

/// Servers' addresses. A system gives ports in no order, and the decisions deal servers by their names: so they are drawn.
struct Addresses {
    ports: Vec<u16>,
    servers: BTreeMap<u16, usize>,
}

impl Addresses {
    fn draw(servers: usize, seed: u64) -> Self {
        let mut ports: Vec<u16> = (FIRST_PORT..=u16::MAX).collect();
        let (drawn, _) = ports.partial_shuffle(&mut Pcg32::seed_from_u64(seed), servers);
        let ports = drawn.to_vec();
        let servers = ports.iter().enumerate().map(|(server, port)| (*port, server)).collect();
        Addresses { ports, servers }
    }

    fn of(&self, server: usize) -> SocketAddr {
        let port = self.ports.get(server).copied().unwrap_or_default();
        SocketAddr::from((Ipv4Addr::LOCALHOST, port))
    }

    fn server(&self, text: &str) -> Option<usize> {
        self.servers.get(&text.rsplit_once(':')?.1.parse().ok()?).copied()
    }
}

/// How a script is to be played.
#[derive(Clone, Copy, Default)]
pub struct RunOptions<'a> {
    /// Who picks the servers.
    pub selector: Who,
    /// Moments since the first operation could come, classes and zones of operations that are known to have come;
    /// nothing: they are drawn.
    pub arrivals: Option<&'a [(Nanos, usize, usize)]>,
    /// Draws all but the troubles anew, whose draw is by the script's seed alone.
    pub seed_xor: u64,
    /// Whose decisions are played; nothing: this program's.
    pub build: Option<&'a Build>,
    /// Whether the cost of turns and the age of what they know are kept; they are no part of the report, since clocks
    /// differ from run to run.
    pub cost: bool,
    /// Whether coordinators keep ledgers.
    pub ledgers: bool,
}

/// Plays a script.
pub fn play(script: &Script) -> Report {
    play_with_options(script, RunOptions::default()).report
}

/// A run and all that was seen in it.
pub struct RunResult {
    pub report: Report,
    pub records: Vec<Record>,
    pub asked: Vec<Asked>,
    /// When the first operation may come.
    pub begin: Nanos,
    /// What decisions of another process failed by: the run is worth nothing.
    pub fault: Option<String>,
    pub cost: Cost,
    /// Of each coordinator that kept one until the end.
    pub ledgers: Vec<LedgerTold>,
}

/// What turns cost, and how old their knowledge was.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    /// Wall time of each turn in which a coordinator's decisions were asked, answers to its streams included.
    pub turns: Vec<Duration>,
    /// Of each report that a turn took in: from the middle of the span that it tells of to that turn.
    pub ages: Vec<Nanos>,
}

/// Plays a script as asked.
pub fn play_with_options(script: &Script, options: RunOptions) -> RunResult {
    let plan = Plan::draw(script);
    let terms = terms(script, &plan);
    let begin = START + FIRST_TABLES;
    let Some(caller) = Caller::new(script, script.seed ^ options.seed_xor ^ 0xca11) else {
        let report = Report::new(script, 0.0, auditor::judge(&terms, &[]), Vec::new());
        let (records, asked, cost) = (Vec::new(), Vec::new(), Cost::default());
        return RunResult { report, records, asked, begin, fault: None, cost, ledgers: Vec::new() };
    };
    let mut world = World::new(script, plan, caller, options);
    let (stop, end) = (world.begin + script.length.0, world.begin + script.length.0 + SETTLE);
    world.run(stop, end);
    let status = world.desks.iter().flatten().map(|desk| serde_json::json!(desk.status(world.now))).collect();
    let records = merge(vec![world.log]);
    let judgement = auditor::judge(&terms, &records);
    let report = Report::new(script, script.length.0.secs(), judgement, status);
    let ledgers =
        world.desks.iter_mut().flatten().filter_map(|desk| desk.ledger().map(Ledger::finish)).collect();
    RunResult {
        report,
        records,
        asked: world.asked,
        begin,
        fault: world.fault.get(),
        cost: world.cost,
        ledgers,
    }
}

impl<'a> World<'a> {
    fn new(script: &'a Script, plan: Plan, caller: Caller, options: RunOptions<'a>) -> Self {
        let chance = script.seed ^ options.seed_xor;
        let classes: Vec<String> = script.classes.iter().map(|class| class.name.clone()).collect();
        let server = |(place, planned): (usize, &ServerPlan)| {
            let make = plan.make(script, place);
            let machine = Machine::new(make, None);
            let up = planned.from_start;
            Server { make, machine, up, life: 0, errors: 0.0, hangs: false, loses: 0.0, silent: false }
        };
        let count = script.coordinators as usize;
        let proxy = |(place, zone): (usize, &String)| {
            let seed = chance.wrapping_mul(31).wrapping_add(place as u64);
            let mut order: Vec<usize> = (0..count).map(|k| (k + place) % count).collect();
            order.sort_by_key(|coordinator| plan.coordinator_zones[*coordinator] != *zone);
            let (least, most) = REDIAL;
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
                waits: craneknot_agent::sums::Sums::default(),
                unanswered: None,
                paths: BTreeMap::new(),
                stalled_until: Nanos(0),
            }
        };
        let mut world = World {
            now: START - script.report_period.0,
            begin: START + FIRST_TABLES,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            desks: (0..count).map(|_| None).collect(),
            desk_at: vec![Nanos(u64::MAX); count],
            stalled: vec![false; count],
            disks: (0..count).map(|_| Disk::default()).collect(),
            unread: vec![Vec::new(); count],
            cuts: Cuts::default(),
            struck: Struck::default(),
            servers: plan.servers.iter().enumerate().map(server).collect(),
            proxies: plan.proxy_zones.iter().enumerate().map(proxy).collect(),
            owners: BTreeMap::new(),
            tries: BTreeMap::new(),
            clients: BTreeMap::new(),
            caller,
            upcoming: None,
            factor: 1.0,
            fronts: None,
            shows: plan
                .servers
                .iter()
                .map(|s| if s.from_start { Shows::Up(None) } else { Shows::Nothing })
                .collect(),
            version: 0,
            roster: None,
            rng: Pcg32::seed_from_u64(chance ^ 0x30de1),
            log: Log::default(),
            options,
            given: 0,
            asked: Vec::new(),
            late: Vec::new(),
            addresses: Addresses::draw(plan.servers.len(), chance ^ 0xadd2),
            fault: Fault::default(),
            cost: Cost::default(),
            untaken: vec![Vec::new(); count],
            under_way: vec![START; plan.proxy_zones.len()],
            script,
            plan,
        };
        world.list();
        if options.selector == Who::Ours {
            // Coordinators stand before the first agent dials, each since a moment of its own: else what they look at and when
            // would stand in step with troubles.
            for coordinator in 0..count {
                let spread = Nanos(world.rng.random_range(0..script.report_period.0 .0.max(1)));
                world.set(world.now + spread, Event::Raise(coordinator));
            }
        } else {
            world.set(world.now, Event::LookAtQueues);
        }
        for proxy in 0..world.proxies.len() {
            world.log.add(world.now, What::Proxy { proxy, up: true });
            let at = world.proxies[proxy].dial.next_at().unwrap_or(world.now);
            world.set(at, Event::Dial(proxy));
            let spread = Nanos(world.rng.random_range(0..script.report_period.0 .0.max(1)));
            world.set(START + spread, Event::Report(proxy));
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
        world.set(START, Event::Queue);
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
            Event::SendReport { proxy, stream } => self.send_report(proxy, stream),
            Event::Reported { proxy, coordinator, report } => self.reported(proxy, coordinator, report),
            Event::Probed { coordinator, server, since } => self.probed(coordinator, server, since),
            Event::Mail { to, text } => self.mail(to, &text),
            Event::SentOn { proxy, stream, to } => self.sent_on(proxy, stream, to),
            Event::NextOperation => {
                let mut due = self.now;
                if let Some(operation) = self.upcoming.take() {
                    due = operation.asked;
                    let (op, class, zone) = (operation.id, operation.class, operation.zone);
                    self.log.add(self.now, What::Asked { op, class, zone });
                    self.asked.push(Asked { at: self.now, class, work: operation.work });
                    self.ask(operation);
                }
                self.plan_next(due, stop);
            }
            Event::ClientAttempt(operation) => self.ask(*operation),
            Event::Arrive(number) => self.arrive(number),
            Event::Done { server, life, job } => self.done(server, life, job),
            Event::Ended { number, tried } => self.ended(number, tried),
            Event::TryOver(number) => self.ended(number, Tried::Failed),
            Event::ClientOver(number) => self.answered(number, Answer::Silent),
            Event::Answered { number, answer } => self.answered(number, answer),
            Event::Raise(coordinator) => self.raise_desk(coordinator),
            Event::ServerAct(place) => self.server_act(place),
            Event::ProxyAct(place) => self.proxy_act(place),
            Event::FleetAct(place) => self.fleet_act(self.plan.fleet_acts[place].1.clone()),
            Event::Rate(place) => self.factor = self.plan.rates[place].1,
            Event::Noticed => self.fronts = None,
            Event::LookAtQueues => {
                self.late = (0..self.servers.len()).map(|server| self.queue_of(server)).collect();
                self.set(self.now + self.script.report_period.0, Event::LookAtQueues);
            }
            Event::Queue => {
                for (coordinator, desk) in self.desks.iter().enumerate() {
                    let Some(desk) = desk else { continue };
                    let status = desk.status(self.now);
                    let (lines, most) = (status.channel_lines, status.channel_most);
                    self.log.add(self.now, What::Queue { coordinator, lines, most });
                }
                self.set(self.now + STATUS_EVERY, Event::Queue);
            }
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
