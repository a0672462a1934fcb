//! A group of servers as a controller knows it, and the states of its load.

use std::collections::BTreeSet;

use crate::interface::*;
use crate::state::decay::Outcomes;
use crate::state::server::ServerState;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadState {
    Calm,
    Shedding,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadTrigger {
    Overloaded,
    Light,
    Idle,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    Cut,
    Grow,
    Remove,
}

pub struct Group {
    pub members: BTreeSet<ServerId>,
    /// The zone of its servers, where all are of one.
    pub zone: Option<ZoneId>,
    pub load: LoadState,
    /// Operations a second it takes in at most.
    pub limit: f64,
    pub changed_at: Nanos,
    /// What proxies met of late at its members in no doubt, their mean busy share, and their listed weight.
    pub outcomes: Outcomes,
    /// The unanswered share at the better half of them.
    pub better_half_failed_share: f64,
    pub busy: Option<f64>,
    /// Operations that its members hold, of all controllers' proxies.
    pub in_flight: f64,
    /// Share of what arrives that comes from proxies which joined a while ago.
    pub settled_share: f64,
    pub weight_in_use: f64,
    /// Listed weight of all members listed ready.
    pub listed_weight: f64,
    /// What proxies met at its cold members, if there are any.
    pub cold_outcomes: Option<Outcomes>,
    /// By class: what comes to each proxy bound here, per second.
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

/// What a controller believes of a group, for whoever looks on.
#[derive(Clone, Debug)]
pub struct GroupStatus {
    pub zone: Option<ZoneId>,
    pub load: LoadState,
    pub limit: f64,
    /// Operations a second that arrive for it, and that its members handle.
    pub arrival_rate: f64,
    pub handled: f64,
    /// Mean wait, unanswered share, and busy share of its members in no doubt.
    pub wait: f64,
    pub unanswered: f64,
    pub busy: Option<f64>,
    /// Its members' weight: of those in no doubt, and of all that are listed ready.
    pub weight: f64,
    pub listed: f64,
    /// Its members' names, states, and weights against the listed ones.
    pub members: Vec<(ServerId, ServerState, f64)>,
}
