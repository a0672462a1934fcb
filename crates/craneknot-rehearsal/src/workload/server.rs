//! A server: cores shared by the requests in its slots, a queue, connections, and a cold start.

use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use super::orders::LoadReport;
use super::settings::{ServerSpec, WorkloadSettings};

/// Longest time over which a cold server's capacity is treated as constant.
const COLD_STEP: Duration = Duration::from_millis(50);

/// Time constant of the utilisation in load reports, in seconds.
const UTILISATION_TIME: f64 = 1.0;

/// Remaining work at which a request counts as complete, in seconds; covers rounding errors.
const WORK_TOLERANCE: f64 = 1e-9;

/// A try of an operation at a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Job {
    pub operation: usize,
    pub attempt: u32,
    /// Work on a standard core, in seconds.
    pub work: f64,
}

/// Parts of the time that a request spent at the server, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServerDelays {
    pub queued: f64,
    pub cold: f64,
    pub past_knee: f64,
    pub silent: f64,
    pub slow: f64,
    pub own: f64,
}

/// A completed request.
pub(super) struct Finished {
    pub job: Job,
    pub delays: ServerDelays,
}

/// Factors of a server's speed. The speed is divided by `slowdown`, which is at least 1; the others are at
/// most 1.
#[derive(Clone, Copy)]
struct Factors {
    warmth: f64,
    knee: f64,
    share: f64,
    connections: f64,
    slowdown: f64,
}

impl Factors {
    fn product(&self) -> f64 {
        self.warmth * self.knee * self.share * self.connections / self.slowdown
    }
}

/// Time lost to each factor since the start of the run, in seconds.
#[derive(Clone, Copy, Default)]
struct Losses {
    cold: f64,
    past_knee: f64,
    shared: f64,
    silent: f64,
    slow: f64,
}

struct InService {
    finish: f64,
    sequence: u64,
    job: Job,
    queued: f64,
    began: Duration,
    losses: Losses,
}

impl PartialEq for InService {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for InService {}

impl PartialOrd for InService {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for InService {
    fn cmp(&self, other: &Self) -> Ordering {
        self.finish.total_cmp(&other.finish).then(self.sequence.cmp(&other.sequence))
    }
}

struct Limits {
    slots: usize,
    waiting: usize,
    connections: f64,
    full_connections_tax: f64,
    knee: f64,
    slowdown_past_knee: f64,
    cold_share: f64,
    ramp_time: Duration,
    overload_limit: f64,
    overload_window: Duration,
}

struct Received {
    at: Duration,
    work: f64,
    informed: bool,
}

pub(super) struct Server {
    pub zone: usize,
    pub listed_weight: f64,
    pub running: bool,
    pub draining: bool,
    pub silent: bool,
    /// Factor by which the server is slower than normal.
    slowdown: f64,
    /// Share of tries that the server answers immediately with an error.
    pub error_share: f64,
    /// Incremented whenever the process starts or stops; identifies one run of it.
    pub incarnation: u32,
    /// When the process started; `None` if it has run since time zero.
    pub started: Option<Duration>,
    pub open_connections: u32,
    /// Incremented whenever a scheduled step becomes invalid.
    pub epoch: u64,
    cores: f64,
    speed: f64,
    limits: Limits,
    updated: Duration,
    /// Work done for each occupied slot since the start of the run, in seconds.
    attained_work: f64,
    losses: Losses,
    sequence: u64,
    in_service: BinaryHeap<Reverse<InService>>,
    waiting: VecDeque<(Job, Duration)>,
    waiting_work: f64,
    utilisation: f64,
    received: VecDeque<Received>,
}

impl Server {
    pub fn new(spec: &ServerSpec, settings: &WorkloadSettings) -> Self {
        Server {
            zone: spec.zone,
            listed_weight: spec.listed_weight,
            running: false,
            draining: false,
            silent: false,
            slowdown: 1.0,
            error_share: 0.0,
            incarnation: 0,
            started: None,
            open_connections: 0,
            epoch: 0,
            cores: spec.cores,
            speed: spec.speed,
            limits: Limits::new(spec, settings),
            updated: Duration::ZERO,
            attained_work: 0.0,
            losses: Losses::default(),
            sequence: 0,
            in_service: BinaryHeap::new(),
            waiting: VecDeque::new(),
            waiting_work: 0.0,
            utilisation: 0.0,
            received: VecDeque::new(),
        }
    }

