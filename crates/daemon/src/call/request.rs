//! Reads and validates a caller's request. All errors in its headers are reported at once.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::http::header::{HeaderMap, HeaderValue};
use ntex::http::{Method, Request};
use rand::RngExt;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use stoatstep_body::Body;
use stoatstep_calls::{
    AUTHORIZATION_HEADER, Class, Deadline, Header, IdempotencyKey, KeyText, Reason, Refusal,
    ResolvedRoute, bearer_key, upstream_set_id,
};
use stoatstep_resource::{CustomerName, ServiceName, TenantLimit};

use super::executor::DRAINING_RETRY;
use super::headers;
use super::wire::WireCall;
use crate::http::{BodyError, read_request_body};
use crate::in_force::InForce;
use crate::node::Node;

/// Largest request body. The body is buffered until the call ends, so that an attempt that did not
/// run can be sent again.
pub(super) const MAX_BODY: usize = 256 << 10;

/// Longest name of a tenant, in bytes.
const MAX_TENANT_LEN: usize = 64;

/// Tenant of callers that name none.
const DEFAULT_TENANT: CustomerName = SmolStr::new_static("default");

/// Longest accepted request id, in bytes.
const MAX_REQUEST_ID_LEN: usize = 64;

/// Retry delay sent to callers while this daemon may not serve yet.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);

/// Retry delay sent to callers for whose bodies there is no memory.
const BODY_RETRY: Duration = Duration::from_millis(500);

/// Weight of a tenant that the policy does not name.
const DEFAULT_WEIGHT: u32 = 1;

/// A request that was rejected before any attempt.
pub(super) struct Rejected {
    pub(super) refusal: Refusal,
    /// The errors in the request's headers; each becomes a line of the response.
    pub(super) findings: Vec<SmolStr>,
}

impl Rejected {
    /// Rejects a request because the daemon does not know yet which configuration version it may
    /// use. With the empty configuration that it starts with, no path would have a route, and
    /// callers would take that answer as final.
    fn not_ready() -> Self {
        Self {
            refusal: Refusal::retry(Reason::NotReady, NOT_READY_RETRY),
            findings: Vec::new(),
        }
    }

    /// Rejects a request because the daemon is draining.
    pub(super) fn draining() -> Self {
        Self {
            refusal: Refusal::retry(Reason::Draining, DRAINING_RETRY),
            findings: Vec::new(),
        }
    }

    /// Rejects a request for whose body there is no memory.
    fn no_memory() -> Self {
        Self {
            refusal: Refusal::retry(Reason::MemoryFull, BODY_RETRY),
            findings: Vec::new(),
        }
    }

    fn permanent(reason: Reason) -> Self {
        Self {
            refusal: Refusal::permanent(reason),
            findings: Vec::new(),
        }
    }
}

/// A caller's request.
pub(super) struct Call {
    /// The configuration in force when the call arrived; it is used until the call ends.
    pub(super) in_force: Rc<InForce>,
    pub(super) route: Arc<ResolvedRoute>,
    pub(super) deadline: Deadline,
    /// The idempotency key; `None` if the call has none or is idempotent anyway.
    pub(super) key: Option<IdempotencyKey>,
    pub(super) parts: Rc<WireCall>,
}

impl Call {
    pub(super) async fn read(node: &Rc<Node>, req: &mut Request) -> Result<Self, Rejected> {
        let now = node.calls.clock.now();
        if !node.control.may_serve() {
            return Err(Rejected::not_ready());
        }
        let in_force = node.control.in_force();
        let route = in_force.route(host(req), req.path());
        let Some(route) = route.cloned() else {
            return Err(Rejected::permanent(Reason::NoRoute));
        };
        let customer = customer(&in_force, &route, req.headers())?;
        let mut head = CallHeaders::read(req.headers())?;
        if in_force.keys.are_checked() {
            head.tenant = customer.unwrap_or(DEFAULT_TENANT);
        }
        let body = read_request_body(req, &node.calls.bodies).await;
        let body = body.map_err(|err| match err {
            BodyError::TooLarge => Rejected::permanent(Reason::TooLarge),
            BodyError::CutShort => Rejected::permanent(Reason::BadRequest),
            BodyError::NoMemory | BodyError::Stalled => Rejected::no_memory(),
        })?;
        let timeout = head.timeout.unwrap_or(route.policy.timeout);
        let idempotent = route.route.idempotent || is_idempotent(req.method());
        let key = head.key.clone().filter(|_| !idempotent);
        let draw = match &key {
            Some(key) => key.draw(),
            None => node.calls.entry.borrow_mut().rng.random(),
        };
        let service = route.service(draw).clone();
        let key = key.map(|key| IdempotencyKey {
            service: service.clone(),
            tenant: head.tenant.clone(),
            key,
        });
        let parts = wire_call(req, &in_force, (&route, service), head, body, idempotent);
        Ok(Self {
            in_force,
            route,
            deadline: Deadline::after(timeout, now),
            key,
            parts: Rc::new(parts),
        })
    }
}

