//! The event loop on real sockets: thousands of connections, back pressure, limits, closing, and a manual clock.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use craneknot::interface::Nanos;
use craneknot_reactor::{
    CloseCause, ConnId, FolderWatch, Limits, ManualClock, Reactor, ReactorEvent, SendError, SteadyClock,
    Unfinished,
};

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn reactor(limits: Limits) -> Reactor<u32> {
    Reactor::new(Arc::new(SteadyClock::new()), limits).unwrap()
}

/// Polls until `done` returns true; bounded by the number of polls, each of which waits for an event.
fn until(reactor: &mut Reactor<u32>, mut done: impl FnMut(&mut Reactor<u32>, ReactorEvent<u32>) -> bool) {
    for _ in 0..100_000 {
        reactor.poll(Some(Duration::from_secs(5))).unwrap();
        while let Some(event) = reactor.next_event() {
            if done(reactor, event) {
                return;
            }
        }
    }
    panic!("the expected event did not occur");
}

/// Waits for the next connection.
fn accept(reactor: &mut Reactor<u32>) -> ConnId {
    let mut accepted = None;
    until(reactor, |_, event| {
        if let ReactorEvent::Accepted { conn, .. } = event {
            accepted = Some(conn);
        }
        accepted.is_some()
    });
    accepted.unwrap()
}

#[test]
fn two_thousand_connections_are_served_by_one_loop() {
    const COUNT: usize = 2_000;
    let mut reactor = reactor(Limits::default());
    let (_, address) = reactor.listen(any_port()).unwrap();
    let mut numbers = BTreeMap::new();
    for number in 0..COUNT {
        numbers.insert(reactor.connect(address).unwrap(), number);
    }
    let mut answered = 0;
    until(&mut reactor, |reactor, event| {
        match event {
            ReactorEvent::Connected { conn } => {
                reactor.send(conn, [Bytes::from(format!("{:04}", numbers[&conn]))]).unwrap();
            }
            ReactorEvent::Received { conn } => {
                let input = reactor.input(conn).unwrap();
                if input.len() < 4 {
                    return false;
                }
                let bytes = input.split().freeze();
                match numbers.get(&conn) {
                    Some(number) => {
                        assert_eq!(bytes, format!("{number:04}"));
                        answered += 1;
                    }
                    None => reactor.send(conn, [bytes]).unwrap(),
                }
            }
            _ => {}
        }
        answered == COUNT
    });
    assert_eq!(reactor.connections(), 2 * COUNT);
}

#[test]
fn a_peer_that_does_not_read_fills_only_its_own_buffer() {
    let limits = Limits { output: 256 * 1024, ..Limits::default() };
    let mut reactor = reactor(limits);
    let (_, address) = reactor.listen(any_port()).unwrap();
    let mut peer = TcpStream::connect(address).unwrap();
    let conn = accept(&mut reactor);
    let chunk = Bytes::from(vec![7; 64 * 1024]);
    let mut sent = 0;
    let full = loop {
        match reactor.send(conn, [chunk.clone()]) {
            Ok(()) => sent += chunk.len(),
            Err(full) => break full,
        }
        assert!(sent < 1 << 30, "the queue of bytes is unbounded");
    };
    assert!(matches!(full, SendError::Full) && reactor.unsent_bytes(conn) <= limits.output);
    // Once the peer reads, all queued bytes arrive in order.
    let reader = std::thread::spawn(move || {
        let mut bytes = vec![0; sent];
        peer.read_exact(&mut bytes).unwrap();
        bytes.iter().all(|byte| *byte == 7)
    });
    until(&mut reactor, |_, event| matches!(event, ReactorEvent::Flushed { .. }));
    assert!(reader.join().unwrap());
    assert_eq!(reactor.write_stalled_for(conn), Nanos(0));
}

#[test]
fn reading_pauses_while_the_input_is_not_consumed_and_then_resumes() {
    let mut reactor = reactor(Limits { input: 4_096, ..Limits::default() });
    let (_, address) = reactor.listen(any_port()).unwrap();
    let writer = std::thread::spawn(move || {
        let mut peer = TcpStream::connect(address).unwrap();
        peer.write_all(&[1; 1 << 20]).unwrap();
    });
    let (mut consumed, mut ended) = (0, false);
    until(&mut reactor, |reactor, event| {
        match event {
            ReactorEvent::Received { conn } => {
                let input = reactor.input(conn).unwrap();
                assert!(input.len() <= 4_096);
                consumed += input.len();
                input.clear();
                reactor.input_consumed(conn);
            }
            ReactorEvent::Closed { cause, .. } => {
                assert!(matches!(cause, CloseCause::PeerClosed));
                ended = true;
            }
            _ => {}
        }
        ended
    });
    writer.join().unwrap();
    assert_eq!(consumed, 1 << 20);
}

