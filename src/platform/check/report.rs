//! Findings and differences, as text and as JSON.

use std::{fmt, sync::Arc, time::Duration};

use serde::Serialize;

use crate::findings::{self, Finding};

/// What is wrong with an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingKind {
    /// The entry, or a field of it, is not valid.
    Error,
    /// The entry, or a field of it, has no effect.
    NeverApplies,
    /// Values contradict each other, or the machines that they apply to.
    Contradiction,
}

/// A finding about an entry of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CheckFinding {
    /// What is wrong.
    pub kind: FindingKind,
    /// Type and name of the entry, as in `routes/orders`; empty if the finding is about no single entry.
    pub entry: Arc<str>,
    /// Location, the expected and the found value.
    #[serde(flatten)]
    pub finding: Finding,
}

impl fmt::Display for CheckFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Finding { file, place, expected, found } = &self.finding;
        write!(f, "{file}: {place}")?;
        if !self.entry.is_empty() {
            write!(f, " ({})", self.entry)?;
        }
        write!(f, ": expected {expected}, found {found}")
    }
}

/// Change between the configuration in force and the checked one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Who is affected, as in `organisation bars`.
    pub subject: String,
    /// What changes for them.
    pub effect: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.subject, self.effect)
    }
}

/// Result of a check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Path of the checked file.
    pub file: Arc<str>,
    /// Path of the file with the configuration in force, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub against: Option<Arc<str>>,
    /// All findings.
    pub findings: Vec<CheckFinding>,
    /// Differences from the configuration in force; they are no findings.
    pub differences: Vec<Difference>,
}

impl Report {
    pub(super) fn new(
        file: &str,
        against: Option<&str>,
        collector: Collector,
        differences: Vec<Difference>,
    ) -> Self {
        let against = against.map(Into::into);
        Self { file: file.into(), against, findings: collector.findings, differences }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(f, "{finding}")?;
        }
        match self.findings.len() {
            0 => write!(f, "{}: no findings", self.file)?,
            1 => write!(f, "{}: 1 finding", self.file)?,
            count => write!(f, "{}: {count} findings", self.file)?,
        }
        let Some(against) = &self.against else { return Ok(()) };
        if self.differences.is_empty() {
            return write!(f, "\nno differences from {against}");
        }
        write!(f, "\ndifferences from {against}:")?;
        self.differences.iter().try_for_each(|difference| write!(f, "\n  {difference}"))
    }
}

/// A time for a report; the standard form of zero names nanoseconds.
pub fn show_time(time: &Duration) -> String {
    if time.is_zero() { "0s".to_owned() } else { format!("{time:?}") }
}

/// Collects findings about entries of one file after the other.
#[derive(Debug)]
pub struct Collector {
    file: Arc<str>,
    findings: Vec<CheckFinding>,
}

impl Collector {
    /// Creates an empty collection; the next findings are about `file`.
    pub fn new(file: &str) -> Self {
        Self { file: file.into(), findings: Vec::new() }
    }

    /// Sets the file that the next findings are about.
    pub fn set_file(&mut self, file: &str) {
        self.file = file.into();
    }

    /// Adds a finding; `found` is shortened.
    pub fn add(
        &mut self,
        kind: FindingKind,
        entry: impl Into<Arc<str>>,
        place: impl Into<String>,
        expected: impl Into<String>,
        found: impl fmt::Display,
    ) {
        let finding = Finding {
            file: self.file.clone(),
            place: place.into(),
            expected: expected.into(),
            found: findings::shorten(&found.to_string()),
        };
        self.findings.push(CheckFinding { kind, entry: entry.into(), finding });
    }
}
