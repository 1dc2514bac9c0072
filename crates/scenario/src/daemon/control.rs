//! Tables of the control side and its tick.

use std::rc::Rc;
use std::sync::Arc;

use stoatstep_distribution::{
    ColdStart, ColdStartAction, ColdStartInput, OfferOutcome, PollOutcome, Poller, Repair, Replica,
    Serving, Spread, ZoneMembers,
};
use stoatstep_membership::{Announcement, Input, Member, MemberKey, Membership, Row, Time};
use stoatstep_resource::State;
use stoatstep_versionlog::Head;

use super::{Node, announce, gossip, spread};
use crate::script::Safeguard;

const TICK: Time = Time::from_millis(250);

/// The machines of the control side.
pub(crate) struct Control {
    pub(crate) in_force: Arc<State>,
    pub(super) serves: bool,
    pub(crate) membership: Membership,
    pub(crate) replica: Replica,
    pub(crate) serving: Serving,
    pub(crate) spread: Spread,
    pub(crate) repair: Repair,
    poller: Poller,
    pub(super) cold_start: ColdStart,
    has_announced_leave: bool,
}

impl Control {
    pub(super) fn new(me: Member, seed: u64) -> Self {
        Self {
            in_force: Arc::default(),
            serves: false,
            membership: Membership::new(me, stoatstep_membership::Config::default(), seed),
            replica: Replica::default(),
            serving: Serving::default(),
            spread: Spread::default(),
            repair: Repair::new(seed),
            poller: Poller::new(seed),
            cold_start: ColdStart::new(Time::ZERO, seed),
            has_announced_leave: false,
        }
    }

    /// Members that take part in spreading, by zone.
    pub(super) fn view(&self) -> ZoneMembers {
        let mut view = ZoneMembers::new();
        for (key, entry) in self.membership.table().present() {
            let zone = entry.member.zone.clone();
            view.entry(zone).or_default().push(key);
        }
        view
    }

    fn may_serve(&mut self) -> bool {
        let others = self.membership.table().present().count() - 1;
        let version = self.replica.version();
        self.serving.may_serve(version, others)
    }
}

/// Offers something to the replica and puts in force what it takes.
pub(super) fn offer(
    node: &Node,
    offer: impl FnOnce(&mut Replica, Time) -> OfferOutcome,
) -> OfferOutcome {
    let outcome = offer(&mut node.control.borrow_mut().replica, node.now());
    put_in_force(node);
    outcome
}

fn put_in_force(node: &Node) {
    let now = node.now();
    let is_guarded = !node.world.is_without(Safeguard::RestartFloor);
    let mut control = node.control.borrow_mut();
    let state = Arc::clone(control.replica.state());
    control.serves = control.may_serve() || !is_guarded;
    let is_newer = state.version() > control.in_force.version();
    if is_newer && control.serves {
        control.in_force = state;
    }
    let config_id = control.replica.config_id();
    control
        .membership
        .handle(now, Input::ConfigChanged(config_id));
}

/// The systems of the control side, four times a second.
pub(super) async fn run(node: Rc<Node>) {
    loop {
        tick(&node);
        node.sleep(TICK).await;
    }
}

fn tick(node: &Rc<Node>) {
    leave_once(node);
    gossip::input(node, Input::Tick);
    cold_start(node);
    poll_if_due(node);
    repair(node);
    put_in_force(node);
}

fn leave_once(node: &Rc<Node>) {
    if !node.is_draining() || node.world.is_without(Safeguard::Drain) {
        return;
    }
    let has_announced = &mut node.control.borrow_mut().has_announced_leave;
    if !std::mem::replace(has_announced, true) {
        let leaving = Rc::clone(node);
        node.spawn(async move { gossip::input(&leaving, Input::Leave) });
    }
}

fn repair(node: &Rc<Node>) {
    if node.world.is_without(Safeguard::Repair) {
        return;
    }
    let now = node.now();
    let mut control = node.control.borrow_mut();
    let config_id = control.replica.config_id();
    let needs_state = control.replica.needs_state();
    if let Some(due) = control.repair.tick(now, config_id, needs_state) {
        node.spawn(spread::repair(Rc::clone(node), due));
    }
}

