//! What became of each coordinator when: its processes, when it could not be reached, and which faults were laid on.

use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

/// One process of a coordinator.
#[derive(Clone, Copy, Debug)]
pub struct Process {
    pub started: Instant,
    /// When it first answered.
    pub ready: Option<Instant>,
    /// When it was sent SIGTERM.
    pub terminated: Option<Instant>,
    /// When it was sent SIGKILL while it ran.
    pub killed: Option<Instant>,
    /// When it had ended, whatever ended it.
    pub ended: Option<Instant>,
}

/// A span in which something held; one that has not ended is open.
#[derive(Clone, Debug)]
struct Span<T> {
    what: T,
    from: Instant,
    until: Option<Instant>,
}

impl<T> Span<T> {
    fn meets(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

#[derive(Default)]
struct History {
    processes: Vec<Vec<Process>>,
    /// By coordinator: it is stopped, or nothing reaches it.
    absences: Vec<Span<usize>>,
    faults: Vec<Span<String>>,
}

/// The history of a trial.
pub struct Timeline {
    raised: Instant,
    day_begun: OnceLock<Instant>,
    history: Mutex<History>,
}

impl Timeline {
    /// Nothing has happened yet to so many coordinators.
    pub fn new(coordinators: usize) -> Self {
        let history = History { processes: vec![Vec::new(); coordinators], ..History::default() };
        Timeline { raised: Instant::now(), day_begun: OnceLock::new(), history: Mutex::new(history) }
    }

    /// The day begins now, unless it has begun.
    pub fn begin_day(&self) {
        self.day_begun.get_or_init(Instant::now);
    }

    /// When the day began; until it has, when the trial was raised.
    pub fn begun(&self) -> Instant {
        self.day_begun.get().copied().unwrap_or(self.raised)
    }

    /// A moment, in seconds since the day began; less than nothing before it.
    pub fn second(&self, at: Instant) -> f64 {
        let begun = self.begun();
        let before = begun.saturating_duration_since(at).as_secs_f64();
        at.saturating_duration_since(begun).as_secs_f64() - before
    }

    /// A process has been started.
    pub fn started(&self, coordinator: usize) {
        let process =
            Process { started: Instant::now(), ready: None, terminated: None, killed: None, ended: None };
        self.history.lock().unwrap().processes[coordinator].push(process);
    }

    fn mark(&self, coordinator: usize, set: impl Fn(&mut Process, Instant)) {
        let mut history = self.history.lock().unwrap();
        if let Some(process) = history.processes[coordinator].last_mut() {
            set(process, Instant::now());
        }
    }

    /// A process, by its number, has answered; the first time counts.
    pub fn answered(&self, coordinator: usize, process: usize) {
        let mut history = self.history.lock().unwrap();
        if let Some(process) = history.processes[coordinator].get_mut(process) {
            process.ready.get_or_insert_with(Instant::now);
        }
    }

    /// The last process was sent SIGTERM.
    pub fn terminated(&self, coordinator: usize) {
        self.mark(coordinator, |process, now| process.terminated = Some(now));
    }

    /// The last process was sent SIGKILL while it ran.
    pub fn killed(&self, coordinator: usize) {
        self.mark(coordinator, |process, now| process.killed = Some(now));
    }

    /// The last process has ended.
    pub fn ended(&self, coordinator: usize) {
        self.mark(coordinator, |process, now| {
            process.ended.get_or_insert(now);
        });
    }

    /// The processes of a coordinator, the last one last.
    pub fn processes(&self, coordinator: usize) -> Vec<Process> {
        self.history.lock().unwrap().processes[coordinator].clone()
    }

    /// The number of the last process.
    pub fn last_process(&self, coordinator: usize) -> Option<usize> {
        self.history.lock().unwrap().processes[coordinator].len().checked_sub(1)
    }

    /// From now on the coordinator is stopped or cut off.
    pub fn absent(&self, coordinator: usize) {
        let span = Span { what: coordinator, from: Instant::now(), until: None };
        self.history.lock().unwrap().absences.push(span);
    }

    /// The coordinator is back.
    pub fn present(&self, coordinator: usize) {
        let mut history = self.history.lock().unwrap();
        let open =
            history.absences.iter_mut().filter(|span| span.what == coordinator && span.until.is_none());
        open.for_each(|span| span.until = Some(Instant::now()));
    }

    /// Whether a coordinator could be reached all the time.
    pub fn was_present(&self, coordinator: usize, from: Instant, until: Instant) -> bool {
        let history = self.history.lock().unwrap();
        !history.absences.iter().any(|span| span.what == coordinator && span.meets(from, until))
    }

    /// Whether a proxy that dials a coordinator now would be taken.
    pub fn takes_proxies(&self, coordinator: usize) -> bool {
        let now = Instant::now();
        let last = self.processes(coordinator).last().copied();
        let serves = last.is_some_and(|process| {
            process.ready.is_some() && process.terminated.is_none() && process.ended.is_none()
        });
        serves && self.was_present(coordinator, now, now)
    }

    /// A fault is laid on from now on for so long.
    pub fn fault(&self, name: &str, span: Duration) {
        let now = Instant::now();
        let span = Span { what: name.to_owned(), from: now, until: Some(now + span) };
        self.history.lock().unwrap().faults.push(span);
    }

    /// The faults that were active at any moment of a span.
    pub fn active(&self, from: Instant, until: Instant) -> Vec<String> {
        let history = self.history.lock().unwrap();
        history.faults.iter().filter(|span| span.meets(from, until)).map(|span| span.what.clone()).collect()
    }

    /// The number of the process of a coordinator that was the last to start by then.
    pub fn process_at(&self, coordinator: usize, at: Instant) -> Option<usize> {
        self.processes(coordinator).iter().rposition(|process| process.started <= at)
    }
}
