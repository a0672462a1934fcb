//! What comes to the coordinator's own address: one JSON object a line.

use std::sync::Arc;

use craneknot::interface::*;
use craneknot_settings::given::GivenNames;
use serde_json::{json, Value};

use crate::fields::Object;

/// The longest message, in bytes, its end included.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
const TRIES_MOST: u64 = 1 << 32; // in one report: more is no count
const SPAN_MOST: Nanos = Nanos::from_millis(3_600_000); // ms; an hour, of any span or wait: more is no time
const LOAD_MOST: f64 = 1e9; // of any value in a load report

/// A message of a peer that dialled.
#[derive(Debug, PartialEq)]
pub enum Message {
    /// It asks for a sign of life.
    Heartbeat,
    /// It is the collector of that zone.
    Collector(ZoneId),
    /// What proxies met, or what came to them; only a collector brings one.
    Report(Event),
}

/// Why a line is no message.
#[derive(Debug, PartialEq)]
pub enum MessageError {
    /// No JSON object with a type: what follows on this connection can't be trusted either.
    Corrupt(String),
    /// No message that may come here, such as an order.
    Unexpected(String),
    /// A report with a field that is absent, wrong or out of range; the messages around it may be good.
    Malformed(String),
}

pub fn heartbeat_answer() -> &'static [u8] {
    b"{\"type\":\"hb_ok\"}\n"
}

/// What a peer is told before its connection is closed.
pub fn reject(cause: &str) -> Vec<u8> {
    let mut line = json!({"type": "reject", "cause": cause}).to_string().into_bytes();
    line.push(b'\n');
    line
}

/// A load report's values: they go by the names that the settings give them, on some deployments by those of the
/// platform's own pages.
pub fn load(names: &GivenNames, value: impl Fn(&str) -> Option<f64>) -> LoadReport {
    let paged = |name: &str| match name {
        "busy" => Some("util"),
        "rif" => Some("inflight"),
        "lat_ms" => Some("latency_ms"),
        _ => None,
    };
    names.report(|_, name| value(name).or_else(|| value(paged(name)?)))
}

pub fn parse(line: &[u8], names: &GivenNames, proxies: u32) -> Result<Message, MessageError> {
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
        "upstream_stats" => heard(&object, names).map(Message::Report).map_err(MessageError::Malformed),
        "client_stats" => {
            demand(&object, names, proxies).map(Message::Report).map_err(MessageError::Malformed)
        }
        other => Err(MessageError::Unexpected(format!("{other:?} is no message for this address"))),
    }
}

/// Tries that ended, and those of them that failed: no more failed than ended.
fn tries(object: &Object) -> Result<(u64, u64), String> {
    let total = object.whole("total", TRIES_MOST)?;
    Ok((total, object.whole("errors", total)?))
}

/// Operations that arrived, and those that were given up on, of which some arrived in the spans before.
fn arrivals(object: &Object) -> Result<(u64, u64), String> {
    Ok((object.whole("total", TRIES_MOST)?, object.whole("errors", TRIES_MOST)?))
}

fn span(object: &Object) -> Result<Nanos, String> {
    let span = object.millis("interval", SPAN_MOST)?;
    (span > Nanos(0)).then_some(span).ok_or_else(|| object.wrong("interval", "more than nothing"))
}

fn heard(object: &Object, names: &GivenNames) -> Result<Event, String> {
    let zone = object.text("locality")?;
    let zone = names.known_zone(zone).ok_or_else(|| object.wrong("locality", "one of the settings"))?;
    let (tries, unanswered) = tries(object)?;
    let report = match object.get("metrics") {
        None => LoadReport::default(),
        Some(metrics) => {
            let metrics = Object::new("metrics", metrics)?;
            let Some(keys) = object.get("metrics").and_then(Value::as_object) else {
                return Err(object.wrong("metrics", "an object"));
            };
            for key in keys.keys() {
                metrics.number(key, LOAD_MOST)?;
            }
            load(names, |name| metrics.number(name, LOAD_MOST).ok())
        }
    };
    Ok(Event::Heard {
        zone,
        server: ServerId(Arc::from(object.text("endpoint")?)),
        tries,
        unanswered,
        latency: object.millis("rtt", SPAN_MOST)?,
        span: span(object)?,
        report,
    })
}

fn demand(object: &Object, names: &GivenNames, proxies: u32) -> Result<Event, String> {
    let proxy = object.whole("node", u64::from(proxies.clamp(1, 65_536)) - 1)? as u16;
    let class = names.class(object.text("route")?);
    let (arrived, unanswered) = arrivals(object)?;
    Ok(Event::Demand {
        proxy: ProxyId(proxy),
        class: class.ok_or_else(|| object.wrong("route", "one of the settings"))?,
        arrived,
        unanswered,
        span: span(object)?,
    })
}
