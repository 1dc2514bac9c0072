//! Holds what callers were told against what the targets ran.

use std::collections::HashMap;
use std::net::SocketAddr;

use ntex::client::Client;
use ntex::time::Millis;
use serde::Serialize;
use smol_str::SmolStr;
use stoatstep_standin_target::Entry;

use crate::load::plan::Verb;
use crate::load::record::{Outcome, Record};
use crate::load::report::Report;

/// Largest ledger that is read.
const LEDGER_LIMIT: usize = 512 << 20;

/// A ledger must come within this.
const LEDGER_TIMEOUT: Millis = Millis(30_000);

/// How many of the findings are named one by one.
const EXAMPLES: usize = 5;

/// What the ledgers say about the outcomes that callers were told.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Audit {
    /// Runs in the ledgers.
    pub runs: u64,
    /// Keys of calls that must run at most once, and ran more often.
    pub duplicates: u64,
    /// Attempts that the caller was told did not run, but which did.
    pub untrue_refusals: u64,
    /// Answered calls that no ledger knows.
    pub missing: u64,
    /// Calls that ran but got no answer in the end: told as unknown, which is
    /// honest, but lost all the same.
    pub unanswered_runs: u64,
    /// The first few findings, by key or marker.
    pub examples: Vec<SmolStr>,
}

impl Audit {
    /// Compares the ledgers of all targets that may have run a call of this
    /// load with what its callers were told.
    #[must_use]
    pub fn new(report: &Report, ledgers: &[Vec<Entry>]) -> Self {
        let runs = Runs::new(ledgers);
        let mut audit = Self {
            runs: runs.total,
            ..Self::default()
        };
        for record in &report.records {
            audit.check(record, &runs);
        }
        audit
    }

    /// Whether every promise was kept.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.duplicates == 0 && self.untrue_refusals == 0 && self.missing == 0
    }

    fn check(&mut self, record: &Record, runs: &Runs) {
        let key_runs = record.key.as_ref().map(|key| runs.of_key(key));
        if record.verb == Verb::Post && key_runs.is_some_and(|count| count > 1) {
            self.duplicates += 1;
            self.example(record.key.as_ref());
        }
        for marker in &record.refused_markers {
            if runs.of_marker(marker) > 0 {
                self.untrue_refusals += 1;
                self.example(Some(marker));
            }
        }
        if record.outcome == Outcome::Answered {
            let marker_runs = record.answered_marker.as_ref().map(|it| runs.of_marker(it));
            if key_runs.or(marker_runs) == Some(0) {
                self.missing += 1;
                self.example(record.key.as_ref().or(record.answered_marker.as_ref()));
            }
        } else {
            let ran = record.markers().any(|it| runs.of_marker(&it) > 0);
            self.unanswered_runs += u64::from(ran || key_runs.is_some_and(|it| it > 0));
        }
    }

    fn example(&mut self, name: Option<&SmolStr>) {
        if self.examples.len() < EXAMPLES {
            self.examples.extend(name.cloned());
        }
    }
}

/// Runs over all ledgers, by key and by marker.
struct Runs<'a> {
    total: u64,
    by_key: HashMap<&'a str, u64>,
    by_marker: HashMap<&'a str, u64>,
}

impl<'a> Runs<'a> {
    fn new(ledgers: &'a [Vec<Entry>]) -> Self {
        let mut runs = Self {
            total: 0,
            by_key: HashMap::new(),
            by_marker: HashMap::new(),
        };
        for entry in ledgers.iter().flatten() {
            runs.total += entry.count;
            *runs.by_key.entry(&entry.key).or_default() += entry.count;
            *runs.by_marker.entry(&entry.marker).or_default() += entry.count;
        }
        runs
    }

    fn of_key(&self, key: &str) -> u64 {
        self.by_key.get(key).copied().unwrap_or(0)
    }

    fn of_marker(&self, marker: &str) -> u64 {
        self.by_marker.get(marker).copied().unwrap_or(0)
    }
}

/// Reads the ledger of the target at `addr`.
///
/// # Errors
///
/// The target cannot be reached or its answer cannot be read, as a text for
/// people.
pub async fn fetch(addr: SocketAddr) -> Result<Vec<Entry>, String> {
    let client = Client::new().await;
    let req = client
        .get(format!("http://{addr}/admin/ledger"))
        .timeout(LEDGER_TIMEOUT);
    let res = req.send().await.map_err(|error| error.to_string())?;
    let body = res.body().limit(LEDGER_LIMIT).timeout(LEDGER_TIMEOUT).await;
    let body = body.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}
