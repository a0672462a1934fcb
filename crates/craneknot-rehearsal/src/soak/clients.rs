//! Clients of a node: some send heartbeats over kept or new connections, whole or in two writes; collectors
//! send reports; bursts of clients connect at once, and some clients stay silent.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use super::fleet::{Fleet, CLASSES, ZONES};
use super::invariants::{Answer, InvariantChecker, Reply, Request};
use super::node::ProcessHistory;

const HEARTBEAT: &[u8] = b"{\"type\":\"hb\"}\n";
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6); // longer than any pause and burst
const RECONNECT_DELAY: Duration = Duration::from_millis(20); // after a refused or closed connection
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const SILENT_CLOSE_DEADLINE: Duration = Duration::from_secs(6); // silent connections are closed by then
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// State shared by all clients of one node.
#[derive(Clone)]
pub struct ClientContext {
    pub node: usize,
    pub history: Arc<Mutex<ProcessHistory>>,
    pub checker: Arc<InvariantChecker>,
    pub finished: Arc<AtomicBool>,
}

impl ClientContext {
    fn history(&self) -> ProcessHistory {
        self.history.lock().unwrap().clone()
    }

    fn is_finished(&self) -> bool {
        self.finished.load(Ordering::Relaxed)
    }

    fn check_reply(&self, request_kind: &str, request: Request, reply: Reply) {
        if reply.answer == Answer::Answered {
            let mut history = self.history.lock().unwrap();
            if history.epoch == request.epoch {
                history.ready = true;
                history.ready_at = history.ready_at.or_else(|| Some(Instant::now()));
            }
        }
        // Requests that were in flight at the end of the soak are not checked.
        if !self.is_finished() {
            self.checker.check_reply(self.node, request_kind, request, &self.history(), reply);
        }
    }
}

/// A connection to one process of the node.
struct Connection {
    reader: BufReader<TcpStream>,
    epoch: u64,
    opened: Instant,
    checker: Arc<InvariantChecker>,
}

impl Connection {
    fn open(context: &ClientContext) -> Option<Self> {
        let history = context.history();
        let stream = history.address.and_then(|address| TcpStream::connect(address).ok())?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
        stream.set_nodelay(true).ok()?;
        let (reader, checker) = (BufReader::new(stream), context.checker.clone());
        Some(Connection { reader, epoch: history.epoch, opened: Instant::now(), checker })
    }

    /// A request whose last byte is written now.
    fn request(&self) -> Request {
        let machine_lateness = self.checker.lateness.total();
        let connection_had_ended = self.is_closed_by_peer();
        Request {
            epoch: self.epoch,
            opened: self.opened,
            sent: Instant::now(),
            machine_lateness,
            connection_had_ended,
        }
    }

    fn write(&mut self, bytes: &[u8]) -> bool {
        self.reader.get_mut().write_all(bytes).is_ok()
    }

    /// Whether the peer has already closed the connection, so that nobody receives a request written now.
    fn is_closed_by_peer(&self) -> bool {
        let stream = self.reader.get_ref();
        if stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = stream.peek(&mut [0; 1]);
        let is_open = stream.set_nonblocking(false).is_ok();
        let would_block = peeked.as_ref().is_err_and(|cause| cause.kind() == ErrorKind::WouldBlock);
        !is_open || !would_block && !matches!(peeked, Ok(count) if count > 0)
    }

