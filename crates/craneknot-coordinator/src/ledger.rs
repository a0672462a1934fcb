//! What a coordinator was told and what it ordered, kept line by line: JSON lines in gzip members (RFC 8259, RFC 1952). Each
//! member ends with a whole line, so that a kill at any byte costs at most the member being written. From ledgers the model
//! plays what was asked for again, and `craneknot solve` explains weights.
//!
//! Nothing of an operation is in it that the coordinator does not see: arrivals by zone and class as reports counted them,
//! what proxies met at servers, the list as it was taken.

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
const MEMBER_MOST: u64 = 256 * 1024 * 1024; // bytes of one member unpacked; what waits for the disk at the most is less
const LINES_MOST: usize = 50_000_000; // of all files read at once: weeks of a fleet of hundreds
const WAITING_MOST: usize = 1_000_000; // lines that wait for the disk; more are counted and let go

/// Microseconds since the Unix epoch, by the coordinator's clock.
pub type Micros = u64;

/// A state in the list.
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

/// One thing that was told or ordered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Line {
    /// A server's number in this file, from now on: its address, zone and kind.
    #[serde(rename = "s")]
    Server(u32, String, String, String),
    /// Moment, server, state, listed weight, start.
    #[serde(rename = "l")]
    Listed(Micros, u32, ListedState, Option<f64>, Option<Micros>),
    /// Moment: the list could not be had.
    #[serde(rename = "x")]
    ListFailed(Micros),
    /// Moment, zone and class by their places in the head, operations that came, tries without an answer, and the mean span
    /// in microseconds that proxies' counts are of.
    #[serde(rename = "d")]
    Demand(Micros, u16, u16, u64, u64, u64),
    /// Moment, server, zone of the proxies, tries, those without an answer, span and mean time of good answers in
    /// microseconds, and what the server said: busy share, operations held, service time in microseconds.
    #[serde(rename = "h")]
    TriesReported(Micros, u32, u16, u64, u64, u64, u64, Option<f64>, Option<f64>, Option<u64>),
    /// Moment, server, outcome, microseconds.
    #[serde(rename = "p")]
    Probed(Micros, u32, Probe, u64),
    /// Moment, proxies joined from now on by zone.
    #[serde(rename = "j")]
    Joined(Micros, Vec<u32>),
    /// Moment, lines, bindings and levels ordered.
    #[serde(rename = "o")]
    Ordered(Micros, u32, u32, u32),
    /// So many lines were let go here, since the disk did not take them.
    #[serde(rename = "m")]
    Dropped(u64),
}

/// Whose ledger it is, and the fleet as that coordinator was told of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    pub format: String,
    /// The program that made it.
    pub version: String,
    pub coordinator: String,
    pub began: Micros,
    pub zones: Vec<String>,
    pub classes: Vec<ClassSettings>,
    pub rules: RuleSettings,
    pub report_period: Span,
}

