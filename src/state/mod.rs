//! What a controller keeps: plain types and sums, without any decision, table or tuned value.

mod binding;
mod channel;
mod decay;
mod group;
mod holdings;
mod placement;
mod server;
mod table;

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::interface::*;

pub use binding::{Binding, Candidate, GroupLoads, Proxy};
pub use channel::Channel;
pub use decay::{DecayingOutcomes, DecayingSum, Outcomes};
pub use group::{Group, GroupStatus, LimitChange, LoadState, LoadTrigger};
pub use placement::{ClassRow, Placement};
pub use server::{Effect, Server, ServerState, ServerTrigger};
pub use table::{Refusal, Subject, Table};

const MAX_TRANSITIONS: usize = 1_024; // between two looks: a fleet of that many servers may change at once

/// A change of state that an operator wants to see.
#[derive(Clone, Debug, PartialEq)]
pub enum Transition {
    Server {
        server: ServerId,
        from: ServerState,
        to: ServerState,
        trigger: ServerTrigger,
    },
    /// `limit`: operations a second that the group takes in at most.
    Group {
        group: usize,
        from: LoadState,
        to: LoadState,
        limit: f64,
    },
    /// A table has lost its last line.
    TableEmptied {
        table: TableId,
    },
    /// A table without lines has got one.
    TableFilled {
        table: TableId,
    },
}

/// One instance of the decisions in `policy.rs`, and all it knows.
pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg32,
    pub(crate) started_at: Nanos,
    pub(crate) now: Nanos,
    pub(crate) classes: Vec<ClassRow>,
    /// The shortest latency goal and the longest, s.
    pub(crate) latency_goal_range: (f64, f64),
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) proxies: BTreeMap<ProxyId, Proxy>,
    pub(crate) groups: Vec<Group>,
    /// Distinct placements, the open one first; a table is a group's servers under one of them.
    pub(crate) placements: Vec<Placement>,
    /// Whether all servers of a placement are surely cold.
    pub(crate) cold_placements: Vec<bool>,
    pub(crate) tables: BTreeMap<TableId, Table>,
    pub(crate) binding_steps_left: u32,
    pub(crate) next_binding_step: Nanos,
    pub(crate) next_weight_update: Nanos,
    pub(crate) next_wake: Nanos,
    /// When to ask for the list, if it must be asked for.
    pub(crate) list_request_at: Option<Nanos>,
    pub(crate) list_retry_delay: Nanos,
    /// Operations a second that a unit of listed weight could do, at its best lately.
    pub(crate) best_throughput_per_weight: DecayingSum,
    /// The most listed weight that was ever ready.
    pub(crate) max_listed_weight: f64,
    /// Operations a second that all joined proxies usually get.
    pub(crate) usual_rate: f64,
    pub(crate) channel: Channel,
    /// What was refused of late.
    pub(crate) refusals: BTreeMap<Subject, Refusal>,
    /// What has changed since that was last asked for.
    transitions: Vec<Transition>,
}

impl Controller {
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Self {
        let row = |class: &ClassSettings| ClassRow {
            importance: class.importance,
            placement: Placement { zones: class.only_zones.clone(), kinds: class.only_kinds.clone() },
            home_only: class.home_only,
        };
        let goals = settings.classes.iter().map(|class| class.latency_goal.secs());
        Controller {
            rng: Pcg32::seed_from_u64(seed),
            started_at: now,
            now,
            classes: settings.classes.iter().map(row).collect(),
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
            channel: Channel::new(now),
            refusals: BTreeMap::new(),
            transitions: Vec::new(),
            settings,
        }
    }

    /// Keeps a change for whoever looks on; beyond what is kept nobody has looked for long.
    pub(crate) fn record_transition(&mut self, transition: Transition) {
        if self.transitions.len() < MAX_TRANSITIONS {
            self.transitions.push(transition);
        }
    }

    /// What has changed since the last call.
    pub fn take_transitions(&mut self) -> Vec<Transition> {
        std::mem::take(&mut self.transitions)
    }

    /// What is believed of load and health, to be held against what passes.
    pub fn group_statuses(&self) -> Vec<GroupStatus> {
        let view = |group: &Group| GroupStatus {
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
                let all = group.members.iter().map(|id| (id, &self.servers[id]));
                let ready = all.filter(|(_, server)| server.is_ready());
                ready.map(|(id, server)| (id.clone(), server.state, server.weight_factor)).collect()
            },
        };
        self.groups.iter().map(view).collect()
    }

    /// Servers that are remembered, those lately gone included.
    pub fn known_servers(&self) -> usize {
        self.servers.len()
    }

    /// Operations a second that a unit of listed weight could do, at its best lately.
    pub fn best_throughput_per_weight(&self) -> f64 {
        self.best_throughput_per_weight.read(self.now)
    }

    /// Where a class may run for proxies of a zone, by its place among the placements met so far.
    pub(crate) fn placement_index(&mut self, class: usize, zone: ZoneId) -> usize {
        let row = &self.classes[class];
        let zones = if row.home_only { vec![zone] } else { row.placement.zones.clone() };
        let placement = Placement { zones, kinds: row.placement.kinds.clone() };
        self.placements.iter().position(|known| *known == placement).unwrap_or_else(|| {
            self.placements.push(placement);
            self.placements.len() - 1
        })
    }
}
