//! Seeded walks over the pure parts: calls, news, timers and reloads cross at any step, and what must hold is checked
//! after each. A failure names its seed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use craneknot::interface::*;
use craneknot_node::coordinator::Coordinator;
use craneknot_node::event_streams::EventStreams;
use craneknot_node::link::{Act, LinkId, Links};
use craneknot_node::order_queue::OrderQueue;
use craneknot_platform::news::News;
use http::{Response, StatusCode};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::json;

mod helpers;
use helpers::peers::orders;
use helpers::{config, encoded, ms, ADDRESS, OTHER};

const PROXIES: u16 = 6;

/// A relay that carries calls out or does not, and the proxies that are joined to it.
struct Calls {
    order_queue: OrderQueue,
    links: Links,
    now: u64,
    /// The call in flight, as the relay has it.
    asked: Option<(LinkId, Vec<String>)>,
    joined: BTreeSet<u16>,
    /// All that was ever carried out, in order.
    done: Vec<String>,
    /// Orders of which the queue has told what became of them.
    settled: usize,
}

impl Calls {
    fn turn(&mut self) {
        let mut acts = Vec::new();
        self.order_queue.turn(ms(self.now), &mut self.links, &mut acts);
        self.take(acts);
        let next = self.order_queue.next_at();
        assert!(next.is_none_or(|next| next > ms(self.now)), "a wait in the past: {next:?} at {}", self.now);
        assert!(next.is_some() || self.order_queue.is_idle(), "something waits, and no timer");
    }

    fn take(&mut self, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Dial { link, request, .. } | Act::Send { link, request } => {
                    assert!(self.asked.is_none(), "one call at a time");
                    self.asked = Some((link, orders(std::str::from_utf8(&request).unwrap())));
                }
                Act::Drop { link } => drop(self.asked.take_if(|(asked, _)| *asked == link)),
            }
        }
    }

    /// Carries out as many orders as the relay can use, and counts them.
    fn carry_out(&mut self, orders: &[String]) -> usize {
        let usable = |order: &&String| match order.split(',').collect::<Vec<_>>()[..] {
            ["bind", proxy, ..] => self.joined.contains(&proxy.parse().unwrap()),
            _ => true,
        };
        let taken: Vec<String> = orders.iter().take_while(usable).cloned().collect();
        self.done.extend(taken.iter().cloned());
        taken.len()
    }

    /// The call in flight ends, one way or the other.
    fn end_call(&mut self, way: u32) {
        let Some((_, orders)) = self.asked.clone() else { return };
        let mut acts = Vec::new();
        let now = ms(self.now);
        let body = |count: usize| format!("<Response><ok_count>{count}</ok_count></Response>").into_bytes();
        match way {
            // Broken off, carried out or not; or silent.
            0 | 1 => {
                if way == 0 {
                    self.carry_out(&orders);
                }
                self.asked = None;
                self.order_queue.lost(now);
            }
            2 => drop(self.carry_out(&orders)),
            3 => {
                self.asked = None;
                let refused = b"<Response><error>throttled</error></Response>";
                self.order_queue.answered(now, refused, true, &mut acts).unwrap();
            }
            4 => {
                self.carry_out(&orders);
                self.asked = None;
                assert!(self.order_queue.answered(now, b"<Resp", true, &mut acts).is_err());
            }
            _ => {
                let count = self.carry_out(&orders);
                self.asked = None;
                // An order that is given up is told as an error.
                let _ = self.order_queue.answered(now, &body(count), way.is_multiple_of(2), &mut acts);
            }
        }
        self.take(acts);
    }
}

/// The place where each was carried out last, in the order in which they were given.
fn last_places(done: &[String], given: &[String]) -> Vec<Option<usize>> {
    given.iter().map(|order| done.iter().rposition(|done| done == order)).collect()
}

