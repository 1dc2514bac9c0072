//! One instance: a target and its daemon.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use smol_str::{SmolStr, format_smolstr};

use crate::fleet::addresses::Net;
use crate::fleet::operator::{OPERATOR_TOKEN, PEER_TOKEN};
use crate::fleet::process::Process;
use crate::fleet::shape::{ServiceShape, TargetShape};

/// Where programs and logs are.
#[derive(Clone, Debug)]
pub(crate) struct Places {
    pub(crate) programs: PathBuf,
    pub(crate) logs: PathBuf,
}

impl Places {
    pub(crate) fn program(&self, name: &str) -> PathBuf {
        self.programs.join(name)
    }

    pub(crate) fn log(&self, name: &str) -> PathBuf {
        self.logs.join(format!("{name}.log"))
    }
}

/// One instance of a fleet.
#[derive(Debug)]
pub struct Node {
    /// Its id.
    pub instance: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// The upstream that its target serves.
    pub upstream: SmolStr,
    /// The service of that upstream.
    pub service: SmolStr,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Where the target listens.
    pub target_addr: SocketAddr,
    /// The daemon while it runs.
    pub daemon: Option<Process>,
    /// The target while it runs.
    pub target: Option<Process>,
    slots: u32,
    peer: SocketAddr,
    platform: SocketAddr,
}

impl Node {
    pub(crate) fn new(
        net: Net,
        index: usize,
        zones: usize,
        upstream: SmolStr,
        service: &ServiceShape,
    ) -> Self {
        Self {
            instance: format_smolstr!("instance-{}", index + 1),
            zone: format_smolstr!("northvale-{}", index % zones + 1),
            upstream,
            service: service.name.clone(),
            caller: net.caller(index),
            operator: net.operator(index),
            target_addr: net.target(index),
            daemon: None,
            target: None,
            slots: service.slots,
            peer: net.peer(index),
            platform: net.platform(),
        }
    }

    /// Starts the target; its ledger outlives it.
    pub(crate) fn start_target(&mut self, places: &Places, shape: &TargetShape) -> io::Result<()> {
        let name = format!("target-{}", self.instance);
        let ledger = places.logs.join(format!("{name}.ledger"));
        let args = [
            format!("--addr={}", self.target_addr),
            format!("--name={}", self.instance),
            format!("--slots={}", self.slots),
            format!("--service-time={}ms", shape.service_time.as_millis()),
            format!("--service-spread={}ms", shape.service_spread.as_millis()),
            format!("--ledger={}", ledger.display()),
        ];
        let program = places.program("stoat-target");
        self.target = Some(Process::start(&program, &args, &places.log(&name))?);
        Ok(())
    }

    /// Starts the daemon.
    pub(crate) fn start_daemon(&mut self, places: &Places) -> io::Result<()> {
        let args = [
            format!("--instance={}", self.instance),
            "--region=northvale".to_owned(),
            format!("--zone={}", self.zone),
            format!("--upstream={}", self.upstream),
            format!("--caller-addr={}", self.caller),
            format!("--peer-addr={}", self.peer),
            format!("--operator-addr={}", self.operator),
            format!("--target-addr={}", self.target_addr),
            format!("--platform={}", self.platform),
            format!("--operator-token={OPERATOR_TOKEN}"),
            format!("--peer-token={PEER_TOKEN}"),
        ];
        let program = places.program("stoatstepd");
        let log = places.log(&format!("daemon-{}", self.instance));
        self.daemon = Some(Process::start(&program, &args, &log)?);
        Ok(())
    }

    /// Kills the daemon at once.
    pub fn kill_daemon(&mut self) {
        self.daemon = None;
    }

    /// Kills the target at once.
    pub fn kill_target(&mut self) {
        self.target = None;
    }
}

/// The folder of this program, where the others are built too.
pub(crate) fn own_folder() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folder = program.parent().map(Path::to_owned);
    folder.ok_or_else(|| io::Error::other("this program has no folder"))
}
