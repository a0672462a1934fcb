//! Runs a rehearsal: starts a whole fleet on this machine, executes the plan, and has the record audited.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use craneknot::interface::Nanos;
use craneknot_http::{request, Limits as HttpLimits, ResponseReader};
use craneknot_reactor::{Clock, ConnId, Limits, Reactor, ReactorEvent, SteadyClock};
use craneknot_settings::{
    AgentSettings, CoordinatorAddress, CoordinatorSettings, MemberSettings, NodeSettings, ProbeSettings,
    RosterSettings, SharedSettings, Span, StreamSettings,
};
use craneknot_store::{replace, RealDisk};
use http::Method;
use rustix::process::{kill_process, Pid, Signal};
use tracing::{info, warn};

use crate::auditor::{self, AuditSettings, AuditedClass, AuditedServer};
use crate::plan::{FleetAct, LeaderStrikes, ListedState, NetworkCuts, Plan};
use crate::proxies::{self, agent_ready, proxy_folder, proxy_name, ready_address};
use crate::record::{merge, Log, Record, What};
use crate::recording::Recording;
use crate::relay::Relays;
use crate::report::Report;
use crate::script::{Plant, Script};
use crate::servers;

const ROSTER: &str = "servers.json";
const DISK: RealDisk = RealDisk { sync: false };
const READY_TIMEOUT: Duration = Duration::from_secs(20); // for a process to start listening
pub const START_DELAY: Nanos = Nanos::from_millis(1_500); // from the start of the agents to the first operation
pub const DRAIN_TIME: Nanos = Nanos::from_millis(2_500); // after the last operation, for operations in flight
const MAX_PROXIES: usize = 200; // a rehearsal starts an agent process for each
pub const RECONNECT_DELAY: (Nanos, Nanos) = (Nanos::from_millis(150), Nanos::from_millis(1_500)); // an agent's shortest and longest delay
pub const SILENCE_TIMEOUT: Nanos = Nanos::from_millis(2_000); // an agent whose report stays unanswered for so long reconnects
pub const STATUS_INTERVAL: Nanos = Nanos::from_millis(200); // between two status requests to a coordinator

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// A process of the program under rehearsal; it is killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the program, with its log in a file beside its settings.
    pub fn start(program: &Path, sub_command: &str, settings: &Path) -> io::Result<Self> {
        let log = fs::OpenOptions::new().create(true).append(true).open(settings.with_extension("log"))?;
        let mut command = Command::new(program);
        command.arg("--level").arg(std::env::var("CRANEKNOT_REHEARSAL_LEVEL").unwrap_or("info".to_owned()));
        command.arg(sub_command).arg(settings).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        Ok(Process { child: command.spawn()? })
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL, without a graceful shutdown.
    pub fn kill(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to end with SIGTERM and kills it if it hasn't ended after 3 s; returns whether it succeeded.
    pub fn terminate(mut self) -> bool {
        self.signal(Signal::TERM);
        let until = Instant::now() + Duration::from_secs(3);
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.kill();
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Ok(None) = self.child.try_wait() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

/// Waits until a process has written its listening address.
pub fn await_ready(path: &Path) -> io::Result<SocketAddr> {
    let until = Instant::now() + READY_TIMEOUT;
    loop {
        if let Some(address) = ready_address(path) {
            return Ok(address);
        }
        if Instant::now() >= until {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                format!("ready file {} was not written in time", path.display()),
            ));
        }
        thread::sleep(Duration::from_millis(5));
    }
}

enum TimerEvent {
    Act(usize),
    Status,
    /// Delayed bytes are due at the relays.
    Deliver,
    /// Check whether a coordinator that was started is listening.
    Ready(usize),
    End,
}

/// The processes of a rehearsal, and the state of the plan's execution.
struct FleetRunner<'a> {
    script: &'a Script,
    programs: Programs<'a>,
    folder: &'a Path,
    /// Coordinators and agents that run the next version.
    upgraded: (BTreeSet<usize>, BTreeSet<usize>),
    plan: Plan,
    reactor: Reactor<TimerEvent>,
    relays: Relays,
    log: Log,
    servers: Vec<SocketAddr>,
    listed_states: Vec<ListedState>,
    version: u64,
    roster_unavailable: bool,
    coordinators: BTreeMap<usize, Process>,
    agents: BTreeMap<usize, Process>,
    addresses: BTreeMap<usize, SocketAddr>,
    status_requests: HashMap<ConnId, (usize, ResponseReader)>,
    status: BTreeMap<usize, serde_json::Value>,
    begin: Nanos,
    datagram_relay: DatagramRelay,
    leader_strikes: LeaderStrikes,
}

