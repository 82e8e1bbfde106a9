//! A node without listeners in the process of the test: the end of a link, and its contact to other nodes.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{BufMut as _, Bytes, BytesMut};
use futures::FutureExt as _;
use hibiscusdoor::{
    clock,
    http_server::{self, intake::Intake},
    memory::MemoryBudget,
    mesh::{
        Heartbeat, InstanceAddress, MeshSettings, Node, Upstream, UpstreamState,
        link::{self, FrameDecoder, PREAMBLE},
        proto::{
            ForwardRequest, LinkFrame, LinkResume, LinkSignal, ResumeState, link_frame::Content,
        },
    },
    names::InstanceName,
    platform::OperatorsPlatform,
};

use http::{HeaderValue, StatusCode};
use prost::Message as _;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpSocket, TcpStream},
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

const TIMEOUT: Duration = Duration::from_secs(20);
const REPLY_BODY_BYTES: usize = 512 << 10;
const SMALL_WINDOW_BYTES: usize = 4 << 10;
const REQUEST_ID: &str = "a1";

/// A node without listeners, and with an upstream whose answers are long.
async fn start_node(stop: CancellationToken) -> anyhow::Result<Arc<Node<OperatorsPlatform>>> {
    let body = "x".repeat(REPLY_BODY_BYTES);
    start_node_with(stop, body, async |_| {}).await
}

/// A node without listeners, and with an upstream that answers once `work` has ended for the id of a request.
async fn start_node_with<F: Future<Output = ()> + Send + 'static>(
    stop: CancellationToken,
    body: String,
    work: impl Fn(String) -> F + Clone + Send + Sync + 'static,
) -> anyhow::Result<Arc<Node<OperatorsPlatform>>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let upstream = listener.local_addr()?;
    tokio::spawn(http_server::serve(listener, stop, move |request| {
        let id = request.headers().get("x-attempt-id").cloned();
        let id = id.unwrap_or_else(|| HeaderValue::from_static(REQUEST_ID));
        let (work, body) = (work.clone(), body.clone());
        async move {
            work(id.to_str().unwrap_or_default().to_owned()).await;
            let mut response = http_server::text(StatusCode::OK, &body);
            for name in ["x-attempt-id", "x-response-seal"] {
                response.headers_mut().insert(name, id.clone());
            }
            response
        }
    }));
    let folder = tempfile::tempdir()?;
    let file = folder.path().join("node.json");
    let unused = "127.0.0.1:9";
    let settings = json!({
        "instance": "node-0", "zone": "zone-a", "service": "orders", "upstream": upstream.to_string(),
        "listen": {
            "callers": unused, "peers": unused, "readiness": unused, "heartbeats": unused,
            "operators": unused,
        },
        "store": { "address": unused },
    });
    std::fs::write(&file, settings.to_string())?;
    let settings = MeshSettings::from_file::<OperatorsPlatform>(&file)
        .map_err(|findings| anyhow::anyhow!("{findings}"))?;
    let node = Arc::new(Node::new(settings));
    node.guard.set_upstream(Upstream {
        heartbeat: Heartbeat {
            upstream: "u-0".into(),
            address: upstream,
            service: "orders".into(),
            zone: "zone-a".into(),
            slots: 5,
            state: UpstreamState::Ready,
            sequence: 1,
            started_unix_ms: 1_000,
            cold: Duration::ZERO,
        },
        cold_until: Duration::ZERO,
        leaving_since: None,
    });
    Ok(node)
}

fn encode(call: u64, content: Content) -> Bytes {
    let frame = LinkFrame { call, content: Some(content) }.encode_to_vec();
    let mut bytes = BytesMut::new();
    bytes.put_u32(u32::try_from(frame.len()).expect("a small frame"));
    bytes.put_slice(&frame);
    bytes.freeze()
}

