//! Connections to upstreams whose end is an error, so that only a body's own framing ends it.

use crate::eof_error_stream::EofErrorStream;
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceExt as _};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector};
use awc::http::Uri;
use std::io;

/// Opens connections whose end is an error.
pub fn eof_error_connector() -> impl Service<
    ConnectInfo<Uri>,
    Response = Connection<Uri, EofErrorStream>,
    Error = ConnectError,
    Future: 'static,
> + Clone
+ 'static {
    Connector::default()
        .service()
        .map(|connection: Connection<Uri, TcpStream>| {
            let (stream, uri) = connection.into_parts();
            if let Err(err) = stream.set_nodelay(true) {
                log::debug!("small packets may wait for others: {err}");
            }
            Connection::new(
                uri,
                EofErrorStream::new(stream, io::ErrorKind::UnexpectedEof),
            )
        })
}
