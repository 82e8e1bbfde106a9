//! The platform's headers of requests and answers.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::{
    admission::NamedRate,
    clock,
    mesh::{AnswerHead, CallHead, HealthHead, ReportedLoad, UpstreamHead},
};

/// Id of one attempt of a client; targets copy it to their answers.
const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-attempt-id");
/// Time that the sender still waits for the answer, in whole milliseconds.
const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Key of an organisation.
const KEY: HeaderName = HeaderName::from_static("x-key");
/// Organisation of the key, set by the node.
const TENANT: HeaderName = HeaderName::from_static("x-tenant");
/// Service of the upstream that is local to the entry node, set by the node.
const CALLER_SERVICE: HeaderName = HeaderName::from_static("x-caller-service");
/// Id of the only upstream that may run the request.
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
/// Id of the upstream, in its answers to health checks.
const INSTANCE_ID: HeaderName = HeaderName::from_static("x-instance-id");
/// Present in an answer if the upstream has not run the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// Seal that marks an answer as the upstream's own.
const RESPONSE_SEAL: HeaderName = HeaderName::from_static("x-response-seal");
/// Numbers of running requests, waiting requests and slots of the upstream, separated by commas, and on
/// some deployments its current relative service time in percent.
const INSTANCE_LOAD: HeaderName = HeaderName::from_static("x-instance-load");

/// Time for which the upstream is still cold, in whole milliseconds, in its answers to health checks.
const COLD_MS: HeaderName = HeaderName::from_static("x-cold-ms");
/// Requests per second that the upstream accepts from all nodes together, as a decimal number.
const SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// `1` in all answers of an upstream that is leaving.
const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");

/// Headers that only a node may send to an upstream; removed from the requests of callers.
const SET_BY_NODE: [HeaderName; 3] = [TENANT, CALLER_SERVICE, EXPECT_INSTANCE];

pub fn take_call_head(headers: &mut HeaderMap) -> CallHead {
    let head = CallHead {
        request_id: header_text(headers, &ATTEMPT_ID),
        remaining: header_text(headers, &DEADLINE_MS)
            .and_then(|text| text.trim().parse().ok())
            .map(Duration::from_millis),
        key: header_text(headers, &KEY),
    };
    for name in [ATTEMPT_ID, DEADLINE_MS, KEY].iter().chain(&SET_BY_NODE) {
        headers.remove(name);
    }
    head
}

pub fn add_upstream_head(headers: &mut HeaderMap, head: &UpstreamHead<'_>) {
    let mut set = |name, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(name, value);
        }
    };
    set(ATTEMPT_ID, head.request_id);
    set(EXPECT_INSTANCE, head.upstream);
    set(CALLER_SERVICE, head.caller_service);
    if let Some(organisation) = head.organisation {
        set(TENANT, organisation);
    }
    let remaining_ms = clock::to_millis(head.remaining);
    headers.insert(DEADLINE_MS, HeaderValue::from(remaining_ms));
}

pub fn answer_head(status: StatusCode, headers: &HeaderMap) -> AnswerHead {
    let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    AnswerHead {
        request_id: header_text(headers, &ATTEMPT_ID),
        not_run: misdirected || headers.contains_key(NOT_EXECUTED),
        misdirected,
        is_from_upstream: headers.contains_key(RESPONSE_SEAL),
        load: headers.get(INSTANCE_LOAD).and_then(|value| parse_load(value.to_str().ok()?)),
        rate: headers.get(SERVER_LIMIT).map_or(NamedRate::Unlimited, parse_rate),
        is_leaving: headers.get(SERVER_LEAVING).is_some_and(|value| value.as_bytes() == b"1"),
    }
}

pub fn health_head(headers: &HeaderMap) -> Option<HealthHead> {
    Some(HealthHead {
        upstream: header_text(headers, &INSTANCE_ID)?,
        load: headers.get(INSTANCE_LOAD).and_then(|value| parse_load(value.to_str().ok()?)),
        cold: header_text(headers, &COLD_MS)
            .and_then(|text| text.trim().parse().ok())
            .map(Duration::from_millis),
    })
}

/// Returns the id of the parent request. Targets form the id of a call from the id of the request
/// that they are running, a dot and a suffix. The platform's documentation does not guarantee this
/// (see the questions in docs/platform.md).
pub fn parent_id(request_id: &str) -> Option<&str> {
    request_id.rsplit_once('.').map(|(parent, _)| parent)
}

pub fn add_request_id(headers: &mut HeaderMap, request_id: &str) {
    if let Ok(value) = HeaderValue::from_str(request_id) {
        headers.insert(ATTEMPT_ID, value);
    }
}

fn parse_load(text: &str) -> Option<ReportedLoad> {
    let mut numbers = text.split(',').map(|part| part.trim().parse().ok());
    Some(ReportedLoad {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
        relative_time_percent: numbers.next().flatten(),
    })
}

fn parse_rate(value: &HeaderValue) -> NamedRate {
    let text = value.to_str().unwrap_or_default().trim();
    // `parse` also accepts words such as `inf`, and exponents.
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    match text.parse::<f64>() {
        Ok(per_s) if is_decimal && per_s.is_finite() => NamedRate::PerSecond(per_s),
        _ => NamedRate::Invalid,
    }
}

fn header_text(headers: &HeaderMap, name: &HeaderName) -> Option<Arc<str>> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(Arc::from)
}
