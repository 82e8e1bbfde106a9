//! The node daemon: listeners, request path, actors and shutdown.

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

/// Time that a leaving node waits until its row is removed from a settled table. With a silent row
/// in the table, the settlement alone takes 4.5 s.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time that entry nodes have to receive the table without the leaving node's row before the node
/// refuses new requests.
const DRAIN_NOTICE_TIME: Duration = Duration::from_millis(500);
/// The drain timeout divided by this is reserved for cutting connections and joining tasks.
const CUT_TIME_DIVISOR: u32 = 10;
const MAX_CUT_TIME: Duration = Duration::from_secs(1);
const ACTOR_STOP_TIMEOUT: Duration = Duration::from_millis(100);

/// Listeners of the node. They are bound before it starts, so that an occupied port is found early.
#[derive(Debug)]
pub struct Listeners {
    callers: TcpListener,
    upstream: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

/// Addresses that the node listens on; ports of 0 in the settings are replaced by the bound ones.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct BoundAddresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for the local upstream.
    pub upstream: SocketAddr,
    /// Listener for other nodes.
    pub peers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
}

impl Listeners {
    /// Binds all addresses of the settings; the error lists every address that cannot be bound.
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

    /// Returns the bound addresses.
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

/// Runs a node until `shutdown` is cancelled, then drains it and joins all its tasks.
pub async fn run(
    settings: Settings,
    listeners: Listeners,
    shutdown: CancellationToken,
) -> anyhow::Result<()> {
    let addresses = listeners.addresses()?;
    let platform = connect_platform(&settings).await?;
    let shared = Arc::new(Shared::new(settings, platform, addresses));
    let tasks = TaskTracker::new();
    // Requests may still arrive while the node drains, so the listeners stop later than `shutdown`.
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
    let cut_time = (drain_timeout / CUT_TIME_DIVISOR).min(MAX_CUT_TIME);
    let deadline = Instant::now() + drain_timeout - cut_time;
    drain(&shared, &members, deadline).await;
    stop_serving.cancel();
    tasks.close();
    if timeout_at(deadline, tasks.wait()).await.is_err() {
        log::warn!("cutting connections that did not end within the drain timeout");
    }
    shared.stop_now.cancel();
    shared.upstream.close_idle();
    let remaining_tasks = async {
        tasks.wait().await;
        shared.once.tasks.wait().await;
        stop_actor(loans).await;
        stop_actor(configuration).await;
        stop_actor(members).await;
    };
    if timeout(cut_time, remaining_tasks).await.is_err() {
        let left = tasks.len() + shared.once.tasks.len();
        log::warn!("{left} tasks did not end within the drain timeout; stopping without them");
    }
    log::info!("instance {} has stopped", shared.settings.instance);
    Ok(())
}

/// Hands over the idempotency records, removes the row from the table so that no new requests
/// arrive, and waits for the running requests.
async fn drain(shared: &Shared, members: &ActorRef<MembersActor>, deadline: Instant) {
    log::info!(
        "instance {} is draining: handing over its records and leaving the membership table",
        shared.settings.instance
    );
    shared.set_lifecycle(Lifecycle::Draining);
    if timeout_at(deadline, shared.once.hand_over(shared)).await.is_err() {
        log::warn!(
            "the idempotency records were not handed over within the drain timeout; leaving the \
             table without them"
        );
    }
    let (confirmation, confirmed) = oneshot::channel();
    let _ = members.tell(Leave(confirmation)).await;
    // A platform that is down must not use up the time that the running requests have.
    let leave_until = deadline.min(Instant::now() + LEAVE_TIMEOUT);
    if !matches!(timeout_at(leave_until, confirmed).await, Ok(Ok(()))) {
        log::warn!(
            "the platform did not confirm within {LEAVE_TIMEOUT:?} that this node's row was \
             removed from the membership table; stopping anyway"
        );
    }
    let _ = timeout_at(deadline, tokio::time::sleep(DRAIN_NOTICE_TIME)).await;
    // From here on, requests of nodes that still have the row in their table are refused as
    // leaving.
    shared.upstream.start_draining();
    shared.once.tasks.close();
    if timeout_at(deadline, shared.once.tasks.wait()).await.is_err() {
        log::warn!(
            "{} requests did not end within the drain timeout; cutting their connections",
            shared.dispatches.len()
        );
    }
}

/// Stops an actor; kills it if it does not stop in time, for example while it waits for the
/// platform.
async fn stop_actor<A: kameo::Actor>(actor: ActorRef<A>) {
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

/// Checks the configuration file that the settings name for an embedded store, if there is one.
pub fn check_configuration_file(settings: &Settings) -> Result<(), Findings> {
    match &settings.platform {
        PlatformSettings::Embedded { configuration: Some(path) } => {
            findings::check_input_file::<Document>(Path::new(&**path)).map(drop)
        }
        _ => Ok(()),
    }
}

/// Stores the configuration file in the embedded store, with its secrets hashed, as revision 1.
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
