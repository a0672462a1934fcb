//! Single cases of the decisions, most of them regression tests for earlier faults; none needs a benchmark.

mod helpers;

use std::collections::BTreeSet;

use craneknot::interface::*;
use helpers::{secs, server, settings, World};

/// Ten servers and six proxies with some seconds of reports that everything is healthy.
fn calm_world(unit: LevelUnit) -> World {
    let mut world = World::new(settings(unit), 7, 10);
    world.step(0.1, &(0..6).map(World::join).collect::<Vec<_>>());
    pass(&mut world, 16, &[], 9, Some(0.5));
    world
}

/// Lets seconds pass in which all servers but the excluded ones are healthy and `arrived` operations of each class
/// arrive at each proxy, a third of that of class 2.
fn pass(world: &mut World, seconds: usize, excluded: &[usize], arrived: u64, busy: Option<f64>) {
    for _ in 0..seconds {
        let is_ready = |number: &usize| world.list[&server(*number)].readiness == Readiness::Ready;
        let healthy = (0..10).filter(|number| !excluded.contains(number)).filter(is_ready);
        let mut events: Vec<Event> = healthy.map(|number| World::report(number, 8, 0, 0.3, busy)).collect();
        let classes = |proxy| {
            [(0, arrived), (1, arrived), (2, arrived / 3)].map(|(class, count)| demand(proxy, class, count))
        };
        events.extend((0..6).flat_map(classes));
        world.step(0.5, &events);
        world.step(0.5, &[Event::Woken]);
    }
}

fn demand(proxy: u16, class: u8, arrived: u64) -> Event {
    let (proxy, class) = (ProxyId(proxy), ClassId(class));
    Event::Demand { proxy, class, arrived, unanswered: 0, span: secs(1.0) }
}

fn probed(number: usize, outcome: ProbeOutcome) -> Event {
    Event::Probed { server: server(number), outcome, latency: secs(0.1), report: LoadReport::default() }
}

fn level(world: &World, proxy: u16, class: usize) -> f64 {
    world.levels[&(world.bound[&(ProxyId(proxy), class)], class)].0
}

#[test]
fn proxies_are_bound_to_groups_of_their_own_zone() {
    let world = calm_world(LevelUnit::Share);
    for proxy in 0..6 {
        let zones: Vec<ZoneId> = world.lines(proxy, 0).keys().map(|id| world.list[id].zone).collect();
        assert_eq!(zones, vec![ZoneId(proxy % 2); 5], "proxy {proxy}");
    }
}

#[test]
fn a_failing_server_is_ejected_and_returns_after_successful_probes() {
    let mut world = calm_world(LevelUnit::Share);
    for _ in 0..4 {
        world.step(0.5, &[World::report(2, 8, 7, 0.3, None)]);
    }
    assert!(!world.lines(0, 2).contains_key(&server(2)), "not ejected");
    assert!(world.lines(0, 2).len() == 4, "another server was ejected");
    pass(&mut world, 4, &[2], 9, Some(0.5));
    assert!(!world.lines(0, 2).contains_key(&server(2)), "returned without probes");
    for _ in 0..6 {
        world.step(0.7, &[probed(2, ProbeOutcome::Answered)]);
    }
    let (returned, full) = (world.lines(0, 2)[&server(2)], 3.0);
    assert!(returned < 0.6 * full, "returned with a weight of {returned} of {full}");
}

#[test]
fn a_server_that_answers_nothing_is_ejected_by_failed_probes() {
    let mut world = calm_world(LevelUnit::Share);
    for _ in 0..3 {
        world.step(0.7, &[World::report(4, 3, 3, 0.0, None)]);
    }
    world.step(0.7, &[probed(4, ProbeOutcome::Failed)]);
    world.step(0.7, &[probed(4, ProbeOutcome::Failed)]);
    world.step(0.7, &[Event::Woken]);
    assert!(!world.lines(0, 2).contains_key(&server(4)));
}

#[test]
fn a_group_whose_servers_all_fail_keeps_them() {
    let mut world = calm_world(LevelUnit::Share);
    for _ in 0..6 {
        let failing = (0..5).map(|index| World::report(2 * index, 10, 7, 0.9, None));
        world.step(0.5, &failing.collect::<Vec<_>>());
    }
    assert_eq!(world.lines(0, 2).len(), 5);
}

