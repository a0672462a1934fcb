//! Figures of the fleet in simulated time: the cost of membership and consensus by the number of members, the time without
//! an owner after kills, and changes of view without a death. `cargo run --release -p craneknot-fleet --example
//! fleet_figures`

#[allow(dead_code)]
#[path = "../tests/world/mod.rs"]
mod world;

use craneknot::interface::Nanos;
use world::{Defect, World, PROXIES};

fn millis(span: Nanos) -> f64 {
    span.secs() * 1e3
}

fn await_owners(world: &mut World) {
    world.run_until("all proxies owned", Nanos::from_millis(60_000), |world| world.owned() == PROXIES);
}

fn main() {
    println!("lease 400 ms, heartbeat 50 ms, election 250 to 500 ms, SWIM period 100 ms, clocks within 2%");
    for count in [3, 5, 9, 100] {
        let mut world = World::new(count, 1, Defect::None);
        world.calm = true;
        await_owners(&mut world);
        let (messages, bytes, begin) = (world.messages, world.bytes, world.now);
        let span = Nanos::from_millis(if count > 9 { 2_000 } else { 20_000 });
        while world.now - begin < span {
            world.step();
        }
        let each = |sum: u64| sum as f64 / (world.now - begin).secs() / count as f64;
        println!(
            "{count:>3} idle members: {:>6.1} datagrams and {:>8.0} bytes per second and member",
            each(world.messages - messages),
            each(world.bytes - bytes)
        );
    }
    for count in [3, 5, 9] {
        let mut gaps = Vec::new();
        for seed in 0..40 {
            let mut world = World::new(count, seed, Defect::None);
            world.calm = true;
            await_owners(&mut world);
            world.gaps.clear();
            for round in 0..5 {
                let dead =
                    world.leader().filter(|_| round % 2 == 0).unwrap_or((round + seed as usize) % count);
                world.kill(dead);
                let begin = world.now;
                while world.now - begin < Nanos::from_millis(3_000) {
                    world.step();
                }
                world.start(dead);
                let begin = world.now;
                while world.now - begin < Nanos::from_millis(3_000) {
                    world.step();
                }
                await_owners(&mut world);
            }
            gaps.extend(world.gaps);
        }
        gaps.sort();
        let at = |part: f64| millis(gaps[((gaps.len() - 1) as f64 * part) as usize]);
        println!(
            "{count:>3} members, 200 kills and returns: {} times without an owner of a proxy; p50 {:.0} ms, p99 {:.0} ms, longest {:.0} ms",
            gaps.len(),
            at(0.5),
            at(0.99),
            at(1.0)
        );
    }
    for loss in [0.0, 0.05, 0.2] {
        let (mut hours, mut changes) = (0.0, 0);
        for seed in 0..4 {
            let mut world = World::new(5, seed, Defect::None);
            world.calm = true;
            await_owners(&mut world);
            world.set_loss(loss);
            let (begin, first) = (world.now, world.newest_epoch());
            while world.now - begin < Nanos::from_millis(900_000) {
                world.step();
                // One member pauses for half a second, twice a minute.
                world.pause_sometimes(Nanos::from_millis(500), Nanos::from_millis(30_000));
            }
            hours += (world.now - begin).secs() / 3_600.0;
            changes += world.newest_epoch() - first;
        }
        println!(
            "  5 members, {:.0}% of datagrams lost, one paused for 0.5 s twice a minute: {:.1} views an hour without a death",
            loss * 100.0,
            changes as f64 / hours
        );
    }
}
