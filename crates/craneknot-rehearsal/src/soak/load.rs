//! Processor load during a soak: threads that spin until they are stopped.

use std::hint;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Load in addition to the faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// The number of threads that spin.
    pub busy: usize,
    /// Each node gets a quarter of a core for a time drawn from the seed.
    pub throttled: bool,
}

/// Threads that spin until this is dropped, for a limited time.
pub struct BusyThreads {
    finished: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl BusyThreads {
    /// Starts `count` threads, each for `max_duration` at most.
    pub fn start(count: usize, max_duration: Duration) -> Self {
        let finished = Arc::new(AtomicBool::new(false));
        let until = Instant::now() + max_duration;
        let threads = (0..count).map(|_| {
            let finished = finished.clone();
            thread::spawn(move || spin(&finished, until))
        });
        BusyThreads { threads: threads.collect(), finished }
    }

    /// The number of threads that still spin.
    pub fn running(&self) -> usize {
        self.threads.iter().filter(|thread| !thread.is_finished()).count()
    }
}

fn spin(finished: &AtomicBool, until: Instant) {
    while !finished.load(Ordering::Relaxed) && Instant::now() < until {
        hint::spin_loop();
    }
}

impl Drop for BusyThreads {
    fn drop(&mut self) {
        self.finished.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}
