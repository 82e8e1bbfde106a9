//! Pool of gRPC channels to other nodes, one per address, with keep-alive.

use std::{collections::HashMap, error::Error as _, net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tonic::{
    ConnectError, Request, Status,
    metadata::MetadataValue,
    service::{Interceptor, interceptor::InterceptedService},
    transport::{Channel, Endpoint},
};

use crate::{
    clock::{self, Timestamp},
    peers::proto::{CrashReport, peer_client::PeerClient as GeneratedClient},
};

/// Name of the metadata entry with the peer token of the fleet.
pub const TOKEN_HEADER: &str = "hibiscus-peer-token";

// Together, the ping interval and the ping timeout detect a silent connection within about a second
// while calls wait for it. Idle connections are not pinged: with 128 peers, the pings alone would
// need 13 KB/s, more than the 6 KB/s that a node may use for control traffic.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(400);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(600);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Age of the last answer above which a connection is probed before it is used for a request that
/// must not run twice.
const ANSWER_AGE_LIMIT: Duration = Duration::from_secs(1);
/// Time that a node has to answer a probe, including the connection set-up.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum size of a message between nodes.
pub const MAX_MESSAGE_BYTES: usize = 80 << 20;

/// gRPC client for another node.
pub type PeerClient = GeneratedClient<InterceptedService<Channel, AddToken>>;

/// Interceptor that adds the peer token of the fleet to each call.
#[derive(Debug, Clone)]
pub struct AddToken(Arc<str>);

impl Interceptor for AddToken {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        let token = MetadataValue::try_from(&*self.0)
            .map_err(|_| Status::internal("the peer token is not a header value"))?;
        request.metadata_mut().insert(TOKEN_HEADER, token);
        Ok(request)
    }
}

/// Pool of clients for other nodes, one per address.
#[derive(Debug)]
pub struct PeerPool {
    token: Arc<str>,
    clients: Mutex<HashMap<SocketAddr, PooledClient>>,
}

#[derive(Debug)]
struct PooledClient {
    client: PeerClient,
    /// Time of the last answer on the client's connection.
    answered_at: Option<Timestamp>,
}

impl PeerPool {
    /// Creates an empty pool.
    pub fn new(token: Arc<str>) -> Self {
        Self { token, clients: Mutex::default() }
    }

    /// Returns the client for an address, which connects when it is first used.
    pub fn client(&self, address: SocketAddr) -> PeerClient {
        self.client_with_answer_time(address).0
    }

    /// Returns a client with a connection that answered within the last second.
    ///
    /// A connection without a recent answer is first probed with an empty crash report, and
    /// replaced by a new connection if the probe fails. If this returns an error, nothing but
    /// probes was sent.
    pub async fn live_client(&self, address: SocketAddr) -> Result<PeerClient, Status> {
        let (client, answered_at) = self.client_with_answer_time(address);
        if answered_at.is_some_and(|at| clock::now().saturating_sub(at) < ANSWER_AGE_LIMIT) {
            return Ok(client);
        }
        if self.probe(address, client).await.is_ok() {
            return Ok(self.client(address));
        }
        self.clients.lock().remove(&address);
        let client = self.client(address);
        self.probe(address, client.clone()).await?;
        Ok(client)
    }

    /// Records that the node at an address has answered.
    pub fn record_answer(&self, address: SocketAddr) {
        if let Some(pooled) = self.clients.lock().get_mut(&address) {
            pooled.answered_at = Some(clock::now());
        }
    }

    async fn probe(&self, address: SocketAddr, mut client: PeerClient) -> Result<(), Status> {
        let report = client.report_crash(CrashReport::default());
        match tokio::time::timeout(PROBE_TIMEOUT, report).await {
            Ok(Ok(_)) => {
                self.record_answer(address);
                Ok(())
            }
            Ok(Err(status)) => Err(status),
            Err(_) => {
                Err(Status::deadline_exceeded("the connection did not answer a probe in time"))
            }
        }
    }

    fn client_with_answer_time(&self, address: SocketAddr) -> (PeerClient, Option<Timestamp>) {
        let mut clients = self.clients.lock();
        let pooled = clients
            .entry(address)
            .or_insert_with(|| PooledClient { client: self.connect(address), answered_at: None });
        (pooled.client.clone(), pooled.answered_at)
    }

    /// Drops the clients for all addresses for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.clients.lock().retain(|address, _| keep(address));
    }

    fn connect(&self, address: SocketAddr) -> PeerClient {
        GeneratedClient::with_interceptor(
            endpoint(address).connect_lazy(),
            AddToken(self.token.clone()),
        )
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }
}

/// Settings of a channel to another node, which detects a silent connection within about a second while
/// calls wait for it.
pub fn endpoint(address: SocketAddr) -> Endpoint {
    Endpoint::from_shared(format!("http://{address}"))
        .expect("an address makes a valid URI")
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
}

/// Returns whether a call failed because no connection could be made, so that nothing was sent.
///
/// tonic wraps errors of its connector, and only those, in [`ConnectError`]; a channel returns
/// them in place of a call that was waiting for the connection.
pub fn is_connect_failure(status: &Status) -> bool {
    let mut source = status.source();
    while let Some(error) = source {
        if error.is::<ConnectError>() {
            return true;
        }
        source = error.source();
    }
    false
}
