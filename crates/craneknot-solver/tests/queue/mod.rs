//! A server whose capacity is known: a queue of a few cores with exponential work, and what a report would tell of it.

use craneknot::interface::{LoadReport, Nanos};
use craneknot_solver::estimate::TryReport;
use rand::Rng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg32;

pub const PERIOD: f64 = 0.5; // s; between reports
pub const WORK: f64 = 0.02; // s; mean work of an operation

/// A queue of `cores`, its operations' work exponential.
pub struct Queue {
    pub cores: usize,
    pub speed: f64,
    /// Ends of what runs.
    running: Vec<f64>,
    waiting: Vec<(f64, f64)>,
    busy: (f64, f64),
    /// It says that it is idle.
    pub lies: bool,
    /// Share of its answers that get lost.
    pub drops: f64,
    /// It tells its load.
    pub tells: bool,
}

impl Queue {
    pub fn new(cores: usize, speed: f64) -> Self {
        let (running, waiting) = (Vec::new(), Vec::new());
        Queue { cores, speed, running, waiting, busy: (0.0, 0.0), lies: false, drops: 0.0, tells: true }
    }

    /// Operations a second.
    pub fn capacity(&self) -> f64 {
        self.cores as f64 * self.speed / WORK
    }

    fn note(&mut self, at: f64) {
        let part = 0.5f64.powf((at - self.busy.0) * 1.44);
        let now = self.running.len() as f64 / self.cores as f64;
        self.busy = (at, self.busy.1 * part + now * (1.0 - part));
    }

    /// A period at so many operations a second; what proxies met.
    pub fn play(&mut self, from: f64, rate: f64, rng: &mut Pcg32) -> Option<TryReport> {
        let mut arrivals = Vec::new();
        let mut at = from;
        loop {
            at += Exp::new(rate.max(1e-6)).unwrap().sample(rng);
            if at >= from + PERIOD {
                break;
            }
            arrivals.push((at, Exp::new(1.0 / WORK).unwrap().sample(rng)));
        }
        let (mut tries, mut lost, mut time, mut busy, mut held, mut good) = (0, 0, 0.0, 0.0, 0.0, 0u64);
        let mut next = arrivals.into_iter().peekable();
        loop {
            let end = self.running.iter().copied().fold(f64::INFINITY, f64::min);
            let come = next.peek().map_or(f64::INFINITY, |one| one.0);
            if end.min(come) >= from + PERIOD {
                break;
            }
            if come <= end {
                let Some((at, work)) = next.next() else { break };
                self.note(at);
                self.waiting.push((at, work));
            } else {
                self.note(end);
                let place = self.running.iter().position(|one| *one == end).unwrap();
                self.running.swap_remove(place);
                tries += 1;
                if rng.random::<f64>() < self.drops {
                    lost += 1;
                } else {
                    good += 1;
                    busy += if self.lies { 0.05 } else { self.busy.1 };
                    held += if self.lies { 0.1 } else { (self.running.len() + self.waiting.len()) as f64 };
                }
            }
            let now = come.min(end);
            while self.running.len() < self.cores && !self.waiting.is_empty() {
                let (came, work) = self.waiting.remove(0);
                let until = now + work / self.speed;
                time += until - came;
                self.running.push(until);
            }
        }
        let report = LoadReport {
            busy: (self.tells && good > 0).then(|| busy / good as f64),
            in_flight: (self.tells && good > 0).then(|| held / good as f64),
            service_time: None,
        };
        let latency = Nanos::from_secs(time / tries.max(1) as f64);
        (tries > 0).then_some(TryReport { tries, unanswered: lost, latency, report })
    }
}
