//! Replications of runs with means and confidence intervals, comparisons with common random numbers,
//! parameter sweeps, and forecasts of a recorded run.

use std::collections::BTreeMap;
use std::path::Path;

use craneknot_rehearsal::record::What;
use craneknot_rehearsal::recording::Recording;
use craneknot_rehearsal::{Report, Script};
use craneknot_settings::{parse, Span};
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::baseline::Selector;
use crate::bound;
use crate::hosted::Build;
use crate::world::{play_with_options, Cost, RunOptions};

/// Format name of outcome files.
pub const FORMAT: &str = "craneknot-outcome-1";

/// A mean and the half-width of its 95% interval (Student's t).
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    pub mean: f64,
    /// `None` for a single run.
    pub half_width: Option<f64>,
    pub runs: usize,
}

impl Estimate {
    /// The mean of the values, with its confidence interval.
    pub fn of(values: &[f64]) -> Self {
        let runs = values.len();
        let mean = values.iter().sum::<f64>() / runs.max(1) as f64;
        let half_width =
            quantile_and_deviation(values, mean).map(|(t, deviation)| t * deviation / (runs as f64).sqrt());
        Estimate { mean, half_width, runs }
    }

    /// The 95% prediction interval for one more run, wider than the confidence interval of the mean.
    pub fn of_next_run(values: &[f64]) -> Self {
        let runs = values.len();
        let mean = values.iter().sum::<f64>() / runs.max(1) as f64;
        let half_width = quantile_and_deviation(values, mean)
            .map(|(t, deviation)| t * deviation * (1.0 + 1.0 / runs as f64).sqrt());
        Estimate { mean, half_width, runs }
    }

    /// Whether the interval is known and its half-width is at most this.
    pub fn is_narrow(&self, max_half_width: f64) -> bool {
        self.half_width.is_some_and(|half| half <= max_half_width)
    }
}

impl std::fmt::Display for Estimate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.half_width {
            Some(half) => write!(f, "{:.4} ± {half:.4} ({} runs)", self.mean, self.runs),
            None => write!(f, "{:.4} (one run)", self.mean),
        }
    }
}

/// Student's t quantile for a 95% interval, and the standard deviation of the values.
fn quantile_and_deviation(values: &[f64], mean: f64) -> Option<(f64, f64)> {
    let degrees_of_freedom =
        values.len().checked_sub(1).filter(|degrees_of_freedom| *degrees_of_freedom > 0)? as f64;
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / degrees_of_freedom;
    let t = StudentsT::new(0.0, 1.0, degrees_of_freedom).ok()?.inverse_cdf(0.975);
    Some((t, variance.sqrt()))
}

/// Number of runs of an experiment, and what is measured in addition.
#[derive(Clone, Copy, Debug)]
pub struct ExperimentOptions {
    /// Minimum number of runs.
    pub min_runs: usize,
    /// Maximum number of runs.
    pub max_runs: usize,
    /// Stops once the interval's half-width is at most this.
    pub max_half_width: f64,
    /// Whether the baselines and the upper bound are computed for each run.
    pub baselines: bool,
    /// Whether the wall time of turns and the age of reports are measured; wall times differ from run to run.
    pub cost: bool,
}

/// The result of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SingleRun {
    pub seed: u64,
    pub service: f64,
    pub worst_window: f64,
    pub p99_ms: f64,
    /// Lines sent per second by all coordinators.
    pub lines_per_second: f64,
    /// Longest queue of a channel, relative to its limit.
    pub queue: f64,
    /// Evidence of the first broken rule.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub broken: Option<String>,
    /// Service under the baselines and the upper bound, if requested.
    #[serde(rename = "beside", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub baselines: BTreeMap<String, f64>,
    /// Number of cold servers that each baseline overloaded: baselines are not checked against the rules,
    /// which may be to their advantage.
    #[serde(rename = "beside_fell", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub baseline_overloads: BTreeMap<String, usize>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cost: Option<CostFigures>,
}

