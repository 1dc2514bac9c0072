//! Planned restarts of a key's home: what it remembered lives on.

use std::time::{Duration, Instant};

use ntex::time::{Millis, sleep};
use stoatstep_standin_target::Entry;
use uuid::Uuid;

use crate::fleet::Fleet;
use crate::http::{Answer, Request, run};

const READY: Duration = Duration::from_secs(10);
const CONVERGENCE: Duration = Duration::from_secs(6);
const POLL: Millis = Millis(50);

async fn started() -> Fleet {
    let mut fleet = Fleet::builder().instances(4).zones(2).start();
    fleet.joined(READY).await;
    let version = fleet.apply(0, fleet.default_resources()).await;
    fleet.holds_everywhere(version, CONVERGENCE).await;
    fleet
}

async fn claim(fleet: &Fleet, key: &str) -> Answer {
    let addr = fleet.instances[1].caller_addr;
    let req = Request::post(addr, "/floatdesk/claims", "glue").header("idempotency-key", key);
    req.send().await.expect("an answer")
}

/// Sends a claim again and again until its outcome is final.
async fn settled(fleet: &Fleet, key: &str) -> Answer {
    let end = Instant::now() + READY;
    loop {
        let answer = claim(fleet, key).await;
        if answer.header("stoatstep-outcome") != "not-run" || Instant::now() > end {
            return answer;
        }
        sleep(POLL).await;
    }
}

/// Instances whose target ran the key, each as often as it ran it.
async fn runs(fleet: &Fleet, key: &str) -> Vec<usize> {
    let mut runs = Vec::new();
    for (number, instance) in fleet.instances.iter().enumerate() {
        let answer = Request::get(instance.target_addr, "/admin/ledger").send();
        let entries: Vec<Entry> = answer.await.expect("a ledger").json();
        for entry in entries.iter().filter(|entry| entry.key == key) {
            runs.extend((0..entry.count).map(|_| number));
        }
    }
    runs
}

/// A claim is answered, and the answer is lost on the caller's side. The home's
/// daemon is stopped as planned and started again. The caller's retry gets the
/// first answer: an empty memory could only say "unknown". A claim made while
/// the daemon was away never ran, and its retry runs it once.
#[test]
fn planned_restart_of_a_home_settles_every_claim() {
    run(async {
        let mut fleet = started().await;
        let before = loop {
            // Keys made in the first seconds of a fleet are older than its
            // daemons' memory.
            let key = Uuid::now_v7().to_string();
            if settled(&fleet, &key).await.header("stoatstep-outcome") == "answered" {
                break key;
            }
            sleep(POLL).await;
        };
        let home = runs(&fleet, &before).await[0];
        let first = claim(&fleet, &before).await;
        let status = fleet.instances[home].daemon.terminate(READY).await;
        assert!(status.is_some_and(|status| status.success()));
        let during: Vec<String> = (0..8).map(|_| Uuid::now_v7().to_string()).collect();
        for key in &during {
            let answer = claim(&fleet, key).await;
            assert_ne!(answer.header("stoatstep-outcome"), "unknown");
        }
        fleet.restart_daemon(home);
        let again = settled(&fleet, &before).await;
        assert_eq!((again.status, &again.body), (first.status, &first.body));
        assert_eq!(runs(&fleet, &before).await, [home]);
        for key in &during {
            settled(&fleet, key).await.assert_answered();
            assert_eq!(runs(&fleet, key).await.len(), 1);
        }
    });
}
