use std::collections::BTreeMap;
use std::sync::Arc;

use stoatstep_calls::RouteTable;
use stoatstep_resource::{Resource, Route, Share, State, VersionedResource};

fn route(name: &str, host: Option<&str>, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.map(Into::into),
        prefix: prefix.into(),
        service: name.into(),
        split: Vec::new(),
        policy: None,
        idempotent: false,
        public: false,
    }
}

fn table(routes: &[Route]) -> RouteTable {
    let held = routes.iter().map(|route| VersionedResource {
        revision: 1,
        resource: Arc::new(Resource::Route(route.clone())),
    });
    RouteTable::new(&State::from_snapshot(1, held).expect("names differ"))
}

fn found(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table
        .find(host, path)
        .map(|it| it.route.name.as_str().to_owned())
}

#[test]
fn the_longest_prefix_of_whole_segments_wins() {
    let table = table(&[
        route("all", None, "/"),
        route("floats", None, "/floats"),
        route("limits", None, "/floats/limits"),
    ]);
    let name =
        |path| found(&table, "any.example", path).expect("the first route matches every path");
    assert_eq!(name("/floats"), "floats");
    assert_eq!(name("/floats/7"), "floats");
    assert_eq!(name("/floats/limits/7"), "limits");
    assert_eq!(name("/floatsome"), "all");
    assert_eq!(name("/"), "all");
}

#[test]
fn a_prefix_with_a_slash_at_its_end_does_not_match_without_it() {
    let table = table(&[route("floats", None, "/floats/")]);
    assert_eq!(found(&table, "a", "/floats/7").as_deref(), Some("floats"));
    assert_eq!(found(&table, "a", "/floats/").as_deref(), Some("floats"));
    assert_eq!(found(&table, "a", "/floats"), None);
}

#[test]
fn routes_of_the_host_go_before_those_of_any_host() {
    let table = table(&[
        route("here", Some("here.example"), "/floats/"),
        route("anywhere", None, "/floats/"),
    ]);
    let name = |host| found(&table, host, "/floats/7").expect("one of the two routes matches");
    assert_eq!(name("here.example"), "here");
    assert_eq!(name("HERE.example:8080"), "here");
    assert_eq!(name("there.example"), "anywhere");
}

/// The services of a split are compared by their results for their shares of the calls. A
/// daemon gets few calls of a route, so calls are distributed at random and not in turn.
#[test]
fn a_split_distributes_calls_by_weight() {
    let mut split = route("floats", None, "/");
    split.split = [("old", 90), ("new", 10)]
        .map(|(service, weight)| Share {
            service: service.into(),
            weight,
        })
        .to_vec();
    let table = table(&[split]);
    let resolved = table.find("a", "/").expect("the route matches every path");
    let mut counts = BTreeMap::new();
    for draw in 0..1_000 {
        *counts.entry(resolved.service(draw).clone()).or_insert(0) += 1;
    }
    assert_eq!(counts["old"], 900);
    assert_eq!(counts["new"], 100);
}
