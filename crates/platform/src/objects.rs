//! An object store in memory, independent of any transport.

use std::collections::BTreeMap;

use smol_str::SmolStr;

/// Named binary objects. Storing an object replaces the previous one of that name.
#[derive(Clone, Debug, Default)]
pub struct Objects {
    objects: BTreeMap<SmolStr, Vec<u8>>,
}

impl Objects {
    /// Returns the object with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.objects.get(name).map(Vec::as_slice)
    }

    /// Stores an object, replacing an existing one of that name.
    pub fn put(&mut self, name: SmolStr, bytes: Vec<u8>) {
        self.objects.insert(name, bytes);
    }

    /// Deletes an object, if there is one.
    pub fn delete(&mut self, name: &str) {
        self.objects.remove(name);
    }

    /// Returns the names that start with `prefix`, in order.
    #[must_use]
    pub fn list(&self, prefix: &str) -> Vec<SmolStr> {
        self.objects
            .keys()
            .filter(|name| name.starts_with(prefix))
            .cloned()
            .collect()
    }
}
