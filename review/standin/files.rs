//! A fleet behind the file front: backends, a list of servers in a file, and proxies that follow the files which an
//! agent swaps. `craneknot run` and `craneknot agent` are started as separate processes.

use crate::{answer, http_head, note_pid};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HALLS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const CLASSES: [&str; 2] = ["lookup", "register"];
const SERVERS: usize = 19;
const REPLACED: usize = 18; // 95% at the most
const SPACING: f64 = 1.22; // 18 servers within 25 s, three of 19 at a time at the most
const DRAIN: f64 = 3.1; // from its draining to the end of its process
const SUCCESSOR: f64 = 0.55; // from that end to the start of the successor
const OUTAGE: f64 = 20.3; // of the list of servers
const GRACE: f64 = 1.5;
const SLACK: f64 = 0.3;

fn unix() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64()
}

struct Backend {
    address: String,
    hall: &'static str,
    started: Option<f64>,
    draining: bool,
    listed: bool,
    ended: Arc<AtomicBool>,
    /// When a list was written that shows it as draining or no more.
    told: Option<f64>,
}

#[derive(Default, Clone)]
pub struct Sums {
    ok: u64,
    failed: u64,
    seconds: f64,
}

struct State {
    start: Instant,
    backends: Vec<Backend>,
    sent: Vec<(f64, usize, usize, String, bool)>,
    /// Operations that backends received: time, address, class.
    run: Vec<(f64, String, String)>,
    record: Vec<String>,
    over: bool,
}

impl State {
    fn note(&mut self, text: String) {
        let line = format!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
        self.record.push(line);
    }
}

type Shared = Arc<Mutex<State>>;

/// Starts a backend that serves until it is ended; then its address refuses connections.
fn start_backend(shared: &Shared, hall: &'static str, started: Option<f64>) -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let ended = Arc::new(AtomicBool::new(false));
    let (stop, held, name) = (ended.clone(), shared.clone(), address.clone());
    thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let (stop, held, name) = (stop.clone(), held.clone(), name.clone());
            thread::spawn(move || {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let mut out = stream.try_clone().unwrap();
                let mut reader = BufReader::new(stream);
                while let Some((first, _)) = http_head(&mut reader) {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    if let Some(class) = first.split("/operation/").nth(1).and_then(|rest| rest.split(' ').next()) {
                        let mut state = held.lock().unwrap();
                        let now = state.start.elapsed().as_secs_f64();
                        state.run.push((now, name.clone(), class.to_owned()));
                    }
                    if !answer(&mut out, "200 OK", "done") {
                        return;
                    }
                }
            });
        }
    });
    let mut state = shared.lock().unwrap();
    state.backends.push(Backend { address, hall, started, draining: false, listed: true, ended, told: None });
    state.backends.len() - 1
}

fn write_list(state: &mut State, folder: &str, version: u64) {
    let entries: Vec<String> = state
        .backends
        .iter()
        .filter(|backend| backend.listed)
        .map(|backend| {
            let started = backend.started.map_or(String::new(), |at| format!("\"started\":{at:.3},"));
            let state = if backend.draining { "draining" } else { "up" };
            format!(
                "{{\"address\":\"{}\",\"zone\":\"{}\",\"kind\":\"three-core\",\"cell\":1,\"weight\":1.0,{started}\"state\":\"{state}\"}}",
                backend.address, backend.hall
            )
        })
        .collect();
    let text = format!("{{\"version\":{version},\"servers\":[{}]}}", entries.join(","));
    fs::write(format!("{folder}/servers.json.new"), text).unwrap();
    fs::rename(format!("{folder}/servers.json.new"), format!("{folder}/servers.json")).unwrap();
    let now = state.start.elapsed().as_secs_f64();
    for backend in state.backends.iter_mut().filter(|backend| backend.draining || !backend.listed) {
        backend.told.get_or_insert(now);
    }
}

