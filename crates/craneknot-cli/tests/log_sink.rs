//! Services whose standard error or output is stalled, closed or full: clients are answered, and the exit code is the same
//! as with a working one.

use std::fs::{File, OpenOptions};
use std::io::{pipe, BufRead, BufReader, ErrorKind, PipeReader, PipeWriter, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, OwnedFd};
use std::os::unix::fs::OpenOptionsExt;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

use craneknot_coordinator::status_client::{fetch_json, Timeouts};
use craneknot_reactor::reserve;
use rustix::process::Signal;
use serde_json::Value;

mod helpers;
use helpers::peers::{listener, with_read_timeout};
use helpers::{
    agent_settings, configuration, coordinator_settings, is_answered, spawn_craneknot, start_service, Node,
    HEARTBEAT, TEST_TIMEOUT,
};

const KILL_AFTER: Duration = Duration::from_millis(700); // from SIGTERM to the kill by the platform
const HEARTBEATS: usize = 15;
const REPORTS: usize = 1_000; // malformed reports per heartbeat: more log lines than any queue holds
const JOIN: &[u8] = b"{\"type\":\"telemetry\",\"locality\":\"a\"}\n";
const MALFORMED: &[u8] = b"{\"type\":\"upstream_stats\"}\n";
const FULL: &str = "/dev/full"; // each write fails, as on a device without space
const O_NONBLOCK: i32 = 0o4000;

/// Writes until no further byte fits.
fn fill(mut sink: impl Write) {
    loop {
        match sink.write(b"\n") {
            Ok(_) => {}
            Err(cause) if cause.kind() == ErrorKind::WouldBlock => return,
            Err(cause) => panic!("{cause}"),
        }
    }
}

/// A full pipe. It is filled through a separate open file, so that the returned writer stays blocking.
fn full_pipe() -> (PipeReader, PipeWriter) {
    let (reader, writer) = pipe().unwrap();
    let path = format!("/proc/self/fd/{}", writer.as_raw_fd());
    fill(OpenOptions::new().write(true).custom_flags(O_NONBLOCK).open(path).unwrap());
    (reader, writer)
}

/// A full stream whose writing end is non-blocking.
fn full_stream() -> (UnixStream, UnixStream) {
    let (reader, writer) = UnixStream::pair().unwrap();
    writer.set_nonblocking(true).unwrap();
    fill(&writer);
    (reader, writer)
}

fn full_device() -> File {
    OpenOptions::new().write(true).open(FULL).unwrap()
}

/// Parses each line from now on as JSON, without the empty ones.
fn read_lines(reader: impl Read + Send + 'static) -> Receiver<Value> {
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        let lines = BufReader::new(reader).lines().map_while(Result::ok).filter(|line| !line.is_empty());
        for line in lines {
            let line = serde_json::from_str(&line).unwrap_or_else(|cause| panic!("{cause}: {line}"));
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    receiver
}

fn message(line: &Value) -> &str {
    line.pointer("/fields/message").and_then(Value::as_str).unwrap_or_default()
}

/// Waits for the next line for which the condition holds.
fn wait_for_line(lines: &Receiver<Value>, is_wanted: impl Fn(&Value) -> bool) -> Value {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        let line = lines.recv_timeout(until.saturating_duration_since(Instant::now()));
        let line = line.expect("the line is logged");
        if is_wanted(&line) {
            return line;
        }
    }
}

