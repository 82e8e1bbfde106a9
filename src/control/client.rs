//! HTTP client of the administration API.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context as _;
use bytes::Bytes;
use http::{Method, Request, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt as _, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;
use uuid::Uuid;

use crate::{admin::ApplyResult, config::ChangeError, names::Revision};

/// Longest wait for one answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Attempts of one change. The delays between them add up to about 9 s.
const MAX_ATTEMPTS: u32 = 8;
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);

/// HTTP client for the operators' listeners of one or more nodes.
#[derive(Debug)]
pub struct AdminClient {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Vec<SocketAddr>,
}

impl AdminClient {
    /// Creates a client that sends to the first of `addresses` and tries the others when it fails.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { client: Client::builder(TokioExecutor::new()).build_http(), addresses }
    }

    /// Gets a JSON document from the first node that answers with success.
    pub async fn get_json<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        let mut last_error = anyhow::anyhow!("no node address was given");
        for address in &self.addresses {
            match self.send(*address, Method::GET, path, Bytes::new()).await {
                Ok((StatusCode::OK, body)) => {
                    return serde_json::from_slice(&body)
                        .with_context(|| format!("parsing the answer of the node at {address}"));
                }
                Ok((status, body)) => last_error = error_from_answer(status, &body),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Sends a change. Without an answer or after a server error it sends the change again with
    /// the same change id, so that the change takes effect at most once.
    pub async fn send_change(
        &self,
        method: Method,
        path: &str,
        revision: Option<Revision>,
        body: impl Into<Bytes>,
    ) -> anyhow::Result<Revision> {
        let body = body.into();
        let change_id = Uuid::now_v7();
        let mut path = format!("{path}?change-id={change_id}");
        if let Some(revision) = revision {
            path.push_str(&format!("&revision={revision}"));
        }
        let mut delay = FIRST_RETRY_DELAY;
        let mut attempt = 0;
        loop {
            let address = self.addresses[attempt % self.addresses.len()];
            attempt += 1;
            let error = match self.send(address, method.clone(), &path, body.clone()).await {
                Ok((StatusCode::OK, body)) => {
                    return Ok(serde_json::from_slice::<ApplyResult>(&body)?.revision);
                }
                Ok((status, body)) if !status.is_server_error() => {
                    return Err(error_from_answer(status, &body));
                }
                Ok((status, body)) => error_from_answer(status, &body),
                Err(error) => error,
            };
            if attempt >= MAX_ATTEMPTS as usize {
                return Err(error.context(format!(
                    "change {change_id} was not confirmed in {attempt} attempts; it may have taken \
                     effect"
                )));
            }
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))?;
        let exchange = async {
            let response = self.client.request(request).await?;
            let status = response.status();
            let body = response.into_body().collect().await?.to_bytes();
            anyhow::Ok((status, body))
        };
        tokio::time::timeout(REQUEST_TIMEOUT, exchange)
            .await
            .with_context(|| format!("no answer from {address} within {REQUEST_TIMEOUT:?}"))?
            .with_context(|| format!("calling the node at {address}"))
    }
}

/// Converts an answer without success to an error.
fn error_from_answer(status: StatusCode, body: &[u8]) -> anyhow::Error {
    match serde_json::from_slice::<ChangeError>(body) {
        Ok(ChangeError::Invalid(findings)) => findings.into(),
        Ok(error) => error.into(),
        Err(_) => {
            anyhow::anyhow!("the node answered {status}: {}", String::from_utf8_lossy(body).trim())
        }
    }
}
