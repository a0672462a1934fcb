//! End-to-end simulation of weights found by the solver, with servers of three models whose listed weights
//! are equal.

use std::path::Path;

use craneknot_model::world::play;
use craneknot_rehearsal::auditor::Rule;
use craneknot_rehearsal::script::{CapacityRule, Trouble, TroubleKind, Weights};
use craneknot_rehearsal::Script;
use craneknot_settings::{parse, SolverSettings, Span};

fn build_script(solver: bool) -> Script {
    let text = include_bytes!("../../../examples/rehearse/weights.json");
    let mut script: Script = parse(Path::new("weights.json"), text).unwrap();
    // A short version of the first forty seconds: a tenth of the servers at half speed, lost answers, and
    // fewer proxies.
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
fn no_server_exceeds_its_capacity_despite_equal_listed_weights() {
    for seed in [3, 4] {
        let report = play(&Script { seed, ..build_script(true) });
        assert!(report.passed(), "seed {seed}:\n{}", report.lines());
        assert!(report.rules[&Rule::WithinCapacity].checks > 100, "{}", report.lines());
        assert!(report.service.service > 0.98, "{}", report.lines());
    }
}

/// Shows that the rule can be broken at all: the same fleet at nine tenths of its capacity, with the listed
/// weights.
#[test]
fn with_equal_weights_a_full_fleet_exceeds_its_capacity() {
    let mut script = Script { seed: 3, ..build_script(false) };
    script.clients.rate *= 2.4;
    script.troubles.clear();
    let report = play(&script);
    assert!(report.rules[&Rule::WithinCapacity].breaks > 0, "{}", report.lines());
}

/// Weights found by the solver give service no worse than the best weights written by hand, and far fewer
/// late answers than rough weights.
#[test]
fn solver_weights_are_as_good_as_true_weights() {
    let with = |weights, solver| play(&Script { seed: 5, weights, ..build_script(solver) }).service;
    let (truth, found) = (with(Weights::True, false), with(Weights::Equal, true));
    assert!(found.service > truth.service - 0.01, "{} and {}", found.service, truth.service);
    assert!(found.crossed as f64 <= 1.05 * truth.crossed as f64, "{} and {}", found.crossed, truth.crossed);
}
