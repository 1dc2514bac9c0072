//! Which executor is the home of a key, and which previous homes it has to ask after
//! the set of upstreams changed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stoatstep_resource::{ServiceName, UpstreamName, Version};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use super::key::IdempotencyKey;
use crate::ids::{UpstreamSetId, WallTime};

/// Maximum number of earlier sets kept for one service. Older ones are merged into
/// one set in which every member counts as a previous home. This can only add
/// refusals, never allow a second run.
const MAX_EARLIER_SETS: usize = 16;

/// For each service, the upstreams that a process knows to be or to have been
/// members of its set.
pub type KnownMembers = BTreeMap<ServiceName, BTreeSet<UpstreamName>>;

/// Returns the home of an idempotency key, which is the upstream whose executor keeps the
/// key's record, by rendezvous hashing over the *configured* names. Liveness is ignored:
/// two entries may disagree about it, and a request whose key has two homes could run
/// twice.
#[must_use]
pub fn home_of<'a>(
    names: &'a BTreeSet<UpstreamName>,
    key: &IdempotencyKey,
) -> Option<&'a UpstreamName> {
    let name = key.name();
    names.iter().max_by_key(|upstream| {
        let seed = xxh3_64_with_seed(upstream.as_bytes(), 0);
        xxh3_64_with_seed(name.as_bytes(), seed)
    })
}

/// Computes the id of a set of upstreams. Two daemons whose sets have the same id
/// agree on the home of every key.
#[must_use]
pub fn upstream_set_id(names: &BTreeSet<UpstreamName>) -> UpstreamSetId {
    let mut hasher = Xxh3::new();
    for name in names {
        hasher.update(&name.len().to_le_bytes());
        hasher.update(name.as_bytes());
    }
    hasher.digest()
}

/// Whether this executor may run the request of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum HomeCheck {
    /// This executor is the home, and no other executor can have run the key or can
    /// still run it.
    Mine,
    /// This executor is the home, but has to ask these previous homes about the key
    /// first.
    Ask(Vec<HomeQuery>),
    /// This executor is the home, but a previous home is gone together with its
    /// table, and the key was made at a time when it may still have run there.
    Unsettled,
    /// The entry uses another set of upstreams.
    StaleConfig,
    /// Another executor is the home.
    NotMine,
}

/// A question to a previous home about a key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HomeQuery {
    /// The previous home.
    pub upstream: UpstreamName,
    /// The version that the previous home must have applied before its reply counts.
    /// From then on it accepts no attempts under the earlier set.
    pub version: Version,
}

/// An earlier set of upstreams of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Earlier {
    names: BTreeSet<UpstreamName>,
    /// Whether any member may have been the home of a key, because this process does
    /// not know all sets before `ended`.
    any_may_be_home: bool,
    /// The version that replaced this set.
    ended: Version,
    /// When that version was applied here.
    ended_at: WallTime,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Sets {
    current: BTreeSet<UpstreamName>,
    earlier: Vec<Earlier>,
}

/// The latest version that another executor is known to have applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Confirmed {
    version: Version,
    at: WallTime,
    /// Whether that executor still has its table of keys. False for one that was
    /// deleted.
    has_table: bool,
}

/// The current and earlier sets of upstreams of each service, and the version that
/// each other executor is known to have applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HomeHistory {
    me: UpstreamName,
    skew: Duration,
    retention: Duration,
    services: BTreeMap<ServiceName, Sets>,
    confirmed: BTreeMap<UpstreamName, Confirmed>,
    /// Members that the previous process knew.
    inherited: KnownMembers,
}

impl HomeHistory {
    /// Creates an empty history for the executor of upstream `me`. `skew` is the
    /// maximum difference between two calendar clocks, `retention` is how long keys
    /// are kept.
    #[must_use]
    pub fn new(me: UpstreamName, skew: Duration, retention: Duration) -> Self {
        Self {
            me,
            skew,
            retention,
            services: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            inherited: KnownMembers::new(),
        }
    }

