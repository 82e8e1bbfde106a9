//! The context of a call, which nodes forward with the request.

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

/// Properties of a call that every node on its path needs.
#[derive(Debug, Clone)]
pub struct CallContext {
    /// Id of this call.
    pub request_id: RequestId,
    /// Id of the root request: the caller's request that started the call chain.
    pub root_id: RequestId,
    /// Organisation that the request runs for; none on an open route.
    pub organisation: Option<OrganisationName>,
    /// Class of the root request.
    pub class: ClassName,
    /// Importance of the class; a request of lower importance is shed first.
    pub importance: Importance,
    /// Service that the request is sent to.
    pub service: ServiceName,
    /// Time after which an answer is useless to the caller. Messages contain the remaining time
    /// instead, as the clocks of two nodes are never compared.
    pub deadline: Timestamp,
    /// Number of calls above this one in the call chain; 0 for a root request.
    pub depth: u32,
    /// Retries that this call and its descendants may still make.
    pub retry_budget: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// UUIDv7 that identifies a non-idempotent request over all its attempts.
    pub idempotency_key: Option<Uuid>,
    /// Digest of method, path and body.
    pub request_digest: [u8; 32],
}

/// Why a context was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ContextError {
    /// The MAC does not match the encoded context.
    #[error("the context is not authenticated by the fleet secret")]
    Forged,
    /// The MAC matches, but the context cannot be decoded.
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
    /// Derives the MAC key and the peer token from the fleet secret.
    pub fn new(secret: &FleetSecret) -> Self {
        let token = blake3::Hash::from_bytes(secret.key_for(PEER_TOKEN_PURPOSE));
        Self {
            mac_key: secret.key_for(CONTEXT_PURPOSE),
            peer_token: Arc::from(token.to_hex().as_str()),
        }
    }

    /// Token that every call between nodes carries; only processes with the fleet secret know it.
    pub fn peer_token(&self) -> &Arc<str> {
        &self.peer_token
    }

    /// Encodes a context; returns the encoding and its MAC.
    pub fn sign(&self, context: &CallContext, now: Timestamp) -> (Bytes, Bytes) {
        let bytes = encode(context, now);
        let mac = blake3::keyed_hash(&self.mac_key, &bytes);
        (Bytes::from(bytes), Bytes::copy_from_slice(mac.as_bytes()))
    }

    /// Checks the MAC of an encoded context and decodes it.
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
        remaining_ms: clock::to_millis(remaining),
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
