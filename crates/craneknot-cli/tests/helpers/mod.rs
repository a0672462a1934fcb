//! Runs `craneknot node` as a real process, with heartbeats and signals.
#![allow(dead_code)] // each test program uses a part of it

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};

#[path = "../../../craneknot-node/tests/helpers/peers.rs"]
pub mod peers;
use peers::with_read_timeout;

/// For waiting: a test that takes longer has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
pub const HEARTBEAT: &[u8] = b"{\"type\":\"hb\"}\n";
pub const HEARTBEAT_ANSWER: &[u8] = b"{\"type\":\"hb_ok\"}\n";

/// A coordinator process, killed on drop.
pub struct Node {
    pub child: Child,
    pub address: SocketAddr,
    /// Lines logged since the process started to listen.
    pub log: Arc<Mutex<Vec<String>>>,
}

impl Node {
    pub fn start(folder: &Path, value: &Value) -> Self {
        Self::start_with(folder, value, &[])
    }

    /// Starts the process with additional environment variables.
    pub fn start_with(folder: &Path, value: &Value, variables: &[(&str, &str)]) -> Self {
        let file = folder.join("config.json");
        std::fs::write(&file, value.to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_craneknot"));
        command.args(["--log", "json", "node"]).arg(&file).stdout(Stdio::null()).stderr(Stdio::piped());
        command.envs(variables.iter().copied());
        let mut child = command.spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
        let address = log.by_ref().find_map(|line| {
            let line: Value = serde_json::from_str(&line.unwrap()).unwrap();
            line.pointer("/fields/address").and_then(Value::as_str).map(|address| address.parse().unwrap())
        });
        // Later log lines are read as well, since a full pipe would stop the log.
        let logged: Arc<Mutex<Vec<String>>> = Arc::default();
        let logged_by_thread = logged.clone();
        std::thread::spawn(move || {
            log.map_while(Result::ok).for_each(|line| logged_by_thread.lock().unwrap().push(line))
        });
        Node { child, address: address.expect("the process logs its address"), log: logged }
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    pub fn connect(&self) -> TcpStream {
        with_read_timeout(TcpStream::connect(self.address).unwrap())
    }

    /// Connects a client whose first heartbeat has been answered.
    pub fn answered_client(&self) -> TcpStream {
        let mut client = self.connect();
        client.write_all(HEARTBEAT).unwrap();
        assert!(is_answered(&mut client));
        client
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Whether the next bytes that a client receives are the answer to its heartbeat.
pub fn is_answered(client: &mut TcpStream) -> bool {
    let mut answer = vec![0; HEARTBEAT_ANSWER.len()];
    client.read_exact(&mut answer).is_ok() && answer == HEARTBEAT_ANSWER
}

/// Path of the library that makes system calls fail, which the workspace builds next to the program.
pub fn fault_library() -> PathBuf {
    let library = Path::new(env!("CARGO_BIN_EXE_craneknot")).with_file_name("libcraneknot_fault_shim.so");
    assert!(library.exists(), "{} is missing: build the workspace first", library.display());
    library
}

pub fn configuration(relay: SocketAddr) -> Value {
    let text = include_str!("../../../craneknot-platform/tests/configuration.json");
    let mut value: Value = serde_json::from_str(text).unwrap();
    value["listen"] = "127.0.0.1:0".into();
    value["discovery"] = "127.0.0.1:1".into();
    value["distributor"]["address"] = relay.to_string().into();
    let server = |index: usize| {
        json!({"id": format!("s-{index}"), "host_port": format!("127.0.0.1:{}", 9_000 + index), "locality": "a",
               "flavor": "m2", "phase": "SERVING"})
    };
    value["known"]["members"] = (0..6).map(server).collect();
    value
}

/// Settings of `craneknot run`, which writes its address to `ready.json`.
pub fn coordinator_settings() -> Value {
    json!({
        "name": "tested", "listen": "127.0.0.1:0", "ready_file": "ready.json", "seed": 1,
        "fleet": {
            "zones": ["north"], "coordinators": 1, "proxies": 4, "levels": "rate",
            "classes": [
                {"name": "read", "latency_goal": "1s", "hard_stop": "3s", "importance": 1, "repeats": "safe"}
            ]
        },
        "rules": {
            "drain_grace": "2s", "cold_share": 0.2, "warm_after": "10s", "fall_multiple": 3, "fall_window": "2s",
            "bare_limit": "2s"
        },
        "channel": {"lines_per_second": 10000, "lines_limit": 20000, "lines_per_message": 3},
        "roster": {"file": "servers.json"},
        "report_period": "100ms",
        "probes": {"enabled": false, "time_out": "300ms"}
    })
}

/// Settings of `craneknot agent`, which writes its address to `ready.json` and reaches no coordinator.
pub fn agent_settings() -> Value {
    json!({
        "nodes": [{"id": "proxy", "zone": "north", "folder": "proxy"}], "coordinators": ["127.0.0.1:1"],
        "listen": "127.0.0.1:0", "ready_file": "ready.json", "redial_least": "1ms", "redial_most": "1ms", "seed": 3
    })
}

pub fn spawn_craneknot(arguments: &[&str], file: &Path, error: impl Into<Stdio>) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_craneknot"));
    command.args(["--log", "json", "--level", "debug"]).args(arguments).arg(file);
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(error);
    command.spawn().unwrap()
}

/// Starts a service with these settings, and waits until it writes its address.
pub fn start_service(subcommand: &str, folder: &Path, settings: &Value, error: Stdio) -> Node {
    let (file, ready) = (folder.join("settings.json"), folder.join("ready.json"));
    std::fs::write(&file, settings.to_string()).unwrap();
    std::fs::write(folder.join("servers.json"), "{\"version\": 1, \"servers\": []}").unwrap();
    let child = spawn_craneknot(&[subcommand], &file, error);
    let mut node = Node { child, address: SocketAddr::from(([127, 0, 0, 1], 0)), log: Default::default() };
    let until = Instant::now() + TEST_TIMEOUT;
    while !ready.exists() {
        assert!(Instant::now() < until, "timed out waiting for {subcommand} to be ready");
        std::thread::yield_now();
    }
    let ready: Value = serde_json::from_slice(&std::fs::read(ready).unwrap()).unwrap();
    node.address = ready["address"].as_str().unwrap().parse().unwrap();
    node
}
