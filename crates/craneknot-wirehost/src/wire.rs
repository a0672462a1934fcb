//! Converts the simulator's JSON messages to interface types and back; it makes no decisions.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use craneknot::interface::*;
use craneknot_settings::instance::InstanceNames as Names;
use serde_json::{json, Value};

/// An error in the input, with its line number.
pub struct InputError {
    line: u64,
    problem: String,
}

impl InputError {
    pub fn at(line: u64, problem: String) -> Self {
        InputError { line, problem }
    }
}

impl fmt::Display for InputError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.problem)
    }
}

/// The values of one message, accessed by index; index 0 is its name.
pub struct Fields<'a> {
    pub name: &'a str,
    values: &'a [Value],
}

impl<'a> Fields<'a> {
    pub fn new(message: &'a Value) -> Result<Self, String> {
        let values = message.as_array().ok_or("a message must be an array")?;
        let name =
            values.first().and_then(Value::as_str).ok_or("the first value of a message must be its name")?;
        Ok(Fields { name, values })
    }

    fn unexpected(&self, index: usize, expected: &str) -> String {
        match self.values.get(index) {
            Some(value) => format!("{} value {index}: expected {expected}, got {value}", self.name),
            None => format!("{} value {index}: expected {expected}, but it is missing", self.name),
        }
    }

    pub fn raw(&self, index: usize) -> Result<&'a Value, String> {
        self.values.get(index).ok_or_else(|| self.unexpected(index, "a value"))
    }

    pub fn text(&self, index: usize) -> Result<&'a str, String> {
        self.values.get(index).and_then(Value::as_str).ok_or_else(|| self.unexpected(index, "text"))
    }

    fn number(&self, index: usize) -> Result<f64, String> {
        self.values.get(index).and_then(Value::as_f64).ok_or_else(|| self.unexpected(index, "a number"))
    }

    /// A non-negative integer; a float without a fractional part is accepted.
    fn unsigned(&self, index: usize) -> Result<u64, String> {
        let value = self.values.get(index);
        let exact = value.and_then(Value::as_u64);
        let from_float =
            || value.and_then(Value::as_f64).filter(|x| *x >= 0.0 && x.fract() == 0.0).map(|x| x as u64);
        exact.or_else(from_float).ok_or_else(|| self.unexpected(index, "a non-negative integer"))
    }

    pub fn seed(&self, index: usize) -> Result<u64, String> {
        let value = self.raw(index)?;
        let signed = value.as_i64().map(|x| x as u64);
        let exact = value.as_u64().or(signed);
        exact.or_else(|| value.as_f64().map(f64::to_bits)).ok_or_else(|| self.unexpected(index, "an integer"))
    }

    fn short(&self, index: usize) -> Result<u16, String> {
        u16::try_from(self.unsigned(index)?).map_err(|_| self.unexpected(index, "an integer below 65536"))
    }

    fn boolean(&self, index: usize) -> Result<bool, String> {
        self.values.get(index).and_then(Value::as_bool).ok_or_else(|| self.unexpected(index, "true or false"))
    }

    pub fn time(&self, index: usize) -> Result<Nanos, String> {
        Ok(Nanos::from_secs(self.number(index)?))
    }

    fn server(&self, index: usize) -> Result<ServerId, String> {
        Ok(ServerId(Arc::from(self.text(index)?)))
    }
}

/// Reads a load report, whose values are in the order that the settings define.
fn report(names: &Names, value: Option<&Value>) -> LoadReport {
    let values = value.and_then(Value::as_array);
    names.report(|index, _| values?.get(index)?.as_f64())
}

/// One entry of a numbered server list, with the names as received.
struct ListEntry {
    kind: String,
    cell: i64,
    server: ServerId,
    weight: Option<f64>,
    started: Option<f64>,
    readiness: Readiness,
    zone: String,
}

/// The numbered server lists, to which FLEET events refer.
#[derive(Default)]
pub struct ServerLists(BTreeMap<u64, Vec<ListEntry>>);

impl ServerLists {
    pub fn set(&mut self, fields: &Fields) -> Result<(), String> {
        let list_entries = fields.raw(2)?.as_array().ok_or_else(|| fields.unexpected(2, "entries"))?;
        let list_entries = list_entries.iter().map(list_entry).collect::<Result<Vec<_>, _>>()?;
        self.0.insert(fields.unsigned(1)?, list_entries);
        Ok(())
    }
}

fn list_entry(value: &Value) -> Result<ListEntry, String> {
    let error = |problem: &str| format!("SNAPSHOT_ROWS entry {value}: {problem}");
    let values = value.as_array().ok_or_else(|| error("an array is expected"))?;
    let text =
        |index: usize, problem: &str| values.get(index).and_then(Value::as_str).ok_or_else(|| error(problem));
    let number = |index: usize| values.get(index).and_then(Value::as_f64);
    Ok(ListEntry {
        kind: text(0, "the kind is missing")?.to_owned(),
        cell: number(1).map_or(0, |x| x as i64),
        server: ServerId(Arc::from(text(2, "the server is missing")?)),
        weight: number(3),
        started: number(4).filter(|at| *at > 0.0),
        readiness: match text(5, "the mode is missing")? {
            "up" => Readiness::Ready,
            "draining" => Readiness::Draining,
            "removed" => Readiness::Removed,
            other => return Err(error(&format!("unknown mode {other}"))),
        },
        zone: text(6, "the zone is missing")?.to_owned(),
    })
}

