//! Evaluates the evidence about a roll-out, and takes its next step when that is due.
//!
//! The daemons beside the first few targets of the new side do so. Any of them that finds the
//! version bad halts it. Forward steps are taken by the first of them, and by the others each a
//! little later, so that the failure of one causes only a short delay.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_rollout::{Canaries, OldSide, Plan, Progress, Regression, Step, Verdict, judge};
use stoatstep_telemetry::fields;

use super::transition::{self, Transition};
use super::view::{Peer, View};
use super::{Source, apply_progress, evidence};
use crate::clock::unix_time;
use crate::fleet_store::FleetStore;
use crate::node::Node;

/// How often due steps are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Number of daemons that advance a roll-out. The store may reject a third of all daemons for
/// seconds; with five, that hits all of them in one of 200 such periods.
const MAX_DECIDERS: usize = 5;

/// Delay of each daemon after the one before it for taking up an order, which needs two requests to
/// the store.
const TAKE_UP_STAGGER: Duration = Duration::from_millis(750);

/// Delay of each daemon after the one before it for all later steps.
const STEP_STAGGER: Duration = Duration::from_millis(100);

/// Number of daemons of the old side that are asked for evidence. Their counts have to be large
/// compared with those of the few targets on trial, and each evaluation costs a message of some 100
/// bytes per daemon.
const OLD_SAMPLE_SIZE: usize = 6;

/// Shortest time between the last step and the check that the old side is idle. A report of the
/// step takes some tens of milliseconds, and calls may be on their way.
const MIN_LAST_STEP: Duration = Duration::from_millis(300);

/// Longest time for which an overdue roll-out waits for the old side.
const MAX_OVERDUE_LAST_STEP: Duration = Duration::from_secs(2);

/// Time past its deadline after which a roll-out is abandoned that no daemon could evaluate, for want
/// of a target of the old side. Another daemon may still complete it up to then.
const UNCOMPARED_GRACE: Duration = Duration::from_secs(2);

/// Advances the roll-outs of the daemon's own service until the process ends.
pub(crate) async fn run<S: FleetStore>(node: Rc<Node>, store: Rc<S>) {
    while !node.is_leaving() {
        tokio::time::sleep(CHECK_INTERVAL).await;
        for evaluation in due_evaluations(&node) {
            evaluation.run(&node, &store).await;
        }
    }
}

/// One evaluation of a roll-out by a daemon that advances it.
struct Evaluation {
    progress: Progress,
    /// Time since the order became known, and time since the current step did.
    known_for: Duration,
    step_known_for: Duration,
    rank: u32,
    view: View,
    old_side: OldSide,
    canaries: Canaries,
}

fn due_evaluations(node: &Node) -> Vec<Evaluation> {
    let Some(own) = node.executor.upstream() else {
        return Vec::new();
    };
    let table = node.rollouts.progress.borrow();
    let open = table.unfinished(node.clock.now());
    let due_evaluations = open.filter_map(|(progress, known_for, step_known_for)| {
        let order = &progress.order;
        let view = View::of(node, &order.service, &order.target);
        let names = view.deciders().iter().map(|it| it.upstream.clone());
        let ranked = Canaries::ranked(order.id, names);
        let rank = ranked.iter().take(MAX_DECIDERS).position(|it| *it == own)?;
        let names = view.new.iter().map(|it| it.upstream.clone());
        Some(Evaluation {
            canaries: Canaries::choose(order.id, names, view.old.len()),
            progress: progress.clone(),
            known_for,
            step_known_for,
            rank: u32::try_from(rank).unwrap_or(u32::MAX),
            old_side: node.rollouts.old_side(order, &view),
            view,
        })
    });
    due_evaluations.collect()
}

