//! Raises a whole fleet on this machine, plays the plan, and has the record judged.

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

use crate::auditor::{self, ClassTerms, ServerTerms, Terms};
use crate::plan::{Cuts, FleetAct, Plan, Shows, Struck};
use crate::proxies::{self, agent_ready, proxy_folder, proxy_name, ready_address};
use crate::record::{merge, Log, Record, What};
use crate::recording::Recording;
use crate::relay::Relays;
use crate::report::Report;
use crate::script::{Plant, Script};
use crate::servers;

const ROSTER: &str = "servers.json";
const DISK: RealDisk = RealDisk { sync: false };
const READY_WITHIN: Duration = Duration::from_secs(20); // until a process must listen
pub const FIRST_TABLES: Nanos = Nanos::from_millis(1_500); // ms; from the agents' start to the first operation
pub const SETTLE: Nanos = Nanos::from_millis(2_500); // ms; after the last operation, for what is under way
const PROXIES_MOST: usize = 200; // a rehearsal raises an agent's process for each
pub const REDIAL: (Nanos, Nanos) = (Nanos::from_millis(150), Nanos::from_millis(1_500)); // ms; an agent's shortest and longest wait
pub const SILENT: Nanos = Nanos::from_millis(2_000); // ms; an agent whose report has no answer for so long dials anew
pub const STATUS_EVERY: Nanos = Nanos::from_millis(200); // ms; between two looks at a coordinator's queue

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// A process of the program under rehearsal; it is killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the program, its log in a file of its own beside the settings.
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

    /// Killed as by the system, without a word.
    pub fn kill(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asked to end, and killed if it does not.
    pub fn end(mut self) -> bool {
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

/// Waits until a process has written where it listens.
pub fn await_ready(path: &Path) -> io::Result<SocketAddr> {
    let until = Instant::now() + READY_WITHIN;
    loop {
        if let Some(address) = ready_address(path) {
            return Ok(address);
        }
        if Instant::now() >= until {
            return Err(io::Error::new(io::ErrorKind::TimedOut, format!("{} never came", path.display())));
        }
        thread::sleep(Duration::from_millis(5));
    }
}

enum Due {
    Act(usize),
    Status,
    /// Bytes that took their time arrive.
    Deliver,
    /// Look whether a coordinator that was started listens.
    Ready(usize),
    End,
}

struct Stage<'a> {
    script: &'a Script,
    programs: Programs<'a>,
    folder: &'a Path,
    /// Coordinators and agents that run from the next version.
    upgraded: (BTreeSet<usize>, BTreeSet<usize>),
    plan: Plan,
    reactor: Reactor<Due>,
    relays: Relays,
    log: Log,
    servers: Vec<SocketAddr>,
    shows: Vec<Shows>,
    version: u64,
    roster_out: bool,
    coordinators: BTreeMap<usize, Process>,
    agents: BTreeMap<usize, Process>,
    addresses: BTreeMap<usize, SocketAddr>,
    asking: HashMap<ConnId, (usize, ResponseReader)>,
    status: BTreeMap<usize, serde_json::Value>,
    begin: Nanos,
    mail: Mail,
    struck: Struck,
}

/// Sockets between coordinators: what one sends to another goes through one of them, and may get lost there.
#[derive(Default)]
struct Mail {
    sockets: Vec<UdpSocket>,
    /// From whom and to whom.
    ways: Vec<(usize, usize)>,
    /// Where each coordinator's datagrams come in, as far as it runs.
    places: BTreeMap<usize, SocketAddr>,
    cuts: Cuts,
}

impl Mail {
    /// Passes on what has come on a way.
    fn pass(&self, way: usize) {
        let (from, to) = self.ways[way];
        let lost = self.cuts.lose(from, to);
        let mut buffer = vec![0; 64 * 1024];
        while let Ok((length, _)) = self.sockets[way].recv_from(&mut buffer) {
            if let Some(place) = self.places.get(&to).filter(|_| !lost) {
                let _ = self.sockets[way].send_to(&buffer[..length], place);
            }
        }
    }
}

pub fn coordinator_name(coordinator: usize) -> String {
    format!("coordinator-{coordinator}")
}

/// The coordinator of that name.
pub fn coordinator_named(name: &str) -> Option<usize> {
    name.strip_prefix("coordinator-")?.parse().ok()
}

/// What a coordinator of a shared fleet is told of it: where each one's datagrams go, and where its own come in.
pub fn shared_settings(
    of: usize,
    places: &[SocketAddr],
    datagrams: SocketAddr,
    lease: Span,
) -> SharedSettings {
    let member = |(coordinator, place): (usize, &SocketAddr)| MemberSettings {
        name: coordinator_name(coordinator),
        datagrams: *place,
    };
    SharedSettings {
        members: places.iter().enumerate().map(member).collect(),
        datagrams,
        store: PathBuf::from(format!("{}.store", coordinator_name(of))),
        lease,
        drift: 0.01,
    }
}

/// Settings of a coordinator of the script.
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

/// Writes settings as a user would.
pub fn write_settings(path: &Path, settings: &impl serde::Serialize) -> io::Result<()> {
    fs::write(path, serde_json::to_string_pretty(settings).map_err(io::Error::other)?)
}

/// What the auditor is told of the fleet.
pub fn terms(script: &Script, plan: &Plan) -> Terms {
    let class = |class: &craneknot_settings::ClassSettings| {
        let fits = |place: &usize| {
            let group = &plan.servers[*place].group;
            class.allows(&group.zone, &group.kind)
        };
        ClassTerms {
            name: class.name.clone(),
            importance: class.importance,
            repeats: class.repeats.into(),
            allowed: (0..plan.servers.len()).filter(fits).collect(),
        }
    };
    let zone_of = |name: &String| script.zones.iter().position(|zone| zone == name).unwrap_or(usize::MAX);
    let server = |server: &crate::plan::ServerPlan| ServerTerms {
        capacity: f64::from(server.group.cores) * server.group.speed,
        cell: server.cell,
        zone: zone_of(&server.group.zone),
    };
    Terms {
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

/// The program under rehearsal, and its next version, which a rolling upgrade brings.
#[derive(Clone, Copy)]
pub struct Programs<'a> {
    pub first: &'a Path,
    pub next: &'a Path,
}

impl<'a> Programs<'a> {
    /// No other version than this.
    pub fn one(program: &'a Path) -> Self {
        Programs { first: program, next: program }
    }

    fn of(self, upgraded: bool) -> &'a Path {
        if upgraded {
            self.next
        } else {
            self.first
        }
    }
}

/// Where things are kept: what was written, which is else removed; what was seen, as a recording.
#[derive(Clone, Copy, Default)]
pub struct Kept<'a> {
    pub folder: Option<&'a Path>,
    pub recording: Option<&'a Path>,
}

