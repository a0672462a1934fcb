//! Client connections and their pending work, with the clock passed in.

use bytes::BytesMut;
use craneknot::interface::{Event, Nanos};
use craneknot_node::clients::{ClientAction, ClientId, Clients};
use craneknot_node::descriptors::Descriptors;
use craneknot_node::pending::{CloseReason, PendingWork};
use craneknot_settings::instance::InstanceNames;

mod helpers;
use helpers::{config, ms};

fn read(
    clients: &mut Clients,
    id: u64,
    text: &str,
    names: &InstanceNames,
) -> (Vec<ClientAction>, Vec<Event>) {
    read_at(ms(0), clients, id, text, names)
}

fn read_at(
    now: Nanos,
    clients: &mut Clients,
    id: u64,
    text: &str,
    names: &InstanceNames,
) -> (Vec<ClientAction>, Vec<Event>) {
    let (mut actions, mut reports, mut pending) = (Vec::new(), Vec::new(), PendingWork::default());
    let mut input = BytesMut::from(text);
    clients.read_lines(now, ClientId(id), &mut input, names, 150, &mut pending, &mut reports, &mut actions);
    (actions, reports)
}

const JOIN: &str = "{\"type\":\"telemetry\",\"locality\":\"a\"}\n";
const DEMAND: &str =
    "{\"type\":\"client_stats\",\"node\":17,\"route\":\"lookup\",\"total\":19,\"errors\":0,\"interval\":1000.0}\n";

/// Unidentified clients send unreadable or endless lines, join an unknown zone, report before joining, or
/// stay silent.
#[test]
fn clients_that_do_not_join_are_rejected() {
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
        clients.connected(ms(0), ClientId(id as u64));
        let (client_actions, reports) = read(&mut clients, id as u64, text, &names);
        assert!(
            matches!(client_actions[..], [ClientAction::Reject(ClientId(n), _)] if n == id as u64),
            "{text:.40}"
        );
        assert!(reports.is_empty());
    }
    clients.connected(ms(10), ClientId(50));
    assert!(
        read(&mut clients, 50, "{\"type\":\"hb\"}\n{\"typ", &names).0
            == [ClientAction::AnswerHeartbeat(ClientId(50))]
    );
    let mut actions = Vec::new();
    clients.evict_overdue(ms(1_009), &mut PendingWork::default(), &mut actions);
    assert!(actions.is_empty(), "each client has at least a second");
    clients.evict_overdue(ms(3_000), &mut PendingWork::default(), &mut actions);
    assert!(matches!(actions[..], [ClientAction::Reject(ClientId(50), _)]));
    assert_eq!(clients.counts(), (0, 0));
}

#[test]
fn a_flood_of_unidentified_clients_is_queued_and_leaves_room_for_collectors() {
    let (mut clients, names) = (Clients::new(64), config().names);
    clients.connected(ms(0), ClientId(0));
    assert_eq!(read(&mut clients, 0, JOIN, &names).0, [ClientAction::RaiseInputLimit(ClientId(0))]);
    for id in 1..=500 {
        if clients.free_slots() > 0 {
            clients.connected(ms(1), ClientId(id));
        }
    }
    assert_eq!((clients.counts(), clients.free_slots()), ((1, 64), 0));
    let mut actions = Vec::new();
    clients.evict_overdue(ms(200), &mut PendingWork::default(), &mut actions);
    assert!(actions.is_empty(), "no client is evicted before it had time for a request: {actions:?}");
    clients.evict_overdue(ms(251), &mut PendingWork::default(), &mut actions);
    assert_eq!(actions.len(), 64, "the silent clients are evicted for those that wait");
    assert!(actions.iter().all(|action| matches!(action, ClientAction::Evict(ClientId(1..=64), _))));
    assert_eq!(read(&mut clients, 0, DEMAND, &names).1.len(), 1, "reports of the collector are still read");
}

