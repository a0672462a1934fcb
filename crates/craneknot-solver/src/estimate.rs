//! Estimates the capacity of each server, in operations per second when warm, from what proxies report of their tries at it.
//!
//! The estimate of a server is a normal distribution of the logarithm of its capacity, updated by observations as in a Kalman
//! filter; its variance grows with time, since machines drift. Each observation is derived from a batch of tries:
//!
//! - If the server reports its utilization and its operations in flight, Little's law gives its total throughput, whoever the
//!   senders are (in flight / time at the server), and the utilization law gives its capacity (throughput / utilization). The
//!   result does not depend on which part of the traffic this coordinator sees, so coordinators with different knowledge come
//!   to the same estimate.
//! - If it reports nothing, the ratio of its response time to the best one of its kind tells how utilized it is, and the
//!   throughput is this coordinator's share, scaled up. This says much of a full server and little of an idle one.
//! - The observed throughput is always a lower bound of the capacity.
//!
//! Servers of a kind inform one another: a new one starts with the estimate of its kind, scaled by its listed weight. A server
//! that differs from its estimate beyond chance for a while has changed, and the new observations replace the estimate at once.
//! A load report that contradicts what proxies observed is not used: a server that drops operations looks idle and fast.

use std::collections::BTreeMap;

use craneknot::interface::{KindId, LoadReport, Nanos, ServerId};

const BATCH_TRIES: u64 = 40; // answered tries that make an observation at once: about a tenth of error by chance
const BATCH_SPAN: Nanos = Nanos::from_millis(2_000); // after it fewer tries make an observation
const BATCH_IN_FLIGHT: f64 = 12.0; // summed reports of operations in flight; the mean of a smaller sum is chance ...
const BATCH_SPAN_MAX: Nanos = Nanos::from_millis(6_000); // ... so a batch waits for them, but no longer than this
const BATCH_TRIES_MIN: u64 = 4; // answered tries of the smallest observation: the mean of fewer is chance
const BATCH_AGE_MAX: Nanos = Nanos::from_millis(10_000); // an older batch is discarded as out of date
const TRY_VARIANCE: f64 = 1.0; // variance of the logarithm of the time of one try
const UTILIZATION_WINDOW_S: f64 = 1.0; // servers smooth their utilization over about this time: one sample in each
const BEST_TRIES_MIN: u64 = 20; // answered tries of a batch whose mean may be the best of a kind: of fewer it may be chance
const KIND_DEVIATION: f64 = 0.2; // of the logarithm between servers of a kind: wrong weights, noisy neighbours
const PRIOR_DEVIATION: f64 = 1.0; // of the logarithm if nothing is known
const SYSTEMATIC_DEVIATION: f64 = 0.05; // error that no number of tries removes: late and smoothed reports
const DRIFT_DEVIATION: f64 = 0.01; // of the logarithm, added in the first second; the variance grows linearly
const DRIFT_DEVIATION_MAX: f64 = 0.35; // upper bound of it: what was known is not forgotten
const OUTLIER_DEVIATIONS: f64 = 3.0; // a single observation further off is set aside: chance, or a jump of the traffic
const EVIDENCE_DECAY: f64 = 0.75; // part of the evidence of a change that remains at the next observation
const EVIDENCE_QUIET: f64 = 1.5; // evidence below which nothing seems to change
const EVIDENCE_CHANGED: f64 = 5.0; // evidence above which a server has changed: over three deviations of summed chance ...
const CHANGE_SPAN: Nanos = Nanos::from_millis(1_200); // ... if it lasts this long: smoothed reports lag a jump of the traffic
const WARMING_DEVIATION: f64 = 0.5; // added while a server warms up, since its actual warmth is not reported
const QUEUE_EXPONENT: f64 = 2.0; // time at the server / best time = 1 / (1 - utilization^this): close for a few cores
const FULL_RATIO: f64 = 3.0; // time at the server / best time from which the server is full
const UTILIZATION_MIN: f64 = 0.3; // utilization below which times tell nothing
const QUEUE_LAW_DEVIATION: f64 = 0.3; // error of that law
const IDLE_UTILIZATION: f64 = 0.6; // a reported utilization below this ...
const LATE_RATIO: f64 = 2.5; // ... with times this many times the best of the kind contradicts itself
const THROUGHPUT_BOUNDS: (f64, f64) = (0.3, 1.2); // throughput / arrivals while a queue grows or drains; more is chance
const REPORTED_UTILIZATION_MIN: f64 = 0.01; // lower reports are rounding
const REPORTED_IN_FLIGHT_MIN: f64 = 0.01; // lower reports are rounding
const BEST_TIME_GROWTH: f64 = 0.002; // share by which a best time grows with each observation, so that old ones expire
const LOSS_TRIES_MIN: f64 = 8.0; // tries from which a share of lost answers counts
const LOSS_HALF_LIFE: Nanos = Nanos::from_millis(2_000); // of the record of lost answers
const LOSS_MAX: f64 = 0.95; // largest share of lost answers that counts: some traffic must remain to observe the server by

