//! Charges calls to their customers' quotas.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::{Reason, Refusal, TokenDecision, UsageLevel};
use stoatstep_resource::CustomerName;

use super::call::Call;
use crate::mechanism::Mechanism;
use crate::node::Node;
use crate::quota::{self, TokenOutcome};

/// Retry delay given to callers if the quota's home did not answer.
const HOME_UNREACHABLE_RETRY: Duration = Duration::from_millis(200);

/// The customer to whose quota a call was charged, if any.
pub(super) struct Charge(Option<CustomerName>);

impl Charge {
    /// Returns the token of a call that did not run.
    pub(super) fn refund(self, node: &Node) {
        if let Some(customer) = self.0 {
            node.quotas.give_back(&customer, node.clock.now());
        }
    }
}

/// What the call's customer was served lately; 0 for calls that no quota counts.
pub(super) fn usage(node: &Node, call: &Call) -> UsageLevel {
    match (call.quota, &call.parts.identity) {
        (Some(_), Some(identity)) if node.cfg.is_enabled(Mechanism::CustomerOrder) => {
            node.quotas.usage(&identity.customer, node.clock.now())
        }
        _ => 0,
    }
}

/// Charges a call to its customer's quota. Waits for the quota's home if this daemon holds
/// no token.
///
/// # Errors
///
/// Fails if the quota is used up or the home does not answer.
pub(super) async fn charge(node: &Rc<Node>, call: &Call) -> Result<Charge, Refusal> {
    let (Some(_), Some(identity)) = (call.quota, &call.parts.identity) else {
        return Ok(Charge(None));
    };
    let customer = &identity.customer;
    let verdict = match node.quotas.take(customer, node.clock.now()) {
        TokenDecision::Token => TokenOutcome::Granted,
        TokenDecision::Refused(delay) => TokenOutcome::Refused(delay),
        TokenDecision::Ask => quota::wait(node, customer).await,
    };
    match verdict {
        TokenOutcome::Granted => Ok(Charge(Some(customer.clone()))),
        TokenOutcome::Refused(delay) => Err(Refusal::retry(Reason::OverQuota, delay)),
        TokenOutcome::Unknown => Err(Refusal::retry(Reason::QuotaUnknown, HOME_UNREACHABLE_RETRY)),
    }
}
