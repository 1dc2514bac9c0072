//! Answers to other requests that come where the answer to an attempt is due.

use std::cell::RefCell;
use std::rc::Rc;

use hyper::header::HeaderName;
use stoatstep_http::AnswerFilter;

use crate::executor::mismatch::Mismatch;

/// Reports the answers to other requests that were dropped while a request waited for its own,
/// when it stops waiting for whatever reason.
pub(super) struct DroppedAnswers<'a, F: Fn(&Mismatch)> {
    pub(super) filter: Rc<RefCell<AnswerFilter>>,
    /// The header in which answers state the id of their request.
    pub(super) field: &'a HeaderName,
    pub(super) request_id: &'a str,
    pub(super) on_foreign: &'a F,
}

impl<F: Fn(&Mismatch)> DroppedAnswers<'_, F> {
    pub(super) fn is_any(&self) -> bool {
        self.filter.borrow().has_dropped()
    }
}

impl<F: Fn(&Mismatch)> Drop for DroppedAnswers<'_, F> {
    fn drop(&mut self) {
        let dropped = self.filter.borrow_mut().take_dropped();
        for stated in dropped {
            if let Some(mismatch) = Mismatch::find(self.field, self.request_id, stated.as_bytes()) {
                (self.on_foreign)(&mismatch);
            }
        }
    }
}
