//! Daemons at rest, by their number.

use std::fs;
use std::time::Duration;

use futures_timer::Delay;

use super::Slope;
use crate::fleet::{Fleet, FleetError, Shape, Unit};
use crate::measure::as_f64;
use crate::measure::program::Scale;
use crate::measure::reading::{highest, mean, observe_rest};

/// Time after the start for pulls and second looks to be over.
const SETTLE: Duration = Duration::from_secs(12);

/// Largest fleets that are tried; the size to design for does not fit beside
/// whatever else the machine does.
const SIZES: [u32; 5] = [25, 50, 100, 200, 300];

/// Memory that one daemon may take, with room to spare.
const DAEMON_BYTES: f64 = 32e6;

pub(super) async fn run(scale: Scale) -> Result<(), FleetError> {
    let sizes = scale.pick(&SIZES[..2], &SIZES[..]);
    let length = Duration::from_secs(scale.pick(3, 20));
    let slope = |name, unit| Slope::new(name, "daemons", unit);
    let mut membership = slope("rest_membership", Unit::BytesPerSecond);
    let mut configuration = slope("rest_configuration", Unit::BytesPerSecond);
    let mut platform = slope("rest_platform", Unit::BytesPerSecond);
    let mut busiest = slope("rest_busiest_daemon", Unit::BytesPerSecond);
    let mut cores = slope("rest_processor", Unit::Cores);
    let mut memory = slope("rest_memory", Unit::Bytes);
    let mut reads = slope("rest_platform_reads", Unit::ReadsPerSecond);
    let mut items = slope("rest_platform_items", Unit::ReadsPerSecond);
    let mut platform_cores = slope("rest_platform_processor", Unit::Cores);
    for size in sizes {
        let x = f64::from(*size);
        if x * DAEMON_BYTES > half_of_memory()? {
            eprintln!("not reached: {size} daemons need more than half of the memory");
            break;
        }
        let fleet = Fleet::start(Shape::two_years(*size as usize)).await?;
        Delay::new(SETTLE).await;
        let seen = observe_rest(&fleet, length).await?;
        let traffic = seen.mean_traffic();
        let totals: Vec<_> = seen.traffic.iter().map(|it| it.total()).collect();
        membership.add(x, traffic.membership)?;
        configuration.add(x, traffic.configuration)?;
        platform.add(x, traffic.platform)?;
        busiest.add(x, highest(&totals))?;
        cores.add(x, mean(&seen.cores))?;
        memory.add(x, highest(&seen.memory))?;
        reads.add(x, seen.platform_reads)?;
        items.add(x, seen.platform_items)?;
        platform_cores.add(x, seen.platform_cores)?;
        fleet.finish();
    }
    let all = [
        membership,
        configuration,
        platform,
        busiest,
        cores,
        memory,
        reads,
        items,
        platform_cores,
    ];
    all.iter().try_for_each(Slope::finish)
}

/// Half of what the machine has, less what is taken already.
fn half_of_memory() -> Result<f64, FleetError> {
    let text = fs::read_to_string("/proc/meminfo")?;
    let field = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        let number = line.and_then(|it| it.split_whitespace().next()?.parse::<u64>().ok());
        as_f64(number.unwrap_or(0) << 10)
    };
    let total = field("MemTotal:");
    Ok(field("MemAvailable:") - total / 2.0)
}
