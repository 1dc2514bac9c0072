//! Waiting until a version is in force everywhere.

use serde_json::{Value, json};
use stoatstep_ctl::Exit;

use crate::fake::Fake;
use crate::program::{TempFile, stoatctl_at};

fn status(members: &[(&str, &str, u64)]) -> Value {
    let members: Vec<Value> = members
        .iter()
        .map(|(name, state, version)| {
            json!({"instance": name, "zone": "a", "upstream": name, "incarnation": 1,
                   "state": state, "version": version, "since_unix_ms": 0})
        })
        .collect();
    json!({"instance": "i-1", "region": "r", "zone": "a", "version_held": 2,
           "version_in_force": 2, "digest": "", "members": members})
}

// One instance lags, another is silent and a third has left for good. The wait
// ends once the first two have the version; the third serves nobody.
#[test]
fn apply_waits_for_every_instance_that_may_serve() {
    let fake = Fake::start();
    fake.answer("/v1/changes", 200, json!({"version": 2}))
        .answer(
            "/v1/status",
            200,
            status(&[("i-2", "alive", 1), ("i-3", "suspect", 2)]),
        )
        .answer(
            "/v1/status",
            200,
            status(&[("i-2", "alive", 2), ("i-3", "suspect", 1)]),
        )
        .answer(
            "/v1/status",
            200,
            status(&[("i-2", "alive", 2), ("i-3", "alive", 2), ("i-4", "gone", 1)]),
        );
    let file = TempFile::new("[[service]]\nname = \"floatdesk\"\n");
    let args = format!("apply {} --wait --output json", file.path());
    let done = stoatctl_at(&[fake.addr], &args);
    assert_eq!(done.exit, Exit::Success, "{}", done.err);
    let report: Value = serde_json::from_str(&done.out).unwrap();
    assert!(report["converged_s"].as_f64().unwrap() > 0.0);
    assert_eq!(fake.seen().len(), 4);
}

// The first daemon may have accepted the change before it failed, and the
// second only passes on the result. The time counts from the first, since the
// change may have begun to spread then.
#[test]
fn time_to_converge_counts_from_the_first_try() {
    let fake = Fake::start();
    fake.answer("/v1/changes", 503, json!({"findings": []}))
        .answer("/v1/changes", 200, json!({"version": 2}))
        .answer("/v1/status", 200, status(&[]));
    let file = TempFile::new("[[service]]\nname = \"floatdesk\"\n");
    let args = format!("apply {} --wait --output json", file.path());
    let start = std::time::Instant::now();
    let done = stoatctl_at(&[fake.addr], &args);
    let whole = start.elapsed().as_secs_f64();
    let report: Value = serde_json::from_str(&done.out).unwrap();
    let converged = report["converged_s"].as_f64().unwrap();
    assert!(
        converged > 0.1 && converged < whole,
        "{converged} of {whole}"
    );
}

#[test]
fn wait_ends_with_its_own_exit_code() {
    let fake = Fake::start();
    fake.answer("/v1/changes", 200, json!({"version": 2}))
        .answer("/v1/status", 200, status(&[("i-2", "alive", 1)]));
    let file = TempFile::new("[[service]]\nname = \"floatdesk\"\n");
    let args = format!("apply {} --wait --wait-timeout 200ms", file.path());
    let done = stoatctl_at(&[fake.addr], &args);
    assert_eq!(done.exit, Exit::NotInForce);
    assert!(
        done.out
            .contains("version 2 accepted, not yet in force everywhere")
    );
    assert!(
        done.err
            .contains("i-2       1        has not reported it yet"),
        "{}",
        done.err
    );
    let done = stoatctl_at(&[fake.addr], "status --wait 2 --wait-timeout 100ms");
    assert_eq!(done.exit, Exit::NotInForce);
    let done = stoatctl_at(&[fake.addr], "status --wait 1 --wait-timeout 100ms");
    assert_eq!(done.exit, Exit::Success);
}
