//! Plain cases, most of them failures once found; none needs a bench.

mod helpers;

use std::collections::BTreeSet;

use craneknot::interface::*;
use helpers::{secs, server, settings, World};

/// Ten servers and six proxies, heard to be well for some seconds.
fn calm_world(unit: LevelUnit) -> World {
    let mut world = World::new(settings(unit), 7, 10);
    world.step(0.1, &(0..6).map(World::join).collect::<Vec<_>>());
    pass(&mut world, 16, &[], 9, Some(0.5));
    world
}

/// Seconds in which all servers but the named do well, and each proxy gets so much of a class, of class 2 less.
fn pass(world: &mut World, seconds: usize, but: &[usize], arrived: u64, busy: Option<f64>) {
    for _ in 0..seconds {
        let well = |number: &usize| world.list[&server(*number)].readiness == Readiness::Ready;
        let known = (0..10).filter(|number| !but.contains(number)).filter(well);
        let mut events: Vec<Event> = known.map(|number| World::report(number, 8, 0, 0.3, busy)).collect();
        let classes =
            |proxy| [(0, arrived), (1, arrived), (2, arrived / 3)].map(|(k, n)| demand(proxy, k, n));
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
fn proxies_are_bound_at_home_to_groups_of_one_zone() {
    let world = calm_world(LevelUnit::Share);
    for proxy in 0..6 {
        let zones: Vec<ZoneId> = world.lines(proxy, 0).keys().map(|id| world.list[id].zone).collect();
        assert_eq!(zones, vec![ZoneId(proxy % 2); 5], "proxy {proxy}");
    }
}

#[test]
fn a_failing_server_is_shut_out_and_comes_back_by_probes() {
    let mut world = calm_world(LevelUnit::Share);
    for _ in 0..4 {
        world.step(0.5, &[World::report(2, 8, 7, 0.3, None)]);
    }
    assert!(!world.lines(0, 2).contains_key(&server(2)), "shut out");
    assert!(world.lines(0, 2).len() == 4, "and no other");
    pass(&mut world, 4, &[2], 9, Some(0.5));
    assert!(!world.lines(0, 2).contains_key(&server(2)), "stays out unprobed");
    for _ in 0..6 {
        world.step(0.7, &[probed(2, ProbeOutcome::Answered)]);
    }
    let (back, whole) = (world.lines(0, 2)[&server(2)], 3.0);
    assert!(back < 0.6 * whole, "back at a share: {back}");
}

#[test]
fn a_server_that_answers_nothing_is_shut_out_by_failed_probes() {
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
fn a_group_that_fails_as_one_keeps_its_servers() {
    let mut world = calm_world(LevelUnit::Share);
    for _ in 0..6 {
        let failing = (0..5).map(|k| World::report(2 * k, 10, 7, 0.9, None));
        world.step(0.5, &failing.collect::<Vec<_>>());
    }
    assert_eq!(world.lines(0, 2).len(), 5);
}

/// What a server can surely do, as a share of its listed weight.
fn warmed(world: &World, started: Nanos) -> f64 {
    let Settings { cold_share, warm_after, .. } = world.settings;
    cold_share + (1.0 - cold_share) * ((world.now - started).secs() / warm_after.secs()).min(1.0)
}

#[test]
fn a_cold_server_waits_and_then_grows() {
    let mut world = calm_world(LevelUnit::Share);
    let start = world.now;
    world.step(0.1, &[World::change(10, Some(start), Readiness::Ready)]);
    world.step(0.5, &[Event::Woken]);
    assert!(!world.lines(0, 2).contains_key(&server(10)), "held back");
    let mut young = None;
    for _ in 0..18 {
        pass(&mut world, 1, &[], 9, Some(0.5));
        let Some(weight) = world.lines(0, 2).get(&server(10)).copied() else { continue };
        let mut others = world.lines(0, 2);
        others.remove(&server(10));
        let whole = others.into_values().fold(0.0, f64::max);
        let most = warmed(&world, start) * 1.12; // lines are told again from a change of 12% on
        assert!(weight <= most * whole, "{weight} of {whole} at {:?}", world.now - start);
        young.get_or_insert(weight);
    }
    let (young, grown) = (young.expect("let in"), world.lines(0, 2)[&server(10)]);
    assert!(young < 0.7 * grown, "{young}, later {grown}");
}

#[test]
fn no_class_is_limited_in_a_group_where_no_proxy_has_it() {
    let world = calm_world(LevelUnit::Rate);
    let unused = world.levels.iter().filter(|((table, class), _)| {
        let held = world.bound.iter().filter(|((_, bound), _)| bound == class);
        !held.map(|(_, bound)| bound).any(|bound| bound == table)
    });
    assert_eq!(unused.count(), 0, "{:?}, {:?}", world.levels, world.bound);
}

/// How long after its start a new server of a group gets a line, where so many tries of ten stay unanswered.
fn let_in_after(unanswered: u64) -> f64 {
    let mut world = calm_world(LevelUnit::Share);
    let heard = |number| World::report(number, 10, unanswered, 0.3, Some(0.5));
    for _ in 0..8 {
        world.step(0.5, &(0..10).map(heard).collect::<Vec<_>>());
    }
    let start = world.now;
    world.step(0.0, &[World::change(10, Some(start), Readiness::Ready)]);
    while !world.lines(0, 2).contains_key(&server(10)) {
        world.step(0.5, &(0..10).map(heard).collect::<Vec<_>>());
        assert!(world.now - start < secs(16.0), "not before it is warm");
    }
    (world.now - start).secs()
}

#[test]
fn a_new_server_waits_longer_where_tries_fail() {
    // It can do 0.25 of its listed weight after 1 s, and 0.5 after 6 s.
    assert!((1.0..3.0).contains(&let_in_after(0)), "{}", let_in_after(0));
    assert!((6.0..8.0).contains(&let_in_after(1)), "{}", let_in_after(1));
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
fn a_controller_lets_no_cold_server_in_before_it_knows_more() {
    let mut world = World::new(settings(LevelUnit::Share), 7, 10);
    world.step(0.1, &(0..6).map(World::join).collect::<Vec<_>>());
    let start = Nanos(world.now.0 - secs(8.0).0);
    world.step(0.1, &[World::change(10, Some(start), Readiness::Ready)]);
    pass(&mut world, 3, &[], 9, Some(0.5));
    assert!(!world.lines(0, 2).contains_key(&server(10)), "3 s after the controller's start");
    pass(&mut world, 4, &[], 9, Some(0.5));
    assert!(world.lines(0, 2).contains_key(&server(10)), "7 s after it");
}

#[test]
fn proxies_that_come_at_once_count_before_they_are_heard() {
    let mut world = calm_world(LevelUnit::Rate);
    let gone: Vec<Event> = (0..5).map(|k| World::change(2 * k, None, Readiness::Removed)).collect();
    world.step(0.1, &gone);
    world.step(0.1, &(0..6).map(|proxy| Event::ProxyLeft { proxy: ProxyId(proxy) }).collect::<Vec<_>>());
    let start = Nanos(world.now.0 - secs(8.0).0);
    world.step(0.1, &[World::change(2, Some(start), Readiness::Ready)]);
    world.step(0.1, &(0..6).map(World::join).collect::<Vec<_>>());
    assert!(world.lines(0, 2).contains_key(&server(2)), "one cold server for all");
    assert!(level(&world, 0, 2) < 1_000.0, "a ceiling of {}", level(&world, 0, 2));
}

#[test]
fn a_server_that_restarts_in_its_place_leaves_at_once() {
    let mut world = calm_world(LevelUnit::Share);
    let now = world.now;
    world.step(0.0, &[World::change(2, Some(now), Readiness::Ready)]);
    assert!(!world.lines(0, 2).contains_key(&server(2)));
}

#[test]
fn the_loss_of_a_zone_moves_its_proxies_at_once_and_leaves_closed_classes_an_empty_table() {
    let mut world = calm_world(LevelUnit::Share);
    let gone: Vec<Event> = (0..5).map(|k| World::change(2 * k, None, Readiness::Removed)).collect();
    world.step(0.3, &gone);
    assert_eq!(world.lines(0, 0).len(), 5, "class 0 goes to the other zone");
    assert!(world.lines(0, 2).is_empty(), "class 2 may run in the lost zone alone");
    world.step(0.3, &[World::join(0)]);
    assert!(world.lines(0, 2).is_empty());
}

#[test]
fn too_much_work_sheds_the_least_important_first() {
    for (unit, busy, wait) in [(LevelUnit::Share, None, 1.5), (LevelUnit::Rate, Some(1.0), 0.9)] {
        let mut world = calm_world(unit);
        for _ in 0..4 {
            let mut events: Vec<Event> = (0..10).map(|k| World::report(k, 8, 2, wait, busy)).collect();
            let classes = |proxy| [(0, 20), (1, 20), (2, 2)].map(|(class, n)| demand(proxy, class, n));
            events.extend((0..6).flat_map(classes));
            world.step(0.5, &events);
            world.step(0.5, &[Event::Woken]);
        }
        let whole = if unit == LevelUnit::Share { 1.0 } else { 20.0 };
        assert!(level(&world, 1, 0) < 0.9 * whole, "{unit:?}: class 0 at {}", level(&world, 1, 0));
        assert!(level(&world, 0, 2) >= whole.min(2.0), "{unit:?}: class 2 at {}", level(&world, 0, 2));
        let tries = world.levels[&(world.bound[&(ProxyId(1), 0)], 0)].1;
        assert_eq!(tries, Retries::Never, "no further tries under strain");
        pass(&mut world, 40, &[], 9, busy.map(|_| 0.5));
        assert!(level(&world, 1, 0) >= whole.min(9.0), "{unit:?}: all are let in again");
    }
}

#[test]
fn where_busy_shares_are_told_a_ceiling_stands_before_the_burst() {
    let world = calm_world(LevelUnit::Rate);
    let level = level(&world, 1, 0);
    assert!((9.0..60.0).contains(&level), "a ceiling of {level} over 9");
}

#[test]
fn weights_follow_waits() {
    let mut world = calm_world(LevelUnit::Share);
    for _ in 0..24 {
        let events = (0..10).map(|k| World::report(k, 8, 0, if k == 2 { 1.2 } else { 0.3 }, None));
        world.step(0.5, &events.collect::<Vec<_>>());
    }
    let lines = world.lines(0, 2);
    assert!(
        lines[&server(2)] < 0.5 * lines[&server(8)],
        "the slow one, of the same listed weight: {lines:?}"
    );
}

#[test]
fn the_list_is_asked_for_at_the_start_and_again_after_a_failure() {
    let mut world = World::new(settings(LevelUnit::Share), 7, 10);
    assert!(world.orders.contains(&Order::WatchList));
    world.step(0.1, &[Event::List { scope: ListScope::Failed, entries: [].into() }]);
    assert!(!world.orders.contains(&Order::WatchList));
    world.step(1.1, &[Event::Woken]);
    assert!(world.orders.contains(&Order::WatchList));
}

#[test]
fn nothing_that_stands_is_sent_again() {
    let mut world = calm_world(LevelUnit::Share);
    pass(&mut world, 20, &[], 9, Some(0.5));
    for _ in 0..20 {
        pass(&mut world, 1, &[], 9, Some(0.5));
        let idle = |order: &Order| matches!(order, Order::Wake { .. });
        assert!(world.orders.iter().all(idle), "{:?}", world.orders);
    }
}

#[test]
fn a_server_bad_for_most_of_its_group_is_told_by_the_better_half() {
    let mut world = calm_world(LevelUnit::Share);
    // Three of the five in zone 0 lose six tries of ten, as on a path that is bad for this controller alone.
    for _ in 0..6 {
        let failed = |k: usize| if [0, 2, 4].contains(&k) { 6 } else { 0 };
        let events: Vec<Event> = (0..10).map(|k| World::report(k, 10, failed(k), 0.3, None)).collect();
        world.step(0.5, &events);
    }
    let lines = world.lines(0, 2);
    assert!(lines.contains_key(&server(6)) && lines.contains_key(&server(8)), "{lines:?}");
    assert!(lines.len() < 5, "some of the bad are out: {lines:?}");
}

#[test]
fn a_rate_level_leaves_room_for_chance_where_little_comes() {
    let mut world = calm_world(LevelUnit::Rate);
    pass(&mut world, 20, &[], 1, Some(0.9));
    let level = level(&world, 1, 0);
    assert!(level >= 1.5, "one operation a second and proxy, at a cap of {level}");
}

/// Guards a takeover: bindings that a former controller made stand, though another group has less load.
#[test]
fn bindings_of_a_former_controller_stand() {
    let mut world = World::new(settings(LevelUnit::Rate), 3, 16);
    let table_of = |world: &World, proxy| world.bound.get(&(ProxyId(proxy), 0)).copied();
    world.step(0.1, &[World::join(0)]);
    world.step(1.0, &[Event::Woken]);
    let first = table_of(&world, 0).unwrap();
    // The next one would go to another group, since the first is loaded; it holds the first's table and keeps it.
    let holds = Event::ExistingBinding { proxy: ProxyId(2), class: ClassId(0), table: first };
    world.step(0.1, &[World::join(2), holds]);
    world.step(1.0, &[Event::Woken]);
    assert_eq!(table_of(&world, 2), Some(first));
    // A table that no group has is of no use: the proxy is bound as any other.
    let nowhere = Event::ExistingBinding { proxy: ProxyId(4), class: ClassId(0), table: TableId(60_000) };
    world.step(0.1, &[World::join(4), nowhere]);
    world.step(1.0, &[Event::Woken]);
    assert!(table_of(&world, 4).is_some_and(|table| table != TableId(60_000)));
}

/// Guards against connections that fall idle between uses: with a group for each class a proxy uses three times the
/// servers, each a third as often, and a handshake is much of an operation's work.
#[test]
fn a_proxy_keeps_its_classes_in_one_group_while_loads_allow() {
    let mut world = World::new(Settings { proxies: 40, ..settings(LevelUnit::Rate) }, 3, 24);
    world.step(0.1, &(0..40).map(World::join).collect::<Vec<_>>());
    pass(&mut world, 30, &[], 9, Some(0.5));
    let tables =
        |proxy: u16| (0..3).map(|class| world.bound[&(ProxyId(proxy), class)]).collect::<BTreeSet<_>>();
    // At home in the zone that all classes may run in.
    let home: Vec<usize> = (0..20).map(|k| tables(2 * k).len()).collect();
    assert!(home.iter().filter(|count| **count == 1).count() >= 12, "tables a proxy: {home:?}");
    let used: BTreeSet<_> = (0..20).flat_map(|k| tables(2 * k)).collect();
    assert!(used.len() >= 2, "and all groups are used");
}

/// Found on reading: beliefs of servers that were gone stayed for good, and each turn looked over all of them.
#[test]
fn servers_that_were_replaced_are_forgotten_and_one_lately_gone_is_not() {
    let mut world = calm_world(LevelUnit::Share);
    let mut most = 0;
    for number in 10..400 {
        // Each is listed for ten seconds, long started, and drained before it goes.
        let entries = [World::change(number, None, Readiness::Ready)];
        world.step(1.0, &entries);
        if number >= 20 {
            world.step(1.0, &[World::change(number - 10, None, Readiness::Draining)]);
            world.step(1.0, &[World::change(number - 10, None, Readiness::Removed)]);
        }
        pass(&mut world, 1, &[], 9, Some(0.5));
        most = most.max(world.controller.known_servers());
    }
    assert!(most <= 50, "{most} are remembered, 20 of them listed and some 15 lately gone");
    assert!(most >= 30, "{most}: who comes back soon is known");
    for proxy in 0..6 {
        assert!(world.lines(proxy, 0).len() >= 4, "tables hold who is listed: {:?}", world.lines(proxy, 0));
    }
}

/// What servers hold, over what they handle, is how long operations stay: it tells of a queue before their answers do.
#[test]
fn a_group_that_holds_operations_for_long_takes_in_less() {
    let level_while_holding = |held: f64| {
        let mut world = calm_world(LevelUnit::Share);
        for _ in 0..8 {
            let reports: Vec<Event> =
                (0..10).map(|number| World::report_in_flight(number, 8, held)).collect();
            let demands = (0..6).flat_map(|proxy| [(0, 9), (1, 9), (2, 3)].map(|(k, n)| demand(proxy, k, n)));
            world.step(0.5, &reports.into_iter().chain(demands).collect::<Vec<_>>());
            world.step(0.5, &[Event::Woken]);
        }
        (0..6).map(|proxy| level(&world, proxy, 0)).sum::<f64>() / 6.0
    };
    let (short, long) = (level_while_holding(2.0), level_while_holding(60.0));
    assert_eq!(short, 1.0, "eight a second, two held: a quarter of a second each");
    assert!(long < 0.9, "eight a second, sixty held: {long} is let in");
    // Half of what is handled is let in at the least, and the most important class comes first.
    assert!(long > 0.1, "and no more is cut than that: {long}");
}

/// Proxies that have just joined bring load that no sum holds yet: what is held is no sign then.
#[test]
fn a_takeover_is_no_sign_that_operations_are_held_for_long() {
    let mut settings = settings(LevelUnit::Share);
    (settings.proxies, settings.controllers) = (6, 2);
    let mut world = World::new(settings, 7, 10);
    world.step(0.1, &[World::join(0)]);
    // Two a second of its own proxy, of a dozen that all proxies bring: four held are a third of a second each.
    let reports = || (0..10).map(|number| World::report_in_flight(number, 2, 4.0)).collect::<Vec<Event>>();
    for _ in 0..16 {
        world.step(0.5, &reports());
        world.step(0.5, &[Event::Woken]);
    }
    let calm = level(&world, 0, 0);
    world.step(0.1, &(1..6).map(World::join).collect::<Vec<_>>());
    for _ in 0..3 {
        world.step(0.5, &reports());
        world.step(0.5, &[Event::Woken]);
        assert!(level(&world, 0, 0) >= calm, "{} of {calm}", level(&world, 0, 0));
    }
}

/// What is refused for good is given again more and more seldom; what passes is given again soon.
#[test]
fn a_refused_order_is_given_again_with_growing_waits() {
    let mut world = World::new(settings(LevelUnit::Share), 7, 10);
    world.step(0.1, &(0..6).map(World::join).collect::<Vec<_>>());
    let line = |order: &&Order| matches!(order, Order::Line { server: to, weight, .. } if *to == server(3) && *weight > 0.0);
    let mut refused: Option<Order> = world.orders.iter().find(line).cloned();
    assert!(refused.is_some(), "{:?}", world.orders);
    let (mut given, mut at) = (Vec::new(), 0.0);
    while at < 20.0 {
        at += 0.25;
        let events: Vec<Event> =
            refused.take().into_iter().map(|order| Event::OrderRefused { order }).collect();
        world.step(0.25, &[events, vec![Event::Woken]].concat());
        refused = world.orders.iter().find(line).cloned();
        given.extend(refused.is_some().then_some(at));
    }
    assert!((4..8).contains(&given.len()), "given again at {given:?}");
    assert!(given[0] <= 1.25, "soon at first: {given:?}");
}

/// All servers that a class may run on start anew at this moment.
fn restart_zone_0(world: &mut World) -> Nanos {
    let start = world.now;
    let changes = (0..5).map(|k| World::change(2 * k, Some(start), Readiness::Ready));
    world.step(0.1, &changes.collect::<Vec<_>>());
    start
}

#[test]
fn a_class_with_cold_servers_alone_is_let_in_by_what_they_can_surely_do() {
    let mut world = calm_world(LevelUnit::Rate);
    // Each server has handled 8 operations a second, half busy; all but class 2 may go elsewhere.
    let (servers, capacity) = (5.0, 16.0);
    pass(&mut world, 10, &[], 30, Some(0.5));
    let start = restart_zone_0(&mut world);
    let cold = [0, 2, 4, 6, 8];
    for _ in 0..24 {
        let table = world.bound[&(ProxyId(0), 2)];
        assert_eq!(world.tables[&table].len(), cold.len(), "{:?} after the start", world.now - start);
        let able = servers * capacity * warmed(&world, start);
        let level = |proxy| world.levels.get(&(world.bound[&(ProxyId(proxy), 2)], 2));
        let let_in: f64 = (0..6).map(|proxy| level(proxy).map_or(f64::INFINITY, |(level, _)| *level)).sum();
        assert!(let_in <= able, "{let_in} of {able} a second, {:?} after the start", world.now - start);
        assert!(let_in >= 0.2 * able, "{let_in} of {able} a second, {:?} after the start", world.now - start);
        pass(&mut world, 1, &cold, 30, Some(0.5));
        if world.now - start > secs(4.0) {
            break;
        }
    }
}

#[test]
fn a_level_for_cold_servers_alone_is_ordered_before_their_lines() {
    for unit in [LevelUnit::Rate, LevelUnit::Share] {
        let mut world = calm_world(unit);
        let gone = (0..5).map(|k| World::change(2 * k, None, Readiness::Removed));
        world.step(0.1, &gone.collect::<Vec<_>>());
        assert!(world.lines(0, 2).is_empty());
        restart_zone_0(&mut world);
        assert_eq!(world.lines(0, 2).len(), 5);
        let held = world.bound[&(ProxyId(0), 2)];
        let is_line = |order: &Order| matches!(order, Order::Line { table, .. } if *table == held);
        let is_level = |order: &Order| match order {
            Order::Level { table, classes, .. } => *table == held && classes.has(ClassId(2)),
            _ => false,
        };
        let (line, level) = (world.orders.iter().position(is_line), world.orders.iter().position(is_level));
        assert!(level.is_some() && level < line, "{:?}", world.orders);
    }
}

#[test]
fn a_lone_cold_server_is_not_sent_one_operation_of_each_of_many_proxies_at_once() {
    let mut world = World::new(settings(LevelUnit::Rate), 7, 10);
    let proxies = 60;
    world.step(0.1, &(0..proxies).map(World::join).collect::<Vec<_>>());
    for _ in 0..16 {
        let mut events: Vec<Event> = (0..10).map(|k| World::report(k, 8, 0, 0.3, Some(0.5))).collect();
        events.extend((0..proxies).flat_map(|proxy| [0, 1, 2].map(|class| demand(proxy, class, 1))));
        world.step(0.5, &events);
        world.step(0.5, &[Event::Woken]);
    }
    let gone = (0..5).map(|k| World::change(2 * k, None, Readiness::Removed));
    world.step(0.1, &gone.collect::<Vec<_>>());
    let start = world.now;
    world.step(0.1, &[World::change(0, Some(start), Readiness::Ready)]);
    assert_eq!(world.lines(0, 2).len(), 1);
    let (capacity, window) = (16.0, world.settings.overload_window.secs());
    let level = world.levels[&(world.bound[&(ProxyId(0), 2)], 2)].0;
    let at_once = f64::from(proxies) * window.min(1.0 + level * window);
    let most = world.settings.overload_multiple * capacity * warmed(&world, start) * window;
    assert!(level == 0.0 || at_once <= most, "{level}: {at_once} may come at once, {most} push it over");
}
