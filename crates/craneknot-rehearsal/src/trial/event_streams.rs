//! Streams of news of one coordinator: what each of them has still to tell.

use std::collections::BTreeMap;

/// The streams that are open.
#[derive(Default)]
pub struct EventStreams {
    pending: BTreeMap<u64, Vec<String>>,
    opened: u64,
}

impl EventStreams {
    /// A stream opens with what stands; its number.
    pub fn open(&mut self, initial_events: Vec<String>) -> u64 {
        self.opened += 1;
        self.pending.insert(self.opened, initial_events);
        self.opened
    }

    /// An event for all streams.
    pub fn broadcast(&mut self, event: &str) {
        self.pending.values_mut().for_each(|pending| pending.push(event.to_owned()));
    }

    /// What a stream has to tell; nothing: it is over.
    pub fn take(&mut self, stream: u64) -> Option<Vec<String>> {
        self.pending.get_mut(&stream).map(std::mem::take)
    }

    /// A stream has ended.
    pub fn close(&mut self, stream: u64) {
        self.pending.remove(&stream);
    }

    /// All streams have ended.
    pub fn close_all(&mut self) {
        self.pending.clear();
    }
}