/// The text after the first `"key":"`, up to the closing quote.
pub fn text_of<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let mark = format!("\"{key}\":\"");
    let rest = &text[text.find(&mark)? + mark.len()..];
    Some(&rest[..rest.find('"')?])
}

/// The whole number after the first `"key":`.
fn number_of(text: &str, key: &str) -> Option<f64> {
    let mark = format!("\"{key}\":");
    let rest = &text[text.find(&mark)? + mark.len()..];
    rest[..rest.find(|c: char| !c.is_ascii_digit())?].parse().ok()
}

/// What a proxy's files say of one class, as they stand together at one moment.
pub struct Rules {
    pub table: String,
    pub lines: Vec<(String, f64)>,
    /// Tokens that the class's bucket holds at most, and gets each second.
    rate: Option<(f64, f64)>,
    /// Share that is refused at once.
    refused: f64,
    /// One further try at another server where none could be connected to.
    retries: bool,
}

/// Reads the files that the agent swaps; each resource stands on a line of its own.
pub fn rules(folder: &str, class: &str) -> Rules {
    let read = |kind: &str| fs::read_to_string(format!("{folder}/{kind}.json")).unwrap_or_default();
    let (mut clusters, mut tables, mut routes) = (read("clusters"), read("endpoints"), read("routes"));
    loop {
        let again = read("clusters");
        if again == clusters {
            break;
        }
        (clusters, tables, routes) = (again, read("endpoints"), read("routes"));
    }
    let bound = clusters.lines().find(|line| line.contains(&format!("\"name\":\"{class}\"")));
    let table = bound.and_then(|line| text_of(line, "service_name")).unwrap_or_default().to_owned();
    let lines = tables.lines().find(|line| line.contains(&format!("\"cluster_name\":\"{table}\"")));
    let line = |part: &str| {
        let (address, port) = (text_of(part, "address")?, number_of(part, "port_value")?);
        Some((format!("{address}:{port}"), number_of(part, "load_balancing_weight")?))
    };
    let lines = lines.map_or(Vec::new(), |text| text.split("\"endpoint\":{").skip(1).filter_map(line).collect());
    let route = routes.lines().find(|line| line.contains(&format!("\"name\":\"{table}\"")));
    let of_class = |line: &'_ str| {
        let part = line.split("{\"match\":").find(|part| part.contains(&format!("\"cluster\":\"{class}\"")));
        part.unwrap_or_default().to_owned()
    };
    let route = route.map(of_class).unwrap_or_default();
    let interval = text_of(&route, "fill_interval").and_then(|text| text.strip_suffix('s')?.parse::<f64>().ok());
    let rate = number_of(&route, "max_tokens").zip(interval);
    Rules {
        table,
        lines,
        rate: rate.map(|(tokens, interval)| (tokens, tokens / interval.max(1e-3))),
        refused: number_of(&route, "numerator").unwrap_or(0.0) / 1e6,
        retries: number_of(&route, "num_retries").is_some_and(|retries| retries >= 1.0),
    }
}

/// A plain proxy: it follows its files as they stand.
pub struct Proxy {
    folder: String,
    random: u64,
    buckets: BTreeMap<usize, (f64, Instant)>,
}

/// One try of an operation.
pub struct Try {
    pub table: String,
    pub server: String,
    pub answered: bool,
    pub seconds: f64,
}

impl Proxy {
    pub fn new(number: usize, folder: String) -> Self {
        Proxy { folder, random: 0x9E37_79B9u64.wrapping_mul(number as u64 + 7) | 1, buckets: BTreeMap::new() }
    }

