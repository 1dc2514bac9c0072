//! Which executor runs a key, and what a change of that costs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stoatstep_resource::{ServiceName, UpstreamName, Version};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use super::key::IntentKey;
use crate::ids::{SetId, Wall};

/// Earlier sets kept apart for one service. Older ones are merged into one
/// whose every member counts as a previous home: more refusals, never fewer.
const SETS_KEPT: usize = 16;

/// The upstreams that were members of each service's set, as far as a process
/// knows.
pub type KnownMembers = BTreeMap<ServiceName, BTreeSet<UpstreamName>>;

/// The home of a key: rendezvous hash over *configured* names. Liveness plays
/// no part, since two entries rarely agree on it, and a key with two homes may
/// run twice.
#[must_use]
pub fn home_of<'a>(names: &'a BTreeSet<UpstreamName>, key: &IntentKey) -> Option<&'a UpstreamName> {
    let name = key.name();
    names.iter().max_by_key(|upstream| {
        let seed = xxh3_64_with_seed(upstream.as_bytes(), 0);
        xxh3_64_with_seed(name.as_bytes(), seed)
    })
}

/// Names a set of upstreams. Two daemons with the same id agree on every home.
#[must_use]
pub fn set_id(names: &BTreeSet<UpstreamName>) -> SetId {
    let mut hasher = Xxh3::new();
    for name in names {
        hasher.update(&name.len().to_le_bytes());
        hasher.update(name.as_bytes());
    }
    hasher.digest()
}

/// Whether this executor may run a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Home {
    /// It is the home, and no other executor can have run or still run the key.
    Mine,
    /// It is the home, once these previous homes have answered for this key.
    Ask(Vec<Handover>),
    /// It is the home, but a previous home is gone with its memory, and the key
    /// was made while it may still have run there.
    Unsettled,
    /// The entry holds another set of upstreams.
    StaleConfig,
    /// Another executor is the home.
    NotMine,
}

/// A question to a previous home.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handover {
    /// The previous home.
    pub upstream: UpstreamName,
    /// It must have applied at least this version, so that it takes no more
    /// attempts under the earlier set.
    pub version: Version,
}

/// An earlier set, up to the version that ended it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Earlier {
    names: BTreeSet<UpstreamName>,
    /// Every member may have been the home: versions in between were skipped.
    every: bool,
    ended: Version,
    ended_at: Wall,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Sets {
    current: BTreeSet<UpstreamName>,
    earlier: Vec<Earlier>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Confirmed {
    version: Version,
    at: Wall,
    memory: bool,
}

/// The sets of upstreams that this executor has seen for each service, and how
/// far each other executor is known to have come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HomeSets {
    me: UpstreamName,
    skew: Duration,
    retention: Duration,
    services: BTreeMap<ServiceName, Sets>,
    confirmed: BTreeMap<UpstreamName, Confirmed>,
    /// Members that the process before this one knew.
    inherited: KnownMembers,
}

impl HomeSets {
    /// No sets yet, for the executor of upstream `me`. `skew` bounds how far two
    /// calendar clocks differ; `retention` is how long keys are remembered.
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

    /// What the process that follows this one has to know besides the memory of
    /// keys.
    #[must_use]
    pub fn known(&self) -> KnownMembers {
        let mut known = self.inherited.clone();
        for (service, sets) in &self.services {
            let earlier = sets.earlier.iter().flat_map(|it| &it.names);
            let names = earlier.chain(&sets.current).cloned().collect();
            known.insert(service.clone(), names);
        }
        known
    }

    /// Takes over what the process just before this one knew, together with its
    /// memory of keys and before the first key.
    ///
    /// That memory gives this process authority over keys made before its start.
    /// One of them may have run at a home in between whose upstream is gone by
    /// now: without its name nobody would be asked, and the key would run again.
    pub fn resume(&mut self, known: KnownMembers) {
        for (service, names) in &known {
            let sets = self.services.get_mut(service);
            let earlier = sets.into_iter().flat_map(|sets| &mut sets.earlier);
            for it in earlier.filter(|it| it.every) {
                it.names.extend(names.iter().cloned());
            }
        }
        self.inherited = known;
    }

    /// Takes in the set that `version` has for a service. `follows` says that no
    /// version between this and the last noted one was skipped.
    pub fn note(
        &mut self,
        service: &ServiceName,
        names: BTreeSet<UpstreamName>,
        version: Version,
        follows: bool,
        now: Wall,
    ) {
        let first = !self.services.contains_key(service);
        let sets = self.services.entry(service.clone()).or_default();
        if !first && follows && sets.current == names {
            return;
        }
        // After a start or a skip nobody here knows which sets came before:
        // whoever is a member now may have been the home of any key.
        let every = first || !follows;
        let mut before = std::mem::replace(&mut sets.current, names);
        if every {
            before.extend(sets.current.iter().cloned());
            before.extend(self.inherited.remove(service).into_iter().flatten());
        }
        sets.earlier.push(Earlier {
            names: before,
            every,
            ended: version,
            ended_at: now,
        });
        if sets.earlier.len() > SETS_KEPT {
            merge_oldest(&mut sets.earlier);
        }
    }

