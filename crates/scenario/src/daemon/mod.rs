//! One instance: the shipped machines, wired as in the daemon.
//!
//! The wiring follows `crates/daemon/src/control` and `crates/daemon/src/call`
//! step by step, with messages in place of HTTP. No decision is made here.

mod announce;
mod attempt;
mod calls;
mod control;
mod entry;
mod executor;
mod gossip;
mod handover;
mod keyed;
mod spread;

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;

use smol_str::{SmolStr, format_smolstr};
use stoatstep_membership::{Member, MemberState, Time, starting_incarnation};
use stoatstep_resource::State;
use stoatstep_versionlog::{LogConfig, VersionLog};

use crate::world::exec::Life;
use crate::world::store::StoreClient;
use crate::world::{Index, LogEdge, World, zone_name};
use calls::Calls;
use control::Control;

pub(crate) use calls::End;
pub(crate) use entry::{Call, handle};
pub(crate) use spread::submit;

/// First port; instance `n` listens on the one that is `n` above.
const FIRST_PORT: u16 = 1000;

/// One life of an instance.
pub(crate) struct Node {
    pub(crate) world: Rc<World>,
    pub(crate) index: Index,
    pub(crate) life: Life,
    pub(crate) zone: SmolStr,
    pub(crate) instance: SmolStr,
    pub(crate) upstream: SmolStr,
    started: Time,
    started_wall: Time,
    pub(crate) control: RefCell<Control>,
    calls: RefCell<Calls>,
}

impl Node {
    /// Starts an instance.
    pub(crate) fn start(world: &Rc<World>, index: Index, life: Life) -> Rc<Self> {
        let zone = zone_name(world.zone_of(index));
        let instance = instance_name(index);
        let upstream = upstream_name(index);
        let started = world.exec.now();
        let started_wall = world.time_of_day(index);
        let me = Member {
            instance: instance.clone(),
            region: SmolStr::new_static("local"),
            zone: zone.clone(),
            upstream: upstream.clone(),
            caller: addr(index),
            peer: addr(index),
            operator: addr(index),
            birth: starting_incarnation(started_wall, None),
            incarnation: starting_incarnation(started_wall, None),
            state: MemberState::Alive,
            announced: None,
        };
        let seed = world.seed ^ me.key() ^ me.birth;
        let node = Rc::new(Self {
            world: Rc::clone(world),
            index,
            life,
            calls: RefCell::new(Calls::new(world, &zone, &upstream, started_wall, seed)),
            zone,
            instance,
            upstream,
            started,
            started_wall,
            control: RefCell::new(Control::new(me, seed)),
        });
        let control = control::run(Rc::clone(&node));
        world.exec.spawn(life, control);
        let calls = calls::run(Rc::clone(&node));
        world.exec.spawn(life, calls);
        let handover = handover::take(Rc::clone(&node));
        world.exec.spawn(life, handover);
        let announce = announce::run(Rc::clone(&node));
        world.exec.spawn(life, announce);
        node
    }

    /// Time since this process started.
    pub(crate) fn now(&self) -> Time {
        self.world.exec.now().saturating_sub(self.started)
    }

    /// The calendar clock, which a process reads only once.
    fn wall(&self) -> Time {
        self.started_wall + self.now()
    }

    fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.world.exec.spawn(self.life, future);
    }

    async fn sleep(&self, time: Time) {
        self.world.exec.sleep(time).await;
    }

    fn platform(&self) -> StoreClient {
        self.world.store_client(self.zone.clone())
    }

    fn version_log(&self) -> VersionLog<LogEdge> {
        let edge = LogEdge {
            world: Rc::clone(&self.world),
            client: self.platform(),
        };
        VersionLog::new(edge, LogConfig::default())
    }

    /// The state in force; version 0 before the instance serves.
    pub(crate) fn in_force(&self) -> Arc<State> {
        Arc::clone(&self.control.borrow().in_force)
    }

    /// Members that it would send calls to, itself included.
    pub(crate) fn serving_members(&self) -> usize {
        let control = self.control.borrow();
        let present = control.membership.table().present();
        present.filter(|(_, it)| it.member.takes_calls()).count()
    }

    /// Begins a graceful stop.
    pub(crate) fn drain(&self) {
        let now = self.now();
        self.calls.borrow_mut().drain.begin(now);
    }

    fn is_draining(&self) -> bool {
        !self.calls.borrow().drain.admits()
    }
}

pub(crate) fn instance_name(index: Index) -> SmolStr {
    format_smolstr!("i{}", index + 1)
}

pub(crate) fn upstream_name(index: Index) -> SmolStr {
    format_smolstr!("floatdesk-{}", index + 1)
}

fn addr(index: Index) -> SocketAddr {
    let offset = u16::try_from(index).expect("a scenario has few instances");
    SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + offset))
}

fn index_of(addr: SocketAddr) -> Index {
    Index::from(addr.port() - FIRST_PORT)
}
