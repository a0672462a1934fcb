//! The queue of orders for the relay: calls without a valid answer, refusals, compaction and sequence.

use std::collections::BTreeSet;

use craneknot::interface::{ClassId, ClassSet, Order, ProxyId, TableId};
use craneknot_node::call_limits::CallLimits;
use craneknot_node::link::{LinkAction, LinkId, LinkIds};
use craneknot_node::order_queue::{EncodedOrder, LastAcknowledged, OrderQueue};

mod helpers;
use helpers::peers::orders as called_orders;
use helpers::{call_limits, called, config, encoded, ms, ADDRESS, OTHER};

fn orders(count: usize) -> Vec<EncodedOrder> {
    (0..count).map(|k| encoded(format!("clear,{k}"), None, None)).collect()
}

fn taken(count: usize) -> Vec<u8> {
    format!("<Response><entries><item><ok_count>{count}</ok_count></item></entries></Response>").into_bytes()
}

struct Harness {
    order_queue: OrderQueue,
    links: LinkIds,
    link_actions: Vec<LinkAction>,
}

impl Harness {
    fn new() -> Self {
        Harness {
            order_queue: OrderQueue::new(ADDRESS, call_limits(), ms(0)),
            links: LinkIds::default(),
            link_actions: Vec::new(),
        }
    }

    /// A channel that carries a line per second, and of which a few bindings take half.
    fn with_small_channel() -> Self {
        let mut settings = config().settings;
        (settings.channel_lines_per_second, settings.channel_lines_limit) = (1.0, 100.0);
        Harness {
            order_queue: OrderQueue::new(ADDRESS, CallLimits::new(&settings, ms(0)), ms(0)),
            ..Self::new()
        }
    }

    fn turn(&mut self, at: u64) -> Option<(LinkId, String)> {
        self.link_actions.clear();
        self.order_queue.turn(ms(at), &mut self.links, &mut self.link_actions);
        let is_call_made = self.link_actions.iter().any(|act| !matches!(act, LinkAction::Close { .. }));
        is_call_made.then(|| called(&self.link_actions))
    }

    fn answer(&mut self, at: u64, body: &[u8]) -> Result<(), String> {
        self.order_queue.answered(ms(at), body, true, &mut self.link_actions)
    }
}

/// A call whose connection broke, or that is unanswered or answered with unreadable text, may or may not have
/// been carried out.
#[test]
fn a_call_without_a_valid_answer_is_repeated_on_a_new_connection() {
    let mut harness = Harness::new();
    harness.order_queue.enqueue(orders(3));
    let (first, text) = harness.turn(0).unwrap();
    assert!(text.ends_with("ops=clear%2C0%3Bclear%2C1%3Bclear%2C2"), "{text}");
    harness.order_queue.lost(ms(5));
    let (second, retried_text) = harness.turn(30).unwrap();
    assert!(second != first && retried_text == text);
    assert!(harness.answer(40, b"<Resp").is_err());
    let (third, retried_text) = harness.turn(100).unwrap();
    assert!(third != second && retried_text == text);
    assert_eq!(harness.turn(250), None, "the call is still in flight");
    let (fourth, retried_text) = harness.turn(700).unwrap_or_else(|| harness.turn(1_100).unwrap());
    assert!(fourth != third && retried_text == text);
    assert!(harness.answer(1_110, &taken(3)).is_ok());
    assert_eq!((harness.order_queue.waiting(), harness.turn(1_200)), (0, None));
    assert_eq!(harness.order_queue.retried, 3);
}

#[test]
fn an_order_refused_twice_is_dropped() {
    let mut harness = Harness::new();
    harness.order_queue.enqueue(orders(4));
    harness.turn(0).unwrap();
    assert!(harness.answer(1, &taken(1)).is_ok());
    assert!(harness.turn(2).unwrap().1.ends_with("ops=clear%2C1%3Bclear%2C2%3Bclear%2C3"));
    assert!(harness.answer(3, &taken(0)).is_err(), "dropped, and reported");
    assert!(harness.turn(4).unwrap().1.ends_with("ops=clear%2C2%3Bclear%2C3"));
    assert!(harness.answer(5, &taken(2)).is_ok());
    assert_eq!((harness.order_queue.rejected, harness.order_queue.waiting()), (1, 0));
}

