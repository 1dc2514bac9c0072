//! Client of the platform's service over HTTP.

mod outcome;

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::client::{Client, Connector};
use ntex::http::Method;
use ntex::io::IoConfig;
use ntex::time::{Millis, Seconds, timeout};
use ntex::util::Bytes;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use self::outcome::{bad_answer, from_client_error, from_status, unavailable, unknown};
use crate::api::Platform;
use crate::error::PlatformError;
use crate::request::{CommitAnswer, CommitRequest, ReadAnswer, ReadRequest};
use crate::usage::{Usage, UsageCounters};
use crate::wire::{self, MAX_BODY, MAX_KEY, MAX_OBJECT, header};

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const DEFAULT_CONNECTIONS: usize = 8;

/// Time after which the client closes an idle connection. It is meant to do so before the platform
/// does: a request that is sent while the other end closes the connection is lost, and a write then
/// needlessly ends as [`PlatformError::Unknown`].
const KEEP_ALIVE: Seconds = Seconds(10);

/// Builder of an [`HttpPlatform`].
#[derive(Clone, Debug)]
pub struct HttpPlatformBuilder {
    addr: SocketAddr,
    zone: SmolStr,
    timeout: Duration,
    connect_timeout: Duration,
    connections: usize,
}

impl HttpPlatformBuilder {
    /// Sets the longest time from sending a request to the end of its answer; 2 s by default. A
    /// longer one tolerates a slower platform, while a shorter one makes more requests end with
    /// [`PlatformError::Unknown`].
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the longest time to open a connection; 500 ms by default. Requests that exceed it were
    /// not sent and so end with [`PlatformError::Unavailable`].
    #[must_use]
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the largest number of connections; 8 by default. Further requests wait for a free one.
    #[must_use]
    pub fn connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Builds the client without opening a connection.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unavailable`] if the client can't be set up.
    pub async fn build(self) -> Result<HttpPlatform, PlatformError> {
        let connector = Connector::new()
            .limit(self.connections)
            .keep_alive(KEEP_ALIVE);
        let io = IoConfig::new().set_connect_timeout(millis(self.connect_timeout));
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_redirects()
            .no_default_headers()
            .disable_timeout()
            .build(SharedCfg::new("platform").add(io))
            .await
            .map_err(|e| unavailable(e.to_smolstr()))?;
        Ok(HttpPlatform {
            client,
            addr: self.addr,
            zone: self.zone,
            timeout: self.timeout,
            usage: UsageCounters::default(),
        })
    }
}

/// A client of the platform's service over HTTP.
///
/// It sends each request once. Whether to retry is decided by the code that knows the purpose of
/// the request.
pub struct HttpPlatform {
    client: Client,
    addr: SocketAddr,
    zone: SmolStr,
    timeout: Duration,
    usage: UsageCounters,
}

impl fmt::Debug for HttpPlatform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpPlatform")
            .field("addr", &self.addr)
            .field("zone", &self.zone)
            .finish_non_exhaustive()
    }
}

/// An HTTP request to be sent.
struct Outgoing {
    method: Method,
    path: String,
    body: Vec<u8>,
    /// Largest body of the answer, in bytes.
    limit: usize,
}

impl HttpPlatform {
    /// Creates a builder of a client for the platform at `addr`, used by a caller in availability
    /// zone `zone`.
    #[must_use]
    pub fn builder(addr: SocketAddr, zone: impl Into<SmolStr>) -> HttpPlatformBuilder {
        HttpPlatformBuilder {
            addr,
            zone: zone.into(),
            timeout: DEFAULT_TIMEOUT,
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            connections: DEFAULT_CONNECTIONS,
        }
    }

    /// Returns the numbers of requests and bytes so far.
    #[must_use]
    pub fn usage(&self) -> Usage {
        self.usage.get()
    }

    async fn send(&self, out: Outgoing) -> Result<Bytes, PlatformError> {
        let result = match timeout(millis(self.timeout), self.exchange(out)).await {
            Ok(result) => result,
            // The request may have been sent before the timeout.
            Err(()) => Err(unknown("timeout")),
        };
        if result.is_err() {
            self.usage.update(|usage| usage.failed += 1);
        }
        result
    }

    async fn exchange(&self, out: Outgoing) -> Result<Bytes, PlatformError> {
        let url = format!("http://{}{}", self.addr, out.path);
        let req = self
            .client
            .request(out.method.clone(), url)
            .header(header::ZONE, self.zone.as_str());
        let sent = self.implicit_header_bytes(&out) + header_bytes(req.headers()) + out.body.len();
        self.usage.update(|usage| usage.bytes_sent += sent as u64);
        let res = req.send_body(out.body).await.map_err(from_client_error)?;
        let body = res.body().limit(out.limit).timeout(Millis::ZERO).await;
        let body = body.map_err(|e| unknown(format_smolstr!("answer cut short: {e}")))?;
        let received = STATUS_LINE_BYTES + header_bytes(res.headers()) + body.len();
        self.usage
            .update(|usage| usage.bytes_received += received as u64);
        from_status(&res, &body)?;
        Ok(body)
    }

    /// Size of the request line and of the headers that `ntex` adds when it sends the request,
    /// which the request's own headers don't include.
    fn implicit_header_bytes(&self, out: &Outgoing) -> usize {
        const FIXED: usize = "  HTTP/1.1\r\ncontent-length: \r\nhost: \r\n\
            date: Wed, 02 Dec 2026 18:00:00 GMT\r\n\r\n"
            .len();
        let length = out.body.len().to_string().len();
        let host = self.addr.to_string().len();
        FIXED + out.method.as_str().len() + out.path.len() + length + host
    }

    async fn object(
        &self,
        method: Method,
        name: &str,
        body: Vec<u8>,
    ) -> Result<Bytes, PlatformError> {
        if !is_object_name(name) {
            return Err(PlatformError::Refused {
                reason: format_smolstr!("{name:?} is no object name"),
            });
        }
        self.send(Outgoing {
            method,
            path: format!("/objects/{name}"),
            body,
            limit: MAX_OBJECT,
        })
        .await
    }
}

impl Platform for HttpPlatform {
    async fn read(&self, req: ReadRequest) -> Result<ReadAnswer, PlatformError> {
        self.usage.update(|usage| usage.reads += 1);
        let shape = (req.gets.len(), req.ranges.len());
        let out = Outgoing {
            method: Method::POST,
            path: "/table/read".to_owned(),
            body: wire::encode_read(req),
            limit: MAX_BODY,
        };
        let body = self.send(out).await?;
        let answer = wire::decode_read_answer(&body).map_err(|e| bad_answer(&e))?;
        // With fewer items than requested, rows would appear to be absent.
        if (answer.rows.len(), answer.ranges.len()) != shape {
            return Err(PlatformError::BadAnswer {
                reason: "the answer has other items than the request".into(),
            });
        }
        Ok(answer)
    }

    async fn commit(&self, req: CommitRequest) -> Result<CommitAnswer, PlatformError> {
        self.usage.update(|usage| usage.commits += 1);
        let out = Outgoing {
            method: Method::POST,
            path: "/table/commit".to_owned(),
            body: wire::encode_commit(req),
            limit: MAX_BODY,
        };
        let body = self.send(out).await?;
        wire::decode_commit_answer(&body).map_err(|e| bad_answer(&e))
    }

    async fn get_object(&self, name: &str) -> Result<Vec<u8>, PlatformError> {
        self.usage.update(|usage| usage.object_reads += 1);
        let body = self.object(Method::GET, name, Vec::new()).await?;
        Ok(body.to_vec())
    }

    async fn put_object(&self, name: &str, bytes: Vec<u8>) -> Result<(), PlatformError> {
        self.usage.update(|usage| usage.object_writes += 1);
        self.object(Method::PUT, name, bytes).await.map(drop)
    }

    async fn delete_object(&self, name: &str) -> Result<(), PlatformError> {
        self.usage.update(|usage| usage.object_writes += 1);
        match self.object(Method::DELETE, name, Vec::new()).await {
            Ok(_) | Err(PlatformError::NotFound) => Ok(()),
            Err(e) => Err(e),
        }
    }

    async fn list_objects(&self, prefix: &str) -> Result<Vec<SmolStr>, PlatformError> {
        self.usage.update(|usage| usage.object_reads += 1);
        let out = Outgoing {
            method: Method::GET,
            path: format!("/objects?prefix={prefix}"),
            body: Vec::new(),
            limit: MAX_BODY,
        };
        let body = self.send(out).await?;
        wire::decode_names(&body).map_err(|e| bad_answer(&e))
    }
}

/// Returns whether `name` is valid as the name of an object. Names are put into a URL without
/// escaping, hence the small set of characters.
fn is_object_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "/_.-".contains(c);
    !name.is_empty() && name.len() <= MAX_KEY && name.chars().all(allowed)
}

/// Size of an answer's status line and of the empty line after its headers, in bytes.
const STATUS_LINE_BYTES: usize = "HTTP/1.1 200 OK\r\n\r\n".len();

fn header_bytes(headers: &ntex::http::HeaderMap) -> usize {
    const SEPARATORS: usize = ": \r\n".len();
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS)
        .sum()
}

fn millis(duration: Duration) -> Millis {
    Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX))
}
