//! Incremental parsing of messages.

use std::fmt;

use bytes::{Buf, Bytes, BytesMut};
use craneknot::interface::Nanos;
use http::{header, HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Version};

/// Limits of one message.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum bytes of the start line and all headers.
    pub head: usize,
    /// Maximum bytes of the body.
    pub body: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { head: 16 * 1024, body: 4 * 1024 * 1024 }
    }
}

const MAX_HEADERS: usize = 64; // per message, more than any peer needs
/// Memory of one parsed header besides its text: its entry in the map, and its share of the map's index.
const HEADER_OVERHEAD_BYTES: usize = 128;
const MAX_CHUNK_LINE_BYTES: usize = 256; // of a chunk size line, including extensions

/// Why a message can't be parsed; the connection can't be used any further.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParseError {
    HeadTooLarge,
    BodyTooLarge,
    Malformed(String),
    /// A body with a transfer coding that is not supported.
    Unsupported(String),
    /// The connection ended within a message.
    Truncated,
}

impl ParseError {
    /// The status of the response to such a request.
    pub fn status(&self) -> StatusCode {
        match self {
            ParseError::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            ParseError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ParseError::Malformed(_) | ParseError::Truncated => StatusCode::BAD_REQUEST,
            ParseError::Unsupported(_) => StatusCode::NOT_IMPLEMENTED,
        }
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ParseError::HeadTooLarge => write!(f, "the head of the message is too large"),
            ParseError::BodyTooLarge => write!(f, "the body of the message is too large"),
            ParseError::Malformed(reason) => write!(f, "malformed message: {reason}"),
            ParseError::Unsupported(feature) => write!(f, "not supported: {feature}"),
            ParseError::Truncated => write!(f, "the message was cut short"),
        }
    }
}

impl std::error::Error for ParseError {}

fn malformed(reason: impl fmt::Display) -> ParseError {
    ParseError::Malformed(reason.to_string())
}

/// The part of a message that is expected next.
enum Stage {
    Head,
    /// A body of this length, in bytes.
    Length(usize),
    ChunkSize,
    /// The rest of a chunk, in bytes.
    Chunk(usize),
    ChunkEnd,
    Trailer,
    /// The body of a response without a length, which ends with the connection.
    UntilEnd,
}

/// The part of parsing that requests and responses share: finding the end of the head, and the body.
struct Reader<H> {
    limits: Limits,
    stage: Stage,
    head: Option<H>,
    /// Memory of the parsed head.
    head_bytes: usize,
    body: BytesMut,
    /// Number of input bytes already searched for the end of the head.
    searched: usize,
    /// When the first byte of an incomplete message was received.
    since: Option<Nanos>,
}

impl<H> Reader<H> {
    fn new(limits: Limits) -> Self {
        Reader {
            limits,
            stage: Stage::Head,
            head: None,
            head_bytes: 0,
            body: BytesMut::new(),
            searched: 0,
            since: None,
        }
    }

    /// The bytes of the head, once it is complete.
    fn head_bytes(&mut self, input: &mut BytesMut) -> Result<Option<BytesMut>, ParseError> {
        if self.searched == 0 {
            // Empty lines before a message are ignored.
            while input.starts_with(b"\r\n") {
                input.advance(2);
            }
        }
        // The input may be shorter than before if the connection ended within a head.
        let from = self.searched.min(input.len()).saturating_sub(3);
        let end =
            input[from..].windows(4).position(|window| window == b"\r\n\r\n").map(|offset| from + offset + 4);
        match end {
            Some(end) if end > self.limits.head => Err(ParseError::HeadTooLarge),
            Some(end) => {
                self.searched = 0;
                Ok(Some(input.split_to(end)))
            }
            None if input.len() > self.limits.head => Err(ParseError::HeadTooLarge),
            None => {
                self.searched = input.len();
                Ok(None)
            }
        }
    }

