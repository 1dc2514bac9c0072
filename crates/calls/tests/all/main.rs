//! Tests of the call decisions, with time passed in.

mod admission;
mod departure;
mod homes;
mod identity;
mod intent;
mod ledger;
mod placement;
mod quarantine;
mod quarantine_load;
mod queue;
mod quota;
mod retry;
mod router;
mod routes;
mod silence;
mod throttle;
mod uplink;
