//! Simulated fleet: membership state machines connected by an in-memory network.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use stoatstep_membership::{
    Action, Config, Input, Member, MemberKey, MemberState, Membership, Row, Time, member_key,
};

pub(crate) const TICK: Duration = Duration::from_millis(250);

pub(crate) fn member(zone: usize, n: usize, birth: u64) -> Member {
    let port = u16::try_from(20_000 + zone * 1000 + n * 3).expect("small");
    let addr = |offset| ([127, 0, 0, 1], port + offset).into();
    Member {
        instance: format!("i-{zone}-{n}").into(),
        region: "northvale".into(),
        zone: format!("z{zone}").into(),
        upstream: format!("floatdesk-{zone}-{n}").into(),
        caller: addr(0),
        peer: addr(1),
        operator: addr(2),
        birth,
        incarnation: birth,
        state: MemberState::Alive,
        announced: None,
    }
}

pub(crate) fn key(zone: usize, n: usize) -> MemberKey {
    member_key(&format!("i-{zone}-{n}"))
}

#[derive(Default)]
pub(crate) struct Fleet {
    pub(crate) now: Time,
    pub(crate) nodes: BTreeMap<MemberKey, Membership>,
    /// Start time of each process, from which its state machine counts time.
    started: BTreeMap<MemberKey, Time>,
    pub(crate) frozen: BTreeSet<MemberKey>,
    pub(crate) cut_zones: BTreeSet<String>,
    pub(crate) cut_nodes: BTreeSet<MemberKey>,
    pub(crate) actions: Vec<(MemberKey, Action)>,
    /// Bytes of all messages.
    pub(crate) bytes: usize,
    /// Bytes of the messages between zones.
    pub(crate) cross_zone_bytes: usize,
}

impl Fleet {
    pub(crate) fn new(zones: usize, per_zone: usize) -> Self {
        let mut fleet = Self::default();
        let rows: Vec<Row> = (0..zones)
            .flat_map(|z| (0..per_zone).map(move |n| Row::from(&member(z, n, 1000))))
            .collect();
        for z in 0..zones {
            for n in 0..per_zone {
                fleet.start(member(z, n, 1000), &rows);
            }
        }
        fleet
    }

    pub(crate) fn start(&mut self, me: Member, rows: &[Row]) {
        let key = me.key();
        let node = Membership::new(me, Config::default(), key);
        let rows = rows.to_vec();
        self.started.insert(key, self.now);
        self.nodes.insert(key, node);
        self.input(key, Input::AnnouncementsRead { rows });
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            let keys: Vec<_> = self.nodes.keys().copied().collect();
            for key in keys {
                if !self.frozen.contains(&key) {
                    self.input(key, Input::Tick);
                }
            }
        }
    }

    pub(crate) fn input(&mut self, at: MemberKey, input: Input) {
        let mut queue = VecDeque::from([(at, input)]);
        while let Some((at, input)) = queue.pop_front() {
            let now = self.clock(at);
            let Some(node) = self.nodes.get_mut(&at) else {
                continue;
            };
            for action in node.handle(now, input) {
                self.act(at, action, &mut queue);
            }
        }
    }

    fn act(&mut self, at: MemberKey, action: Action, queue: &mut VecDeque<(MemberKey, Input)>) {
        match action.clone() {
            Action::Exchange {
                peer,
                addr,
                message,
            } => {
                self.count(at, peer, &message);
                if self.at_addr(addr) != Some(peer) || !self.connected(at, peer) {
                    queue.push_back((at, Input::Unreached { peer }));
                    return;
                }
                let now = self.clock(peer);
                let node = self.nodes.get_mut(&peer).expect("connected");
                let (reply, actions) = node.answer(now, message);
                self.count(at, peer, &reply);
                queue.push_back((at, Input::Replied { peer, reply }));
                for action in actions {
                    self.act(peer, action, queue);
                }
            }
            Action::IndirectProbe { addr, target } => {
                let helper = self.at_addr(addr);
                let reached =
                    helper.is_some_and(|it| self.connected(at, it) && self.connected(it, target));
                queue.push_back((at, Input::IndirectProbeResult { target, reached }));
            }
            Action::PullTable { addr, zones } => {
                if let Some(peer) = self.at_addr(addr).filter(|it| self.connected(at, *it)) {
                    let rows = self.nodes[&peer].rows_for(&zones);
                    self.count(at, peer, &rows);
                    queue.push_back((at, Input::TablePulled { rows }));
                }
            }
            _ => {}
        }
        self.actions.push((at, action));
    }

    /// Returns the time since a process started.
    fn clock(&self, at: MemberKey) -> Time {
        let started = self.started.get(&at).copied().unwrap_or_default();
        self.now.saturating_sub(started)
    }

    fn count(&mut self, at: MemberKey, peer: MemberKey, message: &impl serde::Serialize) {
        let bytes = rmp_serde::to_vec(message).expect("encodes").len();
        self.bytes += bytes;
        let zone = |key| self.nodes.get(&key).map(|it| &it.own_entry().member.zone);
        if zone(at) != zone(peer) {
            self.cross_zone_bytes += bytes;
        }
    }

    fn at_addr(&self, addr: std::net::SocketAddr) -> Option<MemberKey> {
        let found = self
            .nodes
            .iter()
            .find(|(_, it)| it.own_entry().member.peer == addr);
        found.map(|(key, _)| *key)
    }

    fn connected(&self, a: MemberKey, b: MemberKey) -> bool {
        let zone = |key| {
            self.nodes
                .get(&key)
                .map(|it| it.own_entry().member.zone.to_string())
        };
        let (Some(za), Some(zb)) = (zone(a), zone(b)) else {
            return false;
        };
        let is_zone_cut =
            za != zb && (self.cut_zones.contains(&za) || self.cut_zones.contains(&zb));
        let is_node_cut = self.cut_nodes.contains(&a) || self.cut_nodes.contains(&b);
        !is_zone_cut && !is_node_cut && !self.frozen.contains(&a) && !self.frozen.contains(&b)
    }

    pub(crate) fn state(&self, at: MemberKey, of: MemberKey) -> Option<MemberState> {
        self.nodes[&at].table().get(of).map(|it| it.member.state)
    }

    pub(crate) fn all_see(&self, of: MemberKey, state: MemberState) -> bool {
        let running = self.nodes.keys().filter(|it| !self.frozen.contains(it));
        running
            .filter(|at| **at != of)
            .all(|at| self.state(*at, of) == Some(state))
    }

    pub(crate) fn tables_agree(&self) -> bool {
        let mut digests = self.nodes.values().map(|it| it.table().digest());
        let first = digests.next();
        digests.all(|it| Some(it) == first)
    }
}
