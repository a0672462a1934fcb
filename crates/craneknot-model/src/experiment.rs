//! Replications, means with their error bars, comparisons on common random numbers, sweeps, and forecasts of a recorded run.

use std::collections::BTreeMap;
use std::path::Path;

use craneknot_rehearsal::record::What;
use craneknot_rehearsal::recording::Recording;
use craneknot_rehearsal::{Report, Script};
use craneknot_settings::{parse, Span};
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::baseline::Who;
use crate::bound;
use crate::hosted::Build;
use crate::world::{play_with_options, Cost, RunOptions};

pub const FORMAT: &str = "craneknot-outcome-1";

/// A mean and the half-width of its 95% interval (Student's t).
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    pub mean: f64,
    /// Nothing: one run tells no width.
    pub half_width: Option<f64>,
    pub runs: usize,
}

impl Estimate {
    pub fn of(values: &[f64]) -> Self {
        let runs = values.len();
        let mean = values.iter().sum::<f64>() / runs.max(1) as f64;
        let half_width = spread(values, mean).map(|(t, deviation)| t * deviation / (runs as f64).sqrt());
        Estimate { mean, half_width, runs }
    }

    /// Where one more run falls, 19 times of 20: wider than the interval of the mean.
    pub fn of_next(values: &[f64]) -> Self {
        let runs = values.len();
        let mean = values.iter().sum::<f64>() / runs.max(1) as f64;
        let half_width =
            spread(values, mean).map(|(t, deviation)| t * deviation * (1.0 + 1.0 / runs as f64).sqrt());
        Estimate { mean, half_width, runs }
    }

    pub fn is_narrow(&self, most: f64) -> bool {
        self.half_width.is_some_and(|half| half <= most)
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

/// Student's t for 95%, and the standard deviation.
fn spread(values: &[f64], mean: f64) -> Option<(f64, f64)> {
    let freedom = values.len().checked_sub(1).filter(|freedom| *freedom > 0)? as f64;
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / freedom;
    let t = StudentsT::new(0.0, 1.0, freedom).ok()?.inverse_cdf(0.975);
    Some((t, variance.sqrt()))
}

/// What is asked of an experiment.
#[derive(Clone, Copy, Debug)]
pub struct ExperimentOptions {
    pub min_runs: usize,
    pub max_runs: usize,
    /// Enough once the interval's half-width is no more than this.
    pub max_half_width: f64,
    /// Whether baselines and the bound are played beside ours.
    pub baselines: bool,
    /// Whether the time of turns and the age of knowledge are told; wall times differ from run to run.
    pub cost: bool,
}

/// One run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SingleRun {
    pub seed: u64,
    pub service: f64,
    pub worst_window: f64,
    pub p99_ms: f64,
    /// Lines sent a second by all coordinators, and the most in a channel for its limit.
    pub lines_per_second: f64,
    pub queue: f64,
    /// The first evidence of a broken rule.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub broken: Option<String>,
    /// Service by baselines and the bound, where they were asked for.
    #[serde(rename = "beside", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub baselines: BTreeMap<String, f64>,
    /// Cold servers that baselines pushed over: they are held to no rule, and may be better off for it.
    #[serde(rename = "beside_fell", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub baseline_overloads: BTreeMap<String, usize>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cost: Option<CostFigures>,
}

/// What coordinators' turns cost on this machine, and how old what they knew was.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CostFigures {
    /// Wall time of a turn, us: half of them, 99 of 100.
    pub turn_us: (f64, f64),
    /// From the middle of the span that a report tells of to the turn that takes it in, s: half of them, 99 of 100.
    pub age_s: (f64, f64),
}

