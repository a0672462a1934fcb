//! Judges from outside what proxies hold: that each has a line to pick, and none to a server that is gone. The limits are
//! those of the nodes' settings and the platform's 0.3 s on top; what the machine itself was late by meanwhile is
//! measured beside and taken off, not hidden in the limit.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::fleet::{Fleet, Holdings, Server, CLASSES, ONLY_ZONE, ONLY_ZONE_CLASS, ZONES};
use super::hold_ups::{last_end, overlap, Span};
use super::node::{Life, BARE, DRAIN_GRACE};

const PLATFORM_SLACK: Duration = Duration::from_millis(300); // on top of the settings, by the platform's page
const FIRST_SECOND: Duration = Duration::from_secs(1); // after a node's first answer nobody is late
const AFTERMATH: Duration = Duration::from_millis(1_500); // limits wait for so long after the relay has been silent
const TICK: Duration = Duration::from_millis(5); // how finely the machine's lateness is measured

/// How late the machine itself has been, in all: a thread that sleeps and wakes too late adds what it overslept.
#[derive(Clone, Default)]
pub struct MachineLateness(Arc<AtomicU64>);

impl MachineLateness {
    /// Begins to measure, for as long as the process lives.
    pub fn measure() -> Self {
        let lateness = MachineLateness::default();
        let total = lateness.0.clone();
        thread::spawn(move || loop {
            let slept_from = Instant::now();
            thread::sleep(TICK);
            let overslept = slept_from.elapsed().saturating_sub(TICK);
            total.fetch_add(overslept.as_micros() as u64, Ordering::Relaxed);
        });
        lateness
    }

    /// All of it until now.
    pub fn total(&self) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Relaxed))
    }
}

/// Since when something has been wrong, and how late the machine had been by then.
#[derive(Clone, Copy)]
struct Since {
    at: Instant,
    lateness: Duration,
}

impl Since {
    /// How long that is, less what the machine was late by.
    fn lasted(&self, now: Instant, lateness: Duration) -> Duration {
        let late = lateness.saturating_sub(self.lateness);
        now.saturating_duration_since(self.at).saturating_sub(late)
    }
}

/// The same, from its beginning and from the last fault on that touched the node.
#[derive(Clone, Copy)]
struct Known {
    begun: Since,
    undisturbed: Since,
}

/// What is wrong with a proxy's lines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wrong {
    /// It has no line, though a server is listed that the class may use, cold or warm.
    NoLine,
    /// It has a line to a server that is known to drain or to be gone.
    LineTo(String),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Subject {
    node: usize,
    proxy: u16,
    class: &'static str,
    wrong: Wrong,
}

/// A proxy whose lines were wrong for longer than is allowed.
pub struct Broken {
    /// Who and what: the same is told once.
    pub what: String,
    pub detail: String,
}

/// Judges all nodes.
pub struct CoverageJudge {
    begun: Instant,
    lateness: MachineLateness,
    since: BTreeMap<Subject, Known>,
    /// By node: when it was last looked at, if its process had to serve then.
    looked: BTreeMap<usize, Instant>,
    longest: Lack,
}

/// How long a proxy was without a line, and which.
#[derive(Clone, Debug, Default)]
pub struct Lack {
    pub lasted: Duration,
    pub what: String,
}

impl CoverageJudge {
    /// Judges by the clock, and by how late the machine has been.
    pub fn new(lateness: MachineLateness) -> Self {
        CoverageJudge {
            begun: Instant::now(),
            lateness,
            since: BTreeMap::new(),
            looked: BTreeMap::new(),
            longest: Lack::default(),
        }
    }

    /// The longest that a proxy of an undisturbed node was without a line, less what the machine was late by.
    pub fn longest(&self) -> &Lack {
        &self.longest
    }

