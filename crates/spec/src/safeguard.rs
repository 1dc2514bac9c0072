//! The safeguards, each of which a search can do without.

/// One mechanism that an invariant rests on. The decision code always has all of
/// them; a specification takes one away by changing what that code is told or
/// what becomes of its word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Safeguard {
    /// The operation's row, read before a try and written with the version.
    OperationRow,
    /// A transaction holds only while head and version row are as they were read.
    HeadCondition,
    /// A change whose resources moved on is refused.
    RevisionCheck,
    /// The whole resulting state is validated before it is written.
    Validation,
    /// A writer with an unanswered transaction says "unsettled".
    UnansweredMemory,
    /// A replica takes only versions above its own.
    VersionAboveOwn,
    /// A delta's result must have the digest that its writer computed.
    DigestCheck,
    /// References are checked before the swap.
    ReferenceCheck,
    /// A delta ahead of its turn waits.
    OrderCheck,
    /// Peers and rows remember the version of a restarted instance.
    RestartFloor,
    /// A starting daemon hears the platform, or enough peers, before it serves.
    EnoughHeard,
    /// Peers stand in for the platform only once it did not answer.
    PlatformFirst,
    /// A revoked attempt is recorded, so that a late arrival is refused.
    RevokeFence,
    /// An attempt is refused once its ticket is old.
    TicketExpiry,
    /// A record is kept as long as a ticket that may refer to it.
    RecordRetention,
    /// A restarted process refuses tickets of its predecessor.
    IncarnationCheck,
    /// A queued attempt that was revoked does not start.
    StartCheck,
    /// A second copy of an attempt does not run.
    DuplicateCheck,
    /// An answer is taken only by the attempt whose id it bears.
    AnswerId,
    /// Only what did not run is tried again.
    RetryRule,
    /// What waited past its deadline does not start.
    DeadlineCheck,
    /// A home takes a key only from an entry with the same set of upstreams.
    SetIdCheck,
    /// A new home asks the previous one.
    HomeConfirm,
    /// A previous home answers only the one that it takes for the home.
    AskerCheck,
    /// A planned restart hands over who was a home as well.
    MembersHandedOver,
    /// The set is looked at again after the previous home answered.
    RecheckAfterAsk,
    /// A home has no authority over keys made before its start.
    AuthoritySince,
    /// The start's authority leaves a margin for clocks that differ.
    SkewMargin,
    /// A key from the future is refused.
    FutureKeyCheck,
    /// A key older than its record is refused.
    KeyExpiry,
    /// A key that may have run stays taken.
    LostKeyKept,
    /// A confirmation counts from its question, however late it arrives.
    AgeFromQuestion,
    /// Only the newest configuration that is held is confirmed.
    ConfirmsOnlyHeld,
    /// A configuration that a peer hands over is not confirmed by that.
    CopyConfirmsNothing,
    /// The clock goes on while the instance is suspended.
    SleepCounts,
}

/// Which safeguards a specification has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Safeguards {
    off: Option<Safeguard>,
}

impl Safeguards {
    /// All of them, as the shipped code has.
    #[must_use]
    pub fn all() -> Self {
        Self::default()
    }

    /// All but one.
    #[must_use]
    pub fn without(safeguard: Safeguard) -> Self {
        let off = Some(safeguard);
        Self { off }
    }

    /// Whether this one is there.
    #[must_use]
    pub fn has(self, safeguard: Safeguard) -> bool {
        self.off != Some(safeguard)
    }
}
