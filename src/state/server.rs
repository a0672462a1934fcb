//! A server as a controller knows it, and the states, signs and effects of its state machine.

use crate::interface::*;
use crate::state::decay::{Mean, Met};

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
    pub since: Nanos,
    /// When it last entered its group; nothing: with the first list.
    pub joined: Option<Nanos>,
    /// Started anew since its state last changed.
    pub fresh: bool,
    /// Weight against the listed one, by what proxies met.
    pub pace: f64,
    pub near: Met,
    pub far: Met,
    /// The busy share it reports.
    pub busy: Mean,
    /// The operations it holds, as it reports them.
    pub held: Mean,
    pub probed: Nanos,
    pub probes_good: u32,
    pub probes_bad: u32,
    pub relapses: u32,
}

impl Server {
    pub fn new(listing: Listing, group: usize) -> Self {
        Server {
            listing,
            group,
            state: ServerState::Away,
            since: Nanos(0),
            joined: None,
            fresh: false,
            pace: 1.0,
            near: Met::default(),
            far: Met::default(),
            busy: Mean::default(),
            held: Mean::default(),
            probed: Nanos(0),
            probes_good: 0,
            probes_bad: 0,
            relapses: 0,
        }
    }

    pub fn ready(&self) -> bool {
        self.listing.readiness == Readiness::Ready
    }
}
