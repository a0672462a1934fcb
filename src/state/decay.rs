//! Sums and means in which older values count less, and what proxies met, counted in them.

use crate::interface::*;

/// A sum that halves with every half-life, which comes with what is added; brought up to date when read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Decay {
    sum: f64,
    at: Nanos,
    half: Nanos,
}

impl Decay {
    pub fn read(&self, now: Nanos) -> f64 {
        match self.half {
            Nanos(0) => 0.0,
            half => self.sum * 0.5f64.powf((now - self.at).secs() / half.secs()),
        }
    }

    pub fn add(&mut self, now: Nanos, half: Nanos, amount: f64) {
        *self = Decay { sum: self.read(now) + amount, at: now, half };
    }

    pub fn is_empty(&self) -> bool {
        self.half == Nanos(0)
    }

    /// Per second, where adding has gone on for `age`.
    pub fn rate(&self, now: Nanos, age: Nanos) -> f64 {
        match self.half {
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
pub struct Mean {
    sum: Decay,
    count: Decay,
}

impl Mean {
    pub fn hear(&mut self, now: Nanos, half: Nanos, value: Option<f64>) {
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
pub struct Seen {
    pub tries: f64,
    pub failed: f64,
    pub waited: f64,
    /// Of the seconds waited, those for good answers.
    pub answering: f64,
    pub handled: f64,
}

impl Seen {
    pub fn plus(self, other: Seen) -> Seen {
        Seen {
            tries: self.tries + other.tries,
            failed: self.failed + other.failed,
            waited: self.waited + other.waited,
            answering: self.answering + other.answering,
            handled: self.handled + other.handled,
        }
    }

    /// Unanswered share; nothing where nothing was tried.
    pub fn share(&self) -> f64 {
        ratio(self.failed, self.tries).min(1.0)
    }

    /// Mean wait, s.
    pub fn wait(&self) -> f64 {
        ratio(self.waited, self.tries)
    }

    /// Mean wait for a good answer, s.
    pub fn answer_wait(&self) -> f64 {
        ratio(self.answering, self.tries - self.failed)
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
pub struct Met {
    tries: Decay,
    failed: Decay,
    waited: Decay,
    answering: Decay,
}

impl Met {
    pub fn add(&mut self, now: Nanos, half: Nanos, seen: Seen) {
        self.tries.add(now, half, seen.tries);
        self.failed.add(now, half, seen.failed);
        self.waited.add(now, half, seen.waited);
        self.answering.add(now, half, seen.answering);
    }

    pub fn read(&self, now: Nanos) -> Seen {
        let (tries, failed) = (self.tries.read(now), self.failed.read(now));
        let (waited, answering) = (self.waited.read(now), self.answering.read(now));
        let per_second = std::f64::consts::LN_2 * ratio(1.0, self.tries.half.secs());
        Seen { tries, failed, waited, answering, handled: (tries - failed).max(0.0) * per_second }
    }
}
