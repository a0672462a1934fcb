//! Asks a running coordinator how it is, and waits for the answer.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

const LARGEST: u64 = 16 * 1024 * 1024; // bytes of an answer; weights of some ten thousand servers

/// How long to wait for a connection, and for what comes on it.
#[derive(Clone, Copy)]
pub struct Timeouts {
    pub connect: Duration,
    pub read: Duration,
}

/// The JSON that stands at `path`, such as `/status`.
pub fn fetch_json(address: SocketAddr, path: &str, within: Timeouts) -> io::Result<Value> {
    let mut stream = TcpStream::connect_timeout(&address, within.connect)?;
    stream.set_read_timeout(Some(within.read))?;
    let asked = format!("GET {path} HTTP/1.1\r\nhost: coordinator\r\nconnection: close\r\n\r\n");
    stream.write_all(asked.as_bytes())?;
    let mut text = String::new();
    stream.take(LARGEST).read_to_string(&mut text)?;
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    serde_json::from_str(body).map_err(io::Error::other)
}
