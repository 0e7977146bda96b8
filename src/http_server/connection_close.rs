//! Closes connections so that callers can determine whether their requests ran.

use super::Connections;
use actix_http::{ConnectionType, Response};
use std::cell::Cell;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long the caller may take to close its side. If a connection is closed earlier, bytes that
/// are still in transit reset it, and the caller loses what it has not read yet.
const PEER_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether a response on a connection has carried `Connection: close`.
#[derive(Debug, Default)]
pub struct CloseHeader {
    is_sent: Cell<bool>,
}

impl CloseHeader {
    /// Returns whether a response has instructed the caller to close the connection.
    pub fn is_sent(&self) -> bool {
        self.is_sent.get()
    }

    /// Adds `Connection: close` to a response.
    pub fn add<B>(&self, response: &mut Response<B>) {
        add_close_header(response);
        self.is_sent.set(true);
    }

    /// Adds `Connection: close` to a response if the server is stopping.
    pub fn add_if_stopping<B>(&self, connections: &Connections, response: &mut Response<B>) {
        if connections.add_close_header_if_stopping(response) {
            self.is_sent.set(true);
        }
    }
}

/// Instructs the caller to close the connection.
pub fn add_close_header<B>(response: &mut Response<B>) {
    let head = response.head_mut();
    head.set_connection_type(ConnectionType::Close);
}

/// Closes an idle connection.
///
/// A caller that was not instructed to close the connection may have sent a request that will not
/// be read. `final_response` reports this to the caller; it is correct because no request is read
/// once it is written.
pub async fn close_connection(
    mut stream: TcpStream,
    final_response: Option<&[u8]>,
) -> io::Result<()> {
    if let Some(final_response) = final_response {
        stream.write_all(final_response).await?;
    }
    stream.shutdown().await?;
    let closing = timeout(PEER_CLOSE_TIMEOUT, discard(&mut stream)).await;
    // A caller that keeps its side open has had time to read the final response.
    closing.unwrap_or(Ok(()))
}

async fn discard(stream: &mut TcpStream) -> io::Result<()> {
    let mut buf = [0; 1024];
    while stream.read(&mut buf).await? > 0 {}
    Ok(())
}
