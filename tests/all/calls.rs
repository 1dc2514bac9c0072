//! Calls that meet faults: what the caller hears, and what truly ran.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ntex::time::{Millis, sleep, timeout};
use stoatstep_standin_target::{Counts, Entry};
use uuid::Uuid;

use crate::fleet::Fleet;
use crate::http::{Answer, Request, run};

const READY: Duration = Duration::from_secs(10);
const CONVERGENCE: Duration = Duration::from_secs(6);
const POLL: Duration = Duration::from_millis(20);

/// A key made sooner after the start of its home may have run before it.
const KEYS_SETTLED: Duration = Duration::from_millis(2_500);

async fn started(instances: usize, service_time: Duration) -> Fleet {
    let builder = Fleet::builder().instances(instances).zones(2);
    let mut fleet = builder.service_time(service_time).start();
    fleet.joined(READY).await;
    let version = fleet.apply(0, fleet.default_resources()).await;
    fleet.holds_everywhere(version, CONVERGENCE).await;
    fleet
}

/// A claim on `floatdesk`, sent to the daemon of an instance.
fn claim(fleet: &Fleet, number: usize, key: &str, body: &str) -> Request {
    let addr = fleet.instances[number].caller_addr;
    Request::post(addr, "/floatdesk/claims", body).header("idempotency-key", key)
}

async fn runs_of(fleet: &Fleet, key: &str) -> u64 {
    let mut runs = 0;
    for instance in &fleet.instances {
        let answer = Request::get(instance.target_addr, "/admin/ledger").send();
        let entries: Vec<Entry> = answer.await.expect("a ledger").json();
        let of_key = entries.iter().filter(|entry| entry.key == key);
        runs += of_key.map(|entry| entry.count).sum::<u64>();
    }
    runs
}

async fn counts(fleet: &Fleet, number: usize) -> Counts {
    let addr = fleet.instances[number].target_addr;
    let answer = Request::get(addr, "/admin/counts").send().await;
    answer.expect("counts").json()
}

/// The `index`th instance whose target belongs to this service.
fn instance_of(fleet: &Fleet, service: &str, index: usize) -> usize {
    let all = fleet.instances.iter().enumerate();
    let mut of_service = all.filter(|(_, it)| it.service == service);
    of_service.nth(index).expect("enough targets").0
}

/// Changes how a target behaves.
pub(crate) async fn behave(target: SocketAddr, change: &str) {
    let req = Request::post(target, "/admin/behaviour", change);
    let req = req.header("content-type", "application/json").send();
    assert_eq!(req.await.expect("an answer").status, 204);
}

/// The instance whose target runs something.
pub(crate) async fn running(fleet: &Fleet) -> usize {
    let end = Instant::now() + READY;
    loop {
        for number in 0..fleet.instances.len() {
            if counts(fleet, number).await.running > 0 {
                return number;
            }
        }
        assert!(Instant::now() < end, "nothing runs");
        sleep(POLL).await;
    }
}

fn ending(answer: &Answer) -> (&str, &str) {
    (
        answer.header("stoatstep-outcome"),
        answer.header("stoatstep-reason"),
    )
}

/// A teacher's claim is posted, its answer is lost, and the service sends it
/// again with the same key through another daemon. It must get the first
/// answer: a second run would post the claim twice.
#[test]
fn claim_sent_again_through_another_daemon_runs_once() {
    run(async {
        let fleet = started(4, Duration::from_millis(20)).await;
        sleep(KEYS_SETTLED).await;
        let key = Uuid::now_v7().to_string();
        let first = claim(&fleet, 0, &key, "glue")
            .send()
            .await
            .expect("an answer");
        first.assert_answered();
        let second = claim(&fleet, 3, &key, "glue")
            .send()
            .await
            .expect("an answer");
        second.assert_answered();
        assert_eq!(first.body, second.body);
        assert_eq!(runs_of(&fleet, &key).await, 1);
        let other = claim(&fleet, 1, &key, "bus")
            .send()
            .await
            .expect("an answer");
        assert_eq!(other.status, 422);
        assert_eq!(ending(&other), ("not-run", "key-reused"));
    });
}

/// The executor's daemon is killed while a claim runs in its target. The caller
/// hears "unknown", since the claim was posted. The daemon starts again, and the
/// caller sends again: the new process has no memory of the run and must not
/// take the key for a new one.
#[test]
fn claim_on_a_killed_executor_does_not_run_again() {
    run(async {
        let mut fleet = started(4, Duration::from_secs(1)).await;
        sleep(KEYS_SETTLED).await;
        let key = Uuid::now_v7().to_string();
        let call = ntex::rt::spawn(claim(&fleet, 1, &key, "glue").send());
        let home = running(&fleet).await;
        fleet.instances[home].daemon.kill();
        let answer = call.await.expect("a task").expect("an answer");
        assert_eq!(ending(&answer), ("unknown", "lost-answer"));
        fleet.restart_daemon(home);
        fleet.joined(READY).await;
        let end = Instant::now() + READY;
        loop {
            let answer = claim(&fleet, 1, &key, "glue")
                .send()
                .await
                .expect("an answer");
            assert_ne!(answer.header("stoatstep-outcome"), "answered");
            if answer.header("stoatstep-reason") == "key-unsettled" {
                break;
            }
            assert!(Instant::now() < end, "{:?}", ending(&answer));
            sleep(POLL).await;
        }
        assert_eq!(runs_of(&fleet, &key).await, 1);
    });
}

