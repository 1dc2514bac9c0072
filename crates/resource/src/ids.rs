//! Types of the names and numbers that identify resources, instances and versions.

use smol_str::SmolStr;

/// Position in the version log. The empty configuration is version 0.
pub type Version = u64;

/// The version at which a resource last changed; 0 means that it is absent.
pub type Revision = u64;

/// Name of a [`crate::Service`].
pub type ServiceName = SmolStr;

/// Name of an [`crate::Upstream`].
pub type UpstreamName = SmolStr;

/// Name of a [`crate::Route`].
pub type RouteName = SmolStr;

/// Name of a [`crate::Policy`].
pub type PolicyName = SmolStr;

/// Name of a [`crate::Customer`], such as one school or one charity.
pub type CustomerName = SmolStr;

/// Name of an availability zone, unique across all regions.
pub type ZoneName = SmolStr;

/// Name of an instance, which runs one target and its daemon.
pub type InstanceId = SmolStr;

/// Id of an operator's request, which stays the same over all its retries.
pub type OperationId = SmolStr;
