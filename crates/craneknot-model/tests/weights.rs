//! Weights found by the solver, on the whole path in simulated time: servers of three makes that the list shows as alike.

use std::path::Path;

use craneknot_model::world::play;
use craneknot_rehearsal::auditor::Rule;
use craneknot_rehearsal::script::{CapacityRule, Trouble, TroubleKind, Weights};
use craneknot_rehearsal::Script;
use craneknot_settings::{parse, SolverSettings, Span};

fn day(solver: bool) -> Script {
    let text = include_bytes!("../../../examples/rehearse/weights.json");
    let mut script: Script = parse(Path::new("weights.json"), text).unwrap();
    // The first forty seconds in short: a tenth of the servers halved, lost answers, and fewer proxies.
    let trouble = |kind, at, length, part, strength| Trouble {
        kind,
        at: Span::millis(at),
        length: Span::millis(length),
        part,
        strength: Some(strength),
        zone: None,
        server_kind: None,
        unlisted: false,
    };
    script.length = Span::millis(40_000);
    script.troubles = vec![
        trouble(TroubleKind::Slow, 12_000, 14_000, 0.12, 2.0),
        trouble(TroubleKind::AnswersLost, 30_000, 8_000, 0.08, 0.3),
    ];
    script.solver = solver.then(SolverSettings::default);
    script.capacity = Some(CapacityRule { settle: Span::millis(9_000) });
    script
}

#[test]
fn no_server_is_over_its_capacity_though_the_list_shows_them_alike() {
    for seed in [3, 4] {
        let report = play(&Script { seed, ..day(true) });
        assert!(report.passed(), "seed {seed}:\n{}", report.lines());
        assert!(report.rules[&Rule::WithinCapacity].checks > 100, "{}", report.lines());
        assert!(report.service.service > 0.98, "{}", report.lines());
    }
}

/// The rule can be broken, or it would say nothing: the same fleet filled to nine tenths, weighed as listed.
#[test]
fn weighed_alike_a_full_fleet_is_over_its_capacity() {
    let mut script = Script { seed: 3, ..day(false) };
    script.clients.rate *= 2.4;
    script.troubles.clear();
    let report = play(&script);
    assert!(report.rules[&Rule::WithinCapacity].breaks > 0, "{}", report.lines());
}

/// Found weights bring no worse day than the best that could be written by hand, and far fewer late answers than rough ones.
#[test]
fn found_weights_are_as_good_as_true_ones() {
    let with = |weights, solver| play(&Script { seed: 5, weights, ..day(solver) }).service;
    let (truth, found) = (with(Weights::True, false), with(Weights::Equal, true));
    assert!(found.service > truth.service - 0.01, "{} and {}", found.service, truth.service);
    assert!(found.crossed as f64 <= 1.05 * truth.crossed as f64, "{} and {}", found.crossed, truth.crossed);
}
