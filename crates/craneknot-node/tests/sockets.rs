//! The shell on loopback sockets: heartbeats, invalid clients, the event stream and an invalid configuration.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use craneknot_node::shell::{Shell, StartError};
use craneknot_reactor::SteadyClock;

mod helpers;
use helpers::configuration;

/// Starts a coordinator in a thread of its own, which ends with the test program.
fn start(name: &str) -> (SocketAddr, TcpListener) {
    let relay = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut value = configuration(6);
    value["distributor"]["address"] = relay.local_addr().unwrap().to_string().into();
    let file = std::env::temp_dir().join(format!("craneknot-node-{name}-{}.json", std::process::id()));
    std::fs::write(&file, value.to_string()).unwrap();
    let mut shell = Shell::new(&file, Arc::new(SteadyClock::new()), &[]).unwrap();
    std::fs::remove_file(&file).unwrap();
    let address = shell.address();
    std::thread::spawn(move || shell.run());
    (address, relay)
}

fn dial(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream
}

#[test]
fn a_heartbeat_is_answered_and_invalid_clients_are_rejected() {
    let (address, _relay) = start("life");
    let mut stream = dial(address);
    stream.write_all(b"{\"type\":\"hb\"}\n").unwrap();
    let mut answer = [0; 64];
    let count = stream.read(&mut answer).unwrap();
    assert_eq!(&answer[..count], b"{\"type\":\"hb_ok\"}\n");
    for input in [&b"GET / HTTP/1.1\r\n\r\n"[..], b"", b"{\"type\":\"tele", &[b'x'; 20_000]] {
        let mut stream = dial(address);
        // The connection may be closed while an overlong message is being written.
        let _ = stream.write_all(input);
        let mut rest = Vec::new();
        match stream.read_to_end(&mut rest) {
            Ok(_) => assert!(rest.starts_with(b"{") || rest.is_empty(), "{rest:?}"),
            Err(cause) => assert_eq!(cause.kind(), std::io::ErrorKind::ConnectionReset, "{cause}"),
        }
    }
}

#[test]
fn the_event_stream_is_requested_from_the_relay() {
    let (_, relay) = start("events");
    let (mut stream, _) = relay.accept().unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let mut head = [0; 19];
    stream.read_exact(&mut head).unwrap();
    assert_eq!(&head, b"GET /api/events HTT");
}

#[test]
fn an_invalid_configuration_is_reported_with_its_path() {
    let missing = Shell::new("no/such/file".as_ref(), Arc::new(SteadyClock::new()), &[]);
    let Err(StartError::Config(what)) = missing else { panic!("it has started") };
    assert!(what.contains("no/such/file"), "{what}");
}
