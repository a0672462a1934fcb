//! One coordinator as a process of its own, many agents in this one: from decision to swapped file, the cost of a
//! full first deal, of standing streams and of a rolling deploy, and recovery after a kill. The servers are names
//! only, and proxies report nothing but that they stand: what is measured is the program, not the decisions.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use craneknot::interface::Nanos;
use craneknot_coordinator::roster::{Entry, Roster, ServerState};
use craneknot_coordinator::status_client::{fetch_json, Timeouts};
use craneknot_reactor::{Clock, SteadyClock};
use craneknot_settings::{
    AgentSettings, ChannelSettings, ClassSettings, CoordinatorAddress, CoordinatorSettings, FleetSettings,
    LevelUnit, NodeSettings, ProbeSettings, Repeats, RosterSettings, RuleSettings, Span, StreamSettings,
};
use craneknot_store::{replace, RealDisk};
use craneknot_xds::discovery::Kind;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::runner::{await_ready, write_settings, Process};

/// What is to be measured.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Asked {
    pub agents: u32,
    pub servers: u16,
    pub seconds: u64,
    pub sync: bool,
}

/// One part of the measurement.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Part {
    pub seconds: f64,
    /// From decision to the accepted answer, which is written after the swap; the way back is in it.
    pub decided_to_swapped_ms: Option<(f64, f64, f64)>,
    pub swaps: u64,
    pub messages: u64,
    pub lines: f64,
    /// Texts made, their bytes, and the bytes sent of them: the last over the one before is what sharing saves.
    pub texts: u64,
    pub bytes_made: u64,
    pub bytes_sent: u64,
    /// Of the coordinator's process, in seconds of one core, and for a thousand streams a second of time.
    pub cpu_seconds: f64,
    pub cpu_per_second_and_1000_streams: f64,
    /// Until every proxy had followed, s; nothing where that was not waited for or never came.
    pub all_followed_after: Option<f64>,
    pub followed_p50_ms: Option<f64>,
    pub followed_p99_ms: Option<f64>,
}

const FOLLOW_WITHIN: Duration = Duration::from_secs(60); // for all proxies to have new tables
const TICKS: f64 = 100.0; // a second, in which the system counts a process's time (USER_HZ)
const THREADS: usize = 2; // that carry agents; the coordinator has a core of its own

#[derive(Default)]
struct Swaps {
    count: u64,
    /// When a proxy last swapped its bindings, and by whose order.
    bound: HashMap<String, (Nanos, String)>,
}

struct Bench {
    folder: PathBuf,
    asked: Asked,
    clock: Arc<dyn Clock>,
    swaps: Arc<Mutex<Swaps>>,
    version: u64,
    servers: Vec<u16>,
    next_server: u16,
}

fn settings(asked: Asked) -> CoordinatorSettings {
    let class = |name: &str, repeats, only_zones: &[&str]| ClassSettings {
        name: name.to_owned(),
        latency_goal: Span::millis(1_000),
        hard_stop: Span::millis(3_000),
        importance: 1.0,
        repeats,
        only_zones: only_zones.iter().map(|zone| (*zone).to_owned()).collect(),
        only_kinds: Vec::new(),
        home_only: false,
    };
    CoordinatorSettings {
        name: "measured".to_owned(),
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        ready_file: Some(PathBuf::from("coordinator.ready.json")),
        seed: Some(1),
        fleet: FleetSettings {
            zones: vec!["north".to_owned(), "south".to_owned()],
            kinds: vec!["one".to_owned()],
            classes: vec![
                class("read", Repeats::Safe, &[]),
                class("log", Repeats::Guarded, &[]),
                class("issue", Repeats::Never, &["north"]),
            ],
            coordinators: 1,
            proxies: asked.agents,
            levels: LevelUnit::Rate,
            lb_policy: "RANDOM".to_owned(),
        },
        rules: RuleSettings {
            drain_grace: Span::millis(2_500),
            cold_share: 0.2,
            warm_after: Span::millis(15_000),
            fall_multiple: 3.0,
            fall_window: Span::millis(3_000),
            bare_limit: Span::millis(2_500),
        },
        // Wide enough that the program is measured, not the pace that is asked of it.
        channel: ChannelSettings {
            lines_per_second: 2e6,
            lines_limit: 4e6,
            lines_per_message: 3.0,
            message_limit: 0,
            message_span: Span::millis(10_000),
        },
        roster: RosterSettings { file: PathBuf::from("servers.json"), remembered: None },
        report_period: Span::millis(1_000),
        probes: ProbeSettings { enabled: false, path: "/healthz".to_owned(), time_out: Span::millis(500) },
        streams: StreamSettings::default(),
        shared: None,
        ledger: None,
        solver: None,
    }
}

