//! Check of a configuration in the platform's form before it is written to the platform's store.
//!
//! It reads no file and sends nothing: the command line tool passes in the texts of the files.

mod calls;
mod differences;
mod entries;
mod limits;
mod report;
mod unmatched;

use serde_json::Value;

pub use report::{CheckFinding, Difference, FindingKind, Report};

use crate::mesh::Bounds;
use calls::Calls;
use entries::Document;
use report::Collector;

/// Text of a file, with its name for the report.
#[derive(Debug, Clone, Copy)]
pub struct SourceFile<'a> {
    /// Path of the file.
    pub name: &'a str,
    /// Content of the file.
    pub text: &'a str,
}

/// What a configuration is compared with.
#[derive(Debug, Clone)]
pub struct CheckOptions<'a> {
    /// Configuration in force.
    pub against: Option<SourceFile<'a>>,
    /// Nested calls: a JSON object with the names of the routes that the requests of a route call.
    pub calls: Option<SourceFile<'a>>,
    /// Memory of the smallest machine; limits are not compared with it where it is not given.
    pub memory_bytes: Option<usize>,
    /// Retries per request that the platform's bound permits.
    pub retry_ratio: f64,
}

impl Default for CheckOptions<'_> {
    fn default() -> Self {
        let retry_ratio = Bounds::default().retry_ratio;
        Self { against: None, calls: None, memory_bytes: None, retry_ratio }
    }
}

/// Whether a text has the platform's form of a configuration, also if it is not valid.
pub fn is_platform_form(text: &str) -> bool {
    match serde_json::from_str::<Value>(text) {
        Ok(value) => value.get("resources").is_some() || value.get("version").is_some(),
        Err(_) => text.contains("\"resourceType\""),
    }
}

/// Checks a configuration; the report has all findings, and the differences from the one in force.
pub fn check(file: SourceFile<'_>, options: &CheckOptions<'_>) -> Report {
    let mut collector = Collector::new(file.name);
    let document = entries::read(file.text, &mut collector);
    if let Some(document) = &document {
        unmatched::check(document, &mut collector);
        limits::check(document, options, &mut collector);
    }
    let calls = options.calls.and_then(|calls_file| {
        collector.set_file(calls_file.name);
        calls::read(calls_file.text, &mut collector)
    });
    if let (Some(document), Some(calls)) = (&document, calls) {
        check_calls(document, &calls, file.name, &mut collector);
    }
    let mut differences = Vec::new();
    if let Some(in_force_file) = options.against {
        collector.set_file(in_force_file.name);
        let in_force = entries::read(in_force_file.text, &mut collector);
        if let (Some(in_force), Some(document)) = (in_force, &document) {
            collector.set_file(file.name);
            differences::check_version(&in_force, document, &mut collector);
            differences = differences::compare(&in_force, document);
        }
    }
    Report::new(file.name, options.against.map(|it| it.name), collector, differences)
}

fn check_calls(document: &Document, calls: &Calls, file: &str, collector: &mut Collector) {
    calls::check_names(document, calls, collector);
    collector.set_file(file);
    calls::check_times(document, calls, collector);
}
