//! Clients at the coordinator's address, and what is owed to them, with the clock passed in.

use bytes::BytesMut;
use craneknot::interface::{Event, Nanos};
use craneknot_node::clients::{ClientAction, ClientId, Clients};
use craneknot_node::descriptors::Descriptors;
use craneknot_node::pending::{CloseReason, PendingWork};
use craneknot_settings::given::GivenNames;

mod helpers;
use helpers::{config, ms};

fn take(clients: &mut Clients, id: u64, text: &str, names: &GivenNames) -> (Vec<ClientAction>, Vec<Event>) {
    take_at(ms(0), clients, id, text, names)
}

fn take_at(
    now: Nanos,
    clients: &mut Clients,
    id: u64,
    text: &str,
    names: &GivenNames,
) -> (Vec<ClientAction>, Vec<Event>) {
    let (mut actions, mut reports, mut pending) = (Vec::new(), Vec::new(), PendingWork::default());
    let mut input = BytesMut::from(text);
    clients.take(now, ClientId(id), &mut input, names, 150, &mut pending, &mut reports, &mut actions);
    (actions, reports)
}

const JOINING: &str = "{\"type\":\"telemetry\",\"locality\":\"a\"}\n";
const DEMAND: &str =
    "{\"type\":\"client_stats\",\"node\":17,\"route\":\"lookup\",\"total\":19,\"errors\":0,\"interval\":1000.0}\n";

/// Strangers send what can't be read, never end, join what does not exist, report unasked, or say nothing.
#[test]
fn whoever_does_not_join_is_turned_away() {
    let (mut clients, names) = (Clients::new(64), config().names);
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
        clients.came(ms(0), ClientId(id as u64));
        let (client_actions, reports) = take(&mut clients, id as u64, text, &names);
        assert!(
            matches!(client_actions[..], [ClientAction::Reject(ClientId(n), _)] if n == id as u64),
            "{text:.40}"
        );
        assert!(reports.is_empty());
    }
    clients.came(ms(10), ClientId(50));
    assert!(
        take(&mut clients, 50, "{\"type\":\"hb\"}\n{\"typ", &names).0 == [ClientAction::Answer(ClientId(50))]
    );
    let mut actions = Vec::new();
    clients.turn(ms(1_009), &mut actions);
    assert!(actions.is_empty(), "each has a second");
    clients.turn(ms(3_000), &mut actions);
    assert!(matches!(actions[..], [ClientAction::Reject(ClientId(50), _)]));
    assert_eq!(clients.counts(), (0, 0));
}

#[test]
fn a_flood_of_strangers_waits_outside_and_leaves_room_for_collectors() {
    let (mut clients, names) = (Clients::new(64), config().names);
    clients.came(ms(0), ClientId(0));
    assert_eq!(take(&mut clients, 0, JOINING, &names).0, [ClientAction::Widen(ClientId(0))]);
    for id in 1..=500 {
        if clients.room() > 0 {
            clients.came(ms(1), ClientId(id));
        }
    }
    assert_eq!((clients.counts(), clients.room()), ((1, 64), 0));
    let mut actions = Vec::new();
    clients.turn(ms(200), &mut actions);
    assert!(actions.is_empty(), "nobody gives way before it had time to ask: {actions:?}");
    clients.turn(ms(251), &mut actions);
    assert_eq!(actions.len(), 64, "the silent ones give way to those who wait");
    assert!(actions.iter().all(|action| matches!(action, ClientAction::Evict(ClientId(1..=64), _))));
    assert_eq!(take(&mut clients, 0, DEMAND, &names).1.len(), 1, "the collector is heard on");
}

/// Where others wait to be accepted, whoever has asked for nothing lately gives way; half a message is not nothing.
#[test]
fn clients_that_are_idle_give_way_to_those_who_wait() {
    let (mut clients, names, mut actions) = (Clients::new(3), config().names, Vec::new());
    (0..3).for_each(|id| clients.came(ms(0), ClientId(id)));
    take_at(ms(200), &mut clients, 0, "{\"type\":\"hb\"}\n", &names);
    take_at(ms(200), &mut clients, 1, "{\"type\"", &names);
    clients.turn(ms(300), &mut actions);
    assert!(matches!(actions[..], [ClientAction::Evict(ClientId(2), _)]), "{actions:?}");
    assert!(clients.next_at().is_some_and(|at| at > ms(300)), "one that is kept sets no time in the past");
    clients.gone(ClientId(2));
    actions.clear();
    clients.turn(ms(1_000), &mut actions);
    assert!(actions.is_empty(), "there is room again: {actions:?}");
}

#[test]
fn few_descriptors_and_many_leave_room_for_every_use() {
    for sockets in [64, 256, 1_024, 4_096] {
        let shares = Descriptors::divide(sockets);
        assert!(shares.connections + shares.probes + 16 <= sockets, "{sockets}: {shares:?}");
        assert!(
            shares.unidentified >= 16 && shares.connections - shares.unidentified >= 8,
            "{sockets}: {shares:?}"
        );
    }
}

