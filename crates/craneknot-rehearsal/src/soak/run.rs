//! Raises the fleet, plays the schedule, and gives the oracle's judgement.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::clients::{ask, await_ready, collect, Surroundings};
use super::coverage::{CoverageJudge, Lack, MachineLateness};
use super::fault_proxy::FaultProxy;
use super::fleet::{Fleet, ZONES};
use super::load::{BusyThreads, Load};
use super::node::{Node, Setting};
use super::oracle::Oracle;
use super::schedule::{self, Day, Planned};
use super::{discovery, relay};

const LOOK_EVERY: Duration = Duration::from_millis(100); // between looks of the oracle
const ASKERS: usize = 4; // clients that ask each node all the time
const MEMORY_MOST_KB: u64 = 64 * 1024;
const FIRST_READY: Duration = Duration::from_secs(30); // of the first start of all nodes

/// What is asked for.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    pub seed: u64,
    pub day: Day,
    pub nodes: usize,
    pub length: Duration,
    /// What it has to bear beside its faults.
    pub load: Load,
    /// The program whose `node` is soaked.
    pub program: PathBuf,
    /// Preloaded into every other node, so that its system calls fail and its wall clock is stepped.
    pub fault_library: Option<PathBuf>,
    /// Where configurations and logs are kept.
    pub folder: PathBuf,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    pub seed: u64,
    pub faults: usize,
    pub starts: u64,
    /// Answered by their due time, and those of them that were asked after SIGTERM.
    pub answered: u64,
    pub answered_after_sigterm: u64,
    /// Answered or turned away after their due time.
    pub late: u64,
    /// Neither answered nor turned away, and excused by nothing.
    pub never: u64,
    pub rejected: u64,
    /// Requests in flight as their process was killed.
    pub excused: u64,
    pub slowest_millis: u64,
    /// The longest that a proxy of an undisturbed node was without a line, as the oracle saw it.
    pub uncovered_longest: Lack,
    /// The same as nodes tell it of themselves, disturbed or not, in milliseconds.
    pub uncovered_told: u64,
    /// What the machine itself overslept, in all.
    pub machine_late: Duration,
    /// By node at the end: memory in KiB, and descriptors.
    pub sizes: Vec<(u64, usize)>,
    /// What was broken; nothing: the soak has passed.
    pub broken: Vec<String>,
    /// What was played, a line a fault.
    pub schedule: Vec<String>,
}

const FAULT_RULES: &str = "accept4=ECONNABORTED@0.02;accept4=ENFILE@0.02;accept4=EINTR@0.02;socket=ENOBUFS@0.05;\
                           socket=ENFILE@0.05;connect=EADDRNOTAVAIL@0.02;connect=ENETUNREACH@0.02;recv=EINTR@0.05;\
                           recv=SHORT@0.05;recv=ENOBUFS@0.02;writev=EINTR@0.05;writev=SHORT@0.05;writev=ENOBUFS@0.02;\
                           epoll_ctl=ENOMEM@0.02;epoll_wait=EINTR@0.05;send=ENOBUFS@0.3;open=EMFILE@0.1;recv=ETIMEDOUT@0.01;recv=EHOSTUNREACH@0.01;\
                           writev=ETIMEDOUT@0.01;writev=EHOSTUNREACH@0.01";

/// A soak as it is played.
pub(super) struct Soak {
    pub(super) nodes: Vec<Arc<Mutex<Node>>>,
    pub(super) around: Vec<Surroundings>,
    pub(super) fleet: Arc<Mutex<Fleet>>,
    pub(super) oracle: Arc<Oracle>,
    pub(super) over: Arc<AtomicBool>,
    pub(super) upstream: Vec<BTreeMap<bool, std::net::SocketAddr>>,
    pub(super) lateness: MachineLateness,
    pub(super) uncovered_longest: Arc<Mutex<Lack>>,
    pub(super) tasks: Vec<JoinHandle<()>>,
    pub(super) begun: Instant,
}

/// Plays a soak.
pub fn run(settings: &SoakSettings) -> io::Result<SoakReport> {
    let planned = plan(settings);
    let _busy = BusyThreads::start(settings.load.busy, FIRST_READY + settings.length);
    let mut soak = Soak::raise(settings)?;
    soak.await_first_start();
    soak.begun = Instant::now();
    for fault in &planned {
        soak.wait_until(Duration::from_millis(fault.at));
        soak.play(fault);
    }
    soak.wait_until(settings.length);
    Ok(soak.finish(settings.seed, &planned))
}

/// The whole schedule: what the day brings, and what load adds.
fn plan(settings: &SoakSettings) -> Vec<Planned> {
    let SoakSettings { seed, nodes, length, day, .. } = *settings;
    let (servers, _) = schedule::fleet_size(day, nodes);
    let mut planned = schedule::draw(seed, nodes, servers, length, day);
    if settings.load.throttled {
        planned.extend(schedule::draw_throttle(seed, nodes, length));
        planned.sort_by_key(|planned| planned.at);
    }
    planned
}

