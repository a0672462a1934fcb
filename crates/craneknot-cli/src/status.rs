//! How a coordinator says that it is.

use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use craneknot_coordinator::status_client::Timeouts;
use serde_json::Value;

const WITHIN: Duration = Duration::from_secs(3); // for an answer

/// Asks for the status, as JSON, at `/status` or with more of it.
pub fn ask(address: SocketAddr, path: &str) -> io::Result<Value> {
    craneknot_coordinator::status_client::fetch_json(
        address,
        path,
        Timeouts { connect: WITHIN, read: WITHIN },
    )
}

fn at<'a>(value: &'a Value, name: &str) -> &'a Value {
    value.get(name).unwrap_or(&Value::Null)
}

fn names(value: &Value) -> String {
    let names = value.as_array().into_iter().flatten().filter_map(Value::as_str);
    names.collect::<Vec<&str>>().join(", ")
}

/// The status for people.
pub fn text(address: SocketAddr, status: &Value) -> String {
    let mut text = String::new();
    let figure = |name: &str| at(status, name).to_string();
    let _ = writeln!(text, "{} at {address}", at(status, "name").as_str().unwrap_or("?"));
    let _ = writeln!(
        text,
        "  streams {} ({} owe an answer, {} refuse), servers {} (list {})",
        figure("streams"),
        figure("owing"),
        figure("refusing"),
        figure("servers"),
        figure("roster_version")
    );
    let _ = writeln!(
        text,
        "  channel {} of {} lines, {} at most so far; {} lines wait for proxies",
        figure("channel_lines"),
        figure("channel_limit"),
        figure("channel_most"),
        figure("held_lines")
    );
    let _ = writeln!(
        text,
        "  decided to swapped, ms (half, 99 of 100, longest): {}",
        figure("decided_to_swapped_ms")
    );
    let _ = writeln!(text, "  log lines dropped {}", figure("log_lines_dropped"));
    let shared = at(status, "shared");
    if shared.is_object() {
        let _ = writeln!(
            text,
            "  {} in term {}, led by {}; epoch {} shared by {}; alive {}; voters {}",
            at(shared, "role").as_str().unwrap_or("?"),
            at(shared, "term"),
            at(shared, "leader").as_str().unwrap_or("no one"),
            at(shared, "epoch"),
            names(at(shared, "members")),
            names(at(shared, "alive")),
            names(at(shared, "voters"))
        );
        let _ = writeln!(text, "  lease (epoch, settled, ms left): {}", at(shared, "lease"));
        let _ = writeln!(
            text,
            "  saves {}, datagrams sent {}, streams sent on {}; store: {}",
            at(shared, "saves"),
            at(shared, "datagrams_sent"),
            at(shared, "sent_on"),
            at(status, "store")
        );
    }
    text
}