impl Head {
    pub fn of(settings: &CoordinatorSettings, now: Nanos) -> Self {
        Head {
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

/// Turns what the decisions are told into lines. No file, no clock of its own.
pub struct Ledger {
    head: Head,
    /// Servers' numbers, zones and kinds; they stay over a change of files.
    servers: BTreeMap<ServerId, (u32, String, String)>,
    zone_of: BTreeMap<ProxyId, ZoneId>,
    lines: Vec<Line>,
    dropped: u64,
}

impl Ledger {
    pub fn new(head: Head) -> Self {
        Ledger { head, servers: BTreeMap::new(), zone_of: BTreeMap::new(), lines: Vec::new(), dropped: 0 }
    }

    /// Lines since the last time.
    pub fn take(&mut self) -> Vec<Line> {
        let mut lines = std::mem::take(&mut self.lines);
        if self.dropped > 0 {
            lines.push(Line::Dropped(std::mem::take(&mut self.dropped)));
        }
        lines
    }

    /// What could not be written; it is tried again with what comes next, as far as there is room.
    pub fn requeue(&mut self, mut lines: Vec<Line>) {
        lines.append(&mut self.lines);
        self.lines = lines;
        self.trim();
    }

    /// All lines that were not written, as one that reads the file would have them.
    pub fn take_contents(&mut self) -> LedgerContents {
        LedgerContents { head: self.head.clone(), lines: self.take(), torn: false }
    }

    fn trim(&mut self) {
        let over = self.lines.len().saturating_sub(WAITING_MOST);
        // The oldest go; names of servers stay, since later lines rest on them.
        let mut left = over;
        self.lines.retain(|line| {
            let goes = left > 0 && !matches!(line, Line::Server(..));
            left -= usize::from(goes);
            !goes
        });
        self.dropped += (over - left) as u64;
    }

    fn number(&mut self, server: &ServerId, zone: &str, kind: &str) -> u32 {
        let next = self.servers.len() as u32;
        let known = self.servers.get(server);
        let number = known.map_or(next, |known| known.0);
        // Met before it was listed: its place comes now.
        if known.is_none_or(|known| !zone.is_empty() && (known.1 != zone || known.2 != kind)) {
            self.servers.insert(server.clone(), (number, zone.to_owned(), kind.to_owned()));
            self.lines.push(Line::Server(number, server.0.to_string(), zone.to_owned(), kind.to_owned()));
        }
        number
    }

    /// Keeps what the decisions are told now.
    pub fn record_events(&mut self, now: Nanos, events: &[Event], names: &Names) {
        let at = micros(now);
        let mut came: BTreeMap<(ZoneId, ClassId), (u64, u64, u64, u64)> = BTreeMap::new();
        let mut joined = false;
        for event in events {
            match event {
                Event::List { scope: ListScope::Failed, .. } => self.lines.push(Line::ListFailed(at)),
                Event::List { entries, .. } => {
                    for entry in entries.iter() {
                        let (zone, kind) = (names.zone_name(entry.zone), names.kind_name(entry.kind));
                        let server = self.number(&entry.server, zone, kind);
                        let shown = match entry.readiness {
                            Readiness::Ready => ListedState::Ready,
                            Readiness::Draining => ListedState::Draining,
                            Readiness::Removed => ListedState::Removed,
                        };
                        let started = entry.started.map(micros);
                        self.lines.push(Line::Listed(at, server, shown, entry.weight, started));
                    }
                }
                Event::ProxyJoined { proxy, zone, .. } => {
                    self.zone_of.insert(*proxy, *zone);
                    joined = true;
                }
                Event::ProxyLeft { proxy } => {
                    self.zone_of.remove(proxy);
                    joined = true;
                }
                Event::TriesReported { server, zone, tries, unanswered, span, latency, report } => {
                    let server = self.number(server, "", "");
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
                    let Some(zone) = self.zone_of.get(proxy) else { continue };
                    let sum = came.entry((*zone, *class)).or_default();
                    *sum = (sum.0 + arrived, sum.1 + unanswered, sum.2 + micros(*span), sum.3 + 1);
                }
                Event::Probed { server, outcome, latency: took, .. } => {
                    let server = self.number(server, "", "");
                    let outcome = match outcome {
                        ProbeOutcome::Answered => Probe::Answered,
                        ProbeOutcome::TurnedAway => Probe::Rejected,
                        ProbeOutcome::Failed => Probe::Failed,
                    };
                    self.lines.push(Line::Probed(at, server, outcome, micros(*took)));
                }
                Event::ExistingBinding { .. }
                | Event::Applied { .. }
                | Event::OrderRefused { .. }
                | Event::Woken
                | Event::PeerMessage { .. }
                | Event::SliceAssigned { .. }
                | Event::SliceLine { .. }
                | Event::SliceDemand { .. } => {}
            }
        }
        for ((zone, class), (arrived, unanswered, span, counts)) in came {
            let span = span / counts.max(1);
            self.lines.push(Line::Demand(at, zone.0, u16::from(class.0), arrived, unanswered, span));
        }
        if joined {
            let mut counts = vec![0; self.head.zones.len()];
            for zone in self.zone_of.values() {
                if let Some(count) = counts.get_mut(usize::from(zone.0)) {
                    *count += 1;
                }
            }
            self.lines.push(Line::Joined(at, counts));
        }
        self.trim();
    }

    /// Keeps how much was ordered.
    pub fn record_orders(&mut self, now: Nanos, orders: &[Order]) {
        let count = |of: fn(&Order) -> bool| orders.iter().filter(|order| of(order)).count() as u32;
        let lines = count(|order| matches!(order, Order::Line { .. }));
        let binds = count(|order| matches!(order, Order::Bind { .. }));
        let levels = count(|order| matches!(order, Order::Level { .. }));
        if lines + binds + levels > 0 {
            self.lines.push(Line::Ordered(micros(now), lines, binds, levels));
        }
    }
}

/// The file that a ledger goes to; it turns to a new one at a size, and keeps some of the old.
pub struct LedgerFile {
    path: PathBuf,
    most_bytes: u64,
    kept: u32,
    file: Option<File>,
    bytes: u64,
}

impl LedgerFile {
    pub fn new(path: PathBuf, settings: &LedgerSettings) -> Self {
        LedgerFile { path, most_bytes: settings.most_bytes, kept: settings.kept, file: None, bytes: 0 }
    }

    fn old(&self, number: u32) -> PathBuf {
        let mut name = self.path.as_os_str().to_owned();
        name.push(format!(".{number}"));
        PathBuf::from(name)
    }

    /// Moves what stands there aside: `.1` is the newest of the old ones.
    fn turn(&mut self) -> io::Result<()> {
        self.file = None;
        if !self.path.try_exists()? {
            return Ok(());
        }
        if self.kept == 0 {
            return fs::remove_file(&self.path);
        }
        for number in (1..self.kept).rev() {
            match fs::rename(self.old(number), self.old(number + 1)) {
                Err(cause) if cause.kind() != io::ErrorKind::NotFound => return Err(cause),
                Ok(()) | Err(_) => {}
            }
        }
        fs::rename(&self.path, self.old(1))
    }

    /// Writes what the ledger holds as one member, in a file begun anew where none is open or this one is full.
    pub fn write(&mut self, ledger: &mut Ledger, now: Nanos) -> io::Result<()> {
        let lines = ledger.take();
        if lines.is_empty() {
            return Ok(());
        }
        let written = self.write_lines(ledger, &lines, now);
        if written.is_err() {
            // Half a member may stand there: no more is put behind it.
            self.file = None;
            ledger.requeue(lines);
        }
        written
    }

    fn write_lines(&mut self, ledger: &mut Ledger, lines: &[Line], now: Nanos) -> io::Result<()> {
        let mut text = Vec::new();
        if self.file.is_none() || self.bytes >= self.most_bytes {
            self.turn()?;
            let file = OpenOptions::new().create_new(true).append(true).open(&self.path)?;
            ledger.head.began = micros(now);
            push(&mut text, &ledger.head)?;
            // Each file stands alone: it names all servers known so far.
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

/// Writes a whole ledger as one file.
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

/// A ledger as read.
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerContents {
    pub head: Head,
    pub lines: Vec<Line>,
    /// The last member was cut short: its writer was killed, or still writes.
    pub torn: bool,
}

/// Why a ledger cannot be read.
#[derive(Debug)]
pub enum Fault {
    System(io::Error),
    /// In that line, counted from 1.
    Line(usize, String),
    /// Nothing, or another format.
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

/// One member's text; nothing at the end, an error's word where it is cut short or damaged.
fn member(input: &mut impl BufRead) -> Option<Result<Vec<u8>, String>> {
    match input.fill_buf() {
        Ok([]) => return None,
        Ok(_) => {}
        Err(cause) => return Some(Err(cause.to_string())),
    }
    let mut text = Vec::new();
    let read = GzDecoder::new(input).take(MEMBER_MOST).read_to_end(&mut text);
    Some(match read {
        Ok(count) if count as u64 >= MEMBER_MOST => Err(format!("a member of over {MEMBER_MOST} bytes")),
        Ok(_) => Ok(text),
        Err(cause) => Err(cause.to_string()),
    })
}

/// Reads a ledger. What a kill cut short is left out and said; what is damaged in the middle is refused.
pub fn read(path: &Path) -> Result<LedgerContents, Fault> {
    let mut input = BufReader::new(File::open(path).map_err(Fault::System)?);
    let mut head: Option<Head> = None;
    let (mut lines, mut number, mut torn) = (Vec::new(), 0, false);
    let mut servers = 0;
    while let Some(text) = member(&mut input) {
        let text = match text {
            Ok(text) => text,
            Err(cause) if number == 0 => {
                return Err(Fault::Format(format!("not gzip, or cut short: {cause}")))
            }
            Err(cause) => {
                // At the end it is a writer's last breath; with more behind it, damage.
                let mut rest = Vec::new();
                let more = input.read_to_end(&mut rest).map_err(Fault::System)?;
                if more > 0 {
                    return Err(Fault::Line(number + 1, format!("damaged: {cause}")));
                }
                torn = true;
                break;
            }
        };
        for line in text.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
            number += 1;
            let Some(head) = &head else {
                let read: Head = serde_json::from_slice(line)
                    .map_err(|cause| Fault::Format(format!("its head cannot be read: {cause}")))?;
                if read.format != FORMAT {
                    return Err(Fault::Format(format!("its format is {:?}", read.format)));
                }
                head = Some(read);
                continue;
            };
            if lines.len() >= LINES_MOST {
                return Err(Fault::Line(number, format!("more than {LINES_MOST} lines")));
            }
            let line: Line =
                serde_json::from_slice(line).map_err(|cause| Fault::Line(number, cause.to_string()))?;
            head.fits(&line, &mut servers).map_err(|what| Fault::Line(number, what))?;
            lines.push(line);
        }
    }
    let head = head.ok_or(Fault::Format("it is empty".to_owned()))?;
    Ok(LedgerContents { head, lines, torn })
}

impl Head {
    /// A line speaks only of zones, classes and servers that were named before.
    fn fits(&self, line: &Line, servers: &mut u32) -> Result<(), String> {
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
            return Err(format!("server {server} has no name before it"));
        }
        if let Some(zone) = zone.filter(|zone| usize::from(*zone) >= self.zones.len()) {
            return Err(format!("zone {zone} is none of the {} of the head", self.zones.len()));
        }
        if let Some(class) = class.filter(|class| usize::from(*class) >= self.classes.len()) {
            return Err(format!("class {class} is none of the {} of the head", self.classes.len()));
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

    fn head() -> Head {
        let class = serde_json::json!({
            "name": "read", "latency_goal": "400ms", "hard_stop": "1s", "importance": 1, "repeats": "safe"
        });
        Head {
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
    fn what_was_told_is_read_again_member_by_member() {
        let folder = tempfile::tempdir().unwrap();
        let (mut ledger, mut file) = (Ledger::new(head()), file(folder.path(), 1 << 20));
        for number in 1..4 {
            let now = Nanos::from_millis(u64::from(number));
            ledger.record_events(now, &events(number), &names());
            file.write(&mut ledger, now).unwrap();
        }
        let contents = read(&folder.path().join("l.gz")).unwrap();
        assert!(!contents.torn);
        // All known servers' names; then three times: named when met, its place when listed, the listing, what was heard,
        // arrivals, proxies.
        assert_eq!(contents.lines.len(), 1 + 18);
        assert_eq!(contents.lines[18], Line::Joined(3_000, vec![3]));
        assert_eq!(contents.lines[17], Line::Demand(3_000, 0, 0, 9, 0, 500_000));
        let place = Line::Server(0, "127.0.0.1:1".to_owned(), "north".to_owned(), "small".to_owned());
        assert_eq!((&contents.lines[0], &contents.lines[3]), (&place, &place));
    }

    /// A coordinator killed while it writes must not cost what stood there before.
    #[test]
    fn a_cut_at_any_byte_costs_the_last_member_alone_and_is_said() {
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
        // Damage in the middle is no end.
        let mut flipped = whole.clone();
        flipped[first / 2] ^= 0x40;
        fs::write(&path, &flipped).unwrap();
        assert!(read(&path).is_err());
    }

    #[test]
    fn a_full_file_is_turned_and_each_one_stands_alone() {
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

    /// A disk that is full for a while costs nothing while there is room; then the oldest go, and it is said.
    #[test]
    fn what_the_disk_refuses_waits_and_comes_later() {
        let folder = tempfile::tempdir().unwrap();
        let (mut ledger, mut file) = (Ledger::new(head()), file(&folder.path().join("nowhere"), 1 << 20));
        ledger.record_events(Nanos(1), &events(1), &names());
        assert!(file.write(&mut ledger, Nanos(1)).is_err());
        fs::create_dir(folder.path().join("nowhere")).unwrap();
        file.write(&mut ledger, Nanos(2)).unwrap();
        assert!(read(&folder.path().join("nowhere/l.gz")).unwrap().lines.len() >= 6);
        let many = vec![Line::ListFailed(1); WAITING_MOST + 5];
        ledger.requeue(many);
        assert_eq!(ledger.take().last(), Some(&Line::Dropped(5)));
    }

    #[test]
    fn strange_lines_are_named() {
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
