//! Files that a running service reads again: one whose reading would block must not delay clients.

use std::io::{pipe, PipeWriter, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::fs::symlink;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::Value;

mod helpers;
use helpers::peers::{listener, with_read_timeout};
use helpers::{configuration, coordinator_settings, is_answered, Node, HEARTBEAT};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Replaces a file by a pipe; a read of it blocks until the writer is dropped.
fn replace_by_pipe(file: &Path) -> (std::io::PipeReader, PipeWriter) {
    let (reader, writer) = pipe().unwrap();
    std::fs::remove_file(file).unwrap();
    symlink(format!("/proc/{}/fd/{}", std::process::id(), reader.as_raw_fd()), file).unwrap();
    (reader, writer)
}

#[test]
fn a_pipe_in_place_of_the_configuration_delays_no_heartbeat() {
    let (folder, relay) = (tempfile::tempdir().unwrap(), listener());
    let mut node = Node::start(folder.path(), &configuration(relay.local_addr().unwrap()));
    let mut client = node.answered_client();
    let _pipe = replace_by_pipe(&folder.path().join("config.json"));
    node.signal(Signal::HUP);
    // The signal is handled before or after the first of these, so that the second one is affected by it.
    for _ in 0..2 {
        let log = node.log.clone();
        client.write_all(HEARTBEAT).unwrap();
        assert!(is_answered(&mut client), "{:?}", log.lock().unwrap());
    }
    let until = Instant::now() + TEST_TIMEOUT;
    let is_rejection = |line: &String| line.contains("configuration is invalid") && line.contains("regular");
    while !node.log.lock().unwrap().iter().any(is_rejection) {
        assert!(Instant::now() < until, "{:?}", node.log.lock().unwrap());
        client.write_all(HEARTBEAT).unwrap();
        assert!(is_answered(&mut client));
    }
    node.signal(Signal::TERM);
    node.signal(Signal::INT);
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

fn is_healthy(address: SocketAddr) -> bool {
    let mut stream = with_read_timeout(TcpStream::connect(address).unwrap());
    stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).is_ok() && &answer == b"HTTP/1.1 200"
}

#[test]
fn a_pipe_in_place_of_settings_or_list_delays_no_answer_of_a_coordinator() {
    for replaced in ["settings.json", "servers.json"] {
        let folder = tempfile::tempdir().unwrap();
        let (file, ready) = (folder.path().join("settings.json"), folder.path().join("ready.json"));
        std::fs::write(&file, coordinator_settings().to_string()).unwrap();
        std::fs::write(folder.path().join("servers.json"), "{\"version\": 1, \"servers\": []}").unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_craneknot"));
        command.args(["--log", "json", "run"]).arg(&file).stdout(Stdio::null()).stderr(Stdio::null());
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut node = Node { child: command.spawn().unwrap(), address, log: Default::default() };
        let until = Instant::now() + TEST_TIMEOUT;
        while !ready.exists() {
            assert!(Instant::now() < until, "timed out waiting for the coordinator to be ready");
            std::thread::yield_now();
        }
        let ready: Value = serde_json::from_slice(&std::fs::read(ready).unwrap()).unwrap();
        node.address = ready["address"].as_str().unwrap().parse().unwrap();
        assert!(is_healthy(node.address));
        let _pipe = replace_by_pipe(&folder.path().join(replaced));
        node.signal(Signal::HUP);
        // The signal is handled before or after the first of these, so that the second one is affected by it.
        assert!(is_healthy(node.address) && is_healthy(node.address), "{replaced}");
        node.signal(Signal::TERM);
        assert_eq!(node.child.wait().unwrap().code(), Some(0), "{replaced}");
    }
}