/// A server as listed.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    pub kind: KindId,
    /// The listed weight; 1 if none is listed.
    pub weight: f64,
    pub started: Option<Nanos>,
}

/// How servers warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    pub cold_share: f64,
    pub warm_after: Nanos,
}

impl WarmUp {
    /// The fraction of its capacity that a server has at least.
    pub fn warmth(&self, now: Nanos, started: Option<Nanos>) -> f64 {
        let part = |started: Nanos| ((now - started).secs() / self.warm_after.secs().max(1e-9)).min(1.0);
        started.map_or(1.0, |started| self.cold_share + (1.0 - self.cold_share) * part(started))
    }
}

/// One report of the proxies of a zone on their tries at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TryReport {
    pub tries: u64,
    pub unanswered: u64,
    /// Mean time of the answered tries.
    pub latency: Nanos,
    pub report: LoadReport,
}

/// Estimated capacity of a warm server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Median of the estimate, in operations per second.
    pub median: f64,
    /// Standard deviation of its logarithm: 0.1 is about a tenth.
    pub deviation: f64,
    /// Share of its answers that get lost.
    pub loss: f64,
    /// Number of observations so far.
    pub observations: u32,
}

impl Capacity {
    /// The interval that contains the capacity in 19 of 20 cases.
    pub fn interval(&self) -> (f64, f64) {
        let wide = (1.96 * self.deviation).exp();
        (self.median / wide, self.median * wide)
    }

    /// The capacity `margin` deviations below the median, less the share of lost answers.
    pub fn lower_bound(&self, margin: f64) -> f64 {
        self.median * (-margin * self.deviation).exp() * (1.0 - self.loss)
    }
}

/// Why the latest load reports of a server were not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// It reports that it is nearly idle, but answers late.
    IdleAndLate,
    /// It reports no operations in flight or no utilization, but answers late.
    ZeroLoad,
}

/// Reports that are collected for the next observation.
#[derive(Clone, Copy, Debug, Default)]
struct Batch {
    since: Option<Nanos>,
    answered: u64,
    tries: u64,
    unanswered: u64,
    /// Sum of the times of the answered tries, in seconds.
    latency: f64,
    /// Answered tries that came with a load report, and the sums of the reported values over them.
    reported: u64,
    utilization: f64,
    in_flight: f64,
}

impl Batch {
    /// Whether the batch is large or old enough, with enough answered tries for an observation.
    fn is_ready(&self, now: Nanos) -> bool {
        let Some(since) = self.since else { return false };
        let age = now - since;
        let is_complete = age >= BATCH_SPAN || self.answered >= BATCH_TRIES && age >= Nanos(BATCH_SPAN.0 / 4);
        is_complete && self.answered >= BATCH_TRIES_MIN
    }
}

#[derive(Clone, Debug)]
struct Server {
    listed: ListedServer,
    /// Mean and variance of the logarithm of the capacity in operations per second, as of `updated_at`.
    mean: f64,
    variance: f64,
    updated_at: Nanos,
    /// Evidence of a change, in deviations with their sign, and when there was last almost none.
    evidence: f64,
    quiet_at: Nanos,
    /// Operations in flight at the last observation, and its time.
    in_flight: Option<(f64, Nanos)>,
    batch: Batch,
    observations: u32,
    /// Decaying counts of unanswered and of all tries, and their time.
    lost: (f64, f64, Nanos),
    doubt: Option<Doubt>,
}

/// Estimates the capacities of the servers of a fleet.
pub struct Estimator {
    warm_up: WarmUp,
    servers: BTreeMap<ServerId, Server>,
    /// The best response time of each kind, in seconds.
    best_times: BTreeMap<KindId, f64>,
    /// Mean and variance of the logarithm of the capacity for a unit of listed weight: by kind, and of all servers.
    kinds: BTreeMap<KindId, (f64, f64)>,
    all: Option<(f64, f64)>,
    /// This coordinator's share of all traffic.
    own_share: f64,
}

impl Estimator {
    pub fn new(warm_up: WarmUp) -> Self {
        let (servers, best_times, kinds) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Estimator { warm_up, servers, best_times, kinds, all: None, own_share: 1.0 }
    }

