//! Snapshots with crashes, lost answers and concurrent snapshots.

mod support;

use std::sync::Arc;

use smol_str::SmolStr;
use stoatstep_platform::{MemoryPlatform, Operation, Platform, ScriptedOutcome};
use stoatstep_resource::State;
use stoatstep_versionlog::{
    Head, LogConfig, OPERATION_PREFIX, SnapshotAction, SnapshotError, SnapshotInput,
    SnapshotOutcome, Snapshotter, Tail, decode_snapshot, encode_snapshot, snapshot_name,
    snapshot_version,
};
use support::{fill, log, log_entries, put_service, run, write};

fn short_tail() -> LogConfig {
    let builder = LogConfig::builder();
    builder.snapshot_every(8).retained_tail(4).build()
}

/// A snapshotter that a test advances one request at a time.
struct Stepper {
    snapshotter: Snapshotter,
    action: SnapshotAction,
    now: std::time::Duration,
}

impl Stepper {
    fn new(state: Arc<State>, cfg: &LogConfig, seed: u64) -> Self {
        let mut snapshotter = Snapshotter::new(state, cfg, seed);
        let now = std::time::Duration::ZERO;
        let action = snapshotter.step(now, SnapshotInput::Start);
        Self {
            snapshotter,
            action,
            now,
        }
    }

    fn step(&mut self, platform: &MemoryPlatform) -> bool {
        let input = match self.action.clone() {
            SnapshotAction::PutObject(name, bytes) => {
                SnapshotInput::Put(run(platform.put_object(&name, bytes)))
            }
            SnapshotAction::Read(req) => SnapshotInput::Read(run(platform.read(req))),
            SnapshotAction::Commit(req) => SnapshotInput::Commit(run(platform.commit(req))),
            SnapshotAction::ListObjects(prefix) => {
                SnapshotInput::Listed(run(platform.list_objects(&prefix)))
            }
            SnapshotAction::DeleteObject(name) => {
                SnapshotInput::Deleted(run(platform.delete_object(&name)))
            }
            SnapshotAction::Wait(time) => {
                self.now += time;
                SnapshotInput::WaitElapsed
            }
            SnapshotAction::Finish(_) => return false,
        };
        self.action = self.snapshotter.step(self.now, input);
        true
    }

    fn finish(&mut self, platform: &MemoryPlatform) -> Result<SnapshotOutcome, SnapshotError> {
        while self.step(platform) {}
        match self.action.clone() {
            SnapshotAction::Finish(result) => result,
            other => panic!("ended at {other:?}"),
        }
    }
}

/// Number of requests of which every interleaving is tried.
const TURNS: u32 = 10;

fn copy(platform: &MemoryPlatform) -> MemoryPlatform {
    let copy = MemoryPlatform::new();
    copy.with_table(|table| *table = platform.with_table(|it| it.clone()));
    copy.with_objects(|objects| *objects = platform.with_objects(|it| it.clone()));
    copy
}

fn snapshot(
    platform: &MemoryPlatform,
    state: &Arc<State>,
) -> Result<SnapshotOutcome, SnapshotError> {
    run(log(platform, &short_tail()).snapshot(Arc::clone(state)))
}

fn head(platform: &MemoryPlatform) -> Head {
    run(log(platform, &short_tail()).head()).unwrap()
}

fn objects(platform: &MemoryPlatform) -> Vec<SmolStr> {
    platform.with_objects(|objects| objects.list(""))
}

/// Checks that a cold start finds the newest state, that every snapshot in the head exists and is
/// undamaged, and that the log is complete after each of them.
fn check(platform: &MemoryPlatform, newest: &Arc<State>) {
    let recovered = run(log(platform, &short_tail()).recover()).unwrap();
    assert_eq!(&recovered.state, newest);
    assert_eq!(recovered.skipped, []);
    let head = head(platform);
    for snapshot in &head.snapshots {
        let name = snapshot_name(snapshot.version);
        let bytes = platform.with_objects(|objects| objects.get(&name).unwrap().to_vec());
        let state = decode_snapshot(&bytes).unwrap();
        assert_eq!(state.digest(), snapshot.digest);
        assert!(head.log_continues_from(snapshot.version));
    }
}

#[test]
fn a_snapshot_trims_log_and_operations_but_keeps_a_tail() {
    let platform = MemoryPlatform::new();
    let state = fill(&platform, 8);
    let log = log(&platform, &short_tail());
    assert!(log.snapshot_is_due(&head(&platform)));
    let snapshot = run(log.snapshot(Arc::clone(&state))).unwrap();
    assert_eq!(snapshot.head.log_start, 5);
    assert_eq!(snapshot.head, head(&platform));
    assert!(!log.snapshot_is_due(&snapshot.head));
    assert_eq!(log_entries(&platform).len(), 4);
    let operations = platform.with_table(|table| table.with_prefix(OPERATION_PREFIX).count());
    assert_eq!(operations, 4);
    assert!(matches!(run(log.tail(4)), Ok(Tail::Deltas { .. })));
    assert!(matches!(run(log.tail(3)), Ok(Tail::Trimmed { .. })));
    check(&platform, &state);
}

#[test]
fn a_writer_whose_state_was_trimmed_away_recovers_and_writes() {
    let platform = MemoryPlatform::new();
    let state = fill(&platform, 8);
    snapshot(&platform, &state).unwrap();
    let accepted = write(&platform, put_service("op", "late")).unwrap();
    assert_eq!(accepted.version, 9);
    assert_eq!(accepted.state.version(), 9);
}

