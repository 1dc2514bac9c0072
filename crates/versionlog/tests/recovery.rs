//! Recovery at a cold start, with missing or damaged data on the platform.

mod support;

use std::sync::Arc;

use stoatstep_platform::{CommitRequest, MemoryPlatform, Operation, ScriptedOutcome, Write};
use stoatstep_resource::State;
use stoatstep_versionlog::{
    HEAD, Head, LogConfig, LogError, RecoveryError, encode_snapshot, log_key, snapshot_name,
};
use support::{fill, log, run};

fn cfg() -> LogConfig {
    let builder = LogConfig::builder();
    builder.snapshot_every(4).retained_tail(8).build()
}

/// A log at version 30 with snapshots of 20, 24 and 28.
fn with_snapshots() -> (MemoryPlatform, Arc<State>) {
    let platform = MemoryPlatform::new();
    for version in (4..=28).step_by(4) {
        let state = fill(&platform, version);
        run(log(&platform, &cfg()).snapshot(state)).unwrap();
    }
    let state = fill(&platform, 30);
    (platform, state)
}

fn put_row(platform: &MemoryPlatform, key: &str, value: Vec<u8>) {
    let key = key.into();
    commit(platform, Write::Put { key, value });
}

fn commit(platform: &MemoryPlatform, write: Write) {
    platform.with_table(|table| {
        table.commit(CommitRequest {
            conditions: Vec::new(),
            writes: vec![write],
        })
    });
}

#[test]
fn an_empty_platform_is_the_empty_configuration() {
    let recovered = run(log(&MemoryPlatform::new(), &cfg()).recover()).unwrap();
    assert_eq!(recovered.state, Arc::default());
}

#[test]
fn a_log_without_snapshots_is_enough() {
    let platform = MemoryPlatform::new();
    let state = fill(&platform, 5);
    let recovered = run(log(&platform, &cfg()).recover()).unwrap();
    assert_eq!(recovered.state, state);
}

#[test]
fn a_cold_start_costs_two_reads_and_one_object() {
    let (platform, state) = with_snapshots();
    let before = platform.usage();
    let recovered = run(log(&platform, &cfg()).recover()).unwrap();
    let after = platform.usage();
    assert_eq!(recovered.state, state);
    assert_eq!(after.reads - before.reads, 2);
    assert_eq!(after.object_reads - before.object_reads, 1);
}

#[test]
fn a_missing_or_damaged_snapshot_is_passed_over() {
    // The newest object is missing and the one before it has a flipped byte. The daemon starts from
    // the third one with a longer tail, and reports both.
    // Safeguard: the head refers to every snapshot within the retained tail, and each one is
    // compared with its digest.
    let (platform, state) = with_snapshots();
    platform.with_objects(|objects| {
        objects.delete(&snapshot_name(28));
        let mut bytes = objects.get(&snapshot_name(24)).unwrap().to_vec();
        let last = bytes.len() - 1;
        bytes[last] ^= 1;
        objects.put(snapshot_name(24), bytes);
    });
    let recovered = run(log(&platform, &cfg()).recover()).unwrap();
    assert_eq!(recovered.state, state);
    let skipped: Vec<_> = recovered.skipped.iter().map(|it| it.version).collect();
    assert_eq!(skipped, [28, 24]);
}

#[test]
fn a_snapshot_of_another_state_is_passed_over() {
    // The object is a well-formed snapshot but not the one that the head refers to, for example
    // because an operator copied objects between sites.
    // Safeguard: the head row holds each snapshot's digest.
    let (platform, state) = with_snapshots();
    let foreign = {
        let other = MemoryPlatform::new();
        support::write(&other, support::put_service("op", "foreign")).unwrap();
        encode_snapshot(&fill(&other, 28))
    };
    platform.with_objects(|objects| objects.put(snapshot_name(28), foreign));
    let recovered = run(log(&platform, &cfg()).recover()).unwrap();
    assert_eq!(recovered.state, state);
    assert_eq!(recovered.skipped.len(), 1);
}

