//! The whole coordinator without sockets: input from peers becomes orders for the relay.

use std::collections::{BTreeMap, BTreeSet};

use bytes::{Bytes, BytesMut};
use craneknot::interface::*;
use craneknot_node::clients::ClientId;
use craneknot_node::coordinator::{Coordinator, ShellActions};
use craneknot_node::coverage::WaitingFor;
use craneknot_node::link::{LinkAction, LinkId};
use craneknot_node::log_event::LogEvent;
use craneknot_node::pending::CloseReason;
use craneknot_platform::config::Config;
use http::{Response, StatusCode};
use serde_json::{json, Value};

mod helpers;
use helpers::{config, configuration, ms, ADDRESS, OTHER};

const HOUR_MS: u64 = 3_600_000;
const NO_LINE_LIMIT_MS: u64 = 2_800; // of the configuration: how long a proxy may be without a line

/// A server as discovery lists it; those with even numbers are in zone a. `started`: in milliseconds of the
/// wall clock.
fn listed(number: usize, started: u64) -> Value {
    let zone = if number.is_multiple_of(2) { "a" } else { "b" };
    json!({"id": format!("s-{number}"), "host_port": format!("127.0.0.1:{}", 9_000 + number), "cell": 0,
           "locality": zone, "flavor": "m2", "phase": "SERVING", "size": 1.0, "up_since_ms": started})
}

/// A configuration that remembers these servers, with their starts.
fn config_of(servers: &[(usize, u64)]) -> Config {
    let mut value = configuration(0);
    value["known"]["members"] = servers.iter().map(|(number, started)| listed(*number, *started)).collect();
    Config::parse(value.to_string().as_bytes()).unwrap()
}

/// A minimal platform around a coordinator: it answers calls at once and records what they carried.
struct Platform {
    coordinator: Coordinator,
    now: Nanos,
    event_links: Vec<LinkId>,
    watch_calls: Vec<(LinkId, String)>,
    probes: Vec<LinkId>,
    orders: Vec<String>,
    /// The relay does not answer calls.
    is_silent: bool,
    /// The relay refuses orders for this proxy.
    unknown_proxy: Option<u16>,
    /// The relay answers every call with `throttled`.
    is_throttling: bool,
    log_events: Vec<LogEvent>,
}

impl Platform {
    fn new() -> Self {
        Self::start(config(), ms(0))
    }

