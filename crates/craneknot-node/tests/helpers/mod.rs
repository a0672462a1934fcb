//! What the tests of this package share.
#![allow(dead_code)] // each test program takes its part of it

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use craneknot::interface::Nanos;
use craneknot_platform::config::Config;
use serde_json::{json, Value};

pub const ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 6400);
pub const OTHER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 6401);

pub fn ms(at: u64) -> Nanos {
    Nanos::from_millis(at)
}

/// A configuration with so many servers known, that listens on a port of the system's choice.
pub fn configuration(servers: usize) -> Value {
    let server = |k: usize| {
        json!({"id": format!("s-{k}"), "host_port": format!("127.0.0.1:{}", 9_000 + k), "cell": k / 3,
               "locality": if k.is_multiple_of(2) { "a" } else { "b" }, "flavor": "m2", "phase": "SERVING",
               "size": 1.0, "up_since_ms": 0})
    };
    let class = |name: &str, semantics: &str| json!({"name": name, "aim": 1.2, "deadline": 3.0, "worth": 2.0, "semantics": semantics});
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "5",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "distributor": {"address": ADDRESS.to_string()},
        "known": {"revision": 41, "complete": true, "members": (0..servers).map(server).collect::<Vec<_>>()},
        "settings": {
            "localities": ["a", "b"], "kinds": ["m2"], "balancers": 2, "registry-mode": "on_request",
            "reporting": {"how": "answers", "names": ["busy", "rif", "lat_ms"]},
            "profiles": [class("lookup", "free"), class("issue", "single_shot")],
            "caps": {"probing": true},
            "rules": {"ask-within": 10.0, "cold-share": 0.2, "fall": 3.0, "fall-multiple": 3.0,
                      "ramp-time": 18.0, "stop-sending-within": 2.7},
            "extra": {"data-plane-size": 150, "bare": 2.8, "admission": "rps", "egress-per-s": 14800.0,
                      "queue-cap": 29600.0, "envelope": 3.0, "update-cap": 0, "reload-span": 10.0,
                      "interval": 0.5, "slices": 0, "home-only": [false, false]}
        }
    })
}

pub fn config() -> Config {
    Config::read(configuration(6).to_string().as_bytes()).unwrap()
}
