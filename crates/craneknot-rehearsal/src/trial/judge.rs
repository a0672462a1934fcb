//! Judges by due times what the peers of the coordinators saw, and tells what was active at the time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::Serialize;

use super::timeline::Timeline;
use crate::soak::coverage::MachineLateness;

/// A process that runs answers what it is asked within.
pub const ANSWER_WITHIN: Duration = Duration::from_millis(500);
/// A process is ready within so long of its start.
pub const READY_WITHIN: Duration = Duration::from_secs(10);
/// A mark is acknowledged once a full channel is drained and the longest way is over.
pub const MARK_WITHIN: Duration = Duration::from_millis(2_000 + 450 + 300);
const MAX_FINDINGS: usize = 200; // enough to find causes

/// What was asked of a coordinator, or came to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Asked {
    HeartbeatOnKept,
    HeartbeatOnNew,
    CollectorHeartbeat,
    BadClient,
    Mark,
}

/// What became of something that had a due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It came.
    Came,
    /// The connection ended without it.
    Closed,
    /// Nothing came for as long as the peer waited.
    Never,
    /// No connection was made.
    Refused,
}

/// What a broken rule belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reading {
    /// Proxies without a line, drains, cold servers, the channel.
    Lines,
    /// Operations answered late or never.
    Operations,
    /// Heartbeats, rejects and marks.
    Control,
    /// Starts and unexpected ends of processes.
    Processes,
}

/// A broken rule.
#[derive(Clone, Debug, Serialize)]
pub struct Finding {
    /// Since the trial began.
    pub second: f64,
    pub reading: Reading,
    /// Whom it belongs to; nothing: no coordinator in particular.
    pub coordinator: Option<usize>,
    /// The number of the coordinator's process.
    pub process: Option<usize>,
    pub what: String,
    /// The faults that were active then.
    pub active: Vec<String>,
    /// How late the judge's own machine was over the same span.
    pub machine_late_ms: u64,
    /// It would have kept the rule but for what the machine was late.
    pub by_machine: bool,
}

/// Figures of one kind of question.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Tally {
    pub asked: u64,
    /// Answered after the due time.
    pub late: u64,
    /// Of those: in time, but for what the judge's own machine was late.
    pub late_by_machine: u64,
    pub lost: u64,
    /// Not judged: its process was ended, stopped or cut off meanwhile, or not ready.
    pub excused: u64,
    pub slowest_ms: u64,
}

/// A moment, and how late the machine had been by then.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    pub at: Instant,
    lateness: Duration,
}

/// Something that was asked of one process.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub asked: Asked,
    pub coordinator: usize,
    pub process: usize,
    /// When its connection was opened.
    pub opened: Instant,
    pub sent: Moment,
    pub due: Duration,
}

#[derive(Default)]
struct Observations {
    /// How late the machine had been by when, oldest first.
    samples: Vec<Moment>,
    tallies: BTreeMap<Asked, Tally>,
    findings: Vec<Finding>,
    dropped: u64,
}

/// The judge of one trial.
pub struct Judge {
    pub timeline: Arc<Timeline>,
    lateness: MachineLateness,
    observations: Mutex<Observations>,
}

impl Judge {
    /// Judges by a timeline.
    pub fn new(timeline: Arc<Timeline>) -> Self {
        Judge { timeline, lateness: MachineLateness::measure(), observations: Mutex::default() }
    }

    /// Now.
    pub fn moment(&self) -> Moment {
        Moment { at: Instant::now(), lateness: self.lateness.total() }
    }

    /// How late the machine has been since.
    pub fn machine_lateness_since(&self, moment: Moment) -> Duration {
        self.lateness.total().saturating_sub(moment.lateness)
    }

    /// How late the machine has been in all.
    pub fn machine_late(&self) -> Duration {
        self.lateness.total()
    }

    /// A rule is broken by a process, from a moment until now.
    pub fn report_violation(
        &self,
        reading: Reading,
        coordinator: usize,
        process: usize,
        since: Moment,
        what: String,
    ) {
        self.store(self.finding(reading, coordinator, process, since, what));
    }

    fn finding(
        &self,
        reading: Reading,
        coordinator: usize,
        process: usize,
        since: Moment,
        what: String,
    ) -> Finding {
        Finding {
            second: self.timeline.second(since.at),
            reading,
            coordinator: Some(coordinator),
            process: Some(process),
            what,
            active: self.timeline.active_faults(since.at, Instant::now()),
            machine_late_ms: self.machine_lateness_since(since).as_millis() as u64,
            by_machine: false,
        }
    }

    /// A rule was broken over a span that lies behind.
    pub fn report_past_violation(
        &self,
        reading: Reading,
        coordinator: Option<usize>,
        span: (Instant, Instant),
        what: String,
    ) {
        let (from, until) = span;
        let finding = Finding {
            second: self.timeline.second(from),
            reading,
            coordinator,
            process: coordinator.and_then(|number| self.timeline.process_at(number, from)),
            what,
            active: self.timeline.active_faults(from, until),
            machine_late_ms: self.machine_lateness_between(from, until).as_millis() as u64,
            by_machine: false,
        };
        self.store(finding);
    }

