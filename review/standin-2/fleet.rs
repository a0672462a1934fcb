//! What all cases share: the record, the servers, the list of servers, and the project's programs as processes.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, BufWriter, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::json::Json;

/// A small generator of random numbers (xorshift*), so that a case draws the same each time.
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// From 0 up to 1.
    pub fn unit(&mut self) -> f64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A try of a proxy at a server.
#[derive(Clone, Debug)]
pub struct Try {
    pub proxy: String,
    pub class: String,
    pub server: SocketAddr,
    pub at: f64,
}

/// An operation that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub class: String,
    pub operation: String,
    pub server: SocketAddr,
    pub at: f64,
}

/// What happened so far; times are seconds since the beginning.
pub struct World {
    begin: Instant,
    record: Mutex<BufWriter<File>>,
    pub stopped: AtomicBool,
    pub tries: Mutex<Vec<Try>>,
    pub arrivals: Mutex<Vec<Arrival>>,
    pub without_line: Mutex<Vec<(f64, String, String)>>,
    zones: Mutex<BTreeMap<SocketAddr, String>>,
    answered: AtomicU64,
    failed: AtomicU64,
    /// How many proxies of the platform have joined.
    pub proxies: AtomicUsize,
}

impl World {
    pub fn new(record: &Path) -> io::Result<Arc<World>> {
        Ok(Arc::new(World {
            begin: Instant::now(),
            record: Mutex::new(BufWriter::new(File::create(record)?)),
            stopped: AtomicBool::new(false),
            tries: Mutex::default(),
            arrivals: Mutex::default(),
            without_line: Mutex::default(),
            zones: Mutex::default(),
            answered: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            proxies: AtomicUsize::new(0),
        }))
    }

    pub fn now(&self) -> f64 {
        self.begin.elapsed().as_secs_f64()
    }

    pub fn record(&self, text: &str) {
        let _ = writeln!(self.record.lock().unwrap(), "{:8.3} {text}", self.now());
    }

    /// Records a line that is shown as well.
    pub fn tell(&self, text: &str) {
        println!("{:8.3} {text}", self.now());
        self.record(text);
        let _ = self.record.lock().unwrap().flush();
    }

    pub fn tried(&self, proxy: &str, class: &str, server: SocketAddr, at: f64) {
        let entry = Try { proxy: proxy.to_owned(), class: class.to_owned(), server, at };
        self.tries.lock().unwrap().push(entry);
    }

    pub fn no_line(&self, proxy: &str, class: &str) {
        self.without_line.lock().unwrap().push((self.now(), proxy.to_owned(), class.to_owned()));
    }

    pub fn ended(&self, answered: bool) {
        if answered { &self.answered } else { &self.failed }.fetch_add(1, Ordering::Relaxed);
    }

    /// The operations that were answered, and those that were not.
    pub fn totals(&self) -> (u64, u64) {
        (self.answered.load(Ordering::Relaxed), self.failed.load(Ordering::Relaxed))
    }

    pub fn zone_of(&self, server: SocketAddr) -> String {
        self.zones.lock().unwrap().get(&server).cloned().unwrap_or_default()
    }

    pub fn wait_until(&self, at: f64) {
        while self.now() < at {
            thread::sleep(Duration::from_secs_f64((at - self.now()).clamp(0.0, 0.05)));
        }
    }
}

/// A server that answers every operation at once.
pub struct Server {
    pub address: SocketAddr,
    pub zone: String,
    pub started: Option<f64>,
    stopped: Arc<AtomicBool>,
}

impl Server {
    pub fn start(zone: &str, started: Option<f64>, world: &Arc<World>) -> io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        world.zones.lock().unwrap().insert(address, zone.to_owned());
        let stopped = Arc::new(AtomicBool::new(false));
        let server = Server { address, zone: zone.to_owned(), started, stopped: stopped.clone() };
        let world = world.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(stream) = stream {
                    let _ = serve(stream, address, &world);
                }
            }
        });
        Ok(server)
    }

    /// Ends it: its address refuses connections from now on.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }
}

