//! Reading and changing the operators' configuration: `/v1/configuration` and the paths of
//! single resources.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use uuid::Uuid;

use crate::{
    config::{
        Change, ChangeError, Decision, Document, Edit, ResourceId, ResourceKind, evaluate_change,
    },
    findings::{self, Collector, Findings},
    http_server,
    names::Revision,
    node::Shared,
    store::{
        KIND_CONFIGURATION, MAX_VALUE_BYTES, NAME_CURRENT, ObjectApi as _, ObjectVersion,
        StoreError,
    },
};

/// Attempts to write a change when each conditional write loses to another writer. The platform
/// accepts several hundred writes a second, so losing this often means that something is wrong.
const MAX_ATTEMPTS: u32 = 16;
/// Longest random delay before the next attempt.
const MAX_ATTEMPT_DELAY_MS: u64 = 50;
const REQUEST_BODY: &str = "request body";

/// Answer to an accepted change.
#[derive(Debug, Serialize, Deserialize)]
pub struct ApplyResult {
    /// Revision that the change created.
    pub revision: Revision,
}

/// One resource as a revision of the configuration contains it.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResourceRead {
    /// Revision of the document that contains the resource.
    pub revision: Revision,
    /// Fields of the resource.
    pub resource: Value,
}

/// All resources of one kind as a revision of the configuration contains them.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResourceList {
    /// Revision of the document that contains the resources.
    pub revision: Revision,
    /// Fields of each resource, in the order of the names.
    pub resources: Vec<Value>,
}

/// Why an operator's request failed.
enum Failure {
    Refused(ChangeError),
    Platform(StoreError),
    /// The request body exceeds [`MAX_VALUE_BYTES`].
    TooLarge,
}

impl From<StoreError> for Failure {
    fn from(error: StoreError) -> Self {
        Self::Platform(error)
    }
}

impl From<ChangeError> for Failure {
    fn from(error: ChangeError) -> Self {
        Self::Refused(error)
    }
}

impl From<Findings> for Failure {
    fn from(findings: Findings) -> Self {
        Self::Refused(ChangeError::Invalid(findings))
    }
}

/// Answers a request for `/v1/configuration` or a resource; returns `None` for any other path.
pub async fn answer(shared: &Shared, request: Request<Incoming>) -> Option<Response<Full<Bytes>>> {
    let path = request.uri().path().strip_prefix("/v1/")?.to_owned();
    let (list, name) = match path.split_once('/') {
        Some((list, name)) => (list, Some(name)),
        None => (&*path, None),
    };
    if path == "configuration" {
        return Some(into_response(answer_document_request(shared, request).await));
    }
    let kind = ResourceKind::from_list_name(list)?;
    let id = name.map(|name| ResourceId { kind, name: resource_name(kind, name) });
    Some(into_response(answer_resource_request(shared, kind, id, request).await))
}

/// Converts the last part of a request path to a resource name. A route is named by its prefix,
/// which begins with a slash that the request path leaves out.
fn resource_name(kind: ResourceKind, name: &str) -> std::sync::Arc<str> {
    match kind {
        ResourceKind::Route => format!("/{name}").into(),
        _ => name.into(),
    }
}

