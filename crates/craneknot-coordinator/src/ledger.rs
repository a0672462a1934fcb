//! The ledger: a record of the events given to a coordinator's decisions and of its orders, as JSON lines in
//! gzip members (RFC 8259, RFC 1952). Each member ends with a complete line, so that a kill at any byte loses
//! at most the member being written. The model replays the demand of ledgers, and `craneknot solve` explains
//! weights from them.
//!
//! It contains only what the coordinator sees: arrivals by zone and class as reported, the outcomes of tries
//! as proxies reported them, and the server lists as accepted.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::path::{Path, PathBuf};

use craneknot::interface::*;
use craneknot_settings::{ClassSettings, CoordinatorSettings, LedgerSettings, Names, RuleSettings, Span};
use flate2::bufread::GzDecoder;
use flate2::write::GzEncoder;
use flate2::Compression;
use serde::{Deserialize, Serialize};

pub const FORMAT: &str = "craneknot-ledger-1";
const MAX_MEMBER_BYTES: u64 = 256 * 1024 * 1024; // unpacked; more than all lines that may wait for the disk
const MAX_LINES: usize = 50_000_000; // in one ledger; weeks of a fleet of hundreds
const MAX_PENDING_LINES: usize = 1_000_000; // not yet on disk; excess lines are dropped and counted

/// Microseconds since the Unix epoch, by the coordinator's clock.
pub type Micros = u64;

/// A server's state in a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedState {
    #[serde(rename = "r")]
    Ready,
    #[serde(rename = "d")]
    Draining,
    #[serde(rename = "g")]
    Removed,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Probe {
    #[serde(rename = "a")]
    Answered,
    #[serde(rename = "t")]
    Rejected,
    #[serde(rename = "f")]
    Failed,
}

/// One line: an event or a summary of orders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Line {
    /// Defines a server's number in this file: number, address, zone and kind.
    #[serde(rename = "s")]
    Server(u32, String, String, String),
    /// Time, server, state, listed weight, start time.
    #[serde(rename = "l")]
    Listed(Micros, u32, ListedState, Option<f64>, Option<Micros>),
    /// Time: the server list could not be read.
    #[serde(rename = "x")]
    ListFailed(Micros),
    /// Time, zone and class as indexes into the header's lists, operations arrived, tries without an answer,
    /// and the mean interval of the proxies' counts in microseconds.
    #[serde(rename = "d")]
    Demand(Micros, u16, u16, u64, u64, u64),
    /// Time, server, zone of the proxies, tries, tries without an answer, interval and mean latency of
    /// successes in microseconds, and the server's load report: busy share, operations in flight, service
    /// time in microseconds.
    #[serde(rename = "h")]
    TriesReported(Micros, u32, u16, u64, u64, u64, u64, Option<f64>, Option<f64>, Option<u64>),
    /// Time, server, outcome, duration in microseconds.
    #[serde(rename = "p")]
    Probed(Micros, u32, Probe, u64),
    /// Time, numbers of joined proxies by zone from now on.
    #[serde(rename = "j")]
    Joined(Micros, Vec<u32>),
    /// Time, numbers of lines, bindings and levels ordered.
    #[serde(rename = "o")]
    Ordered(Micros, u32, u32, u32),
    /// The number of lines dropped here, since they could not be written.
    #[serde(rename = "m")]
    Dropped(u64),
}

/// The first line of a file: whose ledger it is, and the fleet in that coordinator's settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    pub format: String,
    /// The version of the program that wrote it.
    pub version: String,
    pub coordinator: String,
    pub began: Micros,
    pub zones: Vec<String>,
    pub classes: Vec<ClassSettings>,
    pub rules: RuleSettings,
    pub report_period: Span,
}

impl Header {
    pub fn of(settings: &CoordinatorSettings, now: Nanos) -> Self {
        Header {
            format: FORMAT.to_owned(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            coordinator: settings.name.clone(),
            began: micros(now),
            zones: settings.fleet.zones.clone(),
            classes: settings.fleet.classes.clone(),
            rules: settings.rules.clone(),
            report_period: settings.report_period,
        }
    }
}

fn micros(span: Nanos) -> Micros {
    span.0 / 1_000
}

/// Converts events and orders into lines, without a file or a clock of its own.
pub struct Ledger {
    head: Header,
    /// Servers' numbers, zones and kinds; kept when files are rotated.
    servers: BTreeMap<ServerId, (u32, String, String)>,
    zone_by_proxy: BTreeMap<ProxyId, ZoneId>,
    lines: Vec<Line>,
    dropped: u64,
}

impl Ledger {
    pub fn new(head: Header) -> Self {
        Ledger {
            head,
            servers: BTreeMap::new(),
            zone_by_proxy: BTreeMap::new(),
            lines: Vec::new(),
            dropped: 0,
        }
    }

