//! What the tests of this package share.
#![allow(dead_code)] // each test program takes its part of it

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use craneknot::interface::{Nanos, Order, ProxyId};
use craneknot_node::link::{LinkAction, LinkId};
use craneknot_node::order_queue::EncodedOrder;
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
    let whole = include_str!("../../../craneknot-platform/tests/configuration.json");
    let mut value: Value = serde_json::from_str(whole).unwrap();
    value["listen"] = "127.0.0.1:0".into();
    value["discovery"] = "127.0.0.1:1".into();
    value["distributor"]["address"] = ADDRESS.to_string().into();
    value["known"]["members"] = (0..servers).map(server).collect();
    value
}

pub fn config() -> Config {
    Config::read(configuration(6).to_string().as_bytes()).unwrap()
}

/// An order as the relay reads it; what it orders is of no account to the queue.
pub fn encoded(text: String, proxy: Option<ProxyId>, subject: Option<String>) -> EncodedOrder {
    EncodedOrder { order: Order::Mark { mark: 0 }, text, proxy, subject }
}

/// What the call that was just made carries.
pub fn called(acts: &[LinkAction]) -> (LinkId, String) {
    match acts.last() {
        Some(LinkAction::Dial { link, request, .. } | LinkAction::Send { link, request }) => {
            (*link, String::from_utf8_lossy(request).into_owned())
        }
        Some(LinkAction::Close { .. }) | None => panic!("no call in {acts:?}"),
    }
}

pub mod collectors;
pub mod invariants;
pub mod peers;
pub mod platform;
pub mod relay;
