//! Finding and refusing requests under which targets end, such as requests that crash them. The
//! decisions are made by [`Quarantine`].

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::{
    CRASH_THRESHOLD, FindingEffect, Fingerprint, Quarantine, QuarantineFinding, QuarantinedRequest,
    Reason, Refusal, Time, generation_hash,
};
use stoatstep_telemetry::fields;

use crate::clock::unix_time;
use crate::fleet::gossip;
use crate::fleet_store::Stored;
use crate::mechanism::Mechanism;
use crate::node::Node;
use crate::wire::{Ask, CallParts};

/// Time after which a suspected request that is running has probably ended.
const RUNNING_RETRY: Duration = Duration::from_millis(250);

/// How a finding of a peer arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// In a message of its own, sent as soon as it was found.
    Direct,
    /// As part of a regular exchange.
    Exchange,
}

/// What this daemon knows of requests under which targets end.
#[derive(Default)]
pub(crate) struct QuarantineState {
    known: RefCell<Quarantine>,
    /// Requests that were running at the local target when it ended.
    interrupted: RefCell<BTreeSet<Fingerprint>>,
    /// Requests whose state has to be written to the store.
    to_store: RefCell<BTreeSet<Fingerprint>>,
}

impl QuarantineState {
    /// Findings to send in the regular exchanges.
    pub(crate) fn updates(&self, now: Time) -> Vec<QuarantineFinding> {
        self.known.borrow().gossip(now)
    }

    /// Schedules the state of a request to be written to the store.
    pub(crate) fn schedule_store(&self, request: Fingerprint) {
        self.to_store.borrow_mut().insert(request);
    }

    /// Schedules all quarantined requests to be written to the store.
    pub(crate) fn schedule_store_all(&self, now: Time) {
        let held = self.known.borrow();
        self.to_store.borrow_mut().extend(held.quarantined(now));
    }

    /// Whether the state of any request has to be written to the store.
    pub(crate) fn has_to_store(&self) -> bool {
        !self.to_store.borrow().is_empty()
    }

    /// Takes the next request whose state has to be written to the store.
    pub(crate) fn next_to_store(&self) -> Option<Fingerprint> {
        self.to_store.borrow_mut().pop_first()
    }

    /// Removes expired entries.
    pub(crate) fn tick(&self, now: Time) {
        let mut known = self.known.borrow_mut();
        known.tick(now);
        let mut interrupted = self.interrupted.borrow_mut();
        interrupted.retain(|it| known.crash_count(*it) > 0);
    }
}

/// A refusal for a quarantined call. The entry checks it before each attempt, and the executor when
/// an attempt arrives and again before it starts. The executor checks because an entry that has
/// just started has no findings yet, and because a finding may arrive while the call waits in the
/// queue.
pub(crate) fn refusal(node: &Node, call: &CallParts) -> Option<Refusal> {
    let content = tracked_fingerprint(node, call)?;
    let known = node.quarantine.known.borrow();
    let left = known.refused_for(content, node.clock.now())?;
    Some(Refusal::retry(Reason::Quarantined, left))
}

/// The fingerprint of a call, if any suspected request is known.
fn tracked_fingerprint(node: &Node, call: &CallParts) -> Option<Fingerprint> {
    let is_any_suspected = !node.quarantine.known.borrow().is_empty();
    let is_tracked = is_any_suspected && node.cfg.is_enabled(Mechanism::Quarantine);
    is_tracked.then(|| call.fingerprint())
}

/// The fingerprint of a call, if a target ended while running that request and none has answered it
/// since. Such a request may run, but only once at a time: if it is the cause, its target ends
/// together with all its copies.
pub(crate) fn suspected(node: &Node, call: &CallParts) -> Option<Fingerprint> {
    let content = tracked_fingerprint(node, call)?;
    let crash_count = node.quarantine.known.borrow().crash_count(content);
    (crash_count > 0).then_some(content)
}

/// A refusal for a suspected request that is already running.
pub(crate) fn refusal_while_running() -> Refusal {
    Refusal::retry(Reason::Quarantined, RUNNING_RETRY)
}

