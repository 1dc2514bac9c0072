use std::time::Duration;

use stoatstep_calls::{AttemptStatus, SilenceAction, SilenceConfig, SilenceDetector};

const MS: Duration = Duration::from_millis(1);

fn detector() -> SilenceDetector {
    SilenceDetector::new(SilenceConfig::default())
}

// A device on the way lost the state of a connection, so the request never arrived and no
// error is returned. The ledger, queried over a new connection, has never seen the attempt.
#[test]
fn attempt_that_never_arrived_is_retired() {
    let mut detector = detector();
    detector.sent(1, Duration::ZERO);
    assert!(detector.tick(199 * MS).is_empty());
    assert_eq!(detector.tick(200 * MS), [SilenceAction::Ask(1)]);
    assert_eq!(
        detector.ledger_answered(1, &AttemptStatus::NeverSeen, 200 * MS),
        None
    );
    assert_eq!(detector.tick(400 * MS), [SilenceAction::Ask(1)]);
    let action = detector.ledger_answered(1, &AttemptStatus::NeverSeen, 400 * MS);
    assert_eq!(action, Some(SilenceAction::Retire(1)));
}

// A slow call looks like a silent connection. It must not be abandoned while the ledger
// reports that it runs.
#[test]
fn slow_call_is_left_alone() {
    let mut detector = detector();
    detector.sent(1, Duration::ZERO);
    for step in 1..100 {
        for action in detector.tick(200 * MS * step) {
            assert_eq!(action, SilenceAction::Ask(1));
            assert_eq!(
                detector.ledger_answered(1, &AttemptStatus::Running, 200 * MS * step),
                None
            );
        }
    }
}

// The call ended, but its answer was lost with the connection.
#[test]
fn finished_call_on_a_silent_connection_is_retired() {
    let mut detector = detector();
    detector.sent(1, Duration::ZERO);
    detector.tick(200 * MS);
    let action = detector.ledger_answered(1, &AttemptStatus::DoneWithoutAnswer, 200 * MS);
    assert_eq!(action, Some(SilenceAction::Retire(1)));
}

// Queries over new connections get no answer either, so the executor is gone. The call
// must end as unknown now rather than at its deadline.
#[test]
fn an_unresponsive_executor_is_abandoned() {
    let mut detector = detector();
    detector.sent(1, Duration::ZERO);
    let times = [200, 400, 600, 800];
    let actions: Vec<_> = times
        .iter()
        .flat_map(|&at| detector.tick(MS * at))
        .collect();
    assert_eq!(actions[..3], [SilenceAction::Ask(1); 3]);
    assert_eq!(actions[3], SilenceAction::GiveUp(1));
}
