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

const TELL_EVERY: Duration = Duration::from_millis(5); // between looks for news
const SIGN_EVERY: Duration = Duration::from_secs(1); // between signs of life

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
    http::serve(move |stream| converse(&fleet, coordinator, &log, stream))
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

    fn keep(&self, outcome: CallOutcome, orders: &str) {
        let second = self.timeline.second(Instant::now());
        // A trial goes on without its log.
        let _ = writeln!(self.file.lock().unwrap(), "{second:.3} {outcome:?} {orders}");
    }
}

fn converse(fleet: &SharedFleet, coordinator: usize, log: &CallLog, mut stream: TcpStream) {
    let (mut rest, _) = (Vec::new(), stream.set_nodelay(true));
    while let Some(request) = read_request(&mut stream, &mut rest) {
        if request.path == "/api/events" {
            tell_news(fleet, coordinator, &mut stream);
            return;
        }
        let form = form_urlencoded::parse(&request.body).find(|(key, _)| key == "ops");
        let Some((_, orders)) = form else {
            if respond(&mut stream, "400 Bad Request", &refusal("invalid")).is_err() {
                return;
            }
            continue;
        };
        if call(fleet, coordinator, log, &orders, &mut stream).is_err() {
            return;
        }
    }
}

fn refusal(code: &str) -> String {
    format!("<?xml version=\"1.0\"?>\n<Response><error><code>{code}</code></error></Response>")
}

fn taken(count: usize) -> String {
    format!(
        "<?xml version=\"1.0\"?>\n<Response><entries><item><ok_count>{count}</ok_count></item></entries></Response>"
    )
}

/// Carries out a call as the trial has it; an error ends the connection.
fn call(
    fleet: &SharedFleet,
    coordinator: usize,
    log: &CallLog,
    orders: &str,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let outcome = fleet.lock().unwrap().draw_outcome(coordinator);
    log.keep(outcome, orders);
    let orders: Vec<&str> = orders.split(';').collect();
    let apply = |is_carried_out: bool| match is_carried_out {
        true => fleet.lock().unwrap().apply(coordinator, &orders),
        false => 0,
    };
    match outcome {
        CallOutcome::Answered => respond(stream, "200 OK", &taken(apply(true))),
        CallOutcome::Throttled => respond(stream, "503 Service Unavailable", &refusal("throttled")),
        CallOutcome::Broken { carried_out } => {
            apply(carried_out);
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            Err(io::ErrorKind::ConnectionReset.into())
        }
        CallOutcome::Spoilt { carried_out } => {
            let whole = taken(apply(carried_out));
            respond(stream, "200 OK", &whole[..whole.len() / 2])
        }
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Tells news until the connection ends.
fn tell_news(fleet: &SharedFleet, coordinator: usize, stream: &mut TcpStream) {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let id = fleet.lock().unwrap().open_stream(coordinator);
    let mut told = stream.write_all(head.as_bytes());
    let mut sign_at = Instant::now();
    while told.is_ok() {
        let Some(news) = fleet.lock().unwrap().take_news(coordinator, id) else { return };
        if !news.is_empty() {
            told = stream.write_all(chunk(&news.concat()).as_bytes());
        } else if Instant::now() >= sign_at {
            sign_at = Instant::now() + SIGN_EVERY;
            told = stream.write_all(chunk(":\n").as_bytes());
        }
        thread::sleep(TELL_EVERY);
    }
    fleet.lock().unwrap().close_stream(coordinator, id);
}
