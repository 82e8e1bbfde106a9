//! Links between nodes, against a node that is played by the test.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::{SinkExt as _, StreamExt as _};
use hibiscusdoor::mesh::{
    link::{LinkFailure, Links, PREAMBLE},
    proto::{
        ForwardReply, ForwardRequest, LinkFrame, LinkResume, LinkResumeState, LinkSignal,
        ResumeState, link_frame::Content,
    },
};
use prost::Message as _;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

const TIMEOUT: Duration = Duration::from_secs(10);
/// Longer than the time after which a link counts as silent.
const SILENCE: Duration = Duration::from_millis(1_800);

/// Body that is larger than the buffers of a connection.
const LARGE_BODY_BYTES: usize = 7 << 20;

/// The accepting end of a link.
struct OtherNode(Framed<TcpStream, LengthDelimitedCodec>);

impl OtherNode {
    async fn accept(listener: &TcpListener) -> anyhow::Result<Self> {
        let (mut stream, _) = timeout(TIMEOUT, listener.accept()).await??;
        let mut preamble = [0; PREAMBLE.len()];
        stream.read_exact(&mut preamble).await?;
        assert_eq!(preamble, PREAMBLE);
        stream.write_all(&PREAMBLE).await?;
        Ok(Self(Framed::new(stream, LengthDelimitedCodec::new())))
    }

    async fn send(&mut self, call: u64, content: Content) -> anyhow::Result<()> {
        let frame = LinkFrame { call, content: Some(content) };
        Ok(self.0.send(Bytes::from(frame.encode_to_vec())).await?)
    }

    async fn reply(&mut self, call: u64, detail: &str) -> anyhow::Result<()> {
        self.send(call, Content::Reply(reply(detail))).await
    }

    /// Reads the next frame that is not a ping.
    async fn read(&mut self) -> anyhow::Result<LinkFrame> {
        loop {
            let bytes: BytesMut =
                timeout(TIMEOUT, self.0.next()).await?.expect("the link is open")?;
            let frame = LinkFrame::decode(bytes.freeze())?;
            if !matches!(frame.content, Some(Content::Ping(_))) {
                return Ok(frame);
            }
        }
    }

    async fn read_request(&mut self) -> anyhow::Result<(u64, ForwardRequest)> {
        let frame = self.read().await?;
        match frame.content {
            Some(Content::Request(request)) => Ok((frame.call, request)),
            other => anyhow::bail!("a request was expected: {other:?}"),
        }
    }
}

fn request(id: &str, idempotent: bool) -> ForwardRequest {
    ForwardRequest { request_id: id.to_owned(), idempotent, ..ForwardRequest::default() }
}

fn reply(detail: &str) -> ForwardReply {
    ForwardReply { detail: detail.to_owned(), ..ForwardReply::default() }
}

async fn listener() -> anyhow::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Opens a link and returns both of its ends.
async fn open(
    links: &Links,
    listener: &TcpListener,
    address: SocketAddr,
) -> anyhow::Result<(std::sync::Arc<hibiscusdoor::mesh::link::Link>, OtherNode)> {
    let (link, other) = tokio::join!(links.get(address), OtherNode::accept(listener));
    let link = link.map_err(|failure| anyhow::anyhow!("{failure:?}"))?;
    Ok((link.expect("the node supports links"), other?))
}

/// Guards against replies that are matched by their order, and against a second copy of a reply that
/// is taken for the reply to the next request.
#[tokio::test]
async fn replies_belong_to_their_requests() -> anyhow::Result<()> {
    let (listener, address) = listener().await?;
    let links = Links::default();
    let (link, mut other) = open(&links, &listener, address).await?;
    let play = async {
        let (first, _) = other.read_request().await?;
        let (second, _) = other.read_request().await?;
        other.reply(second, "second").await?;
        other.reply(second, "copy").await?;
        other.reply(first, "first").await?;
        other.reply(second, "late copy").await?;
        let (third, _) = other.read_request().await?;
        other.reply(first, "later copy").await?;
        other.reply(third, "third").await?;
        anyhow::Ok(other)
    };
    let call = async {
        let (first, second) =
            tokio::join!(link.call(request("a", true)), link.call(request("b", false)));
        (first, second, link.call(request("c", true)).await)
    };
    let (played, (first, second, third)) = tokio::join!(play, call);
    let _other = played?;
    assert_eq!(first, Ok(reply("first")));
    assert_eq!(second, Ok(reply("second")));
    assert_eq!(third, Ok(reply("third")));
    Ok(())
}

