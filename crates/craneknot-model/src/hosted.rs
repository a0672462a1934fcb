//! Decisions of another build, hosted in a process of their own: a `craneknot-wirehost` of any commit, spoken to in its JSON
//! lines as the simulator of the users does. So two builds of the decisions meet the same days.
//!
//! The lines carry moments in microseconds and no names of ours: zones, kinds and classes go by their places. What comes from
//! this program's own decisions in [`Quantized`] is rounded alike, so that the same build in either form plays the same day to the
//! last digit.

use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::{Arc, Mutex};

use craneknot::interface::*;
use craneknot::Controller;
use craneknot_coordinator::desk::Decide;
use serde_json::value::RawValue;
use serde_json::{json, Value};

const INSTANCE: &str = "coordinator-0"; // each process hosts one
const PLACES: u16 = 256; // zones and kinds that can be told apart by their places
const DIGITS: i32 = 12; // significant digits of a figure that is no moment: any reader of decimals gets back the same one

/// Whose decisions are played.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Build {
    /// This program's.
    #[default]
    Own,
    /// This program's, told moments and figures as coarsely as a hosted build is.
    OwnQuantized,
    /// Those of a wirehost, the path of its program.
    Hosted(PathBuf),
}

/// The first thing that went wrong with any hosted process of a run.
#[derive(Clone, Debug, Default)]
pub struct Fault(Arc<Mutex<Option<String>>>);

impl Fault {
    fn set(&self, cause: String) {
        if let Ok(mut held) = self.0.lock() {
            held.get_or_insert(cause);
        }
    }

    pub fn get(&self) -> Option<String> {
        self.0.lock().ok()?.clone()
    }
}

impl Build {
    /// Starts its decisions.
    pub fn start(&self, settings: &Settings, seed: u64, now: Nanos, fault: &Fault) -> Box<dyn Decide> {
        match self {
            Build::Own => Box::new(Controller::new(settings.clone(), seed, now)),
            Build::OwnQuantized => Box::new(Quantized(Controller::new(settings.clone(), seed, micros(now)))),
            Build::Hosted(program) => match Hosted::start(program, settings, seed, now, fault.clone()) {
                Ok(hosted) => Box::new(hosted),
                Err(cause) => {
                    fault.set(format!("{}: {cause}", program.display()));
                    Box::new(Nothing)
                }
            },
        }
    }
}

/// Decides nothing: the run has failed.
struct Nothing;

impl Decide for Nothing {
    fn step(&mut self, _: Nanos, _: &[Event]) -> Vec<Order> {
        Vec::new()
    }
}

/// This program's decisions, told as coarsely as the lines of JSON tell.
pub struct Quantized(Controller);

impl Decide for Quantized {
    fn step(&mut self, now: Nanos, events: &[Event]) -> Vec<Order> {
        let events: Vec<Event> = events.iter().filter_map(coarse).collect();
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

/// In whole microseconds.
fn micros(span: Nanos) -> Nanos {
    Nanos::from_secs(span.secs())
}

/// To some significant digits.
fn rounded(value: f64) -> f64 {
    if value == 0.0 || !value.is_finite() {
        return value;
    }
    format!("{value:.*e}", DIGITS as usize - 1).parse().unwrap_or(value)
}

fn coarse_report(report: &LoadReport) -> LoadReport {
    LoadReport {
        busy: report.busy.map(rounded),
        in_flight: report.in_flight.map(rounded),
        service_time: report.service_time.map(micros),
    }
}

/// An event as the lines can carry it; nothing where they cannot.
fn coarse(event: &Event) -> Option<Event> {
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
            (*span, *latency, *report) = (micros(*span), micros(*latency), coarse_report(report));
        }
        Event::Demand { span, .. } => *span = micros(*span),
        Event::Probed { latency: took, report, .. } => {
            (*took, *report) = (micros(*took), coarse_report(report))
        }
        Event::ProxyLeft { .. } | Event::Applied { .. } | Event::Woken => {}
        // A shared fleet's, and key ranges': the lines have no words for the first, the coordinator no use for the others.
        Event::ExistingBinding { .. }
        | Event::OrderRefused { .. }
        | Event::PeerMessage { .. }
        | Event::SliceAssigned { .. }
        | Event::SliceLine { .. }
        | Event::SliceDemand { .. } => return None,
    }
    Some(event)
}

/// The decisions of another process.
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
        let (input, output) = pipes.ok_or(io::Error::other("has no pipes"))?;
        let (input, output) = (BufWriter::new(input), BufReader::new(output));
        let mut hosted = Hosted { child, input, output, batch: 0, failed: false, fault };
        let spawn = json!(["SPAWN", INSTANCE, seed, config(settings)]);
        hosted.talk(micros(now), &[spawn])?;
        Ok(hosted)
    }

    /// One batch there and back.
    fn talk(&mut self, now: Nanos, lines: &[Value]) -> io::Result<Vec<Order>> {
        self.batch += 1;
        writeln!(self.input, "{}", json!(["TICK", now.secs(), self.batch]))?;
        lines.iter().try_for_each(|line| writeln!(self.input, "{line}"))?;
        writeln!(self.input, "[\"YOUR_TURN\"]")?;
        self.input.flush()?;
        let (mut orders, mut text) = (Vec::new(), String::new());
        loop {
            text.clear();
            if self.output.read_line(&mut text)? == 0 {
                return Err(io::Error::other("has ended in the middle of a turn"));
            }
            match reply(&text).map_err(io::Error::other)? {
                Reply::Done => return Ok(orders),
                Reply::Order(order) => orders.push(order),
                Reply::Said => {}
            }
        }
    }
}

