//! Explains why a server has its weight, which constraints bind, and what one more server of a kind would save.

use std::collections::BTreeMap;
use std::fmt::Write;

use craneknot::interface::{KindId, Nanos, ServerId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::estimate::Doubt;
use crate::plan::{Binding, Cost, Fleet, Server};
use crate::tuner::{Change, State, WeightTuner};

/// Names of zones, kinds and classes by their numbers.
pub trait Names {
    fn zone(&self, zone: ZoneId) -> String;
    fn kind(&self, kind: KindId) -> String;
    fn class(&self, class: usize) -> String;
}

/// Explanation of one server's weight.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServerExplanation {
    pub server: String,
    pub zone: String,
    pub kind: String,
    pub listed: f64,
    pub weight: f64,
    pub state: State,
    /// Estimated capacity when warm, in operations per second: the median.
    pub capacity: f64,
    /// The interval that contains the capacity in 19 of 20 cases.
    pub interval: (f64, f64),
    pub observations: u32,
    /// Share of its answers that get lost.
    pub loss: f64,
    /// Fraction of its capacity that it has at least now.
    pub warmth: f64,
    /// Operations per second that the plan assigns to it.
    pub planned: f64,
    /// Why its load reports are not used.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub doubt: Option<String>,
}

/// What one more server would save, in cost per second.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OneMore {
    pub zone: String,
    pub kind: String,
    pub saves: f64,
}

/// Explanation of all weights and of the latest plan.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Explanation {
    pub servers: Vec<ServerExplanation>,
    pub cost: Option<Cost>,
    /// Demand in operations per second, by zone and group of classes.
    pub demand: Vec<Vec<f64>>,
    /// The part of the demand that is shed.
    pub shed: Vec<Vec<f64>>,
    pub bindings: Vec<String>,
    pub one_more: Vec<OneMore>,
    pub tilts: Vec<(String, f64)>,
    /// Numbers of plans that were solved and that were not.
    pub plans: (u64, u64),
    pub changes: usize,
    pub last: Vec<Change>,
}

const MAX_CHANGES: usize = 20; // latest changes that are included

/// Explains the current weights.
pub fn explain(tuner: &WeightTuner, now: Nanos, names: &dyn Names) -> Explanation {
    let estimator = tuner.estimator();
    let loads = tuner.plan().map(|(fleet, plan, ids)| ids.iter().zip(plan.by_server(fleet)));
    let planned: BTreeMap<&ServerId, f64> = loads.into_iter().flatten().collect();
    let explain_server = |id: &ServerId| {
        let (weight, listed, state, doubt) = tuner.weight_of(id)?;
        let (listing, capacity) = (tuner.listing(id)?, estimator.capacity(now, id)?);
        Some(ServerExplanation {
            server: id.0.to_string(),
            zone: names.zone(listing.zone),
            kind: names.kind(listing.kind),
            listed,
            weight,
            state,
            capacity: capacity.median,
            interval: capacity.interval(),
            observations: capacity.observations,
            loss: capacity.loss,
            warmth: tuner.settings().warm_up.warmth(now, listing.started),
            planned: planned.get(id).copied().unwrap_or(0.0),
            doubt: doubt.map(|doubt| match doubt {
                Doubt::IdleAndLate => "it says that it is idle, and answers late".to_owned(),
                Doubt::ZeroLoad => "it says that it does nothing, and answers".to_owned(),
            }),
        })
    };
    let servers = estimator.ids().filter_map(explain_server).collect();
    let plan = tuner.plan();
    let zones = tuner.settings().zones;
    Explanation {
        servers,
        cost: plan.map(|(_, plan, _)| plan.cost),
        demand: plan.map_or(Vec::new(), |(fleet, _, _)| fleet.demand.clone()),
        shed: plan.map_or(Vec::new(), |(_, plan, _)| plan.shed.clone()),
        bindings: plan.map_or(Vec::new(), |(_, plan, _)| {
            plan.bindings.iter().map(|binding| describe_binding(binding, &tuner.groups().1, names)).collect()
        }),
        one_more: plan.map_or(Vec::new(), |(fleet, plan, _)| one_more(fleet, plan.cost.sum(), names)),
        tilts: (0..zones).map(|zone| (names.zone(ZoneId(zone as u16)), tuner.tilt(zone))).collect(),
        plans: tuner.plan_counts(),
        changes: tuner.history().count(),
        last: {
            let all: Vec<&Change> = tuner.history().collect();
            all[all.len().saturating_sub(MAX_CHANGES)..].iter().map(|change| (*change).clone()).collect()
        },
    }
}

