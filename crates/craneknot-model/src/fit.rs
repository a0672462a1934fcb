//! What cannot be seen is fitted from a recording: the work of a class's operations, and how servers warm up.
//!
//! A try that came to a server with a free core started at once, and took its work's time and two hops. Whether a core was
//! free is known from the other tries under way there, and does not hang on the try's own work: these tries are a fair
//! sample. A server whose cores and speed the script tells then gives the work. What took as long at a server that had just
//! started tells how warm it was.

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
pub struct Fitted {
    pub mean: f64,
    pub error: f64,
    pub tries: usize,
}

#[derive(Clone, Debug, Serialize)]
pub struct Fit {
    /// Work of an operation by class, ms on a core of speed 1.
    pub work_ms: BTreeMap<String, Fitted>,
    /// Part of its capacity that a server has at its start, and when it has all of it; nothing: too few tries were seen.
    pub warm_up: Option<WarmUp>,
    /// First tries a second that were asked for.
    pub rate: f64,
    /// Part of all operations by class.
    pub shares: BTreeMap<String, f64>,
    /// The script with all that in place of what it said.
    #[serde(skip)]
    pub script: Script,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WarmUp {
    pub cold_share: f64,
    pub warm_after_s: f64,
    /// Of the youngest that were seen, s: what was before it goes on in a straight line.
    pub youngest_s: f64,
    pub tries: usize,
}

const TRIES_LEAST: usize = 30; // of a class or of cold servers: fewer tell too little
const AGE_BIN: f64 = 1.0; // s; cold servers' tries are taken together by age
const BIN_LEAST: usize = 5; // tries in a bin
const AGE_MOST: f64 = 90.0; // s; after that a server counts as warm
const SHARES: std::ops::RangeInclusive<u32> = 1..=50; // cold shares tried, in fiftieths
const AGES: std::ops::RangeInclusive<u32> = 1..=120; // ages of full warmth tried, in halves of a second

/// A try that started at once.
struct Start {
    class: usize,
    /// Its time at a core of speed 1, s; without end where it was given up.
    work: f64,
    /// Of the server, if it was seen to start.
    age: Option<f64>,
}

/// Tries that found a free core, at servers that no trouble but a start had struck.
fn starts(recording: &Recording, hops: Nanos) -> Vec<Start> {
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
    tries.sort_by_key(|one| (one.0, one.1, one.2));
    // From the first trouble but a start on, a server's times are not its own.
    let mut spoilt: BTreeMap<u32, f64> = BTreeMap::new();
    for (at, server, act) in &plan.server_acts {
        use craneknot_rehearsal::plan::ServerAct;
        let strange = match act {
            ServerAct::Start | ServerAct::Die => false,
            ServerAct::Silence | ServerAct::Errors(_) | ServerAct::Hang(_) => true,
            ServerAct::Slow(_) | ServerAct::LoseAnswers(_) => true,
        };
        if strange {
            let first = spoilt.entry(*server as u32).or_insert(at.secs());
            *first = first.min(at.secs());
        }
    }
    let mut under_way: BTreeMap<u32, BTreeSet<(i64, usize)>> = BTreeMap::new();
    let mut found = Vec::new();
    for (number, (begin, end, server, class, how)) in tries.iter().enumerate() {
        let Some(planned) = plan.servers.get(*server as usize) else { continue };
        let there = under_way.entry(*server).or_default();
        while there.first().is_some_and(|(until, _)| until < begin) {
            there.pop_first();
        }
        let free = there.len() < usize::from(planned.group.cores);
        there.insert((*end, number));
        let whole = spoilt.get(server).is_none_or(|first| (*begin as f64) < first * 1e6);
        let took = (end - begin) as f64 * 1e-6 - hops.secs();
        if !free || *how == How::Unrun || !whole || took <= 0.0 {
            continue;
        }
        let since = started.get(server).into_iter().flatten().rfind(|at| *at <= begin);
        let age = since.map(|since| (begin - since) as f64 * 1e-6).filter(|age| *age < AGE_MOST);
        let work = match how {
            How::Good => took * planned.group.speed,
            // Given up: longer than was waited for.
            How::Unrun | How::Failed => f64::INFINITY,
        };
        found.push(Start { class: *class, work, age });
    }
    found
}

/// Fits a recording. `hops`: what a try takes beside its work on the way there and back, in the model.
pub fn fit(recording: &Recording, hops: Nanos) -> Result<Fit, String> {
    let mut script = recording.head.script.clone();
    let starts = starts(recording, hops);
    let mut work_ms = BTreeMap::new();
    let mut means: BTreeMap<usize, f64> = BTreeMap::new();
    for (class, settings) in script.classes.iter().enumerate() {
        let warm =
            starts.iter().filter(|one| one.class == class && one.age.is_none() && one.work.is_finite());
        let works: Vec<f64> = warm.map(|one| one.work * 1e3).collect();
        if works.len() < TRIES_LEAST {
            continue;
        }
        let (mean, spread) = ((&works).mean(), (&works).std_dev());
        let tries = works.len();
        means.insert(class, mean / 1e3);
        work_ms.insert(settings.name.clone(), Fitted { mean, error: spread / (tries as f64).sqrt(), tries });
    }
    if work_ms.is_empty() {
        return Err(format!(
            "no class has {TRIES_LEAST} tries that found a free core at a warm server: nothing can be fitted"
        ));
    }
    let warm_up = warm_up(&starts, &means);
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

/// The straight warm-up that fits best how much longer tries took by age: every pair on a grid is tried.
fn warm_up(starts: &[Start], means: &BTreeMap<usize, f64>) -> Option<WarmUp> {
    // Of each bin: ages of its tries, and what they took of the usual time. Medians, since at a cold server the longest tries
    // are given up, and their true length is never seen.
    let mut bins: BTreeMap<u64, Vec<(f64, f64)>> = BTreeMap::new();
    let mut warm = Vec::new();
    for one in starts {
        let Some(mean) = means.get(&one.class) else { continue };
        match one.age {
            Some(age) => bins.entry((age / AGE_BIN) as u64).or_default().push((age, one.work / mean)),
            None => warm.push(one.work / mean),
        }
    }
    bins.retain(|_, bin| bin.len() >= BIN_LEAST);
    let tries: usize = bins.values().map(Vec::len).sum();
    if tries < TRIES_LEAST || bins.len() < 2 {
        return None;
    }
    let usual = median(&mut warm);
    let miss = |share: f64, after: f64| {
        let make = ServerSpec { cold_share: share, warm_after: Nanos::from_secs(after), ..NONE };
        let bin = |tries: &Vec<(f64, f64)>| {
            // By their own ages: within a bin they come late, since news of a start is late.
            let as_warm = |(age, part): &(f64, f64)| part * make.warmth(Nanos::from_secs(*age));
            let mut parts: Vec<f64> = tries.iter().map(as_warm).collect();
            (median(&mut parts) / usual).ln().powi(2) * tries.len() as f64
        };
        bins.values().map(bin).sum::<f64>()
    };
    let grid =
        SHARES.flat_map(|share| AGES.map(move |after| (f64::from(share) / 50.0, f64::from(after) / 2.0)));
    let (cold_share, warm_after_s) = grid.min_by(|a, b| miss(a.0, a.1).total_cmp(&miss(b.0, b.1)))?;
    let youngest_s = bins.values().flatten().map(|(age, _)| *age).fold(f64::INFINITY, f64::min);
    Some(WarmUp { cold_share, warm_after_s, youngest_s, tries })
}

fn median(values: &mut [f64]) -> f64 {
    let middle = values.len() / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}

const NONE: ServerSpec = ServerSpec {
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

    /// The model's own recording gives back what it was played with.
    #[test]
    fn what_was_hidden_is_found_again() {
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
        // The recording's own script is no help.
        recording.head.script.clients.demand.iter_mut().for_each(|demand| demand.work = Span::millis(777));
        (recording.head.script.rules.cold_share, recording.head.script.rules.warm_after) =
            (0.9, Span::millis(1));
        let fit = fit(&recording, ROUND_TRIP).unwrap();
        for demand in &true_work {
            let Fitted { mean, error, .. } = fit.work_ms[&demand.class];
            let truth = demand.work.0.secs() * 1e3;
            assert!(
                (mean - truth).abs() < (4.0 * error).max(0.02 * truth),
                "{mean} ± {error}, truly {truth}"
            );
        }
        let warm_up = fit.warm_up.unwrap();
        assert!((warm_up.cold_share - script.rules.cold_share).abs() <= 0.12, "{warm_up:?}");
        let after = script.rules.warm_after.0.secs();
        assert!((warm_up.warm_after_s - after).abs() <= 0.25 * after, "{warm_up:?}");
        assert!((fit.rate / script.clients.rate - 1.0).abs() < 0.1);
    }

    #[test]
    fn a_recording_with_nothing_in_it_says_so() {
        let script = Script::built_in().unwrap();
        let played = play_with_options(&script, RunOptions::default());
        let mut recording =
            Recording::from_records("model", &script, played.begin, &played.records, &played.report);
        recording.lines.clear();
        assert!(fit(&recording, ROUND_TRIP).unwrap_err().contains("nothing can be fitted"));
    }
}