/// Guards against a request that goes on at the other node after its caller has gone.
#[tokio::test]
async fn a_dropped_request_is_cancelled() -> anyhow::Result<()> {
    let (listener, address) = listener().await?;
    let links = Links::default();
    let (link, mut other) = open(&links, &listener, address).await?;
    let called = timeout(Duration::from_millis(50), link.call(request("a", true))).await;
    assert!(called.is_err());
    let (call, _) = other.read_request().await?;
    let frame = other.read().await?;
    assert_eq!(frame, LinkFrame { call, content: Some(Content::Cancel(LinkSignal {})) });
    Ok(())
}

/// Guards against reporting a request as not run after it was sent, and against reporting it as
/// possibly run after the other node has stated that it does not run it.
#[tokio::test]
async fn a_closed_link_tells_which_requests_have_not_run() -> anyhow::Result<()> {
    let (listener, address) = listener().await?;
    let links = Links::default();
    let (link, mut other) = open(&links, &listener, address).await?;
    // The other node closes the link when the future ends.
    let play = async move {
        let (first, _) = other.read_request().await?;
        let (second, _) = other.read_request().await?;
        let (third, _) = other.read_request().await?;
        assert!(first < second && second < third);
        other.send(second, Content::Closing(LinkSignal {})).await?;
        other.reply(first, "first").await
    };
    let calls = ["a", "b", "c"].map(|id| link.call(request(id, false)));
    let (played, replies) = tokio::join!(play, futures::future::join_all(calls));
    played?;
    assert_eq!(replies[0], Ok(reply("first")));
    assert!(matches!(&replies[1], Err(LinkFailure::Lost(_))), "{:?}", replies[1]);
    assert!(matches!(&replies[2], Err(LinkFailure::NotSent(_))), "{:?}", replies[2]);
    let refused = link.call(request("d", true)).await;
    assert!(matches!(refused, Err(LinkFailure::NotSent(_))), "{refused:?}");
    Ok(())
}

/// Guards against giving up work of a machine that is only silent for a while: what must not run twice
/// keeps waiting and gets its answer, and what may run again is free for another attempt.
#[tokio::test]
async fn a_paused_node_still_answers_what_must_not_run_twice() -> anyhow::Result<()> {
    let (listener, address) = listener().await?;
    let links = Links::default();
    let (link, mut other) = open(&links, &listener, address).await?;
    let play = async {
        let (first, _) = other.read_request().await?;
        let (second, _) = other.read_request().await?;
        sleep(SILENCE).await;
        other.reply(first, "first").await?;
        other.reply(second, "second").await?;
        anyhow::Ok(other)
    };
    let (played, must_not_repeat, may_repeat) =
        tokio::join!(play, link.call(request("a", false)), link.call(request("b", true)));
    let _other = played?;
    assert_eq!(must_not_repeat, Ok(reply("first")));
    assert!(matches!(&may_repeat, Err(LinkFailure::Lost(_))), "{may_repeat:?}");
    Ok(())
}

