//! Tracks software versions that appear beside others without a roll-out order.

use std::collections::HashMap;
use std::time::Duration;

use stoatstep_calls::Time;
use stoatstep_resource::ServiceName;
use stoatstep_rollout::Software;

/// When the software versions of each service were first seen.
#[derive(Debug, Default)]
pub(crate) struct NewVersions {
    first_seen: HashMap<ServiceName, Vec<(Software, Time)>>,
}

impl NewVersions {
    /// Time for which targets of a version that appeared beside another one are held back while no
    /// order is known. Updates about targets and about orders spread over different paths, and
    /// calls sent in between would reach a version that may be bad. An order is known everywhere
    /// within a second; without one, the targets are used before their capacity is missed.
    pub(crate) const HOLD_TIME: Duration = Duration::from_secs(3);

    /// Records the version, and returns whether its targets are to be held back for now.
    pub(crate) fn should_hold(
        &mut self,
        service: &ServiceName,
        software: &Software,
        now: Time,
    ) -> bool {
        let seen = self.first_seen.entry(service.clone()).or_default();
        let known = seen.iter().find(|(known, _)| known == software);
        // Versions seen right after the start are taken to have existed before. Otherwise a daemon
        // that starts beside a target of a new version would hold back the old ones, and call its
        // own.
        let seen_now = if now < Self::HOLD_TIME {
            Time::ZERO
        } else {
            now
        };
        let at = known.map_or(seen_now, |(_, at)| *at);
        if known.is_none() {
            seen.push((software.clone(), seen_now));
        }
        let has_older = seen.iter().any(|(_, other)| *other < at);
        has_older && now.saturating_sub(at) < Self::HOLD_TIME
    }

    /// Time for which targets of this version have been known without interruption.
    pub(crate) fn known_for(&self, service: &str, software: &Software, now: Time) -> Duration {
        let seen = self.first_seen.get(service).into_iter().flatten();
        let mut at = seen.filter(|(known, _)| known == software);
        at.next()
            .map_or(Duration::ZERO, |(_, at)| now.saturating_sub(*at))
    }

    /// Removes versions that have no target left.
    pub(crate) fn retain(&mut self, has_target: impl Fn(&ServiceName, &Software) -> bool) {
        for (service, seen) in &mut self.first_seen {
            seen.retain(|(software, _)| has_target(service, software));
        }
        self.first_seen.retain(|_, seen| !seen.is_empty());
    }
}
