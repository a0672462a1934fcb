//! Checks from outside what proxies hold: each needs a usable line, and none may keep a line to a removed server.
//! The limits are those of the nodes' settings plus the 0.3 s tolerance of the platform. Scheduling delays of the
//! test machine are measured separately and subtracted from the observed time, so that they need no wider limit.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::fleet::{Fleet, Holdings, Server, CLASSES, ONLY_ZONE, ONLY_ZONE_CLASS, ZONES};
use super::node::{ProcessHistory, DRAIN_GRACE, NO_LINE_LIMIT};
use super::spans::{latest_end, overlap, Span};

const PLATFORM_TOLERANCE: Duration = Duration::from_millis(300); // the platform allows it on top of the settings
const STARTUP_GRACE: Duration = Duration::from_secs(1); // after a node's first answer, before limits apply
const RELAY_RECOVERY: Duration = Duration::from_millis(1_500); // limits stay suspended for this long after relay faults
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// The total scheduling delay of the machine: a thread sleeps for short intervals and adds what it overslept.
#[derive(Clone, Default)]
pub struct MachineLateness(Arc<AtomicU64>);

impl MachineLateness {
    /// Starts to measure, until the process exits.
    pub fn measure() -> Self {
        let lateness = MachineLateness::default();
        let total = lateness.0.clone();
        thread::spawn(move || loop {
            let slept_from = Instant::now();
            thread::sleep(SAMPLE_INTERVAL);
            let overslept = slept_from.elapsed().saturating_sub(SAMPLE_INTERVAL);
            total.fetch_add(overslept.as_micros() as u64, Ordering::Relaxed);
        });
        lateness
    }

    /// The total delay so far.
    pub fn total(&self) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Relaxed))
    }
}

/// When a problem began, and the total machine lateness by then.
#[derive(Clone, Copy)]
struct StartPoint {
    at: Instant,
    lateness: Duration,
}

impl StartPoint {
    /// The time since then, less the machine lateness in between.
    fn elapsed(&self, now: Instant, lateness: Duration) -> Duration {
        let machine_lateness = lateness.saturating_sub(self.lateness);
        now.saturating_duration_since(self.at).saturating_sub(machine_lateness)
    }
}

/// When a problem was first seen, and since when it has lasted without faults at its node.
#[derive(Clone, Copy)]
struct ProblemStart {
    first_seen: StartPoint,
    undisturbed: StartPoint,
}

/// A problem with the lines of a proxy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wrong {
    /// It has no usable line, although a server is listed that the class may use, cold or warm.
    NoLine,
    /// It has a line to a server that the node knows to be draining or removed.
    LineTo(String),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Subject {
    node: usize,
    proxy: u16,
    class: &'static str,
    wrong: Wrong,
}

/// A proxy whose lines were wrong for longer than allowed.
pub struct CoverageViolation {
    /// Identifies proxy and problem: each is reported once.
    pub summary: String,
    pub detail: String,
}

/// Checks the proxies of all nodes.
pub struct CoverageChecker {
    started: Instant,
    lateness: MachineLateness,
    problems: BTreeMap<Subject, ProblemStart>,
    /// By node: the time of the last check, if its process had to serve then.
    last_checked: BTreeMap<usize, Instant>,
    longest: CoverageGap,
}

/// The time that a proxy had no usable line, and which proxy it was.
#[derive(Clone, Debug, Default)]
pub struct CoverageGap {
    pub duration: Duration,
    pub summary: String,
}

impl CoverageChecker {
    /// Checks by the clock less the measured machine lateness.
    pub fn new(lateness: MachineLateness) -> Self {
        CoverageChecker {
            started: Instant::now(),
            lateness,
            problems: BTreeMap::new(),
            last_checked: BTreeMap::new(),
            longest: CoverageGap::default(),
        }
    }

    /// The longest time that a proxy of a node without faults had no usable line, less the machine lateness.
    pub fn longest(&self) -> &CoverageGap {
        &self.longest
    }

