//! Charges calls to the quotas of their customers.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::{Reason, Refusal, TokenDecision};
use stoatstep_resource::CustomerName;

use super::call::Call;
use crate::node::Node;
use crate::quota::{self, Verdict};

/// Pause asked for where the home did not answer.
const UNKNOWN_RETRY: Duration = Duration::from_millis(200);

/// What a call was charged to.
pub(super) struct Charge(Option<CustomerName>);

impl Charge {
    /// The call did not run: another one may.
    pub(super) fn give_back(self, node: &Node) {
        if let Some(customer) = self.0 {
            node.quotas.give_back(&customer, node.clock.now());
        }
    }
}

/// Charges a call, and waits for the home of its customer's quota where it has to.
///
/// # Errors
///
/// Where the quota is used up, or nobody can tell.
pub(super) async fn admit(node: &Rc<Node>, call: &Call) -> Result<Charge, Refusal> {
    let (Some(_), Some(identity)) = (call.quota, &call.parts.identity) else {
        return Ok(Charge(None));
    };
    let customer = &identity.customer;
    let verdict = match node.quotas.take(customer, node.clock.now()) {
        TokenDecision::Token => Verdict::Granted,
        TokenDecision::Refused(pause) => Verdict::Refused(pause),
        TokenDecision::Ask => quota::wait(node, customer).await,
    };
    match verdict {
        Verdict::Granted => Ok(Charge(Some(customer.clone()))),
        Verdict::Refused(pause) => Err(Refusal::retry(Reason::OverQuota, pause)),
        Verdict::Unknown => Err(Refusal::retry(Reason::QuotaUnknown, UNKNOWN_RETRY)),
    }
}
