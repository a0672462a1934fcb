//! `craneknot model`: runs scripts in simulated time.

use std::fs;
use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use craneknot_coordinator::ledger::{self, LedgerContents};
use craneknot_model::experiment::{self, Axis, ExperimentOptions, Outcome, SingleRun};
use craneknot_model::hosted::Build;
use craneknot_model::plot::{self, Input};
use craneknot_model::world::{play_with_options, RunOptions, ROUND_TRIP};
use craneknot_model::{feed, fit, hunt};
use craneknot_rehearsal::recording::Recording;
use craneknot_rehearsal::Script;
use tracing::error;

use crate::output::{self, error_line, print_line};
use crate::{load_script, system_failure, to_pretty_json, write_json, Failure};

/// Number of runs, and what is reported in addition.
#[derive(Args, Clone, Copy)]
pub struct Runs {
    /// Minimum number of runs.
    #[arg(long, default_value_t = 5)]
    least: usize,
    /// Maximum number of runs.
    #[arg(long, default_value_t = 20)]
    most: usize,
    /// Stops once half the width of the 95% confidence interval of the service (or of the difference) is at most this.
    #[arg(long, default_value_t = 0.01)]
    narrow: f64,
    /// Also runs baselines and the upper bound, for comparison.
    #[arg(long)]
    baselines: bool,
    /// Reports the wall time of coordinators' turns and the age of their information.
    #[arg(long)]
    cost: bool,
}

impl From<Runs> for ExperimentOptions {
    fn from(runs: Runs) -> Self {
        let Runs { least, most, narrow, baselines, cost } = runs;
        ExperimentOptions { min_runs: least, max_runs: most, max_half_width: narrow, baselines, cost }
    }
}

