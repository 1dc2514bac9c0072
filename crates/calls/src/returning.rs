//! Callers that come back after a refusal: how long they have waited already, and when to come.
//!
//! It answers the second and third try of a call. The objective counts from a caller's first try,
//! but a caller states only the time that it has left, and first tries differ in that by more than
//! an objective. The entry therefore recognises a call that it refused by its content: callers
//! send the same request again, to the daemon on their instance.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::fingerprint::Fingerprint;
use crate::ids::Time;

/// Limit on the refused calls that are remembered. An entry that refuses 100 calls a second whose
/// callers wait for 8 s has 800 of them.
const MAX_REFUSED: usize = 4096;

/// Longest time for which a refused call is remembered, whatever its caller states: callers that
/// state years would fill the memory for good.
const MAX_AGE: Duration = Duration::from_mins(1);

/// Limit on the refused calls with the same content; of more, the first ones are remembered.
const MAX_SAME: usize = 16;

/// Share of the time that a caller has left for which it waits at most before it comes back.
const MAX_DELAY_SHARE: f64 = 1.0 / 3.0;

/// Share of the longest delay from which callers whose answers will be late come back. They lose
/// nothing by coming later, and leave the room to those that can still be in time.
const MIN_LATE_SHARE: f64 = 0.8;

/// Share of the delay by which callers that can still be in time come back later, at most, so that
/// those refused together do not come together.
const SPREAD: f64 = 0.25;

/// What is known of a call that was refused before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedCall {
    /// When its caller sent it for the first time.
    pub first_sent: Time,
    /// When its caller stops waiting.
    pub expires: Time,
}

/// The refused calls of one entry whose callers may come back.
#[derive(Clone, Debug, Default)]
pub struct ReturningCalls {
    refused: HashMap<Fingerprint, VecDeque<RefusedCall>>,
    count: usize,
}

impl ReturningCalls {
    /// A call arrives. If a call with its content was refused, returns what is known of that one,
    /// which is not recognised again: as many calls count as returning as were refused.
    pub fn arrive(&mut self, content: Fingerprint, now: Time) -> Option<RefusedCall> {
        let same = self.refused.get_mut(&content)?;
        let before = same.len();
        while same.front().is_some_and(|it| it.expires <= now) {
            same.pop_front();
        }
        let found = same.pop_front();
        self.count -= before - same.len();
        if same.is_empty() {
            self.refused.remove(&content);
        }
        found
    }

    /// A call was refused, and its caller may come back.
    pub fn refused(&mut self, content: Fingerprint, call: RefusedCall, now: Time) {
        if self.count >= MAX_REFUSED {
            self.expire(now);
        }
        if self.count >= MAX_REFUSED {
            return;
        }
        let expires = call.expires.min(now + MAX_AGE);
        let same = self.refused.entry(content).or_default();
        if same.len() < MAX_SAME {
            same.push_back(RefusedCall { expires, ..call });
            self.count += 1;
        }
    }

    /// Number of the calls that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether no call is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Forgets the calls whose callers no longer wait.
    pub fn expire(&mut self, now: Time) {
        for same in self.refused.values_mut() {
            same.retain(|it| it.expires > now);
        }
        self.refused.retain(|_, same| !same.is_empty());
        self.count = self.refused.values().map(VecDeque::len).sum();
    }
}

/// A refused call, for the time after which its caller is to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Return {
    /// Time that its caller goes on waiting.
    pub left: Duration,
    /// Time left to its objective.
    pub objective: Duration,
    /// Mean run time of its route.
    pub run: Duration,
    /// Time after which its target is forecast to have room.
    pub room_after: Duration,
}

impl Return {
    /// The time after which the caller is to come back; `None` if there is no room for its call
    /// before it stops waiting. `draw` is a random number from 0 to 1, which spreads the callers
    /// that are refused together.
    #[must_use]
    pub fn delay(self, draw: f64) -> Option<Duration> {
        let longest = self.left.mul_f64(MAX_DELAY_SHARE);
        let in_time = self.room_after.mul_f64(1.0 + SPREAD * draw);
        if in_time + self.run < self.objective {
            return Some(in_time.min(longest));
        }
        if self.room_after + self.run >= self.left {
            return None;
        }
        let earliest = self.room_after.max(longest.mul_f64(MIN_LATE_SHARE));
        let spread = longest.saturating_sub(earliest).mul_f64(draw);
        Some((earliest + spread).min(longest))
    }
}
