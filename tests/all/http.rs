//! HTTP requests of the tests, to daemons, targets and the platform.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::client::error::ClientError;
use ntex::client::{Client, Connector};
use ntex::http::{HeaderMap, Method};
use ntex::rt::{DefaultRuntime, System};
use ntex::time::{Millis, timeout};

/// Longest time of one request.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Largest answer that is read.
const MAX_BODY: usize = 16 << 20;

/// Runs a test's future to its end. The library's own attribute for tests would
/// also log every byte that it reads, in which a failure's message drowns.
pub(crate) fn run(test: impl Future<Output = ()> + 'static) {
    System::new("test", DefaultRuntime).block_on(test);
}

/// A request to one program.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    method: Method,
    url: String,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Vec<u8>,
}

impl Request {
    /// A request without a body.
    pub(crate) fn get(addr: SocketAddr, path: &str) -> Self {
        Self::new(Method::GET, addr, path)
    }

    /// A request that carries `body`.
    pub(crate) fn post(addr: SocketAddr, path: &str, body: impl Into<Vec<u8>>) -> Self {
        let mut req = Self::new(Method::POST, addr, path);
        req.body = body.into();
        req
    }

    /// Adds a header.
    pub(crate) fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sends the request on a connection of its own, so that nothing is left
    /// over from a process that was killed since.
    pub(crate) async fn send(self) -> Result<Answer, String> {
        let limit = Millis(u32::try_from(TIMEOUT.as_millis()).expect("a short time"));
        match timeout(limit, self.exchange()).await {
            Ok(result) => result,
            Err(()) => Err("timeout".to_owned()),
        }
    }

    fn new(method: Method, addr: SocketAddr, path: &str) -> Self {
        Self {
            method,
            url: format!("http://{addr}{path}"),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    async fn exchange(self) -> Result<Answer, String> {
        let client = client().await?;
        let mut req = client.request(self.method, self.url);
        for (name, value) in self.headers {
            req = req.header(name, value);
        }
        let sent = req.send_body(self.body).await;
        let res = sent.map_err(|e: ClientError| e.to_string())?;
        let body = res.body().limit(MAX_BODY).timeout(Millis::ZERO).await;
        Ok(Answer {
            status: res.status().as_u16(),
            headers: res.headers().clone(),
            body: body.map_err(|e| e.to_string())?.to_vec(),
        })
    }
}

impl Answer {
    /// A header's text; empty where it is absent.
    pub(crate) fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    /// Fails where this isn't the target's own answer.
    pub(crate) fn assert_answered(&self) {
        let outcome = self.header("stoatstep-outcome");
        let reason = self.header("stoatstep-reason");
        let text = self.text();
        assert_eq!(outcome, "answered", "{} {reason}: {text}", self.status);
    }

    /// The body as text.
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body read as JSON.
    pub(crate) fn json<T: serde::de::DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|e| panic!("{e} in answer {}: {}", self.status, self.text()))
    }
}

async fn client() -> Result<Client, String> {
    Client::builder()
        .connector::<()>(Connector::new())
        .disable_redirects()
        .disable_timeout()
        .build(SharedCfg::new("tests"))
        .await
        .map_err(|e| e.to_string())
}
