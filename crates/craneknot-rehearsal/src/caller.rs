//! The simulated clients without I/O: operations arrive at random for a proxy of their zone, and clients retry.

use craneknot::interface::Nanos;
use rand::{Rng, SeedableRng};
use rand_distr::weighted::WeightedIndex;
use rand_distr::{Distribution, Exp, Gamma};
use rand_pcg::Pcg32;

use crate::record::OpId;
use crate::script::Script;

/// A client's operation.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    pub id: OpId,
    pub class: usize,
    pub zone: usize,
    pub key: u32,
    pub work: Nanos,
    pub asked: Nanos,
    pub attempt: u32,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Good,
    /// Rejected before it ran, with the time after which to retry.
    Refused {
        retry_after: Nanos,
    },
    Failed,
    /// No answer in time.
    Silent,
}

/// What the client does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    Retry { at: Nanos },
    End,
}

const KEY_COUNT: u32 = 1_000; // number of distinct keys

/// Generates operations and decides on the clients' retries.
pub struct Caller {
    rng: Pcg32,
    /// Separate from `rng`, so that the generated operations do not depend on their outcomes.
    retry_rng: Pcg32,
    next_id: u64,
    rate: f64,
    classes: WeightedIndex<f64>,
    class_of: Vec<usize>,
    work: Vec<Gamma<f64>>,
    zones: usize,
    retries: u32,
    retry_wait: Nanos,
    hard_stops: Vec<Nanos>,
    repeatable: Vec<bool>,
}

impl Caller {
    /// `None` if the script's numbers give no valid distribution, which the checks of the script prevent.
    pub fn new(script: &Script, seed: u64) -> Option<Self> {
        let clients = &script.clients;
        let class = |name: &str| script.classes.iter().position(|class| class.name == name);
        let work = |mean: f64, shape: f64| Gamma::new(shape, mean.max(1e-6) / shape).ok();
        Some(Caller {
            rng: Pcg32::seed_from_u64(seed),
            retry_rng: Pcg32::seed_from_u64(!seed),
            next_id: 0,
            rate: clients.rate,
            classes: WeightedIndex::new(clients.demand.iter().map(|demand| demand.share)).ok()?,
            class_of: clients.demand.iter().map(|demand| class(&demand.class)).collect::<Option<_>>()?,
            work: clients
                .demand
                .iter()
                .map(|demand| work(demand.work.0.secs(), demand.shape))
                .collect::<Option<_>>()?,
            zones: script.zones.len(),
            retries: clients.retries,
            retry_wait: clients.retry_wait.0,
            hard_stops: script.classes.iter().map(|class| class.hard_stop.0).collect(),
            repeatable: script
                .classes
                .iter()
                .map(|class| !matches!(class.repeats, craneknot_settings::Repeats::Never))
                .collect(),
        })
    }

    /// The next operation and its arrival time, at `factor` times the usual rate.
    pub fn next(&mut self, now: Nanos, factor: f64) -> (Nanos, Operation) {
        let gap = Exp::new(self.rate * factor.max(1e-3)).map_or(1.0, |gaps| gaps.sample(&mut self.rng));
        let at = now + Nanos((gap * 1e9) as u64);
        let index = self.classes.sample(&mut self.rng);
        self.next_id += 1;
        // Squared, so that a few keys are far more popular than the rest.
        let key = (self.rng.random::<f64>().powi(2) * f64::from(KEY_COUNT)) as u32;
        let operation = Operation {
            id: OpId(self.next_id),
            class: self.class_of[index],
            zone: self.rng.random_range(0..self.zones),
            key,
            work: Nanos::from_secs(self.work[index].sample(&mut self.rng)),
            asked: at,
            attempt: 0,
        };
        (at, operation)
    }

    /// An operation of a known arrival, with random work and key.
    pub fn operation_at(&mut self, at: Nanos, class: usize, zone: usize) -> Operation {
        let index = self.class_of.iter().position(|of| *of == class);
        let work = index.map_or(0.0, |index| self.work[index].sample(&mut self.rng));
        let key = (self.rng.random::<f64>().powi(2) * f64::from(KEY_COUNT)) as u32;
        self.next_id += 1;
        Operation {
            id: OpId(self.next_id),
            class,
            zone,
            key,
            work: Nanos::from_secs(work),
            asked: at,
            attempt: 0,
        }
    }

    /// What a client does after an attempt. An operation that must never run twice is retried only after a rejection.
    pub fn next_step(&mut self, now: Nanos, operation: &Operation, answer: Answer) -> NextStep {
        let allowed = match answer {
            Answer::Good => return NextStep::End,
            Answer::Refused { retry_after } => Some(retry_after),
            Answer::Failed | Answer::Silent => self.repeatable[operation.class].then_some(Nanos(0)),
        };
        let Some(delay) = allowed.filter(|_| operation.attempt < self.retries) else { return NextStep::End };
        let wait = Nanos(self.retry_wait.0 << operation.attempt.min(10));
        let jitter = 0.5 + self.retry_rng.random::<f64>();
        let at = now + delay.max(Nanos((wait.0 as f64 * jitter) as u64));
        match at - operation.asked < self.hard_stops[operation.class] {
            true => NextStep::Retry { at },
            false => NextStep::End,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn traffic_matches_the_script_and_is_reproducible_by_seed() {
        let script = Script::built_in().unwrap();
        let draw = |seed| {
            let (mut caller, mut now, mut all) = (Caller::new(&script, seed).unwrap(), Nanos(0), Vec::new());
            for _ in 0..20_000 {
                let (at, operation) = caller.next(now, 2.0);
                now = at;
                all.push(operation);
            }
            (now, all)
        };
        let (end, all) = draw(3);
        assert!((0.97..1.03).contains(&(end.secs() / 50.0)), "{end:?}");
        let work: f64 = all.iter().map(|operation| operation.work.secs()).sum::<f64>() / all.len() as f64;
        assert!((0.0195..0.0205).contains(&work), "{work}");
        assert_eq!(draw(3), (end, all));
    }

    #[test]
    fn a_never_repeatable_operation_is_retried_only_after_a_rejection() {
        let script = Script::built_in().unwrap();
        let mut caller = Caller::new(&script, 1).unwrap();
        let mut operation =
            Operation { id: OpId(1), class: 1, zone: 0, key: 0, work: Nanos(1), asked: Nanos(0), attempt: 0 };
        assert_eq!(caller.next_step(Nanos(5), &operation, Answer::Failed), NextStep::End);
        assert_eq!(caller.next_step(Nanos(5), &operation, Answer::Silent), NextStep::End);
        let retry_after = Nanos::from_millis(700);
        let next = caller.next_step(Nanos(5), &operation, Answer::Refused { retry_after });
        assert_eq!(next, NextStep::Retry { at: Nanos(5) + retry_after });
        let past = Answer::Refused { retry_after: Nanos::from_millis(2_000) };
        assert_eq!(caller.next_step(Nanos(5), &operation, past), NextStep::End);
        operation.class = 0;
        assert!(matches!(caller.next_step(Nanos(5), &operation, Answer::Failed), NextStep::Retry { .. }));
        operation.attempt = 2;
        assert_eq!(caller.next_step(Nanos(5), &operation, Answer::Failed), NextStep::End);
    }
}
