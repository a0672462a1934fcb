//! Upper bound on the service that any policy can reach: the optimal split of the requested work over the
//! servers' capacity, second by second, by a linear program. Every constraint except capacity and placement
//! is relaxed: work can be divided arbitrarily, moves between any proxy and any server without delay, and the
//! faults are known in advance.

use std::collections::{BTreeMap, BTreeSet};

use craneknot::interface::Nanos;
use craneknot_rehearsal::plan::{Plan, ServerAct};
use craneknot_rehearsal::Script;
use good_lp::{constraint, variable, variables, Expression, Solution, SolverModel};

/// An operation that a client requested.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestedOperation {
    pub at: Nanos,
    pub class: usize,
    /// Processing time on a core of speed 1.
    pub work: Nanos,
}

const SLOT_LENGTH: Nanos = Nanos::from_millis(1_000); // the work of each slot is split separately
const STEP_S: f64 = 0.05; // resolution at which the capacity of a slot is summed

/// Seconds of work that each server can do in each slot, counting only work whose answers arrive.
fn capacities(script: &Script, plan: &Plan, slots: usize) -> Vec<Vec<f64>> {
    struct ServerCondition {
        up: bool,
        silent: bool,
        slowdown: f64,
        answers_lost: f64,
        started: Option<f64>,
    }
    let server_capacity = |server: usize| {
        let model = plan.server_spec(script, server);
        let mut acts = plan.server_acts.iter().filter(|(_, of, _)| *of == server).peekable();
        let up = plan.servers[server].from_start;
        let mut condition =
            ServerCondition { up, silent: false, slowdown: 1.0, answers_lost: 0.0, started: None };
        let steps = (SLOT_LENGTH.secs() / STEP_S).round() as usize;
        let mut slot = |slot_index: usize| {
            let mut sum = 0.0;
            for step in 0..steps {
                let at = (slot_index * steps + step) as f64 * STEP_S;
                while let Some((changed_at, _, act)) = acts.next_if(|(when, _, _)| when.secs() <= at) {
                    match act {
                        ServerAct::Start => {
                            let started = Some(changed_at.secs());
                            condition = ServerCondition {
                                up: true,
                                silent: false,
                                slowdown: 1.0,
                                answers_lost: 0.0,
                                started,
                            };
                        }
                        ServerAct::Die => condition.up = false,
                        ServerAct::Silence => condition.silent = true,
                        ServerAct::Hang(on) => condition.silent = *on,
                        ServerAct::Slow(factor) => condition.slowdown = *factor,
                        ServerAct::LoseAnswers(share) => condition.answers_lost = *share,
                        // A quick error costs no work, and the operation may be retried.
                        ServerAct::Errors(_) => {}
                    }
                }
                if condition.up && !condition.silent {
                    // Warmth at the end of the step, its highest value within the step.
                    let age = condition.started.map(|started| Nanos::from_secs(at - started + STEP_S));
                    let warmth = age.map_or(1.0, |age| model.warmth(age));
                    sum +=
                        model.capacity(warmth) / condition.slowdown * (1.0 - condition.answers_lost) * STEP_S;
                }
            }
            sum
        };
        (0..slots).map(&mut slot).collect()
    };
    (0..plan.servers.len()).map(server_capacity).collect()
}

