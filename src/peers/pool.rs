//! Channels to other nodes, one an address, with keep-alive.

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

/// Metadata entry with the token of the fleet.
pub const TOKEN_HEADER: &str = "hibiscus-peer-token";

// Pings and their timeout together find a silent connection within about a second while calls
// wait for it. Idle connections are not pinged: with 128 peers that alone would take 13 KB/s of
// the 6 KB/s that a node may spend on control.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(400);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(600);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Age of the last answer above which a connection is tried before it gets work that must not
/// run twice.
const ANSWER_AGE_LIMIT: Duration = Duration::from_secs(1);
/// Time for the answer to such a try, the connection set-up included.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest message between nodes.
pub const MAX_MESSAGE_BYTES: usize = 80 << 20;

/// Client of one node.
pub type PeerClient = GeneratedClient<InterceptedService<Channel, AddToken>>;

/// Adds the token of the fleet to each call.
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

/// Channels to other nodes.
#[derive(Debug)]
pub struct PeerPool {
    token: Arc<str>,
    clients: Mutex<HashMap<SocketAddr, PooledClient>>,
}

#[derive(Debug)]
struct PooledClient {
    client: PeerClient,
    /// Time of the last answer over the client's connection.
    answered_at: Option<Timestamp>,
}

impl PeerPool {
    /// Makes an empty pool.
    pub fn new(token: Arc<str>) -> Self {
        Self { token, clients: Mutex::default() }
    }

    /// Returns the client for an address; it connects when it is first used.
    pub fn client(&self, address: SocketAddr) -> PeerClient {
        self.pooled(address).0
    }

    /// Returns a client whose connection answered within the last second.
    ///
    /// A connection without a recent answer is tried first with an empty crash report. Where it
    /// stays silent, a new connection takes its place. An error means that nothing but such
    /// reports was sent.
    pub async fn live_client(&self, address: SocketAddr) -> Result<PeerClient, Status> {
        let (client, answered_at) = self.pooled(address);
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

    /// The node at an address has answered.
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
            Err(_) => Err(Status::deadline_exceeded("the connection is silent")),
        }
    }

    fn pooled(&self, address: SocketAddr) -> (PeerClient, Option<Timestamp>) {
        let mut clients = self.clients.lock();
        let pooled = clients
            .entry(address)
            .or_insert_with(|| PooledClient { client: self.connect(address), answered_at: None });
        (pooled.client.clone(), pooled.answered_at)
    }

    /// Forgets the clients of addresses that are no longer in use.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.clients.lock().retain(|address, _| keep(address));
    }

    fn connect(&self, address: SocketAddr) -> PeerClient {
        GeneratedClient::with_interceptor(channel(address), AddToken(self.token.clone()))
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }
}

/// Makes a channel to another node, which connects when it is first used and finds a silent
/// connection within about a second while calls wait for it.
pub fn channel(address: SocketAddr) -> Channel {
    Endpoint::from_shared(format!("http://{address}"))
        .expect("an address makes a valid URI")
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .connect_lazy()
}

/// Tells whether a call failed because no connection could be made, so that nothing was sent.
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
