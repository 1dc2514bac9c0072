//! Settling how a roll-out stands, by a conditional write at the host.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_rollout::{Progress, Step};
use stoatstep_telemetry::fields;
use tokio::time::timeout;

use super::{Source, hear};
use crate::host::{Host, HostError, RolloutState, RolloutStatus};
use crate::node::Node;

/// Time for an answer of the host.
const ANSWER_BOUND: Duration = Duration::from_secs(1);

/// Pause after a failure: another daemon may be let through meanwhile, and each call to
/// the host is paid for.
const PAUSE: Duration = Duration::from_millis(200);

/// What is to be settled, and the step that follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Settling {
    /// The order is taken up.
    TakeUp,
    /// The last step may begin: the host is there, and knows of no end.
    GoOn,
    Complete,
    RollBack,
}

impl Settling {
    fn state(self) -> RolloutState {
        match self {
            Self::TakeUp | Self::GoOn => RolloutState::Active,
            Self::Complete => RolloutState::Completed,
            Self::RollBack => RolloutState::RolledBack,
        }
    }

    fn step(self) -> Step {
        match self {
            Self::TakeUp => Step::Trial,
            Self::GoOn => Step::All,
            Self::Complete => Step::Completed,
            Self::RollBack => Step::RolledBack,
        }
    }
}

/// Settles it, unless a question to the host goes on. The step changes when the host has
/// answered.
pub(super) fn begin<H: Host>(
    node: &Rc<Node>,
    host: &Rc<H>,
    progress: &Progress,
    settling: Settling,
) {
    if node.rollouts.is_settling.replace(true) {
        return;
    }
    let (node, host, progress) = (Rc::clone(node), Rc::clone(host), progress.clone());
    ntex::rt::spawn(async move {
        match settle(&*host, &progress, settling).await {
            Ok(progress) => hear(&node, &progress, Source::Own),
            Err(err) => {
                slog::warn!(node.log, "roll-out not settled"; fields::SERVICE => %progress.order.service,
                    fields::ORDER => progress.order.id, fields::STEP => settling.step().as_str(),
                    fields::ERROR => %err);
                tokio::time::sleep(PAUSE).await;
            }
        }
        node.rollouts.is_settling.set(false);
    });
}

/// What holds now: what was to be settled, or what somebody else settled before.
async fn settle<H: Host>(
    host: &H,
    progress: &Progress,
    settling: Settling,
) -> Result<Progress, HostError> {
    let order = &progress.order;
    let held = bounded(host.rollout(&order.service)).await?;
    let known = held.status.as_ref().filter(|it| it.order == order.id);
    if let Some(known) = known
        && (known.state.is_final() || known.state == settling.state())
    {
        let step = if known.state.is_final() {
            known.state.into()
        } else {
            settling.step()
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
        state: settling.state(),
        due: progress.due,
    };
    // Whoever wrote since the read was faster, and is read in the next try.
    bounded(host.settle_rollout(&order.service, &status, held.version)).await?;
    Ok(progress.with_step(settling.step()))
}

async fn bounded<T>(asked: impl Future<Output = Result<T, HostError>>) -> Result<T, HostError> {
    let answer = timeout(ANSWER_BOUND, asked).await;
    answer.unwrap_or_else(|_| Err(HostError::Unavailable("no answer in time".into())))
}
