//! Settings of the daemon. All are validated before anything starts.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_resource::{InstanceId, UpstreamName, ZoneName};
use stoatstep_settings::{EarlyExit, HumanDuration, Program, Secret, Setting};
use stoatstep_telemetry::Level;

const PROGRAM: Program = Program {
    name: "stoatstepd",
    about: "Daemon beside a target: takes and runs calls, holds the configuration.",
    operands: "",
    settings: &[
        Setting::new("instance", "ID", "id of this instance, unique at any time"),
        Setting::new("region", "NAME", "region in which the instance runs").default("local"),
        Setting::new(
            "zone",
            "NAME",
            "availability zone in which the instance runs",
        ),
        Setting::new(
            "upstream",
            "NAME",
            "upstream resource that this instance's target serves",
        ),
        Setting::new("caller-addr", "IP:PORT", "where callers connect"),
        Setting::new("peer-addr", "IP:PORT", "where other daemons connect"),
        Setting::new(
            "operator-addr",
            "IP:PORT",
            "where operators, health checks and metrics connect",
        ),
        Setting::new(
            "target-addr",
            "IP:PORT",
            "where this instance's target listens",
        ),
        Setting::new("platform", "IP:PORT", "the platform's service"),
        Setting::new("operator-token", "TEXT", "secret that operators present"),
        Setting::new(
            "peer-token",
            "TEXT",
            "secret that daemons present to each other",
        ),
        Setting::new("drain-timeout", "TIME", "longest time of a graceful stop").default("90s"),
        Setting::new("log-level", "LEVEL", "error, warning, info or debug").default("info"),
    ],
};

/// The daemon's settings.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    pub(crate) instance: InstanceId,
    pub(crate) region: SmolStr,
    pub(crate) zone: ZoneName,
    pub(crate) upstream: UpstreamName,
    pub(crate) caller_addr: SocketAddr,
    pub(crate) peer_addr: SocketAddr,
    pub(crate) operator_addr: SocketAddr,
    pub(crate) target_addr: SocketAddr,
    pub(crate) platform: SocketAddr,
    pub(crate) operator_token: Secret,
    pub(crate) peer_token: Secret,
    pub(crate) drain_timeout: Duration,
    pub(crate) log_level: Level,
}

impl Config {
    /// Reads the settings of this process. All invalid ones are reported, not only the first.
    pub(crate) fn read() -> Result<Self, EarlyExit> {
        let mut values = PROGRAM.read()?;
        let instance = values.required("instance");
        let region = values.required("region");
        let zone = values.required("zone");
        let upstream = values.required("upstream");
        let caller_addr = values.required("caller-addr");
        let peer_addr = values.required("peer-addr");
        let operator_addr = values.required("operator-addr");
        let target_addr = values.required("target-addr");
        let platform = values.required("platform");
        let operator_token = values.required("operator-token");
        let peer_token = values.required("peer-token");
        let drain_timeout = values.required::<HumanDuration>("drain-timeout");
        let log_level = values.required("log-level");
        let cfg = (|| {
            Some(Self {
                instance: instance?,
                region: region?,
                zone: zone?,
                upstream: upstream?,
                caller_addr: caller_addr?,
                peer_addr: peer_addr?,
                operator_addr: operator_addr?,
                target_addr: target_addr?,
                platform: platform?,
                operator_token: operator_token?,
                peer_token: peer_token?,
                drain_timeout: drain_timeout?.0,
                log_level: log_level?,
            })
        })();
        values.finish()?;
        Ok(cfg.expect("`finish` reports missing values"))
    }
}
