//! State that the listeners and actors of a node share.

use std::sync::{
    Arc,
    atomic::{AtomicU8, Ordering},
};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{
    admission::Gate,
    call::ContextSigner,
    clock,
    config::{Configuration, Document, KeyHasher},
    membership::{Evidence, Lease, View},
    names::Incarnation,
    node::{BoundAddresses, Dispatches, LoanCounters, OnceState, Rates, UpstreamLink},
    once::RowIdentity,
    peers::PeerPool,
    retry::RetryControl,
    routing::{FirstHopAdmission, Targets},
    settings::Settings,
    store::Store,
    telemetry::Metrics,
};

/// Stage of the node's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// Serves requests.
    Serving,
    /// Finishes what it has and takes no new request.
    Draining,
}

/// State that the listeners and actors of a node share.
#[derive(Debug)]
pub struct Shared {
    /// Checked settings.
    pub settings: Settings,
    /// Addresses that the node listens on.
    pub addresses: BoundAddresses,
    /// This process among those that ran under the instance's name.
    pub incarnation: Incarnation,
    /// The object API.
    pub platform: Store,
    /// Hashes presented keys.
    pub key_hasher: KeyHasher,
    /// Authenticates contexts.
    pub signer: ContextSigner,
    /// Configuration in force at this node.
    pub configuration: ArcSwap<Configuration>,
    /// Membership table as this node knows it.
    pub view: ArcSwap<View>,
    /// Leases of the node: until when it may use its row and accept keys.
    pub lease: Lease,
    /// What the node knows of the rows: ages, revisions and loads.
    pub evidence: ArcSwap<Evidence>,
    /// The upstream beside the node.
    pub upstream: UpstreamLink,
    /// Channels to other nodes.
    pub peers: PeerPool,
    /// Requests that the upstream is running.
    pub dispatches: Dispatches,
    /// Records of idempotency keys and requests that crash upstreams.
    pub once: OnceState,
    /// Accounts of the organisations' rates.
    pub rates: Rates,
    /// Messages about loans.
    pub loan_counters: LoanCounters,
    /// The gate before the upstream.
    pub gate: Gate,
    /// What this node has seen of the targets that it sends requests to.
    pub targets: Mutex<Targets>,
    /// What this node has learnt of the chains behind its routes.
    pub first_hop: Mutex<FirstHopAdmission>,
    /// Bound on this node's retries.
    pub retries: Mutex<RetryControl>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Notified when the upstream has announced itself, drains or is lost.
    pub announced: Notify,
    /// The listeners finish their requests and close.
    pub stop_serving: CancellationToken,
    /// The time for shutdown is over; connections are cut.
    pub stop_now: CancellationToken,
    lifecycle: AtomicU8,
    adopting: Mutex<()>,
}

impl Shared {
    /// Makes the state of a node that has just started.
    pub fn new(settings: Settings, platform: Store, addresses: BoundAddresses) -> Self {
        let mut metrics = Metrics::default();
        if let Store::Http(client) = &platform {
            metrics.register_platform_calls(client.calls().clone());
        }
        let signer = ContextSigner::new(&settings.fleet_secret);
        // The wall clock makes a later process's incarnation the higher one.
        let incarnation = u64::try_from(clock::unix_now().as_micros()).unwrap_or(u64::MAX);
        Self {
            addresses,
            incarnation,
            platform,
            key_hasher: KeyHasher::new(&settings.fleet_secret),
            peers: PeerPool::new(signer.peer_token().clone()),
            signer,
            configuration: ArcSwap::default(),
            view: ArcSwap::default(),
            lease: Lease::default(),
            evidence: ArcSwap::default(),
            upstream: UpstreamLink::new(settings.limits.max_body_bytes),
            dispatches: Dispatches::default(),
            once: OnceState::new(RowIdentity { instance: settings.instance.clone(), incarnation }),
            rates: Rates::default(),
            loan_counters: LoanCounters::default(),
            gate: Gate::default(),
            targets: Mutex::new(Targets::new(rand::random())),
            first_hop: Mutex::new(FirstHopAdmission::new(rand::random())),
            retries: Mutex::new(RetryControl::new(rand::random())),
            metrics,
            announced: Notify::new(),
            stop_serving: CancellationToken::new(),
            stop_now: CancellationToken::new(),
            lifecycle: AtomicU8::new(Lifecycle::Serving as u8),
            adopting: Mutex::default(),
            settings,
        }
    }

    /// Puts a document in force here where it is newer; a lagging answer never takes the node
    /// back to an older revision.
    pub fn adopt_configuration(&self, document: Document) -> bool {
        let _adopting = self.adopting.lock();
        if document.revision <= self.configuration.load().revision {
            return false;
        }
        log::info!("configuration revision {} is in force here", document.revision);
        let configuration = Configuration::compile(document);
        self.metrics.forget_withdrawn(&configuration);
        self.configuration.store(Arc::new(configuration));
        true
    }

    /// Stage of the node's life.
    pub fn lifecycle(&self) -> Lifecycle {
        match self.lifecycle.load(Ordering::Acquire) {
            0 => Lifecycle::Serving,
            _ => Lifecycle::Draining,
        }
    }

    /// Moves the node to another stage.
    pub fn set_lifecycle(&self, lifecycle: Lifecycle) {
        self.lifecycle.store(lifecycle as u8, Ordering::Release);
    }
}
