//! The plan against the best split that looking at all of them finds, on small fleets.

mod small;

use small::{best_by_looking, draw, Rng};

#[test]
fn no_split_that_looking_finds_is_better_and_the_plan_is_a_split_that_can_be() {
    let mut worst: f64 = 0.0;
    for seed in 0..120 {
        let fleet = draw(&mut Rng::new(seed));
        let plan = fleet.solve().expect("a small fleet has a plan");
        // The plan's own word on its cost is what its split costs by server, within capacity and placement.
        let realised = fleet.cost_of(&plan.split(&fleet)).expect("the plan's split can be played").sum();
        assert!((realised / plan.cost.sum() - 1.0).abs() < 1e-6, "seed {seed}: {realised} {:?}", plan.cost);
        let best = best_by_looking(&fleet);
        let gap = realised / best - 1.0;
        assert!(gap <= 0.05, "seed {seed}: plan {realised}, best by looking {best}");
        // Looking is no strawman: it comes as near from above.
        assert!(best / realised - 1.0 <= 0.05, "seed {seed}: plan {realised}, best by looking {best}");
        worst = worst.max(gap);
    }
    assert!(worst < 0.05);
}

/// One and the same fleet has one and the same plan: what changes a plan is the fleet.
#[test]
fn the_same_fleet_has_the_same_plan() {
    for seed in 0..40 {
        let fleet = draw(&mut Rng::new(seed));
        assert_eq!(fleet.solve(), fleet.solve(), "seed {seed}");
    }
}

/// A little more or less of everything moves fills a little: no swinging between two plans that cost the same.
#[test]
fn plans_move_no_more_than_what_they_are_made_of() {
    for seed in 0..60 {
        let fleet = draw(&mut Rng::new(seed));
        let mut near = fleet.clone();
        near.demand.iter_mut().flatten().for_each(|rate| *rate *= 1.01);
        let (one, other) = (fleet.solve().unwrap(), near.solve().unwrap());
        for (a, b) in one.pools.iter().zip(&other.pools) {
            // A step of the wait's price is a tenth of a fill.
            assert!((a.fill() - b.fill()).abs() <= 0.11, "seed {seed}: {} and {}", a.fill(), b.fill());
        }
    }
}
