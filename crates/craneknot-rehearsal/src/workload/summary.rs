//! What became of a day: the outcome of each operation and the rules that were broken.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time past its deadline up to which an answer is merely late.
pub const LATE_ALLOWANCE: Duration = Duration::from_millis(500);

/// Length of the windows in a [`Summary`].
pub const WINDOW: Duration = Duration::from_secs(5);

/// The one final outcome of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Served by its deadline.
    InTime,
    /// Answered up to [`LATE_ALLOWANCE`] past its deadline.
    Late,
    /// Answered after that.
    Later,
    /// Not answered, and that time has passed.
    Never,
    /// Turned away by its deadline without having run.
    Refused,
    /// Answered as failed by its deadline.
    Failed,
    /// Not answered yet, and still due.
    InFlight,
}

/// What an outcome is due to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Nothing in particular: the work of the operation itself.
    OwnWork,
    /// Waiting for a slot or for a share of the cores.
    QueueWait,
    /// A server that held so much that it slowed down.
    SlowedPastKnee,
    /// A server that was not warm yet.
    ColdServer,
    /// Opening the first connection.
    FirstConnection,
    /// Tries before the last one.
    Retries,
    /// The proxy had no line to pick.
    NoLine,
    /// The admission level.
    Level,
    /// Refused unseen by a server whose waiting room was full.
    ServerFull,
    /// The server had gone and the proxy's coordinator had not been told.
    ServerGoneUntold,
    /// The server had gone and the proxy's coordinator had been told.
    ServerGoneTold,
    /// The server accepted no further connection.
    Connection,
    /// The server was silent.
    SilentServer,
    /// The server was slower than usual.
    SlowServer,
    /// The server answered with an error.
    ServerError,
    /// The proxy's process ended.
    ProxyGone,
}

/// Counts of outcomes. Every operation is in exactly one of them besides `offered` and `within_aim`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Operations that came.
    pub offered: u64,
    /// Those of `in_time` that were served within the aim.
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

    /// Operations counted by outcome.
    pub fn accounted(&self) -> u64 {
        self.in_time + self.late + self.later + self.never + self.refused + self.failed + self.in_flight
    }

    /// Operations lost in the sense of the rule: answered later than allowed, or never.
    pub fn lost(&self) -> u64 {
        self.later + self.never
    }
}

/// The outcomes of the operations that came within a window.
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
    /// The proxy to which it came.
    pub proxy: u16,
    /// Index of the class.
    pub class: usize,
    /// When it came.
    pub arrived: Duration,
    /// When it was answered.
    pub answered: Option<Duration>,
    /// What held it.
    pub reason: Reason,
}

/// The longest time for which a joined proxy had no line for a class while its coordinator's list had a warm
/// server open to that class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NoLinePeriod {
    /// The proxy.
    pub proxy: u16,
    /// Index of the class.
    pub class: usize,
    /// The coordinator that the proxy had joined.
    pub coordinator: usize,
    /// Start of the lack.
    pub start: Duration,
    /// How long it lasted, without the time in which limits were held off.
    pub length: Duration,
    /// Whether it lasted longer than the rule allows.
    pub breaks_rule: bool,
}

/// Sends of a joined proxy to a server after the grace since its coordinator was told.
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
    /// How long after the grace the last one was.
    pub latest_after_grace: Duration,
}

/// A cold server that fell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadCrash {
    /// Index of the server in the settings.
    pub server: usize,
    /// When it fell.
    pub at: Duration,
    /// Share of the work that came from proxies whose orders knew of the start.
    pub informed_share: f64,
    /// Whether that share breaks the rule.
    pub breaks_rule: bool,
}

/// A channel whose queue passed the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueBreach {
    /// The coordinator.
    pub coordinator: usize,
    /// When it first happened.
    pub at: Duration,
}

/// What happens to a server in a script.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerAction {
    /// The process starts, cold unless at time zero.
    Start,
    /// The server drains.
    Drain,
    /// The process ends.
    Stop,
    /// The server falls silent, or is no longer.
    Silence(bool),
    /// The server becomes slower than usual by a factor of at least 1.
    Slow(f64),
    /// The server answers that share of tries with an error at once.
    Errors(f64),
}

/// One line of a script of server changes.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerChange {
    /// When it happens.
    pub at: Duration,
    /// The server.
    pub server: String,
    /// What happens.
    pub action: ServerAction,
}

/// What became of the day so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Outcomes of all operations.
    pub total: Tally,
    /// Outcomes by class.
    pub by_class: Vec<Tally>,
    /// Outcomes by the window in which the operation came.
    pub windows: Vec<Window>,
    /// Operations by outcome and reason.
    pub reasons: BTreeMap<(Outcome, Reason), u64>,
    /// Operations answered later than allowed, or never, in the order in which they came.
    pub lost_operations: Vec<LostOperation>,
    /// Longest lack of a line by proxy and class, longest first.
    pub no_line_periods: Vec<NoLinePeriod>,
    /// Sends after the grace of a drain, by proxy and server.
    pub drain_breaches: Vec<DrainBreach>,
    /// Cold servers that fell.
    pub overload_crashes: Vec<OverloadCrash>,
    /// Longest queue of each coordinator's channel, in lines.
    pub longest_queue: Vec<f64>,
    /// Channels whose queue passed the limit.
    pub queue_breaches: Vec<QueueBreach>,
    /// Further tries of unsafe operations after one that might have run.
    pub unsafe_repeats: u64,
    /// Sends of a class to a server outside the only zone that the class may use.
    pub misplaced_sends: u64,
    /// Marks that proxies have acknowledged.
    pub marks_acknowledged: u64,
    /// Marks that were lost with a stream or a coordinator.
    pub marks_lost: u64,
    /// Marks that stand unacknowledged.
    pub marks_waiting: u64,
    /// Longest time from a mark's order until its acknowledgement, or until now where it stands unacknowledged.
    pub longest_mark: Duration,
}

impl Summary {
    /// Lacks of a line that break the rule.
    pub fn no_line_periods_beyond_limit(&self) -> impl Iterator<Item = &NoLinePeriod> {
        self.no_line_periods.iter().filter(|lack| lack.breaks_rule)
    }
}