/// Plays a script.
pub fn rehearse(script: &Script, programs: Programs, kept: Kept) -> io::Result<Report> {
    let Kept { folder, recording } = kept;
    let temporary = tempfile::tempdir()?;
    let keep = folder.is_some();
    let folder = match folder {
        Some(folder) => {
            fs::create_dir_all(folder)?;
            folder.canonicalize()?
        }
        None => temporary.path().to_owned(),
    };
    if script.proxy_count() > PROXIES_MOST {
        let cause = format!(
            "{} proxies on one machine; {PROXIES_MOST} at most, more in the model",
            script.proxy_count()
        );
        return Err(io::Error::new(io::ErrorKind::InvalidInput, cause));
    }
    let clock: Arc<dyn Clock> = Arc::new(SteadyClock::new());
    let plan = Plan::draw(script);
    let terms = terms(script, &plan);
    let server_host = servers::Host::new(script, &plan, clock.clone())?;
    let addresses = server_host.addresses();
    let proxy_host = proxies::Host::new(script, &plan, addresses.clone(), &folder, clock.clone())?;
    let mut stage = Stage::raise(script, programs, &folder, plan, addresses, clock.clone())?;
    let begin = clock.now() + FIRST_TABLES;
    let stop = begin + script.length.0;
    let end = stop + SETTLE;
    info!(script = script.name, seed = script.seed, folder = %folder.display(), "the fleet stands");
    let (logs, status) = thread::scope(|scope| {
        let servers = scope.spawn(move || server_host.run(begin, end));
        let folder = &folder;
        let proxies = scope.spawn(move || proxy_host.run(folder, begin, stop, end));
        let played = stage.play(begin, end);
        let lost = |_| io::Error::other("a stand-in's thread failed");
        let servers = servers.join().map_err(lost)??;
        let proxies = proxies.join().map_err(lost)??;
        played?;
        let (log, status) = stage.finish();
        Ok::<_, io::Error>((vec![log, servers, proxies], status))
    })?;
    let records = merge(logs);
    if keep {
        write_record(&folder.join("record.txt"), begin, &records)?;
    }
    let judgement = auditor::judge(&terms, &records);
    let report = Report::new(script, script.length.0.secs(), judgement, status);
    if let Some(path) = recording {
        Recording::of("sockets", script, begin, &records, &report).write(path)?;
    }
    Ok(report)
}

