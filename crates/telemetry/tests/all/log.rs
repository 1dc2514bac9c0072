//! The logger at the end of a thread.

use std::cell::RefCell;

use slog::{Logger, info};
use stoatstep_telemetry::{Level, logger};

thread_local! {
    static LOG: RefCell<Option<Logger>> = const { RefCell::new(None) };
}

/// A daemon is told to stop, finishes its calls and ends its only thread, with
/// the logger in a thread-local. If dropping the logger there touches another
/// thread-local, that one is gone and the process aborts: the service manager
/// sees a crash after each graceful stop. An abort would end this test program
/// too.
#[test]
fn logger_in_a_thread_local_ends_with_its_thread() {
    let thread = std::thread::spawn(|| {
        LOG.set(Some(logger("test", Level::Info)));
        LOG.with_borrow(|log| info!(log.as_ref().expect("a logger"), "stopping"));
    });
    assert!(thread.join().is_ok());
}
