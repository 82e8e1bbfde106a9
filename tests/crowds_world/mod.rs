//! A node with the stand-ins of its store and upstream, and crowds of callers that keep no limits.
#![allow(dead_code)]

pub mod crowd;
pub mod node;
pub mod upstream;