impl Bench {
    fn write_roster(&mut self) -> io::Result<()> {
        self.version += 1;
        let now = self.clock.now();
        let entry = |server: &u16| Entry {
            address: format!("127.0.0.1:{server}"),
            zone: if server.is_multiple_of(2) { "north" } else { "south" }.to_owned(),
            kind: "one".to_owned(),
            cell: i64::from(server / 4),
            weight: Some(1.0),
            started: (*server >= 20_000 + self.asked.servers).then(|| now.secs()),
            state: ServerState::Up,
        };
        let roster = Roster { version: self.version, servers: self.servers.iter().map(entry).collect() };
        let text = serde_json::to_vec(&roster).map_err(io::Error::other)?;
        replace(&RealDisk { sync: false }, &self.folder.join("servers.json"), &text)
    }

    fn start(&self) -> io::Result<(Process, SocketAddr, PathBuf)> {
        let file = self.folder.join("coordinator.json");
        let ready = self.folder.join("coordinator.ready.json");
        let _ = fs::remove_file(&ready);
        let program = fs::read_to_string(self.folder.join("program"))?;
        let process = Process::start(Path::new(&program), "run", &file)?;
        let address = await_ready(&ready)?;
        Ok((process, address, ready))
    }

    /// Waits until every proxy has swapped bindings later than `since`, by another source than `not`.
    fn await_all(&self, since: Nanos, not: &str) -> Option<(f64, Histogram<u64>)> {
        let until = Instant::now() + FOLLOW_WITHIN;
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(2));
            let swaps = self.swaps.lock().ok()?;
            let fresh = swaps.bound.values().filter(|(at, source)| *at > since && source != not);
            if fresh.clone().count() >= self.asked.agents as usize {
                let mut spans = Histogram::<u64>::new(3).ok()?;
                for (at, _) in fresh {
                    let _ = spans.record((*at - since).0 / 1_000);
                }
                return Some((spans.max() as f64 / 1e6, spans));
            }
        }
        None
    }

    fn swapped(&self) -> u64 {
        self.swaps.lock().map_or(0, |swaps| swaps.count)
    }
}

/// Asks a coordinator for its status; the spans it keeps begin anew.
fn status(address: SocketAddr) -> io::Result<serde_json::Value> {
    let within = Timeouts { connect: Duration::from_secs(5), read: Duration::from_secs(10) };
    fetch_json(address, "/status?spans=anew", within)
}

/// CPU of a process so far, in seconds of one core.
fn cpu(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = text.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace();
    let ticks: Vec<f64> = fields.skip(11).take(2).filter_map(|field| field.parse().ok()).collect();
    ticks.iter().sum::<f64>() / TICKS
}

struct Mark {
    at: Instant,
    cpu: f64,
    swaps: u64,
    status: serde_json::Value,
}

fn figure(status: &serde_json::Value, name: &str) -> f64 {
    status.get(name).and_then(serde_json::Value::as_f64).unwrap_or(0.0)
}

impl Bench {
    fn mark(&self, address: SocketAddr, pid: u32) -> io::Result<Mark> {
        Ok(Mark { at: Instant::now(), cpu: cpu(pid), swaps: self.swapped(), status: status(address)? })
    }

    fn part(&self, from: &Mark, to: &Mark) -> Part {
        let seconds = (to.at - from.at).as_secs_f64();
        let gained = |name: &str| figure(&to.status, name) - figure(&from.status, name);
        let cpu_seconds = to.cpu - from.cpu;
        let spans = to.status.get("decided_to_swapped_ms");
        Part {
            seconds,
            decided_to_swapped_ms: spans.and_then(|spans| serde_json::from_value(spans.clone()).ok()),
            swaps: to.swaps - from.swaps,
            messages: gained("messages") as u64,
            lines: gained("lines"),
            texts: gained("texts") as u64,
            bytes_made: gained("bytes_made") as u64,
            bytes_sent: gained("bytes_sent") as u64,
            cpu_seconds,
            cpu_per_second_and_1000_streams: cpu_seconds / seconds * 1e3 / f64::from(self.asked.agents),
            ..Part::default()
        }
    }
}

