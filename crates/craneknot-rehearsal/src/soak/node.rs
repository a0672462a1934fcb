//! One node of the soak: its configuration, process, signals, log, and the history of its processes.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};

use super::fault_proxy::FaultProxy;
use super::fleet::{Fleet, CLASSES, ONLY_ZONE, ONLY_ZONE_CLASS, ZONES};
use super::invariants::InvariantChecker;
use super::spans::{close_open_spans, latest_end, Span};

/// How long a proxy may have no line, and how long it may keep one to a draining server: limits in the settings.
pub const NO_LINE_LIMIT: Duration = Duration::from_millis(2_800);
pub const DRAIN_GRACE: Duration = Duration::from_millis(2_700);
/// How long after its start a server is warm, by the settings.
pub const WARM_AFTER: Duration = Duration::from_millis(18_000);

/// The history of a process that has been replaced by another.
#[derive(Clone, Debug, Default)]
pub struct EndedProcess {
    pub terminated: Option<Instant>,
    /// When it was killed; `None`: it exited by itself.
    pub killed: Option<Instant>,
    pub pauses: Vec<Span>,
    pub bursts: Vec<Span>,
}

/// What clients and the checker need to know of the processes of a node; it outlives each of them.
#[derive(Clone, Debug, Default)]
pub struct ProcessHistory {
    /// The number of the present process, counted from 1.
    pub epoch: u64,
    /// The address on which it listens, once it does.
    pub address: Option<SocketAddr>,
    /// When it was started, sent SIGTERM, and killed.
    pub started: Option<Instant>,
    pub terminated: Option<Instant>,
    pub killed: Option<Instant>,
    /// The times in which it was stopped.
    pub pauses: Vec<Span>,
    /// The times in which a burst of connections may have filled its backlog.
    pub bursts: Vec<Span>,
    /// Whether it has answered since its start.
    pub ready: bool,
    /// When it first answered.
    pub ready_at: Option<Instant>,
    /// The previous processes of this node, by their numbers.
    pub previous: BTreeMap<u64, EndedProcess>,
    /// The longest time that a proxy was uncovered, as logged by the processes of this node, in milliseconds.
    pub longest_uncovered_ms: u64,
    /// The times in which faults affected this node, across all its processes.
    pub fault_spans: Vec<Span>,
}

impl ProcessHistory {
    /// Records that the process is stopped from now on.
    pub fn begin_pause(&mut self) {
        self.pauses.push(Span::open(Instant::now()));
    }

    /// Records that the process continues.
    pub fn end_open_pauses(&mut self) {
        close_open_spans(&mut self.pauses, Instant::now());
    }

    /// Whether the process is stopped now.
    pub fn is_paused(&self) -> bool {
        self.pauses.iter().any(|span| span.until.is_none())
    }

    /// When the last pause ended; now, if one has not ended.
    pub fn last_pause_end(&self) -> Option<Instant> {
        latest_end(&self.pauses, Instant::now())
    }
}

/// The files of a soak, and how its processes are started.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    pub program: PathBuf,
    pub folder: PathBuf,
    /// A library that is preloaded and fails system calls by the rules below.
    pub fault_library: Option<PathBuf>,
    pub fault_rules: String,
    pub sockets: usize,
    pub proxies: u16,
    pub nodes: usize,
}

/// The settings in a node's configuration.
pub fn settings(nodes: usize, proxies: u16) -> Value {
    let profile = |name: &str| match name {
        ONLY_ZONE_CLASS => {
            json!({"name": name, "aim": 1.5, "deadline": 4.0, "worth": 3.0, "semantics": "single_shot",
                   "only-zones": [ZONES[ONLY_ZONE]]})
        }
        _ => json!({"name": name, "aim": 1.2, "deadline": 3.0, "worth": 2.0, "semantics": "free"}),
    };
    json!({
        "localities": ZONES, "kinds": ["m2"], "balancers": nodes, "registry-mode": "on_request",
        "reporting": {"how": "answers", "names": ["busy", "rif", "lat_ms"]},
        "profiles": CLASSES.map(profile),
        "caps": {"probing": false},
        "rules": {"ask-within": 10.0, "cold-share": 0.18, "fall": 3.0, "fall-multiple": 3.0,
                  "ramp-time": WARM_AFTER.as_secs_f64(), "stop-sending-within": DRAIN_GRACE.as_secs_f64()},
        "extra": {"data-plane-size": proxies, "bare": NO_LINE_LIMIT.as_secs_f64(), "admission": "rps",
                  "egress-per-s": 14800.0, "queue-cap": 29600.0, "envelope": 3.0, "update-cap": 0,
                  "reload-span": 10.0, "interval": 0.5, "slices": 0, "home-only": [false, false]}
    })
}

/// A node across all of its processes.
pub struct Node {
    pub number: usize,
    pub history: Arc<Mutex<ProcessHistory>>,
    pub relay: FaultProxy,
    pub discovery: FaultProxy,
    fleet: Arc<Mutex<Fleet>>,
    options: NodeOptions,
    child: Option<Child>,
}

impl Node {
    /// A node that has not been started.
    pub fn new(
        number: usize,
        options: NodeOptions,
        fleet: Arc<Mutex<Fleet>>,
        relay: FaultProxy,
        discovery: FaultProxy,
    ) -> Self {
        Node { number, history: Arc::default(), relay, discovery, fleet, options, child: None }
    }

