//! Identification of callers by their keys.

use std::time::Duration;

use ntex::http::header::{HeaderMap, HeaderValue};
use stoatstep_calls::{AUTHORIZATION_HEADER, Reason, Refusal, ResolvedRoute, bearer_key};
use stoatstep_resource::Quota;

use crate::fleet::confirmation;
use crate::in_force::InForce;
use crate::node::Node;
use crate::wire::{CallParts, Identity};

/// Retry time in refusals of a daemon that does not know whether its configuration is recent. A
/// daemon that is not cut off learns that within half a second.
const UNCONFIRMED_RETRY: Duration = Duration::from_millis(500);

/// Identity of a caller with the settings that follow from it. All fields are empty for a caller
/// that needs no key.
#[derive(Debug, Default)]
pub(crate) struct Caller {
    pub(crate) identity: Option<Identity>,
    /// Priority of its calls, if its customer has one.
    pub(crate) priority: Option<u8>,
    /// Quota to which the call is charged.
    pub(crate) quota: Option<Quota>,
}

/// Identifies the caller by its headers.
///
/// A daemon that has been cut off refuses keys as not run: it can tell neither whether a known key
/// was revoked, nor whether an unknown one was added.
///
/// # Errors
///
/// If the route requires a key, and the key is missing or unknown or cannot be verified.
pub(crate) fn identify(
    node: &Node,
    in_force: &InForce,
    route: &ResolvedRoute,
    headers: &HeaderMap,
) -> Result<Caller, Refusal> {
    if in_force.keys.is_empty() {
        return Ok(Caller::default());
    }
    let is_public = route.route.public;
    if !is_public && !confirmation::is_recent(node) {
        return Err(Refusal::retry(Reason::Unconfirmed, UNCONFIRMED_RETRY));
    }
    let credentials = headers
        .get_all(AUTHORIZATION_HEADER)
        .map(HeaderValue::as_bytes);
    let key = bearer_key(credentials).ok();
    let holder = key.and_then(|key| Some((key, in_force.keys.holder(&key)?)));
    let Some((key, customer)) = holder else {
        return if is_public {
            Ok(Caller::default())
        } else {
            Err(Refusal::permanent(Reason::Unauthenticated))
        };
    };
    Ok(Caller {
        identity: Some(Identity {
            customer: customer.name.clone(),
            key: key.id(),
            version: in_force.version(),
        }),
        priority: customer.priority,
        quota: customer.quota.filter(|_| !is_public),
    })
}

/// A refusal for a call whose key was revoked since it arrived, since a call may wait in a queue
/// for seconds. A configuration older than the one that admitted the call is not considered.
pub(crate) fn refusal(node: &Node, call: &CallParts) -> Option<Refusal> {
    let identity = call.identity.as_ref()?;
    let in_force = node.fleet.in_force()?;
    let is_held = in_force.version() <= identity.version
        || in_force.keys.still_holds(&identity.customer, identity.key);
    (!is_held).then(|| Refusal::permanent(Reason::Unauthenticated))
}
