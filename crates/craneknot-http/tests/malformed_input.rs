//! Malformed input: no panic, bounded memory, and the same messages wherever the bytes are split.

use bytes::{Bytes, BytesMut};
use craneknot::interface::Nanos;
use craneknot_http::{request, Limits, ParseError, RequestReader, ResponseReader};
use http::{Method, StatusCode};
use quickcheck::{QuickCheck, TestResult};

const LIMITS: Limits = Limits { head: 2_048, body: 4_096 };

/// Feeds the input to a reader in parts of the given sizes; returns the parsed bodies and the error, if any.
fn feed(input: &[u8], sizes: &[u8]) -> (Vec<Bytes>, Option<ParseError>) {
    let (mut reader, mut buffer) = (RequestReader::new(LIMITS), BytesMut::new());
    let (mut bodies, mut position, mut sizes) = (Vec::new(), 0, sizes.iter().cycle());
    loop {
        loop {
            match reader.next(&mut buffer, Nanos(0)) {
                Ok(Some(request)) => bodies.push(request.into_body()),
                Ok(None) => break,
                Err(error) => return (bodies, Some(error)),
            }
        }
        assert!(buffer.len() <= LIMITS.head + LIMITS.body, "the unconsumed input is bounded");
        if position >= input.len() {
            return (bodies, None);
        }
        let size = usize::from(sizes.next().copied().unwrap_or(1)).clamp(1, 64);
        let end = (position + size).min(input.len());
        buffer.extend_from_slice(&input[position..end]);
        position = end;
    }
}

fn three_requests() -> Vec<u8> {
    let mut input = request(&Method::POST, "/a", "h", &[], b"first").to_vec();
    let chunked = "POST /b HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
    input.extend_from_slice(chunked.as_bytes());
    input.extend_from_slice(b"3\r\nsec\r\n4;x=y\r\nond!\r\n0\r\ntrailer: t\r\n\r\n");
    input.extend_from_slice(&request(&Method::GET, "/c", "h", &[], b""));
    input
}

#[test]
fn messages_do_not_depend_on_how_the_input_is_split() {
    fn are_parsed(sizes: Vec<u8>) -> bool {
        let bodies: Vec<Bytes> = ["first", "second!", ""].map(Bytes::from).to_vec();
        feed(&three_requests(), if sizes.is_empty() { &[7] } else { &sizes }) == (bodies, None)
    }
    QuickCheck::new().tests(300).quickcheck(are_parsed as fn(Vec<u8>) -> bool);
}

#[test]
fn changed_bytes_result_in_messages_or_an_error_status() {
    fn is_handled(changes: Vec<(u16, u8)>, sizes: Vec<u8>) -> TestResult {
        let mut input = three_requests();
        let length = input.len();
        changes.iter().for_each(|(at, byte)| input[usize::from(*at) % length] = *byte);
        let (bodies, error) = feed(&input, if sizes.is_empty() { &[13] } else { &sizes });
        let has_status =
            error.is_none_or(|error| error.status().is_client_error() || error.status().is_server_error());
        TestResult::from_bool(has_status && bodies.len() <= 8)
    }
    QuickCheck::new().tests(2_000).quickcheck(is_handled as fn(Vec<(u16, u8)>, Vec<u8>) -> TestResult);
}

#[test]
fn arbitrary_bytes_cause_no_panic() {
    fn is_handled(input: Vec<u8>) -> bool {
        let (mut reader, mut buffer) = (ResponseReader::new(LIMITS), BytesMut::from(&input[..]));
        let _ = feed(&input, &[5]);
        while let Ok(Some(_)) = reader.next(&mut buffer, true, Nanos(0)) {}
        true
    }
    QuickCheck::new().tests(2_000).quickcheck(is_handled as fn(Vec<u8>) -> bool);
}

