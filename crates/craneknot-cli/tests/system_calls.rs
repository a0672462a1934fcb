//! `craneknot node` with system calls that fail as Linux documents and with a stepped wall clock, by means of the preload
//! library of `craneknot-fault-shim`.

use std::io::Write;
use std::net::TcpStream;

use rustix::process::Signal;
use serde_json::Value;

mod helpers;
use helpers::peers::{accept, accepted_response, listener, orders, request, start_event_stream};
use helpers::{configuration, fault_library, is_answered, Node, HEARTBEAT};

/// Starts a coordinator whose system calls fail by these rules.
fn start(folder: &std::path::Path, value: &Value, faults: &str, seed: u64) -> Node {
    let (library, seed) = (fault_library(), seed.to_string());
    let variables = [
        ("LD_PRELOAD", library.to_str().unwrap()),
        ("CRANEKNOT_FAULTS", faults),
        ("CRANEKNOT_FAULT_SEED", &seed),
    ];
    Node::start_with(folder, value, &variables)
}

/// System calls that fail temporarily during the start are retried.
#[test]
fn a_start_survives_temporary_system_call_failures() {
    let relay = listener();
    for faults in [
        "socket=ENFILE#1",
        "socket=ENOBUFS#3",
        "epoll_ctl=ENOMEM#2",
        "open=EMFILE#1",
        "open=EINTR#2",
        "epoll_wait=ENOMEM#2",
        "socket=EMFILE#2;epoll_ctl=ENOSPC#1",
        "pthread_create=EAGAIN#3",
    ] {
        let folder = tempfile::tempdir().unwrap();
        let node = start(folder.path(), &configuration(relay.local_addr().unwrap()), faults, 0);
        let mut client = node.answered_client();
        client.write_all(HEARTBEAT).unwrap();
        assert!(is_answered(&mut client), "{faults}");
    }
}

/// Temporary failures of system calls leave no request unanswered, on new and on open connections.
#[test]
fn heartbeats_are_answered_despite_temporary_system_call_failures() {
    let relay = listener();
    let faults = "accept4=ECONNABORTED@0.1;accept4=ENFILE@0.1;accept4=EINTR@0.1;socket=ENOBUFS@0.3;\
                  connect=EADDRNOTAVAIL@0.1;connect=ENETUNREACH@0.1;recv=EINTR@0.2;recv=SHORT@0.2;recv=ENOBUFS@0.1;\
                  writev=EINTR@0.2;writev=SHORT@0.2;writev=ENOBUFS@0.1;epoll_ctl=ENOMEM@0.1;epoll_wait=EINTR@0.2;\
                  recv=ETIMEDOUT@0.02;recv=EHOSTUNREACH@0.02;writev=ETIMEDOUT@0.02;writev=EHOSTUNREACH@0.02;send=ENOBUFS@0.5";
    for seed in 1..=4 {
        let folder = tempfile::tempdir().unwrap();
        let mut node = start(folder.path(), &configuration(relay.local_addr().unwrap()), faults, seed);
        let mut clients: Vec<TcpStream> = (0..20).map(|_| node.answered_client()).collect();
        for round in 0..10 {
            clients.iter_mut().for_each(|client| client.write_all(HEARTBEAT).unwrap());
            let answered = clients.iter_mut().filter_map(|client| is_answered(client).then_some(())).count();
            assert_eq!(answered, 20, "seed {seed}, round {round}");
        }
        drop(clients);
        node.signal(Signal::TERM);
        node.signal(Signal::INT);
        assert_eq!(node.child.wait().unwrap().code(), Some(0), "seed {seed}: a signal was lost");
    }
}

#[test]
fn log_lines_stay_complete_despite_temporary_write_failures() {
    let relay = listener();
    let faults = "write=EINTR@0.2;write=EAGAIN@0.1;write=SHORT@0.5";
    for seed in 1..=3 {
        let folder = tempfile::tempdir().unwrap();
        let mut node = start(folder.path(), &configuration(relay.local_addr().unwrap()), faults, seed);
        drop(node.answered_client());
        node.signal(Signal::TERM);
        node.signal(Signal::INT);
        assert_eq!(node.child.wait().unwrap().code(), Some(0), "seed {seed}");
        let log = node.log.lock().unwrap().clone();
        assert!(log.iter().all(|line| serde_json::from_str::<Value>(line).is_ok()), "{seed}: {log:?}");
    }
}

