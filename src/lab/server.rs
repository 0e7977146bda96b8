//! What all stand-ins have in common: an HTTP server around a state.

use crate::error::{Error, Result};
use actix_http::body::BoxBody;
use actix_http::header::CONTENT_TYPE;
use actix_http::{HttpService, Request, Response, StatusCode};
use actix_server::{Server, ServerHandle};
use bytes::Bytes;
use futures::future::LocalBoxFuture;
use serde::Serialize;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

const BODY_LIMIT: usize = 16 * 1024 * 1024;
const READ_TIMEOUT: Duration = Duration::from_secs(30);
const SHUTDOWN_SECONDS: u64 = 1;

/// A stand-in for one outside system.
pub trait StandIn: Send + Sync + 'static {
    /// Answers one request, whose body has been read.
    fn answer(
        self: Arc<Self>,
        req: Request,
        body: Bytes,
    ) -> LocalBoxFuture<'static, Response<BoxBody>>;
}

/// Listens on an address; port zero takes a free one.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .map_err(|err| Error::Unreachable(format!("cannot listen on {address}: {err}")))
}

/// Serves a stand-in in the background of this system.
pub fn serve<S: StandIn>(
    listener: TcpListener,
    stand_in: Arc<S>,
    workers: usize,
) -> Result<ServerHandle> {
    let server = Server::build()
        .workers(workers)
        .shutdown_timeout(SHUTDOWN_SECONDS)
        .disable_signals()
        .listen("stand-in", listener, move || {
            let stand_in = stand_in.clone();
            HttpService::build()
                .keep_alive(Duration::from_secs(60))
                .h1_allow_half_closed(false)
                .tcp_nodelay(true)
                .finish(move |req: Request| answer(stand_in.clone(), req))
                .tcp_auto_h2c()
        })
        .map_err(|err| Error::Unreachable(format!("cannot serve: {err}")))?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

async fn answer<S: StandIn>(
    stand_in: Arc<S>,
    mut req: Request,
) -> std::result::Result<Response<BoxBody>, Infallible> {
    let mut payload = req.take_payload();
    let body = crate::router::read_full_body(&mut payload, BODY_LIMIT, READ_TIMEOUT).await;
    Ok(match body {
        Ok(body) => stand_in.answer(req, body).await,
        Err(err) => text(StatusCode::BAD_REQUEST, &err.to_string()),
    })
}

/// Waits some milliseconds, and not at all for none: the timer's shortest wait is one.
pub async fn pause(millis: u64) {
    if millis > 0 {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }
}

/// Returns an answer in JSON.
pub fn json(value: &impl Serialize) -> Response<BoxBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::build(StatusCode::OK)
        .insert_header((CONTENT_TYPE, "application/json"))
        .body(body)
        .map_into_boxed_body()
}

/// Returns an answer of a line of text.
pub fn text(status: StatusCode, message: &str) -> Response<BoxBody> {
    Response::build(status)
        .body(message.to_owned())
        .map_into_boxed_body()
}
