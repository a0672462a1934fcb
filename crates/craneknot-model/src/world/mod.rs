//! The simulation engine: a queue of events in the order of simulated time. A seed determines a run completely.

mod agents;
mod coordinators;
mod faults;
mod operations;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use craneknot::interface::{LoadReport, Nanos, ProbeOutcome, ServerId};
use craneknot_agent::dialer::{DialAction, DialEvent, DialState, Dialer};
use craneknot_agent::proxy_resources::{ProxyResources, Verdict};
use craneknot_coordinator::engine::{response_body, Engine, Output, RequestError, StreamId};
use craneknot_coordinator::ledger::{Ledger, LedgerContents};
use craneknot_coordinator::session::Response as StreamAnswer;
use craneknot_fleet::raft::PersistentState;
use craneknot_rehearsal::auditor;
use craneknot_rehearsal::caller::{Answer, Caller, NextStep, Operation};
use craneknot_rehearsal::load_totals::LoadTotals;
use craneknot_rehearsal::machine::{Arrival, Job, Machine, ServerSpec};
use craneknot_rehearsal::plan::{
    FleetAct, LeaderStrikes, ListedState, NetworkCuts, Plan, ProxyAct, ServerAct, ServerPlan,
};
use craneknot_rehearsal::proxy_policy::{ProxyPolicy, Tried};
use craneknot_rehearsal::record::{merge, EndedAs, Log, Record, What};
use craneknot_rehearsal::runner::{
    audit_settings, coordinator_settings, parse_coordinator_name, shared_settings, DRAIN_TIME,
    RECONNECT_DELAY, SILENCE_TIMEOUT, START_DELAY, STATUS_INTERVAL,
};
use craneknot_rehearsal::{Report, Script};
use craneknot_settings::LedgerSettings;
use craneknot_xds::discovery::{DiscoveryRequest, DiscoveryResponse, Kind, Locality, Node, Status};
use craneknot_xds::load::{LoadStatsRequest, Seconds, CLOSED_AT};
use craneknot_xds::orca;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::baseline::{self, Candidate, Selector};
use crate::bound::RequestedOperation;
use crate::hosted::{Build, Fault};

const START: Nanos = Nanos::from_millis(1_000_000_000); // the start of a run, in simulated time
const HOP: Nanos = Nanos(70_000); // minimum one-way delay between two processes on one machine; the mean is 1.5 times as much, as sockets take 0.11 ms
/// Mean network time of a try, both ways.
pub const ROUND_TRIP: Nanos = Nanos(3 * HOP.0);
const STALL_RECHECK: Nanos = Nanos::from_millis(20); // retry interval of input to a stalled coordinator
const DISCONNECT_DELAY: Nanos = Nanos::from_millis(1); // delay after which a closed stream is noticed at the other end

enum Event {
    CoordinatorTurn(usize),
    AgentRequest {
        coordinator: usize,
        stream: StreamId,
        proxy: usize,
        kind: Kind,
        refused: Option<Status>,
    },
    AgentResponse {
        proxy: usize,
        stream: StreamId,
        kind: Kind,
        response: Option<Box<DiscoveryResponse>>,
    },
    Dial(usize),
    StreamLost {
        proxy: usize,
        stream: StreamId,
    },
    /// A proxy sends a load report to its agent.
    ProxyReport(usize),
    /// An agent sends a load report to its coordinator.
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
    /// A coordinator receives a datagram of another one.
    Datagram {
        to: usize,
        text: Vec<u8>,
    },
    /// The proxy's agent is redirected to the leading coordinator.
    AgentRedirected {
        proxy: usize,
        stream: StreamId,
        to: usize,
    },
    NextOperation,
    ClientAttempt(Box<Operation>),
    TryArrived(u64),
    JobDone {
        server: usize,
        incarnation: u64,
        job: u64,
    },
    TryEnded {
        number: u64,
        tried: Tried,
    },
    TryTimeout(u64),
    ClientTimeout(u64),
    ClientAnswered {
        number: u64,
        answer: Answer,
    },
    /// A coordinator's process starts.
    StartCoordinator(usize),
    ServerAct(usize),
    ProxyAct(usize),
    FleetAct(usize),
    RateChange(usize),
    LogQueues,
    SampleQueues,
    /// The front layer notices that a proxy is down.
    FrontsChanged,
}

