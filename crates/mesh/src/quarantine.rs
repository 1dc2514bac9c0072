//! Requests under which targets end, as one daemon takes part in finding and refusing
//! them. What is decided is in [`Quarantine`].

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
use crate::mechanism::Mechanism;
use crate::node::Node;
use crate::wire::{Ask, CallParts};

/// Pause after which a suspected request that runs has most likely ended.
const RUNS_RETRY: Duration = Duration::from_millis(250);

/// How a peer's finding came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// As a word of its own, told the moment it was found.
    Direct,
    /// Along with a regular exchange.
    Exchange,
}

/// What a daemon knows of requests under which targets end.
#[derive(Default)]
pub(crate) struct Requests {
    known: RefCell<Quarantine>,
    /// Requests that the target beside this daemon ran when it ended.
    own: RefCell<BTreeSet<Fingerprint>>,
    /// Requests of which the host has to be told, each once.
    to_keep: RefCell<BTreeSet<Fingerprint>>,
}

impl Requests {
    /// What peers are told in the regular exchanges.
    pub(crate) fn news(&self, now: Time) -> Vec<QuarantineFinding> {
        self.known.borrow().gossip(now)
    }

    /// Has the host told how a request stands, when it is reached.
    pub(crate) fn keep(&self, request: Fingerprint) {
        self.to_keep.borrow_mut().insert(request);
    }

    /// The same for all that are refused.
    pub(crate) fn keep_all(&self, now: Time) {
        let held = self.known.borrow();
        self.to_keep.borrow_mut().extend(held.quarantined(now));
    }

    /// The next request of which the host has to be told.
    pub(crate) fn next_to_keep(&self) -> Option<Fingerprint> {
        self.to_keep.borrow_mut().pop_first()
    }

    /// Forgets what is over.
    pub(crate) fn tick(&self, now: Time) {
        let mut known = self.known.borrow_mut();
        known.tick(now);
        let mut own = self.own.borrow_mut();
        own.retain(|it| known.crash_count(*it) > 0);
    }
}

/// A refusal for a call that is not to be run; asked by the entry before each attempt, and
/// by the executor when an attempt comes and before it starts. The executor asks since an
/// entry that has just started knows nothing yet, and since word may have come while the
/// call waited in the queue.
pub(crate) fn refusal(node: &Node, call: &CallParts) -> Option<Refusal> {
    let content = watched(node, call)?;
    let known = node.requests.known.borrow();
    let left = known.refused_for(content, node.clock.now())?;
    Some(Refusal::retry(Reason::Quarantined, left))
}

/// Names what a call asks for, where any request is known that may have to be refused.
fn watched(node: &Node, call: &CallParts) -> Option<Fingerprint> {
    let is_any_known = !node.requests.known.borrow().is_empty();
    let is_watched = is_any_known && node.cfg.has(Mechanism::Quarantine);
    is_watched.then(|| call.fingerprint())
}

/// Names what a call asks for, where a target ended under it and none has answered it
/// since. It may run, but not beside itself: where it is to blame, its target ends with all
/// its repeats.
pub(crate) fn suspected(node: &Node, call: &CallParts) -> Option<Fingerprint> {
    let content = watched(node, call)?;
    let lives = node.requests.known.borrow().crash_count(content);
    (lives > 0).then_some(content)
}

/// A refusal for a suspected request that runs already.
pub(crate) fn refusal_beside_itself() -> Refusal {
    Refusal::retry(Reason::Quarantined, RUNS_RETRY)
}

/// The life `upstream` of the target beside this daemon ended while it ran these requests.
///
/// Every daemon is told at once. By the regular exchanges alone it takes seconds, in which
/// a request that comes ten times a second takes the rest of its service's targets.
pub(crate) fn target_ended(node: &Rc<Node>, upstream: &str, requests: &[Fingerprint]) {
    let now = node.clock.now();
    let lives = vec![generation_hash(upstream)];
    let ended = |request: &Fingerprint| QuarantineFinding::Ended {
        request: *request,
        lives: lives.clone(),
        ago: Duration::ZERO,
    };
    node.requests.own.borrow_mut().extend(requests);
    let news = requests.iter().map(ended);
    let news: Vec<_> = news.filter(|it| learn(node, it)).collect();
    // Told with the lives that ended before, for those that missed word of them.
    let known = node.requests.known.borrow();
    let findings = news
        .iter()
        .filter_map(|it| known.finding(it.request(), now));
    let findings: Vec<_> = findings.collect();
    drop(known);
    if !findings.is_empty() {
        gossip::tell_fleet(node, &Ask::Findings(findings));
    }
}

/// What the host has to hold of a request; nothing where it is not refused.
pub(crate) fn kept(node: &Node, request: Fingerprint) -> Option<QuarantinedRequest> {
    let known = node.requests.known.borrow();
    known.stored(request, node.clock.now(), unix_time())
}

/// Takes in what the host holds, as if it had come in this way from a peer, and has deleted
/// what is over.
pub(crate) fn hear_kept(node: &Rc<Node>, requests: &[QuarantinedRequest], way: Way) {
    let now = unix_time();
    let mut findings = Vec::new();
    for kept in requests {
        findings.push(kept.finding(now));
        if kept.is_expired(now, CRASH_THRESHOLD) {
            node.requests.keep(kept.request);
        }
    }
    hear(node, &findings, way);
}

/// A target answered a call. Where the request is refused somewhere, or soon might be,
/// every daemon is told at once. In the first second of a fleet nothing was answered yet,
/// and what most callers send may have run at three targets that ended; the regular
/// exchanges would leave it refused for seconds.
pub(crate) fn answered(node: &Rc<Node>, call: &CallParts) {
    let known = node.requests.known.borrow();
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
    learn(node, &finding);
    if is_held {
        node.requests.keep(request);
    }
    if is_near {
        gossip::tell_fleet(node, &Ask::Findings(vec![finding]));
    }
}

/// Takes in what a peer found, and passes on what is news.
pub(crate) fn hear(node: &Rc<Node>, findings: &[QuarantineFinding], way: Way) {
    let news = findings.iter().filter(|it| learn(node, it));
    let news: Vec<_> = news.cloned().collect();
    if way == Way::Direct && !news.is_empty() {
        gossip::relay(node, &Ask::Findings(news));
    }
}

/// Takes in a finding, and says whether it is news.
fn learn(node: &Node, finding: &QuarantineFinding) -> bool {
    let now = node.clock.now();
    let mut known = node.requests.known.borrow_mut();
    let learned = known.apply(finding, now);
    let lives = known.crash_count(finding.request());
    drop(known);
    match learned {
        FindingEffect::Nothing
        | FindingEffect::Cleared {
            was_quarantined: false,
        } => {}
        FindingEffect::Suspicion => node.journal.count("requests.suspected"),
        FindingEffect::Quarantined(left) => {
            // By each of the daemons whose targets ended: any of them may be gone the next
            // moment, and the row is the same.
            if node.requests.own.borrow().contains(&finding.request()) {
                node.requests.keep(finding.request());
            }
            node.journal.count("requests.quarantined");
            slog::warn!(node.log, "request quarantined"; fields::CONTENT => %finding.request(),
                fields::LIVES => lives, fields::FOR_MS => left.as_millis());
        }
        FindingEffect::Cleared {
            was_quarantined: true,
        } => {
            slog::warn!(node.log, "quarantine lifted"; fields::CONTENT => %finding.request());
        }
    }
    learned != FindingEffect::Nothing
}