/// A client that asks again and again keeps its connection; one that trickles half a message does not.
#[test]
fn idle_time_begins_anew_with_every_heartbeat_and_with_nothing_less() {
    let (mut clients, names) = (Clients::new(64), config().names);
    (0..2).for_each(|id| clients.came(ms(0), ClientId(id)));
    let mut actions = Vec::new();
    for at in (0..10_000).step_by(500) {
        take_at(ms(at), &mut clients, 0, "{\"type\":\"hb\"}\n", &names);
        take_at(ms(at), &mut clients, 1, &"{".repeat(1 + at as usize / 500), &names);
        clients.turn(ms(at), &mut actions);
    }
    assert!(matches!(actions[..], [ClientAction::Reject(ClientId(1), _)]), "{actions:?}");
    assert_eq!(clients.counts(), (0, 1));
}

#[test]
fn a_malformed_report_costs_itself_alone_and_a_corrupt_line_the_connection() {
    let (mut clients, names) = (Clients::new(64), config().names);
    clients.came(ms(0), ClientId(1));
    let spoilt = DEMAND.replace("17", "\"nan\"");
    let (_, reports) = take(&mut clients, 1, &format!("{JOINING}{DEMAND}{spoilt}{DEMAND}"), &names);
    assert_eq!((reports.len(), clients.malformed), (2, 1));
    let (client_actions, reports) =
        take(&mut clients, 1, &format!("{DEMAND}\u{1}\u{2}nonsense\n{DEMAND}"), &names);
    assert!(
        matches!(client_actions[..], [ClientAction::Close(ClientId(1), _)]),
        "nothing is written to a collector"
    );
    assert_eq!(reports.len(), 1);
}

/// Confirmed on reading: a collector that is cut off stays connected for good, and comes again.
#[test]
fn collectors_that_fell_silent_give_way_to_those_that_come_again() {
    let (mut clients, names, mut client_actions) = (Clients::new(64), config().names, Vec::new());
    for id in 0..200 {
        clients.came(ms(id * 100), ClientId(id));
        clients.heard(ms(id * 100), ClientId(id));
        client_actions.extend(take(&mut clients, id, JOINING, &names).0);
        // The second one speaks on.
        clients.heard(ms(id * 100 + 50), ClientId(1));
    }
    assert_eq!(clients.counts(), (4, 0));
    assert!(!client_actions.iter().any(|action| matches!(action, ClientAction::Close(ClientId(1 | 199), _))));
    assert_eq!(take(&mut clients, 1, DEMAND, &names).1.len(), 1, "one that speaks is heard on");
    let other = JOINING.replace("\"a\"", "\"b\"");
    clients.came(ms(30_000), ClientId(300));
    take(&mut clients, 300, &other, &names);
    assert_eq!(clients.counts(), (5, 0), "each zone has its own");
}

/// The ledger: each kind of work is owed from its entry until it is cleared, and counts where it is not done.
#[test]
fn a_client_is_owed_its_answer_until_it_is_written() {
    let (id, mut pending) = (ClientId(1), PendingWork::default());
    type Change = fn(&mut PendingWork, ClientId);
    let entries: [(Change, Change); 3] = [
        (|pending, id| pending.request_read(id), |pending, id| pending.request_answered(id, false)),
        (|pending, id| pending.set_partial(id, true), |pending, id| pending.set_partial(id, false)),
        (|pending, id| pending.request_answered(id, true), |pending, id| pending.flushed(id)),
    ];
    for (number, (enter, clear)) in (1..).zip(entries) {
        enter(&mut pending, id);
        assert!(pending.has_pending(id) && !pending.is_empty(), "entry {number}");
        clear(&mut pending, id);
        assert!(!pending.has_pending(id) && pending.is_empty(), "entry {number}");
        enter(&mut pending, id);
        pending.closed(id, CloseReason::Dropped);
        assert!(!pending.has_pending(id));
        assert_eq!(pending.violations().closed_unanswered, number);
    }
    for reason in [CloseReason::ByPeer, CloseReason::Rejected] {
        pending.request_read(id);
        pending.closed(id, reason);
    }
    assert_eq!(pending.violations().total(), 3, "whoever left or was told is owed nothing");
    pending.set_unacknowledged_orders(2);
    assert!(!pending.is_empty());
    pending.abandon();
    assert_eq!(pending.violations().orders_dropped, 2);
}

#[test]
fn what_a_client_has_asked_and_half_asked_is_entered_as_it_is_read() {
    let (mut clients, names, mut pending) = (Clients::new(64), config().names, PendingWork::default());
    let (mut reports, mut actions, id) = (Vec::new(), Vec::new(), ClientId(1));
    let mut input = BytesMut::new();
    clients.came(ms(0), id);
    for (text, answers, owed) in
        [("{\"type\":\"hb\"}\n", 1, true), ("{\"ty", 0, true), ("pe\":\"hb\"}\n", 1, true), ("", 0, false)]
    {
        input.extend_from_slice(text.as_bytes());
        clients.take(ms(0), id, &mut input, &names, 150, &mut pending, &mut reports, &mut actions);
        assert_eq!((pending.has_pending(id), actions.len()), (owed, answers), "{text}");
        actions.drain(..).for_each(|_| pending.request_answered(id, false));
    }
    assert!(pending.is_empty());
}
