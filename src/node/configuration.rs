//! The actor that keeps the node's configuration current.

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
    clock,
    config::{Configuration, Document},
    node::{
        Shared,
        members::{ConfigurationWasRead, MembersActor},
    },
    platform::{KIND_CONFIGURATION, NAME_CURRENT, ObjectApi as _},
};

const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Keeps the node's configuration current.
pub struct ConfigurationActor {
    shared: Arc<Shared>,
    stop: CancellationToken,
    tasks: JoinSet<()>,
}

/// A document that the platform returned.
struct DocumentRead(Document);

impl Actor for ConfigurationActor {
    type Args = (Arc<Shared>, ActorRef<MembersActor>);
    type Error = kameo::error::Infallible;

    async fn on_start(
        (shared, members): Self::Args,
        actor: ActorRef<Self>,
    ) -> Result<Self, Self::Error> {
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        tasks.spawn(watch(shared.clone(), actor, members, stop.clone()));
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

impl Message<DocumentRead> for ConfigurationActor {
    type Reply = ();

    async fn handle(
        &mut self,
        DocumentRead(document): DocumentRead,
        _ctx: &mut Context<Self, Self::Reply>,
    ) {
        let current = self.shared.configuration.load().revision;
        // A lagging answer must never take the node back to an older revision.
        if document.revision > current {
            log::info!("configuration revision {} is in force here", document.revision);
            self.shared.configuration.store(Arc::new(Configuration::compile(document)));
        }
    }
}

async fn watch(
    shared: Arc<Shared>,
    actor: ActorRef<ConfigurationActor>,
    members: ActorRef<MembersActor>,
    stop: CancellationToken,
) {
    let mut after = 0;
    loop {
        let began = clock::now();
        let listing = tokio::select! {
            listing = shared.platform.watch(KIND_CONFIGURATION, after) => listing,
            () = stop.cancelled() => return,
        };
        let listing = match listing {
            Ok(listing) => listing,
            Err(error) => {
                log::warn!("watching the configuration failed: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        after = listing.version;
        let current = listing.objects.into_iter().find(|object| &*object.name == NAME_CURRENT);
        let Some(value) = current.and_then(|object| object.value) else {
            continue;
        };
        match serde_json::from_value::<Document>(value) {
            Ok(document) => {
                let revision = document.revision;
                if actor.tell(DocumentRead(document)).await.is_err() {
                    return;
                }
                let _ = members.tell(ConfigurationWasRead { began, revision }).await;
            }
            Err(error) => log::error!("the configuration is unreadable: {error}"),
        }
    }
}
