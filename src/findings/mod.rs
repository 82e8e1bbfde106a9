//! Validation of settings and configuration files, with all faults of a file reported together.

mod reference;

use std::{fmt, net::SocketAddr, path::Path, sync::Arc};

use jsonschema::{
    ValidationError,
    error::{TypeKind, ValidationErrorKind},
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

pub use reference::render_reference;

/// Longest part of an invalid value that is quoted in a finding.
const MAX_FOUND_CHARS: usize = 80;
/// Name of the JSON Schema format for an IP address with a port.
pub const SOCKET_ADDRESS_FORMAT: &str = "ip-address-and-port";
/// Places of secrets: values at or below them, and fields of these names anywhere, are never quoted.
/// All of `/keys` is listed, since an operator may have put a secret into the wrong field of a key.
const SECRET_PLACES: [&str; 3] = ["/fleet_secret", "/keys", "/secret"];

/// One fault in an input file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Path of the file, or `request body` for input received over HTTP.
    pub file: Arc<str>,
    /// JSON pointer to the value, or line and column of a syntax error.
    pub place: String,
    /// Description of the accepted values.
    pub expected: String,
    /// The invalid value, shortened, or a description of it if it may be secret.
    pub found: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: expected {}, found {}", self.file, self.place, self.expected, self.found)
    }
}

/// All faults of one input, in the order in which the checks found them.
#[derive(Debug, Clone, Default, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub struct Findings {
    /// The faults; empty if the input is valid.
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

/// Collects the findings about one input.
#[derive(Debug)]
pub struct Collector {
    file: Arc<str>,
    findings: Vec<Finding>,
}

impl Collector {
    /// Creates an empty collection of findings about `file`.
    pub fn new(file: impl Into<Arc<str>>) -> Self {
        Self { file: file.into(), findings: Vec::new() }
    }

    /// Adds a finding; `found` is shortened to `MAX_FOUND_CHARS` characters.
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

    /// Returns the collected findings.
    pub fn into_findings(self) -> Findings {
        Findings { findings: self.findings }
    }

    /// Returns `value` if there are no findings, and the findings otherwise.
    pub fn finish<T>(self, value: T) -> Result<T, Findings> {
        if self.findings.is_empty() {
            return Ok(value);
        }
        Err(self.into_findings())
    }
}

/// An input with validation rules that its schema cannot express.
pub trait Input: JsonSchema + DeserializeOwned {
    /// Adds a finding for every violated rule.
    ///
    /// Works on the untyped value, so that the rules are also checked when other parts of the
    /// input violate the schema.
    fn check_rules(value: &Value, collector: &mut Collector);
}

/// Reads the file at `path` and validates its text as [`check_input`] does.
pub fn check_input_file<T: Input>(path: &Path) -> Result<T, Findings> {
    check_input(path.display().to_string(), &read_text(path)?)
}

/// Reads the file at `path` and validates its text against the schema of `T` and `check_rules`.
pub fn check_file_with<T: JsonSchema + DeserializeOwned>(
    path: &Path,
    check_rules: impl Fn(&Value, &mut Collector),
) -> Result<T, Findings> {
    check_with(path.display().to_string(), &read_text(path)?, check_rules)
}

/// Reads the file at `path` and validates its text as [`check`] does.
pub fn check_file<T: JsonSchema + DeserializeOwned>(path: &Path) -> Result<T, Findings> {
    check(path.display().to_string(), &read_text(path)?)
}

fn read_text(path: &Path) -> Result<String, Findings> {
    std::fs::read_to_string(path).map_err(|error| {
        let mut collector = Collector::new(path.display().to_string());
        collector.add("/", "a readable file", error);
        collector.into_findings()
    })
}

/// Parses `text` as JSON and validates it against the schema and the rules of `T`, reporting every
/// fault.
pub fn check_input<T: Input>(file: impl Into<Arc<str>>, text: &str) -> Result<T, Findings> {
    check_with(file, text, T::check_rules)
}

/// Parses `text` as JSON and validates it against the schema of `T`, reporting every fault.
pub fn check<T: JsonSchema + DeserializeOwned>(
    file: impl Into<Arc<str>>,
    text: &str,
) -> Result<T, Findings> {
    check_with(file, text, |_, _| {})
}

/// Validates a parsed JSON value as [`check_input`] does.
pub fn check_value<T: Input>(file: impl Into<Arc<str>>, value: Value) -> Result<T, Findings> {
    check_parsed(Collector::new(file), value, T::check_rules)
}

fn check_with<T: JsonSchema + DeserializeOwned>(
    file: impl Into<Arc<str>>,
    text: &str,
    check_rules: impl Fn(&Value, &mut Collector),
) -> Result<T, Findings> {
    let mut collector = Collector::new(file);
    let document: Value = match serde_json::from_str(text) {
        Ok(document) => document,
        Err(error) => {
            let place = format!("line {}, column {}", error.line(), error.column());
            collector.add(place, "JSON", describe_syntax_error(&error));
            return Err(collector.into_findings());
        }
    };
    check_parsed(collector, document, check_rules)
}

fn check_parsed<T: JsonSchema + DeserializeOwned>(
    mut collector: Collector,
    document: Value,
    check_rules: impl Fn(&Value, &mut Collector),
) -> Result<T, Findings> {
    check_against_schema::<T>(&document, &mut collector);
    check_rules(&document, &mut collector);
    if !collector.findings.is_empty() {
        return Err(collector.into_findings());
    }
    match serde_json::from_value(document) {
        Ok(value) => Ok(value),
        Err(error) => {
            // The message of the library quotes the value, which may be secret.
            log::debug!(
                "input matches its schema but cannot be deserialized: {:?} error",
                error.classify()
            );
            collector.add("/", "a value of the documented form", "a value of another form");
            Err(collector.into_findings())
        }
    }
}

