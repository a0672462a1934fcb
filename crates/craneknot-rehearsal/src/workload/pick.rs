//! Strategies by which a proxy selects one of its lines.

use std::collections::BTreeMap;

use rand::Rng;

use super::settings::Pick;

/// A server and its weight.
pub(super) type Line = (usize, f64);

/// State that the strategies keep between selections.
#[derive(Default)]
pub(super) struct Picker {
    /// Credit of each server under smooth weighted round robin, by class.
    credit: BTreeMap<(usize, usize), f64>,
    /// Tries in flight by server.
    in_flight: BTreeMap<usize, u32>,
}

impl Picker {
    pub fn pick(
        &mut self,
        strategy: Pick,
        class: usize,
        lines: &[Line],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        match strategy {
            Pick::WeightedRandom => weighted_random(lines, rng),
            Pick::WeightedRoundRobin => self.weighted_round_robin(class, lines),
            Pick::TwoChoices => self.two_choices(lines, rng),
        }
    }

    fn weighted_round_robin(&mut self, class: usize, lines: &[Line]) -> Option<usize> {
        for (server, weight) in lines {
            *self.credit.entry((class, *server)).or_insert(0.0) += weight;
        }
        let credit = |server: usize| self.credit[&(class, server)];
        let highest =
            lines.iter().map(|line| line.0).max_by(|one, other| credit(*one).total_cmp(&credit(*other)))?;
        let total: f64 = lines.iter().map(|line| line.1).sum();
        *self.credit.entry((class, highest)).or_insert(0.0) -= total;
        Some(highest)
    }

    fn two_choices(&mut self, lines: &[Line], rng: &mut impl Rng) -> Option<usize> {
        let first = weighted_random(lines, rng)?;
        let second = weighted_random(lines, rng)?;
        let in_flight = |server: usize| self.in_flight.get(&server).copied().unwrap_or(0);
        Some(if in_flight(second) < in_flight(first) { second } else { first })
    }

    pub fn try_began(&mut self, server: usize) {
        *self.in_flight.entry(server).or_insert(0) += 1;
    }

    pub fn try_ended(&mut self, server: usize) {
        if let Some(in_flight) = self.in_flight.get_mut(&server) {
            *in_flight = in_flight.saturating_sub(1);
        }
    }
}

fn weighted_random(lines: &[Line], rng: &mut impl Rng) -> Option<usize> {
    let total: f64 = lines.iter().map(|line| line.1).sum();
    let mut left = rng.random::<f64>() * total;
    for (server, weight) in lines {
        left -= weight;
        if left < 0.0 {
            return Some(*server);
        }
    }
    lines.last().map(|line| line.0)
}
