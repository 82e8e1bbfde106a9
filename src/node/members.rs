//! The actor that drives the membership decisions: platform calls, pulls and publishing.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use kameo::{
    Actor,
    actor::{ActorRef, WeakActorRef},
    error::ActorStopReason,
    message::{Context, Message},
};
use prost::Message as _;
use tokio::{
    sync::oneshot,
    task::JoinSet,
    time::{MissedTickBehavior, interval, timeout},
};
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::{
    clock,
    membership::{
        Action, Adoption, Event, Identity, Membership, Row, RowState, TICK_INTERVAL, Table,
    },
    names::ServiceName,
    node::{Lifecycle, Shared, watch::Watch},
    peers::proto::{EvidenceReply, EvidenceRequest},
    store::{
        KIND_CONFIGURATION, KIND_TABLES, NAME_CURRENT, ObjectApi as _, ObjectVersion, StoreError,
    },
};

/// Time that a node gets to answer a pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// Load byte of a node whose upstream serves nothing.
const NOT_SERVING: u8 = 255;

/// Drives the membership decisions.
pub struct MembersActor {
    shared: Arc<Shared>,
    membership: Membership,
    actor: ActorRef<Self>,
    /// Service of the last announcement; a crashed upstream keeps its row.
    service: Option<ServiceName>,
    left: Option<oneshot::Sender<()>>,
    stop: CancellationToken,
    tasks: JoinSet<()>,
}

/// Takes the node's row out of the table and reports when that has happened.
pub struct Leave(pub oneshot::Sender<()>);

/// Another node asks for evidence.
pub struct Asked(pub EvidenceRequest);

/// The evidence for another node.
#[derive(kameo::Reply)]
pub struct Answer(pub EvidenceReply);

/// The configuration actor has read a revision at the platform.
pub struct ConfigurationWasRead {
    /// Time before the call.
    pub began: clock::Timestamp,
    /// Revision that the platform returned.
    pub revision: crate::names::Revision,
}

/// Time has passed.
struct Tick;

/// The upstream has announced itself or drains.
struct Announced;

/// The answer to an action.
struct Happened(Event);

impl Actor for MembersActor {
    type Args = Arc<Shared>;
    type Error = kameo::error::Infallible;

    async fn on_start(shared: Self::Args, actor: ActorRef<Self>) -> Result<Self, Self::Error> {
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        tasks.spawn(until(stop.clone(), tick(actor.clone())));
        tasks.spawn(until(stop.clone(), announcements(shared.clone(), actor.clone())));
        tasks.spawn(until(stop.clone(), watch(shared.clone(), actor.clone())));
        let identity = Identity {
            instance: shared.settings.instance.clone(),
            incarnation: shared.incarnation,
            zone: shared.settings.zone.clone(),
            shard: shared.settings.shard.clone(),
            peer_address: shared.addresses.peers,
        };
        let membership = Membership::new(identity, Adoption::OnApproval, rand::random());
        Ok(Self { shared, membership, actor, service: None, left: None, stop, tasks })
    }

    async fn on_stop(
        &mut self,
        _actor: WeakActorRef<Self>,
        _reason: ActorStopReason,
    ) -> Result<(), Self::Error> {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
        Ok(())
    }
}

impl Message<Tick> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _ctx: &mut Context<Self, Self::Reply>) {
        while self.tasks.try_join_next().is_some() {}
        self.handle_event(Event::Tick);
        self.shared.evidence.store(Arc::new(self.membership.evidence(clock::now())));
    }
}

impl Message<Announced> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, _: Announced, _ctx: &mut Context<Self, Self::Reply>) {
        if self.shared.lifecycle() == Lifecycle::Serving {
            let row = self.own_row();
            self.handle_event(Event::OwnRowSet(Some(row)));
        }
    }
}

impl Message<Leave> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, Leave(left): Leave, _ctx: &mut Context<Self, Self::Reply>) {
        self.left = Some(left);
        self.handle_event(Event::OwnRowSet(None));
    }
}

impl Message<Happened> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, Happened(event): Happened, _ctx: &mut Context<Self, Self::Reply>) {
        self.handle_event(event);
    }
}

