//! Which side of a service under a roll-out a call goes to.

use rand::RngExt;
use stoatstep_calls::{Reason, TargetFilter};
use stoatstep_rollout::{RolloutRouting, Side, Step};

use super::call::Call;
use crate::node::Node;
use crate::wire::End;

/// The side of one call, and how it changes from attempt to attempt.
pub(super) struct Divided(Option<(RolloutRouting, Side)>);

impl Divided {
    /// Draws the side of a call. One of a service that is not under a roll-out has none.
    pub(super) fn of(node: &Node, call: &Call) -> Self {
        let draw = node.entry.tables.borrow_mut().rng.random();
        Self(node.rollouts.divide(&call.parts, draw))
    }

    /// The targets that the call may go to.
    pub(super) fn among(&self) -> TargetFilter<'_> {
        match &self.0 {
            None => TargetFilter::All,
            Some((lane, Side::Old)) => TargetFilter::OtherSoftware(&lane.target),
            Some((lane, Side::New)) => TargetFilter::Software(&lane.target),
            Some((lane, Side::Canary)) => TargetFilter::Named(lane.canaries.names()),
        }
    }

    /// Learns from an attempt. A side that refuses the call knows of a later step, and a
    /// target that is tried gets each call once at most: its caller is served by the old
    /// side if that did not go well.
    pub(super) fn note(&mut self, end: &End) {
        let Some((_, side)) = &mut self.0 else {
            return;
        };
        let is_held = matches!(end, End::Refused(it) if it.reason == Reason::Held);
        if is_held || *side == Side::Canary {
            *side = side.other();
        }
    }

    /// Turns to the old side where the new one has no target left; `false` where the call
    /// may not go there, or is there already.
    pub(super) fn turns_back(&mut self) -> bool {
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
