//! `craneknot soak`: runs consecutive seeds, prints a line for each, and the command that reproduces a failure.

use craneknot_rehearsal::soak::{run, Scenario, SoakReport, SoakSettings};

use crate::output::print_line;
use crate::{system_failure, Failure};

/// Runs this number of consecutive seeds, starting from the seed of the settings.
pub fn run_seeds(settings: &SoakSettings, seeds: u64) -> Result<(), Failure> {
    let mut failed = 0;
    for seed in settings.seed..settings.seed + seeds {
        let folder = settings.folder.join(format!("seed-{seed}"));
        std::fs::create_dir_all(&folder).map_err(system_failure)?;
        let seed_settings = SoakSettings { seed, folder, ..settings.clone() };
        let report = run(&seed_settings).map_err(system_failure)?;
        print_line!("{}", summary_line(&report));
        if !report.violations.is_empty() {
            failed += 1;
            print_failure(&report, &seed_settings);
        }
    }
    print_line!("{seeds} seeds, {failed} failed");
    if failed == 0 {
        Ok(())
    } else {
        Err(Failure::Rule)
    }
}

fn summary_line(report: &SoakReport) -> String {
    let memory = report.process_sizes.iter().map(|(memory, _)| *memory).max().unwrap_or_default();
    let descriptors =
        report.process_sizes.iter().map(|(_, descriptors)| *descriptors).max().unwrap_or_default();
    format!(
        "seed {}: {} ({} faults, {} starts, {} answered in time, {} of them sent after SIGTERM, {} late, {} unanswered, \
         {} rejected, {} in flight at a kill, slowest {} ms, without a line at most {:.1} s ({:.1} s reported; {}), \
         machine delayed {:.1} s, peak {memory} KiB and {descriptors} descriptors)",
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

/// Prints the broken invariants, the schedule, and the command that reproduces the run.
fn print_failure(report: &SoakReport, settings: &SoakSettings) {
    report.violations.iter().for_each(|broken| print_line!("  broken: {broken}"));
    report.schedule.iter().for_each(|planned| print_line!("  scheduled: {planned}"));
    let library = settings.fault_library.as_ref();
    let library = library.map_or(String::new(), |path| format!(" --fault-library {}", path.display()));
    let day = if settings.scenario == Scenario::Incident { " --incident" } else { "" };
    let busy = if settings.load.busy > 0 { format!(" --busy {}", settings.load.busy) } else { String::new() };
    let throttle = if settings.load.throttled { " --throttle" } else { "" };
    print_line!(
        "  reproduce: craneknot soak{day} --seed {} --nodes {} --seconds {}{busy}{throttle}{library}",
        settings.seed,
        settings.nodes,
        settings.length.as_secs()
    );
}
