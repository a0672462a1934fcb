//! The state of a group of servers at a controller, and its load states.

use std::collections::BTreeSet;

use crate::interface::*;
use crate::state::decay::Outcomes;
use crate::state::server::ServerState;

/// The load states of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadState {
    Calm,
    Shedding,
}

/// The conditions that cause a load state transition of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadTrigger {
    Overloaded,
    Light,
    Idle,
}

/// How a load state transition changes the limit of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    Cut,
    Grow,
    Remove,
}

/// A group of servers as a controller knows it.
pub struct Group {
    pub members: BTreeSet<ServerId>,
    /// The zone of its servers, if all are in one.
    pub zone: Option<ZoneId>,
    pub load: LoadState,
    /// Most operations per second that it admits.
    pub limit: f64,
    /// When its load state or limit last changed.
    pub changed_at: Nanos,
    /// Recent outcomes at its members in use.
    pub outcomes: Outcomes,
    /// The failed share at the better half of these members.
    pub better_half_failed_share: f64,
    /// The mean busy share of its members in use.
    pub busy: Option<f64>,
    /// Operations in progress or queued at its members, from the proxies of all controllers.
    pub in_flight: f64,
    /// Share of the arrivals that comes from proxies which joined some time ago.
    pub settled_share: f64,
    /// Listed weight of its members in use.
    pub weight_in_use: f64,
    /// Listed weight of all members that are listed as ready.
    pub listed_weight: f64,
    /// Recent outcomes at its cold members, if there are any.
    pub cold_outcomes: Option<Outcomes>,
    /// By class: operations per second that arrive at each proxy bound to this group.
    pub arrivals: Vec<Vec<f64>>,
}

impl Group {
    pub fn new(zone: Option<ZoneId>) -> Self {
        Group {
            members: BTreeSet::new(),
            zone,
            load: LoadState::Calm,
            limit: f64::INFINITY,
            changed_at: Nanos(0),
            outcomes: Outcomes::default(),
            better_half_failed_share: 0.0,
            busy: None,
            in_flight: 0.0,
            settled_share: 0.0,
            weight_in_use: 0.0,
            listed_weight: 0.0,
            cold_outcomes: None,
            arrivals: Vec::new(),
        }
    }
}

/// A controller's estimates for a group, for logs and status output.
#[derive(Clone, Debug)]
pub struct GroupStatus {
    pub zone: Option<ZoneId>,
    pub load: LoadState,
    pub limit: f64,
    /// Operations per second that arrive for it, and that its members handle.
    pub arrival_rate: f64,
    pub handled: f64,
    /// Mean wait, unanswered share and busy share of its members in use.
    pub wait: f64,
    pub unanswered: f64,
    pub busy: Option<f64>,
    /// Listed weight of its members in use, and of all that are listed as ready.
    pub weight: f64,
    pub listed: f64,
    /// Its members' names, states and factors on the listed weight.
    pub members: Vec<(ServerId, ServerState, f64)>,
}
