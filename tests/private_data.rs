//! Keys, secrets and bodies must not appear in logs, metrics, state dumps or error messages.

mod support;

use std::path::Path;

use bytes::Bytes;
use hibiscusdoor::{
    call::ContextSigner,
    settings::FleetSecret,
    standin::{FLEET_SECRET, Fleet, NodeOptions, http_call, new_client},
};
use http::Method;
use serde_json::{Value, json};

use crate::support::{start_fleet, wait_until_serving};

const SECRET: &str = "kJ3mPq8sVt2xZa5cEf7h";
const REFUSED_SECRET: &str = "Zz9yXw8vUt7sRq6pOn5m";
const BODY: &str = "forty-two-crates-for-the-corner-bar";

/// Guards against a key, a fleet secret or a body in a log, a metric, a state dump or an error.
///
/// The nodes log at the level `trace`, and the test provokes failures of many kinds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn secrets_and_bodies_appear_nowhere() -> anyhow::Result<()> {
    let (mut fleet, folder) = start_fleet();
    for (index, format) in ["json", "human", "json"].into_iter().enumerate() {
        fleet.settings = json!({ "log": { "level": "trace", "format": format } });
        fleet.add_node(NodeOptions {
            zone: format!("zone-{index}"),
            service: ["drops", "drops", "trucks"][index].to_owned(),
            slots: 8,
            service_time_ms: 1,
            ..NodeOptions::default()
        })?;
    }
    let mut outputs = vec![("configuration errors", refused_configuration(&fleet).await?)];
    configure(&fleet).await?;
    outputs.push(("error answers", failing_requests(&mut fleet).await?));
    outputs.push(("operators' pages", operators_pages(&fleet).await?));
    outputs.push(("logs", logs(folder.path())?));
    let token = ContextSigner::new(&FleetSecret::new(FLEET_SECRET)).peer_token().clone();
    for (what, text) in outputs {
        assert!(!text.is_empty(), "{what} are empty");
        for private_text in [SECRET, REFUSED_SECRET, FLEET_SECRET, BODY, &*token] {
            let at = text.find(private_text);
            let line = at.and_then(|at| text[..at + private_text.len()].lines().last());
            assert!(line.is_none(), "private text in the {what}: {line:?}");
        }
    }
    Ok(())
}

async fn configure(fleet: &Fleet) -> anyhow::Result<()> {
    let url = fleet.operator_url(0, "/v1/configuration");
    let reply = http_call(&new_client(), Method::PUT, &url, &[], document(SECRET)).await?;
    assert_eq!(reply.status, 200, "{:?}", reply.body);
    wait_until_serving(fleet, 3, 10.0).await
}

fn document(secret: &str) -> String {
    let mut document: Value =
        serde_json::from_str(include_str!("../sample/configuration.json")).expect("JSON");
    document["keys"][0]["secret"] = json!(secret);
    document.to_string()
}

/// Sends configurations that are truncated or have a secret in a wrong field; returns the answers.
async fn refused_configuration(fleet: &Fleet) -> anyhow::Result<String> {
    let mut text = String::new();
    let complete_key = json!(format!("bole.{REFUSED_SECRET}"));
    for pointer in ["/keys/0/id", "/keys/0/organisation", "/keys/0/hash", "/keys/0", "/keys"] {
        let mut document: Value = serde_json::from_str(&document(REFUSED_SECRET))?;
        document["keys"][0]["hash"] = Value::Null;
        let field = document.pointer_mut(pointer).expect("the sample has this field");
        *field = complete_key.clone();
        let url = fleet.operator_url(1, "/v1/configuration");
        let body = document.to_string();
        let reply = http_call(&new_client(), Method::PUT, &url, &[], body.clone()).await?;
        assert_eq!(reply.status, 400, "{pointer}: {:?}", reply.body);
        text.push_str(&String::from_utf8_lossy(&reply.body));
        let truncated_body = body[..body.len() - 9].to_owned();
        let reply = http_call(&new_client(), Method::PUT, &url, &[], truncated_body).await?;
        text.push_str(&String::from_utf8_lossy(&reply.body));
    }
    Ok(text)
}

