//! The event streams of one coordinator, with the events that each has still to send.

use std::collections::BTreeMap;

/// The open streams.
#[derive(Default)]
pub struct EventStreams {
    pending: BTreeMap<u64, Vec<String>>,
    opened: u64,
}

impl EventStreams {
    /// Opens a stream that begins with the given events; returns its number.
    pub fn open(&mut self, initial_events: Vec<String>) -> u64 {
        self.opened += 1;
        self.pending.insert(self.opened, initial_events);
        self.opened
    }

    /// Queues an event on all streams.
    pub fn broadcast(&mut self, event: &str) {
        self.pending.values_mut().for_each(|pending| pending.push(event.to_owned()));
    }

    /// Takes the queued events of a stream; returns `None` if it is closed.
    pub fn take(&mut self, stream: u64) -> Option<Vec<String>> {
        self.pending.get_mut(&stream).map(std::mem::take)
    }

    /// Closes a stream.
    pub fn close(&mut self, stream: u64) {
        self.pending.remove(&stream);
    }

    /// Closes all streams.
    pub fn close_all(&mut self) {
        self.pending.clear();
    }
}