#[test]
fn no_order_is_lost_or_overtaken_however_calls_end() {
    for seed in 0..300 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let order_queue = OrderQueue::new(ADDRESS, ms(0));
        let mut calls = Calls {
            order_queue,
            links: Links::default(),
            now: 0,
            asked: None,
            joined: (0..PROXIES).collect(),
            done: Vec::new(),
            settled: 0,
        };
        // What was given: orders for all, and for each proxy since it is told as joined.
        let (mut common, mut own) = (Vec::new(), vec![Vec::new(); usize::from(PROXIES)]);
        let mut told: BTreeSet<u16> = (0..PROXIES).collect();
        let (mut number, mut address) = (0, ADDRESS);
        for step in 0..400 {
            let quiet = step >= 300; // the relay answers, and nobody comes or goes
            calls.now += rng.random_range(0..if quiet { 400 } else { 120 });
            let proxy = rng.random_range(0..PROXIES);
            match rng.random_range(0..10) {
                0..3 if !quiet => {
                    number += 1;
                    let order = format!("clear,{number}");
                    common.push(order.clone());
                    calls.order_queue.enqueue([encoded(order, None, None)]);
                }
                3..5 if !quiet && told.contains(&proxy) => {
                    number += 1;
                    let order = format!("bind,{proxy},{number},lookup");
                    own[usize::from(proxy)].push(order.clone());
                    calls.order_queue.enqueue([encoded(order, Some(ProxyId(proxy)), None)]);
                }
                // It leaves; news of that comes later, or with its return.
                5 if !quiet => drop(calls.joined.remove(&proxy)),
                6 if !quiet && !calls.joined.contains(&proxy) => {
                    calls.order_queue.proxy_left(ProxyId(proxy));
                    told.remove(&proxy);
                    own[usize::from(proxy)].clear();
                    if rng.random() {
                        calls.joined.insert(proxy);
                        told.insert(proxy);
                    }
                }
                7 if !quiet && rng.random_range(0..10) == 0 => {
                    address = if address == ADDRESS { OTHER } else { ADDRESS };
                    let mut acts = Vec::new();
                    calls.order_queue.move_to(ms(calls.now), address, &mut acts);
                    calls.take(acts);
                }
                _ => calls.end_call(if quiet { 9 } else { rng.random_range(0..10) }),
            }
            calls.turn();
            calls.settled += calls.order_queue.take_outcomes().len();
            let accounted = calls.settled + calls.order_queue.waiting();
            assert_eq!(accounted, number, "seed {seed}: each order has one outcome, or waits");
        }
        let places = last_places(&calls.done, &common);
        assert!(places.iter().all(Option::is_some) && places.is_sorted(), "seed {seed}: {places:?}");
        for proxy in told.intersection(&calls.joined) {
            let given = &own[usize::from(*proxy)];
            let places = last_places(&calls.done, given);
            let last = calls.done.iter().rfind(|done| done.starts_with(&format!("bind,{proxy},")));
            assert!(
                places.iter().all(Option::is_some) && places.is_sorted(),
                "seed {seed}, {proxy}: {places:?}"
            );
            assert!(
                given.is_empty() || last == given.last(),
                "seed {seed}: {proxy} follows an earlier binding"
            );
        }
        assert!(calls.order_queue.waiting() <= own.iter().map(Vec::len).sum::<usize>(), "seed {seed}");
    }
}

/// One connection for news: what is on its way there, and whether it brings it.
struct Pipe {
    link: LinkId,
    address: std::net::SocketAddr,
    way: VecDeque<(u64, Option<News>)>,
    silent_until: u64,
    /// By how much it is late, beside the usual.
    lag: u64,
}

fn joined(proxy: u16) -> News {
    News::Joined { proxy: ProxyId(proxy), zone: ZoneId(0), usual_rate: 1.0 }
}

