//! Findings about a settings or configuration file, collected and reported together.

use std::{fmt, path::Path, sync::Arc};

use jsonschema::error::ValidationErrorKind;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

/// Longest part of a found value that is repeated in a finding.
const MAX_FOUND_CHARS: usize = 80;

/// One fault in an input file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The file, or `request body` for input that came over HTTP.
    pub file: Arc<str>,
    /// JSON pointer of the value, or line and column for a syntax error.
    pub place: String,
    /// What would have been accepted.
    pub expected: String,
    /// What stood there.
    pub found: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: expected {}, found {}", self.file, self.place, self.expected, self.found)
    }
}

/// All faults of one input, in the order of the file.
#[derive(Debug, Clone, Default, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub struct Findings {
    /// The collected faults.
    pub findings: Vec<Finding>,
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

/// Collects findings about one file.
#[derive(Debug)]
pub struct Collector {
    file: Arc<str>,
    findings: Vec<Finding>,
}

impl Collector {
    /// Starts an empty collection for `file`.
    pub fn new(file: impl Into<Arc<str>>) -> Self {
        Self { file: file.into(), findings: Vec::new() }
    }

    /// Adds a finding.
    pub fn add(
        &mut self,
        place: impl Into<String>,
        expected: impl Into<String>,
        found: impl fmt::Display,
    ) {
        self.findings.push(Finding {
            file: self.file.clone(),
            place: place.into(),
            expected: expected.into(),
            found: shorten(&found.to_string()),
        });
    }

    /// Returns `value` when nothing was found, and all findings otherwise.
    pub fn finish<T>(self, value: T) -> Result<T, Findings> {
        if self.findings.is_empty() {
            return Ok(value);
        }
        Err(Findings { findings: self.findings })
    }
}

/// Reads `path` and checks its text as [`check`] does.
pub fn check_file<T: JsonSchema + DeserializeOwned>(path: &Path) -> Result<T, Findings> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => check(file, &text),
        Err(error) => {
            let mut collector = Collector::new(file);
            collector.add("/", "a readable file", error);
            Err(Findings { findings: collector.findings })
        }
    }
}

/// Parses `text` as JSON and checks it against the schema of `T`, reporting every fault.
pub fn check<T: JsonSchema + DeserializeOwned>(
    file: impl Into<Arc<str>>,
    text: &str,
) -> Result<T, Findings> {
    let mut collector = Collector::new(file);
    let document: Value = match serde_json::from_str(text) {
        Ok(document) => document,
        Err(error) => {
            let place = format!("line {}, column {}", error.line(), error.column());
            collector.add(place, "JSON", error);
            return Err(Findings { findings: collector.findings });
        }
    };
    check_against_schema::<T>(&document, &mut collector);
    if !collector.findings.is_empty() {
        return Err(Findings { findings: collector.findings });
    }
    match serde_json::from_value(document) {
        Ok(value) => Ok(value),
        Err(error) => {
            collector.add("/", "a value of the documented form", error);
            Err(Findings { findings: collector.findings })
        }
    }
}

fn check_against_schema<T: JsonSchema>(document: &Value, collector: &mut Collector) {
    let schema = schemars::schema_for!(T).to_value();
    let validator = match jsonschema::validator_for(&schema) {
        Ok(validator) => validator,
        Err(error) => return collector.add("/", "a valid schema in the program", error),
    };
    for error in validator.iter_errors(document) {
        let at = error.instance_path().to_string();
        let place = if at.is_empty() { "/".to_owned() } else { at };
        match error.kind() {
            ValidationErrorKind::AdditionalProperties { unexpected } => {
                let parent = place.trim_end_matches('/').to_owned();
                for name in unexpected {
                    collector.add(format!("{parent}/{name}"), "a known field", "an unknown field");
                }
            }
            ValidationErrorKind::Required { property } => {
                let name = property.as_str().unwrap_or_default();
                collector.add(place, format!("the field \"{name}\""), "none");
            }
            kind => collector.add(place, expected(kind, &error), error.instance()),
        }
    }
}

fn expected(kind: &ValidationErrorKind, error: &jsonschema::ValidationError<'_>) -> String {
    match kind {
        ValidationErrorKind::Minimum { limit } => format!("a number of at least {limit}"),
        ValidationErrorKind::Maximum { limit } => format!("a number of at most {limit}"),
        ValidationErrorKind::ExclusiveMinimum { limit } => format!("a number above {limit}"),
        ValidationErrorKind::MinLength { limit } => format!("text of at least {limit} characters"),
        ValidationErrorKind::MaxLength { limit } => format!("text of at most {limit} characters"),
        ValidationErrorKind::MinItems { limit } => format!("at least {limit} items"),
        ValidationErrorKind::Pattern { pattern } => format!("text matching {pattern}"),
        ValidationErrorKind::Enum { options } => format!("one of {options}"),
        ValidationErrorKind::Format { format } => format!("a value of the format {format}"),
        ValidationErrorKind::Type { .. } => {
            // The library's message is "<value> is not of type <expected>".
            let text = error.to_string();
            let types = text.rsplit("of type").next().unwrap_or_default();
            format!("a value of type {}", types.trim_start_matches('s').trim())
        }
        _ => error.to_string(),
    }
}

fn shorten(text: &str) -> String {
    if text.chars().count() <= MAX_FOUND_CHARS {
        return text.to_owned();
    }
    let start: String = text.chars().take(MAX_FOUND_CHARS).collect();
    format!("{start}…")
}
