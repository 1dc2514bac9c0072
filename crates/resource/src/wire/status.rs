//! Answer to `GET /v1/status`: what a daemon knows about itself and the other daemons.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{CustomerName, InstanceId, UpstreamName, Version, ZoneName};

/// State of a daemon, and its view of the fleet and of the versions in force there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The instance whose daemon answers.
    pub instance: InstanceId,
    /// The instance's region.
    pub region: SmolStr,
    /// The instance's availability zone.
    pub zone: ZoneName,
    /// The newest version that this daemon has received.
    pub version_held: Version,
    /// The version according to which this daemon serves calls. It is older than `version_held`
    /// only while a version is quarantined or being built.
    pub version_in_force: Version,
    /// Digest of the state in force, in hexadecimal.
    pub digest: SmolStr,
    /// Whether this daemon is shutting down gracefully.
    #[serde(default)]
    pub draining: bool,
    /// Every instance that this daemon knows, including its own.
    #[serde(default)]
    pub members: Vec<MemberStatus>,
    /// For each version that is in force anywhere, the instances where it is; newest first.
    #[serde(default)]
    pub holds: Vec<InForceStatus>,
    /// Versions that instances refused, with the reasons.
    #[serde(default)]
    pub quarantine: Vec<QuarantineStatus>,
    /// Times that calls spent, by tenant, class and stage.
    #[serde(default)]
    pub histograms: Vec<HistogramStatus>,
    /// Control traffic of the answering daemon since its start.
    #[serde(default)]
    pub traffic: Vec<TrafficStatus>,
}

/// One instance as the answering daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The instance.
    pub instance: InstanceId,
    /// The instance's region.
    #[serde(default)]
    pub region: SmolStr,
    /// The instance's availability zone.
    pub zone: ZoneName,
    /// The upstream that its target serves.
    pub upstream: UpstreamName,
    /// Number of the daemon's run, which grows with each restart; updates from older runs are
    /// ignored.
    pub incarnation: u64,
    /// Presumed state of the instance.
    pub state: MemberState,
    /// The version last reported to be in force there.
    pub version: Version,
    /// When the state last changed, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
}

/// Presumed state of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It was recently known to be running.
    Alive,
    /// It did not respond; it gets no new calls, but is not presumed to have failed yet.
    Suspect,
    /// It announced a graceful shutdown.
    Leaving,
    /// It has left or is presumed to have failed.
    Gone,
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        })
    }
}

/// The instances where one version is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceStatus {
    /// The version.
    pub version: Version,
    /// The instances that serve calls according to this version.
    pub instances: Vec<InstanceId>,
    /// When the answering daemon first saw the version in force, in milliseconds since the Unix
    /// epoch.
    pub since_unix_ms: u64,
}

/// A version that instances received but refused to put in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineStatus {
    /// The version.
    pub version: Version,
    /// Why the version was refused.
    pub reason: String,
    /// The instances that refused the version.
    pub instances: Vec<InstanceId>,
}

/// Summary of one histogram of times in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistogramStatus {
    /// The tenant.
    pub tenant: CustomerName,
    /// The class of the calls: `urgent`, `standard` or `batch`.
    pub class: SmolStr,
    /// The stage in which the time was spent: `daemon`, `queue` or `target`.
    pub stage: SmolStr,
    /// Number of calls.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Maximum.
    pub max_us: u64,
}

/// Bytes of one class of control traffic, including HTTP headers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficStatus {
    /// The class of the traffic: `membership` or `configuration`.
    pub class: SmolStr,
    /// Bytes sent to other daemons.
    pub sent_bytes: u64,
    /// Bytes received from other daemons.
    pub received_bytes: u64,
}