    fn begin_body(&mut self, head: H, stage: Stage, head_bytes: usize) -> Result<(), ParseError> {
        if let Stage::Length(length) = stage {
            if length > self.limits.body {
                return Err(ParseError::BodyTooLarge);
            }
        }
        self.head = Some(head);
        self.head_bytes = head_bytes;
        self.stage = stage;
        Ok(())
    }

    /// Consumes the body; returns the message once it is complete.
    fn read_body(&mut self, input: &mut BytesMut) -> Result<Option<(H, Bytes)>, ParseError> {
        loop {
            match self.stage {
                Stage::Head => return Ok(None),
                Stage::Length(length) => {
                    let part = (length - self.body.len()).min(input.len());
                    self.body.extend_from_slice(&input.split_to(part));
                    if self.body.len() < length {
                        return Ok(None);
                    }
                    return Ok(self.complete_message());
                }
                Stage::UntilEnd => {
                    self.append_body(input.len(), input)?;
                    return Ok(None);
                }
                Stage::ChunkSize => {
                    let Some(line) = line(input)? else { return Ok(None) };
                    let digits = line[..].split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
                    let is_valid =
                        !digits.is_empty() && digits.len() <= 8 && digits.iter().all(u8::is_ascii_hexdigit);
                    let digits = std::str::from_utf8(digits).ok().filter(|_| is_valid);
                    let size = digits.and_then(|digits| usize::from_str_radix(digits, 16).ok());
                    let size = size.ok_or_else(|| malformed("a chunk's size is not a number"))?;
                    if self.body.len() + size > self.limits.body {
                        return Err(ParseError::BodyTooLarge);
                    }
                    self.stage = if size == 0 { Stage::Trailer } else { Stage::Chunk(size) };
                }
                Stage::Chunk(left) => {
                    let part = left.min(input.len());
                    self.append_body(part, input)?;
                    if part < left {
                        self.stage = Stage::Chunk(left - part);
                        return Ok(None);
                    }
                    self.stage = Stage::ChunkEnd;
                }
                Stage::ChunkEnd => {
                    if input.len() < 2 {
                        return Ok(None);
                    }
                    if !input.starts_with(b"\r\n") {
                        return Err(malformed("a chunk is longer than it said"));
                    }
                    input.advance(2);
                    self.stage = Stage::ChunkSize;
                }
                Stage::Trailer => match line(input)? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => return Ok(self.complete_message()),
                    Some(_) => {}
                },
            }
        }
    }

    fn append_body(&mut self, part: usize, input: &mut BytesMut) -> Result<(), ParseError> {
        if self.body.len() + part > self.limits.body {
            return Err(ParseError::BodyTooLarge);
        }
        self.body.extend_from_slice(&input.split_to(part));
        Ok(())
    }

    fn complete_message(&mut self) -> Option<(H, Bytes)> {
        self.stage = Stage::Head;
        self.head_bytes = 0;
        self.since = None;
        let body = std::mem::take(&mut self.body).freeze();
        self.head.take().map(|head| (head, body))
    }

    /// Memory that the unfinished message takes, besides the unconsumed input.
    fn held_bytes(&self) -> usize {
        self.head_bytes + self.body.capacity()
    }

    fn update_since(&mut self, input: &BytesMut, now: Nanos) {
        let is_partial = !input.is_empty() || !matches!(self.stage, Stage::Head);
        self.since = if is_partial { self.since.or(Some(now)) } else { None };
    }
}

/// Consumes a line that ends with CR LF and returns it without them.
fn line(input: &mut BytesMut) -> Result<Option<BytesMut>, ParseError> {
    match input.windows(2).take(MAX_CHUNK_LINE_BYTES).position(|window| window == b"\r\n") {
        Some(end) => {
            let line = input.split_to(end);
            input.advance(2);
            Ok(Some(line))
        }
        None if input.len() > MAX_CHUNK_LINE_BYTES => Err(malformed("a chunk's line is too long")),
        None => Ok(None),
    }
}