/// The highest service, weighted by importance, that any policy could reach; 1 if no operation was requested.
/// `None` if the linear program has no solution, which cannot occur, since every such program has one.
pub fn max_service(script: &Script, begin: Nanos, requested: &[RequestedOperation]) -> Option<f64> {
    let plan = Plan::draw(script);
    let wait_slots: Vec<usize> = script
        .classes
        .iter()
        // An operation may be processed until its latency goal, rounded up to whole slots.
        .map(|class| (class.latency_goal.0.secs() / SLOT_LENGTH.secs()).ceil() as usize)
        .collect();
    let slots = (script.length.0.secs() / SLOT_LENGTH.secs()).ceil() as usize
        + wait_slots.iter().max().copied().unwrap_or(0)
        + 1;
    let capacity = capacities(script, &plan, slots);
    // Servers are pooled by the set of classes that may run on them, the only difference that counts here.
    let mut pools: BTreeMap<BTreeSet<usize>, Vec<f64>> = BTreeMap::new();
    for (server, planned) in plan.servers.iter().enumerate() {
        let allowed = script.classes.iter().enumerate().filter(|(_, class)| {
            let group = &planned.group;
            class.allows(&group.zone, &group.kind)
        });
        let pool = pools.entry(allowed.map(|(class, _)| class).collect()).or_insert(vec![0.0; slots]);
        pool.iter_mut().zip(&capacity[server]).for_each(|(sum, addend)| *sum += addend);
    }
    // Requested work and number of operations, by class and slot.
    let mut demand = vec![vec![(0.0, 0.0); slots]; script.classes.len()];
    for operation in requested {
        let slot = ((operation.at - begin).secs() / SLOT_LENGTH.secs()) as usize;
        let cell = &mut demand[operation.class][slot.min(slots - 1)];
        *cell = (cell.0 + operation.work.secs(), cell.1 + 1.0);
    }
    let importance = |class: usize| script.classes[class].importance;
    let total_importance: f64 = demand
        .iter()
        .enumerate()
        .map(|(class, slots)| importance(class) * slots.iter().map(|cell| cell.1).sum::<f64>())
        .sum();
    if total_importance <= 0.0 {
        return Some(1.0);
    }
    // Variables: the part of a class's work of one slot that a pool does in this slot or a later one.
    let mut unknowns = variables!();
    let mut objective = Expression::from(0.0);
    let mut pool_work: BTreeMap<(usize, usize), Expression> = BTreeMap::new();
    let mut served_shares: Vec<Expression> = Vec::new();
    for (class, class_slots) in demand.iter().enumerate() {
        for (slot, (work, count)) in class_slots.iter().enumerate().filter(|(_, cell)| cell.1 > 0.0) {
            let mut sum = Expression::from(0.0);
            for (pool, _) in pools.keys().enumerate().filter(|(_, allowed)| allowed.contains(&class)) {
                for later in slot..=(slot + wait_slots[class]).min(slots - 1) {
                    let part = unknowns.add(variable().min(0.0).max(1.0));
                    objective += importance(class) * *count * part;
                    *pool_work.entry((pool, later)).or_insert(Expression::from(0.0)) += *work * part;
                    sum += part;
                }
            }
            served_shares.push(sum);
        }
    }
    let mut problem = unknowns.maximise(&objective).using(good_lp::microlp);
    served_shares.into_iter().for_each(|sum| {
        problem.add_constraint(constraint!(sum <= 1.0));
    });
    let pool_capacities: Vec<&Vec<f64>> = pools.values().collect();
    for ((pool, slot), sum) in pool_work {
        problem.add_constraint(constraint!(sum <= pool_capacities[pool][slot]));
    }
    let solution = problem.solve().ok()?;
    Some((solution.eval(&objective) / total_importance).clamp(0.0, 1.0))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn script() -> Script {
        let mut script = Script::built_in().unwrap();
        script.troubles.clear();
        script
    }

    fn load(script: &Script, class: usize, capacity: f64, factor: f64) -> Vec<RequestedOperation> {
        let work = Nanos::from_millis(20);
        let count = (script.length.0.secs() * capacity * factor / work.secs()) as u64;
        let gap = script.length.0 .0 / count;
        (0..count).map(|k| RequestedOperation { at: Nanos(gap * k), class, work }).collect()
    }

    fn capacity(script: &Script, class: usize) -> f64 {
        let class = &script.classes[class];
        let groups = script.servers.iter().filter(|group| class.allows(&group.zone, &group.kind));
        groups.map(|group| f64::from(group.count) * f64::from(group.cores) * group.speed).sum()
    }

    #[test]
    fn work_within_capacity_is_served_in_full_and_double_the_capacity_by_half() {
        let script = script();
        for class in 0..script.classes.len() {
            let capacity = capacity(&script, class);
            let half = max_service(&script, Nanos(0), &load(&script, class, capacity, 0.5)).unwrap();
            assert!((half - 1.0).abs() < 1e-6, "{half}");
            let twice = max_service(&script, Nanos(0), &load(&script, class, capacity, 2.0)).unwrap();
            // Slightly above one half, since the work of the last slots may be done after the end.
            assert!((0.5..0.56).contains(&twice), "{twice}");
        }
        assert_eq!(max_service(&script, Nanos(0), &[]), Some(1.0));
    }

    #[test]
    fn more_important_classes_are_served_first() {
        let mut script = script();
        script.classes[0].importance = 1.0;
        script.classes[1].importance = 3.0;
        script.classes[0].only_zones = script.classes[1].only_zones.clone();
        script.classes[0].only_kinds = script.classes[1].only_kinds.clone();
        let capacity = capacity(&script, 0);
        let mut requested = load(&script, 0, capacity, 1.0);
        requested.extend(load(&script, 1, capacity, 1.0));
        let bound = max_service(&script, Nanos(0), &requested).unwrap();
        assert!((0.75..0.79).contains(&bound), "{bound}");
    }
}
