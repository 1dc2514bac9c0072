//! Names of the request and response headers of calls. See `docs/contributing/interfaces.md`.

use stoatstep_calls::is_hop_by_hop;

pub(super) const TENANT: &str = "stoatstep-tenant";
pub(super) const CLASS: &str = "stoatstep-class";
pub(super) const DEADLINE_MS: &str = "stoatstep-deadline-ms";
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";
pub(super) const DEPTH: &str = "stoatstep-depth";
pub(super) const REQUEST_ID: &str = "stoatstep-request-id";
pub(super) const ATTEMPT: &str = "stoatstep-attempt";
pub(super) const OUTCOME: &str = "stoatstep-outcome";
pub(super) const REASON: &str = "stoatstep-reason";
pub(super) const RETRY_AFTER: &str = "retry-after";
pub(super) const RETRY_AFTER_MS: &str = "stoatstep-retry-after-ms";
pub(super) const VERSION: &str = "stoatstep-version";
pub(super) const SHED: &str = "stoatstep-shed";

/// In an answer of the target: requests per second that it accepts from all daemons together.
pub(super) const LIMIT: &str = "stoatstep-limit";

/// In an answer of the target: it leaves and must get no new calls.
pub(super) const LEAVING: &str = "stoatstep-leaving";

/// Holds a short message between daemons, which is then sent without a body.
pub(super) const MESSAGE: &str = "stoatstep-message";

/// Prefix of the names of the daemon's own headers.
const OWN_PREFIX: &str = "stoatstep-";

/// Whether a header is forwarded from the caller to the target or back. Hop-by-hop headers are not,
/// and the daemon's own headers are set anew on each side, so that neither side can forge them for
/// the other.
pub(super) fn is_forwarded(name: &str) -> bool {
    let is_own = name == IDEMPOTENCY_KEY || name.starts_with(OWN_PREFIX);
    !is_own && !is_hop_by_hop(name)
}
