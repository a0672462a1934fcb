//! Tests the estimator and the tuner on simulated servers whose capacities the tests know: queues with a few cores, and the
//! reports on them.

mod queue;

use std::collections::BTreeMap;
use std::sync::Arc;

use craneknot::interface::*;
use craneknot_solver::estimate::{Doubt, Estimator, ListedServer, TryReport, WarmUp};
use craneknot_solver::tuner::{
    Cause, Settings, State, WeightTuner, DEFAULT_CHURN, DEFAULT_CROSSING_COST, DEFAULT_MARGIN,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use queue::{Queue, PERIOD};

const WARM: WarmUp = WarmUp { cold_share: 0.2, warm_after: Nanos::from_millis(8_000) };

fn id(number: usize) -> ServerId {
    ServerId(Arc::from(format!("10.0.0.{number}:80").as_str()))
}

fn listed(kind: u16, weight: f64, started: Option<f64>) -> ListedServer {
    ListedServer { kind: KindId(kind), weight, started: started.map(Nanos::from_secs) }
}

/// Runs queues at their rates, and calls `look` with the time after each period.
fn run_queues(
    estimator: &mut Estimator,
    queues: &mut [Queue],
    rates: &[f64],
    seconds: (f64, f64),
    seed: u64,
    mut look: impl FnMut(f64, &Estimator),
) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut at = seconds.0;
    while at < seconds.1 {
        for (number, queue) in queues.iter_mut().enumerate() {
            if let Some(report) = queue.run_period(at, rates[number], &mut rng) {
                estimator.record(Nanos::from_secs(at + PERIOD), &id(number), &report);
            }
        }
        at += PERIOD;
        estimator.observe(Nanos::from_secs(at));
        look(at, estimator);
    }
}

fn median(estimator: &Estimator, at: f64, number: usize) -> f64 {
    estimator.capacity(Nanos::from_secs(at), &id(number)).unwrap().median
}

#[test]
fn estimates_are_close_at_low_and_high_utilization_and_intervals_contain_the_capacity() {
    let (mut inside, mut all, mut worst) = (0, 0, 0.0f64);
    for seed in 0..12 {
        for (fill, error) in [(0.15, 0.2), (0.4, 0.15), (0.7, 0.15), (0.95, 0.15)] {
            let mut queues =
                vec![Queue::new(1, 1.5), Queue::new(2, 1.0), Queue::new(4, 0.8), Queue::new(8, 2.0)];
            let mut estimator = Estimator::new(WARM);
            (0..4)
                .for_each(|number| estimator.insert(Nanos(0), &id(number), listed(number as u16, 1.0, None)));
            let rates: Vec<f64> = queues.iter().map(|queue| fill * queue.capacity()).collect();
            run_queues(&mut estimator, &mut queues, &rates, (0.0, 30.0), seed, |_, _| {});
            for (number, queue) in queues.iter().enumerate() {
                let capacity = estimator.capacity(Nanos::from_secs(30.0), &id(number)).unwrap();
                let away = (capacity.median / queue.capacity()).ln().abs();
                worst = worst.max(away);
                assert!(away < 2.0 * error, "seed {seed}, fill {fill}, server {number}: {capacity:?}");
                let (low, high) = capacity.interval();
                inside += usize::from((low..=high).contains(&queue.capacity()));
                all += 1;
            }
        }
    }
    // The interval is meant for 19 of 20 cases, but reports are smoothed and so not independent.
    assert!(inside as f64 >= 0.85 * all as f64, "{inside} of {all}, worst {worst}");
}

#[test]
fn a_halved_capacity_is_detected_within_five_seconds() {
    let mut queues = vec![Queue::new(2, 1.0)];
    let mut estimator = Estimator::new(WARM);
    estimator.insert(Nanos(0), &id(0), listed(0, 1.0, None));
    run_queues(&mut estimator, &mut queues, &[40.0], (0.0, 20.0), 5, |_, _| {});
    assert!((median(&estimator, 20.0, 0) / 100.0).ln().abs() < 0.25);
    queues[0].speed = 0.5;
    run_queues(&mut estimator, &mut queues, &[40.0], (20.0, 25.0), 6, |_, _| {});
    let halved = median(&estimator, 25.0, 0);
    assert!((halved / 50.0).ln().abs() < 0.3, "{halved}");
}

