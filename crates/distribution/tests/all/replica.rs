//! Which versions the replica accepts.

use std::sync::Arc;

use stoatstep_distribution::{ConfigId, OfferOutcome, RefusalReason, Replica};
use stoatstep_resource::{ApplyError, Digest, State};

use crate::support::{T0, log, route, service_key};

#[test]
fn versions_that_arrive_out_of_order_are_applied_in_order() {
    // Two changes are pushed shortly after one another, and the second arrives first. If it were
    // applied at once, the first would be skipped; if it were dropped, it would have to be sent
    // again. It is kept, and both come into force in order.
    let (deltas, state) = log(3);
    let mut replica = Replica::default();
    let third = replica.offer_delta(T0, deltas[2].clone());
    assert_eq!(third, OfferOutcome::Waiting { missing: 1 });
    assert_eq!(
        replica.offer_delta(T0, deltas[1].clone()),
        OfferOutcome::Waiting { missing: 1 }
    );
    assert_eq!(
        replica.offer_delta(T0, deltas[0].clone()),
        OfferOutcome::Applied(deltas)
    );
    assert_eq!(replica.state().digest(), state.digest());
}

#[test]
fn an_older_state_never_replaces_a_newer_one() {
    // A snapshot is delayed in transit, and a newer version arrives first. If the snapshot were
    // applied, callers would see a removed route come back.
    let (deltas, _) = log(3);
    let (_, older) = log(2);
    let mut replica = Replica::default();
    replica.offer_deltas(T0, deltas.clone());
    assert_eq!(replica.offer_state(T0, older), OfferOutcome::AlreadyHeld);
    assert_eq!(
        replica.offer_delta(T0, deltas[0].clone()),
        OfferOutcome::AlreadyHeld
    );
    assert_eq!(replica.version(), 3);
}

#[test]
fn a_bad_digest_is_refused_whole_and_explained() {
    // A delta is corrupt or was computed on another state. If it were applied in part or with other
    // content, one daemon would route differently from all others under the same version. The old
    // version stays in force, and a whole state is requested.
    let (deltas, state) = log(2);
    let mut replica = Replica::default();
    replica.offer_delta(T0, deltas[0].clone());
    let mut bad = (*deltas[1]).clone();
    bad.digest = Digest([7; 16]);
    let offer = replica.offer_delta(T0, Arc::new(bad));
    assert!(matches!(offer, OfferOutcome::Refused(_)));
    assert_eq!(replica.version(), 1);
    assert!(replica.needs_state());
    assert_eq!(replica.quarantine()[0].version, 2);
    assert_eq!(replica.offer_state(T0, state), OfferOutcome::Replaced(2));
    assert!(
        replica.quarantine().is_empty(),
        "a good state of it is held now"
    );
    assert!(!replica.needs_state());
}

#[test]
fn a_dangling_route_is_refused_in_delta_and_state() {
    // A version deletes a service that a route still refers to. A caller of that route would get
    // "no such service" although the operator never meant it.
    let (deltas, state) = log(1);
    let with_route = state.delta(vec![route("r", "s1")], Vec::new());
    let state = state.apply(&with_route).expect("the service is there");
    let dangling = state.delta(Vec::new(), vec![service_key("s1")]);
    let mut replica = Replica::default();
    replica.offer_delta(T0, deltas[0].clone());
    replica.offer_delta(T0, Arc::new(with_route));
    let offer = replica.offer_delta(T0, Arc::new(dangling.clone()));
    let OfferOutcome::Refused(refused) = offer else {
        panic!("taken: {offer:?}");
    };
    let reason = RefusalReason::Apply(ApplyError::DanglingReference {
        from: stoatstep_resource::Key {
            kind: stoatstep_resource::Kind::Route,
            name: "r".into(),
        },
        to: service_key("s1"),
    });
    assert_eq!(refused.reason, reason);
    let items = state.iter().filter(|(key, _)| **key != service_key("s1"));
    let items: Vec<_> = items.map(|(_, held)| held.clone()).collect();
    let whole = State::from_snapshot(3, items).expect("keys are unique");
    assert!(matches!(
        replica.offer_state(T0, whole),
        OfferOutcome::Refused(_)
    ));
    assert_eq!(replica.version(), 2);
}

#[test]
fn a_state_that_the_platform_does_not_know_is_refused() {
    // A peer holds another state under the newest version's number. Without the head's digest both
    // look valid, and the fork would spread.
    let (_, state) = log(2);
    let mut replica = Replica::default();
    replica.record_head(2, Digest([9; 16]));
    let offer = replica.offer_state(T0, state);
    assert!(matches!(offer, OfferOutcome::Refused(it)
            if matches!(it.reason, RefusalReason::HeadMismatch { .. })));
    let (deltas, _) = log(2);
    let offer = replica.offer_deltas(T0, deltas);
    assert!(matches!(offer, OfferOutcome::Applied(applied) if applied.len() == 1));
    assert_eq!(
        replica.version(),
        1,
        "the delta to the head is refused as well"
    );
}

#[test]
fn a_fork_is_recorded_and_resolved_by_the_platform() {
    let (deltas, state) = log(2);
    let mut replica = Replica::default();
    replica.offer_deltas(T0, deltas);
    let theirs = ConfigId {
        version: 2,
        digest: 1,
    };
    assert!(replica.record_fork(T0, theirs).is_some());
    assert_eq!(replica.record_fork(T0, replica.config_id()), None);
    assert_eq!(replica.quarantine().len(), 1);
    replica.resolve_fork(2, state.digest());
    assert!(replica.quarantine().is_empty());
}

#[test]
fn deltas_that_are_no_longer_kept_are_reported() {
    let (deltas, _) = log(6);
    let mut replica = Replica::default().tail_capacity(3);
    replica.offer_deltas(T0, deltas.clone());
    assert_eq!(replica.deltas_after(6), Some(Vec::new()));
    assert_eq!(replica.deltas_after(3), Some(deltas[3..].to_vec()));
    assert_eq!(replica.deltas_after(2), None);
}
