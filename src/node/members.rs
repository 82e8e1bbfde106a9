//! Actor that runs the membership state machine: it performs its store calls and evidence pulls,
//! and publishes the table and the leases to the node.

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

/// Time that another node has to answer an evidence pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// Load that a node without a serving upstream reports in its evidence.
const NOT_SERVING_LOAD: u8 = 255;

/// Actor that runs the membership state machine.
pub struct MembersActor {
    shared: Arc<Shared>,
    membership: Membership,
    actor: ActorRef<Self>,
    /// Service of the last announcement; the row keeps it while a crashed upstream restarts.
    service: Option<ServiceName>,
    leave_confirmation: Option<oneshot::Sender<()>>,
    stop: CancellationToken,
    tasks: JoinSet<()>,
}

/// Removes the node's row from the table; the channel receives a message once it is removed.
pub struct Leave(pub oneshot::Sender<()>);

/// Evidence request of another node.
pub struct EvidenceQuery(pub EvidenceRequest);

/// Reply to an evidence request.
#[derive(kameo::Reply)]
pub struct EvidenceAnswer(pub EvidenceReply);

/// The configuration actor has read a revision from the platform, which shows how current the
/// node's configuration is.
pub struct ConfigurationWasRead {
    /// Time immediately before the call.
    pub began: clock::Timestamp,
    /// Revision that the platform returned.
    pub revision: crate::names::Revision,
}

/// Periodic timer of the membership state machine, sent every [`TICK_INTERVAL`].
struct Tick;

/// The local upstream has announced itself, drains or is lost, so the node's row may change.
struct OwnRowChanged;

/// Input to the membership state machine: the result of an action, or a table from the watch.
struct HandleEvent(Event);

impl Actor for MembersActor {
    type Args = Arc<Shared>;
    type Error = kameo::error::Infallible;

    async fn on_start(shared: Self::Args, actor: ActorRef<Self>) -> Result<Self, Self::Error> {
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        tasks.spawn(run_until_stopped(stop.clone(), send_ticks(actor.clone())));
        tasks.spawn(run_until_stopped(
            stop.clone(),
            forward_own_row_changes(shared.clone(), actor.clone()),
        ));
        tasks.spawn(run_until_stopped(stop.clone(), watch_table(shared.clone(), actor.clone())));
        let identity = Identity {
            instance: shared.settings.instance.clone(),
            incarnation: shared.incarnation,
            zone: shared.settings.zone.clone(),
            shard: shared.settings.shard.clone(),
            peer_address: shared.addresses.peers,
        };
        let membership = Membership::new(identity, Adoption::OnApproval, rand::random());
        Ok(Self { shared, membership, actor, service: None, leave_confirmation: None, stop, tasks })
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

impl Message<OwnRowChanged> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, _: OwnRowChanged, _ctx: &mut Context<Self, Self::Reply>) {
        if self.shared.lifecycle() == Lifecycle::Serving {
            let row = self.own_row();
            self.handle_event(Event::OwnRowSet(Some(row)));
        }
    }
}

impl Message<Leave> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, Leave(confirmation): Leave, _ctx: &mut Context<Self, Self::Reply>) {
        self.leave_confirmation = Some(confirmation);
        self.handle_event(Event::OwnRowSet(None));
    }
}

impl Message<HandleEvent> for MembersActor {
    type Reply = ();

    async fn handle(
        &mut self,
        HandleEvent(event): HandleEvent,
        _ctx: &mut Context<Self, Self::Reply>,
    ) {
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
        self.handle_event(Event::ConfigurationObserved { began, revision });
    }
}

impl Message<EvidenceQuery> for MembersActor {
    type Reply = EvidenceAnswer;

    async fn handle(
        &mut self,
        EvidenceQuery(request): EvidenceQuery,
        _ctx: &mut Context<Self, Self::Reply>,
    ) -> EvidenceAnswer {
        self.update_own_state();
        let (reply, actions) = self.membership.answer_pull(clock::now(), &request);
        self.shared.metrics.count_evidence("answered", request.encoded_len(), reply.encoded_len());
        self.publish();
        self.perform_actions(actions);
        EvidenceAnswer(reply)
    }
}

