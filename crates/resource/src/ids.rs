//! Names and numbers by which resources, instances and versions are known.

use smol_str::SmolStr;

/// Position in the version log. The empty configuration is version 0.
pub type Version = u64;

/// The version at which a resource last changed; 0 stands for "absent".
pub type Revision = u64;

/// Name of a [`crate::Service`].
pub type ServiceName = SmolStr;

/// Name of an [`crate::Upstream`].
pub type UpstreamName = SmolStr;

/// Name of a [`crate::Route`].
pub type RouteName = SmolStr;

/// Name of a [`crate::Policy`].
pub type PolicyName = SmolStr;

/// Name of a [`crate::Customer`]: one school, one charity.
pub type CustomerName = SmolStr;

/// Name of an availability zone, unique over all regions.
pub type ZoneName = SmolStr;

/// Name of an instance, which runs one target and its daemon.
pub type InstanceId = SmolStr;

/// Id that an operator's request keeps over all its retries.
pub type OperationId = SmolStr;
