//! Counts of a target's answers, kept by its daemon.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::order::OrderId;

/// Time since the process started.
type Time = Duration;

/// Number of run-time classes. Each reaches half as far again as the one before it, so the longest
/// is some 50 s.
const RUN_TIME_CLASSES: usize = 24;

/// Upper bound of the shortest class.
const FIRST_BOUND: Duration = Duration::from_millis(5);

/// Ratio of the upper bounds of neighbouring classes.
const CLASS_RATIO: f64 = 1.5;

/// Number of recent spans that are counted separately, and the length of each. A regression that
/// begins late shows in them before it does in the counts since the order.
const RECENT_SPANS: usize = 3;
const SPAN: Duration = Duration::from_secs(1);

/// Maximum number of routes that are counted. A target serves a few.
const MAX_ROUTES: usize = 32;

/// Counts of a target's runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// Number of runs that ended, whether or not they failed.
    pub runs: u32,
    /// Number of runs that ended with a failure.
    pub failures: u32,
    /// Number of runs in each run-time class; classes after the last element are empty.
    pub times: Vec<u32>,
}

impl RunCounts {
    /// Counts a run that ended.
    pub fn record(&mut self, is_failure: bool, run_time: Duration) {
        self.runs += 1;
        self.failures += u32::from(is_failure);
        let class = class_of(run_time);
        if self.times.len() <= class {
            self.times.resize(class + 1, 0);
        }
        self.times[class] += 1;
    }

    /// Adds the counts of another target or span.
    pub fn add(&mut self, other: &Self) {
        self.runs = self.runs.saturating_add(other.runs);
        self.failures = self.failures.saturating_add(other.failures);
        let classes = other.times.len().min(RUN_TIME_CLASSES);
        if self.times.len() < classes {
            self.times.resize(classes, 0);
        }
        for (own, more) in self.times.iter_mut().zip(&other.times) {
            *own = own.saturating_add(*more);
        }
    }

    /// Returns the number of runs in classes above this one.
    #[must_use]
    pub fn slower_than(&self, class: usize) -> u32 {
        self.times.iter().skip(class + 1).sum()
    }

    /// Returns the class of the median run; `None` without runs.
    #[must_use]
    pub fn median_class(&self) -> Option<usize> {
        let all: u32 = self.times.iter().sum();
        let mut below = 0;
        let mut counts = self.times.iter();
        counts.position(|count| {
            below += count;
            all > 0 && below * 2 >= all
        })
    }
}

fn class_of(run_time: Duration) -> usize {
    let mut bound = FIRST_BOUND;
    let mut class = 0;
    while run_time > bound && class + 1 < RUN_TIME_CLASSES {
        bound = bound.mul_f64(CLASS_RATIO);
        class += 1;
    }
    class
}

/// The evidence of one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// The route.
    pub route: SmolStr,
    /// Counts since the order was received.
    pub whole: RunCounts,
    /// Counts of the last seconds.
    pub recent: RunCounts,
}

/// What one daemon has counted of its target's runs since an order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// One entry for each route.
    pub routes: Vec<RouteEvidence>,
    /// Number of calls that run or wait at this moment.
    pub occupied: u32,
}

#[derive(Clone, Debug, Default)]
struct RouteTally {
    whole: RunCounts,
    spans: VecDeque<(u64, RunCounts)>,
}

/// Counts a target's runs by route since the newest order for its service.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    order: OrderId,
    routes: BTreeMap<SmolStr, RouteTally>,
}

impl Tally {
    /// Clears the counts if the order is another one.
    pub fn reset_for(&mut self, order: OrderId) {
        if self.order != order {
            self.order = order;
            self.routes.clear();
        }
    }

    /// Counts a run that ended.
    pub fn record(&mut self, route: &SmolStr, is_failure: bool, run_time: Duration, now: Time) {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            return;
        }
        let tally = self.routes.entry(route.clone()).or_default();
        tally.whole.record(is_failure, run_time);
        let span = span_of(now);
        if tally.spans.back().is_none_or(|(at, _)| *at != span) {
            tally.spans.push_back((span, RunCounts::default()));
        }
        if tally.spans.len() > RECENT_SPANS {
            tally.spans.pop_front();
        }
        if let Some((_, run_counts)) = tally.spans.back_mut() {
            run_counts.record(is_failure, run_time);
        }
    }

    /// Returns the counts, with the number of calls that run or wait now.
    #[must_use]
    pub fn evidence(&self, occupied: u32, now: Time) -> Evidence {
        let from = span_of(now).saturating_sub(RECENT_SPANS as u64 - 1);
        let routes = self.routes.iter().map(|(route, tally)| {
            let mut recent = RunCounts::default();
            for (_, run_counts) in tally.spans.iter().filter(|(at, _)| *at >= from) {
                recent.add(run_counts);
            }
            RouteEvidence {
                route: route.clone(),
                whole: tally.whole.clone(),
                recent,
            }
        });
        Evidence {
            routes: routes.collect(),
            occupied,
        }
    }
}

fn span_of(now: Time) -> u64 {
    now.as_secs() / SPAN.as_secs()
}
