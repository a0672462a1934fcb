//! Runs the controller of another build in a separate process: a `craneknot-wirehost` of any commit, driven by the JSON
//! lines that the users' simulator sends. This allows two builds of the controller to be compared on the same runs.
//!
//! The lines carry times in microseconds, and zones, kinds and classes by their indices instead of their names.
//! [`Quantized`] rounds the input and output of this program's own controller in the same way, so that the same build
//! yields the same run to the last digit in either form.

use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::{Arc, Mutex};

use craneknot::interface::*;
use craneknot::Controller;
use craneknot_coordinator::engine::Decider;
use serde_json::value::RawValue;
use serde_json::{json, Value};

const INSTANCE: &str = "coordinator-0"; // each process hosts one instance
const MAX_INDICES: u16 = 256; // number of zones, and of kinds, that the settings on the wire list
const SIGNIFICANT_DIGITS: i32 = 12; // of numbers other than times; few enough that every decimal parser reads back the same value

/// The build whose controller runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Build {
    /// This program's.
    #[default]
    Own,
    /// This program's, with times and numbers rounded as for a hosted build.
    OwnQuantized,
    /// That of a wirehost; the path of its program.
    Hosted(PathBuf),
}

/// The first failure of any hosted process of a run.
#[derive(Clone, Debug, Default)]
pub struct Fault(Arc<Mutex<Option<String>>>);

impl Fault {
    fn set(&self, cause: String) {
        if let Ok(mut held) = self.0.lock() {
            held.get_or_insert(cause);
        }
    }

    /// The first failure, if there is one.
    pub fn get(&self) -> Option<String> {
        self.0.lock().ok()?.clone()
    }
}

impl Build {
    /// Starts a controller of this build.
    pub fn start(&self, settings: &Settings, seed: u64, now: Nanos, fault: &Fault) -> Box<dyn Decider> {
        match self {
            Build::Own => Box::new(Controller::new(settings.clone(), seed, now)),
            Build::OwnQuantized => Box::new(Quantized(Controller::new(settings.clone(), seed, micros(now)))),
            Build::Hosted(program) => match Hosted::start(program, settings, seed, now, fault.clone()) {
                Ok(hosted) => Box::new(hosted),
                Err(cause) => {
                    fault.set(format!("{}: {cause}", program.display()));
                    Box::new(FailedController)
                }
            },
        }
    }
}

/// Returns no orders; stands in for a controller that failed to start.
struct FailedController;

impl Decider for FailedController {
    fn step(&mut self, _: Nanos, _: &[Event]) -> Vec<Order> {
        Vec::new()
    }
}

/// This program's controller, with input and output rounded as in the JSON lines.
pub struct Quantized(Controller);

impl Decider for Quantized {
    fn step(&mut self, now: Nanos, events: &[Event]) -> Vec<Order> {
        let events: Vec<Event> = events.iter().filter_map(quantize_event).collect();
        let orders = self.0.step(micros(now), &events).into_iter();
        let order = |order| match order {
            Order::Wake { after } => Order::Wake { after: micros(after) },
            Order::Line { .. }
            | Order::Bind { .. }
            | Order::Level { .. }
            | Order::Probe { .. }
            | Order::Mark { .. }
            | Order::WatchList => order,
        };
        orders.map(order).collect()
    }
}

/// Rounds to whole microseconds.
fn micros(span: Nanos) -> Nanos {
    Nanos::from_secs(span.secs())
}

/// Rounds to `SIGNIFICANT_DIGITS` digits.
fn rounded(value: f64) -> f64 {
    if value == 0.0 || !value.is_finite() {
        return value;
    }
    format!("{value:.*e}", SIGNIFICANT_DIGITS as usize - 1).parse().unwrap_or(value)
}

fn quantize_report(report: &LoadReport) -> LoadReport {
    LoadReport {
        busy: report.busy.map(rounded),
        in_flight: report.in_flight.map(rounded),
        service_time: report.service_time.map(micros),
    }
}

