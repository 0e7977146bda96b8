//! Accepts `h2` connections from other boxes, and serves what they ask for over them: store items
//! ([`super::fetch`]) and connections to upstreams ([`super::tunnel_server`]).

use super::fetch::{FETCH_TIMEOUT, serve_fetch};
use super::tunnel_server::{MAX_TUNNELS, TUNNEL_PATH, serve_tunnel};
use crate::gateway::{Gateway, InFlightGuard};
use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// The most connections from other boxes. A connection without streams takes some kilobytes.
const MAX_CONNECTIONS: u32 = 256;
/// The most fetches that a box serves concurrently: the boxes of a hall of two hundred that start
/// together, a third of which fetch from each of three readers. Their response is packed once, so a
/// waiting fetch holds only some ten kilobytes.
const MAX_CONCURRENT_FETCHES: u32 = 64;
/// How long a connection without streams is kept; the other box closes it sooner.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// How long written data may stay unacknowledged.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// The flow-control window of all tunnels of a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 256 * 1024;
/// The pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Serves other boxes for as long as the process runs.
pub async fn serve_peers(gw: Rc<Gateway>, listener: TcpListener) {
    let connections = Rc::new(Cell::new(0));
    let fetches = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, from)) if connections.get() < MAX_CONNECTIONS => {
                let open = InFlightGuard::new(&connections);
                let (gw, fetches) = (gw.clone(), fetches.clone());
                actix_rt::spawn(async move {
                    let _open = open;
                    if let Err(err) = serve_connection(&gw, stream, from, &fetches).await {
                        log::debug!("the connection from {from} failed: {err}");
                    }
                });
            }
            // The connection is closed at once, and the other box tries another one.
            Ok((_, from)) => log::info!("too many connections from boxes, rejected {from}"),
            Err(err) => {
                log::warn!("cannot accept a connection from a box: {err}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    gw: &Rc<Gateway>,
    stream: TcpStream,
    from: SocketAddr,
    fetches: &Rc<Cell<u32>>,
) -> Result<(), h2::Error> {
    set_socket_options(&stream, from);
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(MAX_TUNNELS)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
    let mut connection = builder.handshake(stream).await?;
    let streams = Rc::new(Cell::new(0));
    loop {
        let accepted = match timeout(IDLE_TIMEOUT, connection.accept()).await {
            Ok(Some(accepted)) => accepted,
            Ok(None) => return Ok(()),
            Err(_elapsed) if streams.get() > 0 => continue,
            Err(_elapsed) => return Ok(()),
        };
        let (req, respond) = accepted?;
        let open = InFlightGuard::new(&streams);
        let (gw, fetches) = (gw.clone(), fetches.clone());
        actix_rt::spawn(async move {
            let _open = open;
            match req.uri().path() {
                TUNNEL_PATH => serve_tunnel(gw, req, respond, from).await,
                _ => serve_limited_fetch(&gw, req, respond, from, &fetches).await,
            }
        });
    }
}

async fn serve_limited_fetch(
    gw: &Gateway,
    req: http::Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    from: SocketAddr,
    fetches: &Rc<Cell<u32>>,
) {
    if fetches.get() >= MAX_CONCURRENT_FETCHES {
        log::info!("too many concurrent fetches, rejected {from}");
        respond.send_reset(Reason::REFUSED_STREAM);
        return;
    }
    let _fetch = InFlightGuard::new(fetches);
    let serving = serve_fetch(gw, req.uri(), &mut respond);
    match timeout(FETCH_TIMEOUT, serving).await {
        Ok(Ok(())) => return,
        Ok(Err(err)) => log::debug!("fetch by {from} failed: {err}"),
        Err(_elapsed) => log::info!("fetch by {from} took too long"),
    }
    respond.send_reset(Reason::CANCEL);
}

fn set_socket_options(stream: &TcpStream, from: SocketAddr) {
    let socket = socket2::SockRef::from(stream);
    let result = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)));
    if let Err(err) = result {
        log::debug!("cannot set the socket options of the connection from {from}: {err}");
    }
}
