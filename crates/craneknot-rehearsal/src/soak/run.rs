//! Raises the fleet, plays the schedule, and gives the oracle's judgement.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::clients::{ask, await_ready, collect, come_silently, CrowdOfAskers, Surroundings};
use super::coverage::{CoverageJudge, MachineLateness};
use super::fault_proxy::FaultProxy;
use super::fleet::{Fleet, Phase, ZONES};
use super::hold_ups::Span;
use super::node::{Node, Setting};
use super::oracle::Oracle;
use super::schedule::{self, Day, Fault, ListChange, Neighbour, Planned};
use super::{discovery, relay};

const LOOK_EVERY: Duration = Duration::from_millis(100); // between looks of the oracle
const ASKERS: usize = 4; // clients that ask each node all the time
const PROXIES_PER_NODE: u16 = 12;
const SERVERS: usize = 24;
const REDIAL_AFTER: Duration = Duration::from_millis(300); // proxies whose coordinator is gone join another
const OLD_ADDRESS_ENDS: Duration = Duration::from_millis(1_500); // after a reload, as on the platform
const CROWD_LASTS: Duration = Duration::from_secs(4); // the largest crowd at the node with the fewest descriptors
const MEMORY_MOST_KB: u64 = 64 * 1024;
const DRAIN_LASTS: Duration = Duration::from_millis(2_000); // of a server that restarts
const GONE_LASTS: Duration = Duration::from_millis(1_000); // after that, until it is back
const RELEASE_EVERY: Duration = Duration::from_millis(2_000); // between two servers of a release
const FIRST_READY: Duration = Duration::from_secs(30); // of the first start of all nodes

/// What is asked for.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    pub seed: u64,
    pub day: Day,
    pub nodes: usize,
    pub length: Duration,
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
    pub uncovered_longest: Duration,
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

struct Soak {
    nodes: Vec<Arc<Mutex<Node>>>,
    around: Vec<Surroundings>,
    fleet: Arc<Mutex<Fleet>>,
    oracle: Arc<Oracle>,
    over: Arc<AtomicBool>,
    upstream: Vec<BTreeMap<bool, std::net::SocketAddr>>,
    lateness: MachineLateness,
    uncovered_longest: Arc<Mutex<Duration>>,
    tasks: Vec<JoinHandle<()>>,
    begun: Instant,
}

