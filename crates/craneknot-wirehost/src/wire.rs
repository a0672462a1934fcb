//! The simulator's JSON messages to interface types and back. Nothing is decided here.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use craneknot::interface::*;
use craneknot_settings::instance::InstanceNames as Names;
use serde_json::{json, Value};

/// What is wrong with the input, and on which line.
pub struct Fault {
    line: u64,
    what: String,
}

impl Fault {
    pub fn at(line: u64, what: String) -> Self {
        Fault { line, what }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

/// The values of one message, read by their place.
pub struct Fields<'a> {
    pub name: &'a str,
    values: &'a [Value],
}

impl<'a> Fields<'a> {
    pub fn new(message: &'a Value) -> Result<Self, String> {
        let values = message.as_array().ok_or("a message must be an array")?;
        let name = values.first().and_then(Value::as_str).ok_or("a message must begin with its name")?;
        Ok(Fields { name, values })
    }

    fn wrong(&self, place: usize, wanted: &str) -> String {
        match self.values.get(place) {
            Some(value) => format!("{} value {place}: {wanted} wanted, got {value}", self.name),
            None => format!("{} value {place}: {wanted} wanted, missing", self.name),
        }
    }

    pub fn raw(&self, place: usize) -> Result<&'a Value, String> {
        self.values.get(place).ok_or_else(|| self.wrong(place, "a value"))
    }

    pub fn text(&self, place: usize) -> Result<&'a str, String> {
        self.values.get(place).and_then(Value::as_str).ok_or_else(|| self.wrong(place, "text"))
    }

    fn number(&self, place: usize) -> Result<f64, String> {
        self.values.get(place).and_then(Value::as_f64).ok_or_else(|| self.wrong(place, "a number"))
    }

    /// A whole number from 0 on; a fraction of nothing behind the point is let pass.
    fn whole(&self, place: usize) -> Result<u64, String> {
        let value = self.values.get(place);
        let exact = value.and_then(Value::as_u64);
        let rounded =
            || value.and_then(Value::as_f64).filter(|x| *x >= 0.0 && x.fract() == 0.0).map(|x| x as u64);
        exact.or_else(rounded).ok_or_else(|| self.wrong(place, "a whole number from 0 on"))
    }

    pub fn seed(&self, place: usize) -> Result<u64, String> {
        let value = self.raw(place)?;
        let signed = value.as_i64().map(|x| x as u64);
        let exact = value.as_u64().or(signed);
        exact.or_else(|| value.as_f64().map(f64::to_bits)).ok_or_else(|| self.wrong(place, "a whole number"))
    }

    fn small(&self, place: usize) -> Result<u16, String> {
        u16::try_from(self.whole(place)?).map_err(|_| self.wrong(place, "a whole number below 65536"))
    }

    fn truth(&self, place: usize) -> Result<bool, String> {
        self.values.get(place).and_then(Value::as_bool).ok_or_else(|| self.wrong(place, "true or false"))
    }

    pub fn time(&self, place: usize) -> Result<Nanos, String> {
        Ok(Nanos::from_secs(self.number(place)?))
    }

    fn server(&self, place: usize) -> Result<ServerId, String> {
        Ok(ServerId(Arc::from(self.text(place)?)))
    }
}

/// A load report's values come in the order that the settings name.
fn report(names: &Names, value: Option<&Value>) -> LoadReport {
    let values = value.and_then(Value::as_array);
    names.report(|place, _| values?.get(place)?.as_f64())
}

/// One entry of a numbered list, with its names still the wire's.
struct Row {
    kind: String,
    cell: i64,
    server: ServerId,
    weight: Option<f64>,
    started: Option<f64>,
    readiness: Readiness,
    zone: String,
}

/// The numbered lists of the process, to which news of the servers refers.
#[derive(Default)]
pub struct Sheets(BTreeMap<u64, Vec<Row>>);

impl Sheets {
    pub fn set(&mut self, fields: &Fields) -> Result<(), String> {
        let rows = fields.raw(2)?.as_array().ok_or_else(|| fields.wrong(2, "entries"))?;
        let rows = rows.iter().map(row).collect::<Result<Vec<_>, _>>()?;
        self.0.insert(fields.whole(1)?, rows);
        Ok(())
    }
}

