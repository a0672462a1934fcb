//! Clients that send invalid messages or nothing. A coordinator must close each connection or answer with an error in
//! time.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use super::clients::{Connection, Target};
use super::deployment::PROXIES;
use super::judge::{Answer, Asked, Request};

const REJECTED_WITHIN: Duration = Duration::from_secs(3); // after connecting
const ENDLESS_WITHIN: Duration = Duration::from_secs(6); // for a message that never ends
const EXTRA_WAIT: Duration = Duration::from_millis(1_500); // beyond the due time, to distinguish late from missing answers
const POLL_INTERVAL: Duration = Duration::from_millis(20); // between checks for an answer while a message is being sent
const ENDLESS_CHUNK: [u8; 1_024] = [b'x'; 1_024];
const PAUSE_MILLIS: std::ops::Range<u64> = 50..400; // between consecutive clients

/// The protocol violation of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Misbehaviour {
    Silent,
    HalfMessage,
    Garbage,
    Http,
    Order,
    UnknownZone,
    ReportFirst,
    UnknownProxy,
    Endless,
}

const MISBEHAVIOURS: [Misbehaviour; 9] = [
    Misbehaviour::Silent,
    Misbehaviour::HalfMessage,
    Misbehaviour::Garbage,
    Misbehaviour::Http,
    Misbehaviour::Order,
    Misbehaviour::UnknownZone,
    Misbehaviour::ReportFirst,
    Misbehaviour::UnknownProxy,
    Misbehaviour::Endless,
];

impl Misbehaviour {
    fn bytes(self) -> Vec<u8> {
        match self {
            Misbehaviour::Silent => Vec::new(),
            Misbehaviour::HalfMessage => b"{\"type\":\"h".to_vec(),
            Misbehaviour::Garbage => b"\x00\xff\x13 no message at all\n".to_vec(),
            Misbehaviour::Http => b"GET / HTTP/1.1\r\nHost: n0\r\n\r\n".to_vec(),
            Misbehaviour::Order => b"{\"type\":\"share\",\"table\":4,\"endpoint\":\"s-1\",\"weight\":1.0}\n".to_vec(),
            Misbehaviour::UnknownZone => b"{\"type\":\"telemetry\",\"locality\":\"nowhere\"}\n".to_vec(),
            Misbehaviour::ReportFirst => {
                b"{\"type\":\"client_stats\",\"node\":1,\"route\":\"quote\",\"total\":1,\"errors\":0,\"interval\":500}\n"
                    .to_vec()
            }
            Misbehaviour::UnknownProxy => format!(
                "{{\"type\":\"attach\",\"node\":{PROXIES},\"locality\":\"pier\",\"w\":1.0,\"cold\":true}}\n"
            )
            .into_bytes(),
            Misbehaviour::Endless => b"{\"type\":\"".to_vec(),
        }
    }

    fn due_within(self) -> Duration {
        match self {
            Misbehaviour::Endless => ENDLESS_WITHIN,
            _ => REJECTED_WITHIN,
        }
    }
}

/// Runs one misbehaving client after another until the trial is finished.
pub fn run(target: &Target, seed: u64) {
    let mut rng = Pcg32::seed_from_u64(seed);
    while !target.is_finished() {
        let misbehaviour = *MISBEHAVIOURS.choose(&mut rng).unwrap_or(&Misbehaviour::Silent);
        if let Some(connection) = Connection::open(target) {
            run_once(target, connection, misbehaviour);
        }
        thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MILLIS)));
    }
}

fn run_once(target: &Target, connection: Connection, misbehaviour: Misbehaviour) {
    let request = Request {
        asked: Asked::BadClient,
        coordinator: target.coordinator,
        process: connection.process,
        opened: connection.opened.at,
        sent: connection.opened,
        due: misbehaviour.due_within(),
    };
    let mut stream = connection.reader.into_inner();
    // A connection that is closed before the client has written counts as rejected too.
    let _ = stream.write_all(&misbehaviour.bytes());
    let is_rejected = wait_for_rejection(target, &mut stream, misbehaviour, request.opened);
    if !is_rejected && !target.is_reachable() {
        return; // the client left for another coordinator first
    }
    target.judge_answer(request, if is_rejected { Answer::Came } else { Answer::Never });
}

/// Waits until the connection is closed or any message arrives; returns false if neither happens.
fn wait_for_rejection(
    target: &Target,
    stream: &mut TcpStream,
    misbehaviour: Misbehaviour,
    opened: Instant,
) -> bool {
    let until = opened + misbehaviour.due_within() + EXTRA_WAIT;
    let _ = stream.set_read_timeout(Some(POLL_INTERVAL));
    let _ = stream.set_write_timeout(Some(POLL_INTERVAL));
    let mut buffer = [0; 256];
    while Instant::now() < until && !target.is_finished() && target.is_reachable() {
        if misbehaviour == Misbehaviour::Endless
            && stream.write_all(&ENDLESS_CHUNK).is_err_and(|cause| is_closed(cause.kind()))
        {
            return true;
        }
        match stream.read(&mut buffer) {
            Ok(_) => return true,
            Err(cause) if is_closed(cause.kind()) => return true,
            Err(_) => {}
        }
    }
    false
}

fn is_closed(kind: ErrorKind) -> bool {
    !matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}