/// The server does all the work, but a third of the answers get lost: its load reports are right, and its useful capacity
/// is lower.
#[test]
fn lost_answers_reduce_the_useful_capacity() {
    let mut queues = vec![Queue::new(2, 1.0)];
    queues[0].loss = 0.33;
    let mut estimator = Estimator::new(WARM);
    estimator.insert(Nanos(0), &id(0), listed(0, 1.0, None));
    run_queues(&mut estimator, &mut queues, &[40.0], (0.0, 20.0), 7, |_, _| {});
    let capacity = estimator.capacity(Nanos::from_secs(20.0), &id(0)).unwrap();
    assert!((capacity.loss - 0.33).abs() < 0.12, "{capacity:?}");
    assert!(capacity.lower_bound(0.0) < 0.8 * capacity.median);
}

/// The server reports that it is idle while answers come late: its reports are not used, and the reason is given.
#[test]
fn contradictory_load_reports_are_not_used() {
    let mut queues = vec![Queue::new(2, 1.0), Queue::new(2, 1.0)];
    let mut estimator = Estimator::new(WARM);
    (0..2).for_each(|number| estimator.insert(Nanos(0), &id(number), listed(0, 1.0, None)));
    run_queues(&mut estimator, &mut queues, &[40.0, 40.0], (0.0, 10.0), 8, |_, _| {});
    (queues[1].reports_idle, queues[1].speed) = (true, 0.3);
    run_queues(&mut estimator, &mut queues, &[40.0, 40.0], (10.0, 16.0), 9, |_, _| {});
    assert_eq!(estimator.doubt(&id(1)), Some(Doubt::IdleAndLate));
    assert_eq!(estimator.doubt(&id(0)), None);
    // By its reports its capacity would be ten times the true one.
    assert!(median(&estimator, 16.0, 1) < 150.0, "{}", median(&estimator, 16.0, 1));
}

/// A new server has the estimate of its kind until it is observed.
#[test]
fn a_new_server_starts_with_the_estimate_of_its_kind() {
    let mut queues: Vec<Queue> = (0..6).map(|k| Queue::new(if k < 3 { 1 } else { 4 }, 1.0)).collect();
    let mut estimator = Estimator::new(WARM);
    let kind = |number: usize| u16::from(number >= 3);
    (0..6).for_each(|number| estimator.insert(Nanos(0), &id(number), listed(kind(number), 1.0, None)));
    let rates: Vec<f64> = queues.iter().map(|queue| 0.5 * queue.capacity()).collect();
    run_queues(&mut estimator, &mut queues, &rates, (0.0, 15.0), 10, |_, _| {});
    estimator.insert(Nanos::from_secs(15.0), &id(9), listed(1, 1.0, Some(15.0)));
    let capacity = estimator.capacity(Nanos::from_secs(15.0), &id(9)).unwrap();
    assert!((capacity.median / 200.0).ln().abs() < 0.25, "{capacity:?}");
    assert!((0.1..0.5).contains(&capacity.deviation), "{capacity:?}");
    assert_eq!(capacity.observations, 0);
}

/// Without load reports, response times and throughput give the capacity of full servers; idle ones keep their listed
/// weight.
#[test]
fn servers_without_load_reports_are_estimated_by_times_when_full() {
    let mut queues = vec![Queue::new(2, 1.0), Queue::new(2, 2.0)];
    queues.iter_mut().for_each(|queue| queue.reports_load = false);
    let mut estimator = Estimator::new(WARM);
    (0..2).for_each(|number| estimator.insert(Nanos(0), &id(number), listed(number as u16, 1.0, None)));
    run_queues(&mut estimator, &mut queues, &[30.0, 60.0], (0.0, 10.0), 11, |_, _| {});
    run_queues(&mut estimator, &mut queues, &[96.0, 190.0], (10.0, 40.0), 12, |_, _| {});
    for (number, truth) in [(0, 100.0f64), (1, 200.0)] {
        let found = median(&estimator, 40.0, number);
        assert!((found / truth).ln().abs() < 0.45, "{found} for {truth}");
    }
}

