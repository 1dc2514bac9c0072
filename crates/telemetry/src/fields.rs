//! Names of what log lines carry. One name means the same in every line, whoever
//! writes it; whoever reads lines takes the names from here as well.

/// Id of the caller's request; each retry of a caller has another one.
pub const REQUEST: &str = "request";
/// Id of one attempt at one executor; the same in the lines of entry and executor.
pub const ATTEMPT: &str = "attempt";
/// The life of the target that was chosen, or that a line is about.
pub const UPSTREAM: &str = "upstream";
/// Service that the target belongs to, or that was asked for.
pub const SERVICE: &str = "service";
/// Route by which the call went.
pub const ROUTE: &str = "route";
/// Path that the caller asked for.
pub const PATH: &str = "path";
/// Configuration version.
pub const VERSION: &str = "version";
/// Configuration version in force until then.
pub const BEFORE: &str = "before";
/// Configuration version that stays in force.
pub const HELD: &str = "held";
/// Where a configuration came from.
pub const SOURCE: &str = "source";
/// What is known of the run: answered, not-run or unknown.
pub const OUTCOME: &str = "outcome";
/// Why something ended as it did.
pub const REASON: &str = "reason";
/// HTTP status.
pub const STATUS: &str = "status";
/// What went wrong, in words.
pub const ERROR: &str = "error";
/// The answer came after its objective.
pub const LATE: &str = "late";
/// The target is of another zone than the entry.
pub const OTHER_ZONE: &str = "other_zone";
/// The target got to see the request.
pub const ARRIVED: &str = "arrived";
/// Attempts that the call took.
pub const ATTEMPTS: &str = "attempts";
/// Time that the caller gave, in milliseconds.
pub const GIVEN_MS: &str = "given_ms";
/// Time in which an answer is worth its full price, in milliseconds.
pub const OBJECTIVE_MS: &str = "objective_ms";
/// From the request to its answer, in microseconds.
pub const TOTAL_US: &str = "total_us";
/// Time in queues, in microseconds.
pub const QUEUE_US: &str = "queue_us";
/// Time at targets, in microseconds.
pub const TARGET_US: &str = "target_us";
/// Time that an attempt took, in microseconds.
pub const TOOK_US: &str = "took_us";
/// Calls that the target ran at that moment.
pub const RUNNING: &str = "running";
/// Calls that waited for it at that moment.
pub const QUEUED: &str = "queued";
/// Lines of the same kind left out since the last one.
pub const LEFT_OUT: &str = "left_out";
/// How long a target is left out, in milliseconds.
pub const FOR_MS: &str = "for_ms";
/// Idle time from which connections are not used again, in milliseconds.
pub const UNUSED_AFTER_MS: &str = "unused_after_ms";
/// Number of the heartbeat by which the target was last heard.
pub const SEQUENCE: &str = "sequence";
/// Calls that the target runs at a time.
pub const SLOTS: &str = "slots";
/// The target takes no new calls.
pub const DRAINING: &str = "draining";
/// The life of the target that answered where another one was meant.
pub const ANSWERED_AS: &str = "answered_as";
/// Id of an instance.
pub const INSTANCE: &str = "instance";
/// Availability zone.
pub const ZONE: &str = "zone";
/// Incarnation of a member; a higher one is newer.
pub const INCARNATION: &str = "incarnation";
/// State in which a member is seen.
pub const STATE: &str = "state";
/// Whether the zone can be reached.
pub const REACHABLE: &str = "reachable";
/// Incarnation at which a process started.
pub const BIRTH: &str = "birth";
/// How long the process was suspended, in milliseconds.
pub const GAP_MS: &str = "gap_ms";
/// Address of another daemon.
pub const PEER: &str = "peer";
/// Questions without an answer.
pub const OPEN: &str = "open";
/// How long nothing was heard, in milliseconds.
pub const SILENT_MS: &str = "silent_ms";
/// Calls under way.
pub const IN_FLIGHT: &str = "in_flight";
/// Retries that a call earns, in hundredths.
pub const PERCENT: &str = "percent";
/// Retries that a daemon may save up.
pub const RESERVE: &str = "reserve";
/// Calls of a route asked for lately; older ones weigh less.
pub const ASKED: &str = "asked";
/// Those of them that ended well.
pub const GOOD: &str = "good";
/// Bytes of the answer's body.
pub const BYTES: &str = "bytes";
/// Number of the order for a roll-out; a later one has a higher number.
pub const ORDER: &str = "order";
/// Version of targets' software that was ordered.
pub const SOFTWARE: &str = "software";
/// Step of a roll-out.
pub const STEP: &str = "step";
/// Step of the same roll-out until then; empty where the order is news.
pub const BEFORE_STEP: &str = "before_step";
/// Time until a roll-out has to be over, in milliseconds.
pub const LEFT_MS: &str = "left_ms";
/// Bad runs of the new version's targets that are tried.
pub const NEW_BAD: &str = "new_bad";
/// All runs of those targets that count.
pub const NEW_RUNS: &str = "new_runs";
/// Bad runs of the targets of the old side that were asked.
pub const OLD_BAD: &str = "old_bad";
/// All runs of those targets that count.
pub const OLD_RUNS: &str = "old_runs";
/// Fingerprint of what a request asks for; the same for each repeat, whatever its id.
pub const CONTENT: &str = "content";
/// Fingerprints of several requests, with spaces between them.
pub const CONTENTS: &str = "contents";
/// Calls that a target ran.
pub const RUNS: &str = "runs";
/// Lives of targets that ended while they ran a request.
pub const LIVES: &str = "lives";
/// How often the host came back from an older copy.
pub const ERA: &str = "era";
/// The same as known until then.
pub const BEFORE_ERA: &str = "before_era";
/// Name of a customer.
pub const CUSTOMER: &str = "customer";
/// Tokens of a quota that were asked for.
pub const WANTED: &str = "wanted";
/// Tokens of a quota that were granted.
pub const GRANTED: &str = "granted";
/// Tokens that a home may grant a minute.
pub const PER_MINUTE: &str = "per_minute";
/// Age of what is known, in milliseconds; absent where nothing is.
pub const AGE_MS: &str = "age_ms";

