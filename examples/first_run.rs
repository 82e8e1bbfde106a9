//! Starts one node with the embedded store and an upstream stand-in, and shows an answer and a
//! refusal: `cargo build --bins && cargo run --example first_run`.

use std::{
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use anyhow::Context as _;
use bytes::Bytes;
use hibiscusdoor::standin::{http_call, new_client};
use http::Method;

const CALLERS: &str = "http://127.0.0.1:7000";
const OPERATORS: &str = "http://127.0.0.1:7003";
const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Ends the process when it goes out of scope.
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
    tokio::time::timeout(START_TIMEOUT, wait_for_service()).await.context("the node is not up")?;
    show("With a key in force:", Some("Bearer bole.sample-secret-of-bole-bars")).await?;
    show("Without a key:", None).await?;
    show("With a wrong key:", Some("Bearer bole.wrong")).await
}

async fn wait_for_service() {
    let client = new_client();
    loop {
        let url = format!("{OPERATORS}/state");
        if let Ok(state) = http_call(&client, Method::GET, &url, &[], Bytes::new()).await
            && state.json()["table"]["rows"][0]["service"] == "drops"
        {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn show(title: &str, authorization: Option<&str>) -> anyhow::Result<()> {
    let headers: Vec<_> = authorization.map(|value| ("authorization", value)).into_iter().collect();
    let url = format!("{CALLERS}/drops/17");
    let reply = http_call(&new_client(), Method::POST, &url, &headers, "two crates").await?;
    println!("{title}");
    println!("  status {}, outcome {}", reply.status, reply.header("hibiscus-outcome"));
    println!("  {}", String::from_utf8_lossy(&reply.body));
    Ok(())
}

fn start(program: &str, arguments: &str) -> anyhow::Result<Process> {
    // Cargo puts examples into a folder below that of the programs.
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
