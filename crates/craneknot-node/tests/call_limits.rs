//! Randomised test of the order queue's limits: calls end in any way, proxies leave and join, and a relay that
//! shares no code with the queue counts the messages that it writes. A failure names its seed.

use std::collections::{BTreeMap, BTreeSet};

use craneknot::interface::*;
use craneknot_node::call_limits::CallLimits;
use craneknot_node::link::{LinkAction, LinkIds};
use craneknot_node::order_queue::{EncodedOrder, OrderQueue};
use craneknot_platform::relay;
use craneknot_settings::instance::InstanceNames;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

mod helpers;
use helpers::channel::{ChannelChecker, ChannelSettings};
use helpers::peers::orders;
use helpers::{config, ms, ADDRESS, OTHER};

const PROXIES: u16 = 6;
const TABLES: u16 = 4;
const CLASSES: [&str; 2] = ["lookup", "issue"];
/// A small channel, which a few of the larger calls fill, and which runs at half of the rate that the settings give.
const LINES_PER_MS: f64 = 1.0;
const SETTINGS_LINES_PER_SECOND: f64 = 2_000.0;
const LINES_LIMIT: f64 = 1_000.0;

/// A relay: the tables and bindings that it holds, and what it has written.
struct Relay {
    channel: ChannelSettings,
    checker: ChannelChecker,
    joined: BTreeSet<u16>,
    bound: BTreeMap<(u16, String), u16>,
    /// The servers and the classes with a level of each table.
    tables: BTreeMap<u16, (BTreeSet<String>, BTreeSet<String>)>,
    lines_waiting: f64,
    drained_at: u64,
}

impl Relay {
    fn users(&self, table: u16) -> BTreeSet<u16> {
        self.bound.iter().filter(|(_, to)| **to == table).map(|((of, _), _)| *of).collect()
    }

    /// Executes orders up to the first for a proxy that has not joined, and returns their number.
    fn execute(&mut self, now: u64, orders: &[String]) -> usize {
        // The lines of each receiver.
        let mut messages: BTreeMap<u16, usize> = BTreeMap::new();
        let (mut taken, mut marks) = (0, 0);
        for order in orders {
            match order.split(',').collect::<Vec<_>>()[..] {
                ["bind", proxy, table, classes] => {
                    let (proxy, table): (u16, u16) = (proxy.parse().unwrap(), table.parse().unwrap());
                    if !self.joined.contains(&proxy) {
                        break;
                    }
                    for class in classes.split("%2B") {
                        self.bound.insert((proxy, class.to_owned()), table);
                    }
                    let (lines, levels) = self.tables.entry(table).or_default();
                    *messages.entry(proxy).or_default() += 1 + lines.len() + levels.len();
                }
                ["share", table, server, weight] => {
                    let table = table.parse().unwrap();
                    let lines = &mut self.tables.entry(table).or_default().0;
                    if weight == "0" {
                        lines.remove(server);
                    } else {
                        lines.insert(server.to_owned());
                    }
                    self.users(table).into_iter().for_each(|user| *messages.entry(user).or_default() += 1);
                }
                ["admit", table, classes, ..] => {
                    let table = table.parse().unwrap();
                    let levels = &mut self.tables.entry(table).or_default().1;
                    levels.extend(classes.split("%2B").map(str::to_owned));
                    self.users(table).into_iter().for_each(|user| *messages.entry(user).or_default() += 1);
                }
                ["mark", ..] => marks += 1,
                ref other => panic!("unknown order: {other:?}"),
            }
            taken += 1;
        }
        let drained = (now - self.drained_at) as f64 * self.channel.lines_per_ms;
        (self.lines_waiting, self.drained_at) = ((self.lines_waiting - drained).max(0.0), now);
        for (proxy, lines) in messages {
            self.checker.message_written(&self.channel, now, proxy);
            self.lines_waiting += self.channel.message_overhead + (lines + marks) as f64;
        }
        self.checker.lines_waiting(self.lines_waiting);
        taken
    }

