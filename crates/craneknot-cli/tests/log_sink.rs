//! Processes that serve while their standard error or output is stalled, closed or full: clients are answered, and the
//! exit code is that of a sound one.

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
use serde_json::{json, Value};

mod helpers;
use helpers::peers::{listener, with_read_timeout};
use helpers::{configuration, coordinator_settings, is_answered, Node, HEARTBEAT};

const PATIENCE: Duration = Duration::from_secs(30); // a test that waits longer has failed
const KILL_AFTER: Duration = Duration::from_millis(700); // after SIGTERM the platform kills
const HEARTBEATS: usize = 15;
const REPORTS: usize = 1_000; // malformed ones with each heartbeat: more lines than any queue holds
const JOIN: &[u8] = b"{\"type\":\"telemetry\",\"locality\":\"a\"}\n";
const MALFORMED: &[u8] = b"{\"type\":\"upstream_stats\"}\n";
const FULL: &str = "/dev/full"; // no room on the device: each write fails
const O_NONBLOCK: i32 = 0o4000;

/// Writes until not a byte more fits.
fn fill(mut sink: impl Write) {
    loop {
        match sink.write(b"\n") {
            Ok(_) => {}
            Err(cause) if cause.kind() == ErrorKind::WouldBlock => return,
            Err(cause) => panic!("{cause}"),
        }
    }
}

/// A pipe that has no room. It is filled by an open file of its own: the writer's stays blocking.
fn full_pipe() -> (PipeReader, PipeWriter) {
    let (reader, writer) = pipe().unwrap();
    let path = format!("/proc/self/fd/{}", writer.as_raw_fd());
    fill(OpenOptions::new().write(true).custom_flags(O_NONBLOCK).open(path).unwrap());
    (reader, writer)
}

/// A stream whose writing end does not block and has no room.
fn full_stream() -> (UnixStream, UnixStream) {
    let (reader, writer) = UnixStream::pair().unwrap();
    writer.set_nonblocking(true).unwrap();
    fill(&writer);
    (reader, writer)
}

fn full_device() -> File {
    OpenOptions::new().write(true).open(FULL).unwrap()
}

/// The lines that come from now on, empty ones left out, each read as JSON.
fn lines(reader: impl Read + Send + 'static) -> Receiver<Value> {
    let (tell, told) = channel();
    std::thread::spawn(move || {
        let lines = BufReader::new(reader).lines().map_while(Result::ok).filter(|line| !line.is_empty());
        for line in lines {
            let line = serde_json::from_str(&line).unwrap_or_else(|cause| panic!("{cause}: {line}"));
            if tell.send(line).is_err() {
                return;
            }
        }
    });
    told
}

fn message(line: &Value) -> &str {
    line.pointer("/fields/message").and_then(Value::as_str).unwrap_or_default()
}

/// The next line that this is true of.
fn find(lines: &Receiver<Value>, is_wanted: impl Fn(&Value) -> bool) -> Value {
    let until = Instant::now() + PATIENCE;
    loop {
        let line = lines.recv_timeout(until.saturating_duration_since(Instant::now()));
        let line = line.expect("the line comes");
        if is_wanted(&line) {
            return line;
        }
    }
}

fn craneknot(arguments: &[&str], file: &Path, error: impl Into<Stdio>) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_craneknot"));
    command.args(["--log", "json", "--level", "debug"]).args(arguments).arg(file);
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(error);
    command.spawn().unwrap()
}

