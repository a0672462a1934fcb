//! The schedule of a soak, drawn from one seed: the same seed gives the same schedule.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

mod incident;

const FIRST_FAULT_AT_MS: u64 = 3_000;
const FAULT_FREE_END_MS: u64 = 5_000; // after the last fault, for all nodes to recover
const BURST_END: usize = 100; // exclusive; more descriptors than the smallest node has, but few of the soak's own
const KILL_AFTER_TERM_MS: u64 = 700; // the earliest on the platform
const DRAIN_MS: u64 = 2_000; // of one server that restarts amid random faults
const REMOVED_MS: u64 = 1_000; // after draining, until it is back
const SERVERS_PER_STEP_BOUND: usize = 4; // exclusive; servers whose phases change in one list update
const JOINT_FAILURE_INTERVAL_MS: std::ops::Range<u64> = 4_000..12_000; // of relay and discovery together
const RESTART_INTERVAL_MS: std::ops::Range<u64> = 2_000..6_000; // between restarts of any form
const LAG_INTERVAL_MS: std::ops::Range<u64> = 1_500..4_000; // between lagging connections
const LAG_DURATION_MS: std::ops::Range<u64> = 600..1_300; // the relay sends a keepalive every second
const THROTTLE_DURATION_MS: std::ops::Range<u64> = 3_000..10_000; // for which a process has a quarter of a core
const EXTRA_FAULTS_STREAM: u64 = 1; // random stream whose draws leave those of the first stream unchanged
const THROTTLE_STREAM: u64 = 2; // the same for faults that load adds
const LAG_STREAM: u64 = 3; // the same for lagging connections

/// The neighbour of a node that a network fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Neighbour {
    Relay,
    Discovery,
    /// Both at once: calls, the event stream and the watch fail together.
    Both,
}

/// How a fault proxy treats the bytes that pass through it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetworkFault {
    /// Nothing passes, and neither side is notified.
    Stall,
    /// Each connection is reset after that many more bytes in all.
    ResetAfter(usize),
    /// New connections are refused at once, and open ones are reset.
    Refuse,
    /// Bytes pass one at a time.
    Split,
    /// Bytes pass with a delay of that many milliseconds.
    Delay(u64),
    /// A single open connection stalls; at the end of the fault that many more bytes pass on it, and it is reset.
    LagOne { place: usize, bytes: usize },
}

/// How a server restarts under its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartForm {
    /// It drains, is removed, and is ready again.
    DrainingGoneReady,
    /// It drains, and is ready again.
    DrainingReady,
    /// It is ready with a later start, without having been listed in another phase.
    ReadyAtOnce,
}

/// A restart of servers whose phases change in the same list updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restart {
    /// The first server and their number; the servers are numbered in a ring.
    pub first: usize,
    pub count: usize,
    pub form: RestartForm,
    /// How long they drain, and how long they are removed, in milliseconds.
    pub draining: u64,
    pub gone: u64,
}

/// A change of the server list or of how discovery answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListChange {
    /// Servers restart.
    Restart(Restart),
    /// The next answers are full lists instead of changes.
    AnswerWhole,
    /// Answers are delayed by that many milliseconds.
    Lag(u64),
    /// The servers of a zone are ready with a new start, without having been listed in another phase.
    RestartZone(ZoneRestart),
}

/// A restart in place of the servers of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneRestart {
    pub zone: usize,
    /// The number of servers that don't restart.
    pub spared: usize,
    /// How many restart in one list update, and the time until the next one in milliseconds.
    pub wave: usize,
    pub pause: u64,
}

/// A fault of a node or of the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// SIGKILL, and a new start that many milliseconds later.
    Kill { back_after: u64 },
    /// SIGTERM; SIGKILL 700 ms later; then a new start. `again`: a second SIGTERM that many milliseconds after the
    /// first. `crowd`: connections that each send one heartbeat, opened while the process is stopped before the signal.
    Terminate { again: Option<u64>, crowd: usize },
    /// SIGHUP with new addresses of relay and discovery. `half`: the file is half written at a first signal.
    Reload { half: bool },
    /// SIGSTOP, and SIGCONT that many milliseconds later.
    Pause { millis: u64 },
    /// A network fault for that many milliseconds.
    Network { of: Neighbour, fault: NetworkFault, millis: u64 },
    /// A burst of connections: some send one heartbeat each, the others send nothing.
    Crowd { asking: usize, silent: usize },
    /// All proxies leave their coordinators and join this one.
    MoveAll,
    /// The proxies of this coordinator lose their streams to it and reconnect that many milliseconds later.
    Reconnect { away: u64 },
    /// The wall clock of the process is stepped by that many seconds.
    StepClock { seconds: i64 },
    /// A change of the server list, for all nodes.
    List(ListChange),
    /// The process is stopped for three quarters of the time, for that many milliseconds.
    Throttle { millis: u64 },
    /// A zone is lost together with this node for that many milliseconds: its servers are removed and its proxies
    /// leave; then all return, the servers cold under their old names.
    LoseZone { zone: usize, millis: u64 },
}

