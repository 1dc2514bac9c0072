//! Carries out a script.

mod expect;
mod operator;

use std::rc::Rc;

use smol_str::SmolStr;
use stoatstep_calls::Class;
use stoatstep_membership::Time;
use stoatstep_platform::{Fault, Service};

use crate::daemon::{Call, handle};
use crate::script::{Action, CallKind, CallSpec, Deed, Place, Rule, Script};
use crate::world::audit::{Violation, check};
use crate::world::exec::{OUTSIDE, oneshot};
use crate::world::{Index, World, zone_name};

/// Time past its deadline after which a caller hangs up.
const CALLER_PATIENCE: Time = Time::from_secs(1);

/// Runs a scenario once for each of its seeds.
///
/// # Errors
///
/// A line for each rule that was broken against the script's word, or for the
/// expected one that held. Each names the seed with which it comes back.
pub fn run(script: &Script) -> Result<(), Vec<String>> {
    let seeds = 1..=script.fleet.seeds;
    let runs: Vec<_> = seeds.map(|seed| (seed, run_once(script, seed))).collect();
    let is_expected = |it: &Violation| script.expected == Some(it.rule);
    let all = || runs.iter().flat_map(|(_, violations)| violations);
    if let Some(rule) = script.expected
        && !all().any(is_expected)
    {
        return Err(vec![format!("{rule} was expected to be broken, and held")]);
    }
    let mut lines = Vec::new();
    for (seed, violations) in &runs {
        // Without a safeguard one broken rule often brings others.
        let wrong = violations.iter().filter(|_| script.expected.is_none());
        lines.extend(wrong.map(|it| line(*seed, it)));
    }
    if lines.is_empty() { Ok(()) } else { Err(lines) }
}

fn line(seed: u64, violation: &Violation) -> String {
    let Violation { rule, at, detail } = violation;
    format!(
        "seed {seed}, at {:.3} s: {rule}: {detail}",
        at.as_secs_f64()
    )
}

fn run_once(script: &Script, seed: u64) -> Vec<Violation> {
    let world = World::new(script.fleet, script.without.clone(), seed);
    operator::first_version(&world, script.fleet);
    let all = 0..script.fleet.instances();
    all.clone().for_each(|index| world.start(index));
    for step in &script.steps {
        world.exec.run_until(step.at, || check(&world));
        match &step.action {
            Action::Do(deed) => carry_out(&world, deed),
            Action::Expect(condition) => {
                if let Err(found) = expect::holds(&world, condition) {
                    let detail = format!("line {}: {found}", step.line);
                    let mut audit = world.audit.borrow_mut();
                    audit.broken(Rule::Unmet, step.at, detail);
                }
            }
        }
    }
    all.for_each(|index| world.kill(index));
    world.exec.kill(OUTSIDE);
    world.audit.take().violations
}