#[test]
fn without_any_snapshot_the_error_names_each() {
    let (platform, _) = with_snapshots();
    platform.with_objects(|objects| {
        for name in objects.list("") {
            objects.delete(&name);
        }
    });
    let error = run(log(&platform, &cfg()).recover()).unwrap_err();
    let RecoveryError::NoSnapshot { skipped } = &error else {
        panic!("got {error}");
    };
    assert_eq!(skipped.len(), 3, "{error}");
}

#[test]
fn a_snapshot_replaced_meanwhile_is_found_anew() {
    // Between the read of the head and that of the object, newer snapshots replace all the known
    // ones. The daemon reads the head again.
    // Safeguard: `Recovery::next` reads the head once no candidate is left.
    let (platform, _) = with_snapshots();
    platform.script(Operation::GetObject, ScriptedOutcome::Unavailable);
    let log = log(&platform, &cfg());
    log.environment()
        .while_asleep
        .borrow_mut()
        .push_back(Box::new(|platform| {
            for version in (32..=60).step_by(4) {
                let state = fill(platform, version);
                run(support::log(platform, &cfg()).snapshot(state)).unwrap();
            }
        }));
    let recovered = run(log.recover()).unwrap();
    assert_eq!(recovered.state.version(), 60);
}

#[test]
fn bad_rows_are_named() {
    let (platform, _) = with_snapshots();
    put_row(&platform, &log_key(30), b"nonsense".to_vec());
    let error = run(log(&platform, &cfg()).recover()).unwrap_err();
    assert!(error.to_string().contains(&*log_key(30)), "{error}");
    put_row(&platform, HEAD, vec![0x95, 9]);
    let error = run(log(&platform, &cfg()).recover()).unwrap_err();
    assert!(error.to_string().starts_with("row head: "), "{error}");
}

#[test]
fn a_missing_version_is_an_error_and_not_the_end_of_the_log() {
    // A row that the log should hold according to the head is missing. If that were taken for the
    // end of the log, the daemon would serve an old version as the newest.
    // Safeguard: `read_deltas` checks that the versions are consecutive.
    for version in [29, 30] {
        let (platform, _) = with_snapshots();
        let key = log_key(version);
        commit(&platform, Write::Delete { key });
        let error = run(log(&platform, &cfg()).recover()).unwrap_err();
        let missing = LogError::Missing { version };
        assert_eq!(error, RecoveryError::Log(missing));
    }
}

#[test]
fn a_row_under_another_versions_key_is_named() {
    let (platform, _) = with_snapshots();
    let row = platform.with_table(|table| table.with_prefix(&log_key(29)).next());
    put_row(&platform, &log_key(30), row.unwrap().value);
    let error = run(log(&platform, &cfg()).recover()).unwrap_err();
    let text = format!("row {}: holds version 29", log_key(30));
    assert_eq!(error.to_string(), text);
}

#[test]
fn a_state_other_than_the_heads_is_not_served() {
    // The head row and the log contradict each other. The daemon serves neither, since it can't
    // tell which one the other daemons hold.
    // Safeguard: `Recovery::check` compares digests.
    let (platform, _) = with_snapshots();
    let log = log(&platform, &cfg());
    let head = Head {
        digest: State::default().digest(),
        ..run(log.head()).unwrap()
    };
    commit(&platform, head.put());
    let error = run(log.recover()).unwrap_err();
    let differs = LogError::HeadDigest { version: 30 };
    assert_eq!(error, RecoveryError::Log(differs));
}

#[test]
fn an_outage_ends_with_a_time_to_come_back() {
    let (platform, _) = with_snapshots();
    platform.set_down(true);
    let error = run(log(&platform, &cfg()).recover()).unwrap_err();
    assert!(error.retry_after().is_some(), "{error}");
}

#[test]
fn short_outages_are_waited_out() {
    let (platform, state) = with_snapshots();
    for request in [Operation::Read, Operation::GetObject, Operation::Read] {
        platform.script(request, ScriptedOutcome::LoseAnswer);
        platform.script(request, ScriptedOutcome::Unavailable);
    }
    let recovered = run(log(&platform, &cfg()).recover()).unwrap();
    assert_eq!(recovered.state, state);
    assert_eq!(recovered.skipped, []);
}
