//! Spans of time in which a process is unable to answer, and response deadlines that exclude them.

use std::time::{Duration, Instant};

/// A process that is able to run gives its final answer to a request within this time.
pub const RESPONSE_DEADLINE: Duration = Duration::from_millis(500);

/// A span of time that may not have ended yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    pub from: Instant,
    /// `None`: it has not ended yet.
    pub until: Option<Instant>,
}

impl Span {
    /// A span without a known end.
    pub fn open(from: Instant) -> Self {
        Span { from, until: None }
    }

    /// A span with a known end.
    pub fn closed(from: Instant, until: Instant) -> Self {
        Span { from, until: Some(until) }
    }

    /// Whether a moment lies in the span.
    pub fn contains(&self, at: Instant) -> bool {
        self.from <= at && self.until.is_none_or(|until| at < until)
    }

    fn end(&self, now: Instant) -> Instant {
        self.until.unwrap_or(now).max(self.from)
    }
}

/// The latest end of the spans; one that is still open ends now.
pub fn latest_end(spans: &[Span], now: Instant) -> Option<Instant> {
    spans.iter().map(|span| span.end(now)).max()
}

/// Ends the open spans.
pub fn close_open_spans(spans: &mut [Span], now: Instant) {
    let open = spans.iter_mut().filter(|span| span.until.is_none());
    open.for_each(|span| span.until = Some(now));
}

/// The time between two moments that the spans cover.
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

/// When the answer to a request is due: once its process has been able to run for [`RESPONSE_DEADLINE`] after it.
pub fn due_at(sent: Instant, spans: &[Span], now: Instant) -> Instant {
    let mut in_order = spans.to_vec();
    in_order.sort_by_key(|span| span.from);
    let (mut due, mut counted) = (sent + RESPONSE_DEADLINE, sent);
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
