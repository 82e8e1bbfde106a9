//! Listeners, background tasks and shutdown of a node in a mesh.

use std::{future::Future, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{FutureExt as _, future::BoxFuture};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::{
    net::TcpListener,
    sync::Notify,
    task::JoinSet,
    time::{Instant, sleep, timeout, timeout_at},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    clock,
    findings::{Collector, Findings},
    http_server::{self, intake::Intake, pipelined},
    memory,
    mesh::{
        Dialect, ListenerBounds, MeshSettings, Node, PlannedStop, ProcessorLimit, configuration,
        control, entry::CallerHandler, evacuation, leaving, operators, peer_service, probe,
        processor::MEASUREMENT_INTERVAL, reload, supervise::supervise, sync, upstream_messages,
    },
    store::ObjectApi as _,
};

/// Part of the grace period that is reserved for joining tasks; with 500 ms, nodes on slowed machines
/// were killed. The platform does not count requests that are cut off in the last second.
const STOP_MARGIN: Duration = Duration::from_millis(900);
/// Time for the listeners of heartbeats, readiness and operators to close their connections.
const AUXILIARY_CLOSE_TIME: Duration = Duration::from_millis(200);
/// Time between two log lines with the node's state.
const STATE_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Factor of the limit on running requests below which its change is logged.
const LOGGED_FACTOR: f64 = 0.8;
/// Time after the signal to stop in which the node still accepts requests of other nodes, until they
/// have received its record that announces the stop.
const LEAVE_NOTICE_TIME: Duration = Duration::from_millis(500);

/// The node's listeners, bound before it starts.
#[derive(Debug)]
pub struct MeshListeners {
    callers: TcpListener,
    peers: TcpListener,
    readiness: TcpListener,
    heartbeats: TcpListener,
    operators: TcpListener,
}

impl MeshListeners {
    /// Binds all listening addresses of the settings; the error reports every one that cannot be bound.
    pub async fn bind(settings: &MeshSettings) -> Result<Self, Findings> {
        let listen = settings.listen;
        let mut collector = Collector::new(settings.file.clone());
        let places = [
            ("/listen/callers", listen.callers),
            ("/listen/peers", listen.peers),
            ("/listen/readiness", listen.readiness),
            ("/listen/heartbeats", listen.heartbeats),
            ("/listen/operators", listen.operators),
        ];
        let mut bound = Vec::with_capacity(places.len());
        for (place, address) in places {
            match TcpListener::bind(address).await {
                Ok(listener) => bound.push(listener),
                Err(error) => {
                    let found = format!("{address}: {error}");
                    collector.add(place, "an address that can be bound", found);
                }
            }
        }
        match <[TcpListener; 5]>::try_from(bound) {
            Ok([callers, peers, readiness, heartbeats, operators]) => {
                Ok(Self { callers, peers, readiness, heartbeats, operators })
            }
            Err(_) => Err(collector.into_findings()),
        }
    }
}

/// Runs a node until `shutdown`, then finishes its running requests and joins all its tasks. A
/// notification of `reload` makes it read its settings again.
pub async fn run<D: Dialect>(
    settings: MeshSettings,
    listeners: MeshListeners,
    shutdown: CancellationToken,
    reload: Arc<Notify>,
) -> anyhow::Result<()> {
    let node = Arc::new(Node::<D>::new(settings));
    let (stop_callers, stop_peers) = (CancellationToken::new(), CancellationToken::new());
    let (stop_auxiliary, abort_connections) = (CancellationToken::new(), CancellationToken::new());
    let (callers, peers, auxiliary) = (TaskTracker::new(), TaskTracker::new(), TaskTracker::new());
    let mut control_tasks = JoinSet::new();
    let spawn =
        |tasks: &mut JoinSet<()>, name, task: fn(Arc<Node<D>>) -> BoxFuture<'static, ()>| {
            let node = node.clone();
            tasks.spawn(supervise(name, move || task(node.clone())));
        };
    spawn(&mut control_tasks, "registration", |node| control::register(node).boxed());
    spawn(&mut control_tasks, "removal", |node| control::remove_lost(node).boxed());
    spawn(&mut control_tasks, "earlier state", |node| leaving::learn_earlier_state(node).boxed());
    spawn(&mut control_tasks, "departures", |node| leaving::write_departures(node).boxed());
    spawn(&mut control_tasks, "expiry", |node| leaving::remove_expired(node).boxed());
    spawn(&mut control_tasks, "configuration", |node| configuration::run(node).boxed());
    spawn(&mut control_tasks, "probe", |node| probe::run(node).boxed());
    spawn(&mut control_tasks, "evacuation", |node| evacuation::run(node).boxed());
    spawn(&mut control_tasks, "cold state", |node| probe::watch_cold(node).boxed());
    spawn(&mut control_tasks, "state log", |node| log_state(node).boxed());
    spawn(&mut control_tasks, "processor limit", |node| limit_by_processor(node).boxed());
    spawn(&mut control_tasks, "rate limit", |node| {
        async move { node.guard.start_at_rate().await }.boxed()
    });
    control_tasks.spawn(reload::run(node.clone(), reload));
    for number in 0..sync::MAX_HUBS {
        let node = node.clone();
        control_tasks.spawn(supervise("exchange", move || sync::run(node.clone(), number)));
    }
    let bounds = ListenerBounds::from_descriptors(memory::max_descriptors(
        node.settings.limits.max_descriptors,
    ));
    let intake = |listener, max_connections| {
        Intake::new(listener, max_connections, node.memory.clone(), node.misuse.clone())
    };
    callers.spawn(pipelined::serve_within(
        listeners.callers,
        stop_callers.clone(),
        abort_connections.clone(),
        CallerHandler { node: node.clone(), max_connections: bounds.callers },
        intake("callers", bounds.callers),
    ));
    peers.spawn(peer_service::serve(
        listeners.peers,
        node.clone(),
        stop_peers.clone(),
        abort_connections.clone(),
        intake("peers", bounds.peers),
    ));
    let stops = (&stop_auxiliary, &abort_connections);
    let heartbeats = (listeners.heartbeats, intake("heartbeats", bounds.auxiliary));
    let readiness = (listeners.readiness, intake("readiness", bounds.auxiliary));
    let operators = (listeners.operators, intake("operators", bounds.auxiliary));
    auxiliary.spawn(serve_with(&node, heartbeats, stops, upstream_messages::answer));
    auxiliary.spawn(serve_with(&node, readiness, stops, answer_readiness));
    auxiliary.spawn(serve_with(&node, operators, stops, operators::answer_request));
    log::info!(
        instance:% = node.settings.instance, incarnation = node.incarnation,
        service:% = node.own_service(), memory_budget_bytes = node.memory.limit_bytes(),
        max_caller_connections = bounds.callers, max_peer_connections = bounds.peers;
        "node has started"
    );

    shutdown.cancelled().await;
    let grace = node.live_settings.load().bounds.grace;
    let usable = grace.saturating_sub(STOP_MARGIN);
    let deadline = Instant::now() + usable;
    log::info!(running = node.guard.running.len(); "node is stopping");
    node.begin_leaving(PlannedStop::new(clock::now(), usable));
    let drain = async {
        sleep(LEAVE_NOTICE_TIME).await;
        node.guard.refuse_new();
        node.guard.wait_until_idle().await;
    };
    let _ = timeout_at(deadline, drain).await;
    stop_callers.cancel();
    callers.close();
    let _ = timeout_at(deadline, callers.wait()).await;
    stop_peers.cancel();
    peers.close();
    let rest = async {
        peers.wait().await;
        node.guard.tasks.close();
        node.guard.tasks.wait().await;
    };
    if timeout_at(deadline, rest).await.is_err() {
        let running = node.guard.running.len();
        log::warn!(
            running = running;
            "requests did not end within the grace period; closing their connections"
        );
    }
    stop_auxiliary.cancel();
    auxiliary.close();
    // What has been asked is still answered, such as a leave message of the upstream.
    let auxiliary_end = deadline.min(Instant::now() + AUXILIARY_CLOSE_TIME);
    let end_auxiliary = timeout_at(auxiliary_end, auxiliary.wait());
    let deregister = async {
        if node.upstream_has_left() {
            let _ = timeout(STOP_MARGIN / 2, control::deregister(&node)).await;
        }
    };
    let _ = tokio::join!(end_auxiliary, deregister);
    abort_connections.cancel();
    callers.wait().await;
    peers.wait().await;
    auxiliary.wait().await;
    node.links.close().await;
    control_tasks.shutdown().await;
    log::info!("node has stopped");
    Ok(())
}