/// Guards against giving up work of a paused node because of a large request behind it: a limit for
/// unacknowledged bytes also ends a connection whose other end does not read.
#[tokio::test]
async fn a_paused_node_still_answers_before_a_large_request() -> anyhow::Result<()> {
    let (listener, address) = listener().await?;
    let links = Links::default();
    let (link, mut other) = open(&links, &listener, address).await?;
    let play = async {
        sleep(SILENCE).await;
        let (first, _) = other.read_request().await?;
        other.reply(first, "first").await?;
        let (second, _) = other.read_request().await?;
        other.reply(second, "second").await?;
        anyhow::Ok(other)
    };
    let body = Bytes::from(vec![b'b'; LARGE_BODY_BYTES]);
    let large = ForwardRequest { body, ..request("b", false) };
    let (played, first, second) =
        tokio::join!(play, link.call(request("a", false)), link.call(large));
    assert_eq!(first, Ok(reply("first")));
    assert_eq!(second, Ok(reply("second")));
    let _other = played?;
    Ok(())
}

/// Guards against sending a request that must not run twice on a connection that has gone silent
/// while it was idle.
#[tokio::test]
async fn an_idle_link_is_probed_and_replaced() -> anyhow::Result<()> {
    let (listener, address) = listener().await?;
    let links = Links::default();
    let (_, _silent) = open(&links, &listener, address).await?;
    sleep(SILENCE).await;
    let play = async {
        let mut other = OtherNode::accept(&listener).await?;
        let (call, _) = other.read_request().await?;
        other.reply(call, "answered").await?;
        anyhow::Ok(other)
    };
    let call = async {
        match links.get_probed(address).await {
            Ok(link) => link.expect("the node supports links").call(request("a", false)).await,
            Err(failure) => Err(failure),
        }
    };
    let (played, answered) = tokio::join!(play, call);
    let _other = played?;
    assert_eq!(answered, Ok(reply("answered")));
    Ok(())
}

/// Guards against failed requests in a fleet under upgrade: a node of an earlier build closes the
/// connection, and is sent gRPC calls.
#[tokio::test]
async fn a_node_without_links_is_recognised() -> anyhow::Result<()> {
    let (listener, address) = listener().await?;
    let links = Links::default();
    let close = async {
        let (mut stream, _) = listener.accept().await?;
        let mut preamble = [0; PREAMBLE.len()];
        stream.read_exact(&mut preamble).await?;
        anyhow::Ok(())
    };
    let (link, closed) = tokio::join!(links.get(address), close);
    closed?;
    assert!(matches!(link, Ok(None)), "{link:?}");
    drop(listener);
    // The answer is remembered: no further connection is tried at once.
    assert!(matches!(links.get(address).await, Ok(None)));
    Ok(())
}

/// Guards against reporting a request as possibly run although no connection could be made.
#[tokio::test]
async fn a_refused_connection_means_not_sent() -> anyhow::Result<()> {
    let (listener, address) = listener().await?;
    drop(listener);
    let link = Links::default().get(address).await;
    assert!(matches!(link, Err(LinkFailure::NotSent(_))), "{link:?}");
    Ok(())
}

/// Guards against requests that wait one after the other for a machine that does not answer: the last
/// of ten would wait for five seconds.
#[tokio::test]
async fn requests_share_the_failure_of_a_connection() -> anyhow::Result<()> {
    // The kernel accepts the connections; nobody answers on them.
    let (_listener, address) = listener().await?;
    let links = Links::default();
    let began = std::time::Instant::now();
    let attempts = futures::future::join_all((0..10).map(|_| links.get(address))).await;
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    for attempt in attempts {
        assert!(matches!(attempt, Err(LinkFailure::NotSent(_))), "{attempt:?}");
    }
    Ok(())
}

/// Guards against a malformed frame that takes more than its link down, and against waiting for the
/// replies of such a link.
#[tokio::test]
async fn a_malformed_frame_ends_the_link_only() -> anyhow::Result<()> {
    let (listener, address) = listener().await?;
    let links = Links::default();
    let (link, mut other) = open(&links, &listener, address).await?;
    let play = async {
        other.read_request().await?;
        other.0.send(Bytes::from_static(&[0xff; 16])).await?;
        anyhow::Ok(())
    };
    let (played, answer) = tokio::join!(play, link.call(request("a", false)));
    played?;
    assert!(matches!(&answer, Err(LinkFailure::Lost(_))), "{answer:?}");
    let (_, mut other) = open(&links, &listener, address).await?;
    other.send(0, Content::Pong(LinkSignal {})).await?;
    Ok(())
}

