//! The relay on sockets: calls that carry orders, and streams of news.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::fleet::Fleet;
use super::http::{self, read_request, respond};

const TELL_EVERY: Duration = Duration::from_millis(10); // between looks for news
const SIGN_EVERY: Duration = Duration::from_secs(1); // between signs of life

/// Serves one node; gives the address.
pub fn serve(fleet: Arc<Mutex<Fleet>>, node: usize) -> io::Result<SocketAddr> {
    http::serve(move |stream| converse(&fleet, node, stream))
}

fn converse(fleet: &Mutex<Fleet>, node: usize, mut stream: TcpStream) {
    let (mut rest, _) = (Vec::new(), stream.set_nodelay(true));
    while let Some(request) = read_request(&mut stream, &mut rest) {
        if request.path == "/api/events" {
            tell_news(fleet, node, &mut stream);
            return;
        }
        let form = form_urlencoded::parse(&request.body).find(|(key, _)| key == "ops");
        let Some((_, orders)) = form else {
            fleet.lock().unwrap().broken.push(format!("node {node}: a call without orders"));
            return;
        };
        let orders: Vec<&str> = orders.split(';').collect();
        let taken = fleet.lock().unwrap().apply(node, &orders);
        let body = format!(
            "<?xml version=\"1.0\"?>\n<Response><entries><item><ok_count>{taken}</ok_count></item></entries></Response>"
        );
        if respond(&mut stream, "200 OK", &body).is_err() {
            return;
        }
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Tells news until the connection or the process ends.
fn tell_news(fleet: &Mutex<Fleet>, node: usize, stream: &mut TcpStream) {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let id = fleet.lock().unwrap().open_stream(node);
    let mut told = stream.write_all(head.as_bytes());
    let mut sign_at = Instant::now();
    while told.is_ok() {
        let Some(news) = fleet.lock().unwrap().take_news(node, id) else { return };
        if !news.is_empty() {
            told = stream.write_all(chunk(&news.concat()).as_bytes());
        } else if Instant::now() >= sign_at {
            sign_at = Instant::now() + SIGN_EVERY;
            told = stream.write_all(chunk(":\n").as_bytes());
        }
        thread::sleep(TELL_EVERY);
    }
    fleet.lock().unwrap().close_stream(node, id);
}