/// The capacity that a server certainly has, as a share of its listed weight.
fn warm_share(world: &World, started: Nanos) -> f64 {
    let Settings { cold_share, warm_after, .. } = world.settings;
    cold_share + (1.0 - cold_share) * ((world.now - started).secs() / warm_after.secs()).min(1.0)
}

#[test]
fn a_cold_server_is_added_late_and_its_weight_grows() {
    let mut world = calm_world(LevelUnit::Share);
    let start = world.now;
    world.step(0.1, &[World::change(10, Some(start), Readiness::Ready)]);
    world.step(0.5, &[Event::Woken]);
    assert!(!world.lines(0, 2).contains_key(&server(10)), "added at once");
    let mut first_weight = None;
    for _ in 0..18 {
        pass(&mut world, 1, &[], 9, Some(0.5));
        let Some(weight) = world.lines(0, 2).get(&server(10)).copied() else { continue };
        let mut others = world.lines(0, 2);
        others.remove(&server(10));
        let full = others.into_values().fold(0.0, f64::max);
        let max_share = warm_share(&world, start) * 1.12; // a line is sent again from a change of 12% on
        assert!(weight <= max_share * full, "{weight} of {full} at {:?}", world.now - start);
        first_weight.get_or_insert(weight);
    }
    let (first_weight, later_weight) = (first_weight.expect("never added"), world.lines(0, 2)[&server(10)]);
    assert!(first_weight < 0.7 * later_weight, "{first_weight}, later {later_weight}");
}

#[test]
fn no_level_is_sent_for_a_class_that_no_proxy_uses_in_a_group() {
    let world = calm_world(LevelUnit::Rate);
    let unused = world.levels.iter().filter(|((table, class), _)| {
        let bindings = world.bound.iter().filter(|((_, bound), _)| bound == class);
        !bindings.map(|(_, bound)| bound).any(|bound| bound == table)
    });
    assert_eq!(unused.count(), 0, "{:?}, {:?}", world.levels, world.bound);
}

/// Seconds from the start of a new server until it gets a line, with `unanswered` of ten tries failing in its group.
fn added_after(unanswered: u64) -> f64 {
    let mut world = calm_world(LevelUnit::Share);
    let report = |number| World::report(number, 10, unanswered, 0.3, Some(0.5));
    for _ in 0..8 {
        world.step(0.5, &(0..10).map(report).collect::<Vec<_>>());
    }
    let start = world.now;
    world.step(0.0, &[World::change(10, Some(start), Readiness::Ready)]);
    while !world.lines(0, 2).contains_key(&server(10)) {
        world.step(0.5, &(0..10).map(report).collect::<Vec<_>>());
        assert!(world.now - start < secs(16.0), "not added before it is warm");
    }
    (world.now - start).secs()
}

#[test]
fn a_new_server_is_added_later_where_tries_fail() {
    // Its capacity is 0.25 of its listed weight after 1 s and 0.5 after 6 s.
    assert!((1.0..3.0).contains(&added_after(0)), "{}", added_after(0));
    assert!((6.0..8.0).contains(&added_after(1)), "{}", added_after(1));
}

#[test]
fn a_server_that_fails_among_cold_ones_is_not_left_with_all_that_comes() {
    let mut world = calm_world(LevelUnit::Share);
    let start = world.now;
    let cold = (1..5).map(|k| World::change(2 * k, Some(start), Readiness::Ready));
    world.step(0.1, &cold.collect::<Vec<_>>());
    pass(&mut world, 9, &[2, 4, 6, 8], 9, Some(0.5));
    let before = world.lines(0, 2);
    assert!(before.len() > 3, "cold ones are in: {before:?}");
    for _ in 0..4 {
        world.step(0.5, &[World::report(0, 10, 3, 0.3, Some(0.5))]);
    }
    assert!(world.lines(0, 2).len() > 3, "{:?}", world.lines(0, 2));
}

#[test]
fn a_controller_adds_no_cold_server_shortly_after_its_own_start() {
    let mut world = World::new(settings(LevelUnit::Share), 7, 10);
    world.step(0.1, &(0..6).map(World::join).collect::<Vec<_>>());
    let start = Nanos(world.now.0 - secs(8.0).0);
    world.step(0.1, &[World::change(10, Some(start), Readiness::Ready)]);
    pass(&mut world, 3, &[], 9, Some(0.5));
    assert!(!world.lines(0, 2).contains_key(&server(10)), "added 3 s after the controller's start");
    pass(&mut world, 4, &[], 9, Some(0.5));
    assert!(world.lines(0, 2).contains_key(&server(10)), "not added 7 s after the controller's start");
}

