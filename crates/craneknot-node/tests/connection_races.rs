//! Races between two events on a connection, each forced by a scripted peer on loopback.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;

use craneknot_node::shell::{ExitReason, Shell};
use craneknot_reactor::SteadyClock;
use rustix::process::{getpid, kill_process, Signal};
use serde_json::Value;

mod helpers;
use helpers::configuration;
use helpers::peers::{
    accept, accepted_response, listener, orders, request, reset, response, start_event_stream,
    with_read_timeout,
};

const HEARTBEAT: &[u8] = b"{\"type\":\"hb\"}\n";
const HEARTBEAT_OK: &[u8] = b"{\"type\":\"hb_ok\"}\n";

struct Peers {
    shell: Shell,
    relay: TcpListener,
    discovery: TcpListener,
}

fn start_peers(name: &str, end_signals: &[i32]) -> Peers {
    start_peers_with(name, end_signals, configuration(6))
}

/// With a channel that never fills: many large calls in a row are repeated completely. What is repeated on a channel
/// that is full has tests of its own (`call_limits`).
fn start_peers_with_wide_channel(name: &str) -> Peers {
    let mut value = configuration(6);
    value["settings"]["extra"]["queue-cap"] = 1e9.into();
    start_peers_with(name, &[], value)
}

fn start_peers_with(name: &str, end_signals: &[i32], mut value: Value) -> Peers {
    let (relay, discovery) = (listener(), listener());
    value["distributor"]["address"] = relay.local_addr().unwrap().to_string().into();
    value["discovery"] = discovery.local_addr().unwrap().to_string().into();
    let file = std::env::temp_dir().join(format!("craneknot-crossing-{name}-{}.json", std::process::id()));
    std::fs::write(&file, value.to_string()).unwrap();
    let shell = Shell::new(&file, Arc::new(SteadyClock::new()), end_signals).unwrap();
    std::fs::remove_file(&file).unwrap();
    Peers { shell, relay, discovery }
}

/// Runs in a thread of its own, which ends with the test program.
fn run(mut shell: Shell) -> SocketAddr {
    let address = shell.address();
    std::thread::spawn(move || shell.run());
    address
}

/// Serves event streams, and passes the calls that carry orders to the test.
fn relay_with_event_stream(relay: TcpListener, proxies: u16) -> Receiver<(TcpStream, String)> {
    let (sender, calls) = channel();
    std::thread::spawn(move || loop {
        let mut stream = accept(&relay);
        let sender = sender.clone();
        std::thread::spawn(move || match request(&mut stream) {
            Some((path, _)) if path == "/api/events" => {
                start_event_stream(&mut stream, proxies);
                // A keep-alive would arrive each second; the test is shorter than the silence timeout.
                let _ = stream.read(&mut [0]);
            }
            Some((_, body)) => drop(sender.send((stream, body))),
            None => {}
        });
    });
    calls
}

/// Guards against losing the answer to a client that has not joined: the end of its connection is reported
/// only after the answer has been sent.
#[test]
fn a_request_followed_by_a_half_close_is_answered() {
    let address = run(start_peers("half-close", &[]).shell);
    // One message that is shorter than a single read from an unidentified client, one that is exactly as long,
    // and several messages.
    for input in [
        HEARTBEAT.to_vec(),
        [vec![b' '; 4096 - HEARTBEAT.len()], HEARTBEAT.to_vec()].concat(),
        HEARTBEAT.repeat(5),
    ] {
        let mut stream = with_read_timeout(TcpStream::connect(address).unwrap());
        stream.write_all(&input).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).unwrap();
        let requested = input.iter().filter(|byte| **byte == b'\n').count();
        assert_eq!(answer, HEARTBEAT_OK.repeat(requested), "{} bytes", input.len());
    }
}

/// Guards against evicting a client before its request is read, because of idle clients accepted in the same
/// batch.
#[test]
fn a_request_is_answered_while_hundreds_of_peers_connect() {
    let shell = start_peers("lot", &[]).shell;
    let address = shell.address();
    // All of them are in the accept queue at the first poll: 256 descriptors, a quarter of them for
    // unidentified clients.
    let connect_silent =
        |count: usize| (0..count).map(|_| TcpStream::connect(address).unwrap()).collect::<Vec<_>>();
    let mut peers = Vec::new();
    let mut silent_peers = connect_silent(100);
    for _ in 0..3 {
        let mut peer = with_read_timeout(TcpStream::connect(address).unwrap());
        peer.write_all(HEARTBEAT).unwrap();
        peers.push(peer);
        silent_peers.extend(connect_silent(150));
    }
    run(shell);
    for peer in &mut peers {
        let mut answer = vec![0; HEARTBEAT_OK.len()];
        peer.read_exact(&mut answer).unwrap();
        assert_eq!(answer, HEARTBEAT_OK);
    }
    drop(silent_peers);
}