impl Fault {
    /// How long the fault lasts without further action.
    pub fn duration(&self) -> Duration {
        let millis = match *self {
            Fault::Kill { back_after } => back_after,
            Fault::Terminate { .. } => KILL_AFTER_TERM_MS,
            Fault::Pause { millis }
            | Fault::Network { millis, .. }
            | Fault::Throttle { millis }
            | Fault::Reconnect { away: millis }
            | Fault::LoseZone { millis, .. } => millis,
            Fault::List(ListChange::Restart(Restart { draining, gone, .. })) => draining + gone,
            _ => 0,
        };
        Duration::from_millis(millis)
    }
}

/// The kind of a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Random faults only.
    Random,
    /// A continuous release, one coordinator killed, a zone lost with another, all proxies at the first, and its
    /// planned restart, in addition to random faults.
    Incident,
}

/// A fault of one node at its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Planned {
    /// Time since the start of the soak, in milliseconds.
    pub at: u64,
    pub node: usize,
    pub fault: Fault,
}

fn network_fault(rng: &mut Pcg32) -> NetworkFault {
    match rng.random_range(0..5) {
        0 => NetworkFault::Stall,
        1 => NetworkFault::ResetAfter(rng.random_range(0..400)),
        2 => NetworkFault::Refuse,
        3 => NetworkFault::Split,
        _ => NetworkFault::Delay(rng.random_range(5..60)),
    }
}

fn fault(rng: &mut Pcg32, servers: usize) -> Fault {
    match rng.random_range(0..20) {
        0..3 => Fault::Kill { back_after: rng.random_range(100..3_000) },
        3..6 => Fault::Terminate {
            again: rng.random_bool(0.5).then(|| rng.random_range(0..600)),
            crowd: if rng.random_bool(0.5) { rng.random_range(20..BURST_END) } else { 0 },
        },
        6..8 => Fault::Reload { half: rng.random_bool(0.3) },
        8 | 9 => Fault::Pause { millis: rng.random_range(50..900) },
        10..14 => Fault::Network {
            of: if rng.random_bool(0.6) { Neighbour::Relay } else { Neighbour::Discovery },
            fault: network_fault(rng),
            millis: rng.random_range(200..3_000),
        },
        14 => {
            Fault::Crowd { asking: rng.random_range(10..BURST_END), silent: rng.random_range(0..BURST_END) }
        }
        15 => Fault::MoveAll,
        16 => Fault::StepClock { seconds: if rng.random_bool(0.5) { 3_600 } else { -3_600 } },
        17 => Fault::List(ListChange::AnswerWhole),
        18 => Fault::List(ListChange::Lag(rng.random_range(100..1_500))),
        _ => Fault::List(ListChange::Restart(Restart {
            first: rng.random_range(0..servers),
            count: 1,
            form: RestartForm::DrainingGoneReady,
            draining: DRAIN_MS,
            gone: REMOVED_MS,
        })),
    }
}

/// Draws the faults of a soak in the order of their times: about one each second for every three nodes, so that they
/// overlap, and sometimes two for one node within a second. The incident scenario has half as many.
pub fn draw(seed: u64, nodes: usize, servers: usize, length: Duration, scenario: Scenario) -> Vec<Planned> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut extra_rng = Pcg32::new(seed, EXTRA_FAULTS_STREAM);
    let end = faults_end(length);
    let interval_factor = if scenario == Scenario::Incident { 2 } else { 1 };
    let mean_interval_ms = interval_factor * 3_000 / nodes.max(1) as u64;
    let (mut at, mut planned) = (FIRST_FAULT_AT_MS, Vec::new());
    while at < end {
        let node = rng.random_range(0..nodes);
        let first = fault(&mut rng, servers);
        planned.push(Planned { at, node, fault: first });
        if rng.random_bool(0.3) {
            let second = fault(&mut rng, servers);
            planned.push(Planned { at: at + rng.random_range(0..1_000), node, fault: second });
        }
        at += rng.random_range(1..2 * mean_interval_ms.max(1) + 1);
    }
    planned.extend(joint_failures(&mut extra_rng, nodes, end));
    planned.extend(lagging_connections(&mut Pcg32::new(seed, LAG_STREAM), nodes, end));
    match scenario {
        Scenario::Random => planned.extend(restarts(&mut extra_rng, servers, end)),
        Scenario::Incident => {
            planned.extend(incident::draw(&mut rng, &mut extra_rng, nodes, servers, FIRST_FAULT_AT_MS..end))
        }
    }
    planned.sort_by_key(|planned| planned.at);
    planned
}

