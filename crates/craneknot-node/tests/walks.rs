//! Randomised tests of the parts without I/O: calls, events, timers and reloads interleave at any step, and
//! the invariants are checked after each. A failure names its seed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use craneknot::interface::*;
use craneknot_node::coordinator::Coordinator;
use craneknot_node::event_streams::EventStreams;
use craneknot_node::link::{LinkAction, LinkId, LinkIds};
use craneknot_node::order_queue::OrderQueue;
use craneknot_platform::events::RelayEvent;
use http::{Response, StatusCode};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::json;

mod helpers;
use helpers::peers::orders;
use helpers::{call_limits, config, encoded, ms, ADDRESS, OTHER};

const PROXIES: u16 = 6;

/// An order queue with a relay that may or may not execute its calls, and the proxies that are joined to the
/// relay.
struct Calls {
    order_queue: OrderQueue,
    links: LinkIds,
    now: u64,
    /// The call in flight, as received by the relay.
    in_flight: Option<(LinkId, Vec<String>)>,
    joined: BTreeSet<u16>,
    /// All executed orders, in order.
    executed: Vec<String>,
    /// Number of orders whose outcome the queue has reported.
    settled: usize,
}

impl Calls {
    fn turn(&mut self) {
        let mut acts = Vec::new();
        self.order_queue.turn(ms(self.now), &mut self.links, &mut acts);
        self.take(acts);
        let next = self.order_queue.next_at();
        assert!(next.is_none_or(|next| next > ms(self.now)), "a timer in the past: {next:?} at {}", self.now);
        assert!(next.is_some() || self.order_queue.is_idle(), "orders wait without a timer");
    }

    fn take(&mut self, acts: Vec<LinkAction>) {
        for act in acts {
            match act {
                LinkAction::Dial { link, request, .. } | LinkAction::Send { link, request } => {
                    assert!(self.in_flight.is_none(), "one call at a time");
                    self.in_flight = Some((link, orders(std::str::from_utf8(&request).unwrap())));
                }
                LinkAction::Close { link } => drop(self.in_flight.take_if(|(asked, _)| *asked == link)),
            }
        }
    }

    /// Executes orders up to the first that the relay can't use, and returns their number.
    fn execute(&mut self, orders: &[String]) -> usize {
        let usable = |order: &&String| match order.split(',').collect::<Vec<_>>()[..] {
            ["bind", proxy, ..] => self.joined.contains(&proxy.parse().unwrap()),
            _ => true,
        };
        let taken: Vec<String> = orders.iter().take_while(usable).cloned().collect();
        self.executed.extend(taken.iter().cloned());
        taken.len()
    }

    /// Ends the call in flight in one of several ways.
    fn end_call(&mut self, outcome: u32) {
        let Some((_, orders)) = self.in_flight.clone() else { return };
        let mut acts = Vec::new();
        let now = ms(self.now);
        let body = |count: usize| format!("<Response><ok_count>{count}</ok_count></Response>").into_bytes();
        match outcome {
            // The connection breaks, with the call executed (0) or not (1); the relay executes it and stays
            // silent (2).
            0 | 1 => {
                if outcome == 0 {
                    self.execute(&orders);
                }
                self.in_flight = None;
                self.order_queue.lost(now);
            }
            2 => drop(self.execute(&orders)),
            3 => {
                self.in_flight = None;
                let refused = b"<Response><error>throttled</error></Response>";
                self.order_queue.answered(now, refused, true, &mut acts).unwrap();
            }
            4 => {
                self.execute(&orders);
                self.in_flight = None;
                assert!(self.order_queue.answered(now, b"<Resp", true, &mut acts).is_err());
            }
            _ => {
                let count = self.execute(&orders);
                self.in_flight = None;
                // An error reports an order that was given up.
                let _ = self.order_queue.answered(now, &body(count), outcome.is_multiple_of(2), &mut acts);
            }
        }
        self.take(acts);
    }
}

/// For each given order, the position at which it was last executed.
fn last_positions(executed: &[String], given: &[String]) -> Vec<Option<usize>> {
    given.iter().map(|order| executed.iter().rposition(|executed| executed == order)).collect()
}