#[test]
fn long_calls_are_split_and_orders_for_a_proxy_that_left_are_dropped() {
    let mut harness = Harness::new();
    harness.order_queue.enqueue(orders(20_000));
    let (_, text) = harness.turn(0).unwrap();
    let sent = text.matches("clear").count();
    assert!(sent < 20_000 && text.len() < 100_000);
    harness.order_queue.enqueue([bind(1, 4), bind(2, 4)]);
    harness.order_queue.proxy_left(ProxyId(1));
    assert_eq!(harness.order_queue.waiting(), 20_001);
    assert!(harness.answer(1, &taken(sent)).is_ok());
    assert_eq!(harness.order_queue.waiting(), 20_001 - sent);
}

fn bind(proxy: u16, table: u16) -> EncodedOrder {
    encoded(format!("bind,{proxy},{table},lookup"), Some(ProxyId(proxy)), None)
}

/// Guards against keeping the orders of a proxy that left during a call: they cost two calls each.
#[test]
fn in_flight_orders_for_a_proxy_that_left_are_not_sent_again() {
    for is_answer_lost in [true, false] {
        let mut harness = Harness::new();
        harness.order_queue.enqueue([bind(1, 4), bind(2, 4), bind(3, 4)]);
        harness.turn(0).unwrap();
        harness.order_queue.proxy_left(ProxyId(1));
        harness.order_queue.proxy_left(ProxyId(2));
        // It joins again: the binding of its earlier stream must not follow.
        harness.order_queue.enqueue([bind(1, 5)]);
        let (answer, wanted) = match is_answer_lost {
            true => (b"<Resp".to_vec(), "ops=bind%2C3%2C4%2Clookup%3Bbind%2C1%2C5%2Clookup"),
            false => (taken(1), "ops=bind%2C3%2C4%2Clookup%3Bbind%2C1%2C5%2Clookup"),
        };
        assert_eq!(harness.answer(5, &answer).is_err(), is_answer_lost);
        assert!(harness.turn(100).unwrap().1.ends_with(wanted));
        assert!(harness.answer(110, &taken(2)).is_ok());
        assert_eq!((harness.order_queue.waiting(), harness.order_queue.rejected), (0, 0));
    }
}

/// Guards against one call after the other for each order of a proxy that the relay no longer knows: with
/// hundreds that left at once, the orders of the others were delayed by seconds.
#[test]
fn orders_for_unknown_proxies_do_not_delay_the_others() {
    /// Of 50 ms each: a fifth of the time in which a proxy must leave a lost server.
    const CALLS_MAX: usize = 12;
    let mut harness = Harness::new();
    harness.order_queue.enqueue((0..300).flat_map(|proxy| [bind(proxy, 4), bind(proxy, 5)]));
    harness.order_queue.enqueue(orders(1));
    let (mut at, mut count, mut clear_taken) = (0, 0, None);
    // The relay knows none of them and stops at the first order of each.
    while let Some((_, text)) = harness.turn(at) {
        (at, count) = (at + 1, count + 1);
        let first_clear = text.contains("ops=clear%2C0");
        clear_taken = clear_taken.or(first_clear.then_some(count));
        assert!(harness.answer(at, &taken(usize::from(first_clear))).is_ok());
    }
    assert!(clear_taken.is_some_and(|count| count <= CALLS_MAX), "{clear_taken:?}");
    assert_eq!(count, 300, "one call each, though each has two orders");
    assert_eq!((harness.turn(at), harness.order_queue.waiting()), (None, 600));
    // The events of their leaving arrive for all but one.
    (1..300).for_each(|proxy| harness.order_queue.proxy_left(ProxyId(proxy)));
    assert_eq!(harness.order_queue.next_at(), Some(ms(701)));
    harness.order_queue.enqueue([bind(0, 6)]);
    let (_, text) = harness.turn(701).unwrap();
    assert!(
        text.ends_with("ops=bind%2C0%2C4%2Clookup%3Bbind%2C0%2C5%2Clookup%3Bbind%2C0%2C6%2Clookup"),
        "{text}"
    );
    assert!(harness.answer(702, &taken(0)).is_err(), "dropped, and reported");
    assert!(harness.turn(703).unwrap().1.ends_with("ops=bind%2C0%2C5%2Clookup%3Bbind%2C0%2C6%2Clookup"));
    assert!(harness.answer(704, &taken(2)).is_ok());
    assert_eq!((harness.order_queue.waiting(), harness.order_queue.rejected), (0, 1));
}