fn carry_out(world: &Rc<World>, deed: &Deed) {
    let now = world.exec.now();
    match deed {
        Deed::Change { edit, by } => operator::change(world, edit, *by),
        Deed::Race {
            first,
            second,
            route,
        } => operator::race(world, *first, *second, route),
        Deed::CutZones(a, b, time) => world.net.cut(*a, *b, now + *time),
        Deed::CutPlatform(zone, time) => {
            let zone = zone_name(*zone);
            world.store.cut_zone(zone, now + *time);
        }
        Deed::Kill(place) => each(world, *place, |index| world.kill(index)),
        Deed::Restart(place) => each(world, *place, |index| {
            world.kill(index);
            world.start(index);
        }),
        Deed::Clock(place, error) => each(world, *place, |index| world.set_clock(index, *error)),
        Deed::Freeze(index, time) => freeze(world, *index, *time),
        Deed::Drain(index) => {
            if let Some(node) = world.node(*index) {
                node.drain();
                world.audit.borrow_mut().drains(*index, now);
            }
        }
        Deed::Platform { kind, delay, time } => world.store.add_fault(Fault {
            service: Service::All,
            zone: None,
            kind: *kind,
            delay: *delay,
            until: now + *time,
        }),
        Deed::Churn {
            per_second,
            time,
            by,
        } => {
            let churn = operator::churn(Rc::clone(world), *per_second, *time, *by);
            world.exec.spawn(OUTSIDE, churn);
        }
        Deed::DamagePushes(time) => world.net.damage_pushes(now + *time),
        Deed::LosePushes(time) => world.net.lose_pushes(now + *time),
        Deed::Link {
            from,
            to,
            fault,
            time,
        } => world.net.set_link(*from, *to, *fault, now + *time),
        Deed::Limit(index, limit) => {
            world.set_limit(*index, *limit);
            world.audit.borrow_mut().limited(*index, *limit, now);
        }
        Deed::Call(spec) => {
            let call = make_call(world, spec);
            world
                .exec
                .spawn(OUTSIDE, place(Rc::clone(world), call, spec.from));
        }
        Deed::Load {
            call,
            per_second,
            time,
        } => {
            let load = load(Rc::clone(world), call.clone(), *per_second, *time);
            world.exec.spawn(OUTSIDE, load);
        }
    }
}

fn each(world: &World, place: Place, mut apply: impl FnMut(Index)) {
    for index in instances(world, place) {
        apply(index);
    }
}

fn instances(world: &World, place: Place) -> Vec<Index> {
    let all = 0..world.instances();
    let is_there = |index: &Index| match place {
        Place::Everywhere => true,
        Place::Zone(zone) => world.zone_of(*index) == zone,
        Place::Instance(it) => it == *index,
    };
    all.filter(is_there).collect()
}

fn freeze(world: &Rc<World>, index: Index, time: Time) {
    let Some(node) = world.node(index) else {
        return;
    };
    let life = node.life;
    world.exec.freeze(life);
    let thawing = Rc::clone(world);
    world.exec.spawn(OUTSIDE, async move {
        thawing.exec.sleep(time).await;
        thawing.exec.thaw(life);
    });
}

fn make_call(world: &World, spec: &CallSpec) -> Call {
    let id = world.random();
    let key = match spec.kind {
        CallKind::Read | CallKind::Write => None,
        CallKind::Claim => Some(world.key(&spec.name, true)),
        CallKind::Plain => Some(world.key(&spec.name, false)),
    };
    let body = match key {
        Some(_) => spec.name.clone(),
        None => SmolStr::from(format!("{}-{id}", spec.name)),
    };
    Call {
        id,
        name: spec.name.clone(),
        path: SmolStr::new_static("/floats/top-up"),
        body,
        key,
        idempotent: spec.kind == CallKind::Read,
        tenant: spec.tenant.clone(),
        class: Class::default(),
        left: spec.deadline,
    }
}

/// A caller: sends to one instance and notes what it is told.
async fn place(world: Rc<World>, call: Call, from: Index) {
    let mut end = None;
    if let Some(node) = world.node(from) {
        let (tx, rx) = oneshot();
        let taken = call.clone();
        let life = node.life;
        world.exec.spawn(life, async move {
            tx.send(handle(node, taken).await);
        });
        let patience = call.left + CALLER_PATIENCE;
        end = world.exec.timeout(patience, rx).await.flatten();
    }
    let now = world.exec.now();
    world.audit.borrow_mut().told(&call, end, now);
}

async fn load(world: Rc<World>, spec: CallSpec, per_second: u32, time: Time) {
    let end = world.exec.now() + time;
    let pause = Time::from_secs(1) / per_second;
    while world.exec.now() < end {
        let call = make_call(&world, &spec);
        let placed = place(Rc::clone(&world), call, spec.from);
        world.exec.spawn(OUTSIDE, placed);
        world.exec.sleep(pause).await;
    }
}