/// A caller hangs up while its call runs. The cancellation must reach the
/// target through both daemons: the slot would go on working for nobody.
#[test]
fn caller_that_goes_away_is_cancelled_at_the_target() {
    run(async {
        let fleet = started(4, Duration::from_secs(5)).await;
        let addr = fleet.instances[1].caller_addr;
        let call = Request::get(addr, "/floatdesk/balance").header("stoatstep-deadline-ms", "8000");
        assert!(timeout(Millis(500), call.send()).await.is_err());
        let end = Instant::now() + Duration::from_secs(2);
        loop {
            let cancelled = counts(&fleet, 0).await.cancelled + counts(&fleet, 2).await.cancelled;
            if cancelled == 1 {
                return;
            }
            assert!(Instant::now() < end, "the run goes on");
            sleep(POLL).await;
        }
    });
}

/// An executor freezes: its connections stay open and nothing comes back. Calls
/// that may be repeated must be answered by the other one within their
/// deadline, instead of waiting until it passes.
#[test]
fn frozen_executor_is_left_for_another() {
    run(async {
        let fleet = started(4, Duration::from_millis(5)).await;
        for _ in 0..20 {
            let answer = fleet
                .call(1, "/floatdesk/balance")
                .await
                .expect("an answer");
            answer.assert_answered();
        }
        fleet.instances[2].daemon.freeze();
        for _ in 0..20 {
            let answer = fleet
                .call(1, "/floatdesk/balance")
                .await
                .expect("an answer");
            answer.assert_answered();
        }
        fleet.instances[2].daemon.thaw();
    });
}

/// Most runs that a target with a limit of five per second may start in four seconds: one and a
/// half times what the limit allows, and five more.
const LIMITED_RUNS: u64 = 35;

/// Callers that each send one call after the other: more than a target has slots.
const CALLERS: usize = 24;

/// A target states a limit while its slots could run far more, and its daemon is restarted on
/// the way. Other daemons have been told of the limit, so it holds for the new process as well.
#[test]
fn a_target_runs_no_more_calls_than_its_limit_over_a_restart() {
    run(async {
        let mut fleet = started(4, Duration::from_millis(50)).await;
        let limited = instance_of(&fleet, "floatdesk", 1);
        behave(fleet.instances[limited].target_addr, r#"{"limit": "5"}"#).await;
        let entries = [(limited + 1) % 4, (limited + 2) % 4];
        let entries = entries.map(|it| fleet.instances[it].caller_addr);
        let end = Instant::now() + Duration::from_secs(8);
        for caller in 0..CALLERS {
            ntex::rt::spawn(async move {
                while Instant::now() < end {
                    let read = Request::get(entries[caller % 2], "/floatdesk/reads").send();
                    read.await.expect("an answer");
                }
            });
        }
        sleep(Duration::from_secs(1)).await;
        fleet.instances[limited].daemon.kill();
        fleet.restart_daemon(limited);
        sleep(Duration::from_secs(2)).await;
        let before = counts(&fleet, limited).await.started;
        sleep(Duration::from_secs(4)).await;
        let runs = counts(&fleet, limited).await.started - before;
        assert!(runs <= LIMITED_RUNS, "{runs} runs in 4 s");
        assert!(runs > 0, "the restarted daemon serves");
    });
}

/// A target states that it leaves. The calls that it would get must go to the others.
#[test]
fn calls_go_elsewhere_once_a_target_states_that_it_leaves() {
    run(async {
        let fleet = started(4, Duration::from_millis(1)).await;
        let leaves = instance_of(&fleet, "floatdesk", 1);
        behave(fleet.instances[leaves].target_addr, r#"{"leaves": true}"#).await;
        let end = Instant::now() + READY;
        let before = counts(&fleet, leaves).await.started;
        while counts(&fleet, leaves).await.started == before {
            assert!(Instant::now() < end, "no call reaches the target");
            let read = Request::get(fleet.instances[leaves].caller_addr, "/floatdesk/reads");
            read.send().await.expect("an answer").assert_answered();
        }
        let told = counts(&fleet, leaves).await.started;
        for call in 0..40 {
            let entry = &fleet.instances[call % 4];
            let read = Request::get(entry.caller_addr, "/floatdesk/reads").send();
            read.await.expect("an answer").assert_answered();
        }
        assert_eq!(counts(&fleet, leaves).await.started, told);
    });
}