#[test]
fn no_order_is_lost_or_overtaken_however_calls_end() {
    for seed in 0..300 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let order_queue = OrderQueue::new(ADDRESS, call_limits(), ms(0));
        let mut calls = Calls {
            order_queue,
            links: LinkIds::default(),
            now: 0,
            in_flight: None,
            joined: (0..PROXIES).collect(),
            executed: Vec::new(),
            settled: 0,
        };
        // The orders given: those for all proxies, and those for each proxy since it was reported as joined.
        let (mut common, mut own) = (Vec::new(), vec![Vec::new(); usize::from(PROXIES)]);
        let mut reported: BTreeSet<u16> = (0..PROXIES).collect();
        let (mut number, mut address) = (0, ADDRESS);
        for step in 0..400 {
            let is_quiet = step >= 300; // the relay answers, and no proxy joins or leaves
            calls.now += rng.random_range(0..if is_quiet { 400 } else { 120 });
            let proxy = rng.random_range(0..PROXIES);
            match rng.random_range(0..10) {
                0..3 if !is_quiet => {
                    number += 1;
                    let order = format!("clear,{number}");
                    common.push(order.clone());
                    calls.order_queue.enqueue([encoded(order, None, None)]);
                }
                3..5 if !is_quiet && reported.contains(&proxy) => {
                    number += 1;
                    let order = format!("bind,{proxy},{number},lookup");
                    own[usize::from(proxy)].push(order.clone());
                    calls.order_queue.enqueue([encoded(order, Some(ProxyId(proxy)), None)]);
                }
                // It leaves; the event follows later, or when it joins again.
                5 if !is_quiet => drop(calls.joined.remove(&proxy)),
                6 if !is_quiet && !calls.joined.contains(&proxy) => {
                    calls.order_queue.proxy_left(ProxyId(proxy));
                    reported.remove(&proxy);
                    own[usize::from(proxy)].clear();
                    if rng.random() {
                        calls.joined.insert(proxy);
                        reported.insert(proxy);
                    }
                }
                7 if !is_quiet && rng.random_range(0..10) == 0 => {
                    address = if address == ADDRESS { OTHER } else { ADDRESS };
                    let mut acts = Vec::new();
                    calls.order_queue.move_to(ms(calls.now), address, &mut acts);
                    calls.take(acts);
                }
                _ => calls.end_call(if is_quiet { 9 } else { rng.random_range(0..10) }),
            }
            calls.turn();
            calls.settled += calls.order_queue.take_outcomes().len();
            let accounted = calls.settled + calls.order_queue.waiting();
            assert_eq!(accounted, number, "seed {seed}: each order has one outcome or waits");
        }
        let positions = last_positions(&calls.executed, &common);
        assert!(positions.iter().all(Option::is_some) && positions.is_sorted(), "seed {seed}: {positions:?}");
        for proxy in reported.intersection(&calls.joined) {
            let given = &own[usize::from(*proxy)];
            let positions = last_positions(&calls.executed, given);
            let last = calls.executed.iter().rfind(|order| order.starts_with(&format!("bind,{proxy},")));
            assert!(
                positions.iter().all(Option::is_some) && positions.is_sorted(),
                "seed {seed}, {proxy}: {positions:?}"
            );
            assert!(given.is_empty() || last == given.last(), "seed {seed}: {proxy} uses an earlier binding");
        }
        assert!(calls.order_queue.waiting() <= own.iter().map(Vec::len).sum::<usize>(), "seed {seed}");
    }
}

/// One event stream with the events in transit on it.
struct Stream {
    link: LinkId,
    address: std::net::SocketAddr,
    in_transit: VecDeque<(u64, Option<RelayEvent>)>,
    silent_until: u64,
    /// Delay in addition to the usual one.
    lag: u64,
}

fn joined(proxy: u16) -> RelayEvent {
    RelayEvent::Joined { proxy: ProxyId(proxy), zone: ZoneId(0), usual_rate: 1.0 }
}

