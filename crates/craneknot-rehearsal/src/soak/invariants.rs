//! Checks the invariants of a soak, from what the peers of the nodes observed and what the nodes count themselves.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use super::active_faults::FaultLog;
use super::coverage::{CoverageViolation, MachineLateness};
use super::node::{EndedProcess, ProcessHistory};
use super::spans::{due_at, Span};

const READY_DEADLINE: Duration = Duration::from_secs(10); // after a start
const MAX_VIOLATIONS: usize = 50; // enough to find a cause

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Answered,
    /// The node rejected it.
    Rejected,
    /// The connection was closed.
    Lost,
    /// No answer arrived before the client's timeout.
    GivenUp,
}

/// A request that was written completely, described as of its last byte.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The process to which it was sent.
    pub epoch: u64,
    /// When its connection was opened, and when it was sent.
    pub opened: Instant,
    pub sent: Instant,
    /// The total machine lateness by then.
    pub machine_lateness: Duration,
    /// The process had closed the connection before the last byte was sent.
    pub connection_had_ended: bool,
}

/// The outcome of a request, and when its client observed it.
#[derive(Clone, Copy, Debug)]
pub struct Reply {
    pub answer: Answer,
    pub at: Instant,
}

/// Collects the violations of the invariants, and counts requests by outcome.
pub struct InvariantChecker {
    started: Instant,
    violations: Mutex<Vec<String>>,
    reported: Mutex<BTreeSet<String>>,
    /// The injected faults and their times.
    pub faults: FaultLog,
    pub lateness: MachineLateness,
    /// Requests answered by their due time.
    pub answered: AtomicU64,
    /// Those of them that were sent after SIGTERM.
    pub answered_after_sigterm: AtomicU64,
    /// Requests answered or rejected after their due time.
    pub answered_late: AtomicU64,
    /// Requests neither answered nor rejected, without an excuse.
    pub unanswered: AtomicU64,
    /// Requests rejected by their due time.
    pub rejected: AtomicU64,
    /// Requests in flight when their process was killed, or given up while it was unable to answer.
    pub excused: AtomicU64,
    pub starts: AtomicU64,
    pub slowest_millis: AtomicU64,
}

impl InvariantChecker {
    /// A checker without violations, with the measurement of the machine lateness.
    pub fn new(lateness: MachineLateness) -> Self {
        InvariantChecker {
            started: Instant::now(),
            violations: Mutex::default(),
            reported: Mutex::default(),
            faults: FaultLog::default(),
            lateness,
            answered: AtomicU64::default(),
            answered_after_sigterm: AtomicU64::default(),
            answered_late: AtomicU64::default(),
            unanswered: AtomicU64::default(),
            rejected: AtomicU64::default(),
            excused: AtomicU64::default(),
            starts: AtomicU64::default(),
            slowest_millis: AtomicU64::default(),
        }
    }

    /// Reports a violation of an invariant.
    pub fn report_violation(&self, summary: String) {
        let mut violations = self.violations.lock().unwrap();
        if violations.len() < MAX_VIOLATIONS {
            violations.push(format!("{:.3} s: {summary}", self.started.elapsed().as_secs_f64()));
        }
    }

    /// Reports a violation, unless the same summary has been reported before.
    fn report_violation_once(&self, summary: String, detail: &str) {
        if self.reported.lock().unwrap().insert(summary.clone()) {
            self.report_violation(format!("{summary}: {detail}"));
        }
    }

    /// Reports that a node counts a violation in its own log.
    pub fn report_counted_violation(&self, node: usize, epoch: u64, counter: &str) {
        self.report_violation_once(
            format!("node {node}, process {epoch}: logged a nonzero {counter}"),
            "counted by itself",
        );
    }

    /// Reports that a process exited without being asked to.
    pub fn report_unexpected_exit(&self, node: usize, epoch: u64, status: &str) {
        self.report_violation_once(format!("node {node}, process {epoch}: exited unexpectedly"), status);
    }

    /// All violations reported so far.
    pub fn violations(&self) -> Vec<String> {
        self.violations.lock().unwrap().clone()
    }