fn serve(stream: TcpStream, address: SocketAddr, world: &World) -> io::Result<()> {
    stream.set_read_timeout(Some(Duration::from_millis(200)))?;
    let mut lines = BufReader::new(&stream).lines();
    let request = lines.next().unwrap_or_else(|| Ok(String::new()))?;
    let mut operation = String::new();
    for line in lines {
        let line = line?;
        if let Some(number) = line.strip_prefix("X-Operation: ") {
            operation = number.to_owned();
        }
        if line.is_empty() {
            break;
        }
    }
    if let Some(class) = request.strip_prefix("POST /").and_then(|rest| rest.split(' ').next()) {
        let entry = Arrival { class: class.to_owned(), operation, server: address, at: world.now() };
        world.arrivals.lock().unwrap().push(entry);
    }
    (&stream).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}

/// How a server is listed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Listed {
    Up,
    Draining,
    Gone,
}

/// The writer of the list of servers: a file that is replaced by a rename.
pub struct Roster {
    file: PathBuf,
    version: u64,
    pub is_away: bool,
    /// An entry that is wrong, as it stands in the list.
    pub wrong: Option<String>,
    pub servers: Vec<(Server, Listed)>,
    /// When the list first told that a server is not up any more.
    pub told: BTreeMap<SocketAddr, f64>,
}

impl Roster {
    pub fn new(file: PathBuf, servers: Vec<Server>) -> Self {
        let servers = servers.into_iter().map(|server| (server, Listed::Up)).collect();
        Roster { file, version: 0, is_away: false, wrong: None, servers, told: BTreeMap::new() }
    }

