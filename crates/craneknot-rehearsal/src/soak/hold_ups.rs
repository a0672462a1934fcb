//! Spans in which a process cannot answer through no fault of its own, and when an answer is due beyond them.

use std::time::{Duration, Instant};

/// A process that runs gives the final answer to a request within this.
pub const ANSWERED_WITHIN: Duration = Duration::from_millis(500);

/// A span of time that may still be on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    pub from: Instant,
    /// Nothing: it is still on.
    pub until: Option<Instant>,
}

impl Span {
    /// One that begins now and has no known end.
    pub fn open(from: Instant) -> Self {
        Span { from, until: None }
    }

    /// One with both ends.
    pub fn closed(from: Instant, until: Instant) -> Self {
        Span { from, until: Some(until) }
    }

    /// Whether a moment lies within.
    pub fn contains(&self, at: Instant) -> bool {
        self.from <= at && self.until.is_none_or(|until| at < until)
    }

    fn end(&self, now: Instant) -> Instant {
        self.until.unwrap_or(now).max(self.from)
    }
}

/// The latest end of some spans, as far as is known now.
pub fn last_end(spans: &[Span], now: Instant) -> Option<Instant> {
    spans.iter().map(|span| span.end(now)).max()
}

/// Ends the spans that are still on.
pub fn close_all(spans: &mut [Span], now: Instant) {
    let open = spans.iter_mut().filter(|span| span.until.is_none());
    open.for_each(|span| span.until = Some(now));
}

/// How much of the time between two moments lies within some spans.
pub fn overlap(from: Instant, until: Instant, spans: &[Span]) -> Duration {
    let mut in_order = spans.to_vec();
    in_order.sort_by_key(|span| span.from);
    let (mut total, mut counted) = (Duration::ZERO, from);
    for span in in_order {
        let begin = span.from.max(counted);
        let end = span.end(until).min(until);
        total += end.saturating_duration_since(begin);
        counted = counted.max(end);
    }
    total
}

/// When the answer to a request is due: once its process has been able to run for [`ANSWERED_WITHIN`] since.
pub fn due_at(sent: Instant, spans: &[Span], now: Instant) -> Instant {
    let mut in_order = spans.to_vec();
    in_order.sort_by_key(|span| span.from);
    let (mut due, mut counted) = (sent + ANSWERED_WITHIN, sent);
    for span in in_order {
        if span.from >= due {
            break;
        }
        let from = span.from.max(counted);
        let until = span.end(now).max(from);
        due += until - from;
        counted = until;
    }
    due
}
