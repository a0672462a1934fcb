//! Speed of the simulation and its growth with the fleet, as wall time on one core: only ratios are
//! comparable between machines.
//!
//!     cargo run --release -p craneknot-model --example speed

use std::time::Instant;

use craneknot_model::world::{play_with_options, RunOptions};
use craneknot_rehearsal::Script;
use craneknot_settings::Span;

/// The built-in fleet with the given numbers of proxies and servers and rate of operations, with work such
/// that servers are at most 55% busy.
fn scaled(proxies: u16, servers: u16, rate: f64, seconds: u64) -> Script {
    let mut script = Script::built_in().expect("the built-in script is valid");
    script.length = Span::millis(seconds * 1_000);
    script.troubles.clear();
    let (groups, shares) = (script.servers.len() as u16, script.proxies.len() as u16);
    script.servers.iter_mut().for_each(|group| group.count = (servers / groups).max(1));
    script.proxies.iter_mut().for_each(|group| group.count = (proxies / shares).max(1));
    script.clients.rate = rate;
    let cores: f64 = script.servers.iter().map(|g| f64::from(g.count) * f64::from(g.cores) * g.speed).sum();
    let work = Span::millis((0.55 * cores / rate * 1e3 * 0.5) as u64).max(Span::millis(1));
    script.clients.demand.iter_mut().for_each(|demand| demand.work = work);
    // The channel grows with the fleet; otherwise only the first assignment would be measured.
    script.channel.lines_per_second = script.channel.lines_per_second.max(f64::from(proxies) * 60.0);
    script.channel.lines_limit = script.channel.lines_limit.max(f64::from(proxies) * 120.0);
    script
}

fn main() {
    println!("proxies servers rate/s seconds | wall s, operations/s, wall us per operation | coordinator steps, lines/s, service");
    for (proxies, servers, rate, seconds) in [
        (100, 20, 500.0, 20),
        (100, 100, 2_000.0, 20),
        (740, 600, 2_000.0, 180),
        (1_000, 100, 2_000.0, 20),
        (1_000, 500, 5_000.0, 20),
        (10_000, 500, 5_000.0, 20),
    ] {
        let script = scaled(proxies, servers, rate, seconds);
        let begin = Instant::now();
        let played = play_with_options(&script, RunOptions::default());
        let wall = begin.elapsed().as_secs_f64();
        let asked = played.report.service.asked as f64;
        let figure = |name: &str| -> f64 {
            played.report.status.iter().filter_map(|status| status.get(name)?.as_f64()).sum()
        };
        println!(
            "{proxies:>7} {servers:>7} {rate:>6} {seconds:>7} | {wall:.2}, {:.0}, {:.1} | {}, {:.0}, {:.3}{}",
            asked / wall,
            wall / asked * 1e6,
            figure("steps"),
            figure("lines") / seconds as f64,
            played.report.service.service,
            if played.report.passed() { "" } else { " A RULE WAS BROKEN" },
        );
    }
}
