//! What an instance's link can carry, as a resource beside the target's slots.
//!
//! It answers the load of large answers over a thin link: a target completes them in a
//! tenth of a second, the link takes a second for each, and behind them every small
//! answer is late as well. Three things follow.
//!
//! * Small messages go at once; large ones go in pieces, at the pace of the link, so that
//!   a small one never waits for more than a piece.
//! * A large answer that the link cannot deliver in time is refused before its target
//!   works for it.
//! * Entries are told how long the link is taken, and place large answers where there is
//!   room.
//!
//! See `docs/design/further.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{AttemptId, Time};

/// Share of the stated rate that messages may fill. Headers of packets, and what else
/// runs on the instance, take the rest; a link that is filled queues, and its queue
/// delays every message.
const USABLE: f64 = 0.9;

/// Time that one piece of a large message takes. A small message waits for one piece at
/// most, and an objective of some 100 ms does not notice 8 of them.
const PIECE_TIME: Duration = Duration::from_millis(8);

/// Bounds on a piece: below, the system calls for it cost more than its bytes; above, an
/// answer that is hardly large would still go as one.
const LEAST_PIECE: usize = 4 << 10;
const LARGEST_PIECE: usize = 64 << 10;

/// How far ahead of the pace pieces may go, which makes up for timers that fire late.
const AHEAD: Duration = Duration::from_millis(2);

/// The link of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Uplink {
    /// Bytes a second; absent where nothing is known of the link.
    rate: Option<f64>,
    /// When all that was sent so far has left.
    free_at: Time,
    /// Large answers that targets still work on, by the bytes expected of them.
    expected: BTreeMap<AttemptId, f64>,
    /// Bytes of large messages that wait to be sent.
    waiting: f64,
}

impl Uplink {
    /// A link that carries so many bytes a second.
    #[must_use]
    pub fn new(bytes_per_s: Option<f64>) -> Self {
        Self {
            rate: bytes_per_s.map(|it| it * USABLE),
            free_at: Time::ZERO,
            expected: BTreeMap::new(),
            waiting: 0.0,
        }
    }

    /// Bytes that go as one frame; what is larger goes in pieces of this size.
    #[must_use]
    pub fn piece_bytes(&self) -> usize {
        let Some(rate) = self.rate else {
            return LARGEST_PIECE;
        };
        let of_time = whole(rate * PIECE_TIME.as_secs_f64());
        of_time.clamp(LEAST_PIECE, LARGEST_PIECE)
    }

    /// Whether answers of a route with this mean count as large.
    #[must_use]
    pub fn is_large(&self, bytes: f64) -> bool {
        whole(bytes) > self.piece_bytes()
    }

    /// Time until the next piece may go.
    #[must_use]
    pub fn until_free(&self, now: Time) -> Duration {
        self.free_at.saturating_sub(now + AHEAD)
    }

    /// A frame was handed to a connection.
    pub fn sent(&mut self, bytes: usize, now: Time) {
        if let Some(rate) = self.rate {
            self.free_at = self.free_at.max(now) + seconds(count(bytes) / rate);
        }
    }

    /// Time in which the large answers that are under way leave, one after the other.
    #[must_use]
    pub fn backlog(&self) -> Duration {
        let bytes = self.expected.values().sum::<f64>() + self.waiting;
        self.rate
            .map_or(Duration::ZERO, |rate| seconds(bytes / rate))
    }

    /// Bytes a second for large answers, zero where nothing is known of the link.
    #[must_use]
    pub fn bytes_per_s(&self) -> u32 {
        let rate = self.rate.map_or(0, whole);
        u32::try_from(rate).unwrap_or(u32::MAX)
    }

    /// Whether an answer of `bytes` that its target completes in `run` would arrive
    /// `within` this time. Otherwise the time after which another try is worthwhile.
    ///
    /// # Errors
    ///
    /// Where it would not; nothing is taken.
    pub fn takes(&self, bytes: f64, run: Duration, within: Duration) -> Result<(), Duration> {
        let Some(rate) = self.rate.filter(|_| self.is_large(bytes)) else {
            return Ok(());
        };
        let own = seconds(bytes / rate);
        let needed = run.max(self.backlog()) + own;
        if needed <= within || (self.expected.is_empty() && self.waiting <= 0.0) {
            return Ok(());
        }
        Err(needed.saturating_sub(within))
    }

    /// A target works on an answer of which so many bytes are expected.
    pub fn expects(&mut self, attempt: AttemptId, bytes: f64) {
        if self.rate.is_some() && self.is_large(bytes) {
            self.expected.insert(attempt, bytes);
        }
    }

    /// The target's work has ended; what is to be sent of it is counted as waiting.
    pub fn ended(&mut self, attempt: AttemptId) {
        self.expected.remove(&attempt);
    }

    /// A large message waits to be sent.
    pub fn waits(&mut self, bytes: usize) {
        self.waiting += count(bytes);
    }

    /// So much of what waited was sent, or is not sent any more.
    pub fn waits_no_more(&mut self, bytes: usize) {
        self.waiting = (self.waiting - count(bytes)).max(0.0);
    }
}

fn seconds(time: f64) -> Duration {
    Duration::try_from_secs_f64(time).unwrap_or(Duration::MAX / 4)
}

fn count(bytes: usize) -> f64 {
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX))
}

/// Rounded down; a duration does it without a cast that could lose its sign.
fn whole(value: f64) -> usize {
    usize::try_from(seconds(value).as_secs()).unwrap_or(usize::MAX)
}