    fn leave(&mut self, proxy: u16) {
        self.joined.remove(&proxy);
        self.bound.retain(|(of, _), _| *of != proxy);
    }

    fn join(&mut self, proxy: u16) {
        self.joined.insert(proxy);
        self.checker.proxy_joined(proxy);
    }
}

fn random_order(rng: &mut Pcg32, reported: &BTreeSet<u16>) -> Order {
    let table = TableId(rng.random_range(0..TABLES));
    let classes = ClassSet(rng.random_range(1..1 << CLASSES.len()));
    let proxy = rng.random_range(0..PROXIES);
    match rng.random_range(0..4) {
        0 if reported.contains(&proxy) => Order::Bind { proxy: ProxyId(proxy), classes, table },
        1 => Order::Level { table, classes, level: rng.random_range(0..9).into(), retries: Retries::Never },
        _ => {
            let server = ServerId(format!("s-{}", rng.random_range(0..9)).into());
            Order::Line { table, server, weight: rng.random_range(0..9).into() }
        }
    }
}

struct Walk {
    names: InstanceNames,
    order_queue: OrderQueue,
    links: LinkIds,
    relay: Relay,
    now: u64,
    /// The orders of the call in flight.
    in_flight: Option<Vec<String>>,
}

impl Walk {
    fn new(message_limit: usize) -> Self {
        let channel = ChannelSettings {
            message_limit,
            lines_per_ms: LINES_PER_MS,
            lines_limit: LINES_LIMIT,
            ..ChannelSettings::default()
        };
        let mut config = config();
        config.settings.message_limit = message_limit as u32;
        config.settings.channel_lines_per_second = SETTINGS_LINES_PER_SECOND;
        config.settings.channel_lines_limit = channel.lines_limit;
        Walk {
            names: config.names,
            order_queue: OrderQueue::new(ADDRESS, CallLimits::new(&config.settings, ms(0)), ms(0)),
            links: LinkIds::default(),
            relay: Relay {
                channel,
                checker: ChannelChecker::default(),
                joined: (0..PROXIES).collect(),
                bound: BTreeMap::new(),
                tables: BTreeMap::new(),
                lines_waiting: 0.0,
                drained_at: 0,
            },
            now: 0,
            in_flight: None,
        }
    }

    fn enqueue(&mut self, order: Order) {
        let proxy = match &order {
            Order::Bind { proxy, .. } => Some(*proxy),
            _ => None,
        };
        let text = relay::encode_order(&order, &self.names).unwrap();
        self.order_queue.enqueue([EncodedOrder { order, text, proxy, subject: None }]);
    }

    fn turn(&mut self) {
        let mut acts = Vec::new();
        self.order_queue.turn(ms(self.now), &mut self.links, &mut acts);
        for act in acts {
            match act {
                LinkAction::Dial { request, .. } | LinkAction::Send { request, .. } => {
                    self.in_flight = Some(orders(std::str::from_utf8(&request).unwrap()));
                }
                LinkAction::Close { .. } => self.in_flight = None,
            }
        }
        let next = self.order_queue.next_at();
        assert!(next.is_none_or(|next| next > ms(self.now)), "a timer in the past: {next:?} at {}", self.now);
        assert!(next.is_some() || self.order_queue.is_idle(), "orders wait without a timer");
    }

