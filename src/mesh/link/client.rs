//! The opening end of links: requests to other nodes and their replies.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use rustix::net::sockopt;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpStream, tcp::OwnedWriteHalf},
    sync::{Notify, mpsc, oneshot},
    time::{sleep, timeout},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    memory::MemoryBudget,
    mesh::{
        link::{
            PREAMBLE, frame,
            frames::FrameReader,
            outbox::{Outbox, Position},
            resume::LinkId,
            signal,
        },
        proto::{
            ForwardReply, ForwardRequest, LinkFrame, LinkResume, ResumeState, link_frame::Content,
        },
    },
    peers::MAX_MESSAGE_BYTES,
    tcp,
};

/// Time for the connection and the first bytes of the other node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which unacknowledged bytes end a connection. A process that is paused does not end it,
/// since its machine still acknowledges them, unless a large frame has filled the window.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a frame, while replies are awaited, after which a link is pinged.
const PING_AFTER: Duration = Duration::from_millis(250);
/// Time without an answer to a ping after which the other node is asked on a new connection. If it answers
/// there, the link counts as silent; if not, the node may only be slow.
const PONG_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without a frame, while replies are awaited, after which the link counts as silent in any case.
const SILENT_AFTER: Duration = Duration::from_secs(1);
/// Time without a frame after which a link is probed before a request that must not run twice.
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Attempts to ask on a new link for the reply to a request, the time in which the other node must say that
/// it knows about it, and the pause between two of them.
const RESUME_ATTEMPTS: usize = 3;
const RESUME_TIMEOUT: Duration = Duration::from_millis(300);
const RESUME_PAUSE: Duration = Duration::from_millis(100);
/// Time without a request after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a node that does not support links is sent gRPC calls.
const UNSUPPORTED_PERIOD: Duration = Duration::from_secs(10);
/// Queued bytes above which a link takes no further requests: the other node does not read.
const MAX_QUEUED_BYTES: u64 = 1 << 20;

/// Why a request on a link has no reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkFailure {
    /// No byte of the request was sent, or the other node has stated that it will not run it.
    NotSent(String),
    /// The link failed after the request had been sent.
    Lost(String),
}

/// Links of this node to other nodes, opened on first use.
#[derive(Debug)]
pub struct Links {
    slots: Mutex<HashMap<SocketAddr, Arc<Slot>>>,
    tasks: TaskTracker,
    stop: CancellationToken,
    /// Memory of large replies.
    memory: Arc<MemoryBudget>,
}

impl Default for Links {
    fn default() -> Self {
        Self::new(Arc::new(MemoryBudget::new(MAX_MESSAGE_BYTES)))
    }
}

/// The link to one address.
#[derive(Debug, Default)]
struct Slot {
    link: ArcSwapOption<Link>,
    /// Held while a link is opened.
    opening: tokio::sync::Mutex<Opening>,
}

/// Results of earlier attempts to open a link to an address.
#[derive(Debug, Default)]
struct Opening {
    /// End of the time in which the node counts as one that does not support links.
    unsupported_until: Option<Instant>,
    /// End and failure of the last attempt.
    failed: Option<(Instant, LinkFailure)>,
}

impl Links {
    /// Creates links that reserve large replies in `memory`.
    pub fn new(memory: Arc<MemoryBudget>) -> Self {
        let (slots, tasks, stop) = Default::default();
        Self { slots, tasks, stop, memory }
    }

