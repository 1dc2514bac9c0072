//! The membership state machine: its state, and the dispatch of inputs.

use std::collections::BTreeSet;

use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::action::{Action, Input};
use crate::config::Config;
use crate::isolation::IsolationDetector;
use crate::member::{AnnouncedTarget, Member, MemberKey, MemberState, Time};
use crate::own_row::Rival;
use crate::probe::{IndirectProbes, ProbeRound};
use crate::table::{Entry, Table};
use crate::update_queue::{FleetSize, Locality, UpdateQueue};
use crate::wire::{Announcement, ConfigId, Exchange, Row, StateUpdate, ZoneDigest};

/// Results of comparing digests with the tables of a group of peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TableComparison {
    /// Consecutive exchanges in which the digests differed.
    pub(crate) mismatches: u32,
    /// Time of the first of these mismatches.
    mismatch_since: Option<Time>,
    /// Earliest time of the next pull.
    pub(crate) next_pull: Time,
}

impl TableComparison {
    /// Creates an empty comparison that allows the next pull from `next_pull` on.
    pub(crate) fn with_next_pull(next_pull: Time) -> Self {
        Self {
            next_pull,
            ..Self::default()
        }
    }

    pub(crate) fn record(&mut self, now: Time, is_same: bool) {
        if is_same {
            self.mismatches = 0;
            self.mismatch_since = None;
        } else {
            self.mismatches += 1;
            self.mismatch_since.get_or_insert(now);
        }
    }

    /// Returns for how long the tables have differed.
    pub(crate) fn mismatch_duration(&self, now: Time) -> Time {
        self.mismatch_since
            .map_or(Time::ZERO, |since| now.saturating_sub(since))
    }
}

/// The membership state machine of one daemon. See the crate's documentation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    pub(crate) config: Config,
    pub(crate) me: MemberKey,
    pub(crate) table: Table,
    pub(crate) updates: UpdateQueue,
    /// Sizes that determine how often an update is sent.
    pub(crate) fleet_size: FleetSize,
    pub(crate) isolation: IsolationDetector,
    pub(crate) round: ProbeRound,
    pub(crate) indirect_probes: IndirectProbes,
    pub(crate) rng: Xoshiro256PlusPlus,
    pub(crate) config_id: ConfigId,
    pub(crate) head_read: Option<Time>,
    pub(crate) last_tick: Option<Time>,
    pub(crate) next_probe: Time,
    pub(crate) probes: u32,
    /// Comparison with the tables of peers in this daemon's zone.
    pub(crate) own_zone_comparison: TableComparison,
    /// Comparison with the tables of peers in other zones.
    pub(crate) other_zones_comparison: TableComparison,
    /// Another process that may run under this instance's id, and is being asked.
    pub(crate) rival: Option<Rival>,
    pub(crate) actions: Vec<Action>,
}

