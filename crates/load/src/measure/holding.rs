//! When a daemon holds a version.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_timer::Delay;
use stoatstep_resource::Version;

use crate::fleet::Operator;

/// A daemon must hold the newest version within this.
pub(crate) const LIMIT: Duration = Duration::from_secs(30);

/// How often it is asked.
const POLL: Duration = Duration::from_millis(20);

/// Waits until a daemon serves by `version` and gives the time since `begin`, or
/// [`LIMIT`]. It looks at the daemon's own page, which no other daemon is asked
/// for, so that the wait adds no traffic to what is measured.
pub(crate) async fn holds(
    operator: Operator,
    daemon: SocketAddr,
    version: Version,
    begin: Instant,
) -> Duration {
    while begin.elapsed() < LIMIT {
        let page = operator.http().text(daemon, "/").await;
        let held = page.ok().and_then(|page| version_on(&page));
        if held >= Some(version) && operator.is_ready(daemon).await {
            return begin.elapsed();
        }
        Delay::new(POLL).await;
    }
    LIMIT
}

/// The version in force, as the daemon's page for people states it.
fn version_on(page: &str) -> Option<Version> {
    let line = page.lines().find_map(|line| line.strip_prefix("version"));
    line?.trim().parse().ok()
}
