//! HTTP client for the target beside this daemon.

mod dropped_answers;
mod idle_limit;
mod names;
mod outcome;
mod pool;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Uri};
use slog::Logger;
use smol_str::{SmolStr, ToSmolStr};
use stoatstep_body::Body;
use stoatstep_calls::{
    Answer, Header, Reason, Refusal, TargetStatement, is_final_status, is_hop_by_hop,
};
use stoatstep_http::{AnswerMemory, BodyMemory, ExpectedAnswer, OutgoingBody};
use stoatstep_membership::target_id_of;
use stoatstep_resource::UpstreamName;
use stoatstep_telemetry::fields;

use super::mismatch::Mismatch;
use crate::clock::Clock;
use crate::config::MeshConfig;
use crate::wire::Attempt;
use dropped_answers::DroppedAnswers;
use names::ParsedHeaderNames;
pub(super) use outcome::{LostCause, TargetOutcome};
use pool::{Connection, Need, Pool};

/// Largest body of an answer to a health request. Its content is ignored.
const MAX_HEALTH_BODY: usize = 16 << 10;

/// Retry delay if the target is unreachable, or refuses a request without stating a delay.
const DEFAULT_RETRY: Duration = Duration::from_millis(100);

/// The target's answer to a health request.
#[derive(Clone, Debug)]
pub(super) struct Health {
    /// A success status if the target accepts calls.
    pub(super) status: StatusCode,
    /// The generation that answered.
    pub(super) upstream: Option<UpstreamName>,
    /// What the answer states about that generation.
    pub(super) statement: TargetStatement,
}

/// Client for one target: its address, a connection pool and the names of its headers.
pub(super) struct Target {
    addr: SocketAddr,
    pool: Pool,
    names: ParsedHeaderNames,
    memory: AnswerMemory,
    log: Logger,
}

impl Target {
    pub(super) fn new(cfg: &MeshConfig, answers: BodyMemory, clock: Clock, log: Logger) -> Self {
        let (addr, header_names) = (cfg.addresses.target, &cfg.header_names);
        Self {
            addr,
            memory: AnswerMemory::new(answers),
            pool: Pool::new(addr, header_names.request_id.clone(), clock),
            names: ParsedHeaderNames::new(header_names),
            log,
        }
    }

    /// Sends the attempt's request and waits for the answer. Dropping the future closes the
    /// connection, which tells the target that nobody waits any more.
    ///
    /// `on_statement` gets what the head of an answer states about this generation of the
    /// target, before the body is read: a body can be cut short or last longer than the call.
    /// It is not called if the request did not run and its answer states nothing. `on_foreign`
    /// gets each answer that belongs to another request.
    pub(super) async fn call(
        &self,
        attempt: &Attempt,
        left: Duration,
        on_statement: impl Fn(TargetStatement),
        on_foreign: impl Fn(&Mismatch),
    ) -> TargetOutcome {
        let Some(mut req) = self.request(attempt, left) else {
            return TargetOutcome::NotRun {
                refusal: Refusal::permanent(Reason::BadRequest),
                arrived: false,
                actual: None,
            };
        };
        let need = if attempt.call.idempotent {
            Need::New(&attempt.call.request_id)
        } else {
            Need::Identified(&attempt.call.request_id)
        };
        loop {
            let Some(connection) = self.pool.take(need).await else {
                return TargetOutcome::unreachable(DEFAULT_RETRY);
            };
            let sent = self.call_on(connection, req, attempt, &on_statement, &on_foreign);
            match sent.await {
                Ok(outcome) => return outcome,
                // The target closed an idle connection just before it was used.
                Err(unsent) => req = unsent,
            }
        }
    }

