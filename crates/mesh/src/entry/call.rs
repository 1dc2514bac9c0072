//! Reads a caller's request, routes it and identifies the caller.

use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use ntex::http::Request;
use ntex::http::header::HeaderMap;
use rand::RngExt;
use smol_str::{SmolStr, ToSmolStr};
use stoatstep_body::Body;
use stoatstep_calls::{
    AUTHORIZATION_HEADER, Deadline, Header, Reason, Refusal, ResolvedRoute, Time, is_hop_by_hop,
};
use stoatstep_http::{BodyError, poll_twice, read_request_body};
use stoatstep_resource::{Quota, Version};
use tokio::time::sleep;

use super::late::LateCall;
use super::open::Progress;
use crate::identity::{self, KeyCheck};
use crate::node::Node;
use crate::wire::CallParts;

/// Retry delay given to callers while the daemon has no configuration yet.
const NOT_READY_RETRY: Duration = Duration::from_millis(250);

/// Retry delay given to callers while the daemon drains. Other daemons can take the call at
/// once, but the caller's load balancer has to notice that this one is not ready.
pub(super) const DRAINING_RETRY: Duration = Duration::from_millis(100);

/// Retry delay given to callers for whose bodies there is no memory, or not in time. Bodies that are
/// being received get that far, or are evicted.
const BODY_RETRY: Duration = Duration::from_millis(500);

/// Priority of calls for which neither the customer nor the policy sets one: after all
/// others.
const LOWEST_PRIORITY: u8 = u8::MAX;

/// A caller's request, routed and read completely.
pub(super) struct Call {
    /// Version of the configuration by which the call was routed.
    pub(super) version: Version,
    pub(super) route: Arc<ResolvedRoute>,
    pub(super) deadline: Deadline,
    /// When the route's latency objective is missed.
    pub(super) objective: Time,
    /// Set for routes whose calls are served after their objective as well.
    pub(super) late: Option<LateCall>,
    /// Quota of the caller's customer, if it has one.
    pub(super) quota: Option<Quota>,
    pub(super) parts: Rc<CallParts>,
    pub(super) progress: Rc<Progress>,
}

impl Call {
    /// Time left to answer the call: to its deadline, or until this daemon exits.
    pub(super) fn time_left(&self, node: &Node) -> Duration {
        let by = node.departure.get().answer_by(self.deadline.expires());
        by.saturating_sub(node.clock.now())
    }

    pub(super) async fn read(node: &Rc<Node>, req: &mut Request) -> Result<Self, Refusal> {
        let now = node.clock.now();
        let Some(in_force) = node.fleet.in_force() else {
            return Err(Refusal::retry(Reason::NotReady, NOT_READY_RETRY));
        };
        let host = header_text(req.headers(), "host").unwrap_or_default();
        let Some(route) = in_force.routes.find(&host, req.path()).cloned() else {
            return Err(Refusal::permanent(Reason::NoRoute));
        };
        let header_names = &node.cfg.header_names;
        let Some(request_id) = header_text(req.headers(), &header_names.request_id) else {
            return Err(Refusal::permanent(Reason::BadRequest));
        };
        let stated = stated_timeout(node, req);
        let deadline = Deadline::after(effective_timeout(stated, &route), now);
        if !node.departure.get().accepts(deadline.expires(), now) {
            return Err(Refusal::retry(Reason::Draining, DRAINING_RETRY));
        }
        let check = KeyCheck::of(&in_force, node.fleet.had_customers());
        let caller = identity::identify(node, &in_force, &route, req.headers())?;
        let body = receive_body(node, req, deadline).await?;
        let draw = node.entry.tables.borrow_mut().rng.random();
        let path = req.uri().path_and_query();
        let parts = CallParts {
            request_id,
            service: route.service(draw).clone(),
            method: req.method().as_str().to_smolstr(),
            path: path.map_or_else(|| "/".into(), |it| it.as_str().to_smolstr()),
            host,
            headers: forwarded_headers(node, req.headers(), check == KeyCheck::Off),
            body,
            idempotent: route.route.idempotent,
            route: route.route.name.clone(),
            priority: caller
                .priority
                .or(route.policy.priority)
                .unwrap_or(LOWEST_PRIORITY),
            caller_service: node.executor.service(now).unwrap_or_else(|| node.service()),
            identity: caller.identity,
        };
        let late = LateCall::recognise(node, &route, &parts, stated.unwrap_or(deadline.left(now)));
        let objective = match &late {
            Some(late) => late.first_sent + objective_of(&route),
            None => objective(&route, deadline, now),
        };
        Ok(Self {
            version: in_force.version(),
            objective,
            late,
            quota: caller.quota,
            route,
            deadline,
            parts: Rc::new(parts),
            progress: Rc::default(),
        })
    }
}

