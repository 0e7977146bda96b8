//! Callers that keep one connection and tell what became of each request on it.

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

/// What became of a request on a kept connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// An answer came whole.
    Answered {
        /// Its status.
        status: u16,
        /// What it says about whether the request ran.
        outcome: String,
        /// Whether it asks the caller to leave the connection.
        closes_connection: bool,
        /// The body of a refusal, empty for an answer of an upstream.
        refusal: String,
    },
    /// The connection had ended before a byte of the request was written.
    NotSent,
    /// The connection ended with the request on its way, so nobody knows whether it ran.
    ConnectionLost(String),
}

impl RequestOutcome {
    /// Tells whether the caller knows what became of its request: it was served, it is known not
    /// to have run, or it was never sent.
    pub fn is_outcome_known(&self) -> bool {
        match self {
            Self::Answered { status: 200, .. } | Self::NotSent => true,
            Self::Answered { outcome, .. } => outcome == "not-run",
            Self::ConnectionLost(_) => false,
        }
    }

    /// Tells whether the request was served.
    pub fn is_served(&self) -> bool {
        matches!(self, Self::Answered { status: 200, .. })
    }
}

/// A connection that its caller keeps.
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

    /// Reads a manifest of the plain service as `comics`.
    pub async fn read_manifest(&mut self) -> RequestOutcome {
        let request = Request::get("/reader-api/manifest");
        self.send(request, Bytes::new()).await
    }

    /// Sends a bookmark, which may not be repeated, under a key.
    pub async fn bookmark(&mut self, key: &str) -> RequestOutcome {
        let request = Request::post("/reader-api/bookmarks").header("idempotency-key", key);
        self.send(request, Bytes::from_static(b"page 7")).await
    }

    /// Asks for a stream of the small model.
    pub async fn stream(&mut self) -> RequestOutcome {
        let question = streaming_completion_body("small").to_string();
        self.send(Request::post("/v1/chat/completions"), question.into())
            .await
    }

    async fn send(&mut self, request: request::Builder, body: Bytes) -> RequestOutcome {
        let request = request
            .header("host", self.router.to_string())
            .header("authorization", "Bearer comics-key")
            .body(Full::new(body))
            .unwrap();
        match self.sender.send_request(request).await {
            Ok(response) => read(response).await,
            Err(err) if err.is_canceled() => RequestOutcome::NotSent,
            Err(err) => RequestOutcome::ConnectionLost(err.to_string()),
        }
    }
}

async fn read(response: Response<hyper::body::Incoming>) -> RequestOutcome {
    let status = response.status().as_u16();
    let text = |name: &str| {
        let value = response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
            .to_owned()
    };
    let outcome = text("gatepier-outcome");
    let closes_connection = text(CONNECTION.as_str()).eq_ignore_ascii_case("close");
    match response.into_body().collect().await {
        Ok(whole) => RequestOutcome::Answered {
            status,
            outcome,
            closes_connection,
            refusal: match status {
                200 => String::new(),
                _ => String::from_utf8_lossy(&whole.to_bytes()).into_owned(),
            },
        },
        Err(err) => RequestOutcome::ConnectionLost(format!("the body: {err}")),
    }
}

/// Connects to a router by HTTP/2, without TLS and without asking what it speaks.
pub async fn connect_over_h2(router: SocketAddr) -> h2::client::SendRequest<Bytes> {
    let stream = TcpStream::connect(router).await.unwrap();
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    actix_rt::spawn(async move { drop(connection.await) });
    sender
}