/// Orders reach the relay, those of each proxy in sequence, although calls to it fail temporarily in every way.
#[test]
fn orders_are_sent_despite_temporary_system_call_failures() {
    for seed in 1..=3 {
        let (relay, folder) = (listener(), tempfile::tempdir().unwrap());
        let faults = "socket=ENFILE@0.2;connect=ENETUNREACH@0.2;connect=ETIMEDOUT@0.1;recv=SHORT@0.3;writev=SHORT@0.3;\
                      recv=EHOSTUNREACH@0.01;epoll_ctl=ENOMEM@0.1";
        let _node = start(folder.path(), &configuration(relay.local_addr().unwrap()), faults, seed);
        let (sender, accepted) = std::sync::mpsc::channel();
        std::thread::spawn(move || loop {
            let mut stream = accept(&relay);
            let sender = sender.clone();
            std::thread::spawn(move || {
                while let Some((path, body)) = request(&mut stream) {
                    if path == "/api/events" {
                        return serve_events_until_closed(&mut stream);
                    }
                    let orders = orders(&body);
                    if stream.write_all(accepted_response(orders.len()).as_bytes()).is_err() {
                        return;
                    }
                    orders.into_iter().for_each(|order| drop(sender.send(order)));
                }
            });
        });
        let mut unbound: std::collections::BTreeSet<usize> = (0..12).collect();
        while !unbound.is_empty() {
            let order =
                accepted.recv_timeout(std::time::Duration::from_secs(30)).expect("every proxy is bound");
            if let Some(rest) = order.strip_prefix("bind,") {
                unbound.remove(&rest.split(',').next().unwrap().parse().unwrap());
            }
        }
    }
}

/// Reports twelve proxies as joined, then holds the event stream open until the coordinator sends data or closes it.
fn serve_events_until_closed(stream: &mut TcpStream) {
    start_event_stream(stream, 12);
    let _ = std::io::Read::read(stream, &mut [0]);
}

/// A connection attempt that fails locally says nothing about the peer: it is retried and not reported as a failure. Three
/// such failures in a row used to leave a coordinator without a server list for five seconds.
#[test]
fn a_local_connect_failure_is_not_a_failure_of_the_peer() {
    for faults in ["connect=ENETUNREACH#12", "connect=EADDRNOTAVAIL#12", "connect=ENOBUFS#12"] {
        let (relay, discovery, folder) = (listener(), listener(), tempfile::tempdir().unwrap());
        let mut value = configuration(relay.local_addr().unwrap());
        value["discovery"] = discovery.local_addr().unwrap().to_string().into();
        let node = start(folder.path(), &value, faults, 0);
        let mut stream = accept(&discovery);
        assert!(request(&mut stream).unwrap().0.starts_with("/discovery/hosts"));
        let log = node.log.lock().unwrap().clone();
        assert!(!log.iter().any(|line| line.contains("discovery watch failed")), "{faults}: {log:?}");
    }
}

/// A coordinator whose wall clock is an hour off in either direction starts and answers.
#[test]
fn a_wall_clock_an_hour_off_changes_no_answer() {
    let relay = listener();
    for offset in ["-3600", "3600"] {
        let (folder, library) = (tempfile::tempdir().unwrap(), fault_library());
        let variables = [("LD_PRELOAD", library.to_str().unwrap()), ("CRANEKNOT_WALL_OFFSET_S", offset)];
        let node = Node::start_with(folder.path(), &configuration(relay.local_addr().unwrap()), &variables);
        let mut client = node.answered_client();
        client.write_all(HEARTBEAT).unwrap();
        assert!(is_answered(&mut client), "{offset}");
    }
}

/// Times are counted in nanoseconds since 1970, which end in 2554: a clock beyond that must leave room for timers.
#[test]
fn a_wall_clock_centuries_off_makes_no_timer_due_at_once() {
    let relay = listener();
    for offset in ["-4000000000", "20000000000"] {
        let (folder, library) = (tempfile::tempdir().unwrap(), fault_library());
        let variables = [("LD_PRELOAD", library.to_str().unwrap()), ("CRANEKNOT_WALL_OFFSET_S", offset)];
        let mut node =
            Node::start_with(folder.path(), &configuration(relay.local_addr().unwrap()), &variables);
        let mut client = node.answered_client();
        for _ in 0..100 {
            client.write_all(HEARTBEAT).unwrap();
            assert!(is_answered(&mut client), "{offset}");
        }
        node.signal(Signal::TERM);
        node.signal(Signal::INT);
        assert_eq!(node.child.wait().unwrap().code(), Some(0), "{offset}");
        let count = |text: &str| node.log.lock().unwrap().iter().filter(|line| line.contains(text)).count();
        while count("ended with") == 0 {
            std::thread::yield_now();
        }
        assert!(count("status of clients") <= 1, "{offset}: at most one status line every five seconds");
    }
}