impl CostFigures {
    fn of(cost: &Cost) -> Option<Self> {
        let both = |mut values: Vec<f64>| {
            values.sort_by(f64::total_cmp);
            let at = |part: f64| values.get(((values.len() as f64 - 1.0) * part) as usize).copied();
            at(0.5).zip(at(0.99))
        };
        let turn_us = both(cost.turns.iter().map(|turn| turn.as_secs_f64() * 1e6).collect())?;
        let age_s = both(cost.ages.iter().map(|age| age.secs()).collect())?;
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
    /// Where it is one of a sweep: what was put in at each pointer.
    #[serde(rename = "put", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub overrides: BTreeMap<String, serde_json::Value>,
    pub script: Script,
    /// Whose decisions, where not this program's own.
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
        put: BTreeMap<String, serde_json::Value>,
        script: Script,
        singles: Vec<SingleRun>,
    ) -> Self {
        let estimate =
            |of: fn(&SingleRun) -> f64| Estimate::of(&singles.iter().map(of).collect::<Vec<f64>>());
        let names = singles.first().map(|single| single.baselines.keys().cloned().collect::<Vec<String>>());
        let beside = |name: String| {
            let values: Vec<f64> =
                singles.iter().filter_map(|single| single.baselines.get(&name).copied()).collect();
            (name, Estimate::of(&values))
        };
        Arm {
            name,
            overrides: put,
            script,
            build: None,
            service: estimate(|single| single.service),
            worst_window: estimate(|single| single.worst_window),
            p99_ms: estimate(|single| single.p99_ms),
            lines_per_second: estimate(|single| single.lines_per_second),
            baselines: names.into_iter().flatten().map(beside).collect(),
            singles,
        }
    }
}

/// The second arm's service less the first's, seed by seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    pub arm: String,
    #[serde(rename = "less")]
    pub reference: String,
    pub service: Estimate,
}

/// What a forecast of a recorded run came to.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forecast {
    /// Nothing where the recording does not tell.
    pub measured: Option<f64>,
    /// Where the service of one run falls, 19 times of 20.
    #[serde(rename = "next")]
    pub predicted: Estimate,
    pub inside: Option<bool>,
}

/// One file with all that is needed to play it again.
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

    /// Seeds in which a rule broke, by arm.
    pub fn broken_runs(&self) -> impl Iterator<Item = (&str, &SingleRun)> {
        self.arms.iter().flat_map(|arm| {
            arm.singles
                .iter()
                .filter(|single| single.broken.is_some())
                .map(|single| (arm.name.as_str(), single))
        })
    }
}

const BATCH: usize = 4; // runs begun at once; the same on every machine, since it decides how many are played

fn single(script: &Script, ask: RunOptions, baselines: bool) -> SingleRun {
    let played = play_with_options(script, ask);
    let mut single = SingleRun::of(script, &played.report);
    single.cost = ask.cost.then(|| CostFigures::of(&played.cost)).flatten();
    if let Some(cause) = &played.fault {
        single.broken = Some(format!("no rule, but the run: {cause}"));
    }
    if baselines {
        for who in Who::BASELINES {
            let played =
                play_with_options(script, RunOptions { selector: who, build: None, cost: false, ..ask });
            single.baselines.insert(who.title().to_owned(), played.report.service.service);
            let fell =
                played.records.iter().filter(|record| matches!(record.what, What::Fell { .. })).count();
            if fell > 0 {
                single.baseline_overloads.insert(who.title().to_owned(), fell);
            }
        }
        if let Some(bound) = bound::service(script, played.begin, &played.asked) {
            single.baselines.insert("bound".to_owned(), bound);
        }
    }
    single
}

/// Plays run after run, a batch at once, until `enough` of the values or the most that were asked for.
fn runs<T: Send>(
    asked: ExperimentOptions,
    one: impl Fn(u64) -> T + Sync,
    value: impl Fn(&T) -> f64,
    mut progress: impl FnMut(&[T]),
) -> Vec<T> {
    let mut all: Vec<T> = Vec::new();
    loop {
        let from = all.len();
        let to = (from + BATCH).min(asked.max_runs.max(1));
        let batch: Vec<T> = (from..to).into_par_iter().map(|number| one(number as u64)).collect();
        progress(&batch);
        all.extend(batch);
        let narrow =
            Estimate::of(&all.iter().map(&value).collect::<Vec<f64>>()).is_narrow(asked.max_half_width);
        if all.len() >= asked.max_runs.max(1) || all.len() >= asked.min_runs && narrow {
            return all;
        }
    }
}

