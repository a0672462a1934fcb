//! Judges a soak by its invariants, from what the peers of the nodes saw and what the nodes count of themselves.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use super::active_faults::FaultLog;
use super::coverage::{Broken, MachineLateness};
use super::hold_ups::{due_at, Span};
use super::node::{EndedLife, Life};

const READY_WITHIN: Duration = Duration::from_secs(10); // of a start
const BROKEN_KEPT: usize = 50; // enough to find a cause

/// What became of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Answered,
    /// It was told that it is turned away.
    Rejected,
    /// The connection ended.
    Lost,
    /// Nothing came for as long as the client waits.
    GivenUp,
}

/// A request that was written whole, as of its last byte.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The process that it was sent to.
    pub epoch: u64,
    /// When its connection was opened, and when it was sent.
    pub opened: Instant,
    pub sent: Instant,
    /// How late the machine had been by then, in all.
    pub machine_late: Duration,
    /// The process had ended the connection before the last byte was sent.
    pub on_ended: bool,
}

/// What became of a request, and when its client saw that.
#[derive(Clone, Copy, Debug)]
pub struct Reply {
    pub answer: Answer,
    pub at: Instant,
}

/// What has been seen.
pub struct Oracle {
    begun: Instant,
    broken: Mutex<Vec<String>>,
    seen: Mutex<BTreeSet<String>>,
    /// What was played, and when.
    pub faults: FaultLog,
    pub lateness: MachineLateness,
    /// Answered by their due time.
    pub answered: AtomicU64,
    /// Those of them that were asked after SIGTERM.
    pub answered_after_sigterm: AtomicU64,
    /// Answered or turned away after their due time.
    pub late: AtomicU64,
    /// Neither answered nor turned away, and excused by nothing.
    pub never: AtomicU64,
    /// Turned away by their due time.
    pub rejected: AtomicU64,
    /// Requests in flight as their process was killed, or given up while it was held up.
    pub excused: AtomicU64,
    pub starts: AtomicU64,
    pub slowest_millis: AtomicU64,
}

impl Oracle {
    /// One that has seen nothing, with what measures the machine.
    pub fn new(lateness: MachineLateness) -> Self {
        Oracle {
            begun: Instant::now(),
            broken: Mutex::default(),
            seen: Mutex::default(),
            faults: FaultLog::default(),
            lateness,
            answered: AtomicU64::default(),
            answered_after_sigterm: AtomicU64::default(),
            late: AtomicU64::default(),
            never: AtomicU64::default(),
            rejected: AtomicU64::default(),
            excused: AtomicU64::default(),
            starts: AtomicU64::default(),
            slowest_millis: AtomicU64::default(),
        }
    }

    /// An invariant does not hold.
    pub fn broken(&self, what: String) {
        let mut broken = self.broken.lock().unwrap();
        if broken.len() < BROKEN_KEPT {
            broken.push(format!("{:.3} s: {what}", self.begun.elapsed().as_secs_f64()));
        }
    }

    /// The same, told once.
    fn broken_once(&self, what: String, detail: &str) {
        if self.seen.lock().unwrap().insert(what.clone()) {
            self.broken(format!("{what}: {detail}"));
        }
    }

    /// A node counts a violation of itself.
    pub fn told_violation(&self, node: usize, epoch: u64, figure: &str) {
        self.broken_once(format!("node {node}, process {epoch}: counts {figure}"), "of itself");
    }

    /// A process ended though nobody asked it to.
    pub fn ended_by_itself(&self, node: usize, epoch: u64, status: &str) {
        self.broken_once(format!("node {node}, process {epoch}: ended by itself"), status);
    }

    /// All that was broken.
    pub fn all_broken(&self) -> Vec<String> {
        self.broken.lock().unwrap().clone()
    }

