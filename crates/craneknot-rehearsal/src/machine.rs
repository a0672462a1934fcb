//! A stand-in server without I/O: cores and a queue, cold at its start, and falling over when sent too much.

use std::collections::VecDeque;

use craneknot::interface::Nanos;

/// What a server of its make can do.
#[derive(Clone, Copy, Debug)]
pub struct Make {
    pub cores: u16,
    pub speed: f64,
    pub queue: u32,
    pub cold_share: f64,
    pub warm_after: Nanos,
    pub fall_multiple: f64,
    pub fall_window: Nanos,
}

impl Make {
    /// Part of its capacity that a server has so long after its start.
    pub fn warmth(&self, age: Nanos) -> f64 {
        let part = (age.secs() / self.warm_after.secs().max(1e-9)).min(1.0);
        self.cold_share + (1.0 - self.cold_share) * part
    }

    /// Work that it can do in a second, in seconds of work.
    pub fn capacity(&self, warmth: f64) -> f64 {
        f64::from(self.cores) * self.speed * warmth
    }
}

/// What becomes of an operation that came in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrival {
    /// It runs; done at that moment.
    Runs {
        until: Nanos,
    },
    Waits,
    /// Turned away unseen.
    Full,
    /// That was too much for a cold server: it falls over.
    Falls,
}

/// An operation by the owner's number, with its work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    pub number: u64,
    pub work: Nanos,
}

pub struct Machine {
    make: Make,
    /// Nothing: long ago, it is warm.
    started: Option<Nanos>,
    /// Factor by which it runs slower.
    pub slow: f64,
    running: u16,
    waiting: VecDeque<Job>,
    recent: VecDeque<(Nanos, Nanos)>,
    busy: (Nanos, f64, f64),
    service: f64,
}

const BUSY_OVER: f64 = 1.0; // s; the span over which the busy share fades

impl Machine {
    pub fn new(make: Make, started: Option<Nanos>) -> Self {
        Machine {
            make,
            started,
            slow: 1.0,
            running: 0,
            waiting: VecDeque::new(),
            recent: VecDeque::new(),
            busy: (Nanos(0), 0.0, 0.0),
            service: 0.0,
        }
    }

    fn warmth(&self, now: Nanos) -> f64 {
        self.started.map_or(1.0, |started| self.make.warmth(now - started))
    }

    fn span(&self, now: Nanos, work: Nanos) -> Nanos {
        Nanos::from_secs(work.secs() * self.slow / (self.make.speed * self.warmth(now)))
    }

    /// An operation comes in.
    pub fn arrive(&mut self, now: Nanos, job: Job) -> Arrival {
        if self.is_pushed_over(now, job.work) {
            return Arrival::Falls;
        }
        if self.running < self.make.cores {
            self.note_busy(now, 1);
            return Arrival::Runs { until: self.begin(now, job) };
        }
        if self.waiting.len() >= self.make.queue as usize {
            return Arrival::Full;
        }
        self.waiting.push_back(job);
        Arrival::Waits
    }

    /// All work that comes in pushes, whether it is taken or not.
    fn is_pushed_over(&mut self, now: Nanos, work: Nanos) -> bool {
        let Some(started) = self.started.filter(|started| now - *started < self.make.warm_after) else {
            return false;
        };
        self.recent.push_back((now, work));
        let window = self.make.fall_window;
        while self.recent.front().is_some_and(|(at, _)| now - *at > window) {
            self.recent.pop_front();
        }
        let sent: f64 = self.recent.iter().map(|(_, work)| work.secs()).sum();
        let able = self.make.capacity(self.make.warmth(now - started)) * window.secs();
        sent > self.make.fall_multiple * able
    }

    fn begin(&mut self, now: Nanos, job: Job) -> Nanos {
        let span = self.span(now, job.work);
        self.service += (span.secs() - self.service) * 0.1;
        now + span
    }

    /// A running operation is done; the next one that waits begins.
    pub fn done(&mut self, now: Nanos) -> Option<(Job, Nanos)> {
        match self.waiting.pop_front() {
            Some(job) => Some((job, self.begin(now, job))),
            None => {
                self.note_busy(now, -1);
                None
            }
        }
    }

    /// One that waits is given up by who sent it.
    pub fn give_up(&mut self, number: u64) {
        self.waiting.retain(|job| job.number != number);
    }

    fn note_busy(&mut self, now: Nanos, change: i32) {
        self.busy = (now, self.busy(now), 0.0);
        self.running = self.running.saturating_add_signed(change as i16);
        self.busy.2 = f64::from(self.running) / f64::from(self.make.cores);
    }

    /// Busy share of its cores, lately.
    pub fn busy(&self, now: Nanos) -> f64 {
        let (since, was, is) = self.busy;
        let fade = (-(now - since).secs() / BUSY_OVER).exp();
        was * fade + is * (1.0 - fade)
    }

    /// Operations in hand.
    pub fn held(&self) -> usize {
        usize::from(self.running) + self.waiting.len()
    }

    /// Work that it can do in a second as it stands, in seconds of work.
    pub fn capacity(&self, now: Nanos) -> f64 {
        self.make.capacity(self.warmth(now)) / self.slow
    }

    /// Recent service time without waiting, s.
    pub fn service(&self) -> f64 {
        self.service
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MAKE: Make = Make {
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
    fn cores_then_queue_then_turned_away() {
        let mut machine = Machine::new(MAKE, None);
        let until = Nanos::from_millis(100);
        assert_eq!(machine.arrive(Nanos(0), job(1)), Arrival::Runs { until });
        assert_eq!(machine.arrive(Nanos(0), job(2)), Arrival::Runs { until });
        assert_eq!(machine.arrive(Nanos(0), job(3)), Arrival::Waits);
        assert_eq!(machine.arrive(Nanos(0), job(4)), Arrival::Waits);
        assert_eq!((machine.arrive(Nanos(0), job(5)), machine.held()), (Arrival::Full, 4));
        machine.give_up(3);
        assert_eq!(machine.done(until), Some((job(4), until + until)));
        assert_eq!((machine.done(until), machine.held()), (None, 1));
    }

    #[test]
    fn a_cold_server_is_slow_and_falls_over_when_sent_too_much() {
        let start = Nanos::from_millis(1_000);
        let mut machine = Machine::new(MAKE, Some(start));
        let Arrival::Runs { until } = machine.arrive(start, job(1)) else { panic!() };
        assert_eq!(until, start + Nanos::from_millis(500));
        // 3 x (2 cores x 0.2) x 2 s = 2.4 s of work within the window: 24 operations, the first included.
        let falls = (2..40).find(|number| machine.arrive(start, job(*number)) == Arrival::Falls);
        assert!(matches!(falls, Some(24 | 25)), "{falls:?}");
        // Warm, the same is turned away at most.
        let mut machine = Machine::new(MAKE, Some(start));
        let later = start + MAKE.warm_after;
        assert!((0..100).all(|number| machine.arrive(later, job(number)) != Arrival::Falls));
    }

    #[test]
    fn the_busy_share_follows_the_cores() {
        let mut machine = Machine::new(MAKE, None);
        machine.arrive(Nanos(0), job(1));
        assert!((machine.busy(Nanos::from_millis(5_000)) - 0.5).abs() < 0.01);
        machine.done(Nanos::from_millis(5_000));
        assert!(machine.busy(Nanos::from_millis(10_000)) < 0.01);
    }
}
