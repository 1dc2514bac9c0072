//! The tokens of a customer's quota that one entry holds.

use std::time::Duration;

use super::QuotaShare;
use crate::ids::Time;

/// Time for which a granted token may be used. A longer lease would lose more unused tokens
/// to the customer, and would allow more tokens of an earlier period to be used late.
const LEASE: Duration = Duration::from_millis(200);

/// Time constant of the exponential decay of the call count.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Maximum time for which an entry refuses calls without asking the home again.
const MAX_REFUSAL: Duration = Duration::from_millis(250);

/// Result of taking a token for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenDecision {
    /// The call has a token.
    Token,
    /// The home has to be asked for a token.
    Ask,
    /// The home had no tokens when last asked, and will have none before this time has
    /// passed.
    Refused(Duration),
}

/// Tokens of one customer at one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenCache {
    tokens: u32,
    expires: Time,
    refused_until: Time,
    /// When the home will have tokens again, by its last refusal.
    available_at: Time,
    /// Exponentially decayed number of recent calls.
    calls: f64,
    last_call: Time,
}

impl TokenCache {
    /// Takes a token for a call.
    pub fn take(&mut self, now: Time) -> TokenDecision {
        self.count_call(now);
        if self.tokens > 0 && now < self.expires {
            self.tokens -= 1;
            return TokenDecision::Token;
        }
        if now < self.refused_until {
            return TokenDecision::Refused(self.available_at.saturating_sub(now));
        }
        TokenDecision::Ask
    }

    /// Returns how many tokens to request while `waiting` calls wait for one. The number
    /// includes tokens that are expected to be used before they expire.
    #[must_use]
    pub fn tokens_to_request(&self, waiting: u32) -> u32 {
        let expected = self.calls * LEASE.as_secs_f64() / DECAY_TIME.as_secs_f64();
        waiting.saturating_add(QuotaShare::whole_tokens(expected))
    }

    /// Adds granted tokens that no call is waiting for.
    pub fn add(&mut self, tokens: u32, now: Time) {
        if now >= self.expires {
            self.tokens = 0;
        }
        if tokens > 0 {
            self.tokens += tokens;
            self.expires = now + LEASE;
        }
    }

    /// Records that the home granted fewer tokens than were requested.
    pub fn refused(&mut self, retry_after: Duration, now: Time) {
        self.refused_until = now + retry_after.min(MAX_REFUSAL);
        self.available_at = now + retry_after;
    }

    /// Returns whether the last call is so long ago that this can be dropped.
    #[must_use]
    pub fn is_idle(&self, now: Time) -> bool {
        now.saturating_sub(self.last_call) > 8 * DECAY_TIME
    }

    fn count_call(&mut self, now: Time) {
        let since = now.saturating_sub(self.last_call);
        self.calls *= (-since.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.calls += 1.0;
        self.last_call = now;
    }
}
