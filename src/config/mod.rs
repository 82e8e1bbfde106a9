//! The operators' configuration: organisations, keys, classes, services and routes.

mod compiled;
mod document;
mod keys;

pub use compiled::{Configuration, Importance, KeyCheck};
pub use document::{
    Class, Document, Idempotency, Key, Organisation, Route, Service, Target, check_document,
};
pub use keys::{KeyHasher, KeySecret};
