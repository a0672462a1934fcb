//! Hundreds of clients with unfinished messages: a process stays within its memory limit and serves the others.

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Stdio;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

mod helpers;
use helpers::peers::{listener, with_read_timeout};
use helpers::{
    agent_settings, configuration, coordinator_settings, is_answered, start_service, Node, HEARTBEAT,
    HEARTBEAT_ANSWER,
};

/// The platform kills a process that uses more.
const MAX_MEMORY_KIB: u64 = 192 * 1024;
/// At most 64 MB above rest, however rude the clients are; a process at rest takes some 10 MB.
const MAX_MEMORY_FOR_A_REQUEST_KIB: u64 = 74 * 1024;
const MIB: usize = 1024 * 1024;
const WRITERS: usize = 32; // threads that connect clients and write for them
const WRITE_TIMEOUT: Duration = Duration::from_millis(300); // the process need not read on
const COLLECTOR: &[u8] = b"{\"type\":\"telemetry\",\"locality\":\"a\"}\n";
const REPORT: &[u8] = b"{\"type\":\"client_stats\",\"node\":1,\"route\":\"lookup\",\"total\":19,\"errors\":0,\"interval\":1000.0}\n";

/// The most memory that a process has used since its start, in KiB.
fn peak_memory(node: &Node) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Connects clients that send these bytes and keep their connections, while `serve` is called again and again.
/// Returns the connections.
fn crowd(address: SocketAddr, clients: usize, bytes: Vec<u8>, mut serve: impl FnMut()) -> Vec<TcpStream> {
    let (bytes, left) = (Arc::new(bytes), Arc::new(AtomicUsize::new(clients)));
    let writer = |_| {
        let (bytes, left) = (bytes.clone(), left.clone());
        std::thread::spawn(move || {
            let mut connections = Vec::new();
            let take = |left: usize| left.checked_sub(1);
            while left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take).is_ok() {
                let Ok(mut connection) = TcpStream::connect(address) else { continue };
                connection.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
                // The process may close the connection before all is written.
                let _ = connection.write_all(&bytes);
                connections.push(connection);
            }
            connections
        })
    };
    let writers: Vec<_> = (0..WRITERS).map(writer).collect();
    while writers.iter().any(|writer| !writer.is_finished()) {
        serve();
    }
    serve();
    writers.into_iter().flat_map(|writer| writer.join().unwrap()).collect()
}

/// Sends a request for an unknown path on a connection, and reads the answer's status.
fn is_request_answered(stream: &mut TcpStream) -> bool {
    stream.write_all(b"GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    while !answer.windows(4).any(|window| window == b"\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => answer.extend_from_slice(&buffer[..count]),
            Ok(_) | Err(_) => return false,
        }
    }
    answer.starts_with(b"HTTP/1.1 404")
}

fn start_node() -> (Node, std::net::TcpListener, tempfile::TempDir) {
    let (folder, relay) = (tempfile::tempdir().unwrap(), listener());
    let mut value = configuration(relay.local_addr().unwrap());
    value["limits"]["memory_mb"] = 192.into();
    value["limits"]["sockets"] = 1024.into();
    (Node::start(folder.path(), &value), relay, folder)
}

/// Guards against limits that hold for a client alone: 400 clients that called themselves collectors, and stopped 100
/// bytes short of a message of 1 MiB, took 407 MB.
#[test]
fn collectors_that_stop_half_way_through_a_message_leave_a_node_within_its_memory() {
    let (node, _relay, _folder) = start_node();
    let mut collector = node.answered_client();
    collector.write_all(&[COLLECTOR, REPORT, HEARTBEAT].concat()).unwrap();
    assert!(is_answered(&mut collector));
    let mut half = COLLECTOR.to_vec();
    half.resize(MIB - 100, b' ');
    let _clients = crowd(node.address, 400, half, || {
        let mut client = node.connect();
        client.write_all(HEARTBEAT).unwrap();
        assert!(is_answered(&mut client), "a new client");
        collector.write_all(&[REPORT, HEARTBEAT].concat()).unwrap();
        assert!(is_answered(&mut collector), "the collector that reports");
    });
    assert!(peak_memory(&node) <= MAX_MEMORY_KIB, "{} KiB", peak_memory(&node));
}

