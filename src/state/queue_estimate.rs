//! An estimate of what waits in a channel, from what was added and the rate at which it leaves.

use crate::interface::*;

/// Upper bound of a predicted duration, for a channel without a usable rate.
const MAX_DRAIN_SECS: f64 = 3_600.0;
/// Precision of durations that are given in seconds.
const ROUNDING: Nanos = Nanos(1_000);

/// The lines that wait in a channel which carries them at a constant rate.
#[derive(Clone, Debug)]
pub struct QueueEstimate {
    lines: f64,
    /// Time that `lines` refers to.
    updated_at: Nanos,
    lines_per_second: f64,
}

impl QueueEstimate {
    pub fn new(now: Nanos, lines_per_second: f64) -> Self {
        QueueEstimate { lines: 0.0, updated_at: now, lines_per_second }
    }

    /// Lines that wait at a time.
    pub fn lines(&self, now: Nanos) -> f64 {
        (self.lines - (now - self.updated_at).secs() * self.lines_per_second).max(0.0)
    }

    /// A time at which no more than this many lines wait, if none are added.
    pub fn drained_at(&self, lines: f64) -> Nanos {
        let excess = self.lines - lines;
        if excess <= 0.0 {
            return Nanos(0);
        }
        let duration = Nanos::from_secs((excess / self.lines_per_second).min(MAX_DRAIN_SECS));
        self.updated_at + duration + ROUNDING
    }

    /// Removes the lines that the channel has carried since the last call.
    pub fn drain(&mut self, now: Nanos) {
        self.lines = self.lines(now);
        self.updated_at = now;
    }

    /// Corrects the estimate: at least this many lines wait. `is_held_back`: the lines added before are not all in the
    /// channel yet, so none counts as carried since the last update.
    pub fn correct(&mut self, now: Nanos, lines: f64, is_held_back: bool) {
        if is_held_back {
            self.updated_at = now;
        } else {
            self.drain(now);
        }
        self.lines = self.lines.max(lines);
    }

    /// Adds lines, as of the last call of `drain`.
    pub fn add(&mut self, lines: f64) {
        self.lines += lines;
    }
}