    /// Starts the process: warm at time zero, cold later.
    pub fn start(&mut self, now: Duration) {
        self.stop(now);
        self.running = true;
        self.started = (now > Duration::ZERO).then_some(now);
    }

    /// Stops the process and drops all requests that it holds.
    pub fn stop(&mut self, now: Duration) {
        self.advance_to(now);
        self.running = false;
        self.draining = false;
        self.silent = false;
        self.slowdown = 1.0;
        self.error_share = 0.0;
        self.incarnation += 1;
        self.open_connections = 0;
        self.in_service.clear();
        self.waiting.clear();
        self.waiting_work = 0.0;
        self.received.clear();
        self.epoch += 1;
    }

    /// Makes the server stop working without closing connections, or continue.
    pub fn set_silent(&mut self, silent: bool, now: Duration) {
        self.advance_to(now);
        self.silent = silent;
        self.epoch += 1;
    }

    /// Makes the server slower than normal by a factor.
    pub fn set_slowdown(&mut self, slowdown: f64, now: Duration) {
        self.advance_to(now);
        self.slowdown = slowdown;
        self.epoch += 1;
    }

    /// Share of its full capacity that the server currently has.
    pub fn warmth(&self, now: Duration) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = now.saturating_sub(started);
        if age >= self.limits.ramp_time {
            return 1.0;
        }
        let progress = age.as_secs_f64() / self.limits.ramp_time.as_secs_f64();
        self.limits.cold_share + (1.0 - self.limits.cold_share) * progress
    }

    /// Seconds of standard work that the server currently completes per second.
    pub fn capacity(&self, now: Duration) -> f64 {
        self.cores * self.speed * self.warmth(now) / self.slowdown
    }

    /// Seconds of standard work that one core currently completes per second.
    pub fn core_speed(&self, now: Duration) -> f64 {
        self.speed * self.warmth(now) / self.slowdown
    }

    pub fn accepts_connection(&self) -> bool {
        f64::from(self.open_connections) < self.limits.connections
    }

    pub fn load_report(&self) -> LoadReport {
        LoadReport { inflight: self.requests_held() as u32, util: self.utilisation }
    }

    /// Remaining work of all requests held, in seconds.
    pub fn work_in_hand(&self) -> f64 {
        let in_slots: f64 = self.in_service.iter().map(|Reverse(job)| job.finish - self.attained_work).sum();
        in_slots.max(0.0) + self.waiting_work
    }

    /// Accepts a request into a slot or the queue; returns `false` if it is rejected without having run.
    pub fn try_accept(&mut self, job: Job, now: Duration) -> bool {
        self.advance_to(now);
        if self.in_service.len() >= self.limits.slots && self.waiting.len() >= self.limits.waiting {
            return false;
        }
        self.waiting.push_back((job, now));
        self.waiting_work += job.work;
        self.fill_slots(now);
        self.epoch += 1;
        true
    }

    /// Counts work sent to a cold server. If that overloads the server, returns the share of the work whose
    /// senders were informed of its start.
    pub fn count_received(&mut self, work: f64, informed: bool, now: Duration) -> Option<f64> {
        if self.warmth(now) >= 1.0 {
            self.received.clear();
            return None;
        }
        self.received.push_back(Received { at: now, work, informed });
        while self.received.front().is_some_and(|first| now - first.at > self.limits.overload_window) {
            self.received.pop_front();
        }
        let total: f64 = self.received.iter().map(|received| received.work).sum();
        let informed: f64 =
            self.received.iter().filter(|received| received.informed).map(|received| received.work).sum();
        (total > self.limits.overload_limit * self.capacity(now)).then_some(informed / total)
    }

    /// Advances the state to `now` and removes the completed requests.
    pub fn finish(&mut self, now: Duration) -> Vec<Finished> {
        self.advance_to(now);
        let mut finished = Vec::new();
        while self
            .in_service
            .peek()
            .is_some_and(|Reverse(first)| first.finish <= self.attained_work + WORK_TOLERANCE)
        {
            let Some(Reverse(done)) = self.in_service.pop() else { break };
            finished.push(self.finished(done, now));
        }
        self.fill_slots(now);
        self.epoch += 1;
        finished
    }