/// Proxies that are joined, among hundreds that have left, get their orders in sequence.
#[test]
fn orders_of_known_proxies_among_many_unknown_ones_stay_in_sequence() {
    let is_there = |proxy: u16| proxy.is_multiple_of(3);
    let mut harness = Harness::new();
    harness.order_queue.enqueue((0..90).flat_map(|proxy| [bind(proxy, 4), bind(proxy, 5)]));
    let mut taken_orders: Vec<String> = Vec::new();
    let mut at = 0;
    while let Some((_, text)) = harness.turn(at) {
        at += 1;
        if at == 8 {
            harness.order_queue.enqueue((0..90).map(|proxy| bind(proxy, 6)));
        }
        let usable = |order: &&String| is_there(order.split(',').nth(1).unwrap().parse().unwrap());
        let taken_now: Vec<String> = called_orders(&text).iter().take_while(usable).cloned().collect();
        assert!(harness.answer(at, &taken(taken_now.len())).is_ok());
        taken_orders.extend(taken_now);
    }
    assert!(at < 700, "no deferred order is sent again");
    for proxy in (0..90).filter(|proxy| is_there(*proxy)) {
        let own_orders = taken_orders.iter().filter(|order| order.starts_with(&format!("bind,{proxy},")));
        let tables: Vec<&str> = own_orders.map(|order| order.split(',').nth(2).unwrap()).collect();
        assert_eq!(tables, ["4", "5", "6"], "{proxy}");
    }
    assert_eq!(harness.order_queue.take_overtaken(), 0);
}

/// While the relay is unreachable the queue grows; once it is back, only orders that are still valid are
/// sent.
#[test]
fn orders_for_an_unreachable_relay_are_compacted_in_sequence() {
    let mut harness = Harness::new();
    let line = |table: usize, server: usize, weight: usize| {
        let subject = Some(format!("share,{table},s-{server}"));
        encoded(format!("share,{table},s-{server},{weight}"), None, subject)
    };
    harness.order_queue.enqueue([line(0, 0, 1)]);
    harness.turn(0).unwrap();
    for weight in 0..50_000 {
        harness.order_queue.enqueue([line(weight % 7, weight % 11, weight)]);
        if weight % 1_000 == 0 {
            harness.order_queue.enqueue([encoded(format!("mark,{weight},0"), None, None)]);
        }
        assert!(
            harness.order_queue.waiting() < 4_100,
            "the queue is bounded: {}",
            harness.order_queue.waiting()
        );
    }
    // The order in flight is not touched: its call may be carried out, and the answer counts it.
    assert!(harness.answer(1, &taken(1)).is_ok());
    let sent = called_orders(&harness.turn(2).unwrap().1);
    let marks: Vec<&String> = sent.iter().filter(|order| order.starts_with("mark")).collect();
    assert_eq!(marks.len(), 50, "each mark is sent");
    let weights = |order: &String| order.rsplit(',').next().unwrap().parse::<usize>().unwrap();
    let lines: Vec<usize> = sent.iter().filter(|order| order.starts_with("share")).map(weights).collect();
    assert!(lines.is_sorted(), "in sequence");
    let last: BTreeSet<usize> = (50_000 - 77..50_000).collect();
    assert!(last.iter().all(|weight| lines.contains(weight)), "all valid lines are sent");
}

fn bindings(count: u16) -> impl Iterator<Item = EncodedOrder> {
    (0..count).map(|proxy| {
        let order =
            Order::Bind { proxy: ProxyId(proxy), classes: ClassSet::of(ClassId(0)), table: TableId(4) };
        EncodedOrder { order, ..bind(proxy, 4) }
    })
}

