//! A recorded run: JSON lines, gzipped (RFC 8259, RFC 1952). The first line is the head; each other line is one
//! observed event, with its time in microseconds since the earliest possible first operation. What can't be observed
//! from outside (an operation's work, the operations held by a server) is not included.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use craneknot::interface::Nanos;
use flate2::read::MultiGzDecoder;
use flate2::write::GzEncoder;
use flate2::Compression;
use serde::{Deserialize, Serialize};

use crate::proxy_policy::Tried;
use crate::record::{EndedAs, Record, What};
use crate::report::Report;
use crate::script::Script;

/// Name of the format, in the head of each recording.
pub const FORMAT: &str = "craneknot-recording-1";
const MAX_LINE_BYTES: usize = 1024 * 1024; // a head with a long script takes some tens of thousands of bytes
const MAX_LINES: usize = 50_000_000; // per recording: hours at 2,000 operations per second

/// Microseconds since the earliest possible first operation; negative for earlier events.
pub type Micros = i64;

/// The outcome of a try, as observed by the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum How {
    #[serde(rename = "g")]
    Good,
    /// It was certainly not executed.
    #[serde(rename = "u")]
    Unrun,
    #[serde(rename = "f")]
    Failed,
}

/// The outcome of an operation, as observed by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    #[serde(rename = "i")]
    InGoal,
    #[serde(rename = "l")]
    Late,
    #[serde(rename = "r")]
    Refused,
    #[serde(rename = "f")]
    Failed,
    #[serde(rename = "g")]
    GivenUp,
}

/// An observed event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Line {
    /// Time, class, zone.
    #[serde(rename = "a")]
    Asked(Micros, u16, u16),
    /// Time of its end, proxy, server, class, outcome, duration in microseconds.
    #[serde(rename = "t")]
    Tried(Micros, u32, u32, u16, How, u64),
    /// Time, class, outcome, duration in microseconds.
    #[serde(rename = "e")]
    Ended(Micros, u16, End, u64),
    /// Time, server, whether it is running from now on.
    #[serde(rename = "s")]
    Server(Micros, u32, bool),
    /// Time, proxy, lines that its tables gained or lost, lines in its tables (over all classes).
    #[serde(rename = "b")]
    Swapped(Micros, u32, u32, u32),
    /// Time, coordinator, lines in its channel.
    #[serde(rename = "q")]
    Queue(Micros, u32, f64),
    /// Time, coordinator, whether it is running from now on.
    #[serde(rename = "c")]
    Coordinator(Micros, u32, bool),
}

/// Description and result of the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    pub format: String,
    /// Version of the program that recorded it.
    pub version: String,
    /// `sockets`, `model` or `ledgers`.
    pub source: String,
    pub script: Script,
    /// `None` if the recorder can't tell which answers came within the goal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<f64>,
    pub passed: bool,
}

/// A recording in memory.
#[derive(Clone, Debug, PartialEq)]
pub struct Recording {
    pub head: Head,
    pub lines: Vec<Line>,
}

/// An error when reading a recording.
#[derive(Debug)]
pub enum Fault {
    System(io::Error),
    /// An error in this line, counted from 1.
    Line(usize, String),
    /// The file is empty or has another format.
    Format(String),
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Fault::System(cause) => write!(f, "cannot be read: {cause}"),
            Fault::Line(line, cause) => write!(f, "line {line}: {cause}"),
            Fault::Format(what) => {
                write!(
                    f,
                    "{what}; a recording begins with a line of format {FORMAT:?} (see `rehearse --record`)"
                )
            }
        }
    }
}

