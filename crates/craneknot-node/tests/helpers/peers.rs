//! The platform's peers on loopback sockets, scripted by the test byte by byte.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

const READ_TIMEOUT: Duration = Duration::from_secs(30); // a test that waits for longer has failed

pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

pub fn with_read_timeout(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream
}

pub fn accept(listener: &TcpListener) -> TcpStream {
    with_read_timeout(listener.accept().unwrap().0)
}

/// Reads a request's path and body; `None`: the coordinator has closed the connection.
pub fn request(stream: &mut TcpStream) -> Option<(String, String)> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().unwrap())
    });
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    let path = head.split(' ').nth(1).unwrap().to_owned();
    Some((path, String::from_utf8(body).unwrap()))
}

pub fn response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

pub fn accepted_response(orders: usize) -> String {
    response(&format!(
        "<?xml version=\"1.0\"?>\n<Response><entries><item><ok_count>{orders}</ok_count></item></entries></Response>"
    ))
}

/// Decodes the orders in a call's body.
pub fn orders(body: &str) -> Vec<String> {
    let (_, orders) = body.split_once("ops=").unwrap();
    orders.split("%3B").map(|order| order.replace("%2C", ",")).collect()
}

/// Starts an event stream that reports this number of proxies as joined.
pub fn start_event_stream(stream: &mut TcpStream, proxies: u16) {
    let mut text = String::from("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
    text.push_str("Transfer-Encoding: chunked\r\n\r\n");
    for proxy in 0..proxies {
        let zone = if proxy.is_multiple_of(2) { "a" } else { "b" };
        let event = format!("event: attach\ndata: node={proxy}&locality={zone}&w=1.5&cold=1\n\n");
        text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    stream.write_all(text.as_bytes()).unwrap();
}

/// Resets a connection, as a crashed machine does.
pub fn reset(stream: TcpStream) {
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}
