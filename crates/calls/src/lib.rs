//! Decisions about calls: which upstream takes an attempt, what the executor
//! admits, what may be tried again, and what is known about an attempt whose
//! answer went missing.
//!
//! Nothing here opens a socket, reads a clock or starts a thread. State lies in
//! tables, time and randomness come in as arguments, and so the same code runs
//! in the daemon, under scripted scenarios with virtual time, and under the
//! model checker.
//!
//! The two sides of a call are the *entry* (the daemon that took it from the
//! caller) and the *executor* (the daemon on the target's own instance):
//!
//! * the entry uses [`RouteTable`], [`KeyRing`], [`Purse`], [`Router`] or [`Placement`], [`RetryBudget`], [`Backoff`], [`Deadline`] and
//!   [`SilenceDetector`];
//! * both use [`Quarantine`];
//! * the executor uses [`Admission`] or [`Queue`], [`Ledger`], [`IntentTable`], [`Drain`] and [`Departure`].
//!
//! The reasons are in `docs/design/calls.md` and `docs/design/at-most-once.md`.

mod admission;
mod answer;
mod answers;
mod candidates;
mod class;
mod deadline;
mod departure;
mod drain;
mod estimate;
mod fingerprint;
mod identity;
mod ids;
mod intent;
mod ledger;
mod placement;
mod quarantine;
mod queue;
mod quota;
mod refusal;
mod retry;
mod router;
mod routes;
mod silence;
mod throttle;
mod uplink;

pub use admission::{
    Admission, AdmissionConfig, AdmissionDecision, AdmissionRequest, Dispatch, Load,
};
pub use answer::{Answer, Header, is_of_connection};
pub use answers::Answers;
pub use candidates::{Candidate, CandidateState, Pick, TargetFilter};
pub use class::{Class, UnknownClass};
pub use deadline::Deadline;
pub use departure::Departure;
pub use drain::{Drain, DrainStep};
pub use estimate::Estimate;
pub use fingerprint::Fingerprint;
pub use identity::{CREDENTIAL, CredentialError, KeyRing, bearer_key};
pub use ids::{AttemptId, Incarnation, SetId, Time, Wall};
pub use intent::{
    Begin, Handover, Home, HomeAnswer, HomeSets, IntentConfig, IntentKey, IntentMemory,
    IntentTable, KeyError, KeyText, KnownMembers, Remembered, RememberedRun, home_of, set_id,
};
pub use ledger::{Arrival, Ledger, LedgerConfig, Settled, Ticket};
pub use placement::{AttemptFeedback, Placement, PlacementRequest};
pub use quarantine::{
    ANSWERED_FOR, Finding, KeptRequest, LIVES, Learned, LifeMark, Quarantine, RecentAnswers,
    life_mark,
};
pub use queue::{Occupancy, Queue, QueueRequest};
pub use quota::{Bucket, Grant, Purse, Share, Taken};
pub use refusal::{Outcome, Reason, Refusal};
pub use retry::{Backoff, RefusedAttempts, RetryBudget, UnansweredOutcome, may_retry};
pub use router::{Report, Router};
pub use routes::{ResolvedRoute, RouteTable};
pub use silence::{SilenceAction, SilenceConfig, SilenceDetector};
pub use throttle::Throttle;
pub use uplink::Uplink;