/// Starts a coordinator of the platform with this standard error, and waits until it accepts connections.
fn start(folder: &Path, error: impl Into<Stdio>) -> Node {
    let (reserved, address) = reserve(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let relay = listener();
    let mut value = configuration(relay.local_addr().unwrap());
    value["listen"] = address.to_string().into();
    let file = folder.join("config.json");
    std::fs::write(&file, value.to_string()).unwrap();
    let mut node = Node { child: spawn_craneknot(&["node"], &file, error), address, log: Default::default() };
    let until = Instant::now() + TEST_TIMEOUT;
    while TcpStream::connect(address).is_err() {
        assert_eq!(node.child.try_wait().unwrap(), None, "the process exited during the start");
        assert!(Instant::now() < until, "timed out waiting for the listener");
        std::thread::yield_now();
    }
    drop(reserved);
    node
}

/// Sends batches of reports that are logged, a heartbeat after each. Returns the number of answered heartbeats.
fn count_answered(node: &Node) -> usize {
    let mut collector = node.connect();
    collector.write_all(JOIN).unwrap();
    let reports = MALFORMED.repeat(REPORTS);
    let is_answered = |_: &usize| {
        collector.write_all(&reports).unwrap();
        collector.write_all(HEARTBEAT).unwrap();
        is_answered(&mut collector)
    };
    (0..HEARTBEATS).take_while(is_answered).count()
}

/// Returns the exit code, or none if the process does not exit within this time.
fn wait_for_exit(child: &mut Child, timeout: Duration) -> Option<i32> {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        if let Some(status) = child.try_wait().unwrap() {
            return Some(status.code().expect("the process was not killed by a signal"));
        }
        std::thread::yield_now();
    }
    None
}

/// Asks the process to shut down at once, by two signals, and returns its exit code.
fn stop(node: &mut Node) -> Option<i32> {
    node.signal(Signal::TERM);
    node.signal(Signal::INT);
    wait_for_exit(&mut node.child, KILL_AFTER)
}

fn dropped_count(line: &Value) -> u64 {
    line.pointer("/fields/log_lines_dropped").and_then(Value::as_u64).unwrap_or_default()
}

#[test]
fn heartbeats_are_answered_while_a_full_log_pipe_is_not_read() {
    let folder = tempfile::tempdir().unwrap();
    let (_reader, writer) = full_pipe();
    let mut node = start(folder.path(), writer);
    assert_eq!(count_answered(&node), HEARTBEATS);
    assert_eq!(stop(&mut node), Some(0));
}

#[test]
fn heartbeats_are_answered_after_the_log_pipe_is_closed() {
    let folder = tempfile::tempdir().unwrap();
    let (reader, writer) = pipe().unwrap();
    let mut node = start(folder.path(), writer);
    let mut log = BufReader::new(reader);
    log.read_line(&mut String::new()).unwrap();
    drop(log);
    assert_eq!(count_answered(&node), HEARTBEATS);
    assert_eq!(stop(&mut node), Some(0));
}

#[test]
fn heartbeats_are_answered_while_the_log_device_is_full() {
    let folder = tempfile::tempdir().unwrap();
    let mut node = start(folder.path(), full_device());
    assert_eq!(count_answered(&node), HEARTBEATS);
    assert_eq!(stop(&mut node), Some(0));
}

#[test]
fn heartbeats_are_answered_while_writes_to_a_non_blocking_log_fail() {
    let folder = tempfile::tempdir().unwrap();
    let (_reader, writer) = full_stream();
    let mut node = start(folder.path(), OwnedFd::from(writer));
    assert_eq!(count_answered(&node), HEARTBEATS);
    assert_eq!(stop(&mut node), Some(0));
}

/// Requires that complete lines appear again, and that both the log and the status report the number of dropped lines.
fn assert_lines_resume(node: &mut Node, reader: impl Read + Send + 'static) {
    assert_eq!(count_answered(node), HEARTBEATS);
    let log = read_lines(reader);
    wait_for_line(&log, |line| message(line) == "log lines were dropped" && dropped_count(line) > 0);
    wait_for_line(&log, |line| message(line) == "status of input" && dropped_count(line) > 0);
    assert_eq!(stop(node), Some(0));
    wait_for_line(&log, |line| message(line).starts_with("ended with"));
}

