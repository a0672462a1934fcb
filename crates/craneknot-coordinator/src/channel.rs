//! The channel by which messages leave: one after another, at the pace that the settings tell, so that what the
//! decisions count on is what happens.

use std::collections::VecDeque;

use craneknot::interface::Nanos;

/// Messages in order; each takes its lines' time, and leaves when it is through.
pub struct Channel<M> {
    lines_per_second: f64,
    queue: VecDeque<(f64, M)>,
    lines: f64,
    /// When the first one in the queue is through.
    through_at: Nanos,
    most: f64,
}

impl<M> Channel<M> {
    pub fn new(lines_per_second: f64) -> Self {
        Channel { lines_per_second, queue: VecDeque::new(), lines: 0.0, through_at: Nanos(0), most: 0.0 }
    }

    fn span(&self, lines: f64) -> Nanos {
        Nanos::from_secs(lines / self.lines_per_second.max(1e-3))
    }

    pub fn offer(&mut self, now: Nanos, lines: f64, message: M) {
        if self.queue.is_empty() {
            // A channel at rest has nothing saved up.
            self.through_at = self.through_at.max(now) + self.span(lines);
        }
        self.queue.push_back((lines, message));
        self.lines += lines;
        self.most = self.most.max(self.lines);
    }

    /// The next message that is through at `now`.
    pub fn release(&mut self, now: Nanos) -> Option<M> {
        if self.queue.is_empty() || self.through_at > now {
            return None;
        }
        let (lines, message) = self.queue.pop_front()?;
        self.lines = if self.queue.is_empty() { 0.0 } else { self.lines - lines };
        if let Some((lines, _)) = self.queue.front() {
            self.through_at = self.through_at + self.span(*lines);
        }
        Some(message)
    }

    /// When the next one is through.
    pub fn next_at(&self) -> Option<Nanos> {
        (!self.queue.is_empty()).then_some(self.through_at)
    }

    /// Takes out what waits and is of no use any more: a broken stream takes its messages with it.
    pub fn discard(&mut self, now: Nanos, useless: impl Fn(&M) -> bool) {
        let first = self.queue.front().is_some_and(|(_, message)| useless(message));
        self.queue.retain(|(_, message)| !useless(message));
        self.lines = self.queue.iter().map(|(lines, _)| lines).sum();
        if let (true, Some((lines, _))) = (first, self.queue.front()) {
            self.through_at = now + self.span(*lines);
        } else if first {
            self.through_at = now;
        }
    }

    /// Lines that wait, those on their way included.
    pub fn lines(&self) -> f64 {
        self.lines
    }

    /// The most lines that ever waited.
    pub fn most(&self) -> f64 {
        self.most
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_leave_in_order_at_the_told_pace() {
        let mut channel = Channel::new(100.0);
        let start = Nanos::from_millis(1_000);
        for (lines, name) in [(10.0, 'a'), (20.0, 'b'), (5.0, 'c')] {
            channel.offer(start, lines, name);
        }
        assert_eq!(channel.lines(), 35.0);
        let mut left = Vec::new();
        for millis in 0..=400 {
            while let Some(name) = channel.release(start + Nanos::from_millis(millis)) {
                left.push((millis, name));
            }
        }
        assert_eq!(left, [(100, 'a'), (300, 'b'), (350, 'c')]);
        assert_eq!((channel.lines(), channel.most()), (0.0, 35.0));
        // Idle time is not saved up.
        channel.offer(start + Nanos::from_millis(9_000), 10.0, 'd');
        assert_eq!(channel.release(start + Nanos::from_millis(9_099)), None);
        assert_eq!(channel.release(start + Nanos::from_millis(9_100)), Some('d'));
    }

    #[test]
    fn a_broken_stream_takes_its_messages_with_it() {
        let mut channel = Channel::new(10.0);
        for (lines, name) in [(10.0, 'a'), (1.0, 'b'), (10.0, 'a'), (1.0, 'b')] {
            channel.offer(Nanos(0), lines, name);
        }
        channel.discard(Nanos(0), |name| *name == 'a');
        assert_eq!(channel.lines(), 2.0);
        assert_eq!(channel.release(Nanos::from_millis(100)), Some('b'));
        assert_eq!(channel.release(Nanos::from_millis(199)), None);
        assert_eq!(channel.release(Nanos::from_millis(200)), Some('b'));
        assert_eq!(channel.next_at(), None);
    }
}
