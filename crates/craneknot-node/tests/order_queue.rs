//! Orders on their way to the relay: calls in doubt, refusals, folding and order.

use std::collections::BTreeSet;

use craneknot::interface::ProxyId;
use craneknot_node::link::{Act, LinkId, Links};
use craneknot_node::order_queue::{EncodedOrder, LastAcknowledged, OrderQueue};

mod helpers;
use helpers::peers::orders as called_orders;
use helpers::{called, encoded, ms, ADDRESS, OTHER};

fn orders(count: usize) -> Vec<EncodedOrder> {
    (0..count).map(|k| encoded(format!("clear,{k}"), None, None)).collect()
}

fn taken(count: usize) -> Vec<u8> {
    format!("<Response><entries><item><ok_count>{count}</ok_count></item></entries></Response>").into_bytes()
}

struct Calls {
    order_queue: OrderQueue,
    links: Links,
    acts: Vec<Act>,
}

impl Calls {
    fn new() -> Self {
        Calls { order_queue: OrderQueue::new(ADDRESS, ms(0)), links: Links::default(), acts: Vec::new() }
    }

    fn turn(&mut self, at: u64) -> Option<(LinkId, String)> {
        self.acts.clear();
        self.order_queue.turn(ms(at), &mut self.links, &mut self.acts);
        let calls = self.acts.iter().any(|act| !matches!(act, Act::Drop { .. }));
        calls.then(|| called(&self.acts))
    }

    fn answer(&mut self, at: u64, body: &[u8]) -> Result<(), String> {
        self.order_queue.answered(ms(at), body, true, &mut self.acts)
    }
}

/// A call broken off, unanswered or answered with what can't be read may or may not have been carried out.
#[test]
fn a_call_in_doubt_is_made_again_whole_on_a_new_connection() {
    let mut calls = Calls::new();
    calls.order_queue.enqueue(orders(3));
    let (first, text) = calls.turn(0).unwrap();
    assert!(text.ends_with("ops=clear%2C0%3Bclear%2C1%3Bclear%2C2"), "{text}");
    calls.order_queue.lost(ms(5));
    let (second, again) = calls.turn(30).unwrap();
    assert!(second != first && again == text);
    assert!(calls.answer(40, b"<Resp").is_err());
    let (third, again) = calls.turn(100).unwrap();
    assert!(third != second && again == text);
    assert_eq!(calls.turn(250), None, "it still waits");
    let (fourth, again) = calls.turn(700).unwrap_or_else(|| calls.turn(1_100).unwrap());
    assert!(fourth != third && again == text);
    assert!(calls.answer(1_110, &taken(3)).is_ok());
    assert_eq!((calls.order_queue.waiting(), calls.turn(1_200)), (0, None));
    assert_eq!(calls.order_queue.retried, 3);
}

#[test]
fn an_order_that_the_relay_cannot_use_is_given_up_after_a_second_look() {
    let mut calls = Calls::new();
    calls.order_queue.enqueue(orders(4));
    calls.turn(0).unwrap();
    assert!(calls.answer(1, &taken(1)).is_ok());
    assert!(calls.turn(2).unwrap().1.ends_with("ops=clear%2C1%3Bclear%2C2%3Bclear%2C3"));
    assert!(calls.answer(3, &taken(0)).is_err(), "given up, and told");
    assert!(calls.turn(4).unwrap().1.ends_with("ops=clear%2C2%3Bclear%2C3"));
    assert!(calls.answer(5, &taken(2)).is_ok());
    assert_eq!((calls.order_queue.rejected, calls.order_queue.waiting()), (1, 0));
}

#[test]
fn long_calls_are_split_and_orders_for_a_proxy_that_left_are_dropped() {
    let mut calls = Calls::new();
    calls.order_queue.enqueue(orders(20_000));
    let (_, text) = calls.turn(0).unwrap();
    let sent = text.matches("clear").count();
    assert!(sent < 20_000 && text.len() < 100_000);
    calls.order_queue.enqueue([bind(1, 4), bind(2, 4)]);
    calls.order_queue.proxy_left(ProxyId(1));
    assert_eq!(calls.order_queue.waiting(), 20_001);
    assert!(calls.answer(1, &taken(sent)).is_ok());
    assert_eq!(calls.order_queue.waiting(), 20_001 - sent);
}

fn bind(proxy: u16, table: u16) -> EncodedOrder {
    encoded(format!("bind,{proxy},{table},lookup"), Some(ProxyId(proxy)), None)
}

