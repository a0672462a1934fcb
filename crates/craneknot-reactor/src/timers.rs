//! One queue of timers in whole nanoseconds; those of one moment come in the order they were set.

use std::collections::BTreeMap;

use craneknot::interface::Nanos;

/// Names a timer until it has come or is withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(Nanos, u64);

pub struct Timers<T> {
    waiting: BTreeMap<TimerId, T>,
    next: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { waiting: BTreeMap::new(), next: 0 }
    }
}

impl<T> Timers<T> {
    pub fn set(&mut self, at: Nanos, what: T) -> TimerId {
        let id = TimerId(at, self.next);
        self.next += 1;
        self.waiting.insert(id, what);
        id
    }

    pub fn cancel(&mut self, id: TimerId) -> Option<T> {
        self.waiting.remove(&id)
    }

    /// When the next one is due.
    pub fn next_at(&self) -> Option<Nanos> {
        self.waiting.keys().next().map(|id| id.0)
    }

    /// The earliest that is due at `now`, if any.
    pub fn pop_due(&mut self, now: Nanos) -> Option<T> {
        match self.waiting.first_entry() {
            Some(entry) if entry.key().0 <= now => Some(entry.remove()),
            Some(_) | None => None,
        }
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn timers_come_in_order_and_not_early() {
        let mut timers = Timers::default();
        timers.set(Nanos(20), 'c');
        timers.set(Nanos(10), 'a');
        let gone = timers.set(Nanos(10), 'x');
        timers.set(Nanos(10), 'b');
        assert_eq!(timers.cancel(gone), Some('x'));
        assert_eq!(timers.pop_due(Nanos(9)), None);
        assert_eq!(timers.next_at(), Some(Nanos(10)));
        let mut came = String::new();
        while let Some(what) = timers.pop_due(Nanos(20)) {
            came.push(what);
        }
        assert_eq!(came, "abc");
        assert!(timers.is_empty());
    }
}
