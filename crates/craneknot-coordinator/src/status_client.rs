//! A blocking client for the JSON pages of a running coordinator, such as its status.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024; // enough for the weights of some ten thousand servers

/// Time limits for connecting and for each read.
#[derive(Clone, Copy)]
pub struct Timeouts {
    pub connect: Duration,
    pub read: Duration,
}

/// Fetches the JSON document at `path`, such as `/status`.
pub fn fetch_json(address: SocketAddr, path: &str, timeouts: Timeouts) -> io::Result<Value> {
    let mut stream = TcpStream::connect_timeout(&address, timeouts.connect)?;
    stream.set_read_timeout(Some(timeouts.read))?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: coordinator\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut text = String::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_string(&mut text)?;
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    serde_json::from_str(body).map_err(io::Error::other)
}
