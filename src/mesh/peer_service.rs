//! Listener for other nodes: links with forwarded requests, and gRPC for exchanges with hubs and for
//! nodes of earlier builds.

use std::{io, sync::Arc, time::Duration};

use http::Method;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::JoinSet,
    time::timeout,
};
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;
use tonic::{Request, Response, Status};

use crate::{
    call::{Outcome, Reason, Undispatched},
    clock,
    http_server::{
        accept_within,
        intake::{Intake, Ticket},
        linger::LingeringStream,
    },
    memory,
    mesh::{
        Call, Dialect, GuardResult, Node, Rank, RetryReservation, Usage,
        grpc::{self, BoundedCalls, CallBounds, CallHold},
        link, pace,
        peer_stream::PeerStream,
        proto::{
            self,
            mesh_server::{Mesh, MeshServer},
        },
        request::{
            BufferedRequest, headers_from_proto, headers_to_proto, remove_connection_headers,
        },
        sync,
    },
    peers::MAX_MESSAGE_BYTES,
};

/// Connections that wait for the gRPC server.
const GRPC_BACKLOG: usize = 16;
/// Time for the first byte of a connection.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves other nodes until `shutdown`, then waits for the requests in flight. What remains at
/// `abort` is aborted.
pub async fn serve<D: Dialect>(
    listener: TcpListener,
    node: Arc<Node<D>>,
    shutdown: CancellationToken,
    abort: CancellationToken,
    intake: Arc<Intake>,
) {
    let mut connections = JoinSet::new();
    let (grpc, incoming) = mpsc::channel(GRPC_BACKLOG);
    connections.spawn(serve_grpc(node.clone(), incoming, shutdown.clone()));
    accept_within(listener, &shutdown, &intake, |stream, ticket| {
        while connections.try_join_next().is_some() {}
        let (node, grpc, shutdown) = (node.clone(), grpc.clone(), shutdown.clone());
        connections.spawn(serve_stream(stream, ticket, node, grpc, shutdown));
    })
    .await;
    drop(grpc);
    tokio::select! {
        () = async { while connections.join_next().await.is_some() {} } => {}
        () = abort.cancelled() => connections.shutdown().await,
    }
}

/// Serves one connection as a link or passes it to the gRPC server, according to its first byte.
async fn serve_stream<D: Dialect>(
    stream: TcpStream,
    ticket: Ticket,
    node: Arc<Node<D>>,
    grpc: mpsc::Sender<io::Result<LingeringStream<PeerStream>>>,
    shutdown: CancellationToken,
) {
    let mut first = [0];
    let peeked = tokio::select! {
        peeked = timeout(FIRST_BYTE_TIMEOUT, stream.peek(&mut first)) => peeked,
        () = ticket.evicted() => return,
    };
    // Nagle's algorithm would only delay replies; if the option cannot be set, they are still sent.
    let _ = stream.set_nodelay(true);
    match peeked {
        Ok(Ok(1)) if first[0] == link::PREAMBLE[0] => {
            tokio::select! {
                ended = link::serve(node, stream, &ticket, shutdown) => {
                    if let Err(error) = ended {
                        log::debug!(cause:% = error; "the link of another node failed");
                    }
                }
                () = ticket.evicted() => {}
            }
        }
        // The gRPC server has ended if the channel is closed; the connection then closes, too.
        Ok(Ok(1)) => {
            let stream = LingeringStream::new(PeerStream::new(stream, ticket));
            drop(grpc.send(Ok(stream)).await);
        }
        Ok(Ok(_)) | Err(_) => {}
        Ok(Err(error)) => log::debug!(cause:% = error; "the connection of another node failed"),
    }
}

async fn serve_grpc<D: Dialect>(
    node: Arc<Node<D>>,
    incoming: mpsc::Receiver<io::Result<LingeringStream<PeerStream>>>,
    shutdown: CancellationToken,
) {
    let bounds = CallBounds::new(node.memory.clone(), node.misuse.clone());
    let max_message_bytes = bounds.max_message_bytes();
    let service = MeshServer::new(PeerService { node })
        .max_decoding_message_size(max_message_bytes)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let server = grpc::bounded_server()
        .add_service(BoundedCalls::new(service, bounds))
        .serve_with_incoming_shutdown(ReceiverStream::new(incoming), shutdown.cancelled_owned());
    if let Err(error) = server.await {
        log::error!(
            cause:% = error;
            "the gRPC server for other nodes failed; their exchanges no longer reach this node"
        );
    }
}

struct PeerService<D: Dialect> {
    node: Arc<Node<D>>,
}

#[tonic::async_trait]
impl<D: Dialect> Mesh for PeerService<D> {
    async fn forward(
        &self,
        request: Request<proto::ForwardRequest>,
    ) -> Result<Response<proto::ForwardReply>, Status> {
        let (hold, mut message) = begin_call(request);
        if let Some(reserved) = hold.as_ref().and_then(|it| it.memory.take()) {
            message.body = memory::reserved_bytes(message.body, reserved);
        }
        Ok(Response::new(answer_forwarded(&self.node, message).await))
    }

    async fn sync(
        &self,
        request: Request<proto::SyncRequest>,
    ) -> Result<Response<proto::SyncReply>, Status> {
        let (_hold, message) = begin_call(request);
        Ok(Response::new(sync::answer_exchange(&self.node, message)))
    }
}

/// Takes the place and the memory of a call from its request; they are returned when the hold is dropped.
fn begin_call<T>(mut request: Request<T>) -> (Option<CallHold>, T) {
    let hold: Option<CallHold> = request.extensions_mut().remove();
    if let Some(hold) = &hold {
        hold.begin();
    }
    (hold, request.into_inner())
}

