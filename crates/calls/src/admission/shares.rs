//! Start-time fair queueing over classes and, within a class, over tenants.

use std::collections::BTreeMap;

use stoatstep_resource::CustomerName;

use crate::class::Class;

/// Virtual time that one start costs at weight 1.
const START_COST: u64 = 1 << 20;

/// Number of tenants above which idle ones are dropped.
const IDLE_DROP_THRESHOLD: usize = 4096;

/// Virtual start times. The class and tenant with the smallest time go first, and each
/// start advances the times of its class and tenant by the inverse of their weights.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    clock: u64,
    classes: BTreeMap<Class, u64>,
    class_clocks: BTreeMap<Class, u64>,
    tenants: BTreeMap<(Class, CustomerName), u64>,
}

impl Shares {
    /// Virtual times of a class and of a tenant in it. They are never before the virtual
    /// clock: a tenant that was idle for an hour must not get that hour back.
    pub(super) fn position(&self, class: Class, tenant: &CustomerName) -> (u64, u64) {
        let at = self.classes.get(&class).copied().unwrap_or_default();
        let clock = self.class_clock(class);
        let key = (class, tenant.clone());
        let tenant_at = self.tenants.get(&key).copied().unwrap_or_default();
        (at.max(self.clock), tenant_at.max(clock))
    }

    /// Records a start.
    pub(super) fn charge(&mut self, class: Class, tenant: &CustomerName, weight: u32) {
        let (class_at, tenant_at) = self.position(class, tenant);
        self.clock = class_at;
        self.class_clocks.insert(class, tenant_at);
        let class_next = class_at + START_COST / u64::from(class.weight());
        let tenant_next = tenant_at + START_COST / u64::from(weight.max(1));
        self.classes.insert(class, class_next);
        self.tenants.insert((class, tenant.clone()), tenant_next);
        self.drop_idle();
    }

    fn class_clock(&self, class: Class) -> u64 {
        self.class_clocks.get(&class).copied().unwrap_or_default()
    }

    /// Drops idle tenants, because tenant names come from callers and the table must not
    /// grow with them. A tenant that is not ahead of its class's clock would get the same
    /// virtual time as a new one, so it need not be kept.
    fn drop_idle(&mut self) {
        if self.tenants.len() <= IDLE_DROP_THRESHOLD {
            return;
        }
        let clocks = &self.class_clocks;
        self.tenants.retain(|(class, _), at| {
            let clock = clocks.get(class).copied().unwrap_or_default();
            *at > clock
        });
    }
}
