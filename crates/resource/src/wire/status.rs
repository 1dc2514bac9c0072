//! What a daemon knows about itself and the others: answer of `GET /v1/status`.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{CustomerName, InstanceId, UpstreamName, Version, ZoneName};

/// A daemon's view of where each version holds and where it does not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The daemon that answers.
    pub instance: InstanceId,
    /// Its region.
    pub region: SmolStr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The newest version that this daemon has received.
    pub version_held: Version,
    /// The version by which this daemon serves calls; behind `version_held`
    /// only while a version is quarantined or being built.
    pub version_in_force: Version,
    /// Digest of the state in force, in hexadecimal.
    pub digest: SmolStr,
    /// Whether this daemon is in its graceful stop.
    #[serde(default)]
    pub draining: bool,
    /// Every instance that this daemon knows, itself included.
    #[serde(default)]
    pub members: Vec<MemberStatus>,
    /// For each version in force anywhere, newest first, where it holds.
    #[serde(default)]
    pub holds: Vec<VersionHold>,
    /// Versions that instances refused, and why.
    #[serde(default)]
    pub quarantine: Vec<QuarantineStatus>,
    /// Time spent by calls, for each tenant, class and stage.
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
    /// Its region.
    #[serde(default)]
    pub region: SmolStr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The upstream that its target serves.
    pub upstream: UpstreamName,
    /// Counts the instance's restarts; words of an older one are ignored.
    pub incarnation: u64,
    /// What is believed of it.
    pub state: MemberState,
    /// The version last reported in force there.
    pub version: Version,
    /// Since when the state is so, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
}

/// What is believed of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It was heard of lately.
    Alive,
    /// It was silent; it gets no new calls but is not yet given up.
    Suspect,
    /// It announced a graceful stop.
    Leaving,
    /// It is taken to be gone.
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

/// Where one version is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionHold {
    /// The version.
    pub version: Version,
    /// The instances that serve calls by it.
    pub instances: Vec<InstanceId>,
    /// When the answering daemon first saw it in force, in milliseconds since
    /// the Unix epoch.
    pub since_unix_ms: u64,
}

/// A version that instances received and refused to serve by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineStatus {
    /// The version.
    pub version: Version,
    /// Why it was refused.
    pub reason: String,
    /// The instances that refused it.
    pub instances: Vec<InstanceId>,
}

/// Summary of one histogram of times, in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistogramStatus {
    /// The tenant.
    pub tenant: CustomerName,
    /// The class: `urgent`, `standard` or `batch`.
    pub class: SmolStr,
    /// Where the time was spent: `daemon`, `queue` or `target`.
    pub stage: SmolStr,
    /// Calls counted.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Largest.
    pub max_us: u64,
}

/// Bytes of one class of control traffic, heads of HTTP included.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficStatus {
    /// What it is about: `membership` or `configuration`.
    pub class: SmolStr,
    /// Bytes sent to other daemons.
    pub sent_bytes: u64,
    /// Bytes received from other daemons.
    pub received_bytes: u64,
}
