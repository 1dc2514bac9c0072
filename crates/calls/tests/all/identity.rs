//! API keys in credentials, and the customers that hold them.

use std::sync::Arc;

use stoatstep_calls::{CredentialError, KeyRing, bearer_key};
use stoatstep_resource::{Customer, KeyDigest, Resource, State, VersionedResource};

/// Credentials of a request, and the expected result.
type Case<'a> = (&'a [&'a [u8]], Result<KeyDigest, CredentialError>);

fn ring(customers: &[(&str, &[&str])]) -> KeyRing {
    let held = customers.iter().map(|(name, keys)| VersionedResource {
        revision: 1,
        resource: Arc::new(Resource::Customer(Customer {
            name: (*name).into(),
            keys: keys.iter().map(|it| KeyDigest::of(it.as_bytes())).collect(),
            quota: None,
            priority: None,
        })),
    });
    KeyRing::new(&State::from_snapshot(1, held).expect("names differ"))
}

#[test]
fn each_form_of_a_credential_has_one_meaning() {
    let key = KeyDigest::of(b"jqnirth5");
    let overlong = [b"Bearer ".as_slice(), &[b'k'; 257]].concat();
    let longest = [b"Bearer ".as_slice(), &[b'k'; 256]].concat();
    let cases: [Case<'_>; 11] = [
        (&[], Err(CredentialError::Missing)),
        (&[b"Bearer jqnirth5"], Ok(key)),
        (&[b"bEARER   jqnirth5 "], Ok(key)),
        (&[&longest], Ok(KeyDigest::of(&[b'k'; 256]))),
        (
            &[b"Bearer jqnirth5", b"Bearer jqnirth5"],
            Err(CredentialError::Repeated),
        ),
        (&[b"Basic jqnirth5"], Err(CredentialError::Scheme)),
        (&[b""], Err(CredentialError::Scheme)),
        (&[b"Bearer"], Err(CredentialError::Malformed)),
        (&[b"Bearer jq nirth5"], Err(CredentialError::Malformed)),
        (&[b"Bearer jq\xc3\xa9"], Err(CredentialError::Malformed)),
        (&[&overlong], Err(CredentialError::Malformed)),
    ];
    for (credentials, expected) in cases {
        assert_eq!(bearer_key(credentials.iter().copied()), expected);
    }
}

#[test]
fn a_key_names_its_holder_and_no_one_else() {
    let ring = ring(&[
        ("larkfield", &["k1", "k2"]),
        ("st-brigids", &["k3"]),
        ("gone", &[]),
    ]);
    let holder = |key: &str| {
        let holder = ring.holder(&KeyDigest::of(key.as_bytes()));
        holder.map(|it| it.name.to_string())
    };
    assert_eq!(holder("k2").as_deref(), Some("larkfield"));
    assert_eq!(holder("k3").as_deref(), Some("st-brigids"));
    assert_eq!(holder("k4"), None);
    let id = KeyDigest::of(b"k1").id();
    assert_eq!(ring.holder_name(id), Some(&"larkfield".into()));
    assert_eq!(ring.holder_name(KeyDigest::of(b"k4").id()), None);
    assert!(ring.customer("gone").is_some() && ring.are_checked());
    assert!(!KeyRing::default().are_checked());
}

/// A whole digest in a log line would let a reader find a short key by brute force.
#[test]
fn a_digest_is_not_shown_whole_in_debug_text() {
    let digest = KeyDigest::of(b"k1");
    assert!(!format!("{digest:?}").contains(&digest.to_string()));
}
