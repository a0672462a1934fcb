//! A recorded run: JSON lines, gzipped (RFC 8259, RFC 1952). The first line is the head, each other one thing that was
//! seen, with its moment in microseconds since the first operation could come. What no one could see from outside (an
//! operation's work, what a server holds) is not in it.

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

pub const FORMAT: &str = "craneknot-recording-1";
const LINE_MOST: usize = 1024 * 1024; // bytes of one line; a head with a long script is some tens of thousands
const LINES_MOST: usize = 50_000_000; // of one recording: hours at 2,000 operations a second

/// Microseconds since the first operation could come; what came before is below 0.
pub type Micros = i64;

/// How a try ended, as the proxy saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum How {
    #[serde(rename = "g")]
    Good,
    /// It surely never ran.
    #[serde(rename = "u")]
    Unrun,
    #[serde(rename = "f")]
    Failed,
}

/// How an operation ended, as its client saw it.
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

/// One thing that was seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Line {
    /// Moment, class, zone.
    #[serde(rename = "a")]
    Asked(Micros, u16, u16),
    /// Moment of its end, proxy, server, class, how, how long it took in microseconds.
    #[serde(rename = "t")]
    Tried(Micros, u32, u32, u16, How, u64),
    /// Moment, class, how, how long it took in microseconds.
    #[serde(rename = "e")]
    Ended(Micros, u16, End, u64),
    /// Moment, server, whether it stands from now on.
    #[serde(rename = "s")]
    Server(Micros, u32, bool),
    /// Moment, proxy, servers by class that its tables gained or lost, and hold.
    #[serde(rename = "b")]
    Swapped(Micros, u32, u32, u32),
    /// Moment, coordinator, lines in its channel.
    #[serde(rename = "q")]
    Queue(Micros, u32, f64),
    /// Moment, coordinator, whether it runs from now on.
    #[serde(rename = "c")]
    Coordinator(Micros, u32, bool),
}

/// What the run was, and what it came to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    pub format: String,
    /// The program that made it.
    pub version: String,
    /// `sockets`, `model` or `ledgers`.
    pub source: String,
    pub script: Script,
    /// Nothing: whoever recorded it cannot tell which answers came within the goal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<f64>,
    pub passed: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Recording {
    pub head: Head,
    pub lines: Vec<Line>,
}

/// Why a recording cannot be read.
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
    /// What of a record can be seen from outside.
    pub fn of(source: &str, script: &Script, begin: Nanos, records: &[Record], report: &Report) -> Self {
        let mut held: BTreeMap<usize, BTreeMap<usize, Vec<usize>>> = BTreeMap::new();
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
                    let before = held.insert(*proxy, lines.clone()).unwrap_or_default();
                    let (moved, holds) = moved(&before, lines);
                    Some(Line::Swapped(at, *proxy as u32, moved, holds))
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

    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut out = GzEncoder::new(BufWriter::new(File::create(path)?), Compression::default());
        let mut line = |value: serde_json::Result<Vec<u8>>| {
            out.write_all(&value?)?;
            out.write_all(b"\n")
        };
        line(serde_json::to_vec(&self.head))?;
        self.lines.iter().try_for_each(|one| line(serde_json::to_vec(one)))?;
        out.finish()?.flush()
    }

    pub fn read(path: &Path) -> Result<Self, Fault> {
        let mut input = BufReader::new(MultiGzDecoder::new(File::open(path).map_err(Fault::System)?));
        let mut text = Vec::new();
        let mut number = 0;
        let mut head: Option<Head> = None;
        let mut lines = Vec::new();
        loop {
            text.clear();
            number += 1;
            let mut most = io::Read::take(&mut input, LINE_MOST as u64);
            let count = match most.read_until(b'\n', &mut text) {
                Ok(count) => count,
                Err(cause) if number == 1 => return Err(Fault::Format(format!("not gzip: {cause}"))),
                Err(cause) => return Err(Fault::Line(number, format!("cut short or damaged: {cause}"))),
            };
            if count == 0 {
                break;
            }
            if text.last() != Some(&b'\n') {
                return Err(Fault::Line(number, format!("has no end within {LINE_MOST} bytes")));
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
                Some(_) if lines.len() >= LINES_MOST => {
                    return Err(Fault::Line(number, format!("more than {LINES_MOST} lines")));
                }
                Some(head) => {
                    let line: Line = serde_json::from_slice(&text)
                        .map_err(|cause| Fault::Line(number, cause.to_string()))?;
                    head.fits(&line).map_err(|what| Fault::Line(number, what))?;
                    lines.push(line);
                }
            }
        }
        let head = head.ok_or(Fault::Format("it is empty".to_owned()))?;
        Ok(Recording { head, lines })
    }

    /// Moments, classes and zones of what was asked for.
    pub fn arrivals(&self) -> Vec<(Nanos, usize, usize)> {
        let one = |line: &Line| match line {
            Line::Asked(at, class, zone) => {
                Some((Nanos(at.max(&0).unsigned_abs() * 1_000), usize::from(*class), usize::from(*zone)))
            }
            _ => None,
        };
        self.lines.iter().filter_map(one).collect()
    }
}

impl Head {
    /// A line speaks only of classes and zones that the script has.
    fn fits(&self, line: &Line) -> Result<(), String> {
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

/// Servers by class that came or went, and those held.
fn moved(before: &BTreeMap<usize, Vec<usize>>, after: &BTreeMap<usize, Vec<usize>>) -> (u32, u32) {
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
    fn what_was_written_is_read() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("r.jsonl.gz");
        recording().write(&path).unwrap();
        let read = Recording::read(&path).unwrap();
        assert_eq!(read, recording());
        assert_eq!(read.arrivals()[0], (Nanos(0), 0, 1));
        assert_eq!(read.arrivals()[1], (Nanos(997_000), 0, 1));
    }

    /// A recording copied while it was written, or damaged, must be named as such and never half taken.
    #[test]
    fn a_damaged_one_is_refused_wherever_it_is_cut_or_flipped() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("r.jsonl.gz");
        recording().write(&path).unwrap();
        let whole = fs::read(&path).unwrap();
        for cut in (0..whole.len()).step_by(7) {
            fs::write(&path, &whole[..cut]).unwrap();
            assert!(Recording::read(&path).is_err(), "cut at {cut}");
        }
        // The head of gzip itself has bytes without meaning (time, system).
        for place in (10..whole.len()).step_by(11) {
            let mut flipped = whole.clone();
            flipped[place] ^= 0x10;
            fs::write(&path, &flipped).unwrap();
            assert!(Recording::read(&path).is_err(), "flipped at {place}");
        }
    }

    #[test]
    fn other_formats_and_strange_lines_are_named() {
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