/// Sends requests that fail in different ways; returns their answers.
async fn failing_requests(fleet: &mut Fleet) -> anyhow::Result<String> {
    let client = new_client();
    let key = format!("Bearer bole.{SECRET}");
    let refused = format!("Bearer bole.{REFUSED_SECRET}");
    let headers_with_key = [("authorization", key.as_str())];
    let reply =
        http_call(&client, Method::POST, &fleet.caller_url(2, "/drops/1"), &headers_with_key, BODY)
            .await?;
    assert_eq!(reply.status, 200, "{:?}", reply.body);
    let large = BODY.repeat(1 + (1 << 20) / BODY.len());
    let attempts = [
        ("/drops/1", vec![("authorization", refused.as_str())], BODY),
        ("/drops/1", vec![("authorization", REFUSED_SECRET)], BODY),
        ("/drops/1", vec![("x-api-key", SECRET)], BODY),
        ("/drops/1", vec![], BODY),
        ("/nowhere", vec![("authorization", &key)], BODY),
        ("/stock/1", vec![("authorization", &key)], BODY),
        ("/drops/1", vec![("authorization", &key)], &large),
        ("/drops/1", vec![("authorization", &key), ("idempotency-key", SECRET)], BODY),
    ];
    let mut text = String::new();
    for (path, headers, body) in attempts {
        for index in 0..2 {
            let url = fleet.caller_url(index, path);
            let sent = http_call(&client, Method::POST, &url, &headers, body.to_owned()).await;
            // A body that is too large may be refused before it has been sent completely.
            let Ok(reply) = sent else { continue };
            assert!(!reply.status.is_success(), "{path}: {:?}", reply.body);
            text.push_str(&format!("{:?} ", reply.headers));
            text.push_str(&String::from_utf8_lossy(&reply.body));
        }
    }
    let url = format!("http://{}/announce", fleet.nodes[0].addresses.upstream);
    let reply =
        http_call(&client, Method::POST, &url, &[], format!("{{\"service\":[{BODY}")).await?;
    text.push_str(&String::from_utf8_lossy(&reply.body));
    // The upstreams crash while running the request, then a node is killed under traffic.
    let crash = [("authorization", key.as_str()), ("x-standin-crash", "1")];
    for index in 0..3 {
        let url = fleet.caller_url(index, "/drops/1");
        let reply = http_call(&client, Method::POST, &url, &crash, BODY).await?;
        text.push_str(&String::from_utf8_lossy(&reply.body));
    }
    fleet.kill_node(0)?;
    for _ in 0..5 {
        let url = fleet.caller_url(2, "/drops/1");
        let reply = http_call(&client, Method::POST, &url, &headers_with_key, BODY).await?;
        // A complete response of the stand-in contains the body of the request.
        if !reply.status.is_success() {
            text.push_str(&String::from_utf8_lossy(&reply.body));
        }
    }
    Ok(text)
}

/// Fetches the pages of the operators' listeners.
async fn operators_pages(fleet: &Fleet) -> anyhow::Result<String> {
    let mut text = String::new();
    for index in 1..fleet.nodes.len() {
        for path in ["/metrics", "/state", "/v1/configuration", "/v1/nodes", "/healthz", "/none"] {
            let url = fleet.operator_url(index, path);
            let reply = http_call(&new_client(), Method::GET, &url, &[], Bytes::new()).await?;
            text.push_str(&String::from_utf8_lossy(&reply.body));
        }
    }
    Ok(text)
}

/// Reads the logs of all processes; checks the lines of those in JSON format.
fn logs(folder: &Path) -> anyhow::Result<String> {
    let mut all = String::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let text = std::fs::read_to_string(&path)?;
        if path.ends_with("i00.log") || path.ends_with("i02.log") {
            assert!(text.contains("hibiscusdoor::node"), "{}: {text}", path.display());
            for line in text.lines() {
                let line: Value = serde_json::from_str(line)?;
                assert!(line["unix_s"].is_f64() && line["module"].is_string(), "{line}");
                assert!(line["level"].is_string() && line["message"].is_string(), "{line}");
            }
        }
        all.push_str(&text);
    }
    Ok(all)
}