/// A few tries must not give a narrow estimate.
#[test]
fn estimates_of_four_tries_stay_wide() {
    let mut estimator = Estimator::new(WARM);
    estimator.insert(Nanos(0), &id(0), listed(0, 1.0, None));
    let report = LoadReport { busy: Some(0.1), in_flight: Some(0.2), service_time: None };
    let report = TryReport { tries: 4, unanswered: 0, latency: Nanos::from_millis(20), report };
    estimator.record(Nanos::from_secs(0.5), &id(0), &report);
    estimator.observe(Nanos::from_secs(2.6));
    let capacity = estimator.capacity(Nanos::from_secs(2.6), &id(0)).unwrap();
    assert!(capacity.deviation > 0.4, "{capacity:?}");
}

fn settings(zones: usize) -> Settings {
    let class = |importance, only: &[u16]| ClassSettings {
        latency_goal: Nanos::from_millis(400),
        deadline: Nanos::from_millis(1_500),
        importance,
        repeats: Repeats::Safe,
        only_zones: only.iter().map(|zone| ZoneId(*zone)).collect(),
        only_kinds: Vec::new(),
        home_only: false,
    };
    Settings {
        classes: vec![class(1.0, &[]), class(3.0, &[0])],
        zones,
        warm_up: WARM,
        proxies: 1,
        margin: DEFAULT_MARGIN,
        churn: DEFAULT_CHURN,
        crossing: (0..zones)
            .map(|a| (0..zones).map(|b| if a == b { 0.0 } else { DEFAULT_CROSSING_COST }).collect())
            .collect(),
    }
}

fn listing(number: usize, zone: u16, weight: f64, started: Option<f64>) -> Listing {
    Listing {
        server: id(number),
        zone: ZoneId(zone),
        kind: KindId(0),
        cell: CellId(0),
        weight: Some(weight),
        started: started.map(Nanos::from_secs),
        is_start_certain: true,
        readiness: Readiness::Ready,
    }
}

/// Weights as the decisions would have them, from the lists that a tuner returns.
#[derive(Default)]
struct Weights(BTreeMap<ServerId, f64>);

impl Weights {
    fn apply(&mut self, events: &[Event]) -> usize {
        let mut changes = 0;
        for event in events {
            let Event::List { entries, .. } = event else { continue };
            for entry in entries.iter() {
                let weight = entry.weight.unwrap();
                assert!(weight.is_finite() && weight > 0.0, "{entry:?}");
                changes += usize::from(self.0.insert(entry.server.clone(), weight) != Some(weight));
            }
        }
        changes
    }
}

/// Runs servers with the traffic split by the weights of a tuner; returns how many weights changed.
fn run_tuned(
    tuner: &mut WeightTuner,
    weights: &mut Weights,
    queues: &mut [Queue],
    rate: f64,
    seconds: (f64, f64),
    rng: &mut Pcg32,
) -> usize {
    let mut at = seconds.0;
    let mut changes = 0;
    while at < seconds.1 {
        let sum: f64 = (0..queues.len()).map(|number| weights.0[&id(number)]).sum();
        let mut events = Vec::new();
        for (number, queue) in queues.iter_mut().enumerate() {
            let report = queue.run_period(at, rate * weights.0[&id(number)] / sum, rng);
            events.extend(report.map(|report| Event::TriesReported {
                server: id(number),
                zone: ZoneId(0),
                tries: report.tries,
                unanswered: report.unanswered,
                span: Nanos::from_secs(PERIOD),
                latency: report.latency,
                report: report.report,
            }));
        }
        let arrived = (rate * PERIOD) as u64;
        events.push(Event::Demand {
            proxy: ProxyId(0),
            class: ClassId(0),
            arrived,
            unanswered: 0,
            span: Nanos::from_secs(PERIOD),
        });
        at += PERIOD;
        let before = events.len();
        tuner.step(Nanos::from_secs(at), &mut events);
        changes += weights.apply(&events[before..]);
    }
    changes
}