impl Decide for Hosted {
    fn step(&mut self, now: Nanos, events: &[Event]) -> Vec<Order> {
        if self.failed {
            return Vec::new();
        }
        let mut lines = Vec::new();
        events.iter().filter_map(coarse).for_each(|event| say(&event, &mut lines));
        self.talk(micros(now), &lines).unwrap_or_else(|cause| {
            self.failed = true;
            self.fault.set(format!("the hosted decisions failed at {} s: {cause}", now.secs()));
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

/// The settings in the words of the lines.
fn config(settings: &Settings) -> Value {
    let profile = |(place, class): (usize, &ClassSettings)| {
        let semantics = match class.repeats {
            Repeats::Safe => "free",
            Repeats::Guarded => "guarded",
            Repeats::Never => "single_shot",
        };
        json!({
            "name": class_name(place),
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
        "localities": (0..PLACES).map(|place| zone_name(ZoneId(place))).collect::<Vec<String>>(),
        "kinds": (0..PLACES).map(|place| kind_name(KindId(place))).collect::<Vec<String>>(),
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

fn report(report: &LoadReport) -> Value {
    json!([report.busy, report.in_flight, report.service_time.map(|span| span.secs() * 1e3)])
}

/// An event in the words of the lines.
fn say(event: &Event, lines: &mut Vec<Value>) {
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
                report(load)
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
            lines.push(json!(["SAMPLED", INSTANCE, &*server.0, how, took.secs(), report(load)]));
        }
        Event::Applied { proxy, mark } => lines.push(json!(["RECEIPT", INSTANCE, proxy.0, mark])),
        Event::Woken => lines.push(json!(["TIMEOUT_FIRED", INSTANCE, "turn"])),
        // Left out by `coarse`.
        Event::ExistingBinding { .. }
        | Event::OrderRefused { .. }
        | Event::PeerMessage { .. }
        | Event::SliceAssigned { .. }
        | Event::SliceLine { .. }
        | Event::SliceDemand { .. } => {}
    }
}

enum Reply {
    Order(Order),
    /// A word for the log.
    Said,
    Done,
}

/// One line that came back. Figures are read by the standard library, whose reading is exact.
fn reply(text: &str) -> Result<Reply, String> {
    let strange = || format!("said what is not understood: {}", text.trim_end());
    let values: Vec<&RawValue> = serde_json::from_str(text).map_err(|_| strange())?;
    let at = |place: usize| values.get(place).map(|value| value.get()).ok_or_else(strange);
    let number = |place: usize| at(place)?.parse::<f64>().map_err(|_| strange());
    let whole = |place: usize| at(place)?.parse::<u32>().map_err(|_| strange());
    let small = |place: usize| at(place)?.parse::<u16>().map_err(|_| strange());
    let word = |place: usize| serde_json::from_str::<String>(at(place)?).map_err(|_| strange());
    let server = |place: usize| Ok::<ServerId, String>(ServerId(word(place)?.into()));
    Ok(Reply::Order(match word(0)?.as_str() {
        "OK" => return Ok(Reply::Done),
        "SAY_LOG" => return Ok(Reply::Said),
        "INTERNAL_ERROR" => return Err(format!("its decisions failed: {}", word(2)?)),
        "WEIGH" => Order::Line { weight: number(2)?, table: TableId(small(3)?), server: server(4)? },
        "HAND_TABLE" => {
            Order::Bind { classes: ClassSet(whole(2)?), proxy: ProxyId(small(3)?), table: TableId(small(4)?) }
        }
        "ALLOW" => Order::Level {
            classes: ClassSet(whole(2)?),
            level: number(3)?,
            retries: match whole(4)? {
                0 => Retries::Never,
                1 => Retries::IfNotExecuted,
                2 => Retries::Once,
                3 => Retries::Twice,
                _ => return Err(strange()),
            },
            table: TableId(small(5)?),
        },
        "INSPECT" => Order::Probe { server: server(2)? },
        "STAMP" => Order::Mark { mark: small(2)? },
        "SUBSCRIBE" => Order::WatchList,
        "SLEEP" => Order::Wake { after: Nanos::from_secs(number(2)?) },
        _ => return Err(strange()),
    }))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn figures_are_rounded_so_that_any_reader_gets_the_same() {
        for value in [0.1 + 0.2, 1.0 / 3.0, 123_456.789_012_345_67, 1e-9, 0.0, -2.0 / 7.0] {
            let once = rounded(value);
            assert!((once - value).abs() <= value.abs() * 1e-11);
            assert_eq!(rounded(once), once);
            let text = serde_json::to_string(&once).unwrap();
            assert_eq!(serde_json::from_str::<f64>(&text).unwrap(), once);
        }
    }

    #[test]
    fn strange_replies_are_named_and_never_half_taken() {
        assert!(matches!(reply("[\"OK\",3]"), Ok(Reply::Done)));
        let line = reply("[\"WEIGH\",\"c\",0.30000000000000004,117,\"a:1\"]");
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
            assert!(reply(text).is_err(), "{text}");
        }
        let failed = reply("[\"INTERNAL_ERROR\",\"c\",\"index out of range\"]");
        assert!(failed.is_err_and(|cause| cause.contains("index out of range")));
    }

    #[test]
    fn a_program_that_is_not_there_fails_the_run_and_says_so() {
        let fault = Fault::default();
        let build = Build::Hosted(PathBuf::from("/nowhere/at/all"));
        let script = craneknot_rehearsal::Script::built_in().unwrap();
        let settings = craneknot_rehearsal::conduct::coordinator_settings(&script, 0).controller_settings().1;
        let mut decider = build.start(&settings, 1, Nanos(0), &fault);
        assert!(decider.step(Nanos(1), &[Event::Woken]).is_empty());
        assert!(fault.get().unwrap().contains("/nowhere/at/all"));
    }
}
