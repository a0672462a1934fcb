//! Measures one coordinator in its own process with many agents in this one: the time from decision to swapped file,
//! the cost of the full first assignment, of idle streams and of a rolling deploy, and recovery after a kill. The
//! servers exist only in the list, and proxies report only that they are up, so that the program is measured and not
//! its decisions.

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

/// The parameters of a measurement.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct MeasureSettings {
    pub agents: u32,
    pub servers: u16,
    pub seconds: u64,
    pub sync: bool,
}

/// One part of the measurement.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Part {
    pub seconds: f64,
    /// From the decision to the acknowledgement, which is sent after the swap; includes the way back.
    pub decided_to_swapped_ms: Option<(f64, f64, f64)>,
    pub swaps: u64,
    pub messages: u64,
    pub lines: f64,
    /// Texts made, their bytes, and the bytes sent from them: bytes sent over bytes made is the saving by sharing.
    pub texts: u64,
    pub bytes_made: u64,
    pub bytes_sent: u64,
    /// CPU time of the coordinator's process, in seconds of one core; and the same per second and thousand streams.
    pub cpu_seconds: f64,
    pub cpu_per_second_and_1000_streams: f64,
    /// Time until every proxy had swapped, s; `None` if that was not awaited or did not happen.
    pub all_followed_after: Option<f64>,
    pub followed_p50_ms: Option<f64>,
    pub followed_p99_ms: Option<f64>,
}

const FOLLOW_TIMEOUT: Duration = Duration::from_secs(60); // for all proxies to receive new tables
const TICKS_PER_SECOND: f64 = 100.0; // unit of process times in /proc (USER_HZ)
const AGENT_THREADS: usize = 2; // threads that run agents; the coordinator has a core of its own

#[derive(Default)]
struct Swaps {
    count: u64,
    /// Time and source of each proxy's last swap of bindings.
    binding_swaps: HashMap<String, (Nanos, String)>,
}

struct Bench {
    folder: PathBuf,
    requested: MeasureSettings,
    clock: Arc<dyn Clock>,
    swaps: Arc<Mutex<Swaps>>,
    version: u64,
    servers: Vec<u16>,
    next_server: u16,
}

fn settings(requested: MeasureSettings) -> CoordinatorSettings {
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
            proxies: requested.agents,
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
        // High enough that the program is measured and not the configured pace.
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
            started: (*server >= 20_000 + self.requested.servers).then(|| now.secs()),
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

    /// Waits until every proxy has swapped bindings after `since` from a source other than `excluded`.
    fn await_all(&self, since: Nanos, excluded: &str) -> Option<(f64, Histogram<u64>)> {
        let until = Instant::now() + FOLLOW_TIMEOUT;
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(2));
            let swaps = self.swaps.lock().ok()?;
            let fresh = swaps.binding_swaps.values().filter(|(at, source)| *at > since && source != excluded);
            if fresh.clone().count() >= self.requested.agents as usize {
                let mut spans = Histogram::<u64>::new(3).ok()?;
                for (at, _) in fresh {
                    let _ = spans.record((*at - since).0 / 1_000);
                }
                return Some((spans.max() as f64 / 1e6, spans));
            }
        }
        None
    }

    fn swap_count(&self) -> u64 {
        self.swaps.lock().map_or(0, |swaps| swaps.count)
    }
}

/// Fetches a coordinator's status and resets its recorded spans.
fn reset_status(address: SocketAddr) -> io::Result<serde_json::Value> {
    let within = Timeouts { connect: Duration::from_secs(5), read: Duration::from_secs(10) };
    fetch_json(address, "/status?spans=anew", within)
}

/// CPU time used by a process so far, in seconds of one core.
fn cpu(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = text.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace();
    let ticks: Vec<f64> = fields.skip(11).take(2).filter_map(|field| field.parse().ok()).collect();
    ticks.iter().sum::<f64>() / TICKS_PER_SECOND
}

struct Sample {
    at: Instant,
    cpu: f64,
    swaps: u64,
    status: serde_json::Value,
}

fn number_field(status: &serde_json::Value, name: &str) -> f64 {
    status.get(name).and_then(serde_json::Value::as_f64).unwrap_or(0.0)
}

impl Bench {
    fn sample(&self, address: SocketAddr, pid: u32) -> io::Result<Sample> {
        Ok(Sample {
            at: Instant::now(),
            cpu: cpu(pid),
            swaps: self.swap_count(),
            status: reset_status(address)?,
        })
    }

    fn difference(&self, from: &Sample, to: &Sample) -> Part {
        let seconds = (to.at - from.at).as_secs_f64();
        let increase = |name: &str| number_field(&to.status, name) - number_field(&from.status, name);
        let cpu_seconds = to.cpu - from.cpu;
        let spans = to.status.get("decided_to_swapped_ms");
        Part {
            seconds,
            decided_to_swapped_ms: spans.and_then(|spans| serde_json::from_value(spans.clone()).ok()),
            swaps: to.swaps - from.swaps,
            messages: increase("messages") as u64,
            lines: increase("lines"),
            texts: increase("texts") as u64,
            bytes_made: increase("bytes_made") as u64,
            bytes_sent: increase("bytes_sent") as u64,
            cpu_seconds,
            cpu_per_second_and_1000_streams: cpu_seconds / seconds * 1e3 / f64::from(self.requested.agents),
            ..Part::default()
        }
    }
}

