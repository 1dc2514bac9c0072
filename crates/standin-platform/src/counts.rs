//! What callers asked, by availability zone.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Zones told apart; whoever sends made-up names can't grow the table.
const MAX_ZONES: usize = 64;

/// Where the zones beyond the bound are counted.
const OTHER_ZONES: &str = "other";

/// Whether a request reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Access {
    Read,
    Write,
}

/// How much a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Size {
    /// Rows, ranges or objects.
    pub(crate) items: usize,
    /// Bytes of its body.
    pub(crate) bytes: usize,
}

/// What one availability zone asked, or all of them together.
///
/// Requests count when they arrive, whatever becomes of them, since a storm of
/// refused requests is a storm.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneCounts {
    /// Reads of the table or of objects.
    pub reads: u64,
    /// Rows, ranges and objects that these reads asked for, which is what the
    /// limit a second counts.
    #[serde(default)]
    pub items_read: u64,
    /// Writes to the table or of objects.
    pub writes: u64,
    /// Rows and objects that these writes touch.
    #[serde(default)]
    pub items_written: u64,
    /// Of these, refused for the limit a second.
    pub throttled: u64,
    /// Of these, refused by a fault.
    pub refused: u64,
    /// Of these, carried out with the answer lost.
    pub lost_answers: u64,
    /// Bytes in bodies of requests.
    pub bytes_in: u64,
    /// Bytes in bodies of answers.
    pub bytes_out: u64,
    /// Most reads within one second of the clock.
    pub peak_reads: u64,
    /// Most writes within one second of the clock.
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
    /// All zones together.
    pub total: ZoneCounts,
    /// Each zone that ever asked.
    pub zones: BTreeMap<SmolStr, ZoneCounts>,
}

/// Counts by zone.
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
