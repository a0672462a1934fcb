//! Load beside a soak: threads that spin until it is over.

use std::hint;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// What a soak has to bear beside its faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Threads that spin.
    pub busy: usize,
    /// Each node has a quarter of a core over a drawn span.
    pub throttled: bool,
}

/// Threads that spin until this is dropped, or for the time given at most.
pub struct BusyThreads {
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl BusyThreads {
    /// Starts so many, each for so long at most.
    pub fn start(count: usize, most: Duration) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let until = Instant::now() + most;
        let threads = (0..count).map(|_| {
            let over = over.clone();
            thread::spawn(move || spin(&over, until))
        });
        BusyThreads { threads: threads.collect(), over }
    }

    /// How many still spin.
    pub fn running(&self) -> usize {
        self.threads.iter().filter(|thread| !thread.is_finished()).count()
    }
}

fn spin(over: &AtomicBool, until: Instant) {
    while !over.load(Ordering::Relaxed) && Instant::now() < until {
        hint::spin_loop();
    }
}

impl Drop for BusyThreads {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}