#[test]
fn a_request_in_single_bytes_is_answered() {
    let address = run(start_peers("bytes", &[]).shell);
    let mut stream = with_read_timeout(TcpStream::connect(address).unwrap());
    stream.set_nodelay(true).unwrap();
    for byte in HEARTBEAT {
        stream.write_all(&[*byte]).unwrap();
    }
    let mut answer = vec![0; HEARTBEAT_OK.len()];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(answer, HEARTBEAT_OK);
}

/// Guards against losing a list whose end is marked by the end of its connection: the reader was not notified
/// of that end.
#[test]
fn an_answer_that_ends_with_its_connection_is_accepted() {
    let Peers { shell, discovery, .. } = start_peers("until-end", &[]);
    run(shell);
    let mut stream = accept(&discovery);
    assert_eq!(request(&mut stream).unwrap().0, "/discovery/hosts?index=41&wait=0");
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n{\"revision\":77,\"complete\":false,\"members\":[]}").unwrap();
    drop(stream);
    let (path, _) = request(&mut accept(&discovery)).unwrap();
    assert!(path.starts_with("/discovery/hosts?index=77&"), "{path}");
}

/// The proxy that an order is for.
fn proxy(order: &str) -> Option<String> {
    order.strip_prefix("bind,").map(|rest| rest.split(',').next().unwrap().to_owned())
}

fn by_proxy(orders: &[String]) -> BTreeMap<Option<String>, Vec<String>> {
    let mut sorted: BTreeMap<Option<String>, Vec<String>> = BTreeMap::new();
    for order in orders {
        sorted.entry(proxy(order)).or_default().push(order.clone());
    }
    sorted
}

/// An answer cut off at any byte is invalid: the call is repeated from its first order, and no order is lost.
#[test]
fn a_relay_that_resets_at_any_byte_of_its_answer_loses_no_order() {
    let Peers { shell, relay, .. } = start_peers_with_wide_channel("resets");
    let calls = relay_with_event_stream(relay, 140);
    run(shell);
    let (mut stream, mut body) = calls.recv().unwrap();
    let answer = accepted_response(1);
    for cut in 0..answer.len() {
        let requested = orders(&body);
        stream.write_all(&answer.as_bytes()[..cut]).unwrap();
        reset(stream);
        let (mut retried_stream, repeated) = calls.recv().unwrap();
        let repeated = orders(&repeated);
        assert_eq!(repeated[..requested.len()], requested[..], "cut at {cut}");
        retried_stream.write_all(answer.as_bytes()).unwrap();
        let (_, next) = request(&mut retried_stream).unwrap();
        // A relay that takes one order refuses the next one. If that is for a proxy, all orders of this proxy
        // are deferred, and those of the following proxies may be sent after all others.
        let deferred_proxy = proxy(&repeated[1]);
        let remaining =
            repeated[1..].iter().filter(|order| deferred_proxy.is_none() || proxy(order) != deferred_proxy);
        let remaining: Vec<String> = remaining.cloned().collect();
        let next_orders = orders(&next);
        // The orders for all, and those of each proxy, are in sequence, and none is missing.
        assert_eq!(by_proxy(&next_orders[..remaining.len()]), by_proxy(&remaining), "cut at {cut}");
        let place = |all: &[String], order| all.iter().position(|other| other == order);
        let mut orders_for_all = remaining.iter().filter(|order| proxy(order).is_none());
        assert!(
            orders_for_all.all(|order| place(&next_orders, order) <= place(&remaining, order)),
            "cut at {cut}"
        );
        (stream, body) = (retried_stream, next);
    }
}

/// A call cut off at any byte may or may not have been carried out: it is repeated unchanged.
#[test]
fn a_call_reset_by_the_relay_is_repeated_completely() {
    let Peers { shell, relay, .. } = start_peers_with_wide_channel("cut-calls");
    let (sender, calls) = channel();
    std::thread::spawn(move || loop {
        let mut stream = accept(&relay);
        let sender = sender.clone();
        std::thread::spawn(move || {
            let mut start = [0; 4];
            if stream.read_exact(&mut start).is_ok() && &start == b"GET " {
                start_event_stream(&mut stream, 140);
                let _ = stream.read_to_end(&mut Vec::new());
            } else {
                let _ = sender.send(stream);
            }
        });
    });
    run(shell);
    for cut in [1, 10, 100, 1_000] {
        let mut stream = calls.recv().unwrap();
        stream.read_exact(&mut vec![0; cut]).unwrap();
        reset(stream);
    }
    let mut stream = calls.recv().unwrap();
    let (_, body) = request(&mut stream).unwrap();
    let orders = orders(&body);
    assert!(orders.len() > 200 && orders[0].starts_with("share,"), "{} orders, {}", orders.len(), orders[0]);
}