#[test]
fn proxies_that_join_at_once_count_before_their_first_report() {
    let mut world = calm_world(LevelUnit::Rate);
    let removed: Vec<Event> =
        (0..5).map(|index| World::change(2 * index, None, Readiness::Removed)).collect();
    world.step(0.1, &removed);
    world.step(0.1, &(0..6).map(|proxy| Event::ProxyLeft { proxy: ProxyId(proxy) }).collect::<Vec<_>>());
    let start = Nanos(world.now.0 - secs(8.0).0);
    world.step(0.1, &[World::change(2, Some(start), Readiness::Ready)]);
    world.step(0.1, &(0..6).map(World::join).collect::<Vec<_>>());
    assert!(world.lines(0, 2).contains_key(&server(2)), "the only server, a cold one, has no line");
    assert!(level(&world, 0, 2) < 1_000.0, "a ceiling of {}", level(&world, 0, 2));
}

#[test]
fn a_server_that_restarts_leaves_its_table_at_once() {
    let mut world = calm_world(LevelUnit::Share);
    let now = world.now;
    world.step(0.0, &[World::change(2, Some(now), Readiness::Ready)]);
    assert!(!world.lines(0, 2).contains_key(&server(2)));
}

#[test]
fn the_loss_of_a_zone_moves_its_proxies_at_once_and_leaves_confined_classes_an_empty_table() {
    let mut world = calm_world(LevelUnit::Share);
    let removed: Vec<Event> =
        (0..5).map(|index| World::change(2 * index, None, Readiness::Removed)).collect();
    world.step(0.3, &removed);
    assert_eq!(world.lines(0, 0).len(), 5, "class 0 must move to the other zone");
    assert!(world.lines(0, 2).is_empty(), "class 2 may run only in the lost zone");
    world.step(0.3, &[World::join(0)]);
    assert!(world.lines(0, 2).is_empty());
}

#[test]
fn overload_sheds_the_least_important_class_first() {
    for (unit, busy, wait) in [(LevelUnit::Share, None, 1.5), (LevelUnit::Rate, Some(1.0), 0.9)] {
        let mut world = calm_world(unit);
        for _ in 0..4 {
            let mut events: Vec<Event> =
                (0..10).map(|number| World::report(number, 8, 2, wait, busy)).collect();
            let classes =
                |proxy| [(0, 20), (1, 20), (2, 2)].map(|(class, count)| demand(proxy, class, count));
            events.extend((0..6).flat_map(classes));
            world.step(0.5, &events);
            world.step(0.5, &[Event::Woken]);
        }
        let full = if unit == LevelUnit::Share { 1.0 } else { 20.0 };
        assert!(level(&world, 1, 0) < 0.9 * full, "{unit:?}: class 0 at {}", level(&world, 1, 0));
        assert!(level(&world, 0, 2) >= full.min(2.0), "{unit:?}: class 2 at {}", level(&world, 0, 2));
        let tries = world.levels[&(world.bound[&(ProxyId(1), 0)], 0)].1;
        assert_eq!(tries, Retries::Never, "further tries are allowed under overload");
        pass(&mut world, 40, &[], 9, busy.map(|_| 0.5));
        assert!(level(&world, 1, 0) >= full.min(9.0), "{unit:?}: a level still limits class 0");
    }
}

#[test]
fn reported_busy_shares_set_a_ceiling_before_a_burst() {
    let world = calm_world(LevelUnit::Rate);
    let level = level(&world, 1, 0);
    assert!((9.0..60.0).contains(&level), "a ceiling of {level} over 9");
}

#[test]
fn weights_follow_wait_times() {
    let mut world = calm_world(LevelUnit::Share);
    for _ in 0..24 {
        let events =
            (0..10).map(|number| World::report(number, 8, 0, if number == 2 { 1.2 } else { 0.3 }, None));
        world.step(0.5, &events.collect::<Vec<_>>());
    }
    let lines = world.lines(0, 2);
    assert!(
        lines[&server(2)] < 0.5 * lines[&server(8)],
        "the slower of two servers with the same listed weight: {lines:?}"
    );
}

