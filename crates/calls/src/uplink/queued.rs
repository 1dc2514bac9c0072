//! Large messages that are queued for the uplink, and which of them is sent next.
//!
//! Messages in time go before late ones, and smaller ones before larger ones: so most of them are
//! in time. That order alone bounds no wait, so each message also has a time by which it is due.
//! When what is queued can just be sent by the times at which it is due, it goes in the order of
//! these times, until there is slack again.

use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use super::seconds;
use crate::ids::Time;
use crate::late_band::Band;

/// Granularity in which the sizes of messages are compared. Answers that are barely large,
/// for which callers wait with a short latency objective, are smaller than one step.
const SIZE_STEP: usize = 32 << 10;

/// Time before a message is due by which it should have been sent. Its receiver needs time to
/// pass it on, and a chunk of another message may be on its way.
pub(super) const SLACK: Duration = Duration::from_millis(200);

/// Number of a message on the uplink; later ones have higher numbers.
pub type MessageNumber = u64;

/// A message that is sent in chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LargeMessage {
    /// Its size.
    pub bytes: usize,
    /// Whether it can still meet its latency objective.
    pub band: Band,
    /// When its receiver stops waiting for it.
    pub due: Time,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Queued {
    message: LargeMessage,
    /// Bytes that are not sent yet.
    rest: usize,
}

impl Queued {
    fn order(&self, number: MessageNumber) -> (Band, usize, MessageNumber) {
        (self.message.band, self.message.bytes / SIZE_STEP, number)
    }
}

/// The large messages that are queued for the uplink.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct QueuedMessages {
    next_number: MessageNumber,
    messages: BTreeMap<MessageNumber, Queued>,
    /// Bytes that are not sent yet, by band.
    rest: BTreeMap<Band, usize>,
}

impl QueuedMessages {
    pub(super) fn add(&mut self, message: LargeMessage) -> MessageNumber {
        let number = self.next_number;
        self.next_number += 1;
        let rest = message.bytes;
        self.messages.insert(number, Queued { message, rest });
        *self.rest.entry(message.band).or_default() += rest;
        number
    }

    /// Counts a chunk that was sent. After its last one, a message is no longer queued.
    pub(super) fn record_chunk(&mut self, number: MessageNumber, bytes: usize) {
        let Some(queued) = self.messages.get_mut(&number) else {
            return;
        };
        let sent = bytes.min(queued.rest);
        queued.rest -= sent;
        let (band, is_sent) = (queued.message.band, queued.rest == 0);
        self.subtract(band, sent);
        if is_sent {
            self.messages.remove(&number);
        }
    }

    pub(super) fn remove(&mut self, number: MessageNumber) {
        if let Some(queued) = self.messages.remove(&number) {
            self.subtract(queued.message.band, queued.rest);
        }
    }

    /// Has all messages due by then at the latest.
    pub(super) fn all_due_by(&mut self, due: Time) {
        for queued in self.messages.values_mut() {
            queued.message.due = queued.message.due.min(due);
        }
    }

    /// Makes a message due earlier.
    pub(super) fn due_by(&mut self, number: MessageNumber, due: Time) {
        if let Some(queued) = self.messages.get_mut(&number) {
            queued.message.due = queued.message.due.min(due);
        }
    }

    fn subtract(&mut self, band: Band, bytes: usize) {
        let rest = self.rest.entry(band).or_default();
        *rest = rest.saturating_sub(bytes);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Bytes of the messages of this band and those that go before it.
    pub(super) fn bytes_up_to(&self, band: Band) -> usize {
        self.rest.range(..=band).map(|(_, it)| it).sum()
    }

    /// Bytes of the late messages that are due by then, and go before others that are not.
    pub(super) fn late_bytes_due(&self, by: Time) -> usize {
        let messages = self.messages.values();
        let late = messages.filter(|it| it.message.band == Band::Late && it.message.due <= by);
        late.map(|it| it.rest).sum()
    }

    /// The message that is sent next, of those in `ready`, whose links can take a chunk.
    pub(super) fn next(
        &self,
        ready: impl Fn(MessageNumber) -> bool,
        bytes_per_s: Option<f64>,
        now: Time,
    ) -> Option<MessageNumber> {
        if let Some(bytes_per_s) = bytes_per_s {
            let first = self.first_due(&ready, bytes_per_s, now);
            if first.is_some() {
                return first;
            }
        }
        let queued = self.messages.iter().filter(|(number, _)| ready(**number));
        let first = queued.min_by_key(|(number, it)| it.order(**number));
        first.map(|(number, _)| *number)
    }

    /// The message that is due first, if those in `ready` leave no slack. Messages that can't all
    /// be sent by the times at which they are due are not counted, the largest ones first, so that
    /// as many as possible can. They wait until there is slack again.
    fn first_due(
        &self,
        ready: &impl Fn(MessageNumber) -> bool,
        bytes_per_s: f64,
        now: Time,
    ) -> Option<MessageNumber> {
        let time = |bytes: usize| seconds(super::to_f64(bytes) / bytes_per_s);
        let mut by_due: Vec<_> = self.messages.iter().collect();
        by_due.retain(|(number, it)| it.message.due > now && ready(**number));
        let first_due = by_due.iter().map(|(_, it)| it.message.due).min()?;
        if now + SLACK + time(self.bytes_up_to(Band::Late)) < first_due {
            return None;
        }
        by_due.sort_by_key(|(number, it)| (it.message.due, **number));
        let mut counted = BinaryHeap::new();
        let (mut ahead, mut has_slack) = (Duration::ZERO, true);
        for (number, queued) in by_due {
            let (due, own) = (queued.message.due, time(queued.rest));
            ahead += own;
            counted.push((own, due, *number));
            let mut is_counted = true;
            while now + ahead > due
                && let Some((largest, _, left_out)) = counted.pop()
            {
                ahead = ahead.saturating_sub(largest);
                is_counted &= left_out != *number;
            }
            has_slack &= !is_counted || now + ahead + SLACK < due;
        }
        if has_slack {
            return None;
        }
        let first = counted
            .into_iter()
            .min_by_key(|(_, due, number)| (*due, *number));
        first.map(|(.., number)| number)
    }
}
