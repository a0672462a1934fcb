//! Results of a run: the outcomes of the operations and the breaches of rules.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time past the deadline up to which an answer counts as late rather than lost.
pub const LATE_ALLOWANCE: Duration = Duration::from_millis(500);

/// Length of the windows in a [`Summary`].
pub const WINDOW: Duration = Duration::from_secs(5);

/// The final outcome of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Served by its deadline.
    InTime,
    /// Answered up to [`LATE_ALLOWANCE`] past its deadline.
    Late,
    /// Answered later than that.
    Later,
    /// Not answered although that time has passed.
    Never,
    /// Rejected by its deadline without having run.
    Refused,
    /// Answered as failed by its deadline.
    Failed,
    /// Not answered yet, and not overdue.
    InFlight,
}

/// Reason for an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The work of the operation itself.
    OwnWork,
    /// Waiting for a slot or for a share of the cores.
    QueueWait,
    /// A server that held so many requests that it slowed down.
    SlowedPastKnee,
    /// A server that was not warm yet.
    ColdServer,
    /// Opening the first connection.
    FirstConnection,
    /// Tries before the last one.
    Retries,
    /// The proxy had no usable line.
    NoLine,
    /// The admission level.
    Level,
    /// Rejected, without having run, by a server whose queue was full.
    ServerFull,
    /// The server had stopped and the proxy's coordinator had not been notified.
    ServerGoneUntold,
    /// The server had stopped and the proxy's coordinator had been notified.
    ServerGoneTold,
    /// The server accepted no further connections.
    Connection,
    /// The server was silent.
    SilentServer,
    /// The server was slower than normal.
    SlowServer,
    /// The server answered with an error.
    ServerError,
    /// The proxy's process ended.
    ProxyGone,
}

/// Counts of outcomes. Every operation is in exactly one count besides `offered` and `within_aim`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Operations that arrived.
    pub offered: u64,
    /// Operations of `in_time` that were served within the latency goal.
    pub within_aim: u64,
    /// [`Outcome::InTime`].
    pub in_time: u64,
    /// [`Outcome::Late`].
    pub late: u64,
    /// [`Outcome::Later`].
    pub later: u64,
    /// [`Outcome::Never`].
    pub never: u64,
    /// [`Outcome::Refused`].
    pub refused: u64,
    /// [`Outcome::Failed`].
    pub failed: u64,
    /// [`Outcome::InFlight`].
    pub in_flight: u64,
}

impl Tally {
    /// Counts one operation.
    pub fn count(&mut self, outcome: Outcome, within_aim: bool) {
        self.offered += 1;
        self.within_aim += u64::from(within_aim);
        *self.slot(outcome) += 1;
    }

    fn slot(&mut self, outcome: Outcome) -> &mut u64 {
        match outcome {
            Outcome::InTime => &mut self.in_time,
            Outcome::Late => &mut self.late,
            Outcome::Later => &mut self.later,
            Outcome::Never => &mut self.never,
            Outcome::Refused => &mut self.refused,
            Outcome::Failed => &mut self.failed,
            Outcome::InFlight => &mut self.in_flight,
        }
    }

    /// Sum of the counts of all outcomes.
    pub fn accounted(&self) -> u64 {
        self.in_time + self.late + self.later + self.never + self.refused + self.failed + self.in_flight
    }

    /// Operations lost by the rule: answered later than allowed, or never.
    pub fn lost(&self) -> u64 {
        self.later + self.never
    }
}

/// Outcomes of the operations that arrived within a window.
#[derive(Clone, Debug, PartialEq)]
pub struct Window {
    /// Start of the window.
    pub start: Duration,
    /// Outcomes of all classes.
    pub total: Tally,
    /// Outcomes by class.
    pub by_class: Vec<Tally>,
}

/// An operation whose final answer came later than allowed, or never.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostOperation {
    /// The proxy that received it.
    pub proxy: u16,
    /// Index of the class.
    pub class: usize,
    /// When it arrived.
    pub arrived: Duration,
    /// When it was answered.
    pub answered: Option<Duration>,
    /// Reason for the delay.
    pub reason: Reason,
}