/// Runs all parts of the measurement; the result is by part.
pub fn measure(program: &Path, requested: MeasureSettings) -> io::Result<BTreeMap<String, Part>> {
    let folder = tempfile::tempdir()?;
    let clock: Arc<dyn Clock> = Arc::new(SteadyClock::new());
    let mut bench = Bench {
        folder: folder.path().to_owned(),
        requested,
        clock: clock.clone(),
        swaps: Arc::default(),
        version: 0,
        servers: (20_000..20_000 + requested.servers).collect(),
        next_server: 20_000 + requested.servers,
    };
    fs::write(folder.path().join("program"), program.to_string_lossy().as_bytes())?;
    write_settings(&folder.path().join("coordinator.json"), &settings(requested))?;
    bench.write_roster()?;
    let (process, address, _) = bench.start()?;
    // The port is fixed so that the process restarted after the kill uses the same one.
    let mut fixed = settings(requested);
    fixed.listen = address;
    write_settings(&folder.path().join("coordinator.json"), &fixed)?;

    let stop = Arc::new(AtomicBool::new(false));
    let mut parts = BTreeMap::new();
    let result = thread::scope(|scope| {
        let begin = bench.clock.now();
        let first = bench.sample(address, process.id())?;
        for thread_index in 0..AGENT_THREADS {
            let (clock, swaps, stop) = (clock.clone(), bench.swaps.clone(), stop.clone());
            let folder = folder.path().to_owned();
            scope.spawn(move || run_agents(requested, thread_index, address, &folder, clock, swaps, &stop));
        }
        let measured = run_parts(&mut bench, process, address, first, begin, &mut parts);
        stop.store(true, Ordering::SeqCst);
        measured
    });
    result?;
    Ok(parts)
}

/// Runs a share of the agents until `stop` is set.
fn run_agents(
    requested: MeasureSettings,
    thread_index: usize,
    address: SocketAddr,
    folder: &Path,
    clock: Arc<dyn Clock>,
    swaps: Arc<Mutex<Swaps>>,
    stop: &AtomicBool,
) {
    let agents = (0..requested.agents as usize).filter(|agent| agent % AGENT_THREADS == thread_index);
    let node = |agent: usize| NodeSettings {
        id: format!("proxy-{agent}"),
        zone: if agent % 4 < 2 { "north" } else { "south" }.to_owned(),
        usual_rate: 5.0,
        folder: PathBuf::from(format!("p{agent}")),
    };
    let settings = AgentSettings {
        nodes: agents.map(node).collect(),
        coordinators: vec![CoordinatorAddress::Plain(address)],
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        ready_file: None,
        redial_least: Span::millis(200),
        redial_most: Span::millis(1_000),
        silent_after: Span::millis(5_000),
        sync: requested.sync,
        seed: Some(thread_index as u64),
    };
    let Ok(mut shell) = craneknot_agent::shell::Shell::new(settings, folder, clock.clone()) else { return };
    shell.on_swap(Box::new(move |name, kind, version| {
        let Ok(mut swaps) = swaps.lock() else { return };
        swaps.count += 1;
        if kind == Kind::Clusters {
            let source = version.rsplit_once('/').map_or("", |(source, _)| source).to_owned();
            swaps.binding_swaps.insert(name.to_owned(), (clock.now(), source));
        }
    }));
    while !stop.load(Ordering::SeqCst) {
        if shell.run_once(Some(Duration::from_millis(50))).is_err() {
            return;
        }
    }
}

fn run_parts(
    bench: &mut Bench,
    process: Process,
    address: SocketAddr,
    first: Sample,
    begin: Nanos,
    parts: &mut BTreeMap<String, Part>,
) -> io::Result<()> {
    let span = Duration::from_secs(bench.requested.seconds);
    let followed = |mut part: Part, all: Option<(f64, Histogram<u64>)>| {
        if let Some((after, spans)) = all {
            part.all_followed_after = Some(after);
            part.followed_p50_ms = Some(spans.value_at_quantile(0.5) as f64 / 1e3);
            part.followed_p99_ms = Some(spans.value_at_quantile(0.99) as f64 / 1e3);
        }
        part
    };
    let all = bench.await_all(begin, "");
    let assigned = bench.sample(address, process.id())?;
    parts.insert("1 first deal".to_owned(), followed(bench.difference(&first, &assigned), all));
    // By design, bindings still move for about ten seconds after the joins.
    thread::sleep(Duration::from_secs(12));
    let settled = bench.sample(address, process.id())?;
    thread::sleep(span);
    let idle = bench.sample(address, process.id())?;
    parts.insert("2 at rest".to_owned(), bench.difference(&settled, &idle));
    let until = Instant::now() + span;
    while Instant::now() < until {
        // A rolling deploy: one server is replaced by another twice a second.
        bench.servers.remove(0);
        bench.servers.push(bench.next_server);
        bench.next_server += 1;
        bench.write_roster()?;
        thread::sleep(Duration::from_millis(500));
    }
    let deployed = bench.sample(address, process.id())?;
    parts.insert("3 rolling deploy".to_owned(), bench.difference(&idle, &deployed));
    let source = deployed.status.get("source").and_then(|source| source.as_str()).unwrap_or("").to_owned();
    process.kill();
    let killed = bench.clock.now();
    let (process, address, _) = bench.start()?;
    let begun =
        Sample { at: Instant::now(), cpu: 0.0, swaps: bench.swap_count(), status: serde_json::Value::Null };
    let all = bench.await_all(killed, &source);
    let recovered = bench.sample(address, process.id())?;
    parts.insert("4 recovery after a kill".to_owned(), followed(bench.difference(&begun, &recovered), all));
    process.terminate();
    Ok(())
}
