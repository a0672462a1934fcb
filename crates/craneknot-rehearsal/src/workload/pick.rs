//! How a proxy picks one of its lines.

use std::collections::BTreeMap;

use rand::Rng;

use super::settings::Pick;

/// A server and its weight.
pub(super) type Line = (usize, f64);

/// What picking needs to remember.
#[derive(Default)]
pub(super) struct Picker {
    /// Credit of each server under smooth weighted round robin, by class.
    credit: BTreeMap<(usize, usize), f64>,
    /// Tries in flight by server.
    in_flight: BTreeMap<usize, u32>,
}

impl Picker {
    pub fn pick(&mut self, how: Pick, class: usize, lines: &[Line], rng: &mut impl Rng) -> Option<usize> {
        match how {
            Pick::WeightedRandom => lottery(lines, rng),
            Pick::WeightedRoundRobin => self.wheel(class, lines),
            Pick::TwoChoices => self.pair(lines, rng),
        }
    }

    fn wheel(&mut self, class: usize, lines: &[Line]) -> Option<usize> {
        for (server, weight) in lines {
            *self.credit.entry((class, *server)).or_insert(0.0) += weight;
        }
        let credit = |server: usize| self.credit[&(class, server)];
        let richest =
            lines.iter().map(|line| line.0).max_by(|one, other| credit(*one).total_cmp(&credit(*other)))?;
        let total: f64 = lines.iter().map(|line| line.1).sum();
        *self.credit.entry((class, richest)).or_insert(0.0) -= total;
        Some(richest)
    }

    fn pair(&mut self, lines: &[Line], rng: &mut impl Rng) -> Option<usize> {
        let first = lottery(lines, rng)?;
        let second = lottery(lines, rng)?;
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

fn lottery(lines: &[Line], rng: &mut impl Rng) -> Option<usize> {
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