#[test]
fn joined_proxies_are_known_and_join_once_whatever_happens_to_the_event_streams() {
    for seed in 0..300 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let (mut streams, mut links) = (EventStreams::new(ADDRESS, ms(0)), LinkIds::default());
        let mut open_streams: Vec<Stream> = Vec::new();
        let (mut address, mut closes_at) = (ADDRESS, u64::MAX);
        // Since when each proxy has actually been joined, and has been reported as joined.
        let (mut joined_since, mut reported) = (BTreeMap::<u16, u64>::new(), BTreeMap::<u16, u64>::new());
        for now in (0..50_000).step_by(20) {
            let is_quiet = now >= 30_000;
            let mut events = Vec::new();
            if !is_quiet && rng.random_range(0..10) == 0 {
                let proxy = rng.random_range(0..PROXIES);
                if joined_since.remove(&proxy).is_some() {
                    events.push(RelayEvent::Left { proxy: ProxyId(proxy) });
                }
                if rng.random() {
                    joined_since.insert(proxy, now);
                    events.push(joined(proxy));
                }
            }
            // A proxy's stream leads to the relay whichever address it listens on; all event streams carry
            // the same events.
            for stream in &mut open_streams {
                let arrives_at = now + stream.lag + rng.random_range(0..100);
                let arrives_at =
                    stream.in_transit.back().map_or(arrives_at, |(last, _)| arrives_at.max(*last));
                stream.in_transit.extend(events.iter().cloned().map(|event| (arrives_at, Some(event))));
                if now % 1_000 == 0 {
                    stream.in_transit.push_back((arrives_at, None));
                }
            }
            if !is_quiet && rng.random_range(0..400) == 0 && closes_at == u64::MAX {
                address = if address == ADDRESS { OTHER } else { ADDRESS };
                streams.move_to(ms(now), address);
                closes_at = now + 1_500;
            }
            let mut out = Vec::new();
            let (mut broken, mut received) = (Vec::new(), Vec::new());
            for stream in &mut open_streams {
                let closed = now >= closes_at && stream.address != address;
                if closed || !is_quiet && rng.random_range(0..300) == 0 {
                    broken.push(stream.link);
                } else if !is_quiet && rng.random_range(0..600) == 0 {
                    stream.silent_until = now + rng.random_range(0..6_000);
                } else if rng.random_range(0..200) == 0 {
                    stream.lag = if is_quiet || rng.random() { 0 } else { rng.random_range(0..4_000) };
                }
                if now >= stream.silent_until {
                    let due = stream.in_transit.iter().take_while(|(at, _)| *at <= now).count();
                    if due > 0 {
                        received.push((
                            stream.link,
                            stream.in_transit.drain(..due).filter_map(|(_, event)| event).collect(),
                        ));
                    }
                }
            }
            if now >= closes_at {
                closes_at = u64::MAX;
            }
            for (link, events) in received {
                streams.receive(ms(now), link, events, &mut out);
            }
            for link in broken {
                open_streams.retain(|stream| stream.link != link);
                streams.lost(ms(now), link, &mut out);
            }
            let mut acts = Vec::new();
            streams.turn(ms(now), &mut links, &mut acts, &mut out);
            for act in acts {
                match act {
                    LinkAction::Dial { link, address: to, .. } => {
                        // Known limit: a stream must have caught up before another one begins.
                        for stream in &mut open_streams {
                            stream.lag = 0;
                            stream.in_transit.iter_mut().for_each(|(at, _)| *at = (*at).min(now + 100));
                        }
                        // The proxies that are joined already are reported first.
                        let in_transit = joined_since.keys().map(|proxy| (now + 30, Some(joined(*proxy))));
                        let in_transit = std::iter::once((now + 30, None)).chain(in_transit).collect();
                        if to == address {
                            open_streams.push(Stream {
                                link,
                                address: to,
                                in_transit,
                                silent_until: 0,
                                lag: 0,
                            });
                        }
                    }
                    LinkAction::Close { link } => open_streams.retain(|stream| stream.link != link),
                    LinkAction::Send { .. } => panic!("an event stream takes no further requests"),
                }
            }
            for event in out {
                match event {
                    RelayEvent::Joined { proxy, .. } => {
                        let twice = reported.insert(proxy.0, now);
                        assert!(twice.is_none(), "seed {seed}: {proxy:?} joins twice at {now}");
                    }
                    RelayEvent::Left { proxy } => {
                        assert!(
                            reported.remove(&proxy.0).is_some(),
                            "seed {seed}: {proxy:?} leaves twice at {now}"
                        );
                    }
                    RelayEvent::Applied { .. } => {}
                }
            }
            let next = streams.next_at(ms(now));
            assert!(
                next.is_some_and(|next| next > ms(now)),
                "seed {seed}: a timer in the past at {now}: {next:?}"
            );
            assert!(open_streams.len() <= 4, "seed {seed}: {} streams at {now}", open_streams.len());
        }
        assert!(joined_since.keys().eq(reported.keys()), "seed {seed}: {joined_since:?} {reported:?}");
        for (proxy, since) in &joined_since {
            assert!(reported[proxy] >= *since, "seed {seed}: the last join of {proxy} was not reported");
        }
    }
}

