//! Keys of the values in log lines. A key has the same meaning in every line and program; programs
//! that read log lines use these constants too.

/// Id of the caller's request; each retry by a caller has a new one.
pub const REQUEST: &str = "request";
/// Id of one attempt at one executor; the lines of entry and executor have the same one.
pub const ATTEMPT: &str = "attempt";
/// Generation of the target that was chosen, or that the line is about.
pub const UPSTREAM: &str = "upstream";
/// Service that the target belongs to, or that the caller asked for.
pub const SERVICE: &str = "service";
/// Route that the call took.
pub const ROUTE: &str = "route";
/// Path that the caller asked for.
pub const PATH: &str = "path";
/// Version of the configuration.
pub const VERSION: &str = "version";
/// Version of the configuration that was in force before.
pub const BEFORE: &str = "before";
/// Version of the configuration that stays in force.
pub const HELD: &str = "held";
/// Where a configuration came from.
pub const SOURCE: &str = "source";
/// Outcome of the run as far as it is known: answered, not-run or unknown.
pub const OUTCOME: &str = "outcome";
/// Why something ended as it did.
pub const REASON: &str = "reason";
/// HTTP status.
pub const STATUS: &str = "status";
/// Description of an error.
pub const ERROR: &str = "error";
/// Whether the answer missed its latency objective.
pub const LATE: &str = "late";
/// Whether the target is in another zone than the entry.
pub const OTHER_ZONE: &str = "other_zone";
/// Whether the request reached the target.
pub const ARRIVED: &str = "arrived";
/// Number of attempts that the call took.
pub const ATTEMPTS: &str = "attempts";
/// Time limit that the caller set, in milliseconds.
pub const GIVEN_MS: &str = "given_ms";
/// Latency objective: time within which an answer is worth its full price, in milliseconds.
pub const OBJECTIVE_MS: &str = "objective_ms";
/// Time from the request to its answer, in microseconds.
pub const TOTAL_US: &str = "total_us";
/// Time in queues, in microseconds.
pub const QUEUE_US: &str = "queue_us";
/// Time at targets, in microseconds.
pub const TARGET_US: &str = "target_us";
/// Duration of an attempt, in microseconds.
pub const TOOK_US: &str = "took_us";
/// Number of calls that the target was running at that moment.
pub const RUNNING: &str = "running";
/// Number of calls that were waiting for the target at that moment.
pub const QUEUED: &str = "queued";
/// Number of lines of the same kind that were suppressed since the last logged one.
pub const LEFT_OUT: &str = "left_out";
/// Time for which a target is excluded or a request is quarantined, in milliseconds.
pub const FOR_MS: &str = "for_ms";
/// Idle time after which connections are not reused, in milliseconds.
pub const UNUSED_AFTER_MS: &str = "unused_after_ms";
/// Sequence number of the last heartbeat that was received from the target.
pub const SEQUENCE: &str = "sequence";
/// Field of a message that is not believed.
pub const FIELD: &str = "field";
/// Value of the field in the message.
pub const STATED: &str = "stated";
/// Value of the same that is known, and that the message contradicts.
pub const KNOWN: &str = "known";
/// Number of calls that the target runs at a time.
pub const SLOTS: &str = "slots";
/// Whether the target takes no new calls.
pub const DRAINING: &str = "draining";
/// Generation of the target that answered a request meant for another one.
pub const ANSWERED_AS: &str = "answered_as";
/// Id of an instance.
pub const INSTANCE: &str = "instance";
/// Availability zone.
pub const ZONE: &str = "zone";
/// Incarnation of a member; a higher one is newer.
pub const INCARNATION: &str = "incarnation";
/// State of a member as this daemon sees it.
pub const STATE: &str = "state";
/// Whether the zone can be reached.
pub const REACHABLE: &str = "reachable";
/// Incarnation with which a process started.
pub const BIRTH: &str = "birth";
/// Time for which the process was suspended, in milliseconds.
pub const GAP_MS: &str = "gap_ms";
/// Address of another daemon.
pub const PEER: &str = "peer";
/// Number of requests to a peer that have no answer yet.
pub const OPEN: &str = "open";
/// Time for which nothing was received, in milliseconds.
pub const SILENT_MS: &str = "silent_ms";
/// Number of calls in progress.
pub const IN_FLIGHT: &str = "in_flight";
/// Retries that a call earns, in hundredths of a retry.
pub const PERCENT: &str = "percent";
/// Number of retries that a daemon may save up.
pub const RESERVE: &str = "reserve";
/// Decayed number of calls of a route, in which older calls weigh less.
pub const ASKED: &str = "asked";
/// Decayed number of those calls that succeeded.
pub const GOOD: &str = "good";
/// Size of the answer's body in bytes.
pub const BYTES: &str = "bytes";
/// Number of the order for a roll-out; a later order has a higher number.
pub const ORDER: &str = "order";
/// Version of the targets' software that was ordered.
pub const SOFTWARE: &str = "software";
/// Step of a roll-out.
pub const STEP: &str = "step";
/// Previous step of the same roll-out; empty if the order is new.
pub const BEFORE_STEP: &str = "before_step";
/// Time until a roll-out has to be complete, in milliseconds.
pub const LEFT_MS: &str = "left_ms";
/// Number of bad runs of the canary targets, which have the new version.
pub const NEW_BAD: &str = "new_bad";
/// Number of all counted runs of the canary targets.
pub const NEW_RUNS: &str = "new_runs";
/// Number of bad runs of those targets of the old side that were asked.
pub const OLD_BAD: &str = "old_bad";
/// Number of all counted runs of those targets of the old side that were asked.
pub const OLD_RUNS: &str = "old_runs";
/// Fingerprint of the contents of a request; the same for all its repeats, whatever their ids.
pub const CONTENT: &str = "content";
/// Fingerprints of several requests, separated by spaces.
pub const CONTENTS: &str = "contents";
/// Number of calls that a target ran.
pub const RUNS: &str = "runs";
/// Number of generations of targets that ended while they ran a request.
pub const LIVES: &str = "lives";
/// Number of times that the store came back from an older copy.
pub const ERA: &str = "era";
/// Previously known number of times that the store came back from an older copy.
pub const BEFORE_ERA: &str = "before_era";
/// Name of a customer.
pub const CUSTOMER: &str = "customer";
/// Number of tokens of a quota that were requested.
pub const WANTED: &str = "wanted";
/// Number of tokens of a quota that were granted.
pub const GRANTED: &str = "granted";
/// Number of tokens that the home of a quota may grant per minute.
pub const PER_MINUTE: &str = "per_minute";
/// Whether the call was refused before, and its caller came back.
pub const RETURNED: &str = "returned";
/// Time after which a target is forecast to have room, in milliseconds.
pub const ROOM_AFTER_MS: &str = "room_after_ms";
/// Time after which the caller is to come back, in milliseconds; absent if it need not.
pub const RETRY_AFTER_MS: &str = "retry_after_ms";
/// Share of a route's calls that leave their availability zone.
pub const SHARE: &str = "share";
/// Whether all availability zones were short, and not only those that were asked in time.
pub const WHOLE_FLEET: &str = "whole_fleet";
/// Age of what is known, in milliseconds; absent if nothing is known.
pub const AGE_MS: &str = "age_ms";
/// Requests per second that a target states as its limit; empty if it states none.
pub const LIMIT: &str = "limit";
/// Limit that the target stated until then; empty if it stated none.
pub const BEFORE_LIMIT: &str = "before_limit";
/// Whether a target states that it leaves.
pub const LEAVING: &str = "leaving";
/// Why the answer of a run was lost; empty if it was not.
pub const CAUSE: &str = "cause";
/// How far a call had got that was not answered: `placing`, `asked`, `receiving` or `settling`.
pub const STAGE: &str = "stage";
/// Time left to a call's deadline, in milliseconds.
pub const DEADLINE_MS: &str = "deadline_ms";
/// Bytes of a call's answer that had arrived at its entry.
pub const RECEIVED_BYTES: &str = "received_bytes";
/// How the sending of an answer ended: `sent`, `cancelled` or `link-lost`.
pub const END: &str = "end";
/// Whether an answer could still meet its latency objective: `in-time` or `late`.
pub const BAND: &str = "band";
/// Bytes of an answer that were sent.
pub const SENT_BYTES: &str = "sent_bytes";
/// Time that the link needed for what went before an answer when it was queued, in microseconds.
pub const AHEAD_US: &str = "ahead_us";
/// Time for which an answer waited until its first chunk was sent, in microseconds.
pub const WAIT_US: &str = "wait_us";
/// Time from the first chunk of an answer until it ended, in microseconds.
pub const SENDING_US: &str = "sending_us";
/// Value that was expected.
pub const EXPECTED: &str = "expected";

/// All keys, in the order in which this module defines them.
pub const ALL: [&str; 91] = [
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
    FIELD,
    STATED,
    KNOWN,
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
    RETURNED,
    ROOM_AFTER_MS,
    RETRY_AFTER_MS,
    SHARE,
    WHOLE_FLEET,
    AGE_MS,
    LIMIT,
    BEFORE_LIMIT,
    LEAVING,
    CAUSE,
    STAGE,
    DEADLINE_MS,
    RECEIVED_BYTES,
    END,
    BAND,
    SENT_BYTES,
    AHEAD_US,
    WAIT_US,
    SENDING_US,
    EXPECTED,
];