/// The record as text, a line each, with seconds since the first operation.
fn write_record(path: &Path, begin: Nanos, records: &[Record]) -> io::Result<()> {
    let mut file = io::BufWriter::new(fs::File::create(path)?);
    for Record { at, what } in records {
        writeln!(file, "{:9.4} {what:?}", at.secs() - begin.secs())?;
    }
    file.flush()
}

impl<'a> Stage<'a> {
    /// Starts the coordinators, and the agents with relays in between.
    fn raise(
        script: &'a Script,
        programs: Programs<'a>,
        folder: &'a Path,
        plan: Plan,
        servers: Vec<SocketAddr>,
        clock: Arc<dyn Clock>,
    ) -> io::Result<Self> {
        let reactor = Reactor::new(clock, Limits::default())?;
        let shows = plan.servers.iter().map(|s| if s.from_start { Shows::Up(None) } else { Shows::Nothing });
        let mut stage = Stage {
            script,
            programs,
            upgraded: Default::default(),
            folder,
            shows: shows.collect(),
            plan,
            reactor,
            relays: Relays::new(script.delays, script.seed ^ 0xde1a),
            log: Log::default(),
            servers,
            version: 0,
            roster_out: false,
            coordinators: BTreeMap::new(),
            agents: BTreeMap::new(),
            addresses: BTreeMap::new(),
            asking: HashMap::new(),
            status: BTreeMap::new(),
            begin: Nanos(0),
            mail: Mail::default(),
            struck: Struck::default(),
        };
        stage.write_roster()?;
        for coordinator in 0..script.coordinators as usize {
            let mut settings = coordinator_settings(script, coordinator);
            if let Some(shared) = &script.shared {
                settings.shared = Some(stage.members(coordinator, shared.lease)?);
            }
            write_settings(&stage.coordinator_file(coordinator), &settings)?;
            stage.start_coordinator(coordinator)?;
        }
        for coordinator in 0..script.coordinators as usize {
            let address = await_ready(&stage.coordinator_file(coordinator).with_extension("ready.json"))?;
            stage.coordinator_listens(coordinator, address);
        }
        for proxy in 0..stage.plan.proxy_zones.len() {
            stage.write_agent(proxy)?;
            stage.start_agent(proxy)?;
        }
        Ok(stage)
    }

    fn coordinator_file(&self, coordinator: usize) -> PathBuf {
        self.folder.join(format!("coordinator-{coordinator}.json"))
    }

    fn agent_file(&self, proxy: usize) -> PathBuf {
        self.folder.join(format!("agent-{proxy}.json"))
    }

