//! Door, outbox, watch and feeds, each alone, with the clock passed in.

use bytes::BytesMut;
use craneknot::interface::*;
use craneknot_node::door::{Door, GuestId, Service};
use craneknot_node::feeds::Feeds;
use craneknot_node::link::{Act, LinkId, Links};
use craneknot_node::outbox::{Outbox, Written};
use craneknot_node::watch::Watch;
use craneknot_platform::discovery::Roster;
use craneknot_platform::news::News;
use craneknot_settings::given::GivenNames;

mod helpers;
use helpers::{config, ms, ADDRESS, OTHER};

fn take(door: &mut Door, id: u64, text: &str, names: &GivenNames) -> (Vec<Service>, Vec<Event>) {
    let (mut services, mut reports) = (Vec::new(), Vec::new());
    let mut input = BytesMut::from(text);
    door.take(GuestId(id), &mut input, names, 150, &mut reports, &mut services);
    (services, reports)
}

const JOINING: &str = "{\"type\":\"telemetry\",\"locality\":\"a\"}\n";
const DEMAND: &str =
    "{\"type\":\"client_stats\",\"node\":17,\"route\":\"lookup\",\"total\":19,\"errors\":0,\"interval\":1000.0}\n";

/// Strangers send what can't be read, never end, join what does not exist, report unasked, or say nothing.
#[test]
fn whoever_does_not_join_is_turned_away() {
    let (mut door, names) = (Door::new(256), config().names);
    let endless = "x".repeat(5_000);
    for (id, text) in [
        "GET / HTTP/1.1\r\n\r\n",
        "share,4,s-1,1\n",
        "{\"type\":\"telemetry\",\"locality\":\"z\"}\n",
        DEMAND,
        "{\"type\":\"upstream_stats\"}\n",
        &endless,
    ]
    .into_iter()
    .enumerate()
    {
        door.came(ms(0), GuestId(id as u64), &mut Vec::new());
        let (services, reports) = take(&mut door, id as u64, text, &names);
        assert!(matches!(services[..], [Service::Reject(GuestId(n), _)] if n == id as u64), "{text:.40}");
        assert!(reports.is_empty());
    }
    door.came(ms(10), GuestId(50), &mut Vec::new());
    assert!(take(&mut door, 50, "{\"type\":\"hb\"}\n{\"typ", &names).0 == [Service::Answer(GuestId(50))]);
    let mut services = Vec::new();
    door.turn(ms(1_009), &mut services);
    assert!(services.is_empty(), "each has a second");
    door.turn(ms(3_000), &mut services);
    assert!(matches!(services[..], [Service::Reject(GuestId(50), _)]));
    assert_eq!(door.counts(), (0, 0));
}

#[test]
fn a_flood_of_guests_leaves_room_for_collectors() {
    let (mut door, names, mut services) = (Door::new(256), config().names, Vec::new());
    door.came(ms(0), GuestId(0), &mut services);
    assert_eq!(take(&mut door, 0, JOINING, &names).0, [Service::Widen(GuestId(0))]);
    (1..=500).for_each(|id| door.came(ms(1), GuestId(id), &mut services));
    assert_eq!(door.counts(), (1, 64));
    assert!(services.iter().all(|service| matches!(service, Service::Close(GuestId(1..=436), _))));
    assert_eq!(take(&mut door, 0, DEMAND, &names).1.len(), 1, "the collector is heard on");
}

#[test]
fn a_spoilt_report_costs_itself_alone_and_a_garbled_line_the_connection() {
    let (mut door, names) = (Door::new(256), config().names);
    door.came(ms(0), GuestId(1), &mut Vec::new());
    let spoilt = DEMAND.replace("17", "\"nan\"");
    let (_, reports) = take(&mut door, 1, &format!("{JOINING}{DEMAND}{spoilt}{DEMAND}"), &names);
    assert_eq!((reports.len(), door.spoilt), (2, 1));
    let (services, reports) = take(&mut door, 1, &format!("{DEMAND}\u{1}\u{2}nonsense\n{DEMAND}"), &names);
    assert!(matches!(services[..], [Service::Close(GuestId(1), _)]), "nothing is written to a collector");
    assert_eq!(reports.len(), 1);
}

fn orders(count: usize) -> Vec<Written> {
    (0..count).map(|k| Written { text: format!("clear,{k}"), proxy: None }).collect()
}

fn taken(count: usize) -> Vec<u8> {
    format!("<Response><entries><item><ok_count>{count}</ok_count></item></entries></Response>").into_bytes()
}

/// What the call that was just made carries.
fn called(acts: &[Act]) -> (LinkId, String) {
    match acts.last() {
        Some(Act::Dial { link, request, .. } | Act::Send { link, request }) => {
            (*link, String::from_utf8_lossy(request).into_owned())
        }
        Some(Act::Drop { .. }) | None => panic!("no call in {acts:?}"),
    }
}

