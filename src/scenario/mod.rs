//! Parser of scenario files, which have one statement per line.
//!
//! ```text
//! # Comment to the end of the line.
//! node i00 zone=a service=drops weight=2
//! at 3s kill i00
//! from 5s to 8s cut i01 i02 loss=0.5
//! expect admitted <= 120
//! ```
//!
//! A statement is an optional time (`at TIME` or `from TIME to TIME`), a verb, words, and
//! `name=value` arguments. Times are numbers with the unit `ms`, `s` or `m`. The runner that reads
//! the statements defines the verbs.

use std::{collections::BTreeMap, str::FromStr, time::Duration};

use winnow::{
    ModalResult, Parser as _,
    ascii::{float, space0, space1},
    combinator::{alt, opt, preceded, repeat, separated, terminated},
    token::take_while,
};

use crate::findings::{Collector, Findings};

/// Time at which, or interval during which, a statement applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum When {
    /// For the whole run; the statement states no time.
    Always,
    /// At one moment.
    At(Duration),
    /// During an interval.
    During {
        /// Start of the interval.
        from: Duration,
        /// End of the interval.
        to: Duration,
    },
}

/// One statement of a scenario file.
#[derive(Debug, Clone, PartialEq)]
pub struct Statement {
    /// Number of the line in the file, from 1.
    pub line: usize,
    /// Time of the statement.
    pub when: When,
    /// First word of the statement after its time.
    pub verb: String,
    /// Words after the verb that are not named arguments.
    pub words: Vec<String>,
    /// Named arguments (`name=value`).
    pub arguments: BTreeMap<String, String>,
}

impl Statement {
    /// Parses a named argument, or returns `default` if it is missing.
    pub fn argument<T: FromStr>(&self, name: &str, default: T) -> Result<T, String> {
        match self.arguments.get(name) {
            None => Ok(default),
            Some(text) => text
                .parse()
                .map_err(|_| format!("line {}: {name}: unexpected value {text}", self.line)),
        }
    }

    /// Parses a named time, or returns `default` if it is missing.
    pub fn time(&self, name: &str, default: Duration) -> Result<Duration, String> {
        match self.arguments.get(name) {
            None => Ok(default),
            Some(text) => parse_time(text).ok_or_else(|| {
                format!("line {}: {name}: expected a time, found {text}", self.line)
            }),
        }
    }

    /// Returns the word at an index after the verb, from 0.
    pub fn word(&self, index: usize) -> Result<&str, String> {
        let word = self.words.get(index).map(String::as_str);
        word.ok_or_else(|| {
            format!(
                "line {}: {}: expected at least {} words, found {}",
                self.line,
                self.verb,
                index + 1,
                self.words.len()
            )
        })
    }
}

/// Parses a scenario; the findings name every line that is not a statement.
pub fn parse(file: &str, text: &str) -> Result<Vec<Statement>, Findings> {
    let mut collector = Collector::new(file);
    let mut statements = Vec::new();
    for (index, raw) in text.lines().enumerate() {
        let line = raw.split('#').next().unwrap_or_default().trim();
        if line.is_empty() {
            continue;
        }
        match statement.parse(line) {
            Ok(parsed) => statements.push(Statement { line: index + 1, ..parsed }),
            Err(_) => collector.add(format!("line {}", index + 1), "a statement", line),
        }
    }
    collector.finish(statements)
}

/// Parses a time such as `300ms`, `2.5s` or `1m`.
pub fn parse_time(text: &str) -> Option<Duration> {
    time.parse(text).ok()
}

/// Part of a statement after its verb.
enum Part {
    Word(String),
    Argument(String, String),
}

fn statement(input: &mut &str) -> ModalResult<Statement> {
    let when = opt(terminated(when, space1)).parse_next(input)?.unwrap_or(When::Always);
    // Without this check, an invalid time would make `at` or `from` the verb.
    let verb = word.verify(|word: &str| !matches!(word, "at" | "from")).parse_next(input)?;
    let parts: Vec<Part> = repeat(0.., preceded(space1, part)).parse_next(input)?;
    space0.parse_next(input)?;
    let mut words = Vec::new();
    let mut arguments = BTreeMap::new();
    for part in parts {
        match part {
            Part::Word(word) => words.push(word),
            Part::Argument(name, value) => {
                arguments.insert(name, value);
            }
        }
    }
    Ok(Statement { line: 0, when, verb, words, arguments })
}

fn when(input: &mut &str) -> ModalResult<When> {
    let at = preceded(("at", space1), time).map(When::At);
    let during = ("from", space1, time, space1, "to", space1, time)
        .map(|(_, _, from, _, _, _, to)| When::During { from, to });
    alt((at, during)).parse_next(input)
}

fn part(input: &mut &str) -> ModalResult<Part> {
    let argument = separated(2, word, '=')
        .map(|pair: Vec<String>| Part::Argument(pair[0].clone(), pair[1].clone()));
    alt((argument, word.map(Part::Word))).parse_next(input)
}

fn word(input: &mut &str) -> ModalResult<String> {
    let allowed = |c: char| c.is_alphanumeric() || "-_.:/%<>,*+".contains(c);
    let operator = alt(("<=", ">=", "==")).map(str::to_owned);
    alt((operator, take_while(1.., allowed).map(str::to_owned))).parse_next(input)
}

fn time(input: &mut &str) -> ModalResult<Duration> {
    let number: f64 = float.parse_next(input)?;
    let unit = alt(("ms".value(0.001), "s".value(1.0), "m".value(60.0))).parse_next(input)?;
    Duration::try_from_secs_f64(number * unit)
        .map_err(|_| winnow::error::ErrMode::Cut(winnow::error::ContextError::new()))
}
