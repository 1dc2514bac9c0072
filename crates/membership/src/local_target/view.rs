//! What the rest of the daemon is told of the local target.

use smol_str::SmolStr;

use super::LocalTarget;
use crate::heartbeat::Heartbeat;
use crate::member::{AnnouncedTarget, Time};

impl LocalTarget {
    /// Returns the target's last heartbeat if the target accepts new calls.
    #[must_use]
    pub fn accepting_heartbeat(&self, now: Time) -> Option<&Heartbeat> {
        let generation = self.live_generation(now)?;
        let is_open = generation.is_confirmed && self.accepts_calls(generation);
        is_open.then_some(&generation.heartbeat)
    }

    /// Returns the service of the live target that has confirmed itself. A heartbeat alone may
    /// come from a former target of the address, or from another program.
    #[must_use]
    pub fn confirmed_service(&self, now: Time) -> Option<&SmolStr> {
        let generation = self.live_generation(now).filter(|it| it.is_confirmed)?;
        Some(&generation.heartbeat.service)
    }

    /// Returns the service that the target reports, which may be unconfirmed; none before the
    /// first heartbeat.
    #[must_use]
    pub fn service(&self) -> Option<&SmolStr> {
        self.current.as_ref().map(|it| &it.heartbeat.service)
    }

    /// Returns the id of the target's current generation; none before the first heartbeat.
    #[must_use]
    pub fn generation(&self) -> Option<&SmolStr> {
        self.current.as_ref().map(|it| &it.heartbeat.upstream)
    }

    /// Returns the number of calls that the target runs at a time; none before the first
    /// heartbeat.
    #[must_use]
    pub fn slots(&self) -> Option<u32> {
        self.current.as_ref().map(|it| it.heartbeat.slots)
    }

    /// Whether the target is still warming up, according to its last heartbeat.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        let generation = self.current.as_ref();
        generation.is_some_and(|it| it.received_at + it.heartbeat.cold > now)
    }

    /// Returns the announcement of the target for peers. There is none while the target is
    /// silent or is yet to be confirmed.
    #[must_use]
    pub fn announced(&self, now: Time) -> Option<AnnouncedTarget> {
        let generation = self.live_generation(now)?;
        if self.awaits_confirmation(generation, now) {
            return None;
        }
        Some(AnnouncedTarget {
            upstream: generation.heartbeat.upstream.clone(),
            service: generation.heartbeat.service.clone(),
            slots: generation.heartbeat.slots,
            draining: !self.accepts_calls(generation),
            software: generation.heartbeat.software.clone(),
        })
    }
}
