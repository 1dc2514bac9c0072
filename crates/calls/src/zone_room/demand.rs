//! Demand of one entry's callers.

use std::collections::BTreeMap;
use std::time::Duration;

use stoatstep_resource::{RouteName, ServiceName};

use super::RouteDemand;
use crate::answer_stats::AnswerStats;
use crate::ids::Time;

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
    calls: f64,
    updated_at: Time,
}

impl Count {
    fn decay(&mut self, now: Time) {
        let passed = now.saturating_sub(self.updated_at);
        self.calls *= (-passed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.updated_at = now;
    }
}

impl DemandMeter {
    /// Counts a call.
    pub fn record(&mut self, route: &RouteName, service: &ServiceName, now: Time) {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            return;
        }
        let count = self.routes.entry(route.clone()).or_insert_with(|| Count {
            service: service.clone(),
            calls: 0.0,
            updated_at: now,
        });
        count.decay(now);
        count.calls += 1.0;
        // The last one of a split route; its calls differ little in what they need.
        count.service = service.clone();
    }

    /// Returns the demand for all routes whose run times are known by `stats`.
    pub fn read(
        &mut self,
        stats: impl Fn(&RouteName) -> Option<AnswerStats>,
        now: Time,
    ) -> Vec<RouteDemand> {
        let is_in_use = |_: &RouteName, count: &mut Count| {
            count.decay(now);
            count.calls / DECAY_TIME.as_secs_f64() >= MIN_RATE
        };
        self.routes.retain(is_in_use);
        let demand = |(route, count): (&RouteName, &Count)| {
            let stats = stats(route)?;
            Some(RouteDemand {
                route: route.clone(),
                service: count.service.clone(),
                calls_per_s: count.calls / DECAY_TIME.as_secs_f64(),
                run_s: stats.run()?.as_secs_f64(),
                answer_bytes: stats.bytes(),
            })
        };
        self.routes.iter().filter_map(demand).collect()
    }
}
