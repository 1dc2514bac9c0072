//! The membership state machine: what it holds and how inputs reach its parts.

use std::collections::BTreeSet;

use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::action::{Action, Input};
use crate::config::Config;
use crate::guard::Guard;
use crate::member::{Announced, Member, MemberKey, MemberState, Time};
use crate::probe::{Helpers, Round};
use crate::table::{Entry, Table};
use crate::updates::{Audience, Reach, Updates};
use crate::wire::{Announcement, Exchange, Mark, Row, Word, ZoneDigest};

/// How the tables of some peers compared with this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Comparison {
    /// Exchanges in a row with another digest.
    pub(crate) mismatches: u32,
    /// When the first of them was.
    since: Option<Time>,
    /// Earliest time of the next pull.
    pub(crate) next_pull: Time,
}

impl Comparison {
    /// Before anything was compared; the next pull is at `next_pull` or later.
    pub(crate) fn anew(next_pull: Time) -> Self {
        Self {
            next_pull,
            ..Self::default()
        }
    }

    pub(crate) fn note(&mut self, now: Time, is_same: bool) {
        if is_same {
            self.mismatches = 0;
            self.since = None;
        } else {
            self.mismatches += 1;
            self.since.get_or_insert(now);
        }
    }

    /// How long the tables have differed.
    pub(crate) fn lasts(&self, now: Time) -> Time {
        self.since
            .map_or(Time::ZERO, |since| now.saturating_sub(since))
    }
}

/// Membership as one daemon sees it. See the crate's documentation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    pub(crate) config: Config,
    pub(crate) me: MemberKey,
    pub(crate) table: Table,
    pub(crate) updates: Updates,
    /// Among whom news goes round.
    pub(crate) audience: Audience,
    pub(crate) guard: Guard,
    pub(crate) round: Round,
    pub(crate) helpers: Helpers,
    pub(crate) rng: Xoshiro256PlusPlus,
    pub(crate) mark: Mark,
    pub(crate) head_read: Option<Time>,
    pub(crate) last_tick: Option<Time>,
    pub(crate) next_probe: Time,
    pub(crate) probes: u32,
    /// What was seen of the tables of peers in the own zone, and in others.
    pub(crate) near: Comparison,
    pub(crate) far: Comparison,
    pub(crate) has_met: bool,
    pub(crate) actions: Vec<Action>,
}