#[test]
fn a_log_pipe_that_is_read_again_gets_complete_lines_and_the_dropped_count() {
    let folder = tempfile::tempdir().unwrap();
    let (reader, writer) = full_pipe();
    let mut node = start(folder.path(), writer);
    assert_lines_resume(&mut node, reader);
}

#[test]
fn a_non_blocking_log_that_is_read_again_gets_complete_lines_and_the_dropped_count() {
    let folder = tempfile::tempdir().unwrap();
    let (reader, writer) = full_stream();
    let mut node = start(folder.path(), OwnedFd::from(writer));
    assert_lines_resume(&mut node, reader);
}

#[test]
fn a_failed_start_keeps_its_exit_code_with_any_standard_error() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    std::fs::write(&file, "{").unwrap();
    for subcommand in ["node", "run", "agent"] {
        let (_stalled, full) = full_pipe();
        let (reader, closed) = pipe().unwrap();
        drop(reader);
        let sinks: [(&str, Stdio); 3] =
            [("full pipe", full.into()), ("closed pipe", closed.into()), (FULL, full_device().into())];
        for (name, sink) in sinks {
            let mut child = spawn_craneknot(&[subcommand], &file, sink);
            assert_eq!(wait_for_exit(&mut child, TEST_TIMEOUT), Some(3), "{subcommand}, {name}");
        }
    }
}

/// Whether a request for an unknown path is answered.
fn is_request_answered(address: SocketAddr) -> bool {
    let mut stream = with_read_timeout(TcpStream::connect(address).unwrap());
    stream.write_all(b"GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).is_ok() && &answer == b"HTTP/1.1 404"
}

/// Starts a service, sends it a request, stops it, and returns its exit code.
fn run_service(subcommand: &str, settings: &Value, error: Stdio) -> Option<i32> {
    let folder = tempfile::tempdir().unwrap();
    let mut node = start_service(subcommand, folder.path(), settings, error);
    assert!(is_request_answered(node.address), "{subcommand}");
    node.signal(Signal::TERM);
    wait_for_exit(&mut node.child, TEST_TIMEOUT)
}

#[test]
fn a_coordinator_and_an_agent_serve_with_any_log_sink() {
    for (name, settings) in [("run", coordinator_settings()), ("agent", agent_settings())] {
        let (_stalled, full) = full_pipe();
        let (reader, closed) = pipe().unwrap();
        drop(reader);
        for sink in [full.into(), closed.into(), full_device().into()] {
            assert_eq!(run_service(name, &settings, sink), Some(0), "{name}");
        }
    }
}

#[test]
fn a_coordinators_status_reports_the_number_of_dropped_log_lines() {
    let folder = tempfile::tempdir().unwrap();
    let mut node = start_service("run", folder.path(), &coordinator_settings(), full_device().into());
    let within = Timeouts { connect: TEST_TIMEOUT, read: TEST_TIMEOUT };
    let until = Instant::now() + TEST_TIMEOUT;
    while fetch_json(node.address, "/status", within).unwrap()["log_lines_dropped"].as_u64().unwrap() == 0 {
        assert!(Instant::now() < until, "timed out waiting for a dropped line");
    }
    let mut command = Command::new(env!("CARGO_BIN_EXE_craneknot"));
    let output = command.arg("status").arg(node.address.to_string()).output().unwrap();
    assert!(String::from_utf8_lossy(&output.stdout).contains("log lines dropped"));
    node.signal(Signal::TERM);
    assert_eq!(wait_for_exit(&mut node.child, TEST_TIMEOUT), Some(0));
}

#[test]
fn a_closed_or_full_output_does_not_change_the_exit_code() {
    let (reader, closed) = pipe().unwrap();
    drop(reader);
    for output in [Stdio::from(closed), full_device().into()] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_craneknot"));
        let mut child = command.arg("schema").stdout(output).stderr(Stdio::null()).spawn().unwrap();
        assert_eq!(wait_for_exit(&mut child, TEST_TIMEOUT), Some(0));
    }
}
