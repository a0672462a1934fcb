//! A small platform for the cases in `review/`: discovery, the relay, collectors, proxies and backends, as
//! `more/node/PROTOCOL.md` describes them, on loopback and the real clock. It starts the coordinators by the
//! deploy file's `run` line, plays one case, writes a record and judges one rule from what crossed the sockets.
//!
//! Standard library only. Usage: standin CASE RUN_COMMAND ROOT TEMPORARY_FOLDER RECORD TROUBLE(0|1)

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod cases;
mod files;
mod shared;

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Closes with a reset: SO_LINGER on, zero seconds.
pub fn reset(stream: TcpStream) {
    let linger = [1i32, 0i32];
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
    drop(stream);
}

/// What a case sets.
#[derive(Clone)]
pub struct Site {
    pub zones: Vec<&'static str>,
    pub kinds: Vec<&'static str>,
    pub classes: Vec<Class>,
    pub coordinators: usize,
    pub grace: f64,
    pub bare: f64,
    pub ramp: f64,
    pub lines_per_s: f64,
    pub queue_cap: f64,
    pub head: f64,
    pub update_cap: usize,
    pub update_span: f64,
    pub push_delay: (f64, f64),
    pub fall_multiple: f64,
    pub fall: f64,
    pub admission: &'static str,
    pub probing: bool,
    pub period: f64,
    pub servers: Vec<(&'static str, &'static str)>, // zone, kind
    pub proxies: Vec<&'static str>,                 // zone
    pub proxy_numbers: usize,
    /// Operations a second at each proxy, over all classes.
    pub rate: f64,
    /// The coordinator that the proxies of a zone join.
    pub home: fn(&str) -> usize,
}

#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    pub aim: f64,
    pub deadline: f64,
    pub worth: f64,
    pub semantics: &'static str,
    pub group: &'static str,
    pub window: f64,
    pub only_zones: Vec<&'static str>,
    pub only_kinds: Vec<&'static str>,
    pub home_only: bool,
}

#[derive(Clone, Default)]
pub struct Table {
    pub lines: BTreeMap<String, f64>,
    pub levels: BTreeMap<usize, f64>,
}

enum Change {
    Bind(Vec<usize>, u16, Table),
    Line(u16, String, f64),
    Level(u16, Vec<usize>, f64),
}

struct Message {
    proxy: usize,
    joined: u64,
    lines: f64,
    changes: Vec<Change>,
    marks: Vec<u16>,
}

pub struct Server {
    pub id: String,
    pub zone: &'static str,
    pub kind: &'static str,
    pub cell: usize,
    pub phase: &'static str,
    pub up_ms: u64,
    pub address: String,
    pub revision: u64,
    /// When the list began to show it as draining or gone.
    pub closed_at: Option<f64>,
}

/// What a class of a proxy follows.
#[derive(Clone)]
enum Follows {
    /// Lines that it holds from before: its standing table, or those of an earlier stream.
    Held(BTreeMap<String, f64>),
    Table(u16),
}

pub struct Proxy {
    pub zone: &'static str,
    pub coordinator: Option<usize>,
    pub joined_at: f64,
    joins: u64,
    cold: bool,
    follows: Vec<Follows>,
    tables: BTreeMap<u16, Table>,
    allowance: Vec<(f64, f64)>,
}

/// How calls to the relay go wrong.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum CallTrouble {
    /// Carried out; the connection is reset in place of the answer.
    Reset,
}

pub struct Coordinator {
    pub listen: String,
    pub discovery: String,
    pub relay: String,
    tables: BTreeMap<u16, Table>,
    bound: BTreeMap<(usize, usize), u16>,
    queue: VecDeque<Message>,
    sent_of_first: f64,
    on_the_way: VecDeque<(f64, Message)>,
    news: Vec<TcpStream>,
    pub most_lines: (f64, f64),
    /// By proxy: the times at which messages were written to it since its joining.
    pub written: BTreeMap<usize, Vec<f64>>,
    pub calls: usize,
    pub calls_in_trouble: usize,
    pub call_trouble: Option<(f64, f64, CallTrouble)>,
}

#[derive(Default, Clone)]
struct Sums {
    total: u64,
    errors: u64,
    seconds: f64,
}

/// One operation that a proxy sent.
pub struct Sent {
    pub at: f64,
    pub proxy: usize,
    pub class: usize,
    pub server: String,
    pub answer: String,
}

pub struct World {
    pub site: Site,
    pub start: Instant,
    pub servers: Vec<Server>,
    pub revision: u64,
    pub proxies: Vec<Proxy>,
    pub coordinators: Vec<Coordinator>,
    pub sent: Vec<Sent>,
    /// Operations that backends got: time, backend, class.
    pub run: Vec<(f64, String, usize)>,
    by_server: BTreeMap<(usize, &'static str, String), Sums>,
    by_proxy: BTreeMap<(usize, usize), Sums>,
    pub record: Vec<String>,
    random: u64,
    pub over: bool,
}

pub type Shared = Arc<(Mutex<World>, Condvar)>;

impl World {
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn note(&mut self, text: String) {
        let line = format!("{:8.3} {text}", self.now());
        self.record.push(line);
    }

