//! What calls cost the daemon where they enter and the one that has them run,
//! by their rate.

use std::time::Duration;

use futures_timer::Delay;

use super::Slope;
use crate::fleet::{Fleet, FleetError, ServiceShape, Shape, TargetShape, Unit};
use crate::load::{LoadOptions, run as run_load};
use crate::measure::explain;
use crate::measure::program::Scale;
use crate::measure::reading::observe;

/// The service whose target sits beside the other daemon.
const PATH: &str = "/far";

/// Load before the window begins.
const WARM_UP: Duration = Duration::from_secs(2);

/// Keys made before a daemon has been up for 2 s may have run under its
/// predecessor and are refused, which would be counted as work for calls.
const SETTLE: Duration = Duration::from_secs(4);

/// A call enters at the first node and runs at the second.
fn shape() -> Shape {
    let service = |name: &str| ServiceShape {
        name: name.into(),
        upstreams: 1,
        slots: 64,
    };
    Shape::default()
        .zones(1)
        .services(vec![service("near"), service("far")])
        .target(TargetShape {
            service_time: Duration::from_millis(2),
            service_spread: Duration::from_millis(1),
        })
}

/// The names of the figures for one kind of call.
struct Names {
    entry: &'static str,
    executor: &'static str,
    entry_memory: &'static str,
    executor_memory: &'static str,
}

const READS: Names = Names {
    entry: "call_entry_processor",
    executor: "call_executor_processor",
    entry_memory: "call_entry_memory",
    executor_memory: "call_executor_memory",
};

const CLAIMS: Names = Names {
    entry: "claim_entry_processor",
    executor: "claim_executor_processor",
    entry_memory: "claim_entry_memory",
    executor_memory: "claim_executor_memory",
};

pub(super) async fn run(scale: Scale) -> Result<(), FleetError> {
    by_rate(scale, 0, &READS).await?;
    by_rate(scale, 100, &CLAIMS).await
}

async fn by_rate(scale: Scale, post_percent: u32, names: &Names) -> Result<(), FleetError> {
    let rates: &[u32] = scale.pick(&[200, 800], &[100, 200, 400, 800, 1_600]);
    let slope = |name, unit| Slope::new(name, "calls_per_s", unit);
    let mut entry = slope(names.entry, Unit::Cores);
    let mut executor = slope(names.executor, Unit::Cores);
    let mut entry_memory = slope(names.entry_memory, Unit::Bytes);
    let mut executor_memory = slope(names.executor_memory, Unit::Bytes);
    for rate in rates {
        let fleet = Fleet::start(shape()).await?;
        Delay::new(SETTLE).await;
        let x = f64::from(*rate);
        let window = Duration::from_secs(scale.pick(3, 10));
        let load = LoadOptions::new(vec![fleet.nodes[0].caller])
            .rate(x)
            .duration(WARM_UP + window + WARM_UP)
            .get_paths(PATH.parse().expect("a valid mix"))
            .post_paths(PATH.parse().expect("a valid mix"))
            .post_percent(post_percent);
        let under_way = ntex::rt::spawn(run_load(load));
        Delay::new(WARM_UP).await;
        let pause = async {
            Delay::new(window).await;
            Ok(())
        };
        let (seen, ()) = observe(&fleet, pause).await?;
        let report = under_way.await;
        let report = report.map_err(|_| FleetError::Io("the load ended early".to_owned()))?;
        let tally = &report.total.tally;
        if tally.answered < tally.calls {
            explain("slopes", &report);
        }
        entry.add(x, seen.cores[0])?;
        executor.add(x, seen.cores[1])?;
        entry_memory.add(x, seen.memory[0])?;
        executor_memory.add(x, seen.memory[1])?;
        fleet.finish();
    }
    [entry, executor, entry_memory, executor_memory]
        .iter()
        .try_for_each(Slope::finish)
}
