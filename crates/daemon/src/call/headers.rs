//! Names of the headers that calls carry. See
//! `docs/contributing/interfaces.md`.

pub(crate) const TENANT: &str = "stoatstep-tenant";
pub(crate) const CLASS: &str = "stoatstep-class";
pub(crate) const DEADLINE_MS: &str = "stoatstep-deadline-ms";
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
pub(crate) const DEPTH: &str = "stoatstep-depth";
pub(crate) const REQUEST_ID: &str = "stoatstep-request-id";
pub(crate) const ATTEMPT: &str = "stoatstep-attempt";
pub(crate) const OUTCOME: &str = "stoatstep-outcome";
pub(crate) const REASON: &str = "stoatstep-reason";
pub(crate) const RETRY_AFTER: &str = "retry-after";
pub(crate) const RETRY_AFTER_MS: &str = "stoatstep-retry-after-ms";
pub(crate) const VERSION: &str = "stoatstep-version";
pub(crate) const SHED: &str = "stoatstep-shed";
/// Between daemons: the caller's method.
pub(crate) const CALL_METHOD: &str = "stoatstep-method";
/// Between daemons: the caller's path and query.
pub(crate) const CALL_PATH: &str = "stoatstep-path";
