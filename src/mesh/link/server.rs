//! The accepting end of links: requests of other nodes for the local upstream.

use std::{collections::HashMap, io, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    task::{AbortHandle, JoinError, JoinSet},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

use crate::{
    call::{Outcome, Reason, Unknown},
    http_server::{
        intake::{Activity, Ticket},
        linger,
    },
    mesh::{
        Dialect, GuardResult, Node,
        link::{
            PREAMBLE, frame,
            frames::FrameReader,
            outbox::Outbox,
            resume::{ServedCall, ServedLink},
            signal,
        },
        peer_service,
        proto::{ForwardRequest, LinkFrame, link_frame::Content},
    },
};

/// Time for the first bytes of the other node.
const PREAMBLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for writing the last replies before the link is closed.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Bytes of replies that the other node has not read, above which its frames are not read either.
const MAX_UNREAD_REPLY_BYTES: u64 = 2 << 20;
/// Requests that run or wait here, above which no further frames are read.
const MAX_RUNNING: usize = 4096;
/// Time after which a link is closed whose replies are not read. It is longer than pauses of a process
/// that other nodes tolerate.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Serves a link until the other node closes it. After `shutdown`, it takes no further requests and
/// ends when the running ones have been answered.
pub async fn serve<D: Dialect>(
    node: Arc<Node<D>>,
    mut stream: TcpStream,
    ticket: &Ticket,
    shutdown: CancellationToken,
) -> io::Result<()> {
    let mut preamble = [0; PREAMBLE.len()];
    match timeout(PREAMBLE_TIMEOUT, stream.read_exact(&mut preamble)).await {
        Ok(read) => read?,
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    if preamble != PREAMBLE {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "unknown version of the protocol"));
    }
    stream.write_all(&PREAMBLE).await?;
    let (reader, mut writer) = stream.into_split();
    let mut reader = FrameReader::new(reader, node.guard.memory().clone());
    let outbox = Arc::new(Outbox::default());
    let mut calls = Calls {
        node,
        outbox: outbox.clone(),
        tasks: JoinSet::new(),
        running: HashMap::new(),
        last_call: 0,
        served: None,
        is_closing: false,
    };
    {
        let write = outbox.write_to(&mut writer);
        tokio::pin!(write);
        while !calls.is_closing || !calls.tasks.is_empty() {
            // A link with requests is not closed for the sake of another one.
            ticket.set_activity(match calls.tasks.is_empty() {
                true => Activity::Idle,
                false => Activity::Busy,
            });
            let is_unread = outbox.queued_bytes() > MAX_UNREAD_REPLY_BYTES;
            tokio::select! {
                biased;
                frame = reader.next(), if !is_unread && calls.tasks.len() < MAX_RUNNING => match frame? {
                    Some(frame) => calls.handle(frame),
                    None => return Ok(()),
                },
                Some(ended) = calls.tasks.join_next() => calls.remove_ended(ended),
                error = &mut write => return Err(error),
                read = timeout(UNREAD_TIMEOUT, outbox.wait_until_empty()), if is_unread => {
                    if read.is_err() {
                        log::warn!(
                            unread_bytes = outbox.queued_bytes(), running = calls.tasks.len();
                            "another node does not read its replies; closing its link"
                        );
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                }
                () = shutdown.cancelled(), if !calls.is_closing => calls.begin_closing(),
            }
        }
        tokio::select! {
            error = &mut write => return Err(error),
            // If it takes longer, the other node does not read.
            _ = timeout(FLUSH_TIMEOUT, outbox.wait_until_empty()) => {}
        }
    }
    writer.shutdown().await?;
    linger::discard_input(&mut reader.into_inner()).await;
    Ok(())
}

/// The other node has been told on another link that the request does not run.
struct TakenOver;

/// Requests of a link that run at the local upstream.
struct Calls<D: Dialect> {
    node: Arc<Node<D>>,
    outbox: Arc<Outbox>,
    /// Tasks of the requests; each returns the number of its request.
    tasks: JoinSet<u64>,
    running: HashMap<u64, AbortHandle>,
    /// Number of the last request that was started.
    last_call: u64,
    /// The link in the list of the node, from its first request on that must not run twice.
    served: Option<Arc<ServedLink>>,
    is_closing: bool,
}

impl<D: Dialect> Drop for Calls<D> {
    fn drop(&mut self) {
        if let Some(served) = &self.served {
            served.end();
        }
    }
}

impl<D: Dialect> Calls<D> {
    fn handle(&mut self, LinkFrame { call, content }: LinkFrame) {
        match content {
            // A request after the start of the closing gets no reply: `closing` has told the other
            // node that it does not run.
            Some(Content::Request(request)) if !self.is_closing => self.start(call, request),
            Some(Content::Cancel(_)) => {
                if let Some(task) = self.running.remove(&call) {
                    task.abort();
                }
            }
            Some(Content::Resume(resume)) => {
                self.last_call = call;
                self.node.served_links.resume(resume.link, resume.call, call, &self.outbox);
            }
            Some(Content::Ping(_)) => drop(self.outbox.push(signal(call, Content::Pong))),
            // Frames of the other direction, or of a later version.
            _ => {}
        }
    }

    fn start(&mut self, call: u64, request: ForwardRequest) {
        self.last_call = call;
        let Ok(served) = self.begin_served(call, &request) else { return };
        let (node, outbox) = (self.node.clone(), self.outbox.clone());
        let task = self.tasks.spawn(async move {
            let reply = peer_service::answer_forwarded(&node, request).await;
            if let Some(served) = served {
                served.end(&reply);
            }
            outbox.push(frame(call, Content::Reply(reply)));
            call
        });
        self.running.insert(call, task);
    }

    /// Records the start of a request that must not run twice; fails if it must not run at all.
    fn begin_served(
        &mut self,
        call: u64,
        request: &ForwardRequest,
    ) -> Result<Option<ServedCall>, TakenOver> {
        if request.link == 0 || request.idempotent {
            return Ok(None);
        }
        if self.served.is_none() {
            self.served = self.node.served_links.open(request.link);
        }
        match &self.served {
            Some(served) => served.begin(call).map(Some).ok_or(TakenOver),
            None => Ok(None),
        }
    }

    fn remove_ended(&mut self, ended: Result<u64, JoinError>) {
        match ended {
            Ok(call) => drop(self.running.remove(&call)),
            Err(error) if error.is_cancelled() => {}
            Err(error) => {
                let call = self.running.iter().find(|(_, task)| task.id() == error.id());
                let Some(call) = call.map(|(call, _)| *call) else { return };
                self.running.remove(&call);
                log::error!(call = call, cause:% = error; "the task of a forwarded request failed");
                let detail = "the task of the request failed".to_owned();
                let outcome = Outcome::Unknown(Unknown { reason: Reason::PeerFailed, detail });
                let result = GuardResult::from_outcome(outcome);
                let reply = peer_service::to_reply(&self.node, "", result);
                self.outbox.push(frame(call, Content::Reply(reply)));
            }
        }
    }

    fn begin_closing(&mut self) {
        self.is_closing = true;
        self.outbox.push(signal(self.last_call, Content::Closing));
    }
}
