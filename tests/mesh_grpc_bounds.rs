//! Memory of the messages of gRPC calls between nodes, and refusals of calls, within one process.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hibiscusdoor::{
    memory::{self, MemoryBudget},
    mesh::{
        grpc::{
            self, BoundedCalls, CallBounds, CallHold, FieldCounter, ReplyHold, ReservingChannel,
        },
        proto::{
            ForwardReply, ForwardRequest, Header, InstanceRecord, SyncReply, SyncRequest, Want,
            mesh_client::MeshClient,
            mesh_server::{Mesh, MeshServer},
        },
    },
};
use proptest::{collection::vec, prelude::*};
use prost::Message as _;
use tokio::{sync::Semaphore, task::JoinHandle, time::timeout};
use tonic::{Request, Response, Status, transport::server::TcpIncoming};

const MIB: usize = 1 << 20;
/// Longest wait for a call.
const WAIT: Duration = Duration::from_secs(60);
/// Time after which a call that must wait is taken to wait.
const SHORT_WAIT: Duration = Duration::from_millis(200);

/// A node that answers calls once it has a permit for them.
struct Peer {
    /// Memory of the messages that it has received.
    memory: Arc<MemoryBudget>,
    permits: Arc<Semaphore>,
    reply_bytes: usize,
}

#[tonic::async_trait]
impl Mesh for Peer {
    async fn forward(
        &self,
        mut request: Request<ForwardRequest>,
    ) -> Result<Response<ForwardReply>, Status> {
        let hold: Option<CallHold> = request.extensions_mut().remove();
        let hold = hold.expect("a bounded call");
        hold.begin();
        let message = request.into_inner();
        let reserved = hold.memory.take().expect("a reservation");
        assert!(reserved.bytes() >= message.body.len());
        if message.path == "/echo" {
            let body = message.encode_to_vec().into();
            return Ok(Response::new(ForwardReply { body, ..ForwardReply::default() }));
        }
        let _body = memory::reserved_bytes(message.body, reserved);
        self.permits.acquire().await.expect("a permit").forget();
        match message.path.as_str() {
            "/fail" => Err(Status::resource_exhausted("not before the call has run")),
            _ => Ok(Response::new(ForwardReply {
                body: vec![b'y'; self.reply_bytes].into(),
                ..ForwardReply::default()
            })),
        }
    }

    async fn sync(&self, _: Request<SyncRequest>) -> Result<Response<SyncReply>, Status> {
        Ok(Response::new(SyncReply::default()))
    }
}

/// A client of a peer within the process.
struct World {
    client: MeshClient<ReservingChannel>,
    /// Memory of the peer.
    memory: Arc<MemoryBudget>,
    /// Memory of the client.
    client_memory: Arc<MemoryBudget>,
    permits: Arc<Semaphore>,
    server: JoinHandle<()>,
}

impl Drop for World {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl World {
    async fn start(memory_bytes: usize, client_bytes: usize, reply_bytes: usize) -> Self {
        let memory = Arc::new(MemoryBudget::new(memory_bytes));
        let permits = Arc::new(Semaphore::new(0));
        let peer = Peer { memory: memory.clone(), permits: permits.clone(), reply_bytes };
        let bounds = CallBounds::new(peer.memory.clone(), Arc::default());
        let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let incoming = TcpIncoming::bind(any_port).expect("an address");
        let address = incoming.local_addr().expect("an address");
        let service = MeshServer::new(peer).max_decoding_message_size(bounds.max_message_bytes());
        let server = grpc::bounded_server().add_service(BoundedCalls::new(service, bounds));
        let server = tokio::spawn(async move {
            server.serve_with_incoming(incoming).await.expect("a server");
        });
        let client_memory = Arc::new(MemoryBudget::new(client_bytes));
        let channel = grpc::channel(address, client_memory.clone());
        let client = MeshClient::new(channel).max_decoding_message_size(64 * MIB);
        Self { client, memory, client_memory, permits, server }
    }

