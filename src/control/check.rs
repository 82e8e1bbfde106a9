//! The command that checks a configuration file.

use anyhow::Context as _;
use pico_args::Arguments;

use crate::{
    control::{
        UsageError,
        command::{Session, check_document, positional_argument, reject_remaining},
    },
    platform::check::{self, CheckOptions, Report, SourceFile},
};

/// A check of a configuration for the platform has findings; the value is the report to print.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct CheckFailed(pub String);

/// Checks the file that the arguments name; its form selects the rules.
pub fn run(session: &Session, mut arguments: Arguments) -> anyhow::Result<String> {
    let against: Option<String> = arguments.opt_value_from_str("--against")?;
    let calls: Option<String> = arguments.opt_value_from_str("--calls")?;
    let memory_mb: Option<usize> = arguments.opt_value_from_str("--memory-mb")?;
    let retry_ratio: Option<f64> = arguments.opt_value_from_str("--retry-ratio")?;
    let file = positional_argument(&mut arguments, "FILE")?;
    reject_remaining(arguments)?;

    // The check of the other form reports a file that cannot be read.
    let text = std::fs::read_to_string(&file).unwrap_or_default();
    if !check::is_platform_form(&text) {
        let is_for_platform =
            against.is_some() || calls.is_some() || memory_mb.is_some() || retry_ratio.is_some();
        check_document(&file)?;
        if is_for_platform {
            let message =
                format!("the options are for a configuration of the platform, which {file} is not");
            return Err(UsageError(message).into());
        }
        return Ok(format!("{file}: no findings"));
    }
    let memory_bytes = memory_mb.map(to_bytes).transpose()?;
    let mut options = CheckOptions { memory_bytes, ..CheckOptions::default() };
    if let Some(retry_ratio) = retry_ratio {
        if !(retry_ratio >= 0.0 && retry_ratio.is_finite()) {
            let message = format!("expected a --retry-ratio of 0 or above, found {retry_ratio}");
            return Err(UsageError(message).into());
        }
        options.retry_ratio = retry_ratio;
    }
    let (against_text, calls_text) = (read(against.as_deref())?, read(calls.as_deref())?);
    options.against = to_source(against.as_deref(), against_text.as_deref());
    options.calls = to_source(calls.as_deref(), calls_text.as_deref());
    let report = check::check(SourceFile { name: &file, text: &text }, &options);
    let output = render(session, &report)?;
    match report.findings.is_empty() {
        true => Ok(output),
        false => Err(CheckFailed(output).into()),
    }
}

fn to_bytes(memory_mb: usize) -> anyhow::Result<usize> {
    let bytes = memory_mb.checked_mul(1 << 20).filter(|bytes| *bytes > 0);
    Ok(bytes.ok_or_else(|| {
        UsageError(format!("expected a --memory-mb above 0 that fits, found {memory_mb}"))
    })?)
}

/// Reads a file that an option names; one that cannot be read is wrong usage.
fn read(file: Option<&str>) -> anyhow::Result<Option<String>> {
    let Some(file) = file else { return Ok(None) };
    let text = std::fs::read_to_string(file);
    let text = text
        .map_err(|error| UsageError(format!("{file}: expected a readable file, found {error}")))?;
    Ok(Some(text))
}

fn to_source<'a>(name: Option<&'a str>, text: Option<&'a str>) -> Option<SourceFile<'a>> {
    Some(SourceFile { name: name?, text: text? })
}

fn render(session: &Session, report: &Report) -> anyhow::Result<String> {
    match session.json {
        true => serde_json::to_string_pretty(report).context("the report as JSON"),
        false => Ok(report.to_string()),
    }
}
