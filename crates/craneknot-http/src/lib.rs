//! HTTP/1.1 (RFC 9112) without I/O: incremental readers that turn bytes into complete messages, with limits on all
//! input from a peer, and writers that encode messages into bytes.

mod reader;
mod writer;

pub use reader::{Limits, ParseError, RequestReader, ResponseReader};
pub use writer::{request, response, response_chunks};