    /// Whether the current set of a service has this upstream.
    #[must_use]
    pub fn is_member(&self, service: &ServiceName, upstream: &UpstreamName) -> bool {
        let sets = self.services.get(service);
        sets.is_some_and(|sets| sets.current.contains(upstream))
    }

    /// Whether this executor, by its own current sets, takes `asker` for the home
    /// of the key. To be looked at before it tells a new home that the key never
    /// ran here.
    ///
    /// An executor that lags may ask although the home has moved on. If the home
    /// that followed has lost count of earlier sets, by a restart or by skipping
    /// versions, it does not know of the one that lags; each would then hear
    /// "never" or nothing, and the key would run at both. "Never" is a promise to
    /// the one home that this executor knows.
    #[must_use]
    pub fn is_home(&self, key: &IntentKey, asker: &UpstreamName) -> bool {
        let sets = self.services.get(&key.service);
        sets.is_some_and(|sets| home_of(&sets.current, key) == Some(asker))
    }

    /// Id of the current set of a service.
    #[must_use]
    pub fn current_id(&self, service: &ServiceName) -> Option<SetId> {
        self.services.get(service).map(|sets| set_id(&sets.current))
    }

    /// When the change of sets that `version` made was noted; zero where none is
    /// known.
    #[must_use]
    pub fn noted_at(&self, version: Version) -> Wall {
        let earlier = self.services.values().flat_map(|sets| &sets.earlier);
        let of_version = earlier.filter(|it| it.ended == version);
        of_version.map(|it| it.ended_at).max().unwrap_or_default()
    }

    /// Whether this executor may run `key`, which an entry sent under the set
    /// `id`. A key that states no time is fenced by its claim row, whoever its
    /// earlier homes were.
    #[must_use]
    pub fn check(&self, key: &IntentKey, id: SetId) -> Home {
        let Some(sets) = self.services.get(&key.service) else {
            return Home::StaleConfig;
        };
        if set_id(&sets.current) != id {
            return Home::StaleConfig;
        }
        if home_of(&sets.current, key) != Some(&self.me) {
            return Home::NotMine;
        }
        match key.key.created() {
            Some(created) => self.check_earlier(sets, key, created),
            None => Home::Mine,
        }
    }

    fn check_earlier(&self, sets: &Sets, key: &IntentKey, created: Wall) -> Home {
        let mut ask = BTreeMap::new();
        for earlier in &sets.earlier {
            for upstream in self.previous_homes(earlier, key) {
                let confirmed = self.confirmed.get(upstream);
                let confirmed = confirmed.filter(|it| it.version >= earlier.ended);
                match confirmed {
                    // Made after the previous home had stopped taking keys of
                    // the earlier set: it cannot have run there.
                    Some(it) if created > it.at + self.skew => {}
                    Some(it) if !it.memory => return Home::Unsettled,
                    _ => {
                        let version: &mut Version = ask.entry(upstream.clone()).or_default();
                        *version = earlier.ended.max(*version);
                    }
                }
            }
        }
        if ask.is_empty() {
            return Home::Mine;
        }
        let question = |(upstream, version)| Handover { upstream, version };
        Home::Ask(ask.into_iter().map(question).collect())
    }

    fn previous_homes<'a>(
        &self,
        earlier: &'a Earlier,
        key: &IntentKey,
    ) -> impl Iterator<Item = &'a UpstreamName> {
        let one = home_of(&earlier.names, key);
        let every = earlier.every;
        let me = self.me.clone();
        let names = earlier.names.iter();
        names.filter(move |&name| *name != me && (every || one == Some(name)))
    }

    /// A previous home said that it has applied `version`.
    pub fn confirm(&mut self, upstream: &UpstreamName, version: Version, now: Wall) {
        self.settle(upstream, version, now, true);
    }

    /// The upstream was deleted, and nobody knows an instance of it any more:
    /// the operator's deletion is the word that it runs nothing. Keys made up to
    /// now may have run there.
    pub fn gone(&mut self, upstream: &UpstreamName, version: Version, now: Wall) {
        self.settle(upstream, version, now, false);
    }

    fn settle(&mut self, upstream: &UpstreamName, version: Version, at: Wall, memory: bool) {
        let newer = |it: &Confirmed| it.version >= version;
        if self.confirmed.get(upstream).is_some_and(newer) {
            return;
        }
        let confirmed = Confirmed {
            version,
            at,
            memory,
        };
        self.confirmed.insert(upstream.clone(), confirmed);
    }

    /// Drops earlier sets that no living key can refer to any more.
    pub fn tick(&mut self, now: Wall) {
        let keep_for = self.retention + self.skew * 2;
        let confirmed = &self.confirmed;
        let me = &self.me;
        let settled_long_ago = |earlier: &Earlier, name: &UpstreamName| {
            let it = confirmed.get(name);
            let it = it.filter(|it| it.version >= earlier.ended);
            name == me || it.is_some_and(|it| it.at + keep_for < now)
        };
        for sets in self.services.values_mut() {
            sets.earlier.retain(|earlier| {
                let old = earlier.ended_at + keep_for < now;
                let settled = earlier.names.iter().all(|it| settled_long_ago(earlier, it));
                !(old && settled)
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
    next.every = true;
}
