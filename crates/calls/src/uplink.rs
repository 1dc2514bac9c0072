//! The capacity of an instance's uplink, as a resource beside the target's slots.
//!
//! It is designed for large answers over a slow link: a target completes each in a tenth
//! of a second, the link takes a second to send it, and every small answer behind it is
//! late as well.
//!
//! * Small messages are sent at once. Large ones are sent in chunks at the rate of the
//!   link, so that a small one never waits for more than one chunk.
//! * A call whose large answer the link cannot deliver in time is refused before its
//!   target works on it.
//! * Answers that are late anyway go after those in time, and are accepted only if the link
//!   is forecast to have room for them before their deadline.
//! * An answer that is queued is sent before its caller stops waiting: when it is due, it goes
//!   before those that have time.
//! * The backlog of the link is reported to the entries, which place calls with large
//!   answers where the link has capacity.
//!
//! See `docs/design/further.md`.

mod queued;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{AttemptId, Time};
use crate::late_band::{Band, forecast_wait};
use crate::recent_load::RecentLoad;
pub use queued::{LargeMessage, MessageNumber};
use queued::{QueuedMessages, SLACK};

/// Share of the stated rate that messages may use. Packet headers and other traffic of the
/// instance need the rest. A saturated link builds up a queue that delays every message.
const USABLE_SHARE: f64 = 0.9;

/// Time that the link needs for one chunk of a large message. A small message waits for
/// one chunk at most, and 8 ms matter little for an objective of some 100 ms.
const CHUNK_TIME: Duration = Duration::from_millis(8);

/// Bounds on the size of a chunk. The system calls for a smaller chunk would cost more
/// than its bytes; with larger ones, answers that are not small would still be sent whole.
const MIN_CHUNK_BYTES: usize = 4 << 10;
/// Largest size of a chunk, whatever the rate of the link.
pub const MAX_CHUNK_BYTES: usize = 64 << 10;

/// How far chunks may be sent ahead of the link's rate, which compensates for timers that
/// fire late.
const MAX_AHEAD: Duration = Duration::from_millis(2);

/// The uplink of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Uplink {
    /// Usable bytes per second; `None` if the rate of the link is unknown.
    rate: Option<f64>,
    /// When the link will have sent everything handed to it so far.
    free_at: Time,
    /// Expected sizes of the large answers that the target still works on.
    expected: BTreeMap<AttemptId, (f64, Band)>,
    /// The large messages that wait to be sent.
    queued: QueuedMessages,
    /// Bytes of large answers that were accepted in time.
    in_time: RecentLoad,
}

impl Uplink {
    /// Creates a link with this rate; `None` if it is unknown.
    #[must_use]
    pub fn new(bytes_per_s: Option<f64>) -> Self {
        Self {
            rate: bytes_per_s.map(|it| it * USABLE_SHARE),
            free_at: Time::ZERO,
            expected: BTreeMap::new(),
            queued: QueuedMessages::default(),
            in_time: RecentLoad::default(),
        }
    }

    /// Maximum size of a frame; larger messages are sent in chunks of this size.
    #[must_use]
    pub fn chunk_bytes(&self) -> usize {
        let Some(rate) = self.rate else {
            return MAX_CHUNK_BYTES;
        };
        let chunk = round_down(rate * CHUNK_TIME.as_secs_f64());
        chunk.clamp(MIN_CHUNK_BYTES, MAX_CHUNK_BYTES)
    }

    /// Whether an answer of this size counts as large.
    #[must_use]
    pub fn is_large(&self, bytes: f64) -> bool {
        round_down(bytes) > self.chunk_bytes()
    }

    /// Time until the next chunk may be sent.
    #[must_use]
    pub fn until_free(&self, now: Time) -> Duration {
        self.free_at.saturating_sub(now + MAX_AHEAD)
    }

    /// A frame was handed to a connection.
    pub fn record_sent(&mut self, bytes: usize, now: Time) {
        if let Some(rate) = self.rate {
            self.free_at = self.free_at.max(now) + seconds(to_f64(bytes) / rate);
        }
    }

    /// Time that the link needs to send what goes before a message of this band: the expected
    /// large answers and the queued bytes.
    #[must_use]
    pub fn backlog(&self, band: Band) -> Duration {
        let expected = self.expected.values().filter(|(_, of)| *of <= band);
        let expected: f64 = expected.map(|(bytes, _)| bytes).sum();
        let queued = to_f64(self.queued.bytes_up_to(band));
        self.rate
            .map_or(Duration::ZERO, |rate| seconds((expected + queued) / rate))
    }