    fn config_file(&self) -> PathBuf {
        self.options.folder.join(format!("node-{}.json", self.number))
    }

    fn offset_file(&self) -> PathBuf {
        self.options.folder.join(format!("node-{}.clock", self.number))
    }

    fn configuration(&self) -> String {
        let known = self.fleet.lock().unwrap().last_list_sent(self.number);
        let known: Value = serde_json::from_str(&known).unwrap_or_default();
        json!({
            "name": format!("n{}", self.number), "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            "discovery": self.discovery.address().to_string(),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": self.options.sockets},
            "distributor": {"address": self.relay.address().to_string()},
            "known": known,
            "settings": settings(self.options.nodes, self.options.proxies)
        })
        .to_string()
    }

    /// Writes the configuration, or only its first half.
    pub fn write_configuration(&self, half: bool) -> io::Result<()> {
        let text = self.configuration();
        let length = if half { text.len() / 2 } else { text.len() };
        fs::write(self.config_file(), &text[..length])
    }

    /// Steps the process's wall clock.
    pub fn step_clock(&self, seconds: i64) -> io::Result<()> {
        fs::write(self.offset_file(), seconds.to_string())
    }

    /// Starts a process; its address is read from its log.
    pub fn start(&mut self, checker: &Arc<InvariantChecker>) -> io::Result<()> {
        self.write_configuration(false)?;
        let mut command = Command::new(&self.options.program);
        command.args(["--log", "json", "node"]).arg(self.config_file());
        command.stdout(Stdio::null()).stderr(Stdio::piped()).stdin(Stdio::null());
        if let Some(library) = &self.options.fault_library {
            command.env("LD_PRELOAD", library).env("CRANEKNOT_FAULTS", &self.options.fault_rules);
            command.env("CRANEKNOT_FAULT_SEED", self.number.to_string());
            command.env("CRANEKNOT_WALL_OFFSET_FILE", self.offset_file());
        }
        let mut child = command.spawn()?;
        let epoch = {
            let mut history = self.history.lock().unwrap();
            let now = Instant::now();
            let mut ended = std::mem::take(&mut *history);
            let mut previous = std::mem::take(&mut ended.previous);
            // Network faults continue when the process is replaced.
            let ProcessHistory {
                terminated,
                killed,
                pauses,
                bursts,
                longest_uncovered_ms,
                mut fault_spans,
                ..
            } = ended;
            fault_spans.push(Span::closed(now, now));
            previous.insert(ended.epoch, EndedProcess { terminated, killed, pauses, bursts });
            let epoch = ended.epoch + 1;
            *history = ProcessHistory {
                epoch,
                started: Some(now),
                fault_spans,
                previous,
                longest_uncovered_ms,
                ..ProcessHistory::default()
            };
            history.epoch
        };
        let log = self.options.folder.join(format!("node-{}-{epoch}.log", self.number));
        if let Some(stderr) = child.stderr.take() {
            let (history, checker, number) = (self.history.clone(), checker.clone(), self.number);
            thread::spawn(move || read_log(BufReader::new(stderr), &log, &history, epoch, number, &checker));
        }
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, if there is one.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // A process that has exited since is reported elsewhere.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// The process id.
    pub fn process(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// The exit status of the process, if it has exited by itself.
    pub fn exit_status(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Kills the process; returns whether it was still running.
    pub fn kill(&mut self) -> bool {
        let Some(mut child) = self.child.take() else { return false };
        let was_running = matches!(child.try_wait(), Ok(None));
        if was_running {
            let mut history = self.history.lock().unwrap();
            history.killed = Some(Instant::now());
            history.end_open_pauses();
        }
        let _ = child.kill();
        let _ = child.wait();
        was_running
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Saves the log of a process, and looks in it for the address, panics, counted violations and coverage.
fn read_log(
    log: impl BufRead,
    path: &Path,
    history: &Mutex<ProcessHistory>,
    epoch: u64,
    number: usize,
    checker: &InvariantChecker,
) {
    let mut text = String::new();
    for line in log.lines().map_while(Result::ok) {
        let event: serde_json::Value = serde_json::from_str(&line).unwrap_or_default();
        let field = |name: &str| event.pointer(&format!("/fields/{name}")).and_then(|value| value.as_str());
        if let Some(address) = field("address").and_then(|text| text.parse().ok()) {
            let mut history = history.lock().unwrap();
            if history.epoch == epoch {
                history.address = Some(address);
            }
        }
        if line.contains("panicked") {
            checker.report_violation(format!("node {number}: {line}"));
        }
        for counter in ["closed_unanswered", "orders_forbidden", "orders_overtaken"] {
            let at = line.find(counter).map(|at| at + counter.len() + 2);
            let count = at.and_then(|at| line[at..].split([',', ' ']).next()?.parse::<u64>().ok());
            if count.is_some_and(|count| count > 0) {
                checker.report_counted_violation(number, epoch, counter);
            }
        }
        if let Some(longest) =
            event.pointer("/fields/uncovered_longest_ms").and_then(serde_json::Value::as_u64)
        {
            let mut history = history.lock().unwrap();
            history.longest_uncovered_ms = history.longest_uncovered_ms.max(longest);
        }
        text.push_str(&line);
        text.push('\n');
    }
    let _ = fs::write(path, text);
}
