//! What happened, held against the rules that no scenario may break.
//!
//! It knows nothing of the machines: it sees the configuration in force, the
//! rows at the platform, what targets ran and what callers were told.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use smol_str::SmolStr;
use stoatstep_calls::{Outcome, RateLimit, Reason};
use stoatstep_membership::Time;
use stoatstep_platform::ReadAnswer;
use stoatstep_resource::{Digest, State, Version};
use stoatstep_versionlog::{head_request, read_head};

use super::store::Store;
use super::{Index, World};
use crate::daemon::{Call, End, Node};
use crate::script::{CallEnd, ChangeEnd, Rule};

/// Time after a target first states a limit from which on it binds.
const LIMIT_GRACE: Time = Time::from_secs(3);

/// Span in which runs are counted against a limit.
const LIMIT_SPAN: Time = Time::from_secs(4);

/// Time after the start of a drain from which new work is a fault.
const DRAIN_GRACE: Time = Time::from_secs(2);

pub(crate) type RunId = usize;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Violation {
    pub(crate) rule: Rule,
    pub(crate) at: Time,
    pub(crate) detail: String,
}

struct Run {
    call: u64,
    name: SmolStr,
    index: Index,
    began: Time,
    is_over: bool,
}

/// What a caller was told.
pub(crate) struct Told {
    pub(crate) name: SmolStr,
    pub(crate) end: CallEnd,
    pub(crate) reason: Option<Reason>,
}

#[derive(Default)]
pub(crate) struct Audit {
    pub(crate) violations: Vec<Violation>,
    pub(crate) told: Vec<Told>,
    pub(crate) changes: Vec<ChangeEnd>,
    runs: Vec<Run>,
    not_run: BTreeMap<u64, SmolStr>,
    served: BTreeMap<Index, Arc<State>>,
    floors: BTreeMap<Index, Version>,
    digests: BTreeMap<Version, Digest>,
    newest_accepted: Version,
    table_revision: u64,
    draining_since: BTreeMap<Index, Time>,
    limited_since: BTreeMap<Index, (RateLimit, Time)>,
}

impl Audit {
    pub(crate) fn broken(&mut self, rule: Rule, at: Time, detail: String) {
        let same = |it: &Violation| it.rule == rule && it.detail == detail;
        if !self.violations.iter().any(same) {
            self.violations.push(Violation { rule, at, detail });
        }
    }

    pub(crate) fn accepted(&mut self, version: Version) {
        self.changes.push(ChangeEnd::Accepted);
        self.newest_accepted = self.newest_accepted.max(version);
    }

    pub(crate) fn ran(&self, name: &str) -> usize {
        self.runs.iter().filter(|run| run.name == name).count()
    }

    pub(crate) fn drains(&mut self, index: Index, now: Time) {
        self.draining_since.entry(index).or_insert(now);
    }

    pub(super) fn run_began(&mut self, index: Index, call: &Call, now: Time) -> RunId {
        let name = call.name.clone();
        let same = |run: &&Run| match call.key {
            Some(_) => run.name == name,
            None => run.call == call.id,
        };
        let before = self.runs.iter().filter(same).count();
        if before > 0 && !call.idempotent {
            let detail = format!("{name} ran {} times", before + 1);
            self.broken(Rule::RanTwice, now, detail);
        }
        if self.not_run.contains_key(&call.id) {
            let detail = format!("{name} ran after its caller was told `not-run`");
            self.broken(Rule::UntrueNotRun, now, detail);
        }
        let since = self.draining_since.get(&index);
        if since.is_some_and(|since| *since + DRAIN_GRACE < now) {
            let detail = format!("i{} ran {name} while it was leaving", index + 1);
            self.broken(Rule::LateWork, now, detail);
        }
        self.runs.push(Run {
            call: call.id,
            name,
            index,
            began: now,
            is_over: false,
        });
        self.check_limit(index, now);
        self.runs.len() - 1
    }

    /// A target states a limit, or none any more.
    pub(crate) fn limited(&mut self, index: Index, limit: Option<RateLimit>, now: Time) {
        match limit {
            Some(limit) => self.limited_since.insert(index, (limit, now)),
            None => self.limited_since.remove(&index),
        };
    }