/// An event with the precision of the JSON lines; none if the lines cannot carry it.
fn quantize_event(event: &Event) -> Option<Event> {
    let mut event = event.clone();
    match &mut event {
        Event::List { entries, .. } => {
            let entry = |entry: &Listing| Listing {
                weight: entry.weight.map(rounded),
                started: entry.started.map(micros),
                ..entry.clone()
            };
            *entries = entries.iter().map(entry).collect();
        }
        Event::ProxyJoined { usual_rate, .. } => *usual_rate = rounded(*usual_rate),
        Event::TriesReported { span, latency, report, .. } => {
            (*span, *latency, *report) = (micros(*span), micros(*latency), quantize_report(report));
        }
        Event::Demand { span, .. } => *span = micros(*span),
        Event::Probed { latency: took, report, .. } => {
            (*took, *report) = (micros(*took), quantize_report(report))
        }
        Event::ProxyLeft { .. } | Event::Applied { .. } | Event::Woken => {}
        // Events of a shared fleet, which the lines cannot carry, and events of key ranges, which the coordinator does not
        // use.
        Event::ExistingBinding { .. }
        | Event::OrderRefused { .. }
        | Event::ChannelLoad { .. }
        | Event::PeerMessage { .. }
        | Event::SliceAssigned { .. }
        | Event::SliceLine { .. }
        | Event::SliceDemand { .. } => return None,
    }
    Some(event)
}

/// A controller in another process.
pub struct Hosted {
    child: Child,
    input: BufWriter<ChildStdin>,
    output: BufReader<ChildStdout>,
    batch: u64,
    failed: bool,
    fault: Fault,
}

impl Drop for Hosted {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Hosted {
    /// Starts the process and sends the settings.
    pub fn start(
        program: &Path,
        settings: &Settings,
        seed: u64,
        now: Nanos,
        fault: Fault,
    ) -> io::Result<Self> {
        let mut command = Command::new(program);
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn()?;
        let pipes = child.stdin.take().zip(child.stdout.take());
        let (input, output) = pipes.ok_or(io::Error::other("the process has no pipes"))?;
        let (input, output) = (BufWriter::new(input), BufReader::new(output));
        let mut hosted = Hosted { child, input, output, batch: 0, failed: false, fault };
        let spawn = json!(["SPAWN", INSTANCE, seed, wire_settings(settings)]);
        hosted.exchange(micros(now), &[spawn])?;
        Ok(hosted)
    }

