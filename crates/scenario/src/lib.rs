//! Scripted scenarios: a fleet of shipped state machines, a script of faults,
//! and the rules that must hold throughout.
//!
//! A scenario is a text file of one statement a line, run in virtual time and
//! with seeded randomness, so that a failure comes back with its seed. The
//! machines of `stoatstep-membership`, `-distribution`, `-versionlog` and
//! `-calls` are those that the daemon ships; what stands in for the rest is a
//! message queue, a platform in memory and a target that waits. It is a tool
//! for tests of failures and no model of a cluster's speed.
//!
//! After every event the runner checks the rules that hold in any scenario:
//! no instance goes back, no route dangles, no two states bear one version,
//! nothing accepted is lost, nothing runs twice, no "not run" is untrue. A
//! scenario may name a safeguard to run [`without`](Safeguard) and then expects
//! the rule that breaks. The language is described in
//! `docs/contributing/testing.md`.

mod daemon;
mod run;
mod script;
mod world;

pub use run::run;
pub use script::{Finding, Rule, Safeguard, Script, parse};