/// Every name above, in the order of this page.
pub const ALL: [&str; 69] = [
    REQUEST,
    ATTEMPT,
    UPSTREAM,
    SERVICE,
    ROUTE,
    PATH,
    VERSION,
    BEFORE,
    HELD,
    SOURCE,
    OUTCOME,
    REASON,
    STATUS,
    ERROR,
    LATE,
    OTHER_ZONE,
    ARRIVED,
    ATTEMPTS,
    GIVEN_MS,
    OBJECTIVE_MS,
    TOTAL_US,
    QUEUE_US,
    TARGET_US,
    TOOK_US,
    RUNNING,
    QUEUED,
    LEFT_OUT,
    FOR_MS,
    UNUSED_AFTER_MS,
    SEQUENCE,
    SLOTS,
    DRAINING,
    ANSWERED_AS,
    INSTANCE,
    ZONE,
    INCARNATION,
    STATE,
    REACHABLE,
    BIRTH,
    GAP_MS,
    PEER,
    OPEN,
    SILENT_MS,
    IN_FLIGHT,
    PERCENT,
    RESERVE,
    ASKED,
    GOOD,
    BYTES,
    ORDER,
    SOFTWARE,
    STEP,
    BEFORE_STEP,
    LEFT_MS,
    NEW_BAD,
    NEW_RUNS,
    OLD_BAD,
    OLD_RUNS,
    CONTENT,
    CONTENTS,
    RUNS,
    LIVES,
    ERA,
    BEFORE_ERA,
    CUSTOMER,
    WANTED,
    GRANTED,
    PER_MINUTE,
    AGE_MS,
];
