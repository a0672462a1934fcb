//! Why a server has its weight, what binds, and what one more server of a kind would bring.

use std::collections::BTreeMap;
use std::fmt::Write;

use craneknot::interface::{KindId, Nanos, ServerId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::estimate::Doubt;
use crate::plan::{Binding, Cost, Fleet, Server};
use crate::tuner::{Change, State, WeightTuner};

/// Names of zones, kinds and classes, by their places.
pub trait Names {
    fn zone(&self, zone: ZoneId) -> String;
    fn kind(&self, kind: KindId) -> String;
    fn class(&self, class: usize) -> String;
}

/// One server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServerExplanation {
    pub server: String,
    pub zone: String,
    pub kind: String,
    pub listed: f64,
    pub weight: f64,
    pub state: State,
    /// Operations a second that it carries when warm: the median, and where it lies 19 times of 20.
    pub capacity: f64,
    pub interval: (f64, f64),
    pub observations: u32,
    /// Share of its answers that get lost.
    pub loss: f64,
    /// Part of its capacity that it has now at the least.
    pub warmth: f64,
    /// Operations a second that the plan gives it.
    pub planned: f64,
    /// Why its own word on its load does not count.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub doubt: Option<String>,
}

/// What one more server would save, in cost a second.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OneMore {
    pub zone: String,
    pub kind: String,
    pub saves: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Explanation {
    pub servers: Vec<ServerExplanation>,
    pub cost: Option<Cost>,
    /// Operations a second that are asked for and that are shed, by zone and group of classes.
    pub demand: Vec<Vec<f64>>,
    pub shed: Vec<Vec<f64>>,
    pub bindings: Vec<String>,
    pub one_more: Vec<OneMore>,
    pub tilts: Vec<(String, f64)>,
    /// Plans solved, and not.
    pub plans: (u64, u64),
    pub changes: usize,
    pub last: Vec<Change>,
}

const LAST: usize = 20; // changes that are told

/// Explains the weights as they stand.
pub fn explain(steer: &WeightTuner, now: Nanos, names: &dyn Names) -> Explanation {
    let estimator = steer.estimator();
    let loads = steer.plan().map(|(fleet, plan, ids)| ids.iter().zip(plan.by_server(fleet)));
    let planned: BTreeMap<&ServerId, f64> = loads.into_iter().flatten().collect();
    let one = |id: &ServerId| {
        let (weight, listed, state, doubt) = steer.weight_of(id)?;
        let (listing, found) = (steer.listing(id)?, estimator.capacity(now, id)?);
        Some(ServerExplanation {
            server: id.0.to_string(),
            zone: names.zone(listing.zone),
            kind: names.kind(listing.kind),
            listed,
            weight,
            state,
            capacity: found.median,
            interval: found.interval(),
            observations: found.observations,
            loss: found.loss,
            warmth: steer.settings().warm_up.warmth(now, listing.started),
            planned: planned.get(id).copied().unwrap_or(0.0),
            doubt: doubt.map(|doubt| match doubt {
                Doubt::IdleAndLate => "it says that it is idle, and answers late".to_owned(),
                Doubt::ZeroLoad => "it says that it does nothing, and answers".to_owned(),
            }),
        })
    };
    let servers = estimator.ids().filter_map(one).collect();
    let plan = steer.plan();
    let zones = steer.settings().zones;
    Explanation {
        servers,
        cost: plan.map(|(_, plan, _)| plan.cost),
        demand: plan.map_or(Vec::new(), |(fleet, _, _)| fleet.demand.clone()),
        shed: plan.map_or(Vec::new(), |(_, plan, _)| plan.shed.clone()),
        bindings: plan.map_or(Vec::new(), |(_, plan, _)| {
            plan.bindings.iter().map(|binding| words(binding, &steer.groups().1, names)).collect()
        }),
        one_more: plan.map_or(Vec::new(), |(fleet, plan, _)| one_more(fleet, plan.cost.sum(), names)),
        tilts: (0..zones).map(|zone| (names.zone(ZoneId(zone as u16)), steer.tilt(zone))).collect(),
        plans: steer.plan_counts(),
        changes: steer.history().count(),
        last: {
            let all: Vec<&Change> = steer.history().collect();
            all[all.len().saturating_sub(LAST)..].iter().map(|change| (*change).clone()).collect()
        },
    }
}

fn words(binding: &Binding, group_of: &[usize], names: &dyn Names) -> String {
    let named = |groups: &[usize]| {
        let classes = group_of.iter().enumerate().filter(|(_, group)| groups.contains(group));
        classes.map(|(class, _)| names.class(class)).collect::<Vec<String>>().join(", ")
    };
    match binding {
        Binding::NoServer { class } => format!("{}: no server where it may run", named(&[*class])),
        Binding::Full { zone, classes } => {
            let zone = names.zone(ZoneId(*zone as u16));
            format!("{zone}: the servers for {} are full", named(classes))
        }
    }
}

/// What one more server like the mean of its zone and kind would save: the plan is solved anew with it.
fn one_more(fleet: &Fleet, cost: f64, names: &dyn Names) -> Vec<OneMore> {
    let mut kinds: Vec<(usize, u16)> =
        fleet.servers.iter().map(|server| (server.zone, server.kind)).collect();
    kinds.sort_unstable();
    kinds.dedup();
    let mut found: Vec<OneMore> = kinds
        .into_iter()
        .filter_map(|(zone, kind)| {
            let alike: Vec<f64> = fleet
                .servers
                .iter()
                .filter(|server| (server.zone, server.kind) == (zone, kind))
                .map(|server| server.capacity)
                .collect();
            let capacity = alike.iter().sum::<f64>() / alike.len() as f64;
            let mut more = fleet.clone();
            more.servers.push(Server { zone, kind, capacity });
            let saves = cost - more.solve()?.cost.sum();
            Some(OneMore { zone: names.zone(ZoneId(zone as u16)), kind: names.kind(KindId(kind)), saves })
        })
        .collect();
    found.sort_by(|a, b| b.saves.total_cmp(&a.saves));
    found
}

impl Explanation {
    /// As text for an operator.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for of in &self.servers {
            let doubt = of.doubt.as_ref().map_or(String::new(), |doubt| format!("; not believed: {doubt}"));
            let loss = if of.loss > 0.0 { format!(", {:.0}% lost", of.loss * 100.0) } else { String::new() };
            let cold =
                if of.warmth < 1.0 { format!(", {:.0}% warm", of.warmth * 100.0) } else { String::new() };
            let _ = writeln!(
                text,
                "{}  {}/{}  weight {:.3} (listed {:.3}, {:?})  carries {:.0}/s ({:.0} to {:.0}, {} observations{loss}{cold}), \
                 planned {:.0}/s{doubt}",
                of.server,
                of.zone,
                of.kind,
                of.weight,
                of.listed,
                of.state,
                of.capacity,
                of.interval.0,
                of.interval.1,
                of.observations,
                of.planned
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
            let _ = writeln!(text, "{zone}: weights tilted by {tilt:.2}, as the plan fills its servers");
        }
        for binding in &self.bindings {
            let _ = writeln!(text, "binds: {binding}");
        }
        for more in self.one_more.iter().filter(|more| more.saves > 1e-3) {
            let _ = writeln!(
                text,
                "one more {} in {} would save {:.2} a second",
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
