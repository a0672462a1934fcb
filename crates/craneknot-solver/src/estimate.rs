//! What a server can carry, in operations a second when warm, from what proxies met at it.
//!
//! The estimate of each server is a normal distribution of the logarithm of its capacity, moved by observations as a Kalman
//! filter moves it; its variance grows with time, since machines drift. An observation is taken of a batch of tries:
//!
//! - Where a server tells its busy share and the operations it holds, Little's law gives what passes through it whoever sends
//!   it (held / time in it), and the utilization law what it could pass (that / busy share). It does not matter which part of
//!   its traffic this coordinator sees, so that coordinators with different knowledge find the same.
//! - Where it tells nothing, the time of answers against the best time of its kind tells how full it is, and what passes
//!   through is this coordinator's part, scaled. That says much at a full server and little at an idle one.
//! - What has passed through could pass: a lower bound, always.
//!
//! Servers of a kind inform one another: a new one begins where its kind stands, for what is listed of it. One that differs
//! from its estimate beyond chance for a while has changed, and is believed at once. A server's word that contradicts what
//! proxies met is not counted: one that drops operations looks idle and fast.

use std::collections::BTreeMap;

use craneknot::interface::{KindId, LoadReport, Nanos, ServerId};

const BATCH_TRIES: u64 = 40; // answered tries that make an observation at once: a tenth or so of chance
const BATCH_SPAN: Nanos = Nanos::from_millis(2_000); // ms; an observation is taken of fewer after it
const BATCH_HELD: f64 = 12.0; // operations met at answers, where a server tells them: of fewer their mean is chance, ...
const BATCH_LONG: Nanos = Nanos::from_millis(6_000); // ms; ... so a batch waits for them, not longer than this
const BATCH_LEAST: u64 = 4; // answered tries of the least observation: a mean of fewer is chance
const GAP: Nanos = Nanos::from_millis(10_000); // ms; a batch that lay so long is of another time
const CHANCE: f64 = 1.0; // variance of the logarithm of one try's time
const SMOOTHED: f64 = 1.0; // s; servers smooth their busy share over about so long: what falls into it is one look
const BEST_TRIES: u64 = 20; // answered tries of a batch whose mean may be a kind's best: of fewer the least is chance
const KIND_SPREAD: f64 = 0.2; // deviation of the logarithm between servers of a kind: wrong listings, neighbours
const UNKNOWN: f64 = 1.0; // deviation of the logarithm where nothing at all is known
const SYSTEMATIC: f64 = 0.05; // deviation that no number of tries takes away: late and smoothed reports
const DRIFT: f64 = 0.01; // deviation of the logarithm that a second adds, at first
const DRIFT_MOST: f64 = 0.35; // and at the most: what was known is not forgotten
const BEYOND: f64 = 3.0; // deviations beyond which a single observation is put off: it may be chance or a jump of traffic
const FADE: f64 = 0.75; // part of the evidence of a change that is left at the next observation
const QUIET: f64 = 1.5; // evidence under which nothing seems to change
const CHANGED: f64 = 5.0; // evidence from which a server has changed: over three deviations of what chance adds up to ...
const LASTS: Nanos = Nanos::from_millis(1_200); // ms; ... if it lasts so long: smoothed reports lag behind a jump of traffic
const COLD_GUESS: f64 = 0.5; // deviation that is added while a server warms up: nobody tells how it does
const WAITS_LAW: f64 = 2.0; // time in a server / its best = 1 / (1 - fill^this): near what a few cores do
const FULL: f64 = 3.0; // time in a server / its best from which it is full
const IDLE_FILL: f64 = 0.3; // fill below which times tell nothing
const LAW_SPREAD: f64 = 0.3; // deviation of that law
const IDLE_WORD: f64 = 0.6; // a busy share under this ...
const LIE: f64 = 2.5; // ... with answers that take this many times the kind's best time contradicts itself
const PASSES: (f64, f64) = (0.3, 1.2); // bounds of what passes for what comes, as a queue grows or drains: more would be chance
const BUSY_LEAST: f64 = 0.01; // a busy share below it is rounding
const HELD_LEAST: f64 = 0.01; // operations held below it are rounding
const BEST_FORGETS: f64 = 0.002; // share by which a best time is forgotten with each observation
const LOSS_TRIES: f64 = 8.0; // tries before a share of lost answers counts
const LOSS_HALF: Nanos = Nanos::from_millis(2_000); // ms; half-life of what is remembered of lost answers
const LOSS_MOST: f64 = 0.95; // share of lost answers that is counted at the most: something must be met to be judged by