impl Membership {
    /// A machine for the daemon described by `me`, alone in its table.
    #[must_use]
    pub fn new(me: Member, config: Config, seed: u64) -> Self {
        let key = me.key();
        let mut table = Table::default();
        table.merge_row(me, true);
        let mut updates = Updates::default();
        let audience = Audience {
            near: 1,
            other_zones: 0,
        };
        updates.add(key, audience, true);
        Self {
            config,
            me: key,
            table,
            updates,
            audience,
            guard: Guard::default(),
            round: Round::default(),
            helpers: Helpers::default(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            mark: Mark::default(),
            head_read: None,
            last_tick: None,
            next_probe: Time::ZERO,
            probes: 0,
            near: Comparison::default(),
            far: Comparison::default(),
            has_met: false,
            actions: Vec::new(),
        }
    }

    /// Takes one input and returns what is to be done, in order.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        match input {
            Input::Tick => self.tick(now),
            Input::Replied { peer, reply } => self.replied(now, peer, reply),
            Input::Unreached { peer } => self.unreached(now, peer),
            Input::Helped { target, reached } => self.helped(now, target, reached),
            Input::TablePulled { rows } => self.table_pulled(rows),
            Input::Announced { rows } => self.announced(rows),
            Input::Leave => self.leave(),
            Input::Holds(mark) => self.mark = mark,
            Input::HeadRead => self.head_read = Some(now),
            Input::TargetAnnounced(announced) => self.target_announced(announced),
        }
        std::mem::take(&mut self.actions)
    }

    /// Answers a peer's exchange.
    pub fn answer(&mut self, now: Time, message: Exchange) -> (Exchange, Vec<Action>) {
        let from = message.from;
        let incarnation = message.incarnation;
        self.note_agreement(message.table);
        self.hear(now, from, message, false);
        let mut reply = self.compose(now, from);
        let known = self.table.get(from).map(|it| it.member.incarnation);
        reply.introduce = known.is_none();
        if known.is_some_and(|known| incarnation < known) {
            // A process that was replaced while it was frozen stops only when
            // it hears of its successor.
            self.tell(&mut reply, from);
        }
        (reply, std::mem::take(&mut self.actions))
    }

    /// Answers a peer's request for the rows of the zones that differ. The dead
    /// are among them, so that who heard of no death learns it.
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

    /// The key of this daemon.
    #[must_use]
    pub fn me(&self) -> MemberKey {
        self.me
    }

    /// This daemon's own entry.
    ///
    /// # Panics
    ///
    /// Never: the own entry is made with the table and never forgotten.
    #[must_use]
    pub fn own(&self) -> &Entry {
        self.table
            .get(self.me)
            .expect("the own entry is never forgotten")
    }

    /// The table of members.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Whether rows that only the platform showed name members of the own zone that were
    /// not met yet: some of them live, and this daemon's view of its zone is a part.
    #[must_use]
    pub fn is_meeting_zone(&self) -> bool {
        let mut entries = self.table.iter();
        entries.any(|(_, entry)| !entry.confirmed && self.is_own_zone(entry))
    }

    /// What this daemon holds.
    #[must_use]
    pub fn mark(&self) -> Mark {
        self.mark
    }

    /// Whether probes to this zone succeed, as far as was tried. Being
    /// unreachable never makes anyone dead: only its own zone may say so.
    #[must_use]
    pub fn is_reachable(&self, zone: &str) -> bool {
        self.guard.reachable(zone)
    }

    /// The same for all zones that have members.
    #[must_use]
    pub fn reaches_every_zone(&self) -> bool {
        let mut present = self.table.present();
        present.all(|(_, entry)| self.guard.reachable(&entry.member.zone))
    }

    /// Whether this daemon seems to be cut off from everyone.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.guard.cut_off()
    }

    /// Time since anyone that this daemon heard of read the platform's head.
    #[must_use]
    pub fn head_age(&self, now: Time) -> Option<Time> {
        self.head_read.map(|at| now.saturating_sub(at))
    }

    /// What to write into the announcement row.
    #[must_use]
    pub fn announcement(&self) -> Announcement {
        Announcement {
            row: Row::from(&self.own().member),
            version: self.mark.version,
        }
    }

    /// A probe without news, on behalf of a peer that can't reach the member.
    #[must_use]
    pub fn probe_message(&self, now: Time, member: MemberKey) -> Exchange {
        self.bare(now, member)
    }

    /// A message for one peer with the news that is due.
    pub(crate) fn compose(&mut self, now: Time, peer: MemberKey) -> Exchange {
        let mut message = self.bare(now, peer);
        let Some(entry) = self.table.get(peer) else {
            return message;
        };
        let reach = self.reach(entry);
        for key in self.updates.take(reach) {
            self.tell(&mut message, key);
        }
        let Some(entry) = self.table.get(peer) else {
            return message;
        };
        if entry.member.state != MemberState::Alive {
            self.tell(&mut message, peer);
        }
        let knows_me = entry.confirmed && entry.member.is_present() && entry.contacts > 0;
        if !knows_me {
            self.tell(&mut message, self.me);
        }
        message
    }

    fn bare(&self, now: Time, peer: MemberKey) -> Exchange {
        // Rounded up: rounded down, two daemons would tell each other "just now"
        // for ever, and nobody would notice that the platform is gone.
        let age = self
            .head_age(now)
            .map_or(u128::MAX, |age| age.as_millis() / 100 + 1);
        Exchange {
            from: self.me,
            incarnation: self.own().member.incarnation,
            mark: self.mark,
            floor: self.table.get(peer).map_or(0, |entry| entry.version),
            head_age: u16::try_from(age).unwrap_or(u16::MAX),
            table: self.table.digest(),
            introduce: false,
            words: Vec::new(),
            rows: Vec::new(),
            drained: self.table.get(peer).and_then(|entry| entry.drained.clone()),
        }
    }

    /// Adds a member's state to a message: as a row where the receiver may lack
    /// its addresses, as a word otherwise.
    fn tell(&self, message: &mut Exchange, key: MemberKey) {
        let Some(entry) = self.table.get(key).filter(|it| it.confirmed) else {
            return;
        };
        let member = &entry.member;
        let is_told = message.words.iter().any(|it| it.0 == key)
            || message.rows.iter().any(|it| it.key() == key);
        if is_told {
            return;
        }
        if member.state == MemberState::Alive {
            message.rows.push(Row::from(member));
        } else {
            let word = Word(key, member.incarnation, member.state.into());
            message.words.push(word);
        }
    }

    /// Only a row of a higher incarnation brings peers a new announcement.
    fn target_announced(&mut self, announced: Option<Announced>) {
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

    pub(crate) fn spread(&mut self, key: MemberKey) {
        let Some(entry) = self.table.get(key) else {
            return;
        };
        let is_own_zone = self.is_own_zone(entry);
        self.updates.add(key, self.audience, is_own_zone);
    }

    /// Among whom news goes round now. It is taken once a tick and not with each change,
    /// of which a start of all brings hundreds.
    pub(crate) fn count_audience(&self) -> Audience {
        let own = &self.own().member.zone;
        let mut near = 0;
        let mut others = BTreeSet::new();
        for (_, entry) in self.table.present() {
            if entry.member.zone == *own {
                near += 1;
            } else {
                others.insert(&entry.member.zone);
            }
        }
        Audience {
            near,
            other_zones: others.len(),
        }
    }

    fn reach(&self, entry: &Entry) -> Reach {
        if self.is_own_zone(entry) {
            Reach::Near
        } else {
            Reach::Far
        }
    }

    pub(crate) fn is_own_zone(&self, entry: &Entry) -> bool {
        entry.member.zone == self.own().member.zone
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