    /// Sends the attempt's request on this connection. An error that returns the request means
    /// that no byte of it was sent.
    async fn call_on(
        &self,
        mut connection: Connection,
        req: Request<OutgoingBody>,
        attempt: &Attempt,
        on_statement: &impl Fn(TargetStatement),
        on_foreign: &impl Fn(&Mismatch),
    ) -> Result<TargetOutcome, Request<OutgoingBody>> {
        let request_id = &attempt.call.request_id;
        let dropped = DroppedAnswers {
            filter: Rc::clone(connection.filter()),
            field: &self.names.request_id,
            request_id,
            on_foreign,
        };
        let expected = ExpectedAnswer::ToRequest(request_id.clone());
        match connection.send(req, expected).await {
            Ok(res) => {
                if !is_final_status(res.status().as_u16()) {
                    return Ok(TargetOutcome::Lost(LostCause::InvalidStatus));
                }
                if let Some(mismatch) = self.mismatch(attempt, res.headers()) {
                    // Its end is unknown, and with it where the answer to this attempt starts.
                    on_foreign(&mismatch);
                    return Ok(TargetOutcome::Lost(LostCause::OtherRequest));
                }
                if let Some(statement) = self.statement(res.status(), res.headers()) {
                    on_statement(statement);
                }
                Ok(self.read(connection, res).await)
            }
            Err(Some(unsent)) => Err(unsent),
            Err(None) if dropped.is_any() => Ok(TargetOutcome::Lost(LostCause::OtherRequest)),
            Err(None) => {
                self.report_failed(&connection);
                Ok(TargetOutcome::Lost(LostCause::NoAnswer))
            }
        }
    }

