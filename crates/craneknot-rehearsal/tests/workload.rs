//! Compares the workload model with closed formulas and checks that it detects breaches of its rules.

use std::time::Duration;

use craneknot_rehearsal::workload::{
    ClassSpec, Order, Outcome, Pick, Reason, Semantics, ServerAction, ServerChange, ServerSpec, Summary,
    Tally, WorkDistribution, Workload, WorkloadError, WorkloadSettings,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const SEED: u64 = 7;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn server(number: usize, zone: usize, cores: f64) -> ServerSpec {
    ServerSpec { id: format!("s-{number}"), zone, cores, speed: 1.0, listed_weight: cores }
}

fn class(work: f64, latency_goal: f64, deadline: f64) -> ClassSpec {
    ClassSpec {
        name: "lookup".to_owned(),
        share: 1.0,
        work: seconds(work),
        latency_goal: seconds(latency_goal),
        deadline: seconds(deadline),
        semantics: Semantics::Safe,
        only_zone: None,
    }
}

/// Servers of two cores in two zones, one class, and a channel without random delays.
fn settings(servers: usize, proxies: u16) -> WorkloadSettings {
    WorkloadSettings {
        servers: (0..servers).map(|number| server(number, number % 2, 2.0)).collect(),
        classes: vec![class(0.1, 0.4, 1.0)],
        proxies,
        zones: 2,
        load: 0.4,
        push_jitter: 0.0,
        ..WorkloadSettings::default()
    }
}

/// Starts all servers, lists them at all coordinators and joins the proxies to the coordinators in turn.
fn running(settings: WorkloadSettings) -> Workload {
    let (proxies, coordinators) = (settings.proxies, settings.coordinators);
    let ids: Vec<String> = settings.servers.iter().map(|server| server.id.clone()).collect();
    let mut workload = Workload::new(settings, SEED);
    for id in &ids {
        workload.start_server(id).unwrap();
        (0..coordinators).for_each(|coordinator| workload.notify_server_ready(coordinator, id).unwrap());
    }
    for proxy in 0..proxies {
        workload.join(proxy, usize::from(proxy) % coordinators).unwrap();
    }
    workload
}

fn set_line(table: u16, server: &str, weight: f64) -> Order {
    Order::SetLine { table, server: server.to_owned(), weight }
}

fn bind(proxy: u16, table: u16) -> Order {
    Order::Bind { proxy, table, classes: Vec::new() }
}

fn admit_all(level: f64, retry: u8) -> Order {
    Order::Admit { table: None, classes: Vec::new(), level, retry }
}

fn apply(workload: &mut Workload, coordinator: usize, orders: &[Order]) {
    for order in orders {
        workload.apply(coordinator, order).unwrap();
    }
}

fn assert_conserved(summary: &Summary) {
    assert_eq!(summary.total.accounted(), summary.total.offered);
    assert_eq!(summary.reasons.values().sum::<u64>(), summary.total.offered);
    assert_eq!(summary.lost_operations.len() as u64, summary.total.lost());
    let parts = |tallies: Vec<Tally>| -> u64 { tallies.iter().map(Tally::accounted).sum() };
    assert_eq!(parts(summary.by_class.clone()), summary.total.offered);
    assert_eq!(parts(summary.windows.iter().map(|window| window.total).collect()), summary.total.offered);
}

fn count(summary: &Summary, outcome: Outcome, reason: Reason) -> u64 {
    summary.reasons.get(&(outcome, reason)).copied().unwrap_or(0)
}

/// A run with random server changes, streams and orders.
fn random_run(seed: u64) -> Summary {
    let mut settings = settings(10, 24);
    settings.coordinators = 3;
    settings.load = 0.9;
    settings.push_jitter = 0.5;
    settings.client_repeats = (seed % 3) as u8;
    settings.pick =
        [Pick::WeightedRandom, Pick::WeightedRoundRobin, Pick::TwoChoices][(seed / 3 % 3) as usize];
    settings.home_only = vec![false, seed % 2 == 1];
    settings.classes.push(ClassSpec {
        semantics: Semantics::Unsafe,
        only_zone: Some(1),
        ..class(0.05, 0.2, 0.6)
    });
    let mut workload = running(settings);
    let mut rng = Pcg32::seed_from_u64(seed);
    for step in 1..600 {
        workload.advance(seconds(f64::from(step) * 0.1));
        random_step(&mut workload, &mut rng);
    }
    workload.stop_arrivals();
    workload.advance(seconds(70.0));
    workload.summary()
}

fn random_step(workload: &mut Workload, rng: &mut Pcg32) {
    let id = format!("s-{}", rng.random_range(0..10));
    let coordinator = rng.random_range(0..3);
    let proxy = rng.random_range(0..24);
    match rng.random_range(0..16) {
        0 => workload.start_server(&id).unwrap(),
        1 => workload.drain_server(&id).unwrap(),
        2 => workload.stop_server(&id).unwrap(),
        3 => workload.silence_server(&id, rng.random()).unwrap(),
        4 => workload.join(proxy, coordinator).unwrap(),
        5 => workload.leave(proxy).unwrap(),
        6 => workload.stream_ended_by_coordinator(proxy).unwrap(),
        7 => workload.notify_server_lost(coordinator, &id).unwrap(),
        8 => workload.notify_server_ready(coordinator, &id).unwrap(),
        9 => apply(
            workload,
            coordinator,
            &[set_line(3, &id, rng.random()), Order::Mark { mark: 1, all: true }],
        ),
        10 => apply(workload, coordinator, &[admit_all(rng.random_range(0.0..9.0), rng.random_range(0..4))]),
        11 => workload.stop_proxy(proxy).unwrap(),
        12 | 13 => workload.restart_proxy(proxy).unwrap(),
        14 => workload.set_server_errors(&id, rng.random()).unwrap(),
        _ => drop(workload.apply(coordinator, &bind(proxy, 3))),
    }
    if rng.random_bool(0.01) {
        workload.coordinator_ended(coordinator).unwrap();
    }
}

#[test]
fn every_operation_has_exactly_one_outcome() {
    for seed in 0..20 {
        let summary = random_run(seed);
        assert!(summary.total.offered > 1000, "seed {seed}");
        assert_eq!(summary.total.in_flight, 0, "seed {seed}");
        assert_conserved(&summary);
    }
}

#[test]
fn equal_seeds_give_equal_results() {
    assert_eq!(random_run(3), random_run(3));
    assert_ne!(random_run(3), random_run(4));
}

/// Mean time in a system of one server with one core, from the reports of the only proxy.
fn mean_time_in_system(work_distribution: WorkDistribution, slots_per_core: f64, load: f64) -> f64 {
    let settings = WorkloadSettings {
        servers: vec![server(0, 0, 1.0)],
        classes: vec![class(0.01, 10.0, 100.0)],
        proxies: 1,
        load,
        work_distribution,
        slots_per_core,
        waiting_per_core: 1e6,
        slowdown_past_knee: 0.0,
        full_connections_tax: 0.0,
        handshake_work: Duration::ZERO,
        same_zone_delay: Duration::ZERO,
        ..WorkloadSettings::default()
    };
    let mut workload = running(settings);
    workload.advance(seconds(4000.0));
    let reports = workload.take_upstream_reports(0);
    reports[0].mean_round_trip.unwrap().as_secs_f64()
}

#[test]
fn time_in_system_agrees_with_queueing_theory() {
    const ALLOWED_ERROR: f64 = 0.05;
    let (work, load) = (0.01, 0.6);
    let exponential = work / (1.0 - load);
    let constant = work * (1.0 + load / (2.0 * (1.0 - load)));
    let cases = [
        (WorkDistribution::Exponential, 1.0, exponential),
        (WorkDistribution::Exponential, 1e6, exponential),
        (WorkDistribution::Constant, 1.0, constant),
        (WorkDistribution::Constant, 1e6, exponential),
    ];
    for (distribution, slots, expected) in cases {
        let measured = mean_time_in_system(distribution, slots, load);
        let error = (measured / expected - 1.0).abs();
        assert!(error < ALLOWED_ERROR, "{distribution:?}, {slots} slots: {measured} s, not {expected} s");
    }
}

#[test]
fn messages_are_sent_sequentially_at_the_channel_rate() {
    let settings = WorkloadSettings {
        lines_per_second: 100.0,
        lines_per_message: 4.0,
        queue_limit: 1e6,
        ..settings(4, 5)
    };
    let (pace, delay) = (settings.lines_per_second, settings.push_delay.as_secs_f64());
    let apply_per_line = settings.apply_per_line.as_secs_f64();
    let mut workload = running(settings);
    apply(&mut workload, 0, &[Order::Mark { mark: 9, all: true }]);
    workload.advance(seconds(5.0));
    let acknowledgements = workload.take_acknowledgements(0);
    assert_eq!(
        acknowledgements.iter().map(|acknowledgement| acknowledgement.proxy).collect::<Vec<_>>(),
        [0, 1, 2, 3, 4]
    );
    for (index, acknowledgement) in acknowledgements.iter().enumerate() {
        let lines = 5.0 * (index + 1) as f64;
        let expected = lines / pace + delay + apply_per_line;
        assert!((acknowledgement.latency.as_secs_f64() - expected).abs() < 1e-6, "{acknowledgement:?}");
    }
    assert!((workload.summary().longest_queue[0] - 25.0).abs() < 1e-9);
}

#[test]
fn marks_are_acknowledged_in_order() {
    let mut workload = running(WorkloadSettings { push_jitter: 1.0, ..settings(4, 6) });
    for mark in 0..40 {
        workload.advance(seconds(f64::from(mark) * 0.01));
        apply(&mut workload, 0, &[Order::Mark { mark, all: true }]);
    }
    workload.advance(seconds(5.0));
    let acknowledgements = workload.take_acknowledgements(0);
    for proxy in 0..6 {
        let marks = acknowledgements
            .iter()
            .filter(|acknowledgement| acknowledgement.proxy == proxy)
            .map(|acknowledgement| acknowledgement.mark);
        assert!(marks.eq(0..40), "proxy {proxy}");
    }
    assert_eq!(workload.summary().marks_acknowledged, 240);
}

#[test]
fn a_mark_not_for_all_reaches_only_the_proxies_of_its_batch() {
    let mut workload = running(settings(4, 6));
    apply(&mut workload, 0, &[bind(2, 1), Order::Mark { mark: 5, all: false }]);
    workload.advance(seconds(2.0));
    let acknowledgements = workload.take_acknowledgements(0);
    assert_eq!(acknowledgements.iter().map(|acknowledgement| acknowledgement.proxy).collect::<Vec<_>>(), [2]);
}

#[test]
fn messages_in_transit_are_lost_with_the_stream() {
    let mut workload = running(settings(4, 2));
    apply(&mut workload, 0, &[bind(0, 1), bind(1, 1), Order::Mark { mark: 5, all: true }]);
    workload.advance(seconds(0.1));
    workload.leave(0).unwrap();
    workload.join(0, 0).unwrap();
    workload.advance(seconds(2.0));
    let summary = workload.summary();
    assert_eq!((summary.marks_acknowledged, summary.marks_lost, summary.marks_waiting), (1, 1, 0));
    assert!(workload.holds_only_standing_table(0));
    assert!(!workload.holds_only_standing_table(1));
}

#[test]
fn an_unbound_proxy_keeps_its_standing_table() {
    let mut workload = running(settings(6, 4));
    workload.advance(seconds(30.0));
    assert!(workload.holds_only_standing_table(0));
    let summary = workload.summary();
    assert!(summary.total.in_time > 100);
    assert_eq!(summary.total.refused + summary.total.failed, 0);
    assert!(summary.no_line_periods.is_empty());
}

#[test]
fn a_proxy_without_a_stream_keeps_its_tables() {
    let mut workload = running(WorkloadSettings { load: 0.05, ..settings(4, 1) });
    apply(&mut workload, 0, &[set_line(1, "s-3", 1.0), bind(0, 1)]);
    workload.advance(seconds(1.0));
    workload.leave(0).unwrap();
    apply(&mut workload, 0, &[set_line(1, "s-3", 0.0)]);
    workload.take_upstream_reports(0);
    workload.advance(seconds(20.0));
    let reports = workload.take_upstream_reports(0);
    assert_eq!(reports.iter().map(|row| row.server.as_str()).collect::<Vec<_>>(), ["s-3"]);
    assert_eq!(workload.summary().total.refused, 0);
}

#[test]
fn a_withdrawn_server_receives_nothing_until_it_is_restored() {
    let mut workload = running(settings(2, 2));
    apply(&mut workload, 0, &[Order::Withdraw { server: "s-0".to_owned() }]);
    workload.advance(seconds(1.0));
    (0..2).for_each(|zone| drop(workload.take_upstream_reports(zone)));
    workload.advance(seconds(10.0));
    let reports: Vec<_> = (0..2).flat_map(|zone| workload.take_upstream_reports(zone)).collect();
    assert!(!reports.is_empty() && reports.iter().all(|row| row.server == "s-1"));
    apply(&mut workload, 0, &[Order::Restore { server: "s-0".to_owned() }]);
    workload.advance(seconds(20.0));
    assert!((0..2).flat_map(|zone| workload.take_upstream_reports(zone)).any(|row| row.server == "s-0"));
}

#[test]
fn a_rate_level_limits_operations_per_second_and_zero_admits_none() {
    let mut workload = running(settings(10, 1));
    apply(&mut workload, 0, &[admit_all(20.0, 0)]);
    workload.advance(seconds(100.0));
    let summary = workload.summary();
    let admitted = summary.total.offered - count(&summary, Outcome::Refused, Reason::Level);
    assert!(summary.total.offered > 7000, "{}", summary.total.offered);
    assert!((1900..=2100).contains(&admitted), "{admitted} in 100 s at 20 a second");
    apply(&mut workload, 0, &[admit_all(0.0, 0)]);
    workload.advance(seconds(102.0));
    let before = count(&workload.summary(), Outcome::Refused, Reason::Level);
    let offered = workload.summary().total.offered;
    workload.advance(seconds(112.0));
    let summary = workload.summary();
    assert_eq!(count(&summary, Outcome::Refused, Reason::Level) - before, summary.total.offered - offered);
    assert!(summary.no_line_periods.is_empty());
}

#[test]
fn a_period_without_a_line_is_reported_with_its_start() {
    let settings = settings(4, 2);
    let delay = settings.push_delay.as_secs_f64();
    let longest = (settings.no_line_limit + settings.socket_slack).as_secs_f64();
    let mut workload = running(settings);
    workload.advance(seconds(5.0));
    apply(&mut workload, 0, &[bind(1, 8)]);
    workload.advance(seconds(5.0 + longest));
    assert_eq!(workload.summary().no_line_periods_beyond_limit().count(), 0);
    workload.advance(seconds(5.1 + longest + delay));
    let summary = workload.summary();
    let period = summary.no_line_periods_beyond_limit().next().unwrap();
    assert_eq!((period.proxy, period.class, period.coordinator), (1, 0, 0));
    assert!((period.start.as_secs_f64() - 5.0 - delay).abs() < 0.01, "{period:?}");
    assert!(count(&summary, Outcome::Refused, Reason::NoLine) > 0);
    apply(&mut workload, 0, &[set_line(8, "s-0", 1.0)]);
    workload.advance(seconds(20.0));
    let ended = workload.summary().no_line_periods[0];
    assert!((ended.length.as_secs_f64() - longest - 0.1 - delay).abs() < 0.01, "{ended:?}");
}

#[test]
fn a_period_without_a_line_is_allowed_if_no_server_is_listed_or_limits_are_suspended() {
    let mut workload = running(settings(2, 1));
    apply(&mut workload, 0, &[bind(0, 8)]);
    (0..2).for_each(|number| workload.notify_server_lost(0, &format!("s-{number}")).unwrap());
    workload.advance(seconds(10.0));
    assert!(workload.summary().no_line_periods.is_empty());
    workload.start_server("s-0").unwrap();
    workload.notify_server_ready(0, "s-0").unwrap();
    workload.suspend_limits(0, seconds(3.1)).unwrap();
    workload.advance(seconds(15.3));
    assert!(
        !workload.summary().no_line_periods.is_empty(),
        "the only listed server is cold, but the proxy must still have a line to it"
    );
    assert_eq!(workload.summary().no_line_periods_beyond_limit().count(), 0);
    workload.advance(seconds(15.5));
    assert_eq!(workload.summary().no_line_periods_beyond_limit().count(), 1);
}

#[test]
fn a_stream_ended_by_the_coordinator_does_not_stop_the_limit() {
    for (by_coordinator, breaks) in [(true, 1), (false, 0)] {
        let mut workload = running(settings(4, 1));
        apply(&mut workload, 0, &[bind(0, 8)]);
        workload.advance(seconds(1.0));
        if by_coordinator {
            workload.stream_ended_by_coordinator(0).unwrap();
        } else {
            workload.leave(0).unwrap();
        }
        workload.advance(seconds(10.0));
        assert_eq!(workload.summary().no_line_periods_beyond_limit().count(), breaks);
    }
}

#[test]
fn sends_after_the_grace_period_of_a_drain_are_reported() {
    let settings = settings(2, 1);
    let grace = settings.drain_grace + settings.socket_slack;
    let mut workload = running(settings);
    workload.advance(seconds(3.0));
    workload.drain_server("s-0").unwrap();
    workload.notify_server_lost(0, "s-0").unwrap();
    workload.advance(seconds(3.0) + grace);
    assert!(workload.summary().drain_breaches.is_empty());
    workload.advance(seconds(20.0));
    let summary = workload.summary();
    assert_eq!(summary.drain_breaches.len(), 1);
    let breach = &summary.drain_breaches[0];
    assert!(breach.first > seconds(3.0) + grace && breach.sends > 1, "{breach:?}");
}

#[test]
fn an_overloaded_cold_server_crashes_and_a_warm_one_does_not() {
    let mut settings = settings(10, 4);
    settings.load = 0.5;
    let mut workload = running(settings);
    workload.advance(seconds(1.0));
    workload.start_server("s-1").unwrap();
    workload.notify_server_ready(0, "s-1").unwrap();
    let binds: Vec<Order> = (0..4).map(|proxy| bind(proxy, 1)).collect();
    apply(&mut workload, 0, &[set_line(1, "s-1", 1.0)]);
    apply(&mut workload, 0, &binds);
    workload.advance(seconds(8.0));
    let summary = workload.summary();
    assert_eq!(summary.overload_crashes.len(), 1, "{:?}", summary.overload_crashes);
    assert!(
        summary.overload_crashes[0].breaks_rule && summary.overload_crashes[0].at < seconds(4.0),
        "{:?}",
        summary.overload_crashes
    );
    let failed = count(&summary, Outcome::Failed, Reason::ServerGoneUntold);
    assert!(failed > 0, "the server stays down");
    let binds: Vec<Order> = (0..4).map(|proxy| bind(proxy, 2)).collect();
    apply(&mut workload, 0, &[set_line(2, "s-2", 1.0)]);
    apply(&mut workload, 0, &binds);
    workload.advance(seconds(20.0));
    assert_eq!(workload.summary().overload_crashes.len(), 1);
}

#[test]
fn an_overload_crash_by_uninformed_proxies_breaks_no_rule() {
    let mut workload = running(WorkloadSettings { load: 3.0, ..settings(1, 4) });
    workload.advance(seconds(1.0));
    workload.start_server("s-0").unwrap();
    workload.advance(seconds(2.9));
    let overload_crashes = workload.summary().overload_crashes;
    assert!(
        !overload_crashes.is_empty() && overload_crashes.iter().all(|crash| !crash.breaks_rule),
        "{overload_crashes:?}"
    );
}

#[test]
fn a_silent_server_leaves_operations_unanswered() {
    let mut workload = running(settings(2, 2));
    workload.advance(seconds(5.0));
    workload.silence_server("s-0", true).unwrap();
    workload.advance(seconds(15.0));
    workload.stop_arrivals();
    workload.advance(seconds(20.0));
    let summary = workload.summary();
    assert!(count(&summary, Outcome::Never, Reason::SilentServer) > 0);
    assert_eq!(summary.total.lost(), summary.lost_operations.len() as u64);
    workload.silence_server("s-0", false).unwrap();
    workload.advance(seconds(60.0));
    let summary = workload.summary();
    assert_eq!(summary.total.never, 0);
    assert!(count(&summary, Outcome::Later, Reason::SilentServer) > 0);
    assert_conserved(&summary);
}

#[test]
fn a_proxy_that_answers_at_the_deadline_loses_nothing_at_a_silent_server() {
    let mut workload = running(WorkloadSettings { fail_at_deadline: true, ..settings(2, 2) });
    workload.advance(seconds(5.0));
    workload.silence_server("s-0", true).unwrap();
    workload.advance(seconds(15.0));
    let summary = workload.summary();
    assert!(count(&summary, Outcome::Failed, Reason::SilentServer) > 0);
    assert_eq!(summary.total.lost(), 0);
}

#[test]
fn an_overload_causes_late_answers_by_queueing_and_rejections_by_full_servers() {
    let mut workload = running(WorkloadSettings { load: 1.5, slowdown_past_knee: 0.0, ..settings(2, 2) });
    workload.advance(seconds(30.0));
    let summary = workload.summary();
    assert!(count(&summary, Outcome::Later, Reason::QueueWait) > 0, "{:?}", summary.reasons);
    assert!(count(&summary, Outcome::Refused, Reason::ServerFull) > 0, "{:?}", summary.reasons);
    assert_conserved(&summary);
}

#[test]
fn late_answers_are_attributed_to_their_cause() {
    let steep_slowdown =
        WorkloadSettings { load: 0.9, slowdown_past_knee: 20.0, knee_per_core: 1.0, ..settings(2, 2) };
    let mut workload = running(steep_slowdown);
    workload.advance(seconds(30.0));
    assert!(count(&workload.summary(), Outcome::Later, Reason::SlowedPastKnee) > 0);
    let cold = WorkloadSettings { cold_share: 0.05, overload_multiple: 1e6, load: 0.2, ..settings(2, 2) };
    let mut workload = running(cold);
    workload.advance(seconds(1.0));
    (0..2).for_each(|number| workload.start_server(&format!("s-{number}")).unwrap());
    workload.advance(seconds(10.0));
    let summary = workload.summary();
    assert!(
        count(&summary, Outcome::Late, Reason::ColdServer)
            + count(&summary, Outcome::Later, Reason::ColdServer)
            > 0
    );
}

#[test]
fn failures_at_a_stopped_server_depend_on_whether_the_coordinator_was_notified() {
    let mut settings = settings(1, 2);
    settings.ejection_threshold = 0;
    let mut workload = running(settings);
    workload.advance(seconds(5.0));
    workload.stop_server("s-0").unwrap();
    workload.advance(seconds(8.0));
    assert!(count(&workload.summary(), Outcome::Failed, Reason::ServerGoneUntold) > 0);
    assert_eq!(count(&workload.summary(), Outcome::Failed, Reason::ServerGoneTold), 0);
    workload.notify_server_lost(0, "s-0").unwrap();
    workload.advance(seconds(11.0));
    assert!(count(&workload.summary(), Outcome::Failed, Reason::ServerGoneTold) > 0);
}

#[test]
fn repeats_of_unsafe_operations_are_reported_and_safe_retry_modes_make_none() {
    for (retry, repeats) in [(1, false), (2, true)] {
        let mut settings = settings(4, 2);
        settings.classes[0].semantics = Semantics::Unsafe;
        let mut workload = running(settings);
        apply(&mut workload, 0, &[admit_all(1e6, retry)]);
        workload.advance(seconds(5.0));
        workload.silence_server("s-1", true).unwrap();
        workload.advance(seconds(10.0));
        assert_eq!(workload.summary().unsafe_repeats > 0, repeats, "retry mode {retry}");
    }
}

#[test]
fn a_retry_of_tries_that_did_not_run_prevents_failures() {
    let failed = |retry: u8| {
        let mut workload = running(settings(4, 2));
        apply(&mut workload, 0, &[admit_all(1e6, retry)]);
        workload.advance(seconds(5.0));
        workload.stop_server("s-1").unwrap();
        workload.advance(seconds(6.0));
        let before = workload.summary().total.failed;
        workload.advance(seconds(20.0));
        workload.summary().total.failed - before
    };
    assert!(failed(0) > 0);
    assert_eq!(failed(1), 0);
}

#[test]
fn a_queue_beyond_the_limit_and_an_unacknowledged_mark_are_reported() {
    let settings = WorkloadSettings { lines_per_second: 10.0, queue_limit: 30.0, ..settings(4, 8) };
    let mut workload = running(settings);
    workload.advance(seconds(1.0));
    apply(&mut workload, 0, &[Order::Mark { mark: 1, all: true }]);
    workload.advance(seconds(4.0));
    let summary = workload.summary();
    assert_eq!(summary.queue_breaches[0].at, seconds(1.0));
    assert!(summary.marks_waiting > 0);
    assert_eq!(summary.longest_mark, seconds(3.0));
}

#[test]
fn orders_with_unknown_names_or_invalid_values_are_rejected() {
    let mut workload = running(settings(2, 2));
    let unlisted = Order::Withdraw { server: "s-9".to_owned() };
    let mut rejection = |order: &Order| workload.apply(0, order).unwrap_err();
    assert_eq!(rejection(&unlisted), WorkloadError::UnknownServer("s-9".to_owned()));
    assert_eq!(rejection(&bind(7, 1)), WorkloadError::UnknownProxy(7));
    assert_eq!(rejection(&set_line(1, "s-0", -1.0)), WorkloadError::OutOfRange);
    assert_eq!(rejection(&set_line(u16::MAX, "s-0", 1.0)), WorkloadError::OutOfRange);
    assert_eq!(rejection(&admit_all(f64::NAN, 0)), WorkloadError::OutOfRange);
    assert_eq!(rejection(&admit_all(1.0, 4)), WorkloadError::OutOfRange);
    assert_eq!(workload.apply(1, &admit_all(1.0, 0)), Err(WorkloadError::UnknownCoordinator(1)));
}

#[test]
fn reports_account_for_all_operations_and_tries() {
    let mut workload = running(settings(4, 3));
    let (mut received, mut tried) = (0, 0);
    for step in 1..=20 {
        workload.advance(seconds(f64::from(step)));
        received += workload.take_client_reports(0).iter().map(|row| row.total).sum::<u64>();
        tried +=
            (0..2).flat_map(|zone| workload.take_upstream_reports(zone)).map(|row| row.total).sum::<u64>();
    }
    let summary = workload.summary();
    assert_eq!(received, summary.total.offered);
    assert_eq!(tried, summary.total.offered - summary.total.in_flight);
}

fn restarts(servers: usize) -> Vec<ServerChange> {
    let change = |at, number, action| ServerChange { at, server: format!("s-{number}"), action };
    let mut script: Vec<_> =
        (0..servers).map(|number| change(Duration::ZERO, number, ServerAction::Start)).collect();
    for number in 0..servers / 3 {
        let at = seconds(3.0 + 1.5 * number as f64);
        script.push(change(at, number, ServerAction::Drain));
        script.push(change(at + seconds(2.0), number, ServerAction::Stop));
        script.push(change(at + seconds(3.0), number, ServerAction::Start));
    }
    script
}

#[test]
fn the_reference_policy_gets_the_same_operations_and_serves_nearly_all() {
    let settings = WorkloadSettings { load: 0.5, ..settings(30, 240) };
    let end = seconds(63.0);
    let reference = Workload::reference(&settings, SEED, &restarts(30), end).unwrap();
    assert_conserved(&reference);
    assert!(reference.total.in_time as f64 > 0.99 * reference.total.offered as f64, "{:?}", reference.total);
    assert!(reference.overload_crashes.is_empty(), "{:?}", reference.overload_crashes);
    let mut workload = running(settings);
    workload.advance(end);
    assert_eq!(workload.summary().total.offered, reference.total.offered);
}

#[test]
fn round_robin_follows_the_weights_and_two_choices_prefer_the_less_loaded_server() {
    let tried = |pick: Pick, slowness: f64| {
        let mut workload = running(WorkloadSettings {
            pick,
            load: 0.3,
            zones: 1,
            default_retry: 0,
            ejection_threshold: 0,
            ..settings(2, 1)
        });
        apply(&mut workload, 0, &[set_line(1, "s-0", 1.0), set_line(1, "s-1", 3.0), bind(0, 1)]);
        workload.slow_server("s-1", slowness).unwrap();
        workload.advance(seconds(1.0));
        workload.take_upstream_reports(0);
        workload.advance(seconds(101.0));
        let reports = workload.take_upstream_reports(0);
        let total: u64 = reports.iter().map(|row| row.total).sum();
        reports[1].total as f64 / total as f64
    };
    assert!((tried(Pick::WeightedRoundRobin, 1.0) - 0.75).abs() < 0.01);
    assert!((tried(Pick::WeightedRandom, 1.0) - 0.75).abs() < 0.05);
    assert!(tried(Pick::TwoChoices, 2.0) < tried(Pick::WeightedRandom, 2.0) - 0.05);
}

#[test]
fn a_home_only_class_stays_in_the_proxys_zone_and_sends_elsewhere_are_reported() {
    let mut workload = running(WorkloadSettings { home_only: vec![true], ..settings(6, 2) });
    workload.advance(seconds(10.0));
    assert_eq!(workload.summary().misplaced_sends, 0);
    apply(&mut workload, 0, &[set_line(1, "s-1", 1.0), bind(0, 1)]);
    workload.advance(seconds(20.0));
    assert!(workload.summary().misplaced_sends > 0);
}

#[test]
fn clients_repeat_failures_but_no_unsafe_operation_that_might_have_run() {
    let failed = |semantics: Semantics, client_repeats: u8| {
        let mut settings = WorkloadSettings { client_repeats, ejection_threshold: 0, ..settings(4, 2) };
        settings.classes[0].semantics = semantics;
        let mut workload = running(settings);
        workload.set_server_errors("s-1", 1.0).unwrap();
        workload.advance(seconds(40.0));
        let summary = workload.summary();
        assert_conserved(&summary);
        count(&summary, Outcome::Failed, Reason::ServerError)
    };
    assert!(failed(Semantics::Safe, 2) * 3 < failed(Semantics::Safe, 0));
    assert_eq!(failed(Semantics::Unsafe, 2), failed(Semantics::Unsafe, 0));
}

#[test]
fn a_slow_server_answers_late() {
    let mut workload = running(WorkloadSettings { load: 0.1, ..settings(2, 2) });
    workload.slow_server("s-0", 10.0).unwrap();
    workload.advance(seconds(20.0));
    let summary = workload.summary();
    let late = count(&summary, Outcome::Later, Reason::SlowServer);
    assert!(late > 0, "{:?}", summary.reasons);
    assert_eq!(workload.slow_server("s-0", 0.5), Err(WorkloadError::OutOfRange));
}

#[test]
fn channel_latency_scales_with_the_rate_factor() {
    let latency = |share: f64| {
        let settings =
            WorkloadSettings { lines_per_second: 100.0, push_delay: Duration::ZERO, ..settings(2, 4) };
        let mut workload = running(settings);
        workload.set_channel_rate_factor(0, share).unwrap();
        apply(&mut workload, 0, &[Order::Mark { mark: 1, all: true }]);
        workload.advance(seconds(10.0));
        workload.take_acknowledgements(0)[3].latency.as_secs_f64()
    };
    assert!((latency(0.25) / latency(1.0) - 4.0).abs() < 0.01);
}

#[test]
fn a_stopped_proxy_receives_nothing_and_restarts_with_its_standing_table() {
    let mut workload = running(settings(2, 1));
    apply(&mut workload, 0, &[set_line(1, "s-1", 1.0), bind(0, 1)]);
    workload.advance(seconds(10.0));
    assert!(!workload.holds_only_standing_table(0));
    workload.stop_proxy(0).unwrap();
    let summary = workload.summary();
    assert_eq!(summary.total.in_flight, 0);
    workload.advance(seconds(20.0));
    assert_eq!(workload.summary().total, summary.total);
    workload.restart_proxy(0).unwrap();
    workload.advance(seconds(30.0));
    assert!(workload.summary().total.offered > summary.total.offered);
    assert!(workload.holds_only_standing_table(0));
}
