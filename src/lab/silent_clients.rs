//! Clients that send many requests ahead and read no answer.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// The batches of requests that a client sends at most, and the requests in each.
const MAX_BATCHES: usize = 200;
const BATCH: usize = 100;
/// A client whose next batch is not taken for this long sends no more.
const STALL: Duration = Duration::from_millis(500);
/// The socket buffers of a client, so that little of what it sends and of what it does not read is
/// held on its side.
const CLIENT_BUFFER_BYTES: u32 = 4096;

/// What each client sends.
#[derive(Debug, Clone)]
pub struct SilentClients {
    first: Vec<u8>,
    request: Vec<u8>,
    batch: fn(&[u8], usize) -> Vec<u8>,
    batches: usize,
}

impl SilentClients {
    /// Clients that send copies of a request.
    pub fn repeating(request: Vec<u8>) -> Self {
        Self::after(Vec::new(), request)
    }

    /// Clients that first send some bytes, and then copies of others.
    pub fn after(first: Vec<u8>, request: Vec<u8>) -> Self {
        Self {
            first,
            request,
            batch: |request, _number| request.repeat(BATCH),
            batches: MAX_BATCHES,
        }
    }

    /// Clients that ask for a path over h2, each time on a stream of its own, and allow the server to
    /// send nothing of the bodies.
    pub fn over_h2(authority: &str, path: &str) -> Self {
        Self {
            first: h2_preface(),
            request: h2_headers(authority, path),
            batch: |headers, number| {
                let streams = (0..BATCH).map(|stream| number * BATCH + stream);
                streams
                    .flat_map(|stream| h2_request(stream, headers))
                    .collect()
            },
            batches: MAX_BATCHES,
        }
    }

    /// Lets each client send only 100 requests, which servers usually allow over h2.
    pub fn with_one_batch(self) -> Self {
        Self { batches: 1, ..self }
    }

    /// Connects this many clients, lets each send until the server takes no more, and returns the
    /// connections that the server has not closed.
    pub async fn run(&self, server: SocketAddr, count: usize) -> Vec<TcpStream> {
        let clients = (0..count).map(|_| {
            let client = self.clone();
            actix_rt::spawn(async move { client.send(server).await })
        });
        let clients: Vec<_> = clients.collect();
        let mut open = Vec::new();
        for client in clients {
            open.extend(client.await.ok().flatten());
        }
        open
    }

    async fn send(self, server: SocketAddr) -> Option<TcpStream> {
        let socket = TcpSocket::new_v4().ok()?;
        socket.set_recv_buffer_size(CLIENT_BUFFER_BYTES).ok()?;
        socket.set_send_buffer_size(CLIENT_BUFFER_BYTES).ok()?;
        let mut stream = socket.connect(server).await.ok()?;
        stream.write_all(&self.first).await.ok()?;
        for number in 0..self.batches {
            let batch = (self.batch)(&self.request, number);
            match timeout(STALL, stream.write_all(&batch)).await {
                Ok(Ok(())) => {}
                Ok(Err(_closed)) => return None,
                Err(_elapsed) => break,
            }
        }
        Some(stream)
    }
}

/// Returns the begin of a connection over h2.
fn h2_preface() -> Vec<u8> {
    const SETTINGS_HEAD: [u8; 9] = [0, 0, 6, 4, 0, 0, 0, 0, 0];
    const NO_INITIAL_WINDOW: [u8; 6] = [0, 4, 0, 0, 0, 0];
    let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    bytes.extend_from_slice(&SETTINGS_HEAD);
    bytes.extend_from_slice(&NO_INITIAL_WINDOW);
    bytes
}

/// Returns the header block of a `GET`; texts are shorter than 127 bytes.
fn h2_headers(authority: &str, path: &str) -> Vec<u8> {
    const GET: u8 = 0x82;
    const HTTP: u8 = 0x86;
    const AUTHORITY: u8 = 0x01;
    const PATH: u8 = 0x04;
    let mut bytes = vec![GET, HTTP];
    for (name, text) in [(AUTHORITY, authority), (PATH, path)] {
        bytes.extend_from_slice(&[name, text.len() as u8]);
        bytes.extend_from_slice(text.as_bytes());
    }
    bytes
}

/// Returns a request on a client's n-th stream.
fn h2_request(number: usize, headers: &[u8]) -> Vec<u8> {
    const HEADERS: u8 = 1;
    const END_OF_STREAM_AND_HEADERS: u8 = 0x5;
    let stream = 2 * number as u32 + 1;
    let mut bytes = vec![
        0,
        0,
        headers.len() as u8,
        HEADERS,
        END_OF_STREAM_AND_HEADERS,
    ];
    bytes.extend_from_slice(&stream.to_be_bytes());
    bytes.extend_from_slice(headers);
    bytes
}
