//! A shared fleet: three coordinators (`craneknot run` with `shared`), agents, proxies that follow their files, and a
//! link between agents and coordinators on which a message takes as long as the brief says.

use crate::files::{count, report, rules, text_of, Proxy, Tries};
use crate::{answer, free_address, http_head, note_pid};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const ZONES: [&str; 2] = ["north-wing", "south-wing"];
const CLASSES: [&str; 3] = ["plan-read", "session-log", "plan-issue"];
const CONFINED: usize = 2; // plan-issue: only in north-wing
const PROXIES: usize = 24;
const PAUSE: Duration = Duration::from_millis(50); // between two operations of a proxy
const MESSAGE_DELAY: Duration = Duration::from_millis(180); // "a message then takes 85 to 220 ms on average"

struct Backend {
    address: String,
    zone: &'static str,
    started: Option<f64>,
}

struct Sent {
    at: f64,
    proxy: usize,
    class: usize,
    table: String,
    server: String,
    answered: bool,
}

struct State {
    start: Instant,
    backends: Vec<Backend>,
    sent: Vec<Sent>,
    run: Vec<(f64, usize, usize)>,
    record: Vec<String>,
    over: bool,
}

impl State {
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn note(&mut self, text: String) {
        let line = format!("{:8.3} {text}", self.now());
        self.record.push(line);
    }
}

type Shared = Arc<Mutex<State>>;

fn start_backend(shared: &Shared, zone: &'static str, started: Option<f64>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let number = {
        let mut state = shared.lock().unwrap();
        state.backends.push(Backend { address, zone, started });
        state.backends.len() - 1
    };
    let held = shared.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let held = held.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut out = stream.try_clone().unwrap();
                let mut reader = BufReader::new(stream);
                while let Some((first, _)) = http_head(&mut reader) {
                    let class = first.split("/operation/").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
                    if let Some(class) = class {
                        let mut state = held.lock().unwrap();
                        let now = state.now();
                        state.run.push((now, number, class));
                    }
                    if !answer(&mut out, "200 OK", "done") {
                        return;
                    }
                }
            });
        }
    });
}

fn write_list(state: &mut State, folder: &str, version: u64) {
    let entries: Vec<String> = state
        .backends
        .iter()
        .map(|backend| {
            let started = backend.started.map_or(String::new(), |at| format!("\"started\":{at:.2},"));
            format!(
                "{{\"address\":\"{}\",\"zone\":\"{}\",\"kind\":\"single-fast\",\"cell\":1,\"weight\":1.0,{started}\"state\":\"up\"}}",
                backend.address, backend.zone
            )
        })
        .collect();
    let text = format!("{{\"version\":{version},\"servers\":[{}]}}", entries.join(","));
    fs::write(format!("{folder}/servers.json.new"), text).unwrap();
    fs::rename(format!("{folder}/servers.json.new"), format!("{folder}/servers.json")).unwrap();
    let (count, north) = (state.backends.len(), state.backends.iter().filter(|b| b.zone == ZONES[0]).count());
    state.note(format!("list version {version}: {count} servers, {north} of them in {}", ZONES[0]));
}

/// Passes bytes on at once towards the coordinator, and after the delay towards the agent.
fn link(coordinator: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for agent in listener.incoming().flatten() {
            let Ok(inner) = TcpStream::connect(&coordinator) else { continue };
            let _ = (agent.set_nodelay(true), inner.set_nodelay(true));
            let (mut agent_in, mut inner_out) = (agent.try_clone().unwrap(), inner.try_clone().unwrap());
            thread::spawn(move || {
                let mut buffer = [0; 16384];
                while let Ok(count) = agent_in.read(&mut buffer) {
                    if count == 0 || inner_out.write_all(&buffer[..count]).is_err() {
                        break;
                    }
                }
                let _ = inner_out.shutdown(Shutdown::Both);
            });
            let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
            let (mut inner_in, mut agent_out) = (inner, agent);
            thread::spawn(move || {
                let mut buffer = [0; 16384];
                while let Ok(count) = inner_in.read(&mut buffer) {
                    if count == 0 || sender.send((Instant::now() + MESSAGE_DELAY, buffer[..count].to_vec())).is_err() {
                        break;
                    }
                }
            });
            thread::spawn(move || {
                for (due, bytes) in receiver {
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    if agent_out.write_all(&bytes).is_err() {
                        break;
                    }
                }
                let _ = agent_out.shutdown(Shutdown::Both);
            });
        }
    });
    address
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
            state.now()
        };
        for result in proxy.operate(class, CLASSES[class]) {
            count(&mut tries, class, &result);
            let (table, server, answered) = (result.table, result.server, result.answered);
            shared.lock().unwrap().sent.push(Sent { at: now, proxy: number, class, table, server, answered });
        }
        if reported.elapsed().as_secs_f64() >= 0.5 {
            let zones: BTreeMap<String, &'static str> =
                shared.lock().unwrap().backends.iter().map(|b| (b.address.clone(), b.zone)).collect();
            let zone_of = |server: &str| zones.get(server).copied().unwrap_or(ZONES[0]);
            let seconds = reported.elapsed().as_secs_f64();
            reported = Instant::now();
            if !report(&agent, number, seconds, &CLASSES, std::mem::take(&mut tries), &zone_of) {
                shared.lock().unwrap().note(format!("the agent did not take a report of proxy {number}"));
            }
        }
        thread::sleep(PAUSE);
    }
}

