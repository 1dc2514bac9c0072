//! The object store, without any transport.

use std::collections::BTreeMap;

use smol_str::SmolStr;

/// Named blobs; the last one stored under a name stays.
#[derive(Clone, Debug, Default)]
pub struct Objects {
    objects: BTreeMap<SmolStr, Vec<u8>>,
}

impl Objects {
    /// The object under `name`.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.objects.get(name).map(Vec::as_slice)
    }

    /// Stores an object in place of an older one.
    pub fn put(&mut self, name: SmolStr, bytes: Vec<u8>) {
        self.objects.insert(name, bytes);
    }

    /// Deletes an object, if there is one.
    pub fn delete(&mut self, name: &str) {
        self.objects.remove(name);
    }

    /// The names that start with `prefix`, in order.
    #[must_use]
    pub fn list(&self, prefix: &str) -> Vec<SmolStr> {
        self.objects
            .keys()
            .filter(|name| name.starts_with(prefix))
            .cloned()
            .collect()
    }
}
