//! HTTP client of this instance's target.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::client::{Client, ClientRequest, ClientResponse};
use ntex::http::StatusCode;
use ntex::http::body::Body;
use ntex::http::header::HeaderValue;
use ntex::time::{Millis, Seconds};
use ntex::util::Bytes;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use stoatstep_calls::{
    Answer, AttemptId, Header, Reason, Refusal, TargetStatement, is_final_status,
};
use stoatstep_resource::HEALTH_PATH;

use super::headers;
use super::peers::{TrackedBody, never_connected};
use super::wire::Attempt;
use crate::http::{BodyError, client, read_body};

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

/// An answer to another request than the one that waited for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ForeignAnswer {
    expected: SmolStr,
    stated: SmolStr,
}

impl ForeignAnswer {
    /// Compares the attempt that an answer states with the one that waits for it; it is empty for
    /// a health request. An answer that states none is taken for the right one.
    fn find(answer: &ClientResponse, expected: SmolStr) -> Option<Self> {
        let stated = answer.header(headers::ATTEMPT)?.as_bytes();
        (stated != expected.as_bytes()).then(|| {
            let stated = String::from_utf8_lossy(stated);
            Self {
                stated: stated.chars().take(ATTEMPT_LEN).collect(),
                expected,
            }
        })
    }
}

impl fmt::Display for ForeignAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { expected, stated } = self;
        write!(
            f,
            "{}: {stated:?} in place of {expected:?}",
            headers::ATTEMPT
        )
    }
}

/// Characters of an attempt's id in headers.
const ATTEMPT_LEN: usize = 32;

/// The form of an attempt's id in headers.
fn attempt_text(attempt: AttemptId) -> SmolStr {
    format_smolstr!("{attempt:032x}")
}

/// The target's address and the connections to it.
#[derive(Clone)]
pub(super) struct TargetClient {
    addr: SocketAddr,
    /// Shared by all clones, so that none uses a connection that another one gave up.
    client: Rc<RefCell<Client>>,
    connections: u32,
}

impl TargetClient {
    pub(super) async fn connect(addr: SocketAddr) -> Self {
        Self::with_connections(addr, DEFAULT_CONNECTIONS).await
    }

    async fn with_connections(addr: SocketAddr, connections: u32) -> Self {
        let client = pooled_client(connections).await;
        Self {
            addr,
            client: Rc::new(RefCell::new(client)),
            connections,
        }
    }

    /// Stops using the present connections for new requests.
    async fn retire_connections(&self) {
        let client = pooled_client(self.connections).await;
        *self.client.borrow_mut() = client;
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
    /// if the target refused the request and states nothing. `on_foreign` gets an answer that
    /// belongs to another attempt, and is lost.
    pub(super) async fn call(
        &self,
        attempt: &Attempt,
        left: Duration,
        on_statement: impl Fn(TargetStatement),
        on_foreign: impl Fn(&ForeignAnswer),
    ) -> RunEnd {
        let req = self.request(attempt, left);
        let (body, sent) = TrackedBody::new(Bytes::copy_from_slice(&attempt.call.body.to_bytes()));
        let empty = attempt.call.body.is_empty();
        let answer = if empty {
            req.send().await
        } else {
            req.send_body(Body::from_message(body)).await
        };
        match answer {
            Ok(answer) => {
                let expected = attempt_text(attempt.id);
                if self.refuse_foreign(&answer, expected, on_foreign).await {
                    return RunEnd::refused(Reason::LostAnswer);
                }
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

    /// Returns whether an answer belongs to another request than the one that waits for it. The
    /// awaited one would follow, and be taken for that to the next request on the connection, so
    /// no present connection is used again.
    async fn refuse_foreign(
        &self,
        answer: &ClientResponse,
        expected: SmolStr,
        on_foreign: impl Fn(&ForeignAnswer),
    ) -> bool {
        let Some(foreign) = ForeignAnswer::find(answer, expected) else {
            return false;
        };
        on_foreign(&foreign);
        self.retire_connections().await;
        true
    }

    /// What the target states in answer to a health request; `None` if it does not answer, or
    /// is not healthy. `on_foreign` gets an answer that belongs to an attempt.
    pub(super) async fn health(
        &self,
        on_foreign: impl Fn(&ForeignAnswer),
    ) -> Option<TargetStatement> {
        let url = format!("http://{}{HEALTH_PATH}", self.addr);
        let req = self.client.borrow().get(url);
        let answer = req.send().await.ok()?;
        if self
            .refuse_foreign(&answer, SmolStr::default(), on_foreign)
            .await
        {
            return None;
        }
        answer.status().is_success().then(|| statement(&answer))
    }

    fn request(&self, attempt: &Attempt, left: Duration) -> ClientRequest {
        let call = &attempt.call;
        let url = format!("http://{}{}", self.addr, call.path);
        let mut req = self.client.borrow().request(attempt.method.clone(), url);
        for header in &call.headers {
            req = req.header(header.name.as_str(), header.value.as_slice());
        }
        if let Some(key) = &call.key {
            req = req.header(headers::IDEMPOTENCY_KEY, key.as_str());
        }
        req.header(headers::DEADLINE_MS, left.as_millis().to_string())
            .header(headers::ATTEMPT, attempt_text(attempt.id).as_str())
            .header(headers::TENANT, call.tenant.as_str())
            .header(headers::CLASS, call.class.as_str())
            .header(headers::DEPTH, (call.depth + 1).to_string())
            .header(headers::REQUEST_ID, call.request_id.as_str())
    }
}

async fn pooled_client(connections: u32) -> Client {
    client("target", connections as usize, MAX_IDLE, CONNECT_TIMEOUT).await
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
    if !is_final_status(status) {
        return RunEnd::refused(Reason::LostAnswer);
    }
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
            body: body.to_vec().into(),
        })),
        Err(BodyError::TooLarge) => RunEnd::refused(Reason::AnswerTooLarge),
        Err(_) => RunEnd::refused(Reason::LostAnswer),
    }
}