/// Draws for each node a time in which it has a quarter of a core.
pub fn draw_throttle(seed: u64, nodes: usize, length: Duration) -> Vec<Planned> {
    let mut rng = Pcg32::new(seed, THROTTLE_STREAM);
    let starts = FIRST_FAULT_AT_MS..faults_end(length).max(FIRST_FAULT_AT_MS + 1);
    let throttled = |node| Planned {
        at: rng.random_range(starts.clone()),
        node,
        fault: Fault::Throttle { millis: rng.random_range(THROTTLE_DURATION_MS) },
    };
    (0..nodes).map(throttled).collect()
}

fn faults_end(length: Duration) -> u64 {
    (length.as_millis() as u64).saturating_sub(FAULT_FREE_END_MS)
}

/// Draws joint failures of relay and discovery of a node.
fn joint_failures(rng: &mut Pcg32, nodes: usize, end: u64) -> Vec<Planned> {
    let mut planned = Vec::new();
    let mut at = FIRST_FAULT_AT_MS + rng.random_range(JOINT_FAILURE_INTERVAL_MS);
    while at < end {
        let fault = match rng.random_range(0..3) {
            0 => NetworkFault::Stall,
            1 => NetworkFault::ResetAfter(rng.random_range(0..400)),
            _ => NetworkFault::Refuse,
        };
        let fault = Fault::Network { of: Neighbour::Both, fault, millis: rng.random_range(200..3_000) };
        planned.push(Planned { at, node: rng.random_range(0..nodes), fault });
        at += rng.random_range(JOINT_FAILURE_INTERVAL_MS);
    }
    planned
}

/// Draws connections to the relay that lag for less than the silence timeout, while the proxies of the node reconnect.
fn lagging_connections(rng: &mut Pcg32, nodes: usize, end: u64) -> Vec<Planned> {
    let mut planned = Vec::new();
    let mut at = FIRST_FAULT_AT_MS + rng.random_range(LAG_INTERVAL_MS);
    while at < end {
        let node = rng.random_range(0..nodes);
        let fault = NetworkFault::LagOne { place: rng.random_range(0..3), bytes: rng.random_range(1..40) };
        let (millis, away) = (rng.random_range(LAG_DURATION_MS), rng.random_range(0..200));
        planned.push(Planned { at, node, fault: Fault::Network { of: Neighbour::Relay, fault, millis } });
        planned.push(Planned {
            at: at + rng.random_range(0..millis / 3),
            node,
            fault: Fault::Reconnect { away },
        });
        at += rng.random_range(LAG_INTERVAL_MS);
    }
    planned
}

/// Draws restarts of all forms, sometimes of several servers together.
fn restarts(rng: &mut Pcg32, servers: usize, end: u64) -> Vec<Planned> {
    let mut planned = Vec::new();
    let mut at = FIRST_FAULT_AT_MS;
    while at < end {
        let count = rng.random_range(1..SERVERS_PER_STEP_BOUND);
        let first = rng.random_range(0..servers);
        let restart = restart(rng, first, count);
        planned.push(Planned { at, node: 0, fault: Fault::List(ListChange::Restart(restart)) });
        at += rng.random_range(RESTART_INTERVAL_MS);
    }
    planned
}

/// Draws how `count` servers restart.
fn restart(rng: &mut Pcg32, first: usize, count: usize) -> Restart {
    let form = match rng.random_range(0..3) {
        0 => RestartForm::DrainingGoneReady,
        1 => RestartForm::DrainingReady,
        _ => RestartForm::ReadyAtOnce,
    };
    Restart { first, count, form, draining: rng.random_range(300..2_000), gone: rng.random_range(100..1_000) }
}

/// The number of servers and proxies in a scenario.
pub fn fleet_size(scenario: Scenario, nodes: usize) -> (usize, u16) {
    match scenario {
        Scenario::Random => (24, 12 * nodes as u16),
        Scenario::Incident => (30, 240),
    }
}

/// The time after SIGTERM at which the platform kills a process.
pub fn kill_after_term() -> Duration {
    Duration::from_millis(KILL_AFTER_TERM_MS)
}
