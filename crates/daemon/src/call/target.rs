//! Calls to this instance's target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ntex::client::{Client, ClientRequest, ClientResponse, Connector};
use ntex::http::StatusCode;
use ntex::http::body::Body;
use ntex::io::IoConfig;
use ntex::time::{Millis, Seconds};
use smol_str::ToSmolStr;
use stoatstep_calls::{Answer, Header, Reason, Refusal};

use super::headers;
use super::peers::{TrackedBody, never_connected};
use super::wire::Attempt;
use crate::http::{BodyError, read_body};

/// Connections to the target unless its upstream says otherwise.
const CONNECTIONS: u32 = 120;

/// Time for a connection to come up.
const CONNECT_TIMEOUT: Millis = Millis(500);

/// Idle time after which a connection is not used again. Below the 5 s that
/// many servers keep one: a request that meets a closing connection may or may
/// not have run.
const KEEP_ALIVE: Seconds = Seconds(4);

/// Largest answer that is passed on, kept whole in memory until its last byte.
const MAX_ANSWER: usize = 4 << 20;

/// Pause asked for where the target does not say.
const SHED_RETRY: Duration = Duration::from_millis(100);

/// How a run ended.
#[derive(Clone, Debug)]
pub(super) enum RunEnd {
    /// The target's whole answer.
    Done(Arc<Answer>),
    /// It did not run, or nobody can tell; the reason says which.
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
        Self::with_connections(addr, CONNECTIONS).await
    }

    async fn with_connections(addr: SocketAddr, connections: u32) -> Self {
        let connector = Connector::new()
            .limit(connections as usize)
            .keep_alive(KEEP_ALIVE);
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

    /// A client with another cap, or `None` where the cap is the same.
    pub(super) async fn capped(&self, connections: u32) -> Option<Self> {
        if connections == self.connections {
            return None;
        }
        Some(Self::with_connections(self.addr, connections).await)
    }

    /// Runs an attempt. Dropping the future closes the connection, which is how
    /// a cancellation reaches the target.
    pub(super) async fn call(&self, attempt: &Attempt, left: Duration) -> RunEnd {
        let req = self.request(attempt, left);
        let (body, sent) = TrackedBody::new(attempt.call.body.clone());
        let empty = attempt.call.body.is_empty();
        let answer = if empty {
            req.send().await
        } else {
            req.send_body(Body::from_message(body)).await
        };
        match answer {
            Ok(answer) => read_answer(answer).await,
            Err(err) if never_connected(&err) || !(empty || sent.get()) => {
                RunEnd::Refused(Refusal::retry(Reason::NoUpstream, SHED_RETRY))
            }
            Err(_) => RunEnd::refused(Reason::LostAnswer),
        }
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

async fn read_answer(answer: ClientResponse) -> RunEnd {
    let shed = answer.header(headers::SHED).is_some();
    if shed && answer.status() == StatusCode::SERVICE_UNAVAILABLE {
        return RunEnd::Refused(Refusal::retry(Reason::Shed, SHED_RETRY));
    }
    let status = answer.status().as_u16();
    let all = answer.headers().iter();
    let passed = all.filter(|(name, _)| headers::passes(name.as_str()));
    let headers = passed.map(|(name, value)| Header {
        name: name.as_str().to_smolstr(),
        value: value.as_bytes().to_vec(),
    });
    let headers = headers.collect();
    // A body cut short must never look like a shorter answer: the length that
    // the target stated is checked, and what is missing is an error.
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
