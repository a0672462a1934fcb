//! The script of a trial's day, drawn from a seed: the same seed gives the same script.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use super::deployment::{confined_zone, LOST_ZONE};
use super::overlay::Overlay;
use super::release::{self, ServerChange};

/// Length of the day of the incident; with another length, its times are scaled.
pub const INCIDENT_LENGTH: Duration = Duration::from_secs(63);

const BACK_AFTER_MS: u64 = 500; // from the end of a process to the start of the next, regardless of the scale
const KILL_AFTER_TERM_MS: u64 = 700; // the earliest that the platform sends SIGKILL
const MOVE_WITHIN_MS: u64 = 1_400; // within which proxies move to a coordinator that has returned

/// The coordinator that is absent while another one returns.
pub const ABSENT: usize = 0;
/// The coordinator that is killed together with the loss of a zone.
pub const LOST_WITH_ZONE: usize = 1;
/// The coordinator that is killed first, gets all proxies, and undergoes the planned restart.
pub const LOADED: usize = 2;

/// The way in which a coordinator is absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    Killed,
    Stopped,
    Silent,
}

/// One step of the day.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Sends SIGKILL to a coordinator.
    Kill(usize),
    /// Starts a new process of a coordinator.
    Start(usize),
    /// Sends SIGTERM; SIGKILL and the start of a new process follow after the given milliseconds.
    Restart { coordinator: usize, kill_after: u64, back_after: u64 },
    /// A coordinator is killed, stopped or disconnected.
    Leave(usize, Absence),
    /// The coordinator returns from its absence.
    Return(usize, Absence),
    /// All servers of a zone are lost: their processes end, or their machines stop responding.
    LoseZone { zone: usize, silent: bool },
    /// The servers of the zone start again.
    RegainZone { zone: usize, silent: bool },
    /// All servers of a zone restart in place: the list always shows them as ready.
    RestartZone { zone: usize },
    /// Changes servers in one version of the list.
    Servers(Vec<ServerChange>),
    /// Moves every `one_in`-th proxy to a coordinator within the given milliseconds.
    Move { to: usize, within: u64, one_in: u16 },
    /// Adds a fault for the given milliseconds.
    Overlay { fault: Overlay, coordinator: usize, span: u64 },
}

/// A step with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// Since the start of the day.
    pub at: Duration,
    pub step: Step,
}

/// The kind of day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Script {
    /// A continuous release alone.
    Release,
    /// A continuous release with the faults of the incident.
    Incident,
}

/// The script of a whole day.
#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    pub steps: Vec<Planned>,
    pub length: Duration,
}

/// Draws the day of a seed.
pub fn draw(script: Script, seed: u64, length: Duration, overlays: &[Overlay]) -> Day {
    let mut rng = Pcg32::seed_from_u64(seed);
    let scale = length.as_secs_f64() / INCIDENT_LENGTH.as_secs_f64();
    let mut steps = Vec::new();
    if script == Script::Incident {
        steps.extend(draw_incident(&mut rng, scale));
        steps.push(draw_zone_restart(seed, scale));
    }
    let lost = scaled_time(scale, 41.0)..scaled_time(scale, 46.0);
    let lost = (script == Script::Incident).then_some(lost);
    steps.extend(release::draw(&mut rng, scaled_time(scale, 3.0), length, lost));
    for fault in overlays {
        steps.extend(fault.draw(&mut rng, length));
    }
    steps.sort_by_key(|planned| planned.at);
    Day { steps, length }
}

fn scaled_time(scale: f64, second: f64) -> Duration {
    Duration::from_secs_f64(second * scale)
}

/// Draws the restart of the zone that one class may be confined to: all its servers restart at once, early in the day or
/// shortly after a coordinator's start. It uses a generator of its own, so that the rest of the day doesn't depend on it.
fn draw_zone_restart(seed: u64, scale: f64) -> Planned {
    let mut rng = Pcg32::seed_from_u64(!seed);
    let second =
        if rng.random_bool(0.5) { rng.random_range(8.0..20.0) } else { rng.random_range(27.0..30.0) };
    let zone = confined_zone(seed).unwrap_or(LOST_ZONE);
    Planned { at: scaled_time(scale, second), step: Step::RestartZone { zone } }
}

fn draw_incident(rng: &mut Pcg32, scale: f64) -> Vec<Planned> {
    let at = |second: f64, step: Step| Planned { at: scaled_time(scale, second), step };
    let delayed =
        |planned: Planned, millis: u64| Planned { at: planned.at + Duration::from_millis(millis), ..planned };
    let absence = [Absence::Killed, Absence::Stopped, Absence::Silent][rng.random_range(0..3)];
    let silent = rng.random_bool(0.5);
    vec![
        at(27.0, Step::Kill(LOADED)),
        delayed(at(27.0, Step::Start(LOADED)), BACK_AFTER_MS),
        at(41.0, Step::Kill(LOST_WITH_ZONE)),
        at(41.0, Step::LoseZone { zone: LOST_ZONE, silent }),
        at(41.0, Step::Leave(ABSENT, absence)),
        at(46.0, Step::RegainZone { zone: LOST_ZONE, silent }),
        at(46.0, Step::Start(LOST_WITH_ZONE)),
        at(rng.random_range(49.5..50.4), Step::Return(ABSENT, absence)),
        at(50.45, Step::Move { to: LOST_WITH_ZONE, within: MOVE_WITHIN_MS, one_in: 2 }),
        at(
            51.0,
            Step::Restart { coordinator: LOADED, kill_after: KILL_AFTER_TERM_MS, back_after: BACK_AFTER_MS },
        ),
    ]
}
