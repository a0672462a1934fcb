//! Compares true, rough, equal and solver-found weights as the fleet grows; prints the table of
//! `docs/design/weight-solver.md`.
//!
//!     cargo run --release -p craneknot-model --example weights            # 10 to 100 servers, three seeds
//!     cargo run --release -p craneknot-model --example weights -- large   # 1,000 servers, one seed

use craneknot_model::bound;
use craneknot_model::world::{play_with_options, RunOptions};
use craneknot_rehearsal::script::{ProxyGroup, ServerGroup, Trouble, TroubleKind, Weights};
use craneknot_rehearsal::Script;
use craneknot_settings::{SolverSettings, Span};
use rayon::prelude::*;

/// Three server models in two zones, loaded to the given share of their capacity, a twelfth of them at half
/// speed for a while.
fn fleet(servers: u16, fill: f64, weights: Weights, solver: bool, seed: u64) -> Script {
    let mut script = Script::built_in().expect("the built-in script is valid");
    (script.seed, script.length) = (seed, Span::millis(40_000));
    let group = |zone: &str, kind: &str, cores, speed, part: f64| ServerGroup {
        count: ((f64::from(servers) / 2.0 * part).round() as u16).max(1),
        zone: zone.to_owned(),
        kind: kind.to_owned(),
        cores,
        speed,
        queue: 80,
        connections: 400,
    };
    let models = [("small", 1, 1.2, 0.4), ("mid", 2, 1.5, 0.4), ("large", 4, 1.5, 0.2)];
    let zones = ["east", "west"];
    script.servers = zones
        .iter()
        .flat_map(|zone| {
            models.iter().map(|(kind, cores, speed, part)| group(zone, kind, *cores, *speed, *part))
        })
        .collect();
    let count = (servers / 2).max(2);
    script.proxies = zones.iter().map(|zone| ProxyGroup { count, zone: (*zone).to_owned() }).collect();
    let capacity: f64 =
        script.servers.iter().map(|g| f64::from(g.count) * f64::from(g.cores) * g.speed).sum();
    script.clients.rate = fill * capacity / 0.02;
    script.channel.lines_per_second = 4_000f64.max(f64::from(servers) * 60.0);
    script.channel.lines_limit = 2.0 * script.channel.lines_per_second;
    script.troubles = vec![Trouble {
        kind: TroubleKind::Slow,
        at: Span::millis(15_000),
        length: Span::millis(15_000),
        part: 0.08,
        strength: Some(2.0),
        zone: None,
        server_kind: None,
        unlisted: false,
    }];
    (script.weights, script.solver) = (weights, solver.then(SolverSettings::default));
    script
}

fn main() {
    let large = std::env::args().nth(1).is_some_and(|word| word == "large");
    let sizes: &[(u16, f64)] =
        if large { &[(1_000, 0.7)] } else { &[(10, 0.7), (30, 0.7), (100, 0.45), (100, 0.7)] };
    let seeds = if large { 1 } else { 3 };
    println!("servers fill weights | service, p99 ms, crossed %, lines/s (mean of {seeds} seeds; bound)");
    for (servers, fill) in sizes.iter().copied() {
        for (name, weights, solver) in [
            ("true", Weights::True, false),
            ("rough", Weights::Rough, false),
            ("alike", Weights::Equal, false),
            ("found, true", Weights::True, true),
            ("found, rough", Weights::Rough, true),
            ("found, alike", Weights::Equal, true),
        ] {
            let one = |seed: u64| {
                let script = fleet(servers, fill, weights, solver, seed);
                let played = play_with_options(&script, RunOptions::default());
                let bound = match servers {
                    0..=100 => bound::max_service(&script, played.begin, &played.asked).unwrap_or(f64::NAN),
                    _ => f64::NAN,
                };
                let service = &played.report.service;
                let lines: f64 =
                    played.report.status.iter().filter_map(|status| status.get("lines")?.as_f64()).sum();
                let crossed = 100.0 * service.crossed as f64 / service.sent.max(1) as f64;
                let broken = if played.report.passed() { 0.0 } else { 1.0 };
                [service.service, service.latency_p99_ms, crossed, lines / 40.0, bound, broken]
            };
            let all: Vec<[f64; 6]> = (1..=seeds).into_par_iter().map(one).collect();
            let mean = |place: usize| all.iter().map(|one| one[place]).sum::<f64>() / all.len() as f64;
            println!(
                "{servers:>7} {fill:.2} {name:<13} | {:.4}, {:.0}, {:.1}, {:.0}; {:.4}{}",
                mean(0),
                mean(1),
                mean(2),
                mean(3),
                mean(4),
                if mean(5) > 0.0 { " A RULE WAS BROKEN" } else { "" }
            );
        }
    }
}