    /// Takes the lines since the last call.
    pub fn take(&mut self) -> Vec<Line> {
        let mut lines = std::mem::take(&mut self.lines);
        if self.dropped > 0 {
            lines.push(Line::Dropped(std::mem::take(&mut self.dropped)));
        }
        lines
    }

    /// Puts back lines that could not be written, to be written with later ones as far as there is room.
    pub fn requeue(&mut self, mut lines: Vec<Line>) {
        lines.append(&mut self.lines);
        self.lines = lines;
        self.trim();
    }

    /// Takes all lines not yet written, in the form that reading a file gives.
    pub fn take_contents(&mut self) -> LedgerContents {
        LedgerContents { head: self.head.clone(), lines: self.take(), torn: false }
    }

    fn trim(&mut self) {
        let excess = self.lines.len().saturating_sub(MAX_PENDING_LINES);
        // Drops the oldest lines, except definitions of servers, which later lines refer to.
        let mut left_to_drop = excess;
        self.lines.retain(|line| {
            let is_dropped = left_to_drop > 0 && !matches!(line, Line::Server(..));
            left_to_drop -= usize::from(is_dropped);
            !is_dropped
        });
        self.dropped += (excess - left_to_drop) as u64;
    }

    fn server_number(&mut self, server: &ServerId, zone: &str, kind: &str) -> u32 {
        let next = self.servers.len() as u32;
        let known = self.servers.get(server);
        let number = known.map_or(next, |known| known.0);
        // A server reported before it was listed gets its zone and kind now.
        if known.is_none_or(|known| !zone.is_empty() && (known.1 != zone || known.2 != kind)) {
            self.servers.insert(server.clone(), (number, zone.to_owned(), kind.to_owned()));
            self.lines.push(Line::Server(number, server.0.to_string(), zone.to_owned(), kind.to_owned()));
        }
        number
    }

    /// Records the events given to the decisions at `now`.
    pub fn record_events(&mut self, now: Nanos, events: &[Event], names: &Names) {
        let at = micros(now);
        let mut demand: BTreeMap<(ZoneId, ClassId), (u64, u64, u64, u64)> = BTreeMap::new();
        let mut joined = false;
        for event in events {
            match event {
                Event::List { scope: ListScope::Failed, .. } => self.lines.push(Line::ListFailed(at)),
                Event::List { entries, .. } => {
                    for entry in entries.iter() {
                        let (zone, kind) = (names.zone_name(entry.zone), names.kind_name(entry.kind));
                        let server = self.server_number(&entry.server, zone, kind);
                        let state = match entry.readiness {
                            Readiness::Ready => ListedState::Ready,
                            Readiness::Draining => ListedState::Draining,
                            Readiness::Removed => ListedState::Removed,
                        };
                        let started = entry.started.map(micros);
                        self.lines.push(Line::Listed(at, server, state, entry.weight, started));
                    }
                }
                Event::ProxyJoined { proxy, zone, .. } => {
                    self.zone_by_proxy.insert(*proxy, *zone);
                    joined = true;
                }
                Event::ProxyLeft { proxy } => {
                    self.zone_by_proxy.remove(proxy);
                    joined = true;
                }
                Event::TriesReported { server, zone, tries, unanswered, span, latency, report } => {
                    let server = self.server_number(server, "", "");
                    self.lines.push(Line::TriesReported(
                        at,
                        server,
                        zone.0,
                        *tries,
                        *unanswered,
                        micros(*span),
                        micros(*latency),
                        report.busy,
                        report.in_flight,
                        report.service_time.map(micros),
                    ));
                }
                Event::Demand { proxy, class, arrived, unanswered, span } => {
                    let Some(zone) = self.zone_by_proxy.get(proxy) else { continue };
                    let total = demand.entry((*zone, *class)).or_default();
                    *total = (total.0 + arrived, total.1 + unanswered, total.2 + micros(*span), total.3 + 1);
                }
                Event::Probed { server, outcome, latency: duration, .. } => {
                    let server = self.server_number(server, "", "");
                    let outcome = match outcome {
                        ProbeOutcome::Answered => Probe::Answered,
                        ProbeOutcome::TurnedAway => Probe::Rejected,
                        ProbeOutcome::Failed => Probe::Failed,
                    };
                    self.lines.push(Line::Probed(at, server, outcome, micros(*duration)));
                }
                Event::ExistingBinding { .. }
                | Event::Applied { .. }
                | Event::OrderRefused { .. }
                | Event::ChannelLoad { .. }
                | Event::Woken
                | Event::PeerMessage { .. }
                | Event::SliceAssigned { .. }
                | Event::SliceLine { .. }
                | Event::SliceDemand { .. } => {}
            }
        }
        for ((zone, class), (arrived, unanswered, span, counts)) in demand {
            let span = span / counts.max(1);
            self.lines.push(Line::Demand(at, zone.0, u16::from(class.0), arrived, unanswered, span));
        }
        if joined {
            let mut counts = vec![0; self.head.zones.len()];
            for zone in self.zone_by_proxy.values() {
                if let Some(count) = counts.get_mut(usize::from(zone.0)) {
                    *count += 1;
                }
            }
            self.lines.push(Line::Joined(at, counts));
        }
        self.trim();
    }