/// Guards against links that are left behind when a node stops.
#[tokio::test]
async fn closing_joins_all_links() -> anyhow::Result<()> {
    let (listener, address) = listener().await?;
    let links = Links::default();
    let (link, _other) = open(&links, &listener, address).await?;
    let call = tokio::spawn(async move { link.call(request("a", false)).await });
    sleep(Duration::from_millis(50)).await;
    timeout(TIMEOUT, links.close()).await?;
    assert!(matches!(call.await?, Err(LinkFailure::Lost(_))));
    Ok(())
}

/// What the other node says on a new link about a request whose link has failed.
#[derive(Debug, Clone, Copy)]
enum Resumption {
    Reply,
    RunsThenReply,
    State(ResumeState),
    /// As an earlier build, which does not know the question.
    Nothing,
}

/// Loses the link of a request that must not run twice, and returns what becomes of the request.
async fn ask_on_a_new_link(resumption: Resumption) -> anyhow::Result<Result<String, LinkFailure>> {
    let (listener, address) = listener().await?;
    let links = Arc::new(Links::default());
    let (link, first) = tokio::join!(links.get(address), OtherNode::accept(&listener));
    let (link, mut first) = (link.expect("a link").expect("a node with links"), first?);
    let (caller, on) = (links.clone(), link.clone());
    let called = tokio::spawn(async move { caller.call_once(&on, request("a", false)).await });
    let (call, sent) = first.read_request().await?;
    assert_ne!(sent.link, 0);
    drop(first);
    let mut others = Vec::new();
    while !called.is_finished() {
        let Ok(accepted) = timeout(SILENCE, OtherNode::accept(&listener)).await else { continue };
        let mut other = accepted?;
        let asked = other.read().await?;
        assert_eq!(asked.content, Some(Content::Resume(LinkResume { link: sent.link, call })));
        let state =
            |state: ResumeState| Content::ResumeState(LinkResumeState { state: i32::from(state) });
        match resumption {
            Resumption::Reply => other.reply(asked.call, "whole").await?,
            Resumption::RunsThenReply => {
                other.send(asked.call, state(ResumeState::Running)).await?;
                sleep(Duration::from_millis(600)).await;
                other.reply(asked.call, "whole").await?;
            }
            Resumption::State(value) => other.send(asked.call, state(value)).await?,
            Resumption::Nothing => sleep(Duration::from_millis(400)).await,
        }
        sleep(Duration::from_millis(50)).await;
        // Without an answer, the link stays open, and is asked again.
        others.push(other);
        if matches!(resumption, Resumption::Nothing) {
            break;
        }
    }
    let ended = timeout(TIMEOUT, called).await??;
    links.close().await;
    Ok(ended.map(|reply| reply.detail))
}

macro_rules! resumed {
    ($($name:ident($resumption:expr, $expected:pat)),+ $(,)?) => {
        $(
            #[tokio::test]
            async fn $name() -> anyhow::Result<()> {
                let ended = ask_on_a_new_link($resumption).await?;
                match &ended {
                    $expected => Ok(()),
                    _ => anyhow::bail!("{ended:?}"),
                }
            }
        )+
    };
}

// Guard against replies that are lost with their link, and against requests that are taken for not run
// although nobody has said so.
resumed! {
    a_reply_is_asked_for_on_a_new_link(Resumption::Reply, Ok(_)),
    a_running_request_is_awaited_on_a_new_link(Resumption::RunsThenReply, Ok(_)),
    a_request_that_never_arrived_is_not_sent(
        Resumption::State(ResumeState::NotRun), Err(LinkFailure::NotSent(_))
    ),
    a_request_that_nobody_knows_is_lost(
        Resumption::State(ResumeState::Unknown), Err(LinkFailure::Lost(_))
    ),
    an_earlier_build_does_not_answer_the_question(Resumption::Nothing, Err(LinkFailure::Lost(_))),
}