    fn chance(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn server(&self, id: &str) -> Option<usize> {
        self.servers.iter().position(|server| server.id == id)
    }

    pub fn set_phase(&mut self, id: &str, phase: &'static str) {
        let (now, index) = (self.now(), self.server(id).unwrap());
        self.revision += 1;
        let revision = self.revision;
        let server = &mut self.servers[index];
        (server.phase, server.revision) = (phase, revision);
        server.closed_at = (phase != "SERVING").then_some(now);
        self.note(format!("list: {id} is {phase} from revision {revision}"));
    }

    fn list(&self, after: Option<u64>) -> String {
        let mut entries = Vec::new();
        for s in &self.servers {
            let wanted = match after {
                Some(after) => s.revision > after,
                None => s.phase != "DELETED",
            };
            if wanted {
                entries.push(format!(
                    "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"{}\",\"flavor\":\"{}\",\"cell\":{},\"phase\":\"{}\",\"size\":1.0,\"up_since_ms\":{}}}",
                    s.id, s.address, s.zone, s.kind, s.cell, s.phase, s.up_ms
                ));
            }
        }
        format!(
            "{{\"revision\":{},\"complete\":{},\"members\":[{}]}}",
            self.revision,
            after.is_none(),
            entries.join(",")
        )
    }

    fn held(&self, proxy: usize, class: usize) -> BTreeMap<String, f64> {
        match &self.proxies[proxy].follows[class] {
            Follows::Held(lines) => lines.clone(),
            Follows::Table(table) => self.proxies[proxy].tables.get(table).map(|t| t.lines.clone()).unwrap_or_default(),
        }
    }

    fn news_event(proxy: usize, zone: &str, rate: f64, cold: bool) -> String {
        format!("event: attach\ndata: node={proxy}&locality={zone}&w={rate}&cold={}\n\n", u8::from(cold))
    }

    fn tell_news(&mut self, coordinator: usize, text: &str) {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.coordinators[coordinator].news.retain_mut(|stream| stream.write_all(chunk.as_bytes()).is_ok());
    }

    pub fn attach(&mut self, proxy: usize, coordinator: usize) {
        let (now, rate) = (self.now(), self.site.rate);
        let p = &mut self.proxies[proxy];
        (p.coordinator, p.joined_at, p.joins) = (Some(coordinator), now, p.joins + 1);
        let event = World::news_event(proxy, p.zone, rate, p.cold);
        self.coordinators[coordinator].written.insert(proxy, Vec::new());
        self.tell_news(coordinator, &event);
        self.note(format!("proxy {proxy} joins coordinator {coordinator}"));
    }

    /// Lines that wait in a coordinator's channel.
    pub fn waiting(&self, coordinator: usize) -> f64 {
        let c = &self.coordinators[coordinator];
        c.queue.iter().map(|message| message.lines).sum::<f64>() - c.sent_of_first
    }

    fn class_list(&self, text: &str) -> Option<Vec<usize>> {
        if text == "*" {
            return Some((0..self.site.classes.len()).collect());
        }
        text.split('+').map(|name| self.site.classes.iter().position(|class| class.name == name)).collect()
    }

    /// Carries out the orders of one call; returns how many were taken.
    fn carry_out(&mut self, coordinator: usize, orders: &str) -> usize {
        let mut messages: BTreeMap<usize, (f64, Vec<Change>)> = BTreeMap::new();
        let (mut marks, mut taken) = (Vec::new(), 0);
        for order in orders.split(';').filter(|order| !order.is_empty()) {
            let part: Vec<&str> = order.split(',').collect();
            let users = |world: &World, table: u16| -> BTreeSet<usize> {
                let bound = &world.coordinators[coordinator].bound;
                bound.iter().filter(|(_, t)| **t == table).map(|((proxy, _), _)| *proxy).collect()
            };
            let table = || part.get(if part[0] == "bind" { 2 } else { 1 }).and_then(|t| t.parse::<u16>().ok());
            let ok = match part[0] {
                "share" if part.len() == 4 => {
                    let (Some(table), Ok(weight)) = (table(), part[3].parse::<f64>()) else { break };
                    if weight < 0.0 || !weight.is_finite() || self.server(part[2]).is_none() {
                        break;
                    }
                    let lines = &mut self.coordinators[coordinator].tables.entry(table).or_default().lines;
                    lines.insert(part[2].to_owned(), weight);
                    lines.retain(|_, weight| *weight > 0.0);
                    for proxy in users(self, table) {
                        let message = messages.entry(proxy).or_default();
                        message.0 += 1.0;
                        message.1.push(Change::Line(table, part[2].to_owned(), weight));
                    }
                    true
                }
                "bind" if part.len() == 4 => {
                    let (Some(table), Ok(proxy)) = (table(), part[1].parse::<usize>()) else { break };
                    let joined = self.proxies.get(proxy).is_some_and(|p| p.coordinator == Some(coordinator));
                    let Some(classes) = self.class_list(part[3]).filter(|_| joined) else { break };
                    let c = &mut self.coordinators[coordinator];
                    let contents = c.tables.entry(table).or_default().clone();
                    for class in &classes {
                        c.bound.insert((proxy, *class), table);
                    }
                    let message = messages.entry(proxy).or_default();
                    message.0 += 1.0 + contents.lines.len() as f64 + contents.levels.len() as f64;
                    message.1.push(Change::Bind(classes, table, contents));
                    true
                }
                "admit" if part.len() == 5 => {
                    let (Some(table), Ok(level)) = (table(), part[3].parse::<f64>()) else { break };
                    let Some(classes) = self.class_list(part[2]) else { break };
                    if level < 0.0 || !level.is_finite() {
                        break;
                    }
                    let levels = &mut self.coordinators[coordinator].tables.entry(table).or_default().levels;
                    levels.extend(classes.iter().map(|class| (*class, level)));
                    for proxy in users(self, table) {
                        let message = messages.entry(proxy).or_default();
                        message.0 += 1.0;
                        message.1.push(Change::Level(table, classes.clone(), level));
                    }
                    true
                }
                "mark" if part.len() == 3 => {
                    let Ok(mark) = part[1].parse::<u16>() else { break };
                    marks.push(mark);
                    if part[2] == "1" {
                        for (proxy, p) in self.proxies.iter().enumerate() {
                            if p.coordinator == Some(coordinator) {
                                messages.entry(proxy).or_default();
                            }
                        }
                    }
                    true
                }
                _ => false,
            };
            if !ok {
                break;
            }
            taken += 1;
        }
        let now = self.now();
        for (proxy, (lines, changes)) in messages {
            let lines = lines + self.site.head + marks.len() as f64;
            let joined = self.proxies[proxy].joins;
            let message = Message { proxy, joined, lines, changes, marks: marks.clone() };
            let c = &mut self.coordinators[coordinator];
            c.queue.push_back(message);
            c.written.entry(proxy).or_default().push(now);
        }
        let waiting = self.waiting(coordinator);
        let c = &mut self.coordinators[coordinator];
        if waiting > c.most_lines.0 {
            c.most_lines = (waiting, now);
        }
        taken
    }

    /// Moves what waits in the channels, and applies what has arrived.
    fn move_channels(&mut self, seconds: f64) {
        let now = self.now();
        for coordinator in 0..self.coordinators.len() {
            let mut budget = seconds * self.site.lines_per_s;
            loop {
                let c = &mut self.coordinators[coordinator];
                let Some(first) = c.queue.front() else {
                    c.sent_of_first = 0.0;
                    break;
                };
                if c.sent_of_first + budget < first.lines {
                    c.sent_of_first += budget;
                    break;
                }
                budget -= first.lines - c.sent_of_first;
                c.sent_of_first = 0.0;
                let message = c.queue.pop_front().unwrap();
                let (least, most) = self.site.push_delay;
                let arrives = now + least + (most - least) * self.chance();
                let c = &mut self.coordinators[coordinator];
                let last = c.on_the_way.iter().filter(|(_, other)| other.proxy == message.proxy);
                let arrives = last.map(|(at, _)| *at).fold(arrives, f64::max);
                c.on_the_way.push_back((arrives, message));
            }
            let mut due = Vec::new();
            let c = &mut self.coordinators[coordinator];
            let waiting = std::mem::take(&mut c.on_the_way);
            for (at, message) in waiting {
                if at <= now {
                    due.push(message);
                } else {
                    c.on_the_way.push_back((at, message));
                }
            }
            for message in due {
                self.apply(coordinator, message);
            }
        }
    }

    fn apply(&mut self, coordinator: usize, message: Message) {
        let proxy = message.proxy;
        if self.proxies[proxy].coordinator != Some(coordinator) || self.proxies[proxy].joins != message.joined {
            return;
        }
        let p = &mut self.proxies[proxy];
        p.cold = false;
        for change in message.changes {
            match change {
                Change::Bind(classes, table, contents) => {
                    p.tables.insert(table, contents);
                    for class in classes {
                        p.follows[class] = Follows::Table(table);
                    }
                }
                Change::Line(table, server, weight) => {
                    if let Some(held) = p.tables.get_mut(&table) {
                        held.lines.insert(server, weight);
                        held.lines.retain(|_, weight| *weight > 0.0);
                    }
                }
                Change::Level(table, classes, level) => {
                    if let Some(held) = p.tables.get_mut(&table) {
                        held.levels.extend(classes.into_iter().map(|class| (class, level)));
                    }
                }
            }
        }
        for mark in message.marks {
            self.tell_news(coordinator, &format!("event: done\ndata: node={proxy}&nonce={mark}&latency=150.0\n\n"));
        }
    }

    fn config(&self, coordinator: usize) -> String {
        let (site, c) = (&self.site, &self.coordinators[coordinator]);
        let quoted = |names: &[&str]| names.iter().map(|name| format!("\"{name}\"")).collect::<Vec<_>>().join(",");
        let profiles: Vec<String> = site
            .classes
            .iter()
            .map(|class| {
                let mut only = if class.only_zones.is_empty() {
                    String::new()
                } else {
                    format!("\"only-zones\":[{}],", quoted(&class.only_zones))
                };
                if !class.only_kinds.is_empty() {
                    only += &format!("\"only-kinds\":[{}],", quoted(&class.only_kinds));
                }
                format!(
                    "{{\"aim\":{},\"deadline\":{},\"group\":\"{}\",\"late-worth\":0.1,\"name\":\"{}\",{only}\"semantics\":\"{}\",\"window\":{},\"worth\":{}}}",
                    class.aim, class.deadline, class.group, class.name, class.semantics, class.window, class.worth
                )
            })
            .collect();
        let falses = vec!["false"; site.classes.len()].join(",");
        let homes = site.classes.iter().map(|c| c.home_only.to_string()).collect::<Vec<_>>().join(",");
        format!(
            r#"{{"name":"n{coordinator}","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be96{coordinator}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},"distributor":{{"address":"{}"}},"known":{},
"settings":{{"balancers":{},"caps":{{"cpu-us-per-s":600000,"dial-timeout":0.3,"keepalive":15.0,"multiplex":100,"peers":false,"probing":{}}},
"charges":{{}},
"extra":{{"admission":"{}","bare":{},"class-writes":[{falses}],"cost-per-line":0.02,"data-plane-size":{},"egress-per-s":{:.1},"ejects":5,"envelope":{:.1},"home-only":[{homes}],"homed-by-zone":true,"in-flight-max":4.02,"ingest-rate":750.0,"initial-set":10,"interval":{},"lb-method":"lottery","lease":2.5,"park":0.3,"push-delay":{},"queue-cap":{:.1},"reload-span":{:.1},"shift-fee":0.01,"slices":0,"sockets-min":63.0,"sole-owner":false,"try-factor":1.2,"update-cap":{},"usual-how":0,"warm-keys":false,"worst-transit":{}}},
"family":"control","kinds":[{}],"localities":[{}],"locality":"{}","me":{coordinator},"profiles":[{}],
"registry-mode":"on_request","reporting":{{"how":"answers","names":["busy","rif","lat_ms"]}},
"result-mix":{{"whole":0.7,"worst-class":0.1,"worst-tenant":0.0,"worst-window":0.2}},
"rules":{{"ask-within":10.0,"cold-share":0.18,"fall":{:.1},"fall-multiple":{:.1},"ramp-time":{:.1},"stop-sending-within":{:.1}}},
"tick":0.005,"weights":"rough","worth-by":"request"}}}}"#,
            c.listen,
            c.discovery,
            c.relay,
            self.list(None),
            site.coordinators,
            site.probing,
            site.admission,
            site.bare,
            site.proxy_numbers,
            site.lines_per_s,
            site.head,
            site.period,
            (site.push_delay.0 + site.push_delay.1) / 2.0,
            site.queue_cap,
            site.update_span,
            site.update_cap,
            site.push_delay.1,
            quoted(&site.kinds),
            quoted(&site.zones),
            site.zones[coordinator % site.zones.len()],
            profiles.join(","),
            site.fall,
            site.fall_multiple,
            site.ramp,
            site.grace,
        )
    }
}

