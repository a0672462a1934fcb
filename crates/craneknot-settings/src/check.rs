//! Loading and validating a settings file.

use std::fmt;
use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};

use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde_json::Value;

const MAX_FILE_BYTES: u64 = 8 * 1024 * 1024; // larger than any settings file written by hand or by a tool

/// One validation error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// A JSON pointer, or `line L, column C` where the text is not valid JSON.
    pub location: String,
    pub message: String,
    pub remedy: String,
}

impl Problem {
    pub fn new(location: impl Into<String>, message: impl Into<String>, remedy: impl Into<String>) -> Self {
        Problem { location: location.into(), message: message.into(), remedy: remedy.into() }
    }
}

/// All validation errors of one file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problems {
    pub file: PathBuf,
    pub list: Vec<Problem>,
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.list.iter().enumerate() {
            let location = if problem.location.is_empty() { "/" } else { &problem.location };
            let separator = if index == 0 { "" } else { "\n" };
            write!(
                f,
                "{separator}{}: {location}: {} ({})",
                self.file.display(),
                problem.message,
                problem.remedy
            )?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}

/// Validation rules that a schema cannot express.
pub trait Check {
    fn check(&self) -> Vec<Problem>;
}

/// The JSON schema of a type, as text.
pub fn schema_text<T: JsonSchema>() -> String {
    let schema = schemars::schema_for!(T);
    serde_json::to_string_pretty(&schema).unwrap_or_default()
}

/// Loads and validates settings from a file.
pub fn load<T: JsonSchema + DeserializeOwned + Check>(file: &Path) -> Result<T, Problems> {
    let fail = |message: String, remedy: &str| Problems {
        file: file.to_owned(),
        list: vec![Problem::new("", message, remedy)],
    };
    let mut text = Vec::new();
    let read = fs::File::open(file).and_then(|file| file.take(MAX_FILE_BYTES + 1).read_to_end(&mut text));
    read.map_err(|cause| fail(cause.to_string(), "name a readable file"))?;
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(fail(format!("the file is larger than {MAX_FILE_BYTES} bytes"), "name a settings file"));
    }
    parse(file, &text)
}

/// Parses and validates settings from text; `file` names it in errors.
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
    let internal_error =
        |cause: String| fail(vec![Problem::new("", cause, "this is a bug in the program: report it")]);
    let validator =
        jsonschema::validator_for(schema.as_value()).map_err(|cause| internal_error(cause.to_string()))?;
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
    let settings: T = serde_json::from_value(value)
        .map_err(|cause| fail(vec![Problem::new("", cause.to_string(), "see `craneknot schema`")]))?;
    match settings.check() {
        list if list.is_empty() => Ok(settings),
        list => Err(fail(list)),
    }
}