    /// Returns what the next process has to restore besides the table of keys.
    #[must_use]
    pub fn known_members(&self) -> KnownMembers {
        let mut known = self.inherited.clone();
        for (service, sets) in &self.services {
            let earlier = sets.earlier.iter().flat_map(|it| &it.names);
            let names = earlier.chain(&sets.current).cloned().collect();
            known.insert(service.clone(), names);
        }
        known
    }

    /// Restores the members that the previous process knew. Must be called together
    /// with restoring its table of keys, before the first key is checked.
    ///
    /// The restored table lets this process decide about keys made before its start.
    /// Such a key may have run at an intermediate home whose upstream has been deleted
    /// since. Without its name that home would not be asked, and the key would run
    /// again.
    pub fn restore(&mut self, known: KnownMembers) {
        for (service, names) in &known {
            let sets = self.services.get_mut(service);
            let earlier = sets.into_iter().flat_map(|sets| &mut sets.earlier);
            for it in earlier.filter(|it| it.any_may_be_home) {
                it.names.extend(names.iter().cloned());
            }
        }
        self.inherited = known;
    }

    /// Applies the set that `version` has for a service. `follows` is true if no
    /// version since the last applied one was skipped.
    pub fn apply_set(
        &mut self,
        service: &ServiceName,
        names: BTreeSet<UpstreamName>,
        version: Version,
        follows: bool,
        now: WallTime,
    ) {
        let first = !self.services.contains_key(service);
        let sets = self.services.entry(service.clone()).or_default();
        if !first && follows && sets.current == names {
            return;
        }
        // After a start or a skipped version the previous sets are unknown. Any current
        // member may have been the home of any key.
        let any_may_be_home = first || !follows;
        let mut before = std::mem::replace(&mut sets.current, names);
        if any_may_be_home {
            before.extend(sets.current.iter().cloned());
            before.extend(self.inherited.remove(service).into_iter().flatten());
        }
        sets.earlier.push(Earlier {
            names: before,
            any_may_be_home,
            ended: version,
            ended_at: now,
        });
        if sets.earlier.len() > MAX_EARLIER_SETS {
            merge_oldest(&mut sets.earlier);
        }
    }

    /// Returns whether the current set of a service contains this upstream.
    #[must_use]
    pub fn is_member(&self, service: &ServiceName, upstream: &UpstreamName) -> bool {
        let sets = self.services.get(service);
        sets.is_some_and(|sets| sets.current.contains(upstream))
    }

    /// Returns whether `asker` is the home of the key by the current sets of this
    /// executor. This must be checked before telling `asker` that the key never ran
    /// here.
    ///
    /// An executor that lags behind may ask although the home has moved on. The next
    /// home may not know of the lagging one, because it restarted or skipped versions.
    /// If both were told "never", or one of them had no previous home to ask, the key would run
    /// at both. Therefore only the home that this executor knows is told "never".
    #[must_use]
    pub fn is_home(&self, key: &IdempotencyKey, asker: &UpstreamName) -> bool {
        let sets = self.services.get(&key.service);
        sets.is_some_and(|sets| home_of(&sets.current, key) == Some(asker))
    }

    /// Returns the id of the current set of a service.
    #[must_use]
    pub fn current_id(&self, service: &ServiceName) -> Option<UpstreamSetId> {
        self.services
            .get(service)
            .map(|sets| upstream_set_id(&sets.current))
    }

    /// Returns when `version` was applied here, or zero if it is not known to have
    /// changed any set.
    #[must_use]
    pub fn applied_at(&self, version: Version) -> WallTime {
        let earlier = self.services.values().flat_map(|sets| &sets.earlier);
        let of_version = earlier.filter(|it| it.ended == version);
        of_version.map(|it| it.ended_at).max().unwrap_or_default()
    }

