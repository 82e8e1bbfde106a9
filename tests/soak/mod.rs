//! A fleet of real nodes with stand-ins of all that they meet on the operators' platform.
#![allow(dead_code)]

pub mod callers;
pub mod plan;
pub mod proxy;
pub mod record;
pub mod store;
pub mod upstream;
pub mod world;