fn launch(program: &str, folder: &str, kind: &str, sub_command: &str) -> Option<Child> {
    let log = File::options().create(true).append(true).open(format!("{folder}/{kind}.log")).ok()?;
    let child = Command::new(program)
        .args([sub_command, &format!("{folder}/{kind}.json")])
        .current_dir(folder)
        .stdin(Stdio::null())
        .stdout(log.try_clone().ok()?)
        .stderr(log)
        .spawn()
        .ok()?;
    note_pid(folder, child.id());
    Some(child)
}

pub fn play(program: &str, folder: &str, record: &str, trouble: bool) -> i32 {
    let shared: Shared = Arc::new(Mutex::new(State {
        start: Instant::now(),
        backends: Vec::new(),
        sent: Vec::new(),
        run: Vec::new(),
        record: Vec::new(),
        over: false,
    }));
    let mut children = Vec::new();
    let status = inner(&shared, &mut children, program, folder, trouble);
    for child in children.iter_mut().flatten() {
        let child: &mut Child = child;
        let _ = child.kill();
        let _ = child.wait();
    }
    let _ = fs::remove_file(format!("{folder}/pids"));
    let mut state = shared.lock().unwrap();
    state.over = true;
    state.note(format!("exit {status}"));
    let mut text = state.record.join("\n") + "\n\noperations: seconds, proxy, class, table, backend, answered\n";
    for Sent { at, proxy, class, table, server, answered } in &state.sent {
        text += &format!("{at:8.3} {proxy} {} {table} {server} {answered}\n", CLASSES[*class]);
    }
    text += "\nreceived by backends: seconds, backend, zone, class\n";
    for (at, server, class) in &state.run {
        let backend = &state.backends[*server];
        text += &format!("{at:8.3} {} {} {}\n", backend.address, backend.zone, CLASSES[*class]);
    }
    fs::write(record, text).unwrap();
    for line in state.record.iter().rev().take(12).collect::<Vec<_>>().into_iter().rev() {
        println!("{line}");
    }
    status
}

fn wait_until(shared: &Shared, at: f64) {
    let left = at - shared.lock().unwrap().now();
    if left > 0.0 {
        thread::sleep(Duration::from_secs_f64(left));
    }
}