impl Recording {
    /// Converts the externally observable part of a record.
    pub fn from_records(
        source: &str,
        script: &Script,
        begin: Nanos,
        records: &[Record],
        report: &Report,
    ) -> Self {
        let mut tables: BTreeMap<usize, BTreeMap<usize, Vec<usize>>> = BTreeMap::new();
        let mut lines = Vec::new();
        for record in records {
            let at = (record.at.0 as i64 - begin.0 as i64) / 1_000;
            lines.extend(match &record.what {
                What::Asked { class, zone, .. } => Some(Line::Asked(at, *class as u16, *zone as u16)),
                What::Tried { proxy, server, class, how, took } => {
                    let how = match how {
                        Tried::Good => How::Good,
                        Tried::Unrun => How::Unrun,
                        Tried::Failed => How::Failed,
                    };
                    let took = took.0 / 1_000;
                    Some(Line::Tried(at, *proxy as u32, *server as u32, *class as u16, how, took))
                }
                What::Ended { class, how, took, .. } => {
                    let how = match how {
                        EndedAs::InGoal => End::InGoal,
                        EndedAs::Late => End::Late,
                        EndedAs::Refused => End::Refused,
                        EndedAs::Failed => End::Failed,
                        EndedAs::GivenUp => End::GivenUp,
                    };
                    Some(Line::Ended(at, *class as u16, how, took.0 / 1_000))
                }
                What::Started { server } => Some(Line::Server(at, *server as u32, true)),
                What::Stopped { server } => Some(Line::Server(at, *server as u32, false)),
                What::Swapped { proxy, lines, .. } => {
                    let before = tables.insert(*proxy, lines.clone()).unwrap_or_default();
                    let (changed, total) = count_changes(&before, lines);
                    Some(Line::Swapped(at, *proxy as u32, changed, total))
                }
                What::Queue { coordinator, lines, .. } => Some(Line::Queue(at, *coordinator as u32, *lines)),
                What::Coordinator { coordinator, up } => {
                    Some(Line::Coordinator(at, *coordinator as u32, *up))
                }
                What::Rostered { .. }
                | What::RosterGone
                | What::Stalled { .. }
                | What::Slowed { .. }
                | What::Joined { .. }
                | What::Left { .. }
                | What::Torn { .. }
                | What::Proxy { .. }
                | What::Sent { .. }
                | What::Arrived { .. }
                | What::Ran { .. }
                | What::Fell { .. } => None,
            });
        }
        let head = Head {
            format: FORMAT.to_owned(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            source: source.to_owned(),
            script: script.clone(),
            service: Some(report.service.service),
            passed: report.passed(),
        };
        Recording { head, lines }
    }

    /// Writes the recording to a file.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut out = GzEncoder::new(BufWriter::new(File::create(path)?), Compression::default());
        let mut line = |value: serde_json::Result<Vec<u8>>| {
            out.write_all(&value?)?;
            out.write_all(b"\n")
        };
        line(serde_json::to_vec(&self.head))?;
        self.lines.iter().try_for_each(|entry| line(serde_json::to_vec(entry)))?;
        out.finish()?.flush()
    }

    /// Reads a recording from a file, checking its format and its lines.
    pub fn read(path: &Path) -> Result<Self, Fault> {
        let mut input = BufReader::new(MultiGzDecoder::new(File::open(path).map_err(Fault::System)?));
        let mut text = Vec::new();
        let mut number = 0;
        let mut head: Option<Head> = None;
        let mut lines = Vec::new();
        loop {
            text.clear();
            number += 1;
            let mut limited = io::Read::take(&mut input, MAX_LINE_BYTES as u64);
            let count = match limited.read_until(b'\n', &mut text) {
                Ok(count) => count,
                Err(cause) if number == 1 => return Err(Fault::Format(format!("not gzip: {cause}"))),
                Err(cause) => return Err(Fault::Line(number, format!("cut short or damaged: {cause}"))),
            };
            if count == 0 {
                break;
            }
            if text.last() != Some(&b'\n') {
                return Err(Fault::Line(number, format!("has no end within {MAX_LINE_BYTES} bytes")));
            }
            match &mut head {
                None => {
                    let read: Head = serde_json::from_slice(&text)
                        .map_err(|cause| Fault::Format(format!("its head cannot be read: {cause}")))?;
                    if read.format != FORMAT {
                        return Err(Fault::Format(format!("its format is {:?}", read.format)));
                    }
                    head = Some(read);
                }
                Some(_) if lines.len() >= MAX_LINES => {
                    return Err(Fault::Line(number, format!("more than {MAX_LINES} lines")));
                }
                Some(head) => {
                    let line: Line = serde_json::from_slice(&text)
                        .map_err(|cause| Fault::Line(number, cause.to_string()))?;
                    head.check_line(&line).map_err(|what| Fault::Line(number, what))?;
                    lines.push(line);
                }
            }
        }
        let head = head.ok_or(Fault::Format("it is empty".to_owned()))?;
        Ok(Recording { head, lines })
    }

