//! Handlers of requests to the object store.

use ntex::util::Bytes;
use ntex::web::types::{Path, Query, State};
use ntex::web::{HttpRequest, HttpResponse};
use serde::Deserialize;
use smol_str::SmolStr;
use stoatstep_platform::{MAX_KEY, Service, encode_names};

use crate::counts::Access;
use crate::request::{Done, Work, bad_request, serve};
use crate::standin::Standin;

/// Query string of a request for a list of names or rows.
#[derive(Debug, Deserialize)]
pub(crate) struct Prefix {
    #[serde(default)]
    pub(crate) prefix: SmolStr,
}

/// Handles `GET /objects?prefix=`.
pub(crate) async fn list(
    req: HttpRequest,
    query: Query<Prefix>,
    standin: State<Standin>,
) -> HttpResponse {
    let prefix = query.into_inner().prefix;
    serve(req, &standin, work(Access::Read, 0), move |inner| {
        Done::Body(encode_names(&inner.objects.list(&prefix)))
    })
    .await
}

/// Handles `GET /objects/{name}`.
pub(crate) async fn get(
    req: HttpRequest,
    name: Path<SmolStr>,
    standin: State<Standin>,
) -> HttpResponse {
    let name = name.into_inner();
    serve(req, &standin, work(Access::Read, 0), move |inner| {
        let bytes = inner.objects.get(&name);
        bytes.map_or(Done::NotFound, |bytes| Done::Body(bytes.to_vec()))
    })
    .await
}

/// Handles `PUT /objects/{name}`.
pub(crate) async fn put(
    req: HttpRequest,
    name: Path<SmolStr>,
    body: Bytes,
    standin: State<Standin>,
) -> HttpResponse {
    let name = name.into_inner();
    if name.len() > MAX_KEY {
        return bad_request("the name is too long");
    }
    let work = work(Access::Write, body.len());
    serve(req, &standin, work, move |inner| {
        inner.objects.put(name, body.to_vec());
        Done::Empty
    })
    .await
}

/// Handles `DELETE /objects/{name}`.
pub(crate) async fn delete(
    req: HttpRequest,
    name: Path<SmolStr>,
    standin: State<Standin>,
) -> HttpResponse {
    let name = name.into_inner();
    serve(req, &standin, work(Access::Write, 0), move |inner| {
        inner.objects.delete(&name);
        Done::Empty
    })
    .await
}

fn work(access: Access, bytes: usize) -> Work {
    Work {
        service: Service::Objects,
        access,
        cost: 1,
        bytes,
    }
}