    /// Ends the call in flight in one of several ways.
    fn end_call(&mut self, outcome: u32) {
        let Some(orders) = self.in_flight.take() else { return };
        let (now, mut acts) = (ms(self.now), Vec::new());
        let body = |count: usize| format!("<Response><ok_count>{count}</ok_count></Response>").into_bytes();
        match outcome {
            0..3 => {
                self.relay.execute(self.now, &orders);
                self.order_queue.lost(now);
            }
            3 => self.order_queue.lost(now),
            // It is executed, and its answer never comes.
            4 => {
                self.relay.execute(self.now, &orders);
            }
            5 => {
                self.relay.execute(self.now, &orders);
                assert!(self.order_queue.answered(now, b"<Resp", true, &mut acts).is_err());
            }
            6 => {
                let throttled = b"<Response><error>throttled</error></Response>";
                self.order_queue.answered(now, throttled, true, &mut acts).unwrap();
            }
            _ => {
                let taken = self.relay.execute(self.now, &orders);
                // An error reports an order that was given up.
                let _ = self.order_queue.answered(now, &body(taken), outcome.is_multiple_of(2), &mut acts);
            }
        }
    }
}

/// Guards against messages and lines beyond the limits by whatever makes an order more than one message: repetition,
/// the size of a call, and orders that the relay refuses.
#[test]
fn the_channel_is_written_no_more_than_allowed_however_calls_end() {
    for seed in 0..80 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let message_limit = [0, 1, 3, 12, 20, 30][rng.random_range(0..6)];
        let mut walk = Walk::new(message_limit);
        let mut reported: BTreeSet<u16> = (0..PROXIES).collect();
        for step in 0..1_800 {
            let is_quiet = step >= 1_200; // the relay answers, and nothing is ordered
            walk.now += rng.random_range(1..if is_quiet { 300 } else { 60 });
            let proxy = rng.random_range(0..PROXIES);
            match rng.random_range(0..12) {
                0..3 if !is_quiet => {
                    let count = if rng.random_range(0..100) == 0 { 2_000 } else { rng.random_range(1..5) };
                    (0..count).for_each(|_| walk.enqueue(random_order(&mut rng, &reported)));
                }
                // It leaves; the event follows later.
                3 if !is_quiet && rng.random_range(0..8) == 0 => walk.relay.leave(proxy),
                4 if !is_quiet && !walk.relay.joined.contains(&proxy) => {
                    walk.order_queue.proxy_left(ProxyId(proxy));
                    reported.remove(&proxy);
                    if rng.random() {
                        walk.relay.join(proxy);
                        walk.order_queue.proxy_joined(ProxyId(proxy));
                        reported.insert(proxy);
                    }
                }
                // After a gap in the events it is reported as joined anew, though its stream still stands.
                5 if !is_quiet && reported.contains(&proxy) => {
                    walk.order_queue.proxy_left(ProxyId(proxy));
                    walk.order_queue.proxy_joined(ProxyId(proxy));
                }
                6 if !is_quiet && rng.random_range(0..10) == 0 => {
                    let address = if rng.random() { ADDRESS } else { OTHER };
                    let mut acts = Vec::new();
                    walk.order_queue.move_to(ms(walk.now), address, &mut acts);
                    if !acts.is_empty() {
                        // Its call may have reached the relay.
                        let orders = walk.in_flight.take().unwrap_or_default();
                        walk.relay.execute(walk.now, &orders);
                    }
                }
                _ => walk.end_call(if is_quiet { 9 } else { rng.random_range(0..10) }),
            }
            if step == 1_200 {
                for proxy in (0..PROXIES).filter(|proxy| !walk.relay.joined.contains(proxy)) {
                    walk.order_queue.proxy_left(ProxyId(proxy));
                }
            }
            walk.turn();
            let ChannelChecker { most_messages, most_lines, .. } = walk.relay.checker;
            assert!(most_lines <= LINES_LIMIT, "seed {seed}: {most_lines} lines wait");
            let is_kept = message_limit == 0 || most_messages <= message_limit;
            assert!(is_kept, "seed {seed}: {most_messages} messages to one proxy of {message_limit}");
        }
        // With fewer messages the quiet time is too short.
        if message_limit == 0 || message_limit >= 12 {
            assert_eq!(walk.order_queue.waiting(), 0, "seed {seed}: orders wait though the relay answers");
        }
    }
}
