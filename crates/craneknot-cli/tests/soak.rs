//! A short, seeded soak test of `craneknot node`. The long one is started by hand: `craneknot soak --seeds 50`.

use std::path::Path;
use std::time::Duration;

use craneknot_rehearsal::soak::{run, schedule, Load, Scenario, SoakSettings};

mod helpers;
use helpers::fault_library;

const LENGTH: Duration = Duration::from_secs(22);
const INCIDENT_LENGTH: Duration = Duration::from_secs(40);

#[test]
fn one_seed_gives_one_schedule() {
    let first = schedule::draw(7, 10, 12, LENGTH, Scenario::Random);
    assert!(first.len() > 20, "{} faults", first.len());
    assert_eq!(first, schedule::draw(7, 10, 12, LENGTH, Scenario::Random));
    assert_ne!(first, schedule::draw(8, 10, 12, LENGTH, Scenario::Random));
}

/// Runs a soak test of this program and requires that no invariant is broken.
fn assert_soak_passes(seed: u64, day: Scenario, length: Duration) {
    let folder = tempfile::tempdir().unwrap();
    let settings = SoakSettings {
        seed,
        scenario: day,
        nodes: 10,
        length,
        load: Load::default(),
        program: Path::new(env!("CARGO_BIN_EXE_craneknot")).to_owned(),
        fault_library: Some(fault_library()),
        folder: folder.path().to_owned(),
    };
    let report = run(&settings).unwrap();
    assert!(report.answered > 1_000, "seed {seed}: {} heartbeats answered", report.answered);
    assert!(
        report.violations.is_empty(),
        "{day:?} day, craneknot soak --seed {seed} --nodes 10 --seconds {}\n{}\n{}",
        length.as_secs(),
        report.violations.join("\n"),
        report.schedule.join("\n")
    );
}

#[test]
fn the_invariants_hold_under_overlapping_random_faults() {
    for seed in [1, 2] {
        assert_soak_passes(seed, Scenario::Random, LENGTH);
    }
}

/// Seed 2 steps a wall clock back by an hour before the coordinator that receives all proxies is restarted. The build of
/// the users' fault report leaves proxies without a line with this seed.
#[test]
fn the_invariants_hold_on_the_incident_day() {
    assert_soak_passes(2, Scenario::Incident, INCIDENT_LENGTH);
}