    /// Writes the list beside its place and renames it there, unless it is out of reach.
    pub fn write(&mut self, world: &World) -> io::Result<()> {
        self.version += 1;
        if self.is_away {
            return Ok(());
        }
        let entry = |(server, listed): &(Server, Listed)| {
            let state = match listed {
                Listed::Up => "up",
                Listed::Draining => "draining",
                Listed::Gone => return None,
            };
            let started = server.started.map_or(String::new(), |at| format!(r#","started":{at:.3}"#));
            let (address, zone) = (server.address, &server.zone);
            Some(format!(
                r#"{{"address":"{address}","zone":"{zone}","kind":"plain","cell":0,"weight":1.0,"state":"{state}"{started}}}"#
            ))
        };
        let entries: Vec<String> = self.servers.iter().filter_map(entry).chain(self.wrong.clone()).collect();
        let text = format!(r#"{{"version":{},"servers":[{}]}}"#, self.version, entries.join(","));
        let beside = self.file.with_extension("beside");
        fs::write(&beside, text)?;
        fs::rename(&beside, &self.file)?;
        for (server, listed) in &self.servers {
            if *listed != Listed::Up {
                self.told.entry(server.address).or_insert_with(|| world.now());
            }
        }
        Ok(())
    }

    /// Takes the list out of reach, or back with what is true now.
    pub fn set_away(&mut self, is_away: bool, world: &World) -> io::Result<()> {
        self.is_away = is_away;
        if is_away {
            fs::remove_file(&self.file)
        } else {
            self.write(world)
        }
    }
}

pub fn unix_now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// A free port of 127.0.0.1, for TCP or for UDP. It is tried below the range from which systems usually take the ports of
/// outgoing connections, so that none of these takes it before it is used.
pub fn free_address(is_udp: bool) -> io::Result<SocketAddr> {
    static TAKEN: AtomicU64 = AtomicU64::new(0);
    for _ in 0..1_000 {
        let count = TAKEN.fetch_add(1, Ordering::SeqCst) + 1;
        let port = 12_000 + (u64::from(std::process::id()) * 131 + count * 17) % 18_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        let bound = if is_udp { UdpSocket::bind(address).map(drop) } else { TcpListener::bind(address).map(drop) };
        if bound.is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no free port"))
}

/// A program of the project that runs; killed when dropped.
pub struct Program {
    child: Child,
}

impl Program {
    /// Starts `craneknot ARGUMENTS` as the deploy file does, with its log in the folder.
    pub fn start(name: &str, arguments: &[&str], config: Option<&Path>, folder: &Path) -> io::Result<Program> {
        let log = File::options().create(true).append(true).open(folder.join(format!("{name}.log")))?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("exec target/release/craneknot {}", arguments.join(" ")));
        if let Some(config) = config {
            command.env("NODE_CONFIG", config);
        }
        let child = command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).spawn()?;
        let mut pids = File::options().create(true).append(true).open(folder.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        Ok(Program { child })
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{signal} {}", self.child.id())).status();
    }

    pub fn has_ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for its end; kills it after that time.
    pub fn end(mut self, most: Duration) -> Option<std::process::ExitStatus> {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if let Some(status) = self.has_ended() {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(5));
        }
        None
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The address in a ready file of a program, once it is written.
pub fn ready_address(file: &Path, most: Duration) -> io::Result<SocketAddr> {
    let until = Instant::now() + most;
    loop {
        let text = fs::read_to_string(file).unwrap_or_default();
        if let Some(address) = Json::parse(&text).and_then(|ready| ready.at(&["address"]).text().parse().ok()) {
            return Ok(address);
        }
        if Instant::now() > until {
            return Err(io::Error::other(format!("{} was not written", file.display())));
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// What a relay does with the connections that begin with a request for discovery: those of agents' streams.
#[derive(Default)]
pub struct StreamFault {
    /// The streams, each with a mark that lets it fall silent: open, and nothing more comes through.
    silent: Mutex<Vec<Arc<AtomicBool>>>,
    /// The proxies of the streams that stand, as their first requests name them.
    proxies: Mutex<BTreeMap<u64, String>>,
    streams: AtomicU64,
}

impl StreamFault {
    /// Lets the share of the streams that stand fall silent; returns how many, and of how many.
    pub fn silence(&self, share: f64) -> (usize, usize) {
        let streams = std::mem::take(&mut *self.silent.lock().unwrap());
        let standing: Vec<_> = streams.into_iter().filter(|silent| Arc::strong_count(silent) > 1).collect();
        let count = (standing.len() as f64 * share).round() as usize;
        standing.iter().take(count).for_each(|silent| silent.store(true, Ordering::SeqCst));
        (count, standing.len())
    }

    /// The proxies whose streams stand now, by the number of the stream.
    pub fn proxies(&self) -> BTreeMap<u64, String> {
        self.proxies.lock().unwrap().clone()
    }
}

/// The proxy that the first request of a stream names.
fn node_of(head: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(head);
    let rest = text.split("\"node\":{\"id\":\"").nth(1)?;
    rest.split('"').next().map(str::to_owned)
}

/// Carries connections to a coordinator; what the coordinator sends arrives later by `delay`.
pub fn delaying_relay(to: SocketAddr, delay: Duration, fault: Arc<StreamFault>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(to) else { continue };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let (Ok(client_end), Ok(server_end)) = (client.try_clone(), server.try_clone()) else { continue };
            let silent = Arc::new(AtomicBool::new(false));
            let (silent_down, fault) = (silent.clone(), fault.clone());
            thread::spawn(move || {
                // The first request tells whether it is a stream.
                let mut head = vec![0; 64 * 1024];
                let _ = client_end.peek(&mut head[..1]);
                thread::sleep(Duration::from_millis(2));
                let count = client_end.peek(&mut head).unwrap_or_default();
                let number = fault.streams.fetch_add(1, Ordering::SeqCst);
                if head.starts_with(b"POST /v3/discovery") {
                    fault.silent.lock().unwrap().push(silent.clone());
                    if let Some(proxy) = node_of(&head[..count]) {
                        fault.proxies.lock().unwrap().insert(number, proxy);
                    }
                }
                copy(&client_end, &server_end, Duration::ZERO, &silent);
                fault.proxies.lock().unwrap().remove(&number);
            });
            thread::spawn(move || copy(&server, &client, delay, &silent_down));
        }
    });
    Ok(address)
}

fn copy(mut from: &TcpStream, mut to: &TcpStream, delay: Duration, silent: &AtomicBool) {
    thread::scope(|scope| {
        let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
        scope.spawn(move || {
            for (at, bytes) in receiver {
                thread::sleep(at.saturating_duration_since(Instant::now()));
                if to.write_all(&bytes).is_err() {
                    break;
                }
            }
            let _ = to.shutdown(Shutdown::Write);
        });
        let mut buffer = vec![0; 64 * 1024];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            if silent.load(Ordering::SeqCst) {
                continue;
            }
            if sender.send((Instant::now() + delay, buffer[..count].to_vec())).is_err() {
                break;
            }
        }
        drop(sender);
    });
    let _ = from.shutdown(Shutdown::Read);
}