/// Runs a request that another node has forwarded at the local upstream.
pub(super) async fn answer_forwarded<D: Dialect>(
    node: &Node<D>,
    message: proto::ForwardRequest,
) -> proto::ForwardReply {
    let arrived = clock::now();
    let name = |name: String| (!name.is_empty()).then(|| Arc::from(name));
    let call = Call {
        request_id: message.request_id.into(),
        route: message.route.into(),
        service: message.service.into(),
        organisation: name(message.organisation),
        caller_service: message.caller_service.into(),
        deadline: arrived + Duration::from_millis(u64::from(message.remaining_ms)),
        idempotent: message.idempotent,
        rank: Rank { organisation: message.rank, route: message.route_rank },
        root_organisation: name(message.root_organisation),
        depth: message.depth,
        repeated: message.repeated,
        reservation: (!message.reserved_service.is_empty()).then(|| {
            let retries_per_call = f64::from(message.reserved_retries_permille) / 1000.0;
            Arc::new(RetryReservation {
                service: message.reserved_service.into(),
                retries_per_call,
                held: 0.0,
            })
        }),
    };
    // This process may have started after the upstream has named its limit.
    if message.named_rate_per_s > 0.0 {
        node.guard.record_relayed_rate(message.named_rate_per_s);
    }
    let service = call.service.clone();
    let undispatched = Undispatched::new(true);
    let method = match Method::from_bytes(message.method.as_bytes()) {
        Ok(method) => method,
        Err(error) => {
            let refusal = undispatched.refuse(Reason::BadRequest, error.to_string());
            return to_reply(node, &service, GuardResult::from_outcome(Outcome::NotRun(refusal)));
        }
    };
    let buffered = BufferedRequest {
        method,
        authority: message.authority.into(),
        path: message.path.into(),
        headers: headers_from_proto(message.headers),
        body: message.body,
    };
    let result = node.run_at_upstream(call, buffered, undispatched).await;
    to_reply(node, &service, result)
}

pub(super) fn to_reply<D: Dialect>(
    node: &Node<D>,
    service: &str,
    result: GuardResult,
) -> proto::ForwardReply {
    let mut reply = proto::ForwardReply {
        reached_upstream: result.reached_upstream,
        load: result.load.map(|load| proto::Load {
            running: load.running,
            waiting: load.waiting,
            limit: load.limit,
            mean_us: to_micros(load.mean_s),
            route_us: to_micros(load.route_mean_s),
            named_rate_per_s: load.named_rate_per_s.unwrap_or(0.0),
            pace_per_ks: load.pace.map_or(0, |pace| pace::to_per_ks(pace.per_s)),
            pace_remaining_ms: load.pace.map_or(0, |it| clock::to_millis_u32(it.remaining)),
            refused_permille: to_permille(result.refused_share),
            relative_time_permille: load
                .relative_time
                .map_or(0, |it| (it * 1000.0).round().max(1.0) as u32),
        }),
        uses: service_uses(node, service, &result.usage),
        refused_below: result.refused_below,
        failed_below: result.failed_below,
        // The hubs may not have sent this state to the entry node yet.
        record: node
            .guard
            .upstream()
            .is_some_and(|it| !it.is_ready())
            .then(|| sync::to_proto(&node.own_record(), false)),
        ..Default::default()
    };
    match result.outcome {
        Outcome::Whole(mut answer) => {
            reply.set_outcome(proto::Outcome::Whole);
            reply.status = u32::from(answer.status.as_u16());
            remove_connection_headers(&mut answer.headers);
            reply.headers = headers_to_proto(&answer.headers);
            reply.body = answer.body;
        }
        Outcome::NotRun(not_run) => {
            reply.set_outcome(proto::Outcome::NotRun);
            reply.reason = not_run.reason.as_str().to_owned();
            reply.detail = not_run.detail;
        }
        Outcome::Unknown(unknown) => {
            reply.set_outcome(proto::Outcome::Unknown);
            reply.reason = unknown.reason.as_str().to_owned();
            reply.detail = unknown.detail;
        }
    }
    reply
}

/// Encodes the usage of a request, with this node's last load report for each service except its own.
fn service_uses<D: Dialect>(
    node: &Node<D>,
    service: &str,
    usage: &Usage,
) -> Vec<proto::ServiceUse> {
    let now = clock::now();
    let root_admission = node.root_admission.lock();
    let refusals = node.refusals.lock();
    let used = usage.services.iter().map(|used| {
        let load = root_admission.service_load(&used.service).filter(|_| *used.service != *service);
        let (load, age) = load.map_or((0.0, Duration::ZERO), |(load, measured_at)| {
            (load, now.saturating_sub(measured_at))
        });
        let refused = refusals.last_report(&used.service).filter(|_| *used.service != *service);
        proto::ServiceUse {
            service: used.service.to_string(),
            held_us: to_micros(used.held_s),
            arrivals: used.arrivals as u32,
            load_permille: (load * 1000.0).ceil() as u32,
            load_age_ms: clock::to_millis_u32(age),
            refused_permille: refused.map(|(share, _)| to_permille(share)),
            refused_age_ms: refused
                .map_or(0, |(_, at)| clock::to_millis_u32(now.saturating_sub(at))),
            requests: Some(used.requests as u32),
        }
    });
    used.collect()
}

fn to_permille(share: f64) -> u32 {
    (share * 1000.0).round() as u32
}

fn to_micros(seconds: f64) -> u32 {
    (seconds * 1e6) as u32
}
