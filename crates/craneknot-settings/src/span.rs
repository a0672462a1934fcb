//! Durations written with a unit.

use std::borrow::Cow;
use std::fmt;

use craneknot::interface::Nanos;
use schemars::{json_schema, JsonSchema, Schema, SchemaGenerator};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A duration, written as a number and `ns`, `us`, `ms`, `s`, `min` or `h`: `"250ms"`, `"1.5s"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Nanos);

const UNITS: [(&str, f64); 6] =
    [("ns", 1.0), ("us", 1e3), ("ms", 1e6), ("min", 60e9), ("s", 1e9), ("h", 3_600e9)];
const LONGEST: f64 = 366.0 * 24.0 * 3_600e9; // ns; one year: a longer duration is taken for a typing error

impl Span {
    pub const fn millis(millis: u64) -> Self {
        Span(Nanos::from_millis(millis))
    }

    /// Parses a decimal number with its unit; none if the text is malformed or the duration is over a year.
    pub fn parse(text: &str) -> Option<Self> {
        let (digits, unit) = UNITS.iter().find_map(|(name, unit)| Some((text.strip_suffix(name)?, unit)))?;
        let is_decimal =
            !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        let nanos = is_decimal.then(|| digits.parse::<f64>().ok()).flatten()? * unit;
        (nanos <= LONGEST).then(|| Span(Nanos(nanos.round() as u64)))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let nanos = self.0 .0;
        let exact = |unit: u64| nanos.is_multiple_of(unit).then(|| nanos / unit);
        match (exact(1_000_000_000), exact(1_000_000), exact(1_000)) {
            (Some(whole), _, _) => write!(f, "{whole}s"),
            (None, Some(whole), _) => write!(f, "{whole}ms"),
            (None, None, Some(whole)) => write!(f, "{whole}us"),
            (None, None, None) => write!(f, "{nanos}ns"),
        }
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let invalid = || {
            serde::de::Error::custom(format!("{text:?} is not a duration: write it as \"250ms\" or \"1.5s\""))
        };
        Span::parse(&text).ok_or_else(invalid)
    }
}

impl JsonSchema for Span {
    fn schema_name() -> Cow<'static, str> {
        "Span".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({
            "type": "string",
            "pattern": "^[0-9]+(\\.[0-9]+)?(ns|us|ms|s|min|h)$",
            "description": "A duration: a number and its unit (ns, us, ms, s, min, h)."
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spans_are_parsed_with_their_unit() {
        for (text, nanos) in
            [("250ms", 250_000_000), ("1.5s", 1_500_000_000), ("2min", 120_000_000_000), ("7ns", 7)]
        {
            assert_eq!(Span::parse(text), Some(Span(Nanos(nanos))), "{text}");
            assert_eq!(Span::parse(&Span(Nanos(nanos)).to_string()), Span::parse(text));
        }
        for text in ["", "5", "s", "-1s", "1e3s", "5 s", "5parsec", "99999999999999999999h", "1.2.3s"] {
            assert_eq!(Span::parse(text), None, "{text}");
        }
    }
}