struct Calls {
    outbox: Outbox,
    links: Links,
    acts: Vec<Act>,
}

impl Calls {
    fn new() -> Self {
        Calls { outbox: Outbox::new(ADDRESS, ms(0)), links: Links::default(), acts: Vec::new() }
    }

    fn turn(&mut self, at: u64) -> Option<(LinkId, String)> {
        self.acts.clear();
        self.outbox.turn(ms(at), &mut self.links, &mut self.acts);
        let calls = self.acts.iter().any(|act| !matches!(act, Act::Drop { .. }));
        calls.then(|| called(&self.acts))
    }

    fn answer(&mut self, at: u64, body: &[u8]) -> Result<(), String> {
        self.outbox.answered(ms(at), body, true, &mut self.acts)
    }
}

/// A call broken off, unanswered or answered with what can't be read may or may not have been carried out.
#[test]
fn a_call_in_doubt_is_made_again_whole_on_a_new_connection() {
    let mut calls = Calls::new();
    calls.outbox.offer(orders(3));
    let (first, text) = calls.turn(0).unwrap();
    assert!(text.ends_with("ops=clear%2C0%3Bclear%2C1%3Bclear%2C2"), "{text}");
    calls.outbox.lost(ms(5));
    let (second, again) = calls.turn(30).unwrap();
    assert!(second != first && again == text);
    assert!(calls.answer(40, b"<Resp").is_err());
    let (third, again) = calls.turn(100).unwrap();
    assert!(third != second && again == text);
    assert_eq!(calls.turn(250), None, "it still waits");
    let (fourth, again) = calls.turn(700).unwrap_or_else(|| calls.turn(1_100).unwrap());
    assert!(fourth != third && again == text);
    assert!(calls.answer(1_110, &taken(3)).is_ok());
    assert_eq!((calls.outbox.waiting(), calls.turn(1_200)), (0, None));
    assert_eq!(calls.outbox.repeated, 3);
}

#[test]
fn an_order_that_the_relay_cannot_use_is_given_up_after_a_second_look() {
    let mut calls = Calls::new();
    calls.outbox.offer(orders(4));
    calls.turn(0).unwrap();
    assert!(calls.answer(1, &taken(1)).is_ok());
    assert!(calls.turn(2).unwrap().1.ends_with("ops=clear%2C1%3Bclear%2C2%3Bclear%2C3"));
    assert!(calls.answer(3, &taken(0)).is_err(), "given up, and told");
    assert!(calls.turn(4).unwrap().1.ends_with("ops=clear%2C2%3Bclear%2C3"));
    assert!(calls.answer(5, &taken(2)).is_ok());
    assert_eq!((calls.outbox.given_up, calls.outbox.waiting()), (1, 0));
}

#[test]
fn long_calls_are_split_and_orders_for_a_proxy_that_left_are_dropped() {
    let mut calls = Calls::new();
    calls.outbox.offer(orders(20_000));
    let (_, text) = calls.turn(0).unwrap();
    let sent = text.matches("clear").count();
    assert!(sent < 20_000 && text.len() < 100_000);
    let bind = |proxy| Written { text: format!("bind,{proxy},4,lookup"), proxy: Some(ProxyId(proxy)) };
    calls.outbox.offer([bind(1), bind(2)]);
    calls.outbox.left(ProxyId(1));
    assert_eq!(calls.outbox.waiting(), 20_001);
    assert!(calls.answer(1, &taken(sent)).is_ok());
    assert_eq!(calls.outbox.waiting(), 20_001 - sent);
}

#[test]
fn a_relay_that_moves_is_called_where_it_is_now() {
    let mut calls = Calls::new();
    calls.outbox.offer(orders(1));
    let (old, _) = calls.turn(0).unwrap();
    let mut acts = Vec::new();
    calls.outbox.move_to(ms(1), OTHER, &mut acts);
    assert_eq!(acts, [Act::Drop { link: old }]);
    calls.turn(1).unwrap();
    assert!(matches!(calls.acts[..], [Act::Dial { address: OTHER, .. }]));
}

#[test]
fn the_list_is_watched_without_a_gap_and_failures_are_told() {
    let (mut watch, mut links, mut acts) = (Watch::new(ADDRESS, Some(41)), Links::default(), Vec::new());
    assert!(!watch.turn(ms(0), &mut links, &mut acts) && acts.is_empty(), "not asked for yet");
    watch.start();
    watch.turn(ms(0), &mut links, &mut acts);
    let (link, text) = called(&acts);
    assert!(text.contains("index=41&wait=0 "), "what was missed comes at once: {text}");
    let roster = |revision| Roster { revision, complete: false, servers: Vec::new() };
    watch.answered(&roster(43), true, &mut acts);
    watch.turn(ms(10), &mut links, &mut acts);
    let (same, text) = called(&acts);
    assert!(same == link && text.contains("index=43&wait=") && !text.contains("wait=0 "), "{text}");
    acts.clear();
    assert!(!watch.turn(ms(5_000), &mut links, &mut acts));
    assert!(watch.turn(ms(20_000), &mut links, &mut acts), "silence is a failure");
    assert_eq!(acts, [Act::Drop { link }]);
    watch.start();
    watch.turn(ms(20_001), &mut links, &mut acts);
    assert!(watch.lost(), "and so is a reset");
    watch.start();
    watch.move_to(OTHER, &mut acts);
    watch.turn(ms(20_002), &mut links, &mut acts);
    assert!(matches!(acts.last(), Some(Act::Dial { address: OTHER, .. })));
}

