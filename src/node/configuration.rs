//! Actor that keeps the node's configuration current through a platform watch and pulls from peers.

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
        members::{ConfigurationWasRead, MembersActor, run_until_stopped},
        watch::Watch,
    },
    peers::proto::{ConfigurationReply, ConfigurationRequest, configuration_reply::Content},
    store::{KIND_CONFIGURATION, NAME_CURRENT, ObjectApi as _},
};

/// Interval at which the evidence is checked for newer revisions; short compared with the second
/// that evidence takes to spread.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a peer has to answer; sending a document of 1 MB takes milliseconds.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Actor that keeps the node's configuration current through a platform watch and pulls from peers.
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
        tasks.spawn(run_until_stopped(
            stop.clone(),
            watch_configuration(shared.clone(), members.clone()),
        ));
        tasks.spawn(run_until_stopped(stop.clone(), pull_newer_revisions(shared, members)));
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

/// Applies each new revision that the platform watch returns.
async fn watch_configuration(shared: Arc<Shared>, members: ActorRef<MembersActor>) {
    let mut watch = Watch::new(shared.clone(), KIND_CONFIGURATION, NAME_CURRENT);
    loop {
        let (began, value) = watch.next().await;
        apply_platform_value(&shared, &members, began, value).await;
    }
}

/// Fetches revisions that evidence shows to be newer, from peers or, if no peer has them, from the
/// platform.
async fn pull_newer_revisions(shared: Arc<Shared>, members: ActorRef<MembersActor>) {
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
                pull_from_peer(&shared, address, puller.needs_full_document()).await
            }
            Source::Platform => read_platform(&shared, &members).await,
        };
        match result {
            Ok(()) => puller.record_success(),
            Err(PullError::Failed(reason)) => {
                log::debug!(
                    "fetching a configuration newer than revision {own} failed: {reason}; trying \
                     again"
                );
                puller.record_failure(clock::now(), source);
            }
            Err(PullError::Mismatch) => {
                log::warn!(
                    "a configuration fetched at revision {own} does not match its stated digest; \
                     the next fetch requests the full document"
                );
                puller.record_mismatch(clock::now(), source);
            }
        }
    }
}

enum PullError {
    /// The source did not answer, or had nothing newer.
    Failed(String),
    /// The reply did not lead to a document with the stated revision and digest.
    Mismatch,
}

async fn pull_from_peer(
    shared: &Shared,
    address: SocketAddr,
    needs_full_document: bool,
) -> Result<(), PullError> {
    let current = shared.configuration.load().document.clone();
    let revision = if needs_full_document { 0 } else { current.revision };
    let mut client = shared.peers.client(address);
    let call = client.pull_configuration(ConfigurationRequest { revision });
    let reply = match timeout(PULL_TIMEOUT, call).await {
        Ok(Ok(reply)) => reply.into_inner(),
        Ok(Err(status)) => {
            return Err(PullError::Failed(format!(
                "node {address} answered with an error: {}",
                status.message()
            )));
        }
        Err(_) => {
            return Err(PullError::Failed(format!(
                "no answer from node {address} within {PULL_TIMEOUT:?}"
            )));
        }
    };
    if reply.revision <= current.revision {
        return Err(PullError::Failed(format!("node {address} has no newer revision")));
    }
    let document = document_from_reply(&current, &reply).ok_or(PullError::Mismatch)?;
    shared.adopt_configuration(document);
    Ok(())
}

/// Builds the newer document from a reply; returns `None` if it cannot be parsed or does not have
/// the stated revision and digest.
fn document_from_reply(current: &Document, reply: &ConfigurationReply) -> Option<Document> {
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

/// Builds the reply to a peer that holds `revision`: a difference, or the full document if the
/// changes since `revision` are no longer known.
pub fn build_reply(shared: &Shared, revision: Revision) -> ConfigurationReply {
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
            apply_platform_value(shared, members, began, value).await;
            Ok(())
        }
        None => Err(PullError::Failed("the platform has no configuration".to_owned())),
    }
}

async fn apply_platform_value(
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
        // The message of the JSON library is left out: it may quote values of the document.
        Err(_) => log::error!(
            "cannot parse the configuration from the platform; keeping the current revision"
        ),
    }
}