    /// Records how many orders were given.
    pub fn record_orders(&mut self, now: Nanos, orders: &[Order]) {
        let count =
            |is_counted: fn(&Order) -> bool| orders.iter().filter(|order| is_counted(order)).count() as u32;
        let lines = count(|order| matches!(order, Order::Line { .. }));
        let binds = count(|order| matches!(order, Order::Bind { .. }));
        let levels = count(|order| matches!(order, Order::Level { .. }));
        if lines + binds + levels > 0 {
            self.lines.push(Line::Ordered(micros(now), lines, binds, levels));
        }
    }
}

/// The file of a ledger, rotated at a size limit; some of the old files are kept.
pub struct LedgerFile {
    path: PathBuf,
    max_bytes: u64,
    kept_files: u32,
    file: Option<File>,
    bytes: u64,
}

impl LedgerFile {
    pub fn new(path: PathBuf, settings: &LedgerSettings) -> Self {
        LedgerFile { path, max_bytes: settings.most_bytes, kept_files: settings.kept, file: None, bytes: 0 }
    }

    fn rotated_path(&self, number: u32) -> PathBuf {
        let mut name = self.path.as_os_str().to_owned();
        name.push(format!(".{number}"));
        PathBuf::from(name)
    }

    /// Rotates the files: `.1` is the newest of the old ones.
    fn rotate(&mut self) -> io::Result<()> {
        self.file = None;
        if !self.path.try_exists()? {
            return Ok(());
        }
        if self.kept_files == 0 {
            return fs::remove_file(&self.path);
        }
        for number in (1..self.kept_files).rev() {
            match fs::rename(self.rotated_path(number), self.rotated_path(number + 1)) {
                Err(cause) if cause.kind() != io::ErrorKind::NotFound => return Err(cause),
                Ok(()) | Err(_) => {}
            }
        }
        fs::rename(&self.path, self.rotated_path(1))
    }

    /// Writes the ledger's lines as one member, in a new file if none is open or the current one is full.
    pub fn write(&mut self, ledger: &mut Ledger, now: Nanos) -> io::Result<()> {
        let lines = ledger.take();
        if lines.is_empty() {
            return Ok(());
        }
        let written = self.write_lines(ledger, &lines, now);
        if written.is_err() {
            // The file may end in a partial member, so nothing is appended to it.
            self.file = None;
            ledger.requeue(lines);
        }
        written
    }

