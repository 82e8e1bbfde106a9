//! State that the listeners and background tasks of a node share.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::{
    admission::ColdRate,
    call::Undispatched,
    clock::{self, Timestamp},
    http_server::intake::MisuseCounters,
    memory::{self, MemoryBudget, ResidentMemory},
    mesh::{
        Bounds, Call, Catalog, CatalogSource, ChainAdmission, Dialect, Directory, Guard,
        GuardResult, HubNumber, InstanceAddress, InstanceRecord, LiveSettings, Members,
        MeshMetrics, MeshSettings, MessageEffect, Placement, PlannedStop, Position, RateHomes,
        RetryBound, RetryBudget, ReturnPromises, RootAdmission, RootFloor, RouteUsage,
        ServiceRefusals, TokenStock, Upstream, UpstreamRecord, UpstreamTracker,
        evacuation::Evacuations,
        grpc::{self, ReservingChannel},
        leaving::DepartureLog,
        link::{Links, ServedLinks},
        pace::{self, PacedRoots},
        proto::mesh_client::MeshClient,
        request::BufferedRequest,
    },
    names::{Incarnation, InstanceName, ServiceName},
    peers::MAX_MESSAGE_BYTES,
    store::{ObjectVersion, StoreEra},
};

/// gRPC client of another node.
pub type Peer = MeshClient<ReservingChannel>;

/// A node that has not acted as the first hub for this long is no longer treated as the first hub.
const FIRST_HUB_LIFETIME_MS: u64 = 1_000;
/// Time without contact to other nodes after which the registration is checked; a hub removes it after
/// some 8 s.
const MAX_UNCHECKED_SILENCE: Duration = Duration::from_secs(5);
/// Shortest time between two checks of which instance runs at the address of the upstream. Another writer
/// could otherwise fill the upstream with health requests.
const MIN_INSTANCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Safety margin below [`Bounds::revoke`], since the freshness check and the use of the key are not
/// simultaneous.
const REVOKE_MARGIN: Duration = Duration::from_millis(150);

/// Time after the start of a node from which it accepts keys although it has reached no other node.
const COMPARISON_WAIT: Duration = Duration::from_secs(1);

