//! Safeguards, each of which can be switched off in a search.

/// A mechanism that an invariant depends on. The decision code always has all of them; a
/// specification switches one off by changing the input of that code or the effect of its output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Safeguard {
    /// The operation's row is read before each try and written together with the version.
    OperationRow,
    /// A transaction is applied only if the head row is still as it was read.
    HeadCondition,
    /// A change to a resource that is no longer at the expected revision is refused.
    RevisionCheck,
    /// The whole resulting state is validated before it is written to the log.
    Validation,
    /// A writer with an unanswered transaction reports that the outcome is unsettled.
    UnansweredMemory,
    /// A replica accepts only versions above its own.
    VersionAboveOwn,
    /// The state after a delta must have the digest that the delta's writer computed.
    DigestCheck,
    /// References between resources are checked before a new state comes into force.
    ReferenceCheck,
    /// A delta that arrives before its predecessor waits.
    OrderCheck,
    /// Peers, and rows on the platform, remember the version by which a restarted instance served.
    RestartFloor,
    /// A starting daemon gets an answer of the platform, or of enough peers, before it serves.
    EnoughHeard,
    /// Answers of peers count only after the platform failed to answer.
    PlatformFirst,
    /// A revoked attempt is recorded, so that it is refused if it arrives later.
    RevokeFence,
    /// An attempt with an expired ticket is refused.
    TicketExpiry,
    /// A record is kept until every ticket that may refer to it has expired.
    RecordRetention,
    /// A restarted process refuses tickets that the previous process issued.
    IncarnationCheck,
    /// A queued attempt that was revoked does not start.
    StartCheck,
    /// A duplicate of an attempt does not run.
    DuplicateCheck,
    /// An answer is accepted only by the attempt with the same id.
    AnswerId,
    /// Only an attempt that did not run is retried.
    RetryRule,
    /// An attempt that waited past its deadline does not start.
    DeadlineCheck,
    /// A home (the executor responsible for a key) accepts the key only from an entry with the same
    /// set of upstreams.
    SetIdCheck,
    /// A new home asks the previous one about the key.
    HomeConfirm,
    /// A previous home answers only the executor that is the home by its own configuration.
    AskerCheck,
    /// A planned restart also hands over which upstreams were homes.
    MembersHandedOver,
    /// The set of upstreams is compared again after the previous home has answered.
    RecheckAfterAsk,
    /// A home does not run keys that were created before it started.
    AuthoritySince,
    /// The check of a key against the home's start leaves a margin for clock skew.
    SkewMargin,
    /// A key created in the future is refused.
    FutureKeyCheck,
    /// A key that is older than the retention of records is refused.
    KeyExpiry,
    /// A key that may have run is not released.
    LostKeyKept,
    /// The age of a confirmation counts from its request, however late the answer arrives.
    AgeFromQuestion,
    /// A confirmation counts only if the confirmed configuration is held.
    ConfirmsOnlyHeld,
    /// A configuration copied from a peer is not thereby confirmed.
    CopyConfirmsNothing,
    /// The clock keeps running while the instance is suspended.
    SleepCounts,
    /// No request is sent twice on one connection to a target.
    SentOnceOnConnection,
    /// A claim is sent only on a connection on which every answer stated the id of its request.
    NamedConnection,
    /// An answer that states the id of another request is dropped.
    ForeignAnswersDropped,
    /// A connection is closed after a failure that states no id of a request.
    UnnamedFailureCloses,
}

/// The set of safeguards that are switched on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Safeguards {
    off: Option<Safeguard>,
}

impl Safeguards {
    /// All safeguards, as in production.
    #[must_use]
    pub fn all() -> Self {
        Self::default()
    }

    /// All safeguards except this one.
    #[must_use]
    pub fn without(safeguard: Safeguard) -> Self {
        let off = Some(safeguard);
        Self { off }
    }

    /// Whether this safeguard is switched on.
    #[must_use]
    pub fn has(self, safeguard: Safeguard) -> bool {
        self.off != Some(safeguard)
    }
}