/// Sockets between coordinators: a datagram from one to another passes through one of them, and may be dropped there.
#[derive(Default)]
struct DatagramRelay {
    sockets: Vec<UdpSocket>,
    /// Sender and receiver of each socket.
    routes: Vec<(usize, usize)>,
    /// The datagram address of each running coordinator.
    addresses: BTreeMap<usize, SocketAddr>,
    cuts: NetworkCuts,
}

impl DatagramRelay {
    /// Forwards the datagrams received on a route.
    fn forward(&self, route: usize) {
        let (from, to) = self.routes[route];
        let dropped = self.cuts.drops(from, to);
        let mut buffer = vec![0; 64 * 1024];
        while let Ok((length, _)) = self.sockets[route].recv_from(&mut buffer) {
            if let Some(address) = self.addresses.get(&to).filter(|_| !dropped) {
                let _ = self.sockets[route].send_to(&buffer[..length], address);
            }
        }
    }
}

pub fn coordinator_name(coordinator: usize) -> String {
    format!("coordinator-{coordinator}")
}

/// The number of the coordinator of that name.
pub fn parse_coordinator_name(name: &str) -> Option<usize> {
    name.strip_prefix("coordinator-")?.parse().ok()
}

/// The settings of a shared fleet for one coordinator: the datagram addresses of all members, and its own.
pub fn shared_settings(
    of: usize,
    places: &[SocketAddr],
    datagrams: SocketAddr,
    lease: Span,
) -> SharedSettings {
    let member = |(coordinator, address): (usize, &SocketAddr)| MemberSettings {
        name: coordinator_name(coordinator),
        datagrams: *address,
    };
    SharedSettings {
        members: places.iter().enumerate().map(member).collect(),
        datagrams,
        store: PathBuf::from(format!("{}.store", coordinator_name(of))),
        lease,
        drift: 0.01,
    }
}

/// The settings of a coordinator of the script.
pub fn coordinator_settings(script: &Script, coordinator: usize) -> CoordinatorSettings {
    let mut channel = script.channel.clone();
    if script.plants.contains(&Plant::LongQueue) {
        channel.lines_limit *= 1_000.0;
        channel.lines_per_second /= 100.0;
    }
    CoordinatorSettings {
        name: coordinator_name(coordinator),
        listen: loopback(),
        ready_file: Some(PathBuf::from(format!("coordinator-{coordinator}.ready.json"))),
        seed: Some(script.seed.wrapping_add(coordinator as u64)),
        fleet: script.fleet(),
        rules: script.rules.clone(),
        channel,
        roster: RosterSettings {
            file: PathBuf::from(ROSTER),
            remembered: Some(PathBuf::from(format!("coordinator-{coordinator}.servers.json"))),
        },
        report_period: script.report_period,
        probes: ProbeSettings { enabled: true, path: "/healthz".to_owned(), time_out: script.probe_time_out },
        streams: StreamSettings::default(),
        shared: None,
        ledger: None,
        solver: script.solver.clone(),
    }
}

/// Writes settings to a JSON file, as a user would.
pub fn write_settings(path: &Path, settings: &impl serde::Serialize) -> io::Result<()> {
    fs::write(path, serde_json::to_string_pretty(settings).map_err(io::Error::other)?)
}

