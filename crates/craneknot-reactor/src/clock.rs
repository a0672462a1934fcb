//! Clocks. All moments are nanoseconds since the Unix epoch.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use craneknot::interface::Nanos;

/// The latest date that a start believes, some 292 years after 1970: moments beyond it are left for timers.
const DATE_MOST: Duration = Duration::from_nanos(u64::MAX / 2);

pub trait Clock: Send + Sync {
    fn now(&self) -> Nanos;

    /// True: time passes only when a test says so, and nothing ever waits for it.
    fn is_manual(&self) -> bool {
        false
    }
}

/// The machine's date at its making, from then on the steady clock: a date that is set anew moves nothing.
pub struct SteadyClock {
    start: Instant,
    date: Duration,
}

impl SteadyClock {
    pub fn new() -> Self {
        let date = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        SteadyClock { start: Instant::now(), date: date.min(DATE_MOST) }
    }
}

impl Default for SteadyClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SteadyClock {
    fn now(&self) -> Nanos {
        let since = self.date + self.start.elapsed();
        Nanos(u64::try_from(since.as_nanos()).unwrap_or(u64::MAX))
    }
}

/// A clock that stands until a test moves it.
#[derive(Default)]
pub struct ManualClock(AtomicU64);

impl ManualClock {
    pub fn at(now: Nanos) -> Self {
        ManualClock(AtomicU64::new(now.0))
    }

    pub fn advance(&self, span: Nanos) {
        self.0.fetch_add(span.0, Ordering::SeqCst);
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
