//! Requests to whichever daemon answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ntex::SharedCfg;
use ntex::client::{Client as HttpClient, ClientRequest};
use ntex::http::{Method, StatusCode};
use ntex::time::{Millis, sleep, timeout};
use ntex::util::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use stoatstep_resource::wire::FindingsAnswer;
use stoatstep_resource::{Finding, Place};

use crate::exit::Exit;
use crate::failure::Failure;
use crate::miss::{Miss, Misses, Unreachable};
use crate::settings::Remote;

/// Largest answer that is read; the largest state allowed fits several times.
const MAX_ANSWER: usize = 32 * 1024 * 1024;

/// One daemon gets this part of the whole timeout, so that a silent one leaves
/// time for the next.
const ATTEMPT_SHARE: u32 = 3;

/// Pauses between rounds over all daemons.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// One request, the same at every daemon.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    method: Method,
    path: String,
    body: Vec<u8>,
    /// Time that the daemon itself may take, on top of the timeout.
    hold: Duration,
}

impl Request {
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: Vec::new(),
            hold: Duration::ZERO,
        }
    }

    pub(crate) fn post<T: Serialize>(path: &str, body: &T) -> Result<Self, Failure> {
        let body = serde_json::to_vec(body).map_err(|error| Failure::Answer(error.to_string()))?;
        Ok(Self {
            method: Method::POST,
            path: path.to_owned(),
            body,
            hold: Duration::ZERO,
        })
    }

    /// Sets how long the daemon may hold the request back, as a watch does;
    /// zero by default.
    pub(crate) fn hold(mut self, hold: Duration) -> Self {
        self.hold = hold;
        self
    }
}

/// A daemon's answer.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    /// When the request was sent to the first daemon at which it may have had
    /// its effect. That can be an earlier one than the one that answered, and
    /// counted from the later one a change would seem to hold sooner than it
    /// did.
    pub(crate) sent: Instant,
    body: Bytes,
}

impl Reply {
    /// The body of a good answer, or the findings of a refusal.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        if !self.status.is_success() {
            return Err(self.refusal());
        }
        serde_json::from_slice(&self.body).map_err(|error| Failure::Answer(error.to_string()))
    }

    /// Whether the answer is a good one whose body does not matter.
    pub(crate) fn check(&self) -> Result<(), Failure> {
        if self.status.is_success() {
            Ok(())
        } else {
            Err(self.refusal())
        }
    }

    fn refusal(&self) -> Failure {
        let exit = match self.status {
            StatusCode::CONFLICT => Exit::Conflict,
            StatusCode::BAD_REQUEST
            | StatusCode::PAYLOAD_TOO_LARGE
            | StatusCode::UNPROCESSABLE_ENTITY => Exit::Invalid,
            StatusCode::NOT_FOUND | StatusCode::GONE => Exit::NotFound,
            _ => Exit::Failure,
        };
        let findings = self.findings();
        Failure::Refused { exit, findings }
    }

    fn findings(&self) -> Vec<Finding> {
        let answer = serde_json::from_slice::<FindingsAnswer>(&self.body);
        let findings = answer.map(|answer| answer.findings).unwrap_or_default();
        if findings.is_empty() {
            let message = format!("the daemon answered {}", self.status);
            return vec![Finding::new(Place::default(), message)];
        }
        findings
    }
}

/// Sends requests to one daemon after the other until one answers, and stays
/// with the one that did.
pub(crate) struct Client {
    http: HttpClient,
    remote: Remote,
    current: usize,
}

impl Client {
    pub(crate) async fn new(remote: Remote) -> Result<Self, Failure> {
        let http = HttpClient::builder()
            .disable_redirects()
            .disable_timeout()
            .build(SharedCfg::new("stoatctl"))
            .await
            .map_err(|error| Failure::Answer(error.to_string()))?;
        Ok(Self {
            http,
            remote,
            current: 0,
        })
    }

    /// Sends `req` until a daemon answers. Only requests that may be repeated
    /// come here: reads, a drain, and changes that carry an operation id, which
    /// the daemons settle by that id.
    ///
    /// # Errors
    ///
    /// [`Unreachable`] once the timeout is over.
    pub(crate) async fn send(&mut self, req: &Request) -> Result<Reply, Unreachable> {
        let until = Instant::now() + self.remote.timeout + req.hold;
        let mut misses = Misses::default();
        let mut pause = FIRST_PAUSE;
        loop {
            for _ in 0..self.remote.daemons.len() {
                let daemon = self.remote.daemons[self.current];
                let sent = Instant::now();
                match self.attempt(daemon, req, until).await {
                    Ok(mut reply) => {
                        reply.sent = misses.unsettled.unwrap_or(reply.sent);
                        return Ok(reply);
                    }
                    Err(miss) => misses.add(daemon, miss, sent),
                }
                self.current = (self.current + 1) % self.remote.daemons.len();
            }
            if until.saturating_duration_since(Instant::now()) <= pause {
                return Err(misses.into_error());
            }
            sleep(Millis::from(pause)).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// Asks the current daemon once, without a retry.
    pub(crate) async fn send_once(&self, req: &Request) -> Result<Reply, Miss> {
        let until = Instant::now() + self.remote.timeout;
        let daemon = self.remote.daemons[self.current];
        self.attempt(daemon, req, until).await
    }

    async fn attempt(
        &self,
        daemon: SocketAddr,
        req: &Request,
        until: Instant,
    ) -> Result<Reply, Miss> {
        let left = until.saturating_duration_since(Instant::now());
        let limit = self.remote.timeout / ATTEMPT_SHARE + req.hold;
        let reply = timeout(Millis::from(limit.min(left)), self.exchange(daemon, req)).await;
        let reply = reply.unwrap_or_else(|()| Err(Miss::NoAnswer("timeout".to_owned())))?;
        if reply.status.is_server_error() {
            let findings = reply.findings();
            let texts: Vec<String> = findings.iter().map(Finding::to_string).collect();
            return Err(Miss::Busy(texts.join(", ")));
        }
        Ok(reply)
    }

    async fn exchange(&self, daemon: SocketAddr, req: &Request) -> Result<Reply, Miss> {
        let sent = Instant::now();
        let res = self.build(daemon, req).send_body(req.body.clone()).await;
        let res = res.map_err(|error| Miss::of(&error))?;
        let body = res.body().limit(MAX_ANSWER).timeout(Millis::ZERO).await;
        let body = body.map_err(|error| Miss::NoAnswer(error.to_string()))?;
        Ok(Reply {
            status: res.status(),
            sent,
            body,
        })
    }

    fn build(&self, daemon: SocketAddr, req: &Request) -> ClientRequest {
        let url = format!("http://{daemon}{}", req.path);
        self.http
            .request(req.method.clone(), url)
            .bearer_auth(self.remote.token.expose())
            .content_type("application/json")
    }
}