/// Answers, lists and events that arrive in single bytes are read correctly.
#[test]
fn answers_in_single_bytes_are_understood() {
    let Peers { shell, relay, discovery } = start_peers("slow-speech", &[]);
    let calls = relay_with_event_stream(relay, 3);
    run(shell);
    let slowly = |stream: &mut TcpStream, text: &str| {
        stream.set_nodelay(true).unwrap();
        text.as_bytes().iter().for_each(|byte| stream.write_all(&[*byte]).unwrap());
    };
    let mut list = accept(&discovery);
    request(&mut list).unwrap();
    slowly(&mut list, &response("{\"revision\":52,\"complete\":false,\"members\":[]}"));
    assert!(request(&mut list).unwrap().0.contains("?index=52&wait=5000"));
    let (mut stream, body) = calls.recv().unwrap();
    let requested = orders(&body);
    slowly(&mut stream, &accepted_response(1));
    let (_, next) = request(&mut stream).unwrap();
    assert_eq!(orders(&next)[0], requested[1]);
}

/// A relay that stalls within its answer times out like one that does not answer.
#[test]
fn a_call_with_a_stalled_answer_is_repeated_on_a_new_connection() {
    let Peers { shell, relay, .. } = start_peers("stops", &[]);
    let calls = relay_with_event_stream(relay, 3);
    run(shell);
    let (mut stream, body) = calls.recv().unwrap();
    stream.write_all(&accepted_response(1).as_bytes()[..40]).unwrap();
    let (_, repeated) = calls.recv().unwrap();
    assert_eq!(orders(&repeated)[..orders(&body).len()], orders(&body));
    assert!(request(&mut stream).is_none(), "the old connection is closed");
}

/// A list cut off at any byte is invalid and the known one remains: the next call asks from the same
/// revision.
#[test]
fn a_list_reset_within_its_answer_is_requested_again_from_the_same_revision() {
    let Peers { shell, discovery, .. } = start_peers("list-cuts", &[]);
    run(shell);
    let answer = response("{\"revision\":52,\"complete\":false,\"members\":[]}");
    for cut in [0, answer.len() / 2, answer.len() - 1] {
        let mut stream = accept(&discovery);
        let (path, _) = request(&mut stream).unwrap();
        assert!(path.contains("?index=41&"), "cut at {cut}: {path}");
        stream.write_all(&answer.as_bytes()[..cut]).unwrap();
        reset(stream);
    }
    let mut stream = accept(&discovery);
    assert!(request(&mut stream).unwrap().0.contains("?index=41&"));
    stream.write_all(answer.as_bytes()).unwrap();
    assert!(request(&mut stream).unwrap().0.contains("?index=52&wait=5000"));
}

/// An answer whose connection is closed regularly, not reset, at any byte is requested again. Guards against
/// the program ending on a close within the head of an answer.
#[test]
fn calls_closed_within_their_answer_are_repeated() {
    let Peers { shell, relay, discovery } = start_peers("closes", &[]);
    let calls = relay_with_event_stream(relay, 3);
    run(shell);
    let answer = response("{\"revision\":52,\"complete\":false,\"members\":[]}");
    for cut in [0, 1, 20, answer.len() - 1] {
        let mut stream = accept(&discovery);
        assert!(request(&mut stream).unwrap().0.contains("?index=41&"));
        stream.write_all(&answer.as_bytes()[..cut]).unwrap();
    }
    let (mut stream, mut body) = calls.recv().unwrap();
    for cut in [0, 1, 20, accepted_response(1).len() - 1] {
        stream.write_all(&accepted_response(1).as_bytes()[..cut]).unwrap();
        drop(stream);
        let (retried_stream, repeated) = calls.recv().unwrap();
        assert_eq!(orders(&repeated)[0], orders(&body)[0], "cut at {cut}");
        (stream, body) = (retried_stream, repeated);
    }
}

/// Signals are handled as soon as the coordinator can be reached.
#[test]
fn a_signal_before_the_first_round_ends_the_shell() {
    let Peers { mut shell, .. } = start_peers("early", &[Signal::USR1.as_raw()]);
    kill_process(getpid(), Signal::USR1).unwrap();
    assert!(matches!(shell.run(), ExitReason::Signalled));
}
