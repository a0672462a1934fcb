//! The history of each coordinator: its processes, the times when it was unreachable, and the active faults.

use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

/// One process of a coordinator.
#[derive(Clone, Copy, Debug)]
pub struct Process {
    pub started: Instant,
    /// When it first answered a request.
    pub ready: Option<Instant>,
    /// When it was sent SIGTERM.
    pub terminated: Option<Instant>,
    /// When it was sent SIGKILL while running.
    pub killed: Option<Instant>,
    /// When it was found to have exited, for any reason.
    pub ended: Option<Instant>,
}

/// A span of time; one that has not ended has no end.
#[derive(Clone, Debug)]
struct Span<T> {
    subject: T,
    from: Instant,
    until: Option<Instant>,
}

impl<T> Span<T> {
    fn overlaps(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

#[derive(Default)]
struct History {
    processes: Vec<Vec<Process>>,
    /// Spans in which a coordinator was stopped or disconnected.
    absences: Vec<Span<usize>>,
    faults: Vec<Span<String>>,
}

/// The history of a trial.
pub struct Timeline {
    created: Instant,
    day_start: OnceLock<Instant>,
    history: Mutex<History>,
}

impl Timeline {
    /// Creates an empty history of a number of coordinators.
    pub fn new(coordinators: usize) -> Self {
        let history = History { processes: vec![Vec::new(); coordinators], ..History::default() };
        Timeline { created: Instant::now(), day_start: OnceLock::new(), history: Mutex::new(history) }
    }

    /// Starts the day now, unless it has started.
    pub fn begin_day(&self) {
        self.day_start.get_or_init(Instant::now);
    }

    /// The start of the day; before that, the creation of the timeline.
    pub fn day_start(&self) -> Instant {
        self.day_start.get().copied().unwrap_or(self.created)
    }

    /// A moment in seconds since the start of the day; negative before it.
    pub fn second(&self, at: Instant) -> f64 {
        let day_start = self.day_start();
        let before = day_start.saturating_duration_since(at).as_secs_f64();
        at.saturating_duration_since(day_start).as_secs_f64() - before
    }

    /// Records the start of a process.
    pub fn record_start(&self, coordinator: usize) {
        let process =
            Process { started: Instant::now(), ready: None, terminated: None, killed: None, ended: None };
        self.history.lock().unwrap().processes[coordinator].push(process);
    }

    fn update_last_process(&self, coordinator: usize, set: impl Fn(&mut Process, Instant)) {
        let mut history = self.history.lock().unwrap();
        if let Some(process) = history.processes[coordinator].last_mut() {
            set(process, Instant::now());
        }
    }

    /// Records an answer of a process, by its number; only the first is kept.
    pub fn record_answer(&self, coordinator: usize, process: usize) {
        let mut history = self.history.lock().unwrap();
        if let Some(process) = history.processes[coordinator].get_mut(process) {
            process.ready.get_or_insert_with(Instant::now);
        }
    }

    /// Records that SIGTERM was sent to the last process.
    pub fn record_sigterm(&self, coordinator: usize) {
        self.update_last_process(coordinator, |process, now| process.terminated = Some(now));
    }

    /// Records that SIGKILL was sent to the last process while it was running.
    pub fn record_sigkill(&self, coordinator: usize) {
        self.update_last_process(coordinator, |process, now| process.killed = Some(now));
    }

    /// Records the exit of the last process.
    pub fn record_exit(&self, coordinator: usize) {
        self.update_last_process(coordinator, |process, now| {
            process.ended.get_or_insert(now);
        });
    }

    /// The processes of a coordinator, oldest first.
    pub fn processes(&self, coordinator: usize) -> Vec<Process> {
        self.history.lock().unwrap().processes[coordinator].clone()
    }

    /// The number of the last process.
    pub fn last_process(&self, coordinator: usize) -> Option<usize> {
        self.history.lock().unwrap().processes[coordinator].len().checked_sub(1)
    }

    /// Records that a coordinator is stopped or disconnected from now on.
    pub fn begin_absence(&self, coordinator: usize) {
        let span = Span { subject: coordinator, from: Instant::now(), until: None };
        self.history.lock().unwrap().absences.push(span);
    }

    /// Records that a coordinator is reachable again.
    pub fn end_absence(&self, coordinator: usize) {
        let mut history = self.history.lock().unwrap();
        let open =
            history.absences.iter_mut().filter(|span| span.subject == coordinator && span.until.is_none());
        open.for_each(|span| span.until = Some(Instant::now()));
    }

    /// Whether a coordinator was reachable during a whole span.
    pub fn was_reachable(&self, coordinator: usize, from: Instant, until: Instant) -> bool {
        let history = self.history.lock().unwrap();
        !history.absences.iter().any(|span| span.subject == coordinator && span.overlaps(from, until))
    }

    /// Whether a coordinator would accept the connection of a proxy now.
    pub fn accepts_proxies(&self, coordinator: usize) -> bool {
        let now = Instant::now();
        let last = self.processes(coordinator).last().copied();
        let serves = last.is_some_and(|process| {
            process.ready.is_some() && process.terminated.is_none() && process.ended.is_none()
        });
        serves && self.was_reachable(coordinator, now, now)
    }

    /// Records a fault that is active from now on for a span.
    pub fn record_fault(&self, name: &str, span: Duration) {
        let now = Instant::now();
        let span = Span { subject: name.to_owned(), from: now, until: Some(now + span) };
        self.history.lock().unwrap().faults.push(span);
    }

    /// The faults that were active at any moment of a span.
    pub fn active_faults(&self, from: Instant, until: Instant) -> Vec<String> {
        let history = self.history.lock().unwrap();
        history
            .faults
            .iter()
            .filter(|span| span.overlaps(from, until))
            .map(|span| span.subject.clone())
            .collect()
    }

    /// The number of the last process of a coordinator that had started by a time.
    pub fn process_at(&self, coordinator: usize, at: Instant) -> Option<usize> {
        self.processes(coordinator).iter().rposition(|process| process.started <= at)
    }
}
