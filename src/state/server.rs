//! The state of a server at a controller, and the states, triggers and effects of its state machine.

use crate::interface::*;
use crate::state::decay::{DecayingMean, DecayingOutcomes};

/// The states of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Not listed as ready: in no table.
    Away,
    /// Started recently: its weight grows with the lower bound of its capacity.
    Cold,
    Open,
    /// Suspected of a fault: probed, but still in the tables.
    Doubted,
    /// Ejected for its health, and probed.
    Out,
}

/// The conditions that cause a state transition of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerTrigger {
    /// No longer listed as ready.
    Unlisted,
    /// Listed as ready and cold, after it was away or restarted.
    Started,
    /// Listed as ready and warm.
    Warm,
    /// Fails so many tries or probes that it has to be ejected.
    Broken,
    /// Fails noticeably more tries than the rest of its group.
    Odd,
    /// Shows no more signs of a fault while doubted.
    Sound,
    /// Has answered enough probes while ejected.
    Cleared,
}

/// What a state transition of a server causes besides the new state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Nothing,
    /// It joins its group as a new member; bindings are rebalanced.
    Join,
    /// It leaves all tables; bindings are rebalanced.
    Leave,
    /// As `Leave`, and its next return takes longer.
    Eject,
    /// It returns, and earlier measurements are discarded; bindings are rebalanced.
    Return,
}

/// A server as a controller knows it.
pub struct Server {
    pub listing: Listing,
    pub group: usize,
    pub state: ServerState,
    pub state_since: Nanos,
    /// When it last joined its group; `None`: with the first list.
    pub joined_at: Option<Nanos>,
    /// Whether it restarted since its state last changed.
    pub restarted: bool,
    /// Factor on its listed weight, from the outcomes that proxies observed.
    pub weight_factor: f64,
    /// Outcomes observed by proxies of its own zone.
    pub own_zone: DecayingOutcomes,
    /// Outcomes observed by proxies of other zones.
    pub other_zones: DecayingOutcomes,
    /// The busy share it reports.
    pub busy: DecayingMean,
    /// The operations it reports to be in progress or queued.
    pub in_flight: DecayingMean,
    pub probed_at: Nanos,
    pub probes_answered: u32,
    pub probes_failed: u32,
    pub ejections: u32,
}

impl Server {
    pub fn new(listing: Listing, group: usize) -> Self {
        Server {
            listing,
            group,
            state: ServerState::Away,
            state_since: Nanos(0),
            joined_at: None,
            restarted: false,
            weight_factor: 1.0,
            own_zone: DecayingOutcomes::default(),
            other_zones: DecayingOutcomes::default(),
            busy: DecayingMean::default(),
            in_flight: DecayingMean::default(),
            probed_at: Nanos(0),
            probes_answered: 0,
            probes_failed: 0,
            ejections: 0,
        }
    }

    pub fn is_ready(&self) -> bool {
        self.listing.readiness == Readiness::Ready
    }
}
