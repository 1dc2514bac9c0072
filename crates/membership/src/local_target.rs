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

use crate::generation::{self, StartMillis, generation_id, target_id_of};
use crate::member::{AnnouncedTarget, Time};

/// Intervals without a heartbeat after which the target counts as gone. One heartbeat
/// may be lost and one be late by nearly two seconds.
const MAX_SILENT_INTERVALS: u32 = 3;

/// Number of earlier generations that are remembered. It suffices to reject all late
/// heartbeats of a target that restarts every second for a minute.
const MAX_EARLIER_GENERATIONS: usize = 64;

/// A target's report about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Id of this generation of the target; see [`generation_id`].
    pub upstream: SmolStr,
    /// Start time of this generation, if the target reports it.
    pub born: Option<StartMillis>,
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
pub enum HeartbeatOutcome {
    /// The heartbeat is the newest one and was applied.
    Accepted,
    /// The heartbeat is older than the known state.
    Stale,
    /// The heartbeat names a service that the configuration does not have. No call could
    /// ever use it, so its sender is not the target.
    UnknownService,
}

#[derive(Clone, Debug)]
struct Generation {
    heartbeat: Heartbeat,
    received_at: Time,
    /// Whether the target has answered a request of this process by stating that it is
    /// this generation and accepts calls.
    is_confirmed: bool,
}

impl Generation {
    /// Whether this generation is newer than the one that sent `heartbeat`: it started later,
    /// or it reports its start time while `heartbeat` has the same target id and does not.
    ///
    /// A heartbeat that was delayed by a partition arrives after its sender has crashed.
    /// If it were accepted, it would replace the generation that serves, and calls would
    /// wait for a target that is gone.
    fn supersedes(&self, heartbeat: &Heartbeat) -> bool {
        let is_same_target =
            target_id_of(&self.heartbeat.upstream) == target_id_of(&heartbeat.upstream);
        let lacks_start_time =
            is_same_target && self.heartbeat.born.is_some() && heartbeat.born.is_none();
        lacks_start_time || generation::started_before(heartbeat.born, self.heartbeat.born)
    }
}