/// Connections that can't be served are not accepted: they wait in the listen backlog until others close.
#[test]
fn connections_beyond_the_limit_wait_until_others_close() {
    let mut reactor = reactor(Limits { connections: 2, ..Limits::default() });
    let (_, address) = reactor.listen(any_port()).unwrap();
    let mut peers: Vec<TcpStream> = (0..3).map(|_| TcpStream::connect(address).unwrap()).collect();
    peers.iter_mut().for_each(|peer| peer.write_all(b"ask").unwrap());
    let mut accepted = Vec::new();
    until(&mut reactor, |_, event| {
        if let ReactorEvent::Accepted { conn, .. } = event {
            accepted.push(conn);
        }
        accepted.len() == 2
    });
    for _ in 0..5 {
        reactor.poll(Some(Duration::ZERO)).unwrap();
        while let Some(event) = reactor.next_event() {
            assert!(!matches!(event, ReactorEvent::Accepted { .. }), "the limit is reached");
        }
    }
    reactor.close(accepted[0]);
    until(&mut reactor, |reactor, event| match event {
        ReactorEvent::Accepted { conn, .. } => {
            reactor.send(conn, [Bytes::from_static(b"answer")]).unwrap();
            true
        }
        _ => false,
    });
    let mut last = peers.pop().unwrap();
    last.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut answer = [0; 6];
    last.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"answer");
}

#[test]
fn a_refused_connect_fails_and_its_id_becomes_invalid() {
    let mut reactor = reactor(Limits::default());
    let (listener, address) = reactor.listen(any_port()).unwrap();
    reactor.close_listener(listener);
    let conn = reactor.connect(address).unwrap();
    until(&mut reactor, |_, event| {
        matches!(event, ReactorEvent::Closed { cause: CloseCause::ConnectFailed(_), .. })
    });
    assert!(reactor.input(conn).is_none());
    assert!(matches!(reactor.send(conn, [Bytes::from_static(b"x")]), Err(SendError::Closed)));
}

#[test]
fn a_manual_clock_never_waits() {
    let clock = Arc::new(ManualClock::at(Nanos(5)));
    let mut reactor: Reactor<u32> = Reactor::new(clock.clone(), Limits::default()).unwrap();
    reactor.set_timer(Nanos::from_millis(3_600_000), 7);
    reactor.poll(None).unwrap();
    assert!(reactor.next_event().is_none());
    clock.advance(Nanos::from_millis(3_600_000));
    reactor.poll(None).unwrap();
    assert!(matches!(reactor.next_event(), Some(ReactorEvent::Timer(7))));
}

#[test]
fn files_renamed_into_place_are_reported_in_order() {
    let folder = tempfile::tempdir().unwrap();
    let mut watch = FolderWatch::new().unwrap();
    watch.add(folder.path()).unwrap();
    let mut reactor = reactor(Limits::default());
    reactor.watch(&watch, 3).unwrap();
    std::fs::write(folder.path().join("a.fresh"), "1").unwrap();
    for name in ["a", "b"] {
        std::fs::copy(folder.path().join("a.fresh"), folder.path().join("x")).unwrap();
        std::fs::rename(folder.path().join("x"), folder.path().join(name)).unwrap();
    }
    let mut names = Vec::new();
    until(&mut reactor, |_, event| {
        if let ReactorEvent::Ready(3) = event {
            let changes = watch.changes().unwrap();
            names.extend(changes.into_iter().filter_map(|(_, name)| name?.into_string().ok()));
        }
        names.iter().any(|name| name == "b")
    });
    let position = |wanted: &str| names.iter().position(|name| name == wanted).unwrap();
    assert!(position("a") < position("b"));
}