/// Confirmed on reading: orders of a proxy that left during a call stayed in line, and cost two calls each.
#[test]
fn what_was_in_flight_for_a_proxy_that_left_is_not_sent_again() {
    for in_doubt in [true, false] {
        let mut calls = Calls::new();
        calls.order_queue.enqueue([bind(1, 4), bind(2, 4), bind(3, 4)]);
        calls.turn(0).unwrap();
        calls.order_queue.proxy_left(ProxyId(1));
        calls.order_queue.proxy_left(ProxyId(2));
        // It comes again: the binding of its earlier stream must not follow.
        calls.order_queue.enqueue([bind(1, 5)]);
        let (answer, wanted) = match in_doubt {
            true => (b"<Resp".to_vec(), "ops=bind%2C3%2C4%2Clookup%3Bbind%2C1%2C5%2Clookup"),
            false => (taken(1), "ops=bind%2C3%2C4%2Clookup%3Bbind%2C1%2C5%2Clookup"),
        };
        assert_eq!(calls.answer(5, &answer).is_err(), in_doubt);
        assert!(calls.turn(100).unwrap().1.ends_with(wanted));
        assert!(calls.answer(110, &taken(2)).is_ok());
        assert_eq!((calls.order_queue.waiting(), calls.order_queue.rejected), (0, 0));
    }
}

/// Confirmed on reading: each order for a proxy that the relay does not know any more cost a call, one after the other,
/// before the next one's turn came: of hundreds that left at once, seconds.
#[test]
fn proxies_that_are_gone_do_not_hold_up_the_others() {
    const FEW: usize = 12; // calls of 50 ms: a fifth of the time in which a proxy must be off a lost server
    let mut calls = Calls::new();
    calls.order_queue.enqueue((0..300).flat_map(|proxy| [bind(proxy, 4), bind(proxy, 5)]));
    calls.order_queue.enqueue(orders(1));
    let (mut at, mut count, mut clear_taken) = (0, 0, None);
    // None of them is there. The relay stops at the first order of each.
    while let Some((_, text)) = calls.turn(at) {
        (at, count) = (at + 1, count + 1);
        let first_clear = text.contains("ops=clear%2C0");
        clear_taken = clear_taken.or(first_clear.then_some(count));
        assert!(calls.answer(at, &taken(usize::from(first_clear))).is_ok());
    }
    assert!(clear_taken.is_some_and(|calls| calls <= FEW), "{clear_taken:?}");
    assert_eq!(count, 300, "one call each, though each has two orders");
    assert_eq!((calls.turn(at), calls.order_queue.waiting()), (None, 600));
    // News of their leaving comes, but for one.
    (1..300).for_each(|proxy| calls.order_queue.proxy_left(ProxyId(proxy)));
    assert_eq!(calls.order_queue.next_at(), Some(ms(701)));
    calls.order_queue.enqueue([bind(0, 6)]);
    let (_, text) = calls.turn(701).unwrap();
    assert!(
        text.ends_with("ops=bind%2C0%2C4%2Clookup%3Bbind%2C0%2C5%2Clookup%3Bbind%2C0%2C6%2Clookup"),
        "{text}"
    );
    assert!(calls.answer(702, &taken(0)).is_err(), "given up, and told");
    assert!(calls.turn(703).unwrap().1.ends_with("ops=bind%2C0%2C5%2Clookup%3Bbind%2C0%2C6%2Clookup"));
    assert!(calls.answer(704, &taken(2)).is_ok());
    assert_eq!((calls.order_queue.waiting(), calls.order_queue.rejected), (0, 1));
}

/// Those who are there among hundreds who have left are bound, each by its orders in their order.
#[test]
fn proxies_that_stay_among_many_that_are_gone_keep_the_order_of_their_orders() {
    let is_there = |proxy: u16| proxy.is_multiple_of(3);
    let mut calls = Calls::new();
    calls.order_queue.enqueue((0..90).flat_map(|proxy| [bind(proxy, 4), bind(proxy, 5)]));
    let mut done: Vec<String> = Vec::new();
    let mut at = 0;
    while let Some((_, text)) = calls.turn(at) {
        at += 1;
        if at == 8 {
            calls.order_queue.enqueue((0..90).map(|proxy| bind(proxy, 6)));
        }
        let usable = |order: &&String| is_there(order.split(',').nth(1).unwrap().parse().unwrap());
        let taken_now: Vec<String> = called_orders(&text).iter().take_while(usable).cloned().collect();
        assert!(calls.answer(at, &taken(taken_now.len())).is_ok());
        done.extend(taken_now);
    }
    assert!(at < 700, "the second look is not reached");
    for proxy in (0..90).filter(|proxy| is_there(*proxy)) {
        let own = done.iter().filter(|order| order.starts_with(&format!("bind,{proxy},")));
        let tables: Vec<&str> = own.map(|order| order.split(',').nth(2).unwrap()).collect();
        assert_eq!(tables, ["4", "5", "6"], "{proxy}");
    }
    assert_eq!(calls.order_queue.take_overtaken(), 0);
}