    /// Looks at what a node's proxies hold at a moment; gives what has been wrong for too long by then.
    pub fn look(&mut self, node: usize, life: &Life, fleet: &Fleet, now: Instant) -> Vec<Broken> {
        let serves = life.terminated.is_none() && life.killed.is_none();
        let Some(ready) = life.ready_at.filter(|_| serves).map(|at| at + FIRST_SECOND) else {
            self.since.retain(|subject, _| subject.node != node);
            self.looked.remove(&node);
            return Vec::new();
        };
        let undisturbed_from = last_end(&life.disturbed, now).map_or(ready, |until| until.max(ready));
        let disturbed: Vec<Span> = life.disturbed.iter().map(with_aftermath).collect();
        let looked = self.looked.insert(node, now);
        let wrong = wrong_lines(node, now, looked, fleet);
        self.since.retain(|subject, _| subject.node != node || wrong.contains_key(subject));
        let mut broken = Vec::new();
        for (subject, (at, detail)) in wrong {
            let total = self.lateness.total();
            let first = Since { at: at.max(ready), lateness: total };
            let known =
                self.since.entry(subject.clone()).or_insert(Known { begun: first, undisturbed: first });
            if known.undisturbed.at < undisturbed_from {
                known.undisturbed = Since { at: undisturbed_from, lateness: total };
            }
            // A fault holds up a limit that runs already, and does not begin it anew.
            let begun = known.begun;
            let held_up = overlap(begun.at, now, &disturbed);
            let in_all = begun.lasted(now, total).saturating_sub(held_up);
            let lasted = in_all.max(known.undisturbed.lasted(now, total));
            let late = total.saturating_sub(begun.lateness);
            let limit = match subject.wrong {
                Wrong::NoLine => BARE,
                Wrong::LineTo(_) => DRAIN_GRACE,
            };
            if subject.wrong == Wrong::NoLine && lasted > self.longest.lasted {
                let Subject { proxy, class, .. } = subject;
                let at = self.begun.elapsed();
                let what =
                    format!("node {node}, process {}, proxy {proxy}, {class}, {at:.1?} in", life.epoch);
                self.longest = Lack { lasted, what };
            }
            if lasted > limit + PLATFORM_SLACK {
                let Subject { proxy, class, wrong, .. } = subject;
                let what = format!("node {node}: proxy {proxy}, {class}: {wrong:?}");
                broken.push(Broken {
                    what,
                    detail: format!("for {lasted:.1?}, machine late {late:.1?}; {detail}"),
                });
            }
        }
        broken
    }
}

/// What is wrong now with the lines of a node's proxies: since when at the earliest, by the look before, and what they
/// hold.
fn wrong_lines(
    node: usize,
    now: Instant,
    looked: Option<Instant>,
    fleet: &Fleet,
) -> BTreeMap<Subject, (Instant, String)> {
    let holdings = &fleet.holdings[node];
    let told = &fleet.told[node];
    let mut wrong = BTreeMap::new();
    for (proxy, joined) in &holdings.joined {
        for class in CLASSES {
            let lines = lines_of(holdings, *proxy, class);
            let mut add = |is: Wrong, since: Instant| {
                let subject = Subject { node, proxy: *proxy, class, wrong: is };
                wrong.insert(subject, (since, format!("holds {lines:?}")));
            };
            if is_lacking(told, &lines, class) {
                let was_covered = looked.is_some_and(|before| *joined <= before);
                add(Wrong::NoLine, if was_covered { now } else { *joined });
            }
            for (server, known) in &fleet.known_lost[node] {
                if lines.contains(server) {
                    add(Wrong::LineTo(server.clone()), (*known).max(*joined));
                }
            }
        }
    }
    wrong
}

/// A fault of the relay holds up limits for a while after its end, by the platform's page.
fn with_aftermath(span: &Span) -> Span {
    Span { from: span.from, until: span.until.map(|until| until + AFTERMATH) }
}

fn lines_of(holdings: &Holdings, proxy: u16, class: &str) -> Vec<String> {
    let table = holdings.bound.get(&(proxy, class.to_owned()));
    let lines = table.and_then(|table| holdings.tables.get(table));
    lines.map(|lines| lines.keys().cloned().collect()).unwrap_or_default()
}

fn is_open(server: &Server, class: &str) -> bool {
    server.phase == "SERVING" && (class != ONLY_ZONE_CLASS || server.zone == ZONES[ONLY_ZONE])
}

/// Whether a proxy with these lines has none to pick, though a server is told that the class may use.
fn is_lacking(told: &BTreeMap<String, Server>, lines: &[String], class: &str) -> bool {
    let is_line = |id: &String| told.get(id).is_some_and(|server| is_open(server, class));
    !lines.iter().any(is_line) && told.values().any(|server| is_open(server, class))
}