/// A peer that sends its last bytes and shuts down its sending side at once still reads, and must be answered. The end
/// used to be reported together with the last bytes when these filled the reader's buffer.
#[test]
fn the_end_of_a_peer_is_reported_after_the_owner_has_handled_the_last_bytes() {
    let mut reactor = reactor(Limits::default());
    let (_, address) = reactor.listen(any_port()).unwrap();
    let mut peer = TcpStream::connect(address).unwrap();
    peer.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut accepted = None;
    until(&mut reactor, |_, event| match event {
        ReactorEvent::Accepted { conn, .. } => {
            accepted = Some(conn);
            true
        }
        _ => false,
    });
    let conn = accepted.unwrap();
    // As many bytes as one read takes, so that the next read finds the end of the stream.
    let request = [b'q'; 16 * 1024];
    peer.write_all(&request).unwrap();
    peer.shutdown(std::net::Shutdown::Write).unwrap();
    let mut input = 0;
    until(&mut reactor, |reactor, event| {
        let is_received = matches!(event, ReactorEvent::Received { .. });
        input += reactor.input(conn).filter(|_| is_received).map_or(0, |input| std::mem::take(input).len());
        input == request.len()
    });
    while let Some(event) = reactor.next_event() {
        assert!(!matches!(event, ReactorEvent::Closed { .. }), "the owner has not handled the input yet");
    }
    reactor.input_consumed(conn);
    assert!(reactor.send(conn, [Bytes::from_static(b"answer")]).is_ok());
    until(&mut reactor, |_, event| {
        matches!(event, ReactorEvent::Closed { cause: CloseCause::PeerClosed, .. })
    });
    let mut answer = String::new();
    peer.read_to_string(&mut answer).unwrap();
    assert_eq!(answer, "answer");
}

#[test]
fn outgoing_and_accepted_connections_are_limited_separately() {
    let mut reactor = reactor(Limits { connections: 1, ..Limits::default() });
    let (_, address) = reactor.listen(any_port()).unwrap();
    let outside = std::net::TcpListener::bind(any_port()).unwrap();
    for _ in 0..3 {
        reactor.connect(outside.local_addr().unwrap()).unwrap();
    }
    let _peer = TcpStream::connect(address).unwrap();
    let mut accepted = 0;
    until(&mut reactor, |_, event| {
        accepted += u64::from(matches!(event, ReactorEvent::Accepted { .. }));
        accepted > 0
    });
    assert_eq!((accepted, reactor.connections()), (1, 4));
}

#[test]
fn a_closing_listener_accepts_the_connections_that_the_system_has_completed() {
    let mut reactor = reactor(Limits::default());
    let (listener, address) = reactor.listen(any_port()).unwrap();
    let mut peers: Vec<TcpStream> = (0..3).map(|_| TcpStream::connect(address).unwrap()).collect();
    reactor.close_listener(listener);
    assert!(TcpStream::connect(address).is_err(), "no further connection is accepted");
    let mut accepted = 0;
    while let Some(event) = reactor.next_event() {
        if let ReactorEvent::Accepted { conn, .. } = event {
            accepted += 1;
            reactor.send(conn, [Bytes::from_static(b"x")]).unwrap();
        }
    }
    assert_eq!(accepted, 3);
    for peer in &mut peers {
        peer.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        assert_eq!(peer.read(&mut [0; 1]).unwrap(), 1, "the connection is answered, not reset");
    }
}

/// Bytes that a peer sends after our end of stream must not reset the connection before our last bytes arrive.
#[test]
fn bytes_sent_before_a_graceful_close_arrive_although_the_peer_keeps_sending() {
    let mut reactor = reactor(Limits::default());
    let (_, address) = reactor.listen(any_port()).unwrap();
    let mut peer = TcpStream::connect(address).unwrap();
    peer.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    peer.write_all(b"more that nobody reads").unwrap();
    until(&mut reactor, |reactor, event| match event {
        ReactorEvent::Accepted { conn, .. } => {
            reactor.limit_input(conn, 1);
            reactor.send(conn, [Bytes::from_static(b"last")]).unwrap();
            reactor.close_gracefully(conn);
            true
        }
        _ => false,
    });
    peer.write_all(b"and more").unwrap();
    let mut last = String::new();
    peer.read_to_string(&mut last).unwrap();
    assert_eq!(last, "last");
    drop(peer);
    for _ in 0..1_000 {
        reactor.poll(Some(Duration::from_millis(5))).unwrap();
        if reactor.connections() == 0 {
            return;
        }
    }
    panic!("the connection was never closed");
}

