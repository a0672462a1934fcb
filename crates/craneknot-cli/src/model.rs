//! `craneknot model`: scripts in simulated time.

use std::fs;
use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use craneknot_coordinator::ledger::{self, Told};
use craneknot_model::experiment::{self, Asked, Axis, Outcome, Single};
use craneknot_model::hosted::Build;
use craneknot_model::plot::{self, Input};
use craneknot_model::world::{play_with_options, RunOptions, ROUND_TRIP};
use craneknot_model::{feed, fit, hunt};
use craneknot_rehearsal::recording::Recording;
use craneknot_rehearsal::Script;
use tracing::error;

use crate::output::{self, error_line, print_line};
use crate::{keep, pretty, script_of, system, Failed};

/// How many runs, and what stands beside.
#[derive(Args, Clone, Copy)]
pub struct Runs {
    /// Runs at the least.
    #[arg(long, default_value_t = 5)]
    least: usize,
    /// Runs at the most.
    #[arg(long, default_value_t = 20)]
    most: usize,
    /// Half the width of the 95% interval of the service (or of the difference) that is enough.
    #[arg(long, default_value_t = 0.01)]
    narrow: f64,
    /// Plays baselines and the bound beside ours.
    #[arg(long)]
    baselines: bool,
    /// Tells the wall time of coordinators' turns and the age of what they know.
    #[arg(long)]
    cost: bool,
}

impl From<Runs> for Asked {
    fn from(runs: Runs) -> Self {
        let Runs { least, most, narrow, baselines, cost } = runs;
        Asked { least, most, narrow, baselines, cost }
    }
}

