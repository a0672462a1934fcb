//! The faults of the incident scenario: a continuous in-place release, one coordinator killed, a zone lost with a
//! second while the third is absent too, all proxies at the first, and its planned restart.

use std::ops::Range;

use rand::Rng;
use rand_pcg::Pcg32;

use super::{
    restart, Fault, ListChange, Neighbour, NetworkFault, Planned, ZoneRestart, SERVERS_PER_STEP_BOUND,
};
use crate::soak::fleet::ONLY_ZONE;

const RELEASE_STEP_MS: Range<u64> = 610..640; // between two steps of the release
const MOVED_AFTER_MS: u64 = 400; // after the loss, all proxies are at the first coordinator
const MOVED_BEFORE_MS: u64 = 550; // before its planned restart, its proxies move to another
const BACK_AFTER_KILL_MS: u64 = 500;
const WAVE_PAUSE_MS: Range<u64> = 100..700; // between two waves of a zone's restart
const ABSENT_BEFORE_LOSS_MS: u64 = 500; // at most; how early the third coordinator is absent

/// Draws these faults. The first node is one whose wall clock can be stepped. Draws from `extra_rng` leave those from
/// `rng` unchanged.
pub(super) fn draw(
    rng: &mut Pcg32,
    extra_rng: &mut Pcg32,
    nodes: usize,
    servers: usize,
    span: Range<u64>,
) -> Vec<Planned> {
    let (begin, end) = (span.start, span.end);
    let first = 1;
    let second = (first + 1 + rng.random_range(0..nodes.max(3) - 2)) % nodes.max(1);
    let at = |hundredths: u64| begin + (end - begin) * hundredths / 100;
    let (killed, lost, back, restarted) = (at(35), at(60), at(80), at(85));
    let lose_zone = Fault::LoseZone { zone: rng.random_range(0..2), millis: back - lost };
    let mut planned = vec![
        Planned { at: killed, node: first, fault: Fault::Kill { back_after: BACK_AFTER_KILL_MS } },
        Planned { at: lost, node: second, fault: lose_zone },
        Planned { at: lost + MOVED_AFTER_MS, node: first, fault: Fault::MoveAll },
        Planned { at: restarted, node: first, fault: Fault::Terminate { again: None, crowd: 0 } },
    ];
    if rng.random_bool(0.5) {
        let seconds = if rng.random_bool(0.5) { 3_600 } else { -3_600 };
        planned.push(Planned { at: killed - 200, node: first, fault: Fault::StepClock { seconds } });
    }
    planned.extend(release(extra_rng, servers, span));
    if let Some(third) = (0..nodes).find(|node| *node != first && *node != second) {
        planned.push(absence(extra_rng, third, lost, back));
    }
    if extra_rng.random_bool(0.5) {
        planned.push(Planned { at: restarted - MOVED_BEFORE_MS, node: second, fault: Fault::MoveAll });
    }
    // Before and during the absence of the first coordinator, soon after its start, and when it gets all proxies.
    let times = [begin, killed - 300, killed + BACK_AFTER_KILL_MS, lost + MOVED_AFTER_MS];
    let at = times[extra_rng.random_range(0..times.len())];
    planned.push(Planned { at, node: first, fault: Fault::List(restart_zone(extra_rng)) });
    planned
}

/// Restarts the only zone of a class: at once, all but one of its servers, or in waves.
fn restart_zone(rng: &mut Pcg32) -> ListChange {
    let at_once = ZoneRestart { zone: ONLY_ZONE, spared: 0, wave: usize::MAX, pause: 0 };
    ListChange::RestartZone(match rng.random_range(0..4) {
        0 | 1 => at_once,
        2 => ZoneRestart { spared: 1, ..at_once },
        _ => ZoneRestart { wave: rng.random_range(1..4), pause: rng.random_range(WAVE_PAUSE_MS), ..at_once },
    })
}

/// Servers restart in place one after another; some steps restart several, others none.
fn release(rng: &mut Pcg32, servers: usize, span: Range<u64>) -> Vec<Planned> {
    let (mut at, mut first, mut planned) = (span.start, 0, Vec::new());
    while at < span.end {
        let count = rng.random_range(0..SERVERS_PER_STEP_BOUND);
        if count > 0 && rng.random_bool(0.5) {
            let fault = Fault::List(ListChange::Restart(restart(rng, first, count)));
            planned.push(Planned { at, node: 0, fault });
            first = (first + count) % servers;
        }
        at += rng.random_range(RELEASE_STEP_MS);
    }
    planned
}

/// A node is absent while a zone is lost: killed, stopped, or cut off from the network.
fn absence(rng: &mut Pcg32, node: usize, lost: u64, back: u64) -> Planned {
    let at = lost - rng.random_range(0..ABSENT_BEFORE_LOSS_MS);
    let millis = back - at;
    let fault = match rng.random_range(0..3) {
        0 => Fault::Kill { back_after: millis },
        1 => Fault::Pause { millis },
        _ => Fault::Network { of: Neighbour::Both, fault: NetworkFault::Stall, millis },
    };
    Planned { at, node, fault }
}
