//! Authentication of callers by API key.

use std::collections::HashMap;
use std::sync::Arc;

use stoatstep_resource::{Customer, CustomerName, KeyDigest, KeyId, Kind, Resource, State};

/// Name of the header in which callers send their keys.
pub const AUTHORIZATION_HEADER: &str = "authorization";

/// Authentication scheme, which is compared without regard to case.
const SCHEME: &[u8] = b"bearer";

/// Maximum length of a key in bytes. A longer one is refused before it is hashed.
const MAX_KEY_LEN: usize = 256;

/// Why the credentials of a request contain no valid key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CredentialError {
    /// There are no credentials.
    Missing,
    /// There is more than one credential, and it is unclear which one is meant.
    Repeated,
    /// The authentication scheme is not `bearer`.
    Scheme,
    /// The key is empty, too long, or contains bytes that are not allowed.
    Malformed,
}

/// Returns the digest of the key in a request's credentials.
///
/// # Errors
///
/// Returns a [`CredentialError`] if the credentials do not consist of exactly one
/// well-formed bearer key.
pub fn bearer_key<'a>(
    credentials: impl IntoIterator<Item = &'a [u8]>,
) -> Result<KeyDigest, CredentialError> {
    let mut credentials = credentials.into_iter();
    let credential = credentials.next().ok_or(CredentialError::Missing)?;
    if credentials.next().is_some() {
        return Err(CredentialError::Repeated);
    }
    let credential = credential.trim_ascii();
    let space = credential.iter().position(|byte| *byte == b' ');
    let (scheme, key) = credential.split_at(space.unwrap_or(credential.len()));
    if !scheme.eq_ignore_ascii_case(SCHEME) {
        return Err(CredentialError::Scheme);
    }
    let key = key.trim_ascii();
    let is_well_formed =
        (1..=MAX_KEY_LEN).contains(&key.len()) && key.iter().all(u8::is_ascii_graphic);
    if !is_well_formed {
        return Err(CredentialError::Malformed);
    }
    Ok(KeyDigest::of(key))
}

/// The customers of one configuration version, by their API keys.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    holders: HashMap<KeyDigest, Arc<Customer>>,
    ids: HashMap<KeyId, CustomerName>,
    customers: HashMap<CustomerName, Arc<Customer>>,
}

impl KeyRing {
    /// Collects the customers of `state`.
    #[must_use]
    pub fn new(state: &State) -> Self {
        let mut ring = Self::default();
        for held in state.of_kind(Kind::Customer) {
            if let Resource::Customer(customer) = held.resource.as_ref() {
                ring.add(&Arc::new(customer.clone()));
            }
        }
        ring
    }

    fn add(&mut self, customer: &Arc<Customer>) {
        for key in &customer.keys {
            self.ids.insert(key.id(), customer.name.clone());
            self.holders.insert(*key, Arc::clone(customer));
        }
        self.customers
            .insert(customer.name.clone(), Arc::clone(customer));
    }

    /// Returns whether callers need a key: if there is any customer, even one without keys.
    #[must_use]
    pub fn are_checked(&self) -> bool {
        !self.customers.is_empty()
    }

    /// Returns the customer that holds this key.
    #[must_use]
    pub fn holder(&self, key: &KeyDigest) -> Option<&Arc<Customer>> {
        self.holders.get(key)
    }

    /// Returns the name of the customer that holds the key with this id.
    #[must_use]
    pub fn holder_name(&self, key: KeyId) -> Option<&CustomerName> {
        self.ids.get(&key)
    }

    /// Returns the customer with this name.
    #[must_use]
    pub fn customer(&self, name: &str) -> Option<&Arc<Customer>> {
        self.customers.get(name)
    }
}
