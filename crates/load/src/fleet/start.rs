//! A fleet from its start to its end.

use std::fmt;
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use futures_timer::Delay;
use smol_str::SmolStr;
use stoatstep_resource::Version;
use stoatstep_resource::wire::MemberState;
use stoatstep_standin_target::Entry;

use crate::fleet::addresses::Net;
use crate::fleet::node::{Node, Places, own_folder};
use crate::fleet::operator::Operator;
use crate::fleet::process::Process;
use crate::fleet::shape::Shape;

/// A fleet must be up within this.
const START_LIMIT: Duration = Duration::from_mins(1);

/// How often the state of the fleet is asked for while waiting.
const POLL: Duration = Duration::from_millis(50);

/// Why a fleet could not be started or asked.
#[derive(Clone, Debug)]
pub enum FleetError {
    /// A process or file could not be had.
    Io(String),
    /// Another process gave no usable answer.
    Answer {
        /// Where it listens.
        from: SocketAddr,
        /// What was asked.
        path: SmolStr,
        /// What came instead.
        why: String,
    },
    /// Something did not come about in time.
    Timeout(String),
}

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(why) => f.write_str(why),
            Self::Answer { from, path, why } => write!(f, "{from}{path}: {why}"),
            Self::Timeout(what) => write!(f, "not in time: {what}"),
        }
    }
}

impl std::error::Error for FleetError {}

impl From<io::Error> for FleetError {
    fn from(error: io::Error) -> Self {
        Self::Io(error.to_string())
    }
}

/// A router of a plain fleet.
#[derive(Debug)]
pub struct Router {
    /// Where callers connect.
    pub addr: SocketAddr,
    /// Its process.
    pub process: Process,
}

/// A running fleet. Dropping it ends every process that it started.
#[derive(Debug)]
pub struct Fleet {
    /// The instances.
    pub nodes: Vec<Node>,
    /// The platform's stand-in; a plain fleet has none.
    pub platform: Option<Process>,
    /// The routers of a plain fleet.
    pub routers: Vec<Router>,
    /// Addresses of this fleet.
    pub net: Net,
    /// Speaks to the daemons.
    pub operator: Operator,
    shape: Shape,
    places: Places,
}

impl Fleet {
    /// Starts platform, targets and daemons, applies the resources and waits
    /// until every daemon serves by them and knows every other one.
    ///
    /// # Errors
    ///
    /// A process could not be started, or did not get there in time; the logs
    /// are kept then.
    pub async fn start(shape: Shape) -> Result<Self, FleetError> {
        let mut fleet = Self::launch(shape).await?;
        let resources = fleet.shape.resources();
        let daemon = fleet.nodes[0].operator;
        let version = fleet.operator.put(daemon, &resources, START_LIMIT).await?;
        fleet.wait_in_force(version, START_LIMIT).await?;
        fleet.wait_members(START_LIMIT).await?;
        fleet.check_running()?;
        Ok(fleet)
    }

    /// Starts the processes alone.
    ///
    /// # Errors
    ///
    /// As for [`Fleet::start`].
    pub async fn launch(shape: Shape) -> Result<Self, FleetError> {
        let mut fleet = Self::new(shape).await?;
        fleet.start_platform().await?;
        fleet.start_targets().await?;
        for node in &mut fleet.nodes {
            node.start_daemon(&fleet.places)?;
        }
        for node in &fleet.nodes {
            fleet.wait_answer(node.operator, "/healthz").await?;
        }
        Ok(fleet)
    }

    /// Starts the same targets behind `routers` plain routers instead of
    /// daemons.
    ///
    /// # Errors
    ///
    /// As for [`Fleet::start`].
    pub async fn start_plain(shape: Shape, routers: u8) -> Result<Self, FleetError> {
        let mut fleet = Self::new(shape).await?;
        fleet.start_targets().await?;
        let table = format!("--routes={}", fleet.plain_routes());
        let program = fleet.places.program("stoat-baseline");
        for index in 1..=routers {
            let addr = fleet.net.extra(index);
            let log = fleet.places.log(&format!("router-{index}"));
            let args = [format!("--addr={addr}"), table.clone()];
            let process = Process::start(&program, &args, &log)?;
            fleet.routers.push(Router { addr, process });
            fleet.wait_listen(addr).await?;
        }
        Ok(fleet)
    }

    /// Starts the platform's stand-in and nothing else.
    ///
    /// # Errors
    ///
    /// As for [`Fleet::start`].
    pub async fn start_platform_alone(shape: Shape) -> Result<Self, FleetError> {
        let mut fleet = Self::new(shape).await?;
        fleet.start_platform().await?;
        Ok(fleet)
    }

    async fn new(shape: Shape) -> Result<Self, FleetError> {
        let net = Net::of_this_process();
        let logs = std::env::temp_dir().join(format!("stoat-measure-{}", std::process::id()));
        // A ledger of an earlier fleet of this process would count as runs.
        let _ = fs::remove_dir_all(&logs);
        fs::create_dir_all(&logs)?;
        let places = Places {
            programs: own_folder()?,
            logs,
        };
        Ok(Self {
            nodes: nodes(net, &shape),
            platform: None,
            routers: Vec::new(),
            net,
            operator: Operator::new().await,
            shape,
            places,
        })
    }

    async fn start_platform(&mut self) -> Result<(), FleetError> {
        let addr = self.net.platform();
        let args = [format!("--addr={addr}")];
        let program = self.places.program("stoat-platform");
        let log = self.places.log("platform");
        self.platform = Some(Process::start(&program, &args, &log)?);
        self.wait_answer(addr, "/admin/counts").await
    }

