//! A timer queue in whole nanoseconds; timers for the same time fire in the order in which they were set.

use std::collections::BTreeMap;

use craneknot::interface::Nanos;

/// Identifies a timer until it fires or is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(Nanos, u64);

/// The timer queue; `T` is the payload of a timer.
pub struct Timers<T> {
    pending: BTreeMap<TimerId, T>,
    next_number: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { pending: BTreeMap::new(), next_number: 0 }
    }
}

impl<T> Timers<T> {
    pub fn set(&mut self, at: Nanos, payload: T) -> TimerId {
        let id = TimerId(at, self.next_number);
        self.next_number += 1;
        self.pending.insert(id, payload);
        id
    }

    pub fn cancel(&mut self, id: TimerId) -> Option<T> {
        self.pending.remove(&id)
    }

    /// The time at which the next timer is due.
    pub fn next_at(&self) -> Option<Nanos> {
        self.pending.keys().next().map(|id| id.0)
    }

    /// Removes the earliest timer that is due at `now` and returns its payload.
    pub fn pop_due(&mut self, now: Nanos) -> Option<T> {
        match self.pending.first_entry() {
            Some(entry) if entry.key().0 <= now => Some(entry.remove()),
            Some(_) | None => None,
        }
    }

    pub fn len(&self) -> usize {
        self.pending.len()
    }

    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn timers_fire_in_order_and_not_early() {
        let mut timers = Timers::default();
        timers.set(Nanos(20), 'c');
        timers.set(Nanos(10), 'a');
        let cancelled = timers.set(Nanos(10), 'x');
        timers.set(Nanos(10), 'b');
        assert_eq!(timers.cancel(cancelled), Some('x'));
        assert_eq!(timers.pop_due(Nanos(9)), None);
        assert_eq!(timers.next_at(), Some(Nanos(10)));
        let mut fired = String::new();
        while let Some(payload) = timers.pop_due(Nanos(20)) {
            fired.push(payload);
        }
        assert_eq!(fired, "abc");
        assert!(timers.is_empty());
    }
}