    /// Sends one batch of events and reads the orders in reply.
    fn exchange(&mut self, now: Nanos, lines: &[Value]) -> io::Result<Vec<Order>> {
        self.batch += 1;
        writeln!(self.input, "{}", json!(["TICK", now.secs(), self.batch]))?;
        lines.iter().try_for_each(|line| writeln!(self.input, "{line}"))?;
        writeln!(self.input, "[\"YOUR_TURN\"]")?;
        self.input.flush()?;
        let (mut orders, mut text) = (Vec::new(), String::new());
        loop {
            text.clear();
            if self.output.read_line(&mut text)? == 0 {
                return Err(io::Error::other("the process ended in the middle of a turn"));
            }
            match parse_reply(&text).map_err(io::Error::other)? {
                Reply::Done => return Ok(orders),
                Reply::Order(order) => orders.push(order),
                Reply::Log => {}
            }
        }
    }
}

impl Decider for Hosted {
    fn step(&mut self, now: Nanos, events: &[Event]) -> Vec<Order> {
        if self.failed {
            return Vec::new();
        }
        let mut lines = Vec::new();
        events.iter().filter_map(quantize_event).for_each(|event| encode_event(&event, &mut lines));
        self.exchange(micros(now), &lines).unwrap_or_else(|cause| {
            self.failed = true;
            self.fault.set(format!("the hosted controller failed at {} s: {cause}", now.secs()));
            Vec::new()
        })
    }
}

fn zone_name(zone: ZoneId) -> String {
    format!("zone-{}", zone.0)
}

fn kind_name(kind: KindId) -> String {
    format!("kind-{}", kind.0)
}

fn class_name(class: usize) -> String {
    format!("class-{class}")
}

/// Encodes the settings for the JSON lines.
fn wire_settings(settings: &Settings) -> Value {
    let profile = |(index, class): (usize, &ClassSettings)| {
        let semantics = match class.repeats {
            Repeats::Safe => "free",
            Repeats::Guarded => "guarded",
            Repeats::Never => "single_shot",
        };
        json!({
            "name": class_name(index),
            "aim": class.latency_goal.secs(),
            "deadline": class.deadline.secs(),
            "worth": class.importance,
            "semantics": semantics,
            "only-zones": class.only_zones.iter().copied().map(zone_name).collect::<Vec<String>>(),
            "only-kinds": class.only_kinds.iter().copied().map(kind_name).collect::<Vec<String>>(),
        })
    };
    let admission = match settings.level_unit {
        LevelUnit::Share => "ratio",
        LevelUnit::Rate => "rps",
        LevelUnit::Ignored => "none",
    };
    let mut rules = json!({
        "stop-sending-within": settings.drain_grace.secs(),
        "cold-share": settings.cold_share,
        "ramp-time": settings.warm_after.secs(),
        "fall-multiple": settings.overload_multiple,
        "fall": settings.overload_window.secs(),
    });
    if settings.list_known_within < Nanos(u64::MAX) {
        rules["ask-within"] = settings.list_known_within.secs().into();
    }
    json!({
        "localities": (0..MAX_INDICES).map(|index| zone_name(ZoneId(index))).collect::<Vec<String>>(),
        "kinds": (0..MAX_INDICES).map(|index| kind_name(KindId(index))).collect::<Vec<String>>(),
        "reporting": {"names": ["busy", "rif", "lat_ms"]},
        "profiles": settings.classes.iter().enumerate().map(profile).collect::<Vec<Value>>(),
        "balancers": settings.controllers,
        "registry-mode": if settings.list_on_request { "on_request" } else { "pushed" },
        "rules": rules,
        "caps": {"probing": settings.probes},
        "extra": {
            "home-only": settings.classes.iter().map(|class| class.home_only).collect::<Vec<bool>>(),
            "data-plane-size": settings.proxies,
            "bare": settings.no_line_limit.secs(),
            "admission": admission,
            "egress-per-s": settings.channel_lines_per_second,
            "queue-cap": settings.channel_lines_limit,
            "envelope": settings.lines_per_message,
            "update-cap": settings.message_limit,
            "reload-span": settings.message_span.secs(),
            "interval": settings.report_period.secs(),
            "slices": settings.slices,
        },
    })
}

fn wire_report(report: &LoadReport) -> Value {
    json!([report.busy, report.in_flight, report.service_time.map(|span| span.secs() * 1e3)])
}

/// Encodes an event as JSON lines.
fn encode_event(event: &Event, lines: &mut Vec<Value>) {
    match event {
        Event::List { scope, entries } => {
            let row = |entry: &Listing| {
                let mode = match entry.readiness {
                    Readiness::Ready => "up",
                    Readiness::Draining => "draining",
                    Readiness::Removed => "removed",
                };
                json!([
                    kind_name(entry.kind),
                    entry.cell.0,
                    &*entry.server.0,
                    entry.weight,
                    entry.started.map(Nanos::secs),
                    mode,
                    zone_name(entry.zone),
                ])
            };
            let scope = match scope {
                ListScope::Changes => "Partial",
                ListScope::Whole => "Complete",
                ListScope::Remembered => "Persisted",
                ListScope::Failed => "Error",
            };
            lines.push(json!(["SNAPSHOT_ROWS", 0, entries.iter().map(row).collect::<Vec<Value>>()]));
            lines.push(json!(["FLEET", INSTANCE, 0, scope, 0]));
        }
        Event::ProxyJoined { proxy, zone, usual_rate } => {
            lines.push(json!(["ENROLLED", INSTANCE, proxy.0, zone_name(*zone), usual_rate, false]));
        }
        Event::ProxyLeft { proxy } => lines.push(json!(["LEFT", INSTANCE, proxy.0])),
        Event::TriesReported { server, zone, tries, unanswered, span, latency, report: load } => {
            let (span, latency) = (span.secs(), latency.secs());
            let (server, zone) = (&*server.0, zone_name(*zone));
            lines.push(json!([
                "OBSERVED",
                INSTANCE,
                tries,
                unanswered,
                server,
                span,
                latency,
                zone,
                wire_report(load)
            ]));
        }
        Event::Demand { proxy, class, arrived, unanswered, span } => {
            let class = class_name(usize::from(class.0));
            lines.push(json!(["OFFERED_LOAD", INSTANCE, proxy.0, class, arrived, unanswered, span.secs()]));
        }
        Event::Probed { server, outcome, latency: took, report: load } => {
            let how = match outcome {
                ProbeOutcome::Answered => 0,
                ProbeOutcome::TurnedAway => 254,
                ProbeOutcome::Failed => 255,
            };
            lines.push(json!(["SAMPLED", INSTANCE, &*server.0, how, took.secs(), wire_report(load)]));
        }
        Event::Applied { proxy, mark } => lines.push(json!(["RECEIPT", INSTANCE, proxy.0, mark])),
        Event::Woken => lines.push(json!(["TIMEOUT_FIRED", INSTANCE, "turn"])),
        // Dropped by `quantize_event`.
        Event::ExistingBinding { .. }
        | Event::OrderRefused { .. }
        | Event::ChannelLoad { .. }
        | Event::PeerMessage { .. }
        | Event::SliceAssigned { .. }
        | Event::SliceLine { .. }
        | Event::SliceDemand { .. } => {}
    }
}

enum Reply {
    Order(Order),
    /// A log message.
    Log,
    Done,
}

/// Parses one line of output. Numbers are parsed by the standard library, whose parsing is exact.
fn parse_reply(text: &str) -> Result<Reply, String> {
    let malformed = || format!("malformed reply: {}", text.trim_end());
    let values: Vec<&RawValue> = serde_json::from_str(text).map_err(|_| malformed())?;
    let at = |index: usize| values.get(index).map(|value| value.get()).ok_or_else(malformed);
    let number = |index: usize| at(index)?.parse::<f64>().map_err(|_| malformed());
    let whole = |index: usize| at(index)?.parse::<u32>().map_err(|_| malformed());
    let short = |index: usize| at(index)?.parse::<u16>().map_err(|_| malformed());
    let string = |index: usize| serde_json::from_str::<String>(at(index)?).map_err(|_| malformed());
    let server = |index: usize| Ok::<ServerId, String>(ServerId(string(index)?.into()));
    Ok(Reply::Order(match string(0)?.as_str() {
        "OK" => return Ok(Reply::Done),
        "SAY_LOG" => return Ok(Reply::Log),
        "INTERNAL_ERROR" => return Err(format!("the hosted controller reported an error: {}", string(2)?)),
        "WEIGH" => Order::Line { weight: number(2)?, table: TableId(short(3)?), server: server(4)? },
        "HAND_TABLE" => {
            Order::Bind { classes: ClassSet(whole(2)?), proxy: ProxyId(short(3)?), table: TableId(short(4)?) }
        }
        "ALLOW" => Order::Level {
            classes: ClassSet(whole(2)?),
            level: number(3)?,
            retries: match whole(4)? {
                0 => Retries::Never,
                1 => Retries::IfNotExecuted,
                2 => Retries::Once,
                3 => Retries::Twice,
                _ => return Err(malformed()),
            },
            table: TableId(short(5)?),
        },
        "INSPECT" => Order::Probe { server: server(2)? },
        "STAMP" => Order::Mark { mark: short(2)? },
        "SUBSCRIBE" => Order::WatchList,
        "SLEEP" => Order::Wake { after: Nanos::from_secs(number(2)?) },
        _ => return Err(malformed()),
    }))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rounded_numbers_survive_a_round_trip_as_text() {
        for value in [0.1 + 0.2, 1.0 / 3.0, 123_456.789_012_345_67, 1e-9, 0.0, -2.0 / 7.0] {
            let rounded_once = rounded(value);
            assert!((rounded_once - value).abs() <= value.abs() * 1e-11);
            assert_eq!(rounded(rounded_once), rounded_once);
            let text = serde_json::to_string(&rounded_once).unwrap();
            assert_eq!(serde_json::from_str::<f64>(&text).unwrap(), rounded_once);
        }
    }

    #[test]
    fn malformed_replies_are_rejected_with_an_error() {
        assert!(matches!(parse_reply("[\"OK\",3]"), Ok(Reply::Done)));
        let line = parse_reply("[\"WEIGH\",\"c\",0.30000000000000004,117,\"a:1\"]");
        let Ok(Reply::Order(Order::Line { weight, table, .. })) = line else { panic!() };
        assert_eq!((weight, table), (0.1 + 0.2, TableId(117)));
        for text in [
            "",
            "{}",
            "[]",
            "[7]",
            "[\"WEIGH\",\"c\",0.5]",
            "[\"ALLOW\",\"c\",1,0.5,9,1]",
            "[\"HAND_TABLE\",\"c\",1,70000,1]",
            "[\"WIPE\",\"c\",1]",
        ] {
            assert!(parse_reply(text).is_err(), "{text}");
        }
        let failed = parse_reply("[\"INTERNAL_ERROR\",\"c\",\"index out of range\"]");
        assert!(failed.is_err_and(|cause| cause.contains("index out of range")));
    }

    #[test]
    fn a_missing_program_fails_the_run_with_its_path() {
        let fault = Fault::default();
        let build = Build::Hosted(PathBuf::from("/nowhere/at/all"));
        let script = craneknot_rehearsal::Script::built_in().unwrap();
        let settings = craneknot_rehearsal::runner::coordinator_settings(&script, 0).controller_settings().1;
        let mut controller = build.start(&settings, 1, Nanos(0), &fault);
        assert!(controller.step(Nanos(1), &[Event::Woken]).is_empty());
        assert!(fault.get().unwrap().contains("/nowhere/at/all"));
    }
}