    /// Returns whether this executor may run `key`, which an entry sent using the set
    /// `id`. Previous homes are not checked for a key without a creation time: its
    /// claim row prevents a second run.
    #[must_use]
    pub fn check(&self, key: &IdempotencyKey, id: UpstreamSetId) -> HomeCheck {
        let Some(sets) = self.services.get(&key.service) else {
            return HomeCheck::StaleConfig;
        };
        if upstream_set_id(&sets.current) != id {
            return HomeCheck::StaleConfig;
        }
        if home_of(&sets.current, key) != Some(&self.me) {
            return HomeCheck::NotMine;
        }
        match key.key.created() {
            Some(created) => self.check_earlier(sets, key, created),
            None => HomeCheck::Mine,
        }
    }

    fn check_earlier(&self, sets: &Sets, key: &IdempotencyKey, created: WallTime) -> HomeCheck {
        let mut ask = BTreeMap::new();
        for earlier in &sets.earlier {
            for upstream in self.previous_homes(earlier, key) {
                let confirmed = self.confirmed.get(upstream);
                let confirmed = confirmed.filter(|it| it.version >= earlier.ended);
                match confirmed {
                    // The key was made after the previous home had stopped accepting
                    // keys of the earlier set, so it cannot have run there.
                    Some(it) if created > it.at + self.skew => {}
                    Some(it) if !it.has_table => return HomeCheck::Unsettled,
                    _ => {
                        let version: &mut Version = ask.entry(upstream.clone()).or_default();
                        *version = earlier.ended.max(*version);
                    }
                }
            }
        }
        if ask.is_empty() {
            return HomeCheck::Mine;
        }
        let question = |(upstream, version)| HomeQuery { upstream, version };
        HomeCheck::Ask(ask.into_iter().map(question).collect())
    }

    fn previous_homes<'a>(
        &self,
        earlier: &'a Earlier,
        key: &IdempotencyKey,
    ) -> impl Iterator<Item = &'a UpstreamName> {
        let home = home_of(&earlier.names, key);
        let any_may_be_home = earlier.any_may_be_home;
        let me = self.me.clone();
        let names = earlier.names.iter();
        names.filter(move |&name| *name != me && (any_may_be_home || home == Some(name)))
    }

    /// Records that a previous home has confirmed that it applied `version`.
    pub fn confirm(&mut self, upstream: &UpstreamName, version: Version, now: WallTime) {
        self.record_confirmed(upstream, version, now, true);
    }

    /// Records that the upstream was deleted and that no instance of it is known any
    /// more. The operator's deletion is taken as proof that it runs nothing. Keys made
    /// up to now may have run there.
    pub fn mark_deleted(&mut self, upstream: &UpstreamName, version: Version, now: WallTime) {
        self.record_confirmed(upstream, version, now, false);
    }

    fn record_confirmed(
        &mut self,
        upstream: &UpstreamName,
        version: Version,
        at: WallTime,
        has_table: bool,
    ) {
        let is_known = |it: &Confirmed| it.version >= version;
        if self.confirmed.get(upstream).is_some_and(is_known) {
            return;
        }
        let confirmed = Confirmed {
            version,
            at,
            has_table,
        };
        self.confirmed.insert(upstream.clone(), confirmed);
    }

    /// Drops earlier sets under which no key that is still accepted can have run.
    pub fn tick(&mut self, now: WallTime) {
        let keep_for = self.retention + self.skew * 2;
        let confirmed = &self.confirmed;
        let me = &self.me;
        let confirmed_long_ago = |earlier: &Earlier, name: &UpstreamName| {
            let it = confirmed.get(name);
            let it = it.filter(|it| it.version >= earlier.ended);
            name == me || it.is_some_and(|it| it.at + keep_for < now)
        };
        for sets in self.services.values_mut() {
            sets.earlier.retain(|earlier| {
                let old = earlier.ended_at + keep_for < now;
                let all_confirmed = earlier
                    .names
                    .iter()
                    .all(|it| confirmed_long_ago(earlier, it));
                !(old && all_confirmed)
            });
        }
    }
}

fn merge_oldest(earlier: &mut Vec<Earlier>) {
    let oldest = earlier.remove(0);
    let Some(next) = earlier.first_mut() else {
        return;
    };
    next.names.extend(oldest.names);
    next.any_may_be_home = true;
}
