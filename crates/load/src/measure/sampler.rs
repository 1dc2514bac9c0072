//! The platform's reads over time.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures_timer::Delay;
use stoatstep_standin_platform::CountsReport;

use crate::fleet::{Fleet, Operator};
use crate::measure::as_f64;

/// Time from one reading to the next.
const STEP: Duration = Duration::from_millis(50);

/// Length of the window whose rate is looked at.
const WINDOW_MS: u64 = 1_000;

/// Counters at one moment of the stand-in's own clock.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at_ms: u64,
    requests: u64,
    items: u64,
    writes: u64,
}

/// The busiest second for each figure.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Peak {
    /// Requests a second that read.
    pub(crate) requests: f64,
    /// Rows, ranges and objects a second that these asked for.
    pub(crate) items: f64,
    /// Requests a second that wrote.
    pub(crate) writes: f64,
}

/// Reads the stand-in's counters until this is dropped.
pub(crate) struct Sampler {
    samples: Rc<RefCell<Vec<Sample>>>,
    stopped: Rc<Cell<bool>>,
}

impl Sampler {
    pub(crate) fn start(fleet: &Fleet) -> Self {
        let taken: Rc<RefCell<Vec<Sample>>> = Rc::default();
        let stopped: Rc<Cell<bool>> = Rc::default();
        let sampler = Self {
            samples: taken.clone(),
            stopped: stopped.clone(),
        };
        let (operator, platform) = (fleet.operator.clone(), fleet.net.platform());
        ntex::rt::spawn(async move {
            while !stopped.get() {
                if let Some(sample) = sample(&operator, platform).await {
                    taken.borrow_mut().push(sample);
                }
                Delay::new(STEP).await;
            }
        });
        sampler
    }

    /// The busiest second since the start. Seconds that the sampler missed
    /// count with the mean over the gap.
    pub(crate) fn peak(&self) -> Peak {
        let samples = self.samples.borrow();
        let mut peak = Peak::default();
        let mut first = 0;
        for last in samples.iter() {
            let is_old = |it: &Sample| it.at_ms + WINDOW_MS <= last.at_ms;
            while samples.get(first + 1).is_some_and(is_old) {
                first += 1;
            }
            let begin = samples[first];
            let seconds = as_f64((last.at_ms - begin.at_ms).max(WINDOW_MS)) / 1e3;
            let rate = |from: u64, to: u64| as_f64(to - from) / seconds;
            peak.requests = peak.requests.max(rate(begin.requests, last.requests));
            peak.items = peak.items.max(rate(begin.items, last.items));
            peak.writes = peak.writes.max(rate(begin.writes, last.writes));
        }
        peak
    }
}

impl Drop for Sampler {
    fn drop(&mut self) {
        self.stopped.set(true);
    }
}

async fn sample(operator: &Operator, platform: std::net::SocketAddr) -> Option<Sample> {
    let report = operator.http().get(platform, "/admin/counts", "").await;
    let report: CountsReport = report.ok()?;
    Some(Sample {
        at_ms: report.uptime_ms,
        requests: report.total.reads,
        items: report.total.items_read,
        writes: report.total.writes,
    })
}
