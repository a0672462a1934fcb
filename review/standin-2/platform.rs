//! The platform of `craneknot node`, as PROTOCOL describes it: the relay with its proxies, the collectors of the zones,
//! and discovery, which can fall silent.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{mpsc, Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::fleet::{Listed, Rng, Server, World};
use crate::proxy::{attempt, Outcome};

/// A server as discovery lists it.
pub struct Host {
    pub id: String,
    pub server: Server,
    pub listed: Listed,
    /// The version of the list in which it changed last.
    version: u64,
}

/// Sums since the last report: by zone and server tries, failures and milliseconds; by proxy and class operations.
#[derive(Default)]
struct Sums {
    tries: BTreeMap<(String, String), (u64, u64, f64)>,
    operations: BTreeMap<(usize, String), (u64, u64)>,
}

#[derive(Default)]
struct Relay {
    tables: BTreeMap<u16, BTreeMap<String, f64>>,
    bindings: BTreeMap<(usize, String), u16>,
    /// By table and class: the share that is let in, and the way of trying again.
    levels: BTreeMap<(u16, String), (f64, u8)>,
    streams: Vec<mpsc::Sender<String>>,
    is_open: bool,
}

/// The platform around one coordinator.
pub struct Platform {
    world: Arc<World>,
    pub hosts: Mutex<Vec<Host>>,
    version: Mutex<u64>,
    relay: Mutex<Relay>,
    sums: Mutex<Sums>,
    /// When the last call that may wait came, and for how long it may.
    pub last_watch: Mutex<Option<(f64, f64)>>,
    /// From when to when discovery is cut off: nothing comes through, and connections made meanwhile never come up.
    pub cut: Mutex<Option<(f64, f64)>>,
    zones: Vec<String>,
    classes: Vec<(String, f64)>,
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<(String, String)> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((first, String::from_utf8_lossy(&body).into_owned()))
}

fn unescape(text: &str) -> String {
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

fn respond(stream: &mut TcpStream, kind: &str, body: &str) -> io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(format!("{head}{body}").as_bytes())
}

impl Platform {
    pub fn new(world: &Arc<World>, zones: &[&str], classes: &[(&str, f64)], servers: Vec<Server>) -> Arc<Self> {
        let host = |(index, server)| Host { id: format!("s-{index}"), server, listed: Listed::Up, version: 1 };
        Arc::new(Platform {
            world: world.clone(),
            hosts: Mutex::new(servers.into_iter().enumerate().map(host).collect()),
            version: Mutex::new(1),
            relay: Mutex::default(),
            sums: Mutex::default(),
            last_watch: Mutex::default(),
            cut: Mutex::default(),
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            classes: classes.iter().map(|(name, rate)| ((*name).to_owned(), *rate)).collect(),
        })
    }

    fn zone_of_proxy(&self, proxy: usize) -> &str {
        &self.zones[proxy % self.zones.len()]
    }

    /// Lists a server in another state from now on.
    pub fn list(&self, index: usize, listed: Listed) {
        let mut version = self.version.lock().unwrap();
        *version += 1;
        let mut hosts = self.hosts.lock().unwrap();
        (hosts[index].listed, hosts[index].version) = (listed, *version);
    }

    fn is_cut(&self) -> bool {
        let now = self.world.now();
        self.cut.lock().unwrap().is_some_and(|(from, to)| from <= now && now < to)
    }

    fn members(&self, after: Option<u64>) -> String {
        let hosts = self.hosts.lock().unwrap();
        let listed = hosts.iter().filter(|host| match after {
            Some(after) => host.version > after,
            None => host.listed != Listed::Gone,
        });
        let entry = |host: &Host| {
            let phase = match host.listed {
                Listed::Up => "SERVING",
                Listed::Draining => "DRAINING",
                Listed::Gone => "DELETED",
            };
            format!(
                r#"{{"id":"{}","host_port":"{}","locality":"{}","flavor":"plain","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#,
                host.id, host.server.address, host.server.zone
            )
        };
        listed.map(entry).collect::<Vec<_>>().join(",")
    }