struct Server {
    spec: ServerSpec,
    machine: Machine,
    up: bool,
    incarnation: u64,
    error_share: f64,
    hangs: bool,
    /// Share of answers that are lost.
    answer_loss: f64,
    silent: bool,
}

struct Proxy {
    zone: usize,
    up: bool,
    down_since: Option<Nanos>,
    policy: ProxyPolicy,
    holding: ProxyResources,
    nonces: BTreeMap<Kind, String>,
    dialer: Dialer,
    coordinator_order: Vec<usize>,
    stream: Option<(usize, StreamId)>,
    agent_up: bool,
    totals: LoadTotals,
    totals_since: Nanos,
    /// Load reports that the agent has not sent yet.
    unsent_totals: craneknot_agent::load_totals::LoadTotals,
    /// When the report was sent that has no answer yet.
    unanswered: Option<Nanos>,
    /// Share of tries lost on the way, by server.
    path_loss: BTreeMap<usize, f64>,
    stalled_until: Nanos,
}

struct Try {
    operation: Operation,
    proxy: usize,
    tried: Vec<usize>,
    until: Nanos,
    sent: Nanos,
    ended: bool,
}

/// A coordinator's store.
#[derive(Default)]
struct Disk {
    saved: PersistentState,
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
    next_id: u64,
    coordinators: Vec<Option<Engine>>,
    next_turn_at: Vec<Nanos>,
    stalled: Vec<bool>,
    /// The store of each coordinator.
    disks: Vec<Disk>,
    /// Datagrams received by each coordinator while it is stalled.
    held_datagrams: Vec<Vec<Vec<u8>>>,
    network_cuts: NetworkCuts,
    leader_strikes: LeaderStrikes,
    servers: Vec<Server>,
    proxies: Vec<Proxy>,
    stream_proxies: BTreeMap<StreamId, usize>,
    tries: BTreeMap<u64, Try>,
    clients: BTreeMap<u64, Operation>,
    caller: Caller,
    upcoming: Option<Operation>,
    rate_factor: f64,
    /// Proxies to which the front layer sends: by zone, then of all zones; none if they must be determined again.
    fronts: Option<Vec<Vec<usize>>>,
    listed_states: Vec<ListedState>,
    list_version: u64,
    list_text: Option<Vec<u8>>,
    rng: Pcg32,
    log: Log,
    options: RunOptions<'a>,
    /// Number of given arrivals used so far.
    arrivals_used: usize,
    /// All operations requested, regardless of their outcome.
    asked: Vec<RequestedOperation>,
    /// The last samples of servers' queues, for selection by outdated queue lengths.
    queue_samples: Vec<f64>,
    addresses: Addresses,
    fault: Fault,
    cost: Cost,
    /// Midpoints of the intervals of the reports received by each coordinator since its last flush.
    pending_reports: Vec<Vec<Nanos>>,
    /// Arrival time of the last message to each proxy: on slow channels, messages keep their order.
    last_arrival_at: Vec<Nanos>,
}

const FIRST_PORT: u16 = 1_024; // lower ports are reserved by the system

/// Servers' addresses. Ports are drawn at random, because an operating system assigns them in no order and the
/// controller partitions servers by their names.
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

    fn address(&self, server: usize) -> SocketAddr {
        let port = self.ports.get(server).copied().unwrap_or_default();
        SocketAddr::from((Ipv4Addr::LOCALHOST, port))
    }

    fn server(&self, text: &str) -> Option<usize> {
        self.servers.get(&text.rsplit_once(':')?.1.parse().ok()?).copied()
    }
}

