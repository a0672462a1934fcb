//! A simulated relay on sockets: calls that carry orders, and event streams.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::fleet::Fleet;
use super::http::{self, read_request, respond};

const EVENT_POLL_INTERVAL: Duration = Duration::from_millis(10);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1); // between keepalive comments

/// Starts the relay server of one node and returns its address.
pub fn serve(fleet: Arc<Mutex<Fleet>>, node: usize) -> io::Result<SocketAddr> {
    http::serve(move |stream| handle_connection(&fleet, node, stream))
}

fn handle_connection(fleet: &Mutex<Fleet>, node: usize, mut stream: TcpStream) {
    let (mut unparsed, _) = (Vec::new(), stream.set_nodelay(true));
    while let Some(request) = read_request(&mut stream, &mut unparsed) {
        if request.path == "/api/events" {
            send_events(fleet, node, &mut stream);
            return;
        }
        let form = form_urlencoded::parse(&request.body).find(|(key, _)| key == "ops");
        let Some((_, orders)) = form else {
            fleet.lock().unwrap().violations.push(format!("node {node}: a call without orders"));
            return;
        };
        let orders: Vec<&str> = orders.split(';').collect();
        let applied = fleet.lock().unwrap().apply(node, &orders);
        let body = format!(
            "<?xml version=\"1.0\"?>\n<Response><entries><item><ok_count>{applied}</ok_count></item></entries></Response>"
        );
        if respond(&mut stream, "200 OK", &body).is_err() {
            return;
        }
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Sends events until the connection or the process ends.
fn send_events(fleet: &Mutex<Fleet>, node: usize, stream: &mut TcpStream) {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let id = fleet.lock().unwrap().open_stream(node);
    let mut sent = stream.write_all(head.as_bytes());
    let mut keepalive_at = Instant::now();
    while sent.is_ok() {
        let Some(events) = fleet.lock().unwrap().take_events(node, id) else { return };
        if !events.is_empty() {
            sent = stream.write_all(chunk(&events.concat()).as_bytes());
        } else if Instant::now() >= keepalive_at {
            keepalive_at = Instant::now() + KEEPALIVE_INTERVAL;
            sent = stream.write_all(chunk(":\n").as_bytes());
        }
        thread::sleep(EVENT_POLL_INTERVAL);
    }
    fleet.lock().unwrap().close_stream(node, id);
}
