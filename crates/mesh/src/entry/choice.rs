//! Chooses the zone and the target of a call's next attempt.

use std::time::Duration;

use rand::RngExt;
use stoatstep_calls::{Pick, PlacementRequest, TargetFilter};
use stoatstep_resource::UpstreamName;

use super::Tables;
use super::call::Call;
use super::traffic_split::TrafficSplit;
use crate::fleet::TargetLocation;
use crate::mechanism::Mechanism;
use crate::node::Node;
use crate::zones::{self, Leave};

/// Where the next attempt of a call may go.
#[derive(Clone, Copy)]
pub(super) struct Aim<'a> {
    /// Targets that it must not go to.
    pub(super) tried: &'a [UpstreamName],
    /// Whether it leaves its zone.
    pub(super) leave: &'a Leave,
    /// Whether it may be late.
    pub(super) is_late: bool,
}

/// Picks a target that was not tried yet, on the call's side of a roll-out or, if that side
/// has no target left, on the old side if the call may go there.
pub(super) fn choose_target(
    node: &Node,
    call: &Call,
    aim: Aim<'_>,
    split: &mut TrafficSplit,
) -> Option<(Pick, TargetLocation)> {
    let pick = choose_from(node, call, aim, split.allowed_targets());
    if pick.is_some() || !split.fall_back() {
        return pick;
    }
    choose_from(node, call, aim, split.allowed_targets())
}

/// Draws whether the call leaves its zone.
pub(super) fn draw_leave(node: &Node, call: &Call) -> Leave {
    let parts = &call.parts;
    zones::record_call(node, &parts.route, &parts.service);
    if !call.route.policy.serves_late() || !node.cfg.is_enabled(Mechanism::ZoneRooms) {
        return Leave::Freely;
    }
    let draw = node.entry.tables.borrow_mut().rng.random();
    let leave = zones::leave(node, &parts.route, draw);
    match &leave {
        Leave::To(_) => node.journal.count("calls.moved"),
        Leave::No => node.journal.count("calls.stayed"),
        Leave::Freely => {}
    }
    leave
}

fn choose_from(
    node: &Node,
    call: &Call,
    aim: Aim<'_>,
    among: TargetFilter<'_>,
) -> Option<(Pick, TargetLocation)> {
    let now = node.clock.now();
    let mut tables = node.entry.tables.borrow_mut();
    let Tables {
        placement,
        answers,
        rng,
        ..
    } = &mut *tables;
    let answers = answers.get(&call.parts.route).copied().unwrap_or_default();
    let objective = call.objective.saturating_sub(now);
    let wish = PlacementRequest {
        objective: if aim.is_late {
            Duration::ZERO
        } else {
            objective
        },
        left: match call.late {
            Some(_) => call.deadline.left(now),
            None => objective,
        },
        answer_bytes: if node.cfg.is_enabled(Mechanism::AnswerSize) {
            answers.bytes()
        } else {
            0.0
        },
        run: answers
            .run()
            .filter(|_| node.cfg.is_enabled(Mechanism::RouteTime)),
        filter: among,
        zone: match aim.leave {
            Leave::To(zone) if aim.tried.is_empty() => Some(zone),
            _ => None,
        },
        stays: *aim.leave == Leave::No,
    };
    let pick = placement.pick(&call.parts.service, aim.tried, wish, now, rng)?;
    let place = node.fleet.target_location(&pick.upstream)?;
    Some((pick, place))
}
