//! Overload control for service call graphs.
//!
//! A node (`hibiscusd`) runs next to each upstream instance. Callers connect to any node. That
//! entry node chooses an upstream and forwards the request to the upstream's local node, which
//! admits or refuses it. `docs/design.md` describes how the nodes work together.

pub mod admin;
pub mod admission;
pub mod call;
pub mod clock;
pub mod config;
pub mod control;
pub mod experiment;
pub mod findings;
pub mod http_client;
pub mod http_server;
pub mod load;
pub mod membership;
pub mod memory;
pub mod mesh;
pub mod names;
pub mod node;
pub mod once;
pub mod peers;
pub mod platform;
pub mod rate;
pub mod retry;
pub mod routing;
pub mod scenario;
pub mod settings;
pub mod standin;
pub mod store;
pub mod tcp;
pub mod telemetry;
