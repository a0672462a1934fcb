//! Shutdown of `craneknot node`: every heartbeat that reaches it before it is killed must be answered, on open connections
//! too. The platform kills the process 700 ms after SIGTERM at the earliest.

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

/// Starts a coordinator with this limit of descriptors. Its relay is closed once the caller drops the listener.
fn start(sockets: usize) -> (Node, TempDir, TcpListener) {
    let (folder, relay) = (tempfile::tempdir().unwrap(), listener());
    let mut value = configuration(relay.local_addr().unwrap());
    value["limits"]["sockets"] = sockets.into();
    (Node::start(folder.path(), &value), folder, relay)
}

/// Waits until the signal has been handled, that is, until new connections are refused.
fn wait_until_refused(node: &Node) {
    while TcpStream::connect(node.address).is_ok() {
        std::thread::yield_now();
    }
}

#[test]
fn a_heartbeat_split_by_sigterm_is_answered() {
    let (node, ..) = start(256);
    let mut clients: Vec<TcpStream> = (0..24).map(|_| node.answered_client()).collect();
    let (first, second) = HEARTBEAT.split_at(HEARTBEAT.len() / 2);
    clients.iter_mut().for_each(|client| client.write_all(first).unwrap());
    node.signal(Signal::TERM);
    wait_until_refused(&node);
    let answered = clients.iter_mut().filter_map(|client| client.write_all(second).is_ok().then_some(client));
    assert_eq!(answered.filter_map(|client| is_answered(client).then_some(())).count(), 24);
}

#[test]
fn a_collector_whose_heartbeat_arrives_with_sigterm_is_answered() {
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

/// Open connections are served until the kill, however many signals arrive.
#[test]
fn open_connections_are_served_until_the_kill() {
    let (node, ..) = start(256);
    let mut clients: Vec<TcpStream> = (0..8).map(|_| node.answered_client()).collect();
    let signalled = Instant::now();
    node.signal(Signal::TERM);
    let (mut sent, mut answered) = (0, 0);
    while signalled.elapsed() < KILL_AFTER {
        node.signal(Signal::TERM);
        for client in &mut clients {
            sent += 1;
            answered += usize::from(client.write_all(HEARTBEAT).is_ok() && is_answered(client));
        }
    }
    assert_eq!(answered, sent, "heartbeats answered until the kill");
}

/// Every client that connected and sent a heartbeat before SIGTERM is answered, as without a signal.
#[test]
fn all_clients_that_connected_before_sigterm_are_answered() {
    for (sockets, client_count) in [(256, 120), (256, 200), (64, 20), (64, 100)] {
        for signal in [None, Some(Signal::TERM)] {
            let (node, ..) = start(sockets);
            node.signal(Signal::STOP);
            let mut clients: Vec<TcpStream> = (0..client_count).map(|_| node.connect()).collect();
            clients.iter_mut().for_each(|client| client.write_all(HEARTBEAT).unwrap());
            signal.into_iter().for_each(|signal| node.signal(signal));
            node.signal(Signal::CONT);
            let answered = clients.iter_mut().filter_map(|client| is_answered(client).then_some(())).count();
            assert_eq!(answered, client_count, "{sockets} descriptors, {signal:?}");
        }
    }
}