const EVENTS: [&str; 15] = [
    "SPAWN",
    "DESTROY",
    "FLEET",
    "ENROLLED",
    "LEFT",
    "SAMPLED",
    "OBSERVED",
    "OFFERED_LOAD",
    "RECEIPT",
    "TIMEOUT_FIRED",
    "MAIL",
    "RANGE_LOAD",
    "ASSIGNED_TO_ME",
    "ON_RECORD",
    "SNAPSHOT_ROWS",
];

pub fn is_known(name: &str) -> bool {
    EVENTS.contains(&name)
}

/// Converts one event; `None` if it names a class that the settings do not have, or is not an event of the
/// interface.
pub fn event(fields: &Fields, names: &mut Names, lists: &ServerLists) -> Result<Option<Event>, String> {
    Ok(Some(match fields.name {
        "FLEET" => {
            let scope = match fields.text(3)? {
                "Partial" => ListScope::Changes,
                "Complete" => ListScope::Whole,
                "Persisted" => ListScope::Remembered,
                "Error" => ListScope::Failed,
                other => return Err(format!("FLEET: unknown scope {other}")),
            };
            let list_entries = match scope {
                ListScope::Failed => &[][..],
                _ => {
                    let list = fields.unsigned(4)?;
                    lists.0.get(&list).ok_or_else(|| format!("FLEET: no list with number {list}"))?
                }
            };
            let entries = list_entries
                .iter()
                .map(|entry| Listing {
                    server: entry.server.clone(),
                    zone: names.zone(&entry.zone),
                    kind: names.kind(&entry.kind),
                    cell: CellId(entry.cell),
                    weight: entry.weight,
                    started: entry.started.map(Nanos::from_secs),
                    is_start_certain: true,
                    readiness: entry.readiness,
                })
                .collect();
            Event::List { scope, entries }
        }
        "ENROLLED" => Event::ProxyJoined {
            proxy: ProxyId(fields.short(2)?),
            zone: names.zone(fields.text(3)?),
            usual_rate: fields.number(4)?,
        },
        "LEFT" => Event::ProxyLeft { proxy: ProxyId(fields.short(2)?) },
        "OBSERVED" => Event::TriesReported {
            tries: fields.unsigned(2)?,
            unanswered: fields.unsigned(3)?,
            server: fields.server(4)?,
            span: fields.time(5)?,
            latency: fields.time(6)?,
            zone: names.zone(fields.text(7)?),
            report: report(names, fields.values.get(8)),
        },
        "OFFERED_LOAD" => {
            let Some(class) = names.class(fields.text(3)?) else { return Ok(None) };
            Event::Demand {
                proxy: ProxyId(fields.short(2)?),
                class,
                arrived: fields.unsigned(4)?,
                unanswered: fields.unsigned(5)?,
                span: fields.time(6)?,
            }
        }
        "SAMPLED" => Event::Probed {
            server: fields.server(2)?,
            outcome: match fields.unsigned(3)? {
                0 => ProbeOutcome::Answered,
                254 => ProbeOutcome::TurnedAway,
                _ => ProbeOutcome::Failed,
            },
            latency: fields.time(4)?,
            report: report(names, fields.values.get(5)),
        },
        "RECEIPT" => Event::Applied { proxy: ProxyId(fields.short(2)?), mark: fields.short(3)? },
        "TIMEOUT_FIRED" => Event::Woken,
        "MAIL" => Event::PeerMessage {
            peer: PeerId(fields.unsigned(2)? as u32),
            body: decode_hex(fields.text(3)?).ok_or_else(|| fields.unexpected(3, "hex digits"))?,
        },
        "ASSIGNED_TO_ME" => {
            Event::SliceAssigned { slice: SliceId(fields.short(2)?), assigned: fields.boolean(3)? }
        }
        "ON_RECORD" => Event::SliceLine {
            slice: SliceId(fields.short(2)?),
            server: fields.server(3)?,
            weight: fields.number(4)?,
        },
        "RANGE_LOAD" => {
            let Some(class) = names.class(fields.text(6)?) else { return Ok(None) };
            Event::SliceDemand {
                span: fields.time(2)?,
                unanswered: fields.unsigned(3)?,
                slice: SliceId(fields.short(4)?),
                arrived: fields.unsigned(5)?,
                class,
            }
        }
        _ => return Ok(None),
    }))
}

fn decode_hex(hex: &str) -> Option<Vec<u8>> {
    let digits = hex.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    digits.chunks(2).map(byte).collect()
}

/// Converts one order to the action message of the wire.
pub fn action(instance: &str, order: &Order) -> Value {
    match order {
        Order::Line { table, server, weight } => json!(["WEIGH", instance, weight, table.0, &*server.0]),
        Order::Bind { proxy, classes, table } => {
            json!(["HAND_TABLE", instance, classes.0, proxy.0, table.0])
        }
        Order::Level { table, classes, level, retries: tries } => {
            let retry_mode = match tries {
                Retries::Never => 0,
                Retries::IfNotExecuted => 1,
                Retries::Once => 2,
                Retries::Twice => 3,
            };
            json!(["ALLOW", instance, classes.0, level, retry_mode, table.0])
        }
        Order::Probe { server } => json!(["INSPECT", instance, &*server.0]),
        Order::Mark { mark } => json!(["STAMP", instance, mark, false]),
        Order::WatchList => json!(["SUBSCRIBE", instance, true]),
        Order::Wake { after } => json!(["SLEEP", instance, after.secs(), "turn"]),
    }
}
