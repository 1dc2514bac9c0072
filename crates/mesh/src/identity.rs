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

/// Retry time of a call whose customer has changed. The configuration by which it is identified anew
/// is in force already.
const IDENTIFY_RETRY: Duration = Duration::from_millis(50);

/// Which callers have to present a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyCheck {
    /// None: there never were customers. The credentials in requests are the targets'.
    Off,
    /// None as far as this process knows, which has not read yet whether there were customers.
    Unknown,
    /// None, since the configuration no longer mentions customers. Whoever presents a key is
    /// refused: it may be one that was taken away, which must not open anything or reach a target.
    Presented,
    /// Those of all routes that are not public.
    Required,
}

impl KeyCheck {
    /// The check under this configuration. `had_customers` is what the store notes of earlier ones.
    pub(crate) fn of(in_force: &InForce, had_customers: Option<bool>) -> Self {
        match had_customers {
            _ if in_force.keys.are_checked() => Self::Required,
            _ if in_force.had_customers => Self::Presented,
            Some(true) => Self::Presented,
            Some(false) => Self::Off,
            None => Self::Unknown,
        }
    }
}

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
    let is_public = route.route.public;
    let presents_key = !is_public && headers.contains_key(AUTHORIZATION_HEADER);
    match KeyCheck::of(in_force, node.fleet.had_customers()) {
        KeyCheck::Presented if presents_key => {
            return Err(Refusal::permanent(Reason::Unauthenticated));
        }
        KeyCheck::Unknown if presents_key => {
            return Err(Refusal::retry(Reason::Unconfirmed, UNCONFIRMED_RETRY));
        }
        KeyCheck::Off | KeyCheck::Unknown | KeyCheck::Presented => return Ok(Caller::default()),
        KeyCheck::Required => {}
    }
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
/// for seconds. Where the key has another holder now, the caller has to come back to be identified
/// anew. A configuration older than the one that admitted the call is not considered.
pub(crate) fn refusal(node: &Node, call: &CallParts) -> Option<Refusal> {
    let identity = call.identity.as_ref()?;
    let in_force = node.fleet.in_force()?;
    if in_force.version() <= identity.version {
        return None;
    }
    match in_force.keys.holder_name(identity.key) {
        Some(holder) if *holder == identity.customer => None,
        Some(_) => Some(Refusal::retry(Reason::StaleConfig, IDENTIFY_RETRY)),
        None => Some(Refusal::permanent(Reason::Unauthenticated)),
    }
}
