//! Estimates from a recording the parameters that cannot be observed: the work of a class's operations, and
//! the servers' warm-up.
//!
//! A try that reached a server with a free core started at once, and took the time of its work plus two
//! network hops. Whether a core was free follows from the other tries in flight at the server and doesn't
//! depend on the try's own work, so these tries are an unbiased sample. With the server's cores and speed
//! from the script, the time gives the work. The times at servers that have just started give their warmth.

use std::collections::{BTreeMap, BTreeSet};

use craneknot::interface::Nanos;
use craneknot_rehearsal::machine::ServerSpec;
use craneknot_rehearsal::plan::Plan;
use craneknot_rehearsal::recording::{How, Line, Recording};
use craneknot_rehearsal::Script;
use craneknot_settings::Span;
use serde::Serialize;
use statrs::statistics::Statistics;

/// A mean with its standard error.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct FittedMean {
    pub mean: f64,
    pub error: f64,
    pub tries: usize,
}

/// The parameters estimated from a recording.
#[derive(Clone, Debug, Serialize)]
pub struct Fit {
    /// Work of an operation by class, ms on a core of speed 1.
    pub work_ms: BTreeMap<String, FittedMean>,
    /// Share of its capacity that a server has at its start, and when it has all of it; `None` if too few
    /// tries were recorded.
    pub warm_up: Option<WarmUp>,
    /// Requested operations per second, without retries.
    pub rate: f64,
    /// Share of all operations, by class.
    pub shares: BTreeMap<String, f64>,
    /// The script with the fitted values in place of its own.
    #[serde(skip)]
    pub script: Script,
}

/// Linear warm-up of servers after their start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WarmUp {
    pub cold_share: f64,
    pub warm_after_s: f64,
    /// Lowest age observed, in seconds: below it the warm-up is extrapolated linearly.
    pub youngest_s: f64,
    pub tries: usize,
}

const MIN_TRIES: usize = 30; // of a class or of cold servers; fewer give no useful estimate
const AGE_BIN_S: f64 = 1.0; // tries at cold servers are grouped by the server's age
const MIN_BIN_TRIES: usize = 5; // bins with fewer tries are ignored
const MAX_AGE_S: f64 = 90.0; // an older server counts as warm
const COLD_SHARES: std::ops::RangeInclusive<u32> = 1..=50; // cold shares to evaluate, in fiftieths
const AGES: std::ops::RangeInclusive<u32> = 1..=120; // ages of full warmth to evaluate, in half seconds

/// A try that started without queueing.
struct UnqueuedTry {
    class: usize,
    /// Its processing time on a core of speed 1, in seconds; infinite if it was given up.
    work: f64,
    /// Age of the server in seconds, if its start was recorded.
    age: Option<f64>,
}

/// Tries that found a free core, at servers that no fault other than a start had affected.
fn unqueued_tries(recording: &Recording, hops: Nanos) -> Vec<UnqueuedTry> {
    let script = &recording.head.script;
    let plan = Plan::draw(script);
    let mut tries: Vec<(i64, i64, u32, usize, How)> = Vec::new(); // begin, end, server, class, how
    let mut started: BTreeMap<u32, Vec<i64>> = BTreeMap::new();
    for line in &recording.lines {
        match line {
            Line::Tried(at, _, server, class, how, took) => {
                tries.push((at - *took as i64, *at, *server, usize::from(*class), *how));
            }
            Line::Server(at, server, true) => started.entry(*server).or_default().push(*at),
            _ => {}
        }
    }
    tries.sort_by_key(|entry| (entry.0, entry.1, entry.2));
    // From the first fault other than a start or stop, a server's times don't show its own speed.
    let mut distorted_from: BTreeMap<u32, f64> = BTreeMap::new();
    for (at, server, act) in &plan.server_acts {
        use craneknot_rehearsal::plan::ServerAct;
        let distorts_times = match act {
            ServerAct::Start | ServerAct::Die => false,
            ServerAct::Silence | ServerAct::Errors(_) | ServerAct::Hang(_) => true,
            ServerAct::Slow(_) | ServerAct::LoseAnswers(_) => true,
        };
        if distorts_times {
            let first = distorted_from.entry(*server as u32).or_insert(at.secs());
            *first = first.min(at.secs());
        }
    }
    let mut in_flight: BTreeMap<u32, BTreeSet<(i64, usize)>> = BTreeMap::new();
    let mut samples = Vec::new();
    for (number, (begin, end, server, class, how)) in tries.iter().enumerate() {
        let Some(planned) = plan.servers.get(*server as usize) else { continue };
        let server_tries = in_flight.entry(*server).or_default();
        while server_tries.first().is_some_and(|(until, _)| until < begin) {
            server_tries.pop_first();
        }
        let free = server_tries.len() < usize::from(planned.group.cores);
        server_tries.insert((*end, number));
        let undistorted = distorted_from.get(server).is_none_or(|first| (*begin as f64) < first * 1e6);
        let took = (end - begin) as f64 * 1e-6 - hops.secs();
        if !free || *how == How::Unrun || !undistorted || took <= 0.0 {
            continue;
        }
        let since = started.get(server).into_iter().flatten().rfind(|at| *at <= begin);
        let age = since.map(|since| (begin - since) as f64 * 1e-6).filter(|age| *age < MAX_AGE_S);
        let work = match how {
            How::Good => took * planned.group.speed,
            // Given up: it would have taken longer than the proxy waited.
            How::Unrun | How::Failed => f64::INFINITY,
        };
        samples.push(UnqueuedTry { class: *class, work, age });
    }
    samples
}

