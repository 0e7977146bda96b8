//! Callers that reuse one connection and record the outcome of each request on it.

use super::streaming_completion_body;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::CONNECTION;
use hyper::http::request;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// The outcome of a request on a persistent connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response was received.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The `gatepier-outcome` header, which states whether the request ran.
        outcome: String,
        /// Whether it carries `connection: close`.
        closes_connection: bool,
        /// The body of a refusal; empty for status 200.
        refusal: String,
    },
    /// The connection was closed before any byte of the request was written.
    NotSent,
    /// The connection was closed after the request was sent, so it is unknown whether it ran.
    ConnectionLost(String),
}

impl RequestOutcome {
    /// Returns whether the caller knows if its request ran: it was served, it was reported as not
    /// run, or it was never sent.
    pub fn is_outcome_known(&self) -> bool {
        match self {
            Self::Answered { status: 200, .. } | Self::NotSent => true,
            Self::Answered { outcome, .. } => outcome == "not-run",
            Self::ConnectionLost(_) => false,
        }
    }

    /// Returns whether the request was answered with status 200.
    pub fn is_served(&self) -> bool {
        matches!(self, Self::Answered { status: 200, .. })
    }
}

/// An HTTP/1.1 connection that is reused for all requests of a caller.
pub struct PersistentConnection {
    router: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl PersistentConnection {
    /// Connects to a router.
    pub async fn open(router: SocketAddr) -> Self {
        let stream = TcpStream::connect(router).await.unwrap();
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        actix_rt::spawn(async move { drop(connection.await) });
        Self { router, sender }
    }

    /// Reads a manifest from the plain service as the organisation `comics`.
    pub async fn read_manifest(&mut self) -> RequestOutcome {
        let request = Request::get("/reader-api/manifest");
        self.send(request, Bytes::new()).await
    }

    /// Sends a bookmark, which is not idempotent, with an idempotency key.
    pub async fn bookmark(&mut self, key: &str) -> RequestOutcome {
        let request = Request::post("/reader-api/bookmarks").header("idempotency-key", key);
        self.send(request, Bytes::from_static(b"page 7")).await
    }

    /// Requests a streaming completion from the small model.
    pub async fn stream(&mut self) -> RequestOutcome {
        let body = streaming_completion_body("small").to_string();
        self.send(Request::post("/v1/chat/completions"), body.into())
            .await
    }

    async fn send(&mut self, request: request::Builder, body: Bytes) -> RequestOutcome {
        let request = request
            .header("host", self.router.to_string())
            .header("authorization", "Bearer comics-key")
            .body(Full::new(body))
            .unwrap();
        match self.sender.send_request(request).await {
            Ok(response) => read_outcome(response).await,
            Err(err) if err.is_canceled() => RequestOutcome::NotSent,
            Err(err) => RequestOutcome::ConnectionLost(err.to_string()),
        }
    }
}

async fn read_outcome(response: Response<hyper::body::Incoming>) -> RequestOutcome {
    let status = response.status().as_u16();
    let header = |name: &str| {
        let value = response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
            .to_owned()
    };
    let outcome = header("gatepier-outcome");
    let closes_connection = header(CONNECTION.as_str()).eq_ignore_ascii_case("close");
    match response.into_body().collect().await {
        Ok(body) => RequestOutcome::Answered {
            status,
            outcome,
            closes_connection,
            refusal: match status {
                200 => String::new(),
                _ => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
            },
        },
        Err(err) => RequestOutcome::ConnectionLost(format!("cannot read the response body: {err}")),
    }
}

/// Connects to a router by HTTP/2 over cleartext TCP with prior knowledge.
pub async fn connect_over_h2(router: SocketAddr) -> h2::client::SendRequest<Bytes> {
    let stream = TcpStream::connect(router).await.unwrap();
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    actix_rt::spawn(async move { drop(connection.await) });
    sender
}
