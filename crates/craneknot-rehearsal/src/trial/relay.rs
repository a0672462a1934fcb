//! The relay on sockets: calls that carry orders, streams of news, and the ways in which a call goes wrong.

use std::fs::File;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::fleet::SharedFleet;
use super::timeline::Timeline;
use crate::soak::http::{self, read_request, respond};

const EVENT_POLL_INTERVAL: Duration = Duration::from_millis(5); // between looks for news
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1); // between signs of life

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It is carried out and answered.
    Answered,
    /// It is turned away.
    Throttled,
    /// It is carried out or not, and the connection breaks.
    Broken { carried_out: bool },
    /// It is carried out or not, and the answer cannot be read.
    Spoilt { carried_out: bool },
}

/// Serves one coordinator; gives the address.
pub fn serve(fleet: SharedFleet, coordinator: usize, log: CallLog) -> io::Result<SocketAddr> {
    http::serve(move |stream| handle_connection(&fleet, coordinator, &log, stream))
}

/// Keeps every call with its time and outcome.
pub struct CallLog {
    timeline: Arc<Timeline>,
    file: Mutex<File>,
}

impl CallLog {
    /// Writes to a new file.
    pub fn create(path: &Path, timeline: Arc<Timeline>) -> io::Result<Self> {
        Ok(CallLog { timeline, file: Mutex::new(File::create(path)?) })
    }

    fn record(&self, outcome: CallOutcome, orders: &str) {
        let second = self.timeline.second(Instant::now());
        // A trial goes on without its log.
        let _ = writeln!(self.file.lock().unwrap(), "{second:.3} {outcome:?} {orders}");
    }
}

fn handle_connection(fleet: &SharedFleet, coordinator: usize, log: &CallLog, mut stream: TcpStream) {
    let (mut rest, _) = (Vec::new(), stream.set_nodelay(true));
    while let Some(request) = read_request(&mut stream, &mut rest) {
        if request.path == "/api/events" {
            stream_events(fleet, coordinator, &mut stream);
            return;
        }
        let form = form_urlencoded::parse(&request.body).find(|(key, _)| key == "ops");
        let Some((_, orders)) = form else {
            if respond(&mut stream, "400 Bad Request", &error_body("invalid")).is_err() {
                return;
            }
            continue;
        };
        if handle_call(fleet, coordinator, log, &orders, &mut stream).is_err() {
            return;
        }
    }
}

fn error_body(code: &str) -> String {
    format!("<?xml version=\"1.0\"?>\n<Response><error><code>{code}</code></error></Response>")
}

fn accepted_body(count: usize) -> String {
    format!(
        "<?xml version=\"1.0\"?>\n<Response><entries><item><ok_count>{count}</ok_count></item></entries></Response>"
    )
}

/// Carries out a call as the trial has it; an error ends the connection.
fn handle_call(
    fleet: &SharedFleet,
    coordinator: usize,
    log: &CallLog,
    orders: &str,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let outcome = fleet.lock().unwrap().draw_call_outcome(coordinator);
    log.record(outcome, orders);
    let orders: Vec<&str> = orders.split(';').collect();
    let apply = |is_carried_out: bool| match is_carried_out {
        true => fleet.lock().unwrap().apply(coordinator, &orders),
        false => 0,
    };
    match outcome {
        CallOutcome::Answered => respond(stream, "200 OK", &accepted_body(apply(true))),
        CallOutcome::Throttled => respond(stream, "503 Service Unavailable", &error_body("throttled")),
        CallOutcome::Broken { carried_out } => {
            apply(carried_out);
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            Err(io::ErrorKind::ConnectionReset.into())
        }
        CallOutcome::Spoilt { carried_out } => {
            let whole = accepted_body(apply(carried_out));
            respond(stream, "200 OK", &whole[..whole.len() / 2])
        }
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Tells news until the connection ends.
fn stream_events(fleet: &SharedFleet, coordinator: usize, stream: &mut TcpStream) {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let id = fleet.lock().unwrap().open_stream(coordinator);
    let mut result = stream.write_all(head.as_bytes());
    let mut keepalive_at = Instant::now();
    while result.is_ok() {
        let Some(events) = fleet.lock().unwrap().take_events(coordinator, id) else { return };
        if !events.is_empty() {
            result = stream.write_all(chunk(&events.concat()).as_bytes());
        } else if Instant::now() >= keepalive_at {
            keepalive_at = Instant::now() + KEEPALIVE_INTERVAL;
            result = stream.write_all(chunk(":\n").as_bytes());
        }
        thread::sleep(EVENT_POLL_INTERVAL);
    }
    fleet.lock().unwrap().close_stream(coordinator, id);
}