#[test]
fn the_list_is_requested_at_the_start_and_again_after_a_failure() {
    let mut world = World::new(settings(LevelUnit::Share), 7, 10);
    assert!(world.orders.contains(&Order::WatchList));
    world.step(0.1, &[Event::List { scope: ListScope::Failed, entries: [].into() }]);
    assert!(!world.orders.contains(&Order::WatchList));
    world.step(1.1, &[Event::Woken]);
    assert!(world.orders.contains(&Order::WatchList));
}

#[test]
fn unchanged_orders_are_not_sent_again() {
    let mut world = calm_world(LevelUnit::Share);
    pass(&mut world, 20, &[], 9, Some(0.5));
    for _ in 0..20 {
        pass(&mut world, 1, &[], 9, Some(0.5));
        let idle = |order: &Order| matches!(order, Order::Wake { .. });
        assert!(world.orders.iter().all(idle), "{:?}", world.orders);
    }
}

#[test]
fn failing_servers_are_ejected_by_comparison_with_the_better_half_of_their_group() {
    let mut world = calm_world(LevelUnit::Share);
    // Three of the five servers in zone 0 lose six of ten tries, as on a path that is bad for this controller only.
    for _ in 0..6 {
        let failed = |number: usize| if [0, 2, 4].contains(&number) { 6 } else { 0 };
        let events: Vec<Event> =
            (0..10).map(|number| World::report(number, 10, failed(number), 0.3, None)).collect();
        world.step(0.5, &events);
    }
    let lines = world.lines(0, 2);
    assert!(lines.contains_key(&server(6)) && lines.contains_key(&server(8)), "{lines:?}");
    assert!(lines.len() < 5, "no failing server is ejected: {lines:?}");
}

#[test]
fn a_rate_level_leaves_room_for_random_arrivals_at_low_traffic() {
    let mut world = calm_world(LevelUnit::Rate);
    pass(&mut world, 20, &[], 1, Some(0.9));
    let level = level(&world, 1, 0);
    assert!(level >= 1.5, "one operation per second and proxy, at a cap of {level}");
}

/// Guards a takeover: bindings made by a former controller are kept even though another group has less load.
#[test]
fn bindings_of_a_former_controller_are_kept() {
    let mut world = World::new(settings(LevelUnit::Rate), 3, 16);
    let table_of = |world: &World, proxy| world.bound.get(&(ProxyId(proxy), 0)).copied();
    world.step(0.1, &[World::join(0)]);
    world.step(1.0, &[Event::Woken]);
    let first = table_of(&world, 0).unwrap();
    // The next proxy would be bound to another group, since the first has load; it holds the first one's table and
    // keeps it.
    let holds = Event::ExistingBinding { proxy: ProxyId(2), class: ClassId(0), table: first };
    world.step(0.1, &[World::join(2), holds]);
    world.step(1.0, &[Event::Woken]);
    assert_eq!(table_of(&world, 2), Some(first));
    // A table that belongs to no group is ignored: the proxy is bound like any other.
    let unknown_table =
        Event::ExistingBinding { proxy: ProxyId(4), class: ClassId(0), table: TableId(60_000) };
    world.step(0.1, &[World::join(4), unknown_table]);
    world.step(1.0, &[Event::Woken]);
    assert!(table_of(&world, 4).is_some_and(|table| table != TableId(60_000)));
}

/// Guards against connections that go idle between uses: with one group per class a proxy uses three times as many
/// servers, each a third as often, and a handshake is a large part of an operation's work.
#[test]
fn a_proxy_keeps_its_classes_in_one_group_while_loads_allow() {
    let mut world = World::new(Settings { proxies: 40, ..settings(LevelUnit::Rate) }, 3, 24);
    world.step(0.1, &(0..40).map(World::join).collect::<Vec<_>>());
    pass(&mut world, 30, &[], 9, Some(0.5));
    let tables =
        |proxy: u16| (0..3).map(|class| world.bound[&(ProxyId(proxy), class)]).collect::<BTreeSet<_>>();
    // The proxies of the zone in which all classes may run.
    let table_counts: Vec<usize> = (0..20).map(|index| tables(2 * index).len()).collect();
    assert!(
        table_counts.iter().filter(|count| **count == 1).count() >= 12,
        "tables per proxy: {table_counts:?}"
    );
    let used: BTreeSet<_> = (0..20).flat_map(|index| tables(2 * index)).collect();
    assert!(used.len() >= 2, "only one group is used");
}