/// State that the listeners and background tasks of a node share.
#[derive(Debug)]
pub struct Node<D: Dialect> {
    /// Settings read at the start.
    pub settings: MeshSettings,
    /// Settings that may change while the node runs.
    pub live_settings: ArcSwap<LiveSettings>,
    /// Memory for all bytes that the node holds for others.
    pub memory: Arc<MemoryBudget>,
    /// Counts what callers do beyond the bounds of the listeners.
    pub misuse: Arc<MisuseCounters>,
    /// The platform's object store.
    pub store: D::Store,
    /// Random number of this process, by which other nodes recognise a restart.
    pub incarnation: Incarnation,
    /// Configuration in force at this node; `None` until one has been received.
    pub catalog: ArcSwapOption<Catalog>,
    /// The configuration in force as compressed text, which is sent to other nodes.
    pub catalog_source: ArcSwapOption<CatalogSource>,
    /// Proof that the configuration in force is current.
    pub proof: FreshnessProof,
    /// Snapshot of `directory` that the request path reads without a lock.
    pub members: ArcSwap<Members>,
    /// The instances of the fleet with their records.
    pub directory: Mutex<Directory>,
    /// Admission and dispatch of requests to the node's local upstream.
    pub guard: Arc<Guard<D>>,
    /// State of the local upstream, from its heartbeats and leave messages.
    pub upstream_tracker: Mutex<UpstreamTracker>,
    /// What the store holds of the departures of local upstreams.
    pub departures: DepartureLog,
    /// Loads and results of the instances that this node sends requests to.
    pub placement: Mutex<Placement>,
    /// Admission of root requests by the load of the services that their call chains use.
    pub root_admission: Mutex<RootAdmission>,
    /// Admission of root requests to services whose upstreams are all cold.
    pub paced_roots: Mutex<PacedRoots>,
    /// Availability zones under evacuation.
    pub evacuations: ArcSwap<Evacuations>,
    /// Held while `evacuations` is replaced.
    pub evacuation_updates: Mutex<()>,
    /// Admission of call chains by the retries that they need.
    pub chain_admission: Mutex<ChainAdmission>,
    /// Promises to refused callers that they find room when they return.
    pub returns: Mutex<ReturnPromises>,
    /// Share of requests that each service refuses without running them.
    pub refusals: Mutex<ServiceRefusals>,
    /// Floors under the admission of root requests.
    pub root_floor: Mutex<RootFloor>,
    /// Mean usage of services by the requests of each route.
    pub route_usage: Mutex<RouteUsage>,
    /// Limits retries that reach an upstream.
    pub retries: Mutex<RetryBudget>,
    /// Token buckets that this node holds as a home of organisations.
    pub homes: Mutex<RateHomes>,
    /// Tokens that this entry node has drawn from the homes.
    pub stock: Mutex<TokenStock>,
    /// Triggers an exchange with the hubs: marked as changed when a request waits for a token or the
    /// node's record changes.
    pub sync_now: watch::Sender<()>,
    /// Counters and histograms since the start.
    pub metrics: MeshMetrics,
    /// Notified after each exchange that may have granted tokens.
    pub tokens_granted: Notify,
    /// Notified when another node reports a newer configuration or a fresher proof.
    pub refresh_requested: Notify,
    /// Links to other nodes, on which requests are forwarded.
    pub links: Links,
    /// Links of other nodes to this one.
    pub served_links: ServedLinks,
    /// Last known era of the store; marked as changed when the store has come back from a copy.
    pub era: watch::Sender<StoreEra>,
    /// Notified when the registration may have been removed while the node was out of contact.
    pub registration_check: Notify,
    /// Whether the addresses of the fleet have been received from the store or from another node.
    is_fleet_known: AtomicBool,
    is_state_known: AtomicBool,
    /// Whether another node has sent a record of an earlier process of this node.
    knows_predecessor: AtomicBool,
    /// Whether another node has answered this process as the first hub.
    has_heard_first_hub: AtomicBool,
    /// Sequence number of this process's record that another node is known to have.
    confirmed_sequence: AtomicU64,
    /// Milliseconds since boot of the last exchange with another node; 0 without one.
    last_contact_ms: AtomicU64,
    started_at: Timestamp,
    /// When the next check of the instance at the address of the upstream may begin.
    next_instance_check: Mutex<Timestamp>,
    /// Whether another node has stated no later configuration than the one in force here.
    is_compared: AtomicBool,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    own_record: Mutex<InstanceRecord>,
    /// The last node that reported a newer configuration or a fresher proof.
    refresh_source: Mutex<Option<InstanceName>>,
    /// Milliseconds since boot when the node last acted as the first hub; 0 if it never did.
    first_hub_at_ms: AtomicU64,
    /// Number of hubs, as decided by the first hub.
    hub_count: watch::Sender<usize>,
    stop: OnceLock<PlannedStop>,
}