/// Guards against a repetition that fills the channel: only a call that writes nothing finds out whether the relay
/// answers again, and then all orders follow.
#[test]
fn a_call_that_the_channel_cannot_carry_twice_is_followed_by_probes() {
    const PROBE: &str = "ops=mark%2C0%2C0";
    let mut harness = Harness::with_small_channel();
    harness.order_queue.enqueue(bindings(10));
    let (_, text) = harness.turn(0).unwrap();
    harness.order_queue.lost(ms(5));
    for at in [30, 100, 200] {
        assert!(harness.turn(at).unwrap().1.ends_with(PROBE));
        harness.order_queue.lost(ms(at + 1));
    }
    assert!(harness.turn(400).unwrap().1.ends_with(PROBE));
    assert!(harness.answer(405, &taken(1)).is_ok());
    assert_eq!(harness.order_queue.waiting(), 10);
    assert_eq!(harness.turn(406).unwrap().1, text, "all orders, on the connection of the probe");
    assert!(harness.answer(410, &taken(10)).is_ok());
    assert!(harness.order_queue.is_idle() && !harness.order_queue.is_held_back());
}

/// Guards against marks that go back: a probe had a fixed number, lower than those of the calls before it, which the
/// soak's relay reported as an order that was overtaken.
#[test]
fn a_probe_repeats_the_last_mark_that_was_sent() {
    let mark = |mark: u16| EncodedOrder {
        order: Order::Mark { mark },
        ..encoded(format!("mark,{mark},0"), None, None)
    };
    let mut harness = Harness::with_small_channel();
    harness.order_queue.enqueue([mark(7)].into_iter().chain(bindings(10)).chain([mark(8)]));
    harness.turn(0).unwrap();
    harness.order_queue.enqueue([mark(9)]);
    harness.order_queue.lost(ms(5));
    assert!(harness.turn(30).unwrap().1.ends_with("ops=mark%2C8%2C0"));
}

/// A call on a connection that was not established was not carried out, and costs nothing.
#[test]
fn calls_that_were_not_sent_are_not_counted() {
    let mut harness = Harness::with_small_channel();
    harness.order_queue.enqueue(bindings(10));
    let (_, text) = harness.turn(0).unwrap();
    for at in [1, 100, 200, 400, 800] {
        harness.order_queue.dial_failed(ms(at));
        assert_eq!(harness.turn(at + 400).unwrap().1, text);
    }
    assert_eq!(harness.order_queue.channel_lines(ms(1_200)), 0.0);
}

#[test]
fn a_reused_connection_closed_during_a_call_is_no_failure_of_the_relay() {
    let mut harness = Harness::new();
    harness.order_queue.enqueue(orders(1));
    harness.turn(0).unwrap();
    assert!(harness.answer(1, &taken(1)).is_ok());
    harness.order_queue.enqueue(orders(1));
    let (reused, text) = harness.turn(9_000).unwrap();
    assert!(matches!(harness.link_actions[..], [LinkAction::Send { .. }]));
    harness.order_queue.lost(ms(9_001));
    let (new, retried_text) = harness.turn(9_001).expect("at once, on a new connection");
    assert!(
        new != reused
            && retried_text == text
            && matches!(harness.link_actions[..], [LinkAction::Dial { .. }])
    );
    harness.order_queue.lost(ms(9_002));
    assert_eq!(harness.turn(9_002), None, "a new connection that ends is a failure, followed by a wait");
}

#[test]
fn calls_follow_the_relay_to_its_new_address() {
    let mut harness = Harness::new();
    harness.order_queue.enqueue(orders(1));
    let (old, _) = harness.turn(0).unwrap();
    let mut link_actions = Vec::new();
    harness.order_queue.move_to(ms(1), OTHER, &mut link_actions);
    assert_eq!(link_actions, [LinkAction::Close { link: old }]);
    harness.turn(1).unwrap();
    assert!(matches!(harness.link_actions[..], [LinkAction::Dial { address: OTHER, .. }]));
}

#[test]
fn an_order_taken_after_a_later_one_of_its_proxy_is_detected() {
    let (mut acknowledged, proxy) = (LastAcknowledged::default(), ProxyId(7));
    assert!(
        acknowledged.record(Some(proxy), 3)
            && acknowledged.record(None, 2)
            && acknowledged.record(Some(proxy), 4)
    );
    assert!(!acknowledged.record(Some(proxy), 2), "it was overtaken");
    assert!(!acknowledged.record(Some(proxy), 3), "so was this one, though it follows the other");
    acknowledged.forget(proxy);
    assert!(acknowledged.record(Some(proxy), 1), "it has left and joined again");
}
