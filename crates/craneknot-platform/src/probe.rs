//! Probes, which ask a server for its load.

use craneknot::interface::LoadReport;
use craneknot_settings::instance::InstanceNames;

use crate::messages;

/// The path of a probe request.
pub const PATH: &str = "/metrics/load";

/// Parses the load report in the body of an answer; values that can't be parsed are left out.
pub fn parse_report(body: &[u8], names: &InstanceNames) -> LoadReport {
    let text = std::str::from_utf8(body).unwrap_or_default().trim();
    let values = text.strip_prefix("TEXT").unwrap_or_default();
    let value = |key: &str| {
        let mut pairs = values.split(',').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(name, _)| name.trim() == key)?;
        value.trim().parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0)
    };
    messages::load_report(names, value)
}
