//! Starts the fleet, injects the scheduled faults, and reports the result of the checks.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::clients::{await_ready, run_collector, send_heartbeats, ClientContext};
use super::coverage::{CoverageChecker, CoverageGap, MachineLateness};
use super::fault_proxy::FaultProxy;
use super::fleet::{Fleet, ZONES};
use super::invariants::InvariantChecker;
use super::load::{BusyThreads, Load};
use super::node::{Node, NodeOptions};
use super::schedule::{self, Planned, Scenario};
use super::{discovery, relay};

const POLL_INTERVAL: Duration = Duration::from_millis(100); // between checks of coverage, readiness and exits
const HEARTBEAT_CLIENTS: usize = 4; // for each node
const MAX_MEMORY_KIB: u64 = 64 * 1024;
const FIRST_START_TIMEOUT: Duration = Duration::from_secs(30); // for the first start of each node

/// The parameters of a soak.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    pub seed: u64,
    pub scenario: Scenario,
    pub nodes: usize,
    pub length: Duration,
    /// Processor load in addition to the faults.
    pub load: Load,
    /// The program whose `node` subcommand is tested.
    pub program: PathBuf,
    /// Preloaded into every other node, to fail its system calls and step its wall clock.
    pub fault_library: Option<PathBuf>,
    /// The folder for configurations and logs.
    pub folder: PathBuf,
}

/// The result of a soak.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    pub seed: u64,
    pub faults: usize,
    pub starts: u64,
    /// Requests answered by their due time, and those of them that were sent after SIGTERM.
    pub answered: u64,
    pub answered_after_sigterm: u64,
    /// Requests answered or rejected after their due time.
    pub answered_late: u64,
    /// Requests neither answered nor rejected, without an excuse.
    pub unanswered: u64,
    pub rejected: u64,
    /// Requests in flight when their process was killed.
    pub excused: u64,
    pub slowest_millis: u64,
    /// The longest time that a proxy of a node without faults had no line, as observed by the checker.
    pub longest_uncovered: CoverageGap,
    /// The longest uncovered time that nodes logged, with or without faults, in milliseconds.
    pub longest_uncovered_reported_ms: u64,
    /// The total machine lateness.
    pub machine_lateness: Duration,
    /// By node at the end: memory in KiB, and the number of descriptors.
    pub process_sizes: Vec<(u64, usize)>,
    /// The violations; if there are none, the soak has passed.
    pub violations: Vec<String>,
    /// The injected faults, one per line.
    pub schedule: Vec<String>,
}

const FAULT_RULES: &str = "accept4=ECONNABORTED@0.02;accept4=ENFILE@0.02;accept4=EINTR@0.02;socket=ENOBUFS@0.05;\
                           socket=ENFILE@0.05;connect=EADDRNOTAVAIL@0.02;connect=ENETUNREACH@0.02;recv=EINTR@0.05;\
                           recv=SHORT@0.05;recv=ENOBUFS@0.02;writev=EINTR@0.05;writev=SHORT@0.05;writev=ENOBUFS@0.02;\
                           epoll_ctl=ENOMEM@0.02;epoll_wait=EINTR@0.05;send=ENOBUFS@0.3;open=EMFILE@0.1;recv=ETIMEDOUT@0.01;recv=EHOSTUNREACH@0.01;\
                           writev=ETIMEDOUT@0.01;writev=EHOSTUNREACH@0.01";

/// A running soak.
pub(super) struct Soak {
    pub(super) nodes: Vec<Arc<Mutex<Node>>>,
    pub(super) contexts: Vec<ClientContext>,
    pub(super) fleet: Arc<Mutex<Fleet>>,
    pub(super) checker: Arc<InvariantChecker>,
    pub(super) finished: Arc<AtomicBool>,
    pub(super) upstream: Vec<BTreeMap<bool, std::net::SocketAddr>>,
    pub(super) lateness: MachineLateness,
    pub(super) longest_uncovered: Arc<Mutex<CoverageGap>>,
    pub(super) threads: Vec<JoinHandle<()>>,
    pub(super) started_at: Instant,
}

