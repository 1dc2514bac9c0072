//! Operators at work: `stoatctl` against running daemons.

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use serde_json::Value;

use crate::fleet::{Fleet, OPERATOR_TOKEN};
use crate::http::{Request, run};

const READY: Duration = Duration::from_secs(10);

/// Exit codes of `stoatctl` that these tests meet; see its help.
const DONE: i32 = 0;
const CONFLICT: i32 = 3;
const INVALID: i32 = 4;
const NOT_FOUND: i32 = 5;

/// What a run of `stoatctl` left behind.
#[derive(Debug)]
struct Done {
    code: i32,
    out: String,
    err: String,
}

fn command(fleet: &Fleet, args: &str) -> Command {
    let addrs: Vec<String> = fleet.instances.iter().map(operator_addr).collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_stoatctl"));
    command
        .args(args.split_whitespace())
        .env("STOATSTEP_DAEMON", addrs.join(","))
        .env("STOATSTEP_OPERATOR_TOKEN", OPERATOR_TOKEN)
        .stdin(Stdio::null());
    command
}

fn operator_addr(instance: &crate::fleet::Instance) -> String {
    instance.operator_addr.to_string()
}

fn stoatctl(fleet: &Fleet, args: &str) -> Done {
    let output = command(fleet, args).output().expect("stoatctl runs");
    Done {
        code: output.status.code().unwrap_or(-1),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

fn version(done: &Done) -> u64 {
    let report: Value = serde_json::from_str(&done.out).unwrap_or_else(|_| panic!("{done:?}"));
    report["version"].as_u64().expect("a version")
}

async fn fault(platform: SocketAddr, body: &str) {
    let req = Request::post(platform, "/admin/fault", body);
    let req = req.header("content-type", "application/json");
    let answer = req.send().await.expect("an answer to a fault");
    assert!(answer.status < 300, "{}", answer.text());
}

/// A file with this text that ends with the guard.
struct TempFile(std::path::PathBuf);

impl TempFile {
    fn new(text: &str) -> Self {
        let name = format!("operators-{}.toml", uuid::Uuid::now_v7());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("a file is written");
        Self(path)
    }

    fn path(&self) -> std::path::Display<'_> {
        self.0.display()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn route(prefix: &str) -> TempFile {
    TempFile::new(&format!(
        "[[service]]\nname = \"ledger\"\n\n\
         [[route]]\nname = \"ledger\"\nprefix = \"{prefix}\"\nservice = \"ledger\"\n"
    ))
}

// Two operators read the same route and both write it. The second must be told
// that it lost the race, and the winner's route stays.
#[test]
fn second_of_two_racing_operators_is_told() {
    run(async {
        let fleet = Fleet::builder().instances(2).start();
        fleet.ready(READY).await;
        let (first, second) = (route("/first"), route("/second"));
        let expect = "--expect route/ledger=absent";
        let done = stoatctl(&fleet, &format!("apply --wait {expect} {}", first.path()));
        assert_eq!(done.code, DONE, "{done:?}");
        let done = stoatctl(&fleet, &format!("apply {expect} {}", second.path()));
        assert_eq!(done.code, CONFLICT, "{done:?}");
        let place = format!("{}:4: route/ledger: ", second.path());
        assert!(done.err.contains(&place), "{done:?}");
        let done = stoatctl(&fleet, "get route/ledger");
        assert!(done.out.contains("/first"), "{done:?}");
    });
}

// The platform takes writes and loses its answers. Daemons cannot tell whether
// a change took effect, and stoatctl goes from one to the other. The change
// must become exactly one version, also when the operator sends it again.
#[test]
fn lost_answers_of_the_platform_make_one_version() {
    run(async {
        let fleet = Fleet::builder().instances(3).start();
        fleet.ready(READY).await;
        let file = route("/ledger");
        let args = format!(
            "apply --wait --operation op-1 --output json {}",
            file.path()
        );
        let lose = r#"{"service":"table","kind":"lose-answers","delay_ms":0,"for_ms":2000}"#;
        fault(fleet.platform_addr, lose).await;
        let done = stoatctl(&fleet, &args);
        assert_eq!(done.code, DONE, "{done:?}");
        let again = stoatctl(&fleet, &args);
        assert_eq!(version(&again), version(&done));
        let next = stoatctl(&fleet, "delete route/ledger --output json");
        assert_eq!(version(&next), version(&done) + 1);
    });
}

// An operation id is left over in a shell and comes with another change. Given
// the first result, the operator would believe that the second was applied.
#[test]
fn operation_id_of_another_change_is_a_conflict() {
    run(async {
        let fleet = Fleet::builder().instances(1).start();
        fleet.ready(READY).await;
        let (first, second) = (route("/first"), route("/second"));
        let done = stoatctl(&fleet, &format!("apply --operation op-1 {}", first.path()));
        assert_eq!(done.code, DONE, "{done:?}");
        let done = stoatctl(&fleet, &format!("apply --operation op-1 {}", second.path()));
        assert_eq!(done.code, CONFLICT, "{done:?}");
    });
}

// A route is written whose service does not exist, next to a bound that is
// overstepped. All of it is refused, each finding with its file and line, and
// nothing of the change is there afterwards.
#[test]
fn refused_change_leaves_nothing_behind() {
    run(async {
        let fleet = Fleet::builder().instances(1).start();
        fleet.ready(READY).await;
        let file = TempFile::new(
            "[[service]]\nname = \"ledger\"\n\n\
             [[route]]\nname = \"r\"\nprefix = \"/r\"\nservice = \"nosuch\"\n\n\
             [[upstream]]\nname = \"u\"\nservice = \"ledger\"\nslots = 0\nconnections = 1\n",
        );
        let done = stoatctl(&fleet, &format!("apply {}", file.path()));
        assert_eq!(done.code, INVALID, "{done:?}");
        let lines = [
            format!("{}:7: route/r: service: service/nosuch", file.path()),
            format!("{}:12: upstream/u: slots: is 0", file.path()),
        ];
        for line in &lines {
            assert!(done.err.contains(line), "{line} in {done:?}");
        }
        assert_eq!(stoatctl(&fleet, "get service/ledger").code, NOT_FOUND);
    });
}

// The daemon that a watch hangs on is killed while changes go on at another.
// The watch goes on there: every change once, in order, none left out.
#[test]
fn watch_outlives_its_daemon() {
    run(async {
        let mut fleet = Fleet::builder().instances(3).start();
        fleet.ready(READY).await;
        let file = route("/ledger");
        let apply = format!("apply --wait {}", file.path());
        assert_eq!(stoatctl(&fleet, &apply).code, DONE);
        let watch = start_watch(&fleet, "watch --from 0 --until 4 --output json");
        assert_eq!(stoatctl(&fleet, &apply).code, DONE);
        fleet.instances[0].daemon.kill();
        assert_eq!(stoatctl(&fleet, &apply).code, DONE);
        assert_eq!(stoatctl(&fleet, &apply).code, DONE);
        let output = watch.wait_with_output().expect("the watch ends");
        let out = String::from_utf8_lossy(&output.stdout);
        let versions: Vec<u64> = out.lines().map(event_version).collect();
        assert_eq!(versions, [1, 2, 3, 4]);
    });
}

fn start_watch(fleet: &Fleet, args: &str) -> Child {
    let mut command = command(fleet, args);
    command.stdout(Stdio::piped()).stderr(Stdio::null());
    command.spawn().expect("stoatctl runs")
}

fn event_version(line: &str) -> u64 {
    let event: Value = serde_json::from_str(line).expect("an event");
    event["version"].as_u64().expect("a version")
}

// An operator drains one daemon of three by hand. It leaves by itself, and the
// status of another says so instead of missing it.
#[test]
fn drained_daemon_leaves() {
    run(async {
        let mut fleet = Fleet::builder().instances(3).start();
        fleet.ready(READY).await;
        let file = route("/ledger");
        assert_eq!(
            stoatctl(&fleet, &format!("apply --wait {}", file.path())).code,
            DONE
        );
        let addr = fleet.instances[2].operator_addr;
        let done = stoatctl(&fleet, &format!("drain --wait --daemon {addr}"));
        assert_eq!(done.code, DONE, "{done:?}");
        let daemon = &mut fleet.instances[2].daemon;
        let end = std::time::Instant::now() + READY;
        while daemon.exited().is_none() {
            assert!(
                std::time::Instant::now() < end,
                "the drained daemon still runs"
            );
            ntex::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(daemon.exited().is_some_and(|status| status.success()));
        let done = stoatctl(&fleet, &format!("apply --wait {}", file.path()));
        assert_eq!(done.code, DONE, "{done:?}");
    });
}
