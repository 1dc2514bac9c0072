//! State of the local target, the one that runs beside this daemon.
//!
//! There is no list of targets: each one reports itself to its daemon. Heartbeats
//! can be delayed, so that one of an earlier generation arrives after those of a
//! later one. Generations are therefore ordered by id and start time, and the
//! heartbeats of one generation by their sequence number. A restarted daemon has
//! neither, so a generation that is new to it gets calls only after the target
//! itself has confirmed it.

use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;

use crate::generation::{self, Birth, id_of_life, life_name};
use crate::member::{Announced, Time};

/// Intervals without a heartbeat after which the target counts as gone. One heartbeat
/// may be lost and one be late by nearly two seconds.
const SILENT_INTERVALS: u32 = 3;

/// Number of earlier generations that are remembered. It suffices to reject all late
/// heartbeats of a target that restarts every second for a minute.
const EARLIER_LIVES: usize = 64;

/// A target's report about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Id of this generation of the target; see [`life_name`].
    pub upstream: SmolStr,
    /// Start time of this generation, if the target reports it.
    pub born: Option<Birth>,
    /// Service that the target runs.
    pub service: SmolStr,
    /// Version of the target's software, as free text.
    pub software: SmolStr,
    /// Number of calls that the target runs concurrently.
    pub slots: u32,
    /// Number that increases with each heartbeat of one generation.
    pub sequence: u64,
    /// Whether the target is about to stop.
    pub draining: bool,
    /// Remaining warm-up time after the target's start, during which it is slow.
    pub cold: Duration,
}

/// Outcome of processing a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// The heartbeat is the newest one and was applied.
    Taken,
    /// The heartbeat is older than the known state.
    Stale,
    /// The heartbeat names a service that the configuration does not have. No call could
    /// ever use it, so its sender is not the target.
    UnknownService,
}

#[derive(Clone, Debug)]
struct Life {
    beat: Heartbeat,
    heard: Time,
    /// Whether the target has answered a request of this process by stating that it is
    /// this generation and accepts calls.
    is_confirmed: bool,
}

impl Life {
    /// Whether this generation is newer than the one that sent `beat`: it started later,
    /// or it reports its start time while `beat` has the same target id and does not.
    ///
    /// A heartbeat that was delayed by a partition arrives after its sender has crashed.
    /// If it were accepted, it would replace the generation that serves, and calls would
    /// wait for a target that is gone.
    fn outlives(&self, beat: &Heartbeat) -> bool {
        let has_same_id = id_of_life(&self.beat.upstream) == id_of_life(&beat.upstream);
        let hides_birth = has_same_id && self.beat.born.is_some() && beat.born.is_none();
        hides_birth || generation::is_earlier(beat.born, self.beat.born)
    }
}

/// The local target, as it reported itself.
#[derive(Clone, Debug)]
pub struct LocalTarget {
    interval: Duration,
    present: Option<Life>,
    earlier: VecDeque<Life>,
    /// Generations that announced their departure. Some may have no heartbeat on record,
    /// since this process may have started after their last one.
    departed: VecDeque<SmolStr>,
}

