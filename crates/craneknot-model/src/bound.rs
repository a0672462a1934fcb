//! A bound on service that no policy can pass: the best split of the work asked for over the servers' capacity, second by
//! second, by a linear program. Every restriction but capacity and placement is let go: work flows like water, between any
//! proxy and any server, at once, with the troubles known beforehand.

use std::collections::{BTreeMap, BTreeSet};

use craneknot::interface::Nanos;
use craneknot_rehearsal::plan::{Plan, ServerAct};
use craneknot_rehearsal::Script;
use good_lp::{constraint, variable, variables, Expression, Solution, SolverModel};

/// An operation that was asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Asked {
    pub at: Nanos,
    pub class: usize,
    /// On a core of speed 1.
    pub work: Nanos,
}

const SLOT: Nanos = Nanos::from_millis(1_000); // ms; work is split anew in each
const STEP: f64 = 0.05; // s; how finely a slot's capacity is added up

/// Seconds of work that each server can do in each slot, to answers that arrive.
fn capacities(script: &Script, plan: &Plan, slots: usize) -> Vec<Vec<f64>> {
    struct Now {
        up: bool,
        mute: bool,
        slow: f64,
        loses: f64,
        since: Option<f64>,
    }
    let one = |server: usize| {
        let make = plan.server_spec(script, server);
        let mut acts = plan.server_acts.iter().filter(|(_, of, _)| *of == server).peekable();
        let up = plan.servers[server].from_start;
        let mut now = Now { up, mute: false, slow: 1.0, loses: 0.0, since: None };
        let steps = (SLOT.secs() / STEP).round() as usize;
        let mut slot = |place: usize| {
            let mut sum = 0.0;
            for step in 0..steps {
                let at = (place * steps + step) as f64 * STEP;
                while let Some((since, _, act)) = acts.next_if(|(when, _, _)| when.secs() <= at) {
                    match act {
                        ServerAct::Start => {
                            let since = Some(since.secs());
                            now = Now { up: true, mute: false, slow: 1.0, loses: 0.0, since };
                        }
                        ServerAct::Die => now.up = false,
                        ServerAct::Silence => now.mute = true,
                        ServerAct::Hang(on) => now.mute = *on,
                        ServerAct::Slow(factor) => now.slow = *factor,
                        ServerAct::LoseAnswers(share) => now.loses = *share,
                        // A quick error costs no work, and the operation may come again.
                        ServerAct::Errors(_) => {}
                    }
                }
                if now.up && !now.mute {
                    // The warmest it gets within the step.
                    let age = now.since.map(|since| Nanos::from_secs(at - since + STEP));
                    let warmth = age.map_or(1.0, |age| make.warmth(age));
                    sum += make.capacity(warmth) / now.slow * (1.0 - now.loses) * STEP;
                }
            }
            sum
        };
        (0..slots).map(&mut slot).collect()
    };
    (0..plan.servers.len()).map(one).collect()
}

