//! The load tool: checks of plans and classification of answers.

mod support;

use bytes::Bytes;
use hibiscusdoor::{
    findings,
    load::{Plan, RawPlan, Report, run_plan},
    standin::{NodeOptions, http_call, new_client},
};
use http::Method;
use serde_json::{Value, json};

use crate::support::{WAIT, start_fleet};

fn check_plan(plan: Value, places: &[&str]) {
    let text = plan.to_string();
    let checked = findings::check_input::<RawPlan>("plan.json", &text);
    let findings = checked.err().unwrap_or_default().findings;
    let found: Vec<&str> = findings.iter().map(|finding| finding.place.as_str()).collect();
    assert_eq!(found, places);
}

fn plan() -> Value {
    json!({
        "nodes": ["127.0.0.1:1"],
        "duration_ms": 1000,
        "streams": [{ "name": "a", "path": "/a", "rate_per_s": 1 }],
    })
}

fn plan_with(pointer: &str, value: Value) -> Value {
    let mut plan = plan();
    *plan.pointer_mut(pointer).expect("a place of the plan") = value;
    plan
}

cases! {
    check_plan:
    good_plan_has_no_findings(plan(), &[]),
    node_must_be_an_address(plan_with("/nodes/0", json!("localhost")), &["/nodes/0"]),
    rate_must_be_positive(
        plan_with("/streams/0/rate_per_s", json!(0)),
        &["/streams/0/rate_per_s"],
    ),
    path_must_start_with_a_slash(plan_with("/streams/0/path", json!("a")), &["/streams/0/path"]),
    unknown_field_is_a_finding(
        plan_with("/streams/0", json!({
            "name": "a", "path": "/a", "rate_per_s": 1, "rate": 1,
        })),
        &["/streams/0/rate"],
    ),
}

/// Guards against a tool that counts a refusal, or the answer to another request, as a complete
/// response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endings_are_told_apart() -> anyhow::Result<()> {
    let (mut fleet, _folder) = start_fleet();
    fleet.add_node(NodeOptions {
        zone: "a".to_owned(),
        service: "drops".to_owned(),
        slots: 32,
        ..NodeOptions::default()
    })?;
    let url = fleet.operator_url(0, "/v1/configuration");
    let mut document: Value = serde_json::from_str(include_str!("../sample/configuration.json"))?;
    // The streams together exceed the rate of the sample configuration.
    document["organisations"][0]["rate_per_s"] = json!(100_000);
    let body = Bytes::from(document.to_string());
    assert_eq!(http_call(&new_client(), Method::PUT, &url, &[], body).await?.status, 200);
    let ready =
        |state: &Value| state["revision"] == 1 && state["table"]["rows"][0]["service"] == "drops";
    fleet.wait_for_state("a row with the service", WAIT, ready).await?;
    let stream = |name: &str, key: &str, echo: &str| {
        json!({
            "name": name, "path": "/drops/1", "key": key, "rate_per_s": 50, "echo": echo,
            "retry": { "retries": 2, "delay_ms": 1 },
        })
    };
    let key = "bole.sample-secret-of-bole-bars";
    let raw = json!({
        "nodes": [fleet.nodes[0].addresses.callers],
        "duration_ms": 1000,
        "seed": 7,
        "streams": [
            stream("own", key, "/body"),
            stream("foreign", key, "/service"),
            stream("refused", "bole.wrong", "/body"),
        ],
    });
    let plan = Plan::from_raw(serde_json::from_value(raw)?)?;
    let report: Report = run_plan(&plan, |_| {}).await;
    for (stream, ending) in report.streams.iter().zip(["whole", "wrong_answer", "not_run"]) {
        assert!(stream.arrivals > 0);
        assert_eq!(stream.ending_count(ending), stream.arrivals, "{}: {stream:?}", stream.name);
    }
    assert_eq!(report.streams[2].max_attempts, 3);
    Ok(())
}
