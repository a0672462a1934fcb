//! A server of known capacity: a queue with a few cores and exponential work, and the reports on it.

use craneknot::interface::{LoadReport, Nanos};
use craneknot_solver::estimate::TryReport;
use rand::Rng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg32;

pub const PERIOD: f64 = 0.5; // s between reports
pub const WORK: f64 = 0.02; // s of mean work of an operation

/// A queue with `cores` cores; the work of operations is exponentially distributed.
pub struct Queue {
    pub cores: usize,
    pub speed: f64,
    /// End times of the running operations.
    running: Vec<f64>,
    waiting: Vec<(f64, f64)>,
    /// Time of the last update, and the smoothed utilization.
    utilization: (f64, f64),
    /// It reports falsely that it is idle.
    pub reports_idle: bool,
    /// Share of its answers that get lost.
    pub loss: f64,
    /// It reports its load.
    pub reports_load: bool,
}

impl Queue {
    pub fn new(cores: usize, speed: f64) -> Self {
        let (running, waiting) = (Vec::new(), Vec::new());
        Queue {
            cores,
            speed,
            running,
            waiting,
            utilization: (0.0, 0.0),
            reports_idle: false,
            loss: 0.0,
            reports_load: true,
        }
    }

    /// Capacity in operations per second.
    pub fn capacity(&self) -> f64 {
        self.cores as f64 * self.speed / WORK
    }

    fn update_utilization(&mut self, at: f64) {
        let part = 0.5f64.powf((at - self.utilization.0) * 1.44);
        let now = self.running.len() as f64 / self.cores as f64;
        self.utilization = (at, self.utilization.1 * part + now * (1.0 - part));
    }

    /// Runs one period at `rate` operations per second; returns what proxies report.
    pub fn run_period(&mut self, from: f64, rate: f64, rng: &mut Pcg32) -> Option<TryReport> {
        let mut arrivals = Vec::new();
        let mut at = from;
        loop {
            at += Exp::new(rate.max(1e-6)).unwrap().sample(rng);
            if at >= from + PERIOD {
                break;
            }
            arrivals.push((at, Exp::new(1.0 / WORK).unwrap().sample(rng)));
        }
        let (mut tries, mut lost, mut time, mut busy, mut in_flight, mut answered) =
            (0, 0, 0.0, 0.0, 0.0, 0u64);
        let mut next = arrivals.into_iter().peekable();
        loop {
            let end = self.running.iter().copied().fold(f64::INFINITY, f64::min);
            let arrival = next.peek().map_or(f64::INFINITY, |one| one.0);
            if end.min(arrival) >= from + PERIOD {
                break;
            }
            if arrival <= end {
                let Some((at, work)) = next.next() else { break };
                self.update_utilization(at);
                self.waiting.push((at, work));
            } else {
                self.update_utilization(end);
                let index = self.running.iter().position(|one| *one == end).unwrap();
                self.running.swap_remove(index);
                tries += 1;
                if rng.random::<f64>() < self.loss {
                    lost += 1;
                } else {
                    answered += 1;
                    busy += if self.reports_idle { 0.05 } else { self.utilization.1 };
                    in_flight += if self.reports_idle {
                        0.1
                    } else {
                        (self.running.len() + self.waiting.len()) as f64
                    };
                }
            }
            let now = arrival.min(end);
            while self.running.len() < self.cores && !self.waiting.is_empty() {
                let (arrived, work) = self.waiting.remove(0);
                let until = now + work / self.speed;
                time += until - arrived;
                self.running.push(until);
            }
        }
        let report = LoadReport {
            busy: (self.reports_load && answered > 0).then(|| busy / answered as f64),
            in_flight: (self.reports_load && answered > 0).then(|| in_flight / answered as f64),
            service_time: None,
        };
        let latency = Nanos::from_secs(time / tries.max(1) as f64);
        (tries > 0).then_some(TryReport { tries, unanswered: lost, latency, report })
    }
}
