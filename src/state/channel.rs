//! An estimate of what is queued in the channel to the proxies.

use std::collections::VecDeque;

use crate::interface::*;
use crate::state::queue_estimate::QueueEstimate;

/// An estimate of what is queued in the channel.
#[derive(Clone, Debug)]
pub struct Channel {
    pub queue: QueueEstimate,
    pub sent_at: Nanos,
    /// Lines sent since the last mark.
    unmarked_lines: f64,
    /// Marks that some proxies have not acknowledged yet.
    marks: VecDeque<Marked>,
    last_mark: u16,
}

/// What was sent up to a mark: its lines, its messages, and how many of these are not acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct Marked {
    mark: u16,
    sent_at: Nanos,
    lines: f64,
    messages: f64,
    unanswered: f64,
}

impl Channel {
    /// An empty channel that carries this many lines per second.
    pub fn new(now: Nanos, lines_per_second: f64) -> Self {
        Channel {
            queue: QueueEstimate::new(now, lines_per_second),
            sent_at: Nanos(0),
            unmarked_lines: 0.0,
            marks: VecDeque::new(),
            last_mark: 0,
        }
    }

    /// Records what is sent. After `mark_after` lines it returns the number of a mark to send, which takes
    /// one line in each message.
    pub fn send(&mut self, now: Nanos, lines: f64, messages: f64, mark_after: f64) -> Option<u16> {
        self.sent_at = now;
        self.queue.add(lines);
        self.unmarked_lines += lines;
        if self.unmarked_lines < mark_after {
            return None;
        }
        self.queue.add(messages);
        self.last_mark = self.last_mark.wrapping_add(1);
        let lines = std::mem::take(&mut self.unmarked_lines) + messages;
        self.marks.push_back(Marked {
            mark: self.last_mark,
            sent_at: now,
            lines,
            messages,
            unanswered: messages,
        });
        Some(self.last_mark)
    }

    /// Records that a proxy acknowledged a mark: everything sent before that mark is applied too.
    pub fn applied(&mut self, mark: u16) {
        let Some(index) = self.marks.iter().position(|marked| marked.mark == mark) else { return };
        self.marks.drain(..index);
        self.marks[0].unanswered -= 1.0;
        if self.marks[0].unanswered <= 0.0 {
            self.marks.pop_front();
        }
    }

    /// Lines that are not known to be applied; those marked longer ago than `timeout` no longer count.
    pub fn unapplied_lines(&mut self, now: Nanos, timeout: Nanos) -> f64 {
        self.marks.retain(|marked| now - marked.sent_at < timeout);
        self.marks.iter().map(|marked| marked.lines * marked.unanswered / marked.messages).sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_stay_unapplied_until_marks_are_acknowledged_on_a_slow_channel() {
        let secs = Nanos::from_secs;
        let mut channel = Channel::new(secs(0.0), 1e6);
        let mark = channel.send(secs(0.0), 600.0, 4.0, 500.0).expect("enough lines for a mark");
        assert_eq!(channel.send(secs(0.1), 90.0, 4.0, 500.0), None, "too few lines for a mark");
        channel.queue.drain(secs(1.0));
        assert_eq!(channel.queue.lines(secs(1.0)), 0.0, "at the configured rate nothing is queued");
        assert_eq!(channel.unapplied_lines(secs(1.0), secs(10.0)), 604.0);
        channel.applied(mark);
        assert_eq!(channel.unapplied_lines(secs(1.0), secs(10.0)), 453.0, "three of four messages");
        assert_eq!(
            channel.unapplied_lines(secs(11.0), secs(10.0)),
            0.0,
            "acknowledgements this late count as lost"
        );
    }
}
