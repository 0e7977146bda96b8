//! Graceful shutdown of a router while other threads keep all processors busy.

mod common;

use common::{Answer, Bench, BenchPlan, read_answer, streaming_completion_body};
use futures::future::join_all;
use gatepier::lab::model::ModelBehaviour;
use googletest::prelude::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Number of threads that serve callers, and of callers that stream concurrently.
const SERVING_THREADS: usize = 64;
/// Number of threads that compete with the router for processors.
const BUSY_THREADS: usize = 8;
/// Longer than the two seconds for which a stopping router goes on accepting connections, plus a
/// stream that begins at their end.
const CALL_DURATION: Duration = Duration::from_secs(5);

/// Threads that spin until this is dropped.
struct BusyThreads(Arc<AtomicBool>);

impl BusyThreads {
    fn start() -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        for _ in 0..BUSY_THREADS {
            let is_stopped = is_stopped.clone();
            std::thread::spawn(move || while !is_stopped.load(Ordering::Relaxed) {});
        }
        Self(is_stopped)
    }
}

impl Drop for BusyThreads {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Streams answers until a deadline, each over a connection of its own.
async fn stream_until(bench: &Bench, until: Instant) -> Vec<Answer> {
    let router = bench.boxes["ikeja-1"].files.router;
    let url = format!("http://{router}/v1/chat/completions");
    let mut answers = Vec::new();
    while Instant::now() < until {
        let client = gatepier::http_client::unpooled_client();
        let request = client.post(&url).bearer_auth("comics-key");
        answers
            .push(read_answer(request.send_json(&streaming_completion_body("small")).await).await);
    }
    answers
}

/// Replaces a router while each of its threads serves streams, and signals it `delay` after its
/// successor is ready.
async fn replace_under_streams(delay: Duration) {
    let plan = BenchPlan {
        router_extra: format!("workers = {SERVING_THREADS}\n"),
        ..BenchPlan::default()
    };
    let mut bench = Bench::start(plan).await;
    let slow_behaviour = ModelBehaviour {
        tokens: 60,
        token_ms: 20,
        ..ModelBehaviour::default()
    };
    let models = bench.models.iter();
    models.for_each(|model| model.stand_in.set_behaviour("small/s1", slow_behaviour));
    let running = bench.boxes.get_mut("ikeja-1").unwrap();
    let mut old = running.router.take().unwrap();
    let _busy = BusyThreads::start();
    let until = Instant::now() + CALL_DURATION + delay;
    bench.start_router("ikeja-1");
    let stop = async {
        let ready = bench.boxes.len() + 1;
        let is_ready = async || bench.log_count("\"text\":\"ready\"") == ready;
        bench.wait_for("the new router is ready", is_ready).await;
        actix_rt::time::sleep(delay).await;
        old.signal(libc::SIGTERM);
    };
    let streams = join_all((0..SERVING_THREADS).map(|_| stream_until(&bench, until)));
    let (streams, ()) = futures::join!(streams, stop);
    let answers: Vec<&Answer> = streams.iter().flatten().collect();
    let is_cut = |answer: &&&Answer| !answer.whole || answer.status != 200;
    let cut: Vec<_> = answers.iter().filter(is_cut).collect();
    expect_that!(cut, is_empty(), "of {} answers", answers.len());
    let has_exited = async || old.exit_success().is_some();
    bench
        .wait_for("the old router has exited", has_exited)
        .await;
    expect_that!(old.exit_success(), some(eq(true)));
    let dropped_connections = bench.log_lines("a connection is dropped while it is served");
    expect_that!(dropped_connections, eq(""));
}

cases! {
    /// Guards against a stopping router that ends a serving thread before the thread has been
    /// signalled to drain, which cuts its streams.
    streams_are_complete_when_their_router_is_replaced_beside_busy_threads =>
        replace_under_streams(Duration::ZERO);

    /// The same, with the streams at other positions when the router stops accepting connections.
    streams_are_complete_when_their_router_is_replaced_later_beside_busy_threads =>
        replace_under_streams(Duration::from_millis(350));
}
