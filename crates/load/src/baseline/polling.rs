//! Every daemon asks the platform for the head each second and takes the whole
//! state when it moved.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_timer::Delay;
use rand::RngExt;
use stoatstep_platform::{CommitRequest, HttpPlatform, Platform, ReadRequest, Write};
use stoatstep_resource::wire::SnapshotWire;
use stoatstep_resource::{Resource, State, Version};

use crate::fleet::{Fleet, FleetError, Shape};

/// Time from one question for the head to the next.
const PERIOD: Duration = Duration::from_secs(1);

/// The row and object that hold the configuration.
const HEAD: &str = "head";
const STATE: &str = "state";

/// How often the pollers' progress is looked at.
const CHECK: Duration = Duration::from_millis(5);

/// Pollers on a platform stand-in of their own; each has its own connection,
/// as a daemon would.
pub(crate) struct Pollers {
    fleet: Fleet,
    writer: HttpPlatform,
    state: State,
    all: Vec<Rc<Poller>>,
}

struct Poller {
    platform: HttpPlatform,
    held: Cell<Version>,
    since: RefCell<Option<Instant>>,
    stopped: Cell<bool>,
}

impl Pollers {
    /// Starts a platform and a poller for each daemon of `shape`.
    pub(crate) async fn start(shape: &Shape) -> Result<Self, FleetError> {
        let fleet = Fleet::start_platform_alone(shape.clone()).await?;
        let mut pollers = Self {
            writer: client(&fleet).await?,
            state: State::default(),
            all: Vec::new(),
            fleet,
        };
        pollers.write(shape.resources()).await?;
        for _ in 0..pollers.fleet.nodes.len() {
            let poller = Rc::new(Poller {
                platform: client(&pollers.fleet).await?,
                held: Cell::default(),
                since: RefCell::default(),
                stopped: Cell::default(),
            });
            ntex::rt::spawn(poller.clone().run());
            pollers.all.push(poller);
        }
        pollers.wait().await;
        Ok(pollers)
    }

    /// Writes a change and gives the time until every poller holds it.
    pub(crate) async fn change(&mut self, change: Vec<Resource>) -> Result<Duration, FleetError> {
        self.write(change).await?;
        let accepted = Instant::now();
        let last = self.wait().await;
        Ok(last.saturating_duration_since(accepted))
    }

    /// Bytes that all pollers sent and received so far, heads included.
    pub(crate) fn bytes(&self) -> u64 {
        let usages = self.all.iter().map(|it| it.platform.usage());
        usages.map(|it| it.bytes_sent + it.bytes_received).sum()
    }

    async fn write(&mut self, puts: Vec<Resource>) -> Result<(), FleetError> {
        let delta = self.state.delta(puts, Vec::new());
        let next = self.state.apply(&delta);
        self.state = next.map_err(|error| FleetError::Io(error.to_string()))?;
        let head = self.state.version().to_string().into_bytes();
        let commit = CommitRequest {
            conditions: Vec::new(),
            writes: vec![Write::Put {
                key: HEAD.into(),
                value: head,
            }],
        };
        let stored = self.writer.put_object(STATE, encoded(&self.state)).await;
        stored.map_err(|error| FleetError::Io(error.to_string()))?;
        let committed = self.writer.commit(commit).await;
        committed.map_err(|error| FleetError::Io(error.to_string()))?;
        Ok(())
    }

    /// Waits until every poller holds the newest version, and gives the moment
    /// at which the last one got it.
    async fn wait(&self) -> Instant {
        let newest = self.state.version();
        while self.all.iter().any(|it| it.held.get() < newest) {
            Delay::new(CHECK).await;
        }
        let last = self.all.iter().filter_map(|it| *it.since.borrow());
        last.max().unwrap_or_else(Instant::now)
    }
}

impl Drop for Pollers {
    fn drop(&mut self) {
        self.all.iter().for_each(|it| it.stopped.set(true));
    }
}

impl Poller {
    async fn run(self: Rc<Self>) {
        let jitter = rand::rng().random_range(0.0..1.0);
        Delay::new(PERIOD.mul_f64(jitter)).await;
        while !self.stopped.get() {
            // A failed poll is made up for by the next one.
            let _ = self.poll().await;
            Delay::new(PERIOD).await;
        }
    }

    async fn poll(&self) -> Option<()> {
        let req = ReadRequest {
            gets: vec![HEAD.into()],
            ranges: Vec::new(),
        };
        let answer = self.platform.read(req).await.ok()?;
        let head = answer.rows.into_iter().next()??;
        let head: Version = String::from_utf8(head.value).ok()?.parse().ok()?;
        if head > self.held.get() {
            let bytes = self.platform.get_object(STATE).await.ok()?;
            let wire: SnapshotWire = rmp_serde::from_slice(&bytes).ok()?;
            let state = State::try_from(wire).ok()?;
            self.held.set(state.version());
            *self.since.borrow_mut() = Some(Instant::now());
        }
        Some(())
    }
}

async fn client(fleet: &Fleet) -> Result<HttpPlatform, FleetError> {
    let built = HttpPlatform::builder(fleet.net.platform(), "northvale-1").build();
    built
        .await
        .map_err(|error| FleetError::Io(error.to_string()))
}

/// A whole state as it goes over the wire.
fn encoded(state: &State) -> Vec<u8> {
    rmp_serde::to_vec(&SnapshotWire::from(state)).expect("plain data always encodes")
}
