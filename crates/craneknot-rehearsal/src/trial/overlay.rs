//! Faults that are added to a script, drawn by seed: of processes, the relay, the list of servers and the machine.

use std::fmt;
use std::ops::Range;
use std::str::FromStr;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg32;

use super::deployment::COORDINATORS;
use super::script::{Planned, Step, LOADED};

const WINDOWS: Range<usize> = 2..6; // number of occurrences of one fault in a day
const WINDOW_MILLIS: Range<u64> = 800..4_000; // length of one occurrence
const LOADED_PROBABILITY: f64 = 0.5; // that a fault affects the coordinator that gets all proxies

/// A fault that can be added to any script.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Overlay {
    /// The log of a coordinator is a full pipe without a reader.
    LogUnread,
    /// The wall clock is off by an hour in every process of a coordinator except the first.
    ClockStep,
    /// System calls of a coordinator fail occasionally.
    SystemCalls,
    /// The relay rejects calls.
    RelayThrottled,
    /// The relay resets connections after the last byte of a call.
    RelayBroken,
    /// The relay's answers are truncated and can't be parsed.
    RelaySpoilt,
    /// Discovery delivers the list late.
    ListsLate,
    /// Discovery delivers the full list in place of changes.
    ListsWhole,
    /// Discovery doesn't answer.
    ListsSilent,
    /// A coordinator gets a quarter of a CPU core.
    QuarterCore,
    /// Other threads keep the machine busy.
    BusyNeighbours,
}

/// All faults with their command-line names.
pub const ALL: [(&str, Overlay); 11] = [
    ("log-unread", Overlay::LogUnread),
    ("clock-step", Overlay::ClockStep),
    ("system-calls", Overlay::SystemCalls),
    ("relay-throttled", Overlay::RelayThrottled),
    ("relay-broken", Overlay::RelayBroken),
    ("relay-spoilt", Overlay::RelaySpoilt),
    ("lists-late", Overlay::ListsLate),
    ("lists-whole", Overlay::ListsWhole),
    ("lists-silent", Overlay::ListsSilent),
    ("quarter-core", Overlay::QuarterCore),
    ("busy-neighbours", Overlay::BusyNeighbours),
];

/// The error for an unknown fault name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownOverlay(pub String);

impl fmt::Display for UnknownOverlay {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let names: Vec<&str> = ALL.iter().map(|(name, _)| *name).collect();
        write!(formatter, "unknown fault {:?}; expected one of {}", self.0, names.join(", "))
    }
}

impl std::error::Error for UnknownOverlay {}

impl FromStr for Overlay {
    type Err = UnknownOverlay;

    fn from_str(text: &str) -> Result<Self, UnknownOverlay> {
        let found = ALL.iter().find(|(name, _)| *name == text).map(|(_, overlay)| *overlay);
        found.ok_or_else(|| UnknownOverlay(text.to_owned()))
    }
}

impl fmt::Display for Overlay {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let name = ALL.iter().find(|(_, overlay)| overlay == self).map_or("", |(name, _)| name);
        formatter.write_str(name)
    }
}

impl Overlay {
    /// Whether the fault affects a coordinator for the whole day.
    pub fn lasts_all_day(self) -> bool {
        matches!(self, Overlay::LogUnread | Overlay::ClockStep | Overlay::SystemCalls | Overlay::QuarterCore)
    }

    /// Draws the times of the fault and the coordinators affected.
    pub fn draw(self, rng: &mut Pcg32, length: Duration) -> Vec<Planned> {
        let day_millis = length.as_millis() as u64;
        if self.lasts_all_day() {
            return vec![self.plan_step(rng, 0, day_millis)];
        }
        let windows = rng.random_range(WINDOWS);
        let window = |_| {
            let span = rng.random_range(WINDOW_MILLIS);
            let at = rng.random_range(0..day_millis);
            self.plan_step(rng, at, span)
        };
        (0..windows).map(window).collect()
    }

    fn plan_step(self, rng: &mut Pcg32, at: u64, span: u64) -> Planned {
        let coordinator =
            if rng.random_bool(LOADED_PROBABILITY) { LOADED } else { rng.random_range(0..COORDINATORS) };
        let step = Step::Overlay { fault: self, coordinator, span };
        Planned { at: Duration::from_millis(at), step }
    }
}
