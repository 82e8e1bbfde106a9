//! The operators' configuration: organisations, keys, classes, services and routes.

mod change;
mod compiled;
mod document;
mod keys;

pub use change::{
    Change, ChangeError, Decision, Edit, MAX_RECENT_CHANGES, RecentChange, ResourceId,
    ResourceKind, decide,
};
pub use compiled::{Configuration, Importance, KeyCheck};
pub use document::{
    Class, Document, Idempotency, Key, Organisation, Route, Service, Target, check_document,
};
pub use keys::{KeyHasher, KeySecret};