    fn chance(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    fn admits(&mut self, class: usize, rules: &Rules) -> bool {
        if self.chance() < rules.refused {
            return false;
        }
        let Some((most, a_second)) = rules.rate else { return true };
        let (tokens, at) = self.buckets.get(&class).copied().unwrap_or((most, Instant::now()));
        let tokens = (tokens + at.elapsed().as_secs_f64() * a_second).min(most.max(1.0));
        let admitted = tokens >= 1.0;
        self.buckets.insert(class, (if admitted { tokens - 1.0 } else { tokens }, Instant::now()));
        admitted
    }

    /// Sends one operation, and once more to another server if it could not connect and its routes say so.
    pub fn operate(&mut self, class: usize, name: &str) -> Vec<Try> {
        let rules = rules(&self.folder, name);
        let mut tries: Vec<Try> = Vec::new();
        if !self.admits(class, &rules) {
            return tries;
        }
        let mut lines = rules.lines.clone();
        loop {
            let total: f64 = lines.iter().map(|(_, weight)| weight).sum();
            let mut point = self.chance() * total;
            let picked = lines.iter().position(|(_, weight)| {
                point -= weight;
                point <= 0.0
            });
            let Some(index) = picked.or(lines.len().checked_sub(1)) else { return tries };
            let (server, _) = lines.swap_remove(index);
            let (began, stream) = (Instant::now(), TcpStream::connect(&server));
            let connected = stream.is_ok();
            let exchange = |mut stream: TcpStream| -> Option<()> {
                let _ = stream.set_nodelay(true);
                stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
                stream
                    .write_all(format!("GET /operation/{class} HTTP/1.1\r\nHost: backend\r\n\r\n").as_bytes())
                    .ok()?;
                http_head(&mut BufReader::new(stream)).map(|_| ())
            };
            let answered = stream.ok().and_then(exchange).is_some();
            let seconds = began.elapsed().as_secs_f64();
            tries.push(Try { table: rules.table.clone(), server, answered, seconds });
            if connected || !rules.retries || tries.len() > 1 {
                return tries;
            }
        }
    }
}

/// The sums of a proxy's tries since its last report, by class and server.
pub type Tries = BTreeMap<(usize, String), Sums>;

pub fn count(tries: &mut Tries, class: usize, result: &Try) {
    let sums = tries.entry((class, result.server.clone())).or_default();
    if result.answered {
        sums.ok += 1;
        sums.seconds += result.seconds;
    } else {
        sums.failed += 1;
    }
}

/// Sends a proxy's load report of the last `seconds` to its agent; false: the agent did not take it.
pub fn report(
    agent: &str,
    proxy: usize,
    seconds: f64,
    classes: &[&str],
    tries: Tries,
    zone_of: &dyn Fn(&str) -> &'static str,
) -> bool {
    let mut clusters = Vec::new();
    for (class, name) in classes.iter().enumerate() {
        let mut zones: BTreeMap<&str, (Vec<String>, u64, u64)> = BTreeMap::new();
        for ((_, server), sums) in tries.iter().filter(|((of, _), _)| *of == class) {
            let (ip, port) = server.split_once(':').unwrap();
            let zone = zones.entry(zone_of(server)).or_default();
            (zone.1, zone.2) = (zone.1 + sums.ok, zone.2 + sums.failed);
            zone.0.push(format!(
                "{{\"address\":{{\"socket_address\":{{\"address\":\"{ip}\",\"port_value\":{port}}}}},\"total_successful_requests\":\"{}\",\"total_error_requests\":\"{}\",\"total_issued_requests\":\"{}\",\"load_metric_stats\":[{{\"metric_name\":\"latency_ms\",\"num_requests_finished_with_metric\":\"{}\",\"total_metric_value\":{:.3}}}]}}",
                sums.ok, sums.failed, sums.ok + sums.failed, sums.ok, sums.seconds * 1e3
            ));
        }
        let localities: Vec<String> = zones
            .iter()
            .map(|(zone, (servers, ok, failed))| {
                format!(
                    "{{\"locality\":{{\"zone\":\"{zone}\"}},\"total_successful_requests\":\"{ok}\",\"total_error_requests\":\"{failed}\",\"total_issued_requests\":\"{}\",\"upstream_endpoint_stats\":[{}]}}",
                    ok + failed,
                    servers.join(",")
                )
            })
            .collect();
        clusters.push(format!(
            "{{\"cluster_name\":\"{name}\",\"upstream_locality_stats\":[{}],\"load_report_interval\":\"{seconds:.3}s\"}}",
            localities.join(",")
        ));
    }
    let body = format!("{{\"node\":{{\"id\":\"proxy-{proxy}\"}},\"cluster_stats\":[{}]}}", clusters.join(","));
    let Ok(mut stream) = TcpStream::connect(agent) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let text = format!(
        "POST /envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats HTTP/1.1\r\nHost: agent\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let _ = stream.write_all(text.as_bytes());
    http_head(&mut BufReader::new(stream)).is_some_and(|(first, _)| first.contains("200"))
}

fn run_proxy(shared: Shared, number: usize, folder: String, agent: String) {
    let (mut proxy, mut tries, mut reported) = (Proxy::new(number, folder), Tries::new(), Instant::now());
    let mut class = number;
    loop {
        class = (class + 1) % CLASSES.len();
        let now = {
            let state = shared.lock().unwrap();
            if state.over {
                return;
            }
            state.start.elapsed().as_secs_f64()
        };
        for result in proxy.operate(class, CLASSES[class]) {
            count(&mut tries, class, &result);
            shared.lock().unwrap().sent.push((now, number, class, result.server, result.answered));
        }
        if reported.elapsed().as_secs_f64() >= 1.0 {
            let halls: BTreeMap<String, &'static str> =
                shared.lock().unwrap().backends.iter().map(|b| (b.address.clone(), b.hall)).collect();
            let zone_of = |server: &str| halls.get(server).copied().unwrap_or(HALLS[0]);
            let seconds = reported.elapsed().as_secs_f64();
            reported = Instant::now();
            if !report(&agent, number, seconds, &CLASSES, std::mem::take(&mut tries), &zone_of) {
                shared.lock().unwrap().note(format!("the agent did not take a report of proxy {number}"));
            }
        }
        thread::sleep(Duration::from_millis(40));
    }
}

fn start(
    program: &str,
    root: &str,
    folder: &str,
    kind: &str,
    settings: &str,
    children: &mut Vec<Child>,
) -> Option<String> {
    let (file, ready) = (format!("{folder}/{kind}.json"), format!("{folder}/{kind}.ready.json"));
    fs::write(&file, settings).unwrap();
    let log = File::create(format!("{folder}/{kind}.log")).unwrap();
    let sub_command = if kind == "agent" { "agent" } else { "run" };
    let child = Command::new(format!("{root}/{program}"))
        .args([sub_command, &file])
        .current_dir(folder)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .ok()?;
    note_pid(folder, child.id());
    children.push(child);
    for _ in 0..400 {
        if let Ok(text) = fs::read_to_string(&ready) {
            return text_of(&text, "address").map(str::to_owned);
        }
        thread::sleep(Duration::from_millis(25));
    }
    None
}

pub fn play(case: &str, program: &str, root: &str, folder: &str, record: &str, trouble: bool) -> i32 {
    let shared: Shared = Arc::new(Mutex::new(State {
        start: Instant::now(),
        backends: Vec::new(),
        sent: Vec::new(),
        run: Vec::new(),
        record: Vec::new(),
        over: false,
    }));
    let mut children = Vec::new();
    let status = inner(case, &shared, &mut children, program, root, folder, trouble);
    for child in &mut children {
        let _ = child.kill();
        let _ = child.wait();
    }
    let _ = fs::remove_file(format!("{folder}/pids"));
    let mut state = shared.lock().unwrap();
    state.over = true;
    state.note(format!("exit {status}"));
    let mut text = state.record.join("\n") + "\n\noperations: seconds, proxy, class, backend, answered\n";
    for (at, proxy, class, server, ok) in &state.sent {
        text += &format!("{at:8.3} {proxy} {} {server} {ok}\n", CLASSES[*class]);
    }
    text += "\nreceived by backends: seconds, backend, class\n";
    for (at, server, class) in &state.run {
        let class: usize = class.parse().unwrap_or(0);
        text += &format!("{at:8.3} {server} {}\n", CLASSES[class.min(CLASSES.len() - 1)]);
    }
    fs::write(record, text).unwrap();
    for line in state.record.iter().rev().take(6).collect::<Vec<_>>().into_iter().rev() {
        println!("{line}");
    }
    status
}

fn inner(
    case: &str,
    shared: &Shared,
    children: &mut Vec<Child>,
    program: &str,
    root: &str,
    folder: &str,
    trouble: bool,
) -> i32 {
    for number in 0..SERVERS {
        start_backend(shared, HALLS[number % 3], None);
    }
    write_list(&mut shared.lock().unwrap(), folder, 1);
    let classes = r#"[{"name":"lookup","latency_goal":"1s","hard_stop":"2500ms","importance":1.0,"repeats":"safe","home_only":false},
{"name":"register","latency_goal":"800ms","hard_stop":"2500ms","importance":5.0,"repeats":"never","only_zones":["hall-a","hall-b"],"home_only":false}]"#;
    let settings = format!(
        r#"{{"name":"coordinator-0","listen":"127.0.0.1:0","ready_file":"coordinator.ready.json",
"fleet":{{"zones":["hall-a","hall-b","hall-c"],"kinds":["three-core"],"classes":{classes},"coordinators":1,"proxies":6,"levels":"share","lb_policy":"RANDOM"}},
"rules":{{"drain_grace":"1500ms","cold_share":0.15,"warm_after":"15s","fall_multiple":2.5,"fall_window":"3s","bare_limit":"2800ms"}},
"channel":{{"lines_per_second":3000.0,"lines_limit":3000.0,"lines_per_message":10.0}},
"roster":{{"file":"servers.json","remembered":"remembered.json"}},
"report_period":"1s","probes":{{"enabled":true,"path":"/healthz","time_out":"300ms"}}}}"#
    );
    let Some(coordinator) = start(program, root, folder, "coordinator", &settings, children) else { return 2 };
    let nodes: Vec<String> = (0..6)
        .map(|proxy| {
            format!(
                "{{\"id\":\"proxy-{proxy}\",\"zone\":\"{}\",\"usual_rate\":25.0,\"folder\":\"{folder}/proxy-{proxy}\"}}",
                HALLS[proxy % 3]
            )
        })
        .collect();
    let settings = format!(
        r#"{{"nodes":[{}],"coordinators":["{coordinator}"],"listen":"127.0.0.1:0","ready_file":"agent.ready.json"}}"#,
        nodes.join(",")
    );
    let Some(agent) = start(program, root, folder, "agent", &settings, children) else { return 2 };
    let ready = (0..400).any(|_| {
        thread::sleep(Duration::from_millis(25));
        (0..6)
            .all(|proxy| CLASSES.iter().all(|class| !rules(&format!("{folder}/proxy-{proxy}"), class).lines.is_empty()))
    });
    if !ready {
        return 2;
    }
    for proxy in 0..6 {
        let (held, agent, path) = (shared.clone(), agent.clone(), format!("{folder}/proxy-{proxy}"));
        thread::spawn(move || run_proxy(held, proxy, path, agent));
    }
    thread::sleep(Duration::from_secs(8));
    match case {
        "files" => release(shared, folder, trouble),
        _ => wrong_entry(shared, folder, trouble),
    }
    thread::sleep(Duration::from_secs(6));
    if children.iter_mut().any(|child| !matches!(child.try_wait(), Ok(None))) {
        return 2;
    }
    let mut state = shared.lock().unwrap();
    let mut late = Vec::new();
    for backend in &state.backends {
        let Some(told) = backend.told else { continue };
        let limit = told + GRACE + SLACK;
        for (at, proxy, class, _, ok) in state.sent.iter().filter(|sent| sent.3 == backend.address && sent.0 > limit) {
            late.push(format!(
                "late: proxy {proxy} sends {} at {at:.3} to {}, answered: {ok}; list told {told:.3}, limit {limit:.3}",
                CLASSES[*class], backend.address
            ));
        }
    }
    let (sent, failed, run) = (state.sent.len(), state.sent.iter().filter(|sent| !sent.4).count(), state.run.len());
    state.record.extend(late.iter().cloned());
    state.note(format!("{sent} operations sent, {failed} without an answer, {run} received by backends"));
    state.note(format!(
        "{} operations sent to servers that drain or are gone, more than {GRACE} s + {SLACK} s after the list told it",
        late.len()
    ));
    i32::from(!late.is_empty())
}