    /// Returns the link to an address; `None` if the node there does not support links.
    pub async fn get(&self, address: SocketAddr) -> Result<Option<Arc<Link>>, LinkFailure> {
        let slot = self.slots.lock().entry(address).or_default().clone();
        if let Some(link) = slot.open_link() {
            return Ok(Some(link));
        }
        let waiting_since = Instant::now();
        let mut opening = slot.opening.lock().await;
        if let Some(link) = slot.open_link() {
            return Ok(Some(link));
        }
        if opening.unsupported_until.is_some_and(|until| Instant::now() < until) {
            return Ok(None);
        }
        // Requests that waited for the same attempt share its failure. If each made an attempt of its
        // own, the last of ten would wait for five seconds.
        if let Some((failed_at, failure)) = &opening.failed
            && *failed_at >= waiting_since
        {
            return Err(failure.clone());
        }
        let failure = match timeout(CONNECT_TIMEOUT, open(address)).await {
            Ok(Ok(stream)) => {
                let link = Arc::new(Link::new(address));
                slot.link.store(Some(link.clone()));
                let (stop, running) = (self.stop.clone(), link.clone());
                let memory = self.memory.clone();
                self.tasks.spawn(async move { running.run(stream, stop, memory).await });
                return Ok(Some(link));
            }
            Ok(Err(error)) if error.kind() == io::ErrorKind::UnexpectedEof => {
                opening.unsupported_until = Some(Instant::now() + UNSUPPORTED_PERIOD);
                return Ok(None);
            }
            Ok(Err(error)) => LinkFailure::NotSent(format!("no link to {address}: {error}")),
            Err(_) => {
                LinkFailure::NotSent(format!("no link to {address} within {CONNECT_TIMEOUT:?}"))
            }
        };
        opening.failed = Some((Instant::now(), failure.clone()));
        Err(failure)
    }

    /// Returns a link for a request that must not run twice: one without a recent frame is probed
    /// first, and replaced if it does not answer.
    pub async fn get_probed(&self, address: SocketAddr) -> Result<Option<Arc<Link>>, LinkFailure> {
        let Some(link) = self.get(address).await? else { return Ok(None) };
        if link.has_answered_recently() || link.probe().await {
            return Ok(Some(link));
        }
        link.retire();
        self.get(address).await
    }

    /// Sends a request that must not run twice on a link, and waits for its reply. If the link goes silent or
    /// fails, the reply is asked for on a new one.
    pub async fn call_once(
        &self,
        link: &Link,
        request: ForwardRequest,
    ) -> Result<ForwardReply, LinkFailure> {
        let mut pending = link.start(request)?;
        let call = pending.call;
        tokio::select! {
            reply = &mut pending.reply => {
                return self.reply_or_resume(link, call, flatten(reply)).await;
            }
            () = link.silenced.cancelled() => {}
        }
        // The process may only be paused, and its reply may still arrive on the silent link.
        tokio::select! {
            biased;
            reply = &mut pending.reply => {
                self.reply_or_resume(link, call, flatten(reply)).await
            }
            Some(reply) = self.resume(link, call) => reply,
        }
    }

    /// Returns the result of a request, unless it was lost with its link and can be asked for on a new one.
    async fn reply_or_resume(
        &self,
        link: &Link,
        call: u64,
        reply: Result<ForwardReply, LinkFailure>,
    ) -> Result<ForwardReply, LinkFailure> {
        match reply {
            Err(LinkFailure::Lost(detail)) => {
                let resumed = self.resume(link, call).await;
                resumed.unwrap_or(Err(LinkFailure::Lost(detail)))
            }
            known => known,
        }
    }

    /// Asks on a new link for the reply to a request; `None` if the other node does not know of it, or does
    /// not answer.
    async fn resume(&self, link: &Link, call: u64) -> Option<Result<ForwardReply, LinkFailure>> {
        for attempt in 0..RESUME_ATTEMPTS {
            if attempt > 0 {
                sleep(RESUME_PAUSE).await;
            }
            let Ok(Some(other)) = self.get(link.address).await else { continue };
            match other.resume(LinkResume { link: link.id, call }).await {
                Resumed::Reply(reply) => return Some(Ok(*reply)),
                Resumed::NotRun => {
                    let detail = "the other node has not received the request".to_owned();
                    return Some(Err(LinkFailure::NotSent(detail)));
                }
                Resumed::Unknown => return None,
                Resumed::NoAnswer => {}
            }
        }
        None
    }