fn headers(parsed: &[httparse::Header<'_>]) -> Result<HeaderMap, ParseError> {
    let mut headers = HeaderMap::with_capacity(parsed.len());
    for header in parsed {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(malformed)?;
        let value = HeaderValue::from_bytes(header.value).map_err(malformed)?;
        headers.append(name, value);
    }
    Ok(headers)
}

/// The memory of a parsed head, from the length of its text.
fn head_memory(text_bytes: usize, headers: &HeaderMap) -> usize {
    text_bytes + headers.len() * HEADER_OVERHEAD_BYTES
}

/// How the body is delimited; `None` if there is neither a length nor a transfer coding.
fn framing(headers: &HeaderMap) -> Result<Option<Stage>, ParseError> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let length = lengths.next();
    if lengths.any(|other| Some(other) != length) {
        return Err(malformed("two lengths that differ"));
    }
    match (headers.get(header::TRANSFER_ENCODING), length) {
        // Both together allow request smuggling past a reader that trusts the other one.
        (Some(_), Some(_)) => Err(malformed("both a length and a transfer coding")),
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Stage::ChunkSize))
        }
        (Some(coding), None) => Err(ParseError::Unsupported(format!("transfer coding {coding:?}"))),
        (None, Some(length)) => {
            let digits = length.to_str().ok().filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
            let length = digits.and_then(|digits| digits.parse().ok());
            Ok(Some(Stage::Length(length.ok_or_else(|| malformed("a length that is no number"))?)))
        }
        (None, None) => Ok(None),
    }
}

fn is_persistent(version: Version, headers: &HeaderMap) -> bool {
    let has_option = |option: &str| {
        let all = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
        all.flat_map(|value| value.split(',')).any(|part| part.trim().eq_ignore_ascii_case(option))
    };
    if version == Version::HTTP_11 {
        !has_option("close")
    } else {
        has_option("keep-alive")
    }
}

/// Whether the connection may be used again after this message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Persistent(pub bool);

/// Parses the requests that a server receives. A connection may carry several, also pipelined.
pub struct RequestReader(Reader<Request<()>>);

impl RequestReader {
    pub fn new(limits: Limits) -> Self {
        RequestReader(Reader::new(limits))
    }

    /// The next complete request. After an error, respond with its status and close the connection.
    pub fn next(&mut self, input: &mut BytesMut, now: Nanos) -> Result<Option<Request<Bytes>>, ParseError> {
        if let Stage::Head = self.0.stage {
            if let Some(bytes) = self.0.head_bytes(input)? {
                let (head, stage) = request_head(&bytes)?;
                let head_bytes = head_memory(bytes.len(), head.headers());
                self.0.begin_body(head, stage, head_bytes)?;
            }
        }
        let message = self.0.read_body(input)?;
        self.0.update_since(input, now);
        Ok(message.map(|(head, body)| head.map(|()| body)))
    }

    /// How long ago the first byte of an incomplete message was received.
    pub fn partial_message_age(&self, now: Nanos) -> Nanos {
        self.0.since.map_or(Nanos(0), |since| now - since)
    }

    /// When the first byte of the incomplete message was received, if there is one.
    pub fn partial_since(&self) -> Option<Nanos> {
        self.0.since
    }

    /// Memory that the incomplete message takes, in bytes, besides the unconsumed input.
    pub fn held_bytes(&self) -> usize {
        self.0.held_bytes()
    }

    /// Whether the connection stays open after the response to this request.
    pub fn is_persistent<B>(request: &Request<B>) -> bool {
        request.extensions().get::<Persistent>().is_none_or(|persistent| persistent.0)
    }
}

