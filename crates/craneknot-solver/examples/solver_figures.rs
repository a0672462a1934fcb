//! The figures of `docs/design/weight-solver.md`: how far plans are from the best distribution, how long solving takes, the
//! error of estimates after a start, a halving and false load reports, and how often intervals contain the capacity.
//!
//!     cargo run --release -p craneknot-solver --example solver_figures

#[path = "../tests/queue/mod.rs"]
mod queue;
#[path = "../tests/small/mod.rs"]
mod small;

use std::sync::Arc;
use std::time::Instant;

use craneknot::interface::{KindId, Nanos, ServerId};
use craneknot_solver::estimate::{Estimator, ListedServer, WarmUp};
use craneknot_solver::plan::{Class, Fleet, Server};
use queue::{Queue, PERIOD};
use rand::{Rng as _, SeedableRng};
use rand_pcg::Pcg32;

fn quantile(sorted: &[f64], share: f64) -> f64 {
    sorted.get(((sorted.len() as f64 - 1.0) * share) as usize).copied().unwrap_or(0.0)
}

fn gaps(fleets: u64) {
    let mut all: Vec<f64> = Vec::new();
    let mut shed = 0;
    for seed in 0..fleets {
        let fleet = small::random_fleet(&mut small::Rng::new(1_000 + seed));
        let Some(plan) = fleet.solve() else { continue };
        shed += usize::from(plan.cost.shed > 0.0);
        all.push(plan.cost.sum() / small::best_by_search(&fleet) - 1.0);
    }
    all.sort_by(f64::total_cmp);
    println!(
        "plan's cost over the best by search, {} fleets ({shed} of them shed): minimum {:+.4}, median {:+.4}, p99 {:+.4}, maximum {:+.4}",
        all.len(),
        quantile(&all, 0.0),
        quantile(&all, 0.5),
        quantile(&all, 0.99),
        quantile(&all, 1.0)
    );
}

fn large_fleet(servers: usize, zones: usize, rng: &mut Pcg32) -> Fleet {
    let classes = (0..6)
        .map(|class| Class {
            importance: 1.0 + class as f64,
            only_zones: if class == 5 { vec![0] } else { Vec::new() },
            only_kinds: if class == 4 { vec![0, 1] } else { Vec::new() },
            home_only: class == 3,
        })
        .collect();
    let servers: Vec<Server> = (0..servers)
        .map(|place| Server {
            zone: place % zones,
            kind: rng.random_range(0..4),
            capacity: rng.random_range(20.0..200.0),
        })
        .collect();
    let whole: f64 = servers.iter().map(|server| server.capacity).sum();
    let demand = (0..zones)
        .map(|_| (0..6).map(|_| rng.random_range(0.02..0.2) * whole / zones as f64).collect())
        .collect();
    let crossing = (0..zones)
        .map(|a| (0..zones).map(|b| if a == b { 0.0 } else { rng.random_range(0.1..0.6) }).collect());
    Fleet { zones, classes, servers, demand, crossing: crossing.collect() }
}

fn times() {
    println!("servers zones | solving: median ms, p99 ms (50 fleets each)");
    let mut rng = Pcg32::seed_from_u64(5);
    for (servers, zones) in [(10, 2), (100, 2), (100, 5), (1_000, 2), (1_000, 5), (1_000, 10), (10_000, 5)] {
        let mut all: Vec<f64> = (0..50)
            .filter_map(|_| {
                let fleet = large_fleet(servers, zones, &mut rng);
                let begun = Instant::now();
                fleet.solve()?;
                Some(begun.elapsed().as_secs_f64() * 1e3)
            })
            .collect();
        all.sort_by(f64::total_cmp);
        println!("{servers:>7} {zones:>5} | {:.2}, {:.2}", quantile(&all, 0.5), quantile(&all, 0.99));
    }
}

/// Errors of the estimates of many servers by time after `change` was applied to them.
fn errors(title: &str, warm: f64, change: impl Fn(&mut Queue), truth: impl Fn(&Queue) -> f64) {
    let warm_up = WarmUp { cold_share: 0.2, warm_after: Nanos::from_millis(8_000) };
    let mut by_time: Vec<Vec<(f64, bool)>> = vec![Vec::new(); 41];
    for seed in 0..60u64 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut queues = [Queue::new(1, 1.5), Queue::new(2, 1.0), Queue::new(4, 0.8), Queue::new(8, 2.0)];
        let rates: Vec<f64> = queues.iter().map(|queue| 0.45 * queue.capacity()).collect();
        let mut estimator = Estimator::new(warm_up);
        let id = |number: usize| ServerId(Arc::from(format!("s{number}").as_str()));
        for number in 0..queues.len() {
            estimator.insert(
                Nanos(0),
                &id(number),
                ListedServer { kind: KindId(number as u16), weight: 1.0, started: None },
            );
        }
        let mut at = 0.0;
        let mut changed = warm <= 0.0;
        if changed {
            queues.iter_mut().for_each(&change);
        }
        while at < warm + 20.0 {
            if !changed && at >= warm {
                queues.iter_mut().for_each(&change);
                changed = true;
            }
            for (number, queue) in queues.iter_mut().enumerate() {
                if let Some(report) = queue.run_period(at, rates[number], &mut rng) {
                    estimator.record(Nanos::from_secs(at + PERIOD), &id(number), &report);
                }
            }
            at += PERIOD;
            let now = Nanos::from_secs(at);
            estimator.observe(now);
            if at > warm {
                for (number, queue) in queues.iter().enumerate() {
                    let Some(found) = estimator.capacity(now, &id(number)) else { continue };
                    let (low, high) = found.interval();
                    let truth = truth(queue);
                    let useful = found.median * (1.0 - found.loss);
                    let slot = ((at - warm) / PERIOD) as usize;
                    by_time[slot.min(40)].push((
                        (useful / truth).ln().abs(),
                        (low..=high).contains(&(truth / (1.0 - found.loss))),
                    ));
                }
            }
        }
    }
    print!("{title}: median error (p90), intervals that contain the capacity:");
    for slot in [2, 4, 6, 10, 20, 40] {
        let mut errors: Vec<f64> = by_time[slot].iter().map(|one| one.0).collect();
        errors.sort_by(f64::total_cmp);
        let inside = by_time[slot].iter().filter(|one| one.1).count() as f64 / errors.len().max(1) as f64;
        print!(
            " {} s {:.2} ({:.2}) {:.0}%;",
            slot as f64 * PERIOD,
            quantile(&errors, 0.5),
            quantile(&errors, 0.9),
            inside * 100.0
        );
    }
    println!();
}

fn main() {
    // With an argument, only the errors are printed.
    if std::env::args().nth(1).is_none() {
        gaps(500);
        times();
    }
    errors("after a start", 0.0, |_| {}, Queue::capacity);
    errors("after a halving", 20.0, |queue| queue.speed /= 2.0, Queue::capacity);
    errors("a third of the answers lost", 20.0, |queue| queue.loss = 0.33, |queue| queue.capacity() * 0.67);
    errors(
        "slowed to a third with false load reports",
        20.0,
        |queue| (queue.reports_idle, queue.speed) = (true, queue.speed / 3.0),
        Queue::capacity,
    );
}
