//! One client at full speed beside others, and a client that goes away with requests unread.

mod fleet;

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use craneknot_agent::shell::Shell as AgentShell;
use craneknot_coordinator::shell::Shell as CoordinatorShell;
use craneknot_reactor::SteadyClock;
use craneknot_settings::{parse, AgentSettings};
use craneknot_xds::load;
use serde_json::{json, Value};
use tempfile::TempDir;

const REQUESTS: usize = 5_000;
const REQUEST: &[u8] = b"GET /nowhere HTTP/1.1\r\n\r\n";
/// Requests of one connection that may be served before the others get their turn.
const MAX_SERVED_IN_A_TURN: usize = 16;
const MAX_WAIT: Duration = Duration::from_millis(100);

/// A service whose event loop the test turns by hand.
enum Service {
    Coordinator(Box<CoordinatorShell>),
    Agent(Box<AgentShell>),
}

impl Service {
    fn coordinator(folder: &TempDir) -> (Self, SocketAddr) {
        fleet::write_server_list(folder.path(), 1, &[9001]);
        let clock = Arc::new(SteadyClock::new());
        let shell = CoordinatorShell::new(fleet::settings(), folder.path(), clock).unwrap();
        let ready = std::fs::read(folder.path().join("ready.json")).unwrap();
        let ready: Value = serde_json::from_slice(&ready).unwrap();
        let address = ready["address"].as_str().unwrap().parse().unwrap();
        (Service::Coordinator(Box::new(shell)), address)
    }

    fn agent(folder: &TempDir) -> (Self, SocketAddr) {
        let text = json!({
            "nodes": [{"id": "proxy", "zone": "north", "folder": "proxy"}], "coordinators": ["127.0.0.1:1"],
            "listen": "127.0.0.1:0", "seed": 3
        });
        let settings: AgentSettings = parse(Path::new("test"), text.to_string().as_bytes()).unwrap();
        let shell = AgentShell::new(settings, folder.path(), Arc::new(SteadyClock::new())).unwrap();
        let address = shell.address();
        (Service::Agent(Box::new(shell)), address)
    }

    fn turn(&mut self) {
        match self {
            Service::Coordinator(shell) => assert!(shell.run_once().unwrap()),
            Service::Agent(shell) => assert!(shell.run_once(Some(MAX_WAIT)).unwrap()),
        }
    }
}

impl Service {
    /// The number of repeated load reports in the coordinator's status.
    fn reports_repeated(&mut self, address: SocketAddr) -> u64 {
        let mut observer = Client::connect(address);
        observer.stream.write_all(b"GET /status HTTP/1.1\r\n\r\n").unwrap();
        while observer.answers() == 0 {
            self.turn();
        }
        let text = String::from_utf8_lossy(&observer.received).into_owned();
        let status: Value = serde_json::from_str(text.split_once("\r\n\r\n").unwrap().1).unwrap();
        status["reports_repeated"].as_u64().unwrap()
    }
}

/// A client that reads what has arrived.
struct Client {
    stream: TcpStream,
    received: Vec<u8>,
    is_ended: bool,
}

impl Client {
    fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nonblocking(true).unwrap();
        Client { stream, received: Vec::new(), is_ended: false }
    }

    /// Number of answers so far.
    fn answers(&mut self) -> usize {
        let mut buffer = [0; 64 * 1024];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => self.is_ended = true,
                Ok(count) => {
                    self.received.extend_from_slice(&buffer[..count]);
                    continue;
                }
                Err(cause) if cause.kind() == ErrorKind::WouldBlock => {}
                Err(cause) => panic!("{cause}"),
            }
            return self.received.windows(9).filter(|window| window == b"HTTP/1.1 ").count();
        }
    }
}

/// Guards against a client whose requests were all served before any other client got its turn: while one asked at
/// full speed, each answer to another took up to 136 ms, with 400 such clients over a second.
#[test]
fn a_client_at_full_speed_is_served_in_turns_and_to_the_end() {
    for start in [Service::coordinator, Service::agent] {
        let folder = tempfile::tempdir().unwrap();
        let (mut service, address) = start(&folder);
        let mut client = Client::connect(address);
        client.stream.write_all(&REQUEST.repeat(REQUESTS)).unwrap();
        client.stream.shutdown(Shutdown::Write).unwrap();
        let mut answers = 0;
        while answers == 0 {
            service.turn();
            answers = client.answers();
        }
        assert!(answers <= MAX_SERVED_IN_A_TURN, "{answers} answers in one turn");
        let mut other = Client::connect(address);
        other.stream.write_all(REQUEST).unwrap();
        while other.answers() == 0 {
            service.turn();
        }
        let meanwhile = client.answers() - answers;
        assert!(
            meanwhile <= 4 * MAX_SERVED_IN_A_TURN,
            "{meanwhile} answers before the first to another client"
        );
        while !client.is_ended {
            service.turn();
            client.answers();
        }
        assert_eq!(client.answers(), REQUESTS, "a client that has ended its side may still read");
    }
}

fn post(path: &str, body: &Value) -> Vec<u8> {
    let body = body.to_string();
    format!("POST {path} HTTP/1.1\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Guards against serving a client that has gone: its requests that lay unread took effect after it had reset its
/// connection, up to 256 KiB of them at once.
#[test]
fn requests_of_a_client_that_has_reset_its_connection_take_no_effect() {
    let folder = tempfile::tempdir().unwrap();
    let (mut service, address) = Service::coordinator(&folder);
    let mut proxy = Client::connect(address);
    let node = json!({"id": "proxy", "locality": {"zone": "north"}, "metadata": {"usual_rate": 5}});
    proxy.stream.write_all(&post("/v3/discovery:endpoints", &json!({"node": node}))).unwrap();
    while proxy.answers() == 0 {
        service.turn();
    }
    // Of equal reports the first counts, and the others are counted as repeated.
    let closed_at = json!({"id": "proxy", "metadata": {"report_closed_ms": 1}});
    let report = post(load::PATH, &json!({"node": closed_at, "cluster_stats": []}));
    let mut gone = TcpStream::connect(address).unwrap();
    gone.write_all(&report.repeat(400)).unwrap();
    socket2::SockRef::from(&gone).set_linger(Some(Duration::ZERO)).unwrap();
    drop(gone);
    assert_eq!(service.reports_repeated(address), 0, "reports taken from a client that has gone");
    // The same requests of a client that stays take effect.
    let mut client = Client::connect(address);
    client.stream.write_all(&report.repeat(400)).unwrap();
    while client.answers() < 400 {
        service.turn();
    }
    assert_eq!(service.reports_repeated(address), 399);
}