/// Fits a recording. `hops` is the network time of a try, to the server and back, in the model.
pub fn fit(recording: &Recording, hops: Nanos) -> Result<Fit, String> {
    let mut script = recording.head.script.clone();
    let samples = unqueued_tries(recording, hops);
    let mut work_ms = BTreeMap::new();
    let mut means: BTreeMap<usize, f64> = BTreeMap::new();
    for (class, settings) in script.classes.iter().enumerate() {
        let warm = samples
            .iter()
            .filter(|sample| sample.class == class && sample.age.is_none() && sample.work.is_finite());
        let works: Vec<f64> = warm.map(|sample| sample.work * 1e3).collect();
        if works.len() < MIN_TRIES {
            continue;
        }
        let (mean, spread) = ((&works).mean(), (&works).std_dev());
        let tries = works.len();
        means.insert(class, mean / 1e3);
        work_ms
            .insert(settings.name.clone(), FittedMean { mean, error: spread / (tries as f64).sqrt(), tries });
    }
    if work_ms.is_empty() {
        return Err(format!(
            "no class has {MIN_TRIES} tries that found a free core at a warm server: nothing can be fitted"
        ));
    }
    let warm_up = warm_up(&samples, &means);
    let arrivals = recording.arrivals();
    let total = arrivals.len().max(1) as f64;
    let rate = total / script.length.0.secs().max(1e-9);
    let count = |class: usize| arrivals.iter().filter(|(_, of, _)| *of == class).count() as f64;
    let shares: BTreeMap<String, f64> = script
        .classes
        .iter()
        .enumerate()
        .map(|(class, settings)| (settings.name.clone(), count(class) / total))
        .collect();
    for demand in &mut script.clients.demand {
        if let Some(fitted) = work_ms.get(&demand.class) {
            demand.work = Span(Nanos((fitted.mean * 1e3).round() as u64 * 1_000));
        }
    }
    if let Some(WarmUp { cold_share, warm_after_s, .. }) = warm_up {
        script.rules.cold_share = cold_share;
        script.rules.warm_after = Span(Nanos::from_secs(warm_after_s));
    }
    Ok(Fit { work_ms, warm_up, rate, shares, script })
}