/// What is told of a server, whatever it can do.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    pub kind: KindId,
    /// As listed; 1 where it is not.
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
    /// Part of its capacity that a server has at the least.
    pub fn warmth(&self, now: Nanos, started: Option<Nanos>) -> f64 {
        let part = |started: Nanos| ((now - started).secs() / self.warm_after.secs().max(1e-9)).min(1.0);
        started.map_or(1.0, |started| self.cold_share + (1.0 - self.cold_share) * part(started))
    }
}

/// What proxies of one zone met at a server, as one report tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TryReport {
    pub tries: u64,
    pub unanswered: u64,
    /// Mean time of good answers.
    pub latency: Nanos,
    pub report: LoadReport,
}

/// What a server can carry when warm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Operations a second: the median of what it may be.
    pub median: f64,
    /// Deviation of its logarithm: 0.1 is about a tenth.
    pub deviation: f64,
    /// Share of its answers that get lost.
    pub loss: f64,
    /// Observations so far.
    pub observations: u32,
}

impl Capacity {
    /// The bounds between which it lies, 19 times of 20.
    pub fn interval(&self) -> (f64, f64) {
        let wide = (1.96 * self.deviation).exp();
        (self.median / wide, self.median * wide)
    }

    /// What it surely carries, `margin` deviations below the median, lost answers aside.
    pub fn lower_bound(&self, margin: f64) -> f64 {
        self.median * (-margin * self.deviation).exp() * (1.0 - self.loss)
    }
}

/// Why a server's own word was not counted last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// It says that it is nearly idle, and answers late.
    IdleAndLate,
    /// It says that it holds nothing or does nothing, and answers late.
    ZeroLoad,
}

#[derive(Clone, Copy, Debug, Default)]
struct Batch {
    since: Option<Nanos>,
    good: u64,
    tries: u64,
    unanswered: u64,
    latency: f64,
    told: u64,
    busy: f64,
    held: f64,
}

impl Batch {
    /// Full, or old enough, with tries enough for an observation.
    fn is_ready(&self, now: Nanos) -> bool {
        let Some(since) = self.since else { return false };
        let age = now - since;
        let full = age >= BATCH_SPAN || self.good >= BATCH_TRIES && age >= Nanos(BATCH_SPAN.0 / 4);
        full && self.good >= BATCH_LEAST
    }
}

#[derive(Clone, Debug)]
struct Server {
    told: ListedServer,
    /// Logarithm of operations a second.
    mean: f64,
    variance: f64,
    at: Nanos,
    /// What speaks for a change, in deviations, by its side; and when nothing last did.
    evidence: f64,
    quiet_at: Nanos,
    /// Operations held at the last observation, and when that was.
    held: Option<(f64, Nanos)>,
    batch: Batch,
    seen: u32,
    /// Lost and all tries lately, and when that was.
    lost: (f64, f64, Nanos),
    doubt: Option<Doubt>,
}

/// The estimates of a fleet.
pub struct Estimator {
    warm_up: WarmUp,
    servers: BTreeMap<ServerId, Server>,
    /// The best time of answers of each kind, s.
    best: BTreeMap<KindId, f64>,
    /// Logarithm of what a unit of listed weight carries, with its variance: by kind, and of all.
    kinds: BTreeMap<KindId, (f64, f64)>,
    all: Option<(f64, f64)>,
    /// This coordinator's part of all traffic.
    own_part: f64,
}