    fn read_reply(&mut self) -> Reply {
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

/// Sends heartbeats until the soak ends.
pub fn send_heartbeats(context: &ClientContext, seed: u64) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut connection: Option<Connection> = None;
    while !context.is_finished() {
        let Some(open) = connection.as_mut() else {
            connection = Connection::open(context);
            if connection.is_none() {
                thread::sleep(RECONNECT_DELAY);
            }
            continue;
        };
        let first_part =
            if rng.random_bool(0.4) { rng.random_range(1..HEARTBEAT.len()) } else { HEARTBEAT.len() };
        let (mut rest, mut written) = (HEARTBEAT, true);
        if first_part < HEARTBEAT.len() {
            written = open.write(&HEARTBEAT[..first_part]);
            rest = &HEARTBEAT[first_part..];
            thread::sleep(Duration::from_millis(rng.random_range(0..40)));
        }
        let request = open.request();
        if !written || !open.write(rest) {
            // The connection was closed before the request was complete.
            connection = None;
            thread::sleep(RECONNECT_DELAY);
            continue;
        }
        let is_last = rng.random_bool(0.1);
        if is_last {
            let _ = open.reader.get_ref().shutdown(Shutdown::Write);
        }
        let reply = open.read_reply();
        context.check_reply("a heartbeat", request, reply);
        if is_last || reply.answer != Answer::Answered || rng.random_bool(0.1) {
            connection = None;
        }
        thread::sleep(Duration::from_millis(rng.random_range(0..120)));
    }
}

/// Sends reports for a zone, and a heartbeat in every second round, until the soak ends.
pub fn run_collector(context: &ClientContext, zone: &str, fleet: &Mutex<Fleet>) {
    let mut connection: Option<Connection> = None;
    let mut round = 0;
    while !context.is_finished() {
        let Some(open) = connection.as_mut() else {
            connection = Connection::open(context);
            if let Some(open) = connection.as_mut() {
                open.write(format!("{{\"type\":\"telemetry\",\"locality\":\"{zone}\"}}\n").as_bytes());
            }
            thread::sleep(RECONNECT_DELAY);
            continue;
        };
        round += 1;
        let written = open.write(report_lines(zone, context.node, fleet).as_bytes());
        let sends_heartbeat = round % 2 == 0;
        let request = open.request();
        if !written || sends_heartbeat && !open.write(HEARTBEAT) {
            connection = None;
            continue;
        }
        if sends_heartbeat {
            let reply = open.read_reply();
            context.check_reply("a collector's heartbeat", request, reply);
            if reply.answer != Answer::Answered {
                connection = None;
            }
        }
        thread::sleep(REPORT_INTERVAL);
    }
}

/// Load reports of a zone: the outcomes that its proxies observed per server, and their operations per class.
fn report_lines(zone: &str, node: usize, fleet: &Mutex<Fleet>) -> String {
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

/// Connections opened together that each send one heartbeat at once; the replies are read by
/// [`HeartbeatBurst::check_replies`].
pub struct HeartbeatBurst {
    context: ClientContext,
    sent: Vec<(Connection, Request)>,
}

impl HeartbeatBurst {
    /// Opens `count` connections and sends a heartbeat on each.
    pub fn open(context: &ClientContext, count: usize) -> Self {
        let requests = (0..count).filter_map(|_| {
            let mut open = Connection::open(context)?;
            let request = open.request();
            open.write(HEARTBEAT).then_some((open, request))
        });
        HeartbeatBurst { context: context.clone(), sent: requests.collect() }
    }

    /// Waits for each reply in a thread of its own, so that none is read later than it arrived.
    pub fn check_replies(self) {
        let context = &self.context;
        thread::scope(|scope| {
            for (mut open, request) in self.sent {
                scope
                    .spawn(move || context.check_reply("a heartbeat of a burst", request, open.read_reply()));
            }
        });
    }
}

/// Opens connections that send nothing: unless its process ends, the node must close each in time or state why
/// it rejects it.
pub fn check_silent_connections(context: &ClientContext, count: usize) {
    let connections: Vec<(Connection, Instant)> =
        (0..count).filter_map(|_| Some((Connection::open(context)?, Instant::now()))).collect();
    for (mut open, opened) in connections {
        let mut line = String::new();
        let was_closed = open.reader.read_line(&mut line).is_ok() || opened.elapsed() < ANSWER_TIMEOUT;
        let history = context.history();
        let is_running =
            history.epoch == open.epoch && history.terminated.is_none() && history.killed.is_none();
        let is_late = !was_closed || opened.elapsed() > SILENT_CLOSE_DEADLINE;
        let was_paused = history.last_pause_end().is_some_and(|until| until > opened);
        if is_late && is_running && !was_paused && !context.is_finished() {
            context.checker.report_violation(format!(
                "node {}: a silent connection was not closed in time",
                context.node
            ));
        }
    }
}

/// Waits until the process has answered a heartbeat; returns false on a timeout.
pub fn await_ready(context: &ClientContext, timeout: Duration) -> bool {
    let until = Instant::now() + timeout;
    while Instant::now() < until && !context.is_finished() {
        if context.history().ready {
            return true;
        }
        thread::sleep(READY_POLL_INTERVAL);
    }
    context.history().ready
}
