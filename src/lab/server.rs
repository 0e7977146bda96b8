//! HTTP server shared by all stand-ins.

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

const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
const READ_TIMEOUT: Duration = Duration::from_secs(30);
const SHUTDOWN_TIMEOUT_SECONDS: u64 = 1;

/// A stub server that replaces one external system.
pub trait StandIn: Send + Sync + 'static {
    /// Handles a request whose body has been read completely.
    fn handle(
        self: Arc<Self>,
        req: Request,
        body: Bytes,
    ) -> LocalBoxFuture<'static, Response<BoxBody>>;
}

/// Binds a listener to an address; port 0 selects a free port.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .map_err(|err| Error::Unreachable(format!("cannot listen on {address}: {err}")))
}

/// Serves a stand-in in the background of the current actix system.
pub fn serve<S: StandIn>(
    listener: TcpListener,
    stand_in: Arc<S>,
    workers: usize,
) -> Result<ServerHandle> {
    let server = Server::build()
        .workers(workers)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_SECONDS)
        .disable_signals()
        .listen("stand-in", listener, move || {
            let stand_in = stand_in.clone();
            HttpService::build()
                .keep_alive(Duration::from_secs(60))
                .h1_allow_half_closed(false)
                .tcp_nodelay(true)
                .finish(move |req: Request| handle_request(stand_in.clone(), req))
                .tcp_auto_h2c()
        })
        .map_err(|err| Error::Unreachable(format!("cannot start the stand-in server: {err}")))?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

async fn handle_request<S: StandIn>(
    stand_in: Arc<S>,
    mut req: Request,
) -> std::result::Result<Response<BoxBody>, Infallible> {
    let mut payload = req.take_payload();
    let body = crate::router::read_full_body(&mut payload, MAX_BODY_BYTES, READ_TIMEOUT).await;
    Ok(match body {
        Ok(body) => stand_in.handle(req, body).await,
        Err(err) => text_response(StatusCode::BAD_REQUEST, &err.to_string()),
    })
}

/// Sleeps for some milliseconds. Zero returns at once, since the timer would sleep for at least
/// one millisecond.
pub async fn sleep_ms(millis: u64) {
    if millis > 0 {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }
}

/// Returns a 200 response with a JSON body.
pub fn json_response(value: &impl Serialize) -> Response<BoxBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::build(StatusCode::OK)
        .insert_header((CONTENT_TYPE, "application/json"))
        .body(body)
        .map_into_boxed_body()
}

/// Returns a response with a plain text body.
pub fn text_response(status: StatusCode, message: &str) -> Response<BoxBody> {
    Response::build(status)
        .body(message.to_owned())
        .map_into_boxed_body()
}