    /// Checks a request against the history of its process: an answer is due half a second after the request, not
    /// counting the time in which the process was stopped or the connection was queued behind a burst of others.
    pub fn check_reply(
        &self,
        node: usize,
        request_kind: &str,
        request: Request,
        history: &ProcessHistory,
        reply: Reply,
    ) {
        let process = process_by_epoch(history, request.epoch).unwrap_or_default();
        let due = due_time(request, &process, reply.at);
        let elapsed = reply.at.saturating_duration_since(request.sent);
        if matches!(reply.answer, Answer::Answered | Answer::Rejected) {
            self.slowest_millis.fetch_max(elapsed.as_millis() as u64, Ordering::Relaxed);
        }
        let counter = match reply.answer {
            Answer::GivenUp if reply.at <= due => &self.excused,
            Answer::Lost | Answer::GivenUp if is_excused(request, history, &process, due) => &self.excused,
            Answer::Lost | Answer::GivenUp => &self.unanswered,
            Answer::Answered | Answer::Rejected if reply.at > due => &self.answered_late,
            Answer::Rejected => &self.rejected,
            Answer::Answered => &self.answered,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let is_after_sigterm = process.terminated.is_some_and(|at| at <= request.sent);
        if std::ptr::eq(counter, &self.answered) && is_after_sigterm {
            self.answered_after_sigterm.fetch_add(1, Ordering::Relaxed);
        }
        if std::ptr::eq(counter, &self.answered_late) || std::ptr::eq(counter, &self.unanswered) {
            self.report_violation(self.describe_failed_request(
                node,
                request_kind,
                request,
                history,
                reply,
                due,
            ));
        }
    }

    /// Describes a request that failed, with all that is known of it.
    fn describe_failed_request(
        &self,
        node: usize,
        request_kind: &str,
        request: Request,
        history: &ProcessHistory,
        reply: Reply,
        due: Instant,
    ) -> String {
        let Request { epoch, opened, sent, machine_lateness, .. } = request;
        let result = match reply.answer {
            Answer::Lost => "never answered, its connection was closed",
            Answer::GivenUp => "never answered, client timed out",
            Answer::Rejected => "rejected late,",
            Answer::Answered => "answered late,",
        };
        let elapsed = reply.at.saturating_duration_since(sent);
        let past_due = reply.at.saturating_duration_since(due);
        let age = sent.saturating_duration_since(opened);
        let terminated = process_by_epoch(history, epoch).and_then(|process| process.terminated);
        let after_sigterm = terminated.map(|at| sent.saturating_duration_since(at));
        let machine_lateness = self.lateness.total().saturating_sub(machine_lateness);
        let faults = self.faults.during(sent, reply.at);
        format!(
            "node {node}: {request_kind} {result} after {elapsed:.3?}, {past_due:.3?} past its due time; process {epoch} of {}, \
             connection {age:.1?} old, sent {after_sigterm:.3?} after SIGTERM, machine late {machine_lateness:.3?} meanwhile, \
             faults {faults:?}",
            history.epoch
        )
    }

    /// Checks how soon a process is ready.
    pub fn check_start(&self, node: usize, state: &ProcessHistory) {
        let Some(at) = state.started.filter(|_| !state.ready && state.terminated.is_none()) else { return };
        let waiting_since = state.last_pause_end().map_or(at, |until| until.max(at));
        if state.killed.is_none() && waiting_since.elapsed() > READY_DEADLINE {
            let summary = format!("node {node}, process {}: not ready within 10 s", state.epoch);
            self.report_violation_once(summary, &format!("{:?}", waiting_since.elapsed()));
        }
    }

    /// Reports proxies whose lines were wrong for too long.
    pub fn report_coverage_violations(&self, violations: Vec<CoverageViolation>) {
        violations
            .into_iter()
            .for_each(|violation| self.report_violation_once(violation.summary, &violation.detail));
    }
}

/// When the answer to a request is due. A connection queued behind a burst for which its process has no room can't be
/// answered, nor can a process answer while it is stopped.
fn due_time(request: Request, process: &EndedProcess, now: Instant) -> Instant {
    let bursts = process.bursts.iter().filter(|span| span.contains(request.opened));
    let spans: Vec<Span> = process.pauses.iter().chain(bursts).copied().collect();
    due_at(request.sent, &spans, now)
}

/// Whether a process need not answer a request: it was killed before the answer was due; or it has exited by itself
/// and the connection was opened after SIGTERM; or the last byte was sent after SIGTERM on a connection that the
/// process had closed.
fn is_excused(request: Request, history: &ProcessHistory, process: &EndedProcess, due: Instant) -> bool {
    let is_killed = process.killed.is_some_and(|killed| killed < due);
    let has_ended = process.killed.is_none() && request.epoch < history.epoch;
    let sent_after_sigterm = process.terminated.is_some_and(|at| request.sent >= at);
    let opened_after_sigterm = process.terminated.is_some_and(|at| request.opened >= at);
    is_killed || has_ended && opened_after_sigterm || sent_after_sigterm && request.connection_had_ended
}

/// The history of one process of a node, present or previous.
fn process_by_epoch(history: &ProcessHistory, epoch: u64) -> Option<EndedProcess> {
    if epoch != history.epoch {
        return history.previous.get(&epoch).cloned();
    }
    let ProcessHistory { terminated, killed, pauses, bursts, .. } = history.clone();
    Some(EndedProcess { terminated, killed, pauses, bursts })
}
