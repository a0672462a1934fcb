//! Clients of a node: some ask for signs of life again and again, on connections that they keep or open anew, in one piece
//! or in halves; collectors report; crowds come and say nothing.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use super::fleet::{Fleet, CLASSES, ZONES};
use super::node::Life;
use super::oracle::{Answer, Oracle, Reply, Request};

const HEARTBEAT: &[u8] = b"{\"type\":\"hb\"}\n";
const PATIENCE: Duration = Duration::from_secs(6); // for an answer; longer than any pause and crowd
const REDIAL: Duration = Duration::from_millis(20); // after a connection was refused or has ended
const REPORT_EVERY: Duration = Duration::from_millis(500);
const CROWD_GONE_WITHIN: Duration = Duration::from_secs(6); // clients that say nothing are closed by then
const READY_LOOK: Duration = Duration::from_millis(10); // between looks for an address

/// What all clients of one node share.
#[derive(Clone)]
pub struct Surroundings {
    pub node: usize,
    pub life: Arc<Mutex<Life>>,
    pub oracle: Arc<Oracle>,
    pub over: Arc<AtomicBool>,
}

impl Surroundings {
    fn life(&self) -> Life {
        self.life.lock().unwrap().clone()
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    fn judge(&self, what: &str, request: Request, reply: Reply) {
        if reply.answer == Answer::Answered {
            let mut life = self.life.lock().unwrap();
            if life.epoch == request.epoch {
                life.ready = true;
                life.ready_at = life.ready_at.or_else(|| Some(Instant::now()));
            }
        }
        // What ended with the soak is nobody's fault.
        if !self.is_over() {
            self.oracle.judge(self.node, what, request, &self.life(), reply);
        }
    }
}

/// A connection to one process.
struct Connection {
    reader: BufReader<TcpStream>,
    epoch: u64,
    opened: Instant,
    oracle: Arc<Oracle>,
}

impl Connection {
    fn open(around: &Surroundings) -> Option<Self> {
        let life = around.life();
        let stream = life.address.and_then(|address| TcpStream::connect(address).ok())?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        stream.set_nodelay(true).ok()?;
        let (reader, oracle) = (BufReader::new(stream), around.oracle.clone());
        Some(Connection { reader, epoch: life.epoch, opened: Instant::now(), oracle })
    }

    /// A request on it whose last byte is written now.
    fn request(&self) -> Request {
        let machine_late = self.oracle.lateness.total();
        let on_ended = self.has_ended();
        Request { epoch: self.epoch, opened: self.opened, sent: Instant::now(), machine_late, on_ended }
    }

    fn write(&mut self, bytes: &[u8]) -> bool {
        self.reader.get_mut().write_all(bytes).is_ok()
    }

    /// Whether the other side had ended it by now: what is written then is a request to nobody.
    fn has_ended(&self) -> bool {
        let stream = self.reader.get_ref();
        if stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = stream.peek(&mut [0; 1]);
        let is_open = stream.set_nonblocking(false).is_ok();
        let waits = peeked.as_ref().is_err_and(|cause| cause.kind() == ErrorKind::WouldBlock);
        !is_open || !waits && !matches!(peeked, Ok(count) if count > 0)
    }

    fn answer(&mut self) -> Reply {
        let mut line = String::new();
        let answer = match self.reader.read_line(&mut line) {
            Ok(count) if count > 0 && line.contains("hb_ok") => Answer::Answered,
            Ok(count) if count > 0 && line.contains("reject") => Answer::Rejected,
            Err(cause) if matches!(cause.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Answer::GivenUp
            }
            _ => Answer::Lost,
        };
        Reply { answer, at: Instant::now() }
    }
}

/// Asks until the soak is over.
pub fn ask(around: &Surroundings, seed: u64) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut connection: Option<Connection> = None;
    while !around.is_over() {
        let Some(open) = connection.as_mut() else {
            connection = Connection::open(around);
            if connection.is_none() {
                thread::sleep(REDIAL);
            }
            continue;
        };
        let cut = if rng.random_bool(0.4) { rng.random_range(1..HEARTBEAT.len()) } else { HEARTBEAT.len() };
        let (mut rest, mut written) = (HEARTBEAT, true);
        if cut < HEARTBEAT.len() {
            written = open.write(&HEARTBEAT[..cut]);
            rest = &HEARTBEAT[cut..];
            thread::sleep(Duration::from_millis(rng.random_range(0..40)));
        }
        let request = open.request();
        if !written || !open.write(rest) {
            // It had ended before the request was whole.
            connection = None;
            thread::sleep(REDIAL);
            continue;
        }
        let last = rng.random_bool(0.1);
        if last {
            let _ = open.reader.get_ref().shutdown(Shutdown::Write);
        }
        let reply = open.answer();
        around.judge("a heartbeat", request, reply);
        if last || reply.answer != Answer::Answered || rng.random_bool(0.1) {
            connection = None;
        }
        thread::sleep(Duration::from_millis(rng.random_range(0..120)));
    }
}

