//! Gauges of the control plane, updated whenever the metrics are requested.

use stoatstep_membership::{MemberState, Table};
use stoatstep_telemetry::Metrics;

use super::tables::Control;

impl Control {
    /// Sets the gauges to the current values.
    pub(crate) fn set_gauges(&self, metrics: &Metrics) {
        let gauge = |name: &str, value: u64| metrics.gauge(name, value);
        gauge("control.version_held", self.replica.borrow().version());
        gauge("control.version_in_force", self.in_force().state.version());
        gauge("control.quarantined", count(self.quarantine().len()));
        let membership = self.membership.borrow();
        let table = membership.table();
        let states = [
            ("control.members_alive", MemberState::Alive),
            ("control.members_suspect", MemberState::Suspect),
            ("control.members_leaving", MemberState::Leaving),
            ("control.members_gone", MemberState::Dead),
        ];
        for (name, state) in states {
            gauge(name, members_in_state(table, state));
        }
        let unreached = table.present().filter(|(_, it)| it.unreached);
        gauge("control.members_unreached", count(unreached.count()));
        if let Some(age) = membership.head_age(self.now()) {
            let ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            gauge("control.head_age_ms", ms);
        }
    }
}

fn members_in_state(table: &Table, state: MemberState) -> u64 {
    let members = table.iter().filter(|(_, it)| it.confirmed);
    count(members.filter(|(_, it)| it.member.state == state).count())
}

fn count(n: usize) -> u64 {
    n as u64
}
