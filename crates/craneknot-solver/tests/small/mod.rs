//! Random small fleets, and the best distribution of their demand by a search on a grid and then by local improvements.

use craneknot_solver::plan::{Class, Fleet, Server};
use rand::{Rng as _, SeedableRng};
use rand_pcg::Pcg32;

pub struct Rng(pub Pcg32);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Rng(Pcg32::seed_from_u64(seed))
    }
}

/// A random fleet of two or three servers in two zones with one or two classes, from nearly idle to overloaded.
pub fn random_fleet(rng: &mut Rng) -> Fleet {
    let rng = &mut rng.0;
    let servers: Vec<Server> = (0..rng.random_range(2..=3))
        .map(|_| Server {
            zone: rng.random_range(0..2),
            kind: rng.random_range(0..2),
            capacity: rng.random_range(20.0..200.0),
        })
        .collect();
    let whole: f64 = servers.iter().map(|server| server.capacity).sum();
    let classes: Vec<Class> = (0..rng.random_range(1..=2))
        .map(|_| Class {
            importance: [1.0, 2.0, 5.0][rng.random_range(0..3)],
            only_zones: if rng.random_range(0..4) == 0 { vec![rng.random_range(0..2)] } else { Vec::new() },
            only_kinds: if rng.random_range(0..6) == 0 { vec![rng.random_range(0..2)] } else { Vec::new() },
            home_only: rng.random_range(0..8) == 0,
        })
        .collect();
    let fill = rng.random_range(0.1..1.2) * whole;
    let mut parts: Vec<Vec<f64>> = vec![vec![0.0; classes.len()]; 2];
    // At most three streams of work, so that the search can cover all distributions.
    let streams = (2 * classes.len()).min(3);
    parts.iter_mut().flatten().take(streams).for_each(|part| *part = rng.random_range(0.1..1.0));
    let sum: f64 = parts.iter().flatten().sum();
    let demand = parts.iter().map(|row| row.iter().map(|part| part / sum * fill).collect()).collect();
    let (there, back) = (rng.random_range(0.0..2.0), rng.random_range(0.0..2.0));
    Fleet { zones: 2, classes, servers, demand, crossing: vec![vec![0.0, there], vec![back, 0.0]] }
}

/// All ways to distribute `steps` over `places`.
fn distributions(steps: usize, places: usize) -> Vec<Vec<usize>> {
    if places == 1 {
        return vec![vec![steps]];
    }
    let first = |mine: usize| {
        distributions(steps - mine, places - 1).into_iter().map(move |mut rest| {
            rest.insert(0, mine);
            rest
        })
    };
    (0..=steps).flat_map(first).collect()
}

/// The lowest cost of any distribution: a search of a grid, then ever smaller changes of the best one.
pub fn best_by_search(fleet: &Fleet) -> f64 {
    let streams: Vec<(usize, usize)> = (0..fleet.zones)
        .flat_map(|zone| (0..fleet.classes.len()).map(move |class| (zone, class)))
        .filter(|(zone, class)| fleet.demand[*zone][*class] > 0.0)
        .collect();
    // The last place stands for demand that is shed.
    let places = fleet.servers.len() + 1;
    let steps = if streams.len() <= 2 { 16 } else { 6 };
    let all = distributions(steps, places);
    let mut split = vec![vec![vec![0.0; fleet.servers.len()]; fleet.classes.len()]; fleet.zones];
    let set = |split: &mut Vec<Vec<Vec<f64>>>, (zone, class): (usize, usize), parts: &[f64]| {
        let demand = fleet.demand[zone][class];
        split[zone][class].iter_mut().zip(parts).for_each(|(rate, part)| *rate = demand * part);
    };
    let fits = |(zone, class): (usize, usize), parts: &Vec<usize>| {
        let is_allowed = |(place, mine): (usize, &usize)| {
            *mine == 0 || place == places - 1 || fleet.allows(zone, class, &fleet.servers[place])
        };
        parts.iter().enumerate().all(is_allowed)
    };
    let options: Vec<Vec<Vec<f64>>> = streams
        .iter()
        .map(|stream| {
            let parts = |parts: &Vec<usize>| parts.iter().map(|mine| *mine as f64 / steps as f64).collect();
            all.iter().filter(|parts| fits(*stream, parts)).map(parts).collect()
        })
        .collect();
    let mut best = (f64::INFINITY, Vec::new());
    let mut at = vec![0; streams.len()];
    'all: loop {
        for (place, stream) in streams.iter().enumerate() {
            set(&mut split, *stream, &options[place][at[place]]);
        }
        if let Some(cost) = fleet.cost_of(&split).map(|cost| cost.sum()) {
            if cost < best.0 {
                best = (cost, at.iter().enumerate().map(|(place, at)| options[place][*at].clone()).collect());
            }
        }
        for place in 0..streams.len() {
            at[place] += 1;
            if at[place] < options[place].len() {
                continue 'all;
            }
            at[place] = 0;
        }
        break;
    }
    // Local improvements: move a part of one stream from one place to another, alone or together with a move of another stream,
    // while that lowers the cost.
    let (mut least, mut parts): (f64, Vec<Vec<f64>>) = best;
    let mut step = 1.0 / steps as f64;
    while step > 1e-3 {
        let mut improved = true;
        while improved {
            improved = false;
            let moves: Vec<(usize, usize, usize)> = (0..streams.len())
                .flat_map(|k| (0..places).flat_map(move |from| (0..places).map(move |to| (k, from, to))))
                .filter(|(_, from, to)| from != to)
                .collect();
            let pairs = moves.iter().map(|one| (*one, None));
            let doubles = moves.iter().flat_map(|one| {
                moves.iter().filter(move |other| other.0 > one.0).map(move |other| (*one, Some(*other)))
            });
            for (one, other) in pairs.chain(doubles) {
                let mut tried = parts.clone();
                let mut is_feasible = true;
                // Both moves shift the same amount of work, by the smaller of the two streams.
                let amount = |k: usize| fleet.demand[streams[k].0][streams[k].1];
                let work = other.map_or(amount(one.0), |other| amount(one.0).min(amount(other.0))) * step;
                for (k, from, to) in [Some(one), other].into_iter().flatten() {
                    let part = work / amount(k);
                    let (zone, class) = streams[k];
                    is_feasible &= tried[k][from] >= part - 1e-12;
                    is_feasible &= to == places - 1 || fleet.allows(zone, class, &fleet.servers[to]);
                    tried[k][from] = (tried[k][from] - part).max(0.0);
                    tried[k][to] += part;
                }
                if !is_feasible {
                    continue;
                }
                for (place, stream) in streams.iter().enumerate() {
                    set(&mut split, *stream, &tried[place]);
                }
                if let Some(cost) = fleet.cost_of(&split).map(|cost| cost.sum()) {
                    if cost < least - 1e-9 {
                        (least, parts, improved) = (cost, tried, true);
                    }
                }
            }
        }
        step /= 2.0;
    }
    least
}