/// Records that the generation `upstream` of the local target ended while it ran these requests.
///
/// All daemons are notified at once. Regular exchanges alone take seconds, and in that time a
/// request that is sent ten times a second ends the remaining targets of its service.
pub(crate) fn target_ended(node: &Rc<Node>, upstream: &str, requests: &[Fingerprint]) {
    let now = node.clock.now();
    let generations = vec![generation_hash(upstream)];
    let ended = |request: &Fingerprint| QuarantineFinding::Ended {
        request: *request,
        lives: generations.clone(),
        ago: Duration::ZERO,
    };
    node.quarantine.interrupted.borrow_mut().extend(requests);
    let new_findings = requests.iter().map(ended);
    let new_findings: Vec<_> = new_findings.filter(|it| apply(node, it)).collect();
    // The findings include earlier generations, for daemons that missed the messages about those.
    let known = node.quarantine.known.borrow();
    let findings = new_findings
        .iter()
        .filter_map(|it| known.finding(it.request(), now));
    let findings: Vec<_> = findings.collect();
    drop(known);
    if !findings.is_empty() {
        gossip::notify_fleet(node, &Ask::Findings(findings));
    }
}

/// The row of a request for the store; `None` if the request is not quarantined.
pub(crate) fn stored(node: &Node, request: Fingerprint) -> Option<QuarantinedRequest> {
    let known = node.quarantine.known.borrow();
    known.stored(request, node.clock.now(), unix_time())
}

/// Applies the requests held in the store as if they had come from a peer by `delivery`, and
/// schedules expired ones for deletion.
pub(crate) fn apply_stored(
    node: &Rc<Node>,
    requests: &[Stored<QuarantinedRequest>],
    delivery: Delivery,
) {
    let now = unix_time();
    let mut findings = Vec::new();
    for kept in requests.iter().map(|it| &it.value) {
        findings.push(kept.finding(now));
        if kept.is_expired(now, CRASH_THRESHOLD) {
            node.quarantine.schedule_store(kept.request);
        }
    }
    apply_findings(node, &findings, delivery);
}

/// Records that a target answered a call. If the request is quarantined somewhere, or soon might
/// be, all daemons are notified at once. In the first second of a fleet no request has been
/// answered yet, and a common one may have been running at three targets that ended, which is the
/// threshold for a quarantine; with regular exchanges alone it would be refused for seconds.
pub(crate) fn answered(node: &Rc<Node>, call: &CallParts) {
    let known = node.quarantine.known.borrow();
    if known.is_empty() {
        return;
    }
    let request = call.fingerprint();
    let is_suspected = known.crash_count(request) > 0;
    let is_near = known.is_near_threshold(request);
    let is_held = known.refused_for(request, node.clock.now()).is_some();
    drop(known);
    if !is_suspected {
        return;
    }
    let ago = Duration::ZERO;
    let finding = QuarantineFinding::Answered { request, ago };
    apply(node, &finding);
    if is_held {
        node.quarantine.schedule_store(request);
    }
    if is_near {
        gossip::notify_fleet(node, &Ask::Findings(vec![finding]));
    }
}

/// Applies findings of a peer, and forwards those that are new.
pub(crate) fn apply_findings(node: &Rc<Node>, findings: &[QuarantineFinding], delivery: Delivery) {
    let new_findings = findings.iter().filter(|it| apply(node, it));
    let new_findings: Vec<_> = new_findings.cloned().collect();
    if delivery == Delivery::Direct && !new_findings.is_empty() {
        gossip::relay(node, &Ask::Findings(new_findings));
    }
}

/// Applies a finding, and returns whether it is new.
fn apply(node: &Node, finding: &QuarantineFinding) -> bool {
    let now = node.clock.now();
    let mut known = node.quarantine.known.borrow_mut();
    let learned = known.apply(finding, now);
    let crash_count = known.crash_count(finding.request());
    drop(known);
    match learned {
        FindingEffect::Nothing
        | FindingEffect::Cleared {
            was_quarantined: false,
        } => {}
        FindingEffect::Suspicion => node.journal.count("requests.suspected"),
        FindingEffect::Quarantined(left) => {
            // Every daemon whose target ended writes the row: any of them may fail at any moment,
            // and the row is the same.
            if node
                .quarantine
                .interrupted
                .borrow()
                .contains(&finding.request())
            {
                node.quarantine.schedule_store(finding.request());
            }
            node.journal.count("requests.quarantined");
            slog::warn!(node.log, "request quarantined"; fields::CONTENT => %finding.request(),
                fields::LIVES => crash_count, fields::FOR_MS => left.as_millis());
        }
        FindingEffect::Cleared {
            was_quarantined: true,
        } => {
            slog::warn!(node.log, "quarantine lifted"; fields::CONTENT => %finding.request());
        }
    }
    learned != FindingEffect::Nothing
}