fn new_tuner(queues: &[Queue]) -> (WeightTuner, Weights) {
    let mut tuner = WeightTuner::new(settings(1), Nanos(0));
    let mut weights = Weights::default();
    let entries: Arc<[Listing]> = (0..queues.len()).map(|number| listing(number, 0, 1.0, None)).collect();
    let mut events = vec![
        Event::ProxyJoined { proxy: ProxyId(0), zone: ZoneId(0), usual_rate: 1.0 },
        Event::List { scope: ListScope::Whole, entries },
    ];
    tuner.step(Nanos(1), &mut events);
    weights.apply(&events);
    (tuner, weights)
}

/// Servers of different capacity start with equal weights, so that the smallest one is overloaded at first. After its queue
/// has drained, utilizations are close to one another and weights stay the same.
#[test]
fn weights_follow_capacities_and_stay_when_nothing_changes() {
    for seed in 0..4 {
        let mut queues = vec![Queue::new(1, 0.8), Queue::new(2, 1.0), Queue::new(4, 1.0), Queue::new(2, 2.0)];
        let whole: f64 = queues.iter().map(Queue::capacity).sum();
        let (mut tuner, mut weights) = new_tuner(&queues);
        let mut rng = Pcg32::seed_from_u64(seed);
        run_tuned(&mut tuner, &mut weights, &mut queues, 0.5 * whole, (0.0, 25.0), &mut rng);
        let sum: f64 = weights.0.values().sum();
        for (number, queue) in queues.iter().enumerate() {
            let fill = 0.5 * whole * weights.0[&id(number)] / sum / queue.capacity();
            assert!((0.25..0.75).contains(&fill), "seed {seed}: server {number} at {fill}");
        }
        let changes = run_tuned(&mut tuner, &mut weights, &mut queues, 0.5 * whole, (25.0, 85.0), &mut rng);
        assert!(changes <= 12, "seed {seed}: {changes} changes in a minute in which nothing changed");
    }
}

#[test]
fn a_halved_server_loses_half_its_weight_and_gets_it_back() {
    let mut queues = vec![Queue::new(4, 1.0), Queue::new(4, 1.0), Queue::new(4, 1.0)];
    let (mut tuner, mut weights) = new_tuner(&queues);
    let mut rng = Pcg32::seed_from_u64(3);
    run_tuned(&mut tuner, &mut weights, &mut queues, 240.0, (0.0, 20.0), &mut rng);
    queues[1].speed = 0.5;
    run_tuned(&mut tuner, &mut weights, &mut queues, 240.0, (20.0, 28.0), &mut rng);
    let part = weights.0[&id(1)] / weights.0[&id(0)];
    assert!((0.35..0.7).contains(&part), "{part}");
    assert!(tuner
        .history()
        .any(|change| change.cause == Cause::Changed && change.server == id(1).0.to_string()));
    queues[1].speed = 1.0;
    run_tuned(&mut tuner, &mut weights, &mut queues, 240.0, (28.0, 45.0), &mut rng);
    let part = weights.0[&id(1)] / weights.0[&id(0)];
    assert!((0.75..1.3).contains(&part), "{part}");
}