/// A coordinator on the platform whose standard error is this, once it takes connections.
fn start(folder: &Path, error: impl Into<Stdio>) -> Node {
    let (reserved, address) = reserve(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let relay = listener();
    let mut value = configuration(relay.local_addr().unwrap());
    value["listen"] = address.to_string().into();
    let file = folder.join("config.json");
    std::fs::write(&file, value.to_string()).unwrap();
    let mut node = Node { child: craneknot(&["node"], &file, error), address, log: Default::default() };
    let until = Instant::now() + PATIENCE;
    while TcpStream::connect(address).is_err() {
        assert_eq!(node.child.try_wait().unwrap(), None, "it has started");
        assert!(Instant::now() < until, "it listens");
        std::thread::yield_now();
    }
    drop(reserved);
    node
}

/// Sends reports that are logged, each lot with a heartbeat; how many of these were answered.
fn answered(node: &Node) -> usize {
    let mut collector = node.dial();
    collector.write_all(JOIN).unwrap();
    let reports = MALFORMED.repeat(REPORTS);
    let is_answered = |_: &usize| {
        collector.write_all(&reports).unwrap();
        collector.write_all(HEARTBEAT).unwrap();
        is_answered(&mut collector)
    };
    (0..HEARTBEATS).take_while(is_answered).count()
}

/// How it ends within this time; none: it does not.
fn end_within(child: &mut Child, most: Duration) -> Option<i32> {
    let until = Instant::now() + most;
    while Instant::now() < until {
        if let Some(status) = child.try_wait().unwrap() {
            return Some(status.code().expect("it was not killed by a signal"));
        }
        std::thread::yield_now();
    }
    None
}

/// The exit code of one that is asked to end, and to hurry.
fn end(node: &mut Node) -> Option<i32> {
    node.signal(Signal::TERM);
    node.signal(Signal::INT);
    end_within(&mut node.child, KILL_AFTER)
}

fn dropped(line: &Value) -> u64 {
    line.pointer("/fields/log_lines_dropped").and_then(Value::as_u64).unwrap_or_default()
}

#[test]
fn heartbeats_are_answered_while_nobody_reads_a_full_log_pipe() {
    let folder = tempfile::tempdir().unwrap();
    let (_reader, writer) = full_pipe();
    let mut node = start(folder.path(), writer);
    assert_eq!(answered(&node), HEARTBEATS);
    assert_eq!(end(&mut node), Some(0));
}

#[test]
fn heartbeats_are_answered_after_the_reader_of_the_log_is_gone() {
    let folder = tempfile::tempdir().unwrap();
    let (reader, writer) = pipe().unwrap();
    let mut node = start(folder.path(), writer);
    let mut log = BufReader::new(reader);
    log.read_line(&mut String::new()).unwrap();
    drop(log);
    assert_eq!(answered(&node), HEARTBEATS);
    assert_eq!(end(&mut node), Some(0));
}

#[test]
fn heartbeats_are_answered_while_the_log_has_no_room_on_its_device() {
    let folder = tempfile::tempdir().unwrap();
    let mut node = start(folder.path(), full_device());
    assert_eq!(answered(&node), HEARTBEATS);
    assert_eq!(end(&mut node), Some(0));
}

#[test]
fn heartbeats_are_answered_while_a_log_that_does_not_block_refuses_writes() {
    let folder = tempfile::tempdir().unwrap();
    let (_reader, writer) = full_stream();
    let mut node = start(folder.path(), OwnedFd::from(writer));
    assert_eq!(answered(&node), HEARTBEATS);
    assert_eq!(end(&mut node), Some(0));
}

/// Whole lines appear again, and both the log and the status tell how many were dropped.
fn lines_appear_again(node: &mut Node, reader: impl Read + Send + 'static) {
    assert_eq!(answered(node), HEARTBEATS);
    let log = lines(reader);
    find(&log, |line| message(line) == "log lines were dropped" && dropped(line) > 0);
    find(&log, |line| message(line) == "status of input" && dropped(line) > 0);
    assert_eq!(end(node), Some(0));
    find(&log, |line| message(line).starts_with("ended with"));
}

#[test]
fn a_log_pipe_that_is_read_again_gets_whole_lines_and_the_count_of_those_dropped() {
    let folder = tempfile::tempdir().unwrap();
    let (reader, writer) = full_pipe();
    let mut node = start(folder.path(), writer);
    lines_appear_again(&mut node, reader);
}

#[test]
fn a_log_that_does_not_block_and_is_read_again_gets_whole_lines_and_the_count_of_those_dropped() {
    let folder = tempfile::tempdir().unwrap();
    let (reader, writer) = full_stream();
    let mut node = start(folder.path(), OwnedFd::from(writer));
    lines_appear_again(&mut node, reader);
}

#[test]
fn a_start_that_fails_keeps_its_exit_code_whatever_takes_its_error() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    std::fs::write(&file, "{").unwrap();
    for serve in ["node", "run", "agent"] {
        let (_stalled, full) = full_pipe();
        let (gone, closed) = pipe().unwrap();
        drop(gone);
        let sinks: [(&str, Stdio); 3] =
            [("full pipe", full.into()), ("closed pipe", closed.into()), (FULL, full_device().into())];
        for (name, sink) in sinks {
            let mut child = craneknot(&[serve], &file, sink);
            assert_eq!(end_within(&mut child, PATIENCE), Some(3), "{serve}, {name}");
        }
    }
}