impl Evaluation {
    async fn run<S: FleetStore>(&self, node: &Rc<Node>, store: &Rc<S>) {
        let begin = |transition| transition::begin(node, store, &self.progress, transition);
        match self.progress.step {
            Step::Ordered | Step::Trial | Step::Load if self.old_side == OldSide::Absent => {
                if self.known_for >= self.stagger(TAKE_UP_STAGGER) {
                    begin(Transition::Complete);
                }
            }
            Step::Ordered => {
                if self.is_overdue() {
                    self.abandon(node, "nobody took it up in time");
                } else if !self.view.new.is_empty()
                    && self.known_for >= self.stagger(TAKE_UP_STAGGER)
                {
                    begin(Transition::TakeUp {
                        may_have_run_before: self.view.old.is_empty(),
                    });
                }
            }
            Step::Trial | Step::Load => {
                let Some(verdict) = self.compare_evidence(node).await else {
                    if self.view.old.is_empty() && self.is_overdue_by(UNCOMPARED_GRACE) {
                        self.abandon(node, "no target of the old side to compare it with");
                    }
                    return;
                };
                match (verdict, self.due(node)) {
                    (Verdict::Bad(seen), _) => self.halt_bad_version(node, &seen),
                    (Verdict::Unclear, _) if self.is_overdue() => {
                        self.abandon(node, "too few calls to judge it by");
                    }
                    (Verdict::Good, Step::All) => begin(Transition::GoOn),
                    (_, Step::Load | Step::All) if self.progress.step == Step::Trial => {
                        apply_progress(node, &self.progress.with_step(Step::Load), Source::Own);
                    }
                    _ => {}
                }
            }
            Step::All => {
                let verdict = self.compare_evidence(node).await;
                // Whoever began this step had compared both sides.
                let is_compared = verdict.is_some() || self.view.old.is_empty();
                if let Some(Verdict::Bad(seen)) = verdict {
                    self.halt_bad_version(node, &seen);
                } else if is_compared && self.is_old_side_idle(node).await {
                    begin(Transition::Complete);
                }
            }
            Step::Halted => {
                if self.step_known_for >= self.stagger(STEP_STAGGER) {
                    begin(Transition::RollBack);
                }
            }
            Step::Completed | Step::RolledBack => {}
        }
    }

    fn stagger(&self, by: Duration) -> Duration {
        by * self.rank
    }

    fn is_overdue(&self) -> bool {
        self.is_overdue_by(Duration::ZERO)
    }

    fn is_overdue_by(&self, grace: Duration) -> bool {
        self.progress.due + grace <= unix_time()
    }

    /// The step that is due, for a daemon of this rank.
    fn due(&self, node: &Node) -> Step {
        let plan = Plan::new(
            self.progress.order.lasts,
            node.cfg.exposure,
            self.canaries.load(),
        );
        let now = unix_time().saturating_sub(self.stagger(STEP_STAGGER));
        plan.due(&self.progress, now)
    }

    /// The verdict on the evidence; `None` if no target of the old side is known or in reach. The
    /// evidence of the new side alone allows no comparison, and must not end a roll-out.
    async fn compare_evidence(&self, node: &Rc<Node>) -> Option<Verdict> {
        let is_on_trial = |peer: &&Peer| self.canaries.contains(&peer.upstream);
        let on_trial: Vec<Peer> = self.view.new.iter().filter(is_on_trial).cloned().collect();
        let order = &self.progress.order;
        let mut old = self.view.old.clone();
        Canaries::rank(order.id, &mut old, |it| it.upstream.as_str());
        old.truncate(OLD_SAMPLE_SIZE);
        let new = evidence::ask(node, order, &on_trial).await;
        let old = evidence::ask(node, order, &old).await;
        if old.is_empty() {
            return None;
        }
        node.rollouts.last_contact.set(Some(node.clock.now()));
        Some(judge(&new, &old))
    }

    fn halt_bad_version(&self, node: &Rc<Node>, seen: &Regression) {
        slog::warn!(node.log, "version found bad"; fields::SERVICE => %self.progress.order.service,
            fields::ORDER => self.progress.order.id, fields::SOFTWARE => %self.progress.order.target,
            fields::STEP => self.progress.step.as_str(), fields::REASON => seen.kind.as_str(),
            fields::ROUTE => seen.route.as_deref(),
            fields::NEW_BAD => seen.new.0, fields::NEW_RUNS => seen.new.1,
            fields::OLD_BAD => seen.old.0, fields::OLD_RUNS => seen.old.1);
        apply_progress(node, &self.progress.with_step(Step::Halted), Source::Own);
    }

    fn abandon(&self, node: &Rc<Node>, why: &'static str) {
        slog::warn!(node.log, "roll-out given up"; fields::SERVICE => %self.progress.order.service,
            fields::ORDER => self.progress.order.id, fields::STEP => self.progress.step.as_str(),
            fields::REASON => why);
        apply_progress(node, &self.progress.with_step(Step::Halted), Source::Own);
    }

    /// Whether the old side is idle, or cannot be waited for any longer. At completion its targets
    /// end together with the calls that they still run.
    async fn is_old_side_idle(&self, node: &Rc<Node>) -> bool {
        if self.step_known_for < MIN_LAST_STEP + self.stagger(STEP_STAGGER) {
            return false;
        }
        let is_last_call = Plan::must_complete(&self.progress, unix_time());
        if is_last_call && (!self.is_overdue() || self.step_known_for > MAX_OVERDUE_LAST_STEP) {
            return true;
        }
        if self.view.old.is_empty() {
            return false;
        }
        let order = &self.progress.order;
        let seen = evidence::ask(node, order, &self.view.old).await;
        seen.len() == self.view.old.len() && seen.iter().all(|it| it.occupied == 0)
    }
}
