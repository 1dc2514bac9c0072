//! Tests of the HTTP utilities.

mod answer_filter;
