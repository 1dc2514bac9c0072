//! Who callers are, by the keys that they show.

use std::time::Duration;

use ntex::http::header::{HeaderMap, HeaderValue};
use stoatstep_calls::{AUTHORIZATION_HEADER, Reason, Refusal, ResolvedRoute, bearer_key};
use stoatstep_resource::Quota;

use crate::fleet::confirmation;
use crate::in_force::InForce;
use crate::node::Node;
use crate::wire::{CallParts, Identity};

/// Pause asked for by a daemon that does not know whether its configuration is recent. One
/// that is not cut off learns so within half a second.
const UNCONFIRMED_RETRY: Duration = Duration::from_millis(500);

/// What follows from who a caller is. A caller that needs no key is nobody in particular.
#[derive(Debug, Default)]
pub(crate) struct Caller {
    pub(crate) identity: Option<Identity>,
    /// Rank of its calls, where its customer has one.
    pub(crate) priority: Option<u8>,
    /// Quota to which the call is charged.
    pub(crate) quota: Option<Quota>,
}

/// The caller with these headers.
///
/// A daemon that has been cut off refuses keys as not run: it can tell neither whether one
/// that it knows was taken away, nor whether one that it does not know was added.
///
/// # Errors
///
/// Where the caller has to show a key, and it opens nothing or nobody can tell.
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

/// A refusal for a call whose key was taken away since it came: it may wait in a queue for
/// seconds. A configuration older than the one by which it was let in says nothing.
pub(crate) fn refusal(node: &Node, call: &CallParts) -> Option<Refusal> {
    let identity = call.identity.as_ref()?;
    let in_force = node.fleet.in_force()?;
    let is_held = in_force.version() <= identity.version
        || in_force.keys.still_holds(&identity.customer, identity.key);
    (!is_held).then(|| Refusal::permanent(Reason::Unauthenticated))
}