#[test]
fn whatever_becomes_of_the_streams_of_news_who_is_joined_is_known_and_nobody_joins_twice() {
    for seed in 0..300 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let (mut streams, mut links) = (EventStreams::new(ADDRESS, ms(0)), Links::default());
        let mut pipes: Vec<Pipe> = Vec::new();
        let (mut address, mut closes_at) = (ADDRESS, u64::MAX);
        // Since when each proxy is joined in truth, and is told as joined.
        let (mut truth, mut told) = (BTreeMap::<u16, u64>::new(), BTreeMap::<u16, u64>::new());
        for now in (0..50_000).step_by(20) {
            let quiet = now >= 30_000;
            let mut news = Vec::new();
            if !quiet && rng.random_range(0..10) == 0 {
                let proxy = rng.random_range(0..PROXIES);
                if truth.remove(&proxy).is_some() {
                    news.push(News::Left { proxy: ProxyId(proxy) });
                }
                if rng.random() {
                    truth.insert(proxy, now);
                    news.push(joined(proxy));
                }
            }
            // A proxy's stream leads to the relay wherever it listens; all streams of news tell the same.
            for pipe in &mut pipes {
                let way = now + pipe.lag + rng.random_range(0..100);
                let way = pipe.way.back().map_or(way, |(last, _)| way.max(*last));
                pipe.way.extend(news.iter().cloned().map(|news| (way, Some(news))));
                if now % 1_000 == 0 {
                    pipe.way.push_back((way, None));
                }
            }
            if !quiet && rng.random_range(0..400) == 0 && closes_at == u64::MAX {
                address = if address == ADDRESS { OTHER } else { ADDRESS };
                streams.move_to(ms(now), address);
                closes_at = now + 1_500;
            }
            let mut out = Vec::new();
            let (mut broken, mut heard) = (Vec::new(), Vec::new());
            for pipe in &mut pipes {
                let closed = now >= closes_at && pipe.address != address;
                if closed || !quiet && rng.random_range(0..300) == 0 {
                    broken.push(pipe.link);
                } else if !quiet && rng.random_range(0..600) == 0 {
                    pipe.silent_until = now + rng.random_range(0..6_000);
                } else if rng.random_range(0..200) == 0 {
                    pipe.lag = if quiet || rng.random() { 0 } else { rng.random_range(0..4_000) };
                }
                if now >= pipe.silent_until {
                    let due = pipe.way.iter().take_while(|(at, _)| *at <= now).count();
                    if due > 0 {
                        heard.push((pipe.link, pipe.way.drain(..due).filter_map(|(_, news)| news).collect()));
                    }
                }
            }
            if now >= closes_at {
                closes_at = u64::MAX;
            }
            for (link, news) in heard {
                streams.receive(ms(now), link, news, &mut out);
            }
            for link in broken {
                pipes.retain(|pipe| pipe.link != link);
                streams.lost(ms(now), link, &mut out);
            }
            let mut acts = Vec::new();
            streams.turn(ms(now), &mut links, &mut acts, &mut out);
            for act in acts {
                match act {
                    Act::Dial { link, address: to, .. } => {
                        // Known limit: a stream must have caught up by the time at which another begins.
                        for pipe in &mut pipes {
                            pipe.lag = 0;
                            pipe.way.iter_mut().for_each(|(at, _)| *at = (*at).min(now + 100));
                        }
                        // What stands is told first.
                        let way = truth.keys().map(|proxy| (now + 30, Some(joined(*proxy))));
                        let way = std::iter::once((now + 30, None)).chain(way).collect();
                        if to == address {
                            pipes.push(Pipe { link, address: to, way, silent_until: 0, lag: 0 });
                        }
                    }
                    Act::Drop { link } => pipes.retain(|pipe| pipe.link != link),
                    Act::Send { .. } => panic!("a stream of news takes no more calls"),
                }
            }
            for news in out {
                match news {
                    News::Joined { proxy, .. } => {
                        let twice = told.insert(proxy.0, now);
                        assert!(twice.is_none(), "seed {seed}: {proxy:?} joins twice at {now}");
                    }
                    News::Left { proxy } => {
                        assert!(
                            told.remove(&proxy.0).is_some(),
                            "seed {seed}: {proxy:?} leaves twice at {now}"
                        );
                    }
                    News::Applied { .. } => {}
                }
            }
            let next = streams.next_at(ms(now));
            assert!(
                next.is_some_and(|next| next > ms(now)),
                "seed {seed}: a wait in the past at {now}: {next:?}"
            );
            assert!(pipes.len() <= 4, "seed {seed}: {} streams at {now}", pipes.len());
        }
        assert!(truth.keys().eq(told.keys()), "seed {seed}: {truth:?} {told:?}");
        for (proxy, since) in &truth {
            assert!(told[proxy] >= *since, "seed {seed}: the last joining of {proxy} was not told");
        }
    }
}