    /// Sets the share of all traffic that this coordinator sees, for servers that do not report their load.
    pub fn set_own_share(&mut self, share: f64) {
        self.own_share = share.clamp(1e-3, 1.0);
    }

    /// Adds or updates a listed server. One that was restarted may be another machine under the same name, and so gets a
    /// new estimate.
    pub fn insert(&mut self, now: Nanos, server: &ServerId, listed: ListedServer) {
        let known = self.servers.get(server);
        let is_same = known
            .is_some_and(|known| known.listed.kind == listed.kind && known.listed.started == listed.started);
        if is_same {
            if let Some(known) = self.servers.get_mut(server) {
                known.listed = listed;
            }
            return;
        }
        let (mean, variance) = self.prior(&listed);
        let fresh = Server {
            listed,
            mean,
            variance,
            updated_at: now,
            evidence: 0.0,
            quiet_at: now,
            in_flight: None,
            batch: Batch::default(),
            observations: 0,
            lost: (0.0, 0.0, now),
            doubt: None,
        };
        self.servers.insert(server.clone(), fresh);
    }

    pub fn remove(&mut self, server: &ServerId) {
        self.servers.remove(server);
    }

    /// The estimate of a server without observations, from the capacity of its kind for a unit of listed weight, or else
    /// from that of all servers.
    fn prior(&self, listed: &ListedServer) -> (f64, f64) {
        let log_weight = listed.weight.max(1e-6).ln();
        let spread = KIND_DEVIATION * KIND_DEVIATION;
        match (self.kinds.get(&listed.kind), self.all) {
            (Some((mean, variance)), _) => (log_weight + mean, variance + spread),
            // Other kinds may use another unit of weight.
            (None, Some((mean, variance))) => (log_weight + mean, variance + 4.0 * spread),
            (None, None) => (log_weight, PRIOR_DEVIATION * PRIOR_DEVIATION),
        }
    }

    /// Updates the estimates of the kinds from the observed servers.
    fn update_kinds(&mut self) {
        let spread = KIND_DEVIATION * KIND_DEVIATION;
        let mut sums: BTreeMap<KindId, (f64, f64)> = BTreeMap::new();
        for server in self.servers.values().filter(|server| server.observations > 0) {
            let weight = 1.0 / (server.variance + spread);
            let sum = sums.entry(server.listed.kind).or_default();
            let unit = server.mean - server.listed.weight.max(1e-6).ln();
            *sum = (sum.0 + weight, sum.1 + weight * unit);
        }
        let mean = |(weights, sum): (f64, f64)| (sum / weights, 1.0 / weights);
        let whole = sums.values().fold((0.0, 0.0), |all, one| (all.0 + one.0, all.1 + one.1));
        self.all = (whole.0 > 0.0).then(|| mean(whole));
        self.kinds = sums.into_iter().map(|(kind, sum)| (kind, mean(sum))).collect();
    }

