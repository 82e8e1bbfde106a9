//! gRPC service for other nodes: forwarded requests and exchanges with hubs.

use std::{sync::Arc, time::Duration};

use http::Method;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tonic::{
    Request, Response, Status,
    transport::{Server, server::TcpIncoming},
};

use crate::{
    call::{Outcome, Undispatched},
    clock,
    mesh::{
        Call, Dialect, GuardResult, Node, Usage,
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

/// Serves other nodes until `shutdown`.
pub async fn serve<D: Dialect>(
    listener: TcpListener,
    node: Arc<Node<D>>,
    shutdown: CancellationToken,
) {
    let service = MeshServer::new(PeerService { node })
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let server = Server::builder()
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, shutdown.cancelled_owned());
    if let Err(error) = server.await {
        log::error!(
            cause:% = error;
            "the listener for other nodes failed; their requests no longer reach this node"
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
        let arrived = clock::now();
        let message = request.into_inner();
        let method = Method::from_bytes(message.method.as_bytes())
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let name = |name: String| (!name.is_empty()).then(|| Arc::from(name));
        let call = Call {
            request_id: message.request_id.into(),
            route: message.route.into(),
            service: message.service.into(),
            organisation: name(message.organisation),
            caller_service: message.caller_service.into(),
            deadline: arrived + Duration::from_millis(u64::from(message.remaining_ms)),
            idempotent: message.idempotent,
            rank: message.rank,
            root_organisation: name(message.root_organisation),
            depth: message.depth,
            repeated: message.repeated,
        };
        let service = call.service.clone();
        let buffered = BufferedRequest {
            method,
            authority: message.authority.into(),
            path: message.path.into(),
            headers: headers_from_proto(message.headers),
            body: message.body,
        };
        let result = self.node.guard.run(call, buffered, Undispatched::new(true)).await;
        Ok(Response::new(to_reply(&self.node, &service, result)))
    }

    async fn sync(
        &self,
        request: Request<proto::SyncRequest>,
    ) -> Result<Response<proto::SyncReply>, Status> {
        Ok(Response::new(sync::answer_exchange(&self.node, request.into_inner())))
    }
}

fn to_reply<D: Dialect>(node: &Node<D>, service: &str, result: GuardResult) -> proto::ForwardReply {
    let mut reply = proto::ForwardReply {
        reached_upstream: result.reached_upstream,
        load: result.load.map(|load| proto::Load {
            running: load.running,
            waiting: load.waiting,
            limit: load.limit,
            mean_us: to_micros(load.mean_s),
            route_us: to_micros(load.route_mean_s),
        }),
        uses: service_uses(node, service, &result.usage),
        refused_below: result.refused_below,
        failed_below: result.failed_below,
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
    let used = usage.services.iter().map(|used| {
        let load = root_admission.service_load(&used.service).filter(|_| *used.service != *service);
        let (load, age) = load.map_or((0.0, Duration::ZERO), |(load, measured_at)| {
            (load, now.saturating_sub(measured_at))
        });
        proto::ServiceUse {
            service: used.service.to_string(),
            held_us: to_micros(used.held_s),
            arrivals: used.arrivals as u32,
            load_permille: (load * 1000.0).ceil() as u32,
            load_age_ms: clock::to_millis_u32(age),
        }
    });
    used.collect()
}

fn to_micros(seconds: f64) -> u32 {
    (seconds * 1e6) as u32
}
