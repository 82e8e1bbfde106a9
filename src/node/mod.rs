//! The daemon: listeners, the request path, actors and shutdown.

mod callers;
mod configuration;
mod dispatches;
mod entry;
mod guard;
mod loans;
mod members;
mod once;
mod peer_service;
mod rates;
mod shared;
mod upstream;
mod upstream_service;
mod watch;

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use anyhow::Context as _;
use kameo::actor::{ActorRef, Spawn as _};
use serde::{Deserialize, Serialize};
use tokio::{
    net::TcpListener,
    sync::oneshot,
    time::{Instant, timeout, timeout_at},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

pub use dispatches::{DispatchId, Dispatches};
pub use loans::LoanCounters;
pub use once::OnceState;
pub use rates::{AccountCell, Rates};
pub use shared::{Lifecycle, Shared};
pub use upstream::{Announcement, LoadReport, UpstreamLink};

use crate::{
    admin,
    config::Document,
    findings::{self, Collector, Findings},
    settings::{PlatformSettings, Settings},
    store::{HttpStore, KIND_CONFIGURATION, MemoryStore, NAME_CURRENT, ObjectApi as _, Store},
};
use configuration::ConfigurationActor;
use loans::LoansActor;
use members::{Leave, MembersActor};

/// Time that a leaving node waits until its row is out of a settled table. With a silent row the
/// settlement alone takes 4.5 s.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time in which entries learn that the node is leaving, before it refuses new work.
const DRAIN_NOTICE: Duration = Duration::from_millis(500);
/// Part of the drain timeout that is kept for cutting connections and joining tasks.
const CUT_SHARE: u32 = 10;
const MAX_CUT_TIME: Duration = Duration::from_secs(1);
const ACTOR_STOP_TIMEOUT: Duration = Duration::from_millis(100);

/// Listeners that are bound before the node starts, so that an occupied port is found early.
#[derive(Debug)]
pub struct Listeners {
    callers: TcpListener,
    upstream: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

/// Addresses that the node really listens on.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct BoundAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the upstream beside the node.
    pub upstream: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

impl Listeners {
    /// Binds all addresses of the settings and reports every one that cannot be bound.
    pub async fn bind(settings: &Settings) -> anyhow::Result<Self> {
        let listen = settings.listen;
        let (callers, upstream, peers, operators) = tokio::join!(
            bind("/listen/callers", listen.callers),
            bind("/listen/upstream", listen.upstream),
            bind("/listen/peers", listen.peers),
            bind("/listen/operators", listen.operators),
        );
        let mut collector = Collector::new(settings.file.clone());
        for result in [&callers, &upstream, &peers, &operators] {
            if let Err((place, found)) = result {
                collector.add(*place, "an address that can be bound", found);
            }
        }
        match (callers, upstream, peers, operators) {
            (Ok(callers), Ok(upstream), Ok(peers), Ok(operators)) => {
                Ok(Self { callers, upstream, peers, operators })
            }
            _ => Err(collector.into_findings().into()),
        }
    }

    /// Addresses that were bound; a port of 0 in the settings is replaced.
    pub fn addresses(&self) -> anyhow::Result<BoundAddresses> {
        Ok(BoundAddresses {
            callers: self.callers.local_addr()?,
            upstream: self.upstream.local_addr()?,
            peers: self.peers.local_addr()?,
            operators: self.operators.local_addr()?,
        })
    }
}

async fn bind(
    place: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, (&'static str, String)> {
    TcpListener::bind(address).await.map_err(|error| (place, format!("{address}: {error}")))
}

/// Runs a node until `shutdown`, then drains it and joins all its tasks.
pub async fn run(
    settings: Settings,
    listeners: Listeners,
    shutdown: CancellationToken,
) -> anyhow::Result<()> {
    let addresses = listeners.addresses()?;
    let platform = connect_platform(&settings).await?;
    let shared = Arc::new(Shared::new(settings, platform, addresses));
    let tasks = TaskTracker::new();
    // Requests may still come in while the node drains, so the listeners stop later.
    let stop_serving = shared.stop_serving.clone();

    tasks.spawn({
        let (shared, stop) = (shared.clone(), stop_serving.clone());
        async move { shared.once.follow_view(&shared, stop).await }
    });
    let members = MembersActor::spawn(shared.clone());
    tasks.spawn(peer_service::serve(
        listeners.peers,
        shared.clone(),
        members.clone(),
        stop_serving.clone(),
    ));
    tasks.spawn(admin::serve(listeners.operators, shared.clone(), stop_serving.clone()));
    tasks.spawn(upstream_service::serve(listeners.upstream, shared.clone(), stop_serving.clone()));
    let configuration = ConfigurationActor::spawn((shared.clone(), members.clone()));
    let loans = LoansActor::spawn(shared.clone());
    tasks.spawn(callers::serve(listeners.callers, shared.clone(), stop_serving.clone()));
    log::info!(
        "instance {} serves callers on {}, its upstream on {}, nodes on {}, operators on {}",
        shared.settings.instance,
        addresses.callers,
        addresses.upstream,
        addresses.peers,
        addresses.operators,
    );

    shutdown.cancelled().await;
    let drain_timeout = shared.settings.limits.drain_timeout;
    let cut_time = (drain_timeout / CUT_SHARE).min(MAX_CUT_TIME);
    let deadline = Instant::now() + drain_timeout - cut_time;
    drain(&shared, &members, deadline).await;
    stop_serving.cancel();
    tasks.close();
    if timeout_at(deadline, tasks.wait()).await.is_err() {
        log::warn!("cutting connections that did not end within the drain timeout");
    }
    shared.stop_now.cancel();
    shared.upstream.close_idle();
    let rest = async {
        tasks.wait().await;
        shared.once.tasks.wait().await;
        stop(loans).await;
        stop(configuration).await;
        stop(members).await;
    };
    if timeout(cut_time, rest).await.is_err() {
        let left = tasks.len() + shared.once.tasks.len();
        log::warn!("{left} tasks did not end within the drain timeout");
    }
    log::info!("instance {} has stopped", shared.settings.instance);
    Ok(())
}

/// Hands over the records and leaves the table, so that no new work comes, then waits for the
/// rest.
async fn drain(shared: &Shared, members: &ActorRef<MembersActor>, deadline: Instant) {
    log::info!("instance {} drains", shared.settings.instance);
    shared.set_lifecycle(Lifecycle::Draining);
    if timeout_at(deadline, shared.once.hand_over(shared)).await.is_err() {
        log::warn!("the records were not handed over within the drain timeout");
    }
    let (left, has_left) = oneshot::channel();
    let _ = members.tell(Leave(left)).await;
    // A platform that is down must not take the time of the requests that are running.
    let leave_until = deadline.min(Instant::now() + LEAVE_TIMEOUT);
    if !matches!(timeout_at(leave_until, has_left).await, Ok(Ok(()))) {
        log::warn!("the platform did not confirm within {LEAVE_TIMEOUT:?} that the row is gone");
    }
    let _ = timeout_at(deadline, tokio::time::sleep(DRAIN_NOTICE)).await;
    // Nodes that do not know yet that the row is gone are told to go elsewhere.
    shared.upstream.drain();
    shared.once.tasks.close();
    if timeout_at(deadline, shared.once.tasks.wait()).await.is_err() {
        log::warn!("{} requests did not end within the drain timeout", shared.dispatches.len());
    }
}

/// Stops an actor; one that waits for the platform is ended without its answer.
async fn stop<A: kameo::Actor>(actor: ActorRef<A>) {
    if timeout(ACTOR_STOP_TIMEOUT, actor.stop_gracefully()).await.is_ok()
        && timeout(ACTOR_STOP_TIMEOUT, actor.wait_for_shutdown()).await.is_ok()
    {
        return;
    }
    actor.kill();
    actor.wait_for_shutdown().await;
}

async fn connect_platform(settings: &Settings) -> anyhow::Result<Store> {
    match &settings.platform {
        PlatformSettings::Http { address, timeout } => {
            Ok(Store::Http(Box::new(HttpStore::new(*address, *timeout))))
        }
        PlatformSettings::Embedded { configuration } => {
            let store = Arc::new(MemoryStore::default());
            if let Some(path) = configuration {
                load_configuration(&store, path, settings).await?;
            }
            Ok(Store::Embedded(store))
        }
    }
}

/// Checks the configuration file that the settings of an embedded store name.
pub fn check_configuration_file(settings: &Settings) -> Result<(), Findings> {
    match &settings.platform {
        PlatformSettings::Embedded { configuration: Some(path) } => {
            findings::check_input_file::<Document>(Path::new(&**path)).map(drop)
        }
        _ => Ok(()),
    }
}

async fn load_configuration(
    store: &MemoryStore,
    path: &str,
    settings: &Settings,
) -> anyhow::Result<()> {
    let mut document: Document = findings::check_input_file(path.as_ref())?;
    document.hash_secrets(&crate::config::KeyHasher::new(&settings.fleet_secret));
    document.sort();
    document.revision = 1;
    let value = serde_json::to_value(&document).context("encoding the configuration")?;
    store.put(KIND_CONFIGURATION, NAME_CURRENT, value, 0).await?;
    Ok(())
}
