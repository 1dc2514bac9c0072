//! Whether a condition holds.

use std::rc::Rc;

use stoatstep_calls::Reason;
use stoatstep_resource::Version;
use stoatstep_versionlog::{head_request, read_head};

use crate::daemon::Node;
use crate::script::{CallEnd, Condition, Place};
use crate::world::World;
use crate::world::audit::Told;

/// `Err` says what was found instead.
pub(super) fn holds(world: &World, condition: &Condition) -> Result<(), String> {
    match condition {
        Condition::Version(version, place) => every(world, *place, "holds", |node| {
            let held = node.in_force().version();
            (held >= *version, held)
        }),
        Condition::Newest(place) => {
            let newest = head(world)?;
            every(world, *place, "holds", |node| {
                let held = node.in_force().version();
                (held == newest, held)
            })
        }
        Condition::Serving(place) => every(world, *place, "serves by", |node| {
            let held = node.in_force().version();
            (held > 0, held)
        }),
        Condition::Members(members, place) => every(world, *place, "counts", |node| {
            let counted = node.serving_members();
            (counted == *members, counted as u64)
        }),
        Condition::Head(version) => same("the head", head(world)?, *version),
        Condition::PlatformReadsBelow(bound) => {
            let most = world.store.most_reads_per_second();
            check(most < *bound, || format!("{most} reads in a second"))
        }
        Condition::Changes(end, count) => {
            let audit = world.audit.borrow();
            let found = audit.changes.iter().filter(|it| *it == end).count();
            same("changes that ended so", found as u64, *count as u64)
        }
        Condition::Ran { name, times } => {
            let ran = world.audit.borrow().ran(name);
            same("runs", ran as u64, *times as u64)
        }
        Condition::Outcome { name, end, reason } => {
            let audit = world.audit.borrow();
            let told = audit.told.iter().rev().find(|it| it.name == *name);
            let told = told.ok_or_else(|| format!("{name} was told nothing"))?;
            let reason_told = told.reason.map(Reason::as_str);
            let is_reason = reason.is_none() || reason.as_deref() == reason_told;
            check(told.end == *end && is_reason, || describe(told))
        }
        Condition::AnsweredAtLeast { name, percent } => {
            let audit = world.audit.borrow();
            let of_load = || audit.told.iter().filter(|it| it.name == *name);
            let answered = of_load().filter(|it| it.end == CallEnd::Answered).count();
            let all = of_load().count();
            let is_enough = all > 0 && answered * 100 >= all * *percent as usize;
            check(is_enough, || format!("{answered} of {all} answered"))
        }
    }
}

fn head(world: &World) -> Result<Version, String> {
    let answer = world.store.table.borrow().read(&head_request());
    let row = read_head(&answer).map_err(|error| error.to_string())?;
    Ok(row.head.version)
}

fn describe(told: &Told) -> String {
    let reason = told.reason.map_or("", |it| it.as_str());
    format!("{} was told {:?} {reason}", told.name, told.end)
}

fn same(what: &str, found: u64, expected: u64) -> Result<(), String> {
    check(found == expected, || {
        format!("{what}: {found}, expected {expected}")
    })
}

fn check(is_so: bool, found: impl FnOnce() -> String) -> Result<(), String> {
    if is_so { Ok(()) } else { Err(found()) }
}

/// Asks each running instance of a place; dead ones count for nothing.
fn every(
    world: &World,
    place: Place,
    verb: &str,
    ask: impl Fn(&Rc<Node>) -> (bool, u64),
) -> Result<(), String> {
    let running = super::instances(world, place);
    let running: Vec<Rc<Node>> = running
        .into_iter()
        .filter_map(|it| world.node(it))
        .collect();
    let wrong = running.iter().filter_map(|node| {
        let (is_so, found) = ask(node);
        (!is_so).then(|| format!("{} {verb} {found}", node.instance))
    });
    let wrong: Vec<String> = wrong.collect();
    check(!running.is_empty(), || "nobody runs there".to_owned())?;
    check(wrong.is_empty(), || wrong.join(", "))
}