/// The linear warm-up that best fits how much longer tries took by server age, by evaluating every pair on a
/// grid.
fn warm_up(samples: &[UnqueuedTry], means: &BTreeMap<usize, f64>) -> Option<WarmUp> {
    // Per bin: the server ages of its tries, and their times relative to the class's mean. Medians are
    // compared, since at a cold server the longest tries are given up, and their true length is never
    // observed.
    let mut bins: BTreeMap<u64, Vec<(f64, f64)>> = BTreeMap::new();
    let mut warm = Vec::new();
    for one in samples {
        let Some(mean) = means.get(&one.class) else { continue };
        match one.age {
            Some(age) => bins.entry((age / AGE_BIN_S) as u64).or_default().push((age, one.work / mean)),
            None => warm.push(one.work / mean),
        }
    }
    bins.retain(|_, bin| bin.len() >= MIN_BIN_TRIES);
    let tries: usize = bins.values().map(Vec::len).sum();
    if tries < MIN_TRIES || bins.len() < 2 {
        return None;
    }
    let warm_median = median(&mut warm);
    let squared_error = |share: f64, after: f64| {
        let spec = ServerSpec { cold_share: share, warm_after: Nanos::from_secs(after), ..BASE_SPEC };
        let bin = |tries: &Vec<(f64, f64)>| {
            // Each try is corrected by its own age: within a bin most ages are high, since a start is
            // reported late.
            let as_warm = |(age, ratio): &(f64, f64)| ratio * spec.warmth(Nanos::from_secs(*age));
            let mut ratios: Vec<f64> = tries.iter().map(as_warm).collect();
            (median(&mut ratios) / warm_median).ln().powi(2) * tries.len() as f64
        };
        bins.values().map(bin).sum::<f64>()
    };
    let grid = COLD_SHARES
        .flat_map(|share| AGES.map(move |after| (f64::from(share) / 50.0, f64::from(after) / 2.0)));
    let (cold_share, warm_after_s) =
        grid.min_by(|a, b| squared_error(a.0, a.1).total_cmp(&squared_error(b.0, b.1)))?;
    let youngest_s = bins.values().flatten().map(|(age, _)| *age).fold(f64::INFINITY, f64::min);
    Some(WarmUp { cold_share, warm_after_s, youngest_s, tries })
}

/// The upper median; reorders the values.
fn median(values: &mut [f64]) -> f64 {
    let middle = values.len() / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}

/// A server model in which only the warm-up matters, as the base for the evaluated ones.
const BASE_SPEC: ServerSpec = ServerSpec {
    cores: 1,
    speed: 1.0,
    queue: 0,
    cold_share: 1.0,
    warm_after: Nanos(0),
    fall_multiple: 0.0,
    fall_window: Nanos(0),
};

#[cfg(test)]
mod tests {
    use super::*;
    use crate::world::{play_with_options, RunOptions, ROUND_TRIP};
    use craneknot_rehearsal::script::{Trouble, TroubleKind};

    /// A fit of the model's own recording returns the parameters of the run.
    #[test]
    fn a_fit_recovers_the_parameters_of_the_run() {
        let mut script = Script::built_in().unwrap();
        script.length = Span::millis(160_000);
        let deploy = |at| Trouble {
            kind: TroubleKind::Deploy,
            at: Span::millis(at),
            length: Span::millis(4_000),
            part: 0.5,
            strength: None,
            zone: None,
            server_kind: None,
            unlisted: false,
        };
        script.troubles = (0..12).map(|k| deploy(2_000 + 12_000 * k)).collect();
        let played = play_with_options(&script, RunOptions::default());
        let mut recording =
            Recording::from_records("model", &script, played.begin, &played.records, &played.report);
        let true_work = script.clients.demand.clone();
        // Overwrites the true values in the recording's script, so that the fit can't read them there.
        recording.head.script.clients.demand.iter_mut().for_each(|demand| demand.work = Span::millis(777));
        (recording.head.script.rules.cold_share, recording.head.script.rules.warm_after) =
            (0.9, Span::millis(1));
        let fit = fit(&recording, ROUND_TRIP).unwrap();
        for demand in &true_work {
            let FittedMean { mean, error, .. } = fit.work_ms[&demand.class];
            let expected = demand.work.0.secs() * 1e3;
            assert!(
                (mean - expected).abs() < (4.0 * error).max(0.02 * expected),
                "{mean} ± {error}, expected {expected}"
            );
        }
        let warm_up = fit.warm_up.unwrap();
        assert!((warm_up.cold_share - script.rules.cold_share).abs() <= 0.12, "{warm_up:?}");
        let after = script.rules.warm_after.0.secs();
        assert!((warm_up.warm_after_s - after).abs() <= 0.25 * after, "{warm_up:?}");
        assert!((fit.rate / script.clients.rate - 1.0).abs() < 0.1);
    }

    #[test]
    fn an_empty_recording_is_rejected_with_a_cause() {
        let script = Script::built_in().unwrap();
        let played = play_with_options(&script, RunOptions::default());
        let mut recording =
            Recording::from_records("model", &script, played.begin, &played.records, &played.report);
        recording.lines.clear();
        assert!(fit(&recording, ROUND_TRIP).unwrap_err().contains("nothing can be fitted"));
    }
}
