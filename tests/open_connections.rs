//! Tests of the bound on the connections of callers.

mod common;

use actix_http::{Request, Response};
use gatepier::clock::Now;
use gatepier::http_server::open_connections::{ConnectionCut, OpenConnection, OpenConnections};
use gatepier::http_server::request_gate::RequestGate;
use googletest::prelude::*;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// A connection of a server.
struct Connection {
    gate: Rc<RequestGate>,
    cut: Rc<ConnectionCut>,
    _open: OpenConnection,
}

impl Connection {
    fn open(connections: &Rc<OpenConnections>) -> Self {
        let (gate, cut) = Default::default();
        let open = connections.add(&gate, &cut);
        Self {
            gate,
            cut,
            _open: open,
        }
    }

    /// Begins to answer a request, and never ends.
    async fn serve(&self) {
        let serving = self.gate.clone().answer(Request::new(), async |_req| {
            pending::<()>().await;
            Response::ok().map_into_boxed_body()
        });
        assert!(timeout(Duration::from_millis(1), serving).await.is_err());
    }

    async fn is_cut(&self) -> bool {
        timeout(Duration::ZERO, self.cut.wait()).await.is_ok()
    }
}

/// Returns the moment this long after now.
fn later(by: Duration) -> Now {
    let now = Now::read();
    Now {
        monotonic: now.monotonic + by,
        ..now
    }
}

fn limited_to(limit: usize) -> Rc<OpenConnections> {
    let connections = Rc::<OpenConnections>::default();
    connections.set_limit(limit);
    connections
}

cases! {
    /// Guards against closing a connection whose request is served, or one that is in use.
    longest_idle_connection_makes_room => async {
        let connections = limited_to(3);
        let busy = Connection::open(&connections);
        let idle = Connection::open(&connections);
        let recent = Connection::open(&connections);
        busy.serve().await;
        expect_that!(connections.make_room(later(Duration::from_secs(2))), eq(true));
        expect_that!(connections.len(), eq(2));
        expect_that!(busy.is_cut().await, eq(false));
        expect_that!(idle.is_cut().await, eq(true));
        expect_that!(recent.is_cut().await, eq(false));
    };

    /// Guards against closing connections that have had no time to send a request.
    new_connections_make_no_room => async {
        let connections = limited_to(2);
        let first = Connection::open(&connections);
        let second = Connection::open(&connections);
        expect_that!(connections.make_room(later(Duration::ZERO)), eq(false));
        expect_that!(first.is_cut().await, eq(false));
        expect_that!(second.is_cut().await, eq(false));
    };

    connection_that_has_ended_makes_room => async {
        let connections = limited_to(1);
        let first = Connection::open(&connections);
        expect_that!(connections.make_room(later(Duration::ZERO)), eq(false));
        drop(first);
        expect_that!(connections.make_room(later(Duration::ZERO)), eq(true));
        expect_that!(connections.is_empty(), eq(true));
    };
}
