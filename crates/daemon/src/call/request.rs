//! Reads a caller's request, with every finding in one go.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::http::header::{HeaderMap, HeaderValue};
use ntex::http::{Method, Request};
use ntex::util::Bytes;
use rand::RngExt;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use stoatstep_calls::{
    AUTHORIZATION_HEADER, Class, Deadline, Header, IdempotencyKey, KeyText, Reason, Refusal,
    ResolvedRoute, bearer_key, upstream_set_id,
};
use stoatstep_resource::{CustomerName, ServiceName, TenantLimit};

use super::headers;
use super::wire::WireCall;
use crate::http::{BodyError, read_body};
use crate::in_force::InForce;
use crate::node::Node;

/// Largest request body. It is kept whole until the call ends, so that an
/// attempt that did not run can be sent again.
const MAX_BODY: usize = 256 << 10;

/// Longest name of a tenant.
const LONGEST_TENANT: usize = 64;

/// Who a caller is that says nothing of itself.
const NO_TENANT: CustomerName = SmolStr::new_static("default");

/// Longest request id that is passed on.
const LONGEST_REQUEST_ID: usize = 64;

/// Pause asked for by a daemon that has just started.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);

/// Weight of a tenant that the policy does not name.
const DEFAULT_WEIGHT: u32 = 1;

/// A request that was not taken.
pub(super) struct Rejected {
    pub(super) refusal: Refusal,
    /// What is wrong with it, one finding a line.
    pub(super) findings: Vec<SmolStr>,
}

impl Rejected {
    /// A daemon that has just started does not know yet which version it may
    /// serve by. Judged by the empty one that it holds, every path would be
    /// without a route, and callers would take that for final.
    fn not_ready() -> Self {
        Self {
            refusal: Refusal::retry(Reason::NotReady, NOT_READY_RETRY),
            findings: Vec::new(),
        }
    }

    fn bare(reason: Reason) -> Self {
        Self {
            refusal: Refusal::permanent(reason),
            findings: Vec::new(),
        }
    }
}

/// A caller's request.
pub(super) struct Call {
    /// The configuration that it began with and keeps.
    pub(super) in_force: Rc<InForce>,
    pub(super) route: Arc<ResolvedRoute>,
    pub(super) deadline: Deadline,
    /// The key, where the call may run only once.
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
            return Err(Rejected::bare(Reason::NoRoute));
        };
        let customer = customer(&in_force, &route, req.headers())?;
        let mut head = Head::read(req.headers())?;
        if !in_force.keys.is_empty() {
            head.tenant = customer.unwrap_or(NO_TENANT);
        }
        let body = read_body(req.take_payload(), MAX_BODY).await;
        let body = body.map_err(|err| match err {
            BodyError::TooLarge => Rejected::bare(Reason::TooLarge),
            BodyError::CutShort => Rejected::bare(Reason::BadRequest),
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
        let parts = parts(req, &in_force, (&route, service), head, body, idempotent);
        Ok(Self {
            in_force,
            route,
            deadline: Deadline::after(timeout, now),
            key,
            parts: Rc::new(parts),
        })
    }
}

fn parts(
    req: &Request,
    in_force: &InForce,
    (route, service): (&ResolvedRoute, ServiceName),
    head: Head,
    body: Bytes,
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
        headers: passed(req.headers(), in_force.keys.is_empty()),
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

/// The host that the caller named.
fn host(req: &Request) -> &str {
    let named = req.headers().get("host").and_then(|it| it.to_str().ok());
    named.unwrap_or_default()
}

/// The customer that holds the caller's key; none where the route needs no key and the
/// caller shows none that opens anything.
fn customer(
    in_force: &InForce,
    route: &ResolvedRoute,
    map: &HeaderMap,
) -> Result<Option<CustomerName>, Rejected> {
    let credentials = map.get_all(AUTHORIZATION_HEADER).map(HeaderValue::as_bytes);
    let key = bearer_key(credentials).ok();
    let holder = key.and_then(|it| in_force.keys.holder(&it));
    if holder.is_none() && !route.route.public && !in_force.keys.is_empty() {
        return Err(Rejected::bare(Reason::Unauthenticated));
    }
    Ok(holder.map(|it| it.name.clone()))
}

fn is_idempotent(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET | Method::HEAD | Method::OPTIONS | Method::TRACE | Method::PUT | Method::DELETE
    )
}

/// The headers that go through. Keys are none of them where there are customers: no target
/// is to get one.
fn passed(map: &HeaderMap, passes_credential: bool) -> Vec<Header> {
    let all = map.iter();
    let goes_on =
        |name: &str| headers::passes(name) && (passes_credential || name != AUTHORIZATION_HEADER);
    let passed = all.filter(|(name, _)| goes_on(name.as_str()));
    let header = passed.map(|(name, value)| Header {
        name: name.as_str().to_smolstr(),
        value: value.as_bytes().to_vec(),
    });
    header.collect()
}

/// The headers that are ours.
struct Head {
    tenant: SmolStr,
    class: Class,
    timeout: Option<Duration>,
    depth: u32,
    key: Option<KeyText>,
    request_id: SmolStr,
}

impl Head {
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
    if text.len() > LONGEST_REQUEST_ID {
        return Err("has more than 64 characters".into());
    }
    Ok(text.into())
}

fn tenant(map: &HeaderMap, findings: &mut Vec<SmolStr>) -> SmolStr {
    let tenant = field(map, headers::TENANT, findings, |text| {
        if text.is_empty() || text.len() > LONGEST_TENANT {
            return Err("must have 1 to 64 characters".into());
        }
        Ok(text.into())
    });
    tenant.unwrap_or(NO_TENANT)
}