fn poll_if_due(node: &Rc<Node>) {
    let now = node.now();
    let mut control = node.control.borrow_mut();
    if !control.cold_start.is_done() {
        return;
    }
    let table = control.membership.table();
    let zone: Vec<MemberKey> = table.in_zone(&node.zone).map(|(key, _)| key).collect();
    let fleet = table.present().count();
    let me = control.membership.me();
    let head_age = control.membership.head_age(now);
    let is_due = control.poller.tick(now, me, &zone, fleet, head_age);
    if is_due || node.world.is_without(Safeguard::PollBudget) {
        node.spawn(poll(Rc::clone(node)));
    }
}

async fn poll(node: Rc<Node>) {
    let head = node.version_log().head().await;
    let outcome = match &head {
        Ok(_) => PollOutcome::Read,
        Err(_) => PollOutcome::Failed,
    };
    node.control.borrow_mut().poller.record_outcome(outcome);
    let Ok(head) = head else {
        return;
    };
    learn(&node, &head);
    if head.version > node.control.borrow().replica.version() {
        spread::from_platform(&node, false).await;
    }
}

/// Takes in what the platform states of its newest version.
pub(super) fn learn(node: &Rc<Node>, head: &Head) {
    let mut control = node.control.borrow_mut();
    control.replica.record_head(head.version, head.digest);
    control.replica.resolve_fork(head.version, head.digest);
    control.serving.platform_answered(head.version);
    drop(control);
    gossip::input(node, Input::HeadRead);
}

fn cold_start(node: &Rc<Node>) {
    let now = node.now();
    let mut control = node.control.borrow_mut();
    let may_serve = control.serves;
    let table = control.membership.table();
    let me = control.membership.me();
    let zone = table.in_zone(&node.zone).map(|(key, _)| key);
    let near: Vec<MemberKey> = zone.filter(|key| *key != me).collect();
    let others = table
        .present()
        .filter(|(_, it)| it.member.zone != node.zone);
    let far: Vec<MemberKey> = others.map(|(key, _)| key).collect();
    let standing = ColdStartInput {
        held: control.replica.version(),
        may_serve,
        own_zone: &near,
        other_zones: &far,
    };
    match control.cold_start.tick(now, standing) {
        Some(ColdStartAction::ReadRoster { all_rows }) => {
            node.spawn(read_roster(Rc::clone(node), all_rows));
        }
        Some(ColdStartAction::PullPeer(peer)) => node.spawn(pull(Rc::clone(node), Some(peer))),
        Some(ColdStartAction::PullPlatform) => node.spawn(pull(Rc::clone(node), None)),
        None => {}
    }
}

async fn pull(node: Rc<Node>, peer: Option<MemberKey>) {
    match peer {
        Some(peer) => spread::from_peer(&node, peer, false).await,
        None => spread::from_platform(&node, false).await,
    };
    let now = node.now();
    let mut control = node.control.borrow_mut();
    let held = control.replica.version();
    control.cold_start.pulled(now, held);
}

async fn read_roster(node: Rc<Node>, wide: bool) {
    let roster = announce::roster(&node, wide).await;
    let now = node.now();
    let Some((head, rows)) = roster else {
        let control = &mut *node.control.borrow_mut();
        control.serving.platform_failed();
        control.cold_start.roster_failed(now);
        return;
    };
    let others = take_in(&node, &head, rows);
    let cold_start = &mut node.control.borrow_mut().cold_start;
    cold_start.roster_read(now, head.version, others);
}

/// Takes in what the platform knows; returns how many others it named.
pub(super) fn take_in(node: &Rc<Node>, head: &Head, announced: Vec<Announcement>) -> usize {
    let own = announced.iter().find(|it| it.row.instance == node.instance);
    if let Some(own) = own {
        node.control.borrow_mut().serving.raise_floor(own.version);
    }
    let rows: Vec<Row> = announced.into_iter().map(|it| it.row).collect();
    let others = rows.iter().filter(|it| it.instance != node.instance);
    let others = others.count();
    gossip::input(node, Input::AnnouncementsRead { rows });
    learn(node, head);
    others
}