/// A rolling release, during whose first part the list of servers is out of reach.
fn release(shared: &Shared, folder: &str, trouble: bool) {
    let mut version = 1;
    // Each step is a time after the begin.
    let begin = Instant::now();
    let mut steps: Vec<(f64, usize, u8)> = Vec::new();
    for k in 0..REPLACED {
        let at = SPACING * k as f64;
        steps.extend([(at, k, 0), (at + DRAIN, k, 1), (at + DRAIN + SUCCESSOR, k, 2)]);
    }
    steps.push((OUTAGE, 0, 3));
    steps.sort_by(|a, b| a.0.total_cmp(&b.0));
    shared.lock().unwrap().note("a release begins".into());
    if trouble {
        shared.lock().unwrap().note(format!("the list of servers is out of reach for {OUTAGE} s"));
    }
    for (at, k, step) in steps {
        let left = at - begin.elapsed().as_secs_f64();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
        match step {
            0 => shared.lock().unwrap().backends[k].draining = true,
            1 => {
                let mut state = shared.lock().unwrap();
                state.backends[k].listed = false;
                state.backends[k].ended.store(true, Ordering::SeqCst);
            }
            2 => {
                let hall = shared.lock().unwrap().backends[k].hall;
                start_backend(shared, hall, Some(unix()));
            }
            _ => {}
        }
        if trouble && at < OUTAGE {
            continue;
        }
        version += 1;
        let mut state = shared.lock().unwrap();
        write_list(&mut state, folder, version);
        let (old, new) = (
            state.backends[..SERVERS].iter().filter(|b| b.listed).count(),
            state.backends[SERVERS..].iter().filter(|b| b.listed).count(),
        );
        state.note(format!("list version {version} is written: {old} of the first servers, {new} successors"));
    }
}

