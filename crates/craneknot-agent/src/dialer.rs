//! Chooses which coordinator to connect to and when: one at a time, the next one after a failure, with
//! exponential backoff and jitter, so that the agents of a failed coordinator do not all reconnect at once.

use craneknot::interface::Nanos;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// The state of the connection to a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialState {
    /// Waiting until the next connection attempt.
    Backoff,
    Connecting,
    /// Connected, without a response yet.
    Connected,
    /// The coordinator responds.
    Following,
}

/// An event on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialEvent {
    BackoffElapsed,
    Connected,
    /// The coordinator sent a response.
    Responded,
    /// The connection failed, broke or timed out.
    Lost,
    /// The coordinator named another one as the leader.
    Redirected,
}

/// The action to take after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialAction {
    Nothing,
    Dial,
    /// Request resources of all kinds.
    Subscribe,
    /// Reset the backoff: the next failure waits no longer than the first.
    ResetBackoff,
    /// Retry the same coordinator after a wait: it responded before, and may be back soon.
    RetrySame,
    /// Try the next coordinator after a wait, which doubles once all of them have failed.
    TryNext,
    /// Connect at once to the coordinator that was named.
    FollowRedirect,
}

/// State, event, next state, action.
const TRANSITIONS: &[(DialState, DialEvent, DialState, DialAction)] = &[
    (DialState::Backoff, DialEvent::BackoffElapsed, DialState::Connecting, DialAction::Dial),
    (DialState::Connecting, DialEvent::Connected, DialState::Connected, DialAction::Subscribe),
    (DialState::Connected, DialEvent::Responded, DialState::Following, DialAction::ResetBackoff),
    (DialState::Connecting, DialEvent::Lost, DialState::Backoff, DialAction::TryNext),
    (DialState::Connected, DialEvent::Lost, DialState::Backoff, DialAction::TryNext),
    (DialState::Following, DialEvent::Lost, DialState::Backoff, DialAction::RetrySame),
    (DialState::Connected, DialEvent::Redirected, DialState::Backoff, DialAction::FollowRedirect),
    (DialState::Following, DialEvent::Redirected, DialState::Backoff, DialAction::FollowRedirect),
];

const MAX_REDIRECTS: u32 = 4; // without a response in between; two coordinators may redirect to each other

/// Selects the coordinator and the time of each connection attempt.
pub struct Dialer {
    state: DialState,
    coordinators: usize,
    current: usize,
    /// The longest wait after the first failure.
    base: Nanos,
    max_wait: Nanos,
    failures: u32,
    redirects: u32,
    dial_at: Nanos,
    rng: Pcg32,
}

impl Dialer {
    /// Begins with the first coordinator after a random wait, because a whole fleet may start at once.
    pub fn new(coordinators: usize, base: Nanos, max_wait: Nanos, seed: u64, now: Nanos) -> Self {
        let rng = Pcg32::seed_from_u64(seed);
        let (state, current, failures) = (DialState::Backoff, 0, 0);
        let mut dialer = Dialer {
            state,
            coordinators: coordinators.max(1),
            current,
            base,
            max_wait,
            failures,
            redirects: 0,
            dial_at: now,
            rng,
        };
        dialer.back_off(now, base);
        dialer
    }

    pub fn state(&self) -> DialState {
        self.state
    }

    /// The index of the coordinator that is or will be followed.
    pub fn coordinator(&self) -> usize {
        self.current
    }

    /// The time of the next connection attempt, while backing off.
    pub fn next_dial_at(&self) -> Option<Nanos> {
        (self.state == DialState::Backoff).then_some(self.dial_at)
    }

    fn back_off(&mut self, now: Nanos, max_wait: Nanos) {
        // Full jitter: uniform between zero and the whole wait.
        self.dial_at = now + Nanos((max_wait.0 as f64 * self.rng.random::<f64>()) as u64);
    }

    /// Handles a redirect to the coordinator with this index. Too many redirects, or an unknown index, count
    /// as a lost connection.
    pub fn redirect_to(&mut self, now: Nanos, coordinator: usize) {
        self.redirects += 1;
        if self.redirects > MAX_REDIRECTS || coordinator >= self.coordinators {
            self.redirects = 0;
            self.handle(now, DialEvent::Lost);
        } else if self.handle(now, DialEvent::Redirected) == DialAction::FollowRedirect {
            self.current = coordinator;
        }
    }

