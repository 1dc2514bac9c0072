//! Decisions about calls: which upstream an attempt is sent to, what the executor
//! admits, what may be retried, and what is known about an attempt whose answer was
//! lost.
//!
//! Nothing in this crate opens a socket, reads a clock or starts a thread. All state
//! is in plain tables, and time and randomness are passed as arguments. The same code
//! therefore runs in the daemon, in scripted scenarios with virtual time, and in the
//! model checker.
//!
//! The two sides of a call are the *entry*, the daemon that received it from the
//! caller, and the *executor*, the daemon on the target's own instance:
//!
//! * the entry uses [`RouteTable`], [`KeyRing`], [`TokenCache`], [`Router`] or
//!   [`Placement`], [`StatedLimits`], [`RetryBudget`], [`Backoff`], [`Deadline`] and
//!   [`SilenceDetector`];
//! * both use [`Quarantine`];
//! * the executor uses [`Admission`] or [`Queue`], [`TargetLimiter`], [`Ledger`],
//!   [`ConnectionAnswers`], [`IdempotencyTable`], [`Drain`] and [`Shutdown`].
//!
//! The design is explained in `docs/design/calls.md` and
//! `docs/design/at-most-once.md`.

mod admission;
mod answer;
mod answer_stats;
mod candidates;
mod class;
mod connection_answers;
mod customer_usage;
mod deadline;
mod drain;
mod estimate;
mod fingerprint;
mod idempotency;
mod identity;
mod ids;
mod late_band;
mod ledger;
mod placement;
mod quarantine;
mod queue;
mod quota;
mod recent_load;
mod refusal;
mod retry;
mod returning;
mod router;
mod routes;
mod shutdown;
mod silence;
mod stated_limits;
mod stated_times;
mod statement;
mod target_limiter;
mod throttle;
mod uplink;
mod zone_room;

pub use admission::{
    Admission, AdmissionConfig, AdmissionDecision, AdmissionRequest, Dispatch, Load,
};
pub use answer::{Answer, Header, is_final_status, is_hop_by_hop};
pub use answer_stats::AnswerStats;
pub use candidates::{Candidate, CandidateState, Pick, TargetFilter};
pub use class::{Class, UnknownClass};
pub use connection_answers::ConnectionAnswers;
pub use customer_usage::{CustomerUsage, UsageLevel, usage_level};
pub use deadline::Deadline;
pub use drain::{Drain, DrainStep};
pub use estimate::Estimate;
pub use fingerprint::Fingerprint;
pub use idempotency::{
    HomeAnswer, HomeCheck, HomeHistory, HomeQuery, IdempotencyConfig, IdempotencyKey,
    IdempotencySnapshot, IdempotencyTable, KeyDecision, KeyError, KeyText, KnownMembers,
    RememberedKey, RememberedRun, home_of, upstream_set_id,
};
pub use identity::{AUTHORIZATION_HEADER, CredentialError, KeyRing, bearer_key};
pub use ids::{AttemptId, Incarnation, Time, UpstreamSetId, WallTime};
pub use late_band::{Band, LateWait};
pub use ledger::{Arrival, AttemptStatus, Ledger, LedgerConfig, Ticket};
pub use placement::{AttemptFeedback, Placement, PlacementRequest};
pub use quarantine::{
    ANSWER_VALIDITY, CRASH_THRESHOLD, FindingEffect, GenerationHash, Quarantine, QuarantineFinding,
    QuarantinedRequest, RecentAnswers, generation_hash,
};
pub use queue::{Occupancy, Queue, QueueRequest};
pub use quota::{QuotaShare, TokenBucket, TokenCache, TokenDecision, TokenGrant, shortage_time};
pub use refusal::{Outcome, Reason, Refusal};
pub use retry::{Backoff, RefusedAttempts, RetryBudget, UnansweredOutcome, may_retry};
pub use returning::{RefusedCall, Return, ReturningCalls};
pub use router::{Report, Router};
pub use routes::{ResolvedRoute, RouteTable};
pub use shutdown::Shutdown;
pub use silence::{SilenceAction, SilenceConfig, SilenceDetector};
pub use stated_limits::StatedLimits;
pub use stated_times::StatedTimes;
pub use statement::{InvalidRateLimit, LimitStatement, RateLimit, TargetStatement};
pub use target_limiter::{KnownLimit, LimitReport, TargetLimiter};
pub use throttle::Throttle;
pub use uplink::{LargeMessage, MAX_CHUNK_BYTES, MessageNumber, Uplink};
pub use zone_room::{
    DemandMeter, LoadReport, RoomBoard, RouteDemand, RouteShares, ServiceRoom, TargetRoom,
    ZoneAdvice, ZoneRoom, advise, route_shares, zone_for,
};
