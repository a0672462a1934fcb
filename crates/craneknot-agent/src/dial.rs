//! Whom to dial, and when: one coordinator at a time, the next one after a failure, with waits that double and
//! are drawn by chance, so that the agents of a lost coordinator do not come all at once.

use craneknot::interface::Nanos;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Waits until it dials again.
    Resting,
    /// Dialled, not connected yet.
    Dialling,
    /// Connected, nothing heard yet.
    Asking,
    /// The coordinator answers.
    Following,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// The moment to dial has come.
    Due,
    Connected,
    /// The coordinator has answered.
    Heard,
    /// The connection failed, broke or fell silent.
    Lost,
    /// It says that another one is in charge.
    Sent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Nothing,
    Dial,
    /// Ask for all kinds.
    Ask,
    /// The next failure waits as short as the first.
    Calm,
    /// Wait, then the same coordinator again: it answered, and may be back at once.
    Again,
    /// Wait twice as long, then the next coordinator.
    Next,
    /// At once to the one that was named.
    Go,
}

/// State, sign, next state, effect.
const MOVES: &[(State, Sign, State, Effect)] = &[
    (State::Resting, Sign::Due, State::Dialling, Effect::Dial),
    (State::Dialling, Sign::Connected, State::Asking, Effect::Ask),
    (State::Asking, Sign::Heard, State::Following, Effect::Calm),
    (State::Dialling, Sign::Lost, State::Resting, Effect::Next),
    (State::Asking, Sign::Lost, State::Resting, Effect::Next),
    (State::Following, Sign::Lost, State::Resting, Effect::Again),
    (State::Asking, Sign::Sent, State::Resting, Effect::Go),
    (State::Following, Sign::Sent, State::Resting, Effect::Go),
];

const SENT_MOST: u32 = 4; // times sent on without an answer: two that send us to one another know no better

pub struct Dial {
    state: State,
    coordinators: usize,
    at: usize,
    least: Nanos,
    most: Nanos,
    failures: u32,
    sent: u32,
    until: Nanos,
    rng: Pcg32,
}

impl Dial {
    /// Begins with the first coordinator, after a wait drawn by chance: a whole fleet may start at once.
    pub fn new(coordinators: usize, least: Nanos, most: Nanos, seed: u64, now: Nanos) -> Self {
        let rng = Pcg32::seed_from_u64(seed);
        let (state, at, failures) = (State::Resting, 0, 0);
        let mut dial = Dial {
            state,
            coordinators: coordinators.max(1),
            at,
            least,
            most,
            failures,
            sent: 0,
            until: now,
            rng,
        };
        dial.rest(now, least);
        dial
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// The place of the coordinator that is or will be followed.
    pub fn coordinator(&self) -> usize {
        self.at
    }

    /// When to dial.
    pub fn next_at(&self) -> Option<Nanos> {
        (self.state == State::Resting).then_some(self.until)
    }

    fn rest(&mut self, now: Nanos, longest: Nanos) {
        // Full jitter: anywhere from nothing to the whole wait.
        self.until = now + Nanos((longest.0 as f64 * self.rng.random::<f64>()) as u64);
    }

    /// Another coordinator is named as the one in charge.
    pub fn send_to(&mut self, now: Nanos, coordinator: usize) {
        self.sent += 1;
        if self.sent > SENT_MOST || coordinator >= self.coordinators {
            self.sent = 0;
            self.sign(now, Sign::Lost);
        } else if self.sign(now, Sign::Sent) == Effect::Go {
            self.at = coordinator;
        }
    }

    pub fn sign(&mut self, now: Nanos, sign: Sign) -> Effect {
        if sign == Sign::Due && now < self.until {
            return Effect::Nothing;
        }
        let row = MOVES.iter().find(|row| row.0 == self.state && row.1 == sign);
        let Some((_, _, next, effect)) = row else { return Effect::Nothing };
        self.state = *next;
        match effect {
            Effect::Nothing | Effect::Dial | Effect::Ask => {}
            Effect::Calm => (self.failures, self.sent) = (0, 0),
            Effect::Go => self.until = now,
            Effect::Again => {
                self.failures = 1;
                self.rest(now, self.least);
            }
            Effect::Next => {
                self.at = (self.at + 1) % self.coordinators;
                // A round through all of them counts as one failure: the next one may well stand.
                let rounds = self.failures / self.coordinators as u32;
                self.failures += 1;
                self.rest(now, Nanos(self.least.0.saturating_mul(1 << rounds.min(20))).min(self.most));
            }
        }
        *effect
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LEAST: Nanos = Nanos::from_millis(100);
    const MOST: Nanos = Nanos::from_millis(2_000);

    #[test]
    fn a_lost_coordinator_is_tried_again_before_the_next() {
        let mut dial = Dial::new(2, LEAST, MOST, 7, Nanos(0));
        let start = dial.next_at().unwrap();
        assert_eq!(dial.sign(start, Sign::Due), Effect::Dial);
        assert_eq!(dial.sign(start, Sign::Connected), Effect::Ask);
        assert_eq!(dial.sign(start, Sign::Heard), Effect::Calm);
        assert_eq!(dial.sign(start, Sign::Lost), Effect::Again);
        assert_eq!(dial.coordinator(), 0);
        let again = dial.next_at().unwrap();
        assert_eq!(dial.sign(again, Sign::Due), Effect::Dial);
        assert_eq!(dial.sign(again, Sign::Lost), Effect::Next);
        assert_eq!(dial.coordinator(), 1);
    }

    #[test]
    fn waits_grow_to_their_bound_and_are_spread() {
        let mut waits = Vec::new();
        for seed in 0..200 {
            let (mut dial, mut now) = (Dial::new(2, LEAST, MOST, seed, Nanos(0)), Nanos(0));
            for _ in 0..20 {
                now = now.max(dial.next_at().unwrap());
                dial.sign(now, Sign::Due);
                dial.sign(now, Sign::Lost);
                assert!(dial.next_at().unwrap() - now <= MOST);
            }
            waits.push((dial.next_at().unwrap() - now).secs());
        }
        let mean = waits.iter().sum::<f64>() / waits.len() as f64;
        assert!((0.8..1.2).contains(&mean), "{mean}");
        assert!(waits.iter().any(|wait| *wait < 0.3) && waits.iter().any(|wait| *wait > 1.7));
    }

    #[test]
    fn signs_out_of_place_change_nothing() {
        let mut dial = Dial::new(1, LEAST, MOST, 7, Nanos(0));
        for sign in [Sign::Connected, Sign::Heard, Sign::Lost] {
            assert_eq!(dial.sign(Nanos(0), sign), Effect::Nothing);
            assert_eq!(dial.state(), State::Resting);
        }
    }

    /// Two coordinators with different views may send an agent to one another: it must not spin between them.
    #[test]
    fn one_that_is_sent_to_and_fro_waits_in_the_end() {
        let (mut dial, mut now) = (Dial::new(2, LEAST, MOST, 7, Nanos(0)), Nanos(0));
        let mut waited = 0;
        for round in 0..20 {
            now = now.max(dial.next_at().unwrap());
            dial.sign(now, Sign::Due);
            dial.sign(now, Sign::Connected);
            let before = now;
            dial.send_to(now, (round + 1) % 2);
            waited += usize::from(dial.next_at().unwrap() > before);
        }
        assert!(waited >= 3, "{waited}");
        assert_eq!(dial.sign(now, Sign::Sent), Effect::Nothing);
    }
}