impl MembersActor {
    fn own_row(&mut self) -> Row {
        let shared = &self.shared;
        if let Some(announcement) = shared.upstream.serving_announcement() {
            self.service = Some(announcement.service.clone());
        }
        // A row that has handed over its records must leave the table before it may own keys again.
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

    /// Updates the revision and the load that the node reports about itself.
    fn update_own_state(&mut self) {
        let revision = self.shared.configuration.load().revision;
        let load = u8::try_from(self.shared.gate.load()).unwrap_or(NOT_SERVING_LOAD);
        self.membership.set_own_state(revision, load);
    }

    fn handle_event(&mut self, event: Event) {
        self.update_own_state();
        let mut actions = self.membership.handle(clock::now(), event);
        if let Some(pending) = self.membership.pending_view()
            && self.shared.rates.prepare_shares(&self.shared, &pending)
        {
            let version = pending.table.version;
            actions
                .extend(self.membership.handle(clock::now(), Event::AdoptionApproved { version }));
        }
        self.publish();
        self.perform_actions(actions);
    }

    /// Publishes the view and then the leases. A request reads the lease first, so it never uses an
    /// older table under the lease of a newer one.
    fn publish(&mut self) {
        let shared = &self.shared;
        let published = shared.view.load();
        let view = self.membership.view();
        if published.table.version != view.table.version || published.is_settled != view.is_settled
        {
            log::info!(
                "version {} of the membership table, with {} rows{}, is in force at this node",
                view.table.version,
                view.table.rows.len(),
                if view.is_settled { ", settled" } else { "" },
            );
            let addresses: std::collections::HashSet<SocketAddr> =
                view.table.rows.iter().map(|row| row.peer_address).collect();
            shared.view.store(Arc::new(view));
            shared.peers.retain(|address| addresses.contains(address));
        }
        shared.lease.set_row_until(self.membership.row_until());
        shared.lease.set_keys_until(self.membership.keys_until());
        if self.membership.has_left()
            && let Some(confirmation) = self.leave_confirmation.take()
        {
            let _ = confirmation.send(());
        }
    }

    fn perform_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (shared, actor) = (self.shared.clone(), self.actor.clone());
            let stop = self.stop.clone();
            let work = async move {
                if let Some(event) = perform_action(&shared, action).await {
                    let _ = actor.tell(HandleEvent(event)).await;
                }
            };
            self.tasks.spawn(run_until_stopped(stop, work));
        }
    }
}

/// Runs a task, including its sends to the actor, until it completes or `stop` is cancelled.
pub async fn run_until_stopped(stop: CancellationToken, work: impl Future<Output = ()>) {
    stop.run_until_cancelled(work).await.unwrap_or(());
}

async fn perform_action(shared: &Shared, action: Action) -> Option<Event> {
    let began = clock::now();
    match action {
        Action::PullEvidence { address, request } => {
            pull_evidence(shared, address, request, began).await
        }
        Action::ReadTable => Some(match read_table(shared).await {
            Ok(found) => Event::TableRead { began, found },
            Err(error) => {
                log::warn!(
                    "reading the membership table from the platform failed: {error}; backing off"
                );
                Event::TableCallFailed
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
                log::warn!(
                    "reading the configuration revision from the platform failed: {error}; backing \
                     off"
                );
                Event::ConfigurationFailed
            }
        }),
    }
}

async fn pull_evidence(
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
            log::debug!("node {address} failed an evidence pull: {}", status.message());
            None
        }
        Err(_) => {
            log::debug!("node {address} did not answer an evidence pull within {PULL_TIMEOUT:?}");
            None
        }
    }
}

async fn read_table(shared: &Shared) -> Result<Option<(ObjectVersion, Table)>, StoreError> {
    let object = shared.platform.get(KIND_TABLES, &shared.settings.shard).await?;
    let Some(object) = object else { return Ok(None) };
    let Some(value) = object.value else { return Ok(None) };
    let table = serde_json::from_value(value).map_err(|error| {
        StoreError::Refused(format!("cannot parse the membership table: {error}"))
    })?;
    Ok(Some((object.version, table)))
}

async fn write_table(
    shared: &Shared,
    table: &Table,
    if_version: ObjectVersion,
) -> Result<(), StoreError> {
    let value = serde_json::to_value(table).map_err(|error| {
        StoreError::Refused(format!("cannot encode the membership table as JSON: {error}"))
    })?;
    shared.platform.put(KIND_TABLES, &shared.settings.shard, value, if_version).await.map(drop)
}

fn write_failure(error: &StoreError, change_id: Uuid) -> Event {
    match error {
        StoreError::Conflict { .. } => Event::WriteConflict,
        StoreError::NoAnswer(reason) => {
            log::warn!(
                "no answer from the platform to a write of the membership table: {reason}; the \
                 next read shows whether it took effect"
            );
            Event::WriteUnconfirmed { change_id }
        }
        StoreError::Unavailable(_) | StoreError::Refused(_) | StoreError::Expired => {
            log::error!("the platform did not write the membership table: {error}; backing off");
            Event::TableCallFailed
        }
    }
}

async fn read_revision(shared: &Shared) -> Result<crate::names::Revision, StoreError> {
    let object = shared.platform.get(KIND_CONFIGURATION, NAME_CURRENT).await?;
    let value = object.and_then(|object| object.value);
    let revision = value.as_ref().and_then(|value| value.get("revision")?.as_u64());
    Ok(revision.unwrap_or(0))
}

async fn send_ticks(actor: ActorRef<MembersActor>) {
    let mut interval = interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if actor.tell(Tick).await.is_err() {
            return;
        }
    }
}

async fn forward_own_row_changes(shared: Arc<Shared>, actor: ActorRef<MembersActor>) {
    while actor.tell(OwnRowChanged).await.is_ok() {
        shared.own_row_changed.notified().await;
    }
}

/// Forwards each new version of the table at the platform to the actor.
async fn watch_table(shared: Arc<Shared>, actor: ActorRef<MembersActor>) {
    let mut watch = Watch::new(shared.clone(), KIND_TABLES, shared.settings.shard.clone());
    loop {
        let (began, value) = watch.next().await;
        match serde_json::from_value(value) {
            Ok(table) => {
                if actor.tell(HandleEvent(Event::TableObserved { began, table })).await.is_err() {
                    return;
                }
            }
            Err(error) => log::error!(
                "cannot parse the membership table from the platform: {error}; keeping the current \
                 table"
            ),
        }
    }
}