/// Wall time of coordinators' turns on this machine, and the age of the reports they used.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CostFigures {
    /// Wall time of a turn in microseconds: median and 99th percentile.
    pub turn_us: (f64, f64),
    /// Time from the middle of the interval that a report covers to the turn that processes it, in seconds:
    /// median and 99th percentile.
    pub age_s: (f64, f64),
}

impl CostFigures {
    fn of(cost: &Cost) -> Option<Self> {
        let median_and_p99 = |mut values: Vec<f64>| {
            values.sort_by(f64::total_cmp);
            let percentile = |share: f64| values.get(((values.len() as f64 - 1.0) * share) as usize).copied();
            percentile(0.5).zip(percentile(0.99))
        };
        let turn_us = median_and_p99(cost.turns.iter().map(|turn| turn.as_secs_f64() * 1e6).collect())?;
        let age_s = median_and_p99(cost.ages.iter().map(|age| age.secs()).collect())?;
        Some(CostFigures { turn_us, age_s })
    }
}

impl SingleRun {
    fn of(script: &Script, report: &Report) -> Self {
        let figure = |name: &str| {
            let of = |status: &serde_json::Value| status.get(name)?.as_f64();
            report.status.iter().filter_map(of).collect::<Vec<f64>>()
        };
        let limit = script.channel.lines_limit;
        SingleRun {
            seed: report.seed,
            service: report.service.service,
            worst_window: report.service.worst_window,
            p99_ms: report.service.latency_p99_ms,
            lines_per_second: figure("lines").iter().sum::<f64>() / report.seconds.max(1e-9),
            queue: figure("channel_most").into_iter().fold(0.0, f64::max) / limit,
            broken: report.rules.values().find_map(|verdict| verdict.first.clone()),
            baselines: BTreeMap::new(),
            baseline_overloads: BTreeMap::new(),
            cost: None,
        }
    }
}

/// All runs of one script.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arm {
    pub name: String,
    /// In a sweep: the value that was set at each JSON pointer.
    #[serde(rename = "put", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub overrides: BTreeMap<String, serde_json::Value>,
    pub script: Script,
    /// Program that made the decisions, if not this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub build: Option<String>,
    pub service: Estimate,
    pub worst_window: Estimate,
    pub p99_ms: Estimate,
    pub lines_per_second: Estimate,
    #[serde(rename = "beside", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub baselines: BTreeMap<String, Estimate>,
    pub singles: Vec<SingleRun>,
}

impl Arm {
    fn of(
        name: String,
        overrides: BTreeMap<String, serde_json::Value>,
        script: Script,
        singles: Vec<SingleRun>,
    ) -> Self {
        let estimate =
            |of: fn(&SingleRun) -> f64| Estimate::of(&singles.iter().map(of).collect::<Vec<f64>>());
        let names = singles.first().map(|single| single.baselines.keys().cloned().collect::<Vec<String>>());
        let baseline = |name: String| {
            let values: Vec<f64> =
                singles.iter().filter_map(|single| single.baselines.get(&name).copied()).collect();
            (name, Estimate::of(&values))
        };
        Arm {
            name,
            overrides,
            script,
            build: None,
            service: estimate(|single| single.service),
            worst_window: estimate(|single| single.worst_window),
            p99_ms: estimate(|single| single.p99_ms),
            lines_per_second: estimate(|single| single.lines_per_second),
            baselines: names.into_iter().flatten().map(baseline).collect(),
            singles,
        }
    }
}

/// Service of an arm minus that of the reference arm, paired by seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    pub arm: String,
    #[serde(rename = "less")]
    pub reference: String,
    pub service: Estimate,
}

/// Result of the forecast of a recorded run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forecast {
    /// `None` if the recording doesn't contain the service.
    pub measured: Option<f64>,
    /// The 95% prediction interval of the service of one run.
    #[serde(rename = "next")]
    pub predicted: Estimate,
    pub inside: Option<bool>,
}

/// The outcome of an experiment, with everything needed to repeat it, as written to one file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    pub format: String,
    pub version: String,
    pub arms: Vec<Arm>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub differences: Vec<Difference>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forecast: Option<Forecast>,
}

