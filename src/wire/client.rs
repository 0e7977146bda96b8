//! Client for calls to another process of the fleet.

use super::message::{ControlRequest, ControlResponse, Update};
use super::tls::FleetTls;
use super::{WireError, decode, encode, read_body, release_window, split_frame};
use bytes::{Bytes, BytesMut};
use h2::client::SendRequest;
use http::{Method, Request, StatusCode};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Path of calls with a single response.
pub const CALL_PATH: &str = "/call";
/// Path of the update stream.
pub const FOLLOW_PATH: &str = "/follow";

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Connection to another process, opened on demand and reused.
#[derive(Debug)]
pub struct WireClient {
    address: SocketAddr,
    tls: FleetTls,
    connection: RefCell<Option<SendRequest<Bytes>>>,
    bytes_sent: Cell<u64>,
}

impl WireClient {
    /// Creates a client for the process at an address.
    pub fn new(address: SocketAddr, tls: FleetTls) -> Self {
        Self {
            address,
            tls,
            connection: RefCell::default(),
            bytes_sent: Cell::default(),
        }
    }

    /// Returns the address of the other process.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the total size in bytes of the messages sent, without the overhead of HTTP/2 and
    /// TLS.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent.get()
    }

    /// Sends a call and waits for its response until the deadline.
    ///
    /// A call without a response drops the connection, since the other process may be frozen or
    /// partitioned.
    pub async fn call(
        &self,
        request: &ControlRequest,
        deadline: Duration,
    ) -> Result<ControlResponse, WireError> {
        let body = encode(request)?;
        self.bytes_sent
            .set(self.bytes_sent.get() + body.len() as u64);
        let sender = self.ready_connection().await?;
        let response = match timeout(deadline, send_call(sender, body)).await {
            Ok(response) => response,
            Err(_) => Err(WireError::NoAnswer("the deadline passed".to_owned())),
        };
        if response.is_err() {
            self.connection.borrow_mut().take();
        }
        decode(&response?)
    }

    /// Opens the stream of updates of the other process.
    pub async fn follow(&self) -> Result<UpdateStream, WireError> {
        let sender = self.ready_connection().await?;
        let opened = timeout(
            CONNECT_TIMEOUT,
            send_request(sender, FOLLOW_PATH, Bytes::new()),
        )
        .await;
        let body = opened.map_err(|_| WireError::NoAnswer("the deadline passed".to_owned()))??;
        Ok(UpdateStream {
            body,
            buf: BytesMut::new(),
        })
    }

    async fn ready_connection(&self) -> Result<SendRequest<Bytes>, WireError> {
        let existing = self.connection.borrow().clone();
        if let Some(sender) = existing
            && let Ok(sender) = sender.ready().await
        {
            return Ok(sender);
        }
        let connected = timeout(CONNECT_TIMEOUT, connect(self.address, &self.tls)).await;
        let sender =
            connected.map_err(|_| WireError::NotSent("the deadline passed".to_owned()))??;
        self.connection.replace(Some(sender.clone()));
        sender
            .ready()
            .await
            .map_err(|err| WireError::NotSent(err.to_string()))
    }
}

async fn connect(address: SocketAddr, tls: &FleetTls) -> Result<SendRequest<Bytes>, WireError> {
    let not_sent = |reason: String| WireError::NotSent(reason);
    let tcp = TcpStream::connect(address)
        .await
        .map_err(|err| not_sent(err.to_string()))?;
    tcp.set_nodelay(true)
        .map_err(|err| not_sent(err.to_string()))?;
    let stream = tls
        .connector
        .connect(tls.server_name.clone(), tcp)
        .await
        .map_err(|err| not_sent(err.to_string()))?;
    let (sender, connection) = h2::client::handshake(stream)
        .await
        .map_err(|err| not_sent(err.to_string()))?;
    actix_rt::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("connection to {address} closed: {err}");
        }
    });
    Ok(sender)
}

async fn send_call(sender: SendRequest<Bytes>, body: Bytes) -> Result<Bytes, WireError> {
    let mut body = send_request(sender, CALL_PATH, body).await?;
    read_body(&mut body).await
}

async fn send_request(
    mut sender: SendRequest<Bytes>,
    path: &str,
    body: Bytes,
) -> Result<h2::RecvStream, WireError> {
    let no_answer = |err: h2::Error| WireError::NoAnswer(err.to_string());
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .body(())
        .map_err(|err| WireError::NotSent(err.to_string()))?;
    let (response, mut stream) = sender.send_request(request, false).map_err(no_answer)?;
    stream.send_data(body, true).map_err(no_answer)?;
    let response = response.await.map_err(no_answer)?;
    if response.status() != StatusCode::OK {
        return Err(WireError::NoAnswer(format!(
            "unexpected status {}",
            response.status()
        )));
    }
    Ok(response.into_body())
}

/// Stream of updates from another process, in order.
#[derive(Debug)]
pub struct UpdateStream {
    body: h2::RecvStream,
    buf: BytesMut,
}

impl UpdateStream {
    /// Waits for the next update, or returns `None` if the other process has ended the stream.
    pub async fn next(&mut self) -> Result<Option<Update>, WireError> {
        loop {
            if let Some(frame) = split_frame(&mut self.buf)? {
                return decode(&frame).map(Some);
            }
            let Some(chunk) = self.body.data().await else {
                return Ok(None);
            };
            let chunk = chunk.map_err(|err| WireError::NoAnswer(err.to_string()))?;
            release_window(&mut self.body, chunk.len())?;
            self.buf.extend_from_slice(&chunk);
        }
    }
}
