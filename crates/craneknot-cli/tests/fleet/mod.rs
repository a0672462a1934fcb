//! Runs a coordinator on a separate thread, for tests that send it requests directly.

#![allow(dead_code)]

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use craneknot_coordinator::shell::Shell;
use craneknot_reactor::SteadyClock;
use craneknot_settings::{parse, CoordinatorSettings};
use craneknot_store::{replace, RealDisk};
use serde_json::{json, Value};

pub struct Coordinator {
    pub address: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// Settings of a shared fleet whose only member is this coordinator, with the given store.
pub fn shared_settings(store: &str) -> CoordinatorSettings {
    let mut settings = settings();
    let members = json!([{"name": "tested", "datagrams": "127.0.0.1:9"}]);
    let shared = json!({"members": members, "datagrams": "127.0.0.1:0", "store": store, "lease": "200ms"});
    settings.shared = Some(serde_json::from_value(shared).unwrap());
    settings
}

pub fn settings() -> CoordinatorSettings {
    let text = json!({
        "name": "tested", "listen": "127.0.0.1:0", "ready_file": "ready.json", "seed": 1,
        "fleet": {
            "zones": ["north"], "coordinators": 1, "proxies": 4, "levels": "rate",
            "classes": [
                {"name": "read", "latency_goal": "1s", "hard_stop": "3s", "importance": 1, "repeats": "safe"},
                {"name": "issue", "latency_goal": "1s", "hard_stop": "3s", "importance": 3, "repeats": "never"}
            ]
        },
        "rules": {
            "drain_grace": "2s", "cold_share": 0.2, "warm_after": "10s", "fall_multiple": 3, "fall_window": "2s",
            "bare_limit": "2s"
        },
        "channel": {"lines_per_second": 10000, "lines_limit": 20000, "lines_per_message": 3},
        "roster": {"file": "servers.json", "remembered": "kept.json"},
        "report_period": "100ms",
        "probes": {"enabled": false, "time_out": "300ms"},
        "streams": {"request_within": "400ms", "stuck_after": "600ms", "connections": 200}
    });
    parse(Path::new("test"), text.to_string().as_bytes()).unwrap()
}

/// Replaces the server list atomically by one with these ports.
pub fn write_server_list(folder: &Path, version: u64, ports: &[u16]) {
    let server = |port: &u16| json!({"address": format!("127.0.0.1:{port}"), "zone": "north", "state": "up"});
    let text = json!({"version": version, "servers": ports.iter().map(server).collect::<Vec<Value>>()});
    replace(&RealDisk { sync: false }, &folder.join("servers.json"), text.to_string().as_bytes()).unwrap();
}

impl Coordinator {
    pub fn start(folder: &Path) -> Self {
        Self::start_as(settings(), folder)
    }

    pub fn start_as(settings: CoordinatorSettings, folder: &Path) -> Self {
        let mut shell = Shell::new(settings, folder, Arc::new(SteadyClock::new())).unwrap();
        let ready: Value = serde_json::from_slice(&fs::read(folder.join("ready.json")).unwrap()).unwrap();
        let address = ready["address"].as_str().unwrap().parse().unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let should_stop = stop.clone();
        let thread = std::thread::spawn(move || {
            while !should_stop.load(Ordering::SeqCst) {
                shell.run_once().unwrap();
            }
        });
        Coordinator { address, stop, thread: Some(thread) }
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        stream
    }

    pub fn status(&self) -> Value {
        let answer = send_and_read(self.connect(), b"GET /status HTTP/1.1\r\nconnection: close\r\n\r\n");
        serde_json::from_str(answer.split_once("\r\n\r\n").unwrap().1).unwrap()
    }
}

/// Sends the bytes, then reads until the coordinator closes the connection.
pub fn send_and_read(mut stream: TcpStream, bytes: &[u8]) -> String {
    // The coordinator may close the connection before all is written. Only its answer matters.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        let result = self.thread.take().unwrap().join();
        if !std::thread::panicking() {
            result.unwrap();
        }
    }
}
