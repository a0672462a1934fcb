//! Hundreds of clients with unfinished messages: a process stays within its limits and serves the others.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

mod helpers;
use helpers::peers::listener;
use helpers::{configuration, is_answered, Node, HEARTBEAT};

const WRITERS: usize = 32; // threads that connect clients and write for them
const WRITE_TIMEOUT: Duration = Duration::from_millis(300); // the process need not read on
const COLLECTOR: &[u8] = b"{\"type\":\"telemetry\",\"locality\":\"a\"}\n";

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

fn start_node() -> (Node, std::net::TcpListener, tempfile::TempDir) {
    let (folder, relay) = (tempfile::tempdir().unwrap(), listener());
    let mut value = configuration(relay.local_addr().unwrap());
    value["limits"]["memory_mb"] = 192.into();
    value["limits"]["sockets"] = 1024.into();
    (Node::start(folder.path(), &value), relay, folder)
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