    fn write_lines(&mut self, ledger: &mut Ledger, lines: &[Line], now: Nanos) -> io::Result<()> {
        let mut text = Vec::new();
        if self.file.is_none() || self.bytes >= self.max_bytes {
            self.rotate()?;
            let file = OpenOptions::new().create_new(true).append(true).open(&self.path)?;
            ledger.head.began = micros(now);
            push(&mut text, &ledger.head)?;
            // Each file is self-contained: it defines all servers known so far.
            for (server, (number, zone, kind)) in &ledger.servers {
                push(&mut text, &Line::Server(*number, server.0.to_string(), zone.clone(), kind.clone()))?;
            }
            (self.file, self.bytes) = (Some(file), 0);
        }
        lines.iter().try_for_each(|line| push(&mut text, line))?;
        let mut member = GzEncoder::new(Vec::new(), Compression::default());
        member.write_all(&text)?;
        let member = member.finish()?;
        self.bytes += member.len() as u64;
        match &mut self.file {
            Some(file) => file.write_all(&member),
            None => Err(io::Error::other("no file is open")),
        }
    }
}

/// Writes a complete ledger to one file.
pub fn write(path: &Path, contents: &LedgerContents) -> io::Result<()> {
    let mut text = Vec::new();
    push(&mut text, &contents.head)?;
    contents.lines.iter().try_for_each(|line| push(&mut text, line))?;
    let mut member = GzEncoder::new(Vec::new(), Compression::default());
    member.write_all(&text)?;
    fs::write(path, member.finish()?)
}

fn push(text: &mut Vec<u8>, value: &impl Serialize) -> io::Result<()> {
    serde_json::to_writer(&mut *text, value)?;
    text.push(b'\n');
    Ok(())
}

/// The contents of a ledger.
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerContents {
    pub head: Header,
    pub lines: Vec<Line>,
    /// The last member is truncated: its writer was killed, or is still writing.
    pub torn: bool,
}

/// Why a ledger cannot be read.
#[derive(Debug)]
pub enum Fault {
    System(io::Error),
    /// An invalid line, counted from 1.
    Line(usize, String),
    /// The file is empty or has another format.
    Format(String),
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Fault::System(cause) => write!(f, "cannot be read: {cause}"),
            Fault::Line(line, cause) => write!(f, "line {line}: {cause}"),
            Fault::Format(what) => write!(
                f,
                "{what}; a ledger begins with a line of format {FORMAT:?} (see /ledger in a coordinator's settings)"
            ),
        }
    }
}

/// The text of the next member; `None` at the end, an error where it is truncated or damaged.
fn member(input: &mut impl BufRead) -> Option<Result<Vec<u8>, String>> {
    match input.fill_buf() {
        Ok([]) => return None,
        Ok(_) => {}
        Err(cause) => return Some(Err(cause.to_string())),
    }
    let mut text = Vec::new();
    let read = GzDecoder::new(input).take(MAX_MEMBER_BYTES).read_to_end(&mut text);
    Some(match read {
        Ok(count) if count as u64 >= MAX_MEMBER_BYTES => {
            Err(format!("a member exceeds {MAX_MEMBER_BYTES} bytes"))
        }
        Ok(_) => Ok(text),
        Err(cause) => Err(cause.to_string()),
    })
}

/// Reads a ledger. A truncated last member is skipped and noted in `torn`; damage before it is an error.
pub fn read(path: &Path) -> Result<LedgerContents, Fault> {
    let mut input = BufReader::new(File::open(path).map_err(Fault::System)?);
    let mut head: Option<Header> = None;
    let (mut lines, mut number, mut torn) = (Vec::new(), 0, false);
    let mut servers = 0;
    while let Some(text) = member(&mut input) {
        let text = match text {
            Ok(text) => text,
            Err(cause) if number == 0 => {
                return Err(Fault::Format(format!("not gzip, or truncated: {cause}")))
            }
            Err(cause) => {
                // At the end of the file it is a truncated write; with more data behind it, damage.
                let mut rest = Vec::new();
                let rest_bytes = input.read_to_end(&mut rest).map_err(Fault::System)?;
                if rest_bytes > 0 {
                    return Err(Fault::Line(number + 1, format!("damaged: {cause}")));
                }
                torn = true;
                break;
            }
        };
        for line in text.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
            number += 1;
            let Some(head) = &head else {
                let read: Header = serde_json::from_slice(line)
                    .map_err(|cause| Fault::Format(format!("its header cannot be read: {cause}")))?;
                if read.format != FORMAT {
                    return Err(Fault::Format(format!("its format is {:?}", read.format)));
                }
                head = Some(read);
                continue;
            };
            if lines.len() >= MAX_LINES {
                return Err(Fault::Line(number, format!("more than {MAX_LINES} lines")));
            }
            let line: Line =
                serde_json::from_slice(line).map_err(|cause| Fault::Line(number, cause.to_string()))?;
            head.check_references(&line, &mut servers).map_err(|what| Fault::Line(number, what))?;
            lines.push(line);
        }
    }
    let head = head.ok_or(Fault::Format("it is empty".to_owned()))?;
    Ok(LedgerContents { head, lines, torn })
}