/// The longest time for which a joined proxy had no line for a class while its coordinator's list had a ready
/// server, cold or warm, that the class may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NoLinePeriod {
    /// The proxy.
    pub proxy: u16,
    /// Index of the class.
    pub class: usize,
    /// The coordinator that the proxy had joined.
    pub coordinator: usize,
    /// Start of the period.
    pub start: Duration,
    /// Length without the time in which limits were suspended.
    pub length: Duration,
    /// Whether it lasted longer than the rule allows.
    pub breaks_rule: bool,
}

/// Sends of a joined proxy to a server after the grace period since its coordinator was notified of the
/// drain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainBreach {
    /// The proxy.
    pub proxy: u16,
    /// Index of the server in the settings.
    pub server: usize,
    /// The coordinator that the proxy had joined.
    pub coordinator: usize,
    /// Time of the first such send.
    pub first: Duration,
    /// Number of such sends.
    pub sends: u64,
    /// Time from the end of the grace period to the last such send.
    pub latest_after_grace: Duration,
}

/// A cold server that crashed from overload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadCrash {
    /// Index of the server in the settings.
    pub server: usize,
    /// When it crashed.
    pub at: Duration,
    /// Share of the work sent by proxies that were informed of the server's start.
    pub informed_share: f64,
    /// Whether that share breaks the rule.
    pub breaks_rule: bool,
}

/// A channel whose queue exceeded the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueBreach {
    /// The coordinator.
    pub coordinator: usize,
    /// When that first happened.
    pub at: Duration,
}

/// A change to a server in a script.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerAction {
    /// The process starts, cold unless at time zero.
    Start,
    /// The server drains.
    Drain,
    /// The process stops.
    Stop,
    /// The server becomes silent, or ends its silence.
    Silence(bool),
    /// The server becomes slower than normal by a factor of at least 1.
    Slow(f64),
    /// The server answers that share of tries immediately with an error.
    Errors(f64),
}

/// An entry in a script of server changes.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerChange {
    /// When it happens.
    pub at: Duration,
    /// The server.
    pub server: String,
    /// The change.
    pub action: ServerAction,
}

/// Results of a run so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Outcomes of all operations.
    pub total: Tally,
    /// Outcomes by class.
    pub by_class: Vec<Tally>,
    /// Outcomes by the window in which the operations arrived.
    pub windows: Vec<Window>,
    /// Operations by outcome and reason.
    pub reasons: BTreeMap<(Outcome, Reason), u64>,
    /// Operations answered later than allowed, or never, in order of arrival.
    pub lost_operations: Vec<LostOperation>,
    /// Longest period without a line by proxy and class, longest first.
    pub no_line_periods: Vec<NoLinePeriod>,
    /// Sends after the grace period of a drain, by proxy, server and coordinator.
    pub drain_breaches: Vec<DrainBreach>,
    /// Crashes of cold servers from overload.
    pub overload_crashes: Vec<OverloadCrash>,
    /// Longest queue of each coordinator's channel, in lines.
    pub longest_queue: Vec<f64>,
    /// Channels whose queue exceeded the limit.
    pub queue_breaches: Vec<QueueBreach>,
    /// Retries of unsafe operations after a try that might have run.
    pub unsafe_repeats: u64,
    /// Sends to a server in a zone that the class may not use.
    pub misplaced_sends: u64,
    /// Marks that proxies have acknowledged.
    pub marks_acknowledged: u64,
    /// Marks that were lost with a stream or a coordinator.
    pub marks_lost: u64,
    /// Marks that are still unacknowledged.
    pub marks_waiting: u64,
    /// Longest time from a mark's order until its acknowledgement, or until now if it is unacknowledged.
    pub longest_mark: Duration,
}

impl Summary {
    /// Periods without a line that break the rule.
    pub fn no_line_periods_beyond_limit(&self) -> impl Iterator<Item = &NoLinePeriod> {
        self.no_line_periods.iter().filter(|period| period.breaks_rule)
    }
}
