//! Server for calls from other processes of the fleet.

use super::client::{CALL_PATH, FOLLOW_PATH};
use super::message::{ControlRequest, ControlResponse, Update};
use super::tls::FleetTls;
use super::{WireError, decode, encode, encode_frame, read_body};
use crate::http_server::accept::accept;
use crate::http_server::h2::send_with_flow_control;
use bytes::Bytes;
use futures::future::LocalBoxFuture;
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the caller may take to send the body of a call.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles the calls from other processes of the fleet.
pub trait Handler {
    /// Handles a call and returns the response.
    fn handle(self: Rc<Self>, request: ControlRequest) -> LocalBoxFuture<'static, ControlResponse>;

    /// Returns the update stream for one subscriber, which begins with the complete current state.
    fn follow(self: Rc<Self>) -> mpsc::Receiver<Update>;
}

/// Accepts connections until the process ends.
pub async fn serve<H: Handler + 'static>(listener: TcpListener, tls: FleetTls, handler: Rc<H>) {
    accept(&listener, |tcp, _peer| {
        actix_rt::spawn(serve_connection(tcp, tls.clone(), handler.clone()));
    })
    .await;
}

async fn serve_connection<H: Handler + 'static>(tcp: TcpStream, tls: FleetTls, handler: Rc<H>) {
    let peer = tcp.peer_addr();
    if let Err(reason) = handle_connection(tcp, tls, handler).await {
        log::debug!("connection from {peer:?} closed: {reason}");
    }
}

async fn handle_connection<H: Handler + 'static>(
    tcp: TcpStream,
    tls: FleetTls,
    handler: Rc<H>,
) -> Result<(), String> {
    tcp.set_nodelay(true).map_err(|err| err.to_string())?;
    let tls_stream = timeout(HANDSHAKE_TIMEOUT, tls.acceptor.accept(tcp)).await;
    let tls_stream = tls_stream
        .map_err(|err| err.to_string())?
        .map_err(|err| err.to_string())?;
    let mut connection = h2::server::handshake(tls_stream)
        .await
        .map_err(|err| err.to_string())?;
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = accepted.map_err(|err| err.to_string())?;
        actix_rt::spawn(respond_to(request, respond, handler.clone()));
    }
    Ok(())
}

async fn respond_to<H: Handler + 'static>(
    request: Request<h2::RecvStream>,
    respond: SendResponse<Bytes>,
    handler: Rc<H>,
) {
    let outcome = match request.uri().path() {
        CALL_PATH => respond_to_call(request.into_body(), respond, handler).await,
        FOLLOW_PATH => stream_updates(respond, handler.follow()).await,
        _ => respond_not_found(respond),
    };
    if let Err(err) = outcome {
        log::debug!("failed to respond to a call: {err}");
    }
}

async fn respond_to_call<H: Handler + 'static>(
    mut body: h2::RecvStream,
    mut respond: SendResponse<Bytes>,
    handler: Rc<H>,
) -> Result<(), WireError> {
    let body = timeout(READ_TIMEOUT, read_body(&mut body)).await;
    let body = body.map_err(|_| WireError::NoAnswer("timed out reading the call".to_owned()))??;
    let response = handler.handle(decode(&body)?).await;
    let mut stream = respond
        .send_response(Response::new(()), false)
        .map_err(response_lost)?;
    stream
        .send_data(encode(&response)?, true)
        .map_err(response_lost)
}

async fn stream_updates(
    mut respond: SendResponse<Bytes>,
    mut updates: mpsc::Receiver<Update>,
) -> Result<(), WireError> {
    let mut stream = respond
        .send_response(Response::new(()), false)
        .map_err(response_lost)?;
    while let Some(update) = updates.recv().await {
        let sent = send_with_flow_control(&mut stream, encode_frame(&update)?).await;
        sent.map_err(response_lost)?;
    }
    stream.send_data(Bytes::new(), true).map_err(response_lost)
}

fn respond_not_found(mut respond: SendResponse<Bytes>) -> Result<(), WireError> {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::NOT_FOUND;
    respond
        .send_response(response, true)
        .map(|_| ())
        .map_err(response_lost)
}

fn response_lost(err: h2::Error) -> WireError {
    WireError::NoAnswer(err.to_string())
}