/// Returns the message of the parser without line and column, which the place of the finding
/// contains.
fn describe_syntax_error(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let fault = text.split(" at line ").next().unwrap_or_default();
    format!("other text ({fault})")
}

fn check_against_schema<T: JsonSchema>(document: &Value, collector: &mut Collector) {
    let schema = schemars::schema_for!(T).to_value();
    let validator = jsonschema::options()
        .should_validate_formats(true)
        .with_format(SOCKET_ADDRESS_FORMAT, |text: &str| text.parse::<SocketAddr>().is_ok())
        .build(&schema);
    let validator = match validator {
        Ok(validator) => validator,
        Err(_) => return collector.add("/", "a valid schema in the program", "another schema"),
    };
    for error in validator.iter_errors(document) {
        add_schema_error(&error, collector);
    }
}

fn add_schema_error(error: &ValidationError<'_>, collector: &mut Collector) {
    let pointer = error.instance_path().to_string();
    let place = if pointer.is_empty() { "/".to_owned() } else { pointer };
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
        ValidationErrorKind::OneOfNotValid { context } | ValidationErrorKind::AnyOf { context } => {
            add_variant_errors(error, &place, context, collector);
        }
        kind => {
            collector.add(&place, describe_expected(kind), describe_found(&place, error.instance()))
        }
    }
}

/// Reports the faults of a value that matches no variant of a tagged enum or optional type.
///
/// If the tag of the value selects a variant, these are the faults of that variant; otherwise it is
/// one finding that lists the accepted tags.
fn add_variant_errors(
    error: &ValidationError<'_>,
    place: &str,
    variants: &[Vec<ValidationError<'static>>],
    collector: &mut Collector,
) {
    let is_tag_mismatch =
        |error: &ValidationError<'_>| matches!(error.kind(), ValidationErrorKind::Constant { .. });
    let intended = variants.iter().find(|errors| !errors.iter().any(is_tag_mismatch));
    // An optional type also accepts null; "null" is never the intended variant.
    if let Some(errors) = intended.filter(|_| error.instance().is_object()) {
        errors.iter().for_each(|error| add_schema_error(error, collector));
        return;
    }
    let tags = variants.iter().flatten().filter_map(|error| match error.kind() {
        ValidationErrorKind::Constant { expected_value } => {
            Some((error.instance_path().to_string(), expected_value.to_string()))
        }
        _ => None,
    });
    let (places, values): (Vec<String>, Vec<String>) = tags.unzip();
    if values.is_empty() {
        collector.add(
            place,
            "a value of the documented form",
            describe_found(place, error.instance()),
        );
        return;
    }
    let tag_place = places[0].clone();
    let value = match tag_place.strip_prefix(place.trim_end_matches('/')) {
        Some(relative) => error.instance().pointer(relative),
        None => None,
    };
    let found = value.map_or_else(|| "none".to_owned(), |value| describe_found(&tag_place, value));
    collector.add(tag_place, format!("one of {}", values.join(", ")), found);
}

/// Quotes an invalid value; objects, lists and values that may be secret are only described.
fn describe_found(place: &str, value: &Value) -> String {
    let is_secret =
        SECRET_PLACES.iter().any(|part| place.starts_with(part) || place.ends_with(part));
    match value {
        Value::Object(_) => "an object".to_owned(),
        Value::Array(items) => format!("a list of {} items", items.len()),
        Value::String(text) if is_secret => format!("text of {} characters", text.chars().count()),
        Value::Number(_) if is_secret => "a number".to_owned(),
        other => other.to_string(),
    }
}

fn describe_expected(kind: &ValidationErrorKind) -> String {
    match kind {
        ValidationErrorKind::Minimum { limit } => format!("a number of at least {limit}"),
        ValidationErrorKind::Maximum { limit } => format!("a number of at most {limit}"),
        ValidationErrorKind::ExclusiveMinimum { limit } => format!("a number above {limit}"),
        ValidationErrorKind::ExclusiveMaximum { limit } => format!("a number below {limit}"),
        ValidationErrorKind::MinLength { limit } => format!("text of at least {limit} characters"),
        ValidationErrorKind::MaxLength { limit } => format!("text of at most {limit} characters"),
        ValidationErrorKind::MinItems { limit } => format!("at least {limit} items"),
        ValidationErrorKind::MaxItems { limit } => format!("at most {limit} items"),
        ValidationErrorKind::Pattern { pattern } => format!("text matching {pattern}"),
        ValidationErrorKind::Enum { options } => format!("one of {options}"),
        ValidationErrorKind::Constant { expected_value } => format!("the value {expected_value}"),
        ValidationErrorKind::Format { format } if format == SOCKET_ADDRESS_FORMAT => {
            "an IP address and a port, as in 127.0.0.1:7000".to_owned()
        }
        ValidationErrorKind::Format { format } => format!("a value of the format {format}"),
        ValidationErrorKind::Type { kind } => format!("a value of type {}", describe_type(kind)),
        // The message of the library quotes the value, which may be secret.
        other => format!("a value that fulfils \"{}\" of the schema", other.keyword()),
    }
}

fn describe_type(kind: &TypeKind) -> String {
    match kind {
        TypeKind::Single(one) => one.to_string(),
        TypeKind::Multiple(many) => {
            let names: Vec<String> = many.iter().map(|one| one.to_string()).collect();
            names.join(" or ")
        }
    }
}

/// Shortens a value to the longest part that a finding quotes.
pub(crate) fn shorten(text: &str) -> String {
    if text.chars().count() <= MAX_FOUND_CHARS {
        return text.to_owned();
    }
    let start: String = text.chars().take(MAX_FOUND_CHARS).collect();
    format!("{start}…")
}