/// The local target, as it reported itself.
#[derive(Clone, Debug)]
pub struct LocalTarget {
    interval: Duration,
    current: Option<Generation>,
    earlier: VecDeque<Generation>,
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
            current: None,
            earlier: VecDeque::new(),
            departed: VecDeque::new(),
        }
    }

    /// Processes a heartbeat.
    pub fn record_heartbeat(&mut self, mut heartbeat: Heartbeat, now: Time) -> HeartbeatOutcome {
        if self.is_stale(&heartbeat) {
            // The sender takes the answer for an acknowledgement, whatever is believed of it.
            if heartbeat.draining {
                self.record_departure(&heartbeat.upstream);
            }
            return HeartbeatOutcome::Stale;
        }
        if let Some(generation) = &mut self.current
            && generation.heartbeat.upstream == heartbeat.upstream
        {
            // Calls that are sent after a drain was acknowledged fail, so a generation
            // that has begun to drain never gets calls again.
            heartbeat.draining |= generation.heartbeat.draining;
            generation.heartbeat = heartbeat;
            generation.received_at = now;
            return HeartbeatOutcome::Accepted;
        }
        self.replace(Generation {
            heartbeat,
            received_at: now,
            is_confirmed: false,
        });
        HeartbeatOutcome::Accepted
    }

    fn is_stale(&self, heartbeat: &Heartbeat) -> bool {
        let is_older = |it: &Generation| {
            let is_same = it.heartbeat.upstream == heartbeat.upstream;
            is_same && heartbeat.sequence <= it.heartbeat.sequence || it.supersedes(heartbeat)
        };
        self.has_ended(&heartbeat.upstream) || self.current.as_ref().is_some_and(is_older)
    }

    /// Returns the last heartbeat of a live generation that is yet to be confirmed. Calls
    /// wait for its confirmation.
    #[must_use]
    pub fn unconfirmed(&self, now: Time) -> Option<&Heartbeat> {
        let generation = self.live_generation(now)?;
        let is_open = !generation.is_confirmed && self.accepts_calls(generation);
        is_open.then_some(&generation.heartbeat)
    }

    /// Returns the generation that a departure notice under this target id refers to. A
    /// notice without a start time refers to the last generation with this id that reported
    /// itself, since a former one can no longer send it.
    #[must_use]
    pub fn departing_generation(&self, id: &str, born: Option<StartMillis>) -> SmolStr {
        let known = self.earlier.iter().chain(&self.current).rev();
        let mut known = known.map(|it| &it.heartbeat.upstream);
        let sender = known.find(|it| born.is_none() && target_id_of(it) == id);
        sender.cloned().unwrap_or_else(|| generation_id(id, born))
    }

    /// Records that a generation is departing, and returns whether this was unknown.
    ///
    /// The departure is final whatever else arrives from this generation, and does not
    /// affect a later one with the same target id. The target may still finish the calls
    /// that it runs.
    pub fn record_departure(&mut self, upstream: &str) -> bool {
        if self.departed.iter().any(|it| it == upstream) {
            return false;
        }
        self.departed.push_back(upstream.into());
        if self.departed.len() > MAX_EARLIER_GENERATIONS {
            self.departed.pop_front();
        }
        true
    }

    /// Whether this generation has ended or is departing, so that its heartbeats can only
    /// be late ones.
    fn has_ended(&self, upstream: &str) -> bool {
        let earlier = self.earlier.iter().map(|it| &it.heartbeat.upstream);
        earlier.chain(&self.departed).any(|it| it == upstream)
    }

    fn is_current(&self, upstream: &str) -> bool {
        let generation = self.current.as_ref();
        generation.is_some_and(|it| it.heartbeat.upstream == upstream)
    }

    fn accepts_calls(&self, generation: &Generation) -> bool {
        !self.departed.contains(&generation.heartbeat.upstream) && !generation.heartbeat.draining
    }

    /// Records that the target answered a request for generation `asked` with the target
    /// id `actual`.
    ///
    /// A heartbeat that was delayed until after a restart of this daemon looks like one of
    /// a newer generation; the target's answer shows that it was from an older one. If
    /// the generation has changed since the request, the answer is outdated and ignored.
    pub fn record_answer(&mut self, asked: &str, actual: &str) {
        if target_id_of(asked) == actual || !self.is_current(asked) {
            return;
        }
        let mut earlier = self.earlier.iter();
        let known = earlier.rposition(|it| target_id_of(&it.heartbeat.upstream) == actual);
        match known.and_then(|at| self.earlier.remove(at)) {
            Some(generation) => self.replace(generation),
            None => self.retire(),
        }
    }

    /// Records the target's answer that it is the generation with the id `confirmed` and
    /// accepts calls. The answer went to this process, so a later drain or departure notice
    /// reaches it too.
    ///
    /// Without the confirmation, a restarted daemon would accept a late heartbeat and send
    /// calls to a target whose departure the previous process acknowledged. The target's
    /// answer is sufficient: it stops reporting itself ready when it begins to leave, which
    /// is before any acknowledgement.
    pub fn confirm(&mut self, confirmed: &str) {
        let generation = self.current.as_mut();
        if let Some(generation) = generation.filter(|it| it.heartbeat.upstream == confirmed) {
            generation.is_confirmed = true;
        }
    }

    /// Returns the target's last heartbeat if the target accepts new calls.
    #[must_use]
    pub fn accepting_heartbeat(&self, now: Time) -> Option<&Heartbeat> {
        let generation = self.live_generation(now)?;
        let is_open = generation.is_confirmed && self.accepts_calls(generation);
        is_open.then_some(&generation.heartbeat)
    }

    /// Returns the target's service; none before the first heartbeat.
    #[must_use]
    pub fn service(&self) -> Option<&SmolStr> {
        self.current.as_ref().map(|it| &it.heartbeat.service)
    }

    /// Returns the id of the target's current generation; none before the first heartbeat.
    #[must_use]
    pub fn generation(&self) -> Option<&SmolStr> {
        self.current.as_ref().map(|it| &it.heartbeat.upstream)
    }

    /// Whether the target is still warming up, according to its last heartbeat.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        let generation = self.current.as_ref();
        generation.is_some_and(|it| it.received_at + it.heartbeat.cold > now)
    }

    /// Returns the announcement of the target for peers. There is none while the target is
    /// silent or is yet to be confirmed.
    #[must_use]
    pub fn announced(&self, now: Time) -> Option<AnnouncedTarget> {
        let generation = self.live_generation(now)?;
        if self.unconfirmed(now).is_some() {
            return None;
        }
        Some(AnnouncedTarget {
            upstream: generation.heartbeat.upstream.clone(),
            service: generation.heartbeat.service.clone(),
            slots: generation.heartbeat.slots,
            draining: !self.accepts_calls(generation),
            software: generation.heartbeat.software.clone(),
        })
    }

    fn live_generation(&self, now: Time) -> Option<&Generation> {
        let bound = self.interval * MAX_SILENT_INTERVALS;
        let is_recent = |it: &&Generation| now.saturating_sub(it.received_at) <= bound;
        self.current.as_ref().filter(is_recent)
    }

    fn replace(&mut self, generation: Generation) {
        self.retire();
        self.current = Some(generation);
    }

    fn retire(&mut self) {
        let Some(generation) = self.current.take() else {
            return;
        };
        self.earlier.push_back(generation);
        if self.earlier.len() > MAX_EARLIER_GENERATIONS {
            self.earlier.pop_front();
        }
    }
}