/// What the auditor needs to know of the fleet.
pub fn audit_settings(script: &Script, plan: &Plan) -> AuditSettings {
    let class = |class: &craneknot_settings::ClassSettings| {
        let fits = |server: &usize| {
            let group = &plan.servers[*server].group;
            class.allows(&group.zone, &group.kind)
        };
        AuditedClass {
            name: class.name.clone(),
            importance: class.importance,
            repeats: class.repeats.into(),
            allowed: (0..plan.servers.len()).filter(fits).collect(),
        }
    };
    let zone_of = |name: &String| script.zones.iter().position(|zone| zone == name).unwrap_or(usize::MAX);
    let server = |server: &crate::plan::ServerPlan| AuditedServer {
        capacity: f64::from(server.group.cores) * server.group.speed,
        cell: server.cell,
        zone: zone_of(&server.group.zone),
    };
    AuditSettings {
        bare_limit: script.rules.bare_limit.0,
        drain_grace: script.rules.drain_grace.0,
        cold_share: script.rules.cold_share,
        warm_after: script.rules.warm_after.0,
        fall_multiple: script.rules.fall_multiple,
        fall_window: script.rules.fall_window.0,
        lines_limit: script.channel.lines_limit,
        classes: script.classes.iter().map(class).collect(),
        servers: plan.servers.iter().map(server).collect(),
        proxies: plan.proxy_zones.iter().map(zone_of).collect(),
        settle: script.capacity.map(|rule| rule.settle.0),
    }
}

/// The program under rehearsal, and the next version that a rolling upgrade installs.
#[derive(Clone, Copy)]
pub struct Programs<'a> {
    pub first: &'a Path,
    pub next: &'a Path,
}

impl<'a> Programs<'a> {
    /// The same version before and after an upgrade.
    pub fn single(program: &'a Path) -> Self {
        Programs { first: program, next: program }
    }

    fn select(self, upgraded: bool) -> &'a Path {
        if upgraded {
            self.next
        } else {
            self.first
        }
    }
}

/// Where the outputs of a rehearsal are kept: the folder of its files, which are otherwise removed, and the path of
/// the recording.
#[derive(Clone, Copy, Default)]
pub struct Outputs<'a> {
    pub folder: Option<&'a Path>,
    pub recording: Option<&'a Path>,
}

/// Runs a script and returns the report.
pub fn rehearse(script: &Script, programs: Programs, kept: Outputs) -> io::Result<Report> {
    let Outputs { folder, recording } = kept;
    let temporary = tempfile::tempdir()?;
    let keep_files = folder.is_some();
    let folder = match folder {
        Some(folder) => {
            fs::create_dir_all(folder)?;
            folder.canonicalize()?
        }
        None => temporary.path().to_owned(),
    };
    if script.proxy_count() > MAX_PROXIES {
        let cause = format!(
            "{} proxies; at most {MAX_PROXIES} on one machine; use the model for more",
            script.proxy_count()
        );
        return Err(io::Error::new(io::ErrorKind::InvalidInput, cause));
    }
    let clock: Arc<dyn Clock> = Arc::new(SteadyClock::new());
    let plan = Plan::draw(script);
    let audit_settings = audit_settings(script, &plan);
    let server_host = servers::Host::new(script, &plan, clock.clone())?;
    let addresses = server_host.addresses();
    let proxy_host = proxies::Host::new(script, &plan, addresses.clone(), &folder, clock.clone())?;
    let mut fleet = FleetRunner::start(script, programs, &folder, plan, addresses, clock.clone())?;
    let begin = clock.now() + START_DELAY;
    let stop = begin + script.length.0;
    let end = stop + DRAIN_TIME;
    info!(script = script.name, seed = script.seed, folder = %folder.display(), "fleet started");
    let (logs, status) = thread::scope(|scope| {
        let servers = scope.spawn(move || server_host.run(begin, end));
        let folder = &folder;
        let proxies = scope.spawn(move || proxy_host.run(folder, begin, stop, end));
        let played = fleet.play(begin, end);
        let lost = |_| io::Error::other("a thread of the simulated servers or proxies panicked");
        let servers = servers.join().map_err(lost)??;
        let proxies = proxies.join().map_err(lost)??;
        played?;
        let (log, status) = fleet.finish();
        Ok::<_, io::Error>((vec![log, servers, proxies], status))
    })?;
    let records = merge(logs);
    if keep_files {
        write_record(&folder.join("record.txt"), begin, &records)?;
    }
    let judgement = auditor::judge(&audit_settings, &records);
    let report = Report::new(script, script.length.0.secs(), judgement, status);
    if let Some(path) = recording {
        Recording::from_records("sockets", script, begin, &records, &report).write(path)?;
    }
    Ok(report)
}