    /// Times, classes and zones of the requested operations.
    pub fn arrivals(&self) -> Vec<(Nanos, usize, usize)> {
        let requested = |line: &Line| match line {
            Line::Asked(at, class, zone) => {
                Some((Nanos(at.max(&0).unsigned_abs() * 1_000), usize::from(*class), usize::from(*zone)))
            }
            _ => None,
        };
        self.lines.iter().filter_map(requested).collect()
    }
}

impl Head {
    /// Checks that a line refers only to classes and zones of the script.
    fn check_line(&self, line: &Line) -> Result<(), String> {
        let class = match line {
            Line::Asked(_, class, _) | Line::Tried(_, _, _, class, _, _) | Line::Ended(_, class, _, _) => {
                *class
            }
            Line::Server(..) | Line::Swapped(..) | Line::Queue(..) | Line::Coordinator(..) => 0,
        };
        if usize::from(class) >= self.script.classes.len() {
            return Err(format!("class {class} is none of the script's {}", self.script.classes.len()));
        }
        match line {
            Line::Asked(_, _, zone) if usize::from(*zone) >= self.script.zones.len() => {
                Err(format!("zone {zone} is none of the script's {}", self.script.zones.len()))
            }
            _ => Ok(()),
        }
    }
}

/// Number of lines added or removed, over all classes, and number of lines now.
fn count_changes(before: &BTreeMap<usize, Vec<usize>>, after: &BTreeMap<usize, Vec<usize>>) -> (u32, u32) {
    let pairs = |lines: &BTreeMap<usize, Vec<usize>>| {
        let of = |(class, servers): (&usize, &Vec<usize>)| {
            let class = *class;
            servers.iter().map(move |server| (class, *server)).collect::<Vec<(usize, usize)>>()
        };
        lines.iter().flat_map(of).collect::<std::collections::BTreeSet<(usize, usize)>>()
    };
    let (before, after) = (pairs(before), pairs(after));
    (before.symmetric_difference(&after).count() as u32, after.len() as u32)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::fs;

    fn recording() -> Recording {
        let head = Head {
            format: FORMAT.to_owned(),
            version: "0".to_owned(),
            source: "model".to_owned(),
            script: Script::built_in().unwrap(),
            service: Some(0.5),
            passed: true,
        };
        let lines = (0..500).map(|k| Line::Asked(k * 1_000 - 3, 0, 1)).chain([
            Line::Tried(5, 1, 2, 0, How::Unrun, 77),
            Line::Ended(6, 1, End::GivenUp, 9),
            Line::Server(7, 3, true),
            Line::Swapped(8, 1, 4, 5),
            Line::Queue(9, 0, 1.5),
            Line::Coordinator(10, 1, false),
        ]);
        Recording { head, lines: lines.collect() }
    }

    #[test]
    fn a_written_recording_is_read_back() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("r.jsonl.gz");
        recording().write(&path).unwrap();
        let read = Recording::read(&path).unwrap();
        assert_eq!(read, recording());
        assert_eq!(read.arrivals()[0], (Nanos(0), 0, 1));
        assert_eq!(read.arrivals()[1], (Nanos(997_000), 0, 1));
    }

    /// A recording that was copied while being written, or damaged, must be rejected and never read in part.
    #[test]
    fn a_truncated_or_corrupted_recording_is_rejected() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("r.jsonl.gz");
        recording().write(&path).unwrap();
        let bytes = fs::read(&path).unwrap();
        for cut in (0..bytes.len()).step_by(7) {
            fs::write(&path, &bytes[..cut]).unwrap();
            assert!(Recording::read(&path).is_err(), "cut at {cut}");
        }
        // The gzip header has bytes that don't affect the content (time, system).
        for position in (10..bytes.len()).step_by(11) {
            let mut flipped = bytes.clone();
            flipped[position] ^= 0x10;
            fs::write(&path, &flipped).unwrap();
            assert!(Recording::read(&path).is_err(), "flipped at {position}");
        }
    }

    #[test]
    fn other_formats_and_invalid_lines_are_reported() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("r.jsonl.gz");
        let mut other = recording();
        other.head.format = "else".to_owned();
        other.write(&path).unwrap();
        assert!(matches!(Recording::read(&path), Err(Fault::Format(what)) if what.contains("else")));
        let mut strange = recording();
        strange.lines.push(Line::Ended(1, 99, End::Late, 1));
        strange.write(&path).unwrap();
        let fault = Recording::read(&path).unwrap_err();
        assert!(matches!(&fault, Fault::Line(508, what) if what.contains("class 99")), "{fault}");
    }
}