/// Runs a soak: starts the fleet, injects the faults, and checks the invariants until the soak's length has passed.
pub fn run(settings: &SoakSettings) -> io::Result<SoakReport> {
    let planned = full_schedule(settings);
    let _busy = BusyThreads::start(settings.load.busy, FIRST_START_TIMEOUT + settings.length);
    let mut soak = Soak::start(settings)?;
    soak.await_first_start();
    soak.started_at = Instant::now();
    for fault in &planned {
        soak.wait_until(Duration::from_millis(fault.at));
        soak.inject(fault);
    }
    soak.wait_until(settings.length);
    Ok(soak.finish(settings.seed, &planned))
}

/// The complete schedule: the faults of the scenario and those of the load settings.
fn full_schedule(settings: &SoakSettings) -> Vec<Planned> {
    let SoakSettings { seed, nodes, length, scenario, .. } = *settings;
    let (servers, _) = schedule::fleet_size(scenario, nodes);
    let mut planned = schedule::draw(seed, nodes, servers, length, scenario);
    if settings.load.throttled {
        planned.extend(schedule::draw_throttle(seed, nodes, length));
        planned.sort_by_key(|planned| planned.at);
    }
    planned
}

impl Soak {
    fn start(settings: &SoakSettings) -> io::Result<Self> {
        let (servers, proxies) = schedule::fleet_size(settings.scenario, settings.nodes);
        let fleet = Arc::new(Mutex::new(Fleet::new(settings.nodes, proxies, servers)));
        let lateness = MachineLateness::measure();
        let (checker, finished) =
            (Arc::new(InvariantChecker::new(lateness.clone())), Arc::new(AtomicBool::new(false)));
        let mut soak = Soak {
            nodes: Vec::new(),
            contexts: Vec::new(),
            fleet: fleet.clone(),
            checker: checker.clone(),
            finished: finished.clone(),
            upstream: Vec::new(),
            lateness,
            longest_uncovered: Arc::default(),
            threads: Vec::new(),
            started_at: Instant::now(),
        };
        for number in 0..settings.nodes {
            let relay = relay::serve(fleet.clone(), number)?;
            let discovery = discovery::serve(fleet.clone(), number)?;
            soak.upstream.push(BTreeMap::from([(true, relay), (false, discovery)]));
            let options = NodeOptions {
                program: settings.program.clone(),
                folder: settings.folder.clone(),
                fault_library: settings.fault_library.clone().filter(|_| number % 2 == 1),
                fault_rules: FAULT_RULES.to_owned(),
                sockets: [256, 64, 1_024][number % 3],
                proxies,
                nodes: settings.nodes,
            };
            let (relay, discovery) = (FaultProxy::start(relay)?, FaultProxy::start(discovery)?);
            let mut node = Node::new(number, options, fleet.clone(), relay, discovery);
            node.start(&checker)?;
            checker.starts.fetch_add(1, Ordering::Relaxed);
            let (history, checker, finished) = (node.history.clone(), checker.clone(), finished.clone());
            soak.contexts.push(ClientContext { node: number, history, checker, finished });
            soak.nodes.push(Arc::new(Mutex::new(node)));
        }
        soak.start_clients(settings.seed);
        soak.start_checker();
        Ok(soak)
    }

    fn start_clients(&mut self, seed: u64) {
        for context in self.contexts.clone() {
            for client in 0..HEARTBEAT_CLIENTS {
                let (context, seed) =
                    (context.clone(), seed ^ ((context.node * HEARTBEAT_CLIENTS + client) as u64) << 16);
                self.threads.push(thread::spawn(move || send_heartbeats(&context, seed)));
            }
            for zone in ZONES {
                let (context, fleet) = (context.clone(), self.fleet.clone());
                self.threads.push(thread::spawn(move || run_collector(&context, zone, &fleet)));
            }
        }
    }

