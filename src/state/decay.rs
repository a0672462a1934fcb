//! Sums and means with exponential decay, and the outcomes that proxies observed, totalled in them.

use crate::interface::*;

/// A sum that halves with every half-life. The half-life is given with each added amount, and the decay is
/// applied on reading.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    sum: f64,
    updated_at: Nanos,
    half_life: Nanos,
}

impl DecayingSum {
    pub fn read(&self, now: Nanos) -> f64 {
        match self.half_life {
            Nanos(0) => 0.0,
            half_life => self.sum * 0.5f64.powf((now - self.updated_at).secs() / half_life.secs()),
        }
    }

    pub fn add(&mut self, now: Nanos, half_life: Nanos, amount: f64) {
        *self = DecayingSum { sum: self.read(now) + amount, updated_at: now, half_life };
    }

    pub fn is_empty(&self) -> bool {
        self.half_life == Nanos(0)
    }

    /// The rate per second, if amounts have been added for `age`.
    pub fn rate(&self, now: Nanos, age: Nanos) -> f64 {
        match self.half_life {
            Nanos(0) => 0.0,
            half_life => {
                let filled_share = 1.0 - 0.5f64.powf(age.secs() / half_life.secs());
                self.read(now) * std::f64::consts::LN_2 / half_life.secs() / filled_share
            }
        }
    }
}

/// A mean in which older values count less; `None` if there were too few recent values.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingMean {
    sum: DecayingSum,
    count: DecayingSum,
}

impl DecayingMean {
    pub fn add(&mut self, now: Nanos, half_life: Nanos, value: Option<f64>) {
        if let Some(value) = value.filter(|value| value.is_finite()) {
            self.sum.add(now, half_life, value);
            self.count.add(now, half_life, 1.0);
        }
    }

    pub fn mean(&self, now: Nanos, min_count: f64) -> Option<f64> {
        let count = self.count.read(now);
        (count > min_count).then(|| self.sum.read(now) / count)
    }
}

/// Outcomes that proxies observed: tries, those without a good answer, seconds waited, and good answers per
/// second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    pub tries: f64,
    pub failed: f64,
    pub waited_secs: f64,
    /// The part of `waited_secs` spent on good answers.
    pub answered_secs: f64,
    pub handled_rate: f64,
}

impl Outcomes {
    pub fn plus(self, other: Outcomes) -> Outcomes {
        Outcomes {
            tries: self.tries + other.tries,
            failed: self.failed + other.failed,
            waited_secs: self.waited_secs + other.waited_secs,
            answered_secs: self.answered_secs + other.answered_secs,
            handled_rate: self.handled_rate + other.handled_rate,
        }
    }

    /// Share of tries without a good answer; 0 without tries.
    pub fn failed_share(&self) -> f64 {
        ratio(self.failed, self.tries).min(1.0)
    }

    /// Mean wait in seconds.
    pub fn mean_wait(&self) -> f64 {
        ratio(self.waited_secs, self.tries)
    }

    /// Mean wait for a good answer, in seconds.
    pub fn mean_answer_wait(&self) -> f64 {
        ratio(self.answered_secs, self.tries - self.failed)
    }
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        part / whole
    } else {
        0.0
    }
}

/// Decaying totals of the outcomes that proxies observed.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingOutcomes {
    tries: DecayingSum,
    failed: DecayingSum,
    waited_secs: DecayingSum,
    answered_secs: DecayingSum,
}

impl DecayingOutcomes {
    pub fn add(&mut self, now: Nanos, half_life: Nanos, outcomes: Outcomes) {
        self.tries.add(now, half_life, outcomes.tries);
        self.failed.add(now, half_life, outcomes.failed);
        self.waited_secs.add(now, half_life, outcomes.waited_secs);
        self.answered_secs.add(now, half_life, outcomes.answered_secs);
    }

    pub fn read(&self, now: Nanos) -> Outcomes {
        let (tries, failed) = (self.tries.read(now), self.failed.read(now));
        let (waited_secs, answered_secs) = (self.waited_secs.read(now), self.answered_secs.read(now));
        let per_second = std::f64::consts::LN_2 * ratio(1.0, self.tries.half_life.secs());
        Outcomes {
            tries,
            failed,
            waited_secs,
            answered_secs,
            handled_rate: (tries - failed).max(0.0) * per_second,
        }
    }
}
