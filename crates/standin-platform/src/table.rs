//! Handlers of requests to the table.

use ntex::util::Bytes;
use ntex::web::types::State;
use ntex::web::{HttpRequest, HttpResponse};
use stoatstep_platform::{
    MAX_BODY, Service, decode_commit, decode_read, encode_commit_answer, encode_read_answer,
};

use crate::counts::Access;
use crate::request::{Done, Work, bad_request, serve};
use crate::standin::Standin;

/// Handles `POST /table/read`.
pub(crate) async fn read(req: HttpRequest, body: Bytes, standin: State<Standin>) -> HttpResponse {
    if body.len() > MAX_BODY {
        return HttpResponse::PayloadTooLarge().finish();
    }
    let read = match decode_read(&body) {
        Ok(read) => read,
        Err(e) => return bad_request(e.to_string()),
    };
    let work = Work {
        service: Service::Table,
        access: Access::Read,
        cost: read.gets.len() + read.ranges.len(),
        bytes: body.len(),
    };
    serve(req, &standin, work, move |inner| {
        Done::Body(encode_read_answer(inner.table.read(&read)))
    })
    .await
}

/// Handles `POST /table/commit`.
pub(crate) async fn commit(req: HttpRequest, body: Bytes, standin: State<Standin>) -> HttpResponse {
    if body.len() > MAX_BODY {
        return HttpResponse::PayloadTooLarge().finish();
    }
    let commit = match decode_commit(&body) {
        Ok(commit) => commit,
        Err(e) => return bad_request(e.to_string()),
    };
    let work = Work {
        service: Service::Table,
        access: Access::Write,
        cost: commit.writes.len(),
        bytes: body.len(),
    };
    serve(req, &standin, work, move |inner| {
        Done::Body(encode_commit_answer(inner.table.commit(commit)))
    })
    .await
}
