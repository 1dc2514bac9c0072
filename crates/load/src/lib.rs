//! Load on a fleet, and what came of it.
//!
//! `stoat-load` sends calls on a fixed schedule, so that a slow answer doesn't
//! hold back the calls after it and latency counts from the moment at which a
//! call was due. It behaves like a careful caller: a refusal is tried again
//! when it says so, an unknown outcome under the same idempotency key. At the
//! end it holds what it was told against the ledgers of the targets.
//!
//! `stoat-measure` starts fleets of real processes around such loads and prints
//! figures. See `docs/contributing/measuring.md`.

mod baseline;
mod fleet;
mod load;
mod measure;

pub use baseline::main as baseline_main;
pub use fleet::{
    Fault, Fleet, FleetError, Http, Line, Net, Node, OPERATOR_TOKEN, Operator, PEER_TOKEN, Process,
    ServiceShape, Shape, TargetShape, Unit, Usage,
};
pub use load::{
    Audit, BUCKET, Bucket, Histogram, LoadOptions, Mix, MixError, Report, Series, Tally, fetch,
    main, run,
};
pub use measure::main as measure_main;
pub use measure::{Fit, control_bytes};
