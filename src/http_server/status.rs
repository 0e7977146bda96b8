//! Serves connections whose requests are answered by their path alone: readiness checks and metrics.

use super::gated_stream::{GatedStream, HeadLimits};
use super::open_connections::{ConnectionCut, OpenConnections};
use crate::clock::Now;
use actix_http::body::BoxBody;
use actix_http::error::DispatchError;
use actix_http::{HttpService, Request, Response};
use actix_service::{Service as _, ServiceFactory as _};
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::TcpStream;

/// The most connections of an address. Load balancers and collectors of metrics use a few.
const MAX_CONNECTIONS: usize = 64;

/// The connections of an address for status requests.
#[derive(Debug)]
pub struct StatusConnections(Rc<OpenConnections>);

impl Default for StatusConnections {
    fn default() -> Self {
        let connections = Rc::<OpenConnections>::default();
        connections.set_limit(MAX_CONNECTIONS);
        Self(connections)
    }
}

impl StatusConnections {
    /// Serves a connection. At the limit, those that have been idle longest are closed, or else the
    /// new one.
    pub async fn serve(
        &self,
        stream: TcpStream,
        respond: impl Fn(&str) -> Response<BoxBody> + 'static,
    ) -> Result<(), DispatchError> {
        if !self.0.make_room(Now::read()) {
            return Ok(());
        }
        let peer = stream.peer_addr().ok();
        let stream = GatedStream::new(stream, HeadLimits::default());
        let (gate, cut) = (stream.gate().clone(), Rc::<ConnectionCut>::default());
        let _open = self.0.add(&gate, &cut);
        let respond = Rc::new(respond);
        let handler = move |req: Request| {
            let (gate, respond) = (gate.clone(), respond.clone());
            async move {
                let answer = gate.answer(req, async |req| respond(req.path()));
                Ok::<_, Infallible>(answer.await)
            }
        };
        let service = HttpService::build().h1(handler).new_service(()).await;
        let service = service.map_err(|()| DispatchError::InternalError)?;
        tokio::select! {
            served = service.call((stream, peer)) => served,
            () = cut.wait() => Ok(()),
        }
    }
}
