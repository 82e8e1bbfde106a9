//! The actor that keeps the node's row in the membership table.

use std::{sync::Arc, time::Duration};

use kameo::{
    Actor,
    actor::{ActorRef, WeakActorRef},
    error::ActorStopReason,
    message::{Context, Message},
};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::{
    membership::{Row, RowState, Table, View},
    node::{Lifecycle, Shared},
    platform::{KIND_TABLES, ObjectApi as _, PlatformError},
};

const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Keeps the node's row in the membership table.
pub struct MembersActor {
    shared: Arc<Shared>,
    stop: CancellationToken,
    tasks: JoinSet<()>,
}

/// Takes the node's row out of the table.
pub struct Leave;

/// Puts the node's row into the table, or changes it.
struct Join;

/// A table that the platform returned.
struct TableRead(Table);

impl Actor for MembersActor {
    type Args = Arc<Shared>;
    type Error = kameo::error::Infallible;

    async fn on_start(shared: Self::Args, actor: ActorRef<Self>) -> Result<Self, Self::Error> {
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        tasks.spawn(watch(shared.clone(), actor.clone(), stop.clone()));
        tasks.spawn(announcements(shared.clone(), actor.clone(), stop.clone()));
        Ok(Self { shared, stop, tasks })
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

impl Message<Join> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, _: Join, _ctx: &mut Context<Self, Self::Reply>) {
        let row = self.own_row();
        self.update(|table| match table.row(&row.instance) == Some(&row) {
            true => None,
            false => Some(table.rows_with(row.clone())),
        })
        .await;
    }
}

impl Message<Leave> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _ctx: &mut Context<Self, Self::Reply>) {
        let instance = self.shared.settings.instance.clone();
        self.update(|table| table.row(&instance).map(|_| table.rows_without(&instance))).await;
    }
}

impl Message<TableRead> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, TableRead(table): TableRead, _ctx: &mut Context<Self, Self::Reply>) {
        adopt(&self.shared, table);
    }
}

impl MembersActor {
    fn own_row(&self) -> Row {
        let shared = &self.shared;
        // A row whose records are with its successors must leave the service before it may own
        // keys again.
        let serving = shared.upstream.serving().filter(|_| !shared.once.is_handing_over());
        Row {
            instance: shared.settings.instance.clone(),
            incarnation: shared.incarnation,
            zone: shared.settings.zone.clone(),
            service: serving.map(|announcement| announcement.service.clone()),
            peer_address: shared.addresses.peers,
            weight: shared.settings.weight,
            state: RowState::Active,
        }
    }

    /// Reads the table, changes it and writes it back until that succeeds.
    async fn update(&self, change: impl Fn(&Table) -> Option<Vec<Row>>) {
        loop {
            match self.try_update(&change).await {
                Ok(()) => return,
                Err(PlatformError::Conflict { .. }) => {}
                Err(error) => {
                    log::warn!("writing the membership table failed: {error}");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn try_update(
        &self,
        change: impl Fn(&Table) -> Option<Vec<Row>>,
    ) -> Result<(), PlatformError> {
        let platform = &self.shared.platform;
        let shard = &self.shared.settings.shard;
        let object = platform.get(KIND_TABLES, shard).await?;
        let version = object.as_ref().map_or(0, |object| object.version);
        let value = object.and_then(|object| object.value);
        let table = value.map_or(Ok(Table::default()), serde_json::from_value);
        let table = table.map_err(|error| PlatformError::Refused(error.to_string()))?;
        let Some(rows) = change(&table) else {
            adopt(&self.shared, table);
            return Ok(());
        };
        let next = table.next(rows);
        let value = serde_json::to_value(&next)
            .map_err(|error| PlatformError::Refused(error.to_string()))?;
        platform.put(KIND_TABLES, shard, value, version).await?;
        adopt(&self.shared, next);
        Ok(())
    }
}

fn adopt(shared: &Shared, table: Table) {
    if table.version > shared.view.load().table.version {
        log::info!("table version {} with {} rows", table.version, table.rows.len());
        shared.view.store(Arc::new(View { table: Arc::new(table), settled: true }));
        // TODO: replace by evidence; until then a node that has read a table trusts it for good.
        shared.right.set_row_until(Duration::MAX);
        shared.right.set_keys_until(Duration::MAX);
    }
}

async fn announcements(
    shared: Arc<Shared>,
    actor: ActorRef<MembersActor>,
    stop: CancellationToken,
) {
    while shared.lifecycle() == Lifecycle::Serving {
        if actor.tell(Join).await.is_err() {
            return;
        }
        tokio::select! {
            () = shared.announced.notified() => {}
            () = stop.cancelled() => return,
        }
    }
}

async fn watch(shared: Arc<Shared>, actor: ActorRef<MembersActor>, stop: CancellationToken) {
    let mut after = 0;
    loop {
        let listing = tokio::select! {
            listing = shared.platform.watch(KIND_TABLES, after) => listing,
            () = stop.cancelled() => return,
        };
        let listing = match listing {
            Ok(listing) => listing,
            Err(error) => {
                log::warn!("watching the membership table failed: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        after = listing.version;
        let shard = &shared.settings.shard;
        let own = listing.objects.into_iter().find(|object| object.name == *shard);
        let Some(value) = own.and_then(|object| object.value) else {
            continue;
        };
        match serde_json::from_value(value) {
            Ok(table) => {
                if actor.tell(TableRead(table)).await.is_err() {
                    return;
                }
            }
            Err(error) => log::error!("the membership table is unreadable: {error}"),
        }
    }
}
