//! Follows the store's configuration. What happens with a version that it returns is in
//! [`versions`].

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use stoatstep_calls::Time;
use stoatstep_distribution::PollRole;
use stoatstep_membership::Input;
use stoatstep_resource::State;
use stoatstep_telemetry::fields;
use tokio::time::timeout;

use super::confirmation;
use super::contact;
use super::gossip;
use super::role;
use super::versions::{self, Source};
use crate::fleet_store::{ConfigurationUpdate, Cursor, FleetStore, FleetStoreError};
use crate::node::Node;
use crate::rollout;

/// Longest wait for a change. A request that the store will never answer, because the connection
/// was lost or it restarted, looks like a wait without a change. This bounds how long a daemon can
/// miss changes after the store is back.
const LONGEST_WAIT: Duration = Duration::from_secs(3);

/// Longest wait for a change after a delay, and for a daemon that polls on its own behalf and looks
/// for other members in between. If the store was restored from an older copy meanwhile, it may
/// have assigned again the version from which the wait continues. Only the end of the wait reveals
/// that, and a version has to be in force within 2 s.
const LONGEST_RESUMED_WAIT: Duration = Duration::from_secs(1);

/// Timeout of a request that does not wait for a change.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time added to the wait for the timeout of a long poll. A store that takes longer is considered
/// lost, which costs a request by another daemon.
const ANSWER_MARGIN: Duration = Duration::from_millis(600);

/// How often a starting daemon checks whether it has met its zone, or whether its first request is
/// due.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time after the first read of the roster within which a daemon gets the configuration from a peer
/// in the first start of a fleet. There are no callers yet.
const PEER_HEAD_START: Duration = Duration::from_millis(1500);

/// Longest time for which a daemon defers its first request in a first start, whether or not it has
/// read the roster.
const MAX_FIRST_DELAY: Duration = Duration::from_millis(4500);

/// Delay after a change. It batches changes in quick succession, and each still comes into force
/// well within two seconds.
const DELAY_AFTER_CHANGE: Duration = Duration::from_millis(500);

/// An answer that took at most this long did not wait for a change.
const MAX_IMMEDIATE_ANSWER: Duration = Duration::from_millis(100);

/// First backoff after a failure; it doubles up to `MAX_BACKOFF`.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Follows the store's configuration until the process ends.
///
/// Two daemons of each zone wait for changes and notify the others; see [`PollRole`]. A daemon that
/// has no configuration yet asks at once, whatever its role.
pub(crate) async fn run<S: FleetStore>(node: Rc<Node>, store: Rc<S>) {
    wait_for_first_turn(&node).await;
    let mut cursor = None;
    let mut failures: u32 = 0;
    let mut last_failure = None;
    let mut last_answer = None;
    let mut wait = LONGEST_WAIT;
    loop {
        let role = role::current(&node).await;
        role::set(&node, role);
        if role == PollRole::Idle {
            cursor = None;
            contact::pause(&node).await;
            continue;
        }
        if cursor.is_some() && role::is_discovering_zone(&node) {
            tokio::time::sleep(START_CHECK_INTERVAL).await;
            continue;
        }
        let asked_at = node.clock.now();
        node.journal.count("host.asked");
        let is_waiting = cursor.is_some() && !wait.is_zero();
        let asked = tokio::select! {
            asked = ask(&*store, cursor, wait) => asked,
            // Changes were missed, and the connection may be gone.
            () = node.fleet.resumed.notified() => Err(FleetStoreError::HistoryLost),
            () = node.fleet.store_doubted.notified(), if is_waiting => {
                wait = Duration::ZERO;
                continue;
            }
        };
        let pause = match asked {
            Ok(update) => {
                cursor = Some(update.cursor);
                node.fleet.record_era(update.cursor.era, node.clock.now());
                failures = 0;
                last_failure = None;
                if node.fleet.reaches_store.replace(Some(true)) != Some(true) {
                    slog::info!(node.log, "host reached");
                }
                contact::store_answered(&node);
                gossip::input(&node, Input::HeadRead);
                let age = order_age(last_answer, asked_at, node.clock.now());
                last_answer = Some(node.clock.now());
                rollout::apply_orders(&node, update.rollouts, age);
                let read = update.state.as_ref().map(State::version);
                let changed = update
                    .state
                    .is_some_and(|it| versions::apply_if_newer(&node, it, Source::Host));
                confirmation::store_answered(&node, asked_at, update.store_time, read);
                if changed {
                    DELAY_AFTER_CHANGE
                } else {
                    Duration::ZERO
                }
            }
            Err(err) => {
                let is_new = last_failure.as_ref() != Some(&err);
                if is_new {
                    log_failure(&node, &err);
                }
                node.journal.count("host.failures");
                if matches!(err, FleetStoreError::Unavailable(_)) {
                    contact::lost_store(&node);
                }
                // Read the whole configuration next: that is answered at once or not at all.
                cursor = None;
                failures += 1;
                let pause = backoff(&err, is_new, failures);
                last_failure = Some(err);
                pause
            }
        };
        wait = match role {
            PollRole::Poller if pause.is_zero() => LONGEST_WAIT,
            _ => LONGEST_RESUMED_WAIT,
        };
        if let Some(longest) = confirmation::longest_wait(&node) {
            wait = wait.min(longest);
        }
        tokio::time::sleep(pause).await;
    }
}

