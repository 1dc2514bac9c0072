//! Tests of the decisions about calls. Time is passed in as an argument.

mod admission;
mod connection_answers;
mod customer_order;
mod drain;
mod homes;
mod idempotency;
mod identity;
mod late_calls;
mod ledger;
mod placement;
mod quarantine;
mod quarantine_load;
mod queue;
mod quota;
mod retry;
mod router;
mod routes;
mod shutdown;
mod silence;
mod statement;
mod target_limiter;
mod throttle;
mod uplink;
mod zone_room;
