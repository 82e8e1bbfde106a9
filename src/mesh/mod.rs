//! A node in a mesh. It runs on the same machine as an upstream that accepts only local requests.
//!
//! Callers on the machine and the upstream itself send their requests to the local node, the entry
//! node of these requests. It chooses an instance of the service and forwards the request to that
//! instance's node, which admits it to its local upstream. The trait [`Dialect`] translates the
//! platform's own names and message formats.

mod attempts;
mod bounds;
mod call;
mod catalog;
mod chains;
mod charge;
mod configuration;
mod control;
mod crash_check;
mod crashes;
mod dialect;
mod directory;
mod entry;
pub mod evacuation;
mod forward;
pub mod grpc;
mod guard;
mod leaving;
pub mod link;
mod listener_bounds;
mod losses;
mod node;
mod operators;
pub mod pace;
mod pacing;
mod pause;
mod peer_service;
mod peer_stream;
mod placement;
mod position;
mod probe;
mod processor;
#[allow(missing_docs, clippy::all)]
pub mod proto;
mod rank;
mod rates;
mod registry;
mod reload;
mod request;
mod retry_budget;
mod root_admission;
mod root_floor;
mod run;
mod running;
mod settings;
mod sole_holder;
mod stop;
pub mod supervise;
mod sync;
mod upstream_messages;

pub use bounds::Bounds;
pub use call::{Call, RouteUsage, ServiceUse, Usage};
pub use catalog::{CallerLimits, Catalog, CatalogParts, Destination, Organisation, Route, Service};
pub use chains::{
    ChainAdmission, ChainVerdict, OrganisationShares, RefusalMeter, RetryReservation, ReturnAdvice,
    ReturnPromises, ServiceRefusals, retry_rank,
};
pub use configuration::CatalogSource;
pub use crashes::{Crashes, fingerprint};
pub use dialect::{
    AnswerHead, CallHead, Dialect, HealthHead, Heartbeat, ReportedLoad, UpstreamHead,
    UpstreamMessage, UpstreamState,
};
pub use directory::{
    Addresses, Changes, Directory, InstanceAddress, InstanceRecord, Member, Members, MergeResult,
    UpstreamRecord,
};
pub use guard::{Guard, GuardResult};
pub use listener_bounds::ListenerBounds;
pub use losses::Losses;
pub use node::{FreshnessProof, Node};
pub use operators::{MeshMetrics, Origin};
pub use pacing::Pacer;
pub use placement::{AttemptResult, Candidate, LoadReport, Placement, UpstreamSpeed};
pub use position::Position;
pub use processor::ProcessorLimit;
pub use rank::{Rank, RankOrder};
pub(crate) use rates::DRAW_AHEAD;
pub use rates::{
    Grant, HomeLookup, HubNumber, OrganisationHash, RateHome, RateHomes, TakeTokenResult,
    TokenStock, Want,
};
pub use registry::{MessageEffect, Upstream, UpstreamTracker};
pub use retry_budget::{RetryBound, RetryBudget};
pub use root_admission::{RootAdmission, RootVerdict};
pub use root_floor::RootFloor;
pub use run::{MeshListeners, run};
pub use running::{RunningCall, RunningCalls};
pub use settings::{
    LiveSettings, MachineLimits, MeshListen, MeshSettings, RawMachineLimits, RawMeshListen,
    RawMeshSettings, RawStore,
};
pub use sole_holder::{CONTACT_LIFETIME, ContactProof, HolderContacts, HolderUse, Standing};
pub use stop::PlannedStop;
pub use sync::{home_hub, hub_count, min_sync_interval, to_token_count};