    /// Closes the links to addresses for which `keep` returns false, once their requests have ended.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.slots.lock().retain(|address, slot| {
            let is_kept = keep(address);
            if let Some(link) = slot.link.load_full().filter(|_| !is_kept) {
                link.retire();
            }
            is_kept
        });
    }

    /// Closes all links and waits for their tasks.
    pub async fn close(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl Slot {
    fn open_link(&self) -> Option<Arc<Link>> {
        self.link.load_full().filter(|link| !link.state.lock().is_retired)
    }
}

async fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = tcp::connect(address).await?;
    let user_timeout_ms = u32::try_from(UNACKNOWLEDGED_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(&stream, user_timeout_ms)?;
    stream.write_all(&PREAMBLE).await?;
    let mut answer = [0; PREAMBLE.len()];
    let answered = stream.read_exact(&mut answer).await;
    // A node without links closes the connection: the preamble is not that of HTTP/2.
    let is_link = answered.is_ok() && answer == PREAMBLE;
    is_link.then_some(stream).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// A link to another node.
#[derive(Debug)]
pub struct Link {
    id: LinkId,
    address: SocketAddr,
    /// Cancelled when the link counts as silent.
    silenced: CancellationToken,
    outbox: Outbox,
    state: Mutex<State>,
    /// Notified when the first request is added to an idle link, and when the link is retired.
    activated: Notify,
}

#[derive(Debug)]
struct State {
    /// Number of the last request.
    last_call: u64,
    calls: HashMap<u64, PendingCall>,
    probes: Vec<oneshot::Sender<()>>,
    /// The link takes no further requests.
    is_retired: bool,
    /// When the last frame was read, or `calls` was last empty if that is later.
    heard_at: Instant,
    /// When the link was pinged, if no frame was read since.
    pinged_at: Option<Instant>,
}

#[derive(Debug)]
struct PendingCall {
    reply: oneshot::Sender<Result<ForwardReply, LinkFailure>>,
    position: Position,
    is_idempotent: bool,
    /// Receives the states of a request of another link whose reply is asked for.
    states: Option<mpsc::UnboundedSender<ResumeState>>,
}

/// A request that was sent, or the question for the reply to one.
struct SentCall<'a> {
    call: u64,
    reply: oneshot::Receiver<Result<ForwardReply, LinkFailure>>,
    _cancel_guard: CancelGuard<'a>,
}

/// Answer to the question for the reply to a request of another link.
enum Resumed {
    Reply(Box<ForwardReply>),
    NotRun,
    Unknown,
    NoAnswer,
}

fn flatten(
    reply: Result<Result<ForwardReply, LinkFailure>, oneshot::error::RecvError>,
) -> Result<ForwardReply, LinkFailure> {
    reply.unwrap_or_else(|_| Err(LinkFailure::Lost("the link has ended".to_owned())))
}

/// Cancels a request at the other node if it is dropped before the reply has arrived.
struct CancelGuard<'a> {
    link: &'a Link,
    call: u64,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        let is_pending = self.link.state.lock().calls.remove(&self.call).is_some();
        if is_pending {
            self.link.outbox.push(signal(self.call, Content::Cancel));
        }
    }
}

impl Link {
    fn new(address: SocketAddr) -> Self {
        let state = State {
            last_call: 0,
            calls: HashMap::new(),
            probes: Vec::new(),
            is_retired: false,
            heard_at: Instant::now(),
            pinged_at: None,
        };
        Self {
            // Requests with the number 0 cannot be asked for.
            id: rand::random::<LinkId>().max(1),
            address,
            silenced: CancellationToken::new(),
            outbox: Outbox::default(),
            state: Mutex::new(state),
            activated: Notify::new(),
        }
    }

    /// Sends a request and waits for its reply. Dropping the future cancels the request.
    pub async fn call(&self, request: ForwardRequest) -> Result<ForwardReply, LinkFailure> {
        flatten(self.start(request)?.reply.await)
    }

