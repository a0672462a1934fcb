//! Clients that ask for heartbeats all the time, on connections that they keep and on new ones.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use super::judge::{Answer, Asked, Judge, Moment, Question, ANSWER_WITHIN};

/// What asks for a sign of life.
pub const HEARTBEAT: &[u8] = b"{\"type\":\"hb\"}\n";
const PATIENCE: Duration = Duration::from_secs(4); // for an answer; longer than any due time by far
const REDIAL: Duration = Duration::from_millis(15); // after a connection was refused or has ended
const PAUSE_MILLIS: std::ops::Range<u64> = 10..60; // between two questions
const KEPT_CHANCE: f64 = 0.98; // that a kept connection is kept after an answer

/// A coordinator as its clients see it.
#[derive(Clone)]
pub struct Target {
    pub coordinator: usize,
    /// Where clients dial: the coordinator, or what stands before it.
    pub address: SocketAddr,
    pub judge: Arc<Judge>,
    pub over: Arc<AtomicBool>,
    /// Whether clients go elsewhere once SIGTERM comes, so that a coordinator may end by itself at once.
    pub leaves_on_signal: bool,
}

impl Target {
    /// Whether the trial is over.
    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    /// Whether a client should use a coordinator now: nothing reaches one that is stopped or cut off.
    pub fn is_reachable(&self) -> bool {
        let now = Instant::now();
        let timeline = &self.judge.timeline;
        let processes = timeline.processes(self.coordinator);
        let is_terminated = processes.last().is_some_and(|process| process.terminated.is_some());
        timeline.was_present(self.coordinator, now, now) && !(self.leaves_on_signal && is_terminated)
    }

    /// The process that a client dials now, if one runs.
    pub fn process(&self) -> Option<usize> {
        let timeline = &self.judge.timeline;
        let last = timeline.last_process(self.coordinator)?;
        let runs = timeline.processes(self.coordinator)[last].ended.is_none();
        (runs && self.is_reachable()).then_some(last)
    }

    /// Judges an answer, unless the trial ended first.
    pub fn judge(&self, question: Question, answer: Answer) {
        if answer == Answer::Came && question.asked != Asked::BadClient {
            self.judge.timeline.answered(self.coordinator, question.process);
        }
        if !self.is_over() {
            self.judge.judge(question, answer);
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
    /// Dials the process that runs; nothing: none does, or it does not take the connection.
    pub fn open(target: &Target) -> Option<Self> {
        let process = target.process()?;
        let opened = target.judge.moment();
        let stream = TcpStream::connect_timeout(&target.address, PATIENCE).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        stream.set_write_timeout(Some(PATIENCE)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Connection { reader: BufReader::new(stream), process, opened })
    }

    /// Writes; false: the connection has ended.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.reader.get_mut().write_all(bytes).is_ok()
    }

    /// Waits for the answer to a heartbeat.
    pub fn answer(&mut self) -> Answer {
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

    /// A question on this connection.
    pub fn question(&self, target: &Target, asked: Asked, sent: Moment) -> Question {
        Question {
            asked,
            coordinator: target.coordinator,
            process: self.process,
            opened: self.opened.at,
            sent,
            due: ANSWER_WITHIN,
        }
    }
}

/// Asks on a connection that is kept, until the trial is over.
pub fn ask_on_kept(target: &Target, seed: u64) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut kept: Option<Connection> = None;
    while !target.is_over() {
        let open = kept.take().filter(|_| target.is_reachable()).or_else(|| Connection::open(target));
        let Some(mut open) = open else {
            thread::sleep(REDIAL);
            continue;
        };
        let sent = target.judge.moment();
        // A connection that had ended before the question was written owes nothing.
        if open.write(HEARTBEAT) {
            let answer = open.answer();
            target.judge(open.question(target, Asked::HeartbeatOnKept, sent), answer);
            kept = (answer == Answer::Came && rng.random_bool(KEPT_CHANCE)).then_some(open);
        }
        thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MILLIS)));
    }
}

/// Asks on one new connection after another, until the trial is over. The time runs from the dial.
pub fn ask_on_new(target: &Target, seed: u64) {
    let mut rng = Pcg32::seed_from_u64(seed);
    while !target.is_over() {
        let Some(process) = target.process() else {
            thread::sleep(REDIAL);
            continue;
        };
        let sent = target.judge.moment();
        match Connection::open(target) {
            Some(mut open) => {
                let answer = if open.write(HEARTBEAT) { open.answer() } else { Answer::Closed };
                target.judge(open.question(target, Asked::HeartbeatOnNew, sent), answer);
            }
            None if target.process() == Some(process) => {
                let question = Question {
                    asked: Asked::HeartbeatOnNew,
                    coordinator: target.coordinator,
                    process,
                    opened: sent.at,
                    sent,
                    due: ANSWER_WITHIN,
                };
                target.judge(question, Answer::Refused);
            }
            None => {}
        }
        thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MILLIS)));
    }
}
