//! Measures the control-plane cost of a node, which is its resource use without requests from
//! callers, at several fleet sizes, and fits lines over the size.

use std::{fmt, time::Duration};

use anyhow::{Context as _, ensure};
use bytes::Bytes;
use http::Method;
use serde_json::json;

use crate::standin::{Fleet, FleetOptions, HttpClient, NodeOptions, http_call, new_client};

const READY_TIMEOUT: Duration = Duration::from_secs(120);
/// Time for a fleet that was started to become idle before its first sample.
const SETTLE_TIME: Duration = Duration::from_secs(8);
const ZONE_COUNT: usize = 3;
/// Successive changes add organisations one by one up to this number, then start again with one.
const MAX_ORGANISATIONS: u64 = 8;
/// Clock ticks per second of the processor times in `/proc/<id>/stat`; Linux fixes them at 100 for
/// user space.
const TICKS_PER_S: f64 = 100.0;

/// Resource use in one interval: means per node, unless a field says otherwise.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sample {
    /// Number of nodes in the fleet.
    pub nodes: usize,
    /// Configuration changes per second, in the whole fleet.
    pub changes_per_s: f64,
    /// Processor time, in percent of one core.
    pub core_percent: f64,
    /// Resident memory, in MB.
    pub memory_mb: f64,
    /// Bytes sent and received per second, including the headers of TCP and IP.
    pub wire_bytes_per_s: f64,
    /// Calls to the platform per second, from the whole fleet.
    pub platform_calls_per_s: f64,
}

/// Samples of all fleet sizes; the text shows a fitted line per quantity.
#[derive(Debug)]
pub struct SlopeReport {
    /// The samples, in the order of the runs.
    pub samples: Vec<Sample>,
}

/// Counters at one time, summed over the nodes; the loopback bytes are those of the whole machine.
#[derive(Debug, Clone, Copy, Default)]
struct Counters {
    cpu_ticks: f64,
    memory_mb: f64,
    loopback_bytes: f64,
    platform_calls: f64,
}

/// Starts a fleet of each size and measures it without requests from callers: first idle, then with
/// one configuration change a second.
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
        let client = new_client();
        // A node without a configuration requests one from the platform; an idle fleet with one
        // sends no such requests.
        change_configuration(&fleet, &client, Duration::from_secs(1)).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        for changes in [false, true] {
            let before = read_counters(&fleet, &client).await?;
            let changes = match changes {
                true => change_configuration(&fleet, &client, interval).await?,
                false => {
                    tokio::time::sleep(interval).await;
                    0
                }
            };
            // Read before the other counters, since reading those causes traffic on the interface.
            let loopback_bytes = loopback_bytes()?;
            let after = Counters { loopback_bytes, ..read_counters(&fleet, &client).await? };
            let sample = sample_between(size, changes, before, after, interval);
            progress(&format!("{sample}"));
            samples.push(sample);
        }
    }
    Ok(SlopeReport { samples })
}

/// Changes the configuration once a second; returns the number of changes.
async fn change_configuration(
    fleet: &Fleet,
    client: &HttpClient,
    interval: Duration,
) -> anyhow::Result<u64> {
    let url = fleet.operator_url(0, "/v1/configuration");
    let changes = interval.as_secs();
    let mut ticks = tokio::time::interval(Duration::from_secs(1));
    for number in 0..changes {
        ticks.tick().await;
        let reply = http_call(client, Method::GET, &url, &[], Bytes::new()).await?;
        let organisations: Vec<_> = (0..=number % MAX_ORGANISATIONS)
            .map(|index| json!({ "name": format!("o{index}"), "rate_per_s": 100, "burst": 100 }))
            .collect();
        let document = json!({
            "revision": reply.json()["revision"],
            "organisations": organisations,
        });
        let body = Bytes::from(document.to_string());
        let reply = http_call(client, Method::PUT, &url, &[], body).await?;
        ensure!(
            reply.status.is_success(),
            "the node refused a change with {}: {:?}",
            reply.status,
            reply.body
        );
    }
    Ok(changes)
}

/// Bytes that the loopback interface has transferred since the machine started.
fn loopback_bytes() -> anyhow::Result<f64> {
    let text = std::fs::read_to_string("/proc/net/dev")?;
    let line = text.lines().find_map(|line| line.trim_start().strip_prefix("lo:"));
    let received = line.and_then(|line| line.split_whitespace().next());
    Ok(received.context("/proc/net/dev lists no loopback interface \"lo\"")?.parse()?)
}