/// Guards against a reply of a stopping node that is cut by a reset, since frames of the other node arrived
/// after the link had been closed: the outcome of its request was then unknown.
#[tokio::test]
async fn a_reply_is_whole_beside_frames_that_cross_the_close() -> anyhow::Result<()> {
    let stop = CancellationToken::new();
    let node = start_node(stop.clone()).await?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let shutdown = CancellationToken::new();
    let served = tokio::spawn({
        let shutdown = shutdown.clone();
        async move {
            let (stream, _) = listener.accept().await?;
            link::serve(node, stream, &Intake::unlimited().register(), shutdown).await
        }
    });
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(u32::try_from(SMALL_WINDOW_BYTES)?)?;
    let mut stream = socket.connect(address).await?;
    stream.write_all(&PREAMBLE).await?;
    stream.read_exact(&mut [0; PREAMBLE.len()]).await?;
    let request = ForwardRequest {
        request_id: REQUEST_ID.to_owned(),
        service: "orders".to_owned(),
        method: "GET".to_owned(),
        authority: "a.example".to_owned(),
        path: "/orders/1".to_owned(),
        remaining_ms: 15_000,
        idempotent: true,
        ..ForwardRequest::default()
    };
    stream.write_all(&encode(1, Content::Request(request))).await?;
    timeout(TIMEOUT, stream.peek(&mut [0; 1])).await??;
    shutdown.cancel();
    let mut decoder = FrameDecoder::new(Arc::new(MemoryBudget::new(REPLY_BODY_BYTES * 4)));
    let (mut input, mut replies) = (BytesMut::new(), Vec::new());
    let read = async {
        let mut buffer = [0; SMALL_WINDOW_BYTES];
        while let Ok(read @ 1..) = stream.read(&mut buffer).await {
            input.extend_from_slice(&buffer[..read]);
            // Fails after a reset, which also ends the replies.
            let _ = stream.write_all(&encode(0, Content::Ping(LinkSignal {}))).await;
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(TIMEOUT, read).await?;
    drop(stream);
    while let Some(frame) = decoder.decode(&mut input)? {
        replies.extend(frame.content.and_then(|content| match content {
            Content::Reply(reply) => Some(reply.body.len()),
            _ => None,
        }));
    }
    assert_eq!(replies, [REPLY_BODY_BYTES + 1], "{} bytes are left", input.len());
    timeout(TIMEOUT, served).await???;
    stop.cancel();
    Ok(())
}

/// Guards against a registration that stays removed: the node was paused before its first exchange with
/// another node, and a hub took it for lost meanwhile.
#[tokio::test]
async fn a_node_without_contact_since_its_start_checks_its_registration() -> anyhow::Result<()> {
    let stop = CancellationToken::new();
    for (contacts, is_checked) in
        [(&[1][..], false), (&[9], true), (&[1, 5], false), (&[1, 9], true)]
    {
        let node = start_node(stop.clone()).await?;
        let started_at = clock::now();
        for seconds in contacts {
            node.record_peer_contact(started_at + Duration::from_secs(*seconds));
        }
        let check = node.registration_check.notified().now_or_never();
        assert_eq!(check.is_some(), is_checked, "contacts after {contacts:?} s");
    }
    stop.cancel();
    Ok(())
}

/// Guards against a home that counts by a fleet of which another home may have the majority: the instance
/// that turned to it knows other losses.
#[tokio::test]
async fn a_home_needs_the_majority_of_the_fleet_that_an_instance_states() -> anyhow::Result<()> {
    let stop = CancellationToken::new();
    let name = |number: usize| InstanceName::from(format!("node-{number}"));
    let address =
        InstanceAddress { zone: "zone-a".into(), peer_address: ([127, 0, 0, 1], 9).into() };
    for (lost, is_sole) in
        [(&[][..], true), (&[0, 1], false), (&[3], true), (&[4], false), (&[1, 2, 3], true)]
    {
        let node = start_node(stop.clone()).await?;
        let addresses = (0..5).map(|number| (name(number), address.clone())).collect();
        node.set_stored_addresses(addresses);
        assert_eq!(node.fleet_size(), 5);
        let now = clock::now();
        let lost = lost.iter().map(|number| name(*number)).collect();
        node.record_stated_losses(now, 0, &lost);
        for number in [0, 1, 4] {
            node.homes.lock().record_contact(now, 0, &name(number), node.fleet_size());
        }
        assert_eq!(node.homes.lock().is_sole(now, 0), is_sole, "lost: {lost:?}");
        assert_eq!(node.homes.lock().has_stated_majorities(now, 0), is_sole, "lost: {lost:?}");
    }
    stop.cancel();
    Ok(())
}

/// A link to a node, opened by the test.
struct OpenedLink {
    stream: TcpStream,
    decoder: FrameDecoder,
    input: BytesMut,
}

impl OpenedLink {
    async fn open(address: SocketAddr) -> anyhow::Result<Self> {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(&PREAMBLE).await?;
        stream.read_exact(&mut [0; PREAMBLE.len()]).await?;
        let decoder = FrameDecoder::new(Arc::new(MemoryBudget::new(REPLY_BODY_BYTES * 8)));
        Ok(Self { stream, decoder, input: BytesMut::new() })
    }

    async fn send(&mut self, call: u64, content: Content) -> anyhow::Result<()> {
        Ok(self.stream.write_all(&encode(call, content)).await?)
    }

    /// Reads the next frame; returns its number, and the status or the state that it states.
    async fn read(&mut self) -> anyhow::Result<(u64, Result<u32, ResumeState>)> {
        loop {
            if let Some(frame) = self.decoder.decode(&mut self.input)? {
                let stated = match frame.content {
                    Some(Content::Reply(reply)) => Ok(reply.status),
                    Some(Content::ResumeState(resumed)) => Err(resumed.state()),
                    other => anyhow::bail!("{other:?}"),
                };
                return Ok((frame.call, stated));
            }
            let read = timeout(TIMEOUT, self.stream.read_buf(&mut self.input)).await??;
            anyhow::ensure!(read > 0, "the link has ended");
        }
    }
}

/// Guards against replies that are lost with their link, and against a request that runs although the node
/// has said on another link that it does not.
#[tokio::test]
async fn replies_are_sent_on_another_link() -> anyhow::Result<()> {
    const LINK: u64 = 7;
    let (stop, upstream_stop) = (CancellationToken::new(), CancellationToken::new());
    let (release, released) = tokio::sync::watch::channel(false);
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = runs.clone();
    let node = start_node_with(upstream_stop.clone(), "whole".to_owned(), move |id| {
        let (mut released, counted) = (released.clone(), counted.clone());
        async move {
            counted.fetch_add(1, Ordering::SeqCst);
            if id != "a1" {
                let _ = released.wait_for(|it| *it).await;
            }
        }
    })
    .await?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let serving = tokio::spawn({
        let (node, stop) = (node.clone(), stop.clone());
        async move {
            let mut links = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (node, stop) = (node.clone(), stop.clone());
                links.spawn(async move {
                    link::serve(node, stream, &Intake::unlimited().register(), stop).await
                });
            }
        }
    });
    let request = |id: &str| {
        Content::Request(ForwardRequest {
            request_id: id.to_owned(),
            service: "orders".to_owned(),
            method: "POST".to_owned(),
            authority: "a.example".to_owned(),
            path: "/orders/1".to_owned(),
            remaining_ms: 15_000,
            link: LINK,
            ..ForwardRequest::default()
        })
    };
    let resume = |link, call| Content::Resume(LinkResume { link, call });
    let mut first = OpenedLink::open(address).await?;
    first.send(1, request("a1")).await?;
    first.send(2, request("a2")).await?;
    assert_eq!(first.read().await?, (1, Ok(200)));
    while runs.load(Ordering::SeqCst) < 2 {
        sleep(Duration::from_millis(5)).await;
    }
    let mut second = OpenedLink::open(address).await?;
    second.send(1, resume(LINK, 1)).await?;
    assert_eq!(second.read().await?, (1, Ok(200)), "a kept reply");
    second.send(2, resume(LINK, 2)).await?;
    assert_eq!(second.read().await?, (2, Err(ResumeState::Running)));
    second.send(3, resume(LINK, 3)).await?;
    assert_eq!(second.read().await?, (3, Err(ResumeState::NotRun)));
    second.send(4, resume(LINK + 1, 1)).await?;
    assert_eq!(second.read().await?, (4, Err(ResumeState::Unknown)), "another link");
    // Held up on the first link until now.
    first.send(3, request("a3")).await?;
    first.send(4, Content::Ping(LinkSignal {})).await?;
    assert!(first.read().await.is_err(), "a pong");
    release.send(true)?;
    assert_eq!(second.read().await?, (2, Ok(200)));
    assert_eq!(runs.load(Ordering::SeqCst), 2);
    stop.cancel();
    serving.abort();
    upstream_stop.cancel();
    Ok(())
}
