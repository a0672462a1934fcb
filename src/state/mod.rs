//! The state of a controller: plain types and totals. The decisions and their thresholds are in the policy files.

mod binding;
mod channel;
mod decay;
mod group;
mod holdings;
mod placement;
mod queue_estimate;
mod reports;
mod server;
mod table;
mod totals;

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::interface::*;
use crate::sender::CHANNEL_RATE_SHARE;

pub use binding::{Binding, Candidate, GroupLoads, Proxy};
pub use channel::Channel;
pub use decay::{DecayingOutcomes, DecayingSum, Outcomes};
pub use group::{Group, GroupStatus, LimitChange, LoadState, LoadTrigger};
pub use placement::{ClassRules, Placement};
pub use queue_estimate::QueueEstimate;
pub use reports::TryReport;
pub use server::{Effect, Server, ServerState, ServerTrigger};
pub use table::{Refusal, Subject, Table};

/// Most transitions kept until they are taken: a fleet of this many servers may change at once.
const MAX_TRANSITIONS: usize = 1_024;

/// A state change that is reported to operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Transition {
    Server {
        server: ServerId,
        from: ServerState,
        to: ServerState,
        trigger: ServerTrigger,
    },
    /// `limit`: most operations per second that the group admits.
    Group {
        group: usize,
        from: LoadState,
        to: LoadState,
        limit: f64,
    },
    /// A table lost its last line.
    TableEmptied {
        table: TableId,
    },
    /// A table without lines got one.
    TableFilled {
        table: TableId,
    },
}

/// One instance of the decisions in `policy.rs`, with its state.
pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg32,
    pub(crate) started_at: Nanos,
    pub(crate) now: Nanos,
    pub(crate) classes: Vec<ClassRules>,
    /// The shortest and the longest latency goal, in seconds.
    pub(crate) latency_goal_range: (f64, f64),
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) proxies: BTreeMap<ProxyId, Proxy>,
    pub(crate) groups: Vec<Group>,
    /// Distinct placements, the unrestricted one first; a table holds a group's servers under one of them.
    pub(crate) placements: Vec<Placement>,
    /// By placement: whether all its servers are certainly cold.
    pub(crate) cold_placements: Vec<bool>,
    pub(crate) tables: BTreeMap<TableId, Table>,
    pub(crate) binding_steps_left: u32,
    pub(crate) next_binding_step: Nanos,
    pub(crate) next_weight_update: Nanos,
    pub(crate) next_wake: Nanos,
    /// When to request the list, if a request is due.
    pub(crate) list_request_at: Option<Nanos>,
    pub(crate) list_retry_delay: Nanos,
    /// Best recent throughput of a unit of listed weight, in operations per second.
    pub(crate) best_throughput_per_weight: DecayingSum,
    /// The largest listed weight that was ever ready.
    pub(crate) max_listed_weight: f64,
    /// Operations per second that all joined proxies usually receive.
    pub(crate) usual_rate: f64,
    pub(crate) channel: Channel,
    /// Orders that were refused recently.
    pub(crate) refusals: BTreeMap<Subject, Refusal>,
    /// State changes since they were last taken.
    transitions: Vec<Transition>,
}

impl Controller {
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Self {
        let rules = |class: &ClassSettings| ClassRules {
            importance: class.importance,
            placement: Placement { zones: class.only_zones.clone(), kinds: class.only_kinds.clone() },
            home_only: class.home_only,
        };
        let goals = settings.classes.iter().map(|class| class.latency_goal.secs());
        Controller {
            rng: Pcg32::seed_from_u64(seed),
            started_at: now,
            now,
            classes: settings.classes.iter().map(rules).collect(),
            latency_goal_range: (goals.clone().fold(f64::INFINITY, f64::min), goals.fold(0.0, f64::max)),
            servers: BTreeMap::new(),
            proxies: BTreeMap::new(),
            groups: Vec::new(),
            placements: vec![Placement::default()],
            cold_placements: Vec::new(),
            tables: BTreeMap::new(),
            binding_steps_left: 0,
            next_binding_step: now,
            next_weight_update: now,
            next_wake: now,
            list_request_at: settings.list_on_request.then_some(now),
            list_retry_delay: Nanos(0),
            best_throughput_per_weight: DecayingSum::default(),
            max_listed_weight: 0.0,
            usual_rate: 0.0,
            channel: Channel::new(now, settings.channel_lines_per_second * CHANNEL_RATE_SHARE),
            refusals: BTreeMap::new(),
            transitions: Vec::new(),
            settings,
        }
    }

    /// Records a state change for reporting. Changes beyond `MAX_TRANSITIONS` are dropped: the host has
    /// not taken any for a long time.
    pub(crate) fn record_transition(&mut self, transition: Transition) {
        if self.transitions.len() < MAX_TRANSITIONS {
            self.transitions.push(transition);
        }
    }

    /// The state changes since the last call.
    pub fn take_transitions(&mut self) -> Vec<Transition> {
        std::mem::take(&mut self.transitions)
    }

    /// The controller's estimates of load and health, for comparison with actual traffic.
    pub fn group_statuses(&self) -> Vec<GroupStatus> {
        let status = |group: &Group| GroupStatus {
            zone: group.zone,
            load: group.load,
            limit: group.limit,
            arrival_rate: group.arrivals.iter().flatten().sum(),
            handled: group.outcomes.handled_rate,
            wait: group.outcomes.mean_wait(),
            unanswered: group.outcomes.failed_share(),
            busy: group.busy,
            weight: group.weight_in_use,
            listed: group.listed_weight,
            members: {
                let members = group.members.iter().map(|id| (id, &self.servers[id]));
                let ready = members.filter(|(_, server)| server.is_ready());
                ready.map(|(id, server)| (id.clone(), server.state, server.weight_factor)).collect()
            },
        };
        self.groups.iter().map(status).collect()
    }

    /// Number of known servers, including those removed recently.
    pub fn known_servers(&self) -> usize {
        self.servers.len()
    }

    /// Best recent throughput of a unit of listed weight, in operations per second.
    pub fn best_throughput_per_weight(&self) -> f64 {
        self.best_throughput_per_weight.read(self.now)
    }

    /// The index of the placement of a class for proxies of a zone; a new placement is added.
    pub(crate) fn placement_index(&mut self, class: usize, zone: ZoneId) -> usize {
        let rules = &self.classes[class];
        let zones = if rules.home_only { vec![zone] } else { rules.placement.zones.clone() };
        let placement = Placement { zones, kinds: rules.placement.kinds.clone() };
        self.placements.iter().position(|known| *known == placement).unwrap_or_else(|| {
            self.placements.push(placement);
            self.placements.len() - 1
        })
    }
}