#[derive(Subcommand)]
pub enum Act {
    /// One seed after another, until the error bars of the service are narrow enough.
    Run {
        /// The script, a JSON file; left out: the short one that is built in.
        script: Option<PathBuf>,
        #[arg(long)]
        seed: Option<u64>,
        #[command(flatten)]
        runs: Runs,
        /// A recording: what it shows was asked for is played again, and its service forecast.
        #[arg(long)]
        replay: Option<PathBuf>,
        /// The first seed's run is written there as a recording.
        #[arg(long)]
        record: Option<PathBuf>,
        /// The ledgers that coordinators would keep of the first seed's run are written into that folder.
        #[arg(long)]
        ledgers: Option<PathBuf>,
        /// A `craneknot-wirehost` of any commit: its decisions are played in place of this program's own.
        #[arg(long)]
        build: Option<PathBuf>,
        /// Where the outcome is written, as JSON.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Two scripts on the same random numbers: the second's service less the first's.
    Compare {
        one: PathBuf,
        /// Left out: the same, under another build.
        other: Option<PathBuf>,
        /// A `craneknot-wirehost` of any commit that decides in the first; left out: this program.
        #[arg(long)]
        first_build: Option<PathBuf>,
        /// The same for the second.
        #[arg(long)]
        second_build: Option<PathBuf>,
        #[command(flatten)]
        runs: Runs,
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// A script with other values at JSON pointers, such as `--at /clients/rate=100,200`; several make a grid.
    Sweep {
        script: PathBuf,
        #[arg(long = "at", required = true)]
        axes: Vec<Axis>,
        #[command(flatten)]
        runs: Runs,
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Finds from a recording what cannot be seen, and writes the script with it.
    Fit {
        recording: PathBuf,
        /// Where the fitted script is written.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Makes a recording of coordinators' ledgers: traffic as they counted it, servers as their lists told them.
    Feed {
        /// Ledgers of one span of time, of all coordinators.
        #[arg(required = true)]
        ledgers: Vec<PathBuf>,
        /// The servers, proxies and channel, which no ledger tells whole.
        #[arg(long)]
        script: PathBuf,
        /// Draws the moments within the spans that counts are of.
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
    /// Looks for a day on which a rule breaks, or service falls furthest behind the bound, and writes the smallest script
    /// that shows it.
    Hunt {
        /// The fleet and its clients; its own troubles are left out.
        script: Option<PathBuf>,
        #[arg(long)]
        seed: Option<u64>,
        /// Days to play.
        #[arg(long, default_value_t = 100)]
        days: usize,
        /// Where the script found is written.
        #[arg(long)]
        out: Option<PathBuf>,
    },
}

/// A coordinator's ledger.
pub fn ledger_of(file: &Path) -> Result<Told, Failed> {
    ledger::read(file).map_err(|fault| {
        error_line!("{}: {fault}", file.display());
        Failed::Settings
    })
}

fn recording_of(file: &Path) -> Result<Recording, Failed> {
    Recording::read(file).map_err(|fault| {
        error_line!("{}: {fault}", file.display());
        Failed::Settings
    })
}

/// A build by its program's path; hosted decisions know no shared fleet, whose bindings their lines cannot tell.
fn build_of(program: Option<PathBuf>, scripts: &[&Script]) -> Result<Build, Failed> {
    let Some(program) = program else { return Ok(Build::Own) };
    if let Some(script) = scripts.iter().find(|script| script.shared.is_some()) {
        error_line!("script {:?}: /shared: a hosted build knows no shared fleet; leave it out", script.name);
        return Err(Failed::Settings);
    }
    Ok(Build::Hosted(program))
}

fn told(single: &Single) {
    let broken = single.broken.as_ref().map_or(String::new(), |first| format!("; a rule broke: {first}"));
    error_line!("seed {}: service {:.4}{broken}", single.seed, single.service);
}

/// Prints what came out, keeps it, and fails where a rule broke.
fn finish(outcome: &Outcome, out: Option<&Path>) -> Result<(), Failed> {
    for arm in &outcome.arms {
        print_line!("{}: service {}", arm.name, arm.service);
        print_line!("  worst 10 s {}, p99 {} ms", arm.worst_window, arm.p99_ms);
        for cost in arm.singles.iter().filter_map(|single| single.cost).take(1) {
            let ((half, most), (age, oldest)) = (cost.turn_us, cost.age_s);
            print_line!(
                "  a turn {half:.0} us (99 of 100: {most:.0}), what it learns {age:.2} s old ({oldest:.2})"
            );
        }
        for (name, estimate) in &arm.beside {
            let fell: usize = arm.singles.iter().filter_map(|single| single.beside_fell.get(name)).sum();
            let note = if fell > 0 { format!(", {fell} cold servers pushed over") } else { String::new() };
            print_line!("  {name}: {estimate}{note}");
        }
    }
    for difference in &outcome.differences {
        print_line!("{} less {}: service {}", difference.arm, difference.less, difference.service);
    }
    if let Some(forecast) = &outcome.forecast {
        let measured = match (forecast.measured, forecast.inside) {
            (Some(value), Some(true)) => format!("; measured {value:.4}, inside"),
            (Some(value), Some(false)) => format!("; measured {value:.4}, outside"),
            (Some(_) | None, _) => String::new(),
        };
        print_line!("forecast of one run: {}{measured}", forecast.next);
    }
    keep(out, outcome)?;
    match outcome.broken().next() {
        None => Ok(()),
        Some((arm, single)) => {
            let first = single.broken.as_deref().unwrap_or_default();
            error_line!("{arm}, seed {}: a rule broke: {first}", single.seed);
            Err(Failed::Rule)
        }
    }
}

fn input_of(file: &Path) -> Result<Input, Failed> {
    let name = file.display().to_string();
    let text = fs::read(file).map_err(system)?;
    if text.starts_with(&[0x1f, 0x8b]) {
        return Ok(Input::Recording(name, Box::new(recording_of(file)?)));
    }
    match serde_json::from_slice::<Outcome>(&text) {
        Ok(outcome) if outcome.format == experiment::FORMAT => Ok(Input::Outcome(name, Box::new(outcome))),
        Ok(outcome) => {
            error_line!("{name}: its format is {:?}; {:?} is wanted", outcome.format, experiment::FORMAT);
            Err(Failed::Settings)
        }
        Err(cause) => {
            error_line!("{name}: neither a recording nor an outcome of an experiment: {cause}");
            Err(Failed::Settings)
        }
    }
}

pub fn act(act: Act) -> Result<(), Failed> {
    match act {
        Act::Run { script, seed, runs, replay, record, ledgers, build, out } => {
            let recording = replay.as_deref().map(recording_of).transpose()?;
            let read = match (&script, &recording) {
                (None, Some(recording)) => recording.head.script.clone(),
                (script, _) => script_of(script.as_deref(), seed)?,
            };
            if let Some(folder) = ledgers {
                fs::create_dir_all(&folder).map_err(system)?;
                let played = play_with_options(&read, RunOptions { ledgers: true, ..RunOptions::default() });
                for told in &played.ledgers {
                    let file = folder.join(format!("{}.ledger.gz", told.head.coordinator));
                    ledger::write(&file, told).map_err(system)?;
                }
            }
            if let Some(path) = record {
                let played = play_with_options(&read, RunOptions::default());
                let recording = Recording::of("model", &read, played.begin, &played.records, &played.report);
                recording.write(&path).map_err(system)?;
                output::write_output(format_args!("{}", played.report.lines()));
            }
            let outcome = match &recording {
                Some(recording) => experiment::replay(recording, &read, runs.into(), told),
                None => experiment::run(&read, &build_of(build, &[&read])?, runs.into(), told),
            };
            finish(&outcome, out.as_deref())
        }
        Act::Compare { one, other, first_build, second_build, runs, out } => {
            let first = script_of(Some(&one), None)?;
            let second = other.as_deref().map_or(Ok(first.clone()), |other| script_of(Some(other), None))?;
            let scripts = [&first, &second];
            let builds = (build_of(first_build, &scripts)?, build_of(second_build, &scripts)?);
            let (first, second) = ((&first, &builds.0), (&second, &builds.1));
            finish(&experiment::compare(first, second, runs.into(), told), out.as_deref())
        }
        Act::Sweep { script, axes, runs, out } => {
            let read = script_of(Some(&script), None)?;
            let outcome = experiment::sweep(&read, &axes, runs.into(), |arm, single| {
                output::write_error(format_args!("{arm}, "));
                told(single);
            });
            match outcome {
                Ok(outcome) => finish(&outcome, out.as_deref()),
                Err(cause) => {
                    error_line!("{}: {cause}", script.display());
                    Err(Failed::Settings)
                }
            }
        }
        Act::Fit { recording, out } => {
            let read = recording_of(&recording)?;
            let fitted = fit::fit(&read, ROUND_TRIP).map_err(|cause| {
                error_line!("{}: {cause}", recording.display());
                Failed::Settings
            })?;
            print_line!("{}", pretty(&fitted));
            keep(out.as_deref(), &fitted.script)
        }
        Act::Feed { ledgers, script, seed, out } => {
            let script = script_of(Some(&script), None)?;
            let told = ledgers.iter().map(|file| ledger_of(file)).collect::<Result<Vec<Told>, Failed>>()?;
            let fed = feed::recording(&told, &script, seed).map_err(|cause| {
                error_line!("{cause}");
                Failed::Settings
            })?;
            if fed.torn > 0 {
                error_line!("{} ledgers end in a part that was cut short: left out", fed.torn);
            }
            if fed.missing > 0 {
                error_line!("{} lines are missing: the disk did not take them", fed.missing);
            }
            let length = fed.recording.head.script.length;
            print_line!("{} operations in {length}, {} tries without an answer", fed.arrived, fed.unanswered);
            fed.recording.write(&out).map_err(system)
        }
        Act::Plot { files, out } => {
            let inputs = files.iter().map(|file| input_of(file)).collect::<Result<Vec<Input>, Failed>>()?;
            let page = plot::page(&inputs).map_err(|cause| {
                error!(cause, "cannot draw");
                Failed::System
            })?;
            fs::write(out, page).map_err(system)
        }
        Act::Hunt { script, seed, days, out } => {
            let base = script_of(script.as_deref(), seed)?;
            let found = hunt::hunt(&base, days, |day, report| {
                if !report.passed() {
                    error_line!("day {day}: a rule broke, seed {}", report.seed);
                }
            });
            output::write_output(format_args!("{}", found.report.lines()));
            print_line!("{:.3} behind the bound; {} days played", found.badness.behind, found.played);
            match out {
                Some(path) => keep(Some(&path), &found.script)?,
                None => print_line!("{}", pretty(&found.script)),
            }
            if found.report.passed() {
                Ok(())
            } else {
                Err(Failed::Rule)
            }
        }
    }
}