/// While the relay is away orders pile up; what goes out when it is back is what stands.
#[test]
fn orders_for_a_relay_out_of_reach_are_folded_to_what_stands_in_their_order() {
    let mut calls = Calls::new();
    let line = |table: usize, server: usize, weight: usize| {
        let subject = Some(format!("share,{table},s-{server}"));
        encoded(format!("share,{table},s-{server},{weight}"), None, subject)
    };
    calls.order_queue.enqueue([line(0, 0, 1)]);
    calls.turn(0).unwrap();
    for weight in 0..50_000 {
        calls.order_queue.enqueue([line(weight % 7, weight % 11, weight)]);
        if weight % 1_000 == 0 {
            calls.order_queue.enqueue([encoded(format!("mark,{weight},0"), None, None)]);
        }
        assert!(calls.order_queue.waiting() < 4_100, "memory is bounded: {}", calls.order_queue.waiting());
    }
    // The one in flight is not touched: its call may be carried out, and its answer counts it.
    assert!(calls.answer(1, &taken(1)).is_ok());
    let sent = called_orders(&calls.turn(2).unwrap().1);
    let marks: Vec<&String> = sent.iter().filter(|order| order.starts_with("mark")).collect();
    assert_eq!(marks.len(), 50, "each mark is answered");
    let weights = |order: &String| order.rsplit(',').next().unwrap().parse::<usize>().unwrap();
    let lines: Vec<usize> = sent.iter().filter(|order| order.starts_with("share")).map(weights).collect();
    assert!(lines.is_sorted(), "in their order");
    let last: BTreeSet<usize> = (50_000 - 77..50_000).collect();
    assert!(last.iter().all(|weight| lines.contains(weight)), "what stands is there");
}

#[test]
fn a_kept_connection_closed_under_a_call_is_no_failure_of_the_relay() {
    let mut calls = Calls::new();
    calls.order_queue.enqueue(orders(1));
    calls.turn(0).unwrap();
    assert!(calls.answer(1, &taken(1)).is_ok());
    calls.order_queue.enqueue(orders(1));
    let (kept, text) = calls.turn(9_000).unwrap();
    assert!(matches!(calls.acts[..], [Act::Send { .. }]));
    calls.order_queue.lost(ms(9_001));
    let (new, again) = calls.turn(9_001).expect("at once, on a new connection");
    assert!(new != kept && again == text && matches!(calls.acts[..], [Act::Dial { .. }]));
    calls.order_queue.lost(ms(9_002));
    assert_eq!(calls.turn(9_002), None, "a new one that ends is a failure, and waited after");
}

#[test]
fn a_relay_that_moves_is_called_where_it_is_now() {
    let mut calls = Calls::new();
    calls.order_queue.enqueue(orders(1));
    let (old, _) = calls.turn(0).unwrap();
    let mut acts = Vec::new();
    calls.order_queue.move_to(ms(1), OTHER, &mut acts);
    assert_eq!(acts, [Act::Drop { link: old }]);
    calls.turn(1).unwrap();
    assert!(matches!(calls.acts[..], [Act::Dial { address: OTHER, .. }]));
}

#[test]
fn an_order_that_is_taken_after_a_later_one_of_the_same_proxy_is_told() {
    let (mut acknowledged, proxy) = (LastAcknowledged::default(), ProxyId(7));
    assert!(
        acknowledged.record(Some(proxy), 3)
            && acknowledged.record(None, 2)
            && acknowledged.record(Some(proxy), 4)
    );
    assert!(!acknowledged.record(Some(proxy), 3), "it was overtaken");
    acknowledged.forget(proxy);
    assert!(acknowledged.record(Some(proxy), 1), "it has left and come again");
}