impl LocalTarget {
    /// Creates the state before the first heartbeat of a target that sends one every
    /// `interval`.
    #[must_use]
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            present: None,
            earlier: VecDeque::new(),
            departed: VecDeque::new(),
        }
    }

    /// Processes a heartbeat.
    pub fn hear(&mut self, mut beat: Heartbeat, now: Time) -> Heard {
        if self.is_over(&beat.upstream) {
            return Heard::Stale;
        }
        if let Some(life) = &mut self.present
            && life.beat.upstream == beat.upstream
        {
            if beat.sequence <= life.beat.sequence {
                return Heard::Stale;
            }
            // Calls that are sent after a drain was acknowledged fail, so a generation
            // that has begun to drain never gets calls again.
            beat.draining |= life.beat.draining;
            life.beat = beat;
            life.heard = now;
            return Heard::Taken;
        }
        if self.present.as_ref().is_some_and(|it| it.outlives(&beat)) {
            return Heard::Stale;
        }
        self.replace(Life {
            beat,
            heard: now,
            is_confirmed: false,
        });
        Heard::Taken
    }

    /// Returns the last heartbeat of a live generation that is yet to be confirmed. Calls
    /// wait for its confirmation.
    #[must_use]
    pub fn unconfirmed(&self, now: Time) -> Option<&Heartbeat> {
        let life = self.heard_lately(now)?;
        let is_open = !life.is_confirmed && self.takes_calls(life);
        is_open.then_some(&life.beat)
    }

    /// Returns the generation that a departure notice under this target id refers to. A
    /// notice without a start time refers to the current generation, since a former one
    /// can no longer send it.
    #[must_use]
    pub fn life_meant(&self, id: &str, born: Option<Birth>) -> SmolStr {
        let present = self.present.as_ref().map(|it| &it.beat.upstream);
        let present = present.filter(|it| born.is_none() && id_of_life(it) == id);
        present.cloned().unwrap_or_else(|| life_name(id, born))
    }

    /// Records that a generation is departing, and returns whether this was unknown.
    ///
    /// The departure is final whatever else arrives from this generation, and does not
    /// affect a later one with the same target id. The target may still finish the calls
    /// that it runs.
    pub fn leave(&mut self, upstream: &str) -> bool {
        if self.departed.iter().any(|it| it == upstream) {
            return false;
        }
        self.departed.push_back(upstream.into());
        if self.departed.len() > EARLIER_LIVES {
            self.departed.pop_front();
        }
        true
    }

    /// Whether this generation has ended or is departing, so that its heartbeats can only
    /// be late ones.
    fn is_over(&self, upstream: &str) -> bool {
        let earlier = self.earlier.iter().map(|it| &it.beat.upstream);
        earlier.chain(&self.departed).any(|it| it == upstream)
    }

    fn is_present(&self, upstream: &str) -> bool {
        let life = self.present.as_ref();
        life.is_some_and(|it| it.beat.upstream == upstream)
    }

    fn takes_calls(&self, life: &Life) -> bool {
        !self.departed.contains(&life.beat.upstream) && !life.beat.draining
    }

    /// Records that the target answered a request for generation `asked` with the target
    /// id `actual`.
    ///
    /// A heartbeat that was delayed until after a restart of this daemon looks like one of
    /// a newer generation; the target's answer shows that it was from an older one. If
    /// the generation has changed since the request, the answer is outdated and ignored.
    pub fn answered_as(&mut self, asked: &str, actual: &str) {
        if id_of_life(asked) == actual || !self.is_present(asked) {
            return;
        }
        let mut lives = self.earlier.iter();
        let known = lives.rposition(|it| id_of_life(&it.beat.upstream) == actual);
        match known.and_then(|at| self.earlier.remove(at)) {
            Some(life) => self.replace(life),
            None => self.retire(),
        }
    }

    /// Records the target's answer that it is this generation and accepts calls. The answer
    /// went to this process, so a later drain or departure notice reaches it too.
    ///
    /// Without the confirmation, a restarted daemon would accept a late heartbeat and send
    /// calls to a target whose departure the previous process acknowledged. The target's
    /// answer is sufficient: it stops reporting itself ready when it begins to leave, which
    /// is before any acknowledgement.
    pub fn confirm(&mut self, upstream: &str) {
        let life = self.present.as_mut();
        if let Some(life) = life.filter(|it| it.beat.upstream == upstream) {
            life.is_confirmed = true;
        }
    }

    /// Returns the target's last heartbeat if the target accepts new calls.
    #[must_use]
    pub fn admits(&self, now: Time) -> Option<&Heartbeat> {
        let life = self.heard_lately(now)?;
        let is_open = life.is_confirmed && self.takes_calls(life);
        is_open.then_some(&life.beat)
    }

    /// Returns the target's service; none before the first heartbeat.
    #[must_use]
    pub fn service(&self) -> Option<&SmolStr> {
        self.present.as_ref().map(|it| &it.beat.service)
    }

    /// Returns the id of the target's current generation; none before the first heartbeat.
    #[must_use]
    pub fn life(&self) -> Option<&SmolStr> {
        self.present.as_ref().map(|it| &it.beat.upstream)
    }

    /// Whether the target is still warming up, according to its last heartbeat.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        let life = self.present.as_ref();
        life.is_some_and(|it| it.heard + it.beat.cold > now)
    }

    /// Returns the announcement of the target for peers. There is none while the target is
    /// silent or is yet to be confirmed.
    #[must_use]
    pub fn announced(&self, now: Time) -> Option<Announced> {
        let life = self.heard_lately(now)?;
        if self.unconfirmed(now).is_some() {
            return None;
        }
        Some(Announced {
            upstream: life.beat.upstream.clone(),
            service: life.beat.service.clone(),
            slots: life.beat.slots,
            draining: !self.takes_calls(life),
            software: life.beat.software.clone(),
        })
    }

    fn heard_lately(&self, now: Time) -> Option<&Life> {
        let bound = self.interval * SILENT_INTERVALS;
        let lately = |it: &&Life| now.saturating_sub(it.heard) <= bound;
        self.present.as_ref().filter(lately)
    }

    fn replace(&mut self, life: Life) {
        self.retire();
        self.present = Some(life);
    }

    fn retire(&mut self) {
        let Some(life) = self.present.take() else {
            return;
        };
        self.earlier.push_back(life);
        if self.earlier.len() > EARLIER_LIVES {
            self.earlier.pop_front();
        }
    }
}