fn row(value: &Value) -> Result<Row, String> {
    let bad = |what: &str| format!("SNAPSHOT_ROWS entry {value}: {what}");
    let values = value.as_array().ok_or_else(|| bad("an array wanted"))?;
    let text = |place: usize, what: &str| values.get(place).and_then(Value::as_str).ok_or_else(|| bad(what));
    let number = |place: usize| values.get(place).and_then(Value::as_f64);
    Ok(Row {
        kind: text(0, "no kind")?.to_owned(),
        cell: number(1).map_or(0, |x| x as i64),
        server: ServerId(Arc::from(text(2, "no server")?)),
        weight: number(3),
        started: number(4).filter(|at| *at > 0.0),
        readiness: match text(5, "no mode")? {
            "up" => Readiness::Ready,
            "draining" => Readiness::Draining,
            "removed" => Readiness::Removed,
            other => return Err(bad(&format!("unknown mode {other}"))),
        },
        zone: text(6, "no zone")?.to_owned(),
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

pub fn known(name: &str) -> bool {
    EVENTS.contains(&name)
}

/// One event, or nothing where it speaks of what the settings do not have.
pub fn event(fields: &Fields, names: &mut Names, sheets: &Sheets) -> Result<Option<Event>, String> {
    Ok(Some(match fields.name {
        "FLEET" => {
            let scope = match fields.text(3)? {
                "Partial" => ListScope::Changes,
                "Complete" => ListScope::Whole,
                "Persisted" => ListScope::Remembered,
                "Error" => ListScope::Failed,
                other => return Err(format!("FLEET: unknown scope {other}")),
            };
            let rows = match scope {
                ListScope::Failed => &[][..],
                _ => {
                    let sheet = fields.whole(4)?;
                    sheets.0.get(&sheet).ok_or_else(|| format!("FLEET: no list numbered {sheet}"))?
                }
            };
            let entries = rows
                .iter()
                .map(|row| Listing {
                    server: row.server.clone(),
                    zone: names.zone(&row.zone),
                    kind: names.kind(&row.kind),
                    cell: CellId(row.cell),
                    weight: row.weight,
                    started: row.started.map(Nanos::from_secs),
                    is_start_certain: true,
                    readiness: row.readiness,
                })
                .collect();
            Event::List { scope, entries }
        }
        "ENROLLED" => Event::ProxyJoined {
            proxy: ProxyId(fields.small(2)?),
            zone: names.zone(fields.text(3)?),
            usual_rate: fields.number(4)?,
        },
        "LEFT" => Event::ProxyLeft { proxy: ProxyId(fields.small(2)?) },
        "OBSERVED" => Event::TriesReported {
            tries: fields.whole(2)?,
            unanswered: fields.whole(3)?,
            server: fields.server(4)?,
            span: fields.time(5)?,
            latency: fields.time(6)?,
            zone: names.zone(fields.text(7)?),
            report: report(names, fields.values.get(8)),
        },
        "OFFERED_LOAD" => {
            let Some(class) = names.class(fields.text(3)?) else { return Ok(None) };
            Event::Demand {
                proxy: ProxyId(fields.small(2)?),
                class,
                arrived: fields.whole(4)?,
                unanswered: fields.whole(5)?,
                span: fields.time(6)?,
            }
        }
        "SAMPLED" => Event::Probed {
            server: fields.server(2)?,
            outcome: match fields.whole(3)? {
                0 => ProbeOutcome::Answered,
                254 => ProbeOutcome::TurnedAway,
                _ => ProbeOutcome::Failed,
            },
            latency: fields.time(4)?,
            report: report(names, fields.values.get(5)),
        },
        "RECEIPT" => Event::Applied { proxy: ProxyId(fields.small(2)?), mark: fields.small(3)? },
        "TIMEOUT_FIRED" => Event::Woken,
        "MAIL" => Event::PeerMessage {
            peer: PeerId(fields.whole(2)? as u32),
            body: bytes(fields.text(3)?).ok_or_else(|| fields.wrong(3, "hex digits"))?,
        },
        "ASSIGNED_TO_ME" => {
            Event::SliceAssigned { slice: SliceId(fields.small(2)?), assigned: fields.truth(3)? }
        }
        "ON_RECORD" => Event::SliceLine {
            slice: SliceId(fields.small(2)?),
            server: fields.server(3)?,
            weight: fields.number(4)?,
        },
        "RANGE_LOAD" => {
            let Some(class) = names.class(fields.text(6)?) else { return Ok(None) };
            Event::SliceDemand {
                span: fields.time(2)?,
                unanswered: fields.whole(3)?,
                slice: SliceId(fields.small(4)?),
                arrived: fields.whole(5)?,
                class,
            }
        }
        _ => return Ok(None),
    }))
}

fn bytes(hex: &str) -> Option<Vec<u8>> {
    let digits = hex.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    let read = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    digits.chunks(2).map(read).collect()
}

/// One order as the wire has it.
pub fn action(instance: &str, order: &Order) -> Value {
    match order {
        Order::Line { table, server, weight } => json!(["WEIGH", instance, weight, table.0, &*server.0]),
        Order::Bind { proxy, classes, table } => {
            json!(["HAND_TABLE", instance, classes.0, proxy.0, table.0])
        }
        Order::Level { table, classes, level, retries: tries } => {
            let how = match tries {
                Retries::Never => 0,
                Retries::IfNotExecuted => 1,
                Retries::Once => 2,
                Retries::Twice => 3,
            };
            json!(["ALLOW", instance, classes.0, level, how, table.0])
        }
        Order::Probe { server } => json!(["INSPECT", instance, &*server.0]),
        Order::Mark { mark } => json!(["STAMP", instance, mark, false]),
        Order::WatchList => json!(["SUBSCRIBE", instance, true]),
        Order::Wake { after } => json!(["SLEEP", instance, after.secs(), "turn"]),
    }
}
