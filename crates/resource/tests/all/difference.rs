use std::sync::Arc;

use stoatstep_resource::wire::DifferenceWire;
use stoatstep_resource::{ApplyError, Difference, Resource, Service, State, VersionedResource};

fn state(version: u64, services: &[(&str, Option<&str>)]) -> State {
    let held = services.iter().map(|(name, policy)| VersionedResource {
        revision: 1,
        resource: Arc::new(Resource::Service(Service {
            name: (*name).into(),
            policy: policy.map(Into::into),
            health_path: None,
        })),
    });
    State::from_snapshot(version, held).expect("names differ")
}

/// A daemon that missed some versions fetches a difference. It holds only the changed resources,
/// survives encoding, and leads to the later state.
#[test]
fn a_difference_over_several_versions_leads_to_the_later_state() {
    let old = state(3, &[("a", None), ("b", None), ("c", None)]);
    let new = state(9, &[("a", None), ("c", None), ("d", None)]);
    let difference = old.difference(&new);
    assert_eq!(difference.puts.len(), 1);
    assert_eq!(difference.deletes.len(), 1);
    let bytes = rmp_serde::to_vec(&DifferenceWire::from(&difference)).expect("it encodes");
    let read: DifferenceWire = rmp_serde::from_slice(&bytes).expect("it decodes");
    let read = Difference::from(read);
    assert_eq!(read, difference);
    assert_eq!(old.apply_difference(&read), Ok(new));
}

#[test]
fn a_difference_from_another_state_is_refused() {
    let old = state(3, &[("a", None)]);
    let new = state(9, &[("a", None), ("d", None)]);
    let difference = old.difference(&new);
    let other = state(3, &[("z", None)]);
    let refused = other.apply_difference(&difference);
    assert!(matches!(refused, Err(ApplyError::DigestMismatch { .. })));
}

#[test]
fn a_difference_never_leads_back() {
    let old = state(3, &[("a", None)]);
    let new = state(9, &[("a", None), ("d", None)]);
    let refused = new.apply_difference(&new.difference(&old));
    assert!(matches!(refused, Err(ApplyError::OutOfOrder { .. })));
}

#[test]
fn a_dangling_reference_is_refused() {
    let old = state(3, &[("a", None)]);
    let new = state(9, &[("a", Some("gone"))]);
    let refused = old.apply_difference(&old.difference(&new));
    assert!(matches!(refused, Err(ApplyError::DanglingReference { .. })));
}

#[test]
fn states_share_what_is_the_same() {
    let old = state(3, &[("a", None), ("b", None)]);
    let new = state(9, &[("a", None), ("c", None)]);
    let shared = new.clone().share_resources_with(&old);
    assert_eq!(shared, new);
    let resource = |state: &State| Arc::clone(&state.iter().next().expect("one").1.resource);
    assert!(Arc::ptr_eq(&resource(&shared), &resource(&old)));
}