/// Options of a simulation run.
#[derive(Clone, Copy, Default)]
pub struct RunOptions<'a> {
    /// The method that selects servers.
    pub selector: Selector,
    /// Recorded arrivals: time since the earliest possible operation, class and zone; none: arrivals are drawn.
    pub arrivals: Option<&'a [(Nanos, usize, usize)]>,
    /// XORed with the script's seed for all random draws except the faults, which depend on the script's seed alone.
    pub seed_xor: u64,
    /// The build whose controller runs; none: this program's.
    pub build: Option<&'a Build>,
    /// Whether to measure the cost of turns and the age of their input. These are not part of the report, since wall
    /// clocks differ from run to run.
    pub cost: bool,
    /// Whether coordinators write ledgers.
    pub ledgers: bool,
}

/// Simulates a script with the default options.
pub fn play(script: &Script) -> Report {
    play_with_options(script, RunOptions::default()).report
}

/// The report of a run and everything observed in it.
pub struct RunResult {
    pub report: Report,
    pub records: Vec<Record>,
    pub asked: Vec<RequestedOperation>,
    /// The time of the earliest possible operation.
    pub begin: Nanos,
    /// Why a hosted controller failed; if present, the run is invalid.
    pub fault: Option<String>,
    pub cost: Cost,
    /// The ledgers of the coordinators that ran until the end.
    pub ledgers: Vec<LedgerContents>,
}

/// The cost of turns and the age of their input.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    /// Wall time of each turn that ran a coordinator's controller, including the answers to its streams.
    pub turns: Vec<Duration>,
    /// Age of each report processed by a turn: from the midpoint of the report's interval to the turn.
    pub ages: Vec<Nanos>,
}