    /// Counts the runs of the last [`LIMIT_SPAN`]: one and a half times what the limit allows,
    /// and five more, may begin in it.
    fn check_limit(&mut self, index: Index, now: Time) {
        let Some((limit, since)) = self.limited_since.get(&index).copied() else {
            return;
        };
        let from = (since + LIMIT_GRACE).max(now.saturating_sub(LIMIT_SPAN));
        let recent = |run: &&Run| run.index == index && run.began > from;
        let runs = self.runs.iter().rev().filter(recent).count();
        let allowed = 1.5 * limit.per_second() * LIMIT_SPAN.as_secs_f64() + 5.0;
        if f64::from(u32::try_from(runs).unwrap_or(u32::MAX)) > allowed {
            let detail = format!("i{} ran {runs} calls in 4 s by its limit", index + 1);
            self.broken(Rule::OverLimit, now, detail);
        }
    }

    pub(super) fn run_ended(&mut self, run: RunId) {
        self.runs[run].is_over = true;
    }

    /// The target died with its instance, and its runs with it.
    pub(super) fn killed(&mut self, index: Index) {
        self.served.remove(&index);
        self.draining_since.remove(&index);
        let of_instance = self.runs.iter_mut().filter(|run| run.index == index);
        of_instance.for_each(|run| run.is_over = true);
    }

    pub(super) fn left(&mut self, index: Index, now: Time) {
        let cut = self
            .runs
            .iter()
            .filter(|it| it.index == index && !it.is_over);
        let cut = cut.count();
        if cut > 0 {
            let detail = format!("i{} left with {cut} runs under way", index + 1);
            self.broken(Rule::CutInFlight, now, detail);
        }
    }

    pub(crate) fn told(&mut self, call: &Call, end: Option<End>, now: Time) {
        let (end, reason) = match end {
            None => (CallEnd::Broken, None),
            Some(Ok(answer)) => {
                if answer.body.to_bytes() != call.body.as_bytes() {
                    let detail = format!("{} got the answer to another request", call.name);
                    self.broken(Rule::WrongAnswer, now, detail);
                }
                (CallEnd::Answered, None)
            }
            Some(Err(refusal)) => match refusal.outcome() {
                Outcome::NotRun => (CallEnd::NotRun, Some(refusal.reason)),
                Outcome::Unknown | Outcome::Answered => (CallEnd::Unknown, Some(refusal.reason)),
            },
        };
        if end == CallEnd::NotRun {
            self.not_run.insert(call.id, call.name.clone());
            if self.runs.iter().any(|run| run.call == call.id) {
                let detail = format!("{} ran and its caller was told `not-run`", call.name);
                self.broken(Rule::UntrueNotRun, now, detail);
            }
        }
        self.told.push(Told {
            name: call.name.clone(),
            end,
            reason,
        });
    }

    fn in_force(&mut self, node: &Node, now: Time) {
        let state = node.in_force();
        let index = node.index;
        if state.version() == 0 {
            return;
        }
        let known = self.served.get(&index);
        if known.is_some_and(|known| Arc::ptr_eq(known, &state)) {
            return;
        }
        let version = state.version();
        let floor = self.floors.entry(index).or_default();
        if version < *floor {
            let detail = format!("i{} went from {floor} back to {version}", index + 1);
            self.broken(Rule::NeverBack, now, detail);
        } else {
            *floor = version;
        }
        if let Err(error) = state.check_references() {
            let detail = format!("i{} at version {version}: {error}", index + 1);
            self.broken(Rule::DanglingRoute, now, detail);
        }
        let digest = *self.digests.entry(version).or_insert(state.digest());
        if digest != state.digest() {
            let detail = format!("i{} holds another version {version}", index + 1);
            self.broken(Rule::OtherState, now, detail);
        }
        self.served.insert(index, state);
    }

    fn log(&mut self, store: &Store, now: Time) {
        let table = store.table.borrow();
        if table.revision() == self.table_revision {
            return;
        }
        self.table_revision = table.revision();
        let answer: ReadAnswer = table.read(&head_request());
        let Ok(row) = read_head(&answer) else {
            self.broken(Rule::Reverted, now, "the head can't be read".to_owned());
            return;
        };
        let head = row.head;
        if head.version < self.newest_accepted {
            let accepted = self.newest_accepted;
            let detail = format!("{accepted} was accepted, the head is {}", head.version);
            self.broken(Rule::Reverted, now, detail);
        }
        let digest = *self.digests.entry(head.version).or_insert(head.digest);
        if digest != head.digest {
            let detail = format!("the head has another version {}", head.version);
            self.broken(Rule::OtherState, now, detail);
        }
    }
}

/// Checks what can be seen from outside; called after every event.
pub(crate) fn check(world: &Rc<World>) {
    let now = world.exec.now();
    let mut audit = world.audit.borrow_mut();
    for node in world.nodes() {
        audit.in_force(&node, now);
    }
    audit.log(&world.store, now);
}
