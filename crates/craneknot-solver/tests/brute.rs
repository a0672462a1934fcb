//! Compares the plan with the best distribution that an exhaustive search finds, on small fleets.

mod small;

use small::{best_by_search, random_fleet, Rng};

#[test]
fn the_plan_is_feasible_and_as_good_as_the_best_of_an_exhaustive_search() {
    let mut worst: f64 = 0.0;
    for seed in 0..120 {
        let fleet = random_fleet(&mut Rng::new(seed));
        let plan = fleet.solve().expect("a small fleet has a plan");
        // The cost that the plan states is the cost of its distribution by server, within capacity and placement.
        let realised = fleet.cost_of(&plan.split(&fleet)).expect("the plan's distribution is feasible").sum();
        assert!((realised / plan.cost.sum() - 1.0).abs() < 1e-6, "seed {seed}: {realised} {:?}", plan.cost);
        let best = best_by_search(&fleet);
        let gap = realised / best - 1.0;
        assert!(gap <= 0.05, "seed {seed}: plan {realised}, best by search {best}");
        // The search is a fair comparison: it comes as close from above.
        assert!(best / realised - 1.0 <= 0.05, "seed {seed}: plan {realised}, best by search {best}");
        worst = worst.max(gap);
    }
    assert!(worst < 0.05);
}

/// Plans change only if the fleet does.
#[test]
fn the_same_fleet_has_the_same_plan() {
    for seed in 0..40 {
        let fleet = random_fleet(&mut Rng::new(seed));
        assert_eq!(fleet.solve(), fleet.solve(), "seed {seed}");
    }
}

/// A small change of the demand changes utilizations little: there is no switching between plans of the same cost.
#[test]
fn a_small_change_of_demand_changes_plans_little() {
    for seed in 0..60 {
        let fleet = random_fleet(&mut Rng::new(seed));
        let mut near = fleet.clone();
        near.demand.iter_mut().flatten().for_each(|rate| *rate *= 1.01);
        let (one, other) = (fleet.solve().unwrap(), near.solve().unwrap());
        for (a, b) in one.pools.iter().zip(&other.pools) {
            // The steps of the cost of waits are a tenth of utilization wide.
            assert!(
                (a.utilization() - b.utilization()).abs() <= 0.11,
                "seed {seed}: {} and {}",
                a.utilization(),
                b.utilization()
            );
        }
    }
}
