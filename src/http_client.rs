//! The HTTP client towards upstreams and the platform, and what its errors prove.

mod connector;

use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::{Client, ClientResponse, Connector};
use bytes::Bytes;
use futures::{Stream, StreamExt as _};
use std::time::Duration;
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_CONNECTION_LIFETIME: Duration = Duration::from_secs(30);
const CONNECTIONS_LIMIT: usize = 16_384;

/// Makes a client that reuses connections.
///
/// Time limits are set where a request is made, since the client does not know
/// a request's deadline.
pub fn pooled_client() -> Client {
    client_keeping(IDLE_CONNECTION_LIFETIME)
}

/// Makes a client that opens a connection for each request.
///
/// An upstream may close an idle connection just as a request is written to it,
/// and nobody can tell then whether the request ran. Requests that may not be
/// repeated go over fresh connections, so that this does not happen to them.
pub fn unpooled_client() -> Client {
    client_keeping(Duration::ZERO)
}

fn client_keeping(idle: Duration) -> Client {
    let connector = Connector::new()
        .connector(connector::eof_error_connector())
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(idle)
        .limit(CONNECTIONS_LIMIT);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// How long and how much of an answer is read.
#[derive(Debug, Clone, Copy)]
pub struct ReadLimits {
    /// The longest time in which nothing more comes.
    pub idle_timeout: Duration,
    /// The longest time for all of it, for a sender that never ends.
    pub total_timeout: Duration,
    /// The most bytes.
    pub max_bytes: usize,
}

/// Reads an answer's body for as long as more of it comes, or says why it is not whole.
///
/// A time-out that is the same for every size fails large answers on narrow links, each time
/// anew; see `docs/design/spreading.md`.
pub async fn read_response_body<S>(
    res: &mut ClientResponse<S>,
    limits: ReadLimits,
) -> Result<Vec<u8>, String>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let reading = timeout(limits.total_timeout, read_while_it_comes(res, limits)).await;
    reading.map_err(|_elapsed| "the answer took too long".to_owned())?
}

async fn read_while_it_comes<S>(
    res: &mut ClientResponse<S>,
    limits: ReadLimits,
) -> Result<Vec<u8>, String>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut body = Vec::new();
    loop {
        let coming = timeout(limits.idle_timeout, res.next()).await;
        match coming.map_err(|_elapsed| "nothing came any more".to_owned())? {
            None => return Ok(body),
            Some(Err(err)) => return Err(err.to_string()),
            Some(Ok(piece)) if body.len() + piece.len() > limits.max_bytes => {
                return Err("the answer is too large".to_owned());
            }
            Some(Ok(piece)) => body.extend_from_slice(&piece),
        }
    }
}

/// Tells whether an error proves that no byte of the request was sent.
///
/// The client reports a connection that closed *after* the request was written as
/// `Connect(Disconnected)`, so only the errors of resolving and of opening a
/// connection count. See `docs/design/outcomes.md`.
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