async fn start_fleet(options: FleetOptions, size: usize) -> anyhow::Result<Fleet> {
    let mut fleet = Fleet::start(options)?;
    for index in 0..size {
        let zone = format!("zone-{}", index % ZONE_COUNT);
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
        sum.platform_calls += metric_sum(&text, "hibiscusdoor_platform_calls_total");
    }
    sum.loopback_bytes = loopback_bytes()?;
    Ok(sum)
}

/// Sum of a metric over all its labels, in the text of `/metrics`.
fn metric_sum(text: &str, name: &str) -> f64 {
    let samples = text.lines().filter(|line| line.starts_with(name));
    samples.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

fn cpu_ticks(process: u32) -> anyhow::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The command name in parentheses may contain spaces; user and system time are the 12th and
    // 13th field after it.
    let (_, fields) = stat
        .rsplit_once(") ")
        .context("/proc/<id>/stat contains no command name in parentheses")?;
    let times = fields.split(' ').skip(11).take(2);
    Ok(times.filter_map(|field| field.parse::<f64>().ok()).sum())
}

fn memory_mb(process: u32) -> anyhow::Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line
        .and_then(|line| line.split_whitespace().next())
        .context("/proc/<id>/status contains no value of VmRSS")?;
    Ok(kb.parse::<f64>()? / 1000.0)
}

fn sample_between(
    nodes: usize,
    changes: u64,
    before: Counters,
    after: Counters,
    interval: Duration,
) -> Sample {
    let count = nodes as f64;
    let seconds = interval.as_secs_f64();
    Sample {
        nodes,
        changes_per_s: changes as f64 / seconds,
        core_percent: (after.cpu_ticks - before.cpu_ticks) / TICKS_PER_S / seconds / count * 100.0,
        memory_mb: after.memory_mb / count,
        // A byte on the loopback interface is sent by one process and received by another.
        wire_bytes_per_s: 2.0 * (after.loopback_bytes - before.loopback_bytes) / seconds / count,
        platform_calls_per_s: (after.platform_calls - before.platform_calls) / seconds,
    }
}

impl fmt::Display for Sample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>6} {:>10.2} {:>10.3} {:>10.2} {:>14.0} {:>16.3}",
            self.nodes,
            self.changes_per_s,
            self.core_percent,
            self.memory_mb,
            self.wire_bytes_per_s,
            self.platform_calls_per_s,
        )
    }
}

impl fmt::Display for SlopeReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:>6} {:>10} {:>10} {:>10} {:>14} {:>16}",
            "nodes", "changes/s", "core %", "MB", "wire bytes/s", "platform calls/s"
        )?;
        for sample in &self.samples {
            writeln!(f, "{sample}")?;
        }
        for (name, value) in [
            ("core % a node", (|sample| sample.core_percent) as fn(&Sample) -> f64),
            ("MB a node", |sample| sample.memory_mb),
            ("wire bytes/s a node", |sample| sample.wire_bytes_per_s),
            ("platform calls/s of the fleet", |sample| sample.platform_calls_per_s),
        ] {
            let (idle, idle_slope) = self.fit_line(|sample| sample.changes_per_s == 0.0, value);
            let (busy, busy_slope) = self.fit_line(|sample| sample.changes_per_s > 0.0, value);
            writeln!(
                f,
                "{name}: idle {idle:.4} + {idle_slope:.6} x nodes, with changes {busy:.4} + \
                 {busy_slope:.6} x nodes"
            )?;
        }
        Ok(())
    }
}

impl SlopeReport {
    /// Fits a least-squares line of `value` over the number of nodes to the samples that
    /// `is_selected` accepts; returns intercept and slope.
    pub fn fit_line(
        &self,
        is_selected: impl Fn(&Sample) -> bool,
        value: impl Fn(&Sample) -> f64,
    ) -> (f64, f64) {
        let samples: Vec<&Sample> = self.samples.iter().filter(|it| is_selected(it)).collect();
        let count = samples.len().max(1) as f64;
        let mean_nodes = samples.iter().map(|it| it.nodes as f64).sum::<f64>() / count;
        let mean_value = samples.iter().map(|it| value(it)).sum::<f64>() / count;
        let deviations = samples.iter().map(|it| (it.nodes as f64 - mean_nodes, value(it)));
        let (mut covariance, mut variance) = (0.0, 0.0);
        for (nodes, value) in deviations {
            covariance += nodes * (value - mean_value);
            variance += nodes * nodes;
        }
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        (mean_value - slope * mean_nodes, slope)
    }
}
