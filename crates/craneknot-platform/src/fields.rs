//! Access to the fields of JSON objects. Errors name a field that is missing, of the wrong type or out of range.

use craneknot::interface::Nanos;
use serde_json::Value;

/// The fields of one JSON object; errors begin with its description.
pub struct Object<'a> {
    description: &'a str,
    value: &'a Value,
}

impl<'a> Object<'a> {
    pub fn new(description: &'a str, value: &'a Value) -> Result<Self, String> {
        match value {
            Value::Object(_) => Ok(Object { description, value }),
            Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) | Value::Array(_) => {
                Err(format!("{description}: an object wanted"))
            }
        }
    }

    /// The value of a field; `None` if it is absent or null.
    pub fn get(&self, key: &str) -> Option<&'a Value> {
        self.value.get(key).filter(|value| !value.is_null())
    }

    pub fn required(&self, key: &str) -> Result<&'a Value, String> {
        self.get(key).ok_or_else(|| format!("{}: {key} is missing", self.description))
    }

    /// The error for a field whose value is not what was expected.
    pub fn invalid(&self, key: &str, expected: &str) -> String {
        format!("{}: {key} must be {expected}", self.description)
    }

    pub fn text(&self, key: &str) -> Result<&'a str, String> {
        self.required(key)?.as_str().ok_or_else(|| self.invalid(key, "text"))
    }

    pub fn boolean(&self, key: &str) -> Result<bool, String> {
        self.required(key)?.as_bool().ok_or_else(|| self.invalid(key, "true or false"))
    }

    /// A number from 0 to `max`.
    pub fn number(&self, key: &str, max: f64) -> Result<f64, String> {
        let value = self.required(key)?.as_f64().filter(|value| (0.0..=max).contains(value));
        value.ok_or_else(|| self.invalid(key, &format!("a number from 0 to {max}")))
    }

    /// A whole number from 0 to `max`.
    pub fn integer(&self, key: &str, max: u64) -> Result<u64, String> {
        let value = self.required(key)?.as_u64().filter(|value| *value <= max);
        value.ok_or_else(|| self.invalid(key, &format!("a whole number from 0 to {max}")))
    }

    /// A duration given in milliseconds, at most `max`.
    pub fn millis(&self, key: &str, max: Nanos) -> Result<Nanos, String> {
        self.number(key, max.secs() * 1e3).map(|millis| Nanos::from_secs(millis / 1e3))
    }
}