/// Guards against state of removed servers that is never dropped, so that each evaluation covers all of them.
#[test]
fn replaced_servers_are_forgotten_and_a_recently_removed_one_is_not() {
    let mut world = calm_world(LevelUnit::Share);
    let mut max_known = 0;
    for number in 10..400 {
        // Each server is listed for ten rounds, started long ago, and drained before it is removed.
        let entries = [World::change(number, None, Readiness::Ready)];
        world.step(1.0, &entries);
        if number >= 20 {
            world.step(1.0, &[World::change(number - 10, None, Readiness::Draining)]);
            world.step(1.0, &[World::change(number - 10, None, Readiness::Removed)]);
        }
        pass(&mut world, 1, &[], 9, Some(0.5));
        max_known = max_known.max(world.controller.known_servers());
    }
    assert!(max_known <= 50, "{max_known} servers are kept, 20 of them listed and about 15 recently removed");
    assert!(max_known >= 30, "{max_known} servers are kept: one that returns soon must still be known");
    for proxy in 0..6 {
        assert!(
            world.lines(proxy, 0).len() >= 4,
            "listed servers are missing in the table: {:?}",
            world.lines(proxy, 0)
        );
    }
}

/// Held operations divided by throughput give the time that operations stay, which shows a queue before the answers do.
#[test]
fn a_group_that_holds_operations_for_long_admits_less() {
    let level_while_holding = |held: f64| {
        let mut world = calm_world(LevelUnit::Share);
        for _ in 0..8 {
            let reports: Vec<Event> =
                (0..10).map(|number| World::report_in_flight(number, 8, held)).collect();
            let demands = (0..6)
                .flat_map(|proxy| [(0, 9), (1, 9), (2, 3)].map(|(class, count)| demand(proxy, class, count)));
            world.step(0.5, &reports.into_iter().chain(demands).collect::<Vec<_>>());
            world.step(0.5, &[Event::Woken]);
        }
        (0..6).map(|proxy| level(&world, proxy, 0)).sum::<f64>() / 6.0
    };
    let (short, long) = (level_while_holding(2.0), level_while_holding(60.0));
    assert_eq!(short, 1.0, "eight per second, two held: a quarter of a second each");
    assert!(long < 0.9, "eight per second, sixty held: {long} is admitted");
    // At least half of the throughput is admitted, and the most important class comes first.
    assert!(long > 0.1, "the level is cut too far: {long}");
}

/// Proxies that have just joined bring load that is not in the reports yet, so held operations prove nothing then.
#[test]
fn a_takeover_does_not_count_as_operations_held_for_long() {
    let mut settings = settings(LevelUnit::Share);
    (settings.proxies, settings.controllers) = (6, 2);
    let mut world = World::new(settings, 7, 10);
    world.step(0.1, &[World::join(0)]);
    // Two per second from its own proxy, of a dozen from all proxies: four held are a third of a second each.
    let reports = || (0..10).map(|number| World::report_in_flight(number, 2, 4.0)).collect::<Vec<Event>>();
    for _ in 0..16 {
        world.step(0.5, &reports());
        world.step(0.5, &[Event::Woken]);
    }
    let level_before = level(&world, 0, 0);
    world.step(0.1, &(1..6).map(World::join).collect::<Vec<_>>());
    for _ in 0..3 {
        world.step(0.5, &reports());
        world.step(0.5, &[Event::Woken]);
        assert!(level(&world, 0, 0) >= level_before, "{} of {level_before}", level(&world, 0, 0));
    }
}

/// A permanently refused order is retried less and less often; one refused temporarily is retried soon.
#[test]
fn a_refused_order_is_retried_with_growing_delays() {
    let mut world = World::new(settings(LevelUnit::Share), 7, 10);
    world.step(0.1, &(0..6).map(World::join).collect::<Vec<_>>());
    let line = |order: &&Order| matches!(order, Order::Line { server: to, weight, .. } if *to == server(3) && *weight > 0.0);
    let mut refused: Option<Order> = world.orders.iter().find(line).cloned();
    assert!(refused.is_some(), "{:?}", world.orders);
    let (mut retried_at, mut at) = (Vec::new(), 0.0);
    while at < 20.0 {
        at += 0.25;
        let events: Vec<Event> =
            refused.take().into_iter().map(|order| Event::OrderRefused { order }).collect();
        world.step(0.25, &[events, vec![Event::Woken]].concat());
        refused = world.orders.iter().find(line).cloned();
        retried_at.extend(refused.is_some().then_some(at));
    }
    assert!((4..8).contains(&retried_at.len()), "retried at {retried_at:?}");
    assert!(retried_at[0] <= 1.25, "first retry too late: {retried_at:?}");
}

