//! Logging with `fern`: human lines or JSON lines on standard error.

use fern::Dispatch;
use log::LevelFilter;
use serde_json::json;

use crate::{
    clock,
    settings::{LogFormat, LogLevel, RawLog},
};

/// Starts logging for the process.
pub fn start_logging(settings: &RawLog) -> anyhow::Result<()> {
    let mut dispatch = Dispatch::new().level(filter(settings.level));
    for (module, level) in &settings.modules {
        dispatch = dispatch.level_for(module.clone(), filter(*level));
    }
    let dispatch = match settings.format {
        LogFormat::Human => dispatch.format(|out, message, record| {
            out.finish(format_args!(
                "{:.3} {:<5} {}: {message}",
                clock::unix_now().as_secs_f64(),
                record.level(),
                record.target(),
            ));
        }),
        LogFormat::Json => dispatch.format(|out, message, record| {
            let line = json!({
                "unix_s": clock::unix_now().as_secs_f64(),
                "level": record.level().as_str(),
                "module": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        }),
    };
    dispatch.chain(std::io::stderr()).apply()?;
    Ok(())
}

fn filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}