impl Estimator {
    pub fn new(warm_up: WarmUp) -> Self {
        let (servers, best, kinds) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Estimator { warm_up, servers, best, kinds, all: None, own_part: 1.0 }
    }

    /// Which part of all traffic is seen here, for servers that tell nothing of their load.
    pub fn set_own_share(&mut self, part: f64) {
        self.own_part = part.clamp(1e-3, 1.0);
    }

    /// A server is listed; one that has started anew may be another machine under the same name.
    pub fn set_listed(&mut self, now: Nanos, server: &ServerId, told: ListedServer) {
        let known = self.servers.get(server);
        let same =
            known.is_some_and(|known| known.told.kind == told.kind && known.told.started == told.started);
        if same {
            if let Some(known) = self.servers.get_mut(server) {
                known.told = told;
            }
            return;
        }
        let (mean, variance) = self.prior(&told);
        let fresh = Server {
            told,
            mean,
            variance,
            at: now,
            evidence: 0.0,
            quiet_at: now,
            held: None,
            batch: Batch::default(),
            seen: 0,
            lost: (0.0, 0.0, now),
            doubt: None,
        };
        self.servers.insert(server.clone(), fresh);
    }

    pub fn remove(&mut self, server: &ServerId) {
        self.servers.remove(server);
    }

    /// What the servers seen tell of one that is not: its kind's capacity for a unit of listed weight, or that of all.
    fn prior(&self, told: &ListedServer) -> (f64, f64) {
        let listed = told.weight.max(1e-6).ln();
        let spread = KIND_SPREAD * KIND_SPREAD;
        match (self.kinds.get(&told.kind), self.all) {
            (Some((mean, variance)), _) => (listed + mean, variance + spread),
            // Another kind's units of weight may be others.
            (None, Some((mean, variance))) => (listed + mean, variance + 4.0 * spread),
            (None, None) => (listed, UNKNOWN * UNKNOWN),
        }
    }

    /// Adds up what the servers seen tell of their kinds.
    fn learn_kinds(&mut self) {
        let spread = KIND_SPREAD * KIND_SPREAD;
        let mut sums: BTreeMap<KindId, (f64, f64)> = BTreeMap::new();
        for server in self.servers.values().filter(|server| server.seen > 0) {
            let weight = 1.0 / (server.variance + spread);
            let sum = sums.entry(server.told.kind).or_default();
            let unit = server.mean - server.told.weight.max(1e-6).ln();
            *sum = (sum.0 + weight, sum.1 + weight * unit);
        }
        let mean = |(weights, sum): (f64, f64)| (sum / weights, 1.0 / weights);
        let whole = sums.values().fold((0.0, 0.0), |all, one| (all.0 + one.0, all.1 + one.1));
        self.all = (whole.0 > 0.0).then(|| mean(whole));
        self.kinds = sums.into_iter().map(|(kind, sum)| (kind, mean(sum))).collect();
    }

