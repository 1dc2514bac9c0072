use std::time::Duration;

use stoatstep_calls::{AttemptStatus, Silence, SilenceAction, SilenceConfig};

const MS: Duration = Duration::from_millis(1);

fn silence() -> Silence {
    Silence::new(SilenceConfig::default())
}

// A connection lost its state in the middle: the request never came through and
// no error comes back. The ledger, asked afresh, has never seen the attempt.
#[test]
fn attempt_that_never_came_through_is_retired() {
    let mut silence = silence();
    silence.sent(1, Duration::ZERO);
    assert!(silence.tick(199 * MS).is_empty());
    assert_eq!(silence.tick(200 * MS), [SilenceAction::Ask(1)]);
    assert_eq!(silence.heard(1, &AttemptStatus::NeverSeen, 200 * MS), None);
    assert_eq!(silence.tick(400 * MS), [SilenceAction::Ask(1)]);
    let action = silence.heard(1, &AttemptStatus::NeverSeen, 400 * MS);
    assert_eq!(action, Some(SilenceAction::Retire(1)));
}

// A slow call looks like a silent connection. It must not be given up: the
// ledger says that it runs.
#[test]
fn slow_call_is_left_alone() {
    let mut silence = silence();
    silence.sent(1, Duration::ZERO);
    for step in 1..100 {
        for action in silence.tick(200 * MS * step) {
            assert_eq!(action, SilenceAction::Ask(1));
            assert_eq!(
                silence.heard(1, &AttemptStatus::Running, 200 * MS * step),
                None
            );
        }
    }
}

// The call ended, and its answer was lost with the connection.
#[test]
fn finished_call_on_a_silent_connection_is_retired() {
    let mut silence = silence();
    silence.sent(1, Duration::ZERO);
    silence.tick(200 * MS);
    let action = silence.heard(1, &AttemptStatus::DoneWithoutAnswer, 200 * MS);
    assert_eq!(action, Some(SilenceAction::Retire(1)));
}

// Fresh connections bring no answer either: the executor is gone, and the call
// ends as unknown instead of at its deadline.
#[test]
fn executor_that_answers_nobody_is_given_up() {
    let mut silence = silence();
    silence.sent(1, Duration::ZERO);
    let times = [200, 400, 600, 800];
    let actions: Vec<_> = times.iter().flat_map(|&at| silence.tick(MS * at)).collect();
    assert_eq!(actions[..3], [SilenceAction::Ask(1); 3]);
    assert_eq!(actions[3], SilenceAction::GiveUp(1));
}