/// Writes the record as text, one line per entry, with seconds since the first operation.
fn write_record(path: &Path, begin: Nanos, records: &[Record]) -> io::Result<()> {
    let mut file = io::BufWriter::new(fs::File::create(path)?);
    for Record { at, what } in records {
        writeln!(file, "{:9.4} {what:?}", at.secs() - begin.secs())?;
    }
    file.flush()
}

impl<'a> FleetRunner<'a> {
    /// Starts the coordinators, and the agents with relays between them.
    fn start(
        script: &'a Script,
        programs: Programs<'a>,
        folder: &'a Path,
        plan: Plan,
        servers: Vec<SocketAddr>,
        clock: Arc<dyn Clock>,
    ) -> io::Result<Self> {
        let reactor = Reactor::new(clock, Limits::default())?;
        let listed_states =
            plan.servers
                .iter()
                .map(|s| if s.from_start { ListedState::Up(None) } else { ListedState::Unlisted });
        let mut fleet = FleetRunner {
            script,
            programs,
            upgraded: Default::default(),
            folder,
            listed_states: listed_states.collect(),
            plan,
            reactor,
            relays: Relays::new(script.delays, script.seed ^ 0xde1a),
            log: Log::default(),
            servers,
            version: 0,
            roster_unavailable: false,
            coordinators: BTreeMap::new(),
            agents: BTreeMap::new(),
            addresses: BTreeMap::new(),
            status_requests: HashMap::new(),
            status: BTreeMap::new(),
            begin: Nanos(0),
            datagram_relay: DatagramRelay::default(),
            leader_strikes: LeaderStrikes::default(),
        };
        fleet.write_roster()?;
        for coordinator in 0..script.coordinators as usize {
            let mut settings = coordinator_settings(script, coordinator);
            if let Some(shared) = &script.shared {
                settings.shared = Some(fleet.shared_settings(coordinator, shared.lease)?);
            }
            write_settings(&fleet.coordinator_settings_path(coordinator), &settings)?;
            fleet.start_coordinator(coordinator)?;
        }
        for coordinator in 0..script.coordinators as usize {
            let address =
                await_ready(&fleet.coordinator_settings_path(coordinator).with_extension("ready.json"))?;
            fleet.coordinator_ready(coordinator, address);
        }
        for proxy in 0..fleet.plan.proxy_zones.len() {
            fleet.write_agent_settings(proxy)?;
            fleet.start_agent(proxy)?;
        }
        Ok(fleet)
    }

    fn coordinator_settings_path(&self, coordinator: usize) -> PathBuf {
        self.folder.join(format!("coordinator-{coordinator}.json"))
    }

    fn agent_settings_path(&self, proxy: usize) -> PathBuf {
        self.folder.join(format!("agent-{proxy}.json"))
    }

    fn start_coordinator(&mut self, coordinator: usize) -> io::Result<()> {
        let file = self.coordinator_settings_path(coordinator);
        let _ = fs::remove_file(file.with_extension("ready.json"));
        let program = self.programs.select(self.upgraded.0.contains(&coordinator));
        self.coordinators.insert(coordinator, Process::start(program, "run", &file)?);
        self.log.add(self.reactor.now(), What::Coordinator { coordinator, up: true });
        Ok(())
    }