impl Message<ConfigurationWasRead> for MembersActor {
    type Reply = ();

    async fn handle(
        &mut self,
        ConfigurationWasRead { began, revision }: ConfigurationWasRead,
        _ctx: &mut Context<Self, Self::Reply>,
    ) {
        self.handle_event(Event::ConfigurationSeen { began, revision });
    }
}

impl Message<Asked> for MembersActor {
    type Reply = Answer;

    async fn handle(
        &mut self,
        Asked(request): Asked,
        _ctx: &mut Context<Self, Self::Reply>,
    ) -> Answer {
        self.state_own();
        let (reply, actions) = self.membership.answer(clock::now(), &request);
        self.shared.metrics.count_evidence("answered", request.encoded_len(), reply.encoded_len());
        self.publish();
        self.act(actions);
        Answer(reply)
    }
}

impl MembersActor {
    fn own_row(&mut self) -> Row {
        let shared = &self.shared;
        if let Some(announcement) = shared.upstream.serving() {
            self.service = Some(announcement.service.clone());
        }
        // A row whose records are with its successors must leave before it may own keys again.
        let state = match shared.upstream.is_draining() || shared.once.is_handing_over() {
            true => RowState::Leaving,
            false => RowState::Active,
        };
        Row {
            instance: shared.settings.instance.clone(),
            incarnation: shared.incarnation,
            zone: shared.settings.zone.clone(),
            service: self.service.clone(),
            peer_address: shared.addresses.peers,
            weight: shared.settings.weight,
            state,
        }
    }

    fn state_own(&mut self) {
        let revision = self.shared.configuration.load().revision;
        let load = u8::try_from(self.shared.gate.load()).unwrap_or(NOT_SERVING);
        self.membership.set_own_state(revision, load);
    }

    fn handle_event(&mut self, event: Event) {
        self.state_own();
        let mut actions = self.membership.handle(clock::now(), event);
        if let Some(offered) = self.membership.pending_view()
            && self.shared.rates.prepare(&self.shared, &offered)
        {
            let version = offered.table.version;
            actions
                .extend(self.membership.handle(clock::now(), Event::AdoptionApproved { version }));
        }
        self.publish();
        self.act(actions);
    }

    /// Publishes the view before the lease: a request that checks the lease first never uses an
    /// older table under a lease that belongs to a newer one.
    fn publish(&mut self) {
        let shared = &self.shared;
        let published = shared.view.load();
        let view = self.membership.view();
        if published.table.version != view.table.version || published.settled != view.settled {
            log::info!(
                "table version {} with {} rows{}",
                view.table.version,
                view.table.rows.len(),
                if view.settled { ", settled" } else { "" },
            );
            let addresses: std::collections::HashSet<SocketAddr> =
                view.table.rows.iter().map(|row| row.peer_address).collect();
            shared.view.store(Arc::new(view));
            shared.peers.retain(|address| addresses.contains(address));
        }
        shared.lease.set_row_until(self.membership.row_until());
        shared.lease.set_keys_until(self.membership.keys_until());
        if self.membership.has_left()
            && let Some(left) = self.left.take()
        {
            let _ = left.send(());
        }
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (shared, actor) = (self.shared.clone(), self.actor.clone());
            let stop = self.stop.clone();
            let work = async move {
                if let Some(event) = perform(&shared, action).await {
                    let _ = actor.tell(Happened(event)).await;
                }
            };
            self.tasks.spawn(until(stop, work));
        }
    }
}

/// Runs a task, sends to the actor included, until it ends or the actor stops.
pub async fn until(stop: CancellationToken, work: impl Future<Output = ()>) {
    stop.run_until_cancelled(work).await.unwrap_or(());
}

