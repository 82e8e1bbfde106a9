//! Runs the overload scenarios on both deployments with hibiscusdoor and two baselines, and prints
//! a table for each scenario: `cargo run --release --example overload [-- NAME-PART]`.
//!
//! With `NAME-PART`, only scenarios with that text in their name run. `--seeds N` sets the number
//! of seeds (default 5), `--only CONTROL` runs only this control, and `--policies` runs
//! hibiscusdoor with one policy disabled at a time in place of the baselines.

use std::{path::Path, sync::Mutex, time::Instant};

use anyhow::Context as _;
use hibiscusdoor::experiment::{Control, Deployment, Figures, Policy, Scenario, median, run};

/// Folder of the scenario files.
const SCENARIOS_FOLDER: &str = "tests/scenarios";
const FIRST_SEED: u64 = 1;
const DEFAULT_SEEDS: u64 = 5;
const MAX_THREADS: usize = 6;
const DEPLOYMENTS: [&str; 2] = ["tesfaye", "swanleigh"];
const CONTROLS: [(&str, Control); 10] = [
    ("none", Control::None),
    ("fixed", Control::Fixed),
    ("hibiscusdoor", Control::Hibiscusdoor),
    ("without first hop", Control::Without(Policy::FirstHop)),
    ("without pressure", Control::Without(Policy::Pressure)),
    ("without proportion", Control::Without(Policy::Proportion)),
    ("without adaptive limit", Control::Without(Policy::AdaptiveLimit)),
    ("without own time", Control::Without(Policy::OwnTime)),
    ("without routing", Control::Without(Policy::Routing)),
    ("without cancellation", Control::Without(Policy::Cancellation)),
];

/// A run, by index of its deployment, scenario and control.
struct Job {
    deployment: usize,
    scenario: usize,
    control: usize,
    seed: u64,
}

fn main() -> anyhow::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let seeds: u64 = arguments.opt_value_from_str("--seeds")?.unwrap_or(DEFAULT_SEEDS);
    let policies = arguments.contains("--policies");
    let only: Option<String> = arguments.opt_value_from_str("--only")?;
    let name_part: String = arguments.opt_free_from_str()?.unwrap_or_default();
    let mut deployments = Vec::new();
    for name in DEPLOYMENTS {
        let text =
            std::fs::read_to_string(format!("{SCENARIOS_FOLDER}/deployment-{name}.scenario"))?;
        deployments.push(Deployment::read(name, &text).map_err(anyhow::Error::msg)?);
    }
    let scenarios = read_scenarios(&name_part)?;
    let mut jobs = Vec::new();
    for scenario in 0..scenarios.len() {
        for deployment in 0..deployments.len() {
            for (control, (name, _)) in CONTROLS.iter().enumerate() {
                let is_selected = match &only {
                    Some(only) => only == name,
                    None => policies == name.starts_with("without"),
                };
                if is_selected {
                    let seeds = FIRST_SEED..FIRST_SEED + seeds;
                    jobs.extend(seeds.map(|seed| Job { deployment, scenario, control, seed }));
                }
            }
        }
    }
    let started = Instant::now();
    let total = jobs.len();
    // Threads take jobs from the end of the list, where the longest runs are.
    let jobs = Mutex::new(jobs);
    let results = Mutex::new(Vec::new());
    let threads = std::thread::available_parallelism()?.get().min(MAX_THREADS);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let Some(job) = jobs.lock().expect("no panic").pop() else { return };
                    let control = CONTROLS[job.control].1;
                    let figures = run(
                        &deployments[job.deployment],
                        &scenarios[job.scenario],
                        control,
                        job.seed,
                    );
                    results.lock().expect("no panic").push((job, figures));
                }
            });
        }
    });
    let results = results.into_inner()?;
    for (index, scenario) in scenarios.iter().enumerate() {
        println!("\n### {}\n", scenario.name);
        println!(
            "| deployment | control | goodput | recovery s | worst org. | wrongful | attempts \
             | max | sendings | inversions | by class (ideal) |"
        );
        println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (deployment_index, deployment) in deployments.iter().enumerate() {
            for (control, (name, _)) in CONTROLS.iter().enumerate() {
                let runs: Vec<&Figures> = results
                    .iter()
                    .filter(|(job, _)| {
                        (job.scenario, job.deployment, job.control)
                            == (index, deployment_index, control)
                    })
                    .map(|(_, figures)| figures)
                    .collect();
                if !runs.is_empty() {
                    print_row(deployment, name, &runs);
                }
            }
        }
    }
    println!("\n{total} runs in {:.0} s", started.elapsed().as_secs_f64());
    Ok(())
}

fn read_scenarios(name_part: &str) -> anyhow::Result<Vec<Scenario>> {
    let mut files: Vec<_> = Path::new(SCENARIOS_FOLDER)
        .read_dir()
        .context("reading tests/scenarios; run this in the root of the repository")?
        .collect::<Result<Vec<_>, _>>()?;
    files.sort_by_key(std::fs::DirEntry::file_name);
    let mut scenarios = Vec::new();
    for file in files {
        let name = file.file_name().to_string_lossy().into_owned();
        let name = name.strip_prefix("overload-").and_then(|it| it.strip_suffix(".scenario"));
        let Some(name) = name.filter(|name| name.contains(name_part)) else { continue };
        let text = std::fs::read_to_string(file.path())?;
        scenarios.push(Scenario::read(name, &text).map_err(anyhow::Error::msg)?);
    }
    Ok(scenarios)
}

/// Prints the medians of the runs with several seeds as a row of the table.
fn print_row(deployment: &Deployment, control: &str, runs: &[&Figures]) {
    let median_of = |figure: &dyn Fn(&Figures) -> f64| median(runs.iter().map(|run| figure(run)));
    let optional = |figure: &dyn Fn(&Figures) -> Option<f64>, places: usize| {
        let values: Vec<f64> = runs.iter().filter_map(|run| figure(run)).collect();
        match values.is_empty() {
            true => "-".to_owned(),
            false => match median(values) {
                value if value.is_finite() => format!("{value:.places$}"),
                _ => "not".to_owned(),
            },
        }
    };
    let classes: Vec<String> = deployment
        .classes
        .iter()
        .enumerate()
        .map(|(index, class)| {
            let served = median_of(&|run| run.classes[index].served);
            let ideal = median_of(&|run| run.classes[index].ideal);
            format!("{} {served:.3} ({ideal:.3})", class.name)
        })
        .collect();
    println!(
        "| {} | {control} | {:.3} | {} | {:.3} | {} | {:.3} | {:.0} | {:.2} | {:.0} | {} |",
        deployment.name,
        median_of(&|run| run.goodput),
        optional(&|run| run.recovery_s, 1),
        median_of(&|run| run.fair),
        optional(&|run| run.wrongful, 4),
        median_of(&|run| run.attempts),
        median_of(&|run| run.attempts_max),
        median_of(&|run| run.sendings),
        median_of(&|run| run.inversions),
        classes.join(", "),
    );
}