/// The whole coordinator without sockets, and every party it deals with.
struct Parties {
    coordinator: Coordinator,
    now: u64,
    /// Connections that it holds, by what they were dialled for, with the path asked last.
    links: BTreeMap<LinkId, (Party, String)>,
    /// Calls that wait for an answer.
    asked: BTreeSet<LinkId>,
    joined: BTreeSet<u16>,
    revision: u64,
    /// The shutdown has begun.
    stopped: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Party {
    News,
    Calls,
    List,
    Probe,
}

impl Parties {
    fn turn(&mut self) {
        let todo = self.coordinator.turn(ms(self.now));
        for act in todo.link_actions {
            let (link, request, dialled) = match act {
                Act::Dial { link, request, .. } => (link, request, true),
                Act::Send { link, request } => (link, request, false),
                Act::Drop { link } => {
                    self.links.remove(&link);
                    self.asked.remove(&link);
                    continue;
                }
            };
            let text = String::from_utf8_lossy(&request).into_owned();
            let path = text.split(' ').nth(1).unwrap().to_owned();
            let party = match path.as_str() {
                "/api/events" => Party::News,
                "/api/" => Party::Calls,
                "/metrics/load" => Party::Probe,
                _ => Party::List,
            };
            assert!(!self.stopped || party == Party::Calls, "{path} after the shutdown began");
            assert_eq!(self.links.insert(link, (party, text)).is_none(), dialled, "a name is used once");
            assert!(self.asked.insert(link), "one request in flight on a connection");
        }
        let count = |party: Party| self.links.values().filter(|(of, _)| *of == party).count();
        assert!(count(Party::Calls) <= 1 && count(Party::List) <= 1, "one connection each");
        assert!(count(Party::News) <= 4 && count(Party::Probe) <= 16);
        let next = self.coordinator.next_at(ms(self.now));
        assert!(next.is_none_or(|next| next > ms(self.now)), "a wait in the past: {next:?} at {}", self.now);
        assert!(next.is_some() || self.stopped, "no timer");
    }

    fn answer(&mut self, link: LinkId, status: u16, body: &str, keeps: bool) {
        self.asked.remove(&link);
        let mut response = Response::new(Bytes::copy_from_slice(body.as_bytes()));
        *response.status_mut() = StatusCode::from_u16(status).unwrap();
        self.coordinator.answered(ms(self.now), link, &response, keeps);
    }

    fn lose(&mut self, link: LinkId) {
        self.links.remove(&link);
        self.asked.remove(&link);
        self.coordinator.link_lost(ms(self.now), link, "reset");
    }

    fn say(&mut self, link: LinkId, text: &str) {
        let bytes = Bytes::copy_from_slice(text.as_bytes());
        self.coordinator.event_stream_input(ms(self.now), link, StatusCode::OK, &bytes);
    }

