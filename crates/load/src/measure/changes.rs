//! Changes of configuration for measurements.

use std::time::{Duration, Instant};

use futures_timer::Delay;
use stoatstep_resource::wire::DeltaWire;
use stoatstep_resource::{Delta, Digest, Resource, Upstream, Version};

use crate::fleet::{Fleet, FleetError};

/// A change must be accepted within this.
const LIMIT: Duration = Duration::from_secs(10);

/// Slots run through so many values, so that each change is one.
const SLOTS: usize = 97;

/// Makes changes of upstreams, no two the same.
#[derive(Debug)]
pub(crate) struct Changes {
    upstreams: Vec<Upstream>,
    made: usize,
}

impl Changes {
    /// Changes to the upstreams among these resources.
    pub(crate) fn new(resources: Vec<Resource>) -> Self {
        let upstream = |resource| match resource {
            Resource::Upstream(upstream) => Some(upstream),
            _ => None,
        };
        Self {
            upstreams: resources.into_iter().filter_map(upstream).collect(),
            made: 0,
        }
    }

    /// The next change, of so many upstreams.
    pub(crate) fn next(&mut self, upstreams: usize) -> Vec<Resource> {
        self.made += 1;
        let first = self.made * upstreams;
        let slots = u32::try_from(1 + self.made % SLOTS).unwrap_or(1);
        let each = (first..first + upstreams).map(|index| {
            let upstream = self.upstreams[index % self.upstreams.len()].clone();
            Resource::Upstream(Upstream { slots, ..upstream })
        });
        each.collect()
    }

    /// Submits the next change at a daemon, another one each time.
    pub(crate) async fn submit(
        &mut self,
        fleet: &Fleet,
        upstreams: usize,
    ) -> Result<Version, FleetError> {
        const STRIDE: usize = 7;
        let resources = self.next(upstreams);
        let nodes: Vec<_> = fleet.running().collect();
        let daemon = nodes[self.made * STRIDE % nodes.len()].operator;
        fleet.operator.put(daemon, &resources, LIMIT).await
    }

    /// Submits `count` changes at a steady rate and waits for the end of the
    /// last one's share of the time.
    pub(crate) async fn submit_many(
        &mut self,
        fleet: &Fleet,
        upstreams: usize,
        count: u32,
        interval: Duration,
    ) -> Result<Version, FleetError> {
        let start = Instant::now();
        let mut version = 0;
        for number in 1..=count {
            version = self.submit(fleet, upstreams).await?;
            let due = start + interval * number;
            Delay::new(due.saturating_duration_since(Instant::now())).await;
        }
        Ok(version)
    }
}

/// Bytes that a change takes as the daemons encode it, heads apart.
pub(crate) fn encoded_bytes(puts: Vec<Resource>) -> usize {
    let delta = Delta {
        version: Version::from(u32::MAX),
        puts,
        deletes: Vec::new(),
        digest: Digest::default(),
    };
    let bytes = rmp_serde::to_vec(&DeltaWire::from(&delta));
    bytes.expect("plain data always encodes").len()
}
