//! The actor that keeps the node's configuration current.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use kameo::{
    Actor,
    actor::{ActorRef, WeakActorRef},
    error::ActorStopReason,
};
use tokio::{task::JoinSet, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::{
    clock,
    config::{Difference, Document, Puller, Source},
    names::Revision,
    node::{
        Shared,
        members::{ConfigurationWasRead, MembersActor, until},
        watch::Watch,
    },
    peers::proto::{ConfigurationReply, ConfigurationRequest, configuration_reply::Content},
    store::{KIND_CONFIGURATION, NAME_CURRENT, ObjectApi as _},
};

/// Time between two looks at the evidence; a small part of the second that evidence takes.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a peer gets to answer; a document of 1 MB takes milliseconds.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Keeps the node's configuration current.
pub struct ConfigurationActor {
    stop: CancellationToken,
    tasks: JoinSet<()>,
}

impl Actor for ConfigurationActor {
    type Args = (Arc<Shared>, ActorRef<MembersActor>);
    type Error = kameo::error::Infallible;

    async fn on_start(
        (shared, members): Self::Args,
        _actor: ActorRef<Self>,
    ) -> Result<Self, Self::Error> {
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        tasks.spawn(until(stop.clone(), watch(shared.clone(), members.clone())));
        tasks.spawn(until(stop.clone(), pull(shared, members)));
        Ok(Self { stop, tasks })
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

/// Follows the configuration at the platform.
async fn watch(shared: Arc<Shared>, members: ActorRef<MembersActor>) {
    let mut watch = Watch::new(shared.clone(), KIND_CONFIGURATION, NAME_CURRENT);
    loop {
        let (began, value) = watch.next().await;
        take_platform_value(&shared, &members, began, value).await;
    }
}

/// Fetches newer revisions that evidence shows, from peers and, where none helps, the platform.
async fn pull(shared: Arc<Shared>, members: ActorRef<MembersActor>) {
    let mut puller = Puller::new(rand::random());
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let own = shared.configuration.load().revision;
        let evidence = shared.evidence.load_full();
        let holders: Vec<SocketAddr> = evidence.holders(own + 1).collect();
        let source = puller.next_source(clock::now(), own, evidence.newest_revision, &holders);
        let Some(source) = source else { continue };
        let result = match source {
            Source::Peer(address) => {
                pull_from_peer(&shared, address, puller.wants_full_document()).await
            }
            Source::Platform => read_platform(&shared, &members).await,
        };
        match result {
            Ok(()) => puller.succeeded(),
            Err(PullError::Failed(reason)) => {
                log::debug!("fetching a newer configuration failed: {reason}");
                puller.failed(clock::now(), source);
            }
            Err(PullError::Mismatch) => {
                log::warn!("a difference of the configuration does not fit; fetching all of it");
                puller.mismatched(clock::now(), source);
            }
        }
    }
}

enum PullError {
    Failed(String),
    Mismatch,
}

async fn pull_from_peer(
    shared: &Shared,
    address: SocketAddr,
    whole: bool,
) -> Result<(), PullError> {
    let current = shared.configuration.load().document.clone();
    let revision = if whole { 0 } else { current.revision };
    let mut client = shared.peers.client(address);
    let call = client.pull_configuration(ConfigurationRequest { revision });
    let reply = match timeout(PULL_TIMEOUT, call).await {
        Ok(Ok(reply)) => reply.into_inner(),
        Ok(Err(status)) => {
            return Err(PullError::Failed(format!("{address}: {}", status.message())));
        }
        Err(_) => return Err(PullError::Failed(format!("{address}: no answer in time"))),
    };
    if reply.revision <= current.revision {
        return Err(PullError::Failed(format!("{address} has nothing newer")));
    }
    let document = read_reply(&current, &reply).ok_or(PullError::Mismatch)?;
    shared.adopt_configuration(document);
    Ok(())
}

/// Makes the newer document of a reply; none where it does not have the stated digest.
fn read_reply(current: &Document, reply: &ConfigurationReply) -> Option<Document> {
    let document = match reply.content.as_ref()? {
        Content::Difference(bytes) => {
            let difference: Difference = serde_json::from_slice(bytes).ok()?;
            current.with_difference(difference)?
        }
        Content::Document(bytes) => serde_json::from_slice(bytes).ok()?,
    };
    let fits = document.revision == reply.revision && document.digest()[..] == reply.digest;
    fits.then_some(document)
}

/// Answers a peer that holds `revision`.
pub fn reply(shared: &Shared, revision: Revision) -> ConfigurationReply {
    let document = shared.configuration.load().document.clone();
    let content = match document.difference_since(revision) {
        _ if document.revision <= revision => None,
        Some(difference) => serde_json::to_vec(&difference).ok().map(Content::difference),
        None => serde_json::to_vec(&*document).ok().map(Content::document),
    };
    ConfigurationReply {
        revision: document.revision,
        digest: bytes::Bytes::copy_from_slice(&document.digest()),
        content,
    }
}

impl Content {
    fn difference(bytes: Vec<u8>) -> Self {
        Self::Difference(bytes.into())
    }

    fn document(bytes: Vec<u8>) -> Self {
        Self::Document(bytes.into())
    }
}

async fn read_platform(shared: &Shared, members: &ActorRef<MembersActor>) -> Result<(), PullError> {
    let began = clock::now();
    let object = shared.platform.get(KIND_CONFIGURATION, NAME_CURRENT).await;
    let object = object.map_err(|error| PullError::Failed(error.to_string()))?;
    match object.and_then(|object| object.value) {
        Some(value) => {
            take_platform_value(shared, members, began, value).await;
            Ok(())
        }
        None => Err(PullError::Failed("the platform has no configuration".to_owned())),
    }
}

async fn take_platform_value(
    shared: &Shared,
    members: &ActorRef<MembersActor>,
    began: clock::Timestamp,
    value: serde_json::Value,
) {
    match serde_json::from_value::<Document>(value) {
        Ok(document) => {
            let revision = document.revision;
            shared.adopt_configuration(document);
            let _ = members.tell(ConfigurationWasRead { began, revision }).await;
        }
        // The library's message may repeat a value.
        Err(_) => log::error!("the configuration at the platform is unreadable"),
    }
}
