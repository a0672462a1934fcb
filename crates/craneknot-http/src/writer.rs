//! Encoding of messages.

use std::fmt::Write;

use bytes::Bytes;
use http::{HeaderName, Method, StatusCode};

fn write_headers(text: &mut String, headers: &[(HeaderName, &str)], length: usize) {
    for (name, value) in headers {
        // Control characters are removed, because a line break would end the header and begin another one.
        let value: String = value.chars().filter(|character| !character.is_control()).collect();
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let _ = write!(text, "content-length: {length}\r\n\r\n");
}

/// A request with a body of known length.
pub fn request(
    method: &Method,
    path: &str,
    host: &str,
    headers: &[(HeaderName, &str)],
    body: &[u8],
) -> Bytes {
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: {host}\r\n");
    write_headers(&mut text, headers, body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes.into()
}

fn status_line(status: StatusCode) -> String {
    format!("HTTP/1.1 {} {}\r\n", status.as_u16(), status.canonical_reason().unwrap_or("Other"))
}

/// A response with a body of known length.
pub fn response(status: StatusCode, headers: &[(HeaderName, &str)], body: &[u8]) -> Bytes {
    let mut text = status_line(status);
    if status == StatusCode::NOT_MODIFIED {
        text.push_str("\r\n");
        return text.into_bytes().into();
    }
    write_headers(&mut text, headers, body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes.into()
}

/// A response whose body consists of shared chunks, which are not copied.
pub fn response_chunks(status: StatusCode, headers: &[(HeaderName, &str)], body: Vec<Bytes>) -> Vec<Bytes> {
    let length = body.iter().map(Bytes::len).sum();
    let mut text = status_line(status);
    write_headers(&mut text, headers, length);
    let mut chunks = Vec::with_capacity(body.len() + 1);
    chunks.push(text.into_bytes().into());
    chunks.extend(body);
    chunks
}