/// The whole coordinator without sockets, and all its peers.
struct Peers {
    coordinator: Coordinator,
    now: u64,
    /// Its open connections, with the peer and the last request.
    links: BTreeMap<LinkId, (Peer, String)>,
    /// Connections with a request that waits for an answer.
    in_flight: BTreeSet<LinkId>,
    joined: BTreeSet<u16>,
    revision: u64,
    /// The shutdown has started.
    shutting_down: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Peer {
    Events,
    Calls,
    List,
    Probe,
}

impl Peers {
    fn turn(&mut self) {
        let todo = self.coordinator.turn(ms(self.now));
        for act in todo.link_actions {
            let (link, request, dialled) = match act {
                LinkAction::Dial { link, request, .. } => (link, request, true),
                LinkAction::Send { link, request } => (link, request, false),
                LinkAction::Close { link } => {
                    self.links.remove(&link);
                    self.in_flight.remove(&link);
                    continue;
                }
            };
            let text = String::from_utf8_lossy(&request).into_owned();
            let path = text.split(' ').nth(1).unwrap().to_owned();
            let peer = match path.as_str() {
                "/api/events" => Peer::Events,
                "/api/" => Peer::Calls,
                "/metrics/load" => Peer::Probe,
                _ => Peer::List,
            };
            assert!(!self.shutting_down || peer == Peer::Calls, "{path} after the shutdown began");
            assert_eq!(self.links.insert(link, (peer, text)).is_none(), dialled, "a link id is used once");
            if dialled && !link.0.is_multiple_of(3) {
                self.coordinator.link_connected(link);
            }
            assert!(self.in_flight.insert(link), "one request in flight on a connection");
        }
        let count = |peer: Peer| self.links.values().filter(|(other, _)| *other == peer).count();
        assert!(count(Peer::Calls) <= 1, "one connection for calls");
        assert!(count(Peer::List) <= 4, "the watch, and three attempts beside a silent one");
        assert!(count(Peer::Events) <= 4 && count(Peer::Probe) <= 16);
        let next = self.coordinator.next_at(ms(self.now));
        assert!(next.is_none_or(|next| next > ms(self.now)), "a timer in the past: {next:?} at {}", self.now);
        assert!(next.is_some() || self.shutting_down, "no timer");
    }

    fn answer(&mut self, link: LinkId, status: u16, body: &str, keeps: bool) {
        self.in_flight.remove(&link);
        let mut response = Response::new(Bytes::copy_from_slice(body.as_bytes()));
        *response.status_mut() = StatusCode::from_u16(status).unwrap();
        self.coordinator.answered(ms(self.now), link, &response, keeps);
    }

    fn lose(&mut self, link: LinkId) {
        self.links.remove(&link);
        self.in_flight.remove(&link);
        self.coordinator.link_lost(ms(self.now), link, "reset");
    }

    fn send_events(&mut self, link: LinkId, text: &str) {
        let bytes = Bytes::copy_from_slice(text.as_bytes());
        self.coordinator.event_stream_input(ms(self.now), link, StatusCode::OK, &bytes);
    }

