//! `craneknot model`: scripts in simulated time.

use std::fs;
use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use craneknot_model::experiment::{self, Asked, Axis, Outcome, Single};
use craneknot_model::plot::{self, Input};
use craneknot_model::world::{play_whole, Ask, ROUND_TRIP};
use craneknot_model::{fit, hunt};
use craneknot_rehearsal::recording::Recording;
use tracing::error;

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
}

impl From<Runs> for Asked {
    fn from(runs: Runs) -> Self {
        let Runs { least, most, narrow, baselines } = runs;
        Asked { least, most, narrow, baselines }
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
        /// Where the outcome is written, as JSON.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Two scripts on the same random numbers: the second's service less the first's.
    Compare {
        one: PathBuf,
        other: PathBuf,
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

fn recording_of(file: &Path) -> Result<Recording, Failed> {
    Recording::read(file).map_err(|fault| {
        eprintln!("{}: {fault}", file.display());
        Failed::Settings
    })
}

fn told(single: &Single) {
    let broken = single.broken.as_ref().map_or(String::new(), |first| format!("; a rule broke: {first}"));
    eprintln!("seed {}: service {:.4}{broken}", single.seed, single.service);
}

/// Prints what came out, keeps it, and fails where a rule broke.
fn finish(outcome: &Outcome, out: Option<&Path>) -> Result<(), Failed> {
    for arm in &outcome.arms {
        println!("{}: service {}", arm.name, arm.service);
        println!("  worst 10 s {}, p99 {} ms", arm.worst_window, arm.p99_ms);
        for (name, estimate) in &arm.beside {
            let fell: usize = arm.singles.iter().filter_map(|single| single.beside_fell.get(name)).sum();
            let note = if fell > 0 { format!(", {fell} cold servers pushed over") } else { String::new() };
            println!("  {name}: {estimate}{note}");
        }
    }
    for difference in &outcome.differences {
        println!("{} less {}: service {}", difference.arm, difference.less, difference.service);
    }
    if let Some(forecast) = &outcome.forecast {
        let word = if forecast.inside { "inside" } else { "outside" };
        println!("forecast of one run: {}; measured {:.4}, {word}", forecast.next, forecast.measured);
    }
    keep(out, outcome)?;
    match outcome.broken().next() {
        None => Ok(()),
        Some((arm, single)) => {
            let first = single.broken.as_deref().unwrap_or_default();
            eprintln!("{arm}, seed {}: a rule broke: {first}", single.seed);
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
            eprintln!("{name}: its format is {:?}; {:?} is wanted", outcome.format, experiment::FORMAT);
            Err(Failed::Settings)
        }
        Err(cause) => {
            eprintln!("{name}: neither a recording nor an outcome of an experiment: {cause}");
            Err(Failed::Settings)
        }
    }
}

pub fn act(act: Act) -> Result<(), Failed> {
    match act {
        Act::Run { script, seed, runs, replay, record, out } => {
            let recording = replay.as_deref().map(recording_of).transpose()?;
            let read = match (&script, &recording) {
                (None, Some(recording)) => recording.head.script.clone(),
                (script, _) => script_of(script.as_deref(), seed)?,
            };
            if let Some(path) = record {
                let played = play_whole(&read, Ask::default());
                let recording = Recording::of("model", &read, played.begin, &played.records, &played.report);
                recording.write(&path).map_err(system)?;
                print!("{}", played.report.lines());
            }
            let outcome = match &recording {
                Some(recording) => experiment::replay(recording, &read, runs.into(), told),
                None => experiment::run(&read, runs.into(), told),
            };
            finish(&outcome, out.as_deref())
        }
        Act::Compare { one, other, runs, out } => {
            let (one, other) = (script_of(Some(&one), None)?, script_of(Some(&other), None)?);
            finish(&experiment::compare(&one, &other, runs.into(), told), out.as_deref())
        }
        Act::Sweep { script, axes, runs, out } => {
            let read = script_of(Some(&script), None)?;
            let outcome = experiment::sweep(&read, &axes, runs.into(), |arm, single| {
                eprint!("{arm}, ");
                told(single);
            });
            match outcome {
                Ok(outcome) => finish(&outcome, out.as_deref()),
                Err(cause) => {
                    eprintln!("{}: {cause}", script.display());
                    Err(Failed::Settings)
                }
            }
        }
        Act::Fit { recording, out } => {
            let read = recording_of(&recording)?;
            let fitted = fit::fit(&read, ROUND_TRIP).map_err(|cause| {
                eprintln!("{}: {cause}", recording.display());
                Failed::Settings
            })?;
            println!("{}", pretty(&fitted));
            keep(out.as_deref(), &fitted.script)
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
                    eprintln!("day {day}: a rule broke, seed {}", report.seed);
                }
            });
            print!("{}", found.report.lines());
            println!("{:.3} behind the bound; {} days played", found.badness.behind, found.played);
            match out {
                Some(path) => keep(Some(&path), &found.script)?,
                None => println!("{}", pretty(&found.script)),
            }
            if found.report.passed() {
                Ok(())
            } else {
                Err(Failed::Rule)
            }
        }
    }
}
