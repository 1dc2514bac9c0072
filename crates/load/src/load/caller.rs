//! A careful caller: what it does after each reply.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_timer::Delay;
use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::load::attempt::{Reply, Sender};
use crate::load::plan::{AttemptNumber, Call, Verb};
use crate::load::record::{Outcome, Record};

/// Wait after a connection that did not come about; another address is tried.
const UNSENT_WAIT: Duration = Duration::from_millis(20);

/// What a caller does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    End,
    Again(Duration),
}

/// How calls are made, the same for all of them.
#[derive(Debug)]
pub(crate) struct Caller {
    sender: Sender,
    targets: Vec<SocketAddr>,
    patience: Duration,
}

impl Caller {
    pub(crate) fn new(sender: Sender, targets: Vec<SocketAddr>, patience: Duration) -> Self {
        Self {
            sender,
            targets,
            patience,
        }
    }

    /// Makes one call, which was due at `due`, to its end.
    pub(crate) async fn call(
        &self,
        call: Call,
        due: Instant,
        mut rng: Xoshiro256PlusPlus,
    ) -> Record {
        let mut record = Record::new(&call);
        let mut number: AttemptNumber = 0;
        loop {
            number += 1;
            let to = self.targets[rng.random_range(0..self.targets.len())];
            let sent = Instant::now();
            let reply = self.sender.send(&call, number, to).await;
            record.note(&call, number, &reply, sent.elapsed());
            match self.step(&call, &reply, due.elapsed(), &mut rng) {
                Step::Again(wait) => Delay::new(wait).await,
                Step::End => break,
            }
        }
        record.end(due.elapsed());
        record
    }

    fn step(
        &self,
        call: &Call,
        reply: &Reply,
        elapsed: Duration,
        rng: &mut Xoshiro256PlusPlus,
    ) -> Step {
        let wait = match reply {
            Reply::Answered
            | Reply::Wrong(_)
            | Reply::NotRun {
                retry_after: None, ..
            } => return Step::End,
            // Without a key, another try could run the intent twice.
            Reply::Unknown { .. } if call.verb == Verb::Post && call.key.is_none() => {
                return Step::End;
            }
            Reply::NotRun {
                retry_after: Some(wait),
                ..
            }
            | Reply::Unknown {
                retry_after: wait, ..
            } => *wait,
            Reply::Unsent => UNSENT_WAIT,
        };
        // Jitter keeps callers that were refused together from coming back
        // together.
        let wait = wait.mul_f64(rng.random_range(1.0..1.5));
        if elapsed + wait < self.patience {
            Step::Again(wait)
        } else {
            Step::End
        }
    }
}

impl From<&Reply> for Outcome {
    fn from(reply: &Reply) -> Self {
        match reply {
            Reply::Answered => Self::Answered,
            Reply::Wrong(_) => Self::Wrong,
            Reply::NotRun { .. } | Reply::Unsent => Self::NotRun,
            Reply::Unknown { .. } => Self::Unknown,
        }
    }
}
