//! Handles the status of the fleet and the request for a graceful stop.

use std::rc::Rc;

use ntex::http::{Response, StatusCode};
use smol_str::ToSmolStr;
use stoatstep_resource::wire::{HistogramStatus, StatusAnswer};

use crate::http::json;
use crate::node::Node;

/// Answers `GET /v1/status`.
pub(super) async fn handle(node: &Rc<Node>) -> Response {
    let in_force = node.control.in_force();
    let fleet = node.control.fleet_status(node).await;
    let status = StatusAnswer {
        instance: node.cfg.instance.clone(),
        region: node.cfg.region.clone(),
        zone: node.cfg.zone.clone(),
        version_held: node.control.version_held(),
        version_in_force: in_force.state.version(),
        digest: in_force.digest.to_smolstr(),
        draining: node.draining.get(),
        members: fleet.members,
        holds: fleet.holds,
        quarantine: fleet.quarantine,
        histograms: histograms(node),
        traffic: node.control.traffic.status(),
    };
    json(StatusCode::OK, &status)
}

/// Answers `POST /v1/drain`, which starts the same graceful stop as SIGTERM.
pub(super) fn drain(node: &Rc<Node>) -> Response {
    slog::info!(node.log, "drain requested by an operator");
    crate::call::drain::start(node);
    Response::build(StatusCode::ACCEPTED).finish()
}

fn histograms(node: &Node) -> Vec<HistogramStatus> {
    let series = node.calls.histograms.borrow().series();
    series
        .into_iter()
        .map(|it| HistogramStatus {
            tenant: it.tenant,
            class: it.class,
            stage: it.stage.as_str().into(),
            count: it.summary.count,
            p50_us: it.summary.p50_us,
            p90_us: it.summary.p90_us,
            p99_us: it.summary.p99_us,
            max_us: it.summary.max_us,
        })
        .collect()
}