impl<D: Dialect> Node<D> {
    /// Creates the state of a node that has just started.
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
        let memory_bytes = memory::machine_memory_bytes(settings.limits.memory_bytes);
        let resident_bytes = ResidentMemory::read().map_or(0, |it| it.current_bytes);
        let budget_bytes = memory::budget_bytes_beside(memory_bytes, resident_bytes);
        let memory = Arc::new(MemoryBudget::new(budget_bytes));
        let guard = Arc::new(Guard::new(memory.clone()));
        let links = Links::new(memory.clone());
        Self {
            memory,
            misuse: Arc::default(),
            store: D::store(settings.store, settings.store_timeout),
            incarnation,
            catalog: ArcSwapOption::empty(),
            catalog_source: ArcSwapOption::empty(),
            proof: FreshnessProof::default(),
            members: ArcSwap::from_pointee(directory.members()),
            directory: Mutex::new(directory),
            guard,
            upstream_tracker: Mutex::default(),
            departures: DepartureLog::default(),
            placement: Mutex::new(Placement::new(rand::random())),
            root_admission: Mutex::default(),
            paced_roots: Mutex::new(PacedRoots::new(rand::random())),
            evacuations: ArcSwap::default(),
            evacuation_updates: Mutex::default(),
            chain_admission: Mutex::new(ChainAdmission::new(retry_bound(&settings.bounds))),
            returns: Mutex::default(),
            refusals: Mutex::default(),
            root_floor: Mutex::default(),
            route_usage: Mutex::default(),
            retries: Mutex::new(RetryBudget::new(retry_bound(&settings.bounds))),
            live_settings: ArcSwap::from_pointee(LiveSettings::from_settings(&settings)),
            homes: Mutex::default(),
            stock: Mutex::default(),
            sync_now: watch::Sender::new(()),
            metrics: MeshMetrics::default(),
            tokens_granted: Notify::new(),
            refresh_requested: Notify::new(),
            links,
            served_links: ServedLinks::default(),
            era: watch::Sender::new(0),
            registration_check: Notify::new(),
            is_fleet_known: AtomicBool::new(false),
            is_state_known: AtomicBool::new(false),
            knows_predecessor: AtomicBool::new(false),
            has_heard_first_hub: AtomicBool::new(false),
            confirmed_sequence: AtomicU64::new(0),
            last_contact_ms: AtomicU64::new(0),
            started_at: clock::now(),
            next_instance_check: Mutex::default(),
            is_compared: AtomicBool::new(false),
            peers: Mutex::default(),
            own_record: Mutex::new(own),
            refresh_source: Mutex::default(),
            first_hub_at_ms: AtomicU64::new(0),
            hub_count: watch::Sender::new(1),
            stop: OnceLock::new(),
            settings,
        }
    }

    /// Returns the client of the node at this address; it connects on first use.
    pub fn peer(&self, address: SocketAddr) -> Peer {
        let mut peers = self.peers.lock();
        let peer = peers.entry(address).or_insert_with(|| {
            MeshClient::new(grpc::channel(address, self.memory.clone()))
                .max_decoding_message_size(MAX_MESSAGE_BYTES)
                .max_encoding_message_size(MAX_MESSAGE_BYTES)
        });
        peer.clone()
    }

    /// Drops the connections to addresses that no known instance has.
    pub fn drop_unknown_peers(&self) {
        let members = self.members.load();
        let known: HashSet<SocketAddr> =
            members.addresses().values().map(|it| it.peer_address).collect();
        self.links.retain(|address| known.contains(address));
        self.peers.lock().retain(|address, _| known.contains(address));
    }

    /// Whether the node is stopping: it finishes its running requests and then exits.
    pub fn is_leaving(&self) -> bool {
        self.stop.get().is_some()
    }

    /// The planned stop, once it has begun.
    pub fn planned_stop(&self) -> Option<&PlannedStop> {
        self.stop.get()
    }

    /// Begins a planned stop and announces it in the node's record.
    pub fn begin_leaving(&self, stop: PlannedStop) {
        // A node stops once; a second signal does not extend the time.
        let _ = self.stop.set(stop);
        self.update_record();
    }

    /// Position of the configuration in force; the lowest until one has been received.
    pub fn position(&self) -> Position {
        self.catalog_source.load().as_ref().map_or_else(Position::default, |source| source.position)
    }

    /// Store version of the configuration in force; 0 until one has been received.
    pub fn catalog_version(&self) -> ObjectVersion {
        self.position().version
    }

    /// Puts a configuration in force if it is newer; returns whether it was.
    pub fn adopt_catalog(&self, catalog: Catalog, source: CatalogSource) -> bool {
        if source.position <= self.position() {
            return false;
        }
        self.catalog.store(Some(Arc::new(catalog)));
        self.catalog_source.store(Some(Arc::new(source)));
        self.apply_connection_limit();
        self.update_cold_rate();
        true
    }

    /// Sets the number of connections that the configuration permits to the local upstream.
    fn apply_connection_limit(&self) {
        let catalog = self.catalog.load();
        let service = catalog.as_ref().and_then(|it| it.service(&self.own_service()));
        self.guard.set_max_connections(service.map_or(0, |it| it.max_connections));
    }

    /// Whether keys may be accepted: the freshness proof of the configuration is younger than the
    /// platform's bound on withdrawn keys, if it sets one, and the configuration has been compared with
    /// that of another node. A store that has come back from a copy may hold keys that were withdrawn.
    pub fn keys_are_fresh(&self, now: Timestamp) -> bool {
        match self.live_settings.load().bounds.revoke {
            None => true,
            Some(bound) => {
                let is_compared = self.is_compared.load(Ordering::Acquire)
                    || now >= self.started_at + COMPARISON_WAIT;
                is_compared && self.proof.age(now) + REVOKE_MARGIN < bound
            }
        }
    }

    /// Records that another node has a configuration at this position; `None` for a node of an earlier
    /// build, which states none.
    pub fn record_comparison(&self, position: Option<Position>) {
        let own = self.position();
        if own != Position::default() && position.is_none_or(|position| position <= own) {
            self.is_compared.store(true, Ordering::Release);
        }
    }

    /// Records the era of the store that a read or another node states; subscribers of `era` are notified
    /// when it rises.
    pub fn record_era(&self, era: StoreEra) {
        self.era.send_if_modified(|known| {
            let has_risen = *known != 0 && era > *known;
            *known = era.max(*known);
            has_risen
        });
    }

    /// Whether the node should receive requests of callers, as reported on the readiness listener.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving()
            && self.catalog.load().is_some()
            && (!self.evacuates_zones() || self.evacuations.load().is_known())
    }

    /// Whether root requests are admitted by their call chains, by shares and with promised returns.
    pub fn admits_chains(&self) -> bool {
        self.live_settings.load().admits_chains
    }

    /// Whether the platform evacuates availability zones.
    pub fn evacuates_zones(&self) -> bool {
        self.live_settings.load().bounds.evacuate.is_some()
    }

    /// Whether requests may be sent to upstreams in this zone.
    pub fn accepts_zone(&self, zone: &str) -> bool {
        !self.evacuates_zones() || self.evacuations.load().accepts(zone)
    }

    /// Whether the local upstream has announced that it is removed permanently, and the instance with
    /// it.
    pub fn upstream_has_left(&self) -> bool {
        self.upstream_tracker.lock().has_left(clock::now())
    }

    /// Service of the local upstream.
    pub fn own_service(&self) -> ServiceName {
        self.own_record.lock().service.clone()
    }

    /// The node's own record, which it sends to the hubs.
    pub fn own_record(&self) -> InstanceRecord {
        self.own_record.lock().clone()
    }

    /// Updates the node's own record, and publishes it if it has changed.
    pub fn update_record(&self) {
        let tracker = self.upstream_tracker.lock();
        let upstream = tracker.current();
        let is_state_known = self.is_state_known();
        // A heartbeat may come from another writer, so it does not decide the service.
        let service = self.live_settings.load().service.clone();
        // When the node stops after its upstream has left, the record without an upstream removes the
        // instance from the fleet.
        let announced = upstream
            .filter(|_| !(self.is_leaving() && tracker.has_left(clock::now())))
            .filter(|it| is_state_known || !it.is_ready())
            .filter(|it| it.heartbeat.service == service);
        let left_before = tracker.leaving_record().filter(|_| !self.is_leaving());
        let upstream = announced.map(|it| UpstreamRecord {
            id: it.heartbeat.upstream.clone(),
            slots: it.heartbeat.slots,
            ready: it.is_ready(),
            has_left: tracker.has_left(clock::now()),
            started_unix_ms: it.heartbeat.started_unix_ms,
            sequence: it.heartbeat.sequence,
            pace_per_ks: self.guard.cold_pace().map_or(0, |pace| pace::to_per_ks(pace.per_s)),
        });
        let upstream = upstream.or(left_before);
        drop(tracker);
        let mut own = self.own_record.lock();
        let leaving = self.is_leaving();
        let same_upstream = match (&own.upstream, &upstream) {
            (Some(published), Some(upstream)) => published.has_same_state(upstream),
            (published, upstream) => published.is_none() && upstream.is_none(),
        };
        if own.leaving == leaving && own.service == service && same_upstream {
            return;
        }
        own.leaving = leaving;
        let is_other_service = own.service != service;
        own.service = service;
        own.upstream = upstream;
        own.sequence += 1;
        self.publish_record(&own);
        drop(own);
        self.apply_connection_limit();
        if is_other_service {
            self.update_cold_rate();
        }
    }

    /// Passes to the guard what the upstream tolerates while it is cold, from the configuration and the
    /// bounds of the platform.
    pub fn update_cold_rate(&self) {
        let catalog = self.catalog.load();
        let service = self.own_service();
        let service = catalog.as_ref().and_then(|catalog| catalog.service(&service));
        let bounds = self.live_settings.load().bounds;
        let rate = service.and_then(|service| {
            let per_s = service.cold_per_s?;
            let max_in_second = per_s * bounds.cold_over + bounds.cold_slack;
            Some(ColdRate { per_s, max_in_second, duration: service.cold_start })
        });
        self.guard.set_cold_rate(rate);
        self.guard.set_learns_pace(self.live_settings.load().learns_pace);
    }

    /// Raises the generation of the node's record above that of another process under its name, so
    /// that this node's record is treated as the newer one.
    pub fn raise_generation(&self, other_generation: u64, other_incarnation: Incarnation) {
        let mut own = self.own_record.lock();
        if other_incarnation != own.incarnation && own.generation <= other_generation {
            own.generation = other_generation + 1;
            log::info!(
                generation = own.generation;
                "another process has used this instance name; raised the generation of the record"
            );
            self.publish_record(&own);
        }
    }

    /// Runs a request at the local upstream. An answer that states that the upstream is leaving has the
    /// same effect as its leave message.
    pub async fn run_at_upstream(
        &self,
        call: Call,
        request: BufferedRequest,
        undispatched: Undispatched,
    ) -> GuardResult {
        let result = self.guard.run(call, request, undispatched).await;
        if let Some(upstream) = &result.leaving_upstream {
            self.apply_leaving_answer(upstream);
        }
        result
    }

    fn apply_leaving_answer(&self, id: &InstanceName) {
        let now = clock::now();
        let upstream = {
            let mut tracker = self.upstream_tracker.lock();
            let is_current = tracker.current().is_some_and(|it| it.heartbeat.upstream == *id);
            if !is_current || tracker.has_left(now) {
                return;
            }
            tracker.apply_leave(now, id);
            tracker.current().cloned()
        };
        log::info!(upstream:% = id; "an answer of the upstream states that it is leaving");
        if let Some(upstream) = upstream {
            self.use_upstream(upstream);
            self.update_record();
        }
    }

    /// Applies the upstream's state from a record that an earlier process of this node published.
    pub fn apply_earlier_record(&self, record: &InstanceRecord) {
        if record.incarnation == self.incarnation {
            return;
        }
        self.knows_predecessor.store(true, Ordering::Release);
        if let Some(earlier) = &record.upstream {
            self.apply_earlier_upstream(earlier);
        }
    }

    /// Applies the upstream's state that an earlier process of this node has published.
    pub fn apply_earlier_upstream(&self, earlier: &UpstreamRecord) {
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
                "the upstream was leaving before this process started; marked it as leaving"
            );
            self.use_upstream(upstream);
        }
        // A successor of this process must learn of it, too.
        self.update_record();
    }

    /// Uses the state of the local upstream, once that which an earlier process has published is known.
    pub fn use_upstream(&self, upstream: Upstream) {
        if self.is_state_known() {
            self.guard.set_upstream(upstream);
        }
    }

    /// Whether another node has sent a record of an earlier process of this node.
    pub fn knows_predecessor(&self) -> bool {
        self.knows_predecessor.load(Ordering::Acquire)
    }

    /// Whether a check of the instance at the address of the upstream may begin now.
    pub fn begin_instance_check(&self, now: Timestamp) -> bool {
        let mut next = self.next_instance_check.lock();
        let may_begin = now >= *next;
        if may_begin {
            *next = now + MIN_INSTANCE_CHECK_INTERVAL;
        }
        may_begin
    }

    /// Whether another node or the store has been asked for the state of the upstream that an earlier
    /// process of this node has published.
    pub fn is_state_known(&self) -> bool {
        self.is_state_known.load(Ordering::Acquire)
    }

    /// Records that the state which an earlier process has published is known, and uses the upstream.
    pub fn set_state_known(&self) {
        self.is_state_known.store(true, Ordering::Release);
        let upstream = self.upstream_tracker.lock().current().cloned();
        if let Some(upstream) = upstream {
            self.guard.set_upstream(upstream);
        }
        self.update_record();
    }

    /// Whether another node has this process's record up to this sequence number.
    pub fn is_confirmed(&self, sequence: u64) -> bool {
        self.confirmed_sequence.load(Ordering::Acquire) >= sequence
    }

    /// Records that another node has this process's record up to this sequence number.
    pub fn record_confirmation(&self, sequence: u64) {
        self.confirmed_sequence.fetch_max(sequence, Ordering::AcqRel);
    }

    /// Whether another node has answered this process as the first hub.
    pub fn has_heard_first_hub(&self) -> bool {
        self.has_heard_first_hub.load(Ordering::Acquire)
    }

    /// Records that another node has answered this process as the first hub.
    pub fn record_first_hub_heard(&self) {
        self.has_heard_first_hub.store(true, Ordering::Release);
    }

    /// Whether the addresses of the fleet are known.
    pub fn is_fleet_known(&self) -> bool {
        self.is_fleet_known.load(Ordering::Acquire)
    }

    fn publish_record(&self, own: &InstanceRecord) {
        let mut directory = self.directory.lock();
        directory.merge(own.clone());
        self.members.store(Arc::new(directory.members()));
        self.sync_now.send_replace(());
    }

    /// Applies settings that were read again.
    pub fn apply_settings(&self, live: LiveSettings) {
        self.retries.lock().set_bound(retry_bound(&live.bounds));
        self.chain_admission.lock().set_bound(retry_bound(&live.bounds));
        self.live_settings.store(Arc::new(live));
        self.update_cold_rate();
        self.update_record();
    }

    /// Records the share of requests that a service refuses, from a report that was made at `at`.
    pub fn record_refused_share(&self, service: &ServiceName, share: f64, at: Timestamp) {
        let change = self.refusals.lock().record(service, share, at);
        if let Some(is_refusing) = change {
            log::info!(
                service:% = service, refusing = is_refusing, share = share;
                "the service has begun or ceased to refuse a part of its requests"
            );
        }
    }

    /// Replaces the addresses that were read from the store.
    pub fn set_stored_addresses(&self, addresses: BTreeMap<InstanceName, InstanceAddress>) {
        let mut directory = self.directory.lock();
        directory.set_stored_addresses(addresses);
        self.members.store(Arc::new(directory.members()));
        self.is_fleet_known.store(true, Ordering::Release);
    }

    /// Number of instances in the fleet, without the lost ones; 0 while it is unknown, since a node that has
    /// just started knows only itself.
    pub fn fleet_size(&self) -> usize {
        match self.is_fleet_known.load(Ordering::Acquire) {
            true => self.members.load().live_len(),
            false => 0,
        }
    }

    /// Records an exchange with another node. After a long time without one, the registration is checked,
    /// since a hub may have removed it.
    pub fn record_peer_contact(&self, now: Timestamp) {
        let last_ms = self.last_contact_ms.fetch_max(clock::to_millis(now), Ordering::AcqRel);
        // A process may be paused before its first exchange.
        let last = Duration::from_millis(last_ms).max(self.started_at);
        let silence = now.saturating_sub(last);
        if silence > MAX_UNCHECKED_SILENCE {
            log::info!(
                silence_ms = clock::to_millis(silence);
                "back in contact with other nodes; checking the registration in the store"
            );
            self.registration_check.notify_one();
        }
    }

    /// Records that another node has answered an exchange of this node, and with it sent the records of the
    /// fleet.
    pub fn record_peer_answer(&self, now: Timestamp) {
        self.is_fleet_known.store(true, Ordering::Release);
        self.record_peer_contact(now);
    }

    /// The instances that are lost as this node knows them.
    pub fn lost_instances(&self) -> BTreeSet<InstanceName> {
        self.directory.lock().lost().cloned().collect()
    }

    /// Records the instances that were lost as an instance knew them, which used another home before for this
    /// hub number.
    pub fn record_stated_losses(
        &self,
        now: Timestamp,
        number: HubNumber,
        lost: &BTreeSet<InstanceName>,
    ) {
        let stated = self.directory.lock().fleet_without(lost);
        if let Some(members) = stated {
            self.homes.lock().record_stated_fleet(now, number, members);
        }
    }

    /// Stops counting an instance that turns to another home for this hub number.
    pub fn release_home(&self, number: HubNumber, instance: &str) {
        let fleet_size = self.fleet_size();
        self.homes.lock().release(clock::now(), number, instance, fleet_size);
    }

    /// Whether the node acts as the first hub without contact to more than half of the fleet.
    pub fn is_isolated_hub(&self, now: Timestamp) -> bool {
        self.is_first_hub(now) && !self.directory.lock().has_majority(now, &self.settings.instance)
    }

    /// Removes an instance whose registration in the store was removed.
    pub fn remove_instance(&self, instance: &str) {
        let mut directory = self.directory.lock();
        directory.remove(instance);
        self.members.store(Arc::new(directory.members()));
    }

    /// Records that the node acts as the hub of this number. The first hub also detects silent instances.
    pub fn act_as_hub(&self, number: usize, now: Timestamp) {
        if number > 0 {
            return;
        }
        let was_hub = self.is_first_hub(now);
        self.first_hub_at_ms.store(clock::to_millis(now), Ordering::Release);
        let has_majorities = self.homes.lock().has_stated_majorities(now, number);
        let mut directory = self.directory.lock();
        if !was_hub {
            directory.reset_contacts();
        }
        let lost = match has_majorities {
            true => directory.mark_lost(now, &self.settings.instance),
            false => Vec::new(),
        };
        if directory.mark_silent(now, &self.settings.instance) || !lost.is_empty() {
            self.members.store(Arc::new(directory.members()));
        }
        drop(directory);
        if !lost.is_empty() {
            log::warn!(
                instances:? = lost;
                "instances are lost; they no longer count as members of the fleet"
            );
        }
    }

    /// Number of hubs; 1 until the first hub has announced it.
    pub fn hub_count(&self) -> usize {
        *self.hub_count.borrow()
    }

    /// Waits until there are more than `number` hubs.
    pub async fn wait_for_hub(&self, number: usize) {
        // The sender lives as long as the node, so waiting cannot fail.
        let _ = self.hub_count.subscribe().wait_for(|hubs| *hubs > number).await;
    }

    /// Sets the number of hubs that the first hub has decided.
    pub fn set_hub_count(&self, hubs: usize) {
        let before = self.hub_count.send_replace(hubs);
        if before != hubs {
            log::info!(
                hubs = hubs, before = before;
                "number of hubs has changed; organisations move to their new homes"
            );
        }
    }

    /// Whether the node has recently acted as the first hub.
    pub fn is_first_hub(&self, now: Timestamp) -> bool {
        let at_ms = self.first_hub_at_ms.load(Ordering::Acquire);
        at_ms > 0 && clock::to_millis(now) < at_ms + FIRST_HUB_LIFETIME_MS
    }

    /// Records that another node has reported a newer configuration or a fresher proof, and requests
    /// an exchange with it.
    pub fn set_refresh_source(&self, instance: &InstanceName) {
        *self.refresh_source.lock() = Some(instance.clone());
        self.refresh_requested.notify_one();
    }

    /// Removes and returns the node that last reported a newer configuration or a fresher proof.
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

/// Proof that the configuration in force is current: a read of the store that returned its version.
///
/// The proof's age counts from the time when the read began.
#[derive(Debug, Default)]
pub struct FreshnessProof {
    /// Milliseconds since boot when the newest such read began; 0 without one.
    read_began_ms: AtomicU64,
}

impl FreshnessProof {
    /// Records that a read begun at `began` has shown the configuration to be current.
    pub fn record_read(&self, began: Timestamp) {
        self.read_began_ms.fetch_max(clock::to_millis(began), Ordering::AcqRel);
    }

    /// Age of the newest proof; `u32::MAX` seconds without one.
    pub fn age(&self, now: Timestamp) -> Duration {
        self.known_age(now).unwrap_or(Duration::from_secs(u64::from(u32::MAX)))
    }

    /// Age of the newest proof, if there is one.
    pub fn known_age(&self, now: Timestamp) -> Option<Duration> {
        match self.read_began_ms.load(Ordering::Acquire) {
            0 => None,
            began_ms => Some(now.saturating_sub(Duration::from_millis(began_ms))),
        }
    }
}
