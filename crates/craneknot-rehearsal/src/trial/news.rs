//! Streams of news of one coordinator: what each of them has still to tell.

use std::collections::BTreeMap;

/// The streams that are open.
#[derive(Default)]
pub struct News {
    waiting: BTreeMap<u64, Vec<String>>,
    opened: u64,
}

impl News {
    /// A stream opens with what stands; its number.
    pub fn open(&mut self, standing: Vec<String>) -> u64 {
        self.opened += 1;
        self.waiting.insert(self.opened, standing);
        self.opened
    }

    /// An event for all streams.
    pub fn tell(&mut self, event: &str) {
        self.waiting.values_mut().for_each(|waiting| waiting.push(event.to_owned()));
    }

    /// What a stream has to tell; nothing: it is over.
    pub fn take(&mut self, stream: u64) -> Option<Vec<String>> {
        self.waiting.get_mut(&stream).map(std::mem::take)
    }

    /// A stream has ended.
    pub fn close(&mut self, stream: u64) {
        self.waiting.remove(&stream);
    }

    /// All streams have ended.
    pub fn end(&mut self) {
        self.waiting.clear();
    }
}
