//! Tests of the distribution state machines under virtual time.

mod cold_start;
mod collect;
mod confirmation;
mod poller;
mod poller_health;
mod repair;
mod replica;
mod roster_read_schedule;
mod serving;
mod sizes;
mod spread;
mod support;