    pub fn whole_list(&self) -> String {
        let version = *self.version.lock().unwrap();
        format!(r#"{{"revision":{version},"complete":true,"members":[{}]}}"#, self.members(None))
    }

    /// Starts discovery.
    pub fn discovery(self: &Arc<Self>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let platform = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = platform.clone();
                let came_up = !platform.is_cut();
                thread::spawn(move || platform.serve_discovery(stream, came_up));
            }
        });
        Ok(address)
    }

    fn serve_discovery(&self, mut stream: TcpStream, came_up: bool) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let (first, _) = read_request(&mut reader).ok()?;
            let (now, path) = (self.world.now(), first.split(' ').nth(1)?.to_owned());
            self.world.record(&format!("discovery: {path}{}", if came_up { "" } else { " (cut off)" }));
            if !came_up {
                continue; // its end comes with the coordinator's
            }
            let number = |key: &str| -> Option<u64> { path.split(key).nth(1)?.split('&').next()?.parse().ok() };
            let body = match number("index=") {
                None => self.whole_list(),
                Some(after) => {
                    let wait = number("wait=").unwrap_or(0) as f64 / 1e3;
                    if wait > 0.0 {
                        *self.last_watch.lock().unwrap() = Some((now, wait));
                    }
                    while *self.version.lock().unwrap() <= after && self.world.now() < now + wait {
                        thread::sleep(Duration::from_millis(5));
                    }
                    let version = *self.version.lock().unwrap();
                    format!(r#"{{"revision":{version},"complete":false,"members":[{}]}}"#, self.members(Some(after)))
                }
            };
            // What is written while it is cut off comes through when it is back, if the connection still stands.
            while self.is_cut() {
                thread::sleep(Duration::from_millis(5));
            }
            respond(&mut stream, "application/json", &body).ok()?;
            self.world.record(&format!("discovery answered: {}", &body[..body.len().min(160)]));
        }
    }

    /// Starts the relay.
    pub fn relay(self: &Arc<Self>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let platform = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = platform.clone();
                thread::spawn(move || platform.serve_relay(stream));
            }
        });
        Ok(address)
    }

    fn attach(&self, proxy: usize) -> String {
        let rate: f64 = self.classes.iter().map(|(_, rate)| rate).sum();
        format!("event: attach\ndata: node={proxy}&locality={}&w={rate}&cold=1\n\n", self.zone_of_proxy(proxy))
    }

    fn serve_relay(&self, mut stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let (first, body) = read_request(&mut reader).ok()?;
            if first.starts_with("GET /api/events") {
                return self.send_events(stream);
            }
            let answer = if !self.relay.lock().unwrap().is_open {
                "<error>throttled</error>".to_owned()
            } else {
                let orders = unescape(body.split("ops=").nth(1).unwrap_or_default());
                self.world.record(&format!("orders: {}", &orders[..orders.len().min(400)]));
                let taken = self.apply(&orders);
                format!("<entries><item><ok_count>{taken}</ok_count></item></entries>")
            };
            let xml = format!("<?xml version=\"1.0\"?>\n<Response>{answer}</Response>");
            respond(&mut stream, "application/xml", &xml).ok()?;
        }
    }

    fn send_events(&self, mut stream: TcpStream) -> Option<()> {
        let (sender, receiver) = mpsc::channel();
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            .ok()?;
        {
            let mut relay = self.relay.lock().unwrap();
            if relay.is_open {
                let joined: String = (0..self.world.proxies.load(Ordering::SeqCst)).map(|p| self.attach(p)).collect();
                let _ = sender.send(joined);
            }
            relay.streams.push(sender);
        }
        loop {
            let text = match receiver.recv_timeout(Duration::from_millis(1_000)) {
                Ok(text) => text,
                Err(mpsc::RecvTimeoutError::Timeout) => ":\n\n".to_owned(),
                Err(mpsc::RecvTimeoutError::Disconnected) => return None,
            };
            if !text.is_empty() {
                stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).ok()?;
            }
        }
    }

    fn tell(&self, text: &str) {
        self.relay.lock().unwrap().streams.retain(|stream| stream.send(text.to_owned()).is_ok());
    }

    fn apply(&self, orders: &str) -> usize {
        let known: Vec<String> = self.hosts.lock().unwrap().iter().map(|host| host.id.clone()).collect();
        let proxies = self.world.proxies.load(Ordering::SeqCst);
        let (mut taken, mut marks) = (0, Vec::new());
        {
            let mut relay = self.relay.lock().unwrap();
            for order in orders.split(';') {
                let parts: Vec<&str> = order.split(',').collect();
                let names = |text: &str| -> Vec<String> {
                    match text {
                        "*" => self.classes.iter().map(|(name, _)| name.clone()).collect(),
                        text => text.split('+').map(str::to_owned).collect(),
                    }
                };
                let done = match parts[..] {
                    ["share", table, server, weight] => (|| {
                        let weight: f64 = weight.parse().ok().filter(|weight| *weight >= 0.0)?;
                        known.iter().find(|id| *id == server)?;
                        let lines = relay.tables.entry(table.parse().ok()?).or_default();
                        match weight > 0.0 {
                            true => lines.insert(server.to_owned(), weight),
                            false => lines.remove(server),
                        };
                        Some(())
                    })(),
                    ["clear", table] => table.parse().ok().map(|table: u16| drop(relay.tables.remove(&table))),
                    ["bind", proxy, table, classes] => (|| {
                        let proxy: usize = proxy.parse().ok().filter(|proxy| *proxy < proxies)?;
                        let table = table.parse().ok()?;
                        for class in names(classes) {
                            relay.bindings.insert((proxy, class), table);
                        }
                        Some(())
                    })(),
                    ["admit", table, classes, level, how] => (|| {
                        let (table, level, how) = (table.parse().ok()?, level.parse().ok()?, how.parse().ok()?);
                        for class in names(classes) {
                            relay.levels.insert((table, class), (level, how));
                        }
                        Some(())
                    })(),
                    ["mark", mark, _] => {
                        marks.push(mark.to_owned());
                        Some(())
                    }
                    _ => None,
                };
                if done.is_none() {
                    break;
                }
                taken += 1;
            }
        }
        for mark in marks {
            let done = |proxy| format!("event: done\ndata: node={proxy}&nonce={mark}&latency=1.0\n\n");
            self.tell(&(0..proxies).map(done).collect::<String>());
        }
        taken
    }

    /// Begins the run: the relay takes calls, and the proxies join.
    pub fn open(self: &Arc<Self>, proxies: usize) -> Vec<JoinHandle<()>> {
        self.world.proxies.store(proxies, Ordering::SeqCst);
        self.relay.lock().unwrap().is_open = true;
        self.tell(&(0..proxies).map(|proxy| self.attach(proxy)).collect::<String>());
        let run = |proxy| {
            let platform = self.clone();
            thread::spawn(move || platform.run_proxy(proxy))
        };
        (0..proxies).map(run).collect()
    }

    fn run_proxy(&self, proxy: usize) {
        let mut rng = Rng::new(proxy as u64 + 1);
        let total: f64 = self.classes.iter().map(|(_, rate)| rate).sum();
        let (mut next, mut count) = (Instant::now(), 0);
        while !self.world.stopped.load(Ordering::Relaxed) {
            let now = Instant::now();
            if now < next {
                thread::sleep((next - now).min(Duration::from_millis(5)));
                continue;
            }
            next = next.max(now - Duration::from_millis(50))
                + Duration::from_secs_f64(-(1.0 - rng.unit()).ln() / total);
            let mut drawn = rng.unit() * total;
            let class = self.classes.iter().find(|(_, rate)| {
                drawn -= rate;
                drawn < 0.0
            });
            let class = &class.unwrap_or(&self.classes[0]).0;
            count += 1;
            let (lines, level) = {
                let relay = self.relay.lock().unwrap();
                let Some(table) = relay.bindings.get(&(proxy, class.clone())) else { continue };
                let level = relay.levels.get(&(*table, class.clone())).copied().unwrap_or((1.0, 0));
                (relay.tables.get(table).cloned().unwrap_or_default(), level.0)
            };
            let refused = u64::from(rng.unit() >= level);
            {
                let mut sums = self.sums.lock().unwrap();
                let sum = sums.operations.entry((proxy, class.clone())).or_default();
                (sum.0, sum.1) = (sum.0 + 1, sum.1 + refused);
            }
            let whole: f64 = lines.values().sum();
            let mut drawn = rng.unit() * whole;
            let line = lines.iter().find(|(_, weight)| {
                drawn -= **weight;
                drawn < 0.0
            });
            let Some((id, _)) = line.or(lines.iter().last()).filter(|_| refused == 0) else { continue };
            let Some(address) =
                self.hosts.lock().unwrap().iter().find(|host| host.id == *id).map(|host| host.server.address)
            else {
                continue;
            };
            let (name, at, begun) = (format!("forwarder-{proxy}"), self.world.now(), Instant::now());
            self.world.tried(&name, class, address, at);
            let outcome = attempt(address, class, &format!("{name}-{count}"));
            self.world.record(&format!("operation {name}-{count} {class} sent to {id} at {at:.3}: {outcome:?}"));
            let answered = outcome == Outcome::Answered;
            self.world.ended(answered);
            let mut sums = self.sums.lock().unwrap();
            let sum = sums.tries.entry((self.zone_of_proxy(proxy).to_owned(), id.clone())).or_default();
            (sum.0, sum.1) = (sum.0 + 1, sum.1 + u64::from(!answered));
            sum.2 += if answered { begun.elapsed().as_secs_f64() * 1e3 } else { 0.0 };
        }
    }

    /// Passes the sums of all zones on to the coordinator each second, about half a second late.
    pub fn collect(self: &Arc<Self>, coordinator: SocketAddr) -> JoinHandle<()> {
        let platform = self.clone();
        thread::spawn(move || {
            let connect = |zone: &String| {
                let mut stream = TcpStream::connect(coordinator).ok()?;
                writeln!(stream, r#"{{"type":"telemetry","locality":"{zone}"}}"#).ok()?;
                Some((zone.clone(), stream))
            };
            let mut streams: BTreeMap<String, TcpStream> = platform.zones.iter().filter_map(connect).collect();
            while !platform.world.stopped.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(1_000));
                let sums = std::mem::take(&mut *platform.sums.lock().unwrap());
                thread::sleep(Duration::from_millis(500));
                for ((zone, server), (total, errors, millis)) in sums.tries {
                    let Some(stream) = streams.get_mut(&zone) else { continue };
                    let rtt = millis / (total - errors).max(1) as f64;
                    let _ = writeln!(stream, r#"{{"type":"upstream_stats","locality":"{zone}","endpoint":"{server}","total":{total},"errors":{errors},"rtt":{rtt:.3},"interval":1500.0}}"#);
                }
                for ((proxy, class), (total, errors)) in sums.operations {
                    let Some(stream) = streams.get_mut(platform.zone_of_proxy(proxy)) else { continue };
                    let _ = writeln!(stream, r#"{{"type":"client_stats","node":{proxy},"route":"{class}","total":{total},"errors":{errors},"interval":1500.0}}"#);
                }
            }
        })
    }
}

/// Waits until a coordinator answers a sign of life.
pub fn wait_for_life(coordinator: SocketAddr, most: Duration) -> io::Result<()> {
    let until = Instant::now() + most;
    while Instant::now() < until {
        if let Ok(mut stream) = TcpStream::connect(coordinator) {
            let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
            let mut answer = [0; 64];
            if stream.write_all(b"{\"type\":\"hb\"}\n").is_ok() && stream.read(&mut answer).is_ok_and(|count| count > 0) {
                return Ok(());
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    Err(io::Error::other("the coordinator gave no sign of life"))
}
