//! What one home may grant of a customer's quota.

use std::time::Duration;

use stoatstep_resource::Quota;

use crate::ids::Time;

/// Longest pause that a refused caller is asked for.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Time for which borrowed tokens are kept.
const BORROWED_FOR: Duration = Duration::from_secs(1);

/// Part of a full bucket below which its home borrows.
const LOW: f64 = 0.25;

/// Part of a full bucket that stays with its home when others borrow.
const KEPT_BACK: f64 = 0.5;

/// A part of a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Tokens a second.
    pub per_second: f64,
    /// Tokens that a bucket holds at most.
    pub burst: f64,
}

impl Share {
    /// The part `of` 1 of a quota. The bucket holds one token at least, or nothing could
    /// ever be granted from it.
    #[must_use]
    pub fn new(quota: Quota, of: f64) -> Self {
        Self {
            per_second: quota.per_second() * of,
            burst: (f64::from(quota.burst) * of).max(1.0),
        }
    }

    /// Whole tokens in `tokens`.
    #[must_use]
    pub fn whole(tokens: f64) -> u32 {
        // Rounding errors of many small steps must not cost a token.
        const ROUNDING: f64 = 1e-9;
        let seconds = Duration::try_from_secs_f64(tokens + ROUNDING).unwrap_or_default();
        u32::try_from(seconds.as_secs()).unwrap_or(u32::MAX)
    }

    fn after(&self, time: Duration) -> f64 {
        self.per_second * time.as_secs_f64()
    }
}

/// What a home answers to an entry that asks for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Tokens granted.
    pub tokens: u32,
    /// Where that is fewer than were asked for: when it is worth asking again.
    pub retry_after: Option<Duration>,
}

/// Tokens of one customer at its home.
///
/// A new bucket is empty, since an earlier home may have granted all that there was: in
/// any span of time, the homes that followed each other grant no more than one would.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    tokens: f64,
    at: Time,
    /// Until when tokens to come have been promised to callers that were refused.
    promised: Time,
    /// Until when it may hold more than its share.
    borrowed_until: Time,
}

impl Bucket {
    /// An empty bucket that fills from `since` on.
    #[must_use]
    pub fn empty(since: Time) -> Self {
        Self {
            tokens: 0.0,
            at: since,
            promised: since,
            borrowed_until: Time::ZERO,
        }
    }

    /// Grants what is there of the tokens that were asked for.
    ///
    /// Those refused get different times to come back, one for each token to come, so
    /// that they do not all meet an empty bucket together again.
    pub fn grant(&mut self, wanted: u32, share: Share, now: Time) -> Grant {
        self.fill(share, now);
        let tokens = self.take(wanted);
        let refused = wanted - tokens;
        let retry_after = (refused > 0).then(|| self.promise(refused, share, now));
        Grant {
            tokens,
            retry_after,
        }
    }

    /// Whether it is time to borrow: calls would be refused while an answer is under way.
    #[must_use]
    pub fn is_low(&self, share: Share) -> bool {
        self.tokens < share.burst * LOW
    }

    /// Grants tokens to a home of another zone, and keeps a part for the own one.
    pub fn lend(&mut self, wanted: u32, share: Share, now: Time) -> u32 {
        self.fill(share, now);
        let kept_back = share.burst * KEPT_BACK;
        let free = Share::whole(self.tokens - kept_back);
        self.take(wanted.min(free))
    }

    /// Takes in tokens that another home lent. For a moment they come on top of what the
    /// bucket holds at most: its own share may be full by the time that they are there.
    pub fn borrowed(&mut self, tokens: u32, now: Time) {
        self.tokens += f64::from(tokens);
        self.borrowed_until = now + BORROWED_FOR;
    }

    fn fill(&mut self, share: Share, now: Time) {
        let filled = self.tokens + share.after(now.saturating_sub(self.at));
        let most = if now < self.borrowed_until {
            share.burst.max(self.tokens)
        } else {
            share.burst
        };
        self.tokens = filled.min(most);
        self.at = self.at.max(now);
    }

    fn take(&mut self, wanted: u32) -> u32 {
        let tokens = wanted.min(Share::whole(self.tokens));
        self.tokens -= f64::from(tokens);
        tokens
    }

    fn promise(&mut self, refused: u32, share: Share, now: Time) -> Duration {
        let seconds = f64::from(refused) / share.per_second;
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_PAUSE);
        let until = self.promised.max(now) + wait.min(MAX_PAUSE);
        self.promised = until.min(now + MAX_PAUSE);
        self.promised.saturating_sub(now)
    }
}
