//! Settings of the weight solver, and the names of zones, kinds and classes for its explanations.

use craneknot::interface::{ClassSettings, KindId, Settings, ZoneId};
use craneknot_settings::{CoordinatorSettings, Names, RuleSettings, SolverSettings};
use craneknot_solver::estimate::WarmUp;
use craneknot_solver::explain;
use craneknot_solver::tuner;

/// The solver's settings for a coordinator.
pub fn solver_settings(settings: &CoordinatorSettings, decisions: &Settings) -> tuner::Settings {
    let solver = settings.solver.clone().unwrap_or_default();
    let (zones, classes) = (&settings.fleet.zones, decisions.classes.clone());
    solver_settings_for_zones(&solver, zones, classes, &settings.rules, decisions.proxies)
}

/// The solver's settings from their parts, without a coordinator.
pub fn solver_settings_for_zones(
    solver: &SolverSettings,
    zones: &[String],
    classes: Vec<ClassSettings>,
    rules: &RuleSettings,
    proxies: u32,
) -> tuner::Settings {
    tuner::Settings {
        classes,
        zones: zones.len(),
        warm_up: WarmUp { cold_share: rules.cold_share, warm_after: rules.warm_after.0 },
        proxies,
        margin: solver.margin.unwrap_or(tuner::DEFAULT_MARGIN),
        churn: solver.churn.unwrap_or(tuner::DEFAULT_CHURN),
        crossing: solver.crossing_costs(zones, tuner::DEFAULT_CROSSING_COST),
    }
}

/// A coordinator's names of zones, kinds and classes, for the solver's explanations.
pub struct SolverNames<'a>(pub &'a Names);

impl explain::Names for SolverNames<'_> {
    fn zone(&self, zone: ZoneId) -> String {
        self.0.zone_name(zone).to_owned()
    }

    fn kind(&self, kind: KindId) -> String {
        self.0.kind_name(kind).to_owned()
    }

    fn class(&self, class: usize) -> String {
        self.0.classes.get(class).cloned().unwrap_or_default()
    }
}
