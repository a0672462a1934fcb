//! A minimal blocking HTTP/1.1 server for the simulated peers, with sequential requests on each connection.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_BODY_BYTES: usize = 256 * 1024;

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20); // after a failed accept; the peer waits in the backlog

/// Listens on a free port with a thread for each connection; returns the address.
pub fn serve(handle_connection: impl Fn(TcpStream) + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let (address, handle_connection) = (listener.local_addr()?, Arc::new(handle_connection));
    thread::spawn(move || loop {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(ACCEPT_RETRY_DELAY);
            continue;
        };
        let handle_connection = handle_connection.clone();
        thread::spawn(move || handle_connection(stream));
    });
    Ok(address)
}

/// The parts of a request that the simulated peers use.
pub struct Request {
    pub path: String,
    pub body: Vec<u8>,
}

/// Reads the next request; `None`: the peer closed the connection, or the data is no valid request.
pub fn read_request(stream: &mut TcpStream, unparsed: &mut Vec<u8>) -> Option<Request> {
    let mut buffer = [0; 16 * 1024];
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut parsed = httparse::Request::new(&mut headers);
        if let Ok(httparse::Status::Complete(head)) = parsed.parse(unparsed) {
            let length =
                parsed.headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
            let length = match length {
                Some(header) => std::str::from_utf8(header.value).ok()?.trim().parse().ok()?,
                None => 0_usize,
            };
            if length <= MAX_BODY_BYTES && unparsed.len() >= head + length {
                let path = parsed.path?.to_owned();
                let body = unparsed[head..head + length].to_vec();
                unparsed.drain(..head + length);
                return Some(Request { path, body });
            }
        }
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        unparsed.extend_from_slice(&buffer[..count]);
        if unparsed.len() > MAX_HEAD_BYTES + MAX_BODY_BYTES {
            return None;
        }
    }
}

/// Writes a complete response.
pub fn respond(stream: &mut TcpStream, status: &str, body: &str) -> io::Result<()> {
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())
}