    /// Checks what a node's proxies hold at `now`; returns the problems that have lasted too long by then.
    pub fn check(
        &mut self,
        node: usize,
        history: &ProcessHistory,
        fleet: &Fleet,
        now: Instant,
    ) -> Vec<CoverageViolation> {
        let is_serving = history.terminated.is_none() && history.killed.is_none();
        let Some(ready) = history.ready_at.filter(|_| is_serving).map(|at| at + STARTUP_GRACE) else {
            self.problems.retain(|subject, _| subject.node != node);
            self.last_checked.remove(&node);
            return Vec::new();
        };
        let last_fault_end = latest_end(&history.fault_spans, now).map_or(ready, |until| until.max(ready));
        let fault_spans: Vec<Span> = history.fault_spans.iter().map(with_recovery).collect();
        let last_checked = self.last_checked.insert(node, now);
        let wrong = wrong_lines(node, now, last_checked, fleet);
        self.problems.retain(|subject, _| subject.node != node || wrong.contains_key(subject));
        let mut violations = Vec::new();
        for (subject, (at, detail)) in wrong {
            let total = self.lateness.total();
            let first = StartPoint { at: at.max(ready), lateness: total };
            let problem_start = self
                .problems
                .entry(subject.clone())
                .or_insert(ProblemStart { first_seen: first, undisturbed: first });
            if problem_start.undisturbed.at < last_fault_end {
                problem_start.undisturbed = StartPoint { at: last_fault_end, lateness: total };
            }
            // A fault suspends a limit that is already running; it doesn't restart it.
            let first_seen = problem_start.first_seen;
            let excused = overlap(first_seen.at, now, &fault_spans);
            let without_faults = first_seen.elapsed(now, total).saturating_sub(excused);
            let lasted = without_faults.max(problem_start.undisturbed.elapsed(now, total));
            let machine_lateness = total.saturating_sub(first_seen.lateness);
            let limit = match subject.wrong {
                Wrong::NoLine => NO_LINE_LIMIT,
                Wrong::LineTo(_) => DRAIN_GRACE,
            };
            if subject.wrong == Wrong::NoLine && lasted > self.longest.duration {
                let Subject { proxy, class, .. } = subject;
                let at = self.started.elapsed();
                let summary = format!(
                    "node {node}, process {}, proxy {proxy}, {class}, {at:.1?} after the start",
                    history.epoch
                );
                self.longest = CoverageGap { duration: lasted, summary };
            }
            if lasted > limit + PLATFORM_TOLERANCE {
                let Subject { proxy, class, wrong, .. } = subject;
                let summary = format!("node {node}: proxy {proxy}, {class}: {wrong:?}");
                violations.push(CoverageViolation {
                    summary,
                    detail: format!("for {lasted:.1?}, machine late {machine_lateness:.1?}; {detail}"),
                });
            }
        }
        violations
    }
}

/// The present problems with the lines of a node's proxies: each with its earliest possible start, by the previous
/// check, and with the lines held.
fn wrong_lines(
    node: usize,
    now: Instant,
    last_checked: Option<Instant>,
    fleet: &Fleet,
) -> BTreeMap<Subject, (Instant, String)> {
    let holdings = &fleet.holdings[node];
    let listed = &fleet.sent_lists[node];
    let mut wrong = BTreeMap::new();
    for (proxy, joined) in &holdings.joined {
        for class in CLASSES {
            let lines = lines_held(holdings, *proxy, class);
            let mut add = |problem: Wrong, since: Instant| {
                let subject = Subject { node, proxy: *proxy, class, wrong: problem };
                wrong.insert(subject, (since, format!("holds {lines:?}")));
            };
            if has_no_usable_line(listed, &lines, class) {
                let was_covered = last_checked.is_some_and(|last| *joined <= last);
                add(Wrong::NoLine, if was_covered { now } else { *joined });
            }
            for (server, known) in &fleet.known_unavailable[node] {
                if lines.contains(server) {
                    add(Wrong::LineTo(server.clone()), (*known).max(*joined));
                }
            }
        }
    }
    wrong
}

/// By the platform's rules, a fault of the relay suspends limits for a while after its end, too.
fn with_recovery(span: &Span) -> Span {
    Span { from: span.from, until: span.until.map(|until| until + RELAY_RECOVERY) }
}

fn lines_held(holdings: &Holdings, proxy: u16, class: &str) -> Vec<String> {
    let table = holdings.bindings.get(&(proxy, class.to_owned()));
    let lines = table.and_then(|table| holdings.tables.get(table));
    lines.map(|lines| lines.keys().cloned().collect()).unwrap_or_default()
}

fn is_usable(server: &Server, class: &str) -> bool {
    server.phase == "SERVING" && (class != ONLY_ZONE_CLASS || server.zone == ZONES[ONLY_ZONE])
}

/// Whether a proxy with these lines has no usable one, although the list sent to its node has a usable server.
fn has_no_usable_line(listed: &BTreeMap<String, Server>, lines: &[String], class: &str) -> bool {
    let is_line = |id: &String| listed.get(id).is_some_and(|server| is_usable(server, class));
    !lines.iter().any(is_line) && listed.values().any(|server| is_usable(server, class))
}
