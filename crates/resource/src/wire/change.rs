//! Bodies of the operator API for reading and changing the configuration.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::resource::ResourceWire;
use crate::delta::Delta;
use crate::finding::{Finding, Place};
use crate::ids::{OperationId, Revision, Version};
use crate::key::{Key, Kind};
use crate::state::{State, VersionedResource};
use crate::types::Resource;

/// Body of `POST /v1/changes`: one change, which takes effect as a whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Id of the operation, the same for all retries, so that a change whose answer was lost takes
    /// effect only once.
    pub operation: OperationId,
    /// Resources to create or replace.
    #[serde(default)]
    pub puts: Vec<PutWire>,
    /// Resources to delete.
    #[serde(default)]
    pub deletes: Vec<DeleteWire>,
}

/// A resource to create or replace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PutWire {
    /// The resource.
    pub resource: ResourceWire,
    /// Revision that the resource must have now: 0 if it must be absent, `None` if any is allowed.
    #[serde(default)]
    pub expected: Option<Revision>,
}

/// A resource to delete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeleteWire {
    /// The resource's key.
    pub key: Key,
    /// Revision that the resource must have now; `None` if any is allowed.
    #[serde(default)]
    pub expected: Option<Revision>,
}

/// The content of a [`ChangeRequest`] in domain types.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Id of the operation.
    pub operation: OperationId,
    /// Resources to create or replace, with the revisions that they must have now.
    pub puts: Vec<(Resource, Option<Revision>)>,
    /// Keys to delete, with the revisions that the resources must have now.
    pub deletes: Vec<(Key, Option<Revision>)>,
}

/// Fails with all findings of the request. Checks that need the whole state are left to
/// [`crate::validate`].
impl TryFrom<ChangeRequest> for Change {
    type Error = Vec<Finding>;

    fn try_from(req: ChangeRequest) -> Result<Self, Vec<Finding>> {
        let mut findings = super::checks::check_operation(&req.operation);
        findings.extend(super::checks::check_keys(&req));
        let mut puts = Vec::with_capacity(req.puts.len());
        for put in req.puts {
            match Resource::try_from(put.resource) {
                Ok(resource) => puts.push((resource, put.expected)),
                Err(finding) => findings.push(finding),
            }
        }
        if !findings.is_empty() {
            return Err(findings);
        }
        let deletes = req.deletes.into_iter();
        Ok(Self {
            operation: req.operation,
            puts,
            deletes: deletes.map(|it| (it.key, it.expected)).collect(),
        })
    }
}

/// Answer to a change that took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// The version that the change created.
    pub version: Version,
}

/// Answer to a change that was refused, as invalid or because of a conflicting change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindingsAnswer {
    /// The reasons for the refusal.
    pub findings: Vec<Finding>,
}

/// One resource of a state, with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemWire {
    /// The version at which the resource last changed.
    pub revision: Revision,
    /// The resource.
    pub resource: ResourceWire,
}

impl From<&VersionedResource> for ItemWire {
    fn from(held: &VersionedResource) -> Self {
        Self {
            revision: held.revision,
            resource: ResourceWire::from(&*held.resource),
        }
    }
}

/// Answer to a request for a list of resources, all of the same version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListAnswer {
    /// The version of the items, from which a watch can continue.
    pub version: Version,
    /// The resources, ordered by key.
    pub items: Vec<ItemWire>,
}

impl ListAnswer {
    /// Lists the resources of `state`, or only those of `kind`.
    #[must_use]
    pub fn of(state: &State, kind: Option<Kind>) -> Self {
        let wanted = |key: &Key| kind.is_none_or(|kind| key.kind == kind);
        let items = state.iter().filter(|(key, _)| wanted(key));
        Self {
            version: state.version(),
            items: items.map(|(_, held)| ItemWire::from(held)).collect(),
        }
    }
}

/// Builds the state from a list of all its resources, or fails with the findings of all invalid
/// items.
impl TryFrom<ListAnswer> for State {
    type Error = Vec<Finding>;

    fn try_from(list: ListAnswer) -> Result<Self, Vec<Finding>> {
        let mut findings = Vec::new();
        let mut items = Vec::with_capacity(list.items.len());
        for item in list.items {
            match Resource::try_from(item.resource) {
                Ok(resource) => items.push(VersionedResource {
                    revision: item.revision,
                    resource: Arc::new(resource),
                }),
                Err(finding) => findings.push(finding),
            }
        }
        if !findings.is_empty() {
            return Err(findings);
        }
        let state = Self::from_snapshot(list.version, items);
        state.map_err(|error| vec![Finding::new(Place::default(), error.to_string())])
    }
}

/// Answer to a watch: the changes after the requested version, oldest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// The version from which to continue the watch.
    pub version: Version,
    /// One event for each version; empty if nothing changed before the watch timed out.
    pub events: Vec<EventWire>,
}

/// The changes of one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventWire {
    /// The version.
    pub version: Version,
    /// Resources that are created or replaced.
    pub puts: Vec<ResourceWire>,
    /// Keys of the resources that are deleted.
    pub deletes: Vec<Key>,
}

impl From<&Delta> for EventWire {
    fn from(delta: &Delta) -> Self {
        Self {
            version: delta.version,
            puts: delta.puts.iter().map(ResourceWire::from).collect(),
            deletes: delta.deletes.clone(),
        }
    }
}
