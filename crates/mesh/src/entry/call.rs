//! Reads a caller's request.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ntex::http::Request;
use ntex::http::header::HeaderMap;
use rand::RngExt;
use smol_str::{SmolStr, ToSmolStr};
use stoatstep_calls::{
    AUTHORIZATION_HEADER, Deadline, Header, Reason, Refusal, ResolvedRoute, Time, is_hop_by_hop,
};
use stoatstep_http::{BodyError, read_body};
use stoatstep_resource::{Quota, Version};

use crate::identity;
use crate::node::Node;
use crate::wire::CallParts;

/// Largest request body. It is kept whole until the call ends, so that an
/// attempt that did not run can be made elsewhere.
const MAX_BODY: usize = 64 << 20;

/// Pause asked for by a daemon that has no configuration yet.
const NOT_READY_RETRY: Duration = Duration::from_millis(250);

/// Pause asked for by a daemon that is about to end. Other daemons are there at
/// once, but the caller has to notice that this one is not ready.
const DRAINING_RETRY: Duration = Duration::from_millis(100);

/// Rank of calls whose policy states none: after those that have one.
const LEAST_PRIORITY: u8 = u8::MAX;

/// A caller's request.
pub(super) struct Call {
    /// Configuration that it was routed by.
    pub(super) version: Version,
    pub(super) route: Arc<ResolvedRoute>,
    pub(super) deadline: Deadline,
    /// Until when an answer is worth its full price.
    pub(super) objective: Time,
    /// Quota that it is charged to.
    pub(super) quota: Option<Quota>,
    pub(super) parts: Rc<CallParts>,
}

impl Call {
    pub(super) async fn read(node: &Rc<Node>, req: &mut Request) -> Result<Self, Refusal> {
        let now = node.clock.now();
        let Some(in_force) = node.fleet.in_force() else {
            return Err(Refusal::retry(Reason::NotReady, NOT_READY_RETRY));
        };
        let host = text(req.headers(), "host").unwrap_or_default();
        let Some(route) = in_force.routes.find(&host, req.path()).cloned() else {
            return Err(Refusal::permanent(Reason::NoRoute));
        };
        let dialect = &node.cfg.dialect;
        let Some(request_id) = text(req.headers(), &dialect.request_id) else {
            return Err(Refusal::permanent(Reason::BadRequest));
        };
        let deadline = Deadline::after(time_left(node, req, &route), now);
        if !node.departure.get().accepts(deadline.expires(), now) {
            return Err(Refusal::retry(Reason::Draining, DRAINING_RETRY));
        }
        let caller = identity::identify(node, &in_force, &route, req.headers())?;
        let body = read_body(req.take_payload(), MAX_BODY).await;
        let body = body.map_err(|err| match err {
            BodyError::TooLarge => Refusal::permanent(Reason::TooLarge),
            BodyError::CutShort => Refusal::permanent(Reason::BadRequest),
        })?;
        let draw = node.entry.tables.borrow_mut().rng.random();
        let path = req.uri().path_and_query();
        let parts = CallParts {
            request_id,
            service: route.service(draw).clone(),
            method: req.method().as_str().to_smolstr(),
            path: path.map_or_else(|| "/".into(), |it| it.as_str().to_smolstr()),
            host,
            headers: passed(node, req.headers(), in_force.keys.is_empty()),
            body: Bytes::copy_from_slice(&body),
            idempotent: route.route.idempotent,
            route: route.route.name.clone(),
            priority: caller
                .priority
                .or(route.policy.priority)
                .unwrap_or(LEAST_PRIORITY),
            caller_service: node
                .executor
                .service()
                .unwrap_or_else(|| node.cfg.service.clone()),
            identity: caller.identity,
        };
        Ok(Self {
            version: in_force.version(),
            objective: objective(&route, deadline, now),
            quota: caller.quota,
            route,
            deadline,
            parts: Rc::new(parts),
        })
    }
}

/// The caller's own bound and the operator's, whichever is shorter.
fn time_left(node: &Node, req: &Request, route: &ResolvedRoute) -> Duration {
    let stated = text(req.headers(), &node.cfg.dialect.timeout_ms);
    let millis = stated.and_then(|it| it.parse().ok());
    let bound = route.policy.timeout;
    millis.map_or(bound, |it| Duration::from_millis(it).min(bound))
}

/// A caller that comes back after a refusal has less time left than the route
/// allows; what it has used counts against the objective.
fn objective(route: &ResolvedRoute, deadline: Deadline, now: Time) -> Time {
    let policy = &route.policy;
    let objective = policy.latency_objective.unwrap_or(policy.timeout);
    let used = policy.timeout.saturating_sub(deadline.left(now));
    now + objective.saturating_sub(used)
}

fn text(map: &HeaderMap, name: &str) -> Option<SmolStr> {
    map.get(name)?.to_str().ok().map(SmolStr::new)
}

/// The headers that go through. Those that this daemon writes itself are left
/// out, so that no caller can forge them. So are keys where there are customers: no
/// target is to get one.
fn passed(node: &Node, map: &HeaderMap, passes_credential: bool) -> Vec<Header> {
    let named = text(map, "connection").unwrap_or_default();
    let named = named.to_ascii_lowercase();
    let of_connection =
        |name: &str| is_hop_by_hop(name) || named.split(',').any(|it| it.trim() == name);
    let dialect = &node.cfg.dialect;
    let own = [
        &dialect.request_id,
        &dialect.timeout_ms,
        &dialect.caller_service,
        &dialect.expected_upstream,
        &dialect.customer,
    ];
    let is_own = |name: &str| {
        own.iter().any(|it| *it == name) || name == AUTHORIZATION_HEADER && !passes_credential
    };
    let all = map.iter().map(|(name, value)| (name.as_str(), value));
    let passed = all.filter(|(name, _)| !of_connection(name) && !is_own(name));
    let header = passed.map(|(name, value)| Header {
        name: name.to_smolstr(),
        value: value.as_bytes().to_vec(),
    });
    header.collect()
}
