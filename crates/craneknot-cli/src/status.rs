//! `craneknot status`: fetches the status of a coordinator and formats it.

use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use craneknot_coordinator::status_client::Timeouts;
use serde_json::Value;

const STATUS_TIMEOUT: Duration = Duration::from_secs(3);

/// Fetches the status as JSON, from `/status` or from a path that returns more.
pub fn fetch(address: SocketAddr, path: &str) -> io::Result<Value> {
    craneknot_coordinator::status_client::fetch_json(
        address,
        path,
        Timeouts { connect: STATUS_TIMEOUT, read: STATUS_TIMEOUT },
    )
}

fn field<'a>(value: &'a Value, name: &str) -> &'a Value {
    value.get(name).unwrap_or(&Value::Null)
}

fn joined_names(value: &Value) -> String {
    let names = value.as_array().into_iter().flatten().filter_map(Value::as_str);
    names.collect::<Vec<&str>>().join(", ")
}

/// Formats the status for people.
pub fn to_text(address: SocketAddr, status: &Value) -> String {
    let mut text = String::new();
    let figure = |name: &str| field(status, name).to_string();
    let _ = writeln!(text, "{} at {address}", field(status, "name").as_str().unwrap_or("?"));
    let _ = writeln!(
        text,
        "  streams {} ({} unacknowledged, {} rejecting), servers {} (list {})",
        figure("streams"),
        figure("owing"),
        figure("refusing"),
        figure("servers"),
        figure("roster_version")
    );
    let _ = writeln!(
        text,
        "  channel {} of {} lines, peak {}; {} lines queued for proxies",
        figure("channel_lines"),
        figure("channel_limit"),
        figure("channel_most"),
        figure("held_lines")
    );
    let _ = writeln!(
        text,
        "  decided to swapped, ms (median, p99, longest): {}",
        figure("decided_to_swapped_ms")
    );
    let _ = writeln!(text, "  log lines dropped {}", figure("log_lines_dropped"));
    let shared = field(status, "shared");
    if shared.is_object() {
        let _ = writeln!(
            text,
            "  {} in term {}, leader {}; epoch {} shared by {}; alive {}; voters {}",
            field(shared, "role").as_str().unwrap_or("?"),
            field(shared, "term"),
            field(shared, "leader").as_str().unwrap_or("none"),
            field(shared, "epoch"),
            joined_names(field(shared, "members")),
            joined_names(field(shared, "alive")),
            joined_names(field(shared, "voters"))
        );
        let _ = writeln!(text, "  lease (epoch, settled, ms left): {}", field(shared, "lease"));
        let _ = writeln!(
            text,
            "  saves {}, datagrams sent {}, streams redirected {}; store: {}",
            field(shared, "saves"),
            field(shared, "datagrams_sent"),
            field(shared, "sent_on"),
            field(status, "store")
        );
    }
    text
}