    /// Judges a request by the life of the process that it was sent to: an answer is due half a second after the request,
    /// beyond the time in which the process was stopped or a crowd stood before the connection.
    pub fn judge(&self, node: usize, what: &str, request: Request, life: &Life, reply: Reply) {
        let own = life_of(life, request.epoch).unwrap_or_default();
        let due = due_of(request, &own, reply.at);
        let took = reply.at.saturating_duration_since(request.sent);
        if matches!(reply.answer, Answer::Answered | Answer::Rejected) {
            self.slowest_millis.fetch_max(took.as_millis() as u64, Ordering::Relaxed);
        }
        let count = match reply.answer {
            Answer::GivenUp if reply.at <= due => &self.excused,
            Answer::Lost | Answer::GivenUp if is_excused(request, life, &own, due) => &self.excused,
            Answer::Lost | Answer::GivenUp => &self.never,
            Answer::Answered | Answer::Rejected if reply.at > due => &self.late,
            Answer::Rejected => &self.rejected,
            Answer::Answered => &self.answered,
        };
        count.fetch_add(1, Ordering::Relaxed);
        let is_after_sigterm = own.terminated.is_some_and(|at| at <= request.sent);
        if std::ptr::eq(count, &self.answered) && is_after_sigterm {
            self.answered_after_sigterm.fetch_add(1, Ordering::Relaxed);
        }
        if std::ptr::eq(count, &self.late) || std::ptr::eq(count, &self.never) {
            self.broken(self.failed_request(node, what, request, life, reply, due));
        }
    }

    /// All that is known of a request that failed.
    fn failed_request(
        &self,
        node: usize,
        what: &str,
        request: Request,
        life: &Life,
        reply: Reply,
        due: Instant,
    ) -> String {
        let Request { epoch, opened, sent, machine_late, .. } = request;
        let became = match reply.answer {
            Answer::Lost => "never answered, its connection ended",
            Answer::GivenUp => "never answered, given up",
            Answer::Rejected => "turned away late,",
            Answer::Answered => "answered late,",
        };
        let took = reply.at.saturating_duration_since(sent);
        let too_late = reply.at.saturating_duration_since(due);
        let age = sent.saturating_duration_since(opened);
        let terminated = life_of(life, epoch).and_then(|own| own.terminated);
        let after_sigterm = terminated.map(|at| sent.saturating_duration_since(at));
        let machine_late = self.lateness.total().saturating_sub(machine_late);
        let faults = self.faults.during(sent, reply.at);
        format!(
            "node {node}: {what} {became} after {took:.3?}, {too_late:.3?} past its due time; process {epoch} of {}, \
             connection {age:.1?} old, sent {after_sigterm:.3?} after SIGTERM, machine late {machine_late:.3?} meanwhile, \
             faults {faults:?}",
            life.epoch
        )
    }

    /// Judges how soon a process was ready.
    pub fn judge_start(&self, node: usize, life: &Life) {
        let Some(started) = life.started.filter(|_| !life.ready && life.terminated.is_none()) else { return };
        let from = life.last_paused().map_or(started, |until| until.max(started));
        if life.killed.is_none() && from.elapsed() > READY_WITHIN {
            let what = format!("node {node}, process {}: not ready within 10 s", life.epoch);
            self.broken_once(what, &format!("{:?}", from.elapsed()));
        }
    }

    /// What proxies hold has been wrong for too long.
    pub fn broken_coverage(&self, broken: Vec<Broken>) {
        broken.into_iter().for_each(|broken| self.broken_once(broken.what, &broken.detail));
    }
}

/// When a request's answer is due. Who waits behind a crowd that its process has no room for can't be answered, nor can
/// a process answer while it is stopped.
fn due_of(request: Request, own: &EndedLife, now: Instant) -> Instant {
    let crowded = own.crowded.iter().filter(|span| span.contains(request.opened));
    let spans: Vec<Span> = own.paused.iter().chain(crowded).copied().collect();
    due_at(request.sent, &spans, now)
}

/// A request is no process's to answer that was killed before it was due; nor one's that has ended by itself after
/// SIGTERM, if that was before the request's connection was taken in or its last byte was sent.
fn is_excused(request: Request, life: &Life, own: &EndedLife, due: Instant) -> bool {
    let is_killed = own.killed.is_some_and(|killed| killed < due);
    let has_ended = own.killed.is_none() && request.epoch < life.epoch;
    let is_terminated = own.terminated.is_some_and(|at| request.sent >= at);
    let came_too_late = own.terminated.is_some_and(|at| request.opened >= at);
    is_killed || has_ended && came_too_late || is_terminated && request.on_ended
}

/// What is known of a node's process: the one that runs, or one before.
fn life_of(life: &Life, epoch: u64) -> Option<EndedLife> {
    if epoch != life.epoch {
        return life.before.get(&epoch).cloned();
    }
    let Life { terminated, killed, paused, crowded, .. } = life.clone();
    Some(EndedLife { terminated, killed, paused, crowded })
}
