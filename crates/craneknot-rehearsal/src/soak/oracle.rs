//! Judges a soak by its invariants, from what the peers of the nodes saw and what the nodes count of themselves.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use super::coverage::Broken;
use super::node::{EndedLife, Life};

const ANSWERED_WITHIN: Duration = Duration::from_millis(500); // a process that runs answers within, on a busy machine
const READY_WITHIN: Duration = Duration::from_secs(10); // of a start
const BROKEN_KEPT: usize = 50; // enough to find a cause

/// What became of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Answered,
    /// It was told that it is turned away.
    Rejected,
    /// The connection ended, or nothing came.
    Lost,
}

/// A request that was written whole.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The process that it was sent to.
    pub epoch: u64,
    /// When its connection was opened, and when it was sent.
    pub opened: Instant,
    pub sent: Instant,
}

/// What has been seen.
pub struct Oracle {
    begun: Instant,
    broken: Mutex<Vec<String>>,
    seen: Mutex<BTreeSet<String>>,
    pub answered: AtomicU64,
    pub rejected: AtomicU64,
    /// Requests in flight as their process was killed.
    pub excused: AtomicU64,
    pub starts: AtomicU64,
    pub slowest_millis: AtomicU64,
}

impl Default for Oracle {
    fn default() -> Self {
        Oracle {
            begun: Instant::now(),
            broken: Mutex::default(),
            seen: Mutex::default(),
            answered: AtomicU64::default(),
            rejected: AtomicU64::default(),
            excused: AtomicU64::default(),
            starts: AtomicU64::default(),
            slowest_millis: AtomicU64::default(),
        }
    }
}

impl Oracle {
    /// An invariant does not hold.
    pub fn broken(&self, what: String) {
        let mut broken = self.broken.lock().unwrap();
        if broken.len() < BROKEN_KEPT {
            broken.push(format!("{:.3} s: {what}", self.begun.elapsed().as_secs_f64()));
        }
    }

    /// The same, told once.
    fn broken_once(&self, what: String, detail: &str) {
        if self.seen.lock().unwrap().insert(what.clone()) {
            self.broken(format!("{what}: {detail}"));
        }
    }

    /// A node counts a violation of itself.
    pub fn told_violation(&self, node: usize, epoch: u64, figure: &str) {
        self.broken_once(format!("node {node}, process {epoch}: counts {figure}"), "of itself");
    }

    /// A process ended though nobody asked it to.
    pub fn ended_by_itself(&self, node: usize, epoch: u64, status: &str) {
        self.broken_once(format!("node {node}, process {epoch}: ended by itself"), status);
    }

    /// All that was broken.
    pub fn all_broken(&self) -> Vec<String> {
        self.broken.lock().unwrap().clone()
    }

    /// Judges a request by the life of the process that it was sent to.
    pub fn judge(&self, node: usize, what: &str, request: Request, life: &Life, answer: Answer) {
        let took = request.sent.elapsed();
        match answer {
            Answer::Answered => {
                self.answered.fetch_add(1, Ordering::Relaxed);
                self.slowest_millis.fetch_max(took.as_millis() as u64, Ordering::Relaxed);
            }
            Answer::Rejected => drop(self.rejected.fetch_add(1, Ordering::Relaxed)),
            Answer::Lost if self.is_excused(request, life) => {
                self.excused.fetch_add(1, Ordering::Relaxed);
            }
            Answer::Lost => {
                let own = life_of(life, request.epoch);
                let after = |at: Instant| request.sent.saturating_duration_since(at);
                let since = own.and_then(|own| own.terminated).map(after);
                let (epoch, process) = (request.epoch, life.epoch);
                self.broken(format!(
                    "node {node}: {what} lost after {took:?}; process {epoch} of {process}, sent {since:?} after SIGTERM"
                ));
            }
        }
    }

    /// A request is no process's to answer that was killed before it had the time to, or had ended by itself before the
    /// request's connection was taken in.
    fn is_excused(&self, request: Request, life: &Life) -> bool {
        let Some(own) = life_of(life, request.epoch) else { return false };
        // Neither can it answer while it is stopped, nor who waits behind a crowd that it has no room for.
        let held_up = own.paused_until.max(own.crowded_until);
        let runs_from = held_up.map_or(request.sent, |until| until.max(request.sent));
        let is_killed =
            own.killed.is_some_and(|killed| killed.saturating_duration_since(runs_from) < ANSWERED_WITHIN);
        let has_ended = own.killed.is_none() && request.epoch < life.epoch;
        is_killed || has_ended && own.terminated.is_some_and(|at| request.opened >= at)
    }

    /// Judges how soon a process was ready.
    pub fn judge_start(&self, node: usize, life: &Life) {
        let Some(started) = life.started.filter(|_| !life.ready && life.terminated.is_none()) else { return };
        let from = life.paused_until.map_or(started, |until| until.max(started));
        if life.killed.is_none() && from.elapsed() > READY_WITHIN {
            let what = format!("node {node}, process {}: not ready within 10 s", life.epoch);
            self.broken_once(what, &format!("{:?}", from.elapsed()));
        }
    }

    /// What proxies hold has been wrong for too long.
    pub fn broken_coverage(&self, broken: Vec<Broken>) {
        broken.into_iter().for_each(|broken| self.broken_once(broken.what, &broken.detail));
    }
}

/// What is known of a node's process: the one that runs, or one before.
fn life_of(life: &Life, epoch: u64) -> Option<EndedLife> {
    if epoch != life.epoch {
        return life.before.get(&epoch).copied();
    }
    let Life { terminated, killed, paused_until, crowded_until, .. } = *life;
    Some(EndedLife { terminated, killed, paused_until, crowded_until })
}
