//! The same decisions in this process and in a hosted one play the same day to the last digit: nothing is lost or bent on the
//! way there and back, and a difference between two builds is theirs.

use std::path::PathBuf;

use craneknot_model::hosted::Build;
use craneknot_model::world::{play_with_options, RunOptions};
use craneknot_rehearsal::script::{Trouble, TroubleKind};
use craneknot_rehearsal::Script;
use craneknot_settings::Span;

/// A day with every kind of news that the lines carry: lists, joins and leaves, probes, marks, lost answers.
fn day(seed: u64) -> Script {
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
fn a_hosted_build_plays_the_very_same_day() {
    let hosted = Build::Hosted(PathBuf::from(env!("CARGO_BIN_EXE_craneknot-wirehost")));
    for seed in [1, 2] {
        let script = day(seed);
        let play =
            |build| play_with_options(&script, RunOptions { build: Some(build), ..RunOptions::default() });
        let (own, other) = (play(&Build::OwnQuantized), play(&hosted));
        assert_eq!(other.fault, None);
        assert_eq!(own.report.lines(), other.report.lines());
        assert!(own.report.service.asked > 1_000);
        let first =
            own.records.iter().zip(&other.records).find(|(a, b)| format!("{a:?}") != format!("{b:?}"));
        assert!(first.is_none() && own.records.len() == other.records.len(), "{first:?}");
    }
}

/// A build that ends in the middle must not pass for one that decides badly.
#[test]
fn a_build_that_ends_is_a_fault_of_the_run() {
    let build = Build::Hosted(PathBuf::from("/bin/true"));
    let played = play_with_options(&day(3), RunOptions { build: Some(&build), ..RunOptions::default() });
    assert!(played.fault.is_some());
}