impl Outcome {
    fn new(arms: Vec<Arm>) -> Self {
        let version = env!("CARGO_PKG_VERSION").to_owned();
        Outcome { format: FORMAT.to_owned(), version, arms, differences: Vec::new(), forecast: None }
    }

    /// Runs in which a rule was broken, with the names of their arms.
    pub fn broken_runs(&self) -> impl Iterator<Item = (&str, &SingleRun)> {
        self.arms.iter().flat_map(|arm| {
            arm.singles
                .iter()
                .filter(|single| single.broken.is_some())
                .map(|single| (arm.name.as_str(), single))
        })
    }
}

const BATCH: usize = 4; // runs in parallel; equal on every machine, since it decides how many are played

fn play_single(script: &Script, run_options: RunOptions, baselines: bool) -> SingleRun {
    let played = play_with_options(script, run_options);
    let mut single = SingleRun::of(script, &played.report);
    single.cost = run_options.cost.then(|| CostFigures::of(&played.cost)).flatten();
    if let Some(cause) = &played.fault {
        single.broken = Some(format!("no rule, but the run: {cause}"));
    }
    if baselines {
        for baseline in Selector::BASELINES {
            let played = play_with_options(
                script,
                RunOptions { selector: baseline, build: None, cost: false, ..run_options },
            );
            single.baselines.insert(baseline.title().to_owned(), played.report.service.service);
            let overloaded =
                played.records.iter().filter(|record| matches!(record.what, What::Fell { .. })).count();
            if overloaded > 0 {
                single.baseline_overloads.insert(baseline.title().to_owned(), overloaded);
            }
        }
        if let Some(bound) = bound::max_service(script, played.begin, &played.asked) {
            single.baselines.insert("bound".to_owned(), bound);
        }
    }
    single
}

/// Plays runs in batches until the interval of the values is narrow enough, or the maximum number of runs is
/// reached.
fn run_until_narrow<T: Send>(
    options: ExperimentOptions,
    one: impl Fn(u64) -> T + Sync,
    value: impl Fn(&T) -> f64,
    mut progress: impl FnMut(&[T]),
) -> Vec<T> {
    let mut all: Vec<T> = Vec::new();
    loop {
        let from = all.len();
        let to = (from + BATCH).min(options.max_runs.max(1));
        let batch: Vec<T> = (from..to).into_par_iter().map(|number| one(number as u64)).collect();
        progress(&batch);
        all.extend(batch);
        let narrow =
            Estimate::of(&all.iter().map(&value).collect::<Vec<f64>>()).is_narrow(options.max_half_width);
        if all.len() >= options.max_runs.max(1) || all.len() >= options.min_runs && narrow {
            return all;
        }
    }
}

/// Minimum number of runs of a forecast. The range of fewer than 39 values is expected to cover less than a
/// 95% interval, and the distribution of service is skewed: most runs are good, and a few have congestion.
const FORECAST_RUNS: usize = 39;

fn with_seed_offset(script: &Script, number: u64) -> Script {
    Script { seed: script.seed.wrapping_add(number), ..script.clone() }
}

/// The program of a hosted build; `None` for this program's own decisions.
fn build_name(build: &Build) -> Option<String> {
    match build {
        Build::Own | Build::OwnQuantized => None,
        Build::Hosted(program) => Some(program.display().to_string()),
    }
}

/// Plays the script with consecutive seeds until the confidence interval is narrow enough.
pub fn run(
    script: &Script,
    build: &Build,
    options: ExperimentOptions,
    mut progress: impl FnMut(&SingleRun),
) -> Outcome {
    let run_options = RunOptions { build: Some(build), cost: options.cost, ..RunOptions::default() };
    let run_one = |number| play_single(&with_seed_offset(script, number), run_options, options.baselines);
    let report_batch = |batch: &[SingleRun]| batch.iter().for_each(&mut progress);
    let singles = run_until_narrow(options, run_one, |single| single.service, report_batch);
    let arm = Arm::of(script.name.clone(), BTreeMap::new(), script.clone(), singles);
    Outcome::new(vec![Arm { build: build_name(build), ..arm }])
}

