//! One attempt over HTTP, and what its reply says.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientResponse, Connector};
use ntex::http::{HeaderMap, Method, StatusCode};
use ntex::time::{Millis, Seconds, timeout_checked};
use smol_str::SmolStr;
use stoatstep_standin_target::{Answer, AnswerError};

use crate::load::plan::{AttemptNumber, Call, Verb};

/// Idle connections are closed after this. It is below the servers' own bound,
/// because a connection that the server closes first can swallow a call.
const KEEP_ALIVE: Seconds = Seconds(3);

/// More connections than a load ever opens. The pool takes 0 for "no limit" but
/// then never wakes the calls that wait for a connection being opened: they
/// hang until their timeout.
const CONNECTIONS: usize = 1 << 20;

/// A caller waits this much longer than its deadline for word of the outcome.
const GRACE: Duration = Duration::from_millis(1500);

/// Largest answer that is taken.
const BODY_LIMIT: usize = 8 << 20;

/// Wait before the next try where a reply doesn't say when.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// What became of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Reply {
    /// The caller's own whole answer.
    Answered,
    /// An answer that is not whole or belongs to another call.
    Wrong(AnswerError),
    /// It did not run, the system says.
    NotRun {
        /// When to come back; `None` where coming back won't help.
        retry_after: Option<Duration>,
        /// The system's word for why.
        reason: SmolStr,
    },
    /// It may have run.
    Unknown {
        /// When to come back.
        retry_after: Duration,
        /// The system's word for why, or the caller's own.
        reason: SmolStr,
    },
    /// Nothing was sent, since no connection came about.
    Unsent,
}

/// Sends attempts over pooled connections.
#[derive(Clone, Debug)]
pub(crate) struct Sender {
    client: Client,
    deadline: Duration,
    bytes: usize,
}

impl Sender {
    pub(crate) async fn new(deadline: Duration, bytes: usize) -> Self {
        let connector = Connector::new().limit(CONNECTIONS).keep_alive(KEEP_ALIVE);
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .response_payload_limit(BODY_LIMIT)
            .build(ntex::SharedCfg::new("load"))
            .await
            .expect("a connector without TLS always builds");
        Self {
            client,
            deadline,
            bytes,
        }
    }

    pub(crate) async fn send(&self, call: &Call, number: AttemptNumber, to: SocketAddr) -> Reply {
        let patience = Millis::from(self.deadline + GRACE);
        let reply = timeout_checked(patience, self.exchange(call, number, to)).await;
        reply.unwrap_or_else(|()| unknown("caller-timeout"))
    }

    async fn exchange(&self, call: &Call, number: AttemptNumber, to: SocketAddr) -> Reply {
        let url = format!("http://{to}{}?bytes={}", call.path, self.bytes);
        let method = match call.verb {
            Verb::Get => Method::GET,
            Verb::Post => Method::POST,
        };
        let mut req = self
            .client
            .request(method, url)
            .header("stoatstep-tenant", call.tenant.as_str())
            .header("stoatstep-class", call.class.as_str())
            .header(
                "stoatstep-deadline-ms",
                self.deadline.as_millis().to_string(),
            )
            .header("stoat-marker", call.marker(number).as_str());
        if let Some(key) = &call.key {
            req = req.header("idempotency-key", key.as_str());
        }
        let sent = match call.verb {
            Verb::Get => req.send().await,
            Verb::Post => req.send_body(call.marker(1).to_string()).await,
        };
        match sent {
            Ok(res) => self.read(call, number, &res).await,
            Err(error) => failure(&error),
        }
    }

    async fn read(&self, call: &Call, number: AttemptNumber, res: &ClientResponse) -> Reply {
        match told(res.status(), res.headers()) {
            Reply::Answered => match res.body().await {
                Ok(body) => self.check(call, number, &body),
                Err(_) => unknown("body-cut-short"),
            },
            other => {
                // Read to its end, so that the connection is used again.
                let _ = res.body().await;
                other
            }
        }
    }

    /// An attempt under a key may be given the answer of an earlier attempt
    /// under the same key; without one it must be this attempt's own.
    fn check(&self, call: &Call, number: AttemptNumber, body: &[u8]) -> Reply {
        let first = match call.key {
            Some(_) => 1,
            None => number,
        };
        let mut found = Err(AnswerError::Checksum);
        for attempt in (first..=number).rev() {
            found = Answer::check(body, &call.marker(attempt), self.bytes);
            if !matches!(found, Err(AnswerError::Marker { .. })) {
                break;
            }
        }
        match found {
            Ok(_) => Reply::Answered,
            Err(error) => Reply::Wrong(error),
        }
    }
}

/// What status and headers say. A target asked directly sends no outcome
/// header, so its own words count there.
fn told(status: StatusCode, headers: &HeaderMap) -> Reply {
    let text = |name: &str| headers.get(name).and_then(|it| it.to_str().ok());
    let wait = text("stoatstep-retry-after-ms").and_then(|it| it.parse().ok());
    let wait = wait.map_or(DEFAULT_RETRY_AFTER, Duration::from_millis);
    let reason = text("stoatstep-reason").map_or_else(|| status.as_str().into(), SmolStr::new);
    match text("stoatstep-outcome") {
        Some("not-run") => refused(status, wait, reason),
        Some("answered") | None if status.is_success() => Reply::Answered,
        Some("answered") | None if text("stoatstep-shed") == Some("1") => Reply::NotRun {
            retry_after: Some(wait),
            reason,
        },
        _ => Reply::Unknown {
            retry_after: wait,
            reason,
        },
    }
}

/// A refusal for the caller's own mistake comes again however often it tries.
fn refused(status: StatusCode, wait: Duration, reason: SmolStr) -> Reply {
    let again = !status.is_client_error() || status == StatusCode::TOO_MANY_REQUESTS;
    Reply::NotRun {
        retry_after: again.then_some(wait),
        reason,
    }
}

/// A connection that never came about carried nothing. Any other failure may
/// have come after the call had arrived.
fn failure(error: &ClientError) -> Reply {
    match error {
        ClientError::Connect(ConnectError::Disconnected(Some(_)) | ConnectError::Timeout) => {
            Reply::Unsent
        }
        _ => unknown("connection-lost"),
    }
}

/// An outcome that only the caller itself knows of.
fn unknown(reason: &'static str) -> Reply {
    Reply::Unknown {
        retry_after: DEFAULT_RETRY_AFTER,
        reason: SmolStr::new_static(reason),
    }
}
