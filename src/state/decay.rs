//! Sums and means in which older values count less, and what proxies met, counted in them.

use crate::interface::*;

/// A sum that halves with every half-life, which comes with what is added; brought up to date when read.
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
            half => self.sum * 0.5f64.powf((now - self.updated_at).secs() / half.secs()),
        }
    }

    pub fn add(&mut self, now: Nanos, half: Nanos, amount: f64) {
        *self = DecayingSum { sum: self.read(now) + amount, updated_at: now, half_life: half };
    }

    pub fn is_empty(&self) -> bool {
        self.half_life == Nanos(0)
    }

    /// Per second, where adding has gone on for `age`.
    pub fn rate(&self, now: Nanos, age: Nanos) -> f64 {
        match self.half_life {
            Nanos(0) => 0.0,
            half => {
                let filled = 1.0 - 0.5f64.powf(age.secs() / half.secs());
                self.read(now) * std::f64::consts::LN_2 / half.secs() / filled
            }
        }
    }
}

/// A mean in which older values count less; nothing where too little was heard lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingMean {
    sum: DecayingSum,
    count: DecayingSum,
}

impl DecayingMean {
    pub fn add(&mut self, now: Nanos, half: Nanos, value: Option<f64>) {
        if let Some(value) = value.filter(|value| value.is_finite()) {
            self.sum.add(now, half, value);
            self.count.add(now, half, 1.0);
        }
    }

    pub fn mean(&self, now: Nanos, least: f64) -> Option<f64> {
        let count = self.count.read(now);
        (count > least).then(|| self.sum.read(now) / count)
    }
}

/// What proxies met: tries, those without a good answer, seconds waited, and good answers a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    pub tries: f64,
    pub failed: f64,
    pub waited_secs: f64,
    /// Of the seconds waited, those for good answers.
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

    /// Unanswered share; nothing where nothing was tried.
    pub fn failed_share(&self) -> f64 {
        ratio(self.failed, self.tries).min(1.0)
    }

    /// Mean wait, s.
    pub fn mean_wait(&self) -> f64 {
        ratio(self.waited_secs, self.tries)
    }

    /// Mean wait for a good answer, s.
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

/// Sums of what proxies met.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingOutcomes {
    tries: DecayingSum,
    failed: DecayingSum,
    waited_secs: DecayingSum,
    answered_secs: DecayingSum,
}

impl DecayingOutcomes {
    pub fn add(&mut self, now: Nanos, half: Nanos, seen: Outcomes) {
        self.tries.add(now, half, seen.tries);
        self.failed.add(now, half, seen.failed);
        self.waited_secs.add(now, half, seen.waited_secs);
        self.answered_secs.add(now, half, seen.answered_secs);
    }

    pub fn read(&self, now: Nanos) -> Outcomes {
        let (tries, failed) = (self.tries.read(now), self.failed.read(now));
        let (waited, answering) = (self.waited_secs.read(now), self.answered_secs.read(now));
        let per_second = std::f64::consts::LN_2 * ratio(1.0, self.tries.half_life.secs());
        Outcomes {
            tries,
            failed,
            waited_secs: waited,
            answered_secs: answering,
            handled_rate: (tries - failed).max(0.0) * per_second,
        }
    }
}