    async fn start_targets(&mut self) -> Result<(), FleetError> {
        let Some(target) = self.shape.target else {
            return Ok(());
        };
        for node in &mut self.nodes {
            node.start_target(&self.places, &target)?;
        }
        for node in &self.nodes {
            self.wait_answer(node.target_addr, "/admin/counts").await?;
        }
        Ok(())
    }

    async fn wait_answer(&self, addr: SocketAddr, path: &str) -> Result<(), FleetError> {
        let what = format!("an answer from {addr}{path}");
        wait_for(&what, START_LIMIT, async || {
            self.operator.http().is_ok(addr, path).await
        })
        .await
    }

    async fn wait_listen(&self, addr: SocketAddr) -> Result<(), FleetError> {
        let what = format!("a listener on {addr}");
        wait_for(&what, START_LIMIT, async || {
            TcpStream::connect(addr).is_ok()
        })
        .await
    }

    fn plain_routes(&self) -> String {
        let services = self.shape.services.iter().map(|service| {
            let of_service = self.nodes.iter().filter(|it| it.service == service.name);
            let targets: Vec<_> = of_service.map(|it| it.target_addr.to_string()).collect();
            format!("/{}={}", service.name, targets.join("+"))
        });
        services.collect::<Vec<_>>().join(",")
    }

    /// Starts the daemon of one node again.
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub fn restart_daemon(&mut self, index: usize) -> Result<(), FleetError> {
        let node = &mut self.nodes[index];
        node.kill_daemon();
        Ok(node.start_daemon(&self.places)?)
    }

    /// Starts the target of one node again.
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub fn restart_target(&mut self, index: usize) -> Result<(), FleetError> {
        let node = &mut self.nodes[index];
        node.kill_target();
        match &self.shape.target {
            Some(target) => Ok(node.start_target(&self.places, target)?),
            None => Ok(()),
        }
    }

    /// Waits until every running daemon serves by `version` or a newer one.
    ///
    /// # Errors
    ///
    /// One does not in time.
    pub async fn wait_in_force(&self, version: Version, limit: Duration) -> Result<(), FleetError> {
        for node in self.running() {
            let what = format!("version {version} on {}", node.instance);
            wait_for(&what, limit, async || {
                let status = self.operator.status(node.operator).await;
                status.is_ok_and(|it| it.version_in_force >= version)
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until every running daemon takes every other one to be alive.
    ///
    /// # Errors
    ///
    /// One does not in time.
    pub async fn wait_members(&self, limit: Duration) -> Result<(), FleetError> {
        let all = self.running().count();
        for node in self.running() {
            let what = format!("{all} members on {}", node.instance);
            wait_for(&what, limit, async || {
                let Ok(status) = self.operator.status(node.operator).await else {
                    return false;
                };
                let alive = |state| state == MemberState::Alive;
                status.members.iter().filter(|it| alive(it.state)).count() >= all
            })
            .await?;
        }
        Ok(())
    }

    /// The nodes whose daemon was started and not killed.
    pub fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.daemon.is_some())
    }

    /// Where callers connect: the running daemons, or else the routers.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        let routers = self.routers.iter().map(|router| router.addr);
        self.running().map(|it| it.caller).chain(routers).collect()
    }

    /// The ledgers of all targets.
    ///
    /// # Errors
    ///
    /// One cannot be read: what ran there would go unseen.
    pub async fn ledgers(&self) -> Result<Vec<Vec<Entry>>, FleetError> {
        let mut ledgers = Vec::new();
        for node in self.nodes.iter().filter(|node| node.target.is_some()) {
            let http = self.operator.http();
            ledgers.push(http.get(node.target_addr, "/admin/ledger", "").await?);
        }
        Ok(ledgers)
    }

    /// Ends the fleet and removes its logs. Without this call the logs stay, for
    /// whoever looks for the cause of a failed run.
    pub fn finish(self) {
        let logs = self.places.logs.clone();
        drop(self);
        let _ = fs::remove_dir_all(logs);
    }

    /// Finds processes that have ended though nothing ended them.
    ///
    /// # Errors
    ///
    /// One has crashed.
    pub fn check_running(&mut self) -> Result<(), FleetError> {
        for node in &mut self.nodes {
            for process in [&mut node.daemon, &mut node.target].into_iter().flatten() {
                if !process.is_running() {
                    let why = format!("a process of {} has ended by itself", node.instance);
                    return Err(FleetError::Io(why));
                }
            }
        }
        Ok(())
    }
}

fn nodes(net: Net, shape: &Shape) -> Vec<Node> {
    let upstreams = shape.upstreams().into_iter();
    let count = shape.daemons.unwrap_or(usize::MAX);
    let each = upstreams.take(count).enumerate();
    each.map(|(index, (upstream, service))| Node::new(net, index, shape.zones, upstream, service))
        .collect()
}

/// Asks again and again until `done`, for up to `limit`.
///
/// # Errors
///
/// It was not in time.
async fn wait_for(
    what: &str,
    limit: Duration,
    done: impl AsyncFn() -> bool,
) -> Result<(), FleetError> {
    let begin = Instant::now();
    while !done().await {
        if begin.elapsed() > limit {
            return Err(FleetError::Timeout(what.to_owned()));
        }
        Delay::new(POLL).await;
    }
    Ok(())
}
