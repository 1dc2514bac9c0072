//! Operators' requests to a daemon, and faults of the platform's stand-in.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_timer::Delay;
use serde::Serialize;
use serde_json::Value;
use stoatstep_resource::wire::{
    ChangeAnswer, ChangeRequest, PutWire, ResourceWire, StatusAnswer, WatchAnswer,
};
use stoatstep_resource::{Resource, Version};
use uuid::Uuid;

use crate::fleet::error::FleetError;
use crate::fleet::http::Http;

/// The operators' token of every fleet that the harness starts.
pub const OPERATOR_TOKEN: &str = "operator-token-of-the-harness";

/// The daemons' token of every fleet that the harness starts.
pub const PEER_TOKEN: &str = "peer-token-of-the-harness";

/// Wait between two tries of the same change.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// A fault of the platform's stand-in.
#[derive(Clone, Debug, Serialize)]
pub struct Fault {
    /// `table`, `objects` or `all`.
    pub service: &'static str,
    /// Zone whose callers see it, or `*`.
    pub zone: String,
    /// `down`, `slow`, `lose-answers` or `pause`.
    pub kind: &'static str,
    /// Milliseconds of delay.
    pub delay_ms: u64,
    /// Milliseconds until it ends.
    pub for_ms: u64,
}

impl Fault {
    /// The whole platform is out for every zone.
    #[must_use]
    pub fn outage(length: Duration) -> Self {
        Self::everywhere("down", length)
    }

    /// Writes take effect, but their answers are lost.
    #[must_use]
    pub fn lost_answers(length: Duration) -> Self {
        Self::everywhere("lose-answers", length)
    }

    fn everywhere(kind: &'static str, length: Duration) -> Self {
        Self {
            service: "all",
            zone: "*".to_owned(),
            kind,
            delay_ms: 0,
            for_ms: u64::try_from(length.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// Speaks to operators' ports.
#[derive(Clone, Debug)]
pub struct Operator {
    http: Http,
}

impl Operator {
    /// An operator with connections of its own.
    pub async fn new() -> Self {
        Self {
            http: Http::new().await,
        }
    }

    /// Puts resources in one change, tried again under one operation id for up
    /// to `limit`, and gives the version that it became.
    ///
    /// # Errors
    ///
    /// The last refusal, once the time is over.
    pub async fn put(
        &self,
        daemon: SocketAddr,
        resources: &[Resource],
        limit: Duration,
    ) -> Result<Version, FleetError> {
        let put = |resource| PutWire {
            resource: ResourceWire::from(resource),
            expected: None,
        };
        let change = ChangeRequest {
            operation: Uuid::now_v7().to_string().into(),
            puts: resources.iter().map(put).collect(),
            deletes: Vec::new(),
        };
        let begin = Instant::now();
        loop {
            match self.submit(daemon, &change).await {
                Ok(version) => return Ok(version),
                Err(error) if begin.elapsed() > limit => return Err(error),
                Err(_) => Delay::new(RETRY_WAIT).await,
            }
        }
    }

    async fn submit(
        &self,
        daemon: SocketAddr,
        change: &ChangeRequest,
    ) -> Result<Version, FleetError> {
        const PATH: &str = "/v1/changes";
        let body = self.http.post(daemon, PATH, OPERATOR_TOKEN, change).await?;
        let answer: ChangeAnswer =
            serde_json::from_slice(&body).map_err(|error| FleetError::Answer {
                from: daemon,
                path: PATH.into(),
                why: error.to_string(),
            })?;
        Ok(answer.version)
    }

    /// What the daemon knows.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached.
    pub async fn status(&self, daemon: SocketAddr) -> Result<StatusAnswer, FleetError> {
        self.http.get(daemon, "/v1/status", OPERATOR_TOKEN).await
    }

    /// Waits at one daemon for a version after `from`, for up to `wait`, and
    /// gives the version in force there.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached or no longer holds the changes.
    pub async fn watch(
        &self,
        daemon: SocketAddr,
        from: Version,
        wait: Duration,
    ) -> Result<Version, FleetError> {
        let path = format!("/v1/watch?from={from}&wait_ms={}", wait.as_millis());
        let answer: WatchAnswer = self.http.poll(daemon, &path, OPERATOR_TOKEN, wait).await?;
        Ok(answer.version)
    }

    /// Asks a daemon to leave gracefully. Asking twice does no harm, and a
    /// pooled connection may have been closed at the other end, so a request
    /// that failed is sent again.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached.
    pub async fn drain(&self, daemon: SocketAddr) -> Result<(), FleetError> {
        const TRIES: u32 = 3;
        let mut result = Ok(());
        for _ in 0..TRIES {
            let sent = self
                .http
                .post(daemon, "/v1/drain", OPERATOR_TOKEN, &Value::Null);
            result = sent.await.map(drop);
            if result.is_ok() {
                break;
            }
        }
        result
    }

    /// Whether the daemon says that it can serve.
    pub async fn is_ready(&self, daemon: SocketAddr) -> bool {
        self.http.is_ok(daemon, "/readyz").await
    }

    /// Sets a fault of the platform's stand-in.
    ///
    /// # Errors
    ///
    /// The stand-in cannot be reached.
    pub async fn fault(&self, platform: SocketAddr, fault: &Fault) -> Result<(), FleetError> {
        let sent = self.http.post(platform, "/admin/fault", "", fault);
        sent.await.map(drop)
    }

    /// The client behind it, for what has no method here.
    #[must_use]
    pub fn http(&self) -> &Http {
        &self.http
    }
}