impl Soak {
    fn raise(settings: &SoakSettings) -> io::Result<Self> {
        let (servers, proxies) = schedule::fleet_size(settings.day, settings.nodes);
        let fleet = Arc::new(Mutex::new(Fleet::new(settings.nodes, proxies, servers)));
        let lateness = MachineLateness::measure();
        let (oracle, over) = (Arc::new(Oracle::new(lateness.clone())), Arc::new(AtomicBool::new(false)));
        let mut soak = Soak {
            nodes: Vec::new(),
            around: Vec::new(),
            fleet: fleet.clone(),
            oracle: oracle.clone(),
            over: over.clone(),
            upstream: Vec::new(),
            lateness,
            uncovered_longest: Arc::default(),
            tasks: Vec::new(),
            begun: Instant::now(),
        };
        for number in 0..settings.nodes {
            let relay = relay::serve(fleet.clone(), number)?;
            let discovery = discovery::serve(fleet.clone(), number)?;
            soak.upstream.push(BTreeMap::from([(true, relay), (false, discovery)]));
            let setting = Setting {
                program: settings.program.clone(),
                folder: settings.folder.clone(),
                fault_library: settings.fault_library.clone().filter(|_| number % 2 == 1),
                fault_rules: FAULT_RULES.to_owned(),
                sockets: [256, 64, 1_024][number % 3],
                proxies,
                nodes: settings.nodes,
            };
            let (relay, discovery) = (FaultProxy::start(relay)?, FaultProxy::start(discovery)?);
            let mut node = Node::new(number, setting, fleet.clone(), relay, discovery);
            node.start(&oracle)?;
            oracle.starts.fetch_add(1, Ordering::Relaxed);
            let (life, oracle, over) = (node.life.clone(), oracle.clone(), over.clone());
            soak.around.push(Surroundings { node: number, life, oracle, over });
            soak.nodes.push(Arc::new(Mutex::new(node)));
        }
        soak.raise_clients(settings.seed);
        soak.raise_oracle();
        Ok(soak)
    }

    fn raise_clients(&mut self, seed: u64) {
        for around in self.around.clone() {
            for asker in 0..ASKERS {
                let (around, seed) = (around.clone(), seed ^ ((around.node * ASKERS + asker) as u64) << 16);
                self.tasks.push(thread::spawn(move || ask(&around, seed)));
            }
            for zone in ZONES {
                let (around, fleet) = (around.clone(), self.fleet.clone());
                self.tasks.push(thread::spawn(move || collect(&around, zone, &fleet)));
            }
        }
    }

    /// Judges all the time what proxies hold, who is ready, and who has ended.
    fn raise_oracle(&mut self) {
        let (nodes, around) = (self.nodes.clone(), self.around.clone());
        let (fleet, oracle, over) = (self.fleet.clone(), self.oracle.clone(), self.over.clone());
        let (mut coverage, longest) =
            (CoverageJudge::new(self.lateness.clone()), self.uncovered_longest.clone());
        self.tasks.push(thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                for (node, around) in nodes.iter().zip(&around) {
                    let life = around.life.lock().unwrap().clone();
                    let ended = node.lock().unwrap().ended();
                    if let Some(status) = ended.filter(|_| life.terminated.is_none()) {
                        oracle.ended_by_itself(around.node, life.epoch, &status);
                    }
                    oracle.judge_start(around.node, &life);
                    let held = fleet.lock().unwrap();
                    let broken = coverage.look(around.node, &life, &held, Instant::now());
                    drop(held);
                    oracle.broken_coverage(broken);
                }
                longest.lock().unwrap().clone_from(coverage.longest());
                thread::sleep(LOOK_EVERY);
            }
        }));
    }

    fn await_first_start(&self) {
        for around in &self.around {
            if !await_ready(around, FIRST_READY) {
                self.oracle.broken(format!("node {}: never ready", around.node));
            }
        }
    }

    fn wait_until(&self, at: Duration) {
        thread::sleep(at.saturating_sub(self.begun.elapsed()));
    }

    fn finish(mut self, seed: u64, planned: &[Planned]) -> SoakReport {
        let sizes: Vec<(u64, usize)> =
            self.nodes.iter().filter_map(|node| size_of(node.lock().unwrap().process()?)).collect();
        for (node, (memory, _)) in sizes.iter().enumerate() {
            if *memory > MEMORY_MOST_KB {
                self.oracle.broken(format!("node {node}: {memory} KiB of memory"));
            }
        }
        self.over.store(true, Ordering::Relaxed);
        for node in &self.nodes {
            node.lock().unwrap().kill();
        }
        self.tasks.drain(..).for_each(|task| drop(task.join()));
        let mut broken = self.oracle.all_broken();
        broken.append(&mut self.fleet.lock().unwrap().broken);
        let count = |figure: &std::sync::atomic::AtomicU64| figure.load(Ordering::Relaxed);
        SoakReport {
            seed,
            faults: planned.len(),
            starts: count(&self.oracle.starts),
            answered: count(&self.oracle.answered),
            answered_after_sigterm: count(&self.oracle.answered_after_sigterm),
            late: count(&self.oracle.late),
            never: count(&self.oracle.never),
            rejected: count(&self.oracle.rejected),
            excused: count(&self.oracle.excused),
            slowest_millis: count(&self.oracle.slowest_millis),
            uncovered_longest: self.uncovered_longest.lock().unwrap().clone(),
            uncovered_told: self
                .around
                .iter()
                .map(|of| of.life.lock().unwrap().told_uncovered)
                .max()
                .unwrap_or(0),
            machine_late: self.lateness.total(),
            sizes,
            broken,
            schedule: planned.iter().map(|planned| format!("{planned:?}")).collect(),
        }
    }
}

/// A process's memory in KiB and its descriptors.
fn size_of(process: u32) -> Option<(u64, usize)> {
    let folder = Path::new("/proc").join(process.to_string());
    let status = fs::read_to_string(folder.join("status")).ok()?;
    let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let memory = memory.split_whitespace().next()?.parse().ok()?;
    Some((memory, fs::read_dir(folder.join("fd")).ok()?.count()))
}