/// Time until the store is asked again after a failure.
///
/// If it answers that the history is gone, it can be read at once: a delay would only keep an old
/// version in force. This applies only once in a row, or a store that always answers so would be
/// asked without end.
fn backoff(err: &FleetStoreError, is_new: bool, failures: u32) -> Duration {
    if is_new && *err == FleetStoreError::HistoryLost {
        return Duration::ZERO;
    }
    let bound = FIRST_BACKOFF * (1 << failures.min(8));
    let share = rand::rng().random_range(0.5..1.5);
    bound.min(MAX_BACKOFF).mul_f64(share)
}

/// Longest time for which a row in an answer may have been written before. A wait that took some
/// time ended when the row was written; if the answer came at once, the row was written after the
/// previous answer.
fn order_age(last_answer: Option<Time>, asked_at: Time, now: Time) -> Duration {
    let has_waited = now.saturating_sub(asked_at) > MAX_IMMEDIATE_ANSWER;
    match last_answer {
        Some(last) if !has_waited => now.saturating_sub(last),
        _ => Duration::ZERO,
    }
}

/// In a first start, waits until this daemon's request is due or a peer has delivered the
/// configuration. Daemons on the roster ask at once, since the others contact them first.
async fn wait_for_first_turn(node: &Node) {
    let is_due = || {
        let now = node.clock.now();
        let roster_read_at = node.fleet.roster_read_at.get();
        let is_peer_late = roster_read_at.is_some_and(|at| now >= at + PEER_HEAD_START);
        node.fleet.is_on_roster.get() || is_peer_late || now >= MAX_FIRST_DELAY
    };
    while node.cfg.is_first_start && node.fleet.in_force().is_none() && !is_due() {
        tokio::time::sleep(START_CHECK_INTERVAL).await;
    }
}

/// Logs once that the store is lost, and every answer that cannot be decoded. An invalid document
/// stays until the operator writes another one, and is read about three times a second until then.
fn log_failure(node: &Node, err: &FleetStoreError) {
    match err {
        FleetStoreError::HistoryLost => slog::info!(node.log, "host's history lost, read anew"),
        FleetStoreError::Malformed(_) | FleetStoreError::Conflict => {
            slog::error!(node.log, "configuration not understood"; fields::ERROR => %err);
        }
        FleetStoreError::Unavailable(_) => {
            if node.fleet.reaches_store.replace(Some(false)) != Some(false) {
                slog::warn!(node.log, "host lost"; fields::ERROR => %err);
            }
        }
    }
}

async fn ask<S: FleetStore>(
    store: &S,
    cursor: Option<Cursor>,
    wait: Duration,
) -> Result<ConfigurationUpdate, FleetStoreError> {
    let asked = match cursor {
        None => timeout(ANSWER_TIMEOUT, store.configuration()).await,
        Some(cursor) => timeout(wait + ANSWER_MARGIN, store.wait_for_change(cursor, wait)).await,
    };
    asked.unwrap_or_else(|_| Err(FleetStoreError::Unavailable("no answer in time".into())))
}
