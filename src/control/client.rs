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

const TIMEOUT: Duration = Duration::from_secs(10);

/// Client of one node's operators' listener.
#[derive(Debug)]
pub struct AdminClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl AdminClient {
    /// Makes a client for a node.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::builder(TokioExecutor::new()).build_http(), address }
    }

    /// Calls the administration API.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body.into()))?;
        let exchange = async {
            let response = self.client.request(request).await?;
            let status = response.status();
            let body = response.into_body().collect().await?.to_bytes();
            anyhow::Ok((status, body))
        };
        tokio::time::timeout(TIMEOUT, exchange)
            .await
            .with_context(|| format!("no answer from {} within {TIMEOUT:?}", self.address))?
            .with_context(|| format!("calling the node at {}", self.address))
    }
}