    /// Continuously checks what proxies hold, which processes are ready, and which have exited.
    fn start_checker(&mut self) {
        let (nodes, contexts) = (self.nodes.clone(), self.contexts.clone());
        let (fleet, checker, finished) = (self.fleet.clone(), self.checker.clone(), self.finished.clone());
        let (mut coverage, longest) =
            (CoverageChecker::new(self.lateness.clone()), self.longest_uncovered.clone());
        self.threads.push(thread::spawn(move || {
            while !finished.load(Ordering::Relaxed) {
                for (node, context) in nodes.iter().zip(&contexts) {
                    let history = context.history.lock().unwrap().clone();
                    let ended = node.lock().unwrap().exit_status();
                    if let Some(status) = ended.filter(|_| history.terminated.is_none()) {
                        checker.report_unexpected_exit(context.node, history.epoch, &status);
                    }
                    checker.check_start(context.node, &history);
                    let locked_fleet = fleet.lock().unwrap();
                    let violations = coverage.check(context.node, &history, &locked_fleet, Instant::now());
                    drop(locked_fleet);
                    checker.report_coverage_violations(violations);
                }
                longest.lock().unwrap().clone_from(coverage.longest());
                thread::sleep(POLL_INTERVAL);
            }
        }));
    }

    fn await_first_start(&self) {
        for context in &self.contexts {
            if !await_ready(context, FIRST_START_TIMEOUT) {
                self.checker.report_violation(format!(
                    "node {}: did not become ready after its first start",
                    context.node
                ));
            }
        }
    }

    fn wait_until(&self, at: Duration) {
        thread::sleep(at.saturating_sub(self.started_at.elapsed()));
    }

    fn finish(mut self, seed: u64, planned: &[Planned]) -> SoakReport {
        let process_sizes: Vec<(u64, usize)> =
            self.nodes.iter().filter_map(|node| process_size(node.lock().unwrap().process()?)).collect();
        for (node, (memory_kib, _)) in process_sizes.iter().enumerate() {
            if *memory_kib > MAX_MEMORY_KIB {
                self.checker.report_violation(format!("node {node}: {memory_kib} KiB of memory"));
            }
        }
        self.finished.store(true, Ordering::Relaxed);
        for node in &self.nodes {
            node.lock().unwrap().kill();
        }
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
        let mut violations = self.checker.violations();
        violations.append(&mut self.fleet.lock().unwrap().violations);
        let count = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
        SoakReport {
            seed,
            faults: planned.len(),
            starts: count(&self.checker.starts),
            answered: count(&self.checker.answered),
            answered_after_sigterm: count(&self.checker.answered_after_sigterm),
            answered_late: count(&self.checker.answered_late),
            unanswered: count(&self.checker.unanswered),
            rejected: count(&self.checker.rejected),
            excused: count(&self.checker.excused),
            slowest_millis: count(&self.checker.slowest_millis),
            longest_uncovered: self.longest_uncovered.lock().unwrap().clone(),
            longest_uncovered_reported_ms: self
                .contexts
                .iter()
                .map(|context| context.history.lock().unwrap().longest_uncovered_ms)
                .max()
                .unwrap_or(0),
            machine_lateness: self.lateness.total(),
            process_sizes,
            violations,
            schedule: planned.iter().map(|planned| format!("{planned:?}")).collect(),
        }
    }
}

/// The memory in KiB and the number of descriptors of a process.
fn process_size(process: u32) -> Option<(u64, usize)> {
    let folder = Path::new("/proc").join(process.to_string());
    let status = fs::read_to_string(folder.join("status")).ok()?;
    let memory_kib = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let memory_kib = memory_kib.split_whitespace().next()?.parse().ok()?;
    Some((memory_kib, fs::read_dir(folder.join("fd")).ok()?.count()))
}