fn inner(shared: &Shared, children: &mut Vec<Option<Child>>, program: &str, folder: &str, trouble: bool) -> i32 {
    for number in 0..8 {
        start_backend(shared, ZONES[number % 2], None);
    }
    write_list(&mut shared.lock().unwrap(), folder, 1);
    let listen: Vec<String> = (0..3).map(|_| free_address()).collect();
    let datagrams: Vec<String> = (0..3).map(|_| free_address()).collect();
    let members: Vec<String> =
        (0..3).map(|index| format!("{{\"name\":\"c{index}\",\"datagrams\":\"{}\"}}", datagrams[index])).collect();
    for index in 0..3 {
        let settings = format!(
            r#"{{"name":"c{index}","listen":"{}",
"fleet":{{"zones":["north-wing","south-wing"],"kinds":["single-fast"],"classes":[
{{"name":"plan-read","latency_goal":"1200ms","hard_stop":"3s","importance":2.0,"repeats":"safe","home_only":false}},
{{"name":"session-log","latency_goal":"1200ms","hard_stop":"3s","importance":2.0,"repeats":"guarded","home_only":false}},
{{"name":"plan-issue","latency_goal":"1500ms","hard_stop":"4s","importance":3.0,"repeats":"never","only_zones":["north-wing"],"home_only":false}}],
"coordinators":3,"proxies":{PROXIES},"levels":"rate","lb_policy":"RANDOM"}},
"rules":{{"drain_grace":"2s","cold_share":0.18,"warm_after":"18s","fall_multiple":3.0,"fall_window":"3s","bare_limit":"2800ms"}},
"channel":{{"lines_per_second":14800.0,"lines_limit":29600.0,"lines_per_message":3.0}},
"roster":{{"file":"servers.json","remembered":"remembered-{index}.json"}},
"report_period":"500ms","probes":{{"enabled":true,"path":"/healthz","time_out":"300ms"}},
"shared":{{"members":[{}],"datagrams":"{}","store":"store-{index}","lease":"2s"}}}}"#,
            listen[index],
            members.join(","),
            datagrams[index]
        );
        fs::write(format!("{folder}/c{index}.json"), settings).unwrap();
        children.push(launch(program, folder, &format!("c{index}"), "run"));
    }
    let links: Vec<String> = listen.iter().map(|address| link(address.clone())).collect();
    let coordinators: Vec<String> = links
        .iter()
        .enumerate()
        .map(|(index, address)| format!("{{\"name\":\"c{index}\",\"address\":\"{address}\"}}"))
        .collect();
    for agent in 0..4 {
        let nodes: Vec<String> = (0..PROXIES / 4)
            .map(|node| {
                let proxy = agent * PROXIES / 4 + node;
                format!("{{\"id\":\"proxy-{proxy}\",\"zone\":\"{}\",\"usual_rate\":20.0,\"folder\":\"{folder}/proxy-{proxy}\"}}", ZONES[proxy % 2])
            })
            .collect();
        let settings = format!(
            r#"{{"nodes":[{}],"coordinators":[{}],"listen":"127.0.0.1:0","ready_file":"a{agent}.ready.json"}}"#,
            nodes.join(","),
            coordinators.join(",")
        );
        fs::write(format!("{folder}/a{agent}.json"), settings).unwrap();
        children.push(launch(program, folder, &format!("a{agent}"), "agent"));
    }
    if children.iter().any(Option::is_none) {
        return 2;
    }
    let ready = (0..800).any(|_| {
        thread::sleep(Duration::from_millis(25));
        (0..PROXIES)
            .all(|proxy| CLASSES.iter().all(|class| !rules(&format!("{folder}/proxy-{proxy}"), class).lines.is_empty()))
    });
    if !ready {
        shared.lock().unwrap().note("not all proxies got tables".into());
        return 2;
    }
    for proxy in 0..PROXIES {
        let ready = fs::read_to_string(format!("{folder}/a{}.ready.json", proxy / (PROXIES / 4))).unwrap_or_default();
        let Some(agent) = text_of(&ready, "address").map(str::to_owned) else { return 2 };
        let (held, path) = (shared.clone(), format!("{folder}/proxy-{proxy}"));
        thread::spawn(move || run_proxy(held, proxy, path, agent));
    }
    let begin = shared.lock().unwrap().now() + 4.0;
    // The fleet grows to twice its size within 10 s.
    for number in 0..8 {
        wait_until(shared, begin + 1.25 * number as f64);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64();
        start_backend(shared, ZONES[number % 2], Some(unix - 0.05));
        write_list(&mut shared.lock().unwrap(), folder, 2 + number as u64);
    }
    let mut at = begin + 14.0;
    if trouble {
        // One coordinator dies and comes back, three times.
        for kill in 1..=3 {
            wait_until(shared, at);
            let index = 0;
            if let Some(mut child) = children[index].take() {
                let _ = child.kill();
                let _ = child.wait();
            }
            shared.lock().unwrap().note(format!("kill {kill}: c{index} is killed"));
            wait_until(shared, at + 4.0);
            children[index] = launch(program, folder, &format!("c{index}"), "run");
            shared.lock().unwrap().note(format!("c{index} is started again"));
            at += 14.0;
        }
        wait_until(shared, at);
    } else {
        wait_until(shared, at + 3.0 * 14.0);
    }
    if children.iter_mut().flatten().any(|child| !matches!(child.try_wait(), Ok(None))) {
        return 2;
    }
    let mut state = shared.lock().unwrap();
    let mut wrong = Vec::new();
    for Sent { at, proxy, class, table, server, answered } in &state.sent {
        let backend = state.backends.iter().find(|backend| backend.address == *server);
        if *class == CONFINED && backend.is_none_or(|backend| backend.zone != ZONES[0]) {
            wrong.push(format!("wrong: proxy {proxy} sends plan-issue at {at:.3} by {table} to {server} in south-wing, answered: {answered}"));
        }
    }
    let south = state
        .run
        .iter()
        .filter(|(_, server, class)| *class == CONFINED && state.backends[*server].zone != ZONES[0])
        .count();
    let (sent, run, issues) =
        (state.sent.len(), state.run.len(), state.sent.iter().filter(|sent| sent.class == CONFINED).count());
    state.record.extend(wrong.iter().cloned());
    state.note(format!("{sent} operations sent, {run} run, {issues} of those sent were plan-issue"));
    state.note(format!("{} plan-issue operations sent to servers outside north-wing, {south} run there", wrong.len()));
    i32::from(!wrong.is_empty() && south > 0)
}
