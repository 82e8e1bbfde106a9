//! Logging with `fern`, as plain text or JSON lines, with the structured fields of each record.

use std::{
    fmt,
    io::Write as _,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    time::{Duration, Instant},
};

use fern::Dispatch;
use log::{
    LevelFilter, Record,
    kv::{Error, Key, VisitSource},
};
use serde_json::{Map, Value, json};

use crate::{
    clock,
    settings::{LogFormat, LogLevel, RawLog},
};

/// Log level of libraries. At lower levels, HTTP libraries may log headers, which contain keys.
const DEPENDENCIES_LEVEL: LevelFilter = LevelFilter::Warn;
/// Root modules of this project's library and programs.
pub const OWN_MODULES: [&str; 4] = ["hibiscusdoor", "hibiscusd", "hibiscusctl", "hibiscus_standin"];

/// Capacity of the queue of log lines; lines beyond it are dropped and counted.
const MAX_QUEUED_LINES: usize = 4096;
/// Longest wait for queued lines to be written at process exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which that wait checks the queue.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Output of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogTarget {
    /// Standard error, written synchronously.
    StandardError,
    /// Standard output, written by a separate thread, so that a slow reader does not block the
    /// threads that log.
    StandardOutput,
}

/// Initializes logging for the process; must be called only once.
pub fn start_logging(settings: &RawLog, target: LogTarget) -> anyhow::Result<()> {
    let mut dispatch = Dispatch::new().level(DEPENDENCIES_LEVEL);
    for program in OWN_MODULES {
        dispatch = dispatch.level_for(program, to_level_filter(settings.level));
    }
    for (module, level) in &settings.modules {
        dispatch = dispatch.level_for(module.clone(), to_level_filter(*level));
    }
    let dispatch = match settings.format {
        LogFormat::Human => dispatch.format(|out, message, record| {
            out.finish(format_args!(
                "{:.3} {:<5} {}: {message}{}",
                clock::unix_now().as_secs_f64(),
                record.level(),
                record.target(),
                HumanFields(record),
            ));
        }),
        LogFormat::Json => dispatch.format(|out, message, record| {
            out.finish(format_args!("{}", json_line(message, record)));
        }),
    };
    match target {
        LogTarget::StandardError => dispatch.chain(std::io::stderr()).apply()?,
        LogTarget::StandardOutput => dispatch.chain(queued_output()?).apply()?,
    }
    Ok(())
}

/// Returns the number of lines dropped since the start because the queue to standard output was
/// full.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Waits at process exit until all queued lines are written, at most `FLUSH_TIMEOUT`.
pub fn flush_lines() {
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    while QUEUED_LINES.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
        std::thread::sleep(FLUSH_CHECK_INTERVAL);
    }
}

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
static QUEUED_LINES: AtomicU64 = AtomicU64::new(0);

/// Creates an output that queues lines for a writer thread and never blocks.
fn queued_output() -> anyhow::Result<fern::Output> {
    let (sender, lines) = mpsc::sync_channel::<String>(MAX_QUEUED_LINES);
    std::thread::Builder::new().name("log".to_owned()).spawn(move || {
        let mut output = std::io::stdout().lock();
        let mut reported = 0;
        while let Ok(line) = lines.recv() {
            // A closed output cannot be reported anywhere; the node continues without it.
            let _ = writeln!(output, "{line}");
            QUEUED_LINES.fetch_sub(1, Ordering::AcqRel);
            let dropped = dropped_lines();
            if dropped > reported {
                reported = dropped;
                let _ = writeln!(
                    output,
                    "{}",
                    json!({ "message": "log lines dropped", "dropped": dropped })
                );
            }
        }
    })?;
    Ok(fern::Output::call(move |record| {
        // Incremented before sending, so that the writer thread never decrements it below zero.
        QUEUED_LINES.fetch_add(1, Ordering::AcqRel);
        if sender.try_send(record.args().to_string()).is_err() {
            QUEUED_LINES.fetch_sub(1, Ordering::AcqRel);
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    }))
}

fn json_line(message: &std::fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let mut line = Map::new();
    line.insert("unix_s".to_owned(), json!(clock::unix_now().as_secs_f64()));
    line.insert("level".to_owned(), json!(record.level().as_str()));
    line.insert("module".to_owned(), json!(record.target()));
    line.insert("message".to_owned(), json!(message.to_string()));
    // `JsonFields` returns no errors.
    let _ = record.key_values().visit(&mut JsonFields(&mut line));
    Value::Object(line).to_string()
}

/// Adds the structured fields of a record to a JSON object.
struct JsonFields<'a>(&'a mut Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for JsonFields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: log::kv::Value<'kvs>) -> Result<(), Error> {
        let field = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => json!(number),
            (_, _, Some(flag)) => json!(flag),
            (_, Some(number), _) => json!(number),
            _ => json!(value.to_string()),
        };
        self.0.insert(key.as_str().to_owned(), field);
        Ok(())
    }
}

/// Formats the structured fields of a record as ` key=value`, to follow its message.
struct HumanFields<'a>(&'a Record<'a>);

impl fmt::Display for HumanFields<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        struct Fields<'a, 'f>(&'a mut fmt::Formatter<'f>);
        impl<'kvs> VisitSource<'kvs> for Fields<'_, '_> {
            fn visit_pair(
                &mut self,
                key: Key<'kvs>,
                value: log::kv::Value<'kvs>,
            ) -> Result<(), Error> {
                write!(self.0, " {key}={value}")?;
                Ok(())
            }
        }
        self.0.key_values().visit(&mut Fields(f)).map_err(|_| fmt::Error)
    }
}

fn to_level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}
