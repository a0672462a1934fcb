//! The limit on lines that wait in the channel, as calls have to keep it. It counts what calls may have written, however
//! often their orders were sent before.

use crate::interface::*;
use crate::sender::CHANNEL_RATE_SHARE;
use crate::state::QueueEstimate;

/// Share of the channel's line limit that calls may fill.
const MAX_QUEUE_SHARE: f64 = 0.9;
/// Share of that limit that may wait when calls go on after they were too large for it.
const RESUME_QUEUE_SHARE: f64 = 0.4;

/// How much may be written now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LineAdmission {
    UpTo(f64),
    NotBefore(Nanos),
}

/// The account of lines that wait in the channel.
#[derive(Clone, Debug)]
pub struct LinePace {
    queue: QueueEstimate,
    lines_limit: f64,
}

impl LinePace {
    /// An empty channel with the rate and the limit of the settings.
    pub fn new(settings: &Settings, now: Nanos) -> Self {
        LinePace {
            queue: QueueEstimate::new(now, settings.channel_lines_per_second * CHANNEL_RATE_SHARE),
            lines_limit: settings.channel_lines_limit,
        }
    }

    /// Lines that may be waiting.
    pub fn waiting(&self, now: Nanos) -> f64 {
        self.queue.lines(now)
    }

    /// How many of the `lines` of the next call may be written. `is_repeat`: the last call may have written some of them,
    /// and the next one may fail too, so it has to leave room for a further one.
    pub fn admit(&self, now: Nanos, lines: f64, is_repeat: bool) -> LineAdmission {
        let room = self.lines_limit * MAX_QUEUE_SHARE - self.waiting(now);
        let needed = if is_repeat { lines + lines } else { lines };
        let drained_at = self.queue.drained_at(self.lines_limit * RESUME_QUEUE_SHARE);
        if needed <= room || !is_repeat && drained_at <= now {
            LineAdmission::UpTo(room)
        } else {
            LineAdmission::NotBefore(drained_at)
        }
    }

    /// Records lines that were written, or may have been.
    pub fn record(&mut self, now: Nanos, lines: f64) {
        self.queue.drain(now);
        self.queue.add(lines);
    }
}
