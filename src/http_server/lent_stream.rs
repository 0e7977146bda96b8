//! A connection that a library serves and that its owner gets back at the end.

use super::ending::Notice;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection on loan. Its end is not passed on: how a connection ends is up to its owner,
/// who may have something to say on it yet.
#[derive(Debug)]
pub struct LentStream {
    /// Present until the loan ends.
    stream: Option<TcpStream>,
    loan: Rc<Loan>,
}

/// What the owner keeps of a connection that is on loan.
#[derive(Debug, Default)]
pub struct Loan {
    returned: RefCell<Option<TcpStream>>,
    /// What the caller was told of the connection's end.
    pub notice: Notice,
}

impl Loan {
    /// Returns the connection, once whoever had it has let go of it.
    pub fn take_back(&self) -> Option<TcpStream> {
        self.returned.borrow_mut().take()
    }
}

impl LentStream {
    /// Lends a connection.
    pub fn lend(stream: TcpStream) -> Self {
        Self {
            stream: Some(stream),
            loan: Rc::default(),
        }
    }

    /// Returns what the owner keeps meanwhile.
    pub fn loan(&self) -> &Rc<Loan> {
        &self.loan
    }

    fn inner(self: Pin<&mut Self>) -> io::Result<Pin<&mut TcpStream>> {
        let stream = self.get_mut().stream.as_mut();
        let stream = stream.ok_or(io::ErrorKind::NotConnected)?;
        Ok(Pin::new(stream))
    }
}

impl Drop for LentStream {
    fn drop(&mut self) {
        *self.loan.returned.borrow_mut() = self.stream.take();
    }
}

impl AsyncRead for LentStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.inner()?.poll_read(cx, buf)
    }
}

impl AsyncWrite for LentStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.inner()?.poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner()?.poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_flush(cx)
    }
}