    /// What an answer to a call states about the generation that the call was meant for. A
    /// misdirected request was answered by another one.
    fn statement(&self, status: StatusCode, headers: &HeaderMap) -> Option<TargetStatement> {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return None;
        }
        let statement = self.decode_statement(headers);
        let did_run = !headers.contains_key(&self.names.not_run);
        (did_run || !statement.is_empty()).then_some(statement)
    }

    fn decode_statement(&self, headers: &HeaderMap) -> TargetStatement {
        let values = |name| headers.get_all(name).into_iter().map(HeaderValue::as_bytes);
        TargetStatement::decode(values(&self.names.limit), values(&self.names.leaving))
    }

    fn report_failed(&self, connection: &Connection) {
        if let Some(limit) = self.pool.failed(connection) {
            slog::info!(self.log, "target drops idle connections";
                fields::UNUSED_AFTER_MS => limit.as_millis());
        }
    }

    /// Sends a health request; `None` if the target does not answer.
    pub(super) async fn health(&self, path: &str) -> Option<Health> {
        let req = Request::get(path).header(HOST, self.addr.to_string());
        let req = req.body(Body::default().into()).ok()?;
        let mut connection = self.pool.take(Need::Any).await?;
        let answer = connection.send(req, ExpectedAnswer::WithoutId).await;
        let answer = answer
            .ok()
            .filter(|it| is_final_status(it.status().as_u16()));
        let (head, body) = answer?.into_parts();
        let body = Limited::new(body, MAX_HEALTH_BODY).collect().await;
        body.ok()?;
        connection.record(None, true);
        self.pool.put_back(connection, &head.headers);
        Some(Health {
            status: head.status,
            upstream: header_text(&head.headers, &self.names.upstream),
            statement: self.decode_statement(&head.headers),
        })
    }

    /// Whether the target's process accepts connections; `false` only if a connection is
    /// refused.
    pub(super) async fn listens(&self) -> bool {
        self.pool.listens().await
    }

    /// Whether the target's process still accepts connections, a moment after it did. An
    /// open idle connection counts as well.
    pub(super) async fn still_listens(&self) -> bool {
        self.pool.has_open() || self.pool.listens().await
    }

    /// Closes all idle connections, after another generation of the target has started. A
    /// request on one of them would be reset and its outcome unknown.
    pub(super) fn close_idle(&self) {
        self.pool.clear();
    }

    /// Closes idle connections that the target is about to close itself.
    pub(super) fn close_expired(&self) {
        self.pool.close_expired();
    }

    fn request(&self, attempt: &Attempt, left: Duration) -> Option<Request<OutgoingBody>> {
        let call = &attempt.call;
        let body = OutgoingBody::from(call.body.clone());
        let (mut parts, body) = Request::new(body).into_parts();
        parts.method = call.method.parse().ok()?;
        parts.uri = call.path.parse::<Uri>().ok()?;
        for header in &call.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            let value = HeaderValue::from_bytes(&header.value).ok()?;
            parts.headers.append(name, value);
        }
        self.add_daemon_headers(&mut parts, attempt, left)?;
        Some(Request::from_parts(parts, body))
    }

    fn add_daemon_headers(
        &self,
        parts: &mut Parts,
        attempt: &Attempt,
        left: Duration,
    ) -> Option<()> {
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

    async fn read(&self, mut connection: Connection, res: Response<Incoming>) -> TargetOutcome {
        let (head, body) = res.into_parts();
        let body = match self.memory.read(body).await {
            Ok(body) => body,
            Err(err) => return TargetOutcome::Lost(err.into()),
        };
        let headers = &head.headers;
        let end = self.interpret(head.status, headers, body);
        let stated_id = headers.get(&self.names.request_id);
        let is_answered = matches!(end, TargetOutcome::Answered(_));
        if is_answered && stated_id.is_none() {
            // A copy of it would pass for the answer to any idempotent request on the connection,
            // and be passed on to its caller.
            return end;
        }
        let is_last = head.status.is_success() && is_answered;
        connection.record(stated_id.map(HeaderValue::as_bytes), is_last);
        self.pool.put_back(connection, headers);
        end
    }

    /// What shows that the answer belongs to another request than this one.
    fn mismatch(&self, attempt: &Attempt, headers: &HeaderMap) -> Option<Mismatch> {
        let field = &self.names.request_id;
        let stated = headers.get(field)?;
        Mismatch::find(field, &attempt.call.request_id, stated.as_bytes())
    }

    fn interpret(&self, status: StatusCode, headers: &HeaderMap, body: Body) -> TargetOutcome {
        let has = |name: &HeaderName| headers.contains_key(name);
        let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        if is_misdirected || has(&self.names.not_run) {
            let reason = if is_misdirected {
                Reason::NoUpstream
            } else {
                Reason::Shed
            };
            return TargetOutcome::NotRun {
                refusal: Refusal::retry(reason, retry_after(headers)),
                arrived: true,
                actual: header_text(headers, &self.names.upstream).filter(|_| is_misdirected),
            };
        }
        let is_complete = has(&self.names.signature) && has(&self.names.request_id);
        if status.is_success() && !is_complete {
            return TargetOutcome::Lost(LostCause::Unsigned);
        }
        let forwarded = headers
            .iter()
            .filter(|(name, _)| !is_hop_by_hop(name.as_str()));
        let headers = forwarded.map(|(name, value)| Header {
            name: name.as_str().to_smolstr(),
            value: value.as_bytes().to_vec(),
        });
        TargetOutcome::Answered(Arc::new(Answer {
            status: status.as_u16(),
            headers: headers.collect(),
            body,
        }))
    }
}

fn header_text(headers: &HeaderMap, name: &HeaderName) -> Option<SmolStr> {
    headers.get(name)?.to_str().ok().map(SmolStr::new)
}

fn retry_after(headers: &HeaderMap) -> Duration {
    let seconds = header_text(headers, &RETRY_AFTER).and_then(|it| it.parse().ok());
    let stated = seconds.and_then(|it| Duration::try_from_secs_f64(it).ok());
    stated.unwrap_or(DEFAULT_RETRY)
}

fn closes_connection(headers: &HeaderMap) -> bool {
    let connection = headers.get(CONNECTION).and_then(|it| it.to_str().ok());
    connection.is_some_and(|it| it.to_ascii_lowercase().contains("close"))
}
