//! `hibiscusd`, the daemon of a node.

use std::{path::PathBuf, process::ExitCode, sync::Arc};

use hibiscusdoor::{
    mesh::{self, MeshListeners, MeshSettings},
    node::{self, Listeners},
    platform::OperatorsPlatform,
    settings::Settings,
    telemetry::{self, LogTarget},
};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::Notify,
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

const USAGE: &str = "\
hibiscusd: overload control for one local upstream

Usage: hibiscusd [mesh] --settings FILE [--check]

Commands:
  mesh              run a node on the operators' platform, for an upstream that accepts requests
                    only from its own machine; without this command, run a node with the
                    project's own interface

Options:
  --settings FILE   settings in JSON
  --check           check the settings and exit
  -h, --help        print this help

Exit codes: 0 done, 1 failed, 2 wrong usage or settings.
";

/// Arguments of the command line.
struct Arguments {
    mesh: bool,
    settings: PathBuf,
    check: bool,
}

fn main() -> ExitCode {
    let mut raw = pico_args::Arguments::from_env();
    if raw.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    let arguments = match parse_arguments(raw) {
        Ok(arguments) => arguments,
        Err(error) => return usage_error(&error),
    };
    if arguments.mesh {
        return run_mesh_node(&arguments);
    }
    let settings = match Settings::from_file(&arguments.settings) {
        Ok(settings) => settings,
        Err(findings) => return usage_error(&findings),
    };
    if arguments.check {
        if let Err(findings) = node::check_configuration_file(&settings) {
            return usage_error(&findings);
        }
        println!("{}: no findings", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = telemetry::start_logging(&settings.log, LogTarget::StandardError) {
        return usage_error(&error);
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("starting the runtime failed: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    runtime.block_on(run_node(settings))
}

/// Runs a node in a mesh, on one thread: such a node gets less than one processor core.
fn run_mesh_node(arguments: &Arguments) -> ExitCode {
    let settings = match MeshSettings::from_file::<OperatorsPlatform>(&arguments.settings) {
        Ok(settings) => settings,
        Err(findings) => return usage_error(&findings),
    };
    if arguments.check {
        println!("{}: no findings", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = telemetry::start_logging(&settings.log, LogTarget::StandardOutput) {
        return usage_error(&error);
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("starting the runtime failed: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    runtime.block_on(async {
        let listeners = match MeshListeners::bind(&settings).await {
            Ok(listeners) => listeners,
            Err(findings) => return usage_error(&findings),
        };
        let shutdown = CancellationToken::new();
        let reload = Arc::new(Notify::new());
        let mut signals = JoinSet::new();
        signals.spawn(cancel_on_signal(shutdown.clone()));
        signals.spawn(reload_on_signal(reload.clone()));
        let result = mesh::run::<OperatorsPlatform>(settings, listeners, shutdown, reload).await;
        signals.shutdown().await;
        let code = exit_code(result);
        telemetry::flush_lines();
        code
    })
}

fn parse_arguments(mut raw: pico_args::Arguments) -> anyhow::Result<Arguments> {
    let mesh = match raw.subcommand()?.as_deref() {
        None => false,
        Some("mesh") => true,
        Some(other) => anyhow::bail!("unknown command {other:?}"),
    };
    let check = raw.contains("--check");
    let settings = raw.value_from_str("--settings")?;
    let rest = raw.finish();
    anyhow::ensure!(rest.is_empty(), "unexpected arguments: {rest:?}");
    Ok(Arguments { mesh, settings, check })
}

fn usage_error(error: &impl std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(EXIT_USAGE)
}

async fn run_node(settings: Settings) -> ExitCode {
    let listeners = match Listeners::bind(&settings).await {
        Ok(listeners) => listeners,
        Err(error) => return usage_error(&error),
    };
    // Supervisors and tests read the bound addresses from this line on standard output.
    match listeners.addresses().map(|addresses| serde_json::to_string(&addresses)) {
        Ok(Ok(line)) => println!("{line}"),
        Ok(Err(error)) => return usage_error(&error),
        Err(error) => return usage_error(&error),
    }
    let shutdown = CancellationToken::new();
    let signals = tokio::spawn(cancel_on_signal(shutdown.clone()));
    let result = node::run(settings, listeners, shutdown).await;
    signals.abort();
    let _ = signals.await;
    exit_code(result)
}

fn exit_code(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Notifies `reload` at each SIGHUP; the node then reads its settings again.
async fn reload_on_signal(reload: Arc<Notify>) {
    match signal(SignalKind::hangup()) {
        Ok(mut hangup) => {
            while hangup.recv().await.is_some() {
                reload.notify_one();
            }
        }
        Err(error) => {
            log::error!(cause:% = error; "listening for SIGHUP failed; settings are reloaded only when their file changes")
        }
    }
}

/// Cancels `shutdown` at the first SIGTERM or SIGINT; ends the process at once at the second.
async fn cancel_on_signal(shutdown: CancellationToken) {
    let (terminate, interrupt) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    if let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        shutdown.cancel();
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::warn!(
            "received a second SIGTERM or SIGINT; exiting at once, running requests are aborted"
        );
        std::process::exit(i32::from(EXIT_FAILED));
    }
    shutdown.cancel();
}
