//! The event stream of the relay, decoded incrementally.

use bytes::{Buf, BytesMut};
use craneknot::interface::*;
use craneknot_settings::instance::InstanceNames;

/// The path of a request for the event stream.
pub const PATH: &str = "/api/events";
const MAX_LINE_BYTES: usize = 64 * 1024; // events are far shorter

/// An event that the relay reports about a proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayEvent {
    Joined { proxy: ProxyId, zone: ZoneId, usual_rate: f64 },
    Left { proxy: ProxyId },
    Applied { proxy: ProxyId, mark: u16 },
}

impl RelayEvent {
    pub fn proxy(&self) -> ProxyId {
        match self {
            RelayEvent::Joined { proxy, .. }
            | RelayEvent::Left { proxy }
            | RelayEvent::Applied { proxy, .. } => *proxy,
        }
    }
}

/// Decodes bytes as they arrive into events, following the event stream format of the HTML standard.
#[derive(Default)]
pub struct Decoder {
    buffer: BytesMut,
    event: String,
    data: String,
}

/// The result of decoding one part of the stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decoded {
    /// The events in the order of their arrival.
    pub events: Vec<RelayEvent>,
    /// The cause of each event that was skipped: a field was missing, malformed or out of range.
    pub malformed: Vec<String>,
}

impl Decoder {
    /// Skips events with an invalid field. An error ends the stream, because what follows can't be trusted.
    pub fn decode(
        &mut self,
        bytes: &[u8],
        names: &mut InstanceNames,
        proxies: u32,
    ) -> Result<Decoded, String> {
        self.buffer.extend_from_slice(bytes);
        let mut decoded = Decoded::default();
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line = self.buffer.split_to(end);
            self.buffer.advance(1);
            let line =
                std::str::from_utf8(&line).map_err(|_| "event stream: not UTF-8")?.trim_end_matches('\r');
            if line.is_empty() {
                let (event, data) = (std::mem::take(&mut self.event), std::mem::take(&mut self.data));
                match parse_event(&event, &data, names, proxies) {
                    Ok(event) => decoded.events.extend(event),
                    Err(cause) => decoded.malformed.push(cause),
                }
                continue;
            }
            // A line that begins with a colon is a comment that keeps the connection alive.
            let (field, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "event" => value.clone_into(&mut self.event),
                "data" => value.clone_into(&mut self.data),
                _ => {}
            }
        }
        if self.buffer.len() > MAX_LINE_BYTES {
            return Err("event stream: line too long".into());
        }
        Ok(decoded)
    }
}

fn parse_event(
    event: &str,
    data: &str,
    names: &mut InstanceNames,
    proxies: u32,
) -> Result<Option<RelayEvent>, String> {
    let invalid = |key: &str| format!("event {event}: {key} is missing or invalid in {data:?}");
    let pairs: Vec<_> = form_urlencoded::parse(data.as_bytes()).collect();
    let get = |key: &str| {
        let found = pairs.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_ref());
        found.ok_or_else(|| invalid(key))
    };
    let proxy = || {
        let number = get("node")?.parse::<u16>().ok().filter(|number| u32::from(*number) < proxies);
        number.map(ProxyId).ok_or_else(|| invalid("node"))
    };
    Ok(match event {
        "attach" => {
            let rate = get("w")?.parse::<f64>().ok().filter(|rate| rate.is_finite() && *rate >= 0.0);
            let usual_rate = rate.ok_or_else(|| invalid("w"))?;
            Some(RelayEvent::Joined { proxy: proxy()?, zone: names.zone(get("locality")?), usual_rate })
        }
        "detach" => Some(RelayEvent::Left { proxy: proxy()? }),
        "done" => {
            let mark = get("nonce")?.parse().map_err(|_| invalid("nonce"))?;
            Some(RelayEvent::Applied { proxy: proxy()?, mark })
        }
        // Event types of a later version of the relay are ignored.
        _ => None,
    })
}
