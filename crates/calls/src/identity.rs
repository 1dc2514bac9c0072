//! Who a caller is: the customer that holds its key.

use std::collections::HashMap;
use std::sync::Arc;

use stoatstep_resource::{Customer, CustomerName, KeyDigest, KeyId, Kind, Resource, State};

/// Name of the header in which callers send their keys.
pub const CREDENTIAL: &str = "authorization";

/// Scheme of the credential; compared regardless of case.
const SCHEME: &[u8] = b"bearer";

/// Longest key. A longer one is refused before it is hashed.
const MAX_KEY: usize = 256;

/// Why a request names no key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CredentialError {
    /// There is no credential.
    Missing,
    /// There are two, and nothing says which one is meant.
    Repeated,
    /// The scheme is another one.
    Scheme,
    /// The key is empty, too long, or has bytes that no key has.
    Malformed,
}

/// The digest of the key in a request's credentials.
///
/// # Errors
///
/// Whatever [`CredentialError`] names.
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
    let is_well_formed = (1..=MAX_KEY).contains(&key.len()) && key.iter().all(u8::is_ascii_graphic);
    if !is_well_formed {
        return Err(CredentialError::Malformed);
    }
    Ok(KeyDigest::of(key))
}

/// The customers of one version, by their keys.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    holders: HashMap<KeyDigest, Arc<Customer>>,
    ids: HashMap<KeyId, CustomerName>,
    customers: HashMap<CustomerName, Arc<Customer>>,
}

impl KeyRing {
    /// The customers of `state`.
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

    /// Whether there are no customers: nobody needs a key then.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    /// The customer that holds this key.
    #[must_use]
    pub fn holder(&self, key: &KeyDigest) -> Option<&Arc<Customer>> {
        self.holders.get(key)
    }

    /// Whether `customer` still holds the key of this id.
    #[must_use]
    pub fn still_holds(&self, customer: &str, key: KeyId) -> bool {
        self.ids.get(&key).is_some_and(|it| it == customer)
    }

    /// The customer with this name.
    #[must_use]
    pub fn customer(&self, name: &str) -> Option<&Arc<Customer>> {
        self.customers.get(name)
    }
}
