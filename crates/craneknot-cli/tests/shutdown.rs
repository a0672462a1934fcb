//! What is owed to clients when `craneknot node` is asked to shut down: every heartbeat that reaches it before it is
//! killed is answered, on open connections too. The platform kills 700 ms after SIGTERM at the earliest.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use tempfile::TempDir;

mod helpers;
use helpers::peers::listener;
use helpers::{configuration, is_answered, Node, HEARTBEAT};

const KILL_AFTER: Duration = Duration::from_millis(700);
const TELEMETRY: &[u8] = b"{\"type\":\"telemetry\",\"locality\":\"a\"}\n";

/// A coordinator with so many descriptors, whose relay is gone unless the caller keeps it.
fn start(sockets: usize) -> (Node, TempDir, TcpListener) {
    let (folder, relay) = (tempfile::tempdir().unwrap(), listener());
    let mut value = configuration(relay.local_addr().unwrap());
    value["limits"]["sockets"] = sockets.into();
    (Node::start(folder.path(), &value), folder, relay)
}

/// Waits until the signal has been acted on: nobody is taken in any more.
fn until_refused(node: &Node) {
    while TcpStream::connect(node.address).is_ok() {
        std::thread::yield_now();
    }
}

#[test]
fn an_answered_client_whose_next_heartbeat_crosses_sigterm_in_halves_is_answered() {
    let (node, ..) = start(256);
    let mut clients: Vec<TcpStream> = (0..24).map(|_| node.answered_client()).collect();
    let (first, second) = HEARTBEAT.split_at(HEARTBEAT.len() / 2);
    clients.iter_mut().for_each(|client| client.write_all(first).unwrap());
    node.signal(Signal::TERM);
    until_refused(&node);
    let answered = clients.iter_mut().filter_map(|client| client.write_all(second).is_ok().then_some(client));
    assert_eq!(answered.filter_map(|client| is_answered(client).then_some(())).count(), 24);
}

#[test]
fn a_collector_that_asks_for_a_sign_of_life_as_sigterm_comes_is_answered() {
    let (node, ..) = start(256);
    let mut collectors: Vec<TcpStream> = (0..3).map(|_| node.answered_client()).collect();
    for collector in &mut collectors {
        collector.write_all(TELEMETRY).unwrap();
        collector.write_all(HEARTBEAT).unwrap();
        assert!(is_answered(collector));
    }
    node.signal(Signal::STOP);
    collectors.iter_mut().for_each(|collector| collector.write_all(HEARTBEAT).unwrap());
    node.signal(Signal::TERM);
    node.signal(Signal::CONT);
    assert_eq!(collectors.iter_mut().filter_map(|client| is_answered(client).then_some(())).count(), 3);
}

/// An open connection is in use until the kill, however many signals come.
#[test]
fn open_connections_are_served_until_the_kill() {
    let (node, ..) = start(256);
    let mut clients: Vec<TcpStream> = (0..8).map(|_| node.answered_client()).collect();
    let asked = Instant::now();
    node.signal(Signal::TERM);
    let (mut sent, mut answered) = (0, 0);
    while asked.elapsed() < KILL_AFTER {
        node.signal(Signal::TERM);
        for client in &mut clients {
            sent += 1;
            answered += usize::from(client.write_all(HEARTBEAT).is_ok() && is_answered(client));
        }
    }
    assert_eq!(answered, sent, "heartbeats answered until the kill");
}

/// Every one of a crowd that reached it before SIGTERM asks once and is answered, as it is without a signal.
#[test]
fn a_crowd_that_crosses_sigterm_is_answered() {
    for (sockets, crowd) in [(256, 120), (256, 200), (64, 20), (64, 100)] {
        for signal in [None, Some(Signal::TERM)] {
            let (node, ..) = start(sockets);
            node.signal(Signal::STOP);
            let mut clients: Vec<TcpStream> = (0..crowd).map(|_| node.dial()).collect();
            clients.iter_mut().for_each(|client| client.write_all(HEARTBEAT).unwrap());
            signal.into_iter().for_each(|signal| node.signal(signal));
            node.signal(Signal::CONT);
            let answered = clients.iter_mut().filter_map(|client| is_answered(client).then_some(())).count();
            assert_eq!(answered, crowd, "{sockets} descriptors, {signal:?}");
        }
    }
}
