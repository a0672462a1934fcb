//! A counter shared between threads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A counter that one thread increments and others read; clones share the same value.
#[derive(Clone, Debug, Default)]
pub struct Counter(Arc<AtomicU64>);

impl Counter {
    pub fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
