//! State that the listeners and tasks of a node share.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::{
    clock::{self, Timestamp},
    mesh::{
        Bounds, Catalog, CatalogSource, Dialect, Directory, Guard, InstanceAddress, InstanceRecord,
        LiveSettings, Members, MeshMetrics, MeshSettings, MessageEffect, Placement, RateHomes,
        RetryBound, RetryBudget, RootAdmission, RouteUsage, TokenStock, UpstreamRecord,
        UpstreamTracker, proto::mesh_client::MeshClient,
    },
    names::{Incarnation, InstanceName, ServiceName},
    peers::{self, MAX_MESSAGE_BYTES},
    store::ObjectVersion,
};

/// Client of another node.
pub type Peer = MeshClient<tonic::transport::Channel>;

/// A node that has not acted as a hub for this long no longer is one.
const HUB_LIFETIME_MS: u64 = 1_000;
/// Time kept back from the bound on withdrawn keys for the check itself.
const REVOKE_MARGIN: Duration = Duration::from_millis(150);

/// State that the listeners and tasks of a node share.
#[derive(Debug)]
pub struct Node<D: Dialect> {
    /// Settings as they were at the start.
    pub settings: MeshSettings,
    /// Settings that may change.
    pub live_settings: ArcSwap<LiveSettings>,
    /// The platform's object store.
    pub store: D::Store,
    /// Drawn at random by each process, so that a new process is recognised.
    pub incarnation: Incarnation,
    /// Configuration in force at this node; none before one was read.
    pub catalog: ArcSwapOption<Catalog>,
    /// The same as it lies in the store.
    pub catalog_source: ArcSwapOption<CatalogSource>,
    /// When the newest read of the store began that showed the catalog to be the newest.
    pub proof: FreshnessProof,
    /// The instances of the fleet in the form that the request path reads.
    pub members: ArcSwap<Members>,
    /// The instances of the fleet.
    pub directory: Mutex<Directory>,
    /// The guard of the upstream beside the node.
    pub guard: Arc<Guard<D>>,
    /// What is known of the upstream beside the node.
    pub upstream_tracker: Mutex<UpstreamTracker>,
    /// What this node has seen of the instances that it sends requests to.
    pub placement: Mutex<Placement>,
    /// Decides which root requests begin.
    pub root_admission: Mutex<RootAdmission>,
    /// What requests of each route use on the mean.
    pub route_usage: Mutex<RouteUsage>,
    /// Decides whether a request may be sent again.
    pub retries: Mutex<RetryBudget>,
    /// The token buckets that this node holds for the fleet.
    pub homes: Mutex<RateHomes>,
    /// The tokens that this entry has drawn.
    pub stock: Mutex<TokenStock>,
    /// Marked as changed when a request waits for a token or the node's record changes.
    pub sync_now: watch::Sender<()>,
    /// Counters and histograms since the start.
    pub metrics: MeshMetrics,
    /// Notified when tokens have come.
    pub tokens_granted: Notify,
    /// Notified when another node claims to know of a newer configuration or proof.
    pub refresh_requested: Notify,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    own: Mutex<InstanceRecord>,
    refresh_source: Mutex<Option<InstanceName>>,
    /// Milliseconds since boot at which the node last acted as the first hub.
    first_hub_at_ms: AtomicU64,
    /// Number of hubs, as the first hub has told.
    hubs: AtomicUsize,
    leaving: AtomicBool,
}