    /// Adds a report of proxies to the batch of a server.
    pub fn record(&mut self, now: Nanos, id: &ServerId, report: &TryReport) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let batch = &mut server.batch;
        if batch.since.is_some_and(|since| now - since > BATCH_AGE_MAX) {
            *batch = Batch::default();
        }
        batch.since.get_or_insert(now);
        let unanswered = report.unanswered.min(report.tries);
        let answered = report.tries - unanswered;
        batch.tries += report.tries;
        batch.unanswered += unanswered;
        batch.answered += answered;
        batch.latency += report.latency.secs() * answered as f64;
        if let (Some(utilization), Some(in_flight)) = (report.report.busy, report.report.in_flight) {
            if utilization.is_finite() && in_flight.is_finite() && answered > 0 {
                batch.reported += answered;
                batch.utilization += utilization * answered as f64;
                batch.in_flight += in_flight * answered as f64;
            }
        }
        let decay = 0.5f64.powf((now - server.lost.2).secs() / LOSS_HALF_LIFE.secs());
        server.lost =
            (server.lost.0 * decay + unanswered as f64, server.lost.1 * decay + report.tries as f64, now);
    }

    /// Makes observations from the batches that are ready; returns the servers whose estimates changed.
    pub fn observe(&mut self, now: Nanos) -> Vec<ServerId> {
        // This runs at every step of a coordinator, and mostly no batch is ready.
        let ready = self.servers.iter().filter(|(_, server)| server.batch.is_ready(now));
        let ids: Vec<ServerId> = ready.map(|(id, _)| id.clone()).collect();
        let moved: Vec<ServerId> = ids.into_iter().filter(|id| self.observe_one(now, id)).collect();
        if !moved.is_empty() {
            self.update_kinds();
        }
        moved
    }

    fn observe_one(&mut self, now: Nanos, id: &ServerId) -> bool {
        let Some(server) = self.servers.get_mut(id) else { return false };
        let batch = server.batch;
        let Some(since) = batch.since else { return false };
        let age = now - since;
        let is_late = batch.latency
            > LATE_RATIO
                * batch.answered as f64
                * self.best_times.get(&server.listed.kind).unwrap_or(&f64::INFINITY);
        let is_thin =
            batch.reported > 0 && batch.in_flight < BATCH_IN_FLIGHT && age < BATCH_SPAN_MAX && !is_late;
        if is_thin {
            // Wait for more reports.
            return false;
        }
        server.batch = Batch { since: Some(now), ..Batch::default() };
        let warmth = self.warm_up.warmth(now, server.listed.started);
        let time = (batch.latency / batch.answered as f64).max(1e-6);
        let kind = server.listed.kind;
        // The times of a cold server are no measure of its kind.
        if warmth >= 1.0 && batch.answered >= BEST_TRIES_MIN {
            let best = self.best_times.entry(kind).or_insert(time);
            *best = (*best * (1.0 + BEST_TIME_GROWTH)).min(time);
        }
        let best = self.best_times.get(&kind).copied().unwrap_or(time);
        let throughput = batch.answered as f64 / age.secs() / self.own_share;
        let variance = TRY_VARIANCE / batch.answered as f64 + SYSTEMATIC_DEVIATION * SYSTEMATIC_DEVIATION;
        let in_flight = batch.in_flight / batch.reported.max(1) as f64;
        // Operations that a growing queue takes in do not add to the throughput.
        let queue_growth =
            server.in_flight.map_or(0.0, |(before, at)| (in_flight - before) / (now - at).secs().max(0.5));
        server.in_flight = (batch.reported > 0).then_some((in_flight, now));
        let by_report = by_load_report(&batch, time, best, age, queue_growth);
        let before = std::mem::replace(&mut server.doubt, by_report.err());
        let observed = match by_report {
            Ok(Some(observed)) => Some(observed),
            // It reports its load, but too little for an observation.
            Ok(None) if batch.reported >= BATCH_TRIES_MIN => None,
            // The reports of a queue that has just drained contradict the times once.
            Err(_) if before.is_none() => None,
            Ok(None) | Err(_) => by_times(throughput, time / best, variance),
        };
        // The capacity of a cold server when warm is scaled by its minimum warmth, with the error that this brings.
        let warmth_variance =
            if warmth < 1.0 { WARMING_DEVIATION * WARMING_DEVIATION + warmth.ln().powi(2) } else { 0.0 };
        let observed = observed.map(|(value, variance)| (value - warmth.ln(), variance + warmth_variance));
        let grown = (DRIFT_DEVIATION * DRIFT_DEVIATION * (now - server.updated_at).secs())
            .min(DRIFT_DEVIATION_MAX * DRIFT_DEVIATION_MAX);
        server.updated_at = now;
        server.variance = (server.variance + grown).min(PRIOR_DEVIATION * PRIOR_DEVIATION);
        let is_moved = match observed {
            Some((value, variance)) => server.update(now, value, variance),
            None => false,
        };
        // The observed throughput is a lower bound of the capacity.
        let lower_bound = throughput.ln();
        if !matches!(by_report, Ok(Some(_)))
            && lower_bound > server.mean + OUTLIER_DEVIATIONS * variance.sqrt()
        {
            server.update(now, lower_bound, variance);
            return true;
        }
        is_moved
    }

    /// The estimated capacity of a server; `None` if it is not listed.
    pub fn capacity(&self, now: Nanos, id: &ServerId) -> Option<Capacity> {
        let server = self.servers.get(id)?;
        // A server without observations follows the estimate of its kind.
        let (mean, variance) = if server.observations == 0 {
            self.prior(&server.listed)
        } else {
            (server.mean, server.variance)
        };
        let grown = (DRIFT_DEVIATION * DRIFT_DEVIATION * (now - server.updated_at).secs())
            .min(DRIFT_DEVIATION_MAX * DRIFT_DEVIATION_MAX);
        let (lost, tries, at) = server.lost;
        let decay = 0.5f64.powf((now - at).secs() / LOSS_HALF_LIFE.secs());
        let loss = if tries * decay >= LOSS_TRIES_MIN { (lost / tries).min(LOSS_MAX) } else { 0.0 };
        let deviation = (variance + grown).min(PRIOR_DEVIATION * PRIOR_DEVIATION).sqrt();
        Some(Capacity { median: mean.exp(), deviation, loss, observations: server.observations })
    }

    /// Why the load reports of a server are not used now.
    pub fn doubt(&self, id: &ServerId) -> Option<Doubt> {
        self.servers.get(id)?.doubt
    }

    pub fn listed_server(&self, id: &ServerId) -> Option<&ListedServer> {
        self.servers.get(id).map(|server| &server.listed)
    }

    pub fn warm_up(&self) -> WarmUp {
        self.warm_up
    }

    pub fn ids(&self) -> impl Iterator<Item = &ServerId> {
        self.servers.keys()
    }
}

