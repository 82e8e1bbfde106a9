//! Requests that must not run twice, as the accepting end of their link knows them: their replies can be
//! asked for on another link.
//!
//! Load pattern: open connections between two machines go silent for good, or are reset at one end, while
//! new ones work. The requests on them have run, or run, and only their replies are lost.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;

use crate::mesh::{
    link::{frame, outbox::Outbox},
    proto::{ForwardReply, LinkFrame, LinkResumeState, ResumeState, link_frame::Content},
};

/// Time for which a reply is kept, and a link after its end. The opening end asks for a reply within some
/// two seconds after the link has gone silent.
const KEPT_FOR: Duration = Duration::from_secs(4);
/// Maximum number and size of the bodies of the replies that are kept for one link.
const MAX_KEPT_REPLIES: usize = 64;
const MAX_KEPT_BYTES: usize = 64 << 10;
/// Maximum number of links that are known.
const MAX_LINKS: usize = 1024;

/// Number that the opening end of a link has drawn for it.
pub(super) type LinkId = u64;

/// Links of other nodes to this one, by their numbers.
#[derive(Debug, Default)]
pub struct ServedLinks {
    links: Mutex<HashMap<LinkId, Arc<ServedLink>>>,
}

impl ServedLinks {
    /// Returns the link with this number, a new one if it is unknown; `None` if too many are known.
    pub(super) fn open(&self, id: LinkId) -> Option<Arc<ServedLink>> {
        let mut links = self.links.lock();
        let now = Instant::now();
        links.retain(|_, link| !link.has_expired(now));
        if links.len() >= MAX_LINKS && !links.contains_key(&id) {
            return None;
        }
        Some(links.entry(id).or_default().clone())
    }

    /// Answers a request for the reply to the request `call` of the link `id`, with the number `asked` on
    /// another link.
    pub(super) fn resume(&self, id: LinkId, call: u64, asked: u64, outbox: &Arc<Outbox>) {
        let link = self.links.lock().get(&id).cloned();
        let state = match link {
            Some(link) => link.take_over(call, asked, outbox),
            // The process may have been restarted, and the earlier one may have run the request.
            None => Some(ResumeState::Unknown),
        };
        if let Some(state) = state {
            outbox.push(state_frame(asked, state));
        }
    }
}

fn state_frame(asked: u64, state: ResumeState) -> LinkFrame {
    frame(asked, Content::ResumeState(LinkResumeState { state: state.into() }))
}

/// Link on which a reply has been asked for, and the number of that request.
#[derive(Debug)]
struct Waiting {
    outbox: Arc<Outbox>,
    asked: u64,
}

#[derive(Debug)]
struct KeptReply {
    call: u64,
    reply: ForwardReply,
    kept_at: Instant,
}

#[derive(Debug, Default)]
struct ServedCalls {
    /// Number of the last request that must not run twice.
    last_call: u64,
    /// Replies were asked for on another link: requests that still arrive on this one do not run.
    is_taken_over: bool,
    running: HashMap<u64, Option<Waiting>>,
    /// Replies in the order in which they were made.
    kept: VecDeque<KeptReply>,
    kept_bytes: usize,
    ended_at: Option<Instant>,
}

/// A link of another node.
#[derive(Debug, Default)]
pub(super) struct ServedLink {
    calls: Mutex<ServedCalls>,
}

impl ServedLink {
    fn has_expired(&self, now: Instant) -> bool {
        self.calls.lock().ended_at.is_some_and(|at| now >= at + KEPT_FOR)
    }

    /// Records that the link has ended.
    pub(super) fn end(&self) {
        self.calls.lock().ended_at = Some(Instant::now());
    }

    /// Begins a request; `None` if it must not run.
    pub(super) fn begin(self: &Arc<Self>, call: u64) -> Option<ServedCall> {
        let mut calls = self.calls.lock();
        if calls.is_taken_over {
            return None;
        }
        calls.last_call = call;
        calls.running.insert(call, None);
        Some(ServedCall { link: self.clone(), call })
    }

    /// Makes the link take no further requests, and sends the reply to one of them on another link, at once
    /// or when it is there. Returns the state of the request, unless its reply has been sent.
    fn take_over(&self, call: u64, asked: u64, outbox: &Arc<Outbox>) -> Option<ResumeState> {
        let mut calls = self.calls.lock();
        calls.is_taken_over = true;
        if call > calls.last_call {
            return Some(ResumeState::NotRun);
        }
        if let Some(waiting) = calls.running.get_mut(&call) {
            *waiting = Some(Waiting { outbox: outbox.clone(), asked });
            return Some(ResumeState::Running);
        }
        let Some(kept) = calls.kept.iter().find(|kept| kept.call == call) else {
            return Some(ResumeState::Unknown);
        };
        outbox.push(frame(asked, Content::Reply(kept.reply.clone())));
        None
    }
}

impl ServedCalls {
    fn keep(&mut self, call: u64, reply: &ForwardReply) {
        let kept_at = Instant::now();
        self.kept_bytes += reply.body.len();
        self.kept.push_back(KeptReply { call, reply: reply.clone(), kept_at });
        while let Some(first) = self.kept.front() {
            let is_kept = self.kept.len() <= MAX_KEPT_REPLIES
                && self.kept_bytes <= MAX_KEPT_BYTES
                && kept_at < first.kept_at + KEPT_FOR;
            if is_kept {
                break;
            }
            self.kept_bytes -= first.reply.body.len();
            self.kept.pop_front();
        }
    }
}

/// A request that must not run twice, from its start to its reply.
#[derive(Debug)]
pub(super) struct ServedCall {
    link: Arc<ServedLink>,
    call: u64,
}

impl ServedCall {
    /// Keeps the reply, and sends it on the link on which it has been asked for.
    pub(super) fn end(self, reply: &ForwardReply) {
        let mut calls = self.link.calls.lock();
        calls.keep(self.call, reply);
        if let Some(Some(waiting)) = calls.running.remove(&self.call) {
            waiting.outbox.push(frame(waiting.asked, Content::Reply(reply.clone())));
        }
    }
}

impl Drop for ServedCall {
    /// Tells that there will be no reply if the request was cancelled.
    fn drop(&mut self) {
        let waiting = self.link.calls.lock().running.remove(&self.call).flatten();
        if let Some(waiting) = waiting {
            waiting.outbox.push(state_frame(waiting.asked, ResumeState::Unknown));
        }
    }
}
