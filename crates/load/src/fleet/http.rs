//! JSON over HTTP to daemons, targets and the platform's stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::client::{Client, Connector};
use ntex::http::{Method, StatusCode};
use ntex::time::{Millis, Seconds};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::fleet::error::FleetError;

/// More than the harness opens at a time; see `load::attempt` for why not 0.
const CONNECTIONS: usize = 1 << 16;

/// Largest answer that is read.
const BODY_LIMIT: usize = 512 << 20;

/// Time for one exchange, long polls apart.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A client of the harness.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client,
}

impl Http {
    /// A client with connections of its own.
    ///
    /// # Panics
    ///
    /// Never: a connector without TLS always builds.
    pub async fn new() -> Self {
        let connector = Connector::new().limit(CONNECTIONS).keep_alive(Seconds(1));
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_timeout()
            .build(ntex::SharedCfg::new("harness"))
            .await
            .expect("a connector without TLS always builds");
        Self { client }
    }

    /// Fetches JSON.
    ///
    /// # Errors
    ///
    /// The other end cannot be reached, refuses, or answers something else.
    pub async fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        token: &str,
    ) -> Result<T, FleetError> {
        let body = self.send(Method::GET, addr, path, token, Vec::new(), TIMEOUT);
        decode(addr, path, &body.await?)
    }

    /// Fetches JSON that may take up to `wait` longer than usual.
    ///
    /// # Errors
    ///
    /// As for [`Http::get`].
    pub async fn poll<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        token: &str,
        wait: Duration,
    ) -> Result<T, FleetError> {
        let limit = TIMEOUT + wait;
        let body = self.send(Method::GET, addr, path, token, Vec::new(), limit);
        decode(addr, path, &body.await?)
    }

    /// Posts JSON and gives back the body of the answer.
    ///
    /// # Errors
    ///
    /// As for [`Http::get`].
    pub async fn post<T: Serialize>(
        &self,
        addr: SocketAddr,
        path: &str,
        token: &str,
        body: &T,
    ) -> Result<Vec<u8>, FleetError> {
        let body = serde_json::to_vec(body).map_err(|error| FleetError::Answer {
            from: addr,
            path: path.into(),
            why: error.to_string(),
        })?;
        self.send(Method::POST, addr, path, token, body, TIMEOUT)
            .await
    }

    /// Fetches text.
    ///
    /// # Errors
    ///
    /// As for [`Http::get`].
    pub async fn text(&self, addr: SocketAddr, path: &str) -> Result<String, FleetError> {
        let body = self.send(Method::GET, addr, path, "", Vec::new(), TIMEOUT);
        Ok(String::from_utf8_lossy(&body.await?).into_owned())
    }

    /// Whether `GET path` is answered with success right now.
    pub async fn is_ok(&self, addr: SocketAddr, path: &str) -> bool {
        let sent = self.send(Method::GET, addr, path, "", Vec::new(), TIMEOUT);
        sent.await.is_ok()
    }

    async fn send(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        token: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Vec<u8>, FleetError> {
        let failed = |why: String| FleetError::Answer {
            from: addr,
            path: path.into(),
            why,
        };
        let req = self
            .client
            .request(method, format!("http://{addr}{path}"))
            .timeout(Millis::from(limit))
            .header("authorization", format!("Bearer {token}"))
            .header("content-type", "application/json");
        let res = req.send_body(body).await;
        let res = res.map_err(|error| failed(error.to_string()))?;
        let body = res.body().limit(BODY_LIMIT).await;
        let body = body.map_err(|error| failed(error.to_string()))?;
        match res.status() {
            status if status.is_success() => Ok(body.to_vec()),
            StatusCode::NOT_FOUND => Err(failed("not found".to_owned())),
            status => Err(failed(format!(
                "{status}: {}",
                String::from_utf8_lossy(&body)
            ))),
        }
    }
}

fn decode<T: DeserializeOwned>(from: SocketAddr, path: &str, body: &[u8]) -> Result<T, FleetError> {
    serde_json::from_slice(body).map_err(|error| FleetError::Answer {
        from,
        path: path.into(),
        why: error.to_string(),
    })
}
