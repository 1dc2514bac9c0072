//! What one entry holds of a customer's quota.

use std::time::Duration;

use super::Share;
use crate::ids::Time;

/// How long a token may be kept. What the home has granted and nobody used is lost to the
/// customer, and what is used late was granted in an earlier span of time.
const LEASE: Duration = Duration::from_millis(200);

/// Time in which the count of earlier calls loses most of its weight.
const MEMORY: Duration = Duration::from_secs(1);

/// Longest time for which an entry refuses without asking the home again.
const MAX_REFUSAL: Duration = Duration::from_millis(250);

/// What becomes of a call that needs a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It has one.
    Token,
    /// The home has to be asked.
    Ask,
    /// The home had none a moment ago, and there will be none before this time has passed.
    Refused(Duration),
}

/// Tokens of one customer at one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Purse {
    tokens: u32,
    expires: Time,
    refused_until: Time,
    /// When the home will have room for what it refused last.
    room_at: Time,
    /// Calls lately; older ones weigh less.
    calls: f64,
    at: Time,
}

impl Purse {
    /// Takes a token for a call.
    pub fn take(&mut self, now: Time) -> Taken {
        self.note_call(now);
        if self.tokens > 0 && now < self.expires {
            self.tokens -= 1;
            return Taken::Token;
        }
        if now < self.refused_until {
            return Taken::Refused(self.room_at.saturating_sub(now));
        }
        Taken::Ask
    }

    /// Tokens to ask for when this many calls wait for one: those that will most likely be
    /// used before they expire come along.
    #[must_use]
    pub fn wanted(&self, waiting: u32) -> u32 {
        let expected = self.calls * LEASE.as_secs_f64() / MEMORY.as_secs_f64();
        waiting.saturating_add(Share::whole(expected))
    }

    /// Keeps tokens that no call waits for.
    pub fn keep(&mut self, tokens: u32, now: Time) {
        if now >= self.expires {
            self.tokens = 0;
        }
        if tokens > 0 {
            self.tokens += tokens;
            self.expires = now + LEASE;
        }
    }

    /// The home had too few.
    pub fn refused(&mut self, retry_after: Duration, now: Time) {
        self.refused_until = now + retry_after.min(MAX_REFUSAL);
        self.room_at = now + retry_after;
    }

    /// Whether nothing is worth remembering any more.
    #[must_use]
    pub fn is_idle(&self, now: Time) -> bool {
        now.saturating_sub(self.at) > 8 * MEMORY
    }

    fn note_call(&mut self, now: Time) {
        let since = now.saturating_sub(self.at);
        self.calls *= (-since.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.calls += 1.0;
        self.at = now;
    }
}
