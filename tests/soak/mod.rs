//! A fleet of real nodes with test doubles of the operators' platform: upstreams, callers, the
//! object store and the links between them.
#![allow(dead_code)]

pub mod callers;
pub mod plan;
pub mod proxy;
pub mod record;
pub mod store;
pub mod upstream;
pub mod world;