/// The answer to a request for what does not stand there.
fn is_served(address: SocketAddr) -> bool {
    let mut stream = with_read_timeout(TcpStream::connect(address).unwrap());
    stream.write_all(b"GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).is_ok() && &answer == b"HTTP/1.1 404"
}

/// Starts it with these settings, and waits until it tells its address.
fn serving(serve: &str, folder: &Path, settings: &Value, error: Stdio) -> Node {
    let (file, ready) = (folder.join("settings.json"), folder.join("ready.json"));
    std::fs::write(&file, settings.to_string()).unwrap();
    std::fs::write(folder.join("servers.json"), "{\"version\": 1, \"servers\": []}").unwrap();
    let child = craneknot(&[serve], &file, error);
    let mut node = Node { child, address: SocketAddr::from(([127, 0, 0, 1], 0)), log: Default::default() };
    let until = Instant::now() + PATIENCE;
    while !ready.exists() {
        assert!(Instant::now() < until, "{serve} is ready");
        std::thread::yield_now();
    }
    let ready: Value = serde_json::from_slice(&std::fs::read(ready).unwrap()).unwrap();
    node.address = ready["address"].as_str().unwrap().parse().unwrap();
    node
}

/// Starts it, asks it something, and ends it; its exit code.
fn serve(serve: &str, settings: &Value, error: Stdio) -> Option<i32> {
    let folder = tempfile::tempdir().unwrap();
    let mut node = serving(serve, folder.path(), settings, error);
    assert!(is_served(node.address), "{serve}");
    node.signal(Signal::TERM);
    end_within(&mut node.child, PATIENCE)
}

fn agent_settings() -> Value {
    json!({
        "nodes": [{"id": "proxy", "zone": "north", "folder": "proxy"}], "coordinators": ["127.0.0.1:1"],
        "listen": "127.0.0.1:0", "ready_file": "ready.json", "redial_least": "1ms", "redial_most": "1ms", "seed": 3
    })
}

#[test]
fn a_coordinator_and_an_agent_serve_whatever_takes_their_log() {
    for (name, settings) in [("run", coordinator_settings()), ("agent", agent_settings())] {
        let (_stalled, full) = full_pipe();
        let (gone, closed) = pipe().unwrap();
        drop(gone);
        for sink in [full.into(), closed.into(), full_device().into()] {
            assert_eq!(serve(name, &settings, sink), Some(0), "{name}");
        }
    }
}

#[test]
fn a_coordinators_status_tells_how_many_log_lines_were_dropped() {
    let folder = tempfile::tempdir().unwrap();
    let mut node = serving("run", folder.path(), &coordinator_settings(), full_device().into());
    let within = Timeouts { connect: PATIENCE, read: PATIENCE };
    let until = Instant::now() + PATIENCE;
    while fetch_json(node.address, "/status", within).unwrap()["log_lines_dropped"].as_u64().unwrap() == 0 {
        assert!(Instant::now() < until, "the first line is dropped");
    }
    let mut command = Command::new(env!("CARGO_BIN_EXE_craneknot"));
    let told = command.arg("status").arg(node.address.to_string()).output().unwrap();
    assert!(String::from_utf8_lossy(&told.stdout).contains("log lines dropped"));
    node.signal(Signal::TERM);
    assert_eq!(end_within(&mut node.child, PATIENCE), Some(0));
}

#[test]
fn an_output_that_is_closed_or_full_changes_no_exit_code() {
    let (gone, closed) = pipe().unwrap();
    drop(gone);
    for output in [Stdio::from(closed), full_device().into()] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_craneknot"));
        let mut child = command.arg("schema").stdout(output).stderr(Stdio::null()).spawn().unwrap();
        assert_eq!(end_within(&mut child, PATIENCE), Some(0));
    }
}
