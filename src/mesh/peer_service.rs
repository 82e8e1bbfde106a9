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
        Dialect, Guarded, GuardedCall, Node,
        proto::{
            self,
            mesh_server::{Mesh, MeshServer},
        },
        request::{WholeRequest, headers_from_proto, headers_to_proto, remove_connection_headers},
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
        let call = GuardedCall {
            request_id: message.request_id.into(),
            service: message.service.into(),
            organisation: (!message.organisation.is_empty()).then(|| message.organisation.into()),
            caller_service: message.caller_service.into(),
            deadline: arrived + Duration::from_millis(u64::from(message.remaining_ms)),
            idempotent: message.idempotent,
            rank: message.rank,
        };
        let whole = WholeRequest {
            method,
            authority: message.authority.into(),
            path: message.path.into(),
            headers: headers_from_proto(message.headers),
            body: message.body,
        };
        let guarded = self.node.guard.run(call, whole, Undispatched::new(true)).await;
        Ok(Response::new(reply(guarded)))
    }
}

fn reply(guarded: Guarded) -> proto::ForwardReply {
    let mut reply =
        proto::ForwardReply { reached_upstream: guarded.reached_upstream, ..Default::default() };
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
            let delay_ms = not_run.retry_after.map_or(0, |delay| delay.as_millis());
            reply.retry_after_ms = u32::try_from(delay_ms).unwrap_or(u32::MAX);
        }
        Outcome::Unknown(unknown) => {
            reply.set_outcome(proto::Outcome::Unknown);
            reply.reason = unknown.reason.as_str().to_owned();
            reply.detail = unknown.detail;
        }
    }
    reply
}
