//! Logging with `fern`: human lines or JSON lines on standard error.

use fern::Dispatch;
use log::LevelFilter;
use serde_json::json;

use crate::{
    clock,
    settings::{LogFormat, LogLevel, RawLog},
};

/// Level of the libraries. Below it, HTTP libraries may write headers, and so keys.
const DEPENDENCIES_LEVEL: LevelFilter = LevelFilter::Warn;
/// Top modules of the project's programs.
pub const OWN_MODULES: [&str; 4] = ["hibiscusdoor", "hibiscusd", "hibiscusctl", "hibiscus_standin"];

/// Starts logging for the process.
pub fn start_logging(settings: &RawLog) -> anyhow::Result<()> {
    let mut dispatch = Dispatch::new().level(DEPENDENCIES_LEVEL);
    for program in OWN_MODULES {
        dispatch = dispatch.level_for(program, filter(settings.level));
    }
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