/// Lowers the limit on running requests while the node is short of processor time.
async fn limit_by_processor<D: Dialect>(node: Arc<Node<D>>) {
    let mut limit = ProcessorLimit::default();
    let mut was_limited = false;
    loop {
        let began = Instant::now();
        sleep(MEASUREMENT_INTERVAL).await;
        let delay = began.elapsed().saturating_sub(MEASUREMENT_INTERVAL);
        let factor = limit.record_delay(delay);
        node.guard.set_limit_factor(factor);
        let is_limited = factor < LOGGED_FACTOR;
        if is_limited != was_limited {
            was_limited = is_limited;
            log::info!(
                factor = factor, delay_ms = clock::to_millis(delay);
                "the limit on running requests has changed with the node's processor time"
            );
        }
    }
}

/// Logs the node's state periodically, so that failed requests can be explained afterwards.
async fn log_state<D: Dialect>(node: Arc<Node<D>>) {
    loop {
        sleep(STATE_LOG_INTERVAL).await;
        let proof_age_ms = clock::to_millis_u32(node.proof.age(clock::now()));
        let gate = node.guard.gate_status();
        log::info!(
            target: "hibiscusdoor::state",
            configuration = node.catalog_version(), proof_age_ms = proof_age_ms,
            store_calls = node.store.call_count(),
            store_connections = node.store.connection_count(), store_era = node.store.era(),
            instances = node.members.load().len(),
            running = gate.map_or(0, |it| it.in_flight),
            waiting = gate.map_or(0, |it| it.waiting),
            limit = gate.map_or(0, |it| it.limit),
            sent = node.guard.sent.get(), named_rate:? = node.guard.named_rate(),
            evacuations:? = node.evacuations.load().known().map(|it| &it.zones),
            pace_per_s = gate.and_then(|it| it.pace_per_s),
            home_parts:? = node.homes.lock().granted_fractions(clock::now()),
            loads:? = node.root_admission.lock().service_loads();
            "state"
        );
    }
}

/// Serves an auxiliary listener (heartbeats, readiness or operators) until `stop`, and closes its
/// connections at `abort`.
fn serve_with<D, F>(
    node: &Arc<Node<D>>,
    (listener, intake): (TcpListener, Arc<Intake>),
    (stop, abort): (&CancellationToken, &CancellationToken),
    answer: fn(Arc<Node<D>>, Request<Incoming>) -> F,
) -> impl Future<Output = ()> + Send + use<D, F>
where
    D: Dialect,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let node = node.clone();
    let answer = move |request| answer(node.clone(), request);
    http_server::serve_within(listener, stop.clone(), abort.clone(), answer, intake)
}

async fn answer_readiness<D: Dialect>(
    node: Arc<Node<D>>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    if request.uri().path() != D::READINESS_PATH {
        return http_server::text(StatusCode::NOT_FOUND, "no such path");
    }
    match node.is_ready() {
        true => http_server::text(StatusCode::OK, "ready"),
        false => http_server::text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    }
}
