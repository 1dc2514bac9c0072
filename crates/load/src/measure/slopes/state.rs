//! Memory, transfer and work for a change, by the size of the state.

use std::time::{Duration, Instant};

use futures_timer::Delay;
use smol_str::format_smolstr;

use super::Slope;
use crate::fleet::{Fleet, FleetError, ServiceShape, Shape, Unit};
use crate::measure::changes::Changes;
use crate::measure::holding::holds;
use crate::measure::program::Scale;
use crate::measure::reading::{highest, mean, observe, observe_rest, read};

const DAEMONS: usize = 8;
const SERVICES: usize = 48;
const UPSTREAMS: usize = 610;

/// Time between two changes.
const INTERVAL: Duration = Duration::from_millis(200);

const SETTLE: Duration = Duration::from_secs(4);

/// What was measured of one state.
struct Measured {
    memory: f64,
    /// Configuration bytes of a daemon that starts.
    transfer: f64,
    /// Processor time for one change, in seconds.
    apply: f64,
}

/// The figures by one size.
struct Slopes {
    memory: Slope,
    transfer: Slope,
    apply: Slope,
}

impl Slopes {
    fn new(size: &'static str) -> Self {
        Self {
            memory: Slope::new("state_memory", size, Unit::Bytes),
            transfer: Slope::new("state_transfer", size, Unit::Bytes),
            apply: Slope::new("state_apply_processor", size, Unit::Seconds),
        }
    }

    fn add(&mut self, size: f64, it: &Measured) -> Result<(), FleetError> {
        self.memory.add(size, it.memory)?;
        self.transfer.add(size, it.transfer)?;
        self.apply.add(size, it.apply)
    }

    fn finish(&self) -> Result<(), FleetError> {
        self.memory.finish()?;
        self.transfer.finish()?;
        self.apply.finish()
    }
}

pub(super) async fn run(scale: Scale) -> Result<(), FleetError> {
    let sizes: &[u32] = scale.pick(&[152, 610], &[152, 305, 610, 1_220]);
    let mut slopes = Slopes::new("upstreams");
    for size in sizes {
        let measured = measure(scale, SERVICES, *size as usize).await?;
        slopes.add(f64::from(*size), &measured)?;
    }
    slopes.finish()?;
    let sizes: &[u32] = scale.pick(&[24, 48], &[24, 48, 96, 192]);
    let mut slopes = Slopes::new("services");
    for size in sizes {
        let measured = measure(scale, *size as usize, UPSTREAMS).await?;
        slopes.add(f64::from(*size), &measured)?;
    }
    slopes.finish()
}

fn shape(services: usize, upstreams: usize) -> Shape {
    let services = (0..services).map(|index| ServiceShape {
        name: format_smolstr!("service-{index:03}"),
        upstreams: upstreams / services + usize::from(index < upstreams % services),
        slots: 13,
    });
    Shape::two_years(DAEMONS).services(services.collect())
}

async fn measure(scale: Scale, services: usize, upstreams: usize) -> Result<Measured, FleetError> {
    let shape = shape(services, upstreams);
    let mut changes = Changes::new(shape.resources());
    let mut fleet = Fleet::start(shape).await?;
    Delay::new(SETTLE).await;
    let rest = observe_rest(&fleet, Duration::from_secs(scale.pick(2, 6))).await?;
    let count = scale.pick(10, 40);
    let work = changes.submit_many(&fleet, 1, count, INTERVAL);
    let (busy, version) = observe(&fleet, work).await?;
    let extra = (mean(&busy.cores) - mean(&rest.cores)) * busy.seconds;
    fleet.restart_daemon(0)?;
    let operator = fleet.operator.clone();
    holds(operator, fleet.nodes[0].operator, version, Instant::now()).await;
    // The first reading is of the one that started just now.
    let transfer = read(&fleet).await?[0].traffic.configuration;
    fleet.finish();
    Ok(Measured {
        memory: highest(&rest.memory),
        transfer,
        apply: extra / f64::from(count),
    })
}
