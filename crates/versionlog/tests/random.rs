//! Property tests with random faults, interleavings and malformed rows.

mod support;

use std::collections::BTreeMap;

use proptest::prelude::*;
use stoatstep_platform::{MemoryPlatform, Operation, Row, ScriptedOutcome};
use stoatstep_versionlog::{
    AcceptedChange, Head, LogEntry, OperationEntry, WriteAction, WriteError, decode_snapshot,
};
use support::{Stepper, change, operations, service};

#[derive(Clone, Copy, Debug)]
enum Event {
    /// This writer carries out its next action.
    Step(usize),
    /// The oldest delayed transaction arrives.
    Land,
    /// The next request of this kind fails in this way.
    Fault(Operation, ScriptedOutcome),
}

fn event() -> impl Strategy<Value = Event> {
    let request = prop_oneof![Just(Operation::Read), Just(Operation::Commit)];
    let outcome = prop_oneof![
        Just(ScriptedOutcome::LoseAnswer),
        Just(ScriptedOutcome::LoseRequest),
        Just(ScriptedOutcome::Delay),
        Just(ScriptedOutcome::Unavailable),
    ];
    prop_oneof![
        6 => (0_usize..WRITERS).prop_map(Event::Step),
        1 => Just(Event::Land),
        2 => (request, outcome).prop_map(|(request, outcome)| Event::Fault(request, outcome)),
    ]
}

const WRITERS: usize = 4;

/// Four writers that compete for two resources. The first two are the same operator's request at
/// two daemons.
fn writers() -> Vec<Stepper> {
    let edit =
        |operation: &str, name: &str, expected| change(operation, vec![(service(name), expected)]);
    vec![
        Stepper::new(edit("op-a", "floatdesk", Some(0)), 1),
        Stepper::new(edit("op-a", "floatdesk", Some(0)), 2),
        Stepper::new(edit("op-b", "floatdesk", Some(0)), 3),
        Stepper::new(edit("op-c", "refundhall", None), 4),
    ]
}

fn result_of(stepper: &Stepper) -> Option<Result<AcceptedChange, WriteError>> {
    match &stepper.action {
        WriteAction::Finish(result) => Some(result.clone()),
        _ => None,
    }
}

fn count(all: &[String], operation: &str) -> usize {
    all.iter().filter(|it| *it == operation).count()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// With any faults and any arrival of delayed transactions, no operation is in the log twice.
    /// An operation reported as a version is in the log at that version; one reported as failed is
    /// not in the log, then or later.
    #[test]
    fn what_writers_are_told_is_true(events in prop::collection::vec(event(), 0..120)) {
        let platform = MemoryPlatform::new();
        let mut writers = writers();
        for event in events {
            match event {
                Event::Step(writer) => {
                    writers[writer].step(&platform);
                }
                Event::Land => {
                    let _ = platform.apply_delayed();
                }
                Event::Fault(request, outcome) => platform.script(request, outcome),
            }
        }
        // Every writer runs to its end, and the delayed transactions arrive after that.
        for writer in &mut writers {
            let _ = writer.finish(&platform);
        }
        while platform.apply_delayed() {}

        let log = operations(&platform);
        let names = ["op-a", "op-a", "op-b", "op-c"];
        for (name, writer) in names.iter().zip(&writers) {
            prop_assert!(count(&log, name) <= 1, "{name} in {log:?}");
            match result_of(writer) {
                Some(Ok(accepted)) => {
                    let index = usize::try_from(accepted.version).unwrap() - 1;
                    prop_assert_eq!(&log[index], name);
                }
                Some(Err(WriteError::Unsettled { .. })) | None => {}
                // The same operation at the other daemon may have been applied.
                Some(Err(_)) if *name == "op-a" => {}
                Some(Err(e)) => prop_assert_eq!(count(&log, name), 0, "{} got {}", name, e),
            }
        }
        let both = BTreeMap::from([("a", count(&log, "op-a")), ("b", count(&log, "op-b"))]);
        prop_assert!(both["a"] + both["b"] <= 1, "two creates of one resource: {log:?}");
    }

    #[test]
    fn rows_of_any_bytes_are_refused_or_understood(key: String, value: Vec<u8>) {
        let row = Row { key: key.as_str().into(), revision: 1, value };
        let _ = Head::try_from(&row);
        let _ = LogEntry::try_from(&row);
        let _ = OperationEntry::try_from(&row);
        let _ = decode_snapshot(&row.value);
    }
}
