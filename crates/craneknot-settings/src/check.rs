//! Reading and checking a file of settings.

use std::fmt;
use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};

use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde_json::Value;

const LARGEST: u64 = 8 * 1024 * 1024; // bytes; larger than any settings written by hand or tool

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// A JSON pointer, or `line L, column C` where the text is no JSON.
    pub location: String,
    pub message: String,
    pub remedy: String,
}

impl Problem {
    pub fn new(location: impl Into<String>, message: impl Into<String>, remedy: impl Into<String>) -> Self {
        Problem { location: location.into(), message: message.into(), remedy: remedy.into() }
    }
}

/// All that is wrong with one file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problems {
    pub file: PathBuf,
    pub list: Vec<Problem>,
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.list.iter().enumerate() {
            let at = if problem.location.is_empty() { "/" } else { &problem.location };
            let gap = if index == 0 { "" } else { "\n" };
            write!(f, "{gap}{}: {at}: {} ({})", self.file.display(), problem.message, problem.remedy)?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}

/// What a schema cannot say.
pub trait Check {
    fn check(&self) -> Vec<Problem>;
}

/// The schema of a type, as text.
pub fn schema_text<T: JsonSchema>() -> String {
    let schema = schemars::schema_for!(T);
    serde_json::to_string_pretty(&schema).unwrap_or_default()
}

/// Reads settings from a file.
pub fn load<T: JsonSchema + DeserializeOwned + Check>(file: &Path) -> Result<T, Problems> {
    let fail = |message: String, remedy: &str| Problems {
        file: file.to_owned(),
        list: vec![Problem::new("", message, remedy)],
    };
    let mut text = Vec::new();
    let read = fs::File::open(file).and_then(|file| file.take(LARGEST + 1).read_to_end(&mut text));
    read.map_err(|cause| fail(cause.to_string(), "name a file that can be read"))?;
    if text.len() as u64 > LARGEST {
        return Err(fail(format!("the file is larger than {LARGEST} bytes"), "name a file of settings"));
    }
    parse(file, &text)
}

/// Reads settings from text; `file` names it in errors.
pub fn parse<T: JsonSchema + DeserializeOwned + Check>(file: &Path, text: &[u8]) -> Result<T, Problems> {
    let fail = |list: Vec<Problem>| Problems { file: file.to_owned(), list };
    let value: Value = serde_json::from_slice(text).map_err(|cause| {
        let location = format!("line {}, column {}", cause.line(), cause.column());
        fail(vec![Problem::new(
            location,
            cause.to_string(),
            "write one JSON value; check commas and quotes there",
        )])
    })?;
    let schema = schemars::schema_for!(T);
    let broken =
        |cause: String| fail(vec![Problem::new("", cause, "this is a fault of the program: report it")]);
    let validator =
        jsonschema::validator_for(schema.as_value()).map_err(|cause| broken(cause.to_string()))?;
    let list: Vec<Problem> = validator
        .iter_errors(&value)
        .take(20)
        .map(|error| {
            let rule = error.schema_path().to_string();
            let remedy = format!("see `craneknot schema`, {rule}");
            Problem::new(error.instance_path().to_string(), error.to_string(), remedy)
        })
        .collect();
    if !list.is_empty() {
        return Err(fail(list));
    }
    let read: T = serde_json::from_value(value)
        .map_err(|cause| fail(vec![Problem::new("", cause.to_string(), "see `craneknot schema`")]))?;
    match read.check() {
        list if list.is_empty() => Ok(read),
        list => Err(fail(list)),
    }
}
