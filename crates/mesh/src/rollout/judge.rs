//! Looking at the evidence, and taking the next step when it is due.
//!
//! The daemons beside the first few targets of the new side do so. Each one of them that
//! finds the version bad halts it. The steps forward are taken by the first of them, and
//! by the others a little later each, so that the death of one costs a moment.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_rollout::{Canaries, Plan, Progress, Regression, Step, Verdict, judge};
use stoatstep_telemetry::fields;

use super::settle::{self, Settling};
use super::view::{Peer, View};
use super::{Source, evidence, hear};
use crate::clock::unix_time;
use crate::host::Host;
use crate::node::Node;

/// How often it is looked whether something is due.
const STEP: Duration = Duration::from_millis(200);

/// Daemons that take a roll-out on. The host may turn a third of them away for seconds:
/// with five, all of them are turned away in one of 200 such times.
const DECIDERS: usize = 5;

/// How much later than the one before it each of them takes up an order, which needs two
/// calls to the host.
const TAKE_UP_LATER: Duration = Duration::from_millis(750);

/// The same for the steps after that.
const STEP_LATER: Duration = Duration::from_millis(100);

/// Daemons of the old side that are asked what they have seen. Their sums have to be many
/// against those of the few targets tried, and each look costs a message of some 100 bytes
/// to each of them.
const OLD_ASKED: usize = 6;

/// Least time for which the last step is known before the old side counts as empty. Word
/// of it takes some tens of milliseconds, and calls may be on their way.
const LEAST_LAST: Duration = Duration::from_millis(300);

/// Longest time for which a roll-out that is overdue waits for the old side.
const LONGEST_LAST: Duration = Duration::from_secs(2);

/// Looks after a service's roll-outs until the process ends.
pub(crate) async fn run<H: Host>(node: Rc<Node>, host: Rc<H>) {
    while !node.is_leaving() {
        tokio::time::sleep(STEP).await;
        for turn in turns(&node) {
            turn.take(&node, &host).await;
        }
    }
}

/// One look of a daemon that takes a roll-out on.
struct Turn {
    progress: Progress,
    /// Time since the order was heard of, and since its present step was.
    heard_for: Duration,
    at_step_for: Duration,
    rank: u32,
    view: View,
    canaries: Canaries,
}

fn turns(node: &Node) -> Vec<Turn> {
    let Some(own) = node.executor.upstream() else {
        return Vec::new();
    };
    let book = node.rollouts.book.borrow();
    let open = book.unfinished(node.clock.now());
    let turns = open.filter_map(|(progress, heard_for, at_step_for)| {
        let order = &progress.order;
        let view = View::of(node, &order.service, &order.target);
        let names = view.deciders().iter().map(|it| it.upstream.clone());
        let ranked = Canaries::ranked(order.id, names);
        let rank = ranked.iter().take(DECIDERS).position(|it| *it == own)?;
        let names = view.new.iter().map(|it| it.upstream.clone());
        Some(Turn {
            canaries: Canaries::choose(order.id, names, view.old.len()),
            progress: progress.clone(),
            heard_for,
            at_step_for,
            rank: u32::try_from(rank).unwrap_or(u32::MAX),
            view,
        })
    });
    turns.collect()
}

impl Turn {
    async fn take<H: Host>(&self, node: &Rc<Node>, host: &Rc<H>) {
        let settle = |settling| settle::begin(node, host, &self.progress, settling);
        match self.progress.step {
            Step::Ordered => {
                if self.is_overdue() {
                    self.halt(node, "nobody took it up in time");
                } else if !self.view.new.is_empty() && self.heard_for >= self.later(TAKE_UP_LATER) {
                    settle(Settling::TakeUp);
                }
            }
            Step::Trial | Step::Load => {
                let Some(verdict) = self.look(node).await else {
                    return;
                };
                match (verdict, self.due(node)) {
                    (Verdict::Bad(seen), _) => self.condemn(node, &seen),
                    (Verdict::Unclear, _) if self.is_overdue() => {
                        self.halt(node, "too few calls to judge it by");
                    }
                    (Verdict::Good, Step::All) => settle(Settling::GoOn),
                    (_, Step::Load | Step::All) if self.progress.step == Step::Trial => {
                        hear(node, &self.progress.with_step(Step::Load), Source::Own);
                    }
                    _ => {}
                }
            }
            Step::All => {
                let verdict = self.look(node).await;
                if let Some(Verdict::Bad(seen)) = verdict {
                    self.condemn(node, &seen);
                } else if verdict.is_some() && self.is_old_side_done(node).await {
                    settle(Settling::Complete);
                }
            }
            Step::Halted => {
                if self.at_step_for >= self.later(STEP_LATER) {
                    settle(Settling::RollBack);
                }
            }
            Step::Completed | Step::RolledBack => {}
        }
    }

