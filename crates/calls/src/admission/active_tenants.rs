//! Recently active tenants, and how many places of the queue each may use.

use std::collections::BTreeMap;
use std::time::Duration;

use stoatstep_resource::CustomerName;

use crate::ids::Time;

/// Time after which a tenant that sent no call no longer counts as active.
const ACTIVE_TIME: Duration = Duration::from_secs(1);

/// Time between two updates of the total weight.
const RECOUNT_INTERVAL: Duration = Duration::from_millis(100);

/// Upper bound on the tenants in the table. Their names come from callers, so the table
/// must not grow with them; tenants beyond the bound are not counted.
const MAX_TENANTS: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct Activity {
    at: Time,
    weight: u32,
}

/// Table of the recently active tenants.
#[derive(Clone, Debug, Default)]
pub(super) struct ActiveTenants {
    tenants: BTreeMap<CustomerName, Activity>,
    total_weight: u64,
    recount_at: Time,
}

impl ActiveTenants {
    /// Records a call of a tenant.
    pub(super) fn record(&mut self, tenant: &CustomerName, weight: u32, now: Time) {
        let activity = Activity { at: now, weight };
        if let Some(known) = self.tenants.get_mut(tenant) {
            *known = activity;
        } else if self.tenants.len() < MAX_TENANTS {
            self.tenants.insert(tenant.clone(), activity);
            self.total_weight += u64::from(weight.max(1));
        }
        if now >= self.recount_at {
            self.recount(now);
        }
    }

    /// Places that a tenant with `weight` may use in a queue of length `queue`.
    pub(super) fn queue_places(&self, weight: u32, queue: usize) -> usize {
        let weight = u64::from(weight.max(1));
        let total = self.total_weight.max(weight);
        let places = queue as u64 * weight / total;
        usize::try_from(places).unwrap_or(queue).max(1)
    }

    fn recount(&mut self, now: Time) {
        self.tenants
            .retain(|_, activity| activity.at + ACTIVE_TIME > now);
        let weights = self.tenants.values().map(|it| u64::from(it.weight.max(1)));
        self.total_weight = weights.sum();
        self.recount_at = now + RECOUNT_INTERVAL;
    }
}
