//! Clients that send what is no message, or nothing: each must be closed or told why in time.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use super::clients::{Connection, Target};
use super::deployment::PROXIES;
use super::judge::{Answer, Asked, Question};

const TURNED_AWAY_WITHIN: Duration = Duration::from_secs(3); // of connecting
const ENDLESS_WITHIN: Duration = Duration::from_secs(6); // where the message goes on without end
const WAITS_ON: Duration = Duration::from_millis(1_500); // past the due time, to tell late from never
const LOOK_EVERY: Duration = Duration::from_millis(20); // between looks for an answer while a message goes on
const ENDLESS_PIECE: [u8; 1_024] = [b'x'; 1_024];
const PAUSE_MILLIS: std::ops::Range<u64> = 50..400; // between two clients

/// What a bad client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Manner {
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

const MANNERS: [Manner; 9] = [
    Manner::Silent,
    Manner::HalfMessage,
    Manner::Garbage,
    Manner::Http,
    Manner::Order,
    Manner::UnknownZone,
    Manner::ReportFirst,
    Manner::UnknownProxy,
    Manner::Endless,
];

impl Manner {
    fn bytes(self) -> Vec<u8> {
        match self {
            Manner::Silent => Vec::new(),
            Manner::HalfMessage => b"{\"type\":\"h".to_vec(),
            Manner::Garbage => b"\x00\xff\x13 no message at all\n".to_vec(),
            Manner::Http => b"GET / HTTP/1.1\r\nHost: n0\r\n\r\n".to_vec(),
            Manner::Order => b"{\"type\":\"share\",\"table\":4,\"endpoint\":\"s-1\",\"weight\":1.0}\n".to_vec(),
            Manner::UnknownZone => b"{\"type\":\"telemetry\",\"locality\":\"nowhere\"}\n".to_vec(),
            Manner::ReportFirst => {
                b"{\"type\":\"client_stats\",\"node\":1,\"route\":\"quote\",\"total\":1,\"errors\":0,\"interval\":500}\n"
                    .to_vec()
            }
            Manner::UnknownProxy => format!(
                "{{\"type\":\"attach\",\"node\":{PROXIES},\"locality\":\"pier\",\"w\":1.0,\"cold\":true}}\n"
            )
            .into_bytes(),
            Manner::Endless => b"{\"type\":\"".to_vec(),
        }
    }

    fn due(self) -> Duration {
        match self {
            Manner::Endless => ENDLESS_WITHIN,
            _ => TURNED_AWAY_WITHIN,
        }
    }
}

/// Comes as one bad client after another, until the trial is over.
pub fn come(target: &Target, seed: u64) {
    let mut rng = Pcg32::seed_from_u64(seed);
    while !target.is_over() {
        let manner = *MANNERS.choose(&mut rng).unwrap_or(&Manner::Silent);
        if let Some(open) = Connection::open(target) {
            come_once(target, open, manner);
        }
        thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MILLIS)));
    }
}

fn come_once(target: &Target, open: Connection, manner: Manner) {
    let question = Question {
        asked: Asked::BadClient,
        coordinator: target.coordinator,
        process: open.process,
        opened: open.opened.at,
        sent: open.opened,
        due: manner.due(),
    };
    let mut stream = open.reader.into_inner();
    // One that is closed before it has written is turned away as well.
    let _ = stream.write_all(&manner.bytes());
    let is_turned_away = wait_for_end(target, &mut stream, manner, question.opened);
    if !is_turned_away && !target.is_reachable() {
        return; // it went elsewhere first
    }
    target.judge(question, if is_turned_away { Answer::Came } else { Answer::Never });
}

/// Waits for a close or any message; false: neither came.
fn wait_for_end(target: &Target, stream: &mut TcpStream, manner: Manner, opened: Instant) -> bool {
    let until = opened + manner.due() + WAITS_ON;
    let _ = stream.set_read_timeout(Some(LOOK_EVERY));
    let _ = stream.set_write_timeout(Some(LOOK_EVERY));
    let mut buffer = [0; 256];
    while Instant::now() < until && !target.is_over() && target.is_reachable() {
        if manner == Manner::Endless
            && stream.write_all(&ENDLESS_PIECE).is_err_and(|cause| is_end(cause.kind()))
        {
            return true;
        }
        match stream.read(&mut buffer) {
            Ok(_) => return true,
            Err(cause) if is_end(cause.kind()) => return true,
            Err(_) => {}
        }
    }
    false
}

fn is_end(kind: ErrorKind) -> bool {
    !matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}
