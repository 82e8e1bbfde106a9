//! A request as the nodes handle it: its context, its outcome and its headers on the wire.

mod context;
pub mod headers;
mod outcome;

pub use context::{CallContext, ContextError, ContextSigner};
pub use outcome::{
    Answer, Dispatch, Forwarding, NotRun, Outcome, Reason, RefusalBody, Undispatched, Unknown,
    Unsent, answer_digest, final_status,
};