    fn start_coordinator(&mut self, coordinator: usize) -> io::Result<()> {
        let file = self.coordinator_file(coordinator);
        let _ = fs::remove_file(file.with_extension("ready.json"));
        let program = self.programs.of(self.upgraded.0.contains(&coordinator));
        self.coordinators.insert(coordinator, Process::start(program, "run", &file)?);
        self.log.add(self.reactor.now(), What::Coordinator { coordinator, up: true });
        Ok(())
    }

    fn coordinator_listens(&mut self, coordinator: usize, address: SocketAddr) {
        self.addresses.insert(coordinator, address);
        self.relays.set(coordinator, Some(address));
        let ready =
            fs::read(self.coordinator_file(coordinator).with_extension("ready.json")).unwrap_or_default();
        let ready: serde_json::Value = serde_json::from_slice(&ready).unwrap_or_default();
        let place = ready.get("datagrams").and_then(|place| place.as_str()?.parse().ok());
        if let Some(place) = place {
            self.mail.places.insert(coordinator, place);
        }
    }

    /// The members of a shared fleet as one of them is told: every other one behind a socket of ours.
    fn members(&mut self, of: usize, lease: Span) -> io::Result<SharedSettings> {
        let mut places = Vec::new();
        for to in 0..self.script.coordinators as usize {
            let socket = UdpSocket::bind(loopback())?;
            socket.set_nonblocking(true)?;
            places.push(socket.local_addr()?);
            self.reactor.watch(&socket, self.mail.sockets.len())?;
            self.mail.sockets.push(socket);
            self.mail.ways.push((of, to));
        }
        Ok(shared_settings(of, &places, loopback(), lease))
    }

    /// The coordinator that says that it leads, in the latest term; the first that runs where none does.
    fn leader(&self) -> Option<usize> {
        let term = |(coordinator, status): (&usize, &serde_json::Value)| {
            let shared = status.get("shared")?;
            let leads =
                shared.get("role")?.as_str()? == "leader" && self.coordinators.contains_key(coordinator);
            leads.then_some((shared.get("term")?.as_u64()?, *coordinator))
        };
        let led = self.status.iter().filter_map(term).max().map(|(_, coordinator)| coordinator);
        led.or(self.coordinators.keys().next().copied())
    }

    fn kill_coordinator(&mut self, coordinator: usize) {
        if let Some(process) = self.coordinators.remove(&coordinator) {
            process.kill();
            self.relays.set(coordinator, None);
            self.addresses.remove(&coordinator);
            self.mail.places.remove(&coordinator);
            self.log.add(self.reactor.now(), What::Coordinator { coordinator, up: false });
        }
    }

    fn raise_coordinator(&mut self, coordinator: usize) -> io::Result<()> {
        if !self.coordinators.contains_key(&coordinator) {
            self.start_coordinator(coordinator)?;
            self.look_for(coordinator);
        }
        Ok(())
    }

    fn stall_coordinator(&mut self, coordinator: usize, on: bool) {
        if let Some(process) = self.coordinators.get(&coordinator) {
            process.signal(if on { Signal::STOP } else { Signal::CONT });
            self.log.add(self.reactor.now(), What::Stalled { coordinator, on });
        }
    }