/// While others wait to be accepted, clients without a recent request are evicted; a partial message counts
/// as activity.
#[test]
fn idle_clients_are_evicted_while_others_wait() {
    let (mut clients, names, mut actions) = (Clients::new(3), config().names, Vec::new());
    (0..3).for_each(|id| clients.connected(ms(0), ClientId(id)));
    read_at(ms(200), &mut clients, 0, "{\"type\":\"hb\"}\n", &names);
    read_at(ms(200), &mut clients, 1, "{\"type\"", &names);
    clients.evict_overdue(ms(300), &mut PendingWork::default(), &mut actions);
    assert!(matches!(actions[..], [ClientAction::Evict(ClientId(2), _)]), "{actions:?}");
    assert!(
        clients.next_at().is_some_and(|at| at > ms(300)),
        "a client that is kept has no timeout in the past"
    );
    clients.disconnected(ClientId(2));
    actions.clear();
    clients.evict_overdue(ms(1_000), &mut PendingWork::default(), &mut actions);
    assert!(actions.is_empty(), "a slot is free again: {actions:?}");
}

#[test]
fn few_descriptors_and_many_leave_room_for_every_use() {
    for sockets in [64, 256, 1_024, 4_096] {
        let descriptors = Descriptors::divide(sockets);
        assert!(descriptors.connections + descriptors.probes + 16 <= sockets, "{sockets}: {descriptors:?}");
        assert!(
            descriptors.unidentified >= 16 && descriptors.connections - descriptors.unidentified >= 8,
            "{sockets}: {descriptors:?}"
        );
    }
}

/// A client that keeps sending heartbeats keeps its connection; one that sends a partial message byte by byte
/// does not.
#[test]
fn only_a_heartbeat_restarts_the_idle_timeout() {
    let (mut clients, names) = (Clients::new(64), config().names);
    (0..2).for_each(|id| clients.connected(ms(0), ClientId(id)));
    let mut actions = Vec::new();
    for at in (0..10_000).step_by(500) {
        read_at(ms(at), &mut clients, 0, "{\"type\":\"hb\"}\n", &names);
        read_at(ms(at), &mut clients, 1, &"{".repeat(1 + at as usize / 500), &names);
        clients.evict_overdue(ms(at), &mut PendingWork::default(), &mut actions);
    }
    assert!(matches!(actions[..], [ClientAction::Reject(ClientId(1), _)]), "{actions:?}");
    assert_eq!(clients.counts(), (0, 1));
}

#[test]
fn a_malformed_report_is_skipped_and_a_corrupt_line_closes_the_connection() {
    let (mut clients, names) = (Clients::new(64), config().names);
    clients.connected(ms(0), ClientId(1));
    let malformed = DEMAND.replace("17", "\"nan\"");
    let (_, reports) = read(&mut clients, 1, &format!("{JOIN}{DEMAND}{malformed}{DEMAND}"), &names);
    assert_eq!((reports.len(), clients.malformed_reports), (2, 1));
    let (client_actions, reports) =
        read(&mut clients, 1, &format!("{DEMAND}\u{1}\u{2}nonsense\n{DEMAND}"), &names);
    assert!(
        matches!(client_actions[..], [ClientAction::Close(ClientId(1), _)]),
        "nothing is written to a collector"
    );
    assert_eq!(reports.len(), 1);
}

/// A collector that was cut off reconnects, and its old connection never closes by itself.
#[test]
fn silent_collectors_are_closed_when_others_reconnect() {
    let (mut clients, names, mut client_actions) = (Clients::new(64), config().names, Vec::new());
    for id in 0..200 {
        clients.connected(ms(id * 100), ClientId(id));
        clients.input_received(ms(id * 100), ClientId(id));
        client_actions.extend(read(&mut clients, id, JOIN, &names).0);
        // The second collector stays active.
        clients.input_received(ms(id * 100 + 50), ClientId(1));
    }
    assert_eq!(clients.counts(), (4, 0));
    assert!(!client_actions.iter().any(|action| matches!(action, ClientAction::Close(ClientId(1 | 199), _))));
    assert_eq!(
        read(&mut clients, 1, DEMAND, &names).1.len(),
        1,
        "reports of an active collector are still read"
    );
    let other = JOIN.replace("\"a\"", "\"b\"");
    clients.connected(ms(30_000), ClientId(300));
    read(&mut clients, 300, &other, &names);
    assert_eq!(clients.counts(), (5, 0), "the limit applies per zone");
}

/// Each kind of work is pending from its entry until it is cleared, and counts as a violation if it is not
/// done.
#[test]
fn an_answer_is_pending_until_it_is_written() {
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
    assert_eq!(pending.violations().total(), 3, "a client that has left or was rejected has no pending work");
    pending.set_unacknowledged_orders(2);
    assert!(!pending.is_empty());
    pending.abandon();
    assert_eq!(pending.violations().orders_dropped, 2);
}