/// Plays a soak.
pub fn run(settings: &SoakSettings) -> io::Result<SoakReport> {
    let planned = schedule::draw(settings.seed, settings.nodes, SERVERS, settings.length, settings.day);
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

impl Soak {
    fn raise(settings: &SoakSettings) -> io::Result<Self> {
        let proxies = PROXIES_PER_NODE * settings.nodes as u16;
        let fleet = Arc::new(Mutex::new(Fleet::new(settings.nodes, proxies, SERVERS)));
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
                *longest.lock().unwrap() = coverage.longest();
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

    /// A fault touches a node from now on for so long.
    fn disturb(&self, node: usize, span: Duration) {
        let until = Instant::now() + span;
        let mut life = self.around[node].life.lock().unwrap();
        life.disturbed_until = life.disturbed_until.max(Some(until));
    }

    fn play(&mut self, planned: &Planned) {
        let number = planned.node;
        self.oracle.faults.begins(planned, Instant::now());
        match planned.fault {
            Fault::Kill { back_after } => self.kill(number, Duration::from_millis(back_after)),
            Fault::Terminate { again, crowd } => {
                self.terminate(number, again.map(Duration::from_millis), crowd)
            }
            Fault::Reload { half } => self.reload(number, half),
            Fault::Pause { millis } => self.pause(number, Duration::from_millis(millis)),
            Fault::Network { of, fault, millis } => {
                let span = Duration::from_millis(millis);
                self.disturb(number, span);
                let node = self.nodes[number].lock().unwrap();
                let proxy = if of == Neighbour::Relay { node.relay.clone() } else { node.discovery.clone() };
                drop(node);
                proxy.set(Some(fault));
                self.tasks.push(thread::spawn(move || {
                    thread::sleep(span);
                    proxy.set(None);
                }));
            }
            Fault::Crowd { asking, silent } => {
                let around = self.around[number].clone();
                let from = Instant::now();
                around.life.lock().unwrap().crowded.push(Span::closed(from, from + CROWD_LASTS));
                self.tasks.push(thread::spawn(move || {
                    let quiet = around.clone();
                    let quiet = thread::spawn(move || come_silently(&quiet, silent));
                    CrowdOfAskers::come(&around, asking).judge();
                    let _ = quiet.join();
                }));
            }
            Fault::MoveAll => self.move_all(number),
            Fault::StepClock { seconds } => {
                let _ = self.nodes[number].lock().unwrap().step_clock(seconds);
            }
            Fault::List(change) => self.change_list(change),
            Fault::Release { millis } => self.release(Duration::from_millis(millis)),
            Fault::LoseZone { zone, millis } => self.lose_zone(number, zone, Duration::from_millis(millis)),
        }
    }

    /// Has the proxies of a node join others a moment later.
    fn scatter(&mut self, number: usize) {
        let (fleet, nodes) = (self.fleet.clone(), self.nodes.len());
        self.tasks.push(thread::spawn(move || {
            thread::sleep(REDIAL_AFTER);
            let mut fleet = fleet.lock().unwrap();
            for (place, proxy) in fleet.joined(number).into_iter().enumerate() {
                fleet.leave(proxy, number);
                fleet.join(proxy, (number + 1 + place % (nodes - 1).max(1)) % nodes);
            }
        }));
    }

    /// Kills a process if it runs, and starts another later.
    fn replace(&mut self, number: usize, after: Duration) {
        let (node, fleet) = (self.nodes[number].clone(), self.fleet.clone());
        let (oracle, over) = (self.oracle.clone(), self.over.clone());
        let life = self.around[number].life.clone();
        node.lock().unwrap().kill();
        fleet.lock().unwrap().process_ended(number);
        let epoch = life.lock().unwrap().epoch;
        self.tasks.push(thread::spawn(move || {
            thread::sleep(after);
            let mut node = node.lock().unwrap();
            let is_replaced = life.lock().unwrap().epoch != epoch;
            if over.load(Ordering::Relaxed) || is_replaced {
                return;
            }
            oracle.starts.fetch_add(1, Ordering::Relaxed);
            if let Err(cause) = node.start(&oracle) {
                oracle.broken(format!("node {number}: the soak can't start it: {cause}"));
            }
        }));
    }

    fn kill(&mut self, number: usize, back_after: Duration) {
        self.replace(number, back_after);
        self.scatter(number);
    }

    fn terminate(&mut self, number: usize, again: Option<Duration>, crowd: usize) {
        let (node, around) = (self.nodes[number].clone(), self.around[number].clone());
        let is_running = {
            let life = around.life.lock().unwrap();
            life.address.is_some() && life.terminated.is_none() && life.killed.is_none()
        };
        if !is_running {
            return;
        }
        let come = (crowd > 0).then(|| {
            around.life.lock().unwrap().begin_pause();
            node.lock().unwrap().signal(Signal::STOP);
            CrowdOfAskers::come(&around, crowd)
        });
        around.life.lock().unwrap().terminated = Some(Instant::now());
        node.lock().unwrap().signal(Signal::TERM);
        node.lock().unwrap().signal(Signal::CONT);
        around.life.lock().unwrap().end_pauses();
        if let Some(come) = come {
            self.tasks.push(thread::spawn(move || come.judge()));
        }
        self.scatter(number);
        let (fleet, oracle, over) = (self.fleet.clone(), self.oracle.clone(), self.over.clone());
        let epoch = around.life.lock().unwrap().epoch;
        self.tasks.push(thread::spawn(move || {
            let kill_after = schedule::kill_after_term();
            if let Some(again) = again {
                thread::sleep(again);
                node.lock().unwrap().signal(Signal::TERM);
            }
            thread::sleep(kill_after.saturating_sub(again.unwrap_or_default()));
            let mut node = node.lock().unwrap();
            if around.life.lock().unwrap().epoch != epoch {
                return;
            }
            node.kill();
            fleet.lock().unwrap().process_ended(number);
            if !over.load(Ordering::Relaxed) {
                oracle.starts.fetch_add(1, Ordering::Relaxed);
                if let Err(cause) = node.start(&oracle) {
                    oracle.broken(format!("node {number}: the soak can't start it: {cause}"));
                }
            }
        }));
    }

    /// Relay and discovery move to other addresses.
    fn reload(&mut self, number: usize, half: bool) {
        let upstream = &self.upstream[number];
        let moved = (FaultProxy::start(upstream[&true]), FaultProxy::start(upstream[&false]));
        let (Ok(relay), Ok(discovery)) = moved else { return };
        self.disturb(number, OLD_ADDRESS_ENDS + Duration::from_secs(4));
        let is_listening = self.around[number].life.lock().unwrap().address.is_some();
        let mut node = self.nodes[number].lock().unwrap();
        let old =
            [std::mem::replace(&mut node.relay, relay), std::mem::replace(&mut node.discovery, discovery)];
        if half {
            let _ = node.write_configuration(true);
            if is_listening {
                node.signal(Signal::HUP);
            }
            thread::sleep(Duration::from_millis(20));
        }
        let _ = node.write_configuration(false);
        // The platform sends none before a process is ready.
        if is_listening {
            node.signal(Signal::HUP);
        }
        self.tasks.push(thread::spawn(move || {
            thread::sleep(OLD_ADDRESS_ENDS);
            old.iter().for_each(FaultProxy::close);
        }));
    }

    fn pause(&mut self, number: usize, span: Duration) {
        self.disturb(number, span);
        let (node, life) = (self.nodes[number].clone(), self.around[number].life.clone());
        life.lock().unwrap().begin_pause();
        node.lock().unwrap().signal(Signal::STOP);
        self.tasks.push(thread::spawn(move || {
            thread::sleep(span);
            node.lock().unwrap().signal(Signal::CONT);
            life.lock().unwrap().end_pauses();
        }));
    }

    fn move_all(&mut self, number: usize) {
        let mut fleet = self.fleet.lock().unwrap();
        for from in (0..self.nodes.len()).filter(|from| *from != number) {
            for proxy in fleet.joined(from) {
                fleet.leave(proxy, from);
                fleet.join(proxy, number);
            }
        }
    }

    fn change_list(&mut self, change: ListChange) {
        let fleet = self.fleet.clone();
        self.tasks.push(thread::spawn(move || match change {
            ListChange::AnswerWhole => {
                fleet.lock().unwrap().answer_whole = true;
                thread::sleep(Duration::from_secs(3));
                fleet.lock().unwrap().answer_whole = false;
            }
            ListChange::Lag(millis) => {
                fleet.lock().unwrap().lag = Duration::from_millis(millis);
                thread::sleep(Duration::from_secs(3));
                fleet.lock().unwrap().lag = Duration::ZERO;
            }
            ListChange::Restart(server) => restart_server(&fleet, server),
        }));
    }

    /// Restarts all servers in place, one after the other, over and over.
    fn release(&mut self, span: Duration) {
        let (fleet, until) = (self.fleet.clone(), Instant::now() + span);
        self.tasks.push(thread::spawn(move || {
            for server in (0..SERVERS).cycle() {
                if Instant::now() + DRAIN_LASTS + GONE_LASTS >= until {
                    return;
                }
                let fleet = fleet.clone();
                thread::spawn(move || restart_server(&fleet, server));
                thread::sleep(RELEASE_EVERY);
            }
        }));
    }

    /// A zone is lost with a node; its proxies come back where nodes run by then.
    fn lose_zone(&mut self, number: usize, zone: usize, span: Duration) {
        self.replace(number, span);
        let left = self.fleet.lock().unwrap().lose_zone(zone);
        self.scatter(number);
        let (fleet, nodes) = (self.fleet.clone(), self.nodes.len());
        self.tasks.push(thread::spawn(move || {
            thread::sleep(span);
            let mut fleet = fleet.lock().unwrap();
            fleet.regain_zone(zone);
            for proxy in left {
                fleet.join(proxy, (number + 1 + usize::from(proxy) % (nodes - 1).max(1)) % nodes);
            }
        }));
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
            uncovered_longest: *self.uncovered_longest.lock().unwrap(),
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

/// A server drains, is gone, and starts again.
fn restart_server(fleet: &Mutex<Fleet>, server: usize) {
    fleet.lock().unwrap().set_phase(server, Phase::Draining);
    thread::sleep(DRAIN_LASTS);
    fleet.lock().unwrap().set_phase(server, Phase::Gone);
    thread::sleep(GONE_LASTS);
    fleet.lock().unwrap().set_phase(server, Phase::Ready);
}

/// A process's memory in KiB and its descriptors.
fn size_of(process: u32) -> Option<(u64, usize)> {
    let folder = Path::new("/proc").join(process.to_string());
    let status = fs::read_to_string(folder.join("status")).ok()?;
    let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let memory = memory.split_whitespace().next()?.parse().ok()?;
    Some((memory, fs::read_dir(folder.join("fd")).ok()?.count()))
}