/// Compares two scripts, or one script under two builds of the decisions, with common random numbers, until
/// the confidence interval of the difference is narrow enough. When compared with a hosted build, this
/// program's own decisions receive times rounded in the same way.
pub fn compare(
    (base, first): (&Script, &Build),
    (other, second): (&Script, &Build),
    options: ExperimentOptions,
    mut progress: impl FnMut(&SingleRun),
) -> Outcome {
    let names = match base.name == other.name {
        true => (format!("{}, first", base.name), format!("{}, second", other.name)),
        false => (base.name.clone(), other.name.clone()),
    };
    let other = Script { seed: base.seed, ..other.clone() };
    let quantized = [first, second].iter().any(|build| matches!(build, Build::Hosted(_)));
    let effective_build = |build: &Build| match build {
        Build::Own if quantized => Build::OwnQuantized,
        Build::Own | Build::OwnQuantized | Build::Hosted(_) => build.clone(),
    };
    let (first, second) = (effective_build(first), effective_build(second));
    let run_pair = |number| {
        let play = |script: &Script, build: &Build| {
            let run_options = RunOptions { build: Some(build), cost: options.cost, ..RunOptions::default() };
            play_single(&with_seed_offset(script, number), run_options, options.baselines)
        };
        (play(base, &first), play(&other, &second))
    };
    let service_difference = |(first, second): &(SingleRun, SingleRun)| second.service - first.service;
    let pairs = run_until_narrow(options, run_pair, service_difference, |batch| {
        batch.iter().for_each(|(first, second)| {
            progress(first);
            progress(second);
        })
    });
    let service = Estimate::of(&pairs.iter().map(service_difference).collect::<Vec<f64>>());
    let (singles, second_runs): (Vec<SingleRun>, Vec<SingleRun>) = pairs.into_iter().unzip();
    let difference = Difference { arm: names.1.clone(), reference: names.0.clone(), service };
    let mut outcome = Outcome::new(vec![
        Arm { build: build_name(&first), ..Arm::of(names.0, BTreeMap::new(), base.clone(), singles) },
        Arm { build: build_name(&second), ..Arm::of(names.1, BTreeMap::new(), other, second_runs) },
    ]);
    outcome.differences.push(difference);
    outcome
}

/// A setting varied by a sweep, as a JSON pointer (RFC 6901), and its values.
#[derive(Clone, Debug, PartialEq)]
pub struct Axis {
    pub pointer: String,
    pub values: Vec<serde_json::Value>,
}

impl std::str::FromStr for Axis {
    type Err = String;

    /// Parses `/clients/rate=100,200,400`; a value that isn't JSON is taken as a string, such as `1.5s`.
    fn from_str(text: &str) -> Result<Self, String> {
        let (pointer, values) = text.split_once('=').ok_or("expected POINTER=VALUE,VALUE...")?;
        if !pointer.starts_with('/') {
            return Err(format!("pointer {pointer:?} does not start with a slash"));
        }
        let value = |text: &str| serde_json::from_str(text).unwrap_or(serde_json::Value::from(text));
        let values: Vec<serde_json::Value> = values.split(',').map(value).collect();
        Ok(Axis { pointer: pointer.to_owned(), values })
    }
}

/// The script with other values at these pointers, validated like a script read from a file.
pub fn apply_overrides(
    script: &Script,
    values: &BTreeMap<String, serde_json::Value>,
) -> Result<Script, String> {
    let mut value_tree = serde_json::to_value(script).map_err(|cause| cause.to_string())?;
    for (pointer, value) in values {
        match value_tree.pointer_mut(pointer) {
            Some(existing) => *existing = value.clone(),
            // A setting that the script leaves out may still be set, as a new key of an existing object.
            None => {
                let (before, name) = pointer.rsplit_once('/').unwrap_or(("", pointer));
                let object = value_tree.pointer_mut(before).and_then(|parent| parent.as_object_mut());
                object.ok_or(format!("no setting at {pointer}"))?.insert(name.to_owned(), value.clone());
            }
        }
    }
    let text = serde_json::to_vec(&value_tree).map_err(|cause| cause.to_string())?;
    parse(Path::new("script of the sweep"), &text).map_err(|problems| problems.to_string())
}

