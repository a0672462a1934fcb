//! A simulated server without I/O: cores and a queue, cold at its start, and failing under overload while cold.

use std::collections::VecDeque;

use craneknot::interface::Nanos;

/// The capabilities of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerSpec {
    pub cores: u16,
    pub speed: f64,
    pub queue: u32,
    pub cold_share: f64,
    pub warm_after: Nanos,
    pub fall_multiple: f64,
    pub fall_window: Nanos,
}

impl ServerSpec {
    /// The share of its full capacity that a server has at this age.
    pub fn warmth(&self, age: Nanos) -> f64 {
        let progress = (age.secs() / self.warm_after.secs().max(1e-9)).min(1.0);
        self.cold_share + (1.0 - self.cold_share) * progress
    }

    /// Work that the server can do per second, in seconds of work.
    pub fn capacity(&self, warmth: f64) -> f64 {
        f64::from(self.cores) * self.speed * warmth
    }
}

/// What happens to an operation on arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrival {
    /// It runs, and finishes at that time.
    Running {
        until: Nanos,
    },
    Queued,
    /// Rejected because the queue is full.
    Full,
    /// The operation overloads a cold server, which fails.
    Overloaded,
}

/// An operation, identified by its owner's number, with its work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    pub number: u64,
    pub work: Nanos,
}

/// The state of a simulated server.
pub struct Machine {
    spec: ServerSpec,
    /// `None`: long ago; the server is warm.
    started: Option<Nanos>,
    /// Factor by which the server is slowed down.
    pub slowdown: f64,
    running: u16,
    waiting: VecDeque<Job>,
    recent: VecDeque<(Nanos, Nanos)>,
    busy: (Nanos, f64, f64),
    service_time: f64,
}

const BUSY_TIME_CONSTANT: f64 = 1.0; // s; time constant of the decaying average of the busy share

impl Machine {
    pub fn new(spec: ServerSpec, started: Option<Nanos>) -> Self {
        Machine {
            spec,
            started,
            slowdown: 1.0,
            running: 0,
            waiting: VecDeque::new(),
            recent: VecDeque::new(),
            busy: (Nanos(0), 0.0, 0.0),
            service_time: 0.0,
        }
    }

    fn warmth(&self, now: Nanos) -> f64 {
        self.started.map_or(1.0, |started| self.spec.warmth(now - started))
    }

    fn service_duration(&self, now: Nanos, work: Nanos) -> Nanos {
        Nanos::from_secs(work.secs() * self.slowdown / (self.spec.speed * self.warmth(now)))
    }

    /// Handles the arrival of an operation.
    pub fn arrive(&mut self, now: Nanos, job: Job) -> Arrival {
        if self.is_overloaded(now, job.work) {
            return Arrival::Overloaded;
        }
        if self.running < self.spec.cores {
            self.update_running(now, 1);
            return Arrival::Running { until: self.begin(now, job) };
        }
        if self.waiting.len() >= self.spec.queue as usize {
            return Arrival::Full;
        }
        self.waiting.push_back(job);
        Arrival::Queued
    }

    /// Whether a cold server is overloaded. All arriving work counts, whether it is accepted or not.
    fn is_overloaded(&mut self, now: Nanos, work: Nanos) -> bool {
        let Some(started) = self.started.filter(|started| now - *started < self.spec.warm_after) else {
            return false;
        };
        self.recent.push_back((now, work));
        let window = self.spec.fall_window;
        while self.recent.front().is_some_and(|(at, _)| now - *at > window) {
            self.recent.pop_front();
        }
        let sent: f64 = self.recent.iter().map(|(_, work)| work.secs()).sum();
        let capacity = self.spec.capacity(self.spec.warmth(now - started)) * window.secs();
        sent > self.spec.fall_multiple * capacity
    }

    fn begin(&mut self, now: Nanos, job: Job) -> Nanos {
        let span = self.service_duration(now, job.work);
        self.service_time += (span.secs() - self.service_time) * 0.1;
        now + span
    }

