//! Clocks. All times are nanoseconds since the Unix epoch.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use craneknot::interface::Nanos;

/// The latest start time of a clock, some 292 years after 1970, which leaves the range beyond it for timers.
const MAX_START_TIME: Duration = Duration::from_nanos(u64::MAX / 2);

/// A source of the current time.
pub trait Clock: Send + Sync {
    fn now(&self) -> Nanos;

    /// True if time advances only when a test advances it, and nothing ever waits for it.
    fn is_manual(&self) -> bool {
        false
    }
}

/// A monotonic clock that starts at the system time of its creation, so that later changes of the system time have no
/// effect.
pub struct SteadyClock {
    start: Instant,
    start_time: Duration,
}

impl SteadyClock {
    pub fn new() -> Self {
        let start_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        SteadyClock { start: Instant::now(), start_time: start_time.min(MAX_START_TIME) }
    }
}

impl Default for SteadyClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SteadyClock {
    fn now(&self) -> Nanos {
        let now = self.start_time + self.start.elapsed();
        Nanos(u64::try_from(now.as_nanos()).unwrap_or(u64::MAX))
    }
}

/// A clock that stands still until a test advances it.
#[derive(Default)]
pub struct ManualClock(AtomicU64);

impl ManualClock {
    pub fn at(now: Nanos) -> Self {
        ManualClock(AtomicU64::new(now.0))
    }

    pub fn advance(&self, duration: Nanos) {
        self.0.fetch_add(duration.0, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Nanos {
        Nanos(self.0.load(Ordering::SeqCst))
    }

    fn is_manual(&self) -> bool {
        true
    }
}