fn http_head(reader: &mut BufReader<TcpStream>) -> Option<(String, usize)> {
    let (mut first, mut length) = (String::new(), 0);
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim();
        if line.is_empty() {
            return Some((first.trim().to_owned(), length));
        }
        if let Some((name, value)) = line.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().ok()?;
            }
        }
    }
}

fn answer(stream: &mut TcpStream, status: &str, body: &str) -> bool {
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).is_ok()
}

fn decoded(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        match bytes[at] {
            b'+' => out.push(b' '),
            b'%' if at + 2 < bytes.len() => {
                out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
                at += 2;
            }
            byte => out.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn serve_discovery(shared: Shared, coordinator: usize, stream: TcpStream) {
    let mut out = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some((first, _)) = http_head(&mut reader) {
        let path = first.split(' ').nth(1).unwrap_or("").to_owned();
        let query = |key: &str| {
            let (_, query) = path.split_once('?')?;
            let pair = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{key}=")))?;
            pair.parse::<u64>().ok()
        };
        let (after, wait) = (query("index"), query("wait").unwrap_or(0).min(60_000) as f64 / 1e3);
        let mut world = shared.0.lock().unwrap();
        let asked = world.now();
        world.note(format!("discovery: coordinator {coordinator} asks {path}"));
        while !world.over && after.is_some_and(|after| world.revision <= after) && world.now() - asked < wait {
            world = shared.1.wait_timeout(world, Duration::from_millis(5)).unwrap().0;
        }
        let (body, revision) = (world.list(after), world.revision);
        if world.over {
            return;
        }
        if after.is_none_or(|after| revision > after) {
            world.note(format!("discovery: revision {revision} is written to coordinator {coordinator}"));
        }
        drop(world);
        if !answer(&mut out, "200 OK", &body) {
            return;
        }
    }
}

fn serve_relay(shared: Shared, coordinator: usize, stream: TcpStream) {
    let mut out = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some((first, length)) = http_head(&mut reader) {
        if first.starts_with("GET /api/events") {
            let mut world = shared.0.lock().unwrap();
            let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
            let mut text = ":\n".to_owned();
            for (number, proxy) in world.proxies.iter().enumerate() {
                if proxy.coordinator == Some(coordinator) {
                    text += &World::news_event(number, proxy.zone, world.site.rate, proxy.cold);
                }
            }
            if out.write_all(format!("{head}{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_err() {
                return;
            }
            world.coordinators[coordinator].news.push(out.try_clone().unwrap());
            drop(world);
            let _ = reader.read(&mut [0]);
            return;
        }
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_err() {
            return;
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        let orders = body.split('&').find_map(|pair| pair.strip_prefix("ops=")).map(decoded);
        let Some(orders) = orders.filter(|_| body.contains("Action=ApplyOrders")) else {
            answer(&mut out, "400 Bad Request", "<Response><Error><Code>invalid</Code></Error></Response>");
            continue;
        };
        let mut world = shared.0.lock().unwrap();
        let now = world.now();
        let trouble = world.coordinators[coordinator].call_trouble;
        let trouble = trouble.filter(|(from, to, _)| (*from..*to).contains(&now)).map(|(_, _, kind)| kind);
        let taken = world.carry_out(coordinator, &orders);
        let waiting = world.waiting(coordinator);
        world.coordinators[coordinator].calls += 1;
        world.coordinators[coordinator].calls_in_trouble += usize::from(trouble.is_some());
        let short = if orders.len() > 300 { format!("{}...", &orders[..300]) } else { orders.clone() };
        let how = match trouble {
            None => "answered",
            Some(CallTrouble::Reset) => "carried out, its connection reset in place of the answer",
        };
        world.note(format!(
            "relay: call of coordinator {coordinator}, {how}, {taken} orders taken, {waiting:.0} lines wait: {short}"
        ));
        drop(world);
        match trouble {
            Some(CallTrouble::Reset) => {
                drop(reader);
                return reset(out);
            }
            None => {}
        }
        let text = format!(
            "<?xml version=\"1.0\"?>\n<Response><entries><item><ok_count>{taken}</ok_count></item></entries></Response>"
        );
        if !answer(&mut out, "200 OK", &text) {
            return;
        }
    }
}

fn serve_backend(shared: Shared, server: String, stream: TcpStream) {
    let mut out = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some((first, _)) = http_head(&mut reader) {
        let path = first.split(' ').nth(1).unwrap_or("").to_owned();
        let mut world = shared.0.lock().unwrap();
        let now = world.now();
        let is_serving = world.server(&server).is_some_and(|index| world.servers[index].phase == "SERVING");
        if let Some(class) = path.strip_prefix("/operation/").and_then(|class| class.parse().ok()) {
            world.run.push((now, server.clone(), class));
        }
        drop(world);
        let (status, body) = match path.as_str() {
            "/alive" | "/metrics/load" => (
                if is_serving { "200 OK" } else { "503 Service Unavailable" },
                "TEXT inflight=1, util=0.3, latency_ms=2",
            ),
            _ if is_serving => ("200 OK", "done"),
            _ => ("503 Service Unavailable", "draining"),
        };
        if !answer(&mut out, status, body) {
            return;
        }
    }
}

fn listen(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// A proxy: picks a line of its table by weight and sends, at a steady pace, class by class.
fn run_proxy(shared: Shared, proxy: usize) {
    let mut connections: HashMap<String, BufReader<TcpStream>> = HashMap::new();
    let mut class = proxy;
    loop {
        let mut world = shared.0.lock().unwrap();
        if world.over {
            return;
        }
        class = (class + 1) % world.site.classes.len();
        let (now, pause) = (world.now(), 1.0 / world.site.rate);
        let lines = world.held(proxy, class);
        let level = match &world.proxies[proxy].follows[class] {
            Follows::Table(table) => world.proxies[proxy].tables.get(table).and_then(|t| t.levels.get(&class).copied()),
            Follows::Held(_) => None,
        };
        let admission = world.site.admission;
        let admitted = match (level, admission) {
            (Some(level), "rps") => {
                let (tokens, at) = world.proxies[proxy].allowance[class];
                let tokens = (tokens + (now - at) * level).min(1.0f64.max(level));
                world.proxies[proxy].allowance[class] = (if tokens >= 1.0 { tokens - 1.0 } else { tokens }, now);
                tokens >= 1.0
            }
            _ => true,
        };
        let coordinator = world.proxies[proxy].coordinator;
        world.by_proxy.entry((proxy, class)).or_default().total += 1;
        let total: f64 = lines.values().sum();
        let mut point = world.chance() * total;
        let picked = lines.iter().find(|(_, weight)| {
            point -= **weight;
            point <= 0.0
        });
        let picked = picked.or_else(|| lines.iter().next_back()).map(|(id, _)| id.clone());
        let Some((id, index)) = picked.filter(|_| admitted).and_then(|id| Some((id.clone(), world.server(&id)?)))
        else {
            drop(world);
            thread::sleep(Duration::from_secs_f64(pause));
            continue;
        };
        let address = world.servers[index].address.clone();
        drop(world);
        let began = Instant::now();
        let mut exchange = || -> Option<String> {
            if !connections.contains_key(&id) {
                let stream = TcpStream::connect(&address).ok()?;
                let _ = stream.set_nodelay(true);
                stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
                connections.insert(id.clone(), BufReader::new(stream));
            }
            let connection = connections.get_mut(&id)?;
            let request = format!("GET /operation/{class} HTTP/1.1\r\nHost: backend\r\n\r\n");
            connection.get_mut().write_all(request.as_bytes()).ok()?;
            let (first, length) = http_head(connection)?;
            connection.read_exact(&mut vec![0; length]).ok()?;
            Some(first.split(' ').nth(1)?.to_owned())
        };
        let result = exchange();
        if result.is_none() {
            connections.remove(&id);
        }
        let mut world = shared.0.lock().unwrap();
        let answer = result.unwrap_or_else(|| "none".into());
        if let Some(coordinator) = coordinator {
            let zone = world.proxies[proxy].zone;
            let sums = world.by_server.entry((coordinator, zone, id.clone())).or_default();
            sums.total += 1;
            if answer == "200" {
                sums.seconds += began.elapsed().as_secs_f64();
            } else {
                sums.errors += 1;
            }
        }
        world.sent.push(Sent { at: now, proxy, class, server: id, answer });
        drop(world);
        thread::sleep(Duration::from_secs_f64((pause - began.elapsed().as_secs_f64()).max(0.0)));
    }
}

/// The collector of a zone at a coordinator.
fn run_collector(shared: Shared, coordinator: usize, zone: &'static str) {
    let (listen, period, first) = {
        let world = shared.0.lock().unwrap();
        (world.coordinators[coordinator].listen.clone(), world.site.period, world.site.zones[0] == zone)
    };
    loop {
        if shared.0.lock().unwrap().over {
            return;
        }
        let Ok(mut stream) = TcpStream::connect(&listen) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let hello = format!("{{\"type\":\"telemetry\",\"locality\":\"{zone}\"}}\n");
        let mut ok = stream.write_all(hello.as_bytes()).is_ok();
        while ok {
            thread::sleep(Duration::from_secs_f64(period));
            let mut world = shared.0.lock().unwrap();
            if world.over {
                return;
            }
            let mut text = String::new();
            let interval = period * 1e3;
            let keys: Vec<_> =
                world.by_server.keys().filter(|key| key.0 == coordinator && key.1 == zone).cloned().collect();
            for key in keys {
                let sums = world.by_server.remove(&key).unwrap();
                let good = sums.total - sums.errors;
                let rtt = if good > 0 { sums.seconds / good as f64 * 1e3 } else { 0.0 };
                text += &format!(
                    "{{\"type\":\"upstream_stats\",\"locality\":\"{zone}\",\"endpoint\":\"{}\",\"total\":{},\"errors\":{},\"rtt\":{rtt:.3},\"interval\":{interval:.1},\"metrics\":{{\"inflight\":1,\"util\":0.3,\"latency_ms\":2}}}}\n",
                    key.2, sums.total, sums.errors
                );
            }
            if first {
                let keys: Vec<_> = world.by_proxy.keys().copied().collect();
                for key in keys {
                    if world.proxies[key.0].coordinator != Some(coordinator) {
                        continue;
                    }
                    let sums = world.by_proxy.remove(&key).unwrap();
                    text += &format!(
                        "{{\"type\":\"client_stats\",\"node\":{},\"route\":\"{}\",\"total\":{},\"errors\":0,\"interval\":{interval:.1}}}\n",
                        key.0, world.site.classes[key.1].name, sums.total
                    );
                }
            }
            drop(world);
            ok = stream.write_all(text.as_bytes()).is_ok();
        }
    }
}

/// Waits until a coordinator gives its sign of life.
fn is_ready(listen: &str, seconds: f64) -> bool {
    let began = Instant::now();
    while began.elapsed().as_secs_f64() < seconds {
        if let Ok(mut stream) = TcpStream::connect(listen) {
            let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
            let mut line = String::new();
            if stream.write_all(b"{\"type\":\"hb\"}\n").is_ok()
                && BufReader::new(stream).read_line(&mut line).is_ok()
                && line.contains("hb_ok")
            {
                return true;
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

pub struct Play {
    pub shared: Shared,
    children: Vec<Option<Child>>,
    run: String,
    root: String,
    folder: String,
    pub trouble: bool,
}

impl Play {
    /// Starts a coordinator by the deploy file's `run` line.
    pub fn start(&mut self, coordinator: usize) -> bool {
        let world = self.shared.0.lock().unwrap();
        let (config, c) = (world.config(coordinator), &world.coordinators[coordinator]);
        let path = format!("{}/config-{coordinator}.json", self.folder);
        fs::write(&path, config).unwrap();
        let log = File::options()
            .create(true)
            .append(true)
            .open(format!("{}/coordinator-{coordinator}.log", self.folder))
            .unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &self.run])
            .current_dir(&self.root)
            .env("NODE_NAME", format!("n{coordinator}"))
            .env("NODE_LISTEN", &c.listen)
            .env("NODE_DISCOVERY", &c.discovery)
            .env("NODE_CONFIG", &path)
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let listen = c.listen.clone();
        drop(world);
        let Ok(child) = child else { return false };
        note_pid(&self.folder, child.id());
        self.children[coordinator] = Some(child);
        let ready = is_ready(&listen, 20.0);
        let mut world = self.shared.0.lock().unwrap();
        world.note(format!("coordinator {coordinator} is started, ready: {ready}"));
        ready
    }

    pub fn world(&self) -> std::sync::MutexGuard<'_, World> {
        self.shared.0.lock().unwrap()
    }

    pub fn wait_until(&self, at: f64) {
        loop {
            let left = at - self.world().now();
            if left <= 0.0 {
                return;
            }
            thread::sleep(Duration::from_secs_f64(left.min(0.05)));
        }
    }

    /// Whether all coordinators still run.
    pub fn all_run(&mut self) -> bool {
        self.children.iter_mut().flatten().all(|child| matches!(child.try_wait(), Ok(None)))
    }
}

/// A free loopback address for a program that is told where to listen, below the ports that the system hands out by
/// itself, so that no socket of a stand-in takes it meanwhile.
pub fn free_address() -> String {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
    let mut random = (nanos ^ u64::from(std::process::id()) << 32) | 1;
    loop {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        let address = format!("127.0.0.1:{}", 11_000 + random % 20_000);
        if TcpListener::bind(&address).is_ok() && UdpSocket::bind(&address).is_ok() {
            return address;
        }
    }
}

/// Notes a started process, so that `run.sh` can end it if this program is ended itself.
pub fn note_pid(folder: &str, pid: u32) {
    if let Ok(mut file) = File::options().create(true).append(true).open(format!("{folder}/pids")) {
        let _ = writeln!(file, "{pid}");
    }
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    // No case takes longer; `run.sh` ends what was started.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(115));
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let [case, run, root, folder, record, trouble] = &args[..] else {
        eprintln!("standin CASE RUN_COMMAND ROOT FOLDER RECORD TROUBLE");
        std::process::exit(2);
    };
    if case == "shared" {
        std::process::exit(shared::play(&format!("{root}/target/release/craneknot"), folder, record, trouble != "0"));
    }
    if matches!(case.as_str(), "files" | "wrong") {
        std::process::exit(files::play(case, "target/release/craneknot", root, folder, record, trouble != "0"));
    }
    let Some((site, play_case)) = cases::find(case) else {
        eprintln!("no case {case}");
        std::process::exit(2);
    };
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let classes = site.classes.len();
    let standing = |zone: &str, classes: &[Class], class: usize| -> BTreeMap<String, f64> {
        let only = &classes[class].only_zones;
        let kinds = &classes[class].only_kinds;
        let listed = site.servers.iter().enumerate().filter(|(_, (at, kind))| {
            (if only.is_empty() { *at == zone } else { only.contains(at) })
                && (kinds.is_empty() || kinds.contains(kind))
        });
        listed.map(|(number, _)| (format!("s-{number:04x}"), 1.0)).collect()
    };
    let proxies = site
        .proxies
        .iter()
        .map(|zone| Proxy {
            zone,
            coordinator: None,
            joined_at: 0.0,
            joins: 0,
            cold: true,
            follows: (0..classes).map(|class| Follows::Held(standing(zone, &site.classes, class))).collect(),
            tables: BTreeMap::new(),
            allowance: vec![(1.0, 0.0); classes],
        })
        .collect();
    let world = World {
        site: site.clone(),
        start: Instant::now(),
        servers: Vec::new(),
        revision: 41,
        proxies,
        coordinators: Vec::new(),
        sent: Vec::new(),
        run: Vec::new(),
        by_server: BTreeMap::new(),
        by_proxy: BTreeMap::new(),
        record: Vec::new(),
        random: unix_ms | 1,
        over: false,
    };
    let shared: Shared = Arc::new((Mutex::new(world), Condvar::new()));
    for (number, (zone, kind)) in site.servers.iter().enumerate() {
        let id = format!("s-{number:04x}");
        let (held, name) = (shared.clone(), id.clone());
        let address = listen(move |stream| serve_backend(held.clone(), name.clone(), stream));
        let server = Server {
            id,
            zone,
            kind,
            cell: number / 4,
            phase: "SERVING",
            up_ms: 0,
            address,
            revision: 1,
            closed_at: None,
        };
        shared.0.lock().unwrap().servers.push(server);
    }
    for coordinator in 0..site.coordinators {
        let held = shared.clone();
        let discovery = listen(move |stream| serve_discovery(held.clone(), coordinator, stream));
        let held = shared.clone();
        let relay = listen(move |stream| serve_relay(held.clone(), coordinator, stream));
        let free = free_address();
        shared.0.lock().unwrap().coordinators.push(Coordinator {
            listen: free,
            discovery,
            relay,
            tables: BTreeMap::new(),
            bound: BTreeMap::new(),
            queue: VecDeque::new(),
            sent_of_first: 0.0,
            on_the_way: VecDeque::new(),
            news: Vec::new(),
            most_lines: (0.0, 0.0),
            written: BTreeMap::new(),
            calls: 0,
            calls_in_trouble: 0,
            call_trouble: None,
        });
    }
    let mut play = Play {
        shared: shared.clone(),
        children: (0..site.coordinators).map(|_| None).collect(),
        run: run.clone(),
        root: root.clone(),
        folder: folder.clone(),
        trouble: trouble != "0",
    };
    let held = shared.clone();
    thread::spawn(move || {
        let (mut last, mut sign) = (Instant::now(), Instant::now());
        loop {
            thread::sleep(Duration::from_millis(5));
            let mut world = held.0.lock().unwrap();
            if world.over {
                return;
            }
            world.move_channels(last.elapsed().as_secs_f64());
            last = Instant::now();
            if sign.elapsed().as_secs_f64() >= 1.0 {
                sign = Instant::now();
                for coordinator in 0..world.coordinators.len() {
                    world.tell_news(coordinator, ":\n");
                }
            }
        }
    });
    let ready = (0..site.coordinators).all(|coordinator| play.start(coordinator));
    let status = if ready {
        for coordinator in 0..site.coordinators {
            for zone in site.zones.clone() {
                let held = shared.clone();
                thread::spawn(move || run_collector(held, coordinator, zone));
            }
        }
        for proxy in 0..site.proxies.len() {
            let held = shared.clone();
            thread::spawn(move || run_proxy(held, proxy));
        }
        play_case(&mut play)
    } else {
        2
    };
    for child in play.children.iter_mut().flatten() {
        let _ = child.kill();
        let _ = child.wait();
    }
    let _ = fs::remove_file(format!("{folder}/pids"));
    let mut world = shared.0.lock().unwrap();
    world.over = true;
    world.note(format!("exit {status}"));
    let mut text = world.record.join("\n");
    text += "\n\noperations: seconds, proxy, class, backend, answer\n";
    for sent in &world.sent {
        let class = world.site.classes[sent.class].name;
        text += &format!("{:8.3} {} {class} {} {}\n", sent.at, sent.proxy, sent.server, sent.answer);
    }
    text += "\nreceived by backends: seconds, backend, class\n";
    for (at, server, class) in &world.run {
        text += &format!("{at:8.3} {server} {}\n", world.site.classes[*class].name);
    }
    fs::write(record, text).unwrap();
    for line in world.record.iter().rev().take(12).collect::<Vec<_>>().into_iter().rev() {
        println!("{line}");
    }
    drop(world);
    std::process::exit(status);
}