    fn coordinator_ready(&mut self, coordinator: usize, address: SocketAddr) {
        self.addresses.insert(coordinator, address);
        self.relays.set_coordinator(coordinator, Some(address));
        let ready = fs::read(self.coordinator_settings_path(coordinator).with_extension("ready.json"))
            .unwrap_or_default();
        let ready: serde_json::Value = serde_json::from_slice(&ready).unwrap_or_default();
        let datagram_address = ready.get("datagrams").and_then(|text| text.as_str()?.parse().ok());
        if let Some(datagram_address) = datagram_address {
            self.datagram_relay.addresses.insert(coordinator, datagram_address);
        }
    }

    /// The settings of a shared fleet for one member: every member is reached through a socket of this process.
    fn shared_settings(&mut self, of: usize, lease: Span) -> io::Result<SharedSettings> {
        let mut places = Vec::new();
        for to in 0..self.script.coordinators as usize {
            let socket = UdpSocket::bind(loopback())?;
            socket.set_nonblocking(true)?;
            places.push(socket.local_addr()?);
            self.reactor.watch(&socket, self.datagram_relay.sockets.len())?;
            self.datagram_relay.sockets.push(socket);
            self.datagram_relay.routes.push((of, to));
        }
        Ok(shared_settings(of, &places, loopback(), lease))
    }

    /// The coordinator that reports itself as leader in the latest term, or else the first running one.
    fn leader(&self) -> Option<usize> {
        let term = |(coordinator, status): (&usize, &serde_json::Value)| {
            let shared = status.get("shared")?;
            let leads =
                shared.get("role")?.as_str()? == "leader" && self.coordinators.contains_key(coordinator);
            leads.then_some((shared.get("term")?.as_u64()?, *coordinator))
        };
        let leading = self.status.iter().filter_map(term).max().map(|(_, coordinator)| coordinator);
        leading.or(self.coordinators.keys().next().copied())
    }

    fn kill_coordinator(&mut self, coordinator: usize) {
        if let Some(process) = self.coordinators.remove(&coordinator) {
            process.kill();
            self.relays.set_coordinator(coordinator, None);
            self.addresses.remove(&coordinator);
            self.datagram_relay.addresses.remove(&coordinator);
            self.log.add(self.reactor.now(), What::Coordinator { coordinator, up: false });
        }
    }

    fn ensure_coordinator(&mut self, coordinator: usize) -> io::Result<()> {
        if !self.coordinators.contains_key(&coordinator) {
            self.start_coordinator(coordinator)?;
            self.check_ready(coordinator);
        }
        Ok(())
    }

    fn stall_coordinator(&mut self, coordinator: usize, on: bool) {
        if let Some(process) = self.coordinators.get(&coordinator) {
            process.signal(if on { Signal::STOP } else { Signal::CONT });
            self.log.add(self.reactor.now(), What::Stalled { coordinator, on });
        }
    }

    /// Writes the settings of an agent; its coordinators are those of its own zone first, otherwise in rotation.
    fn write_agent_settings(&mut self, proxy: usize) -> io::Result<()> {
        let zone = self.plan.proxy_zones[proxy].clone();
        let count = self.script.coordinators as usize;
        let mut order: Vec<usize> = (0..count).map(|k| (k + proxy) % count).collect();
        order.sort_by_key(|coordinator| self.plan.coordinator_zones[*coordinator] != zone);
        let relays = order.into_iter().map(|c| {
            let address = self.relays.listen_for(&mut self.reactor, proxy, c)?;
            Ok(CoordinatorAddress::Named { name: coordinator_name(c), address })
        });
        let settings = AgentSettings {
            nodes: vec![NodeSettings {
                id: proxy_name(proxy),
                zone,
                usual_rate: self.script.clients.rate / self.plan.proxy_zones.len() as f64,
                folder: proxy_folder(self.folder, proxy),
            }],
            coordinators: relays.collect::<io::Result<_>>()?,
            listen: loopback(),
            ready_file: Some(agent_ready(self.folder, proxy)),
            redial_least: Span(RECONNECT_DELAY.0),
            redial_most: Span(RECONNECT_DELAY.1),
            silent_after: Span(SILENCE_TIMEOUT),
            sync: true,
            seed: Some(self.script.seed.wrapping_add(1_000 + proxy as u64)),
        };
        write_settings(&self.agent_settings_path(proxy), &settings)
    }

