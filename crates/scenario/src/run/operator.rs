//! Operators: they write changes and try again until they know the end.

use std::rc::Rc;
use std::sync::Arc;

use smol_str::{SmolStr, format_smolstr};
use stoatstep_membership::Time;
use stoatstep_resource::wire::Change;
use stoatstep_resource::{Key, Kind, Resource, Revision, Route, Service, Upstream};
use stoatstep_versionlog::{AcceptedChange, LogConfig, VersionLog, WriteError};

use crate::daemon::{Node, submit, upstream_name};
use crate::script::{ChangeEnd, Edit, Fleet, Safeguard};
use crate::world::exec::{OUTSIDE, oneshot};
use crate::world::{Index, LogEdge, SERVICE, World, zone_name};

/// How long an operator waits for one answer, and before the next try.
const PATIENCE: Time = Time::from_secs(8);
const PAUSE: Time = Time::from_millis(500);

/// Time in which the first version is written, before any instance starts.
const FIRST_WRITE: Time = Time::from_millis(100);

const CONNECTIONS: u32 = 120;

/// Writes a service with its route and one upstream an instance.
pub(super) fn first_version(world: &Rc<World>, fleet: Fleet) {
    let service = Resource::Service(Service {
        name: SERVICE.into(),
        policy: None,
        health_path: None,
    });
    let route = Resource::Route(route(&SmolStr::new_static("floats")));
    let upstreams = (0..fleet.instances()).map(|index| {
        Resource::Upstream(Upstream {
            name: upstream_name(index),
            service: SERVICE.into(),
            slots: fleet.slots,
            connections: CONNECTIONS,
        })
    });
    let resources = [service, route].into_iter().chain(upstreams);
    let change = Change {
        operation: "first".into(),
        puts: resources.map(|it| (it, None)).collect(),
        deletes: Vec::new(),
    };
    let edge = LogEdge {
        world: Rc::clone(world),
        client: world.store_client(zone_name(0)),
    };
    let log = VersionLog::new(edge, LogConfig::default());
    world.exec.spawn(OUTSIDE, async move {
        let written = log.write(change, "operator".into(), Arc::default()).await;
        written.expect("the platform has no fault yet");
    });
    world.exec.run_until(FIRST_WRITE, || {});
}

fn route(name: &SmolStr) -> Route {
    Route {
        name: name.clone(),
        prefix: format_smolstr!("/{name}"),
        service: SERVICE.into(),
        policy: None,
        host: None,
        split: Vec::new(),
        idempotent: false,
        public: false,
    }
}

/// Asks for one change.
pub(super) fn change(world: &Rc<World>, edit: &Edit, by: Index) {
    let (puts, deletes) = match edit {
        Edit::Put(resource) => (vec![(resource.clone(), None)], Vec::new()),
        Edit::Delete(key) => (Vec::new(), vec![(key.clone(), None)]),
    };
    spawn(world, puts, deletes, by);
}

/// Upstreams change all the time: their slots go up and down, one after the
/// other.
pub(super) async fn churn(world: Rc<World>, per_second: u32, time: Time, by: Index) {
    let end = world.exec.now() + time;
    let mut count = 0;
    while world.exec.now() < end {
        let upstream = Resource::Upstream(Upstream {
            name: upstream_name(count % world.instances()),
            service: SERVICE.into(),
            slots: if (count / world.instances()).is_multiple_of(2) {
                9
            } else {
                13
            },
            connections: CONNECTIONS,
        });
        spawn(&world, vec![(upstream, None)], Vec::new(), by);
        count += 1;
        world.exec.sleep(Time::from_secs(1) / per_second).await;
    }
}

/// Two operators read the same route and change it in two ways. Both ways
/// differ from what they read: a change that changes nothing is no race.
pub(super) fn race(world: &Rc<World>, first: Index, second: Index, name: &SmolStr) {
    let read = |by| world.node(by).and_then(|node| held_route(&node, name));
    if let Some((mut held, revision)) = read(first) {
        held.idempotent = !held.idempotent;
        put_route(world, held, revision, first);
    }
    if let Some((mut held, revision)) = read(second) {
        let plain = route(name).prefix;
        held.prefix = if held.prefix == plain {
            format_smolstr!("{plain}/top-up")
        } else {
            plain
        };
        put_route(world, held, revision, second);
    }
}

fn held_route(node: &Node, name: &SmolStr) -> Option<(Route, Revision)> {
    let key = Key {
        kind: Kind::Route,
        name: name.clone(),
    };
    let state = node.in_force();
    let held = state.get(&key)?;
    match held.resource.as_ref() {
        Resource::Route(route) => Some((route.clone(), held.revision)),
        _ => None,
    }
}

fn put_route(world: &Rc<World>, route: Route, revision: Revision, by: Index) {
    let is_guarded = !world.is_without(Safeguard::ExpectedRevision);
    let expected = is_guarded.then_some(revision);
    spawn(
        world,
        vec![(Resource::Route(route), expected)],
        Vec::new(),
        by,
    );
}

fn spawn(
    world: &Rc<World>,
    puts: Vec<(Resource, Option<Revision>)>,
    deletes: Vec<(Key, Option<Revision>)>,
    by: Index,
) {
    let change = Change {
        operation: operation(world),
        puts,
        deletes,
    };
    let insisting = insist(Rc::clone(world), change, by);
    world.exec.spawn(OUTSIDE, insisting);
}

fn operation(world: &World) -> SmolStr {
    format_smolstr!("operation-{:016x}", world.random())
}

/// Sends the change, after a failure through the next instance and under the
/// same operation id.
async fn insist(world: Rc<World>, mut change: Change, by: Index) {
    let mut through = by;
    loop {
        let end = send(&world, &change, through).await;
        let end = match end {
            Some(Ok(accepted)) => {
                world.audit.borrow_mut().accepted(accepted.version);
                return;
            }
            Some(Err(WriteError::Conflict(_))) => ChangeEnd::Conflict,
            Some(Err(WriteError::Invalid(_))) => ChangeEnd::Invalid,
            None | Some(Err(_)) => {
                world.exec.sleep(PAUSE).await;
                through = (through + 1) % world.instances();
                if world.is_without(Safeguard::OperationId) {
                    change.operation = operation(&world);
                }
                continue;
            }
        };
        world.audit.borrow_mut().changes.push(end);
        return;
    }
}

async fn send(
    world: &Rc<World>,
    change: &Change,
    through: Index,
) -> Option<Result<AcceptedChange, WriteError>> {
    let node = world.node(through)?;
    let (tx, rx) = oneshot();
    let change = change.clone();
    let life = node.life;
    world.exec.spawn(life, async move {
        tx.send(submit(&node, change).await);
    });
    world.exec.timeout(PATIENCE, rx).await.flatten()
}