/// Restarts all servers that class 2 may run on.
fn restart_zone_0(world: &mut World) -> Nanos {
    let start = world.now;
    let changes = (0..5).map(|index| World::change(2 * index, Some(start), Readiness::Ready));
    world.step(0.1, &changes.collect::<Vec<_>>());
    start
}

#[test]
fn a_class_with_only_cold_servers_is_limited_to_their_certain_capacity() {
    let mut world = calm_world(LevelUnit::Rate);
    // Each server has handled 8 operations per second while half busy; all classes but 2 may run elsewhere.
    let (servers, capacity) = (5.0, 16.0);
    pass(&mut world, 10, &[], 30, Some(0.5));
    let start = restart_zone_0(&mut world);
    let cold = [0, 2, 4, 6, 8];
    for _ in 0..24 {
        let table = world.bound[&(ProxyId(0), 2)];
        assert_eq!(world.tables[&table].len(), cold.len(), "{:?} after the start", world.now - start);
        let total_capacity = servers * capacity * warm_share(&world, start);
        let level = |proxy| world.levels.get(&(world.bound[&(ProxyId(proxy), 2)], 2));
        let admitted: f64 = (0..6).map(|proxy| level(proxy).map_or(f64::INFINITY, |(level, _)| *level)).sum();
        assert!(
            admitted <= total_capacity,
            "{admitted} of {total_capacity} per second, {:?} after the start",
            world.now - start
        );
        assert!(
            admitted >= 0.2 * total_capacity,
            "{admitted} of {total_capacity} per second, {:?} after the start",
            world.now - start
        );
        pass(&mut world, 1, &cold, 30, Some(0.5));
        if world.now - start > secs(4.0) {
            break;
        }
    }
}

#[test]
fn the_level_of_a_table_with_only_cold_servers_is_ordered_before_its_lines() {
    for unit in [LevelUnit::Rate, LevelUnit::Share] {
        let mut world = calm_world(unit);
        let removed = (0..5).map(|index| World::change(2 * index, None, Readiness::Removed));
        world.step(0.1, &removed.collect::<Vec<_>>());
        assert!(world.lines(0, 2).is_empty());
        restart_zone_0(&mut world);
        assert_eq!(world.lines(0, 2).len(), 5);
        let bound_table = world.bound[&(ProxyId(0), 2)];
        let is_line = |order: &Order| matches!(order, Order::Line { table, .. } if *table == bound_table);
        let is_level = |order: &Order| match order {
            Order::Level { table, classes, .. } => *table == bound_table && classes.has(ClassId(2)),
            _ => false,
        };
        let (line, level) = (world.orders.iter().position(is_line), world.orders.iter().position(is_level));
        assert!(level.is_some() && level < line, "{:?}", world.orders);
    }
}

#[test]
fn a_single_cold_server_is_not_sent_one_operation_by_each_of_many_proxies_at_once() {
    let mut world = World::new(settings(LevelUnit::Rate), 7, 10);
    let proxies = 60;
    world.step(0.1, &(0..proxies).map(World::join).collect::<Vec<_>>());
    for _ in 0..16 {
        let mut events: Vec<Event> =
            (0..10).map(|number| World::report(number, 8, 0, 0.3, Some(0.5))).collect();
        events.extend((0..proxies).flat_map(|proxy| [0, 1, 2].map(|class| demand(proxy, class, 1))));
        world.step(0.5, &events);
        world.step(0.5, &[Event::Woken]);
    }
    let removed = (0..5).map(|index| World::change(2 * index, None, Readiness::Removed));
    world.step(0.1, &removed.collect::<Vec<_>>());
    let start = world.now;
    world.step(0.1, &[World::change(0, Some(start), Readiness::Ready)]);
    assert_eq!(world.lines(0, 2).len(), 1);
    let (capacity, window) = (16.0, world.settings.overload_window.secs());
    let level = world.levels[&(world.bound[&(ProxyId(0), 2)], 2)].0;
    let burst = f64::from(proxies) * window.min(1.0 + level * window);
    let max_burst = world.settings.overload_multiple * capacity * warm_share(&world, start) * window;
    assert!(
        level == 0.0 || burst <= max_burst,
        "at a level of {level}, {burst} may arrive at once; {max_burst} overload the server"
    );
}
