//! The load tool, `hibiscus-load`: runs load plans, measures latency and the control-plane cost.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use anyhow::{Context as _, bail, ensure};
use hibiscusdoor::{
    findings::Findings,
    load::{Plan, draw_goodput, measure_hop, measure_slopes, run_plan},
    standin::FleetOptions,
};

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const DEFAULT_CALLS: u32 = 4000;
const DEFAULT_INTERVAL_S: u64 = 20;
/// Numbers of nodes of the fleets that `slopes` measures.
const SLOPE_FLEET_SIZES: [usize; 5] = [4, 8, 16, 32, 64];

const USAGE: &str = "\
hibiscus-load: sends load to a fleet and measures it

Usage: hibiscus-load COMMAND

Commands:
  run PLAN [--json FILE] [--plot FILE]  run a plan in JSON, see sample/load-plan.json
  hop [--calls N]                       latency that one and two nodes add, on a new fleet
  slopes [--interval-s N] [--runs N]    control-plane cost at 4, 8, 16, 32 and 64 nodes

Exit codes: 0 done, 1 failed or received a wrong answer, 2 wrong usage or plan.
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
            match error.is::<Findings>() || error.is::<pico_args::Error>() {
                true => ExitCode::from(EXIT_USAGE),
                false => ExitCode::from(EXIT_FAILED),
            }
        }
    }
}

async fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    match arguments.subcommand()?.as_deref() {
        Some("run") => run_command(arguments).await,
        Some("hop") => {
            let calls = arguments.opt_value_from_str("--calls")?.unwrap_or(DEFAULT_CALLS);
            let folder = WorkFolder::new("hop")?;
            let report = measure_hop(folder.fleet_options()?, calls).await?;
            print!("{report}");
            Ok(())
        }
        Some("slopes") => {
            let interval_s =
                arguments.opt_value_from_str("--interval-s")?.unwrap_or(DEFAULT_INTERVAL_S);
            let runs: usize = arguments.opt_value_from_str("--runs")?.unwrap_or(1);
            let folder = WorkFolder::new("slopes")?;
            let sizes = SLOPE_FLEET_SIZES.repeat(runs);
            let interval = Duration::from_secs(interval_s);
            let report = measure_slopes(folder.fleet_options()?, &sizes, interval, |line| {
                eprintln!("{line}")
            })
            .await?;
            print!("{report}");
            Ok(())
        }
        _ => bail!("expected the command \"run\", \"hop\" or \"slopes\"; see --help"),
    }
}

async fn run_command(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let json: Option<PathBuf> = arguments.opt_value_from_str("--json")?;
    let plot: Option<PathBuf> = arguments.opt_value_from_str("--plot")?;
    let file: PathBuf = arguments.free_from_str()?;
    let plan = Plan::from_file(&file)?;
    let report = run_plan(&plan, |line| eprintln!("{line}")).await;
    print!("{report}");
    if let Some(path) = json {
        std::fs::write(&path, serde_json::to_vec_pretty(&report)?)
            .with_context(|| format!("writing {}", path.display()))?;
    }
    if let Some(path) = plot {
        draw_goodput(&report, &path)?;
    }
    let wrong_answers: u64 =
        report.streams.iter().map(|stream| stream.ending_count("wrong_answer")).sum();
    ensure!(
        wrong_answers == 0,
        "{wrong_answers} answers were truncated or belong to another request"
    );
    Ok(())
}

/// A temporary folder for settings files and logs; removed when it is dropped.
struct WorkFolder(PathBuf);

impl WorkFolder {
    fn new(name: &str) -> anyhow::Result<Self> {
        let path = std::env::temp_dir().join(format!("hibiscus-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    fn fleet_options(&self) -> anyhow::Result<FleetOptions> {
        let mut programs = std::env::current_exe()?;
        programs.pop();
        Ok(FleetOptions { programs, folder: self.0.clone() })
    }
}

impl Drop for WorkFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
