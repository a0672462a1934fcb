//! Checks the simulation engine against closed-form results, and its own consistency: each operation ends
//! once.

use std::collections::BTreeMap;

use craneknot::interface::Nanos;
use craneknot_model::baseline::Selector;
use craneknot_model::experiment::Estimate;
use craneknot_model::world::{play_with_options, RunOptions, RunResult, ROUND_TRIP};
use craneknot_rehearsal::record::What;
use craneknot_rehearsal::Script;
use craneknot_settings::Span;

/// Runs one server with the given number of cores and exponential work, without rejections or timeouts.
fn queue(cores: u16, load: f64, seed: u64) -> RunResult {
    let mut script = Script::built_in().unwrap();
    (script.seed, script.length, script.troubles) = (seed, Span::millis(400_000), Vec::new());
    script.classes.truncate(1);
    (script.classes[0].latency_goal, script.classes[0].hard_stop) =
        (Span::millis(60_000), Span::millis(60_000));
    (script.classes[0].only_zones, script.classes[0].only_kinds) = (Vec::new(), Vec::new());
    script.servers.truncate(1);
    let server = &mut script.servers[0];
    (server.count, server.cores, server.speed, server.queue) = (1, cores, 1.0, 1_000_000);
    script.clients.demand.truncate(1);
    (script.clients.demand[0].work, script.clients.demand[0].shape) = (Span::millis(20), 1.0);
    script.clients.try_part = 1.0;
    script.clients.rate = load * f64::from(cores) / 0.020;
    script.habits.ejects = 0;
    play_with_options(&script, RunOptions { selector: Selector::Random, ..RunOptions::default() })
}

/// Mean time in an M/M/c system by Erlang's formula, in seconds.
fn erlang_response_time(cores: u16, load: f64) -> f64 {
    let (c, a) = (f64::from(cores), load * f64::from(cores));
    let term = |k: u16| (1..=k).fold(1.0, |product, j| product * a / f64::from(j));
    let last = term(cores) / (1.0 - load);
    let waits = last / ((0..cores).map(term).sum::<f64>() + last);
    0.020 + waits * 0.020 / (c * (1.0 - load))
}

fn response_times(played: &RunResult) -> Vec<f64> {
    let took = |what: &What| match what {
        What::Tried { took, .. } => Some((*took).secs() - ROUND_TRIP.secs()),
        _ => None,
    };
    played.records.iter().filter_map(|record| took(&record.what)).collect()
}

#[test]
fn response_times_match_erlangs_formula() {
    for (cores, load) in [(1, 0.5), (1, 0.8), (4, 0.7), (16, 0.9)] {
        let mean = |seed| {
            let response_times = response_times(&queue(cores, load, seed));
            response_times.iter().sum::<f64>() / response_times.len() as f64
        };
        let estimate = Estimate::of(&(1..=8).map(mean).collect::<Vec<f64>>());
        let (expected, half) = (erlang_response_time(cores, load), estimate.half_width.unwrap());
        // Twice the 95% interval, since all four cases must hold, with any seeds.
        assert!(
            (estimate.mean - expected).abs() < 2.0 * half,
            "M/M/{cores} at {load}: {estimate}, expected {expected}"
        );
        assert!(half < 0.15 * expected, "{half}");
    }
}

/// Little's law: the mean number of operations in flight is the arrival rate times the mean time in the
/// system.
#[test]
fn littles_law_holds_in_every_run() {
    let played = queue(4, 0.8, 3);
    let (mut area, mut in_flight, mut last) = (0.0, 0.0, Nanos(0));
    let (mut arrived, mut stay) = (0.0, 0.0);
    for record in &played.records {
        area += in_flight * (record.at - last).secs();
        match &record.what {
            What::Sent { .. } => (in_flight, arrived) = (in_flight + 1.0, arrived + 1.0),
            What::Tried { took, .. } => (in_flight, stay) = (in_flight - 1.0, stay + (*took).secs()),
            _ => {}
        }
        last = record.at;
    }
    assert!(in_flight <= 0.0 + 40.0 && arrived > 10_000.0);
    // The time in the system of operations still in flight at the end isn't counted.
    assert!((area / stay - 1.0).abs() < 0.01, "{area} {stay}");
}

/// In any run, a requested operation ends exactly once, and none ends that wasn't requested; every try is sent
/// by a proxy that is up.
#[test]
fn each_operation_ends_once() {
    for (seed, policy) in [
        (1, Selector::Coordinators),
        (2, Selector::Coordinators),
        (3, Selector::Random),
        (4, Selector::LeastLoaded),
    ] {
        let script = Script { seed, ..Script::built_in().unwrap() };
        let played = play_with_options(&script, RunOptions { selector: policy, ..RunOptions::default() });
        let mut open: BTreeMap<u64, u32> = BTreeMap::new();
        let mut up = vec![false; script.proxy_count()];
        for record in &played.records {
            match &record.what {
                What::Asked { op, .. } => assert_eq!(open.insert(op.0, 0), None),
                What::Sent { op, proxy, .. } => {
                    assert!(up[*proxy], "sent by a proxy that is down");
                    *open.get_mut(&op.0).expect("a try of an operation in progress") += 1;
                }
                What::Ended { op, .. } => assert!(open.remove(&op.0).is_some(), "{op:?} ended twice"),
                What::Proxy { proxy, up: proxy_is_up } => up[*proxy] = *proxy_is_up,
                _ => {}
            }
        }
        // The run continues for longer than any hard stop after the last operation, so none is left.
        assert!(open.is_empty(), "{} operations left", open.len());
    }
}