    /// Time of the server's next step; only valid directly after a change at `now`.
    pub fn next_step(&self, now: Duration) -> Option<Duration> {
        if !self.running || self.silent {
            return None;
        }
        let Reverse(first) = self.in_service.peek()?;
        let rate = self.speed * self.factors(now).product();
        let wait = (first.finish - self.attained_work).max(0.0) / rate;
        let wait = Duration::from_secs_f64(wait) + Duration::from_nanos(1);
        Some(now + if self.warmth(now) < 1.0 { wait.min(COLD_STEP) } else { wait })
    }

    fn requests_held(&self) -> usize {
        self.in_service.len() + self.waiting.len()
    }

    fn factors(&self, at: Duration) -> Factors {
        let past_knee = (self.requests_held() as f64 / self.limits.knee - 1.0).max(0.0);
        let connection_use = (f64::from(self.open_connections) / self.limits.connections).min(1.0);
        Factors {
            warmth: self.warmth(at),
            knee: 1.0 / (1.0 + self.limits.slowdown_past_knee * past_knee),
            share: (self.cores / self.in_service.len().max(1) as f64).min(1.0),
            slowdown: self.slowdown,
            connections: 1.0 - self.limits.full_connections_tax * connection_use,
        }
    }

    fn advance_to(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let factors = self.factors(self.updated);
        self.updated = now;
        if self.silent {
            self.losses.silent += elapsed;
            return;
        }
        let busy = (self.in_service.len() as f64 / self.cores).min(1.0);
        self.utilisation += (busy - self.utilisation) * (1.0 - (-elapsed / UTILISATION_TIME).exp());
        self.attained_work += self.speed * factors.product() * elapsed;
        self.losses.cold += (1.0 - factors.warmth) * elapsed;
        self.losses.past_knee += (1.0 - factors.knee) * elapsed;
        self.losses.slow += (1.0 - 1.0 / factors.slowdown) * elapsed;
        self.losses.shared += (1.0 - factors.share) * elapsed;
    }

    fn fill_slots(&mut self, now: Duration) {
        while self.in_service.len() < self.limits.slots {
            let Some((job, enqueued_at)) = self.waiting.pop_front() else { break };
            self.waiting_work -= job.work;
            self.sequence += 1;
            self.in_service.push(Reverse(InService {
                finish: self.attained_work + job.work,
                sequence: self.sequence,
                job,
                queued: (now - enqueued_at).as_secs_f64(),
                began: now,
                losses: self.losses,
            }));
        }
    }

    fn finished(&self, done: InService, now: Duration) -> Finished {
        let own = done.job.work / self.speed;
        let excess = ((now - done.began).as_secs_f64() - own).max(0.0);
        let cold = self.losses.cold - done.losses.cold;
        let past_knee = self.losses.past_knee - done.losses.past_knee;
        let shared = self.losses.shared - done.losses.shared;
        let silent = self.losses.silent - done.losses.silent;
        let slow = self.losses.slow - done.losses.slow;
        let lost = cold + past_knee + shared + silent + slow;
        let scale = if lost > 0.0 { excess / lost } else { 0.0 };
        let delays = ServerDelays {
            queued: done.queued + shared * scale,
            cold: cold * scale,
            past_knee: past_knee * scale,
            silent: silent * scale,
            slow: slow * scale,
            own,
        };
        Finished { job: done.job, delays }
    }
}

impl Limits {
    fn new(spec: &ServerSpec, settings: &WorkloadSettings) -> Self {
        let overload_work = settings.overload_multiple * settings.overload_window.as_secs_f64();
        Limits {
            slots: (spec.cores * settings.slots_per_core).round().max(1.0) as usize,
            waiting: (spec.cores * settings.waiting_per_core).round() as usize,
            connections: (spec.cores * settings.connections_per_core).max(1.0),
            full_connections_tax: settings.full_connections_tax,
            knee: (spec.cores * settings.knee_per_core).max(1.0),
            slowdown_past_knee: settings.slowdown_past_knee,
            cold_share: settings.cold_share,
            ramp_time: settings.ramp_time,
            overload_limit: overload_work * (1.0 + settings.overload_slack),
            overload_window: settings.overload_window,
        }
    }
}
