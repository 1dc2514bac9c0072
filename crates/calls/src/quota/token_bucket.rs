//! The token bucket of a customer at the home of the customer's quota.

use std::time::Duration;

use stoatstep_resource::Quota;

use crate::customer_usage::UsageLevel;
use crate::ids::Time;

/// Maximum retry delay that a refused caller is given.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Smallest capacity of a bucket, in tokens. With less than one, nothing could ever be granted.
/// With less than two, the bucket of a zone with few calls would be full, and lose what it is
/// refilled with, while the customer's calls in another zone are refused.
const MIN_BURST: f64 = 2.0;

/// Longest time for which a home does not ask the other zones again after none had a token.
const MAX_SHORTAGE: Duration = Duration::from_millis(250);

/// Time for which borrowed tokens may exceed the bucket's capacity.
const BORROWED_TTL: Duration = Duration::from_secs(1);

/// Fraction of a full bucket below which its home borrows tokens.
const LOW_FRACTION: f64 = 0.25;

/// Fraction of a full bucket's tokens beyond [`MIN_BURST`] that its home does not lend. A customer
/// with a small quota uses them all wherever its calls arrive.
const RESERVED_FRACTION: f64 = 0.5;

/// A fraction of a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaShare {
    /// Tokens added per second.
    pub per_second: f64,
    /// Capacity of the bucket, in tokens.
    pub burst: f64,
}

impl QuotaShare {
    /// Computes the share of a quota that has the given `fraction`. The bucket has room for
    /// at least two tokens.
    #[must_use]
    pub fn new(quota: Quota, fraction: f64) -> Self {
        Self {
            per_second: quota.per_second() * fraction,
            burst: (f64::from(quota.burst) * fraction).max(MIN_BURST),
        }
    }

    /// Rounds `tokens` down to a whole number.
    #[must_use]
    pub fn whole_tokens(tokens: f64) -> u32 {
        // Accumulated rounding errors must not cost a token.
        const ROUNDING_ERROR: f64 = 1e-9;
        let seconds = Duration::try_from_secs_f64(tokens + ROUNDING_ERROR).unwrap_or_default();
        u32::try_from(seconds.as_secs()).unwrap_or(u32::MAX)
    }

    fn tokens_in(&self, time: Duration) -> f64 {
        self.per_second * time.as_secs_f64()
    }
}

/// Time in which `missing` tokens arrive at `per_second`. A home that has found all zones short
/// need not ask them again before.
#[must_use]
pub fn shortage_time(missing: f64, per_second: f64) -> Duration {
    let time = Duration::try_from_secs_f64(missing / per_second).unwrap_or(MAX_SHORTAGE);
    time.min(MAX_SHORTAGE)
}

/// A home's answer to an entry that requested tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenGrant {
    /// Number of tokens granted.
    pub tokens: u32,
    /// If fewer tokens were granted than requested, the time after which to ask again.
    pub retry_after: Option<Duration>,
    /// What the customer was served lately.
    pub usage: UsageLevel,
}

/// The token bucket of one customer at the home of the customer's quota.
///
/// A new bucket is empty because an earlier home may have granted all tokens already. Thus
/// successive homes together grant no more in any period than a single one would.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    tokens: f64,
    /// When the bucket was last refilled.
    refilled_at: Time,
    /// Refused callers have been told to retry for tokens that arrive until this time.
    promised_until: Time,
    /// Until this time the bucket may hold more tokens than its capacity.
    borrowed_until: Time,
}

impl TokenBucket {
    /// Creates an empty bucket that is refilled from `since` on.
    #[must_use]
    pub fn empty(since: Time) -> Self {
        Self {
            tokens: 0.0,
            refilled_at: since,
            promised_until: since,
            borrowed_until: Time::ZERO,
        }
    }

    /// Grants up to `wanted` tokens, as far as there are any.
    ///
    /// Refused callers get different retry times, one for each future token, so that they
    /// do not all come back at once to an empty bucket.
    pub fn grant(&mut self, wanted: u32, share: QuotaShare, now: Time) -> TokenGrant {
        let tokens = self.take_available(wanted, share, now);
        let refused = wanted - tokens;
        let retry_after = (refused > 0).then(|| self.reserve_retry(refused, share.per_second, now));
        TokenGrant {
            tokens,
            retry_after,
            usage: 0,
        }
    }

    /// Takes up to `wanted` tokens, as far as there are any. The rest may be
    /// [borrowed](Self::missing) before it is [refused](Self::reserve_retry).
    pub fn take_available(&mut self, wanted: u32, share: QuotaShare, now: Time) -> u32 {
        self.refill(share, now);
        self.take(wanted)
    }

    /// Tokens that the bucket lacks for `wanted` whole ones.
    #[must_use]
    pub fn missing(&self, wanted: u32) -> f64 {
        (f64::from(wanted) - self.tokens).max(0.0)
    }

    /// Returns whether the home should borrow tokens now. If it waited until the bucket is
    /// empty, calls would be refused until the lender answers.
    #[must_use]
    pub fn is_low(&self, share: QuotaShare) -> bool {
        self.tokens < share.burst * LOW_FRACTION
    }

    /// Grants tokens to the home of another zone, and reserves some for this one. Parts
    /// of a token are lent as well: the shares of a customer with a small quota are hardly
    /// ever whole tokens, and all zones together have some while none of them has one.
    pub fn lend(&mut self, wanted: f64, share: QuotaShare, now: Time) -> f64 {
        self.refill(share, now);
        let reserved = (share.burst - MIN_BURST) * RESERVED_FRACTION;
        let wanted = if wanted.is_finite() { wanted } else { 0.0 };
        let lent = wanted.min(self.tokens - reserved).max(0.0);
        self.tokens -= lent;
        lent
    }

    /// Adds tokens that another home lent. They may exceed the capacity for a moment, because
    /// the bucket may have been refilled before they arrive.
    pub fn add_borrowed(&mut self, tokens: f64, now: Time) {
        self.tokens += tokens.max(0.0);
        self.borrowed_until = now + BORROWED_TTL;
    }

    fn refill(&mut self, share: QuotaShare, now: Time) {
        let refilled = self.tokens + share.tokens_in(now.saturating_sub(self.refilled_at));
        let capacity = if now < self.borrowed_until {
            share.burst.max(self.tokens)
        } else {
            share.burst
        };
        self.tokens = refilled.min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn take(&mut self, wanted: u32) -> u32 {
        let tokens = wanted.min(QuotaShare::whole_tokens(self.tokens));
        self.tokens -= f64::from(tokens);
        tokens
    }

    /// Returns when refused callers may retry, and promises them the tokens that arrive by
    /// then at the rate of `per_second`.
    pub fn reserve_retry(&mut self, refused: u32, per_second: f64, now: Time) -> Duration {
        let seconds = f64::from(refused) / per_second;
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER);
        let until = self.promised_until.max(now) + wait.min(MAX_RETRY_AFTER);
        self.promised_until = until.min(now + MAX_RETRY_AFTER);
        self.promised_until.saturating_sub(now)
    }
}