/// A peer that has shut down its sending side and reads slowly gets all queued bytes before its end is reported.
#[test]
fn a_half_closed_peer_gets_all_queued_bytes() {
    let mut reactor = reactor(Limits::default());
    let (_, address) = reactor.listen(any_port()).unwrap();
    let mut peer = TcpStream::connect(address).unwrap();
    peer.write_all(b"ask").unwrap();
    peer.shutdown(std::net::Shutdown::Write).unwrap();
    const LENGTH: usize = 8 << 20;
    let reader = std::thread::spawn(move || {
        let mut answer = Vec::new();
        peer.read_to_end(&mut answer).map(|_| answer.len())
    });
    until(&mut reactor, |reactor, event| match event {
        ReactorEvent::Received { conn } => {
            reactor.input(conn).unwrap().clear();
            reactor.send(conn, [Bytes::from(vec![1; LENGTH])]).unwrap();
            true
        }
        _ => false,
    });
    until(&mut reactor, |_, event| {
        matches!(event, ReactorEvent::Closed { cause: CloseCause::PeerClosed, .. })
    });
    assert_eq!(reader.join().unwrap().unwrap(), LENGTH);
}

/// Guards against limits that hold for a connection alone: what all of them hold together is bounded, and the ones that
/// have held theirs the longest are named.
#[test]
fn connections_share_one_budget_for_what_their_peers_leave_unfinished() {
    const PART: usize = 64 * 1024;
    const BUDGET: usize = 4 * PART;
    let mut reactor = reactor(Limits { input: PART, buffered: BUDGET, ..Limits::default() });
    let (_, address) = reactor.listen(any_port()).unwrap();
    let mut clients: Vec<TcpStream> = (0..8).map(|_| TcpStream::connect(address).unwrap()).collect();
    clients.iter_mut().for_each(|client| client.write_all(&vec![b'x'; PART]).unwrap());
    let mut order = Vec::new();
    for _ in 0..200 {
        let is_full = reactor.buffered_bytes() >= BUDGET;
        reactor.poll(Some(Duration::ZERO)).unwrap();
        while let Some(event) = reactor.next_event() {
            let ReactorEvent::Received { conn } = event else { continue };
            assert!(!is_full, "nothing is read at the limit");
            if !order.contains(&conn) {
                order.push(conn);
            }
            let place = order.iter().position(|other| *other == conn).unwrap();
            let since = Nanos::from_millis(place as u64);
            reactor.set_unfinished(conn, Some(Unfinished { since, held_bytes: 0 }));
            reactor.input_consumed(conn);
        }
    }
    assert!(reactor.buffered_bytes() >= BUDGET, "{}", reactor.buffered_bytes());
    assert!(reactor.buffered_bytes() < BUDGET + PART, "{}", reactor.buffered_bytes());
    let over = reactor.over_budget();
    assert_eq!(over, order[..over.len()], "the longest unfinished first");
    over.iter().for_each(|conn| reactor.close_gracefully(*conn));
    assert!(!over.is_empty() && reactor.over_budget().is_empty());
    assert!(reactor.buffered_bytes() <= BUDGET / 4 * 3);
}

/// Output that waits for its peer counts towards the budget, unless its memory is shared.
#[test]
fn unread_output_counts_unless_it_is_shared() {
    let mut reactor = reactor(Limits { buffered: 1024 * 1024, ..Limits::default() });
    let (_, address) = reactor.listen(any_port()).unwrap();
    let _client = TcpStream::connect(address).unwrap();
    let conn = accept(&mut reactor);
    reactor.send(conn, [Bytes::from(vec![0; 12 * 1024 * 1024])]).unwrap();
    assert_eq!(reactor.buffered_bytes(), reactor.unsent_bytes(conn));
    assert_eq!(reactor.over_budget(), [conn], "more than the system's buffers take");
    reactor.set_output_shared(conn);
    assert_eq!((reactor.buffered_bytes(), reactor.over_budget()), (0, Vec::new()));
}

/// Guards against connections that are never closed: one whose peer read nothing waited for its last bytes to be written
/// for ever.
#[test]
fn a_graceful_close_does_not_wait_for_a_peer_that_never_reads() {
    let clock = Arc::new(ManualClock::at(Nanos(5)));
    let mut reactor: Reactor<u32> = Reactor::new(clock.clone(), Limits::default()).unwrap();
    let (_, address) = reactor.listen(any_port()).unwrap();
    let _client = TcpStream::connect(address).unwrap();
    let conn = accept(&mut reactor);
    reactor.send(conn, [Bytes::from(vec![0; 12 * 1024 * 1024])]).unwrap();
    reactor.close_gracefully(conn);
    for _ in 0..100 {
        reactor.poll(Some(Duration::ZERO)).unwrap();
    }
    assert_eq!(reactor.connections(), 1, "the peer has time to read");
    clock.advance(Nanos::from_millis(2_000));
    reactor.poll(Some(Duration::ZERO)).unwrap();
    assert_eq!(reactor.connections(), 0);
}