    fn start_agent(&mut self, proxy: usize) -> io::Result<()> {
        let program = self.programs.select(self.upgraded.1.contains(&proxy));
        self.agents.insert(proxy, Process::start(program, "agent", &self.agent_settings_path(proxy))?);
        Ok(())
    }

    fn write_roster(&mut self) -> io::Result<()> {
        self.version += 1;
        let address = |server: usize| self.servers[server];
        let (roster, listed) = self.plan.roster(self.version, self.begin, &self.listed_states, &address);
        if !self.roster_unavailable {
            let text = serde_json::to_vec(&roster).map_err(io::Error::other)?;
            self.log.add(self.reactor.now(), What::Rostered { servers: listed });
            replace(&DISK, &self.folder.join(ROSTER), &text)?;
        }
        Ok(())
    }

    /// Executes the plan from `begin` to `end`.
    fn play(&mut self, begin: Nanos, end: Nanos) -> io::Result<()> {
        self.begin = begin;
        for index in 0..self.plan.fleet_acts.len() {
            self.reactor.set_timer(begin + self.plan.fleet_acts[index].0, TimerEvent::Act(index));
        }
        self.reactor.set_timer(self.reactor.now(), TimerEvent::Status);
        self.reactor.set_timer(end, TimerEvent::End);
        loop {
            self.reactor.poll(None)?;
            while let Some(event) = self.reactor.next_event() {
                match event {
                    ReactorEvent::Accepted { listener, conn, .. } => {
                        self.relays.accept(&mut self.reactor, listener, conn);
                    }
                    ReactorEvent::Received { conn } if self.relays.owns(conn) => {
                        if let Some(at) = self.relays.receive(&mut self.reactor, &mut self.log, conn) {
                            self.reactor.set_timer(at, TimerEvent::Deliver);
                        }
                    }
                    ReactorEvent::Received { conn } => self.read_status(conn),
                    ReactorEvent::Closed { conn, .. } => {
                        self.status_requests.remove(&conn);
                        self.relays.closed(&mut self.reactor, &mut self.log, conn);
                    }
                    ReactorEvent::Timer(TimerEvent::End) => return Ok(()),
                    ReactorEvent::Timer(TimerEvent::Status) => self.request_status(),
                    ReactorEvent::Timer(TimerEvent::Deliver) => {
                        self.relays.deliver(&mut self.reactor, &mut self.log)
                    }
                    ReactorEvent::Timer(TimerEvent::Act(index)) => {
                        self.act(self.plan.fleet_acts[index].1.clone())?
                    }
                    ReactorEvent::Timer(TimerEvent::Ready(coordinator)) => self.check_ready(coordinator),
                    ReactorEvent::Ready(route) => self.datagram_relay.forward(route),
                    ReactorEvent::Connected { .. }
                    | ReactorEvent::Flushed { .. }
                    | ReactorEvent::Signal(_) => {}
                }
            }
        }
    }

    fn check_ready(&mut self, coordinator: usize) {
        let file = self.coordinator_settings_path(coordinator).with_extension("ready.json");
        match ready_address(&file).filter(|_| self.coordinators.contains_key(&coordinator)) {
            Some(address) => self.coordinator_ready(coordinator, address),
            None => {
                let at = self.reactor.now() + Nanos::from_millis(5);
                self.reactor.set_timer(at, TimerEvent::Ready(coordinator));
            }
        }
    }

