//! Messages between daemons and rows of the platform, damaged in every way
//! that a few bytes allow: each gives an error or a message, never a panic, and
//! damaged configuration is never applied.

use proptest::collection::vec;
use proptest::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use stoatstep_calls::Answer;
use stoatstep_distribution::{ConfigId, LogReply, LogRequest, LogTail, PushRequest};
use stoatstep_membership::{Announcement, Exchange, Member};
use stoatstep_membership::{MemberState, Row, StateUpdate};
use stoatstep_resource::wire::{DeltaWire, SnapshotWire};
use stoatstep_resource::{Delta, Kind, Resource, Route, Service, State};

/// A change of one byte, or the end of the message, at a relative position.
#[derive(Clone, Copy, Debug)]
enum Damage {
    Replace(u8),
    Insert(u8),
    Remove,
    Cut,
}

fn damages() -> impl Strategy<Value = Vec<(usize, Damage)>> {
    let damage = prop_oneof![
        4 => any::<u8>().prop_map(Damage::Replace),
        2 => any::<u8>().prop_map(Damage::Insert),
        2 => Just(Damage::Remove),
        1 => Just(Damage::Cut),
    ];
    vec((0_usize..4096, damage), 1..4)
}

fn damage(bytes: &mut Vec<u8>, damages: &[(usize, Damage)]) {
    for (position, damage) in damages {
        if bytes.is_empty() {
            return;
        }
        let at = position % bytes.len();
        match damage {
            Damage::Replace(byte) => bytes[at] = *byte,
            Damage::Insert(byte) => bytes.insert(at, *byte),
            Damage::Remove => {
                bytes.remove(at);
            }
            Damage::Cut => bytes.truncate(at),
        }
    }
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("plain data always encodes")
}

/// Decodes the damaged bytes of `value`; what is read must encode and decode
/// to itself.
fn read_damaged<T>(value: &T, damages: &[(usize, Damage)]) -> Option<T>
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let mut bytes = encode(value);
    damage(&mut bytes, damages);
    let read: T = rmp_serde::from_slice(&bytes).ok()?;
    let again: T = rmp_serde::from_slice(&encode(&read)).expect("an own encoding");
    assert_eq!(again, read);
    Some(read)
}

fn row() -> Row {
    let addr = |port: u16| ([127, 1, 2, 3], port).into();
    Row {
        instance: "instance-1".into(),
        region: "northvale".into(),
        zone: "north-1".into(),
        upstream: "floatdesk-1".into(),
        caller: addr(1),
        peer: addr(2),
        operator: addr(3),
        birth: 1_700_000_000_000,
        incarnation: 1_700_000_000_001,
        state: MemberState::Alive.into(),
        announced: None,
    }
}

fn state() -> State {
    let service = Service {
        name: "floatdesk".into(),
        policy: None,
        health_path: None,
    };
    let route = Route {
        name: "floatdesk".into(),
        prefix: "/floatdesk".into(),
        service: "floatdesk".into(),
        policy: None,
        host: None,
        split: Vec::new(),
        idempotent: false,
        public: false,
    };
    let empty = State::default();
    let puts = vec![Resource::Service(service), Resource::Route(route)];
    let delta = empty.delta(puts, Vec::new());
    empty.apply(&delta).expect("a valid change")
}

fn change(state: &State) -> Delta {
    let service = Service {
        name: "refundhall".into(),
        policy: None,
        health_path: None,
    };
    let routes = state.of_kind(Kind::Route).map(|held| held.resource.key());
    state.delta(vec![Resource::Service(service)], routes.collect())
}

fn config_id() -> ConfigId {
    ConfigId {
        version: 7,
        digest: 8,
    }
}

proptest! {
    #[test]
    fn damaged_words_about_members_are_read_or_refused(damages in damages()) {
        let exchange = exchange();
        read_damaged(&exchange, &damages);
        read_damaged(&vec![row(), row()], &damages);
        let announcement = Announcement { row: row(), version: 9 };
        if let Some(read) = read_damaged(&announcement, &damages) {
            let _ = Member::try_from(read.row);
        }
    }

    #[test]
    fn damaged_requests_and_answers_are_read_or_refused(damages in damages()) {
        read_damaged(&LogRequest { held: config_id(), whole: false }, &damages);
        read_damaged(&LogReply::Nothing(config_id()), &damages);
        let answer = Answer { status: 200, headers: Vec::new(), body: vec![1, 2, 3].into() };
        read_damaged(&answer, &damages);
    }

    /// A push is damaged on its way, by a broken relay or a daemon of another
    /// version. The daemon that applied it would serve by a configuration that
    /// nobody wrote, on some proxies only. Whatever still decodes must be
    /// refused, or lead to the very state that the writer meant.
    #[test]
    fn damaged_delta_is_never_applied(damages in damages()) {
        let state = state();
        let delta = change(&state);
        let expected = state.apply(&delta).expect("a valid change");
        let push = PushRequest { origin: row().key(), delta: DeltaWire::from(&delta) };
        if let Some(read) = read_damaged(&push, &damages)
            && let Ok(next) = state.apply(&Delta::from(read.delta))
        {
            prop_assert_eq!(next, expected);
        }
    }

    /// The same for a whole state, which a starting daemon takes from a peer.
    #[test]
    fn damaged_snapshot_is_never_taken(damages in damages()) {
        let state = state();
        let reply = LogReply::Snapshot(SnapshotWire::from(&state));
        if let Some(read) = read_damaged(&reply, &damages)
            && let Ok(LogTail::Snapshot(taken)) = LogTail::try_from(read)
        {
            prop_assert_eq!(taken, state);
        }
    }
}

fn exchange() -> Exchange {
    Exchange {
        from: row().key(),
        incarnation: 3,
        mark: config_id(),
        floor: 6,
        head_age: 5,
        table: 4,
        introduce: false,
        words: vec![StateUpdate(row().key(), 3, MemberState::Suspect.into())],
        rows: vec![row()],
        drained: Some("i-7".into()),
    }
}
