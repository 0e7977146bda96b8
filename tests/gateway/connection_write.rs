//! The last check before the first write of a request that may not be repeated.

use super::cases;
use gatepier::clock::Now;
use gatepier::gateway::attempt::connection_write::{GatedStream, WriteGate};
use googletest::prelude::*;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

const LONG: Duration = Duration::from_secs(60);

/// Opens a connection, and lets a function use its gated end and the other one.
fn with_pair<F: Future<Output = ()>>(run: impl FnOnce(GatedStream, Rc<WriteGate>, TcpStream) -> F) {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (opened, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
        let gate = Rc::<WriteGate>::default();
        let gated = GatedStream::new(opened.unwrap(), gate.clone());
        run(gated, gate, accepted.unwrap().0).await;
    });
}

fn soon() -> Duration {
    Now::read().monotonic + LONG
}

cases! {
    write_in_time_is_passed_on_and_counted => {
        with_pair(async |mut gated, gate, mut accepted| {
            gate.require(soon());
            gated.write_all(b"one").await.unwrap();
            // Only the first write is checked; the rest of a request follows at any time.
            gate.require(soon());
            gated.write_all(b"two").await.unwrap();
            let mut read = [0; 6];
            accepted.read_exact(&mut read).await.unwrap();
            expect_that!(&read, eq(b"onetwo"));
            expect_that!(gate.written(), eq(6));
            expect_that!(gate.has_refused(), eq(false));
        });
    }

    late_write_is_refused_without_a_byte => {
        with_pair(async |mut gated, gate, mut accepted| {
            gate.require(Duration::ZERO);
            let err = gated.write_all(b"late").await.unwrap_err();
            expect_that!(err.kind(), eq(io::ErrorKind::TimedOut));
            expect_that!((gate.written(), gate.has_refused()), eq((0, true)));
            drop(gated);
            let mut read = Vec::new();
            accepted.read_to_end(&mut read).await.unwrap();
            expect_that!(read, is_empty());
        });
    }

    // The end has arrived, but no task of the box has seen it.
    write_to_a_connection_that_has_ended_is_refused => {
        with_pair(async |mut gated, gate, accepted| {
            drop(accepted);
            std::thread::sleep(Duration::from_millis(20));
            gate.require(soon());
            let err = gated.write_all(b"x").await.unwrap_err();
            expect_that!(err.kind(), eq(io::ErrorKind::ConnectionAborted));
            expect_that!((gate.written(), gate.has_refused()), eq((0, false)));
        });
    }

    writes_without_a_requirement_are_not_checked => {
        with_pair(async |mut gated, gate, accepted| {
            drop(accepted);
            std::thread::sleep(Duration::from_millis(20));
            expect_that!(gated.write_all(b"x").await.is_ok(), eq(true));
            expect_that!(gate.written(), eq(1));
        });
    }
}
