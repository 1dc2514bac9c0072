//! Decoding arbitrary bytes results in a value or an error, and never in a panic.

use proptest::prelude::*;
use stoatstep_resource::wire::{
    Change, ChangeRequest, DeltaWire, ResourceWire, SnapshotWire, StatusAnswer, WatchAnswer,
};
use stoatstep_resource::{Delta, FileSet, SourceFile, State, validate};

use crate::support::any_resource;

fn decode_all(bytes: &[u8]) {
    if let Ok(wire) = rmp_serde::from_slice::<SnapshotWire>(bytes)
        && let Ok(state) = State::try_from(wire)
    {
        let _ = validate(&state);
    }
    if let Ok(wire) = rmp_serde::from_slice::<DeltaWire>(bytes) {
        let _ = State::default().apply(&Delta::from(wire));
    }
    if let Ok(req) = serde_json::from_slice::<ChangeRequest>(bytes) {
        let _ = Change::try_from(req);
    }
    let _ = serde_json::from_slice::<ResourceWire>(bytes);
    let _ = serde_json::from_slice::<WatchAnswer>(bytes);
    let _ = serde_json::from_slice::<StatusAnswer>(bytes);
}

proptest! {
    #[test]
    fn arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..256)) {
        decode_all(&bytes);
    }

    #[test]
    fn damaged_deltas(
        puts in proptest::collection::vec(any_resource(), 1..4),
        at: proptest::sample::Index,
        byte: u8,
    ) {
        let delta = State::default().delta(puts, Vec::new());
        let mut bytes = rmp_serde::to_vec(&DeltaWire::from(&delta)).unwrap();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        decode_all(&bytes);
        decode_all(&bytes[..at]);
    }

    #[test]
    fn arbitrary_files(text in "([ -~]{0,20}\n){0,12}") {
        read_file(text);
    }

    #[test]
    fn files_of_shuffled_words(words in proptest::collection::vec(any_word(), 0..40)) {
        read_file(words.concat());
    }
}

fn any_word() -> impl Strategy<Value = &'static str> {
    proptest::sample::select(vec![
        "[[service]]\n",
        "[[policy]]\n",
        "[policy.retry]\n",
        "[route]\n",
        "name = ",
        "limits = ",
        "timeout = ",
        "slots = ",
        "\"a\"\n",
        "\"1s\"\n",
        "[{tenant = \"a\"}]\n",
        "[1, {}]\n",
        "-1\n",
        "1e9\n",
        "0xffffffffff\n",
        "{",
        "}",
        "\n",
        "é",
        "1979-05-27\n",
    ])
}

fn read_file(text: String) {
    let name = "arbitrary.toml".into();
    let _ = FileSet::read(&[SourceFile { name, text }]).validate();
}
