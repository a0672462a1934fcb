//! The loop on real sockets: thousands of connections, back pressure, limits, ends, and a clock that a test drives.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use craneknot::interface::Nanos;
use craneknot_reactor::{
    CloseCause, FolderWatch, Limits, ManualClock, Reactor, ReactorEvent, SendError, SteadyClock,
};

fn any() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn reactor(limits: Limits) -> Reactor<u32> {
    Reactor::new(Arc::new(SteadyClock::new()), limits).unwrap()
}

/// Polls until `done` says so; bounded by the number of rounds, each of which waits for something to happen.
fn until(reactor: &mut Reactor<u32>, mut done: impl FnMut(&mut Reactor<u32>, ReactorEvent<u32>) -> bool) {
    for _ in 0..100_000 {
        reactor.poll(Some(Duration::from_secs(5))).unwrap();
        while let Some(happened) = reactor.next_event() {
            if done(reactor, happened) {
                return;
            }
        }
    }
    panic!("it never came");
}

#[test]
fn two_thousand_connections_are_served_by_one_loop() {
    const COUNT: usize = 2_000;
    let mut reactor = reactor(Limits::default());
    let (_, address) = reactor.listen(any()).unwrap();
    let mut dialled = BTreeMap::new();
    for number in 0..COUNT {
        dialled.insert(reactor.connect(address).unwrap(), number);
    }
    let mut answered = 0;
    until(&mut reactor, |reactor, happened| {
        match happened {
            ReactorEvent::Connected { conn } => {
                reactor.send(conn, [Bytes::from(format!("{:04}", dialled[&conn]))]).unwrap();
            }
            ReactorEvent::Received { conn } => {
                let input = reactor.input(conn).unwrap();
                if input.len() < 4 {
                    return false;
                }
                let bytes = input.split().freeze();
                match dialled.get(&conn) {
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
fn a_peer_that_does_not_read_fills_its_own_buffer_alone() {
    let limits = Limits { output: 256 * 1024, ..Limits::default() };
    let mut reactor = reactor(limits);
    let (_, address) = reactor.listen(any()).unwrap();
    let mut peer = TcpStream::connect(address).unwrap();
    let mut accepted = None;
    until(&mut reactor, |_, happened| {
        if let ReactorEvent::Accepted { conn, .. } = happened {
            accepted = Some(conn);
        }
        accepted.is_some()
    });
    let conn = accepted.unwrap();
    let chunk = Bytes::from(vec![7; 64 * 1024]);
    let mut sent = 0;
    let full = loop {
        match reactor.send(conn, [chunk.clone()]) {
            Ok(()) => sent += chunk.len(),
            Err(full) => break full,
        }
        assert!(sent < 1 << 30, "bytes wait without bound");
    };
    assert!(matches!(full, SendError::Full) && reactor.unsent_bytes(conn) <= limits.output);
    // Once it reads, all that was taken arrives, in order.
    let reader = std::thread::spawn(move || {
        let mut bytes = vec![0; sent];
        peer.read_exact(&mut bytes).unwrap();
        bytes.iter().all(|byte| *byte == 7)
    });
    until(&mut reactor, |_, happened| matches!(happened, ReactorEvent::Flushed { .. }));
    assert!(reader.join().unwrap());
    assert_eq!(reactor.write_stalled_for(conn), Nanos(0));
}

#[test]
fn reading_stops_where_nothing_is_taken_and_goes_on_after() {
    let mut reactor = reactor(Limits { input: 4_096, ..Limits::default() });
    let (_, address) = reactor.listen(any()).unwrap();
    let writer = std::thread::spawn(move || {
        let mut peer = TcpStream::connect(address).unwrap();
        peer.write_all(&[1; 1 << 20]).unwrap();
    });
    let (mut taken, mut ended) = (0, false);
    until(&mut reactor, |reactor, happened| {
        match happened {
            ReactorEvent::Received { conn } => {
                let input = reactor.input(conn).unwrap();
                assert!(input.len() <= 4_096);
                taken += input.len();
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
    assert_eq!(taken, 1 << 20);
}

/// What can't be served is not accepted: it waits in the system's queue, and is served once there is room.
#[test]
fn connections_beyond_the_limit_wait_until_there_is_room() {
    let mut reactor = reactor(Limits { connections: 2, ..Limits::default() });
    let (_, address) = reactor.listen(any()).unwrap();
    let mut peers: Vec<TcpStream> = (0..3).map(|_| TcpStream::connect(address).unwrap()).collect();
    peers.iter_mut().for_each(|peer| peer.write_all(b"ask").unwrap());
    let mut accepted = Vec::new();
    until(&mut reactor, |_, happened| {
        if let ReactorEvent::Accepted { conn, .. } = happened {
            accepted.push(conn);
        }
        accepted.len() == 2
    });
    for _ in 0..5 {
        reactor.poll(Some(Duration::ZERO)).unwrap();
        while let Some(happened) = reactor.next_event() {
            assert!(!matches!(happened, ReactorEvent::Accepted { .. }), "there is no room");
        }
    }
    reactor.close(accepted[0]);
    until(&mut reactor, |reactor, happened| match happened {
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
fn a_dial_to_nobody_fails_and_its_id_is_void() {
    let mut reactor = reactor(Limits::default());
    let (listener, address) = reactor.listen(any()).unwrap();
    reactor.close_listener(listener);
    let conn = reactor.connect(address).unwrap();
    until(&mut reactor, |_, happened| {
        matches!(happened, ReactorEvent::Closed { cause: CloseCause::ConnectFailed(_), .. })
    });
    assert!(reactor.input(conn).is_none());
    assert!(matches!(reactor.send(conn, [Bytes::from_static(b"x")]), Err(SendError::Closed)));
}

#[test]
fn a_driven_clock_never_waits() {
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
fn files_renamed_into_place_are_told_in_order() {
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
    let mut named = Vec::new();
    until(&mut reactor, |_, happened| {
        if let ReactorEvent::Ready(3) = happened {
            let changes = watch.changes().unwrap();
            named.extend(changes.into_iter().filter_map(|(_, name)| name?.into_string().ok()));
        }
        named.iter().any(|name| name == "b")
    });
    let place = |wanted: &str| named.iter().position(|name| name == wanted).unwrap();
    assert!(place("a") < place("b"));
}

/// A peer that says its last and shuts its sending side in one go reads on, and is to be answered. Confirmed by this
/// test: where the last bytes filled the reader's buffer, their end was told with them.
#[test]
fn the_end_of_a_peer_is_told_after_the_owner_had_its_turn_with_the_last_bytes() {
    let mut reactor = reactor(Limits::default());
    let (_, address) = reactor.listen(any()).unwrap();
    let mut peer = TcpStream::connect(address).unwrap();
    peer.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut asked = None;
    until(&mut reactor, |_, happened| match happened {
        ReactorEvent::Accepted { conn, .. } => {
            asked = Some(conn);
            true
        }
        _ => false,
    });
    let conn = asked.unwrap();
    // As many bytes as are read at once: the read after them finds the end.
    let said = [b'q'; 16 * 1024];
    peer.write_all(&said).unwrap();
    peer.shutdown(std::net::Shutdown::Write).unwrap();
    let mut input = 0;
    until(&mut reactor, |reactor, happened| {
        let came = matches!(happened, ReactorEvent::Received { .. });
        input += reactor.input(conn).filter(|_| came).map_or(0, |input| std::mem::take(input).len());
        input == said.len()
    });
    while let Some(happened) = reactor.next_event() {
        assert!(!matches!(happened, ReactorEvent::Closed { .. }), "the owner has not had its turn yet");
    }
    reactor.input_consumed(conn);
    assert!(reactor.send(conn, [Bytes::from_static(b"answer")]).is_ok());
    until(&mut reactor, |_, happened| {
        matches!(happened, ReactorEvent::Closed { cause: CloseCause::PeerClosed, .. })
    });
    let mut answer = String::new();
    peer.read_to_string(&mut answer).unwrap();
    assert_eq!(answer, "answer");
}

#[test]
fn dialled_connections_leave_room_for_accepted_ones_and_the_other_way_round() {
    let mut reactor = reactor(Limits { connections: 1, ..Limits::default() });
    let (_, address) = reactor.listen(any()).unwrap();
    let outside = std::net::TcpListener::bind(any()).unwrap();
    for _ in 0..3 {
        reactor.connect(outside.local_addr().unwrap()).unwrap();
    }
    let _peer = TcpStream::connect(address).unwrap();
    let mut accepted = 0;
    until(&mut reactor, |_, happened| {
        accepted += u64::from(matches!(happened, ReactorEvent::Accepted { .. }));
        accepted > 0
    });
    assert_eq!((accepted, reactor.connections()), (1, 4));
}

#[test]
fn a_listener_that_ends_takes_in_whom_the_system_has_connected_already() {
    let mut reactor = reactor(Limits::default());
    let (listener, address) = reactor.listen(any()).unwrap();
    let mut peers: Vec<TcpStream> = (0..3).map(|_| TcpStream::connect(address).unwrap()).collect();
    reactor.close_listener(listener);
    assert!(TcpStream::connect(address).is_err(), "nobody else is taken in");
    let mut accepted = 0;
    while let Some(happened) = reactor.next_event() {
        if let ReactorEvent::Accepted { conn, .. } = happened {
            accepted += 1;
            reactor.send(conn, [Bytes::from_static(b"x")]).unwrap();
        }
    }
    assert_eq!(accepted, 3);
    for peer in &mut peers {
        peer.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        assert_eq!(peer.read(&mut [0; 1]).unwrap(), 1, "it is answered, not reset");
    }
}

/// The last bytes of a peer that come after our end must not reset the connection under our last bytes.
#[test]
fn what_is_written_before_a_finish_arrives_though_the_peer_sends_on() {
    let mut reactor = reactor(Limits::default());
    let (_, address) = reactor.listen(any()).unwrap();
    let mut peer = TcpStream::connect(address).unwrap();
    peer.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    peer.write_all(b"more that nobody reads").unwrap();
    until(&mut reactor, |reactor, happened| match happened {
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
    panic!("it stayed for good");
}

/// A peer that has shut its sending side and reads slowly gets all that waits for it before its end is told.
#[test]
fn a_half_closed_peer_gets_all_that_waits_for_it() {
    let mut reactor = reactor(Limits::default());
    let (_, address) = reactor.listen(any()).unwrap();
    let mut peer = TcpStream::connect(address).unwrap();
    peer.write_all(b"ask").unwrap();
    peer.shutdown(std::net::Shutdown::Write).unwrap();
    const LENGTH: usize = 8 << 20;
    let reader = std::thread::spawn(move || {
        let mut answer = Vec::new();
        peer.read_to_end(&mut answer).map(|_| answer.len())
    });
    until(&mut reactor, |reactor, happened| match happened {
        ReactorEvent::Received { conn } => {
            reactor.input(conn).unwrap().clear();
            reactor.send(conn, [Bytes::from(vec![1; LENGTH])]).unwrap();
            true
        }
        _ => false,
    });
    until(&mut reactor, |_, happened| {
        matches!(happened, ReactorEvent::Closed { cause: CloseCause::PeerClosed, .. })
    });
    assert_eq!(reader.join().unwrap().unwrap(), LENGTH);
}
