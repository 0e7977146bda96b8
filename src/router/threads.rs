//! The threads that serve a router's callers.

use super::context::{RouterShared, Worker};
use super::entry;
use crate::error::{Error, Result};
use crate::http_server::Connections;
use crate::http_server::accept::Taken;
use actix_http::HttpService;
use actix_rt::Arbiter;
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory as _};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio_util::task::task_tracker::TaskTrackerToken;

/// How long a caller may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection may rest between two requests.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// A connection on its way to the thread that serves it.
struct Handed {
    stream: std::net::TcpStream,
    open: TaskTrackerToken,
}

/// The threads of a router, which are given connections in turn.
#[derive(Debug)]
pub struct Threads {
    queues: Vec<UnboundedSender<Handed>>,
    next: usize,
}

impl Threads {
    /// Starts as many threads as the settings say.
    pub fn start(shared: &Arc<RouterShared>, connections: &Connections) -> Result<Self> {
        let queues = (0..shared.settings.workers)
            .map(|_| start_thread(shared.clone(), connections.clone()))
            .collect::<Result<_>>()?;
        Ok(Self { queues, next: 0 })
    }

    /// Gives a connection to the next thread.
    pub fn hand(&mut self, taken: Taken) {
        let Taken { stream, peer, open } = taken;
        let stream = match stream.into_std() {
            Ok(stream) => stream,
            Err(err) => return log::warn!("the connection of {peer} is lost: {err}"),
        };
        let queue = &self.queues[self.next];
        self.next = (self.next + 1) % self.queues.len();
        if queue.send(Handed { stream, open }).is_err() {
            log::error!("invariant: the thread that was to serve {peer} has ended");
        }
    }
}

fn start_thread(
    shared: Arc<RouterShared>,
    connections: Connections,
) -> Result<UnboundedSender<Handed>> {
    let (tx, rx) = unbounded_channel();
    let is_started = Arbiter::new().spawn_fn(move || {
        actix_rt::spawn(serve_handed(Worker::new(shared), connections, rx));
    });
    match is_started {
        true => Ok(tx),
        false => Err(Error::Unreachable(
            "a thread for callers cannot be started".to_owned(),
        )),
    }
}

/// Serves the connections that a thread is given.
async fn serve_handed(
    worker: Rc<Worker>,
    connections: Connections,
    mut queue: UnboundedReceiver<Handed>,
) {
    let service = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(HEAD_TIMEOUT)
        .h1_allow_half_closed(false)
        .tcp_nodelay(true)
        .graceful_shutdown_signal(move || connections.closing())
        // Boxed, so that its room is free again once the answer's body begins; a
        // connection keeps the room of the largest unboxed future for good.
        .finish(move |req| Box::pin(entry::serve(worker.clone(), req)))
        .tcp_auto_h2c();
    let Ok(service) = service.new_service(()).await else {
        return log::error!("a thread for callers cannot serve them");
    };
    let service = Rc::new(service);
    while let Some(handed) = queue.recv().await {
        let service = service.clone();
        actix_rt::spawn(serve_connection(handed, service));
    }
}

async fn serve_connection(
    handed: Handed,
    service: Rc<impl Service<TcpStream, Response = (), Error = actix_http::error::DispatchError>>,
) {
    let Handed { stream, open } = handed;
    let served = match TcpStream::from_std(stream) {
        Ok(stream) => service.call(stream).await,
        Err(err) => return log::warn!("a caller's connection is lost: {err}"),
    };
    if let Err(err) = served {
        log::debug!("a caller's connection ended: {err}");
    }
    drop(open);
}
