//! Access to the platform over HTTP. Only this module knows the platform's wire format.
//!
//! | request | answer |
//! |---|---|
//! | `GET /kv/<key>` | 200 with the [`Entry`], 404 |
//! | `PUT /kv/<key>?expect=<any, absent or revision>&lease=<id>` | 200 with the revision |
//! | `DELETE /kv/<key>?expect=<any, absent or revision>` | 200 with the revision |
//! | `GET /list/<prefix>` | 200 with the [`Listing`] |
//! | `GET /watch/<prefix>?after=<revision>&wait_ms=<n>` | 200 with the [`Watched`] |
//! | `POST /lease?ttl_ms=<n>` | 200 with the lease |
//! | `POST /lease/<id>` | 200; renews |
//! | `DELETE /lease/<id>` | 200; revokes |
//!
//! Bodies are in the `postcard` encoding, but for the value of a `PUT`, which is sent as it is. Any error
//! status has an [`ErrorBody`] as its body.

use std::{error::Error, fmt, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::time::timeout;

use super::{
    Entry, Expect, LeaseId, Listing, MAX_ENTRIES, MAX_KEY_BYTES, MAX_RESULT_BYTES, MAX_VALUE_BYTES,
    MAX_WAIT, Platform, PlatformError, Result, TooLargeSnafu, UnavailableSnafu, UnknownSnafu,
    Watched, check_key, check_prefix,
};

/// The maximum size of a response: the values of a list with their keys and fields.
const MAX_RESPONSE_BYTES: usize =
    MAX_RESULT_BYTES + MAX_VALUE_BYTES + MAX_ENTRIES * (MAX_KEY_BYTES + 64);

/// The time after which an idle connection is closed. It is below the usual idle timeout of HTTP servers (60 s), so
/// that a request is rarely sent on a connection that the server is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The time limits of platform calls.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The time to open a connection.
    pub connect: Duration,
    /// The time from the start of a call to its complete answer; a watch has its wait in addition.
    pub request: Duration,
}

impl Default for Limits {
    /// Returns limits of seconds: the platform answers in milliseconds, so a slower call is most likely lost.
    fn default() -> Limits {
        Limits { connect: Duration::from_secs(1), request: Duration::from_secs(3) }
    }
}

/// A client of the platform over HTTP. Clones share their connections.
#[derive(Clone)]
pub struct Http {
    client: Arc<Client<HttpConnector, Full<Bytes>>>,
    address: SocketAddr,
    limits: Limits,
}

/// The body of an error answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ErrorBody {
    /// The entry is not as expected.
    Conflict(Option<u64>),
    /// The value has this many bytes, which is too many.
    TooLarge(u64),
    /// The key has an invalid form.
    InvalidKey,
    /// The lease has ended.
    LeaseLost,
    /// The platform rejects the call; nothing took effect.
    Unavailable(CompactString),
}

impl From<ErrorBody> for PlatformError {
    fn from(body: ErrorBody) -> PlatformError {
        match body {
            ErrorBody::Conflict(current) => PlatformError::Conflict { current },
            ErrorBody::TooLarge(size) => {
                PlatformError::TooLarge { size: usize::try_from(size).unwrap_or(usize::MAX) }
            }
            ErrorBody::InvalidKey => PlatformError::InvalidKey,
            ErrorBody::LeaseLost => PlatformError::LeaseLost,
            ErrorBody::Unavailable(reason) => PlatformError::Unavailable { reason },
        }
    }
}

/// The kind of a call, which decides whether it may have taken effect if it has no valid answer.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
}

impl CallKind {
    fn lost_answer(self, reason: impl fmt::Display) -> PlatformError {
        let reason = format_compact!("{reason}");
        match self {
            CallKind::Read => UnavailableSnafu { reason }.build(),
            CallKind::Write => UnknownSnafu { reason }.build(),
        }
    }
}

