//! gRPC listener for other nodes.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use kameo::actor::ActorRef;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tonic::{
    Request, Response, Status,
    transport::{Server, server::TcpIncoming},
};

use crate::{
    admin::NodeStatus,
    call::{Outcome, Undispatched, answer_digest, headers},
    clock,
    node::{
        Shared, configuration,
        entry::BufferedRequest,
        guard::{self, GuardResult},
        loans,
        members::{EvidenceAnswer, EvidenceQuery, MembersActor},
    },
    peers::{
        TOKEN_HEADER,
        proto::{
            self,
            peer_server::{Peer, PeerServer},
        },
    },
};

/// Size of a message beyond its body: context, headers and framing.
const MESSAGE_OVERHEAD_BYTES: usize = 1 << 20;

/// Serves other nodes until `shutdown` is cancelled.
pub async fn serve(
    listener: TcpListener,
    shared: Arc<Shared>,
    members: ActorRef<MembersActor>,
    shutdown: CancellationToken,
) {
    let token = shared.signer.peer_token().clone();
    let limit_bytes = shared.settings.limits.max_body_bytes + MESSAGE_OVERHEAD_BYTES;
    let service = PeerServer::new(PeerService { shared, members })
        .max_decoding_message_size(limit_bytes)
        .max_encoding_message_size(limit_bytes);
    let service = tonic::service::interceptor::InterceptedService::new(
        service,
        move |request: Request<()>| check_token(request, &token),
    );
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let server = Server::builder()
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, shutdown.cancelled_owned());
    if let Err(error) = server.await {
        log::error!(
            "the listener for other nodes failed: {error}; this node no longer answers their \
             requests"
        );
    }
}

fn check_token(request: Request<()>, token: &str) -> Result<Request<()>, Status> {
    let presented = request.metadata().get(TOKEN_HEADER).map(|value| value.as_bytes());
    // Hashes are compared in constant time, so the time taken reveals nothing about the token.
    let presented = blake3::hash(presented.unwrap_or_default());
    if presented != blake3::hash(token.as_bytes()) {
        return Err(Status::unauthenticated("the peer token is wrong or missing"));
    }
    Ok(request)
}

struct PeerService {
    shared: Arc<Shared>,
    members: ActorRef<MembersActor>,
}

type RpcResult<T> = Result<Response<T>, Status>;

#[tonic::async_trait]
impl Peer for PeerService {
    async fn forward(
        &self,
        request: Request<proto::ForwardRequest>,
    ) -> RpcResult<proto::ForwardReply> {
        let message = request.into_inner();
        let context = self.shared.signer.verify(&message.context, &message.mac, clock::now());
        let context = context.map_err(|error| Status::unauthenticated(error.to_string()))?;
        let method = Method::from_bytes(message.method.as_bytes())
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let buffered = BufferedRequest {
            method,
            path: message.path.into(),
            headers: message.headers,
            body: message.body,
        };
        let request_id = context.request_id;
        let undispatched = Undispatched::new(context.idempotency_key.is_none());
        let guard_result =
            guard::run_at_upstream(&self.shared, context, buffered, undispatched).await;
        Ok(Response::new(guard_result_to_proto(guard_result, request_id.as_bytes())))
    }

    async fn pull_evidence(
        &self,
        request: Request<proto::EvidenceRequest>,
    ) -> RpcResult<proto::EvidenceReply> {
        let reply = self.members.ask(EvidenceQuery(request.into_inner())).await;
        reply
            .map(|EvidenceAnswer(mut reply)| {
                reply.quarantine = self.shared.once.quarantine_entries();
                Response::new(reply)
            })
            .map_err(|error| Status::unavailable(error.to_string()))
    }

    async fn pull_configuration(
        &self,
        request: Request<proto::ConfigurationRequest>,
    ) -> RpcResult<proto::ConfigurationReply> {
        let revision = request.into_inner().revision;
        Ok(Response::new(configuration::build_reply(&self.shared, revision)))
    }

    async fn borrow(
        &self,
        request: Request<proto::BorrowRequest>,
    ) -> RpcResult<proto::BorrowReply> {
        Ok(Response::new(loans::handle_loan_request(&self.shared, request.into_inner())))
    }

    async fn handover(
        &self,
        request: Request<proto::HandoverRequest>,
    ) -> RpcResult<proto::HandoverReply> {
        let accepted = self.shared.once.receive_handover(request.into_inner());
        Ok(Response::new(proto::HandoverReply { accepted }))
    }

    async fn report_crash(
        &self,
        request: Request<proto::CrashReport>,
    ) -> RpcResult<proto::CrashReply> {
        self.shared.once.merge_quarantine(&request.into_inner().entries);
        Ok(Response::new(proto::CrashReply {}))
    }

    async fn pull_status(
        &self,
        _request: Request<proto::StatusRequest>,
    ) -> RpcResult<proto::StatusReply> {
        let status = serde_json::to_vec(&NodeStatus::capture(&self.shared))
            .map_err(|error| Status::internal(error.to_string()))?;
        Ok(Response::new(proto::StatusReply { status: status.into() }))
    }
}

fn guard_result_to_proto(guard_result: GuardResult, request_id: &[u8]) -> proto::ForwardReply {
    let pressures = guard_result.pressures.into_iter().map(|pressure| proto::Pressure {
        service: pressure.service.to_string(),
        shed_below: pressure.shed_below.0,
    });
    let mut reply = proto::ForwardReply {
        request_id: Bytes::copy_from_slice(request_id),
        unused_retries: guard_result.unused_retries,
        load: guard_result.load,
        pressures: pressures.collect(),
        refused_below: guard_result.refused_below,
        ..Default::default()
    };
    match guard_result.outcome {
        Outcome::Whole(answer) => {
            reply.set_outcome(proto::Outcome::Whole);
            reply.status = u32::from(answer.status.as_u16());
            reply.headers = headers::to_proto(&answer.headers);
            reply.body = answer.body;
            let digest = answer_digest(request_id, reply.status, &reply.headers, &reply.body);
            reply.digest = Bytes::copy_from_slice(digest.as_bytes());
        }
        Outcome::NotRun(not_run) => {
            reply.set_outcome(proto::Outcome::NotRun);
            reply.reason = not_run.reason.as_str().to_owned();
            reply.detail = not_run.detail;
            reply.covers_request = not_run.covers_request;
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
