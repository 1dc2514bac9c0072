//! HTTP client of this instance's target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ntex::client::{Client, ClientRequest, ClientResponse, Connector};
use ntex::http::StatusCode;
use ntex::http::body::Body;
use ntex::http::header::HeaderValue;
use ntex::io::IoConfig;
use ntex::time::{Millis, Seconds};
use smol_str::ToSmolStr;
use stoatstep_calls::{Answer, Header, Reason, Refusal, TargetStatement};
use stoatstep_resource::HEALTH_PATH;

use super::headers;
use super::peers::{TrackedBody, never_connected};
use super::wire::Attempt;
use crate::http::{BodyError, read_body};

/// Limit of connections to the target until the configuration sets another one.
const DEFAULT_CONNECTIONS: u32 = 120;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Millis = Millis(500);

/// Idle time after which a connection is not reused. It is below the 5 s after which many servers
/// close one: a request that meets a closing connection may or may not have run.
const MAX_IDLE: Seconds = Seconds(4);

/// Largest answer that is forwarded. Answers are buffered in memory as a whole.
const MAX_ANSWER: usize = 4 << 20;

/// Retry delay sent to callers when the target sheds the request or can't be reached.
const SHED_RETRY: Duration = Duration::from_millis(100);

/// How a run ended.
#[derive(Clone, Debug)]
pub(super) enum RunEnd {
    /// The target's whole answer.
    Done(Arc<Answer>),
    /// It did not run, or it is unknown whether it ran; the reason says which.
    Refused(Refusal),
}

impl RunEnd {
    pub(super) fn refused(reason: Reason) -> Self {
        Self::Refused(Refusal::permanent(reason))
    }
}

/// The target's address and the connections to it.
#[derive(Clone)]
pub(super) struct TargetClient {
    addr: SocketAddr,
    client: Client,
    connections: u32,
}

impl TargetClient {
    pub(super) async fn connect(addr: SocketAddr) -> Self {
        Self::with_connections(addr, DEFAULT_CONNECTIONS).await
    }

    async fn with_connections(addr: SocketAddr, connections: u32) -> Self {
        let connector = Connector::new()
            .limit(connections as usize)
            .keep_alive(MAX_IDLE);
        let io = IoConfig::new().set_connect_timeout(CONNECT_TIMEOUT);
        let client = Client::builder()
            .no_default_headers()
            .disable_redirects()
            .disable_timeout()
            .connector::<()>(connector)
            .build(ntex::SharedCfg::new("target").add(io))
            .await
            .expect("a client without TLS always builds");
        Self {
            addr,
            client,
            connections,
        }
    }

    /// Returns a client with another limit of connections, or `None` if the limit is the same.
    pub(super) async fn with_limit(&self, connections: u32) -> Option<Self> {
        if connections == self.connections {
            return None;
        }
        Some(Self::with_connections(self.addr, connections).await)
    }

    /// Runs an attempt. Dropping the future closes the connection, by which the target sees that
    /// the attempt was cancelled.
    ///
    /// `on_statement` gets what the head of an answer states about the target. It is not called
    /// if the target refused the request and states nothing.
    pub(super) async fn call(
        &self,
        attempt: &Attempt,
        left: Duration,
        on_statement: impl Fn(TargetStatement),
    ) -> RunEnd {
        let req = self.request(attempt, left);
        let (body, sent) = TrackedBody::new(attempt.call.body.clone());
        let empty = attempt.call.body.is_empty();
        let answer = if empty {
            req.send().await
        } else {
            req.send_body(Body::from_message(body)).await
        };
        match answer {
            Ok(answer) => {
                let statement = statement(&answer);
                if !is_shed(&answer) || !statement.is_empty() {
                    on_statement(statement);
                }
                read_answer(answer).await
            }
            Err(err) if never_connected(&err) || !(empty || sent.get()) => {
                RunEnd::Refused(Refusal::retry(Reason::NoUpstream, SHED_RETRY))
            }
            Err(_) => RunEnd::refused(Reason::LostAnswer),
        }
    }

    /// What the target states in answer to a health request; `None` if it does not answer, or
    /// is not healthy.
    pub(super) async fn health(&self) -> Option<TargetStatement> {
        let url = format!("http://{}{HEALTH_PATH}", self.addr);
        let answer = self.client.get(url).send().await.ok()?;
        answer.status().is_success().then(|| statement(&answer))
    }

    fn request(&self, attempt: &Attempt, left: Duration) -> ClientRequest {
        let call = &attempt.call;
        let url = format!("http://{}{}", self.addr, call.path);
        let mut req = self.client.request(attempt.method.clone(), url);
        for header in &call.headers {
            req = req.header(header.name.as_str(), header.value.as_slice());
        }
        if let Some(key) = &call.key {
            req = req.header(headers::IDEMPOTENCY_KEY, key.as_str());
        }
        req.header(headers::DEADLINE_MS, left.as_millis().to_string())
            .header(headers::ATTEMPT, format!("{:032x}", attempt.id))
            .header(headers::TENANT, call.tenant.as_str())
            .header(headers::CLASS, call.class.as_str())
            .header(headers::DEPTH, (call.depth + 1).to_string())
            .header(headers::REQUEST_ID, call.request_id.as_str())
    }
}

fn is_shed(answer: &ClientResponse) -> bool {
    let is_stated = answer.header(headers::SHED).is_some();
    is_stated && answer.status() == StatusCode::SERVICE_UNAVAILABLE
}

fn statement(answer: &ClientResponse) -> TargetStatement {
    let values = |name| answer.headers().get_all(name).map(HeaderValue::as_bytes);
    TargetStatement::decode(values(headers::LIMIT), values(headers::LEAVING))
}

async fn read_answer(answer: ClientResponse) -> RunEnd {
    if is_shed(&answer) {
        return RunEnd::Refused(Refusal::retry(Reason::Shed, SHED_RETRY));
    }
    let status = answer.status().as_u16();
    let all = answer.headers().iter();
    let forwarded = all.filter(|(name, _)| headers::is_forwarded(name.as_str()));
    let headers = forwarded.map(|(name, value)| Header {
        name: name.as_str().to_smolstr(),
        value: value.as_bytes().to_vec(),
    });
    let headers = headers.collect();
    // A truncated body must never look like a shorter answer, so a body that is shorter than its
    // declared length is an error.
    match read_body(answer.take_payload(), MAX_ANSWER).await {
        Ok(body) => RunEnd::Done(Arc::new(Answer {
            status,
            headers,
            body: body.to_vec(),
        })),
        Err(BodyError::TooLarge) => RunEnd::refused(Reason::AnswerTooLarge),
        Err(BodyError::CutShort) => RunEnd::refused(Reason::LostAnswer),
    }
}
