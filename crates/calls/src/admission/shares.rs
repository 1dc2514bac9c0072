//! Start-time fair queueing over classes and, inside a class, over tenants.

use std::collections::BTreeMap;

use stoatstep_resource::CustomerName;

use crate::class::Class;

/// Virtual time that one start costs at weight 1.
const ONE_START: u64 = 1 << 20;

/// Tenants remembered before idle ones are dropped.
const TENANTS_KEPT: usize = 4096;

/// Virtual start times. Whoever is furthest behind goes first, and each start
/// moves its class and tenant forward by the inverse of their weight.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    clock: u64,
    classes: BTreeMap<Class, u64>,
    class_clocks: BTreeMap<Class, u64>,
    tenants: BTreeMap<(Class, CustomerName), u64>,
}

impl Shares {
    /// Where a class and a tenant in it stand. Never before the virtual clock:
    /// a tenant that was idle for an hour must not be owed that hour.
    pub(super) fn position(&self, class: Class, tenant: &CustomerName) -> (u64, u64) {
        let at = self.classes.get(&class).copied().unwrap_or_default();
        let clock = self.class_clock(class);
        let key = (class, tenant.clone());
        let tenant_at = self.tenants.get(&key).copied().unwrap_or_default();
        (at.max(self.clock), tenant_at.max(clock))
    }

    /// Counts a start.
    pub(super) fn charge(&mut self, class: Class, tenant: &CustomerName, weight: u32) {
        let (class_at, tenant_at) = self.position(class, tenant);
        self.clock = class_at;
        self.class_clocks.insert(class, tenant_at);
        let class_next = class_at + ONE_START / u64::from(class.weight());
        let tenant_next = tenant_at + ONE_START / u64::from(weight.max(1));
        self.classes.insert(class, class_next);
        self.tenants.insert((class, tenant.clone()), tenant_next);
        self.drop_idle();
    }

    fn class_clock(&self, class: Class) -> u64 {
        self.class_clocks.get(&class).copied().unwrap_or_default()
    }

    /// Tenant names come from callers, so the table must not grow with them. One
    /// that is not ahead of its class's clock stands where a new one would.
    fn drop_idle(&mut self) {
        if self.tenants.len() <= TENANTS_KEPT {
            return;
        }
        let clocks = &self.class_clocks;
        self.tenants.retain(|(class, _), at| {
            let clock = clocks.get(class).copied().unwrap_or_default();
            *at > clock
        });
    }
}
