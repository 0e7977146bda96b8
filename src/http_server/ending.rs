//! How a connection ends without leaving its caller in doubt.

use super::Connections;
use actix_http::Response;
use std::cell::Cell;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long the caller may take to close its side. A connection that is closed before it has
/// done so is reset by what is still on the way, and the caller loses what it has not read.
const CLOSE_PATIENCE: Duration = Duration::from_secs(1);

/// Whether the caller of a connection was told that it ends.
#[derive(Debug, Default)]
pub struct Notice {
    is_given: Cell<bool>,
}

impl Notice {
    /// Tells whether an answer has asked the caller to leave.
    pub fn is_given(&self) -> bool {
        self.is_given.get()
    }

    /// Asks the caller to leave with this answer, if the server is about to stop.
    pub fn give<B>(&self, connections: &Connections, response: &mut Response<B>) {
        if connections.ask_to_leave(response) {
            self.is_given.set(true);
        }
    }
}

/// Ends a connection on which nothing is under way any more.
///
/// A caller that was not told may have sent a request that nobody will read. `last_words` is an
/// answer that says so; no request is read after it was written, which makes it true.
pub async fn end_connection(mut stream: TcpStream, last_words: Option<&[u8]>) -> io::Result<()> {
    if let Some(last_words) = last_words {
        stream.write_all(last_words).await?;
    }
    stream.shutdown().await?;
    let closing = timeout(CLOSE_PATIENCE, discard(&mut stream)).await;
    // A caller that keeps its side open has had the time to read what it was told.
    closing.unwrap_or(Ok(()))
}

async fn discard(stream: &mut TcpStream) -> io::Result<()> {
    let mut buf = [0; 1024];
    while stream.read(&mut buf).await? > 0 {}
    Ok(())
}