impl<D: Dialect> Node<D> {
    /// Makes the state of a node that has just started.
    pub fn new(settings: MeshSettings) -> Self {
        let address =
            InstanceAddress { zone: settings.zone.clone(), peer_address: settings.announced_peers };
        let incarnation = rand::random();
        let own = InstanceRecord {
            instance: settings.instance.clone(),
            generation: 1,
            sequence: 1,
            incarnation,
            address,
            leaving: false,
            service: settings.service.clone(),
            upstream: None,
        };
        let mut directory = Directory::default();
        directory.merge(own.clone());
        Self {
            store: D::store(settings.store, settings.store_timeout),
            incarnation,
            catalog: ArcSwapOption::empty(),
            catalog_source: ArcSwapOption::empty(),
            proof: FreshnessProof::default(),
            members: ArcSwap::from_pointee(directory.members()),
            directory: Mutex::new(directory),
            guard: Arc::default(),
            upstream_tracker: Mutex::default(),
            placement: Mutex::new(Placement::new(rand::random())),
            root_admission: Mutex::default(),
            route_usage: Mutex::default(),
            retries: Mutex::new(RetryBudget::new(retry_bound(&settings.bounds))),
            live_settings: ArcSwap::from_pointee(LiveSettings::from_settings(&settings)),
            homes: Mutex::default(),
            stock: Mutex::default(),
            sync_now: watch::Sender::new(()),
            metrics: MeshMetrics::default(),
            tokens_granted: Notify::new(),
            refresh_requested: Notify::new(),
            peers: Mutex::default(),
            own: Mutex::new(own),
            refresh_source: Mutex::default(),
            first_hub_at_ms: AtomicU64::new(0),
            hubs: AtomicUsize::new(1),
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

    /// Tells that the node finishes its work and stops.
    pub fn begin_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
        self.update_record();
    }

    /// Version of the configuration in force; 0 before one was read.
    pub fn catalog_version(&self) -> ObjectVersion {
        self.catalog_source.load().as_ref().map_or(0, |source| source.version)
    }

    /// Puts a configuration in force; false where it is not newer.
    pub fn adopt_catalog(&self, catalog: Catalog, source: CatalogSource) -> bool {
        if source.version <= self.catalog_version() {
            return false;
        }
        self.catalog.store(Some(Arc::new(catalog)));
        self.catalog_source.store(Some(Arc::new(source)));
        true
    }

    /// Tells whether keys may be accepted: the configuration was shown to be current lately.
    pub fn keys_are_fresh(&self, now: Timestamp) -> bool {
        match self.live_settings.load().bounds.revoke {
            None => true,
            Some(bound) => self.proof.age(now) + REVOKE_MARGIN < bound,
        }
    }

    /// Callers should come here.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.catalog.load().is_some()
    }

    /// The upstream beside the node has left, so the instance goes for good.
    pub fn upstream_has_left(&self) -> bool {
        self.upstream_tracker.lock().has_left(clock::now())
    }

    /// Service beside the node.
    pub fn own_service(&self) -> ServiceName {
        self.own.lock().service.clone()
    }

    /// What the node tells of itself.
    pub fn own_record(&self) -> InstanceRecord {
        self.own.lock().clone()
    }

    /// Brings what the node tells of itself up to date.
    pub fn update_record(&self) {
        let tracker = self.upstream_tracker.lock();
        let upstream = tracker.current();
        let service = match upstream {
            Some(upstream) => upstream.heartbeat.service.clone(),
            None => self.live_settings.load().service.clone(),
        };
        let stays = upstream.filter(|_| !(self.is_leaving() && tracker.has_left(clock::now())));
        let upstream = stays.map(|it| UpstreamRecord {
            id: it.heartbeat.upstream.clone(),
            slots: it.heartbeat.slots,
            ready: it.is_ready(),
            has_left: tracker.has_left(clock::now()),
            started_unix_ms: it.heartbeat.started_unix_ms,
            sequence: it.heartbeat.sequence,
        });
        drop(tracker);
        let mut own = self.own.lock();
        let leaving = self.is_leaving();
        let same_upstream = match (&own.upstream, &upstream) {
            (Some(told), Some(upstream)) => told.has_same_state(upstream),
            (told, upstream) => told.is_none() && upstream.is_none(),
        };
        if own.leaving == leaving && own.service == service && same_upstream {
            return;
        }
        own.leaving = leaving;
        own.service = service;
        own.upstream = upstream;
        own.sequence += 1;
        self.publish(&own);
    }

    /// Another process under this name had this generation, so that of this one must be higher.
    pub fn raise_generation(&self, known: u64, incarnation: Incarnation) {
        let mut own = self.own.lock();
        if incarnation != own.incarnation && own.generation <= known {
            own.generation = known + 1;
            log::info!(generation = own.generation; "a process before had this name");
            self.publish(&own);
        }
    }