fn wire_call(
    req: &Request,
    in_force: &InForce,
    (route, service): (&ResolvedRoute, ServiceName),
    head: CallHeaders,
    body: Body,
    idempotent: bool,
) -> WireCall {
    let names = in_force.upstreams_of(&service);
    let of_tenant = |it: &&TenantLimit| it.tenant == head.tenant;
    let limit = route.policy.limits.iter().find(of_tenant);
    let key = head.key.filter(|_| !idempotent);
    let path = req.uri().path_and_query();
    WireCall {
        method: req.method().as_str().to_smolstr(),
        path: path.map_or_else(|| "/".into(), |it| it.as_str().to_smolstr()),
        headers: forwarded_headers(req.headers(), !in_force.keys.are_checked()),
        body,
        class: head.class,
        depth: head.depth,
        idempotent,
        key: key.map(|key| key.text().clone()),
        set: upstream_set_id(&names.iter().cloned().collect()),
        weight: limit.map_or(DEFAULT_WEIGHT, |it| it.weight),
        concurrency: limit.and_then(|it| it.concurrency),
        request_id: head.request_id,
        tenant: head.tenant,
        service,
    }
}

/// The value of the `host` header, or an empty string.
fn host(req: &Request) -> &str {
    let named = req.headers().get("host").and_then(|it| it.to_str().ok());
    named.unwrap_or_default()
}

/// Finds the customer whose key the caller presents. Returns `None` if the caller presents no
/// valid key and the route does not need one.
fn customer(
    in_force: &InForce,
    route: &ResolvedRoute,
    map: &HeaderMap,
) -> Result<Option<CustomerName>, Rejected> {
    let credentials = map.get_all(AUTHORIZATION_HEADER).map(HeaderValue::as_bytes);
    let key = bearer_key(credentials).ok();
    let holder = key.and_then(|it| in_force.keys.holder(&it));
    if holder.is_none() && !route.route.public && in_force.keys.are_checked() {
        return Err(Rejected::permanent(Reason::Unauthenticated));
    }
    Ok(holder.map(|it| it.name.clone()))
}

fn is_idempotent(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET | Method::HEAD | Method::OPTIONS | Method::TRACE | Method::PUT | Method::DELETE
    )
}

/// The headers that are forwarded to the target. If there are customers, their keys are not: no
/// target should receive one.
fn forwarded_headers(map: &HeaderMap, forwards_credential: bool) -> Vec<Header> {
    let all = map.iter();
    let is_allowed = |name: &str| {
        headers::is_forwarded(name) && (forwards_credential || name != AUTHORIZATION_HEADER)
    };
    let forwarded = all.filter(|(name, _)| is_allowed(name.as_str()));
    let header = forwarded.map(|(name, value)| Header {
        name: name.as_str().to_smolstr(),
        value: value.as_bytes().to_vec(),
    });
    header.collect()
}

/// Values of the headers that the daemon itself reads.
struct CallHeaders {
    tenant: SmolStr,
    class: Class,
    timeout: Option<Duration>,
    depth: u32,
    key: Option<KeyText>,
    request_id: SmolStr,
}

impl CallHeaders {
    fn read(map: &HeaderMap) -> Result<Self, Rejected> {
        let mut findings = Vec::new();
        let head = Self {
            tenant: tenant(map, &mut findings),
            class: field(map, headers::CLASS, &mut findings, |text| {
                Class::try_from(text).map_err(|err| err.to_smolstr())
            })
            .unwrap_or_default(),
            timeout: field(map, headers::DEADLINE_MS, &mut findings, number)
                .map(|ms| Duration::from_millis(u64::from(ms))),
            depth: field(map, headers::DEPTH, &mut findings, number).unwrap_or_default(),
            key: field(map, headers::IDEMPOTENCY_KEY, &mut findings, |text| {
                KeyText::try_from(text).map_err(|err| err.to_smolstr())
            }),
            request_id: field(map, headers::REQUEST_ID, &mut findings, request_id)
                .unwrap_or_default(),
        };
        if findings.is_empty() {
            return Ok(head);
        }
        Err(Rejected {
            refusal: Refusal::permanent(Reason::BadRequest),
            findings,
        })
    }
}

fn field<T>(
    map: &HeaderMap,
    name: &str,
    findings: &mut Vec<SmolStr>,
    read: impl FnOnce(&str) -> Result<T, SmolStr>,
) -> Option<T> {
    let value = map.get(name)?;
    let text = value.to_str().map_err(|_| "not printable ASCII".into());
    match text.and_then(read) {
        Ok(value) => Some(value),
        Err(why) => {
            findings.push(format_smolstr!("{name}: {why}"));
            None
        }
    }
}

fn number(text: &str) -> Result<u32, SmolStr> {
    text.parse()
        .map_err(|_| "must be a whole number below 2^32".into())
}

fn request_id(text: &str) -> Result<SmolStr, SmolStr> {
    if text.len() > MAX_REQUEST_ID_LEN {
        return Err("has more than 64 characters".into());
    }
    Ok(text.into())
}

fn tenant(map: &HeaderMap, findings: &mut Vec<SmolStr>) -> SmolStr {
    let tenant = field(map, headers::TENANT, findings, |text| {
        if text.is_empty() || text.len() > MAX_TENANT_LEN {
            return Err("must have 1 to 64 characters".into());
        }
        Ok(text.into())
    });
    tenant.unwrap_or(DEFAULT_TENANT)
}