impl Membership {
    /// Creates a state machine whose table holds only `me`, the member of this daemon.
    #[must_use]
    pub fn new(me: Member, config: Config, seed: u64) -> Self {
        let key = me.key();
        let mut table = Table::default();
        table.merge_row(me, true);
        let mut updates = UpdateQueue::default();
        let fleet_size = FleetSize {
            own_zone_members: 1,
            other_zones: 0,
        };
        updates.add(key, fleet_size, true);
        Self {
            config,
            me: key,
            table,
            updates,
            fleet_size,
            isolation: IsolationDetector::default(),
            round: ProbeRound::default(),
            indirect_probes: IndirectProbes::default(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            config_id: ConfigId::default(),
            head_read: None,
            last_tick: None,
            next_probe: Time::ZERO,
            probes: 0,
            own_zone_comparison: TableComparison::default(),
            other_zones_comparison: TableComparison::default(),
            rival: None,
            actions: Vec::new(),
        }
    }

    /// Processes one input and returns the requested actions in order.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        match input {
            Input::Tick => self.tick(now),
            Input::Replied { peer, reply } => self.replied(now, peer, reply),
            Input::Unreached { peer } => self.unreached(now, peer),
            Input::IndirectProbeResult { target, reached } => {
                self.indirect_probed(now, target, reached);
            }
            Input::TablePulled { rows } => self.table_pulled(now, rows),
            Input::AnnouncementsRead { rows } => self.announcements_read(now, rows),
            Input::Leave => self.leave(),
            Input::ConfigChanged(id) => self.config_id = id,
            Input::HeadRead => self.head_read = Some(now),
            Input::TargetAnnounced(announced) => self.target_announced(announced),
        }
        std::mem::take(&mut self.actions)
    }

    /// Processes a peer's exchange and returns the reply and the requested actions.
    pub fn answer(&mut self, now: Time, message: Exchange) -> (Exchange, Vec<Action>) {
        let from = message.from;
        if from == self.me {
            return (self.answer_rival(now), Vec::new());
        }
        let incarnation = message.incarnation;
        self.record_agreement(message.table);
        self.receive_message(now, from, message, false);
        let mut reply = self.compose(now, from);
        let known = self.table.get(from).map(|it| it.member.incarnation);
        reply.introduce = known.is_none();
        if known.is_some_and(|known| incarnation < known) {
            // A process that was replaced while it was frozen stops only once it
            // learns of its successor.
            self.add_member(&mut reply, from);
        }
        (reply, std::mem::take(&mut self.actions))
    }

    /// Returns the rows of the zones whose digests differ from `theirs`. Dead members
    /// are included, so that a peer that missed a death learns of it.
    #[must_use]
    pub fn rows_for(&self, theirs: &[ZoneDigest]) -> Vec<Row> {
        let mine = self.table.zone_digests();
        let same = |zone: &str| {
            let of = |digests: &[ZoneDigest]| {
                let found = digests.iter().find(|it| it.0 == zone);
                found.map(|it| it.1)
            };
            of(theirs).is_some() && of(theirs) == of(&mine)
        };
        self.table
            .iter()
            .filter(|(_, entry)| entry.confirmed && !same(&entry.member.zone))
            .map(|(_, entry)| Row::from(&entry.member))
            .collect()
    }

    /// Returns the key of this daemon.
    #[must_use]
    pub fn me(&self) -> MemberKey {
        self.me
    }

    /// Returns this daemon's own entry.
    ///
    /// # Panics
    ///
    /// Never: the own entry is created with the table and never removed.
    #[must_use]
    pub fn own_entry(&self) -> &Entry {
        self.table
            .get(self.me)
            .expect("this daemon's entry is never removed")
    }

    /// Returns the table of members.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Whether the table holds members of this daemon's zone that are known only from
    /// platform rows. Some of them may be alive, so this daemon's view of its zone is
    /// still incomplete.
    #[must_use]
    pub fn has_unconfirmed_in_zone(&self) -> bool {
        let mut entries = self.table.iter();
        entries.any(|(_, entry)| !entry.confirmed && self.is_own_zone(entry))
    }

    /// Returns the configuration that this daemon holds.
    #[must_use]
    pub fn config_id(&self) -> ConfigId {
        self.config_id
    }

    /// Whether probes to this zone succeed; true for a zone that was not probed yet.
    /// Members of an unreachable zone are not declared dead: only daemons of their own
    /// zone may do so.
    #[must_use]
    pub fn is_reachable(&self, zone: &str) -> bool {
        self.isolation.is_reachable(zone)
    }

    /// Whether probes succeed to every zone that has present members.
    #[must_use]
    pub fn reaches_every_zone(&self) -> bool {
        let mut present = self.table.present();
        present.all(|(_, entry)| self.isolation.is_reachable(&entry.member.zone))
    }

    /// Whether this daemon seems to be isolated from all other members.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.isolation.is_isolated()
    }

    /// Returns the time since the head, which is the newest configuration version at the
    /// platform, was last read, by this daemon or by any other whose read is known here.
    #[must_use]
    pub fn head_age(&self, now: Time) -> Option<Time> {
        self.head_read.map(|at| now.saturating_sub(at))
    }

    /// Returns the content of this daemon's announcement row at the platform.
    #[must_use]
    pub fn announcement(&self) -> Announcement {
        Announcement {
            row: Row::from(&self.own_entry().member),
            version: self.config_id.version,
        }
    }

    /// Returns a probe without updates, to be sent to `member` on behalf of a peer that
    /// can't reach it.
    #[must_use]
    pub fn probe_message(&self, now: Time, member: MemberKey) -> Exchange {
        self.base_message(now, member)
    }

    /// Builds a message for one peer with the updates that are due.
    pub(crate) fn compose(&mut self, now: Time, peer: MemberKey) -> Exchange {
        let mut message = self.base_message(now, peer);
        let Some(entry) = self.table.get(peer) else {
            return message;
        };
        let locality = self.locality_of(entry);
        for key in self.updates.next_batch(locality) {
            self.add_member(&mut message, key);
        }
        let Some(entry) = self.table.get(peer) else {
            return message;
        };
        if entry.member.state != MemberState::Alive {
            self.add_member(&mut message, peer);
        }
        let knows_me = entry.confirmed && entry.member.is_present() && entry.contacts > 0;
        if !knows_me {
            self.add_member(&mut message, self.me);
        }
        message
    }

    pub(crate) fn base_message(&self, now: Time, peer: MemberKey) -> Exchange {
        // Rounded up: if it were rounded down, daemons would keep confirming an age of
        // zero to each other, and an outage of the platform would go unnoticed.
        let age = self
            .head_age(now)
            .map_or(u128::MAX, |age| age.as_millis() / 100 + 1);
        Exchange {
            from: self.me,
            incarnation: self.own_entry().member.incarnation,
            mark: self.config_id,
            floor: self.table.get(peer).map_or(0, |entry| entry.version),
            head_age: u16::try_from(age).unwrap_or(u16::MAX),
            table: self.table.digest(),
            introduce: false,
            words: Vec::new(),
            rows: Vec::new(),
            drained: self.table.get(peer).and_then(|entry| entry.drained.clone()),
        }
    }

    /// Adds a member to a message: as a row with its addresses if it is alive, since
    /// the receiver may lack them, and as a state update otherwise.
    pub(crate) fn add_member(&self, message: &mut Exchange, key: MemberKey) {
        let Some(entry) = self.table.get(key).filter(|it| it.confirmed) else {
            return;
        };
        let member = &entry.member;
        let is_included = message.words.iter().any(|it| it.0 == key)
            || message.rows.iter().any(|it| it.key() == key);
        if is_included {
            return;
        }
        if member.state == MemberState::Alive {
            message.rows.push(Row::from(member));
        } else {
            let update = StateUpdate(key, member.incarnation, member.state.into());
            message.words.push(update);
        }
    }

    /// Stores the local target's announcement. The incarnation is raised because peers
    /// take a changed announcement only from a row that is newer than theirs.
    fn target_announced(&mut self, announced: Option<AnnouncedTarget>) {
        let me = self.me;
        let Some(own) = self.table.get_mut(me) else {
            return;
        };
        if own.member.announced == announced {
            return;
        }
        own.member.announced = announced;
        self.raise_incarnation(0);
        self.actions.push(Action::Changed(me));
    }

    pub(crate) fn queue_update(&mut self, key: MemberKey) {
        let Some(entry) = self.table.get(key) else {
            return;
        };
        let is_own_zone = self.is_own_zone(entry);
        self.updates.add(key, self.fleet_size, is_own_zone);
    }

    /// Counts the members and zones that updates are spread to. It runs once per tick
    /// rather than on each change, since a start of the whole fleet brings hundreds of
    /// changes.
    pub(crate) fn measure_fleet(&self) -> FleetSize {
        let own_zone = &self.own_entry().member.zone;
        let mut own_zone_members = 0;
        let mut other_zones = BTreeSet::new();
        for (_, entry) in self.table.present() {
            if entry.member.zone == *own_zone {
                own_zone_members += 1;
            } else {
                other_zones.insert(&entry.member.zone);
            }
        }
        FleetSize {
            own_zone_members,
            other_zones: other_zones.len(),
        }
    }

    fn locality_of(&self, entry: &Entry) -> Locality {
        if self.is_own_zone(entry) {
            Locality::SameZone
        } else {
            Locality::OtherZone
        }
    }

    pub(crate) fn is_own_zone(&self, entry: &Entry) -> bool {
        entry.member.zone == self.own_entry().member.zone
    }

    pub(crate) fn send(&mut self, now: Time, peer: MemberKey) {
        let Some(addr) = self.table.get(peer).map(|entry| entry.member.peer) else {
            return;
        };
        let message = self.compose(now, peer);
        self.actions.push(Action::Exchange {
            peer,
            addr,
            message,
        });
    }
}