    /// Takes in what proxies met at a server.
    pub fn record(&mut self, now: Nanos, id: &ServerId, met: &TryReport) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let batch = &mut server.batch;
        if batch.since.is_some_and(|since| now - since > GAP) {
            *batch = Batch::default();
        }
        batch.since.get_or_insert(now);
        let unanswered = met.unanswered.min(met.tries);
        let good = met.tries - unanswered;
        batch.tries += met.tries;
        batch.unanswered += unanswered;
        batch.good += good;
        batch.latency += met.latency.secs() * good as f64;
        if let (Some(busy), Some(held)) = (met.report.busy, met.report.in_flight) {
            if busy.is_finite() && held.is_finite() && good > 0 {
                batch.told += good;
                batch.busy += busy * good as f64;
                batch.held += held * good as f64;
            }
        }
        let fade = 0.5f64.powf((now - server.lost.2).secs() / LOSS_HALF.secs());
        server.lost =
            (server.lost.0 * fade + unanswered as f64, server.lost.1 * fade + met.tries as f64, now);
    }

    /// Takes observations of the batches that are full or old enough; the servers whose estimates moved.
    pub fn observe(&mut self, now: Nanos) -> Vec<ServerId> {
        // It is called at every step of a coordinator: most find no batch that is full or old.
        let ready = self.servers.iter().filter(|(_, server)| server.batch.is_ready(now));
        let ids: Vec<ServerId> = ready.map(|(id, _)| id.clone()).collect();
        let moved: Vec<ServerId> = ids.into_iter().filter(|id| self.observe_one(now, id)).collect();
        if !moved.is_empty() {
            self.learn_kinds();
        }
        moved
    }

    fn observe_one(&mut self, now: Nanos, id: &ServerId) -> bool {
        let Some(server) = self.servers.get_mut(id) else { return false };
        let batch = server.batch;
        let Some(since) = batch.since else { return false };
        let age = now - since;
        let late = batch.latency
            > LIE * batch.good as f64 * self.best.get(&server.told.kind).unwrap_or(&f64::INFINITY);
        let thin = batch.told > 0 && batch.held < BATCH_HELD && age < BATCH_LONG && !late;
        if thin {
            // It waits for more.
            return false;
        }
        server.batch = Batch { since: Some(now), ..Batch::default() };
        let warmth = self.warm_up.warmth(now, server.told.started);
        let time = (batch.latency / batch.good as f64).max(1e-6);
        let kind = server.told.kind;
        // A cold server's times are no measure of its kind.
        if warmth >= 1.0 && batch.good >= BEST_TRIES {
            let best = self.best.entry(kind).or_insert(time);
            *best = (*best * (1.0 + BEST_FORGETS)).min(time);
        }
        let best = self.best.get(&kind).copied().unwrap_or(time);
        let passes = batch.good as f64 / age.secs() / self.own_part;
        let chance = CHANCE / batch.good as f64 + SYSTEMATIC * SYSTEMATIC;
        let held = batch.held / batch.told.max(1) as f64;
        // What a growing queue takes in does not pass.
        let grows = server.held.map_or(0.0, |(before, at)| (held - before) / (now - at).secs().max(0.5));
        server.held = (batch.told > 0).then_some((held, now));
        let word = word(&batch, time, best, age, grows);
        let before = std::mem::replace(&mut server.doubt, word.err());
        let observed = match word {
            Ok(Some(observed)) => Some(observed),
            // It says what it does, but too little of it is seen.
            Ok(None) if batch.told >= BATCH_LEAST => None,
            // A queue that has just drained contradicts itself once.
            Err(_) if before.is_none() => None,
            Ok(None) | Err(_) => by_times(passes, time / best, chance),
        };
        // A cold one's capacity when warm is told by how warm it is at the least, and no better.
        let guess = if warmth < 1.0 { COLD_GUESS * COLD_GUESS + warmth.ln().powi(2) } else { 0.0 };
        let observed = observed.map(|(value, variance)| (value - warmth.ln(), variance + guess));
        let grown = (DRIFT * DRIFT * (now - server.at).secs()).min(DRIFT_MOST * DRIFT_MOST);
        server.at = now;
        server.variance = (server.variance + grown).min(UNKNOWN * UNKNOWN);
        let moved = match observed {
            Some((value, variance)) => server.take(now, value, variance),
            None => false,
        };
        // What passes through could pass.
        let least = passes.ln();
        if !matches!(word, Ok(Some(_))) && least > server.mean + BEYOND * chance.sqrt() {
            server.take(now, least, chance);
            return true;
        }
        moved
    }

    /// What a server can carry; nothing where it is not listed.
    pub fn capacity(&self, now: Nanos, id: &ServerId) -> Option<Capacity> {
        let server = self.servers.get(id)?;
        // One that was never seen goes with its kind as that becomes known.
        let (mean, variance) =
            if server.seen == 0 { self.prior(&server.told) } else { (server.mean, server.variance) };
        let grown = (DRIFT * DRIFT * (now - server.at).secs()).min(DRIFT_MOST * DRIFT_MOST);
        let (lost, tries, at) = server.lost;
        let fade = 0.5f64.powf((now - at).secs() / LOSS_HALF.secs());
        let loss = if tries * fade >= LOSS_TRIES { (lost / tries).min(LOSS_MOST) } else { 0.0 };
        let deviation = (variance + grown).min(UNKNOWN * UNKNOWN).sqrt();
        Some(Capacity { median: mean.exp(), deviation, loss, observations: server.seen })
    }

    /// Why a server's own word does not count now.
    pub fn doubt(&self, id: &ServerId) -> Option<Doubt> {
        self.servers.get(id)?.doubt
    }

    pub fn listed_server(&self, id: &ServerId) -> Option<&ListedServer> {
        self.servers.get(id).map(|server| &server.told)
    }

    pub fn warm_up(&self) -> WarmUp {
        self.warm_up
    }

    pub fn ids(&self) -> impl Iterator<Item = &ServerId> {
        self.servers.keys()
    }
}

