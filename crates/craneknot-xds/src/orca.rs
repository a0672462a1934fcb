//! Open Request Cost Aggregation (`xds.data.orca.v3.OrcaLoadReport`): a server's load report in a header of its
//! answers, as `TEXT key=value, ...` or `JSON {...}`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The name of the header.
pub const HEADER: &str = "endpoint-load-metrics";

/// The load report of one answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Busy share of the server's cores.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cpu_utilization: Option<f64>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub named_metrics: BTreeMap<String, f64>,
}

impl LoadReport {
    /// Formats the report as a header value in the `JSON` form.
    pub fn header(&self) -> String {
        format!("JSON {}", serde_json::to_string(self).unwrap_or_default())
    }

    /// Parses a header; none if it has neither of the two forms. Values that are negative or not finite are dropped.
    pub fn parse(header: &str) -> Option<Self> {
        let header = header.trim();
        let mut report = match header.split_once(' ') {
            Some(("JSON", text)) => serde_json::from_str(text).ok()?,
            Some(("TEXT", text)) => {
                let mut report = LoadReport::default();
                for pair in text.split(',') {
                    let (key, value) = pair.split_once('=')?;
                    let value: f64 = value.trim().parse().ok()?;
                    match key.trim() {
                        "cpu_utilization" => report.cpu_utilization = Some(value),
                        key => {
                            let name = key.strip_prefix("named_metrics.").unwrap_or(key);
                            report.named_metrics.insert(name.to_owned(), value);
                        }
                    }
                }
                report
            }
            Some(_) | None => return None,
        };
        report.cpu_utilization = report.cpu_utilization.filter(|value| value.is_finite() && *value >= 0.0);
        report.named_metrics.retain(|_, value| value.is_finite() && *value >= 0.0);
        Some(report)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn both_forms_are_parsed_and_malformed_headers_are_rejected() {
        let report = LoadReport {
            cpu_utilization: Some(0.5),
            named_metrics: BTreeMap::from([("inflight".to_owned(), 7.0)]),
        };
        assert_eq!(LoadReport::parse(&report.header()), Some(report.clone()));
        assert_eq!(LoadReport::parse("TEXT cpu_utilization=0.5, named_metrics.inflight=7"), Some(report));
        assert_eq!(LoadReport::parse("TEXT cpu_utilization=NaN").unwrap().cpu_utilization, None);
        for malformed in ["", "JSON", "JSON {", "TEXT a", "BIN aGk=", "TEXT a=b"] {
            assert_eq!(LoadReport::parse(malformed), None, "{malformed}");
        }
    }
}