/// The capacity by the server's load reports, as a logarithm with its variance; `None` without enough reports, and an error if
/// they contradict what proxies observed.
fn by_load_report(
    batch: &Batch,
    time: f64,
    best: f64,
    age: Nanos,
    queue_growth: f64,
) -> Result<Option<(f64, f64)>, Doubt> {
    if batch.reported < BATCH_TRIES_MIN {
        return Ok(None);
    }
    let count = batch.reported as f64;
    let (utilization, in_flight) = (batch.utilization / count, batch.in_flight / count);
    let is_late = time > LATE_RATIO * best;
    if utilization < REPORTED_UTILIZATION_MIN || in_flight < REPORTED_IN_FLIGHT_MIN {
        return if is_late { Err(Doubt::ZeroLoad) } else { Ok(None) };
    }
    if utilization < IDLE_UTILIZATION && is_late {
        return Err(Doubt::IdleAndLate);
    }
    // The number in flight varies by chance as a queue does. The utilization is one sample for each smoothing window, which
    // varies the more the fewer operations make it up.
    let in_flight_variance = (1.0 + in_flight) / (in_flight * count);
    let samples = (age.secs() / UTILIZATION_WINDOW_S).max(1.0);
    let utilization_variance = time / (in_flight * UTILIZATION_WINDOW_S * samples);
    let variance = in_flight_variance
        + utilization_variance
        + TRY_VARIANCE / count
        + SYSTEMATIC_DEVIATION * SYSTEMATIC_DEVIATION;
    // By Little's law the number in flight gives the arrivals; the throughput is the arrivals less the growth of the queue.
    let arrivals = in_flight / time;
    let throughput =
        (arrivals - queue_growth).clamp(THROUGHPUT_BOUNDS.0 * arrivals, THROUGHPUT_BOUNDS.1 * arrivals);
    // The mean of a logarithm lies below the logarithm of the mean by half its variance.
    Ok(Some(((throughput / utilization.min(1.0)).ln() + in_flight_variance / 2.0, variance)))
}

/// The capacity by the ratio of the response time to the best one, as a logarithm with its variance; `None` at a low
/// utilization, where the ratio tells nothing.
fn by_times(throughput: f64, ratio: f64, variance: f64) -> Option<(f64, f64)> {
    let utilization = (1.0 - 1.0 / ratio.max(1.0)).powf(1.0 / QUEUE_EXPONENT);
    if utilization < UTILIZATION_MIN {
        return None;
    }
    // The throughput of a full server is its capacity, and the law does not matter.
    let fullness = ((ratio - 1.0) / (FULL_RATIO - 1.0)).clamp(0.0, 1.0);
    let law_deviation = QUEUE_LAW_DEVIATION * (1.0 - fullness) / utilization;
    Some(((throughput / utilization.min(1.0)).ln(), variance + law_deviation * law_deviation))
}

impl Server {
    /// Updates the estimate by an observation; returns false if the observation is set aside as an outlier.
    fn update(&mut self, now: Nanos, value: f64, variance: f64) -> bool {
        let difference = value - self.mean;
        let spread = (self.variance + variance).sqrt();
        if self.observations > 0 {
            let deviations = difference / spread;
            self.evidence =
                EVIDENCE_DECAY * self.evidence + deviations.clamp(-OUTLIER_DEVIATIONS, OUTLIER_DEVIATIONS);
            if self.evidence.abs() < EVIDENCE_QUIET {
                self.quiet_at = now;
            }
            if self.evidence.abs() > EVIDENCE_CHANGED && now - self.quiet_at >= CHANGE_SPAN {
                // The server has changed, and the former estimate no longer holds.
                self.variance += difference * difference;
                self.evidence = 0.0;
            } else if deviations.abs() > OUTLIER_DEVIATIONS {
                return false;
            }
        }
        let gain = self.variance / (self.variance + variance);
        self.mean += gain * difference;
        self.variance *= 1.0 - gain;
        self.observations += 1;
        true
    }
}
