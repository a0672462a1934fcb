//! Broken input: no panic, bounded memory, and the same messages however the bytes are cut.

use bytes::{Bytes, BytesMut};
use craneknot::interface::Nanos;
use craneknot_http::{request, Limits, ParseError, RequestReader, ResponseReader};
use http::{Method, StatusCode};
use quickcheck::{QuickCheck, TestResult};

const LIMITS: Limits = Limits { head: 2_048, body: 4_096 };

/// Feeds a reader in pieces; the bodies that came out, and how it ended.
fn feed(input: &[u8], cuts: &[u8]) -> (Vec<Bytes>, Option<ParseError>) {
    let (mut reader, mut buffer) = (RequestReader::new(LIMITS), BytesMut::new());
    let (mut bodies, mut at, mut cut) = (Vec::new(), 0, cuts.iter().cycle());
    loop {
        loop {
            match reader.next(&mut buffer, Nanos(0)) {
                Ok(Some(request)) => bodies.push(request.into_body()),
                Ok(None) => break,
                Err(wrong) => return (bodies, Some(wrong)),
            }
        }
        assert!(buffer.len() <= LIMITS.head + LIMITS.body, "what is not taken is bounded");
        if at >= input.len() {
            return (bodies, None);
        }
        let step = usize::from(cut.next().copied().unwrap_or(1)).clamp(1, 64);
        let end = (at + step).min(input.len());
        buffer.extend_from_slice(&input[at..end]);
        at = end;
    }
}

fn three() -> Vec<u8> {
    let mut input = request(&Method::POST, "/a", "h", &[], b"first").to_vec();
    let chunked = "POST /b HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
    input.extend_from_slice(chunked.as_bytes());
    input.extend_from_slice(b"3\r\nsec\r\n4;x=y\r\nond!\r\n0\r\ntrailer: t\r\n\r\n");
    input.extend_from_slice(&request(&Method::GET, "/c", "h", &[], b""));
    input
}

#[test]
fn messages_do_not_depend_on_how_they_are_cut() {
    fn same(cuts: Vec<u8>) -> bool {
        let bodies: Vec<Bytes> = ["first", "second!", ""].map(Bytes::from).to_vec();
        feed(&three(), if cuts.is_empty() { &[7] } else { &cuts }) == (bodies, None)
    }
    QuickCheck::new().tests(300).quickcheck(same as fn(Vec<u8>) -> bool);
}

#[test]
fn changed_bytes_end_in_messages_or_a_clear_error() {
    fn survives(changes: Vec<(u16, u8)>, cuts: Vec<u8>) -> TestResult {
        let mut input = three();
        let length = input.len();
        changes.iter().for_each(|(at, byte)| input[usize::from(*at) % length] = *byte);
        let (bodies, wrong) = feed(&input, if cuts.is_empty() { &[13] } else { &cuts });
        let clear =
            wrong.is_none_or(|wrong| wrong.status().is_client_error() || wrong.status().is_server_error());
        TestResult::from_bool(clear && bodies.len() <= 8)
    }
    QuickCheck::new().tests(2_000).quickcheck(survives as fn(Vec<(u16, u8)>, Vec<u8>) -> TestResult);
}

#[test]
fn nonsense_survives() {
    fn survives(input: Vec<u8>) -> bool {
        let (mut reader, mut buffer) = (ResponseReader::new(LIMITS), BytesMut::from(&input[..]));
        let _ = feed(&input, &[5]);
        while let Ok(Some(_)) = reader.next(&mut buffer, true, Nanos(0)) {}
        true
    }
    QuickCheck::new().tests(2_000).quickcheck(survives as fn(Vec<u8>) -> bool);
}

#[test]
fn limits_are_kept() {
    let status = |input: &[u8]| feed(input, &[64]).1.map(|wrong| wrong.status());
    let long = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(4_096));
    assert_eq!(status(long.as_bytes()), Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(100));
    assert_eq!(status(many.as_bytes()), Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
    let large = b"POST / HTTP/1.1\r\ncontent-length: 5000\r\n\r\n";
    assert_eq!(status(large), Some(StatusCode::PAYLOAD_TOO_LARGE));
    let chunk = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nffff\r\n";
    assert_eq!(status(chunk), Some(StatusCode::PAYLOAD_TOO_LARGE));
}

/// Two readers that disagree on where a message ends can be made to take one's body for the other's request.
#[test]
fn ambiguous_lengths_are_refused() {
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
fn a_response_cut_short_is_told_from_a_whole_one() {
    let read = |text: &str, ended| {
        let mut reader = ResponseReader::new(LIMITS);
        reader
            .next(&mut BytesMut::from(text), ended, Nanos(0))
            .map(|whole| whole.map(|whole| whole.into_body()))
    };
    assert_eq!(read("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nab", true), Err(ParseError::Truncated));
    assert_eq!(read("HTTP/1.1 200 OK\r\n\r\nab", true), Ok(Some(Bytes::from("ab"))));
    assert_eq!(read("HTTP/1.1 304 Not Modified\r\n\r\n", false), Ok(Some(Bytes::new())));
}

/// A response may end with its connection at any byte; what had come until then is not given again. Found by the soak: a
/// head that was cut off ended the program.
#[test]
fn a_connection_that_ends_within_a_response_is_no_panic() {
    for whole in [
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nsec\r\n2\r\nnd\r\n0\r\n\r\n",
    ] {
        for cut in 0..whole.len() {
            let (mut reader, mut input) =
                (ResponseReader::new(LIMITS), BytesMut::from(&whole.as_bytes()[..cut]));
            assert_eq!(
                reader.next(&mut input, false, Nanos(0)).unwrap().map(http::Response::into_body),
                None
            );
            let ended = reader.next(&mut BytesMut::new(), true, Nanos(0));
            assert!(matches!(ended, Ok(None) | Err(ParseError::Truncated)), "cut at {cut}: {ended:?}");
        }
    }
}
