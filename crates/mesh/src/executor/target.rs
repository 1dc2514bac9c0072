//! Requests to the target beside this daemon.

mod lifetime;
mod pool;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Uri};
use slog::Logger;
use smol_str::{SmolStr, ToSmolStr};
use stoatstep_calls::{Answer, Header, Reason, Refusal, is_of_connection};
use stoatstep_membership::target_id_of;
use stoatstep_resource::UpstreamName;
use stoatstep_telemetry::fields;

use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::wire::Attempt;
use pool::{Connection, Pool};

/// Largest answer that is passed on. It is kept whole until its last byte, so
/// that a broken one never looks complete.
const MAX_ANSWER: usize = 64 << 20;

/// Largest answer to a question about the target's health. Nothing of its body
/// is read.
const MAX_HEALTH: usize = 16 << 10;

/// Pause asked for where the target refuses without saying for how long.
const SHED_RETRY: Duration = Duration::from_millis(100);

/// How a request ended.
#[derive(Clone, Debug)]
pub(super) enum TargetEnd {
    /// The target's whole answer.
    Answered(Arc<Answer>),
    /// It did not run.
    NotRun {
        refusal: Refusal,
        /// Whether the target got to see it.
        arrived: bool,
        /// The life of the target that answered, where it is not the one meant.
        actual: Option<UpstreamName>,
    },
    /// It may have run.
    Unknown(Reason),
}

impl TargetEnd {
    fn unreachable() -> Self {
        Self::NotRun {
            refusal: Refusal::retry(Reason::NoUpstream, SHED_RETRY),
            arrived: false,
            actual: None,
        }
    }
}

/// What the target says of itself.
#[derive(Clone, Debug)]
pub(super) struct Health {
    /// A success where it takes calls.
    pub(super) status: StatusCode,
    /// The life that answered.
    pub(super) upstream: Option<UpstreamName>,
}

/// The target's address, the connections to it, and the names of its headers.
pub(super) struct Target {
    addr: SocketAddr,
    pool: Pool,
    names: Names,
    log: Logger,
}

/// The dialect's names in the form that the HTTP library wants.
struct Names {
    request_id: HeaderName,
    timeout_ms: HeaderName,
    caller_service: HeaderName,
    customer: HeaderName,
    expected_upstream: HeaderName,
    upstream: HeaderName,
    not_run: HeaderName,
    signature: HeaderName,
}

impl Names {
    /// # Panics
    ///
    /// Where a name is none that HTTP allows; names are constants of adapters.
    fn new(dialect: &Dialect) -> Self {
        let name = |text: &SmolStr| {
            HeaderName::from_bytes(text.as_bytes()).expect("header names are valid constants")
        };
        Self {
            request_id: name(&dialect.request_id),
            timeout_ms: name(&dialect.timeout_ms),
            caller_service: name(&dialect.caller_service),
            customer: name(&dialect.customer),
            expected_upstream: name(&dialect.expected_upstream),
            upstream: name(&dialect.upstream),
            not_run: name(&dialect.not_run),
            signature: name(&dialect.signature),
        }
    }
}

impl Target {
    pub(super) fn new(addr: SocketAddr, dialect: &Dialect, clock: Clock, log: Logger) -> Self {
        Self {
            addr,
            pool: Pool::new(addr, clock),
            names: Names::new(dialect),
            log,
        }
    }

    /// Runs an attempt. Dropping the future closes the connection, by which the
    /// target learns that nobody waits any more.
    pub(super) async fn call(&self, attempt: &Attempt, left: Duration) -> TargetEnd {
        let Some(mut req) = self.request(attempt, left) else {
            return TargetEnd::NotRun {
                refusal: Refusal::permanent(Reason::BadRequest),
                arrived: false,
                actual: None,
            };
        };
        loop {
            let Some(mut connection) = self.pool.take().await else {
                return TargetEnd::unreachable();
            };
            match connection.send(req).await {
                Ok(res) => return self.read(attempt, connection, res).await,
                // The target closed an idle connection just before it was used,
                // and not a byte of the request went out.
                Err(Some(unsent)) => req = unsent,
                Err(None) => {
                    self.note_failed(&connection);
                    return TargetEnd::Unknown(Reason::LostAnswer);
                }
            }
        }
    }

    fn note_failed(&self, connection: &Connection) {
        if let Some(limit) = self.pool.failed(connection) {
            slog::info!(self.log, "target drops idle connections";
                fields::UNUSED_AFTER_MS => limit.as_millis());
        }
    }

    /// Asks the target how it is; `None` where it does not answer.
    pub(super) async fn health(&self, path: &str) -> Option<Health> {
        let req = Request::get(path).header(HOST, self.addr.to_string());
        let req = req.body(Full::default()).ok()?;
        let mut connection = self.pool.take().await?;
        let (head, body) = connection.send(req).await.ok()?.into_parts();
        let body = Limited::new(body, MAX_HEALTH).collect().await;
        body.ok()?;
        self.pool.put_back(connection, &head.headers);
        Some(Health {
            status: head.status,
            upstream: text(&head.headers, &self.names.upstream),
        })
    }

