//! `craneknot node` as a process: signals that arrive during requests, and reloads of the configuration.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;

use rustix::process::Signal;

mod helpers;
use helpers::peers::{
    accept, accepted_response, listener, orders, request, start_event_stream, with_read_timeout,
};
use helpers::{configuration, Node, HEARTBEAT, HEARTBEAT_ANSWER};

/// Starts a relay that accepts one order of each of the first three calls, then delays its answers until the flag is set,
/// after which it accepts all orders. The channel returns the accepted orders.
fn start_relay(proxies: u16) -> (SocketAddr, Receiver<String>, Arc<AtomicBool>) {
    let relay = listener();
    let address = relay.local_addr().unwrap();
    let (sender, accepted) = channel();
    let accept_all = Arc::new(AtomicBool::new(false));
    let accepts_all = accept_all.clone();
    let calls = Arc::new(AtomicUsize::new(0));
    std::thread::spawn(move || loop {
        let mut stream = accept(&relay);
        let (sender, accepts_all, calls) = (sender.clone(), accepts_all.clone(), calls.clone());
        std::thread::spawn(move || {
            while let Some((path, body)) = request(&mut stream) {
                if path == "/api/events" {
                    start_event_stream(&mut stream, proxies);
                    continue;
                }
                let orders = orders(&body);
                // If the relay accepted only one of many orders for longer, the coordinator would take the binding for
                // unusable.
                let is_partial = calls.fetch_add(1, Ordering::SeqCst) < 3;
                while !is_partial && !accepts_all.load(Ordering::SeqCst) {
                    std::thread::yield_now();
                }
                let count = if is_partial { 1 } else { orders.len() };
                orders.into_iter().take(count).for_each(|order| drop(sender.send(order)));
                if stream.write_all(accepted_response(count).as_bytes()).is_err() {
                    return;
                }
            }
        });
    });
    (address, accepted, accept_all)
}

/// Guards against an exit right at SIGTERM, which lost queued orders and reset connections that had just been opened.
#[test]
fn on_sigterm_queued_orders_are_sent_and_new_connections_are_answered() {
    let folder = tempfile::tempdir().unwrap();
    let (relay, accepted, accept_all) = start_relay(12);
    let mut node = Node::start(folder.path(), &configuration(relay));
    let mut orders: Vec<String> = (0..3).map(|_| accepted.recv().unwrap()).collect();
    // While stopped, the process receives both a connection with a request and the signal.
    node.signal(Signal::STOP);
    let mut peer = with_read_timeout(TcpStream::connect(node.address).unwrap());
    peer.write_all(HEARTBEAT).unwrap();
    node.signal(Signal::TERM);
    accept_all.store(true, Ordering::SeqCst);
    node.signal(Signal::CONT);
    let mut answer = vec![0; HEARTBEAT_ANSWER.len()];
    peer.read_exact(&mut answer).unwrap();
    assert_eq!(answer, HEARTBEAT_ANSWER);
    assert_eq!(node.child.wait().unwrap().code(), Some(0), "the process exits normally");
    orders.extend(accepted.try_iter());
    let bound = |proxy: usize| orders.iter().any(|order| order.starts_with(&format!("bind,{proxy},")));
    assert!((0..12).all(bound), "{orders:?}");
}

#[test]
fn a_second_signal_ends_the_process_at_once() {
    let folder = tempfile::tempdir().unwrap();
    // The relay accepts no orders, so that some are always queued.
    let silent = listener();
    let mut node = Node::start(folder.path(), &configuration(silent.local_addr().unwrap()));
    let _client = TcpStream::connect(node.address).unwrap();
    node.signal(Signal::TERM);
    // The first signal has been handled once the listener is closed.
    while TcpStream::connect(node.address).is_ok() {
        std::thread::yield_now();
    }
    node.signal(Signal::INT);
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

#[test]
fn an_invalid_new_configuration_leaves_the_old_one_in_use() {
    let folder = tempfile::tempdir().unwrap();
    let (first, second) = (listener(), listener());
    let mut value = configuration(first.local_addr().unwrap());
    let node = Node::start(folder.path(), &value);
    let _event_stream = accept(&first);
    let file = folder.path().join("config.json");
    for bad in ["", "{", "[]", "{\"listen\": 3}"] {
        std::fs::write(&file, bad).unwrap();
        node.signal(Signal::HUP);
        let mut peer = with_read_timeout(TcpStream::connect(node.address).unwrap());
        peer.write_all(HEARTBEAT).unwrap();
        let mut answer = vec![0; HEARTBEAT_ANSWER.len()];
        peer.read_exact(&mut answer).unwrap();
        assert_eq!(answer, HEARTBEAT_ANSWER, "it still answers after {bad:?}");
    }
    value["distributor"]["address"] = second.local_addr().unwrap().to_string().into();
    std::fs::write(&file, value.to_string()).unwrap();
    node.signal(Signal::HUP);
    assert_eq!(request(&mut accept(&second)).unwrap().0, "/api/events", "the valid configuration is used");
}

#[test]
fn an_invalid_configuration_ends_the_start_with_code_3_and_names_file_and_field() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let mut value = configuration("127.0.0.1:1".parse().unwrap());
    value["distributor"]["address"] = 7.into();
    std::fs::write(&file, value.to_string()).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_craneknot")).arg("node").arg(&file).output().unwrap();
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(3));
    assert!(error.contains("config.json") && error.contains("distributor: address must be text"), "{error}");
}