async fn answer_document_request(
    shared: &Shared,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Failure> {
    let change_id = change_id(&request)?;
    match *request.method() {
        Method::GET => Ok(http_server::json(StatusCode::OK, &load_document(shared).await?.0)),
        Method::PUT => {
            let text = read_text(request).await?;
            let document = findings::check_input::<Document>(REQUEST_BODY, &text)?;
            let stated_revision = document.revision;
            let edit = Edit::Replace(Box::new(document));
            apply(shared, Change { change_id, stated_revision, edit }).await
        }
        _ => Ok(method_not_allowed()),
    }
}

async fn answer_resource_request(
    shared: &Shared,
    kind: ResourceKind,
    id: Option<ResourceId>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Failure> {
    let change_id = change_id(&request)?;
    let stated = stated_revision(&request)?;
    let edit = match (request.method().clone(), id) {
        (Method::GET, None) => {
            let (document, _) = load_document(shared).await?;
            let resources = document.resources().into_iter();
            let resources = resources.filter(|(id, _)| id.kind == kind).map(|(_, value)| value);
            let list = ResourceList { revision: document.revision, resources: resources.collect() };
            return Ok(http_server::json(StatusCode::OK, &list));
        }
        (Method::GET, Some(id)) => {
            let (document, _) = load_document(shared).await?;
            let Some(resource) = document.resources().remove(&id) else {
                return Err(ChangeError::Missing { resource: id }.into());
            };
            let read = ResourceRead { revision: document.revision, resource };
            return Ok(http_server::json(StatusCode::OK, &read));
        }
        (Method::POST, None) => Edit::Create(kind, kind.check(&read_text(request).await?)?),
        (Method::PUT, Some(id)) => {
            let resource = kind.check(&read_text(request).await?)?;
            if resource.get(kind.id_field()).and_then(Value::as_str) != Some(&*id.name) {
                let mut collector = Collector::new(REQUEST_BODY);
                let place = format!("/{}", kind.id_field());
                collector.add(place, format!("\"{}\", as in the path", id.name), "another name");
                return Err(collector.into_findings().into());
            }
            Edit::Change(id, resource)
        }
        (Method::DELETE, Some(id)) => Edit::Withdraw(id),
        _ => return Ok(method_not_allowed()),
    };
    let stated_revision = match stated {
        Some(revision) => revision,
        None => load_document(shared).await?.0.revision,
    };
    apply(shared, Change { change_id, stated_revision, edit }).await
}

/// Writes a change. Tries again when another writer was first, unless the two changes conflict.
async fn apply(shared: &Shared, change: Change) -> Result<Response<Full<Bytes>>, Failure> {
    let mut last_error = StoreError::NoAnswer("other writers were ahead".to_owned());
    for _ in 0..MAX_ATTEMPTS {
        let (current, version) = load_document(shared).await?;
        let document = match evaluate_change(&current, &change, &shared.key_hasher)? {
            Decision::AlreadyApplied(revision) => {
                shared.adopt_configuration(current);
                return Ok(http_server::json(StatusCode::OK, &ApplyResult { revision }));
            }
            Decision::Write(document) => document,
        };
        let value = serde_json::to_value(&document)
            .map_err(|error| StoreError::Refused(error.to_string()))?;
        match shared.platform.put(KIND_CONFIGURATION, NAME_CURRENT, value, version).await {
            Ok(_) => {
                let revision = document.revision;
                log::info!("change {} created configuration revision {revision}", change.change_id);
                // Other nodes can then pull the revision from this node too.
                shared.adopt_configuration(*document);
                return Ok(http_server::json(StatusCode::OK, &ApplyResult { revision }));
            }
            Err(StoreError::Refused(reason)) => {
                return Err(StoreError::Refused(reason).into());
            }
            // If only the answer was lost, the next read finds the change id in the document.
            Err(error) => last_error = error,
        }
        let delay_ms = rand::random_range(0..=MAX_ATTEMPT_DELAY_MS);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    Err(last_error.into())
}

fn change_id(request: &Request<Incoming>) -> Result<Uuid, Findings> {
    let Some(text) = query_parameter(request, "change-id") else {
        return Ok(Uuid::now_v7());
    };
    Uuid::parse_str(text).map_err(|_| query_finding("change-id", "a UUID"))
}

fn stated_revision(request: &Request<Incoming>) -> Result<Option<Revision>, Findings> {
    let text = query_parameter(request, "revision");
    let revision = text.map(|text| text.parse::<Revision>()).transpose();
    revision.map_err(|_| query_finding("revision", "a whole number"))
}

fn query_finding(name: &str, expected: &str) -> Findings {
    let mut collector = Collector::new("request query");
    collector.add(format!("/{name}"), expected, "other text");
    collector.into_findings()
}

fn query_parameter<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let mut pairs = request.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

async fn read_text(request: Request<Incoming>) -> Result<String, Failure> {
    let body = Limited::new(request.into_body(), MAX_VALUE_BYTES).collect().await;
    let body = body.map_err(|_| Failure::TooLarge)?.to_bytes();
    Ok(String::from_utf8_lossy(&body).into_owned())
}

async fn load_document(shared: &Shared) -> Result<(Document, ObjectVersion), StoreError> {
    let object = shared.platform.get(KIND_CONFIGURATION, NAME_CURRENT).await?;
    let Some(object) = object else {
        return Ok((Document::default(), 0));
    };
    let document = serde_json::from_value(object.value.unwrap_or_default())
        // The message of serde_json is left out, since it may quote a value of the document.
        .map_err(|_| StoreError::Refused("the accepted document is unreadable".to_owned()))?;
    Ok((document, object.version))
}

fn method_not_allowed() -> Response<Full<Bytes>> {
    http_server::text(StatusCode::METHOD_NOT_ALLOWED, "the path does not take this method")
}

fn into_response(result: Result<Response<Full<Bytes>>, Failure>) -> Response<Full<Bytes>> {
    let failure = match result {
        Ok(response) => return response,
        Err(failure) => failure,
    };
    match failure {
        Failure::Refused(error) => {
            let status = match &error {
                ChangeError::Conflict { .. } | ChangeError::Exists { .. } => StatusCode::CONFLICT,
                ChangeError::Missing { .. } => StatusCode::NOT_FOUND,
                ChangeError::Invalid(_) => StatusCode::BAD_REQUEST,
            };
            http_server::json(status, &error)
        }
        Failure::TooLarge => {
            http_server::text(StatusCode::PAYLOAD_TOO_LARGE, "the document is too large")
        }
        Failure::Platform(error) => {
            http_server::text(StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
        }
    }
}