    /// Whether the target's process is there to take connections; `false` only where its
    /// instance says that nobody listens.
    pub(super) async fn listens(&self) -> bool {
        self.pool.listens().await
    }

    /// The same a moment later; a connection that is still open says so as well.
    pub(super) async fn still_listens(&self) -> bool {
        self.pool.has_open() || self.pool.listens().await
    }

    /// Closes all idle connections: another life of the target has begun. A request on
    /// one of them would be reset, and its outcome unknown.
    pub(super) fn forget_connections(&self) {
        self.pool.clear();
    }

    /// Closes idle connections that the target is about to close itself.
    pub(super) fn sweep(&self) {
        self.pool.sweep();
    }

    fn request(&self, attempt: &Attempt, left: Duration) -> Option<Request<Full<Bytes>>> {
        let call = &attempt.call;
        let body = Full::new(call.body.clone());
        let (mut parts, body) = Request::new(body).into_parts();
        parts.method = call.method.parse().ok()?;
        parts.uri = call.path.parse::<Uri>().ok()?;
        for header in &call.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            let value = HeaderValue::from_bytes(&header.value).ok()?;
            parts.headers.append(name, value);
        }
        self.add_own(&mut parts, attempt, left)?;
        Some(Request::from_parts(parts, body))
    }

    fn add_own(&self, parts: &mut Parts, attempt: &Attempt, left: Duration) -> Option<()> {
        let call = &attempt.call;
        let millis = left.as_millis().to_string();
        let own = [
            (&HOST, call.host.as_str()),
            (&self.names.request_id, call.request_id.as_str()),
            (&self.names.timeout_ms, millis.as_str()),
            (&self.names.caller_service, call.caller_service.as_str()),
            (
                &self.names.expected_upstream,
                target_id_of(&attempt.upstream),
            ),
        ];
        let customer = call.identity.as_ref();
        let customer = customer.map(|it| (&self.names.customer, it.customer.as_str()));
        for (name, value) in own.into_iter().chain(customer) {
            let value = HeaderValue::from_str(value).ok()?;
            parts.headers.insert(name.clone(), value);
        }
        Some(())
    }

    async fn read(
        &self,
        attempt: &Attempt,
        connection: Connection,
        res: Response<Incoming>,
    ) -> TargetEnd {
        let (head, body) = res.into_parts();
        let body = Limited::new(body, MAX_ANSWER).collect().await;
        // A body that was cut short is an error here, and never a shorter body.
        let Ok(body) = body else {
            return TargetEnd::Unknown(Reason::LostAnswer);
        };
        let headers = &head.headers;
        if !self.answers(attempt, headers) {
            // An answer to an earlier request that came twice. The one to ours
            // would follow, but nothing says which bytes belong to it.
            return TargetEnd::Unknown(Reason::LostAnswer);
        }
        let end = self.interpret(head.status, headers, &body.to_bytes());
        self.pool.put_back(connection, headers);
        end
    }

    /// Whether the answer is one to this request.
    fn answers(&self, attempt: &Attempt, headers: &HeaderMap) -> bool {
        let id = headers.get(&self.names.request_id);
        id.is_none_or(|it| it.as_bytes() == attempt.call.request_id.as_bytes())
    }

    fn interpret(&self, status: StatusCode, headers: &HeaderMap, body: &Bytes) -> TargetEnd {
        let has = |name: &HeaderName| headers.contains_key(name);
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        if misdirected || has(&self.names.not_run) {
            let reason = if misdirected {
                Reason::NoUpstream
            } else {
                Reason::Shed
            };
            return TargetEnd::NotRun {
                refusal: Refusal::retry(reason, retry_after(headers)),
                arrived: true,
                actual: text(headers, &self.names.upstream).filter(|_| misdirected),
            };
        }
        let is_whole = has(&self.names.signature) && has(&self.names.request_id);
        if status.is_success() && !is_whole {
            return TargetEnd::Unknown(Reason::LostAnswer);
        }
        let passed = headers
            .iter()
            .filter(|(name, _)| !is_of_connection(name.as_str()));
        let headers = passed.map(|(name, value)| Header {
            name: name.as_str().to_smolstr(),
            value: value.as_bytes().to_vec(),
        });
        TargetEnd::Answered(Arc::new(Answer {
            status: status.as_u16(),
            headers: headers.collect(),
            body: body.to_vec(),
        }))
    }
}

fn text(headers: &HeaderMap, name: &HeaderName) -> Option<SmolStr> {
    headers.get(name)?.to_str().ok().map(SmolStr::new)
}

fn retry_after(headers: &HeaderMap) -> Duration {
    let seconds = text(headers, &RETRY_AFTER).and_then(|it| it.parse().ok());
    let stated = seconds.and_then(|it| Duration::try_from_secs_f64(it).ok());
    stated.unwrap_or(SHED_RETRY)
}

fn closes(headers: &HeaderMap) -> bool {
    let connection = headers.get(CONNECTION).and_then(|it| it.to_str().ok());
    connection.is_some_and(|it| it.to_ascii_lowercase().contains("close"))
}
