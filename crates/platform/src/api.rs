//! The process's edge towards the platform.

use std::future::Future;

use smol_str::SmolStr;

use crate::error::PlatformError;
use crate::request::{CommitAnswer, CommitRequest, ReadAnswer, ReadRequest};

/// The table service and the object store.
///
/// Every method may fail with any [`PlatformError`]. After
/// [`PlatformError::Unknown`] a write may have taken effect, or may still take
/// effect later; nothing but a read that finds its traces can tell.
///
/// The futures are not `Send`: an ntex worker runs them on its own thread.
pub trait Platform {
    /// Reads rows and ranges in one consistent view.
    fn read(&self, req: ReadRequest) -> impl Future<Output = Result<ReadAnswer, PlatformError>>;

    /// Writes all rows if all conditions hold, else none.
    fn commit(
        &self,
        req: CommitRequest,
    ) -> impl Future<Output = Result<CommitAnswer, PlatformError>>;

    /// The object under `name`; [`PlatformError::NotFound`] where there is
    /// none.
    fn get_object(&self, name: &str) -> impl Future<Output = Result<Vec<u8>, PlatformError>>;

    /// Stores an object, in place of an older one of that name.
    fn put_object(
        &self,
        name: &str,
        bytes: Vec<u8>,
    ) -> impl Future<Output = Result<(), PlatformError>>;

    /// Deletes an object; an absent one counts as deleted.
    fn delete_object(&self, name: &str) -> impl Future<Output = Result<(), PlatformError>>;

    /// The names that start with `prefix`, in order.
    fn list_objects(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<SmolStr>, PlatformError>>;
}