    /// Lets the peer at the other end act, correctly or not.
    fn serve(&mut self, rng: &mut Pcg32, link: LinkId) {
        let (peer, text) = self.links[&link].clone();
        match peer {
            Peer::Events => {
                if self.in_flight.remove(&link) {
                    let attach = |proxy: &u16| {
                        format!("event: attach\ndata: node={proxy}&locality=a&w=1.5&cold=1\n\n")
                    };
                    let all: String = self.joined.iter().map(attach).collect();
                    self.send_events(link, &format!(":\n{all}"));
                } else {
                    self.send_events(link, ":\n");
                }
            }
            Peer::Calls if self.in_flight.contains(&link) => {
                let (_, body) = text.split_once("\r\n\r\n").unwrap();
                let orders = orders(body);
                let is_unusable = |order: &String| {
                    let has_left = |proxy: &str| !self.joined.contains(&proxy.parse().unwrap());
                    order.strip_prefix("bind,").is_some_and(|rest| has_left(rest.split(',').next().unwrap()))
                };
                let taken = orders.iter().position(is_unusable).unwrap_or(orders.len());
                let body = format!("<Response><ok_count>{taken}</ok_count></Response>");
                let body = if rng.random_range(0..10) == 0 { "<Resp".into() } else { body };
                self.answer(link, 200, &body, rng.random());
            }
            Peer::List if self.in_flight.contains(&link) => {
                self.revision += rng.random_range(0..3);
                let revision = self.revision - u64::from(rng.random_range(0..6) == 0);
                let entry = |k: usize, rng: &mut Pcg32| {
                    let phase = ["SERVING", "SERVING", "DRAINING", "DELETED", "odd"][rng.random_range(0..5)];
                    json!({"id": format!("s-{k}"), "host_port": format!("127.0.0.1:{}", 9_000 + k), "locality": "a",
                           "flavor": "m2", "phase": phase, "up_since_ms": 0})
                };
                let complete: bool = rng.random();
                let many = if complete { 8 } else { rng.random_range(0..3) };
                let members: Vec<_> = (0..many).map(|k| entry(k + rng.random_range(0..5), rng)).collect();
                let list =
                    json!({"revision": revision, "complete": complete, "members": members}).to_string();
                let status = if rng.random_range(0..5) == 0 { 503 } else { 200 };
                self.answer(link, status, &list, rng.random());
            }
            Peer::Probe if self.in_flight.contains(&link) => {
                self.answer(link, if rng.random() { 200 } else { 503 }, "TEXT util=0.4", false);
            }
            Peer::Calls | Peer::List | Peer::Probe => {}
        }
    }
}

/// Shutdown, list, events, calls, probes and timers interleave at any step.
#[test]
fn the_whole_coordinator_keeps_its_invariants_however_its_peers_interleave() {
    for seed in 0..150 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let coordinator = Coordinator::new(config(), ms(0));
        let (links, in_flight, joined) = Default::default();
        let mut peers =
            Peers { coordinator, now: 0, links, in_flight, joined, revision: 41, shutting_down: false };
        for step in 0..1_500 {
            peers.now += rng.random_range(1..40);
            let proxy = rng.random_range(0..20);
            let streams = |peers: &Peers| -> Vec<LinkId> {
                let answered = peers.links.iter().filter(|(link, _)| !peers.in_flight.contains(link));
                answered.filter(|(_, (peer, _))| *peer == Peer::Events).map(|(link, _)| *link).collect()
            };
            match rng.random_range(0..20) {
                0..3 if step < 1_300 => {
                    let event = if peers.joined.remove(&proxy) {
                        format!("event: detach\ndata: node={proxy}\n\n")
                    } else {
                        peers.joined.insert(proxy);
                        format!("event: attach\ndata: node={proxy}&locality=a&w=1.5&cold=0\n\n")
                    };
                    streams(&peers).into_iter().for_each(|link| peers.send_events(link, &event));
                }
                3 if step < 1_300 => {
                    let link = peers.links.keys().copied().nth(rng.random_range(0..6));
                    link.into_iter().for_each(|link| peers.lose(link));
                }
                4 if step < 1_300 && rng.random_range(0..10) == 0 => {
                    let mut moved = config();
                    moved.relay = if rng.random() { ADDRESS } else { OTHER };
                    moved.discovery = if rng.random() { ADDRESS } else { OTHER };
                    peers.coordinator.reconfigure(ms(peers.now), &moved);
                }
                _ => {
                    for link in peers.links.keys().copied().collect::<Vec<_>>() {
                        // A peer that is not served stays silent.
                        if rng.random_range(0..3) > 0 {
                            peers.serve(&mut rng, link);
                        }
                    }
                }
            }
            peers.turn();
        }
        let status = peers.coordinator.status();
        assert_eq!(status.proxies, peers.joined.len(), "seed {seed}: {status:?}");
        assert!(status.servers <= 12 && status.orders_waiting <= 4_096, "seed {seed}: {status:?}");
        peers.coordinator.shut_down();
        peers.shutting_down = true;
        for _ in 0..40 {
            peers.now += 10;
            peers.turn();
            let calls = peers.links.iter().filter(|(_, (peer, _))| *peer == Peer::Calls);
            for link in calls.map(|(link, _)| *link).collect::<Vec<_>>() {
                peers.serve(&mut rng, link);
            }
        }
        peers.now += 1_000;
        peers.turn();
        let status = peers.coordinator.status();
        assert!(status.orders_waiting <= 40, "seed {seed}: {status:?}");
    }
}
