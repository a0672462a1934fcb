//! An operation from its arrival to its final outcome.

use std::time::Duration;

use super::server::ServerDelays;
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
pub(super) struct FinalAnswer {
    pub at: Duration,
    pub answer: Answer,
    pub reason: Reason,
}

/// Why a try failed, and whether it might have run nevertheless.
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
    /// Number of the current try, from 1.
    pub attempt: u32,
    pub try_began: Duration,
    /// Time that opening a connection for this try takes.
    pub connecting: Duration,
    /// The server of the current try.
    pub server: Option<usize>,
    pub tries_left: u8,
    /// Repeats that the client may still make.
    pub repeats_left: u8,
    pub retry: u8,
    pub final_answer: Option<FinalAnswer>,
}

impl Operation {
    /// Whether `attempt` is the current try and the operation still waits for it.
    pub fn waits_for(&self, attempt: u32) -> bool {
        self.final_answer.is_none() && self.server.is_some() && self.attempt == attempt
    }

    /// The largest part of the latency of a served operation.
    pub fn main_reason(&self, delays: &ServerDelays) -> Reason {
        let parts = [
            (delays.own, Reason::OwnWork),
            (delays.queued, Reason::QueueWait),
            (delays.past_knee, Reason::SlowedPastKnee),
            (delays.cold, Reason::ColdServer),
            (delays.silent, Reason::SilentServer),
            (delays.slow, Reason::SlowServer),
            (self.connecting.as_secs_f64(), Reason::FirstConnection),
            ((self.try_began - self.arrived).as_secs_f64(), Reason::Retries),
        ];
        let longest = parts.into_iter().max_by(|one, other| one.0.total_cmp(&other.0));
        longest.map_or(Reason::OwnWork, |part| part.1)
    }

    /// The outcome as of `now`.
    pub fn outcome(&self, deadline: Duration, now: Duration) -> Outcome {
        let due = self.arrived + deadline;
        let Some(end) = self.final_answer else {
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

    /// Whether the operation was served within the latency goal.
    pub fn within_aim(&self, latency_goal: Duration) -> bool {
        self.final_answer
            .is_some_and(|end| end.answer == Answer::Served && end.at <= self.arrived + latency_goal)
    }
}