/// Runs of a forecast at the least: of fewer than 39 not one falls beyond where one of twenty should, and service is skewed:
/// most days are good, and a few have a jam.
const FORECAST_RUNS: usize = 39;

fn seeded(script: &Script, number: u64) -> Script {
    Script { seed: script.seed.wrapping_add(number), ..script.clone() }
}

/// The build's name, where it is not this program's own.
fn told(build: &Build) -> Option<String> {
    match build {
        Build::Own | Build::OwnQuantized => None,
        Build::Hosted(program) => Some(program.display().to_string()),
    }
}

/// Plays the script with one seed after another until the bars are narrow enough.
pub fn run(
    script: &Script,
    build: &Build,
    asked: ExperimentOptions,
    mut progress: impl FnMut(&SingleRun),
) -> Outcome {
    let ask = RunOptions { build: Some(build), cost: asked.cost, ..RunOptions::default() };
    let one = |number| single(&seeded(script, number), ask, asked.baselines);
    let report = |batch: &[SingleRun]| batch.iter().for_each(&mut progress);
    let singles = runs(asked, one, |single| single.service, report);
    let arm = Arm::of(script.name.clone(), BTreeMap::new(), script.clone(), singles);
    Outcome::new(vec![Arm { build: told(build), ..arm }])
}

/// Two scripts, or one under two builds of the decisions, on common random numbers, until the difference's bars are narrow
/// enough. Beside a hosted build this program's own are told moments as coarsely as it.
pub fn compare(
    (one, first): (&Script, &Build),
    (other, second): (&Script, &Build),
    asked: ExperimentOptions,
    mut progress: impl FnMut(&SingleRun),
) -> Outcome {
    let names = match one.name == other.name {
        true => (format!("{}, first", one.name), format!("{}, second", other.name)),
        false => (one.name.clone(), other.name.clone()),
    };
    let other = Script { seed: one.seed, ..other.clone() };
    let coarse = [first, second].iter().any(|build| matches!(build, Build::Hosted(_)));
    let as_told = |build: &Build| match build {
        Build::Own if coarse => Build::OwnQuantized,
        Build::Own | Build::OwnQuantized | Build::Hosted(_) => build.clone(),
    };
    let (first, second) = (as_told(first), as_told(second));
    let both = |number| {
        let play = |script: &Script, build: &Build| {
            let ask = RunOptions { build: Some(build), cost: asked.cost, ..RunOptions::default() };
            single(&seeded(script, number), ask, asked.baselines)
        };
        (play(one, &first), play(&other, &second))
    };
    let gain = |(first, second): &(SingleRun, SingleRun)| second.service - first.service;
    let pairs = runs(asked, both, gain, |batch| {
        batch.iter().for_each(|(first, second)| {
            progress(first);
            progress(second);
        })
    });
    let service = Estimate::of(&pairs.iter().map(gain).collect::<Vec<f64>>());
    let (singles, others): (Vec<SingleRun>, Vec<SingleRun>) = pairs.into_iter().unzip();
    let difference = Difference { arm: names.1.clone(), reference: names.0.clone(), service };
    let mut outcome = Outcome::new(vec![
        Arm { build: told(&first), ..Arm::of(names.0, BTreeMap::new(), one.clone(), singles) },
        Arm { build: told(&second), ..Arm::of(names.1, BTreeMap::new(), other, others) },
    ]);
    outcome.differences.push(difference);
    outcome
}

/// One setting of a sweep, by JSON pointer (RFC 6901), and the values it takes.
#[derive(Clone, Debug, PartialEq)]
pub struct Axis {
    pub pointer: String,
    pub values: Vec<serde_json::Value>,
}

impl std::str::FromStr for Axis {
    type Err = String;

