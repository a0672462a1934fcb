//! Helpers that the tests of this package share.
#![allow(dead_code)] // each test program uses some of them

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use craneknot::interface::{Nanos, Order, ProxyId};
use craneknot_node::call_limits::CallLimits;
use craneknot_node::link::{LinkAction, LinkId};
use craneknot_node::order_queue::EncodedOrder;
use craneknot_platform::config::Config;
use serde_json::{json, Value};

pub const ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 6400);
pub const OTHER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 6401);

pub fn ms(at: u64) -> Nanos {
    Nanos::from_millis(at)
}

/// A configuration with this number of known servers that listens on an ephemeral port.
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
    Config::parse(configuration(6).to_string().as_bytes()).unwrap()
}

/// The limits on calls of the configuration.
pub fn call_limits() -> CallLimits {
    CallLimits::new(&config().settings, ms(0))
}

/// An order as the relay reads it; its kind does not matter to the queue.
pub fn encoded(text: String, proxy: Option<ProxyId>, subject: Option<String>) -> EncodedOrder {
    EncodedOrder { order: Order::Mark { mark: 0 }, text, proxy, subject }
}

/// The link and the text of the call that was just made.
pub fn called(actions: &[LinkAction]) -> (LinkId, String) {
    match actions.last() {
        Some(LinkAction::Dial { link, request, .. } | LinkAction::Send { link, request }) => {
            (*link, String::from_utf8_lossy(request).into_owned())
        }
        Some(LinkAction::Close { .. }) | None => panic!("no call in {actions:?}"),
    }
}

pub mod channel;
pub mod collectors;
pub mod invariants;
pub mod peers;
pub mod platform;
pub mod relay;