    fn later(&self, by: Duration) -> Duration {
        by * self.rank
    }

    fn is_overdue(&self) -> bool {
        self.progress.due <= unix_time()
    }

    /// The step that is due, for a daemon of this rank.
    fn due(&self, node: &Node) -> Step {
        let plan = Plan::new(
            self.progress.order.lasts,
            node.cfg.exposure,
            self.canaries.load(),
        );
        let now = unix_time().saturating_sub(self.later(STEP_LATER));
        plan.due(&self.progress, now)
    }

    /// What the evidence says; `None` for a daemon that is cut off from the old side. What
    /// it has seen alone is no comparison, and it must not end a roll-out by it.
    async fn look(&self, node: &Rc<Node>) -> Option<Verdict> {
        let is_tried = |peer: &&Peer| self.canaries.contains(&peer.upstream);
        let tried: Vec<Peer> = self.view.new.iter().filter(is_tried).cloned().collect();
        let order = &self.progress.order;
        let mut old = self.view.old.clone();
        Canaries::rank(order.id, &mut old, |it| it.upstream.as_str());
        old.truncate(OLD_ASKED);
        let new = evidence::ask(node, order, &tried).await;
        let old = evidence::ask(node, order, &old).await;
        if old.is_empty() && !self.view.old.is_empty() {
            return None;
        }
        node.rollouts.in_touch.set(Some(node.clock.now()));
        Some(judge(&new, &old))
    }

    fn condemn(&self, node: &Rc<Node>, seen: &Regression) {
        slog::warn!(node.log, "version found bad"; fields::SERVICE => %self.progress.order.service,
            fields::ORDER => self.progress.order.id, fields::SOFTWARE => %self.progress.order.target,
            fields::STEP => self.progress.step.as_str(), fields::REASON => seen.kind.as_str(),
            fields::ROUTE => seen.route.as_deref(),
            fields::NEW_BAD => seen.new.0, fields::NEW_RUNS => seen.new.1,
            fields::OLD_BAD => seen.old.0, fields::OLD_RUNS => seen.old.1);
        hear(node, &self.progress.with_step(Step::Halted), Source::Own);
    }

    fn halt(&self, node: &Rc<Node>, why: &'static str) {
        slog::warn!(node.log, "roll-out given up"; fields::SERVICE => %self.progress.order.service,
            fields::ORDER => self.progress.order.id, fields::STEP => self.progress.step.as_str(),
            fields::REASON => why);
        hear(node, &self.progress.with_step(Step::Halted), Source::Own);
    }

    /// Whether the old side runs nothing more, or cannot be waited for any longer: at the
    /// completion its targets end, with whatever they run.
    async fn is_old_side_done(&self, node: &Rc<Node>) -> bool {
        if self.at_step_for < LEAST_LAST + self.later(STEP_LATER) {
            return false;
        }
        let is_last_call = Plan::must_complete(&self.progress, unix_time());
        if is_last_call && (!self.is_overdue() || self.at_step_for > LONGEST_LAST) {
            return true;
        }
        let order = &self.progress.order;
        let seen = evidence::ask(node, order, &self.view.old).await;
        seen.len() == self.view.old.len() && seen.iter().all(|it| it.occupied == 0)
    }
}