fn describe_binding(binding: &Binding, group_of: &[usize], names: &dyn Names) -> String {
    let class_names = |groups: &[usize]| {
        let classes = group_of.iter().enumerate().filter(|(_, group)| groups.contains(group));
        classes.map(|(class, _)| names.class(class)).collect::<Vec<String>>().join(", ")
    };
    match binding {
        Binding::NoServer { class } => format!("{}: no server in its placement", class_names(&[*class])),
        Binding::Full { zone, classes } => {
            let zone = names.zone(ZoneId(*zone as u16));
            format!("{zone}: the servers for {} are full", class_names(classes))
        }
    }
}

/// What one more server with the mean capacity of its zone and kind would save, by solving the plan with it.
fn one_more(fleet: &Fleet, cost: f64, names: &dyn Names) -> Vec<OneMore> {
    let mut kinds: Vec<(usize, u16)> =
        fleet.servers.iter().map(|server| (server.zone, server.kind)).collect();
    kinds.sort_unstable();
    kinds.dedup();
    let mut savings: Vec<OneMore> = kinds
        .into_iter()
        .filter_map(|(zone, kind)| {
            let capacities: Vec<f64> = fleet
                .servers
                .iter()
                .filter(|server| (server.zone, server.kind) == (zone, kind))
                .map(|server| server.capacity)
                .collect();
            let capacity = capacities.iter().sum::<f64>() / capacities.len() as f64;
            let mut larger = fleet.clone();
            larger.servers.push(Server { zone, kind, capacity });
            let saves = cost - larger.solve()?.cost.sum();
            Some(OneMore { zone: names.zone(ZoneId(zone as u16)), kind: names.kind(KindId(kind)), saves })
        })
        .collect();
    savings.sort_by(|a, b| b.saves.total_cmp(&a.saves));
    savings
}

impl Explanation {
    /// The explanation as text for an operator.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for server in &self.servers {
            let doubt = server
                .doubt
                .as_ref()
                .map_or(String::new(), |doubt| format!("; its load reports are not used: {doubt}"));
            let loss =
                if server.loss > 0.0 { format!(", {:.0}% lost", server.loss * 100.0) } else { String::new() };
            let cold = if server.warmth < 1.0 {
                format!(", {:.0}% warm", server.warmth * 100.0)
            } else {
                String::new()
            };
            let _ = writeln!(
                text,
                "{}  {}/{}  weight {:.3} (listed {:.3}, {:?})  carries {:.0}/s ({:.0} to {:.0}, {} observations{loss}{cold}), \
                 planned {:.0}/s{doubt}",
                server.server,
                server.zone,
                server.kind,
                server.weight,
                server.listed,
                server.state,
                server.capacity,
                server.interval.0,
                server.interval.1,
                server.observations,
                server.planned
            );
        }
        if let Some(cost) = &self.cost {
            let _ = writeln!(
                text,
                "cost a second {:.2}: crossings {:.2}, waits {:.2}, shed {:.2}; {} plans solved, {} not",
                cost.sum(),
                cost.crossing,
                cost.waits,
                cost.shed,
                self.plans.0,
                self.plans.1
            );
        }
        for (zone, tilt) in self.tilts.iter().filter(|(_, tilt)| (tilt - 1.0).abs() > 0.01) {
            let _ = writeln!(text, "{zone}: weights multiplied by {tilt:.2}, as the plan uses its servers");
        }
        for binding in &self.bindings {
            let _ = writeln!(text, "binding constraint: {binding}");
        }
        for more in self.one_more.iter().filter(|more| more.saves > 1e-3) {
            let _ = writeln!(
                text,
                "one more {} in {} would save {:.2} per second",
                more.kind, more.zone, more.saves
            );
        }
        let _ = writeln!(text, "{} weights changed so far", self.changes);
        for change in &self.last {
            let _ = writeln!(
                text,
                "  {:.3} s  {}: {:.3} to {:.3} ({:?}; carries {:.0}/s within {:.0}%, {:.0}% lost, tilt {:.2})",
                change.at_s,
                change.server,
                change.from,
                change.to,
                change.cause,
                change.capacity,
                change.deviation * 100.0,
                change.loss * 100.0,
                change.tilt
            );
        }
        text
    }
}
