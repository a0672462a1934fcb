//! HTTP/1.1 (RFC 9112) without I/O: readers that take bytes as they come and give whole messages, with limits on
//! all that a peer may send, and writers that give the bytes of a message.

mod reader;
mod writer;

pub use reader::{Limits, ParseError, RequestReader, ResponseReader};
pub use writer::{request, response, response_chunks};