    /// A running operation has finished; starts the next queued one.
    pub fn finish(&mut self, now: Nanos) -> Option<(Job, Nanos)> {
        match self.waiting.pop_front() {
            Some(job) => Some((job, self.begin(now, job))),
            None => {
                self.update_running(now, -1);
                None
            }
        }
    }

    /// Cancels a queued operation that its sender has given up.
    pub fn cancel(&mut self, number: u64) {
        self.waiting.retain(|job| job.number != number);
    }

    fn update_running(&mut self, now: Nanos, change: i32) {
        self.busy = (now, self.busy(now), 0.0);
        self.running = self.running.saturating_add_signed(change as i16);
        self.busy.2 = f64::from(self.running) / f64::from(self.spec.cores);
    }

    /// Recent busy share of the cores.
    pub fn busy(&self, now: Nanos) -> f64 {
        let (since, was, is) = self.busy;
        let decay = (-(now - since).secs() / BUSY_TIME_CONSTANT).exp();
        was * decay + is * (1.0 - decay)
    }

    /// Operations running or queued.
    pub fn in_flight(&self) -> usize {
        usize::from(self.running) + self.waiting.len()
    }

    /// Work that the server can currently do per second, in seconds of work.
    pub fn capacity(&self, now: Nanos) -> f64 {
        self.spec.capacity(self.warmth(now)) / self.slowdown
    }

    /// Recent service time without queueing, s.
    pub fn service_time(&self) -> f64 {
        self.service_time
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SPEC: ServerSpec = ServerSpec {
        cores: 2,
        speed: 1.0,
        queue: 2,
        cold_share: 0.2,
        warm_after: Nanos::from_millis(10_000),
        fall_multiple: 3.0,
        fall_window: Nanos::from_millis(2_000),
    };

    fn job(number: u64) -> Job {
        Job { number, work: Nanos::from_millis(100) }
    }

    #[test]
    fn operations_fill_cores_then_the_queue_then_are_rejected() {
        let mut machine = Machine::new(SPEC, None);
        let until = Nanos::from_millis(100);
        assert_eq!(machine.arrive(Nanos(0), job(1)), Arrival::Running { until });
        assert_eq!(machine.arrive(Nanos(0), job(2)), Arrival::Running { until });
        assert_eq!(machine.arrive(Nanos(0), job(3)), Arrival::Queued);
        assert_eq!(machine.arrive(Nanos(0), job(4)), Arrival::Queued);
        assert_eq!((machine.arrive(Nanos(0), job(5)), machine.in_flight()), (Arrival::Full, 4));
        machine.cancel(3);
        assert_eq!(machine.finish(until), Some((job(4), until + until)));
        assert_eq!((machine.finish(until), machine.in_flight()), (None, 1));
    }

    #[test]
    fn a_cold_server_is_slow_and_fails_under_overload() {
        let start = Nanos::from_millis(1_000);
        let mut machine = Machine::new(SPEC, Some(start));
        let Arrival::Running { until } = machine.arrive(start, job(1)) else { panic!() };
        assert_eq!(until, start + Nanos::from_millis(500));
        // 3 x (2 cores x 0.2) x 2 s = 2.4 s of work within the window: 24 operations, the first included.
        let falls = (2..40).find(|number| machine.arrive(start, job(*number)) == Arrival::Overloaded);
        assert!(matches!(falls, Some(24 | 25)), "{falls:?}");
        // A warm server rejects the same load at most.
        let mut machine = Machine::new(SPEC, Some(start));
        let later = start + SPEC.warm_after;
        assert!((0..100).all(|number| machine.arrive(later, job(number)) != Arrival::Overloaded));
    }

    #[test]
    fn the_busy_share_approaches_the_share_of_busy_cores() {
        let mut machine = Machine::new(SPEC, None);
        machine.arrive(Nanos(0), job(1));
        assert!((machine.busy(Nanos::from_millis(5_000)) - 0.5).abs() < 0.01);
        machine.finish(Nanos::from_millis(5_000));
        assert!(machine.busy(Nanos::from_millis(10_000)) < 0.01);
    }
}