/// Simulates a script with the given options.
pub fn play_with_options(script: &Script, options: RunOptions) -> RunResult {
    let plan = Plan::draw(script);
    let terms = audit_settings(script, &plan);
    let begin = START + START_DELAY;
    let Some(caller) = Caller::new(script, script.seed ^ options.seed_xor ^ 0xca11) else {
        let report = Report::new(script, 0.0, auditor::judge(&terms, &[]), Vec::new());
        let (records, asked, cost) = (Vec::new(), Vec::new(), Cost::default());
        return RunResult { report, records, asked, begin, fault: None, cost, ledgers: Vec::new() };
    };
    let mut world = World::new(script, plan, caller, options);
    let (stop, end) = (world.begin + script.length.0, world.begin + script.length.0 + DRAIN_TIME);
    world.run(stop, end);
    let status = world
        .coordinators
        .iter()
        .flatten()
        .map(|engine| serde_json::json!(engine.status(world.now)))
        .collect();
    let records = merge(vec![world.log]);
    let judgement = auditor::judge(&terms, &records);
    let report = Report::new(script, script.length.0.secs(), judgement, status);
    let ledgers = world
        .coordinators
        .iter_mut()
        .flatten()
        .filter_map(|engine| engine.ledger().map(Ledger::take_contents))
        .collect();
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
        let run_seed = script.seed ^ options.seed_xor;
        let classes: Vec<String> = script.classes.iter().map(|class| class.name.clone()).collect();
        let server = |(index, planned): (usize, &ServerPlan)| {
            let spec = plan.server_spec(script, index);
            let machine = Machine::new(spec, None);
            let up = planned.from_start;
            Server {
                spec,
                machine,
                up,
                incarnation: 0,
                error_share: 0.0,
                hangs: false,
                answer_loss: 0.0,
                silent: false,
            }
        };
        let count = script.coordinators as usize;
        let proxy = |(index, zone): (usize, &String)| {
            let seed = run_seed.wrapping_mul(31).wrapping_add(index as u64);
            let mut coordinator_order: Vec<usize> = (0..count).map(|k| (k + index) % count).collect();
            coordinator_order.sort_by_key(|coordinator| plan.coordinator_zones[*coordinator] != *zone);
            let (least, most) = RECONNECT_DELAY;
            Proxy {
                zone: script.zones.iter().position(|other| other == zone).unwrap_or(0),
                up: true,
                down_since: None,
                policy: ProxyPolicy::new(
                    classes.clone(),
                    script.habits.ejects,
                    script.habits.keep_away.0,
                    seed,
                ),
                holding: ProxyResources::default(),
                nonces: BTreeMap::new(),
                dialer: Dialer::new(count, least, most, seed ^ 0xd1a1, START),
                coordinator_order,
                stream: None,
                agent_up: true,
                totals: LoadTotals::default(),
                totals_since: START,
                unsent_totals: craneknot_agent::load_totals::LoadTotals::default(),
                unanswered: None,
                path_loss: BTreeMap::new(),
                stalled_until: Nanos(0),
            }
        };
        let mut world = World {
            now: START - script.report_period.0,
            begin: START + START_DELAY,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_id: 0,
            coordinators: (0..count).map(|_| None).collect(),
            next_turn_at: vec![Nanos(u64::MAX); count],
            stalled: vec![false; count],
            disks: (0..count).map(|_| Disk::default()).collect(),
            held_datagrams: vec![Vec::new(); count],
            network_cuts: NetworkCuts::default(),
            leader_strikes: LeaderStrikes::default(),
            servers: plan.servers.iter().enumerate().map(server).collect(),
            proxies: plan.proxy_zones.iter().enumerate().map(proxy).collect(),
            stream_proxies: BTreeMap::new(),
            tries: BTreeMap::new(),
            clients: BTreeMap::new(),
            caller,
            upcoming: None,
            rate_factor: 1.0,
            fronts: None,
            listed_states: plan
                .servers
                .iter()
                .map(|s| if s.from_start { ListedState::Up(None) } else { ListedState::Unlisted })
                .collect(),
            list_version: 0,
            list_text: None,
            rng: Pcg32::seed_from_u64(run_seed ^ 0x30de1),
            log: Log::default(),
            options,
            arrivals_used: 0,
            asked: Vec::new(),
            queue_samples: Vec::new(),
            addresses: Addresses::draw(plan.servers.len(), run_seed ^ 0xadd2),
            fault: Fault::default(),
            cost: Cost::default(),
            pending_reports: vec![Vec::new(); count],
            last_arrival_at: vec![START; plan.proxy_zones.len()],
            script,
            plan,
        };
        world.publish_list();
        if options.selector == Selector::Coordinators {
            // Coordinators start before the first agent connects, each at its own random time: otherwise their periodic work
            // would be in phase with the faults.
            for coordinator in 0..count {
                let spread = Nanos(world.rng.random_range(0..script.report_period.0 .0.max(1)));
                world.schedule(world.now + spread, Event::StartCoordinator(coordinator));
            }
        } else {
            world.schedule(world.now, Event::SampleQueues);
        }
        for proxy in 0..world.proxies.len() {
            world.log.add(world.now, What::Proxy { proxy, up: true });
            let at = world.proxies[proxy].dialer.next_dial_at().unwrap_or(world.now);
            world.schedule(at, Event::Dial(proxy));
            let spread = Nanos(world.rng.random_range(0..script.report_period.0 .0.max(1)));
            world.schedule(START + spread, Event::ProxyReport(proxy));
        }
        let begin = world.begin;
        for index in 0..world.plan.server_acts.len() {
            world.schedule(begin + world.plan.server_acts[index].0, Event::ServerAct(index));
        }
        for index in 0..world.plan.proxy_acts.len() {
            world.schedule(begin + world.plan.proxy_acts[index].0, Event::ProxyAct(index));
        }
        for index in 0..world.plan.fleet_acts.len() {
            world.schedule(begin + world.plan.fleet_acts[index].0, Event::FleetAct(index));
        }
        for index in 0..world.plan.rates.len() {
            world.schedule(begin + world.plan.rates[index].0, Event::RateChange(index));
        }
        world.schedule(START, Event::LogQueues);
        world
    }

    fn schedule(&mut self, at: Nanos, event: Event) {
        self.next_id += 1;
        self.queue.push(Reverse((at.max(self.now), self.next_id)));
        self.events.insert(self.next_id, event);
    }

    fn schedule_after_hop(&mut self, event: Event) {
        let spread = Nanos(self.rng.random_range(0..HOP.0));
        self.schedule(self.now + HOP + spread, event);
    }

    fn run(&mut self, stop: Nanos, end: Nanos) {
        self.schedule_next_operation(self.begin, stop);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at >= end {
                self.now = end;
                return;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event, stop);
            }
        }
    }

    fn handle(&mut self, event: Event, stop: Nanos) {
        match event {
            Event::CoordinatorTurn(coordinator) => {
                if self.next_turn_at[coordinator] <= self.now {
                    self.coordinator_turn(coordinator);
                }
            }
            Event::AgentRequest { coordinator, stream, proxy, kind, refused } => {
                self.agent_requested(coordinator, stream, proxy, kind, refused);
            }
            Event::AgentResponse { proxy, stream, kind, response } => {
                self.agent_received(proxy, stream, kind, response)
            }
            Event::Dial(proxy) => self.dial_coordinator(proxy),
            Event::StreamLost { proxy, stream } => {
                if self.proxies[proxy].stream.is_some_and(|(_, of)| of == stream) {
                    self.end_stream(proxy);
                    self.redial(proxy);
                }
            }
            Event::ProxyReport(proxy) => self.proxy_report(proxy),
            Event::SendReport { proxy, stream } => self.send_report(proxy, stream),
            Event::Reported { proxy, coordinator, report } => self.handle_report(proxy, coordinator, report),
            Event::Probed { coordinator, server, since } => self.probe_answered(coordinator, server, since),
            Event::Datagram { to, text } => self.receive_datagram(to, &text),
            Event::AgentRedirected { proxy, stream, to } => self.agent_redirected(proxy, stream, to),
            Event::NextOperation => {
                let mut due = self.now;
                if let Some(operation) = self.upcoming.take() {
                    due = operation.asked;
                    let (op, class, zone) = (operation.id, operation.class, operation.zone);
                    self.log.add(self.now, What::Asked { op, class, zone });
                    self.asked.push(RequestedOperation { at: self.now, class, work: operation.work });
                    self.start_attempt(operation);
                }
                self.schedule_next_operation(due, stop);
            }
            Event::ClientAttempt(operation) => self.start_attempt(*operation),
            Event::TryArrived(number) => self.try_arrived(number),
            Event::JobDone { server, incarnation, job } => self.job_done(server, incarnation, job),
            Event::TryEnded { number, tried } => self.try_ended(number, tried),
            Event::TryTimeout(number) => self.try_ended(number, Tried::Failed),
            Event::ClientTimeout(number) => self.client_answered(number, Answer::Silent),
            Event::ClientAnswered { number, answer } => self.client_answered(number, answer),
            Event::StartCoordinator(coordinator) => self.raise_coordinator(coordinator),
            Event::ServerAct(index) => self.server_act(index),
            Event::ProxyAct(index) => self.proxy_act(index),
            Event::FleetAct(index) => self.fleet_act(self.plan.fleet_acts[index].1.clone()),
            Event::RateChange(index) => self.rate_factor = self.plan.rates[index].1,
            Event::FrontsChanged => self.fronts = None,
            Event::SampleQueues => {
                self.queue_samples =
                    (0..self.servers.len()).map(|server| self.relative_queue(server)).collect();
                self.schedule(self.now + self.script.report_period.0, Event::SampleQueues);
            }
            Event::LogQueues => {
                for (coordinator, engine) in self.coordinators.iter().enumerate() {
                    let Some(engine) = engine else { continue };
                    let status = engine.status(self.now);
                    let (lines, most) = (status.channel_lines, status.channel_most);
                    self.log.add(self.now, What::Queue { coordinator, lines, most });
                }
                self.schedule(self.now + STATUS_INTERVAL, Event::LogQueues);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seed_determines_the_run() {
        let script = Script::built_in().unwrap();
        let (first, second) = (play(&script), play(&script));
        assert_eq!(first.lines(), second.lines());
        assert!(first.passed() && first.service.asked > 3_000, "{}", first.lines());
        let other = play(&Script { seed: 2, ..script });
        assert_ne!(first.lines(), other.lines());
    }
}