    /// What the party at the other end does next, well or badly.
    fn serve(&mut self, rng: &mut Pcg32, link: LinkId) {
        let (party, text) = self.links[&link].clone();
        match party {
            Party::News => {
                if self.asked.remove(&link) {
                    let attach = |proxy: &u16| {
                        format!("event: attach\ndata: node={proxy}&locality=a&w=1.5&cold=1\n\n")
                    };
                    let all: String = self.joined.iter().map(attach).collect();
                    self.say(link, &format!(":\n{all}"));
                } else {
                    self.say(link, ":\n");
                }
            }
            Party::Calls if self.asked.contains(&link) => {
                let (_, body) = text.split_once("\r\n\r\n").unwrap();
                let orders = orders(body);
                let bad = |order: &String| {
                    let gone = |proxy: &str| !self.joined.contains(&proxy.parse().unwrap());
                    order.strip_prefix("bind,").is_some_and(|rest| gone(rest.split(',').next().unwrap()))
                };
                let taken = orders.iter().position(bad).unwrap_or(orders.len());
                let body = format!("<Response><ok_count>{taken}</ok_count></Response>");
                let body = if rng.random_range(0..10) == 0 { "<Resp".into() } else { body };
                self.answer(link, 200, &body, rng.random());
            }
            Party::List if self.asked.contains(&link) => {
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
            Party::Probe if self.asked.contains(&link) => {
                self.answer(link, if rng.random() { 200 } else { 503 }, "TEXT util=0.4", false);
            }
            Party::Calls | Party::List | Party::Probe => {}
        }
    }
}

/// Signals, list, news, calls, probes and timers cross at any step.
#[test]
fn the_whole_coordinator_keeps_its_word_however_its_parties_cross() {
    for seed in 0..150 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let coordinator = Coordinator::new(config(), ms(0));
        let (links, asked, joined) = Default::default();
        let mut parties = Parties { coordinator, now: 0, links, asked, joined, revision: 41, stopped: false };
        for step in 0..1_500 {
            parties.now += rng.random_range(1..40);
            let proxy = rng.random_range(0..20);
            let streams = |parties: &Parties| -> Vec<LinkId> {
                let told = parties.links.iter().filter(|(link, _)| !parties.asked.contains(link));
                told.filter(|(_, (party, _))| *party == Party::News).map(|(link, _)| *link).collect()
            };
            match rng.random_range(0..20) {
                0..3 if step < 1_300 => {
                    let news = if parties.joined.remove(&proxy) {
                        format!("event: detach\ndata: node={proxy}\n\n")
                    } else {
                        parties.joined.insert(proxy);
                        format!("event: attach\ndata: node={proxy}&locality=a&w=1.5&cold=0\n\n")
                    };
                    streams(&parties).into_iter().for_each(|link| parties.say(link, &news));
                }
                3 if step < 1_300 => {
                    let of = parties.links.keys().copied().nth(rng.random_range(0..6));
                    of.into_iter().for_each(|link| parties.lose(link));
                }
                4 if step < 1_300 && rng.random_range(0..10) == 0 => {
                    let mut moved = config();
                    moved.relay = if rng.random() { ADDRESS } else { OTHER };
                    moved.discovery = if rng.random() { ADDRESS } else { OTHER };
                    parties.coordinator.reconfigure(ms(parties.now), &moved);
                }
                _ => {
                    for link in parties.links.keys().copied().collect::<Vec<_>>() {
                        // Whoever is not served falls silent.
                        if rng.random_range(0..3) > 0 {
                            parties.serve(&mut rng, link);
                        }
                    }
                }
            }
            parties.turn();
        }
        let status = parties.coordinator.status();
        assert_eq!(status.proxies, parties.joined.len(), "seed {seed}: {status:?}");
        assert!(status.servers <= 12 && status.orders_waiting <= 4_096, "seed {seed}: {status:?}");
        parties.coordinator.shut_down();
        parties.stopped = true;
        for _ in 0..40 {
            parties.now += 10;
            parties.turn();
            let calls = parties.links.iter().filter(|(_, (party, _))| *party == Party::Calls);
            for link in calls.map(|(link, _)| *link).collect::<Vec<_>>() {
                parties.serve(&mut rng, link);
            }
        }
        parties.now += 1_000;
        parties.turn();
        let status = parties.coordinator.status();
        assert!(status.orders_waiting <= 40, "seed {seed}: {status:?}");
    }
}
