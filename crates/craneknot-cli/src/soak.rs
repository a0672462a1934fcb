//! `craneknot soak`: several seeds in a row, a line a seed, and all that is needed to play a failure again.

use craneknot_rehearsal::soak::{run, Scenario, SoakReport, SoakSettings};

use crate::output::print_line;
use crate::{system, Failed};

/// Plays so many seeds from the first on.
pub fn soak(settings: &SoakSettings, seeds: u64) -> Result<(), Failed> {
    let mut failed = 0;
    for seed in settings.seed..settings.seed + seeds {
        let folder = settings.folder.join(format!("seed-{seed}"));
        std::fs::create_dir_all(&folder).map_err(system)?;
        let one = SoakSettings { seed, folder, ..settings.clone() };
        let report = run(&one).map_err(system)?;
        print_line!("{}", line(&report));
        if !report.violations.is_empty() {
            failed += 1;
            tell(&report, &one);
        }
    }
    print_line!("{seeds} seeds, {failed} failed");
    if failed == 0 {
        Ok(())
    } else {
        Err(Failed::Rule)
    }
}

fn line(report: &SoakReport) -> String {
    let memory = report.process_sizes.iter().map(|(memory, _)| *memory).max().unwrap_or_default();
    let descriptors =
        report.process_sizes.iter().map(|(_, descriptors)| *descriptors).max().unwrap_or_default();
    format!(
        "seed {}: {} ({} faults, {} starts, {} answered in time, {} of them asked after SIGTERM, {} late, {} never, \
         {} turned away, {} in flight at a kill, slowest {} ms, without a line {:.1} s at most ({:.1} s told; {}), machine late {:.1} s, most {memory} KiB and {descriptors} \
         descriptors)",
        report.seed,
        if report.violations.is_empty() { "passed" } else { "FAILED" },
        report.faults,
        report.starts,
        report.answered,
        report.answered_after_sigterm,
        report.answered_late,
        report.unanswered,
        report.rejected,
        report.excused,
        report.slowest_millis,
        report.longest_uncovered.duration.as_secs_f64(),
        report.longest_uncovered_reported_ms as f64 / 1e3,
        report.longest_uncovered.summary,
        report.machine_lateness.as_secs_f64(),
    )
}

/// What was broken, what was played, and how to play it again.
fn tell(report: &SoakReport, settings: &SoakSettings) {
    report.violations.iter().for_each(|broken| print_line!("  broken: {broken}"));
    report.schedule.iter().for_each(|planned| print_line!("  played: {planned}"));
    let library = settings.fault_library.as_ref();
    let library = library.map_or(String::new(), |path| format!(" --fault-library {}", path.display()));
    let day = if settings.scenario == Scenario::Incident { " --incident" } else { "" };
    let busy = if settings.load.busy > 0 { format!(" --busy {}", settings.load.busy) } else { String::new() };
    let throttle = if settings.load.throttled { " --throttle" } else { "" };
    print_line!(
        "  again: craneknot soak{day} --seed {} --nodes {} --seconds {}{busy}{throttle}{library}",
        settings.seed,
        settings.nodes,
        settings.length.as_secs()
    );
}
