//! The weights' solver as the settings have it, and its words for zones, kinds and classes.

use craneknot::interface::{ClassSettings, KindId, Settings, ZoneId};
use craneknot_settings::{CoordinatorSettings, Names, RuleSettings, SolverSettings};
use craneknot_solver::estimate::WarmUp;
use craneknot_solver::explain;
use craneknot_solver::steer;

/// What a solver is told at its start.
pub fn of(settings: &CoordinatorSettings, decisions: &Settings) -> steer::Settings {
    let solver = settings.solver.clone().unwrap_or_default();
    let (zones, classes) = (&settings.fleet.zones, decisions.classes.clone());
    settings_of(&solver, zones, classes, &settings.rules, decisions.proxies)
}

/// The same without a coordinator.
pub fn settings_of(
    solver: &SolverSettings,
    zones: &[String],
    classes: Vec<ClassSettings>,
    rules: &RuleSettings,
    proxies: u32,
) -> steer::Settings {
    steer::Settings {
        classes,
        zones: zones.len(),
        warm_up: WarmUp { cold_share: rules.cold_share, warm_after: rules.warm_after.0 },
        proxies,
        margin: solver.margin.unwrap_or(steer::MARGIN),
        churn: solver.churn.unwrap_or(steer::CHURN),
        crossing: solver.crossing_costs(zones, steer::CROSSING),
    }
}

/// Names as a coordinator has them.
pub struct Named<'a>(pub &'a Names);

impl explain::Names for Named<'_> {
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
