//! Chooses the side of a roll-out to which a call goes.

use rand::RngExt;
use stoatstep_calls::{Reason, TargetFilter};
use stoatstep_rollout::{RolloutRouting, Side, Step};

use super::call::Call;
use crate::node::Node;
use crate::wire::End;

/// The side of one call, which may change from attempt to attempt. Calls of services
/// without a roll-out have none.
pub(super) struct TrafficSplit(Option<(RolloutRouting, Side)>);

impl TrafficSplit {
    /// Draws the side of a call at random, by the step that the roll-out has reached.
    pub(super) fn draw(node: &Node, call: &Call) -> Self {
        let draw = node.entry.tables.borrow_mut().rng.random();
        Self(node.rollouts.divide(&call.parts, draw))
    }

    /// The targets to which the call may go.
    pub(super) fn allowed_targets(&self) -> TargetFilter<'_> {
        match &self.0 {
            None => TargetFilter::All,
            Some((lane, Side::Old)) => TargetFilter::OtherSoftware(&lane.target),
            Some((lane, Side::New)) => TargetFilter::Software(&lane.target),
            Some((lane, Side::Canary)) => TargetFilter::Named(lane.canaries.names()),
        }
    }

    /// Changes the side after an attempt if needed. An executor that refuses the call as held
    /// knows of a later step of the roll-out. A canary gets each call at most once: if that
    /// attempt fails, the old side serves the call.
    pub(super) fn update(&mut self, end: &End) {
        let Some((_, side)) = &mut self.0 else {
            return;
        };
        let is_held = matches!(end, End::Refused(it) if it.reason == Reason::Held);
        if is_held || *side == Side::Canary {
            *side = side.other();
        }
    }

    /// Changes to the old side, for a call whose side has no target left. Returns `false` if
    /// the call is there already or the roll-out is completed.
    pub(super) fn fall_back(&mut self) -> bool {
        let Some((lane, side)) = &mut self.0 else {
            return false;
        };
        if *side == Side::Old || lane.step == Step::Completed {
            return false;
        }
        *side = Side::Old;
        true
    }
}
