//! Type aliases for the ids that several modules share.

use std::sync::Arc;

use uuid::Uuid;

/// Name of one instance: an upstream and its local node.
pub type InstanceName = Arc<str>;
/// Name of an availability zone.
pub type ZoneName = Arc<str>;
/// Name of a service.
pub type ServiceName = Arc<str>;
/// Name of an organisation.
pub type OrganisationName = Arc<str>;
/// Name of a class of requests.
pub type ClassName = Arc<str>;
/// Public id of a key; never the key itself.
pub type KeyId = Arc<str>;
/// Number that distinguishes the processes that have run under one instance name.
pub type Incarnation = u64;
/// Version of a membership table.
pub type TableVersion = u64;
/// Revision of the configuration.
pub type Revision = u64;
/// Id of one request.
pub type RequestId = Uuid;