/// Two coordinators that see a large and a small part of the same traffic come to the same estimates.
#[test]
fn coordinators_that_see_different_traffic_agree() {
    let mut queues = [Queue::new(1, 1.0), Queue::new(4, 1.0)];
    let mut rng = Pcg32::seed_from_u64(4);
    let mut estimators = [Estimator::new(WARM), Estimator::new(WARM)];
    for estimator in &mut estimators {
        (0..2).for_each(|number| estimator.insert(Nanos(0), &id(number), listed(number as u16, 1.0, None)));
    }
    for step in 0..60 {
        let at = step as f64 * PERIOD;
        for (number, queue) in queues.iter_mut().enumerate() {
            let Some(report) = queue.run_period(at, 0.5 * queue.capacity(), &mut rng) else { continue };
            let now = Nanos::from_secs(at + PERIOD);
            estimators[0].record(now, &id(number), &report);
            estimators[1].record(now, &id(number), &TryReport { tries: report.tries / 5, ..report });
        }
        estimators.iter_mut().for_each(|one| drop(one.observe(Nanos::from_secs(at + PERIOD))));
    }
    for number in 0..2 {
        let (one, other) = (median(&estimators[0], 30.0, number), median(&estimators[1], 30.0, number));
        assert!((one / other).ln().abs() < 0.25, "{one} and {other}");
    }
}

/// Any events in any order cause no panic and only positive finite weights, and the same events give the same weights.
#[test]
fn random_events_never_lead_to_an_invalid_weight() {
    for seed in 0..60 {
        let run = || {
            let mut rng = Pcg32::seed_from_u64(seed);
            let mut tuner = WeightTuner::new(settings(2), Nanos(0));
            let mut weights = Weights::default();
            let mut now = Nanos(0);
            for _ in 0..400 {
                now = now + Nanos(rng.random_range(0..900_000_000));
                let number = rng.random_range(0..8usize);
                let wild =
                    |rng: &mut Pcg32| [0.0, f64::NAN, f64::INFINITY, -1.0, 0.3, 1e9][rng.random_range(0..6)];
                let event = match rng.random_range(0..6) {
                    0 => {
                        let mut one = listing(number, rng.random_range(0..3), wild(&mut rng), None);
                        one.readiness = [Readiness::Ready, Readiness::Draining, Readiness::Removed]
                            [rng.random_range(0..3)];
                        one.started = rng.random_bool(0.5).then_some(now);
                        let scope =
                            [ListScope::Whole, ListScope::Changes, ListScope::Failed][rng.random_range(0..3)];
                        Event::List { scope, entries: [one].into() }
                    }
                    1 => Event::ProxyJoined {
                        proxy: ProxyId(rng.random_range(0..4)),
                        zone: ZoneId(rng.random_range(0..3)),
                        usual_rate: wild(&mut rng),
                    },
                    2 => Event::ProxyLeft { proxy: ProxyId(rng.random_range(0..4)) },
                    3 => Event::Demand {
                        proxy: ProxyId(rng.random_range(0..4)),
                        class: ClassId(rng.random_range(0..4)),
                        arrived: rng.random_range(0..1_000_000),
                        unanswered: 0,
                        span: Nanos(rng.random_range(0..2_000_000_000)),
                    },
                    _ => Event::TriesReported {
                        server: id(number),
                        zone: ZoneId(0),
                        tries: rng.random_range(0..200),
                        unanswered: rng.random_range(0..300),
                        span: Nanos(0),
                        latency: Nanos(rng.random_range(0..2_000_000_000)),
                        report: LoadReport {
                            busy: Some(wild(&mut rng)),
                            in_flight: Some(wild(&mut rng)),
                            service_time: None,
                        },
                    },
                };
                let mut events = vec![event];
                let before = events.len();
                tuner.step(now, &mut events);
                weights.apply(&events[before..]);
            }
            weights.0.into_iter().collect::<Vec<_>>()
        };
        assert_eq!(run(), run(), "seed {seed}");
    }
}

#[test]
fn weights_are_as_listed_before_the_first_estimate() {
    let mut tuner = WeightTuner::new(settings(1), Nanos(0));
    let entries: Arc<[Listing]> = [listing(0, 0, 0.7, None)].into();
    let mut events = vec![Event::List { scope: ListScope::Whole, entries: entries.clone() }];
    tuner.step(Nanos::from_secs(9.0), &mut events);
    assert_eq!(events, [Event::List { scope: ListScope::Whole, entries }]);
    assert_eq!(tuner.weight_of(&id(0)).map(|server| server.2), Some(State::Listed));
}
