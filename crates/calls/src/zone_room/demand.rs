//! Demand of one entry's callers.

use std::collections::BTreeMap;
use std::time::Duration;

use stoatstep_resource::{RouteName, ServiceName};

use super::RouteDemand;
use crate::answer_stats::AnswerStats;
use crate::ids::Time;
use crate::recent_load::Decayed;

/// Time constant with which calls decay. Demand that lasts for less does not outlast the exchange
/// between the zones.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Limit on the routes; the callers of one daemon use a few dozen.
const MAX_ROUTES: usize = 64;

/// Calls per second below which a route is forgotten.
const MIN_RATE: f64 = 0.05;

/// Decayed counts of the calls of each route.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    routes: BTreeMap<RouteName, Count>,
}

#[derive(Clone, Debug)]
struct Count {
    service: ServiceName,
    calls: Decayed,
}

impl DemandMeter {
    /// Counts a call.
    pub fn record(&mut self, route: &RouteName, service: &ServiceName, now: Time) {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            return;
        }
        let count = self.routes.entry(route.clone()).or_insert_with(|| Count {
            service: service.clone(),
            calls: Decayed::default(),
        });
        count.calls.record(1.0, DECAY_TIME, now);
        // The last one of a split route; its calls differ little in what they need.
        count.service = service.clone();
    }

    /// Returns the demand for all routes whose run times are known by `stats`.
    pub fn read(
        &mut self,
        stats: impl Fn(&RouteName) -> Option<AnswerStats>,
        now: Time,
    ) -> Vec<RouteDemand> {
        let rate = |count: &Count| count.calls.per_second(DECAY_TIME, now);
        self.routes.retain(|_, count| rate(count) >= MIN_RATE);
        let demand = |(route, count): (&RouteName, &Count)| {
            let stats = stats(route)?;
            Some(RouteDemand {
                route: route.clone(),
                service: count.service.clone(),
                calls_per_s: rate(count),
                run_s: stats.run()?.as_secs_f64(),
                answer_bytes: stats.bytes(),
            })
        };
        self.routes.iter().filter_map(demand).collect()
    }
}
