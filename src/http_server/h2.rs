//! Serves a caller over HTTP/2, and sends `GOAWAY` when the server stops.
//!
//! The HTTP library serves HTTP/2 as well, but cannot be made to send `GOAWAY`, so its callers
//! would reuse the connection until the server cuts it.

use super::Connections;
use crate::clock::Now;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::PayloadError;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, Payload, Request, Response, Version};
use bytes::Bytes;
use futures::{Stream, stream};
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::header::{CONNECTION, CONTENT_LENGTH, DATE, TRANSFER_ENCODING, UPGRADE};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use tokio::net::TcpStream;

/// The most requests of a connection that are served at the same time. A client may not exceed it,
/// and each takes memory until its answer was sent.
const MAX_CONCURRENT_STREAMS: u32 = 128;
/// The limit on the size of a request's headers, in bytes.
const MAX_HEADER_LIST_BYTES: u32 = 64 * 1024;

/// Serves the requests of a connection, each in a task of its own, until the last one has been
/// answered.
pub async fn serve<A>(
    stream: TcpStream,
    peer: SocketAddr,
    connections: &Connections,
    handler: Rc<impl Fn(Request) -> A + 'static>,
) -> Result<(), h2::Error>
where
    A: Future<Output = Response<BoxBody>> + 'static,
{
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .max_header_list_size(MAX_HEADER_LIST_BYTES);
    let mut connection = builder.handshake(stream).await?;
    let mut is_goaway_sent = false;
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = connections.shutdown_announced(), if !is_goaway_sent => {
                // Requests that cross the first `GOAWAY` are still served; the last `GOAWAY`
                // carries the id of the last of them.
                connection.graceful_shutdown();
                is_goaway_sent = true;
                continue;
            }
        };
        let Some(accepted) = accepted else {
            return Ok(());
        };
        let (request, respond) = accepted?;
        actix_rt::spawn(answer(request, respond, peer, handler.clone()));
    }
}

async fn answer<A>(
    request: http::Request<RecvStream>,
    respond: SendResponse<Bytes>,
    peer: SocketAddr,
    handler: Rc<impl Fn(Request) -> A>,
) where
    A: Future<Output = Response<BoxBody>>,
{
    let is_head = request.method() == http::Method::HEAD;
    let result = match convert_request(request, peer) {
        Ok(request) => {
            // Boxed, so that its memory is freed while the answer waits for its caller.
            let response = Box::pin(handler(request)).await;
            send(response, respond, is_head).await
        }
        Err(err) => {
            log::debug!("an HTTP/2 request is invalid: {err}");
            respond_bad_request(respond)
        }
    };
    if let Err(err) = result {
        log::debug!("failed to send an HTTP/2 response: {err}");
    }
}

/// Converts a request to the HTTP library's type, which comes from another version of the `http`
/// crate.
fn convert_request(
    request: http::Request<RecvStream>,
    peer: SocketAddr,
) -> Result<Request, actix_http::error::HttpError> {
    let (parts, body) = request.into_parts();
    let payload: Pin<Box<dyn Stream<Item = _>>> = Box::pin(request_payload(body));
    let mut req = Request::with_payload(Payload::Stream { payload });
    let head = req.head_mut();
    head.version = Version::HTTP_2;
    head.method = Method::from_bytes(parts.method.as_str().as_bytes())?;
    head.uri = parts.uri.to_string().parse()?;
    head.peer_addr = Some(peer);
    for (name, value) in &parts.headers {
        let name = HeaderName::from_bytes(name.as_str().as_bytes())?;
        head.headers
            .append(name, HeaderValue::from_bytes(value.as_bytes())?);
    }
    Ok(req)
}

fn request_payload(body: RecvStream) -> impl Stream<Item = Result<Bytes, PayloadError>> {
    stream::unfold(body, |mut body| async {
        let chunk = body.data().await?;
        let chunk = chunk.and_then(|chunk| {
            body.flow_control().release_capacity(chunk.len())?;
            Ok(chunk)
        });
        let chunk = chunk.map_err(|err| PayloadError::Io(io::Error::other(err)));
        Some((chunk, body))
    })
}

fn respond_bad_request(mut respond: SendResponse<Bytes>) -> Result<(), h2::Error> {
    let mut response = http::Response::new(());
    *response.status_mut() = http::StatusCode::BAD_REQUEST;
    respond.send_response(response, true).map(drop)
}

async fn send(
    response: Response<BoxBody>,
    mut respond: SendResponse<Bytes>,
    is_head: bool,
) -> Result<(), h2::Error> {
    let head = response_head(&response, Now::read());
    let body = response.into_body();
    let is_bodyless = is_head || matches!(body.size(), BodySize::None | BodySize::Sized(0));
    let mut stream = respond.send_response(head, is_bodyless)?;
    match is_bodyless {
        true => Ok(()),
        false => send_body(body, &mut stream).await,
    }
}

fn response_head(response: &Response<BoxBody>, now: Now) -> http::Response<()> {
    let mut head = http::Response::new(());
    let status = http::StatusCode::from_u16(response.status().as_u16());
    *head.status_mut() = status.unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let headers = head.headers_mut();
    for (name, value) in response.headers() {
        let name = http::HeaderName::from_bytes(name.as_str().as_bytes());
        let value = http::HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    for hop_by_hop_header in [CONNECTION, TRANSFER_ENCODING, UPGRADE] {
        headers.remove(hop_by_hop_header);
    }
    if let BodySize::Sized(length) = response.body().size() {
        headers.insert(CONTENT_LENGTH, length.into());
    }
    if let Some(date) = now.wall.http_date().and_then(|date| date.parse().ok()) {
        headers.insert(DATE, date);
    }
    head
}

async fn send_body(mut body: BoxBody, stream: &mut SendStream<Bytes>) -> Result<(), h2::Error> {
    loop {
        match poll_fn(|cx| Pin::new(&mut body).poll_next(cx)).await {
            Some(Ok(chunk)) => send_with_flow_control(stream, chunk).await?,
            Some(Err(err)) => {
                log::debug!("an HTTP/2 response body failed: {err}");
                stream.send_reset(Reason::INTERNAL_ERROR);
                return Ok(());
            }
            None => return stream.send_data(Bytes::new(), true),
        }
    }
}

/// Sends bytes only as fast as the peer reads them. If the peer is frozen, the sender waits, and
/// the connection's send buffer does not grow without bounds.
pub async fn send_with_flow_control(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
) -> Result<(), h2::Error> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = poll_fn(|cx| stream.poll_capacity(cx)).await;
        let capacity = capacity.ok_or(Reason::CANCEL)??;
        let part = bytes.split_to(capacity.min(bytes.len()));
        stream.send_data(part, false)?;
    }
    Ok(())
}
