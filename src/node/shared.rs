//! State that is shared by the listeners and actors of a node.

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

/// Lifecycle stage of the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// Accepts and runs requests.
    Serving,
    /// Finishes running requests and refuses new ones.
    Draining,
}

/// State that is shared by the listeners and actors of a node.
#[derive(Debug)]
pub struct Shared {
    /// Validated settings.
    pub settings: Settings,
    /// Addresses that the node listens on.
    pub addresses: BoundAddresses,
    /// Number of this process among those with the same instance name; later ones are higher.
    pub incarnation: Incarnation,
    /// Object store of the platform.
    pub platform: Store,
    /// Hashes the keys that callers present.
    pub key_hasher: KeyHasher,
    /// Signs and verifies the contexts of forwarded calls.
    pub signer: ContextSigner,
    /// Configuration that is in force at this node.
    pub configuration: ArcSwap<Configuration>,
    /// Current membership table of this node.
    pub view: ArcSwap<View>,
    /// Leases of the node: the times until which it may use its row and accept keys.
    pub lease: Lease,
    /// Last evidence about the rows: ages, revisions and loads.
    pub evidence: ArcSwap<Evidence>,
    /// Link to the local upstream.
    pub upstream: UpstreamLink,
    /// gRPC channels to other nodes.
    pub peers: PeerPool,
    /// Requests that the local upstream is running.
    pub dispatches: Dispatches,
    /// Records of idempotency keys, and quarantine of requests that crash upstreams.
    pub once: OnceState,
    /// Rate accounts of the organisations.
    pub rates: Rates,
    /// Counters of loan messages.
    pub loan_counters: LoanCounters,
    /// Admission control of the local upstream.
    pub gate: Gate,
    /// Results and loads of the targets that this node sends requests to.
    pub targets: Mutex<Targets>,
    /// Admission at the first hop, from the pressures of the call chains behind each route.
    pub first_hop: Mutex<FirstHopAdmission>,
    /// Retry budget of this node.
    pub retries: Mutex<RetryControl>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Notified when the local upstream has announced itself, or the idempotency records have
    /// been handed over, so that the row must be updated.
    pub own_row_changed: Notify,
    /// Cancelled when the listeners must finish their requests and close.
    pub stop_serving: CancellationToken,
    /// Cancelled when the drain timeout has passed and the remaining connections are cut.
    pub stop_now: CancellationToken,
    lifecycle: AtomicU8,
    adoption_lock: Mutex<()>,
}

impl Shared {
    /// Creates the state of a node that has just started.
    pub fn new(settings: Settings, platform: Store, addresses: BoundAddresses) -> Self {
        let mut metrics = Metrics::default();
        if let Store::Http(client) = &platform {
            metrics.register_platform_calls(client.call_counter().clone());
        }
        let signer = ContextSigner::new(&settings.fleet_secret);
        // Taken from the wall clock, so that a later process has a higher incarnation.
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
            own_row_changed: Notify::new(),
            stop_serving: CancellationToken::new(),
            stop_now: CancellationToken::new(),
            lifecycle: AtomicU8::new(Lifecycle::Serving as u8),
            adoption_lock: Mutex::default(),
            settings,
        }
    }

    /// Puts a configuration document in force if it is newer than the current one, and returns
    /// whether it was. A delayed answer never returns the node to an older revision.
    pub fn adopt_configuration(&self, document: Document) -> bool {
        let _adoption = self.adoption_lock.lock();
        if document.revision <= self.configuration.load().revision {
            return false;
        }
        log::info!("configuration revision {} is in force at this node", document.revision);
        let configuration = Configuration::compile(document);
        self.metrics.remove_withdrawn(&configuration);
        self.configuration.store(Arc::new(configuration));
        true
    }

    /// Returns the lifecycle stage of the node.
    pub fn lifecycle(&self) -> Lifecycle {
        match self.lifecycle.load(Ordering::Acquire) {
            0 => Lifecycle::Serving,
            _ => Lifecycle::Draining,
        }
    }

    /// Sets the lifecycle stage of the node.
    pub fn set_lifecycle(&self, lifecycle: Lifecycle) {
        self.lifecycle.store(lifecycle as u8, Ordering::Release);
    }
}
