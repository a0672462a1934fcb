//! Replications, and means with their error bars.

use craneknot_rehearsal::{Report, Script};
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::world;

/// A mean and the half-width of its 95% interval (Student's t).
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Estimate {
    pub mean: f64,
    pub half_width: f64,
    pub runs: usize,
}

impl Estimate {
    pub fn of(values: &[f64]) -> Self {
        let runs = values.len();
        let mean = values.iter().sum::<f64>() / runs.max(1) as f64;
        if runs < 2 {
            return Estimate { mean, half_width: f64::INFINITY, runs };
        }
        let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (runs - 1) as f64;
        let freedom = (runs - 1) as f64;
        let t = StudentsT::new(0.0, 1.0, freedom).map_or(f64::INFINITY, |t| t.inverse_cdf(0.975));
        Estimate { mean, half_width: t * (variance / runs as f64).sqrt(), runs }
    }
}

/// What is asked of an experiment.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    pub least: usize,
    pub most: usize,
    /// Enough once the interval's half-width of the service is no more than this.
    pub narrow: f64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub script: String,
    pub version: String,
    pub first_seed: u64,
    pub service: Estimate,
    pub worst_window: Estimate,
    pub p99_ms: Estimate,
    /// Runs in which a rule was broken, with the first evidence.
    pub broken: Vec<(u64, String)>,
}

/// Plays the script with one seed after another until the bars are narrow enough.
pub fn run(script: &Script, asked: Asked, mut progress: impl FnMut(u64, &Report)) -> Outcome {
    let mut reports: Vec<Report> = Vec::new();
    let values = |reports: &[Report], of: fn(&Report) -> f64| reports.iter().map(of).collect::<Vec<f64>>();
    loop {
        let seed = script.seed.wrapping_add(reports.len() as u64);
        let report = world::play(&Script { seed, ..script.clone() });
        progress(seed, &report);
        reports.push(report);
        let service = Estimate::of(&values(&reports, |report| report.service.service));
        let enough = reports.len() >= asked.least && service.half_width <= asked.narrow;
        if enough || reports.len() >= asked.most.max(1) {
            let first = |report: &Report| report.rules.values().find_map(|verdict| verdict.first.clone());
            return Outcome {
                script: script.name.clone(),
                version: env!("CARGO_PKG_VERSION").to_owned(),
                first_seed: script.seed,
                service,
                worst_window: Estimate::of(&values(&reports, |report| report.service.worst_window)),
                p99_ms: Estimate::of(&values(&reports, |report| report.service.latency_p99_ms)),
                broken: reports.iter().filter_map(|report| Some((report.seed, first(report)?))).collect(),
            };
        }
    }
}

/// The difference of two scripts on common random numbers: seed by seed, the second less the first.
pub fn compare(one: &Script, other: &Script, runs: usize) -> Estimate {
    let play = |script: &Script, k: usize| {
        let seed = one.seed.wrapping_add(k as u64);
        world::play(&Script { seed, ..script.clone() }).service.service
    };
    Estimate::of(&(0..runs).map(|k| play(other, k) - play(one, k)).collect::<Vec<f64>>())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn intervals_hold_the_mean_as_often_as_they_say() {
        use rand::{Rng, SeedableRng};
        let mut rng = rand_pcg::Pcg32::seed_from_u64(9);
        let holds = (0..2_000).filter(|_| {
            let values: Vec<f64> =
                (0..8).map(|_| (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0).collect();
            let estimate = Estimate::of(&values);
            estimate.mean.abs() <= estimate.half_width
        });
        let share = holds.count() as f64 / 2_000.0;
        assert!((0.93..0.97).contains(&share), "{share}");
    }
}