    async fn forward(
        &self,
        path: &str,
        body_bytes: usize,
    ) -> Result<Response<ForwardReply>, Status> {
        let mut client = self.client.clone();
        let message = ForwardRequest {
            path: path.to_owned(),
            body: vec![b'x'; body_bytes].into(),
            ..ForwardRequest::default()
        };
        timeout(WAIT, client.forward(message)).await.expect("an answer")
    }
}

async fn wait_until(is_true: impl Fn() -> bool) {
    let waiting = async {
        while !is_true() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(WAIT, waiting).await.expect("a condition that becomes true");
}

/// Guards against messages whose memory is not reserved while their call runs, or is not returned when it
/// ends, also when its caller gives it up.
#[tokio::test]
async fn messages_are_reserved_until_their_call_ends() {
    let world = World::start(64 * MIB, 64 * MIB, 0).await;
    let answered = async {
        wait_until(|| world.memory.used_bytes() >= 4 * MIB).await;
        world.permits.add_permits(1);
    };
    let (reply, ()) = tokio::join!(world.forward("/", 4 * MIB), answered);
    assert!(reply.is_ok(), "{reply:?}");
    wait_until(|| world.memory.used_bytes() == 0).await;
    let given_up = timeout(SHORT_WAIT, world.forward("/", 4 * MIB)).await;
    assert!(given_up.is_err(), "{given_up:?}");
    wait_until(|| world.memory.used_bytes() == 0).await;
}

/// Guards against refusals that the sender cannot tell from failures of calls that have run, and against
/// the reverse.
#[tokio::test]
async fn only_calls_that_have_not_run_are_refused() {
    let world = World::start(8 * MIB, 64 * MIB, 0).await;
    world.permits.add_permits(10);
    let status = world.forward("/", 6 * MIB).await.expect_err("a message over the bound");
    assert!(grpc::is_refusal(&status), "{status:?}");
    let others = world.memory.reserve(7 * MIB).expect("memory");
    let status = world.forward("/", 2 * MIB).await.expect_err("no memory for the message");
    assert!(grpc::is_refusal(&status), "{status:?}");
    let small = world.forward("/", 1024).await;
    assert!(small.is_ok(), "{small:?}");
    drop(others);
    let reply = world.forward("/", 2 * MIB).await;
    assert!(reply.is_ok(), "{reply:?}");
    assert_eq!(world.permits.available_permits(), 8);
    let status = world.forward("/fail", 1024).await.expect_err("a failed call");
    assert_eq!(status.code(), tonic::Code::ResourceExhausted);
    assert!(!grpc::is_refusal(&status), "{status:?}");
}

/// Guards against more calls than the node has memory for; each has a task and buffers, however small its
/// message is.
#[tokio::test]
async fn calls_beyond_the_bound_are_refused() {
    let world = Arc::new(World::start(MIB, 64 * MIB, 0).await);
    // One call for each 128 KiB.
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..20 {
        let world = world.clone();
        calls.spawn(async move { world.forward("/", 100).await });
    }
    for _ in 0..12 {
        let refused = calls.join_next().await.expect("a call").expect("a task");
        let status = refused.expect_err("a call beyond the bound");
        assert!(grpc::is_refusal(&status), "{status:?}");
    }
    world.permits.add_permits(8);
    while let Some(reply) = calls.join_next().await {
        let reply = reply.expect("a task");
        assert!(reply.is_ok(), "{reply:?}");
    }
    wait_until(|| world.memory.used_bytes() == 0).await;
}

/// Guards against replies whose memory is not reserved, or that are dropped while there is none: the
/// request has run, so they wait for it.
#[tokio::test]
async fn replies_wait_for_memory() {
    let world = World::start(64 * MIB, 8 * MIB, 4 * MIB).await;
    world.permits.add_permits(10);
    let others = world.client_memory.reserve(6 * MIB).expect("memory");
    let call = world.forward("/", 0);
    tokio::pin!(call);
    let early = timeout(SHORT_WAIT, &mut call).await;
    assert!(early.is_err(), "{early:?}");
    drop(others);
    let mut reply = call.await.expect("a reply");
    let hold: Option<ReplyHold> = reply.extensions_mut().remove();
    let reserved = hold.and_then(|it| it.0.take()).expect("a reservation");
    assert!(reserved.bytes() >= 4 * MIB);
    assert_eq!(reply.get_ref().body.len(), 4 * MIB);
    assert_eq!(world.client_memory.used_bytes(), reserved.bytes());
    drop((reserved, reply));
    assert_eq!(world.client_memory.used_bytes(), 0);
}

/// Guards against a reply that never finds memory, since it is larger than the whole budget.
#[tokio::test]
async fn replies_over_the_budget_fail() {
    let world = World::start(64 * MIB, 2 * MIB, 4 * MIB).await;
    world.permits.add_permits(1);
    let status = world.forward("/", 0).await.expect_err("a reply over the budget");
    assert!(!grpc::is_refusal(&status), "the request has run: {status:?}");
    wait_until(|| world.client_memory.used_bytes() == 0).await;
}

/// Counts the fields of a message that arrives in pieces of these sizes, in turn.
fn count_fields(message: &[u8], sizes: &[usize]) -> usize {
    let (mut counter, mut rest) = (FieldCounter::default(), message);
    for size in sizes.iter().cycle() {
        let (piece, after) = rest.split_at((*size).min(rest.len()));
        counter.read(piece);
        rest = after;
        if rest.is_empty() {
            break;
        }
    }
    counter.fields()
}

proptest! {
    /// Guards against fields that are not counted because of the places where a message is divided, or of
    /// their content.
    #[test]
    fn fields_are_counted(
        headers in vec(("[a-z]{0,8}", vec(any::<u8>(), 0..300)), 0..20),
        body in vec(any::<u8>(), 0..400),
        rate in any::<f64>(),
        sizes in vec(1..70_usize, 1..6),
    ) {
        let request = ForwardRequest {
            path: "/".to_owned(),
            headers: headers
                .into_iter()
                .map(|(name, value)| Header { name, value: Bytes::from(value) })
                .collect(),
            body: body.into(),
            remaining_ms: 300,
            named_rate_per_s: rate,
            ..ForwardRequest::default()
        };
        let expected = request.headers.len()
            + 2
            + usize::from(!request.body.is_empty())
            + usize::from(rate != 0.0);
        prop_assert_eq!(count_fields(&request.encode_to_vec(), &sizes), expected);
    }

    /// Guards against a message of any bytes that is decoded into more elements than were counted.
    #[test]
    fn all_decoded_elements_are_counted(
        bytes in vec(
            prop_oneof![
                4 => prop::sample::select(vec![0_u8, 1, 2, 8, 0x0a, 0x32, 0x3a, 0x4a, 0x7b, 0x7c, 0x80, 0xff]),
                1 => any::<u8>(),
            ],
            0..200,
        ),
        sizes in vec(1..70_usize, 1..6),
    ) {
        let counted = count_fields(&bytes, &sizes);
        if let Ok(request) = ForwardRequest::decode(&bytes[..]) {
            prop_assert!(request.headers.len() <= counted, "{counted}: {request:?}");
        }
        if let Ok(request) = SyncRequest::decode(&bytes[..]) {
            let elements = request.wants.len() + request.later.len() + request.crashed.len();
            prop_assert!(elements <= counted, "{counted}: {request:?}");
        }
        if let Ok(reply) = SyncReply::decode(&bytes[..]) {
            let elements = reply.records.len() + reply.grants.len() + reply.crashed.len();
            prop_assert!(elements <= counted, "{counted}: {reply:?}");
        }
        if let Ok(reply) = ForwardReply::decode(&bytes[..]) {
            prop_assert!(reply.headers.len() + reply.uses.len() <= counted, "{counted}: {reply:?}");
        }
    }
}

/// Guards against elements of messages that outgrow the memory that is counted for a field.
#[test]
fn elements_fit_into_the_memory_of_a_field() {
    const FIELD_BYTES: usize = 256;
    assert!(size_of::<InstanceRecord>() <= FIELD_BYTES, "{}", size_of::<InstanceRecord>());
    assert!(size_of::<Header>() <= FIELD_BYTES);
    assert!(size_of::<Want>() <= FIELD_BYTES);
}

/// Sends a message with a detached body, and compares it with what the peer has received.
async fn check_detached_body(body_bytes: usize, header_bytes: usize) {
    let world = World::start(64 * MIB, 64 * MIB, 0).await;
    let body: Vec<u8> = (0..body_bytes).map(|index| (index % 251) as u8).collect();
    let header = Header { name: "x-large".to_owned(), value: vec![b'z'; header_bytes].into() };
    let message = ForwardRequest {
        request_id: "detached".to_owned(),
        path: "/echo".to_owned(),
        headers: vec![header],
        body: body.into(),
        remaining_ms: 1_000,
        reserved_retries_permille: 7,
        ..ForwardRequest::default()
    };
    let mut client = world.client.clone();
    let call = client.forward(grpc::detach_body(message.clone()));
    let reply = timeout(WAIT, call).await.expect("an answer").expect("a reply").into_inner();
    let received = ForwardRequest::decode(reply.body).expect("a message");
    assert!(received == message, "the message has changed on its way");
}

macro_rules! detached_bodies {
    ($($name:ident($body_bytes:expr, $header_bytes:expr)),+ $(,)?) => {
        $(
            #[tokio::test]
            async fn $name() {
                check_detached_body($body_bytes, $header_bytes).await;
            }
        )+
    };
}

// Guard against messages whose length does not cover the body that is sent behind them, or whose other
// fields are lost with it.
detached_bodies! {
    a_detached_body_without_bytes(0, 10),
    a_detached_body_of_one_byte(1, 10),
    a_detached_body_behind_an_empty_header(200 << 10, 0),
    a_large_detached_body(5 << 20, 100),
    a_detached_body_behind_a_message_of_several_frames(5 << 20, 300 << 10),
}
