//! Discovery: the list of servers, whole or as changes, and the calls that ask for it.

use std::net::SocketAddr;
use std::sync::Arc;

use craneknot::interface::*;
use craneknot_settings::given::GivenNames;
use serde_json::Value;

use crate::fields::Object;

const PATH: &str = "/discovery/hosts";
const LATEST: f64 = 1e16; // ms since 1970; later is no date
const LARGEST: f64 = 1e6; // of a server's size: more is no size
const CELL_MOST: u64 = 1 << 32;

/// A list of servers as discovery tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct Roster {
    pub revision: u64,
    /// The whole list; else what has changed.
    pub complete: bool,
    pub servers: Vec<(Listing, SocketAddr)>,
    /// Entries that can't be read: whose they are, as far as that can be told, and why.
    pub malformed: Vec<(Option<ServerId>, String)>,
}

/// The path of a call for the whole list.
pub fn list_path() -> String {
    PATH.to_owned()
}

/// The path of a call that waits for something newer than a revision.
pub fn watch_path(revision: u64, wait: Nanos) -> String {
    format!("{PATH}?index={revision}&wait={}", wait.0 / 1_000_000)
}

pub fn parse(text: &[u8], names: &mut GivenNames) -> Result<Roster, String> {
    let value: Value = serde_json::from_slice(text).map_err(|cause| format!("list: not JSON: {cause}"))?;
    parse_value(&value, names)
}

pub fn parse_value(value: &Value, names: &mut GivenNames) -> Result<Roster, String> {
    let object = Object::new("list", value)?;
    let members = object.need("members")?.as_array().ok_or_else(|| object.wrong("members", "a list"))?;
    let revision = object.whole("revision", u64::MAX)?;
    let complete = object.truth("complete")?;
    let (mut servers, mut malformed) = (Vec::with_capacity(members.len()), Vec::new());
    for (place, member) in members.iter().enumerate() {
        match server(member, names) {
            Ok(entry) => servers.push(entry),
            Err(cause) => {
                let id = member.get("id").and_then(Value::as_str).map(|id| ServerId(Arc::from(id)));
                malformed.push((id, format!("list: members[{place}]: {cause}")));
            }
        }
    }
    // One entry costs itself; where none can be read nothing is known of the list.
    match malformed.first() {
        Some((_, cause)) if servers.is_empty() => Err(cause.clone()),
        Some(_) | None => Ok(Roster { revision, complete, servers, malformed }),
    }
}

fn server(value: &Value, names: &mut GivenNames) -> Result<(Listing, SocketAddr), String> {
    let object = Object::new("list entry", value)?;
    let address = object.text("host_port")?;
    let address = address.parse().map_err(|_| object.wrong("host_port", "an address"))?;
    let started = object.get("up_since_ms").map(|_| object.number("up_since_ms", LATEST)).transpose()?;
    let cell = object.get("cell").map(|_| object.whole("cell", CELL_MOST)).transpose()?;
    let listing = Listing {
        server: ServerId(Arc::from(object.text("id")?)),
        zone: names.zone(object.text("locality")?),
        kind: names.kind(object.text("flavor")?),
        cell: CellId(cell.unwrap_or(0) as i64),
        weight: object.get("size").map(|_| object.number("size", LARGEST)).transpose()?,
        started: started.filter(|at| *at > 0.0).map(|millis| Nanos::from_secs(millis / 1e3)),
        is_start_certain: true,
        readiness: match object.text("phase")? {
            "SERVING" => Readiness::Ready,
            "DRAINING" => Readiness::Draining,
            "DELETED" => Readiness::Removed,
            _ => return Err(object.wrong("phase", "SERVING, DRAINING or DELETED")),
        },
    };
    Ok((listing, address))
}
