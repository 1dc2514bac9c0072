//! A fleet, and how it starts.

use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::fleet::addresses::Net;
use crate::fleet::error::FleetError;
use crate::fleet::node::{Node, Places, own_folder};
use crate::fleet::operator::Operator;
use crate::fleet::process::Process;
use crate::fleet::shape::Shape;
use crate::fleet::wait::wait_for;

/// A fleet must be up within this.
const START_LIMIT: Duration = Duration::from_mins(1);

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
    pub(super) shape: Shape,
    pub(super) places: Places,
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
}

fn nodes(net: Net, shape: &Shape) -> Vec<Node> {
    let upstreams = shape.upstreams().into_iter();
    let count = shape.daemons.unwrap_or(usize::MAX);
    let each = upstreams.take(count).enumerate();
    each.map(|(index, (upstream, service))| Node::new(net, index, shape.zones, upstream, service))
        .collect()
}
