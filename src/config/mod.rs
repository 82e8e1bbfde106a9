//! The operators' configuration: organisations, keys, classes, services and routes.

mod change;
mod compiled;
mod difference;
mod document;
mod keys;
mod pull;

pub use change::{
    Change, ChangeError, Decision, Edit, MAX_RECENT_CHANGES, RecentChange, ResourceId,
    ResourceKind, evaluate_change,
};
pub use compiled::{Configuration, Importance, KeyCheck};
pub use difference::{Difference, Digest};
pub use document::{
    Class, Document, Idempotency, Key, Organisation, Route, Service, Target, check_document,
};
pub use keys::{KeyHasher, KeySecret};
pub use pull::{Puller, Source};
