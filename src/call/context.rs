//! The context of a call, as it passes between nodes.

use std::sync::Arc;

use bytes::Bytes;
use prost::Message as _;
use uuid::Uuid;

use crate::{
    clock::{self, Timestamp},
    config::Importance,
    names::{ClassName, OrganisationName, RequestId, ServiceName},
    peers::proto,
    settings::FleetSecret,
};

const CONTEXT_PURPOSE: &str = "hibiscusdoor 2026 call context";
const PEER_TOKEN_PURPOSE: &str = "hibiscusdoor 2026 peer token";

/// What a node must know of a call.
#[derive(Debug, Clone)]
pub struct CallContext {
    /// Id of this call.
    pub request_id: RequestId,
    /// Id of the caller's request at the head of the chain.
    pub root_id: RequestId,
    /// Organisation that the request runs for; none on an open route.
    pub organisation: Option<OrganisationName>,
    /// Class of the root request.
    pub class: ClassName,
    /// Importance of the class.
    pub importance: Importance,
    /// Service that answers.
    pub service: ServiceName,
    /// Latest useful answer.
    pub deadline: Timestamp,
    /// Number of calls above this one; 0 for a root request.
    pub depth: u32,
    /// Retries that this call and those below it may spend.
    pub retry_budget: u32,
    /// The call may run more than once.
    pub idempotent: bool,
    /// Name of a non-idempotent request.
    pub idempotency_key: Option<Uuid>,
    /// Digest of method, path and body.
    pub request_digest: [u8; 32],
}

/// Why a context was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ContextError {
    /// The MAC does not fit.
    #[error("the context is not authenticated by the fleet secret")]
    Forged,
    /// The encoding is wrong.
    #[error("the context is unreadable: {0}")]
    Unreadable(String),
}

/// Authenticates contexts with a key derived from the fleet secret.
#[derive(Clone)]
pub struct ContextSigner {
    mac_key: [u8; 32],
    peer_token: Arc<str>,
}

impl std::fmt::Debug for ContextSigner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ContextSigner(..)")
    }
}

impl ContextSigner {
    /// Derives the signer of a fleet.
    pub fn new(secret: &FleetSecret) -> Self {
        let token = blake3::Hash::from_bytes(secret.key_for(PEER_TOKEN_PURPOSE));
        Self {
            mac_key: secret.key_for(CONTEXT_PURPOSE),
            peer_token: Arc::from(token.to_hex().as_str()),
        }
    }

    /// Token that every call between nodes carries.
    pub fn peer_token(&self) -> &Arc<str> {
        &self.peer_token
    }

    /// Encodes and authenticates a context.
    pub fn sign(&self, context: &CallContext, now: Timestamp) -> (Bytes, Bytes) {
        let bytes = encode(context, now);
        let mac = blake3::keyed_hash(&self.mac_key, &bytes);
        (Bytes::from(bytes), Bytes::copy_from_slice(mac.as_bytes()))
    }

    /// Checks and decodes a context.
    pub fn verify(
        &self,
        bytes: &[u8],
        mac: &[u8],
        now: Timestamp,
    ) -> Result<CallContext, ContextError> {
        let expected = blake3::keyed_hash(&self.mac_key, bytes);
        let presented = blake3::Hash::from_slice(mac).map_err(|_| ContextError::Forged)?;
        // `blake3::Hash` compares in constant time.
        if presented != expected {
            return Err(ContextError::Forged);
        }
        decode(bytes, now)
    }
}

fn encode(context: &CallContext, now: Timestamp) -> Vec<u8> {
    let remaining = context.deadline.saturating_sub(now);
    proto::CallContext {
        request_id: Bytes::copy_from_slice(context.request_id.as_bytes()),
        root_id: Bytes::copy_from_slice(context.root_id.as_bytes()),
        organisation: context.organisation.as_deref().unwrap_or_default().to_owned(),
        class: context.class.to_string(),
        service: context.service.to_string(),
        remaining_ms: clock::millis(remaining),
        depth: context.depth,
        retry_budget: context.retry_budget,
        idempotent: context.idempotent,
        idempotency_key: context
            .idempotency_key
            .map_or_else(Bytes::new, |key| Bytes::copy_from_slice(key.as_bytes())),
        request_digest: Bytes::copy_from_slice(&context.request_digest),
        open: context.organisation.is_none(),
        importance: context.importance.0,
    }
    .encode_to_vec()
}

fn decode(bytes: &[u8], now: Timestamp) -> Result<CallContext, ContextError> {
    let unreadable = |error: &dyn std::fmt::Display| ContextError::Unreadable(error.to_string());
    let message = proto::CallContext::decode(bytes).map_err(|error| unreadable(&error))?;
    let id = |bytes: &[u8]| Uuid::from_slice(bytes).map_err(|error| unreadable(&error));
    let idempotency_key = match message.idempotency_key.is_empty() {
        true => None,
        false => Some(id(&message.idempotency_key)?),
    };
    Ok(CallContext {
        request_id: id(&message.request_id)?,
        root_id: id(&message.root_id)?,
        organisation: (!message.open).then(|| Arc::from(message.organisation.as_str())),
        class: message.class.into(),
        importance: Importance(message.importance),
        service: message.service.into(),
        deadline: now + std::time::Duration::from_millis(message.remaining_ms),
        depth: message.depth,
        retry_budget: message.retry_budget,
        idempotent: message.idempotent,
        idempotency_key,
        request_digest: message
            .request_digest
            .as_ref()
            .try_into()
            .map_err(|error| unreadable(&error))?,
    })
}
