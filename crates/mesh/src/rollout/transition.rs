//! Conditional writes of a roll-out's status at the store.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_rollout::{Order, Progress, Step};
use stoatstep_telemetry::fields;
use tokio::time::timeout;

use super::{Source, apply_progress};
use crate::fleet_store::{FleetStore, FleetStoreError, RolloutState, RolloutStatus};
use crate::node::Node;

/// Timeout of a request to the store.
const ANSWER_BOUND: Duration = Duration::from_secs(1);

/// Backoff after a failure. Another daemon may succeed meanwhile, and each request to the store has
/// a cost.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A status to write, and the step that follows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Transition {
    /// Takes up the order. If no target of the old side takes calls, the service may run the ordered
    /// version already; then the roll-out is complete.
    TakeUp {
        may_have_run_before: bool,
    },
    /// Begins the last step, after confirming that the store is reachable and holds no end.
    GoOn,
    Complete,
    RollBack,
}

impl Transition {
    fn state(self) -> RolloutState {
        match self {
            Self::TakeUp { .. } | Self::GoOn => RolloutState::Active,
            Self::Complete => RolloutState::Completed,
            Self::RollBack => RolloutState::RolledBack,
        }
    }

    /// The transition to make if the service's last roll-out has this status.
    fn after(self, last: Option<&RolloutStatus>, order: &Order) -> Self {
        let ran_before =
            last.is_some_and(|it| it.state == RolloutState::Completed && it.target == order.target);
        match self {
            Self::TakeUp {
                may_have_run_before: true,
            } if ran_before => Self::Complete,
            other => other,
        }
    }

    fn step(self) -> Step {
        match self {
            Self::TakeUp { .. } => Step::Trial,
            Self::GoOn => Step::All,
            Self::Complete => Step::Completed,
            Self::RollBack => Step::RolledBack,
        }
    }
}

/// Writes the status in the background, unless another write is in progress. The step changes once
/// the store has answered.
pub(super) fn begin<S: FleetStore>(
    node: &Rc<Node>,
    store: &Rc<S>,
    progress: &Progress,
    transition: Transition,
) {
    if node.rollouts.is_writing_status.replace(true) {
        return;
    }
    let (node, store, progress) = (Rc::clone(node), Rc::clone(store), progress.clone());
    ntex::rt::spawn(async move {
        match write_status(&*store, &progress, transition).await {
            Ok(progress) => apply_progress(&node, &progress, Source::Own),
            Err(err) => {
                slog::warn!(node.log, "roll-out not settled"; fields::SERVICE => %progress.order.service,
                    fields::ORDER => progress.order.id, fields::STEP => transition.step().as_str(),
                    fields::ERROR => %err);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        node.rollouts.is_writing_status.set(false);
    });
}

/// Returns the resulting progress: that of the written status, or of one that another daemon wrote
/// before.
async fn write_status<S: FleetStore>(
    store: &S,
    progress: &Progress,
    transition: Transition,
) -> Result<Progress, FleetStoreError> {
    let order = &progress.order;
    let held = bounded(store.rollout_status(&order.service)).await?;
    let transition = transition.after(held.status.as_ref(), order);
    let known = held.status.as_ref().filter(|it| it.order == order.id);
    if let Some(known) = known
        && (known.state.is_final() || known.state == transition.state())
    {
        let step = if known.state.is_final() {
            known.state.into()
        } else {
            transition.step()
        };
        let due = known.due;
        return Ok(Progress {
            due,
            ..progress.with_step(step)
        });
    }
    let status = RolloutStatus {
        order: order.id,
        target: order.target.clone(),
        state: transition.state(),
        due: progress.due,
    };
    // After a conflict, the next attempt reads what the other daemon wrote.
    bounded(store.write_rollout_status(&order.service, &status, held.version)).await?;
    Ok(progress.with_step(transition.step()))
}

async fn bounded<T>(
    asked: impl Future<Output = Result<T, FleetStoreError>>,
) -> Result<T, FleetStoreError> {
    let answer = timeout(ANSWER_BOUND, asked).await;
    answer.unwrap_or_else(|_| Err(FleetStoreError::Unavailable("no answer in time".into())))
}
