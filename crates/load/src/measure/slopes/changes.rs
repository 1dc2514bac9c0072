//! What changes cost, by their size and by their rate.

use std::time::Duration;

use futures_timer::Delay;

use super::Slope;
use crate::fleet::{Fleet, FleetError, Shape, Unit};
use crate::measure::as_f64;
use crate::measure::changes::{Changes, encoded_bytes};
use crate::measure::program::Scale;
use crate::measure::reading::{Observed, mean, observe, observe_rest};

const DAEMONS: usize = 48;

const SETTLE: Duration = Duration::from_secs(10);

/// A state and a fleet that have come to rest, with what it costs to be so.
struct Bench {
    fleet: Fleet,
    changes: Changes,
    rest: Observed,
    length: Duration,
}

pub(super) async fn run(scale: Scale) -> Result<(), FleetError> {
    let shape = Shape::two_years(DAEMONS);
    let changes = Changes::new(shape.resources());
    let fleet = Fleet::start(shape).await?;
    Delay::new(SETTLE).await;
    let length = Duration::from_secs(scale.pick(3, 12));
    let rest = observe_rest(&fleet, length).await?;
    let mut bench = Bench {
        fleet,
        changes,
        rest,
        length,
    };
    by_size(&mut bench, scale).await?;
    by_rate(&mut bench, scale).await?;
    bench.fleet.finish();
    Ok(())
}

async fn by_size(bench: &mut Bench, scale: Scale) -> Result<(), FleetError> {
    const PER_SECOND: u32 = 2;
    let upstreams: &[usize] = scale.pick(&[1, 16], &[1, 4, 16, 32, 64]);
    let slope = |name, unit| Slope::new(name, "encoded_bytes", unit);
    let mut bytes = slope("change_configuration", Unit::Bytes);
    let mut platform = slope("change_platform", Unit::Bytes);
    let mut processor = slope("change_processor", Unit::Seconds);
    for count in upstreams {
        let size = as_f64(encoded_bytes(bench.changes.next(*count)) as u64);
        let (seen, made) = bench.changes_at(PER_SECOND, *count).await?;
        let for_each = |value: f64| value * seen.seconds / made;
        let (busy, rest) = (seen.mean_traffic(), bench.rest.mean_traffic());
        let extra = busy.minus(rest);
        bytes.add(size, for_each(extra.configuration))?;
        platform.add(size, for_each(extra.platform))?;
        processor.add(size, for_each(mean(&seen.cores) - mean(&bench.rest.cores)))?;
    }
    bytes.finish()?;
    platform.finish()?;
    processor.finish()
}

async fn by_rate(bench: &mut Bench, scale: Scale) -> Result<(), FleetError> {
    let rates: &[u32] = scale.pick(&[1, 4], &[1, 2, 4, 8]);
    let slope = |name, unit| Slope::new(name, "changes_per_s", unit);
    let mut bytes = slope("changes_configuration", Unit::BytesPerSecond);
    let mut processor = slope("changes_processor", Unit::Cores);
    let mut reads = slope("changes_platform_reads", Unit::ReadsPerSecond);
    let mut writes = slope("changes_platform_writes", Unit::ReadsPerSecond);
    for rate in rates {
        let (seen, made) = bench.changes_at(*rate, 1).await?;
        let x = made / seen.seconds;
        bytes.add(x, seen.mean_traffic().configuration)?;
        processor.add(x, mean(&seen.cores))?;
        reads.add(x, seen.platform_reads)?;
        writes.add(x, seen.platform_writes)?;
    }
    [bytes, processor, reads, writes]
        .iter()
        .try_for_each(Slope::finish)
}

impl Bench {
    /// Submits changes of `upstreams` upstreams for the time of a window; gives
    /// how many these were as well.
    async fn changes_at(
        &mut self,
        rate: u32,
        upstreams: usize,
    ) -> Result<(Observed, f64), FleetError> {
        let interval = Duration::from_secs(1) / rate;
        let count = u32::try_from(self.length.as_secs()).unwrap_or(1) * rate;
        let work = self
            .changes
            .submit_many(&self.fleet, upstreams, count, interval);
        let (seen, _) = observe(&self.fleet, work).await?;
        Ok((seen, f64::from(count)))
    }
}
