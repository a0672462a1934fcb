//! The relay's news: an event stream, of which bytes come in pieces.

use bytes::{Buf, BytesMut};
use craneknot::interface::*;
use craneknot_settings::given::GivenNames;

pub const PATH: &str = "/api/events";
const LONGEST: usize = 64 * 1024; // bytes of one line: news are far shorter

/// One piece of news.
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

/// Takes bytes as they come and gives news, as the HTML standard reads an event stream.
#[derive(Default)]
pub struct Decoder {
    rest: BytesMut,
    event: String,
    data: String,
}

/// What a piece of the stream held.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decoded {
    /// In the order in which they came.
    pub events: Vec<RelayEvent>,
    /// Why events were left out, one by one: a field was absent, wrong or out of range.
    pub malformed: Vec<String>,
}

impl Decoder {
    /// An event with a bad field costs itself alone. An error ends the stream: what follows can't be trusted.
    pub fn decode(&mut self, bytes: &[u8], names: &mut GivenNames, proxies: u32) -> Result<Decoded, String> {
        self.rest.extend_from_slice(bytes);
        let mut decoded = Decoded::default();
        while let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
            let line = self.rest.split_to(end);
            self.rest.advance(1);
            let line = std::str::from_utf8(&line).map_err(|_| "news: not UTF-8")?.trim_end_matches('\r');
            if line.is_empty() {
                let (event, data) = (std::mem::take(&mut self.event), std::mem::take(&mut self.data));
                match read(&event, &data, names, proxies) {
                    Ok(news) => decoded.events.extend(news),
                    Err(cause) => decoded.malformed.push(cause),
                }
                continue;
            }
            // A line that begins with a colon is a sign of life.
            let (field, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "event" => value.clone_into(&mut self.event),
                "data" => value.clone_into(&mut self.data),
                _ => {}
            }
        }
        if self.rest.len() > LONGEST {
            return Err("news: a line without end".into());
        }
        Ok(decoded)
    }
}

fn read(event: &str, data: &str, names: &mut GivenNames, proxies: u32) -> Result<Option<RelayEvent>, String> {
    let wrong = |key: &str| format!("news: {event}: {key} is missing or wrong in {data:?}");
    let pairs: Vec<_> = form_urlencoded::parse(data.as_bytes()).collect();
    let get = |key: &str| {
        let found = pairs.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_ref());
        found.ok_or_else(|| wrong(key))
    };
    let proxy = || {
        let number = get("node")?.parse::<u16>().ok().filter(|number| u32::from(*number) < proxies);
        number.map(ProxyId).ok_or_else(|| wrong("node"))
    };
    Ok(match event {
        "attach" => {
            let rate = get("w")?.parse::<f64>().ok().filter(|rate| rate.is_finite() && *rate >= 0.0);
            let usual_rate = rate.ok_or_else(|| wrong("w"))?;
            Some(RelayEvent::Joined { proxy: proxy()?, zone: names.zone(get("locality")?), usual_rate })
        }
        "detach" => Some(RelayEvent::Left { proxy: proxy()? }),
        "done" => {
            let mark = get("nonce")?.parse().map_err(|_| wrong("nonce"))?;
            Some(RelayEvent::Applied { proxy: proxy()?, mark })
        }
        // RelayEvent of a later relay.
        _ => None,
    })
}
