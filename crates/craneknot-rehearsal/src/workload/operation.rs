//! An operation from its arrival to its one final outcome.

use std::time::Duration;

use super::server::Held;
use super::summary::{Outcome, Reason, LATE_ALLOWANCE};

/// How an operation was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    Served,
    Refused,
    Failed,
}

/// The final answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct End {
    pub at: Duration,
    pub answer: Answer,
    pub reason: Reason,
}

/// Why a try failed, and whether it might have run all the same.
#[derive(Clone, Copy, Debug)]
pub(super) struct TryFailure {
    pub reason: Reason,
    pub may_have_run: bool,
}

pub(super) struct Operation {
    pub proxy: u16,
    pub class: usize,
    pub arrived: Duration,
    /// Work on a standard core, in seconds.
    pub work: f64,
    /// Number of the try in hand, from 1.
    pub attempt: u32,
    pub try_began: Duration,
    /// Time that opening a connection for this try takes.
    pub connecting: Duration,
    /// The server of the try in hand.
    pub server: Option<usize>,
    pub tries_left: u8,
    /// Repeats that the client may still make.
    pub repeats_left: u8,
    pub retry: u8,
    pub end: Option<End>,
}

impl Operation {
    /// Whether `attempt` is in hand and the operation waits for it.
    pub fn waits_for(&self, attempt: u32) -> bool {
        self.end.is_none() && self.server.is_some() && self.attempt == attempt
    }

    /// What held an operation longest that was served at `now`.
    pub fn main_reason(&self, held: &Held) -> Reason {
        let parts = [
            (held.own, Reason::OwnWork),
            (held.queued, Reason::QueueWait),
            (held.past_knee, Reason::SlowedPastKnee),
            (held.cold, Reason::ColdServer),
            (held.silent, Reason::SilentServer),
            (held.slow, Reason::SlowServer),
            (self.connecting.as_secs_f64(), Reason::FirstConnection),
            ((self.try_began - self.arrived).as_secs_f64(), Reason::Retries),
        ];
        let longest = parts.into_iter().max_by(|one, other| one.0.total_cmp(&other.0));
        longest.map_or(Reason::OwnWork, |part| part.1)
    }

    /// The outcome as it stands at `now`.
    pub fn outcome(&self, deadline: Duration, now: Duration) -> Outcome {
        let due = self.arrived + deadline;
        let Some(end) = self.end else {
            return if now > due + LATE_ALLOWANCE { Outcome::Never } else { Outcome::InFlight };
        };
        if end.at > due + LATE_ALLOWANCE {
            return Outcome::Later;
        }
        if end.at > due {
            return Outcome::Late;
        }
        match end.answer {
            Answer::Served => Outcome::InTime,
            Answer::Refused => Outcome::Refused,
            Answer::Failed => Outcome::Failed,
        }
    }

    /// Whether it was served within the aim.
    pub fn within_aim(&self, latency_goal: Duration) -> bool {
        self.end.is_some_and(|end| end.answer == Answer::Served && end.at <= self.arrived + latency_goal)
    }
}
