//! A node without listeners in the process of the test: the end of a link, and its contact to other nodes.

use std::{sync::Arc, time::Duration};

use bytes::{BufMut as _, Bytes, BytesMut};
use futures::FutureExt as _;
use hibiscusdoor::{
    clock,
    http_server::{self, intake::Intake},
    memory::MemoryBudget,
    mesh::{
        Heartbeat, InstanceAddress, MeshSettings, Node, Upstream, UpstreamState,
        link::{self, FrameDecoder, PREAMBLE},
        proto::{ForwardRequest, LinkFrame, LinkSignal, link_frame::Content},
    },
    names::InstanceName,
    platform::OperatorsPlatform,
};

use http::{HeaderValue, StatusCode};
use prost::Message as _;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpSocket},
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

const TIMEOUT: Duration = Duration::from_secs(20);
const REPLY_BODY_BYTES: usize = 512 << 10;
const SMALL_WINDOW_BYTES: usize = 4 << 10;
const REQUEST_ID: &str = "a1";

/// A node without listeners, and with an upstream whose answers are long.
async fn start_node(stop: CancellationToken) -> anyhow::Result<Arc<Node<OperatorsPlatform>>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let upstream = listener.local_addr()?;
    tokio::spawn(http_server::serve(listener, stop, async |_| {
        let mut response = http_server::text(StatusCode::OK, &"x".repeat(REPLY_BODY_BYTES));
        for name in ["x-attempt-id", "x-response-seal"] {
            response.headers_mut().insert(name, HeaderValue::from_static(REQUEST_ID));
        }
        response
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
