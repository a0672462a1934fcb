//! Just enough of HTTP/1.1 for stand-ins that block: one request after another on a connection.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const HEAD_MOST: usize = 16 * 1024; // bytes of a request's head
const BODY_MOST: usize = 256 * 1024; // bytes of its body

const ACCEPT_AGAIN: Duration = Duration::from_millis(20); // after one failed: the peer waits in the backlog

/// Listens on a port of the system's choice, with a thread for each connection; gives the address.
pub fn serve(converse: impl Fn(TcpStream) + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let (address, converse) = (listener.local_addr()?, Arc::new(converse));
    thread::spawn(move || loop {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(ACCEPT_AGAIN);
            continue;
        };
        let converse = converse.clone();
        thread::spawn(move || converse(stream));
    });
    Ok(address)
}

/// A request as far as stand-ins look at it.
pub struct Request {
    pub path: String,
    pub body: Vec<u8>,
}

/// The next request; nothing: the peer has ended, or what came is none.
pub fn read_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Request> {
    let mut buffer = [0; 16 * 1024];
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut parsed = httparse::Request::new(&mut headers);
        if let Ok(httparse::Status::Complete(head)) = parsed.parse(rest) {
            let length =
                parsed.headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
            let length = match length {
                Some(header) => std::str::from_utf8(header.value).ok()?.trim().parse().ok()?,
                None => 0_usize,
            };
            if length <= BODY_MOST && rest.len() >= head + length {
                let path = parsed.path?.to_owned();
                let body = rest[head..head + length].to_vec();
                rest.drain(..head + length);
                return Some(Request { path, body });
            }
        }
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        rest.extend_from_slice(&buffer[..count]);
        if rest.len() > HEAD_MOST + BODY_MOST {
            return None;
        }
    }
}

/// Writes a whole response.
pub fn respond(stream: &mut TcpStream, status: &str, body: &str) -> io::Result<()> {
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())
}
