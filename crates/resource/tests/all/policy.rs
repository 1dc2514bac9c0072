use std::time::Duration;

use stoatstep_resource::{Policy, Retry};

fn policy(timeout_ms: u64, objective_ms: Option<u64>) -> Policy {
    Policy {
        name: "p".into(),
        timeout: Duration::from_millis(timeout_ms),
        latency_objective: objective_ms.map(Duration::from_millis),
        priority: None,
        retry: Retry {
            attempts: 2,
            budget_percent: 0,
        },
        limits: Vec::new(),
    }
}

/// Guards against serving calls after their objective for operators who did not ask for it.
#[test]
fn calls_are_served_late_from_a_timeout_of_three_objectives_on() {
    assert!(policy(1_500, Some(500)).serves_late());
    assert!(!policy(1_499, Some(500)).serves_late());
    assert!(!policy(1_500, None).serves_late());
}