    fn act(&mut self, act: FleetAct) -> io::Result<()> {
        let now = self.reactor.now();
        match act {
            FleetAct::List { server, state } => {
                self.listed_states[server] = state;
                self.write_roster()?;
            }
            FleetAct::RosterOut(true) => {
                self.roster_unavailable = true;
                let path = self.folder.join(ROSTER);
                fs::rename(&path, path.with_extension("away"))?;
                self.log.add(now, What::RosterGone);
            }
            FleetAct::RosterOut(false) => {
                self.roster_unavailable = false;
                self.write_roster()?;
            }
            FleetAct::BreakStreams(proxies) => {
                self.relays.break_streams(&mut self.reactor, &mut self.log, &proxies);
            }
            FleetAct::Unreach { proxies, coordinators, on } => {
                self.relays.set_unreachable(&mut self.reactor, &mut self.log, &proxies, &coordinators, on);
            }
            FleetAct::KillCoordinator(coordinator) => self.kill_coordinator(coordinator),
            FleetAct::StartCoordinator(coordinator) => self.ensure_coordinator(coordinator)?,
            FleetAct::StallCoordinator(coordinator, on) => self.stall_coordinator(coordinator, on),
            FleetAct::UpgradeCoordinator(coordinator) => {
                self.upgraded.0.insert(coordinator);
                self.kill_coordinator(coordinator);
                self.ensure_coordinator(coordinator)?;
            }
            FleetAct::UpgradeAgent(proxy) => {
                self.upgraded.1.insert(proxy);
                if let Some(process) = self.agents.remove(&proxy) {
                    process.kill();
                }
                self.start_agent(proxy)?;
            }
            FleetAct::Leader { slot, strike } => {
                if let Some(act) = self.leader_strikes.resolve(slot, strike, self.leader()) {
                    self.act(act)?;
                }
            }
            FleetAct::Cut { coordinator, sends, gets } => {
                self.datagram_relay.cuts.set(coordinator, sends, gets)
            }
            FleetAct::KillAgent(proxy) => {
                if let Some(process) = self.agents.remove(&proxy) {
                    process.kill();
                }
            }
            FleetAct::StartAgent(proxy) => self.start_agent(proxy)?,
        }
        Ok(())
    }

    fn request_status(&mut self) {
        let now = self.reactor.now();
        self.reactor.set_timer(now + STATUS_INTERVAL, TimerEvent::Status);
        let pending: BTreeSet<usize> =
            self.status_requests.values().map(|(coordinator, _)| *coordinator).collect();
        for (coordinator, address) in self.addresses.clone() {
            if pending.contains(&coordinator) {
                continue;
            }
            let Ok(conn) = self.reactor.connect(address) else { continue };
            let close = [(http::header::CONNECTION, "close")];
            let _ = self.reactor.send(conn, [request(&Method::GET, "/status", "coordinator", &close, b"")]);
            let reader = ResponseReader::new(HttpLimits { body: 1024 * 1024, ..HttpLimits::default() });
            self.status_requests.insert(conn, (coordinator, reader));
        }
    }

    fn read_status(&mut self, conn: ConnId) {
        let now = self.reactor.now();
        let (Some((coordinator, reader)), Some(input)) =
            (self.status_requests.get_mut(&conn), self.reactor.input(conn))
        else {
            return;
        };
        let coordinator = *coordinator;
        match reader.next(input, false, now) {
            Ok(None) => return,
            Ok(Some(answer)) => match serde_json::from_slice::<serde_json::Value>(answer.body()) {
                Ok(status) => {
                    let number =
                        |name: &str| status.get(name).and_then(|value| value.as_f64()).unwrap_or(0.0);
                    let (lines, most) = (number("channel_lines"), number("channel_most"));
                    self.log.add(now, What::Queue { coordinator, lines, most });
                    self.status.insert(coordinator, status);
                }
                Err(cause) => warn!(coordinator, %cause, "coordinator's status could not be parsed"),
            },
            Err(wrong) => warn!(coordinator, %wrong, "coordinator's status could not be parsed"),
        }
        self.status_requests.remove(&conn);
        self.reactor.close(conn);
    }

    /// Ends all processes, and returns the record and the last status of each coordinator.
    fn finish(&mut self) -> (Log, Vec<serde_json::Value>) {
        for (_, process) in std::mem::take(&mut self.agents) {
            process.terminate();
        }
        for (coordinator, process) in std::mem::take(&mut self.coordinators) {
            if !process.terminate() {
                warn!(coordinator, "coordinator did not exit cleanly on SIGTERM");
            }
        }
        (std::mem::take(&mut self.log), self.status.values().cloned().collect())
    }
}