/// Guards against collectors beyond any limit: clients that never finished a message counted as collectors with pending
/// work, so that they took all descriptors and no further client was accepted.
#[test]
fn collectors_that_stop_half_way_through_a_message_leave_descriptors_for_others() {
    let (node, _relay, _folder) = start_node();
    let half = [COLLECTOR, b"{\"type\":"].concat();
    let clients = crowd(node.address, 1_200, half, || {});
    let mut client = node.connect();
    client.write_all(HEARTBEAT).unwrap();
    assert!(is_answered(&mut client), "a client that comes after the crowd");
    let is_open = |client: &TcpStream| {
        let mut client = client;
        client.set_nonblocking(true).unwrap();
        matches!(client.read(&mut [0]), Err(cause) if cause.kind() == ErrorKind::WouldBlock)
    };
    assert!(clients.iter().filter(|client| is_open(client)).count() <= 4, "collectors of one zone");
}

/// Guards against answers that nobody reads: each client may leave as many unread as one connection may queue.
#[test]
fn clients_that_read_no_answers_leave_a_node_within_its_memory() {
    let (node, _relay, _folder) = start_node();
    let mut client = node.answered_client();
    let heartbeats = HEARTBEAT.repeat(4 * MIB / HEARTBEAT_ANSWER.len());
    let _clients = crowd(node.address, 300, heartbeats, || {
        client.write_all(HEARTBEAT).unwrap();
        assert!(is_answered(&mut client));
    });
    assert!(peak_memory(&node) <= MAX_MEMORY_KIB, "{} KiB", peak_memory(&node));
}

/// Guards against limits that hold for a client alone, in the services that take HTTP requests: 200 requests whose
/// bodies of 4 MB never ended took 830 MB.
#[test]
fn requests_that_never_end_leave_a_service_within_its_memory() {
    for (name, settings) in [("run", coordinator_settings()), ("agent", agent_settings())] {
        let folder = tempfile::tempdir().unwrap();
        let node = start_service(name, folder.path(), &settings, Stdio::null());
        let mut stream = with_read_timeout(node.connect());
        let length = 4_000_000;
        let head = format!("POST /nowhere HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
        let mut request = head.into_bytes();
        request.resize(request.len() + length - 100, b' ');
        let _clients = crowd(node.address, 200, request, || {
            assert!(is_request_answered(&mut stream), "{name}");
        });
        assert!(peak_memory(&node) <= MAX_MEMORY_KIB, "{name}: {} KiB", peak_memory(&node));
    }
}

/// Guards against parsed messages that take thirty times their text: one request of 4 MB took 132 MB, and held up the
/// others meanwhile.
#[test]
fn a_request_of_very_many_small_items_is_refused() {
    const PATH: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";
    let items = "{},".repeat(1_390_000);
    let body = format!(
        "{{\"cluster_stats\":[{{\"upstream_locality_stats\":[{{\"upstream_endpoint_stats\":[{items}{{}}]}}]}}]}}"
    );
    for (name, settings) in [("run", coordinator_settings()), ("agent", agent_settings())] {
        let folder = tempfile::tempdir().unwrap();
        let node = start_service(name, folder.path(), &settings, Stdio::null());
        let mut stream = with_read_timeout(node.connect());
        let head = format!("POST {PATH} HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(format!("{head}{body}").as_bytes()).unwrap();
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).unwrap();
        assert_eq!(String::from_utf8_lossy(&answer), "HTTP/1.1 413", "{name}");
        assert!(peak_memory(&node) <= MAX_MEMORY_FOR_A_REQUEST_KIB, "{name}: {} KiB", peak_memory(&node));
    }
}
