//! Discovery: parsing of the list of servers, complete or as changes, and the paths of the requests for it.

use std::net::SocketAddr;
use std::sync::Arc;

use craneknot::interface::*;
use craneknot_settings::instance::InstanceNames;
use serde_json::Value;

use crate::fields::Object;

const PATH: &str = "/discovery/hosts";
const MAX_START_MS: f64 = 1e16; // since the Unix epoch; a later date is invalid
const MAX_SERVER_SIZE: f64 = 1e6; // a larger size is invalid
const MAX_CELL: u64 = 1 << 32;

/// A list of servers as received from discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct Roster {
    pub revision: u64,
    /// Whether this is the whole list; otherwise it holds the changes.
    pub complete: bool,
    pub servers: Vec<(Listing, SocketAddr)>,
    /// Entries that can't be parsed: the server's id, if that can be read, and the cause.
    pub malformed: Vec<(Option<ServerId>, String)>,
}

/// The path of a request for the whole list.
pub fn list_path() -> String {
    PATH.to_owned()
}

/// The path of a request that waits for a list newer than `revision`.
pub fn watch_path(revision: u64, wait: Nanos) -> String {
    format!("{PATH}?index={revision}&wait={}", wait.0 / 1_000_000)
}

/// Parses a list from JSON text.
pub fn parse(text: &[u8], names: &mut InstanceNames) -> Result<Roster, String> {
    let value: Value = serde_json::from_slice(text).map_err(|cause| format!("list: not JSON: {cause}"))?;
    parse_value(&value, names)
}

/// Parses a list that is part of a larger JSON document.
pub fn parse_value(value: &Value, names: &mut InstanceNames) -> Result<Roster, String> {
    let object = Object::new("list", value)?;
    let members =
        object.required("members")?.as_array().ok_or_else(|| object.invalid("members", "an array"))?;
    let revision = object.integer("revision", u64::MAX)?;
    let complete = object.boolean("complete")?;
    let (mut servers, mut malformed) = (Vec::with_capacity(members.len()), Vec::new());
    for (index, member) in members.iter().enumerate() {
        match parse_server(member, names) {
            Ok(entry) => servers.push(entry),
            Err(cause) => {
                let id = member.get("id").and_then(Value::as_str).map(|id| ServerId(Arc::from(id)));
                malformed.push((id, format!("list: members[{index}]: {cause}")));
            }
        }
    }
    // Malformed entries are skipped, but a list without any entry that can be parsed is rejected.
    match malformed.first() {
        Some((_, cause)) if servers.is_empty() => Err(cause.clone()),
        Some(_) | None => Ok(Roster { revision, complete, servers, malformed }),
    }
}

fn parse_server(value: &Value, names: &mut InstanceNames) -> Result<(Listing, SocketAddr), String> {
    let object = Object::new("list entry", value)?;
    let address = object.text("host_port")?;
    let address = address.parse().map_err(|_| object.invalid("host_port", "an address"))?;
    let started =
        object.get("up_since_ms").map(|_| object.number("up_since_ms", MAX_START_MS)).transpose()?;
    let cell = object.get("cell").map(|_| object.integer("cell", MAX_CELL)).transpose()?;
    let listing = Listing {
        server: ServerId(Arc::from(object.text("id")?)),
        zone: names.zone(object.text("locality")?),
        kind: names.kind(object.text("flavor")?),
        cell: CellId(cell.unwrap_or(0) as i64),
        weight: object.get("size").map(|_| object.number("size", MAX_SERVER_SIZE)).transpose()?,
        started: started.filter(|at| *at > 0.0).map(|millis| Nanos::from_secs(millis / 1e3)),
        is_start_certain: true,
        readiness: match object.text("phase")? {
            "SERVING" => Readiness::Ready,
            "DRAINING" => Readiness::Draining,
            "DELETED" => Readiness::Removed,
            _ => return Err(object.invalid("phase", "SERVING, DRAINING or DELETED")),
        },
    };
    Ok((listing, address))
}