/// One entry of the list names port 0; later a backend drains and ends.
fn wrong_entry(shared: &Shared, folder: &str, trouble: bool) {
    if trouble {
        let mut state = shared.lock().unwrap();
        let ended = Arc::new(AtomicBool::new(false));
        let (address, hall) = ("127.0.0.1:0".to_owned(), HALLS[0]);
        state.backends.push(Backend { address, hall, started: None, draining: false, listed: true, ended, told: None });
        write_list(&mut state, folder, 2);
        state.note("list version 2 has a further entry, 127.0.0.1:0".into());
    }
    thread::sleep(Duration::from_secs(4));
    {
        let mut state = shared.lock().unwrap();
        state.backends[0].draining = true;
        write_list(&mut state, folder, 3);
        let address = state.backends[0].address.clone();
        state.note(format!("list version 3 shows {address} draining"));
    }
    thread::sleep(Duration::from_secs_f64(4.0));
    {
        let mut state = shared.lock().unwrap();
        state.backends[0].listed = false;
        state.backends[0].ended.store(true, Ordering::SeqCst);
        write_list(&mut state, folder, 4);
        let address = state.backends[0].address.clone();
        state.note(format!("{address} has ended, list version 4 has it no more"));
    }
    thread::sleep(Duration::from_secs(4));
}