    /// `/clients/rate=100,200,400`; a value that is no JSON is text, such as `1.5s`.
    fn from_str(text: &str) -> Result<Self, String> {
        let (pointer, values) = text.split_once('=').ok_or("wants POINTER=VALUE,VALUE...")?;
        if !pointer.starts_with('/') {
            return Err(format!("pointer {pointer:?} does not begin with a slash"));
        }
        let value = |text: &str| serde_json::from_str(text).unwrap_or(serde_json::Value::from(text));
        let values: Vec<serde_json::Value> = values.split(',').map(value).collect();
        Ok(Axis { pointer: pointer.to_owned(), values })
    }
}

/// The script with other values at these pointers, checked as one that was read.
pub fn put(script: &Script, values: &BTreeMap<String, serde_json::Value>) -> Result<Script, String> {
    let mut whole = serde_json::to_value(script).map_err(|cause| cause.to_string())?;
    for (pointer, value) in values {
        match whole.pointer_mut(pointer) {
            Some(place) => *place = value.clone(),
            // What is left out of a script may still be set: its last name is new in an object that is there.
            None => {
                let (before, name) = pointer.rsplit_once('/').unwrap_or(("", pointer));
                let object = whole.pointer_mut(before).and_then(|place| place.as_object_mut());
                object.ok_or(format!("nothing stands at {pointer}"))?.insert(name.to_owned(), value.clone());
            }
        }
    }
    let text = serde_json::to_vec(&whole).map_err(|cause| cause.to_string())?;
    parse(Path::new("the script as swept"), &text).map_err(|problems| problems.to_string())
}

