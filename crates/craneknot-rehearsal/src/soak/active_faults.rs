//! Which faults were active when, for the report of what went wrong meanwhile.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use super::schedule::Planned;

const AFTERMATH: Duration = Duration::from_secs(1); // a fault is named for this long after its end

#[derive(Clone, Copy, Debug)]
struct Active {
    from: Instant,
    until: Instant,
    planned: Planned,
}

/// All faults of a soak that have begun.
#[derive(Default)]
pub struct FaultLog(Mutex<Vec<Active>>);

impl FaultLog {
    /// A fault begins.
    pub fn begins(&self, planned: &Planned, from: Instant) {
        let until = from + planned.fault.lasts() + AFTERMATH;
        self.0.lock().unwrap().push(Active { from, until, planned: *planned });
    }

    /// The faults, of whichever node, that were active at some time of a span.
    pub fn during(&self, from: Instant, until: Instant) -> Vec<Planned> {
        let active = self.0.lock().unwrap();
        let overlaps = active.iter().filter(|fault| fault.from <= until && fault.until >= from);
        overlaps.map(|fault| fault.planned).collect()
    }
}