    /// Applies an event and returns the action to take; an event without a transition in this state is
    /// ignored.
    pub fn handle(&mut self, now: Nanos, event: DialEvent) -> DialAction {
        if event == DialEvent::BackoffElapsed && now < self.dial_at {
            return DialAction::Nothing;
        }
        let transition =
            TRANSITIONS.iter().find(|transition| transition.0 == self.state && transition.1 == event);
        let Some((_, _, next, action)) = transition else { return DialAction::Nothing };
        self.state = *next;
        match action {
            DialAction::Nothing | DialAction::Dial | DialAction::Subscribe => {}
            DialAction::ResetBackoff => (self.failures, self.redirects) = (0, 0),
            DialAction::FollowRedirect => self.dial_at = now,
            DialAction::RetrySame => {
                self.failures = 1;
                self.back_off(now, self.base);
            }
            DialAction::TryNext => {
                self.current = (self.current + 1) % self.coordinators;
                // A round through all coordinators counts as one failure, because the next one may be
                // available.
                let rounds = self.failures / self.coordinators as u32;
                self.failures += 1;
                self.back_off(now, Nanos(self.base.0.saturating_mul(1 << rounds.min(20))).min(self.max_wait));
            }
        }
        *action
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BASE_WAIT: Nanos = Nanos::from_millis(100);
    const MAX_WAIT: Nanos = Nanos::from_millis(2_000);

    #[test]
    fn a_lost_coordinator_is_retried_before_the_next() {
        let mut dialer = Dialer::new(2, BASE_WAIT, MAX_WAIT, 7, Nanos(0));
        let start = dialer.next_dial_at().unwrap();
        assert_eq!(dialer.handle(start, DialEvent::BackoffElapsed), DialAction::Dial);
        assert_eq!(dialer.handle(start, DialEvent::Connected), DialAction::Subscribe);
        assert_eq!(dialer.handle(start, DialEvent::Responded), DialAction::ResetBackoff);
        assert_eq!(dialer.handle(start, DialEvent::Lost), DialAction::RetrySame);
        assert_eq!(dialer.coordinator(), 0);
        let again = dialer.next_dial_at().unwrap();
        assert_eq!(dialer.handle(again, DialEvent::BackoffElapsed), DialAction::Dial);
        assert_eq!(dialer.handle(again, DialEvent::Lost), DialAction::TryNext);
        assert_eq!(dialer.coordinator(), 1);
    }

    #[test]
    fn backoff_grows_to_its_limit_and_is_jittered() {
        let mut waits = Vec::new();
        for seed in 0..200 {
            let (mut dialer, mut now) = (Dialer::new(2, BASE_WAIT, MAX_WAIT, seed, Nanos(0)), Nanos(0));
            for _ in 0..20 {
                now = now.max(dialer.next_dial_at().unwrap());
                dialer.handle(now, DialEvent::BackoffElapsed);
                dialer.handle(now, DialEvent::Lost);
                assert!(dialer.next_dial_at().unwrap() - now <= MAX_WAIT);
            }
            waits.push((dialer.next_dial_at().unwrap() - now).secs());
        }
        let mean = waits.iter().sum::<f64>() / waits.len() as f64;
        assert!((0.8..1.2).contains(&mean), "{mean}");
        assert!(waits.iter().any(|wait| *wait < 0.3) && waits.iter().any(|wait| *wait > 1.7));
    }

    #[test]
    fn unexpected_events_change_nothing() {
        let mut dialer = Dialer::new(1, BASE_WAIT, MAX_WAIT, 7, Nanos(0));
        for event in [DialEvent::Connected, DialEvent::Responded, DialEvent::Lost] {
            assert_eq!(dialer.handle(Nanos(0), event), DialAction::Nothing);
            assert_eq!(dialer.state(), DialState::Backoff);
        }
    }

    /// Two coordinators with different views of the leader may redirect an agent to each other: it must back
    /// off, not alternate between them without a pause.
    #[test]
    fn an_agent_redirected_back_and_forth_backs_off() {
        let (mut dialer, mut now) = (Dialer::new(2, BASE_WAIT, MAX_WAIT, 7, Nanos(0)), Nanos(0));
        let mut waits = 0;
        for round in 0..20 {
            now = now.max(dialer.next_dial_at().unwrap());
            dialer.handle(now, DialEvent::BackoffElapsed);
            dialer.handle(now, DialEvent::Connected);
            let before = now;
            dialer.redirect_to(now, (round + 1) % 2);
            waits += usize::from(dialer.next_dial_at().unwrap() > before);
        }
        assert!(waits >= 3, "{waits}");
        assert_eq!(dialer.handle(now, DialEvent::Redirected), DialAction::Nothing);
    }
}
