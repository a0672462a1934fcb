//! Clients that continuously request heartbeats, on kept connections and on new ones.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use super::judge::{Answer, Asked, Judge, Moment, Request, ANSWER_WITHIN};

/// The message that requests a heartbeat.
pub const HEARTBEAT: &[u8] = b"{\"type\":\"hb\"}\n";
const CLIENT_TIMEOUT: Duration = Duration::from_secs(4); // for an answer; far longer than any due time
const RECONNECT_DELAY: Duration = Duration::from_millis(15); // after a connection was refused or has ended
const PAUSE_MILLIS: std::ops::Range<u64> = 10..60; // between two requests
const KEEP_PROBABILITY: f64 = 0.98; // that a kept connection stays open after an answer

/// A coordinator as its clients see it.
#[derive(Clone)]
pub struct Target {
    pub coordinator: usize,
    /// Where clients connect: the coordinator, or a fault proxy in front of it.
    pub address: SocketAddr,
    pub judge: Arc<Judge>,
    pub finished: Arc<AtomicBool>,
    /// Whether clients move to another coordinator at SIGTERM, so that the process can exit immediately.
    pub leaves_on_signal: bool,
}

impl Target {
    /// Whether the trial is finished.
    pub fn is_finished(&self) -> bool {
        self.finished.load(Ordering::Relaxed)
    }

    /// Whether a client should use the coordinator now; a stopped or disconnected one can't be reached.
    pub fn is_reachable(&self) -> bool {
        let now = Instant::now();
        let timeline = &self.judge.timeline;
        let processes = timeline.processes(self.coordinator);
        let is_terminated = processes.last().is_some_and(|process| process.terminated.is_some());
        timeline.was_reachable(self.coordinator, now, now) && !(self.leaves_on_signal && is_terminated)
    }

    /// The process that a client connects to now, if one is running.
    pub fn process(&self) -> Option<usize> {
        let timeline = &self.judge.timeline;
        let last = timeline.last_process(self.coordinator)?;
        let runs = timeline.processes(self.coordinator)[last].ended.is_none();
        (runs && self.is_reachable()).then_some(last)
    }

    /// Judges an answer, unless the trial finished before it.
    pub fn judge_answer(&self, request: Request, answer: Answer) {
        if answer == Answer::Came && request.asked != Asked::BadClient {
            self.judge.timeline.record_answer(self.coordinator, request.process);
        }
        if !self.is_finished() {
            self.judge.judge_answer(request, answer);
        }
    }
}

/// A connection to one process.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
    pub process: usize,
    pub opened: Moment,
}

impl Connection {
    /// Connects to the running process; returns `None` if none is running or it doesn't accept the connection.
    pub fn open(target: &Target) -> Option<Self> {
        let process = target.process()?;
        let opened = target.judge.moment();
        let stream = TcpStream::connect_timeout(&target.address, CLIENT_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(CLIENT_TIMEOUT)).ok()?;
        stream.set_write_timeout(Some(CLIENT_TIMEOUT)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Connection { reader: BufReader::new(stream), process, opened })
    }

    /// Writes the bytes; returns false if the connection has ended.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.reader.get_mut().write_all(bytes).is_ok()
    }

    /// Waits for the answer to a heartbeat.
    pub fn read_heartbeat_answer(&mut self) -> Answer {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(_) if line.contains("hb_ok") => Answer::Came,
            Ok(_) => Answer::Closed,
            Err(cause) if matches!(cause.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Answer::Never
            }
            Err(_) => Answer::Closed,
        }
    }

    /// A request on this connection.
    pub fn request(&self, target: &Target, asked: Asked, sent: Moment) -> Request {
        Request {
            asked,
            coordinator: target.coordinator,
            process: self.process,
            opened: self.opened.at,
            sent,
            due: ANSWER_WITHIN,
        }
    }
}

/// Requests heartbeats on a kept connection until the trial is finished.
pub fn run_kept_client(target: &Target, seed: u64) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut kept: Option<Connection> = None;
    while !target.is_finished() {
        let connection = kept.take().filter(|_| target.is_reachable()).or_else(|| Connection::open(target));
        let Some(mut connection) = connection else {
            thread::sleep(RECONNECT_DELAY);
            continue;
        };
        let sent = target.judge.moment();
        // A connection that had ended before the request was written is not judged.
        if connection.write(HEARTBEAT) {
            let answer = connection.read_heartbeat_answer();
            target.judge_answer(connection.request(target, Asked::HeartbeatOnKept, sent), answer);
            kept = (answer == Answer::Came && rng.random_bool(KEEP_PROBABILITY)).then_some(connection);
        }
        thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MILLIS)));
    }
}

/// Requests heartbeats on one new connection after another until the trial is finished. The time counts from the
/// start of the connection attempt.
pub fn run_reconnecting_client(target: &Target, seed: u64) {
    let mut rng = Pcg32::seed_from_u64(seed);
    while !target.is_finished() {
        let Some(process) = target.process() else {
            thread::sleep(RECONNECT_DELAY);
            continue;
        };
        let sent = target.judge.moment();
        match Connection::open(target) {
            Some(mut connection) => {
                let answer = if connection.write(HEARTBEAT) {
                    connection.read_heartbeat_answer()
                } else {
                    Answer::Closed
                };
                target.judge_answer(connection.request(target, Asked::HeartbeatOnNew, sent), answer);
            }
            None if target.process() == Some(process) => {
                let request = Request {
                    asked: Asked::HeartbeatOnNew,
                    coordinator: target.coordinator,
                    process,
                    opened: sent.at,
                    sent,
                    due: ANSWER_WITHIN,
                };
                target.judge_answer(request, Answer::Refused);
            }
            None => {}
        }
        thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MILLIS)));
    }
}
