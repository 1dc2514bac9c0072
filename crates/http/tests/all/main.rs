//! Tests of the HTTP utilities.

mod answer_body;
mod answer_filter;
mod request_body;
