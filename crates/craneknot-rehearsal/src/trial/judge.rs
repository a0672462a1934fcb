//! Judges by due times what the peers of the coordinators observed, and reports the faults active at the time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::Serialize;

use super::timeline::Timeline;
use crate::soak::coverage::MachineLateness;

/// A running process answers requests within this time.
pub const ANSWER_WITHIN: Duration = Duration::from_millis(500);
/// A process is ready within this time of its start.
pub const READY_WITHIN: Duration = Duration::from_secs(10);
/// A mark is acknowledged within this time: draining a full channel and the longest transit, with a reserve.
pub const MARK_WITHIN: Duration = Duration::from_millis(2_000 + 450 + 300);
const MAX_FINDINGS: usize = 200; // enough to find the causes

/// The kind of request to a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Asked {
    HeartbeatOnKept,
    HeartbeatOnNew,
    CollectorHeartbeat,
    BadClient,
    Mark,
}

/// The outcome of a request that had a due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The answer arrived.
    Came,
    /// The connection ended without an answer.
    Closed,
    /// No answer arrived for as long as the peer waited.
    Never,
    /// No connection was made.
    Refused,
}

/// The category of a broken rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reading {
    /// Proxies with no line, drains, cold servers, the channel.
    Lines,
    /// Operations answered late or never.
    Operations,
    /// Heartbeats, rejections and marks.
    Control,
    /// Starts and unexpected exits of processes.
    Processes,
}

/// A broken rule.
#[derive(Clone, Debug, Serialize)]
pub struct Finding {
    /// Since the start of the day, in seconds.
    pub second: f64,
    pub reading: Reading,
    /// The coordinator concerned; `None` if no particular one is.
    pub coordinator: Option<usize>,
    /// The number of the coordinator's process.
    pub process: Option<usize>,
    pub what: String,
    /// The faults that were active then.
    pub active: Vec<String>,
    /// Scheduling delay of the judge's own machine over the same span.
    pub machine_late_ms: u64,
    /// The rule would have been kept without the scheduling delay of the machine.
    pub by_machine: bool,
}

/// Counts of one kind of request.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Tally {
    pub asked: u64,
    /// Answered after the due time.
    pub late: u64,
    /// Of the late ones: would have been in time without the scheduling delay of the judge's own machine.
    pub late_by_machine: u64,
    pub lost: u64,
    /// Not judged: the process was terminated, stopped or disconnected meanwhile, or not ready.
    pub excused: u64,
    pub slowest_ms: u64,
}

/// A point in time, and the total scheduling delay of the machine by then.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    pub at: Instant,
    lateness: Duration,
}

/// A request to one process.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub asked: Asked,
    pub coordinator: usize,
    pub process: usize,
    /// When the connection was opened.
    pub opened: Instant,
    pub sent: Moment,
    pub due: Duration,
}

#[derive(Default)]
struct Observations {
    /// Samples of the total scheduling delay of the machine, oldest first.
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
    /// Creates a judge that uses a timeline.
    pub fn new(timeline: Arc<Timeline>) -> Self {
        Judge { timeline, lateness: MachineLateness::measure(), observations: Mutex::default() }
    }

    /// The present time, with the scheduling delay by now.
    pub fn moment(&self) -> Moment {
        Moment { at: Instant::now(), lateness: self.lateness.total() }
    }

    /// The scheduling delay of the machine since a moment.
    pub fn machine_lateness_since(&self, moment: Moment) -> Duration {
        self.lateness.total().saturating_sub(moment.lateness)
    }

    /// The total scheduling delay of the machine.
    pub fn machine_late(&self) -> Duration {
        self.lateness.total()
    }

    /// Reports that a process has broken a rule, from a moment until now.
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

    /// Reports that a rule was broken over a past span.
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

    /// Records the total scheduling delay of the machine by now.
    pub fn sample(&self) {
        let moment = self.moment();
        self.observations.lock().unwrap().samples.push(moment);
    }

    /// The scheduling delay of the machine over a span, as far as it was sampled.
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

    /// Judges the outcome of a request.
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

    /// Whether a missing or late answer is excused: the process was not ready yet, or was killed, stopped or disconnected
    /// before the due time; or the connection was opened after SIGTERM, and was refused or the process has exited.
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

    /// The tallies and findings so far, and the number of findings that were dropped.
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
