//! A connector whose connections report end of file as an error, so that a response body ends only
//! where its framing specifies.

use crate::eof_error_stream::EofErrorStream;
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceExt as _};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector};
use awc::http::Uri;
use std::io;

/// Returns a connector whose connections report end of file as `UnexpectedEof`.
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
                log::debug!("cannot set TCP_NODELAY; small packets may be delayed: {err}");
            }
            Connection::new(
                uri,
                EofErrorStream::new(stream, io::ErrorKind::UnexpectedEof),
            )
        })
}
