//! The plainest router: a random target, blind retries, no queue.

use std::io;
use std::net::SocketAddr;

use ntex::SharedCfg;
use ntex::client::{Client, ClientResponse, Connector};
use ntex::server::Server;
use ntex::time::Millis;
use ntex::util::Bytes;
use ntex::web::types::State;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use rand::RngExt;

/// Attempts for one call, whatever the failure was.
const ATTEMPTS: u32 = 3;

/// Time for one attempt.
const TIMEOUT: Millis = Millis(2_000);

/// More connections than a load ever opens; see `load::attempt` for why not 0.
const CONNECTIONS: usize = 1 << 20;

/// Largest answer that is passed on.
const BODY_LIMIT: usize = 8 << 20;

/// Which targets answer the paths under a prefix.
#[derive(Clone, Debug)]
pub(crate) struct PlainRoute {
    pub(crate) prefix: String,
    pub(crate) targets: Vec<SocketAddr>,
}

#[derive(Clone)]
struct Router {
    client: Client,
    routes: Vec<PlainRoute>,
}

pub(crate) fn serve(addr: SocketAddr, routes: Vec<PlainRoute>) -> io::Result<Server> {
    let app = async move || {
        let connector = Connector::new().limit(CONNECTIONS);
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_timeout()
            .no_default_headers()
            .build(SharedCfg::new("router"))
            .await
            .expect("a connector without TLS always builds");
        let routes = routes.clone();
        App::new()
            .state(Router { client, routes })
            .default_service(web::route().to(forward))
    };
    let server = HttpServer::new(app).workers(1).bind(addr)?;
    Ok(server.run())
}

async fn forward(req: HttpRequest, body: Bytes, router: State<Router>) -> HttpResponse {
    let route = router
        .routes
        .iter()
        .find(|route| req.path().starts_with(&route.prefix));
    let Some(route) = route else {
        return HttpResponse::NotFound().finish();
    };
    for _ in 0..ATTEMPTS {
        let target = route.targets[rand::rng().random_range(0..route.targets.len())];
        if let Some(answer) = attempt(&router.client, &req, body.clone(), target).await {
            return answer;
        }
    }
    HttpResponse::BadGateway().finish()
}

/// The answer of `target`, or nothing where it failed or refused.
async fn attempt(
    client: &Client,
    req: &HttpRequest,
    body: Bytes,
    target: SocketAddr,
) -> Option<HttpResponse> {
    let mut out = client
        .request(
            req.method().clone(),
            format!("http://{target}{}", req.uri()),
        )
        .timeout(TIMEOUT);
    for (name, value) in req.headers() {
        if !matches!(name.as_str(), "host" | "connection" | "content-length") {
            out = out.header(name.clone(), value.clone());
        }
    }
    let res = out.send_body(body).await.ok()?;
    let body = res.body().limit(BODY_LIMIT).await.ok()?;
    res.status().is_success().then(|| passed_on(&res, body))
}

fn passed_on(res: &ClientResponse, body: Bytes) -> HttpResponse {
    let mut answer = HttpResponse::build(res.status());
    if let Some(kind) = res.headers().get("content-type") {
        answer.header("content-type", kind.clone());
    }
    answer.body(body)
}
