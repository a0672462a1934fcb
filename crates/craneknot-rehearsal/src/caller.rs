//! The clients without I/O: operations come by chance, ask a proxy of their zone, and come again by themselves.

use craneknot::interface::Nanos;
use rand::{Rng, SeedableRng};
use rand_distr::weighted::WeightedIndex;
use rand_distr::{Distribution, Exp, Gamma};
use rand_pcg::Pcg32;

use crate::record::OpId;
use crate::script::Script;

/// One operation.
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

/// What an attempt came to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Good,
    /// Refused before it ran, and told when to come back.
    Refused {
        again: Nanos,
    },
    Failed,
    /// No answer in time.
    Silent,
}

/// What the client does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Again { at: Nanos },
    End,
}

const KEYS: u32 = 1_000; // distinct keys

pub struct Caller {
    rng: Pcg32,
    /// Apart from the other, so that what is asked for does not hang on what became of it.
    waits: Pcg32,
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
    /// Nothing where the script's figures make no distribution; its checks see to that.
    pub fn new(script: &Script, seed: u64) -> Option<Self> {
        let clients = &script.clients;
        let class = |name: &str| script.classes.iter().position(|class| class.name == name);
        let work = |mean: f64, shape: f64| Gamma::new(shape, mean.max(1e-6) / shape).ok();
        Some(Caller {
            rng: Pcg32::seed_from_u64(seed),
            waits: Pcg32::seed_from_u64(!seed),
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

    /// The next operation, and how long after the one before it comes; `factor` times as many as usual.
    pub fn next(&mut self, now: Nanos, factor: f64) -> (Nanos, Operation) {
        let gap = Exp::new(self.rate * factor.max(1e-3)).map_or(1.0, |gaps| gaps.sample(&mut self.rng));
        let at = now + Nanos((gap * 1e9) as u64);
        let place = self.classes.sample(&mut self.rng);
        self.next_id += 1;
        // Squared, so that a few keys are far more popular than the rest.
        let key = (self.rng.random::<f64>().powi(2) * f64::from(KEYS)) as u32;
        let operation = Operation {
            id: OpId(self.next_id),
            class: self.class_of[place],
            zone: self.rng.random_range(0..self.zones),
            key,
            work: Nanos::from_secs(self.work[place].sample(&mut self.rng)),
            asked: at,
            attempt: 0,
        };
        (at, operation)
    }

    /// An operation that is known to have come, with work and key by chance.
    pub fn given(&mut self, at: Nanos, class: usize, zone: usize) -> Operation {
        let place = self.class_of.iter().position(|of| *of == class);
        let work = place.map_or(0.0, |place| self.work[place].sample(&mut self.rng));
        let key = (self.rng.random::<f64>().powi(2) * f64::from(KEYS)) as u32;
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

    /// What a client does after an attempt. One that must never run twice comes again only after a refusal.
    pub fn after(&mut self, now: Nanos, operation: &Operation, answer: Answer) -> Next {
        let again = match answer {
            Answer::Good => return Next::End,
            Answer::Refused { again } => Some(again),
            Answer::Failed | Answer::Silent => self.repeatable[operation.class].then_some(Nanos(0)),
        };
        let Some(told) = again.filter(|_| operation.attempt < self.retries) else { return Next::End };
        let wait = Nanos(self.retry_wait.0 << operation.attempt.min(10));
        let jitter = 0.5 + self.waits.random::<f64>();
        let at = now + told.max(Nanos((wait.0 as f64 * jitter) as u64));
        match at - operation.asked < self.hard_stops[operation.class] {
            true => Next::Again { at },
            false => Next::End,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn traffic_is_as_asked_for_and_the_same_for_a_seed() {
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
    fn what_must_never_run_twice_comes_again_only_after_a_refusal() {
        let script = Script::built_in().unwrap();
        let mut caller = Caller::new(&script, 1).unwrap();
        let mut operation =
            Operation { id: OpId(1), class: 1, zone: 0, key: 0, work: Nanos(1), asked: Nanos(0), attempt: 0 };
        assert_eq!(caller.after(Nanos(5), &operation, Answer::Failed), Next::End);
        assert_eq!(caller.after(Nanos(5), &operation, Answer::Silent), Next::End);
        let again = Nanos::from_millis(700);
        let next = caller.after(Nanos(5), &operation, Answer::Refused { again });
        assert_eq!(next, Next::Again { at: Nanos(5) + again });
        let past = Answer::Refused { again: Nanos::from_millis(2_000) };
        assert_eq!(caller.after(Nanos(5), &operation, past), Next::End);
        operation.class = 0;
        assert!(matches!(caller.after(Nanos(5), &operation, Answer::Failed), Next::Again { .. }));
        operation.attempt = 2;
        assert_eq!(caller.after(Nanos(5), &operation, Answer::Failed), Next::End);
    }
}
