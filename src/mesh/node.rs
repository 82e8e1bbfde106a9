//! State that the listeners and tasks of a node share.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};
use std::{collections::HashMap, net::SocketAddr, time::Duration};

use arc_swap::{ArcSwap, ArcSwapOption};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{
    clock::Timestamp,
    mesh::{
        Catalog, Dialect, Guard, LearnedUse, Members, MeshSettings, Placement, RateHome, RateStock,
        Registry, RetryBound, RetryBudget, RootAdmission, proto::mesh_client::MeshClient,
    },
    names::Incarnation,
    peers::{self, MAX_MESSAGE_BYTES},
};

/// Client of another node.
pub type Peer = MeshClient<tonic::transport::Channel>;

/// Time kept back from the bound on withdrawn keys for the check itself.
const REVOKE_MARGIN: Duration = Duration::from_millis(150);

/// State that the listeners and tasks of a node share.
#[derive(Debug)]
pub struct Node<D: Dialect> {
    /// Checked settings.
    pub settings: MeshSettings,
    /// The platform's object store.
    pub store: D::Store,
    /// This process among those that ran under the instance's name.
    pub incarnation: Incarnation,
    /// Configuration in force at this node; none before one was read.
    pub catalog: ArcSwapOption<Catalog>,
    /// When the newest read of the store began that showed the catalog to be the newest.
    pub proof: FreshnessProof,
    /// The instances of the mesh.
    pub members: ArcSwap<Members>,
    /// The guard of the upstream beside the node.
    pub guard: Arc<Guard<D>>,
    /// What is known of the upstream beside the node.
    pub registry: Mutex<Registry>,
    /// What this node has seen of the instances that it sends requests to.
    pub placement: Mutex<Placement>,
    /// Decides which root requests begin.
    pub root_admission: Mutex<RootAdmission>,
    /// What requests of each route use on the mean.
    pub learned: Mutex<LearnedUse>,
    /// Decides whether a request may be sent again.
    pub retries: Mutex<RetryBudget>,
    /// The token buckets that this node holds for the fleet.
    pub home: Mutex<RateHome>,
    /// The tokens that this entry has drawn.
    pub stock: Mutex<RateStock>,
    /// Notified when a request waits for a token.
    pub draw_now: Notify,
    /// Notified when tokens have come.
    pub granted: Notify,
    /// Notified when what the node publishes of itself has changed.
    pub record_changed: Notify,
    /// The listeners finish their requests and close.
    pub stop_serving: CancellationToken,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    leaving: AtomicBool,
}

impl<D: Dialect> Node<D> {
    /// Makes the state of a node that has just started.
    pub fn new(settings: MeshSettings) -> Self {
        Self {
            store: D::store(settings.store, settings.store_timeout),
            incarnation: rand::random(),
            catalog: ArcSwapOption::empty(),
            proof: FreshnessProof::default(),
            members: ArcSwap::default(),
            guard: Arc::default(),
            registry: Mutex::default(),
            placement: Mutex::new(Placement::new(rand::random())),
            root_admission: Mutex::default(),
            learned: Mutex::default(),
            retries: Mutex::new(RetryBudget::new(RetryBound {
                ratio: settings.bounds.retry_ratio,
                window: settings.bounds.retry_window,
                slack: f64::from(settings.bounds.retry_slack),
            })),
            home: Mutex::default(),
            stock: Mutex::default(),
            draw_now: Notify::new(),
            granted: Notify::new(),
            record_changed: Notify::new(),
            stop_serving: CancellationToken::new(),
            peers: Mutex::default(),
            leaving: AtomicBool::new(false),
            settings,
        }
    }

    /// Returns the client of another node; it connects when it is first used.
    pub fn peer(&self, address: SocketAddr) -> Peer {
        let mut peers = self.peers.lock();
        let peer = peers.entry(address).or_insert_with(|| {
            MeshClient::new(peers::channel(address))
                .max_decoding_message_size(MAX_MESSAGE_BYTES)
                .max_encoding_message_size(MAX_MESSAGE_BYTES)
        });
        peer.clone()
    }

    /// The node finishes its work and stops.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Takes no new work from other nodes and from callers elsewhere.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
        self.record_changed.notify_one();
    }

    /// Tells whether keys may be accepted: the configuration was shown to be current lately.
    pub fn keys_are_fresh(&self, now: Timestamp) -> bool {
        match self.settings.bounds.revoke {
            None => true,
            Some(bound) => self.proof.age(now) + REVOKE_MARGIN < bound,
        }
    }

    /// Callers should come here.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.catalog.load().is_some()
    }
}

/// When the newest read of the store began that showed the configuration to be current.
#[derive(Debug, Default)]
pub struct FreshnessProof {
    /// Milliseconds since boot; 0 where there was none.
    began_ms: AtomicU64,
}

impl FreshnessProof {
    /// A read that began at `began` has shown the configuration to be current.
    pub fn shown(&self, began: Timestamp) {
        let began_ms = u64::try_from(began.as_millis()).unwrap_or(u64::MAX);
        self.began_ms.fetch_max(began_ms, Ordering::AcqRel);
    }

    /// Age of the newest proof; very long where there is none.
    pub fn age(&self, now: Timestamp) -> Duration {
        match self.began_ms.load(Ordering::Acquire) {
            0 => Duration::from_secs(u64::from(u32::MAX)),
            began_ms => now.saturating_sub(Duration::from_millis(began_ms)),
        }
    }
}
