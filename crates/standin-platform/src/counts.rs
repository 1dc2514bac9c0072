//! Counters of requests by availability zone.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Largest number of zones that are counted separately, so that callers with invented names can't
/// make the table grow.
const MAX_ZONES: usize = 64;

/// Name under which all zones beyond the bound are counted.
const OTHER_ZONES: &str = "other";

/// Whether a request reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Access {
    Read,
    Write,
}

/// Size of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Size {
    /// Number of rows, ranges or objects.
    pub(crate) items: usize,
    /// Size of the body in bytes.
    pub(crate) bytes: usize,
}

/// Counters of the requests of one availability zone, or of all zones together.
///
/// Requests are counted when they arrive, whatever their outcome, since refused requests are a load
/// too.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneCounts {
    /// Number of reads of the table or of objects.
    pub reads: u64,
    /// Number of rows, ranges and objects requested by these reads, which count against the limit
    /// per second.
    #[serde(default)]
    pub items_read: u64,
    /// Number of writes to the table or of objects.
    pub writes: u64,
    /// Number of rows and objects changed by these writes.
    #[serde(default)]
    pub items_written: u64,
    /// Number of requests refused because of the limit per second.
    pub throttled: u64,
    /// Number of requests refused because of a fault.
    pub refused: u64,
    /// Number of requests that were executed but whose answer was lost because of a fault.
    pub lost_answers: u64,
    /// Total size of the bodies of requests in bytes.
    pub bytes_in: u64,
    /// Total size of the bodies of answers in bytes.
    pub bytes_out: u64,
    /// Largest number of reads within one second of the clock.
    pub peak_reads: u64,
    /// Largest number of writes within one second of the clock.
    pub peak_writes: u64,
    #[serde(skip)]
    second: Second,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Second {
    number: u64,
    reads: u64,
    writes: u64,
}

impl ZoneCounts {
    fn arrived(&mut self, now: Duration, access: Access, size: Size) {
        if self.second.number != now.as_secs() {
            self.second = Second {
                number: now.as_secs(),
                ..Second::default()
            };
        }
        match access {
            Access::Read => {
                self.reads += 1;
                self.items_read += size.items as u64;
                self.second.reads += 1;
            }
            Access::Write => {
                self.writes += 1;
                self.items_written += size.items as u64;
                self.second.writes += 1;
            }
        }
        self.bytes_in += size.bytes as u64;
        self.peak_reads = self.peak_reads.max(self.second.reads);
        self.peak_writes = self.peak_writes.max(self.second.writes);
    }
}

/// Body of `GET /admin/counts`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountsReport {
    /// Milliseconds since the program started.
    pub uptime_ms: u64,
    /// Counters of all zones together.
    pub total: ZoneCounts,
    /// Counters of each zone that sent a request.
    pub zones: BTreeMap<SmolStr, ZoneCounts>,
}

/// Counters of requests, in total and by zone.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    total: ZoneCounts,
    zones: BTreeMap<SmolStr, ZoneCounts>,
}

impl Counts {
    pub(crate) fn arrived(&mut self, now: Duration, zone: &str, access: Access, size: Size) {
        self.each(zone, |counts| counts.arrived(now, access, size));
    }

    pub(crate) fn throttled(&mut self, zone: &str) {
        self.each(zone, |counts| counts.throttled += 1);
    }

    pub(crate) fn refused(&mut self, zone: &str) {
        self.each(zone, |counts| counts.refused += 1);
    }

    pub(crate) fn lost_answer(&mut self, zone: &str) {
        self.each(zone, |counts| counts.lost_answers += 1);
    }

    pub(crate) fn answered(&mut self, zone: &str, bytes: usize) {
        self.each(zone, |counts| counts.bytes_out += bytes as u64);
    }

    pub(crate) fn report(&self, now: Duration) -> CountsReport {
        CountsReport {
            uptime_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            total: self.total.clone(),
            zones: self.zones.clone(),
        }
    }

    fn each(&mut self, zone: &str, change: impl Fn(&mut ZoneCounts)) {
        change(&mut self.total);
        let known = self.zones.contains_key(zone) || self.zones.len() < MAX_ZONES;
        let zone = if known { zone } else { OTHER_ZONES };
        change(self.zones.entry(zone.into()).or_default());
    }
}