fn joined(proxy: u16) -> News {
    News::Joined { proxy: ProxyId(proxy), zone: ZoneId(0), usual_rate: 1.0 }
}

fn left(proxy: u16) -> News {
    News::Left { proxy: ProxyId(proxy) }
}

struct Relay {
    feeds: Feeds,
    links: Links,
    out: Vec<News>,
}

impl Relay {
    /// Two streams that have told the same.
    fn with_two(proxies: &[u16]) -> (Self, [LinkId; 2]) {
        let mut relay = Relay { feeds: Feeds::new(ADDRESS, ms(0)), links: Links::default(), out: Vec::new() };
        let dialled = [relay.turn(0), relay.turn(100)];
        let links = dialled.map(|acts| called(&acts).0);
        links.iter().for_each(|link| relay.hear(120, *link, proxies.iter().map(|id| joined(*id)).collect()));
        assert_eq!(relay.told(), proxies.iter().map(|id| joined(*id)).collect::<Vec<_>>());
        (relay, links)
    }

    fn turn(&mut self, at: u64) -> Vec<Act> {
        let mut acts = Vec::new();
        self.feeds.turn(ms(at), &mut self.links, &mut acts, &mut self.out);
        acts
    }

    fn hear(&mut self, at: u64, link: LinkId, news: Vec<News>) {
        self.feeds.heard(ms(at), link, news, &mut self.out);
    }

    fn told(&mut self) -> Vec<News> {
        std::mem::take(&mut self.out)
    }
}

#[test]
fn a_second_stream_of_news_takes_over_without_a_word_lost_or_said_twice() {
    let (mut relay, [first, second]) = Relay::with_two(&[1, 2, 3]);
    relay.turn(900);
    relay.hear(1_000, second, vec![left(1)]);
    assert_eq!(relay.told(), [], "only the leader is passed on");
    relay.hear(1_010, first, vec![left(1)]);
    relay.hear(4_000, first, vec![]);
    relay.hear(4_000, second, vec![]);
    // The last news reached the second one alone: 2 left and came again, so its bindings are gone.
    relay.hear(4_100, second, vec![left(2), joined(2)]);
    assert_eq!(relay.told(), [left(1)]);
    relay.feeds.lost(ms(4_200), first, &mut relay.out);
    assert_eq!(relay.told(), [joined(2)]);
    relay.hear(4_300, second, vec![left(3)]);
    assert_eq!(relay.told(), [left(3)]);
    assert!(matches!(relay.turn(6_000)[..], [Act::Dial { .. }]), "and another one is dialled");
}

#[test]
fn after_a_gap_who_stands_has_joined_anew_and_who_does_not_has_left() {
    let (mut relay, [first, second]) = Relay::with_two(&[1, 2, 3]);
    relay.turn(900);
    [first, second].iter().for_each(|link| relay.feeds.lost(ms(5_000), *link, &mut relay.out));
    assert_eq!(relay.told(), [], "nothing is known to have changed");
    let third = called(&relay.turn(7_000)).0;
    relay.hear(7_100, third, vec![joined(1)]);
    relay.hear(7_200, third, vec![joined(3)]);
    assert_eq!(relay.told(), [joined(1), joined(3)]);
    relay.turn(7_700);
    assert_eq!(relay.told(), [left(2)]);
}

#[test]
fn a_silent_leader_gives_way_to_a_stream_that_speaks() {
    let (mut relay, [first, second]) = Relay::with_two(&[1]);
    relay.turn(900);
    relay.hear(1_000, first, vec![]);
    for at in [1_000, 2_000, 3_000, 4_000] {
        relay.hear(at, second, vec![]);
    }
    assert!(relay.turn(4_000).contains(&Act::Drop { link: first }));
    relay.hear(4_100, second, vec![left(1)]);
    assert_eq!(relay.told(), [left(1)]);
}

/// Found on reading again: a silent leader that is kept set a time in the past, and the loop did not rest until it spoke.
#[test]
fn while_the_relay_is_silent_the_next_look_is_never_in_the_past() {
    let (mut relay, _) = Relay::with_two(&[1]);
    for at in (900..20_000).step_by(10) {
        relay.turn(at);
        let next = relay.feeds.next_at(ms(at));
        assert!(next.is_some_and(|next| next > ms(at)), "at {at} ms: {next:?}");
    }
}
