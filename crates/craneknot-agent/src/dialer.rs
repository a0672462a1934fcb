//! Whom to dial, and when: one coordinator at a time, the next one after a failure, with waits that double and
//! are drawn by chance, so that the agents of a lost coordinator do not come all at once.

use craneknot::interface::Nanos;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialState {
    /// Waits until it dials again.
    Backoff,
    /// Dialled, not connected yet.
    Connecting,
    /// Connected, nothing heard yet.
    Connected,
    /// The coordinator answers.
    Following,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialEvent {
    /// The moment to dial has come.
    BackoffElapsed,
    Connected,
    /// The coordinator has answered.
    Responded,
    /// The connection failed, broke or fell silent.
    Lost,
    /// It says that another one is in charge.
    Redirected,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialAction {
    Nothing,
    Dial,
    /// Ask for all kinds.
    Subscribe,
    /// The next failure waits as short as the first.
    ResetBackoff,
    /// Wait, then the same coordinator again: it answered, and may be back at once.
    RetrySame,
    /// Wait twice as long, then the next coordinator.
    TryNext,
    /// At once to the one that was named.
    FollowRedirect,
}

/// State, sign, next state, effect.
const MOVES: &[(DialState, DialEvent, DialState, DialAction)] = &[
    (DialState::Backoff, DialEvent::BackoffElapsed, DialState::Connecting, DialAction::Dial),
    (DialState::Connecting, DialEvent::Connected, DialState::Connected, DialAction::Subscribe),
    (DialState::Connected, DialEvent::Responded, DialState::Following, DialAction::ResetBackoff),
    (DialState::Connecting, DialEvent::Lost, DialState::Backoff, DialAction::TryNext),
    (DialState::Connected, DialEvent::Lost, DialState::Backoff, DialAction::TryNext),
    (DialState::Following, DialEvent::Lost, DialState::Backoff, DialAction::RetrySame),
    (DialState::Connected, DialEvent::Redirected, DialState::Backoff, DialAction::FollowRedirect),
    (DialState::Following, DialEvent::Redirected, DialState::Backoff, DialAction::FollowRedirect),
];

const SENT_MOST: u32 = 4; // times sent on without an answer: two that send us to one another know no better

pub struct Dialer {
    state: DialState,
    coordinators: usize,
    at: usize,
    least: Nanos,
    most: Nanos,
    failures: u32,
    sent: u32,
    until: Nanos,
    rng: Pcg32,
}

impl Dialer {
    /// Begins with the first coordinator, after a wait drawn by chance: a whole fleet may start at once.
    pub fn new(coordinators: usize, least: Nanos, most: Nanos, seed: u64, now: Nanos) -> Self {
        let rng = Pcg32::seed_from_u64(seed);
        let (state, at, failures) = (DialState::Backoff, 0, 0);
        let mut dial = Dialer {
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

    pub fn state(&self) -> DialState {
        self.state
    }

    /// The place of the coordinator that is or will be followed.
    pub fn coordinator(&self) -> usize {
        self.at
    }

    /// When to dial.
    pub fn next_dial_at(&self) -> Option<Nanos> {
        (self.state == DialState::Backoff).then_some(self.until)
    }

    fn rest(&mut self, now: Nanos, longest: Nanos) {
        // Full jitter: anywhere from nothing to the whole wait.
        self.until = now + Nanos((longest.0 as f64 * self.rng.random::<f64>()) as u64);
    }

    /// Another coordinator is named as the one in charge.
    pub fn redirect_to(&mut self, now: Nanos, coordinator: usize) {
        self.sent += 1;
        if self.sent > SENT_MOST || coordinator >= self.coordinators {
            self.sent = 0;
            self.handle(now, DialEvent::Lost);
        } else if self.handle(now, DialEvent::Redirected) == DialAction::FollowRedirect {
            self.at = coordinator;
        }
    }

    pub fn handle(&mut self, now: Nanos, event: DialEvent) -> DialAction {
        if event == DialEvent::BackoffElapsed && now < self.until {
            return DialAction::Nothing;
        }
        let row = MOVES.iter().find(|row| row.0 == self.state && row.1 == event);
        let Some((_, _, next, effect)) = row else { return DialAction::Nothing };
        self.state = *next;
        match effect {
            DialAction::Nothing | DialAction::Dial | DialAction::Subscribe => {}
            DialAction::ResetBackoff => (self.failures, self.sent) = (0, 0),
            DialAction::FollowRedirect => self.until = now,
            DialAction::RetrySame => {
                self.failures = 1;
                self.rest(now, self.least);
            }
            DialAction::TryNext => {
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
        let mut dial = Dialer::new(2, LEAST, MOST, 7, Nanos(0));
        let start = dial.next_dial_at().unwrap();
        assert_eq!(dial.handle(start, DialEvent::BackoffElapsed), DialAction::Dial);
        assert_eq!(dial.handle(start, DialEvent::Connected), DialAction::Subscribe);
        assert_eq!(dial.handle(start, DialEvent::Responded), DialAction::ResetBackoff);
        assert_eq!(dial.handle(start, DialEvent::Lost), DialAction::RetrySame);
        assert_eq!(dial.coordinator(), 0);
        let again = dial.next_dial_at().unwrap();
        assert_eq!(dial.handle(again, DialEvent::BackoffElapsed), DialAction::Dial);
        assert_eq!(dial.handle(again, DialEvent::Lost), DialAction::TryNext);
        assert_eq!(dial.coordinator(), 1);
    }

    #[test]
    fn waits_grow_to_their_bound_and_are_spread() {
        let mut waits = Vec::new();
        for seed in 0..200 {
            let (mut dial, mut now) = (Dialer::new(2, LEAST, MOST, seed, Nanos(0)), Nanos(0));
            for _ in 0..20 {
                now = now.max(dial.next_dial_at().unwrap());
                dial.handle(now, DialEvent::BackoffElapsed);
                dial.handle(now, DialEvent::Lost);
                assert!(dial.next_dial_at().unwrap() - now <= MOST);
            }
            waits.push((dial.next_dial_at().unwrap() - now).secs());
        }
        let mean = waits.iter().sum::<f64>() / waits.len() as f64;
        assert!((0.8..1.2).contains(&mean), "{mean}");
        assert!(waits.iter().any(|wait| *wait < 0.3) && waits.iter().any(|wait| *wait > 1.7));
    }

    #[test]
    fn signs_out_of_place_change_nothing() {
        let mut dial = Dialer::new(1, LEAST, MOST, 7, Nanos(0));
        for event in [DialEvent::Connected, DialEvent::Responded, DialEvent::Lost] {
            assert_eq!(dial.handle(Nanos(0), event), DialAction::Nothing);
            assert_eq!(dial.state(), DialState::Backoff);
        }
    }

    /// Two coordinators with different views may send an agent to one another: it must not spin between them.
    #[test]
    fn one_that_is_sent_to_and_fro_waits_in_the_end() {
        let (mut dial, mut now) = (Dialer::new(2, LEAST, MOST, 7, Nanos(0)), Nanos(0));
        let mut waited = 0;
        for round in 0..20 {
            now = now.max(dial.next_dial_at().unwrap());
            dial.handle(now, DialEvent::BackoffElapsed);
            dial.handle(now, DialEvent::Connected);
            let before = now;
            dial.redirect_to(now, (round + 1) % 2);
            waited += usize::from(dial.next_dial_at().unwrap() > before);
        }
        assert!(waited >= 3, "{waited}");
        assert_eq!(dial.handle(now, DialEvent::Redirected), DialAction::Nothing);
    }
}