    /// Takes what an earlier process of this node told of the upstream.
    pub fn apply_earlier_record(&self, record: &InstanceRecord) {
        if record.incarnation == self.incarnation {
            return;
        }
        let Some(earlier) = &record.upstream else { return };
        let upstream = {
            let mut tracker = self.upstream_tracker.lock();
            match tracker.apply_earlier_record(clock::now(), earlier) {
                MessageEffect::Changed => tracker.current().cloned(),
                _ => None,
            }
        };
        if let Some(upstream) = upstream {
            log::info!(
                upstream:% = earlier.id, left = earlier.has_left;
                "the upstream was leaving before this process started"
            );
            self.guard.set_upstream(upstream);
            self.update_record();
        }
    }

    fn publish(&self, own: &InstanceRecord) {
        let mut directory = self.directory.lock();
        directory.merge(own.clone());
        self.members.store(Arc::new(directory.members()));
        self.sync_now.send_replace(());
    }

    /// Puts changed settings in force.
    pub fn apply_settings(&self, live: LiveSettings) {
        self.retries.lock().set_bound(retry_bound(&live.bounds));
        self.live_settings.store(Arc::new(live));
        self.update_record();
    }

    /// Takes the addresses that the store keeps.
    pub fn set_stored_addresses(&self, addresses: BTreeMap<InstanceName, InstanceAddress>) {
        let mut directory = self.directory.lock();
        directory.set_stored_addresses(addresses);
        self.members.store(Arc::new(directory.members()));
    }

    /// The node acts as a hub.
    pub fn act_as_hub(&self, number: usize, now: Timestamp) {
        if number > 0 {
            return;
        }
        let was_hub = self.is_first_hub(now);
        self.first_hub_at_ms.store(clock::millis(now), Ordering::Release);
        let mut directory = self.directory.lock();
        if !was_hub {
            directory.reset_contacts();
        }
        if directory.mark_silent(now, &self.settings.instance) {
            self.members.store(Arc::new(directory.members()));
        }
    }

    /// Number of hubs, 1 until the first hub has told it.
    pub fn hub_count(&self) -> usize {
        self.hubs.load(Ordering::Acquire)
    }

    /// Takes the number of hubs that the first hub has decided on.
    pub fn set_hub_count(&self, hubs: usize) {
        let before = self.hubs.swap(hubs, Ordering::AcqRel);
        if before != hubs {
            log::info!(hubs = hubs, before = before; "the fleet has another number of hubs");
        }
    }

    /// Tells whether the node acts as the first hub.
    pub fn is_first_hub(&self, now: Timestamp) -> bool {
        let at_ms = self.first_hub_at_ms.load(Ordering::Acquire);
        at_ms > 0 && clock::millis(now) < at_ms + HUB_LIFETIME_MS
    }

    /// Another node claims to know of a newer configuration or proof.
    pub fn set_refresh_source(&self, instance: &InstanceName) {
        *self.refresh_source.lock() = Some(instance.clone());
        self.refresh_requested.notify_one();
    }

    /// The node that claimed so last.
    pub fn take_refresh_source(&self) -> Option<InstanceName> {
        self.refresh_source.lock().take()
    }
}

fn retry_bound(bounds: &Bounds) -> RetryBound {
    RetryBound {
        ratio: bounds.retry_ratio,
        window: bounds.retry_window,
        slack: f64::from(bounds.retry_slack),
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
    pub fn record_read(&self, began: Timestamp) {
        self.began_ms.fetch_max(clock::millis(began), Ordering::AcqRel);
    }

    /// Age of the newest proof; very long where there is none.
    pub fn age(&self, now: Timestamp) -> Duration {
        self.known_age(now).unwrap_or(Duration::from_secs(u64::from(u32::MAX)))
    }

    /// Age of the newest proof; none where there is none.
    pub fn known_age(&self, now: Timestamp) -> Option<Duration> {
        match self.began_ms.load(Ordering::Acquire) {
            0 => None,
            began_ms => Some(now.saturating_sub(Duration::from_millis(began_ms))),
        }
    }
}
