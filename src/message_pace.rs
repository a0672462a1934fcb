//! The limit on messages to one proxy. It holds for every message that may be written, whether its orders are sent
//! for the first time or again: a token bucket for each proxy, of which each message takes a token.

use std::collections::BTreeMap;

use crate::interface::*;

/// Part of the limit that may be written without a pause: a call that broke is repeated quickly at first.
const BURST_PART: u32 = 6;
/// Upper bound of the time between sending a call and its messages being written.
const MAX_WRITE_DELAY: Nanos = Nanos::from_millis(500);

/// The pace of messages to each proxy: a burst, and after it one message per interval.
#[derive(Clone, Debug)]
pub struct MessagePace {
    /// Time in which a proxy's bucket gains a token; 0: there is no limit.
    interval: Nanos,
    /// Tokens of a full bucket, less one, as a time.
    tolerance: Nanos,
    /// When each proxy's bucket is full again. A proxy without an entry has a full one.
    full_at: BTreeMap<ProxyId, Nanos>,
}

impl MessagePace {
    /// Allows at most `limit` messages to a proxy within any `span`; a limit of 0 allows any number.
    pub fn new(limit: u32, span: Nanos) -> Self {
        let burst = u64::from(1 + limit / BURST_PART);
        // A burst and the tokens gained within the span add up to the limit.
        let interval = match u64::from(limit) {
            0 => Nanos(0),
            limit => Nanos((span + MAX_WRITE_DELAY).0.div_ceil(limit + 1 - burst)),
        };
        MessagePace { interval, tolerance: Nanos(interval.0 * (burst - 1)), full_at: BTreeMap::new() }
    }

    /// Whether the number of messages is limited.
    pub fn is_limited(&self) -> bool {
        self.interval > Nanos(0)
    }

    /// From when on a message to a proxy may be written. `is_repeat`: the call may fail again, so a token has to be left
    /// for a further one.
    pub fn allowed_at(&self, proxy: ProxyId, is_repeat: bool) -> Nanos {
        let reserve = if is_repeat { self.interval } else { Nanos(0) };
        self.full_at.get(&proxy).map_or(Nanos(0), |full_at| *full_at + reserve - self.tolerance)
    }

    /// Records that a message to a proxy was written, or may have been.
    pub fn record(&mut self, now: Nanos, proxy: ProxyId) {
        if self.is_limited() {
            let full_at = self.full_at.entry(proxy).or_default();
            *full_at = now.max(*full_at) + self.interval;
        }
    }
}
