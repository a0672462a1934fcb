//! The relay over sockets: calls with orders, event streams, and failures of calls.

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

const EVENT_POLL_INTERVAL: Duration = Duration::from_millis(5); // between checks for new events
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1); // between keepalive comments on an idle stream

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It is executed and answered.
    Answered,
    /// It is rejected.
    Throttled,
    /// It is executed or not, and the connection is reset.
    Broken { carried_out: bool },
    /// It is executed or not, and the answer is truncated.
    Spoilt { carried_out: bool },
}

/// Serves one coordinator; returns the address.
pub fn serve(fleet: SharedFleet, coordinator: usize, log: CallLog) -> io::Result<SocketAddr> {
    http::serve(move |stream| handle_connection(&fleet, coordinator, &log, stream))
}

/// The log of all calls with their times and outcomes.
pub struct CallLog {
    timeline: Arc<Timeline>,
    file: Mutex<File>,
}

impl CallLog {
    /// Creates a log in a new file.
    pub fn create(path: &Path, timeline: Arc<Timeline>) -> io::Result<Self> {
        Ok(CallLog { timeline, file: Mutex::new(File::create(path)?) })
    }

    fn record(&self, outcome: CallOutcome, orders: &str) {
        let second = self.timeline.second(Instant::now());
        // A failure to write the log doesn't stop the trial.
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

/// Handles a call with the outcome that the trial draws; an error ends the connection.
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
            let body = accepted_body(apply(carried_out));
            respond(stream, "200 OK", &body[..body.len() / 2])
        }
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Sends events until the connection ends.
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