/// Capacity by the server's own word, as a logarithm with its variance; nothing where it gives none or too little, and a doubt
/// where it contradicts what proxies met.
fn word(batch: &Batch, time: f64, best: f64, age: Nanos, grows: f64) -> Result<Option<(f64, f64)>, Doubt> {
    if batch.told < BATCH_LEAST {
        return Ok(None);
    }
    let count = batch.told as f64;
    let (busy, held) = (batch.busy / count, batch.held / count);
    let late = time > LIE * best;
    if busy < BUSY_LEAST || held < HELD_LEAST {
        return if late { Err(Doubt::ZeroLoad) } else { Ok(None) };
    }
    if busy < IDLE_WORD && late {
        return Err(Doubt::IdleAndLate);
    }
    // Held goes up and down by chance as a queue does; a busy share is one look a smoothing span, the more uneven the fewer
    // operations make it up.
    let held_chance = (1.0 + held) / (held * count);
    let looks = (age.secs() / SMOOTHED).max(1.0);
    let busy_chance = time / (held * SMOOTHED * looks);
    let variance = held_chance + busy_chance + CHANCE / count + SYSTEMATIC * SYSTEMATIC;
    // What an operation leaves behind came while it was there: what comes, less what stays.
    let comes = held / time;
    let passes = (comes - grows).clamp(PASSES.0 * comes, PASSES.1 * comes);
    // The mean of a logarithm lies under the logarithm of the mean by half its variance.
    Ok(Some(((passes / busy.min(1.0)).ln() + held_chance / 2.0, variance)))
}

/// Capacity by how much longer answers take than at best, with its variance; nothing where that tells nothing.
fn by_times(passes: f64, ratio: f64, chance: f64) -> Option<(f64, f64)> {
    let fill = (1.0 - 1.0 / ratio.max(1.0)).powf(1.0 / WAITS_LAW);
    if fill < IDLE_FILL {
        return None;
    }
    // At a full one what passes is what it can do, and the law does not matter.
    let full = ((ratio - 1.0) / (FULL - 1.0)).clamp(0.0, 1.0);
    let law = LAW_SPREAD * (1.0 - full) / fill;
    Some(((passes / fill.min(1.0)).ln(), chance + law * law))
}

impl Server {
    /// Moves the estimate by an observation; false where it is put off as beyond chance.
    fn take(&mut self, now: Nanos, value: f64, variance: f64) -> bool {
        let away = value - self.mean;
        let spread = (self.variance + variance).sqrt();
        if self.seen > 0 {
            let odd = away / spread;
            self.evidence = FADE * self.evidence + odd.clamp(-BEYOND, BEYOND);
            if self.evidence.abs() < QUIET {
                self.quiet_at = now;
            }
            if self.evidence.abs() > CHANGED && now - self.quiet_at >= LASTS {
                // It has changed: what was known says nothing of now.
                self.variance += away * away;
                self.evidence = 0.0;
            } else if odd.abs() > BEYOND {
                return false;
            }
        }
        let gain = self.variance / (self.variance + variance);
        self.mean += gain * away;
        self.variance *= 1.0 - gain;
        self.seen += 1;
        true
    }
}
