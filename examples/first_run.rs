//! Starts one node with the embedded store and a test upstream, and prints one response and two
//! refusals: `cargo build --bins && cargo run --example first_run`.

use std::{
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use anyhow::Context as _;
use bytes::Bytes;
use hibiscusdoor::standin::{http_call, new_client};
use http::Method;

/// Address of the node's listener for callers.
const CALLERS_URL: &str = "http://127.0.0.1:7000";
/// Address of the node's listener for operators.
const OPERATORS_URL: &str = "http://127.0.0.1:7003";
const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A child process that is killed when the value is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let _node = start("hibiscusd", "--settings sample/settings.json")?;
    let upstream = "upstream --service drops --listen 127.0.0.1:0 --node 127.0.0.1:7001";
    let _upstream = start("hibiscus-standin", upstream)?;
    tokio::time::timeout(START_TIMEOUT, wait_for_service())
        .await
        .context("the node did not list its upstream within 20 s")?;
    print_response("With a key in force:", Some("Bearer bole.sample-secret-of-bole-bars")).await?;
    print_response("Without a key:", None).await?;
    print_response("With a wrong key:", Some("Bearer bole.wrong")).await
}

async fn wait_for_service() {
    let client = new_client();
    loop {
        let url = format!("{OPERATORS_URL}/state");
        if let Ok(state) = http_call(&client, Method::GET, &url, &[], Bytes::new()).await
            && state.json()["table"]["rows"][0]["service"] == "drops"
        {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends a request and prints the response.
async fn print_response(title: &str, authorization: Option<&str>) -> anyhow::Result<()> {
    let headers: Vec<_> = authorization.map(|value| ("authorization", value)).into_iter().collect();
    let url = format!("{CALLERS_URL}/drops/17");
    let reply = http_call(&new_client(), Method::POST, &url, &headers, "two crates").await?;
    println!("{title}");
    println!("  status {}, outcome {}", reply.status, reply.header("hibiscus-outcome"));
    println!("  {}", String::from_utf8_lossy(&reply.body));
    Ok(())
}

fn start(program: &str, arguments: &str) -> anyhow::Result<Process> {
    // Cargo builds examples into a subfolder of the one with the programs.
    let mut path: PathBuf = std::env::current_exe()?;
    path.pop();
    path.pop();
    let child = Command::new(path.join(program))
        .args(arguments.split(' '))
        .stdout(Stdio::null())
        .spawn()
        .with_context(|| format!("starting {program}; run `cargo build --bins` first"))?;
    Ok(Process(child))
}