    /// A coordinator with this configuration, started at this time of its own clock.
    fn start(config: Config, now: Nanos) -> Self {
        let coordinator = Coordinator::new(config, now);
        let (event_links, watch_calls, probes, orders, log_events) = Default::default();
        let (is_silent, is_throttling, unknown_proxy) = (false, false, None);
        Platform {
            coordinator,
            now,
            event_links,
            watch_calls,
            probes,
            orders,
            is_silent,
            unknown_proxy,
            is_throttling,
            log_events,
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + ms(millis);
        while self.now < end {
            self.turn();
            self.now = self.now + ms(5);
        }
    }

    fn turn(&mut self) -> ShellActions {
        let actions = self.coordinator.turn(self.now);
        self.log_events.extend(actions.log_events.iter().cloned());
        for act in &actions.link_actions {
            let (link, request) = match act {
                LinkAction::Dial { link, request, .. } | LinkAction::Send { link, request } => {
                    (*link, request)
                }
                LinkAction::Close { link } => {
                    self.event_links.retain(|event_links| event_links != link);
                    continue;
                }
            };
            let text = String::from_utf8_lossy(request).into_owned();
            match text.split(' ').nth(1).unwrap_or_default() {
                "/api/events" => self.event_links.push(link),
                "/metrics/load" => self.probes.push(link),
                "/api/" if self.is_silent => {}
                "/api/" if self.is_throttling => {
                    self.answer(link, StatusCode::OK, "<Response><error>throttled</error></Response>");
                }
                "/api/" => {
                    let (_, form) = text.split_once("ops=").unwrap();
                    let orders = form.split("%3B").map(|order| order.replace("%2C", ","));
                    let unusable = self.unknown_proxy.map(|proxy| format!("bind,{proxy},"));
                    let usable =
                        |order: &String| unusable.as_ref().is_none_or(|bind| !order.starts_with(bind));
                    let taken: Vec<String> = orders.take_while(usable).collect();
                    let count = taken.len();
                    self.orders.extend(taken);
                    let body = format!("<Response><ok_count>{count}</ok_count></Response>");
                    self.answer(link, StatusCode::OK, &body);
                }
                path => self.watch_calls.push((link, path.to_owned())),
            }
        }
        actions
    }

    fn answer(&mut self, link: LinkId, status: StatusCode, body: &str) {
        let mut response = Response::new(Bytes::copy_from_slice(body.as_bytes()));
        *response.status_mut() = status;
        self.coordinator.answered(self.now, link, &response, true);
    }

    fn send_event(&mut self, event_links: &str) {
        for link in self.event_links.clone() {
            let bytes = Bytes::copy_from_slice(event_links.as_bytes());
            self.coordinator.event_stream_input(self.now, link, StatusCode::OK, &bytes);
        }
    }

    fn join(&mut self, proxies: std::ops::Range<u16>) {
        self.run(400);
        for proxy in proxies {
            let zone = if proxy.is_multiple_of(2) { "a" } else { "b" };
            self.send_event(&format!("event: attach\ndata: node={proxy}&locality={zone}&w=1.5&cold=1\n\n"));
        }
        self.run(1_000);
    }

    /// The servers that a proxy has lines for, by the orders that the relay has taken.
    fn lines(&self, proxy: u16, class: &str) -> BTreeSet<String> {
        let mut tables: BTreeMap<&str, BTreeSet<String>> = BTreeMap::new();
        let mut bound = None;
        for order in &self.orders {
            match order.split(',').collect::<Vec<_>>()[..] {
                ["share", table, server, "0"] => {
                    tables.entry(table).or_default().remove(server);
                }
                ["share", table, server, _] => {
                    tables.entry(table).or_default().insert(server.to_owned());
                }
                ["bind", of, table, classes] if of == proxy.to_string() => {
                    bound = classes.split('+').any(|name| name == class).then_some(table).or(bound);
                }
                _ => {}
            }
        }
        bound.and_then(|table| tables.remove(table)).unwrap_or_default()
    }

    /// Answers the newest call of the watch with changes to these servers, which are ready and started at
    /// these wall-clock times.
    fn list_changes(&mut self, revision: u64, servers: &[(usize, u64)]) {
        let entries: Vec<Value> = servers.iter().map(|(server, started)| listed(*server, *started)).collect();
        let list = json!({"revision": revision, "complete": false, "members": entries});
        let link = self.watch_calls.last().unwrap().0;
        self.answer(link, StatusCode::OK, &list.to_string());
    }

    fn bound(&self, proxy: u16) -> usize {
        let bind = format!("bind,{proxy},");
        self.orders.iter().filter(|order| order.starts_with(&bind)).count()
    }
}

#[test]
fn joined_proxies_are_bound_to_tables_with_lines() {
    let mut platform = Platform::new();
    platform.join(0..10);
    assert!((0..10).all(|proxy| platform.bound(proxy) > 0), "{:?}", platform.orders);
    let shares = platform.orders.iter().filter(|order| order.starts_with("share,")).count();
    assert!(shares >= 6, "each known server has a line: {:?}", platform.orders);
    let (link, path) = platform.watch_calls[0].clone();
    assert_eq!(path, "/discovery/hosts?index=41&wait=0");
    // A draining server is removed from its tables with the next call.
    let before = platform.orders.len();
    let entry =
        "{\"id\":\"s-0\",\"host_port\":\"127.0.0.1:9000\",\"locality\":\"a\",\"flavor\":\"m2\",\"cell\":0,\
                 \"phase\":\"DRAINING\",\"size\":1.0,\"up_since_ms\":0}";
    platform.answer(
        link,
        StatusCode::OK,
        &format!("{{\"revision\":42,\"complete\":false,\"members\":[{entry}]}}"),
    );
    platform.run(100);
    let ordered = &platform.orders[before..];
    assert!(
        ordered.iter().any(|order| order.starts_with("share,") && order.ends_with(",s-0,0")),
        "{ordered:?}"
    );
    assert_eq!(platform.watch_calls.last().unwrap().1, "/discovery/hosts?index=42&wait=5000");
}

#[test]
fn orders_wait_for_a_silent_relay_and_follow_its_new_address() {
    let mut platform = Platform::new();
    platform.is_silent = true;
    platform.join(0..4);
    assert!(platform.orders.is_empty() && platform.coordinator.status().orders_waiting > 0);
    let mut moved = config();
    moved.relay = OTHER;
    platform.is_silent = false;
    platform.coordinator.reconfigure(platform.now, &moved);
    let acts = platform.turn().link_actions;
    let dials = acts.iter().filter_map(|act| match act {
        LinkAction::Dial { address, .. } => Some(*address),
        LinkAction::Send { .. } | LinkAction::Close { .. } => None,
    });
    assert!(
        dials.clone().count() > 0 && dials.into_iter().all(|address| address == OTHER && address != ADDRESS)
    );
    platform.run(500);
    assert!((0..4).all(|proxy| platform.bound(proxy) > 0), "{:?}", platform.orders);
    assert_eq!(platform.coordinator.status().orders_waiting, 0);
}

#[test]
fn an_unreadable_list_is_requested_again() {
    let mut platform = Platform::new();
    platform.run(50);
    for (status, body) in [(200, "{\"revision\":42}"), (503, ""), (200, "[]")] {
        let calls_before = platform.watch_calls.len();
        let link = platform.watch_calls[calls_before - 1].0;
        platform.answer(link, StatusCode::from_u16(status).unwrap(), body);
        let waited = (0..2_000).take_while(|_| {
            platform.run(5);
            platform.watch_calls.len() == calls_before
        });
        let waited = waited.count();
        assert!((50..2_000).contains(&waited), "the controller requests it again after a while: {waited}");
    }
}

/// Any bytes from any peer in any order lead to errors at most, and the coordinator continues.
#[test]
fn no_input_makes_the_coordinator_panic() {
    fn survives(inputs: Vec<(u8, Vec<u8>)>) -> bool {
        let mut platform = Platform::new();
        platform.join(0..3);
        for (number, (source, bytes)) in inputs.into_iter().enumerate() {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let links =
                [platform.event_links.first().copied(), platform.watch_calls.last().map(|watch| watch.0)];
            match source % 4 {
                0 => {
                    let id = ClientId(number as u64);
                    platform.coordinator.client_connected(platform.now, id);
                    let mut input = BytesMut::from(&b"{\"type\":\"telemetry\",\"locality\":\"a\"}\n"[..]);
                    input.extend_from_slice(&bytes);
                    platform.coordinator.client_input(platform.now, id, &mut input);
                }
                1 => platform.send_event(&text),
                2 => {
                    links.into_iter().flatten().for_each(|link| platform.answer(link, StatusCode::OK, &text))
                }
                _ => links
                    .into_iter()
                    .flatten()
                    .for_each(|link| platform.coordinator.link_lost(platform.now, link, "reset")),
            }
            platform.run(50);
        }
        platform.run(2_000);
        platform.coordinator.status().servers == 6
    }
    quickcheck::QuickCheck::new().tests(40).quickcheck(survives as fn(Vec<(u8, Vec<u8>)>) -> bool);
}

/// An event that names a proxy out of range is dropped alone; the other events of the stream are used.
#[test]
fn an_event_with_a_field_out_of_range_is_dropped_without_the_stream() {
    let mut platform = Platform::new();
    platform.run(400);
    let streams = platform.event_links.clone();
    for fields in
        ["node=60000&locality=a&w=1.5", "node=1&locality=a&w=x", "node=-1&locality=a&w=1.5", "locality=a"]
    {
        platform.send_event(&format!("event: attach\ndata: {fields}\n\n"));
    }
    platform.join(0..4);
    assert!((0..4).all(|proxy| platform.bound(proxy) > 0), "{:?}", platform.orders);
    assert_eq!(platform.event_links, streams, "no stream was dropped");
    assert_eq!(platform.coordinator.status().events_malformed, 8, "four on each of two streams");
}

/// A shutdown ends only when all orders are acknowledged and all answers are written, by the record of
/// pending work.
#[test]
fn a_shutdown_waits_for_unacknowledged_orders_and_unwritten_answers() {
    let mut platform = Platform::new();
    platform.is_silent = true;
    platform.join(0..4);
    platform.coordinator.shut_down();
    platform.run(100);
    assert!(!platform.coordinator.is_finished(), "orders are unacknowledged");
    platform.is_silent = false;
    platform.run(1_000);
    assert!(platform.coordinator.is_finished(), "{:?}", platform.coordinator.status());
    let id = ClientId(1);
    platform.coordinator.client_connected(platform.now, id);
    let mut input = BytesMut::from(&b"{\"type\":\"hb\"}\n"[..]);
    platform.coordinator.client_input(platform.now, id, &mut input);
    assert!(!platform.coordinator.is_client_work_done(), "a request is unanswered");
    platform.coordinator.client_answered(id, true);
    assert!(!platform.coordinator.is_client_work_done(), "the answer is not written");
    platform.coordinator.client_flushed(id);
    assert!(platform.coordinator.is_client_work_done());
    assert!(!platform.coordinator.is_finished(), "the client is still connected");
    platform.coordinator.client_closed(id, CloseReason::ByPeer);
    assert!(platform.coordinator.is_finished());
    assert_eq!(platform.coordinator.abandon().total(), 0);
}

/// The check on outgoing orders does not depend on the controller's state.
#[test]
fn no_order_that_violates_a_rule_is_permitted() {
    let mut platform = Platform::new();
    platform.join(0..2);
    let permits = |order: Order| platform.coordinator.permits(&order);
    let line =
        |server: &str, weight| Order::Line { table: TableId(0), server: ServerId(server.into()), weight };
    assert!(permits(line("s-0", 1.0)) && permits(line("gone", 0.0)));
    assert!(!permits(line("gone", 1.0)), "no line for a server that is not listed");
    let bind = |proxy| Order::Bind { proxy: ProxyId(proxy), classes: ClassSet(1), table: TableId(0) };
    assert!(permits(bind(1)) && !permits(bind(2)), "no binding of a proxy that is not joined");
    let level = |class, tries| Order::Level {
        table: TableId(0),
        classes: ClassSet::of(ClassId(class)),
        level: 1.0,
        retries: tries,
    };
    // The second class must not run twice.
    assert!(permits(level(0, Retries::Once)) && permits(level(1, Retries::IfNotExecuted)));
    assert!(!permits(level(1, Retries::Once)) && !permits(level(1, Retries::Twice)));
}

/// With a wall clock an hour behind, every start that discovery reports lies in the future, which says
/// nothing of a server's age. A fleet restarted recently, as by a release, must still get lines.
#[test]
fn with_a_wall_clock_an_hour_behind_proxies_have_lines_for_each_class() {
    let true_time = 10 * HOUR_MS;
    // The last one started a second ago, each of the others 20 s before the next.
    let servers: Vec<(usize, u64)> =
        (0..6).map(|number| (number, true_time - 1_000 - 20_000 * (5 - number as u64))).collect();
    let mut platform = Platform::start(config_of(&servers), ms(true_time - HOUR_MS));
    platform.join(0..6);
    platform.run(NO_LINE_LIMIT_MS - 1_000);
    for proxy in 0..6 {
        for class in ["lookup", "issue"] {
            assert!(!platform.lines(proxy, class).is_empty(), "proxy {proxy} has no line for {class}");
        }
    }
}

/// A zone partitioned from discovery returns to the list with its earlier starts. A coordinator that started
/// during the partition has never seen these servers and must not treat all of them as cold.
#[test]
fn servers_that_return_to_the_list_with_their_old_starts_have_lines() {
    let true_time = 10 * HOUR_MS;
    let mut platform = Platform::start(config_of(&[(1, 0), (3, 0), (5, 0)]), ms(true_time));
    platform.join(0..6);
    platform.list_changes(42, &[]);
    platform.run(4_000);
    let started = true_time - 60_000;
    platform.list_changes(43, &[(0, started), (2, started), (4, started)]);
    platform.run(NO_LINE_LIMIT_MS);
    // This class may run in that zone only.
    for proxy in 0..6 {
        assert!(!platform.lines(proxy, "issue").is_empty(), "proxy {proxy} has no line for issue");
    }
}

/// The controller assumes that its orders are carried out. A binding that the relay has refused twice must be
/// reported to it, or it is never ordered again.
#[test]
fn a_refused_binding_is_ordered_again() {
    let mut platform = Platform::new();
    platform.unknown_proxy = Some(3);
    platform.join(0..6);
    platform.run(1_000);
    assert_eq!(platform.bound(3), 0);
    platform.unknown_proxy = None;
    platform.run(2_000);
    assert!(platform.bound(3) > 0, "the binding was not ordered again although no event arrived");
    assert!(!platform.lines(3, "lookup").is_empty());
}

/// The run-time check reports a proxy whose binding is missing, which the controller's state does not show.
#[test]
fn a_missing_binding_is_reported_while_it_lasts() {
    let mut platform = Platform::new();
    platform.unknown_proxy = Some(3);
    platform.join(0..6);
    platform.run(NO_LINE_LIMIT_MS + 500);
    let coverage = platform.coordinator.status().coverage;
    assert_eq!((coverage.uncovered, coverage.over_limit), (2, 2), "two classes of one proxy");
    assert!(coverage.longest > ms(NO_LINE_LIMIT_MS));
    let gaps = platform.log_events.iter().filter_map(|event| match event {
        LogEvent::Lapse { lapse, class, .. } => Some((lapse.proxy.0, class.as_str(), lapse.waiting_for)),
        _ => None,
    });
    let reported: Vec<_> = gaps.collect();
    assert_eq!(
        reported,
        [(3, "lookup", WaitingFor::BindingRefused), (3, "issue", WaitingFor::BindingRefused)]
    );
    platform.unknown_proxy = None;
    platform.run(2_000);
    assert_eq!(platform.coordinator.status().coverage.uncovered, 0);
}

/// Before the platform puts its coordinators to use, the relay rejects their calls: the wait does not count
/// as a coverage gap.
#[test]
fn a_throttling_relay_causes_no_coverage_gap() {
    let mut platform = Platform::new();
    platform.is_throttling = true;
    platform.join(0..6);
    platform.run(2 * NO_LINE_LIMIT_MS);
    assert_eq!(platform.coordinator.status().coverage.over_limit, 0);
    platform.is_throttling = false;
    platform.run(500);
    let coverage = platform.coordinator.status().coverage;
    assert_eq!((coverage.uncovered, coverage.over_limit), (0, 0));
    assert!(coverage.longest < ms(500), "{coverage:?}");
}
