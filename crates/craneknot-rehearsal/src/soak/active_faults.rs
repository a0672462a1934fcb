//! A log of the injected faults, from which reports of violations name those active at the time.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use super::schedule::Planned;

const REPORTED_AFTER_END: Duration = Duration::from_secs(1); // faults are still reported this long after their end

#[derive(Clone, Copy, Debug)]
struct ActiveFault {
    from: Instant,
    until: Instant,
    planned: Planned,
}

/// All faults injected so far.
#[derive(Default)]
pub struct FaultLog(Mutex<Vec<ActiveFault>>);

impl FaultLog {
    /// Records a fault that starts at `from`.
    pub fn record(&self, planned: &Planned, from: Instant) {
        let until = from + planned.fault.duration() + REPORTED_AFTER_END;
        self.0.lock().unwrap().push(ActiveFault { from, until, planned: *planned });
    }

    /// The faults of all nodes that were active at any time between two moments.
    pub fn during(&self, from: Instant, until: Instant) -> Vec<Planned> {
        let active = self.0.lock().unwrap();
        let overlaps = active.iter().filter(|fault| fault.from <= until && fault.until >= from);
        overlaps.map(|fault| fault.planned).collect()
    }
}
