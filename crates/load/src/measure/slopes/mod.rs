//! How a daemon's traffic, processor time and memory grow with each size, one
//! size at a time. `docs/CAPACITY.md` is worked out from these lines.

mod calls;
mod changes;
mod daemons;
mod state;

use std::fs;
use std::path::Path;

use crate::fleet::{FleetError, Line, Unit};
use crate::measure::fit::Fit;
use crate::measure::plot::{Labels, draw};
use crate::measure::program::Scale;

/// Where the plots go, from the root of the repository.
const FOLDER: &str = "docs/capacity";

/// One figure at several sizes.
#[derive(Clone, Debug)]
struct Slope {
    /// Name of the figure.
    name: &'static str,
    /// The size that varies.
    size: &'static str,
    unit: Unit,
    points: Vec<(f64, f64)>,
}

impl Slope {
    fn new(name: &'static str, size: &'static str, unit: Unit) -> Self {
        Self {
            name,
            size,
            unit,
            points: Vec::new(),
        }
    }

    /// Adds what was measured at one size, and prints it.
    fn add(&mut self, size: f64, value: f64) -> Result<(), FleetError> {
        self.points.push((size, value));
        let name = format!("slopes_{}_at_{size}_{}", self.name, self.size);
        Ok(Line::new(&name, value, self.unit, 1).print()?)
    }

    /// Prints the line through the points, and draws it.
    fn finish(&self) -> Result<(), FleetError> {
        let fit = Fit::new(&self.points);
        let figures = [
            ("slope", fit.slope, self.unit),
            ("intercept", fit.intercept, self.unit),
            ("r2", fit.r2, Unit::Ratio),
            ("spread", fit.spread, self.unit),
        ];
        let title = format!("{}_by_{}", self.name, self.size);
        for (figure, value, unit) in figures {
            let name = format!("slopes_{title}_{figure}");
            Line::new(&name, value, unit, self.points.len() as u64).print()?;
        }
        fs::create_dir_all(FOLDER)?;
        let path = Path::new(FOLDER).join(format!("{title}.svg"));
        let labels = Labels {
            title: &title,
            x: self.size,
            y: unit_name(self.unit),
        };
        draw(&path, labels, &self.points, fit)
    }
}

fn unit_name(unit: Unit) -> &'static str {
    match unit {
        Unit::Seconds => "s",
        Unit::Millis => "ms",
        Unit::Ratio => "ratio",
        Unit::Calls => "calls",
        Unit::CallsPerSecond => "calls/s",
        Unit::ReadsPerSecond => "reads/s",
        Unit::Bytes => "bytes",
        Unit::BytesPerSecond => "bytes/s",
        Unit::Cores => "cores",
    }
}

/// The sizes that are varied together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Group {
    /// Calls a second.
    Calls,
    /// Size and rate of changes.
    Changes,
    /// Upstreams and services in the state.
    State,
    /// Daemons of the fleet.
    Daemons,
}

impl Group {
    const ALL: [Self; 4] = [Self::Calls, Self::Changes, Self::State, Self::Daemons];

    pub(crate) async fn run(self, scale: Scale) -> Result<(), FleetError> {
        match self {
            Self::Calls => calls::run(scale).await,
            Self::Changes => changes::run(scale).await,
            Self::State => state::run(scale).await,
            Self::Daemons => daemons::run(scale).await,
        }
    }
}

/// Varies every size, one after the other.
pub(crate) async fn run(scale: Scale) -> Result<(), FleetError> {
    for group in Group::ALL {
        group.run(scale).await?;
    }
    Ok(())
}
