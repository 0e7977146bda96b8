//! HTTP clients for upstreams and the platform, and the classification of their errors.

mod connector;

use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::{Client, ClientResponse, Connector};
use bytes::Bytes;
use futures::{Stream, StreamExt as _};
use std::time::Duration;
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_CONNECTIONS: usize = 16_384;

/// Creates a client that reuses connections.
///
/// The caller sets a timeout for each request, because the client does not know the request's
/// deadline.
pub fn pooled_client() -> Client {
    client_with_idle_timeout(IDLE_CONNECTION_TIMEOUT)
}

/// Creates a client that opens a new connection for each request.
///
/// An upstream may close an idle connection while a request is being written to it, and then it is
/// unknown whether the request ran. Requests that must not be repeated use new connections, where
/// this cannot happen.
pub fn unpooled_client() -> Client {
    client_with_idle_timeout(Duration::ZERO)
}

fn client_with_idle_timeout(idle_timeout: Duration) -> Client {
    let connector = Connector::new()
        .connector(connector::eof_error_connector())
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(idle_timeout)
        .limit(MAX_CONNECTIONS);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// Returns whether a status is one of a final response (RFC 9110). Clients pass on all numbers of three
/// digits, and take 101 for the end of HTTP on the connection, whether or not it was asked for.
pub fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}

/// Limits on reading a response body.
#[derive(Debug, Clone, Copy)]
pub struct ReadLimits {
    /// The maximum time without new data.
    pub idle_timeout: Duration,
    /// The maximum time for the whole body, for a sender that never ends it.
    pub total_timeout: Duration,
    /// The maximum size of the body.
    pub max_bytes: usize,
}

/// Reads a response body for as long as data arrives, or returns why it is incomplete.
///
/// The idle timeout restarts with each chunk: a single short timeout for bodies of every size
/// would fail large responses on slow links, and again on each retry; see
/// `docs/design/spreading.md`.
pub async fn read_response_body<S>(
    res: &mut ClientResponse<S>,
    limits: ReadLimits,
) -> Result<Vec<u8>, String>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let result = timeout(limits.total_timeout, read_chunks(res, limits)).await;
    result.map_err(|_elapsed| "the response body was not complete in time".to_owned())?
}

async fn read_chunks<S>(res: &mut ClientResponse<S>, limits: ReadLimits) -> Result<Vec<u8>, String>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut body = Vec::new();
    loop {
        let chunk = timeout(limits.idle_timeout, res.next()).await;
        match chunk.map_err(|_elapsed| "no data arrived before the idle timeout".to_owned())? {
            None => return Ok(body),
            Some(Err(err)) => return Err(err.to_string()),
            Some(Ok(bytes)) if body.len() + bytes.len() > limits.max_bytes => {
                return Err("the response body is too large".to_owned());
            }
            Some(Ok(bytes)) => body.extend_from_slice(&bytes),
        }
    }
}

/// Returns whether an error proves that no byte of the request was sent.
///
/// The client also reports `Connect(Disconnected)` for a connection that closed *after* the
/// request was written, so only errors of resolving a name and of opening a connection count. See
/// `docs/design/outcomes.md`.
pub fn proves_unsent(err: &SendRequestError) -> bool {
    match err {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(err) => matches!(
            err,
            ConnectError::Resolver(_)
                | ConnectError::NoRecords
                | ConnectError::Unresolved
                | ConnectError::Timeout
                | ConnectError::Io(_)
        ),
        _ => false,
    }
}