/// The most service by importance that could be had; 1 where nothing was asked for. Nothing where the program has no
/// solution, which none of these can lack.
pub fn service(script: &Script, begin: Nanos, asked: &[Asked]) -> Option<f64> {
    let plan = Plan::draw(script);
    let waits: Vec<usize> = script
        .classes
        .iter()
        // An operation may be worked on until its goal, whatever part of a slot that reaches into.
        .map(|class| (class.latency_goal.0.secs() / SLOT.secs()).ceil() as usize)
        .collect();
    let slots =
        (script.length.0.secs() / SLOT.secs()).ceil() as usize + waits.iter().max().copied().unwrap_or(0) + 1;
    let capacity = capacities(script, &plan, slots);
    // Servers differ here only in the classes that may run on them.
    let mut pools: BTreeMap<BTreeSet<usize>, Vec<f64>> = BTreeMap::new();
    for (server, planned) in plan.servers.iter().enumerate() {
        let allowed = script.classes.iter().enumerate().filter(|(_, class)| {
            let group = &planned.group;
            class.allows(&group.zone, &group.kind)
        });
        let pool = pools.entry(allowed.map(|(class, _)| class).collect()).or_insert(vec![0.0; slots]);
        pool.iter_mut().zip(&capacity[server]).for_each(|(sum, one)| *sum += one);
    }
    // Work and operations asked for, by class and slot.
    let mut demand = vec![vec![(0.0, 0.0); slots]; script.classes.len()];
    for one in asked {
        let slot = ((one.at - begin).secs() / SLOT.secs()) as usize;
        let cell = &mut demand[one.class][slot.min(slots - 1)];
        *cell = (cell.0 + one.work.secs(), cell.1 + 1.0);
    }
    let importance = |class: usize| script.classes[class].importance;
    let whole: f64 = demand
        .iter()
        .enumerate()
        .map(|(class, d)| importance(class) * d.iter().map(|c| c.1).sum::<f64>())
        .sum();
    if whole <= 0.0 {
        return Some(1.0);
    }
    // Parts of a class's work of a slot that are done by a pool in a later one.
    let mut vars = variables!();
    let mut objective = Expression::from(0.0);
    let mut used: BTreeMap<(usize, usize), Expression> = BTreeMap::new();
    let mut parts: Vec<Expression> = Vec::new();
    for (class, slots_of) in demand.iter().enumerate() {
        for (slot, (work, count)) in slots_of.iter().enumerate().filter(|(_, cell)| cell.1 > 0.0) {
            let mut sum = Expression::from(0.0);
            for (pool, _) in pools.keys().enumerate().filter(|(_, allowed)| allowed.contains(&class)) {
                for later in slot..=(slot + waits[class]).min(slots - 1) {
                    let part = vars.add(variable().min(0.0).max(1.0));
                    objective += importance(class) * *count * part;
                    *used.entry((pool, later)).or_insert(Expression::from(0.0)) += *work * part;
                    sum += part;
                }
            }
            parts.push(sum);
        }
    }
    let mut problem = vars.maximise(&objective).using(good_lp::microlp);
    parts.into_iter().for_each(|sum| {
        problem.add_constraint(constraint!(sum <= 1.0));
    });
    let rooms: Vec<&Vec<f64>> = pools.values().collect();
    for ((pool, slot), sum) in used {
        problem.add_constraint(constraint!(sum <= rooms[pool][slot]));
    }
    let solution = problem.solve().ok()?;
    Some((solution.eval(&objective) / whole).clamp(0.0, 1.0))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn script() -> Script {
        let mut script = Script::built_in().unwrap();
        script.troubles.clear();
        script
    }

    fn load(script: &Script, class: usize, capacity: f64, factor: f64) -> Vec<Asked> {
        let work = Nanos::from_millis(20);
        let count = (script.length.0.secs() * capacity * factor / work.secs()) as u64;
        let gap = script.length.0 .0 / count;
        (0..count).map(|k| Asked { at: Nanos(gap * k), class, work }).collect()
    }

    fn capacity(script: &Script, class: usize) -> f64 {
        let class = &script.classes[class];
        let groups = script.servers.iter().filter(|group| class.allows(&group.zone, &group.kind));
        groups.map(|group| f64::from(group.count) * f64::from(group.cores) * group.speed).sum()
    }

    #[test]
    fn what_fits_is_all_served_and_twice_as_much_is_half() {
        let script = script();
        for class in 0..script.classes.len() {
            let capacity = capacity(&script, class);
            let half = service(&script, Nanos(0), &load(&script, class, capacity, 0.5)).unwrap();
            assert!((half - 1.0).abs() < 1e-6, "{half}");
            let twice = service(&script, Nanos(0), &load(&script, class, capacity, 2.0)).unwrap();
            // A little above one half: the last slots' work may be done after the end.
            assert!((0.5..0.56).contains(&twice), "{twice}");
        }
        assert_eq!(service(&script, Nanos(0), &[]), Some(1.0));
    }

    #[test]
    fn the_more_important_go_first() {
        let mut script = script();
        script.classes[0].importance = 1.0;
        script.classes[1].importance = 3.0;
        script.classes[0].only_zones = script.classes[1].only_zones.clone();
        script.classes[0].only_kinds = script.classes[1].only_kinds.clone();
        let capacity = capacity(&script, 0);
        let mut asked = load(&script, 0, capacity, 1.0);
        asked.extend(load(&script, 1, capacity, 1.0));
        let bound = service(&script, Nanos(0), &asked).unwrap();
        assert!((0.75..0.79).contains(&bound), "{bound}");
    }
}
