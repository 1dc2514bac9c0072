//! The interface to the platform.

use std::future::Future;

use smol_str::SmolStr;

use crate::error::PlatformError;
use crate::request::{CommitAnswer, CommitRequest, ReadAnswer, ReadRequest};

/// Client of the platform's table and object store.
///
/// Every method may fail with any [`PlatformError`]. After [`PlatformError::Unknown`] a write may
/// have taken effect, or may still take effect later; only a read that finds the written data can
/// tell.
///
/// The futures are not `Send`, since an ntex worker runs them on its own thread.
pub trait Platform {
    /// Reads rows and ranges of rows in one consistent view.
    fn read(&self, req: ReadRequest) -> impl Future<Output = Result<ReadAnswer, PlatformError>>;

    /// Applies all writes if all conditions hold, or none of them.
    fn commit(
        &self,
        req: CommitRequest,
    ) -> impl Future<Output = Result<CommitAnswer, PlatformError>>;

    /// Returns the object with this name, or [`PlatformError::NotFound`] if there is none.
    fn get_object(&self, name: &str) -> impl Future<Output = Result<Vec<u8>, PlatformError>>;

    /// Stores an object, replacing an existing one of that name.
    fn put_object(
        &self,
        name: &str,
        bytes: Vec<u8>,
    ) -> impl Future<Output = Result<(), PlatformError>>;

    /// Deletes an object. To delete an absent object is not an error.
    fn delete_object(&self, name: &str) -> impl Future<Output = Result<(), PlatformError>>;

    /// Returns the names of the objects that start with `prefix`, in order.
    fn list_objects(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<SmolStr>, PlatformError>>;
}