/// Plays every combination of the axes' values with common random numbers; differences are relative to the
/// first.
pub fn sweep(
    script: &Script,
    axes: &[Axis],
    options: ExperimentOptions,
    mut progress: impl FnMut(&str, &SingleRun),
) -> Result<Outcome, String> {
    let mut cells = vec![BTreeMap::new()];
    for axis in axes {
        cells = cells
            .into_iter()
            .flat_map(|cell: BTreeMap<String, serde_json::Value>| {
                axis.values.iter().map(move |value| {
                    let mut cell = cell.clone();
                    cell.insert(axis.pointer.clone(), value.clone());
                    cell
                })
            })
            .collect();
    }
    // Validates all scripts before the first run.
    let scripts =
        cells.iter().map(|cell| apply_overrides(script, cell)).collect::<Result<Vec<Script>, String>>()?;
    let mut arms: Vec<Arm> = Vec::new();
    for (cell, script) in cells.into_iter().zip(scripts) {
        let name =
            cell.iter().map(|(pointer, value)| format!("{pointer}={value}")).collect::<Vec<_>>().join(" ");
        let run_options = RunOptions { cost: options.cost, ..RunOptions::default() };
        let run_one =
            |number| play_single(&with_seed_offset(&script, number), run_options, options.baselines);
        let report_batch = |batch: &[SingleRun]| batch.iter().for_each(|single| progress(&name, single));
        let singles = run_until_narrow(options, run_one, |single| single.service, report_batch);
        arms.push(Arm::of(name, cell, script, singles));
    }
    let mut outcome = Outcome::new(arms);
    if let Some((first, rest)) = outcome.arms.split_first() {
        let difference = |arm: &Arm| {
            let pairs = arm.singles.iter().zip(&first.singles);
            let values: Vec<f64> = pairs.map(|(single, other)| single.service - other.service).collect();
            Difference {
                arm: arm.name.clone(),
                reference: first.name.clone(),
                service: Estimate::of(&values),
            }
        };
        outcome.differences = rest.iter().map(difference).collect();
    }
    Ok(outcome)
}

/// Replays the recorded operations with the same faults and all other random numbers drawn again in each run,
/// and predicts the interval for the recorded run's service. `script` is the fitted one, or one with other
/// settings.
pub fn replay(
    recording: &Recording,
    script: &Script,
    options: ExperimentOptions,
    mut progress: impl FnMut(&SingleRun),
) -> Outcome {
    let arrivals = recording.arrivals();
    let min_runs = options.min_runs.max(FORECAST_RUNS);
    let options = ExperimentOptions { min_runs, max_runs: options.max_runs.max(min_runs), ..options };
    let run_one = |number: u64| {
        // Far from the seeds of other runs, so that no replay repeats the random numbers of the recorded run
        // by accident.
        let seed_offset = (number + 1) << 32;
        let run_options =
            RunOptions { arrivals: Some(&arrivals), seed_xor: seed_offset, ..RunOptions::default() };
        SingleRun { seed: seed_offset, ..play_single(script, run_options, options.baselines) }
    };
    let report_batch = |batch: &[SingleRun]| batch.iter().for_each(&mut progress);
    let singles = run_until_narrow(options, run_one, |single| single.service, report_batch);
    let predicted = Estimate::of_next_run(&singles.iter().map(|single| single.service).collect::<Vec<f64>>());
    let measured = recording.head.service;
    let inside =
        measured.zip(predicted.half_width).map(|(value, half)| (value - predicted.mean).abs() <= half);
    let mut outcome =
        Outcome::new(vec![Arm::of(script.name.clone(), BTreeMap::new(), script.clone(), singles)]);
    outcome.forecast = Some(Forecast { measured, predicted, inside });
    outcome
}