    /// Usable bytes per second; zero if the rate of the link is unknown.
    #[must_use]
    pub fn bytes_per_s(&self) -> u32 {
        let rate = self.rate.map_or(0, round_down);
        u32::try_from(rate).unwrap_or(u32::MAX)
    }

    /// Checks whether the link can deliver an answer of `bytes`, which its target completes
    /// in `run`, within the time `within`. Nothing is reserved. An idle link accepts any
    /// answer. A late answer goes after those in time, also those that are still to come, until
    /// it is due: then those in time wait for it.
    ///
    /// # Errors
    ///
    /// Returns the time after which a retry can succeed if the answer would be late.
    pub fn check_capacity(
        &self,
        bytes: f64,
        run: Duration,
        within: Duration,
        band: Band,
        now: Time,
    ) -> Result<(), Duration> {
        let Some(rate) = self.rate.filter(|_| self.is_large(bytes)) else {
            return Ok(());
        };
        if self.is_idle() {
            return Ok(());
        }
        let own = self.sending_time(bytes);
        let needed = match band {
            Band::InTime => {
                let due = self.queued.late_bytes_due(now + within + SLACK);
                let ahead = self.backlog(band) + seconds(to_f64(due) / rate);
                Some(run.max(ahead) + own)
            }
            Band::Late => {
                let used = self.in_time.most_per_second(now) / rate;
                let on_link = forecast_wait(self.backlog(band) + own, used);
                on_link.map(|it| it.max(run + own))
            }
        };
        match needed {
            Some(needed) if needed <= within => Ok(()),
            Some(needed) => Err(needed.saturating_sub(within)),
            None => Err(self.backlog(band) + own),
        }
    }

    /// Time that the idle link needs to send an answer of `bytes`; zero if its rate is unknown.
    #[must_use]
    pub fn sending_time(&self, bytes: f64) -> Duration {
        self.rate
            .map_or(Duration::ZERO, |rate| seconds(bytes / rate))
    }

    fn is_idle(&self) -> bool {
        self.expected.is_empty() && self.queued.is_empty()
    }

    /// The target works on an answer of this expected size.
    pub fn expect_answer(&mut self, attempt: AttemptId, bytes: f64, band: Band, now: Time) {
        if self.rate.is_some() && self.is_large(bytes) {
            self.expected.insert(attempt, (bytes, band));
            if band == Band::InTime {
                self.in_time.record(bytes, now);
            }
        }
    }

    /// Checks, like [`check_capacity`](Self::check_capacity), whether the link can still deliver
    /// an answer that is expected. It is not ahead of itself.
    ///
    /// # Errors
    ///
    /// Returns the time after which a retry can succeed if the answer would be late.
    pub fn check_expected(
        &mut self,
        attempt: AttemptId,
        run: Duration,
        within: Duration,
        now: Time,
    ) -> Result<(), Duration> {
        let Some((bytes, band)) = self.expected.remove(&attempt) else {
            return Ok(());
        };
        self.check_capacity(bytes, run, within, band, now)?;
        self.expected.insert(attempt, (bytes, band));
        Ok(())
    }

    /// The target has completed the answer, whose bytes are counted when they are queued.
    pub fn answer_completed(&mut self, attempt: AttemptId) {
        self.expected.remove(&attempt);
    }

    /// A large message was queued for the link.
    pub fn record_queued(&mut self, message: LargeMessage) -> MessageNumber {
        self.queued.add(message)
    }

    /// A chunk of a queued message was sent. After its last one, it is no longer queued.
    pub fn record_chunk(&mut self, message: MessageNumber, bytes: usize) {
        self.queued.record_chunk(message, bytes);
    }

    /// The rest of a queued message is not sent.
    pub fn record_dropped(&mut self, message: MessageNumber) {
        self.queued.remove(message);
    }

    /// A queued message is due earlier than it was.
    pub fn due_by(&mut self, message: MessageNumber, due: Time) {
        self.queued.due_by(message, due);
    }

    /// All queued messages are due by then at the latest.
    pub fn all_due_by(&mut self, due: Time) {
        self.queued.all_due_by(due);
    }

    /// The queued message whose next chunk is sent next, of those in `ready`.
    #[must_use]
    pub fn next(&self, ready: impl Fn(MessageNumber) -> bool, now: Time) -> Option<MessageNumber> {
        self.queued.next(ready, self.rate, now)
    }
}

fn seconds(time: f64) -> Duration {
    Duration::try_from_secs_f64(time).unwrap_or(Duration::MAX / 4)
}

fn to_f64(bytes: usize) -> f64 {
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX))
}

/// Rounds down. The conversion goes through a duration because a cast could lose the sign.
fn round_down(value: f64) -> usize {
    usize::try_from(seconds(value).as_secs()).unwrap_or(usize::MAX)
}
