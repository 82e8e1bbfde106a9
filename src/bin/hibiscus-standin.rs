//! Stand-ins of the platform and of an upstream, for tests only: not part of a release.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use hibiscusdoor::{
    settings::RawLog,
    standin::{UpstreamOptions, run_platform, run_upstream},
    telemetry,
};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
};
use tokio_util::sync::CancellationToken;

const EXIT_USAGE: u8 = 2;

const USAGE: &str = "\
hibiscus-standin: stand-ins of the platform and of an upstream, for tests

Usage:
  hibiscus-standin platform --listen ADDRESS
  hibiscus-standin upstream --service NAME --listen ADDRESS --node ADDRESS
                            [--slots N] [--service-time-ms N] [--calls PATH]
                            [--run-log FILE]
";

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    match run(arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

async fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    telemetry::start_logging(&RawLog::default(), telemetry::LogTarget::StandardError)?;
    let shutdown = CancellationToken::new();
    let signals = tokio::spawn(cancel_on_signal(shutdown.clone()));
    let listen: SocketAddr = arguments.value_from_str("--listen")?;
    let result = match arguments.subcommand()?.as_deref() {
        Some("platform") => {
            let listener = TcpListener::bind(listen).await?;
            println!("{}", listener.local_addr()?);
            run_platform(listener, shutdown).await;
            Ok(())
        }
        Some("upstream") => {
            let options = UpstreamOptions {
                service: arguments.value_from_str::<_, String>("--service")?.into(),
                listen,
                node: arguments.value_from_str("--node")?,
                slots: arguments.opt_value_from_str("--slots")?.unwrap_or(16),
                service_time: Duration::from_millis(
                    arguments.opt_value_from_str("--service-time-ms")?.unwrap_or(5),
                ),
                call_path: arguments.opt_value_from_str::<_, String>("--calls")?.map(Into::into),
                run_log: arguments.opt_value_from_str("--run-log")?,
            };
            run_upstream(options, shutdown).await
        }
        _ => anyhow::bail!("expected the command \"platform\" or \"upstream\"; see --help"),
    };
    signals.abort();
    let _ = signals.await;
    result
}

async fn cancel_on_signal(shutdown: CancellationToken) {
    if let Ok(mut terminate) = signal(SignalKind::terminate()) {
        terminate.recv().await;
    }
    shutdown.cancel();
}