/// Plays every combination of the axes' values on common random numbers; differences are against the first.
pub fn sweep(
    script: &Script,
    axes: &[Axis],
    asked: ExperimentOptions,
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
    // All are checked before the first is played.
    let scripts = cells.iter().map(|cell| put(script, cell)).collect::<Result<Vec<Script>, String>>()?;
    let mut arms: Vec<Arm> = Vec::new();
    for (cell, script) in cells.into_iter().zip(scripts) {
        let name =
            cell.iter().map(|(pointer, value)| format!("{pointer}={value}")).collect::<Vec<_>>().join(" ");
        let ask = RunOptions { cost: asked.cost, ..RunOptions::default() };
        let one = |number| single(&seeded(&script, number), ask, asked.baselines);
        let told = |batch: &[SingleRun]| batch.iter().for_each(|single| progress(&name, single));
        let singles = runs(asked, one, |single| single.service, told);
        arms.push(Arm::of(name, cell, script, singles));
    }
    let mut outcome = Outcome::new(arms);
    if let Some((first, rest)) = outcome.arms.split_first() {
        let difference = |arm: &Arm| {
            let pairs = arm.singles.iter().zip(&first.singles);
            let values: Vec<f64> = pairs.map(|(one, other)| one.service - other.service).collect();
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

/// Plays what a recording shows was asked for, amid the same troubles, with all else drawn anew in each run, and says where
/// the recorded run's service should have fallen. `script`: as fitted, or as another setting has it.
pub fn replay(
    recording: &Recording,
    script: &Script,
    asked: ExperimentOptions,
    mut progress: impl FnMut(&SingleRun),
) -> Outcome {
    let arrivals = recording.arrivals();
    let least = asked.min_runs.max(FORECAST_RUNS);
    let asked = ExperimentOptions { min_runs: least, max_runs: asked.max_runs.max(least), ..asked };
    let one = |number: u64| {
        // Far from the seeds of whole days, so that no replay is by chance the recorded day itself.
        let chance = (number + 1) << 32;
        let ask = RunOptions { arrivals: Some(&arrivals), seed_xor: chance, ..RunOptions::default() };
        SingleRun { seed: chance, ..single(script, ask, asked.baselines) }
    };
    let told = |batch: &[SingleRun]| batch.iter().for_each(&mut progress);
    let singles = runs(asked, one, |single| single.service, told);
    let next = Estimate::of_next(&singles.iter().map(|single| single.service).collect::<Vec<f64>>());
    let measured = recording.head.service;
    let inside = measured.zip(next.half_width).map(|(value, half)| (value - next.mean).abs() <= half);
    let mut outcome =
        Outcome::new(vec![Arm::of(script.name.clone(), BTreeMap::new(), script.clone(), singles)]);
    outcome.forecast = Some(Forecast { measured, predicted: next, inside });
    outcome
}

/// A swept value on an axis of a plot: a number, or a span in seconds.
pub fn number_of(value: &serde_json::Value) -> Option<f64> {
    value.as_f64().or_else(|| Span::parse(value.as_str()?).map(|span| span.0.secs()))
}

#[cfg(test)]
mod tests {
    use super::*;

    const ASKED: ExperimentOptions =
        ExperimentOptions { min_runs: 2, max_runs: 2, max_half_width: 1.0, baselines: false, cost: false };

    fn short() -> Script {
        Script { length: Span::millis(6_000), troubles: Vec::new(), ..Script::built_in().unwrap() }
    }

    #[test]
    fn intervals_hold_the_mean_as_often_as_they_say() {
        use rand::{Rng, SeedableRng};
        let mut rng = rand_pcg::Pcg32::seed_from_u64(9);
        let (mut holds, mut next) = (0, 0);
        for _ in 0..2_000 {
            let mut draw = || (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
            let values: Vec<f64> = (0..8).map(|_| draw()).collect();
            let within = |estimate: Estimate, value: f64| {
                usize::from((estimate.mean - value).abs() <= estimate.half_width.unwrap())
            };
            holds += within(Estimate::of(&values), 0.0);
            next += within(Estimate::of_next(&values), draw());
        }
        for share in [holds as f64 / 2_000.0, next as f64 / 2_000.0] {
            assert!((0.93..0.97).contains(&share), "{share}");
        }
        assert_eq!(Estimate::of(&[1.0]).half_width, None);
    }

    #[test]
    fn two_settings_that_are_the_same_differ_by_exactly_nothing() {
        let (script, own) = (short(), Build::Own);
        let twice = || compare((&script, &own), (&script, &own), ASKED, |_| {});
        let outcome = twice();
        let Estimate { mean, half_width, .. } = outcome.differences[0].service;
        assert_eq!((mean, half_width), (0.0, Some(0.0)));
        assert_eq!(outcome, twice());
    }

    #[test]
    fn a_sweep_sets_what_it_names_and_refuses_what_is_out_of_order() {
        let axes = ["/clients/rate=50,100".parse().unwrap(), "/report_period=500ms".parse().unwrap()];
        let outcome = sweep(&short(), &axes, ASKED, |_, _| {}).unwrap();
        let rates: Vec<f64> = outcome.arms.iter().map(|arm| arm.script.clients.rate).collect();
        assert_eq!((rates, outcome.differences.len()), (vec![50.0, 100.0], 1));
        assert_eq!(number_of(&serde_json::json!("500ms")), Some(0.5));
        for (text, word) in
            [("/clients/rate=-1", "rate"), ("/no/such=1", "/no/such"), ("/seed=\"x\"", "seed")]
        {
            let cause = sweep(&short(), &[text.parse().unwrap()], ASKED, |_, _| {}).unwrap_err();
            assert!(cause.contains(word), "{cause}");
        }
        assert!("rate=1".parse::<Axis>().is_err() && "/rate".parse::<Axis>().is_err());
        let text = serde_json::to_string(&outcome).unwrap();
        assert_eq!(serde_json::from_str::<Outcome>(&text).unwrap(), outcome);
    }

    #[test]
    fn baselines_stand_beside_and_none_passes_the_bound() {
        let script = Script { length: Span::millis(10_000), ..Script::built_in().unwrap() };
        let outcome = run(&script, &Build::Own, ExperimentOptions { baselines: true, ..ASKED }, |_| {});
        let single = &outcome.arms[0].singles[0];
        let bound = single.baselines["bound"];
        assert_eq!(single.baselines.len(), Who::BASELINES.len() + 1);
        assert!(single.service <= bound + 1e-9 && single.baselines.values().all(|one| *one <= bound + 1e-9));
        assert!(single.baselines[Who::Random.title()] > 0.3, "{single:?}");
    }
}
