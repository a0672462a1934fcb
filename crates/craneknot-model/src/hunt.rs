//! Looks for days on which a rule breaks, or service falls furthest, and shrinks what it finds to the smallest script that
//! still shows it.

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

const KINDS: [TroubleKind; 22] = [
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
const TROUBLES_MOST: usize = 6; // at once on one day: more is no one's day
const BATCH: usize = 16; // days played at once
const SAME: f64 = 0.02; // service by which a smaller script may differ and still show the same

/// What was found.
pub struct Found {
    pub script: Script,
    pub report: Report,
    pub severity: Badness,
    /// Days played, those of shrinking included.
    pub runs_played: usize,
}

/// How bad a day is: broken rules before all else, then how far service stays behind the bound.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Badness {
    pub broken: bool,
    pub service_gap: f64,
}

/// A day that was played.
#[derive(Clone, Debug)]
struct Day {
    script: Script,
    report: Report,
    severity: Badness,
}

impl Day {
    fn play(script: Script) -> Self {
        let played = world::play_with_options(&script, RunOptions::default());
        let most = bound::service(&script, played.begin, &played.asked).unwrap_or(1.0);
        let service_gap = most - played.report.service.service;
        let severity = Badness { broken: !played.report.passed(), service_gap };
        Day { script, report: played.report, severity }
    }
}

fn draw(base: &Script, rng: &mut Pcg32) -> Script {
    let length = base.length.0 .0;
    let trouble = |rng: &mut Pcg32| {
        let kind = KINDS.choose(rng).copied().unwrap_or(TroubleKind::Crash);
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
    let count = rng.random_range(1..=TROUBLES_MOST);
    Script {
        troubles: (0..count).map(|_| trouble(rng)).collect(),
        seed: rng.random_range(0..1 << 32),
        ..base.clone()
    }
}

/// Plays `budget` days drawn from the base's seed; the worst, shrunk.
pub fn search(base: &Script, budget: usize, mut progress: impl FnMut(usize, &Report)) -> Found {
    let mut rng = Pcg32::seed_from_u64(base.seed);
    let mut worst: Option<Day> = None;
    let mut played = 0;
    while played < budget.max(1) {
        let scripts: Vec<Script> =
            (played..budget.max(1)).take(BATCH).map(|_| draw(base, &mut rng)).collect();
        for day in scripts.into_par_iter().map(Day::play).collect::<Vec<Day>>() {
            progress(played, &day.report);
            played += 1;
            if worst.as_ref().is_none_or(|held| day.severity > held.severity) {
                worst = Some(day);
            }
        }
    }
    let mut worst = worst.unwrap_or_else(|| Day::play(base.clone()));
    // One trouble less, as long as it still shows.
    let mut place = 0;
    while place < worst.script.troubles.len() && worst.script.troubles.len() > 1 {
        let mut smaller = worst.script.clone();
        smaller.troubles.remove(place);
        let tried = Day::play(smaller);
        played += 1;
        let same = match worst.severity.broken {
            true => tried.severity.broken,
            false => tried.severity.service_gap >= worst.severity.service_gap - SAME,
        };
        if same {
            worst = tried;
        } else {
            place += 1;
        }
    }
    let Day { script, report, severity } = worst;
    Found { script, report, severity, runs_played: played }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_hunt_is_the_same_for_a_seed_and_its_script_shows_what_it_says() {
        let base =
            Script { length: Span::millis(8_000), troubles: Vec::new(), ..Script::built_in().unwrap() };
        let (one, two) = (search(&base, 12, |_, _| {}), search(&base, 12, |_, _| {}));
        assert_eq!((&one.script, one.runs_played), (&two.script, two.runs_played));
        let again = world::play(&one.script);
        assert_eq!(again.lines(), one.report.lines());
        let calm = world::play(&base);
        assert!(again.service.service < calm.service.service, "{}", again.lines());
    }
}