/// Reports for a zone, and asks for a sign of life now and then, until the soak is over.
pub fn collect(around: &Surroundings, zone: &str, fleet: &Mutex<Fleet>) {
    let mut connection: Option<Connection> = None;
    let mut round = 0;
    while !around.is_over() {
        let Some(open) = connection.as_mut() else {
            connection = Connection::open(around);
            if let Some(open) = connection.as_mut() {
                open.write(format!("{{\"type\":\"telemetry\",\"locality\":\"{zone}\"}}\n").as_bytes());
            }
            thread::sleep(REDIAL);
            continue;
        };
        round += 1;
        let written = open.write(reports(zone, around.node, fleet).as_bytes());
        let asks = round % 2 == 0;
        let request = open.request();
        if !written || asks && !open.write(HEARTBEAT) {
            connection = None;
            continue;
        }
        if asks {
            let reply = open.answer();
            around.judge("a collector's heartbeat", request, reply);
            if reply.answer != Answer::Answered {
                connection = None;
            }
        }
        thread::sleep(REPORT_EVERY);
    }
}

/// What a zone's proxies met, and what came to them.
fn reports(zone: &str, node: usize, fleet: &Mutex<Fleet>) -> String {
    let fleet = fleet.lock().unwrap();
    let mut lines = String::new();
    for server in fleet.servers.iter().filter(|server| server.phase == "SERVING") {
        lines.push_str(&format!(
            "{{\"type\":\"upstream_stats\",\"locality\":\"{zone}\",\"endpoint\":\"{}\",\"total\":9,\"errors\":0,\
             \"rtt\":300.0,\"interval\":500.0,\"metrics\":{{\"util\":0.5}}}}\n",
            server.id
        ));
    }
    for proxy in fleet.joined(node).iter().filter(|proxy| ZONES[usize::from(**proxy) % 2] == zone) {
        for class in CLASSES {
            lines.push_str(&format!(
                "{{\"type\":\"client_stats\",\"node\":{proxy},\"route\":\"{class}\",\"total\":2,\"errors\":0,\
                 \"interval\":500.0}}\n"
            ));
        }
    }
    lines
}

/// Connections made now, of which each is to ask once; written at once, answered when [`CrowdOfAskers::judge`] is
/// called.
pub struct CrowdOfAskers {
    around: Surroundings,
    waiting: Vec<(Connection, Request)>,
}

impl CrowdOfAskers {
    /// Opens so many connections, and asks on each.
    pub fn come(around: &Surroundings, count: usize) -> Self {
        let asked = (0..count).filter_map(|_| {
            let mut open = Connection::open(around)?;
            let request = open.request();
            open.write(HEARTBEAT).then_some((open, request))
        });
        CrowdOfAskers { around: around.clone(), waiting: asked.collect() }
    }

    /// Waits for the answers, for each by itself, so that none is read later than it came.
    pub fn judge(self) {
        let around = &self.around;
        thread::scope(|scope| {
            for (mut open, request) in self.waiting {
                scope.spawn(move || around.judge("a crowd's heartbeat", request, open.answer()));
            }
        });
    }
}

/// Connections that say nothing: each is closed or told why in time, unless its process ends.
pub fn come_silently(around: &Surroundings, count: usize) {
    let silent: Vec<(Connection, Instant)> =
        (0..count).filter_map(|_| Some((Connection::open(around)?, Instant::now()))).collect();
    for (mut open, came) in silent {
        let mut line = String::new();
        let ended = open.reader.read_line(&mut line).is_ok() || came.elapsed() < PATIENCE;
        let life = around.life();
        let runs_on = life.epoch == open.epoch && life.terminated.is_none() && life.killed.is_none();
        let is_late = !ended || came.elapsed() > CROWD_GONE_WITHIN;
        let was_paused = life.last_paused().is_some_and(|until| until > came);
        if is_late && runs_on && !was_paused && !around.is_over() {
            around.oracle.broken(format!("node {}: a silent client stayed", around.node));
        }
    }
}

/// Waits until a process answers; when it did not by then, false.
pub fn await_ready(around: &Surroundings, most: Duration) -> bool {
    let until = Instant::now() + most;
    while Instant::now() < until && !around.is_over() {
        if around.life().ready {
            return true;
        }
        thread::sleep(READY_LOOK);
    }
    around.life().ready
}
