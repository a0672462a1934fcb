//! The queue of future events, ordered by time and then by order of scheduling.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

use super::channel::Message;
use super::operation::TryFailure;
use super::server::ServerDelays;

/// A future event. Epochs, attempts and incarnations identify events that are out of date when they occur.
pub(super) enum Event {
    /// An operation arrives.
    Arrival { epoch: u64 },
    /// A server completes a request, or its capacity has increased.
    ServerStep { server: usize, epoch: u64 },
    /// A try reaches its server.
    TryArrives { operation: usize, attempt: u32, server: usize, incarnation: u32 },
    /// The answer to a try reaches the proxy.
    TryAnswered { operation: usize, attempt: u32, server: usize, delays: ServerDelays },
    /// The proxy learns that a try has failed.
    TryFailed { operation: usize, attempt: u32, failure: TryFailure },
    /// A try that may be retried has timed out.
    TryExpired { operation: usize, attempt: u32 },
    /// A client repeats an operation that was not served.
    ClientRepeats { operation: usize },
    /// The deadline of an operation has been reached.
    DeadlinePassed { operation: usize },
    /// The first message of a channel has been sent.
    MessageLeaves { coordinator: usize, epoch: u64 },
    /// A message reaches its proxy.
    MessageArrives(Message),
    /// A proxy has applied a message.
    MessageApplied(Message),
    /// A listed server becomes warm.
    ListedWarm { coordinator: usize },
    /// Connections that have been idle too long are closed.
    IdleSweep,
    /// The reference policy records the state of the servers.
    ObserveServers,
}

struct Scheduled {
    at: Duration,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

#[derive(Default)]
pub(super) struct EventQueue {
    scheduled: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
}

impl EventQueue {
    pub fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.scheduled.push(Reverse(Scheduled { at, sequence: self.sequence, event }));
    }

    /// The next event up to `until`, with its time.
    pub fn pop(&mut self, until: Duration) -> Option<(Duration, Event)> {
        if self.scheduled.peek()?.0.at > until {
            return None;
        }
        self.scheduled.pop().map(|Reverse(next)| (next.at, next.event))
    }
}