/// Receives the body of a request. It is kept until the call ends, so that the call can be sent to
/// another target if an attempt did not run. Nothing was passed on when this fails.
async fn receive_body(node: &Node, req: &mut Request, deadline: Deadline) -> Result<Body, Refusal> {
    let mut reading = pin!(read_request_body(req, &node.memory.requests));
    let body = match poll_twice(reading.as_mut()).await {
        // Most bodies arrive with their heads.
        Poll::Ready(body) => body,
        Poll::Pending => tokio::select! {
            biased;
            body = reading => body,
            () = sleep(deadline.left(node.clock.now())) => {
                return Err(Refusal::retry(Reason::Deadline, BODY_RETRY));
            }
            () = node.exit.wait() => {
                return Err(Refusal::retry(Reason::Draining, DRAINING_RETRY));
            }
        },
    };
    body.map_err(|err| match err {
        BodyError::TooLarge => Refusal::permanent(Reason::TooLarge),
        BodyError::CutShort => Refusal::permanent(Reason::BadRequest),
        BodyError::NoMemory | BodyError::Stalled => Refusal::retry(Reason::MemoryFull, BODY_RETRY),
    })
}

/// The time that the caller is going to wait, if it states one.
fn stated_timeout(node: &Node, req: &Request) -> Option<Duration> {
    let stated = header_text(req.headers(), &node.cfg.header_names.timeout_ms)?;
    stated.parse().ok().map(Duration::from_millis)
}

/// The caller's timeout or the one of the route's policy, whichever is shorter.
fn effective_timeout(stated: Option<Duration>, route: &ResolvedRoute) -> Duration {
    let bound = route.policy.timeout;
    stated.map_or(bound, |it| it.min(bound))
}

fn objective_of(route: &ResolvedRoute) -> Duration {
    let policy = &route.policy;
    policy.latency_objective.unwrap_or(policy.timeout)
}

/// When the latency objective is missed. A caller that retries after a refusal sends a
/// shorter timeout than the policy allows; the time that it has already spent counts
/// against the objective.
fn objective(route: &ResolvedRoute, deadline: Deadline, now: Time) -> Time {
    let used = route.policy.timeout.saturating_sub(deadline.left(now));
    now + objective_of(route).saturating_sub(used)
}

fn header_text(map: &HeaderMap, name: &str) -> Option<SmolStr> {
    map.get(name)?.to_str().ok().map(SmolStr::new)
}

/// The headers that are forwarded to the target. Hop-by-hop headers are dropped, and so
/// are those that the daemon writes itself, so that no caller can forge them. Customers'
/// keys are dropped as well if there are or were any, since targets must not see them.
fn forwarded_headers(node: &Node, map: &HeaderMap, forwards_credential: bool) -> Vec<Header> {
    let named = header_text(map, "connection").unwrap_or_default();
    let named = named.to_ascii_lowercase();
    let of_connection =
        |name: &str| is_hop_by_hop(name) || named.split(',').any(|it| it.trim() == name);
    let header_names = &node.cfg.header_names;
    let own = [
        &header_names.request_id,
        &header_names.timeout_ms,
        &header_names.caller_service,
        &header_names.expected_upstream,
        &header_names.customer,
    ];
    let is_set_by_daemon = |name: &str| {
        own.iter().any(|it| *it == name) || name == AUTHORIZATION_HEADER && !forwards_credential
    };
    let all = map.iter().map(|(name, value)| (name.as_str(), value));
    let forwarded = all.filter(|(name, _)| !of_connection(name) && !is_set_by_daemon(name));
    let header = forwarded.map(|(name, value)| Header {
        name: name.to_smolstr(),
        value: value.as_bytes().to_vec(),
    });
    header.collect()
}