#[test]
fn complete_and_partial_requests_are_entered_as_they_are_read() {
    let (mut clients, names, mut pending) = (Clients::new(64), config().names, PendingWork::default());
    let (mut reports, mut actions, id) = (Vec::new(), Vec::new(), ClientId(1));
    let mut input = BytesMut::new();
    clients.connected(ms(0), id);
    for (text, answers, is_pending) in
        [("{\"type\":\"hb\"}\n", 1, true), ("{\"ty", 0, true), ("pe\":\"hb\"}\n", 1, true), ("", 0, false)]
    {
        input.extend_from_slice(text.as_bytes());
        clients.read_lines(ms(0), id, &mut input, &names, 150, &mut pending, &mut reports, &mut actions);
        assert_eq!((pending.has_pending(id), actions.len()), (is_pending, answers), "{text}");
        actions.drain(..).for_each(|_| pending.request_answered(id, false));
    }
    assert!(pending.is_empty());
}

/// Guards against collectors that no limit held: one with a partial line counted as having pending work and was never
/// closed, while the collector that reports was.
#[test]
fn collectors_that_have_not_reported_give_way_first_whatever_they_leave_unfinished() {
    let (mut clients, names, mut pending) = (Clients::new(64), config().names, PendingWork::default());
    let (mut reports, mut actions) = (Vec::new(), Vec::new());
    let mut join = |clients: &mut Clients, pending: &mut PendingWork, id: u64, text: &str| {
        clients.connected(ms(id), ClientId(id));
        actions.clear();
        let mut input = BytesMut::from(format!("{JOIN}{text}").as_str());
        clients.read_lines(
            ms(id),
            ClientId(id),
            &mut input,
            &names,
            150,
            pending,
            &mut reports,
            &mut actions,
        );
        actions.clone()
    };
    join(&mut clients, &mut pending, 1, DEMAND);
    for id in 2..50 {
        let actions = join(&mut clients, &mut pending, id, "{\"type\":");
        let closed = actions.iter().find_map(|action| match action {
            ClientAction::Close(closed, _) => Some(closed.0),
            _ => None,
        });
        assert_eq!(closed, (id > 4).then(|| id - 3), "the oldest that has not reported");
        closed.into_iter().for_each(|closed| pending.closed(ClientId(closed), CloseReason::Dropped));
    }
    assert_eq!((clients.counts(), pending.violations().total()), ((4, 0), 0));
    // While none may be closed, since each has an unread answer, the newcomer is rejected.
    (0..50).for_each(|id| pending.request_answered(ClientId(id), true));
    let actions = join(&mut clients, &mut pending, 50, "");
    assert!(actions.iter().any(|action| matches!(action, ClientAction::Reject(ClientId(50), _))));
    assert_eq!(
        actions.iter().filter(|action| matches!(action, ClientAction::CloseIfStuck(_))).count(),
        4,
        "those that do not read are looked at"
    );
    assert_eq!(clients.counts(), (4, 0));
}

/// A collector may be idle for long, but not in the middle of a line.
#[test]
fn a_collector_has_thirty_seconds_for_a_line() {
    let (mut clients, names, mut pending) = (Clients::new(64), config().names, PendingWork::default());
    let (mut reports, mut actions) = (Vec::new(), Vec::new());
    for (id, text) in [(1, JOIN.to_owned()), (2, format!("{JOIN}{{\"type\":"))] {
        clients.connected(ms(0), ClientId(id));
        let mut input = BytesMut::from(text.as_str());
        clients.read_lines(
            ms(0),
            ClientId(id),
            &mut input,
            &names,
            150,
            &mut pending,
            &mut reports,
            &mut actions,
        );
    }
    actions.clear();
    assert_eq!(clients.next_at(), Some(ms(30_000)));
    clients.evict_overdue(ms(29_999), &mut pending, &mut actions);
    assert_eq!(actions, []);
    clients.evict_overdue(ms(30_000), &mut pending, &mut actions);
    assert!(matches!(actions[..], [ClientAction::Close(ClientId(2), _)]), "{actions:?}");
    assert!(!pending.has_pending(ClientId(2)), "a partial line is no request that waits for an answer");
}