#[test]
fn limits_are_enforced() {
    let status = |input: &[u8]| feed(input, &[64]).1.map(|error| error.status());
    let long = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(4_096));
    assert_eq!(status(long.as_bytes()), Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(100));
    assert_eq!(status(many.as_bytes()), Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
    let large = b"POST / HTTP/1.1\r\ncontent-length: 5000\r\n\r\n";
    assert_eq!(status(large), Some(StatusCode::PAYLOAD_TOO_LARGE));
    let chunk = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nffff\r\n";
    assert_eq!(status(chunk), Some(StatusCode::PAYLOAD_TOO_LARGE));
}

/// Request smuggling: two readers that disagree on where a message ends can be made to take a body for a request.
#[test]
fn ambiguous_lengths_are_rejected() {
    for headers in [
        "content-length: 3\r\ntransfer-encoding: chunked",
        "content-length: 3\r\ncontent-length: 4",
        "content-length: +3",
        "content-length: 3, 3",
        "transfer-encoding: gzip, chunked",
    ] {
        let input = format!("POST / HTTP/1.1\r\n{headers}\r\n\r\nabc");
        assert!(feed(input.as_bytes(), &[64]).1.is_some(), "{headers}");
    }
}

#[test]
fn a_truncated_response_is_distinguished_from_a_complete_one() {
    let read = |text: &str, ended| {
        let mut reader = ResponseReader::new(LIMITS);
        reader
            .next(&mut BytesMut::from(text), ended, Nanos(0))
            .map(|message| message.map(|message| message.into_body()))
    };
    assert_eq!(read("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nab", true), Err(ParseError::Truncated));
    assert_eq!(read("HTTP/1.1 200 OK\r\n\r\nab", true), Ok(Some(Bytes::from("ab"))));
    assert_eq!(read("HTTP/1.1 304 Not Modified\r\n\r\n", false), Ok(Some(Bytes::new())));
}

/// A connection may end at any byte of a response, and the bytes received before are not passed in again. A truncated
/// head used to make the program panic.
#[test]
fn a_connection_that_ends_within_a_response_causes_no_panic() {
    for response in [
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nsec\r\n2\r\nnd\r\n0\r\n\r\n",
    ] {
        for length in 0..response.len() {
            let (mut reader, mut input) =
                (ResponseReader::new(LIMITS), BytesMut::from(&response.as_bytes()[..length]));
            assert_eq!(
                reader.next(&mut input, false, Nanos(0)).unwrap().map(http::Response::into_body),
                None
            );
            let ended = reader.next(&mut BytesMut::new(), true, Nanos(0));
            assert!(matches!(ended, Ok(None) | Err(ParseError::Truncated)), "cut at {length}: {ended:?}");
        }
    }
}

/// Guards against heads of very many short fields, which take far more memory than their text.
#[test]
fn the_memory_of_an_unfinished_request_includes_its_parsed_head() {
    let fields: String = (0..60).map(|number| format!("a{number}:\r\n")).collect();
    let head = format!("POST /a HTTP/1.1\r\n{fields}content-length: 400\r\n\r\n");
    let (mut reader, mut buffer) = (RequestReader::new(LIMITS), BytesMut::from(head.as_str()));
    assert_eq!((reader.held_bytes(), reader.partial_since()), (0, None));
    assert!(reader.next(&mut buffer, Nanos(7)).unwrap().is_none() && buffer.is_empty());
    assert!(reader.held_bytes() > 60 * 100, "{}", reader.held_bytes());
    assert_eq!(reader.partial_since(), Some(Nanos(7)));
    buffer.extend_from_slice(&[b'x'; 399]);
    assert!(reader.next(&mut buffer, Nanos(8)).unwrap().is_none());
    assert!(reader.held_bytes() > 60 * 100 + 399);
    buffer.extend_from_slice(b"x");
    assert!(reader.next(&mut buffer, Nanos(9)).unwrap().is_some());
    assert_eq!((reader.held_bytes(), reader.partial_since()), (0, None));
}