/// Measures, part by part.
pub fn measure(program: &Path, asked: Asked) -> io::Result<BTreeMap<String, Part>> {
    let folder = tempfile::tempdir()?;
    let clock: Arc<dyn Clock> = Arc::new(SteadyClock::new());
    let mut bench = Bench {
        folder: folder.path().to_owned(),
        asked,
        clock: clock.clone(),
        swaps: Arc::default(),
        version: 0,
        servers: (20_000..20_000 + asked.servers).collect(),
        next_server: 20_000 + asked.servers,
    };
    fs::write(folder.path().join("program"), program.to_string_lossy().as_bytes())?;
    write_settings(&folder.path().join("coordinator.json"), &settings(asked))?;
    bench.write_roster()?;
    let (process, address, _) = bench.start()?;
    // The port is kept for the life after the kill.
    let mut fixed = settings(asked);
    fixed.listen = address;
    write_settings(&folder.path().join("coordinator.json"), &fixed)?;

    let stop = Arc::new(AtomicBool::new(false));
    let mut parts = BTreeMap::new();
    let result = thread::scope(|scope| {
        let begin = bench.clock.now();
        let first = bench.mark(address, process.id())?;
        for place in 0..THREADS {
            let (clock, swaps, stop) = (clock.clone(), bench.swaps.clone(), stop.clone());
            let folder = folder.path().to_owned();
            scope.spawn(move || carry(asked, place, address, &folder, clock, swaps, &stop));
        }
        let measured = play(&mut bench, process, address, first, begin, &mut parts);
        stop.store(true, Ordering::SeqCst);
        measured
    });
    result?;
    Ok(parts)
}

/// Carries a part of the agents until told to stop.
fn carry(
    asked: Asked,
    place: usize,
    address: SocketAddr,
    folder: &Path,
    clock: Arc<dyn Clock>,
    swaps: Arc<Mutex<Swaps>>,
    stop: &AtomicBool,
) {
    let mine = (0..asked.agents as usize).filter(|agent| agent % THREADS == place);
    let node = |agent: usize| NodeSettings {
        id: format!("proxy-{agent}"),
        zone: if agent % 4 < 2 { "north" } else { "south" }.to_owned(),
        usual_rate: 5.0,
        folder: PathBuf::from(format!("p{agent}")),
    };
    let settings = AgentSettings {
        nodes: mine.map(node).collect(),
        coordinators: vec![CoordinatorAddress::Plain(address)],
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        ready_file: None,
        redial_least: Span::millis(200),
        redial_most: Span::millis(1_000),
        silent_after: Span::millis(5_000),
        sync: asked.sync,
        seed: Some(place as u64),
    };
    let Ok(mut shell) = craneknot_agent::shell::Shell::new(settings, folder, clock.clone()) else { return };
    shell.on_swap(Box::new(move |name, kind, version| {
        let Ok(mut swaps) = swaps.lock() else { return };
        swaps.count += 1;
        if kind == Kind::Clusters {
            let source = version.rsplit_once('/').map_or("", |(source, _)| source).to_owned();
            swaps.bound.insert(name.to_owned(), (clock.now(), source));
        }
    }));
    while !stop.load(Ordering::SeqCst) {
        if shell.run_once(Some(Duration::from_millis(50))).is_err() {
            return;
        }
    }
}

fn play(
    bench: &mut Bench,
    process: Process,
    address: SocketAddr,
    first: Mark,
    begin: Nanos,
    parts: &mut BTreeMap<String, Part>,
) -> io::Result<()> {
    let span = Duration::from_secs(bench.asked.seconds);
    let followed = |mut part: Part, all: Option<(f64, Histogram<u64>)>| {
        if let Some((after, spans)) = all {
            part.all_followed_after = Some(after);
            part.followed_p50_ms = Some(spans.value_at_quantile(0.5) as f64 / 1e3);
            part.followed_p99_ms = Some(spans.value_at_quantile(0.99) as f64 / 1e3);
        }
        part
    };
    let all = bench.await_all(begin, "");
    let dealt = bench.mark(address, process.id())?;
    parts.insert("1 first deal".to_owned(), followed(bench.part(&first, &dealt), all));
    // The design's steps after the joins move bindings for some ten seconds more.
    thread::sleep(Duration::from_secs(12));
    let settled = bench.mark(address, process.id())?;
    thread::sleep(span);
    let rested = bench.mark(address, process.id())?;
    parts.insert("2 at rest".to_owned(), bench.part(&settled, &rested));
    let until = Instant::now() + span;
    while Instant::now() < until {
        // A rolling deploy: a server leaves, another one comes, twice a second.
        bench.servers.remove(0);
        bench.servers.push(bench.next_server);
        bench.next_server += 1;
        bench.write_roster()?;
        thread::sleep(Duration::from_millis(500));
    }
    let deployed = bench.mark(address, process.id())?;
    parts.insert("3 rolling deploy".to_owned(), bench.part(&rested, &deployed));
    let source = deployed.status.get("source").and_then(|source| source.as_str()).unwrap_or("").to_owned();
    process.kill();
    let killed = bench.clock.now();
    let (process, address, _) = bench.start()?;
    let begun =
        Mark { at: Instant::now(), cpu: 0.0, swaps: bench.swapped(), status: serde_json::Value::Null };
    let all = bench.await_all(killed, &source);
    let recovered = bench.mark(address, process.id())?;
    parts.insert("4 recovery after a kill".to_owned(), followed(bench.part(&begun, &recovered), all));
    process.terminate();
    Ok(())
}