fn request_head(bytes: &[u8]) -> Result<(Request<()>, Stage), ParseError> {
    let mut header_buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut header_buffer);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) => return Err(ParseError::Truncated),
        Err(httparse::Error::TooManyHeaders) => return Err(ParseError::HeadTooLarge),
        Err(cause) => return Err(malformed(cause)),
    }
    let method = Method::from_bytes(parsed.method.unwrap_or_default().as_bytes()).map_err(malformed)?;
    let version = if parsed.version == Some(1) { Version::HTTP_11 } else { Version::HTTP_10 };
    let mut request = Request::new(());
    *request.method_mut() = method;
    *request.uri_mut() = parsed.path.unwrap_or_default().parse().map_err(malformed)?;
    *request.version_mut() = version;
    *request.headers_mut() = headers(parsed.headers)?;
    let persistent = is_persistent(version, request.headers());
    request.extensions_mut().insert(Persistent(persistent));
    let stage = framing(request.headers())?.unwrap_or(Stage::Length(0));
    Ok((request, stage))
}

/// Parses the responses that a client receives, in the order of its requests.
pub struct ResponseReader(Reader<Response<()>>);

impl ResponseReader {
    pub fn new(limits: Limits) -> Self {
        ResponseReader(Reader::new(limits))
    }

    /// The next complete response; `ended` means that no more bytes will arrive.
    pub fn next(
        &mut self,
        input: &mut BytesMut,
        ended: bool,
        now: Nanos,
    ) -> Result<Option<Response<Bytes>>, ParseError> {
        if let Stage::Head = self.0.stage {
            if let Some(bytes) = self.0.head_bytes(input)? {
                let (head, stage) = response_head(&bytes)?;
                let head_bytes = head_memory(bytes.len(), head.headers());
                self.0.begin_body(head, stage, head_bytes)?;
            }
        }
        let mut message = self.0.read_body(input)?;
        if ended && message.is_none() {
            message = match self.0.stage {
                Stage::UntilEnd => self.0.complete_message(),
                Stage::Head if input.is_empty() => None,
                _ => return Err(ParseError::Truncated),
            };
        }
        self.0.update_since(input, now);
        Ok(message.map(|(head, body)| head.map(|()| body)))
    }

    /// Takes the received part of an incomplete body, with the status of its response, for bodies that never end. The
    /// limit on the body then applies to the bytes that follow.
    pub fn take_partial_body(&mut self) -> Option<(StatusCode, Bytes)> {
        let status = self.0.head.as_ref()?.status();
        Some((status, self.0.body.split().freeze()))
    }

    /// How long ago the first byte of an incomplete message was received.
    pub fn partial_message_age(&self, now: Nanos) -> Nanos {
        self.0.since.map_or(Nanos(0), |since| now - since)
    }

    /// Whether the connection stays open after this response.
    pub fn is_persistent<B>(response: &Response<B>) -> bool {
        response.extensions().get::<Persistent>().is_none_or(|persistent| persistent.0)
    }
}

fn response_head(bytes: &[u8]) -> Result<(Response<()>, Stage), ParseError> {
    let mut header_buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut header_buffer);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) => return Err(ParseError::Truncated),
        Err(httparse::Error::TooManyHeaders) => return Err(ParseError::HeadTooLarge),
        Err(cause) => return Err(malformed(cause)),
    }
    let status = StatusCode::from_u16(parsed.code.unwrap_or_default()).map_err(malformed)?;
    let version = if parsed.version == Some(1) { Version::HTTP_11 } else { Version::HTTP_10 };
    let mut response = Response::new(());
    *response.status_mut() = status;
    *response.version_mut() = version;
    *response.headers_mut() = headers(parsed.headers)?;
    let has_no_body =
        status.is_informational() || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let stage = match framing(response.headers())? {
        _ if has_no_body => Stage::Length(0),
        Some(stage) => stage,
        None => Stage::UntilEnd,
    };
    let persistent = is_persistent(version, response.headers()) && !matches!(stage, Stage::UntilEnd);
    response.extensions_mut().insert(Persistent(persistent));
    Ok((response, stage))
}