async fn perform(shared: &Shared, action: Action) -> Option<Event> {
    let began = clock::now();
    match action {
        Action::PullEvidence { address, request } => ask(shared, address, request, began).await,
        Action::ReadTable => Some(match read_table(shared).await {
            Ok(found) => Event::TableRead { began, found },
            Err(error) => {
                log::warn!("reading the membership table failed: {error}");
                Event::TableFailed
            }
        }),
        Action::WriteTable { table, if_version } => {
            let change_id = table.change_id;
            Some(match write_table(shared, &table, if_version).await {
                Ok(()) => Event::TableWritten { began, table },
                Err(error) => write_failure(&error, change_id),
            })
        }
        Action::ReadConfiguration => Some(match read_revision(shared).await {
            Ok(revision) => Event::ConfigurationRead { began, revision },
            Err(error) => {
                log::warn!("reading the configuration's revision failed: {error}");
                Event::ConfigurationFailed
            }
        }),
    }
}

async fn ask(
    shared: &Shared,
    address: SocketAddr,
    request: EvidenceRequest,
    sent_at: clock::Timestamp,
) -> Option<Event> {
    let request_bytes = request.encoded_len();
    let mut client = shared.peers.client(address);
    match timeout(PULL_TIMEOUT, client.pull_evidence(request)).await {
        Ok(Ok(reply)) => {
            let reply = reply.into_inner();
            shared.once.merge_quarantine(&reply.quarantine);
            shared.metrics.count_evidence("asked", reply.encoded_len(), request_bytes);
            Some(Event::EvidenceReceived { sent_at, reply })
        }
        Ok(Err(status)) => {
            log::debug!("{address} gave no evidence: {}", status.message());
            None
        }
        Err(_) => {
            log::debug!("{address} gave no evidence within {PULL_TIMEOUT:?}");
            None
        }
    }
}

async fn read_table(shared: &Shared) -> Result<Option<(ObjectVersion, Table)>, StoreError> {
    let object = shared.platform.get(KIND_TABLES, &shared.settings.shard).await?;
    let Some(object) = object else { return Ok(None) };
    let Some(value) = object.value else { return Ok(None) };
    let table = serde_json::from_value(value)
        .map_err(|error| StoreError::Refused(format!("the table is unreadable: {error}")))?;
    Ok(Some((object.version, table)))
}

async fn write_table(
    shared: &Shared,
    table: &Table,
    if_version: ObjectVersion,
) -> Result<(), StoreError> {
    let value = serde_json::to_value(table)
        .map_err(|error| StoreError::Refused(format!("the table has no JSON form: {error}")))?;
    shared.platform.put(KIND_TABLES, &shared.settings.shard, value, if_version).await.map(drop)
}

fn write_failure(error: &StoreError, change_id: Uuid) -> Event {
    match error {
        StoreError::Conflict { .. } => Event::WriteConflict,
        StoreError::NoAnswer(reason) => {
            log::warn!("writing the membership table has no answer: {reason}");
            Event::WriteUnconfirmed { change_id }
        }
        StoreError::Unavailable(_) | StoreError::Refused(_) | StoreError::Expired => {
            log::error!("the membership table was not written: {error}");
            Event::TableFailed
        }
    }
}

async fn read_revision(shared: &Shared) -> Result<crate::names::Revision, StoreError> {
    let object = shared.platform.get(KIND_CONFIGURATION, NAME_CURRENT).await?;
    let value = object.and_then(|object| object.value);
    let revision = value.as_ref().and_then(|value| value.get("revision")?.as_u64());
    Ok(revision.unwrap_or(0))
}

async fn tick(actor: ActorRef<MembersActor>) {
    let mut interval = interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if actor.tell(Tick).await.is_err() {
            return;
        }
    }
}

async fn announcements(shared: Arc<Shared>, actor: ActorRef<MembersActor>) {
    while actor.tell(Announced).await.is_ok() {
        shared.announced.notified().await;
    }
}

/// Follows the table at the platform.
async fn watch(shared: Arc<Shared>, actor: ActorRef<MembersActor>) {
    let mut watch = Watch::new(shared.clone(), KIND_TABLES, shared.settings.shard.clone());
    loop {
        let (began, value) = watch.next().await;
        match serde_json::from_value(value) {
            Ok(table) => {
                if actor.tell(Happened(Event::TableSeen { began, table })).await.is_err() {
                    return;
                }
            }
            Err(error) => log::error!("the membership table is unreadable: {error}"),
        }
    }
}
