//! The processes of one coordinator: configuration, start, signals and log output.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};

use super::deployment::settings;
use super::registry::Registry;
use super::timeline::Timeline;
use crate::soak::fault_proxy::FaultProxy;

const CLOCK_STEP_SECONDS: i64 = 3_600; // offset of a stepped clock
const FIRST_LOOPBACK_SUBNET: u8 = 16; // second octet of the loopback address of the first coordinator
const PIPE_BYTES: usize = 64 * 1024; // default capacity of a pipe
const FAULT_RULES: &str = "accept4=ECONNABORTED@0.02;accept4=ENFILE@0.02;socket=ENOBUFS@0.05;connect=ENETUNREACH@0.02;\
                           recv=EINTR@0.05;recv=SHORT@0.05;writev=EINTR@0.05;writev=SHORT@0.05;writev=ENOBUFS@0.02;\
                           epoll_ctl=ENOMEM@0.02;epoll_wait=EINTR@0.05";

/// Settings with which all processes of a coordinator are started.
#[derive(Clone, Debug)]
pub struct LaunchSettings {
    pub program: PathBuf,
    pub folder: PathBuf,
    /// The seed of the trial.
    pub seed: u64,
    /// The library to preload, if a fault needs it.
    pub fault_library: Option<PathBuf>,
    pub log_unread: bool,
    pub clock_step: bool,
    pub system_calls: bool,
}

/// A coordinator with its successive processes.
pub struct Coordinator {
    number: usize,
    address: SocketAddr,
    launch_settings: LaunchSettings,
    relay: FaultProxy,
    discovery: FaultProxy,
    registry: Arc<Mutex<Registry>>,
    timeline: Arc<Timeline>,
    child: Option<Child>,
    /// The read end of a log pipe, kept open but never read.
    unread_log: Option<io::PipeReader>,
}

/// Chooses a loopback address unique to this trial, with a port assigned by the system. No other process binds to it, so
/// that it stays free between two processes of a coordinator.
fn reserve_address(number: usize) -> io::Result<SocketAddr> {
    let [.., third, fourth] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, FIRST_LOOPBACK_SUBNET + number as u8, third, fourth);
    TcpListener::bind((host, 0))?.local_addr()
}

impl Coordinator {
    /// Creates a coordinator that has not been started.
    pub fn new(
        number: usize,
        launch_settings: LaunchSettings,
        upstreams: (FaultProxy, FaultProxy),
        registry: Arc<Mutex<Registry>>,
        timeline: Arc<Timeline>,
    ) -> io::Result<Self> {
        let (relay, discovery) = upstreams;
        let address = reserve_address(number)?;
        Ok(Coordinator {
            number,
            address,
            launch_settings,
            relay,
            discovery,
            registry,
            timeline,
            child: None,
            unread_log: None,
        })
    }

    /// The address on which its processes listen.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The fault proxies in front of relay and discovery.
    pub fn upstreams(&self) -> [&FaultProxy; 2] {
        [&self.relay, &self.discovery]
    }

    fn path(&self, kind: &str) -> PathBuf {
        self.launch_settings.folder.join(format!("coordinator-{}.{kind}", self.number))
    }

    fn configuration(&self) -> Value {
        let servers = self.registry.lock().unwrap().last_written_list(self.number);
        let servers: Value = serde_json::from_str(&servers).unwrap_or_default();
        let seed = format!("{:016x}", 0x8c1f_30d2_7a5b_e964_u64 ^ self.process_number() as u64);
        json!({
            "name": format!("n{}", self.number), "listen": self.address.to_string(), "seed": seed,
            "discovery": self.discovery.address().to_string(),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024},
            "distributor": {"address": self.relay.address().to_string()},
            "known": servers,
            "settings": settings(self.launch_settings.seed)
        })
    }

    /// The number of the next process.
    fn process_number(&self) -> usize {
        self.timeline.processes(self.number).len()
    }

    /// Starts a process.
    pub fn start(&mut self) -> io::Result<()> {
        fs::write(self.path("json"), self.configuration().to_string())?;
        let mut command = Command::new(&self.launch_settings.program);
        command.args(["--log", "json", "node"]).arg(self.path("json"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(self.log_sink()?);
        if let Some(library) = &self.launch_settings.fault_library {
            let is_stepped = self.launch_settings.clock_step && self.process_number() > 0;
            let offset = if is_stepped { CLOCK_STEP_SECONDS } else { 0 };
            command.env("LD_PRELOAD", library).env("CRANEKNOT_WALL_OFFSET_S", offset.to_string());
            if self.launch_settings.system_calls {
                command.env("CRANEKNOT_FAULTS", FAULT_RULES);
                command.env("CRANEKNOT_FAULT_SEED", self.number.to_string());
            }
        }
        self.timeline.record_start(self.number);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// The log output of a process: a file of its own, or a full pipe without a reader.
    fn log_sink(&mut self) -> io::Result<Stdio> {
        if !self.launch_settings.log_unread {
            let path = self.path(&format!("{}.log", self.process_number()));
            return Ok(File::create(path)?.into());
        }
        let (reader, mut writer) = io::pipe()?;
        writer.write_all(&[b'\n'; PIPE_BYTES])?;
        self.unread_log = Some(reader);
        Ok(writer.into())
    }

    /// Sends a signal to the process, if there is one.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // An error means that the process has exited; its exit is judged separately.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Whether a process was started that is not known to have exited.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns the exit status once after the process has exited by itself.
    pub fn take_exit_status(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        self.timeline.record_exit(self.number);
        Some(status.to_string())
    }

    /// Kills the process if it is still running.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        if matches!(child.try_wait(), Ok(None)) {
            self.timeline.record_sigkill(self.number);
        }
        let _ = child.kill();
        let _ = child.wait();
        self.timeline.record_exit(self.number);
    }
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        self.kill();
    }
}