#[derive(Subcommand)]
pub enum Act {
    /// Runs one seed after another until the confidence interval of the service is narrow enough.
    Run {
        /// Script, a JSON file; by default the short built-in script.
        script: Option<PathBuf>,
        #[arg(long)]
        seed: Option<u64>,
        #[command(flatten)]
        runs: Runs,
        /// Replays the operations of this recording, and forecasts their service.
        #[arg(long)]
        replay: Option<PathBuf>,
        /// Writes the run of the first seed to this file, as a recording.
        #[arg(long)]
        record: Option<PathBuf>,
        /// Writes the ledgers that coordinators would keep of the run of the first seed into this folder.
        #[arg(long)]
        ledgers: Option<PathBuf>,
        /// Uses the decisions of this `craneknot-wirehost` program, built from any commit, in place of the built-in ones.
        #[arg(long)]
        build: Option<PathBuf>,
        /// Writes the outcome to this file, as JSON.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Compares two scripts on the same random numbers: the service of the second minus that of the first.
    Compare {
        one: PathBuf,
        /// Second script; by default the first one, for a comparison of two builds.
        other: Option<PathBuf>,
        /// Program `craneknot-wirehost` of any commit that decides in the first script; by default this program.
        #[arg(long)]
        first_build: Option<PathBuf>,
        /// The same for the second script.
        #[arg(long)]
        second_build: Option<PathBuf>,
        #[command(flatten)]
        runs: Runs,
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Runs a script with other values at JSON pointers, such as `--at /clients/rate=100,200`; several pointers make a
    /// grid.
    Sweep {
        script: PathBuf,
        #[arg(long = "at", required = true)]
        axes: Vec<Axis>,
        #[command(flatten)]
        runs: Runs,
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Estimates from a recording the parameters that cannot be observed, and writes a script with them.
    Fit {
        recording: PathBuf,
        /// Writes the fitted script to this file.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Makes a recording from coordinators' ledgers: traffic as counted by them, and servers as listed by discovery.
    Feed {
        /// Ledgers of all coordinators for the same period.
        #[arg(required = true)]
        ledgers: Vec<PathBuf>,
        /// Script with the servers, proxies and channel, which the ledgers describe only in part.
        #[arg(long)]
        script: PathBuf,
        /// Seed for drawing the arrival times within each counted interval.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long)]
        out: PathBuf,
    },
    /// Draws recordings and outcomes of experiments on one HTML page.
    Plot {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(long)]
        out: PathBuf,
    },
    /// Searches for a run that breaks a rule, or in which service falls furthest behind the upper bound, and writes the
    /// smallest script that reproduces it.
    Hunt {
        /// Script with the fleet and its clients; its own faults are not used.
        script: Option<PathBuf>,
        #[arg(long)]
        seed: Option<u64>,
        /// Number of random runs.
        #[arg(long, default_value_t = 100)]
        days: usize,
        /// Writes the script found to this file.
        #[arg(long)]
        out: Option<PathBuf>,
    },
}

/// Reads a coordinator's ledger.
pub fn read_ledger(file: &Path) -> Result<LedgerContents, Failure> {
    ledger::read(file).map_err(|cause| {
        error_line!("{}: {cause}", file.display());
        Failure::Settings
    })
}

fn read_recording(file: &Path) -> Result<Recording, Failure> {
    Recording::read(file).map_err(|cause| {
        error_line!("{}: {cause}", file.display());
        Failure::Settings
    })
}

/// The build that decides: a hosted program, or this one by default. A hosted build can't run a shared fleet, since its
/// protocol can't express the bindings of one.
fn select_build(program: Option<PathBuf>, scripts: &[&Script]) -> Result<Build, Failure> {
    let Some(program) = program else { return Ok(Build::Own) };
    if let Some(script) = scripts.iter().find(|script| script.shared.is_some()) {
        error_line!(
            "script {:?}: /shared: a hosted build does not support a shared fleet; remove this setting",
            script.name
        );
        return Err(Failure::Settings);
    }
    Ok(Build::Hosted(program))
}

fn print_run(single: &SingleRun) {
    let broken =
        single.broken.as_ref().map_or(String::new(), |first| format!("; a rule was broken: {first}"));
    error_line!("seed {}: service {:.4}{broken}", single.seed, single.service);
}

/// Prints the outcome, writes it to the file if one is given, and fails if a rule was broken.
fn finish(outcome: &Outcome, out: Option<&Path>) -> Result<(), Failure> {
    for arm in &outcome.arms {
        print_line!("{}: service {}", arm.name, arm.service);
        print_line!("  worst 10 s {}, p99 {} ms", arm.worst_window, arm.p99_ms);
        for cost in arm.singles.iter().filter_map(|single| single.cost).take(1) {
            let ((median, p99), (age, age_p99)) = (cost.turn_us, cost.age_s);
            print_line!(
                "  turn: median {median:.0} us, p99 {p99:.0} us; age of reports: median {age:.2} s, p99 {age_p99:.2} s"
            );
        }
        for (name, estimate) in &arm.baselines {
            let overloaded: usize =
                arm.singles.iter().filter_map(|single| single.baseline_overloads.get(name)).sum();
            let note = if overloaded > 0 {
                format!(", {overloaded} cold servers overloaded")
            } else {
                String::new()
            };
            print_line!("  {name}: {estimate}{note}");
        }
    }
    for difference in &outcome.differences {
        print_line!("{} minus {}: service {}", difference.arm, difference.reference, difference.service);
    }
    if let Some(forecast) = &outcome.forecast {
        let measured = match (forecast.measured, forecast.inside) {
            (Some(value), Some(true)) => format!("; measured {value:.4}, inside the interval"),
            (Some(value), Some(false)) => format!("; measured {value:.4}, outside the interval"),
            (Some(_) | None, _) => String::new(),
        };
        print_line!("forecast of one run: {}{measured}", forecast.predicted);
    }
    write_json(out, outcome)?;
    match outcome.broken_runs().next() {
        None => Ok(()),
        Some((arm, single)) => {
            let first = single.broken.as_deref().unwrap_or_default();
            error_line!("{arm}, seed {}: a rule was broken: {first}", single.seed);
            Err(Failure::Rule)
        }
    }
}

fn read_plot_input(file: &Path) -> Result<Input, Failure> {
    let name = file.display().to_string();
    let text = fs::read(file).map_err(system_failure)?;
    if text.starts_with(&[0x1f, 0x8b]) {
        return Ok(Input::Recording(name, Box::new(read_recording(file)?)));
    }
    match serde_json::from_slice::<Outcome>(&text) {
        Ok(outcome) if outcome.format == experiment::FORMAT => Ok(Input::Outcome(name, Box::new(outcome))),
        Ok(outcome) => {
            error_line!("{name}: unsupported format {:?}; expected {:?}", outcome.format, experiment::FORMAT);
            Err(Failure::Settings)
        }
        Err(cause) => {
            error_line!("{name}: neither a recording nor the outcome of an experiment: {cause}");
            Err(Failure::Settings)
        }
    }
}

pub fn execute(act: Act) -> Result<(), Failure> {
    match act {
        Act::Run { script, seed, runs, replay, record, ledgers, build, out } => {
            let recording = replay.as_deref().map(read_recording).transpose()?;
            let script = match (&script, &recording) {
                (None, Some(recording)) => recording.head.script.clone(),
                (script, _) => load_script(script.as_deref(), seed)?,
            };
            if let Some(folder) = ledgers {
                fs::create_dir_all(&folder).map_err(system_failure)?;
                let played =
                    play_with_options(&script, RunOptions { ledgers: true, ..RunOptions::default() });
                for ledger in &played.ledgers {
                    let file = folder.join(format!("{}.ledger.gz", ledger.head.coordinator));
                    ledger::write(&file, ledger).map_err(system_failure)?;
                }
            }
            if let Some(path) = record {
                let played = play_with_options(&script, RunOptions::default());
                let recording =
                    Recording::from_records("model", &script, played.begin, &played.records, &played.report);
                recording.write(&path).map_err(system_failure)?;
                output::write_output(format_args!("{}", played.report.lines()));
            }
            let outcome = match &recording {
                Some(recording) => experiment::replay(recording, &script, runs.into(), print_run),
                None => experiment::run(&script, &select_build(build, &[&script])?, runs.into(), print_run),
            };
            finish(&outcome, out.as_deref())
        }
        Act::Compare { one, other, first_build, second_build, runs, out } => {
            let first = load_script(Some(&one), None)?;
            let second =
                other.as_deref().map_or(Ok(first.clone()), |other| load_script(Some(other), None))?;
            let scripts = [&first, &second];
            let builds = (select_build(first_build, &scripts)?, select_build(second_build, &scripts)?);
            let (first, second) = ((&first, &builds.0), (&second, &builds.1));
            finish(&experiment::compare(first, second, runs.into(), print_run), out.as_deref())
        }
        Act::Sweep { script, axes, runs, out } => {
            let base = load_script(Some(&script), None)?;
            let outcome = experiment::sweep(&base, &axes, runs.into(), |arm, single| {
                output::write_error(format_args!("{arm}, "));
                print_run(single);
            });
            match outcome {
                Ok(outcome) => finish(&outcome, out.as_deref()),
                Err(cause) => {
                    error_line!("{}: {cause}", script.display());
                    Err(Failure::Settings)
                }
            }
        }
        Act::Fit { recording, out } => {
            let observed = read_recording(&recording)?;
            let fitted = fit::fit(&observed, ROUND_TRIP).map_err(|cause| {
                error_line!("{}: {cause}", recording.display());
                Failure::Settings
            })?;
            print_line!("{}", to_pretty_json(&fitted));
            write_json(out.as_deref(), &fitted.script)
        }
        Act::Feed { ledgers, script, seed, out } => {
            let script = load_script(Some(&script), None)?;
            let ledgers = ledgers
                .iter()
                .map(|file| read_ledger(file))
                .collect::<Result<Vec<LedgerContents>, Failure>>()?;
            let fed = feed::recording(&ledgers, &script, seed).map_err(|cause| {
                error_line!("{cause}");
                Failure::Settings
            })?;
            if fed.truncated > 0 {
                error_line!("{} ledgers end in a truncated part, which is ignored", fed.truncated);
            }
            if fed.missing_lines > 0 {
                error_line!("{} ledger lines are missing: writes to disk failed", fed.missing_lines);
            }
            let length = fed.recording.head.script.length;
            print_line!("{} operations in {length}, {} tries unanswered", fed.arrived, fed.unanswered);
            fed.recording.write(&out).map_err(system_failure)
        }
        Act::Plot { files, out } => {
            let inputs =
                files.iter().map(|file| read_plot_input(file)).collect::<Result<Vec<Input>, Failure>>()?;
            let page = plot::page(&inputs).map_err(|cause| {
                error!(cause, "cannot draw the plot");
                Failure::System
            })?;
            fs::write(out, page).map_err(system_failure)
        }
        Act::Hunt { script, seed, days, out } => {
            let base = load_script(script.as_deref(), seed)?;
            let found = hunt::search(&base, days, |day, report| {
                if !report.passed() {
                    error_line!("run {day}: a rule was broken, seed {}", report.seed);
                }
            });
            output::write_output(format_args!("{}", found.report.lines()));
            print_line!(
                "service {:.3} below the upper bound; {} runs",
                found.severity.service_gap,
                found.runs_played
            );
            match out {
                Some(path) => write_json(Some(&path), &found.script)?,
                None => print_line!("{}", to_pretty_json(&found.script)),
            }
            if found.report.passed() {
                Ok(())
            } else {
                Err(Failure::Rule)
            }
        }
    }
}