impl Http {
    /// Creates a client; connections are opened when needed.
    pub fn new(address: SocketAddr, limits: Limits) -> Http {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(limits.connect));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Http { client: Arc::new(client), address, limits }
    }

    async fn call<T: DeserializeOwned>(&self, kind: CallKind, call: Call) -> Result<T> {
        let body = self.send(kind, call).await?.unwrap_or_default();
        postcard::from_bytes(&body).map_err(|e| kind.lost_answer(e))
    }

    /// Sends a request and returns the body of a successful answer, or `None` if the key is absent.
    async fn send(&self, kind: CallKind, call: Call) -> Result<Option<Bytes>> {
        let uri = format!("http://{}{}", self.address, call.path);
        let request = Request::builder()
            .method(call.method)
            .uri(uri)
            .body(Full::new(call.body))
            .map_err(|_| PlatformError::InvalidKey)?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|e| {
                if e.is_connect() {
                    UnavailableSnafu { reason: root_cause(&e) }.build()
                } else {
                    kind.lost_answer(root_cause(&e))
                }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            Ok((status, body.map_err(|e| kind.lost_answer(e))?.to_bytes()))
        };
        let (status, body) = timeout(self.limits.request + call.wait, exchange)
            .await
            .unwrap_or_else(|_| Err(kind.lost_answer("timeout")))?;
        match status {
            StatusCode::OK => Ok(Some(body)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(match postcard::from_bytes::<ErrorBody>(&body) {
                Ok(fault) => fault.into(),
                Err(_) => kind.lost_answer(format_args!("status {status}")),
            }),
        }
    }
}

impl fmt::Debug for Http {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Http").field("address", &self.address).finish_non_exhaustive()
    }
}

impl Platform for Http {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        check_key(key)?;
        let call = Call::new(Method::GET, format!("/kv/{key}"));
        match self.send(CallKind::Read, call).await? {
            None => Ok(None),
            Some(body) => {
                postcard::from_bytes(&body).map(Some).map_err(|e| CallKind::Read.lost_answer(e))
            }
        }
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<u64> {
        check_key(key)?;
        if value.len() > MAX_VALUE_BYTES {
            return TooLargeSnafu { size: value.len() }.fail();
        }
        let lease = lease.map(|id| format!("&lease={}", id.0)).unwrap_or_default();
        let path = format!("/kv/{key}?expect={}{lease}", expect_param(expect));
        self.call(CallKind::Write, Call { body: value, ..Call::new(Method::PUT, path) }).await
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<u64> {
        check_key(key)?;
        let path = format!("/kv/{key}?expect={}", expect_param(expect));
        self.call(CallKind::Write, Call::new(Method::DELETE, path)).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        check_prefix(prefix)?;
        self.call(CallKind::Read, Call::new(Method::GET, format!("/list/{prefix}"))).await
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Watched> {
        check_prefix(prefix)?;
        let wait = wait.min(MAX_WAIT);
        let path = format!("/watch/{prefix}?after={after}&wait_ms={}", wait.as_millis());
        self.call(CallKind::Read, Call { wait, ..Call::new(Method::GET, path) }).await
    }

    async fn lease(&self, ttl: Duration) -> Result<LeaseId> {
        let path = format!("/lease?ttl_ms={}", ttl.as_millis());
        self.call(CallKind::Write, Call::new(Method::POST, path)).await
    }

    async fn renew(&self, lease: LeaseId) -> Result<()> {
        let path = format!("/lease/{}", lease.0);
        self.call(CallKind::Write, Call::new(Method::POST, path)).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<()> {
        let path = format!("/lease/{}", lease.0);
        self.call(CallKind::Write, Call::new(Method::DELETE, path)).await
    }
}

struct Call {
    method: Method,
    path: String,
    body: Bytes,
    wait: Duration,
}

impl Call {
    fn new(method: Method, path: String) -> Call {
        Call { method, path, body: Bytes::new(), wait: Duration::ZERO }
    }
}

/// Returns the innermost cause of an error, which names the failed system call.
fn root_cause(error: &dyn Error) -> CompactString {
    let mut error = error;
    while let Some(source) = error.source() {
        error = source;
    }
    format_compact!("{error}")
}

fn expect_param(expect: Expect) -> CompactString {
    match expect {
        Expect::Any => CompactString::const_new("any"),
        Expect::Absent => CompactString::const_new("absent"),
        Expect::Revision(r) => format_compact!("{r}"),
    }
}
