//! When each version came into force on each daemon, as watches see it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_timer::Delay;
use stoatstep_resource::Version;

use crate::fleet::{Fleet, Operator};

/// Longest wait of one watch request.
const WAIT: Duration = Duration::from_secs(5);

/// Pause after a daemon could not be asked.
const PAUSE: Duration = Duration::from_millis(20);

/// Index of a daemon within its fleet.
type NodeIndex = usize;

type Arrivals = HashMap<Version, HashMap<NodeIndex, Instant>>;

/// A watch on each daemon of a fleet, until this is dropped.
pub(crate) struct Watchers {
    arrivals: Rc<RefCell<Arrivals>>,
    stopped: Rc<Cell<bool>>,
    daemons: usize,
}

impl Watchers {
    /// Watches every daemon for versions after `from`.
    pub(crate) fn start(fleet: &Fleet, from: Version) -> Self {
        let watchers = Self {
            arrivals: Rc::default(),
            stopped: Rc::default(),
            daemons: fleet.nodes.len(),
        };
        for (index, node) in fleet.nodes.iter().enumerate() {
            let watch = Watch {
                operator: fleet.operator.clone(),
                daemon: node.operator,
                index,
                arrivals: watchers.arrivals.clone(),
                stopped: watchers.stopped.clone(),
            };
            ntex::rt::spawn(watch.run(from));
        }
        watchers
    }

    /// Waits until `version` is in force on every daemon and gives the time
    /// since `accepted`; nothing where that takes longer than `limit`.
    pub(crate) async fn converged(
        &self,
        version: Version,
        accepted: Instant,
        limit: Duration,
    ) -> Option<Duration> {
        while accepted.elapsed() < limit {
            if let Some(last) = self.last_arrival(version) {
                return Some(last.saturating_duration_since(accepted));
            }
            Delay::new(PAUSE).await;
        }
        None
    }

    fn last_arrival(&self, version: Version) -> Option<Instant> {
        let arrivals = self.arrivals.borrow();
        let of_version = arrivals.get(&version)?;
        let all = of_version.len() == self.daemons;
        of_version.values().max().copied().filter(|_| all)
    }
}

impl Drop for Watchers {
    fn drop(&mut self) {
        self.stopped.set(true);
    }
}

struct Watch {
    operator: Operator,
    daemon: SocketAddr,
    index: NodeIndex,
    arrivals: Rc<RefCell<Arrivals>>,
    stopped: Rc<Cell<bool>>,
}

impl Watch {
    async fn run(self, mut from: Version) {
        while !self.stopped.get() {
            match self.operator.watch(self.daemon, from, WAIT).await {
                Ok(version) if version > from => {
                    self.note(from, version);
                    from = version;
                }
                Ok(_) => {}
                Err(_) => Delay::new(PAUSE).await,
            }
        }
    }

    /// A newer version holds all older ones too.
    fn note(&self, from: Version, to: Version) {
        let now = Instant::now();
        let mut arrivals = self.arrivals.borrow_mut();
        for version in from + 1..=to {
            let of_version = arrivals.entry(version).or_default();
            of_version.entry(self.index).or_insert(now);
        }
    }
}
