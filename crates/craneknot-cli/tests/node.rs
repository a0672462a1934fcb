//! `craneknot node` as a process: signals that cross requests in flight.

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
use helpers::{configuration, Node, HEARTBEAT as ALIVE, HEARTBEAT_ANSWER as ALIVE_OK};

/// Takes one order of each of three calls, then keeps its answer back until told to take all; tells what it took.
fn relay(proxies: u16) -> (SocketAddr, Receiver<String>, Arc<AtomicBool>) {
    let relay = listener();
    let address = relay.local_addr().unwrap();
    let (tell, took) = channel();
    let all = Arc::new(AtomicBool::new(false));
    let takes_all = all.clone();
    let calls = Arc::new(AtomicUsize::new(0));
    std::thread::spawn(move || loop {
        let mut stream = accept(&relay);
        let (tell, takes_all, calls) = (tell.clone(), takes_all.clone(), calls.clone());
        std::thread::spawn(move || {
            while let Some((path, body)) = request(&mut stream) {
                if path == "/api/events" {
                    start_event_stream(&mut stream, proxies);
                    continue;
                }
                let orders = orders(&body);
                // A relay that took one order of many for longer would say of a binding that it can't be used.
                let few = calls.fetch_add(1, Ordering::SeqCst) < 3;
                while !few && !takes_all.load(Ordering::SeqCst) {
                    std::thread::yield_now();
                }
                let count = if few { 1 } else { orders.len() };
                orders.into_iter().take(count).for_each(|order| drop(tell.send(order)));
                if stream.write_all(accepted_response(count).as_bytes()).is_err() {
                    return;
                }
            }
        });
    });
    (address, took, all)
}

/// Confirmed by this test: on SIGTERM it ended at once, with orders in line, and whoever had just come was reset.
#[test]
fn on_sigterm_what_is_ordered_goes_out_and_whoever_has_come_is_answered() {
    let folder = tempfile::tempdir().unwrap();
    let (relay, took, all) = relay(12);
    let mut node = Node::start(folder.path(), &configuration(relay));
    let mut orders: Vec<String> = (0..3).map(|_| took.recv().unwrap()).collect();
    // Stopped, it has both before it looks again: a peer that has come and asked, and the signal.
    node.signal(Signal::STOP);
    let mut peer = with_read_timeout(TcpStream::connect(node.address).unwrap());
    peer.write_all(ALIVE).unwrap();
    node.signal(Signal::TERM);
    all.store(true, Ordering::SeqCst);
    node.signal(Signal::CONT);
    let mut answer = vec![0; ALIVE_OK.len()];
    peer.read_exact(&mut answer).unwrap();
    assert_eq!(answer, ALIVE_OK);
    assert_eq!(node.child.wait().unwrap().code(), Some(0), "it has ended in order");
    orders.extend(took.try_iter());
    let bound = |proxy: usize| orders.iter().any(|order| order.starts_with(&format!("bind,{proxy},")));
    assert!((0..12).all(bound), "{orders:?}");
}

#[test]
fn a_second_signal_ends_it_at_once() {
    let folder = tempfile::tempdir().unwrap();
    // Nobody takes the orders, so that there is always something owed.
    let silent = listener();
    let mut node = Node::start(folder.path(), &configuration(silent.local_addr().unwrap()));
    let _guest = TcpStream::connect(node.address).unwrap();
    node.signal(Signal::TERM);
    // The first one is heeded once the listener is gone.
    while TcpStream::connect(node.address).is_ok() {
        std::thread::yield_now();
    }
    node.signal(Signal::INT);
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

#[test]
fn a_replaced_configuration_that_is_not_in_order_leaves_the_old_one_standing() {
    let folder = tempfile::tempdir().unwrap();
    let (first, second) = (listener(), listener());
    let mut value = configuration(first.local_addr().unwrap());
    let node = Node::start(folder.path(), &value);
    let _news = accept(&first);
    let file = folder.path().join("config.json");
    for bad in ["", "{", "[]", "{\"listen\": 3}"] {
        std::fs::write(&file, bad).unwrap();
        node.signal(Signal::HUP);
        let mut peer = with_read_timeout(TcpStream::connect(node.address).unwrap());
        peer.write_all(ALIVE).unwrap();
        let mut answer = vec![0; ALIVE_OK.len()];
        peer.read_exact(&mut answer).unwrap();
        assert_eq!(answer, ALIVE_OK, "it lives on after {bad:?}");
    }
    value["distributor"]["address"] = second.local_addr().unwrap().to_string().into();
    std::fs::write(&file, value.to_string()).unwrap();
    node.signal(Signal::HUP);
    assert_eq!(request(&mut accept(&second)).unwrap().0, "/api/events", "the good one counts");
}

#[test]
fn a_configuration_that_is_not_in_order_ends_the_start_with_code_3_and_names_file_and_place() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let mut value = configuration("127.0.0.1:1".parse().unwrap());
    value["distributor"]["address"] = 7.into();
    std::fs::write(&file, value.to_string()).unwrap();
    let ended = Command::new(env!("CARGO_BIN_EXE_craneknot")).arg("node").arg(&file).output().unwrap();
    let told = String::from_utf8_lossy(&ended.stderr).into_owned();
    assert_eq!(ended.status.code(), Some(3));
    assert!(told.contains("config.json") && told.contains("distributor: address must be text"), "{told}");
}
