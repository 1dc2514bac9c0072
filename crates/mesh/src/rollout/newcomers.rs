//! Tracks software versions that appear beside others without a known order for them.

use std::collections::HashMap;
use std::time::Duration;

use stoatstep_calls::Time;
use stoatstep_resource::ServiceName;
use stoatstep_rollout::Software;

/// When the software versions of each service were first seen.
#[derive(Debug, Default)]
pub(crate) struct Newcomers {
    met: HashMap<ServiceName, Vec<(Software, Time)>>,
}

impl Newcomers {
    /// Time for which targets of a version that appeared beside another one are held back while no
    /// order is known. News of targets and of orders spread over different paths, and calls sent in
    /// between would reach a version that may be bad. An order is known everywhere within a second;
    /// without one, the targets are used before their capacity is missed.
    pub(crate) const HOLD: Duration = Duration::from_secs(3);

    /// Whether targets of this version are to be held back for now.
    pub(crate) fn hold(&mut self, service: &ServiceName, software: &Software, now: Time) -> bool {
        let met = self.met.entry(service.clone()).or_default();
        let known = met.iter().find(|(known, _)| known == software);
        // Versions seen right after the start are taken to have existed before. Otherwise a daemon
        // that starts beside a target of a new version would hold back the old ones, and call its
        // own.
        let met_now = if now < Self::HOLD { Time::ZERO } else { now };
        let at = known.map_or(met_now, |(_, at)| *at);
        if known.is_none() {
            met.push((software.clone(), met_now));
        }
        let has_older = met.iter().any(|(_, other)| *other < at);
        has_older && now.saturating_sub(at) < Self::HOLD
    }

    /// Removes versions that have no target left.
    pub(crate) fn retain(&mut self, is_there: impl Fn(&ServiceName, &Software) -> bool) {
        for (service, met) in &mut self.met {
            met.retain(|(software, _)| is_there(service, software));
        }
        self.met.retain(|_, met| !met.is_empty());
    }
}
