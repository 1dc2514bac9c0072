//! Names of the headers that calls carry. See
//! `docs/contributing/interfaces.md`.

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

/// Between daemons: a short message, in place of a body.
pub(super) const MESSAGE: &str = "stoatstep-message";

/// What the names of our own headers begin with.
const OWN_PREFIX: &str = "stoatstep-";

/// Whether a header passes from the caller to the target and back. Those of
/// one connection end with it, and ours are written anew on each side, so that
/// neither side can forge them for the other.
pub(super) fn passes(name: &str) -> bool {
    let is_own = name == IDEMPOTENCY_KEY || name.starts_with(OWN_PREFIX);
    !is_own && !is_hop_by_hop(name)
}
