//! Logging with `fern`, as plain text or JSON lines, with the structured fields of each record.

use std::{
    fmt,
    io::Write as _,
    iter,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc,
    },
    time::{Duration, Instant},
};

use fern::Dispatch;
use log::{
    LevelFilter, Record,
    kv::{Error, Key, VisitSource},
};
use serde::{Serializer as _, ser::SerializeMap};
use serde_json::json;

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
/// Limit of the bytes of the queued lines; a line about a request contains parts that its caller chose.
const MAX_QUEUED_BYTES: u64 = 4 << 20;
/// Pause of the writer thread after each write. Lines that arrive in the meantime are written
/// together; otherwise each line costs a wake-up of the thread and a system call.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Limit of the lines that are written together.
const MAX_BATCH_LINES: usize = 512;
/// Bytes after which the lines are written without further ones.
const MAX_KEPT_BATCH_BYTES: usize = 256 << 10;
/// Initial capacity of a line; most lines about requests are shorter.
const LINE_CAPACITY_BYTES: usize = 512;
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
    IS_FLUSHING.store(true, Ordering::Release);
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    while QUEUED_LINES.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
        std::thread::sleep(FLUSH_CHECK_INTERVAL);
    }
}

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
static QUEUED_LINES: AtomicU64 = AtomicU64::new(0);
static QUEUED_BYTES: AtomicU64 = AtomicU64::new(0);
/// Set when the process exits: queued lines are written without pauses.
static IS_FLUSHING: AtomicBool = AtomicBool::new(false);

/// Creates an output that queues lines for a writer thread and never blocks.
fn queued_output() -> anyhow::Result<fern::Output> {
    let (sender, lines) = mpsc::sync_channel::<String>(MAX_QUEUED_LINES);
    std::thread::Builder::new().name("log".to_owned()).spawn(move || {
        let mut output = std::io::stdout().lock();
        let mut reported = 0;
        let mut batch = String::new();
        while let Ok(line) = lines.recv() {
            // A batch of unusually long lines is not kept.
            batch.clear();
            batch.shrink_to(MAX_KEPT_BATCH_BYTES);
            let (mut count, mut bytes) = (0, 0);
            for line in iter::once(line).chain(lines.try_iter().take(MAX_BATCH_LINES)) {
                batch.push_str(&line);
                batch.push('\n');
                count += 1;
                bytes += line.len() as u64;
                if batch.len() > MAX_KEPT_BATCH_BYTES {
                    break;
                }
            }
            let dropped = dropped_lines();
            if dropped > reported {
                reported = dropped;
                let notice = json!({ "message": "log lines dropped", "dropped": dropped });
                batch.push_str(&notice.to_string());
                batch.push('\n');
            }
            // A closed output cannot be reported anywhere; the node continues without it.
            let _ = output.write_all(batch.as_bytes()).and_then(|()| output.flush());
            QUEUED_LINES.fetch_sub(count, Ordering::AcqRel);
            QUEUED_BYTES.fetch_sub(bytes, Ordering::AcqRel);
            if !IS_FLUSHING.load(Ordering::Acquire) {
                std::thread::sleep(BATCH_INTERVAL);
            }
        }
    })?;
    Ok(fern::Output::call(move |record| {
        // Incremented before sending, so that the writer thread never decrements it below zero.
        QUEUED_LINES.fetch_add(1, Ordering::AcqRel);
        let line = record.args().to_string();
        let bytes = line.len() as u64;
        let queued_bytes = QUEUED_BYTES.fetch_add(bytes, Ordering::AcqRel) + bytes;
        if queued_bytes > MAX_QUEUED_BYTES || sender.try_send(line).is_err() {
            QUEUED_LINES.fetch_sub(1, Ordering::AcqRel);
            QUEUED_BYTES.fetch_sub(bytes, Ordering::AcqRel);
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    }))
}

/// Formats a record as a JSON object, without an intermediate tree, since a node writes a line for each
/// request.
fn json_line(message: &std::fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let mut line = Vec::with_capacity(LINE_CAPACITY_BYTES);
    let mut serializer = serde_json::Serializer::new(&mut line);
    // Neither the serializer, which writes to memory, nor `JsonFields` returns errors.
    let _ = write_fields(&mut serializer, message, record);
    String::from_utf8(line).unwrap_or_default()
}

fn write_fields(
    serializer: &mut serde_json::Serializer<&mut Vec<u8>>,
    message: &std::fmt::Arguments<'_>,
    record: &Record<'_>,
) -> serde_json::Result<()> {
    let mut line = serializer.serialize_map(None)?;
    line.serialize_entry("unix_s", &clock::unix_now().as_secs_f64())?;
    line.serialize_entry("level", record.level().as_str())?;
    line.serialize_entry("module", record.target())?;
    line.serialize_entry("message", message)?;
    let _ = record.key_values().visit(&mut JsonFields(&mut line));
    line.end()
}

/// Adds the structured fields of a record to a JSON object.
struct JsonFields<'a, M>(&'a mut M);

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for JsonFields<'_, M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: log::kv::Value<'kvs>) -> Result<(), Error> {
        let (map, key) = (&mut self.0, key.as_str());
        let written = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => map.serialize_entry(key, &number),
            (_, _, Some(flag)) => map.serialize_entry(key, &flag),
            (_, Some(number), _) => map.serialize_entry(key, &number),
            _ => map.serialize_entry(key, &format_args!("{value}")),
        };
        written.map_err(|_| Error::msg("a field has no JSON form"))
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
