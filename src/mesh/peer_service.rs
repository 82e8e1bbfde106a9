//! The listener for other nodes.

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
        log::error!(cause:% = error; "the listener for nodes failed");
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
        let whole = BufferedRequest {
            method,
            authority: message.authority.into(),
            path: message.path.into(),
            headers: headers_from_proto(message.headers),
            body: message.body,
        };
        let guarded = self.node.guard.run(call, whole, Undispatched::new(true)).await;
        Ok(Response::new(reply(&self.node, &service, guarded)))
    }

    async fn sync(
        &self,
        request: Request<proto::SyncRequest>,
    ) -> Result<Response<proto::SyncReply>, Status> {
        Ok(Response::new(sync::answer(&self.node, request.into_inner())))
    }
}

fn reply<D: Dialect>(node: &Node<D>, service: &str, guarded: GuardResult) -> proto::ForwardReply {
    let mut reply = proto::ForwardReply {
        reached_upstream: guarded.reached_upstream,
        load: guarded.load.map(|load| proto::Load {
            running: load.running,
            waiting: load.waiting,
            limit: load.limit,
            mean_us: micros(load.mean_s),
            route_us: micros(load.route_mean_s),
        }),
        uses: uses(node, service, &guarded.usage),
        refused_below: guarded.refused_below,
        failed_below: guarded.failed_below,
        ..Default::default()
    };
    match guarded.outcome {
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

/// What a request used, with what this node knows of the load of the services below its own.
fn uses<D: Dialect>(node: &Node<D>, service: &str, usage: &Usage) -> Vec<proto::ServiceUse> {
    let now = clock::now();
    let root_admission = node.root_admission.lock();
    let used = usage.services.iter().map(|used| {
        let load = root_admission.load_of(&used.service).filter(|_| *used.service != *service);
        let (load, age) =
            load.map_or((0.0, Duration::ZERO), |(load, at)| (load, now.saturating_sub(at)));
        proto::ServiceUse {
            service: used.service.to_string(),
            held_us: micros(used.held_s),
            arrivals: used.arrivals as u32,
            load_permille: (load * 1000.0).ceil() as u32,
            load_age_ms: clock::millis_u32(age),
        }
    });
    used.collect()
}

fn micros(seconds: f64) -> u32 {
    (seconds * 1e6) as u32
}