    fn store(&self, finding: Finding) {
        let mut observations = self.observations.lock().unwrap();
        if observations.findings.len() < MAX_FINDINGS {
            observations.findings.push(finding);
        } else {
            observations.dropped += 1;
        }
    }

    /// Notes how late the machine has been by now.
    pub fn sample(&self) {
        let moment = self.moment();
        self.observations.lock().unwrap().samples.push(moment);
    }

    /// How late the machine was over a span, as far as it was sampled.
    fn machine_lateness_between(&self, from: Instant, until: Instant) -> Duration {
        let observations = self.observations.lock().unwrap();
        let by = |at: Instant| {
            let before = observations.samples.partition_point(|sample| sample.at <= at);
            before.checked_sub(1).map_or(Duration::ZERO, |index| observations.samples[index].lateness)
        };
        by(until).saturating_sub(by(from))
    }

    /// Judges how long a mark took to be acknowledged.
    pub fn judge_mark(&self, coordinator: usize, latency: Duration) {
        let is_late = latency > MARK_WITHIN;
        let verdict = if is_late { Verdict::Late } else { Verdict::InTime };
        self.record_tally(Asked::Mark, verdict, latency);
        if is_late {
            let now = Instant::now();
            let span = (now.checked_sub(latency).unwrap_or(now), now);
            let what = format!("a mark was acknowledged after {latency:.1?}, due in {MARK_WITHIN:?}");
            self.report_past_violation(Reading::Control, Some(coordinator), span, what);
        }
    }

    /// Judges what became of a question.
    pub fn judge_answer(&self, request: Request, answer: Answer) {
        let took = request.sent.at.elapsed();
        let is_late = took > request.due;
        let verdict = match answer {
            Answer::Came if !is_late => Verdict::InTime,
            _ if self.is_excused(&request, answer) => Verdict::Excused,
            Answer::Came if took.saturating_sub(self.machine_lateness_since(request.sent)) <= request.due => {
                Verdict::LateByMachine
            }
            Answer::Came => Verdict::Late,
            Answer::Closed | Answer::Never | Answer::Refused => Verdict::Lost,
        };
        self.record_tally(request.asked, verdict, took);
        if !matches!(verdict, Verdict::InTime | Verdict::Excused) {
            let what = format!(
                "{:?} {verdict:?}: {answer:?} after {took:.1?}, due in {:?}",
                request.asked, request.due
            );
            let finding =
                self.finding(Reading::Control, request.coordinator, request.process, request.sent, what);
            self.store(Finding { by_machine: verdict == Verdict::LateByMachine, ..finding });
        }
    }

    fn record_tally(&self, asked: Asked, verdict: Verdict, took: Duration) {
        let mut observations = self.observations.lock().unwrap();
        let tally = observations.tallies.entry(asked).or_default();
        tally.asked += 1;
        match verdict {
            Verdict::InTime => {}
            Verdict::Late => tally.late += 1,
            Verdict::LateByMachine => {
                tally.late += 1;
                tally.late_by_machine += 1;
            }
            Verdict::Lost => tally.lost += 1,
            Verdict::Excused => tally.excused += 1,
        }
        if matches!(verdict, Verdict::InTime | Verdict::Late | Verdict::LateByMachine) {
            tally.slowest_ms = tally.slowest_ms.max(took.as_millis() as u64);
        }
    }

    /// Nothing is owed by a process that was not ready yet, or that was killed, stopped or cut off before the due time;
    /// nor on a connection that was dialled after SIGTERM, if it was refused or the process has ended by itself.
    fn is_excused(&self, request: &Request, answer: Answer) -> bool {
        let processes = self.timeline.processes(request.coordinator);
        let Some(process) = processes.get(request.process) else { return true };
        let due = request.sent.at + request.due;
        let was_ready = process.ready.is_some_and(|ready| ready <= request.sent.at);
        let was_killed = process.killed.is_some_and(|killed| killed <= due);
        let came_after_signal = process.terminated.is_some_and(|at| request.opened >= at);
        let has_ended = process.ended.is_some() || answer == Answer::Refused;
        let was_reachable = self.timeline.was_reachable(request.coordinator, request.sent.at, due);
        !was_ready || was_killed || came_after_signal && has_ended || !was_reachable
    }

    /// The tallies and findings so far, and how many findings were not kept.
    pub fn results(&self) -> (BTreeMap<Asked, Tally>, Vec<Finding>, u64) {
        let observations = self.observations.lock().unwrap();
        (observations.tallies.clone(), observations.findings.clone(), observations.dropped)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    InTime,
    Late,
    LateByMachine,
    Lost,
    Excused,
}
