//! Probes of a server's load.

use craneknot::interface::LoadReport;
use craneknot_settings::given::GivenNames;

use crate::messages;

pub const PATH: &str = "/metrics/load";

/// The load report in the body of an answer; what can't be read is left out.
pub fn parse_report(body: &[u8], names: &GivenNames) -> LoadReport {
    let text = std::str::from_utf8(body).unwrap_or_default().trim();
    let values = text.strip_prefix("TEXT").unwrap_or_default();
    let value = |wanted: &str| {
        let mut pairs = values.split(',').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(name, _)| name.trim() == wanted)?;
        value.trim().parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0)
    };
    messages::load(names, value)
}
