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
    /// By coordinator: it is stopped, or nothing reaches it.
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
    /// Nothing has happened yet to so many coordinators.
    pub fn new(coordinators: usize) -> Self {
        let history = History { processes: vec![Vec::new(); coordinators], ..History::default() };
        Timeline { created: Instant::now(), day_start: OnceLock::new(), history: Mutex::new(history) }
    }

    /// The day begins now, unless it has begun.
    pub fn begin_day(&self) {
        self.day_start.get_or_init(Instant::now);
    }

    /// When the day began; until it has, when the trial was raised.
    pub fn day_start(&self) -> Instant {
        self.day_start.get().copied().unwrap_or(self.created)
    }

    /// A moment, in seconds since the day began; less than nothing before it.
    pub fn second(&self, at: Instant) -> f64 {
        let day_start = self.day_start();
        let before = day_start.saturating_duration_since(at).as_secs_f64();
        at.saturating_duration_since(day_start).as_secs_f64() - before
    }

    /// A process has been started.
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

    /// A process, by its number, has answered; the first time counts.
    pub fn record_answer(&self, coordinator: usize, process: usize) {
        let mut history = self.history.lock().unwrap();
        if let Some(process) = history.processes[coordinator].get_mut(process) {
            process.ready.get_or_insert_with(Instant::now);
        }
    }

    /// The last process was sent SIGTERM.
    pub fn record_sigterm(&self, coordinator: usize) {
        self.update_last_process(coordinator, |process, now| process.terminated = Some(now));
    }

    /// The last process was sent SIGKILL while it ran.
    pub fn record_sigkill(&self, coordinator: usize) {
        self.update_last_process(coordinator, |process, now| process.killed = Some(now));
    }

    /// The last process has ended.
    pub fn record_exit(&self, coordinator: usize) {
        self.update_last_process(coordinator, |process, now| {
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
    pub fn begin_absence(&self, coordinator: usize) {
        let span = Span { subject: coordinator, from: Instant::now(), until: None };
        self.history.lock().unwrap().absences.push(span);
    }

    /// The coordinator is back.
    pub fn end_absence(&self, coordinator: usize) {
        let mut history = self.history.lock().unwrap();
        let open =
            history.absences.iter_mut().filter(|span| span.subject == coordinator && span.until.is_none());
        open.for_each(|span| span.until = Some(Instant::now()));
    }

    /// Whether a coordinator could be reached all the time.
    pub fn was_reachable(&self, coordinator: usize, from: Instant, until: Instant) -> bool {
        let history = self.history.lock().unwrap();
        !history.absences.iter().any(|span| span.subject == coordinator && span.overlaps(from, until))
    }

    /// Whether a proxy that dials a coordinator now would be taken.
    pub fn accepts_proxies(&self, coordinator: usize) -> bool {
        let now = Instant::now();
        let last = self.processes(coordinator).last().copied();
        let serves = last.is_some_and(|process| {
            process.ready.is_some() && process.terminated.is_none() && process.ended.is_none()
        });
        serves && self.was_reachable(coordinator, now, now)
    }

    /// A fault is laid on from now on for so long.
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

    /// The number of the process of a coordinator that was the last to start by then.
    pub fn process_at(&self, coordinator: usize, at: Instant) -> Option<usize> {
        self.processes(coordinator).iter().rposition(|process| process.started <= at)
    }
}
