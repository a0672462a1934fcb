//! A simulated run gives identical results whether the decisions are made in this process or in a hosted one.
//! The protocol must not lose or change a value: then a difference between two builds is due to the builds
//! alone.

use std::path::PathBuf;

use craneknot_model::hosted::Build;
use craneknot_model::world::{play_with_options, RunOptions};
use craneknot_rehearsal::script::{Trouble, TroubleKind};
use craneknot_rehearsal::Script;
use craneknot_settings::Span;

/// A script with every kind of event that the protocol carries: lists, joins and leaves, probes, marks, lost
/// answers.
fn script(seed: u64) -> Script {
    let mut script = Script::built_in().unwrap();
    let trouble = |kind, at, length, part, strength| Trouble {
        kind,
        at: Span::millis(at),
        length: Span::millis(length),
        part,
        strength,
        zone: None,
        server_kind: None,
        unlisted: false,
    };
    (script.seed, script.length) = (seed, Span::millis(12_000));
    script.troubles = vec![
        trouble(TroubleKind::Deploy, 1_000, 4_000, 0.4, None),
        trouble(TroubleKind::AnswersLost, 4_000, 3_000, 0.3, Some(0.5)),
        trouble(TroubleKind::StreamBreak, 6_000, 1_000, 0.5, None),
        trouble(TroubleKind::CoordinatorKilled, 8_000, 2_000, 0.5, None),
    ];
    script
}

#[test]
fn a_hosted_build_gives_identical_results() {
    let hosted = Build::Hosted(PathBuf::from(env!("CARGO_BIN_EXE_craneknot-wirehost")));
    for seed in [1, 2] {
        let script = script(seed);
        let run =
            |build| play_with_options(&script, RunOptions { build: Some(build), ..RunOptions::default() });
        let (local, remote) = (run(&Build::OwnQuantized), run(&hosted));
        assert_eq!(remote.fault, None);
        assert_eq!(local.report.lines(), remote.report.lines());
        assert!(local.report.service.asked > 1_000);
        let first_difference =
            local.records.iter().zip(&remote.records).find(|(a, b)| format!("{a:?}") != format!("{b:?}"));
        assert!(
            first_difference.is_none() && local.records.len() == remote.records.len(),
            "{first_difference:?}"
        );
    }
}

/// A build that exits during a run must be reported as a fault, not as a build with poor decisions.
#[test]
fn a_build_that_exits_is_reported_as_a_fault() {
    let build = Build::Hosted(PathBuf::from("/bin/true"));
    let played = play_with_options(&script(3), RunOptions { build: Some(&build), ..RunOptions::default() });
    assert!(played.fault.is_some());
}