    fn start(&self, mut request: ForwardRequest) -> Result<SentCall<'_>, LinkFailure> {
        let is_idempotent = request.idempotent;
        request.link = if is_idempotent { 0 } else { self.id };
        self.push_call(Content::Request(request), is_idempotent, None)
    }

    /// Asks for the reply to a request of another link.
    async fn resume(&self, resume: LinkResume) -> Resumed {
        let (sender, mut states) = mpsc::unbounded_channel();
        let Ok(mut asked) = self.push_call(Content::Resume(resume), false, Some(sender)) else {
            return Resumed::NoAnswer;
        };
        // An earlier build does not answer.
        let mut answer_timeout = pin!(sleep(RESUME_TIMEOUT));
        let mut is_answered = false;
        loop {
            tokio::select! {
                biased;
                reply = &mut asked.reply => return match flatten(reply) {
                    Ok(reply) => Resumed::Reply(Box::new(reply)),
                    Err(_) => Resumed::NoAnswer,
                },
                Some(state) = states.recv() => match state {
                    ResumeState::Running => is_answered = true,
                    ResumeState::NotRun => return Resumed::NotRun,
                    ResumeState::Unknown => return Resumed::Unknown,
                },
                () = &mut answer_timeout, if !is_answered => return Resumed::NoAnswer,
            }
        }
    }

    fn push_call(
        &self,
        content: Content,
        is_idempotent: bool,
        states: Option<mpsc::UnboundedSender<ResumeState>>,
    ) -> Result<SentCall<'_>, LinkFailure> {
        if self.outbox.queued_bytes() > MAX_QUEUED_BYTES {
            let detail = "the other node does not read its requests".to_owned();
            return Err(LinkFailure::NotSent(detail));
        }
        let (sender, reply) = oneshot::channel();
        let call = {
            let mut state = self.state.lock();
            if state.is_retired {
                return Err(LinkFailure::NotSent("the link is being closed".to_owned()));
            }
            if state.calls.is_empty() {
                state.heard_at = Instant::now();
                state.pinged_at = None;
                self.activated.notify_one();
            }
            state.last_call += 1;
            let call = state.last_call;
            // Pushed under the lock, so that the numbers increase on the wire.
            let position = self.outbox.push(frame(call, content));
            let pending = PendingCall { reply: sender, position, is_idempotent, states };
            state.calls.insert(call, pending);
            call
        };
        Ok(SentCall { call, reply, _cancel_guard: CancelGuard { link: self, call } })
    }

    fn has_answered_recently(&self) -> bool {
        self.state.lock().heard_at.elapsed() < PROBE_AFTER
    }

    /// Pings the other node; returns whether it has answered in time.
    async fn probe(&self) -> bool {
        let (sender, answered) = oneshot::channel();
        self.state.lock().probes.push(sender);
        self.outbox.push(signal(0, Content::Ping));
        matches!(timeout(PROBE_TIMEOUT, answered).await, Ok(Ok(())))
    }

    /// Takes no further requests; the link ends when its requests have ended.
    fn retire(&self) {
        self.state.lock().is_retired = true;
        self.activated.notify_one();
    }

    /// Runs the link until it fails, is no longer used, or `stop` is cancelled.
    async fn run(&self, stream: TcpStream, stop: CancellationToken, memory: Arc<MemoryBudget>) {
        let (reader, mut writer) = stream.into_split();
        let detail = tokio::select! {
            biased;
            result = self.read_replies(FrameReader::new(reader, memory)) => match result {
                Ok(()) => "the other node has closed the link".to_owned(),
                Err(error) => format!("reading from the link failed: {error}"),
            },
            error = self.outbox.write_to(&mut writer) => {
                format!("writing to the link failed: {error}")
            }
            () = self.monitor() => "the link is not used".to_owned(),
            () = stop.cancelled() => "the node is stopping".to_owned(),
        };
        self.fail(&detail);
        close_gracefully(writer).await;
    }

    async fn read_replies(&self, mut reader: FrameReader) -> io::Result<()> {
        while let Some(LinkFrame { call, content }) = reader.next().await? {
            let mut state = self.state.lock();
            state.heard_at = Instant::now();
            state.pinged_at = None;
            match content {
                Some(Content::Reply(reply)) => {
                    if let Some(pending) = state.calls.remove(&call) {
                        // The receiver exists as long as the call is pending.
                        let _ = pending.reply.send(Ok(reply));
                    }
                }
                Some(Content::Pong(_)) => {
                    for probe in state.probes.drain(..) {
                        // The probe may have timed out.
                        let _ = probe.send(());
                    }
                }
                Some(Content::Closing(_)) => {
                    state.is_retired = true;
                    let detail = "the other node is stopping";
                    state.end_calls(
                        |number, _| number > call,
                        |_| LinkFailure::NotSent(detail.to_owned()),
                    );
                }
                Some(Content::ResumeState(resumed)) => {
                    let states = state.calls.get(&call).and_then(|it| it.states.as_ref());
                    if let Some(states) = states {
                        // The receiver exists as long as the call is pending.
                        let _ = states.send(resumed.state());
                    }
                }
                // Frames of the other direction, or of a later version.
                Some(
                    Content::Request(_)
                    | Content::Cancel(_)
                    | Content::Ping(_)
                    | Content::Resume(_),
                )
                | None => {}
            }
        }
        Ok(())
    }

    /// Pings the other node while replies are awaited, and retires a silent link. Returns when the
    /// link has been idle for [`IDLE_TIMEOUT`], or is retired and its calls have ended.
    async fn monitor(&self) {
        loop {
            let (is_idle, is_retired, silence, pinged_at) = {
                let state = self.state.lock();
                let silence = state.heard_at.elapsed();
                (state.calls.is_empty(), state.is_retired, silence, state.pinged_at)
            };
            if is_idle && is_retired {
                return;
            }
            if is_idle {
                let is_activated = timeout(IDLE_TIMEOUT, self.activated.notified()).await.is_ok();
                let mut state = self.state.lock();
                if state.calls.is_empty() && (state.is_retired || !is_activated) {
                    state.is_retired = true;
                    return;
                }
                continue;
            }
            let is_unanswered = pinged_at.is_some_and(|at| at.elapsed() >= PONG_TIMEOUT);
            if silence >= SILENT_AFTER {
                self.give_up_idempotent_calls();
            } else if is_unanswered && !is_retired {
                let is_reachable =
                    matches!(timeout(PONG_TIMEOUT, open(self.address)).await, Ok(Ok(_)));
                if is_reachable && self.state.lock().pinged_at == pinged_at {
                    self.give_up_idempotent_calls();
                }
            } else if silence >= PING_AFTER && pinged_at.is_none() {
                self.state.lock().pinged_at = Some(Instant::now());
                self.outbox.push(signal(0, Content::Ping));
            }
            sleep(PING_AFTER / 2).await;
        }
    }

    /// Retires a silent link and fails its idempotent requests, which may be tried elsewhere. Other
    /// requests go on waiting, since the process may only be paused, while their replies are asked for on a
    /// new link.
    fn give_up_idempotent_calls(&self) {
        let mut state = self.state.lock();
        state.is_retired = true;
        state.end_calls(
            |_, pending| pending.is_idempotent,
            |_| LinkFailure::Lost("the link has gone silent".to_owned()),
        );
        self.silenced.cancel();
    }

    /// Ends all pending requests after the link has failed.
    fn fail(&self, detail: &str) {
        let written = self.outbox.written();
        let mut state = self.state.lock();
        state.is_retired = true;
        state.probes.clear();
        state.end_calls(
            |_, _| true,
            |pending| match pending.position >= written {
                true => LinkFailure::NotSent(detail.to_owned()),
                false => LinkFailure::Lost(detail.to_owned()),
            },
        );
    }
}

impl State {
    /// Ends the pending calls that `is_ended` selects.
    fn end_calls(
        &mut self,
        is_ended: impl Fn(u64, &PendingCall) -> bool,
        failure: impl Fn(&PendingCall) -> LinkFailure,
    ) {
        for (_, pending) in self.calls.extract_if(|number, pending| is_ended(*number, pending)) {
            let failure = failure(&pending);
            // The receiver exists as long as the call is pending.
            let _ = pending.reply.send(Err(failure));
        }
    }
}

/// Ends the outgoing direction. The connection may have failed already.
async fn close_gracefully(mut writer: OwnedWriteHalf) {
    let _ = writer.shutdown().await;
}
