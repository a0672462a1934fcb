//! Messages received at the coordinator's own address: one JSON object per line.

use std::sync::Arc;

use craneknot::interface::*;
use craneknot_settings::instance::InstanceNames;
use craneknot_settings::json_size::max_value_count;
use serde_json::{json, Value};

use crate::fields::Object;

/// Maximum length of a message, including the line break.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Values in a message: far more than a report has, whose metrics the settings name.
const MAX_MESSAGE_VALUES: usize = 4_096;
const MAX_COUNT: u64 = 1 << 32; // of tries or operations in one report; a larger count is invalid
const MAX_DURATION: Nanos = Nanos::from_millis(3_600_000); // one hour, for intervals and latencies; more is invalid
const MAX_LOAD_VALUE: f64 = 1e9; // of any value in a load report

/// A message from a peer that connected to the coordinator.
#[derive(Debug, PartialEq)]
pub enum Message {
    /// The peer requests a heartbeat answer.
    Heartbeat,
    /// The peer is the collector of this zone.
    Collector(ZoneId),
    /// Outcomes observed by proxies, or the demand that arrived at them; only a collector sends reports.
    Report(Event),
}

/// Why a line is not a valid message.
#[derive(Debug, PartialEq)]
pub enum MessageError {
    /// Not a JSON object with a type; what follows on this connection can't be trusted either.
    Corrupt(String),
    /// A message that is not accepted at this address, such as an order.
    Unexpected(String),
    /// A report with a field that is missing, of the wrong type or out of range; the messages around it may be valid.
    Malformed(String),
}

/// The answer to a heartbeat.
pub fn heartbeat_answer() -> &'static [u8] {
    b"{\"type\":\"hb_ok\"}\n"
}

/// The rejection that is sent to a peer before its connection is closed.
pub fn reject(cause: &str) -> Vec<u8> {
    let mut line = json!({"type": "reject", "cause": cause}).to_string().into_bytes();
    line.push(b'\n');
    line
}

/// A load report from named values. The values have the names that the settings give them or, in some deployments,
/// those in the platform's documentation.
pub fn load_report(names: &InstanceNames, value: impl Fn(&str) -> Option<f64>) -> LoadReport {
    let documented_name = |name: &str| match name {
        "busy" => Some("util"),
        "rif" => Some("inflight"),
        "lat_ms" => Some("latency_ms"),
        _ => None,
    };
    names.report(|_, name| value(name).or_else(|| value(documented_name(name)?)))
}

/// Parses one line, without its line break; `proxies` is the number of proxies of the instance.
pub fn parse(line: &[u8], names: &InstanceNames, proxies: u32) -> Result<Message, MessageError> {
    if max_value_count(line) > MAX_MESSAGE_VALUES {
        return Err(MessageError::Malformed("a message with too many values".to_owned()));
    }
    let value: Value =
        serde_json::from_slice(line).map_err(|cause| MessageError::Corrupt(format!("not JSON: {cause}")))?;
    let object = Object::new("message", &value).map_err(MessageError::Corrupt)?;
    let kind = object.text("type").map_err(MessageError::Corrupt)?;
    match kind {
        "hb" => Ok(Message::Heartbeat),
        "telemetry" => {
            let zone = object.text("locality").map_err(MessageError::Unexpected)?;
            let known = names.known_zone(zone);
            known
                .map(Message::Collector)
                .ok_or_else(|| MessageError::Unexpected(format!("there is no locality {zone:?}")))
        }
        "upstream_stats" => {
            upstream_stats(&object, names).map(Message::Report).map_err(MessageError::Malformed)
        }
        "client_stats" => {
            client_stats(&object, names, proxies).map(Message::Report).map_err(MessageError::Malformed)
        }
        other => Err(MessageError::Unexpected(format!("{other:?} is no message for this address"))),
    }
}

/// The tries that ended and how many of them failed; there can't be more failures than tries.
fn try_counts(object: &Object) -> Result<(u64, u64), String> {
    let total = object.integer("total", MAX_COUNT)?;
    Ok((total, object.integer("errors", total)?))
}

/// The operations that arrived and those that were abandoned, some of which arrived in earlier intervals.
fn operation_counts(object: &Object) -> Result<(u64, u64), String> {
    Ok((object.integer("total", MAX_COUNT)?, object.integer("errors", MAX_COUNT)?))
}

fn interval(object: &Object) -> Result<Nanos, String> {
    let interval = object.millis("interval", MAX_DURATION)?;
    (interval > Nanos(0)).then_some(interval).ok_or_else(|| object.invalid("interval", "more than nothing"))
}

fn upstream_stats(object: &Object, names: &InstanceNames) -> Result<Event, String> {
    let zone = object.text("locality")?;
    let zone = names.known_zone(zone).ok_or_else(|| object.invalid("locality", "one of the settings"))?;
    let (tries, unanswered) = try_counts(object)?;
    let report = match object.get("metrics") {
        None => LoadReport::default(),
        Some(metrics) => {
            let metrics = Object::new("metrics", metrics)?;
            let Some(keys) = object.get("metrics").and_then(Value::as_object) else {
                return Err(object.invalid("metrics", "an object"));
            };
            for key in keys.keys() {
                metrics.number(key, MAX_LOAD_VALUE)?;
            }
            load_report(names, |name| metrics.number(name, MAX_LOAD_VALUE).ok())
        }
    };
    Ok(Event::TriesReported {
        zone,
        server: ServerId(Arc::from(object.text("endpoint")?)),
        tries,
        unanswered,
        latency: object.millis("rtt", MAX_DURATION)?,
        span: interval(object)?,
        report,
    })
}

fn client_stats(object: &Object, names: &InstanceNames, proxies: u32) -> Result<Event, String> {
    let proxy = object.integer("node", u64::from(proxies.clamp(1, 65_536)) - 1)? as u16;
    let class = names.class(object.text("route")?);
    let (arrived, unanswered) = operation_counts(object)?;
    Ok(Event::Demand {
        proxy: ProxyId(proxy),
        class: class.ok_or_else(|| object.invalid("route", "one of the settings"))?,
        arrived,
        unanswered,
        span: interval(object)?,
    })
}