impl Header {
    /// Checks that a line refers only to zones and classes of the header and to servers defined before it.
    fn check_references(&self, line: &Line, servers: &mut u32) -> Result<(), String> {
        let (server, zone, class) = match line {
            Line::Server(number, ..) => {
                *servers = (*servers).max(number.saturating_add(1));
                return Ok(());
            }
            Line::Listed(_, server, ..) | Line::Probed(_, server, ..) => (Some(*server), None, None),
            Line::TriesReported(_, server, zone, ..) => (Some(*server), Some(*zone), None),
            Line::Demand(_, zone, class, ..) => (None, Some(*zone), Some(*class)),
            Line::ListFailed(_) | Line::Joined(..) | Line::Ordered(..) | Line::Dropped(_) => {
                (None, None, None)
            }
        };
        if let Some(server) = server.filter(|server| *server >= *servers) {
            return Err(format!("server {server} is not defined before it"));
        }
        if let Some(zone) = zone.filter(|zone| usize::from(*zone) >= self.zones.len()) {
            return Err(format!("zone {zone} is not one of the {} in the header", self.zones.len()));
        }
        if let Some(class) = class.filter(|class| usize::from(*class) >= self.classes.len()) {
            return Err(format!("class {class} is not one of the {} in the header", self.classes.len()));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names() -> Names {
        let mut names = Names::default();
        names.zone("north");
        names.kind("small");
        names
    }

    fn head() -> Header {
        let class = serde_json::json!({
            "name": "read", "latency_goal": "400ms", "hard_stop": "1s", "importance": 1, "repeats": "safe"
        });
        Header {
            format: FORMAT.to_owned(),
            version: "0".to_owned(),
            coordinator: "c".to_owned(),
            began: 0,
            zones: vec!["north".to_owned()],
            classes: vec![serde_json::from_value(class).unwrap()],
            rules: RuleSettings {
                drain_grace: Span::millis(1_000),
                cold_share: 0.2,
                warm_after: Span::millis(1_000),
                fall_multiple: 3.0,
                fall_window: Span::millis(1_000),
                bare_limit: Span::millis(1_000),
            },
            report_period: Span::millis(500),
        }
    }

    fn server(number: u16) -> ServerId {
        ServerId(format!("127.0.0.1:{number}").into())
    }

    fn events(number: u16) -> Vec<Event> {
        let entry = Listing {
            server: server(number),
            zone: ZoneId(0),
            kind: KindId(0),
            cell: CellId(0),
            weight: Some(1.5),
            started: None,
            is_start_certain: true,
            readiness: Readiness::Ready,
        };
        vec![
            Event::ProxyJoined { proxy: ProxyId(number), zone: ZoneId(0), usual_rate: 1.0 },
            Event::TriesReported {
                server: server(number),
                zone: ZoneId(0),
                tries: 7,
                unanswered: 1,
                span: Nanos::from_millis(500),
                latency: Nanos::from_millis(20),
                report: LoadReport { busy: Some(0.5), ..LoadReport::default() },
            },
            Event::List { scope: ListScope::Whole, entries: [entry].into() },
            Event::Demand {
                proxy: ProxyId(number),
                class: ClassId(0),
                arrived: 9,
                unanswered: 0,
                span: Nanos::from_millis(500),
            },
        ]
    }

    fn file(folder: &Path, most_bytes: u64) -> LedgerFile {
        let settings = LedgerSettings { file: "l.gz".into(), every: Span::millis(1), most_bytes, kept: 2 };
        LedgerFile::new(folder.join("l.gz"), &settings)
    }

    #[test]
    fn recorded_events_are_read_back_member_by_member() {
        let folder = tempfile::tempdir().unwrap();
        let (mut ledger, mut file) = (Ledger::new(head()), file(folder.path(), 1 << 20));
        for number in 1..4 {
            let now = Nanos::from_millis(u64::from(number));
            ledger.record_events(now, &events(number), &names());
            file.write(&mut ledger, now).unwrap();
        }
        let contents = read(&folder.path().join("l.gz")).unwrap();
        assert!(!contents.torn);
        // The definitions of all known servers; then three times: a definition when reported, one when
        // listed, the listing, the reported tries, arrivals, proxies.
        assert_eq!(contents.lines.len(), 1 + 18);
        assert_eq!(contents.lines[18], Line::Joined(3_000, vec![3]));
        assert_eq!(contents.lines[17], Line::Demand(3_000, 0, 0, 9, 0, 500_000));
        let definition = Line::Server(0, "127.0.0.1:1".to_owned(), "north".to_owned(), "small".to_owned());
        assert_eq!((&contents.lines[0], &contents.lines[3]), (&definition, &definition));
    }

    /// A coordinator killed while writing must not lose what was written before.
    #[test]
    fn truncation_at_any_byte_loses_only_the_last_member_and_is_reported() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("l.gz");
        let (mut ledger, mut file) = (Ledger::new(head()), file(folder.path(), 1 << 20));
        ledger.record_events(Nanos(1), &events(1), &names());
        file.write(&mut ledger, Nanos(1)).unwrap();
        let first = fs::read(&path).unwrap().len();
        ledger.record_events(Nanos(2), &events(2), &names());
        file.write(&mut ledger, Nanos(2)).unwrap();
        let whole = fs::read(&path).unwrap();
        for cut in 0..whole.len() {
            fs::write(&path, &whole[..cut]).unwrap();
            match read(&path) {
                Ok(contents) => {
                    assert!(cut >= first && contents.lines.len() == 7 && contents.torn == (cut > first))
                }
                Err(Fault::Format(_)) => assert!(cut < first),
                Err(fault) => panic!("cut at {cut}: {fault}"),
            }
        }
        // Damage in the middle is not taken for the end.
        let mut damaged_file = whole.clone();
        damaged_file[first / 2] ^= 0x40;
        fs::write(&path, &damaged_file).unwrap();
        assert!(read(&path).is_err());
    }

    #[test]
    fn a_full_file_is_rotated_and_each_file_is_self_contained() {
        let folder = tempfile::tempdir().unwrap();
        let (mut ledger, mut file) = (Ledger::new(head()), file(folder.path(), 1));
        for number in 1..6u64 {
            ledger.record_events(Nanos(number * 1_000), &events(1), &names());
            file.write(&mut ledger, Nanos(number * 1_000)).unwrap();
        }
        let read = |name: &str| read(&folder.path().join(name)).unwrap();
        assert_eq!(
            (read("l.gz").head.began, read("l.gz.1").head.began, read("l.gz.2").head.began),
            (5, 4, 3)
        );
        assert!(!folder.path().join("l.gz.3").exists());
        assert!(matches!(&read("l.gz").lines[0], Line::Server(0, name, ..) if name == "127.0.0.1:1"));
    }

    /// While the disk is full, lines wait in memory; beyond the limit the oldest are dropped and counted.
    #[test]
    fn lines_that_cannot_be_written_are_written_later() {
        let folder = tempfile::tempdir().unwrap();
        let (mut ledger, mut file) = (Ledger::new(head()), file(&folder.path().join("nowhere"), 1 << 20));
        ledger.record_events(Nanos(1), &events(1), &names());
        assert!(file.write(&mut ledger, Nanos(1)).is_err());
        fs::create_dir(folder.path().join("nowhere")).unwrap();
        file.write(&mut ledger, Nanos(2)).unwrap();
        assert!(read(&folder.path().join("nowhere/l.gz")).unwrap().lines.len() >= 6);
        let excess_lines = vec![Line::ListFailed(1); MAX_PENDING_LINES + 5];
        ledger.requeue(excess_lines);
        assert_eq!(ledger.take().last(), Some(&Line::Dropped(5)));
    }

    #[test]
    fn invalid_lines_are_named_in_the_error() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("l.gz");
        for (line, word) in [
            (Line::Demand(1, 0, 9, 1, 0, 1), "class 9"),
            (Line::Demand(1, 7, 0, 1, 0, 1), "zone 7"),
            (Line::Probed(1, 3, Probe::Answered, 1), "server 3"),
        ] {
            let _ = fs::remove_file(&path);
            let mut ledger = Ledger::new(head());
            ledger.lines.push(line);
            file(folder.path(), 1 << 20).write(&mut ledger, Nanos(0)).unwrap();
            assert!(matches!(read(&path), Err(Fault::Line(2, what)) if what.contains(word)));
        }
        fs::write(&path, b"no gzip").unwrap();
        assert!(matches!(read(&path), Err(Fault::Format(_))));
    }
}