    /// The coordinators of an agent: those of its own zone first, else dealt in turn.
    fn write_agent(&mut self, proxy: usize) -> io::Result<()> {
        let zone = self.plan.proxy_zones[proxy].clone();
        let count = self.script.coordinators as usize;
        let mut order: Vec<usize> = (0..count).map(|k| (k + proxy) % count).collect();
        order.sort_by_key(|coordinator| self.plan.coordinator_zones[*coordinator] != zone);
        let relays = order.into_iter().map(|c| {
            let address = self.relays.add(&mut self.reactor, proxy, c)?;
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
            redial_least: Span(REDIAL.0),
            redial_most: Span(REDIAL.1),
            silent_after: Span(SILENT),
            sync: true,
            seed: Some(self.script.seed.wrapping_add(1_000 + proxy as u64)),
        };
        write_settings(&self.agent_file(proxy), &settings)
    }

    fn start_agent(&mut self, proxy: usize) -> io::Result<()> {
        let program = self.programs.of(self.upgraded.1.contains(&proxy));
        self.agents.insert(proxy, Process::start(program, "agent", &self.agent_file(proxy))?);
        Ok(())
    }

    fn write_roster(&mut self) -> io::Result<()> {
        self.version += 1;
        let address = |server: usize| self.servers[server];
        let (roster, listed) = self.plan.roster(self.version, self.begin, &self.shows, &address);
        if !self.roster_out {
            let text = serde_json::to_vec(&roster).map_err(io::Error::other)?;
            self.log.add(self.reactor.now(), What::Rostered { servers: listed });
            replace(&DISK, &self.folder.join(ROSTER), &text)?;
        }
        Ok(())
    }

    /// Plays the plan from `begin` to `end`.
    fn play(&mut self, begin: Nanos, end: Nanos) -> io::Result<()> {
        self.begin = begin;
        for place in 0..self.plan.fleet_acts.len() {
            self.reactor.set_timer(begin + self.plan.fleet_acts[place].0, Due::Act(place));
        }
        self.reactor.set_timer(self.reactor.now(), Due::Status);
        self.reactor.set_timer(end, Due::End);
        loop {
            self.reactor.poll(None)?;
            while let Some(happened) = self.reactor.next_event() {
                match happened {
                    ReactorEvent::Accepted { listener, conn, .. } => {
                        self.relays.accept(&mut self.reactor, listener, conn);
                    }
                    ReactorEvent::Received { conn } if self.relays.has(conn) => {
                        if let Some(at) = self.relays.came(&mut self.reactor, &mut self.log, conn) {
                            self.reactor.set_timer(at, Due::Deliver);
                        }
                    }
                    ReactorEvent::Received { conn } => self.read_status(conn),
                    ReactorEvent::Closed { conn, .. } => {
                        self.asking.remove(&conn);
                        self.relays.closed(&mut self.reactor, &mut self.log, conn);
                    }
                    ReactorEvent::Timer(Due::End) => return Ok(()),
                    ReactorEvent::Timer(Due::Status) => self.ask_status(),
                    ReactorEvent::Timer(Due::Deliver) => {
                        self.relays.deliver(&mut self.reactor, &mut self.log)
                    }
                    ReactorEvent::Timer(Due::Act(place)) => {
                        self.act(self.plan.fleet_acts[place].1.clone())?
                    }
                    ReactorEvent::Timer(Due::Ready(coordinator)) => self.look_for(coordinator),
                    ReactorEvent::Ready(way) => self.mail.pass(way),
                    ReactorEvent::Connected { .. }
                    | ReactorEvent::Flushed { .. }
                    | ReactorEvent::Signal(_) => {}
                }
            }
        }
    }

    fn look_for(&mut self, coordinator: usize) {
        let file = self.coordinator_file(coordinator).with_extension("ready.json");
        match ready_address(&file).filter(|_| self.coordinators.contains_key(&coordinator)) {
            Some(address) => self.coordinator_listens(coordinator, address),
            None => {
                let at = self.reactor.now() + Nanos::from_millis(5);
                self.reactor.set_timer(at, Due::Ready(coordinator));
            }
        }
    }

    fn act(&mut self, act: FleetAct) -> io::Result<()> {
        let now = self.reactor.now();
        match act {
            FleetAct::List { server, shows } => {
                self.shows[server] = shows;
                self.write_roster()?;
            }
            FleetAct::RosterOut(true) => {
                self.roster_out = true;
                let path = self.folder.join(ROSTER);
                fs::rename(&path, path.with_extension("away"))?;
                self.log.add(now, What::RosterGone);
            }
            FleetAct::RosterOut(false) => {
                self.roster_out = false;
                self.write_roster()?;
            }
            FleetAct::BreakStreams(proxies) => {
                self.relays.break_streams(&mut self.reactor, &mut self.log, &proxies);
            }
            FleetAct::Unreach { proxies, coordinators, on } => {
                self.relays.unreach(&mut self.reactor, &mut self.log, &proxies, &coordinators, on);
            }
            FleetAct::KillCoordinator(coordinator) => self.kill_coordinator(coordinator),
            FleetAct::StartCoordinator(coordinator) => self.raise_coordinator(coordinator)?,
            FleetAct::StallCoordinator(coordinator, on) => self.stall_coordinator(coordinator, on),
            FleetAct::UpgradeCoordinator(coordinator) => {
                self.upgraded.0.insert(coordinator);
                self.kill_coordinator(coordinator);
                self.raise_coordinator(coordinator)?;
            }
            FleetAct::UpgradeAgent(proxy) => {
                self.upgraded.1.insert(proxy);
                if let Some(process) = self.agents.remove(&proxy) {
                    process.kill();
                }
                self.start_agent(proxy)?;
            }
            FleetAct::Leader { slot, strike } => {
                if let Some(act) = self.struck.resolve(slot, strike, self.leader()) {
                    self.act(act)?;
                }
            }
            FleetAct::Cut { coordinator, sends, gets } => self.mail.cuts.set(coordinator, sends, gets),
            FleetAct::KillAgent(proxy) => {
                if let Some(process) = self.agents.remove(&proxy) {
                    process.kill();
                }
            }
            FleetAct::StartAgent(proxy) => self.start_agent(proxy)?,
        }
        Ok(())
    }

    fn ask_status(&mut self) {
        let now = self.reactor.now();
        self.reactor.set_timer(now + STATUS_EVERY, Due::Status);
        let under_way: BTreeSet<usize> = self.asking.values().map(|(coordinator, _)| *coordinator).collect();
        for (coordinator, address) in self.addresses.clone() {
            if under_way.contains(&coordinator) {
                continue;
            }
            let Ok(conn) = self.reactor.connect(address) else { continue };
            let close = [(http::header::CONNECTION, "close")];
            let _ = self.reactor.send(conn, [request(&Method::GET, "/status", "coordinator", &close, b"")]);
            let reader = ResponseReader::new(HttpLimits { body: 1024 * 1024, ..HttpLimits::default() });
            self.asking.insert(conn, (coordinator, reader));
        }
    }

    fn read_status(&mut self, conn: ConnId) {
        let now = self.reactor.now();
        let (Some((coordinator, reader)), Some(input)) =
            (self.asking.get_mut(&conn), self.reactor.input(conn))
        else {
            return;
        };
        let coordinator = *coordinator;
        match reader.next(input, false, now) {
            Ok(None) => return,
            Ok(Some(answer)) => match serde_json::from_slice::<serde_json::Value>(answer.body()) {
                Ok(status) => {
                    let figure =
                        |name: &str| status.get(name).and_then(|value| value.as_f64()).unwrap_or(0.0);
                    let (lines, most) = (figure("channel_lines"), figure("channel_most"));
                    self.log.add(now, What::Queue { coordinator, lines, most });
                    self.status.insert(coordinator, status);
                }
                Err(cause) => warn!(coordinator, %cause, "its status cannot be read"),
            },
            Err(wrong) => warn!(coordinator, %wrong, "its status cannot be read"),
        }
        self.asking.remove(&conn);
        self.reactor.close(conn);
    }

    /// Ends all processes, and gives the record and the last status of each coordinator.
    fn finish(&mut self) -> (Log, Vec<serde_json::Value>) {
        for (_, process) in std::mem::take(&mut self.agents) {
            process.end();
        }
        for (coordinator, process) in std::mem::take(&mut self.coordinators) {
            if !process.end() {
                warn!(coordinator, "did not end when asked");
            }
        }
        (std::mem::take(&mut self.log), self.status.values().cloned().collect())
    }
}
