//! Reading and changing the configuration.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{
    config::Document,
    findings, http_server,
    names::Revision,
    node::Shared,
    platform::{
        KIND_CONFIGURATION, MAX_VALUE_BYTES, NAME_CURRENT, ObjectApi as _, ObjectVersion,
        PlatformError,
    },
};

/// Result of a change.
#[derive(Debug, Serialize, Deserialize)]
pub struct ApplyResult {
    /// Revision that the change made.
    pub revision: Revision,
}

/// Answer to an edit of an outdated revision.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConflictBody {
    /// Revision that the edit started from.
    pub stated_revision: Revision,
    /// Revision that is accepted now.
    pub current_revision: Revision,
}

/// Returns the accepted document.
pub async fn read(shared: &Shared) -> Response<Full<Bytes>> {
    match load(shared).await {
        Ok((document, _)) => http_server::json(StatusCode::OK, &document),
        Err(error) => failure(&error),
    }
}

/// Puts the document of the request in place of the revision it states.
pub async fn apply(shared: &Shared, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let body = Limited::new(request.into_body(), MAX_VALUE_BYTES).collect().await;
    let Ok(body) = body else {
        return http_server::text(StatusCode::PAYLOAD_TOO_LARGE, "the document is too large");
    };
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let mut document = match findings::check_input::<Document>("request body", &text) {
        Ok(document) => document,
        Err(findings) => return http_server::json(StatusCode::BAD_REQUEST, &findings),
    };
    document.hash_secrets(&shared.key_hasher);
    match replace(shared, document).await {
        Ok(Ok(revision)) => http_server::json(StatusCode::OK, &ApplyResult { revision }),
        Ok(Err(conflict)) => http_server::json(StatusCode::CONFLICT, &conflict),
        Err(error) => failure(&error),
    }
}

async fn replace(
    shared: &Shared,
    mut document: Document,
) -> Result<Result<Revision, ConflictBody>, PlatformError> {
    let stated_revision = document.revision;
    let change_id = *document.change_id.get_or_insert_with(Uuid::now_v7);
    document.revision = stated_revision + 1;
    let value = serde_json::to_value(&document)
        .map_err(|error| PlatformError::Refused(error.to_string()))?;
    let (current, version) = load(shared).await?;
    if current.change_id == Some(change_id) {
        // An earlier attempt of this change won and its answer was lost.
        return Ok(Ok(current.revision));
    }
    let conflict =
        |current: &Document| ConflictBody { stated_revision, current_revision: current.revision };
    if current.revision != stated_revision {
        return Ok(Err(conflict(&current)));
    }
    let written = shared.platform.put(KIND_CONFIGURATION, NAME_CURRENT, value, version).await;
    match written {
        Ok(_) => Ok(Ok(document.revision)),
        Err(PlatformError::Refused(reason)) => Err(PlatformError::Refused(reason)),
        Err(_) => {
            let (current, _) = load(shared).await?;
            match current.change_id == Some(change_id) {
                true => Ok(Ok(current.revision)),
                false => Ok(Err(conflict(&current))),
            }
        }
    }
}

async fn load(shared: &Shared) -> Result<(Document, ObjectVersion), PlatformError> {
    let object = shared.platform.get(KIND_CONFIGURATION, NAME_CURRENT).await?;
    let Some(object) = object else {
        return Ok((Document::default(), 0));
    };
    let document = serde_json::from_value(object.value.unwrap_or_default())
        .map_err(|error| PlatformError::Refused(format!("unreadable document: {error}")))?;
    Ok((document, object.version))
}

fn failure(error: &PlatformError) -> Response<Full<Bytes>> {
    http_server::text(StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
}
