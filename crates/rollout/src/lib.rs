//! Roll-outs: a service is moved to another version of its targets in steps while it serves, and
//! the move is completed or rolled back.
//!
//! An operator orders it by service, version and time. Targets of the new version join beside the
//! old ones. From then on the service has two [`Side`]s, and every daemon decides by the newest
//! [`Progress`] that it knows:
//!
//! * *Entries* send calls to one side or the other, see [`RolloutRouting`].
//! * *Executors* of targets of the new side refuse, without running it, any call that the step does
//!   not allow, so that an entry that does not know the present step does no harm.
//! * The daemons of the [`Canaries`], the few targets that are tried first, see every answer of
//!   their targets. They compare those with what a few daemons of the old side saw ([`judge`]), and
//!   take the next step when it is due ([`Plan`]).
//!
//! A bad version may get only a limited part of the service's calls between order and deadline.
//! [`Plan`] spends that part: a small share of the calls for most of the time, then full load on a
//! few targets, and all calls only shortly before the deadline. So the limit holds even if the
//! version turns bad at the very end.
//!
//! This crate opens no socket and reads no clock. The end of a roll-out is fixed by one conditional
//! write, which is up to the user of this crate. See `docs/concepts/rollouts.md`.

mod canaries;
mod judge;
mod order;
mod plan;
mod progress;
mod progress_table;
mod route_mix;
mod routing;
mod tally;

pub use canaries::Canaries;
pub use judge::{Regression, RegressionKind, Verdict, judge};
pub use order::{Order, OrderId, Software};
pub use plan::Plan;
pub use progress::{Progress, Step, UnixTime};
pub use progress_table::{Change, ProgressTable};
pub use route_mix::RouteMix;
pub use routing::{OldSide, RolloutRouting, Side};
pub use tally::{Evidence, RouteEvidence, RunCounts, Tally};