#[test]
fn a_crash_at_any_point_leaves_nothing_that_matters() {
    // The daemon crashes after its first, second, ... request. Each time a cold start still finds
    // the newest state, and the next snapshot deletes what was left behind.
    // Safeguard: the object is written before the head refers to it, and rows and objects are
    // deleted in or after the transaction that removes the references to them.
    for survived in 0..8 {
        let platform = MemoryPlatform::new();
        let state = fill(&platform, 8);
        let mut crashing = Stepper::new(Arc::clone(&state), &short_tail(), 1);
        for _ in 0..survived {
            crashing.step(&platform);
        }
        check(&platform, &state);
        let state = fill(&platform, 20);
        snapshot(&platform, &state).unwrap();
        check(&platform, &state);
        assert_eq!(objects(&platform), [snapshot_name(20)]);
    }
}

#[test]
fn answers_lost_at_any_point_change_nothing() {
    // For every kind of request the answer is lost, the request is lost, the request is delayed
    // past the end of the snapshot, or the platform is unavailable. The snapshot is taken once, and
    // delayed writes do no harm.
    // Safeguard: every step is idempotent, and the head is written conditionally on its revision.
    let requests = [
        Operation::PutObject,
        Operation::Read,
        Operation::Commit,
        Operation::ListObjects,
        Operation::DeleteObject,
    ];
    let outcomes = [
        ScriptedOutcome::LoseAnswer,
        ScriptedOutcome::LoseRequest,
        ScriptedOutcome::Delay,
        ScriptedOutcome::Unavailable,
    ];
    for request in requests {
        for outcome in outcomes {
            let platform = MemoryPlatform::new();
            let first = fill(&platform, 8);
            snapshot(&platform, &first).unwrap();
            let second = fill(&platform, 16);
            platform.script(request, outcome);
            let taken = snapshot(&platform, &second).unwrap();
            assert_eq!(taken.head.snapshot_version(), 16, "{request:?} {outcome:?}");
            let state = fill(&platform, 17);
            while platform.apply_delayed() {}
            check(&platform, &state);
            assert_eq!(head(&platform).snapshot_version(), 16);
        }
    }
}

#[test]
fn two_at_once_come_to_one_snapshot() {
    // Two daemons take a snapshot of the same version or of adjacent ones, in any interleaving of
    // their requests. One updates the head; the other one finds that and succeeds too.
    // Safeguard: the transaction is conditioned on the head row.
    let base = MemoryPlatform::new();
    snapshot(&base, &fill(&base, 8)).unwrap();
    let older = fill(&base, 16);
    let newer = fill(&base, 17);
    let pairs = [(&older, &older), (&older, &newer), (&newer, &older)];
    for (left, right) in pairs {
        for order in 0_u32..1 << TURNS {
            let platform = copy(&base);
            let mut left = Stepper::new(Arc::clone(left), &short_tail(), 1);
            let mut right = Stepper::new(Arc::clone(right), &short_tail(), 2);
            for turn in 0..TURNS {
                let stepper = if order >> turn & 1 == 0 {
                    &mut left
                } else {
                    &mut right
                };
                stepper.step(&platform);
            }
            left.finish(&platform).unwrap();
            right.finish(&platform).unwrap();
            check(&platform, &newer);
        }
    }
}

#[test]
fn a_snapshotter_that_was_frozen_harms_no_newer_one() {
    // The process is frozen after writing its object, and resumes after others took newer
    // snapshots. It must neither move the head's reference back nor delete the newer objects.
    // Safeguard: the snapshotter ends if the head has a newer snapshot, and deletes only objects
    // below its own version.
    let platform = MemoryPlatform::new();
    let old = fill(&platform, 8);
    let mut frozen = Stepper::new(old, &short_tail(), 1);
    frozen.step(&platform);
    let state = fill(&platform, 16);
    snapshot(&platform, &state).unwrap();
    let written_ahead = encode_snapshot(&fill(&platform, 17));
    platform.with_objects(|it| it.put(snapshot_name(17), written_ahead));
    frozen.finish(&platform).unwrap();
    assert_eq!(head(&platform).snapshot_version(), 16);
    assert_eq!(objects(&platform), [snapshot_name(16), snapshot_name(17)]);
}

#[test]
fn snapshots_that_the_tail_starts_from_are_kept() {
    let platform = MemoryPlatform::new();
    let cfg = LogConfig::builder()
        .snapshot_every(4)
        .retained_tail(8)
        .build();
    for version in [4, 8, 12, 16, 20] {
        let state = fill(&platform, version);
        run(log(&platform, &cfg).snapshot(state)).unwrap();
    }
    let kept: Vec<_> = head(&platform)
        .snapshots
        .iter()
        .map(|it| it.version)
        .collect();
    assert_eq!(kept, [20, 16, 12]);
    let names: Vec<_> = kept
        .iter()
        .rev()
        .map(|version| snapshot_name(*version))
        .collect();
    assert_eq!(objects(&platform), names);
}

#[test]
fn other_objects_are_left_alone() {
    let platform = MemoryPlatform::new();
    let names = ["snapshot/notes", "snapshot/1", "other/00000000000000000001"];
    for name in names {
        platform.with_objects(|objects| objects.put(name.into(), vec![1]));
        assert_eq!(snapshot_version(name), None);
    }
    let state = fill(&platform, 8);
    snapshot(&platform, &state).unwrap();
    assert_eq!(objects(&platform).len(), 4);
}
