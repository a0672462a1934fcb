//! Searches for runs in which a rule is broken, or service falls furthest below the upper bound, and shrinks
//! the script found to the smallest one that still reproduces it.

use craneknot::interface::Nanos;
use craneknot_rehearsal::script::{Trouble, TroubleKind};
use craneknot_rehearsal::{Report, Script};
use craneknot_settings::Span;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use rayon::prelude::*;

use crate::bound;
use crate::world::{self, RunOptions};

const FAULT_KINDS: [TroubleKind; 22] = [
    TroubleKind::Burst,
    TroubleKind::Deploy,
    TroubleKind::FastErrors,
    TroubleKind::Hang,
    TroubleKind::Slow,
    TroubleKind::AnswersLost,
    TroubleKind::Crash,
    TroubleKind::Silent,
    TroubleKind::Flapping,
    TroubleKind::RosterDown,
    TroubleKind::StreamBreak,
    TroubleKind::Unreachable,
    TroubleKind::ProxyKilled,
    TroubleKind::CoordinatorKilled,
    TroubleKind::AgentKilled,
    TroubleKind::ProxyStall,
    TroubleKind::CoordinatorStall,
    TroubleKind::ZoneLost,
    TroubleKind::MassRestart,
    TroubleKind::Preempt,
    TroubleKind::OneSided,
    TroubleKind::Growth,
];
const MAX_FAULTS: usize = 6; // more faults in one run are unrealistic
const BATCH: usize = 16; // runs played in parallel
const SERVICE_TOLERANCE: f64 = 0.02; // by which a smaller script's service gap may be less and count as equal

/// The worst run that was found.
pub struct Found {
    pub script: Script,
    pub report: Report,
    pub severity: Severity,
    /// Number of runs played, including those for shrinking.
    pub runs_played: usize,
}

/// The severity of a run: first whether a rule was broken, then how far service is below the upper bound.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Severity {
    pub rule_broken: bool,
    pub service_gap: f64,
}

/// A script with the result of its run.
#[derive(Clone, Debug)]
struct PlayedRun {
    script: Script,
    report: Report,
    severity: Severity,
}

impl PlayedRun {
    fn play(script: Script) -> Self {
        let played = world::play_with_options(&script, RunOptions::default());
        let upper_bound = bound::max_service(&script, played.begin, &played.asked).unwrap_or(1.0);
        let service_gap = upper_bound - played.report.service.service;
        let severity = Severity { rule_broken: !played.report.passed(), service_gap };
        PlayedRun { script, report: played.report, severity }
    }
}

fn draw_script(base: &Script, rng: &mut Pcg32) -> Script {
    let length = base.length.0 .0;
    let fault = |rng: &mut Pcg32| {
        let kind = FAULT_KINDS.choose(rng).copied().unwrap_or(TroubleKind::Crash);
        let span = rng.random_range(length / 20..length / 3);
        let at = rng.random_range(length / 20..length - span);
        let zone = (kind == TroubleKind::ZoneLost || rng.random_range(0..4) == 0)
            .then(|| base.zones.choose(rng).cloned())
            .flatten();
        Trouble {
            kind,
            at: Span(Nanos(at)),
            length: Span(Nanos(span)),
            part: rng.random_range(0.1..0.7),
            strength: None,
            zone,
            server_kind: None,
            unlisted: rng.random_range(0..3) == 0,
        }
    };
    let count = rng.random_range(1..=MAX_FAULTS);
    Script {
        troubles: (0..count).map(|_| fault(rng)).collect(),
        seed: rng.random_range(0..1 << 32),
        ..base.clone()
    }
}

/// Plays `budget` runs drawn from the base's seed, and returns the worst one, shrunk.
pub fn search(base: &Script, budget: usize, mut progress: impl FnMut(usize, &Report)) -> Found {
    let mut rng = Pcg32::seed_from_u64(base.seed);
    let mut worst: Option<PlayedRun> = None;
    let mut played = 0;
    while played < budget.max(1) {
        let scripts: Vec<Script> =
            (played..budget.max(1)).take(BATCH).map(|_| draw_script(base, &mut rng)).collect();
        for run in scripts.into_par_iter().map(PlayedRun::play).collect::<Vec<PlayedRun>>() {
            progress(played, &run.report);
            played += 1;
            if worst.as_ref().is_none_or(|known| run.severity > known.severity) {
                worst = Some(run);
            }
        }
    }
    let mut worst = worst.unwrap_or_else(|| PlayedRun::play(base.clone()));
    // Removes one fault at a time, as long as the result can still be reproduced.
    let mut fault_index = 0;
    while fault_index < worst.script.troubles.len() && worst.script.troubles.len() > 1 {
        let mut smaller = worst.script.clone();
        smaller.troubles.remove(fault_index);
        let reduced = PlayedRun::play(smaller);
        played += 1;
        let still_shows = match worst.severity.rule_broken {
            true => reduced.severity.rule_broken,
            false => reduced.severity.service_gap >= worst.severity.service_gap - SERVICE_TOLERANCE,
        };
        if still_shows {
            worst = reduced;
        } else {
            fault_index += 1;
        }
    }
    let PlayedRun { script, report, severity } = worst;
    Found { script, report, severity, runs_played: played }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_search_is_deterministic_and_its_script_reproduces_the_result() {
        let base =
            Script { length: Span::millis(8_000), troubles: Vec::new(), ..Script::built_in().unwrap() };
        let (first, second) = (search(&base, 12, |_, _| {}), search(&base, 12, |_, _| {}));
        assert_eq!((&first.script, first.runs_played), (&second.script, second.runs_played));
        let replayed = world::play(&first.script);
        assert_eq!(replayed.lines(), first.report.lines());
        let undisturbed = world::play(&base);
        assert!(replayed.service.service < undisturbed.service.service, "{}", replayed.lines());
    }
}
