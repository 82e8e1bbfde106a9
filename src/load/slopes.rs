//! What a node costs for control at several fleet sizes, and the slopes over the size.

use std::{fmt, time::Duration};

use anyhow::Context as _;
use bytes::Bytes;
use http::Method;

use crate::standin::{Fleet, FleetOptions, HttpClient, NodeOptions, http_call, new_client};

const READY_TIMEOUT: Duration = Duration::from_secs(120);
const SETTLE: Duration = Duration::from_secs(8);
const ZONES: usize = 3;
/// Unit of the processor times in `/proc/<id>/stat`; Linux fixes it at 100 for user space.
const TICKS_PER_S: f64 = 100.0;

/// What a node used in one interval, in the mean over the fleet.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sample {
    /// Nodes of the fleet.
    pub nodes: usize,
    /// Processor time, in percent of one core.
    pub core_percent: f64,
    /// Resident memory, in MB.
    pub memory_mb: f64,
    /// Bytes sent and received between nodes, a second.
    pub peer_bytes_per_s: f64,
    /// Calls from the whole fleet to the platform, a second.
    pub platform_calls_per_s: f64,
}

/// Samples of all sizes and their slopes.
#[derive(Debug)]
pub struct SlopeReport {
    /// The samples, run by run.
    pub samples: Vec<Sample>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Counters {
    cpu_ticks: f64,
    memory_mb: f64,
    peer_bytes: f64,
    platform_calls: f64,
}

/// Starts a fleet of each size and measures it while nobody calls.
pub async fn measure_slopes(
    options: FleetOptions,
    sizes: &[usize],
    interval: Duration,
    progress: impl Fn(&str),
) -> anyhow::Result<SlopeReport> {
    let mut samples = Vec::new();
    for &size in sizes {
        progress(&format!("starting {size} nodes"));
        let fleet = start_fleet(options.clone(), size).await?;
        tokio::time::sleep(SETTLE).await;
        let client = new_client();
        let before = read_counters(&fleet, &client).await?;
        tokio::time::sleep(interval).await;
        let after = read_counters(&fleet, &client).await?;
        let sample = difference(size, before, after, interval);
        progress(&format!("{sample}"));
        samples.push(sample);
    }
    Ok(SlopeReport { samples })
}

async fn start_fleet(options: FleetOptions, size: usize) -> anyhow::Result<Fleet> {
    let mut fleet = Fleet::start(options)?;
    for index in 0..size {
        let zone = format!("zone-{}", index % ZONES);
        fleet.add_node(NodeOptions { zone, ..NodeOptions::default() })?;
    }
    fleet
        .wait_for_state("every node is in the table", READY_TIMEOUT, |state| {
            state["table"]["rows"].as_array().is_some_and(|rows| rows.len() == size)
        })
        .await?;
    Ok(fleet)
}

async fn read_counters(fleet: &Fleet, client: &HttpClient) -> anyhow::Result<Counters> {
    let mut sum = Counters::default();
    for (index, node) in fleet.nodes.iter().enumerate() {
        sum.cpu_ticks += cpu_ticks(node.daemon.id())?;
        sum.memory_mb += memory_mb(node.daemon.id())?;
        let url = fleet.operator_url(index, "/metrics");
        let reply = http_call(client, Method::GET, &url, &[], Bytes::new()).await?;
        let text = String::from_utf8_lossy(&reply.body);
        sum.peer_bytes += metric(&text, "hibiscusdoor_peer_bytes_total");
        sum.platform_calls += metric(&text, "hibiscusdoor_platform_calls_total");
    }
    Ok(sum)
}

/// Sums the samples of a metric over its labels.
fn metric(text: &str, name: &str) -> f64 {
    let samples = text.lines().filter(|line| line.starts_with(name));
    samples.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

fn cpu_ticks(process: u32) -> anyhow::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The command in parentheses may hold spaces; user and system time are 12 fields after it.
    let (_, fields) = stat.rsplit_once(") ").context("unreadable process state")?;
    let times = fields.split(' ').skip(11).take(2);
    Ok(times.filter_map(|field| field.parse::<f64>().ok()).sum())
}

fn memory_mb(process: u32) -> anyhow::Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next()).context("no memory size")?;
    Ok(kb.parse::<f64>()? / 1000.0)
}

fn difference(nodes: usize, before: Counters, after: Counters, interval: Duration) -> Sample {
    let count = nodes as f64;
    let seconds = interval.as_secs_f64();
    Sample {
        nodes,
        core_percent: (after.cpu_ticks - before.cpu_ticks) / TICKS_PER_S / seconds / count * 100.0,
        memory_mb: after.memory_mb / count,
        peer_bytes_per_s: (after.peer_bytes - before.peer_bytes) / seconds / count,
        platform_calls_per_s: (after.platform_calls - before.platform_calls) / seconds,
    }
}

impl fmt::Display for Sample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>6} {:>10.3} {:>10.2} {:>14.0} {:>16.3}",
            self.nodes,
            self.core_percent,
            self.memory_mb,
            self.peer_bytes_per_s,
            self.platform_calls_per_s,
        )
    }
}

impl fmt::Display for SlopeReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:>6} {:>10} {:>10} {:>14} {:>16}",
            "nodes", "core %", "MB", "peer bytes/s", "platform calls/s"
        )?;
        for sample in &self.samples {
            writeln!(f, "{sample}")?;
        }
        for (name, value) in [
            ("core % a node", (|sample| sample.core_percent) as fn(&Sample) -> f64),
            ("MB a node", |sample| sample.memory_mb),
            ("peer bytes/s a node", |sample| sample.peer_bytes_per_s),
            ("platform calls/s of the fleet", |sample| sample.platform_calls_per_s),
        ] {
            let (intercept, slope) = self.fit(value);
            writeln!(f, "{name}: {intercept:.4} + {slope:.6} x nodes")?;
        }
        Ok(())
    }
}

impl SlopeReport {
    /// Least-squares line through a value over the number of nodes: intercept and slope.
    pub fn fit(&self, value: impl Fn(&Sample) -> f64) -> (f64, f64) {
        let count = self.samples.len().max(1) as f64;
        let mean_nodes = self.samples.iter().map(|it| it.nodes as f64).sum::<f64>() / count;
        let mean_value = self.samples.iter().map(&value).sum::<f64>() / count;
        let deviations = self.samples.iter().map(|it| (it.nodes as f64 - mean_nodes, value(it)));
        let (mut covariance, mut variance) = (0.0, 0.0);
        for (nodes, value) in deviations {
            covariance += nodes * (value - mean_value);
            variance += nodes * nodes;
        }
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        (mean_value - slope * mean_nodes, slope)
    }
}
