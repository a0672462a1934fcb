//! A server as a controller knows it, and the states, signs and effects of its state machine.

use crate::interface::*;
use crate::state::decay::{DecayingMean, DecayingOutcomes};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Not listed ready: in no table.
    Away,
    /// Started lately: its weight grows with what it can surely do.
    Cold,
    Open,
    /// Odd signs: probed, still in the tables.
    Doubted,
    /// Shut out for its health, and probed.
    Out,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerTrigger {
    Unlisted,
    Started,
    Warm,
    Broken,
    Odd,
    Sound,
    Cleared,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Nothing,
    /// It enters its group as a new member does; bindings settle.
    Join,
    /// It leaves all tables; bindings settle.
    Leave,
    /// As Leave, and its next return takes longer.
    Eject,
    /// It returns, and what was measured before no longer holds; bindings settle.
    Return,
}

pub struct Server {
    pub listing: Listing,
    pub group: usize,
    pub state: ServerState,
    pub state_since: Nanos,
    /// When it last entered its group; nothing: with the first list.
    pub joined_at: Option<Nanos>,
    /// Started anew since its state last changed.
    pub restarted: bool,
    /// Weight against the listed one, by what proxies met.
    pub weight_factor: f64,
    pub own_zone: DecayingOutcomes,
    pub other_zones: DecayingOutcomes,
    /// The busy share it reports.
    pub busy: DecayingMean,
    /// The operations it holds, as it reports them.
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
