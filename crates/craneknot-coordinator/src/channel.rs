//! The outgoing channel: sends messages one after another at the configured rate, so that the pace which the
//! decisions assume is the actual one.

use std::collections::VecDeque;

use craneknot::interface::Nanos;

/// A FIFO queue of messages; each occupies the channel for the transmission time of its lines.
pub struct Channel<M> {
    lines_per_second: f64,
    queue: VecDeque<(f64, M)>,
    lines: f64,
    /// When the message at the head of the queue has been transmitted.
    head_sent_at: Nanos,
    max_lines: f64,
}

impl<M> Channel<M> {
    pub fn new(lines_per_second: f64) -> Self {
        Channel {
            lines_per_second,
            queue: VecDeque::new(),
            lines: 0.0,
            head_sent_at: Nanos(0),
            max_lines: 0.0,
        }
    }

    fn transmission_time(&self, lines: f64) -> Nanos {
        Nanos::from_secs(lines / self.lines_per_second.max(1e-3))
    }

    pub fn push(&mut self, now: Nanos, lines: f64, message: M) {
        if self.queue.is_empty() {
            // Idle time gives no credit for later messages.
            self.head_sent_at = self.head_sent_at.max(now) + self.transmission_time(lines);
        }
        self.queue.push_back((lines, message));
        self.lines += lines;
        self.max_lines = self.max_lines.max(self.lines);
    }

    /// Removes and returns the next message whose transmission has ended by `now`.
    pub fn pop_sent(&mut self, now: Nanos) -> Option<M> {
        if self.queue.is_empty() || self.head_sent_at > now {
            return None;
        }
        let (lines, message) = self.queue.pop_front()?;
        self.lines = if self.queue.is_empty() { 0.0 } else { self.lines - lines };
        if let Some((lines, _)) = self.queue.front() {
            self.head_sent_at = self.head_sent_at + self.transmission_time(*lines);
        }
        Some(message)
    }

    /// When the next message has been transmitted.
    pub fn next_at(&self) -> Option<Nanos> {
        (!self.queue.is_empty()).then_some(self.head_sent_at)
    }

    /// Removes queued messages that are no longer needed, such as those of a closed stream.
    pub fn discard(&mut self, now: Nanos, is_obsolete: impl Fn(&M) -> bool) {
        let is_head_removed = self.queue.front().is_some_and(|(_, message)| is_obsolete(message));
        self.queue.retain(|(_, message)| !is_obsolete(message));
        self.lines = self.queue.iter().map(|(lines, _)| lines).sum();
        if let (true, Some((lines, _))) = (is_head_removed, self.queue.front()) {
            self.head_sent_at = now + self.transmission_time(*lines);
        } else if is_head_removed {
            self.head_sent_at = now;
        }
    }

    /// Queued lines, including those of the message in transmission.
    pub fn lines(&self) -> f64 {
        self.lines
    }

    /// The largest number of lines ever queued.
    pub fn max_lines(&self) -> f64 {
        self.max_lines
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_leave_in_order_at_the_configured_rate() {
        let mut channel = Channel::new(100.0);
        let start = Nanos::from_millis(1_000);
        for (lines, name) in [(10.0, 'a'), (20.0, 'b'), (5.0, 'c')] {
            channel.push(start, lines, name);
        }
        assert_eq!(channel.lines(), 35.0);
        let mut sent = Vec::new();
        for millis in 0..=400 {
            while let Some(name) = channel.pop_sent(start + Nanos::from_millis(millis)) {
                sent.push((millis, name));
            }
        }
        assert_eq!(sent, [(100, 'a'), (300, 'b'), (350, 'c')]);
        assert_eq!((channel.lines(), channel.max_lines()), (0.0, 35.0));
        // Idle time gives no credit for later messages.
        channel.push(start + Nanos::from_millis(9_000), 10.0, 'd');
        assert_eq!(channel.pop_sent(start + Nanos::from_millis(9_099)), None);
        assert_eq!(channel.pop_sent(start + Nanos::from_millis(9_100)), Some('d'));
    }

    #[test]
    fn messages_of_a_closed_stream_are_discarded() {
        let mut channel = Channel::new(10.0);
        for (lines, name) in [(10.0, 'a'), (1.0, 'b'), (10.0, 'a'), (1.0, 'b')] {
            channel.push(Nanos(0), lines, name);
        }
        channel.discard(Nanos(0), |name| *name == 'a');
        assert_eq!(channel.lines(), 2.0);
        assert_eq!(channel.pop_sent(Nanos::from_millis(100)), Some('b'));
        assert_eq!(channel.pop_sent(Nanos::from_millis(199)), None);
        assert_eq!(channel.pop_sent(Nanos::from_millis(200)), Some('b'));
        assert_eq!(channel.next_at(), None);
    }
}
