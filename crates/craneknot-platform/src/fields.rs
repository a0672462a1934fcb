//! Reading JSON objects: a field that is missing, of another type or out of range is named in the error.

use craneknot::interface::Nanos;
use serde_json::Value;

/// The fields of one object; errors begin with what the object is.
pub struct Object<'a> {
    what: &'a str,
    value: &'a Value,
}

impl<'a> Object<'a> {
    pub fn new(what: &'a str, value: &'a Value) -> Result<Self, String> {
        match value {
            Value::Object(_) => Ok(Object { what, value }),
            Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) | Value::Array(_) => {
                Err(format!("{what}: an object wanted"))
            }
        }
    }

    pub fn get(&self, key: &str) -> Option<&'a Value> {
        self.value.get(key).filter(|value| !value.is_null())
    }

    pub fn need(&self, key: &str) -> Result<&'a Value, String> {
        self.get(key).ok_or_else(|| format!("{}: {key} is missing", self.what))
    }

    pub fn wrong(&self, key: &str, wanted: &str) -> String {
        format!("{}: {key} must be {wanted}", self.what)
    }

    pub fn text(&self, key: &str) -> Result<&'a str, String> {
        self.need(key)?.as_str().ok_or_else(|| self.wrong(key, "text"))
    }

    pub fn truth(&self, key: &str) -> Result<bool, String> {
        self.need(key)?.as_bool().ok_or_else(|| self.wrong(key, "true or false"))
    }

    /// A number from 0 to `most`.
    pub fn number(&self, key: &str, most: f64) -> Result<f64, String> {
        let value = self.need(key)?.as_f64().filter(|value| (0.0..=most).contains(value));
        value.ok_or_else(|| self.wrong(key, &format!("a number from 0 to {most}")))
    }

    /// A whole number from 0 to `most`.
    pub fn whole(&self, key: &str, most: u64) -> Result<u64, String> {
        let value = self.need(key)?.as_u64().filter(|value| *value <= most);
        value.ok_or_else(|| self.wrong(key, &format!("a whole number from 0 to {most}")))
    }

    /// A time told in milliseconds, up to `most`.
    pub fn millis(&self, key: &str, most: Nanos) -> Result<Nanos, String> {
        self.number(key, most.secs() * 1e3).map(|millis| Nanos::from_secs(millis / 1e3))
    }
}