/// A value of a sweep as a number for the axis of a plot; a span is converted to seconds.
pub fn numeric_value(value: &serde_json::Value) -> Option<f64> {
    value.as_f64().or_else(|| Span::parse(value.as_str()?).map(|span| span.0.secs()))
}

#[cfg(test)]
mod tests {
    use super::*;

    const OPTIONS: ExperimentOptions =
        ExperimentOptions { min_runs: 2, max_runs: 2, max_half_width: 1.0, baselines: false, cost: false };

    fn short() -> Script {
        Script { length: Span::millis(6_000), troubles: Vec::new(), ..Script::built_in().unwrap() }
    }

    #[test]
    fn intervals_have_the_stated_coverage() {
        use rand::{Rng, SeedableRng};
        let mut rng = rand_pcg::Pcg32::seed_from_u64(9);
        let (mut containing_mean, mut containing_next) = (0, 0);
        for _ in 0..2_000 {
            let mut draw = || (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
            let values: Vec<f64> = (0..8).map(|_| draw()).collect();
            let within = |estimate: Estimate, value: f64| {
                usize::from((estimate.mean - value).abs() <= estimate.half_width.unwrap())
            };
            containing_mean += within(Estimate::of(&values), 0.0);
            containing_next += within(Estimate::of_next_run(&values), draw());
        }
        for share in [containing_mean as f64 / 2_000.0, containing_next as f64 / 2_000.0] {
            assert!((0.93..0.97).contains(&share), "{share}");
        }
        assert_eq!(Estimate::of(&[1.0]).half_width, None);
    }

    #[test]
    fn equal_scripts_differ_by_exactly_zero() {
        let (script, own) = (short(), Build::Own);
        let twice = || compare((&script, &own), (&script, &own), OPTIONS, |_| {});
        let outcome = twice();
        let Estimate { mean, half_width, .. } = outcome.differences[0].service;
        assert_eq!((mean, half_width), (0.0, Some(0.0)));
        assert_eq!(outcome, twice());
    }

    #[test]
    fn a_sweep_sets_the_named_settings_and_rejects_invalid_ones() {
        let axes = ["/clients/rate=50,100".parse().unwrap(), "/report_period=500ms".parse().unwrap()];
        let outcome = sweep(&short(), &axes, OPTIONS, |_, _| {}).unwrap();
        let rates: Vec<f64> = outcome.arms.iter().map(|arm| arm.script.clients.rate).collect();
        assert_eq!((rates, outcome.differences.len()), (vec![50.0, 100.0], 1));
        assert_eq!(numeric_value(&serde_json::json!("500ms")), Some(0.5));
        for (text, word) in
            [("/clients/rate=-1", "rate"), ("/no/such=1", "/no/such"), ("/seed=\"x\"", "seed")]
        {
            let cause = sweep(&short(), &[text.parse().unwrap()], OPTIONS, |_, _| {}).unwrap_err();
            assert!(cause.contains(word), "{cause}");
        }
        assert!("rate=1".parse::<Axis>().is_err() && "/rate".parse::<Axis>().is_err());
        let text = serde_json::to_string(&outcome).unwrap();
        assert_eq!(serde_json::from_str::<Outcome>(&text).unwrap(), outcome);
    }

    #[test]
    fn baselines_are_reported_and_none_exceeds_the_bound() {
        let script = Script { length: Span::millis(10_000), ..Script::built_in().unwrap() };
        let outcome = run(&script, &Build::Own, ExperimentOptions { baselines: true, ..OPTIONS }, |_| {});
        let single = &outcome.arms[0].singles[0];
        let bound = single.baselines["bound"];
        assert_eq!(single.baselines.len(), Selector::BASELINES.len() + 1);
        assert!(
            single.service <= bound + 1e-9
                && single.baselines.values().all(|service| *service <= bound + 1e-9)
        );
        assert!(single.baselines[Selector::Random.title()] > 0.3, "{single:?}");
    }
}
