//! Tenants that were here lately, and what each may hold of the queue.

use std::collections::BTreeMap;
use std::time::Duration;

use stoatstep_resource::CustomerName;

use crate::ids::Time;

/// Time after which a tenant that sent nothing no longer counts.
const LATELY: Duration = Duration::from_secs(1);

/// Time between two counts of the weights.
const RECOUNT: Duration = Duration::from_millis(100);

/// Tenants that are told apart. Names come from callers, so the table must not
/// grow with them; those beyond it count as one of weight 1.
const TENANTS: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct Seen {
    at: Time,
    weight: u32,
}

/// Table of the tenants seen lately.
#[derive(Clone, Debug, Default)]
pub(super) struct Active {
    seen: BTreeMap<CustomerName, Seen>,
    total: u64,
    recount_at: Time,
}

impl Active {
    /// Counts a call of a tenant.
    pub(super) fn see(&mut self, tenant: &CustomerName, weight: u32, now: Time) {
        let seen = Seen { at: now, weight };
        if let Some(known) = self.seen.get_mut(tenant) {
            *known = seen;
        } else if self.seen.len() < TENANTS {
            self.seen.insert(tenant.clone(), seen);
            self.total += u64::from(weight.max(1));
        }
        if now >= self.recount_at {
            self.recount(now);
        }
    }

    /// Places of a queue of `queue` that a tenant may hold.
    pub(super) fn places(&self, weight: u32, queue: usize) -> usize {
        let weight = u64::from(weight.max(1));
        let total = self.total.max(weight);
        let places = queue as u64 * weight / total;
        usize::try_from(places).unwrap_or(queue).max(1)
    }

    fn recount(&mut self, now: Time) {
        self.seen.retain(|_, seen| seen.at + LATELY > now);
        let weights = self.seen.values().map(|it| u64::from(it.weight.max(1)));
        self.total = weights.sum();
        self.recount_at = now + RECOUNT;
    }
}
