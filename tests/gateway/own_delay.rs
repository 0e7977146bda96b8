//! What a box that is late by itself concludes about upstreams, versions and callers: nothing.

use super::{cases, listed};
use gatepier::clock::Now;
use gatepier::gateway::answer::held_bytes::{BudgetShare, HeldBytes, HeldKind, MIN_STALL};
use gatepier::gateway::attempt::connect::ConnectionPool;
use gatepier::gateway::attempt::upstream::Upstream;
use gatepier::gateway::attempt::upstream_paths::DialError;
use gatepier::gateway::telemetry::Telemetry;
use gatepier::gateway::versions::histogram::buckets_in;
use gatepier::gateway::versions::local_statistics::LocalStatistics;
use gatepier::gateway::versions::statistics::{LatencyMetric, ResponseKind, SampledRequest};
use gatepier::metrics::Metrics;
use gatepier::saturation::Saturation;
use googletest::prelude::*;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

const SERVICE: &str = "inkmind";
/// The number of upstreams that have to fail until their service is lost.
const UPSTREAMS: usize = 3;
/// The delay of a box that is late.
const OWN_DELAY: Duration = Duration::from_millis(80);
const ORDER: u64 = 7;

fn earlier(now: Now, by: Duration) -> Now {
    Now {
        monotonic: now.monotonic - by,
        ..now
    }
}

/// Returns the measurements of a box whose connections have all been late until now.
fn late_box() -> Rc<Saturation> {
    let saturation = Rc::<Saturation>::default();
    let now = Now::read();
    let ms = Duration::from_millis;
    let usual = earlier(now, ms(1000));
    saturation.record_connect("ikeja", earlier(usual, ms(2)), usual);
    for age in (0..20).rev().map(|sample| ms(sample * 10)) {
        let opened = earlier(now, age);
        saturation.record_connect("ikeja", earlier(opened, OWN_DELAY + ms(2)), opened);
    }
    saturation
}

/// Listens so that further connections are neither accepted nor refused.
fn listen_without_room() -> (SocketAddr, TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().unwrap();
    // The queue of a listener holds one connection more than its backlog.
    let waiting = TcpStream::connect(address).unwrap();
    (address, listener, vec![waiting])
}

/// Tries to connect to upstreams that do not answer; returns the errors, and whether their service is
/// lost to the box.
async fn connect_in_vain(saturation: Rc<Saturation>) -> (Vec<DialError>, bool) {
    let telemetry = Rc::new(Telemetry::new(&Metrics::new().unwrap()));
    let pool = ConnectionPool::new(telemetry, saturation);
    pool.set_listed(SERVICE, UPSTREAMS);
    let mut errors = Vec::new();
    for number in 0..UPSTREAMS {
        let (address, _listener, _waiting) = listen_without_room();
        let mut entry = listed(&format!("i-{number}"), SERVICE, "ikeja");
        entry.address = address;
        let upstream = Upstream::new(entry);
        errors.push(pool.connect_directly(&upstream).await.unwrap_err());
    }
    (errors, pool.is_lost(SERVICE, Now::read()))
}

/// Returns the time so far of a response that was sent a time ago, as the number of its bucket.
fn time_so_far(saturation: Rc<Saturation>, sent_ago: Duration) -> i16 {
    let statistics = LocalStatistics::new(saturation);
    let now = Now::read();
    let request = SampledRequest {
        order: ORDER,
        window: 0,
        elapsed: Duration::ZERO,
        is_new_version: true,
    };
    let kind = ResponseKind {
        route: "recap",
        metric: LatencyMetric::ResponseTime,
    };
    let timer = statistics.start_timer(request, kind, 1.0, earlier(now, sent_ago));
    let seen = statistics.statistics(ORDER, now);
    drop(timer);
    let pair = seen.groups.values().next().unwrap();
    let (bucket, _count) = pair.new.in_flight.buckets().next().unwrap();
    bucket
}

cases! {
    time_outs_of_a_box_that_is_on_time_show_that_it_reaches_no_upstream => {
        let (errors, is_lost) = actix_rt::System::new().block_on(connect_in_vain(Rc::default()));
        expect_that!(errors, each(matches_pattern!(DialError::Upstream(_))));
        expect_that!(is_lost, eq(true));
    }

    // Guards against a box with a full link that takes its own delay for a loss of all upstreams, and
    // opens tunnels through boxes that it does not reach in time either.
    time_outs_of_a_late_box_show_nothing_about_upstreams => {
        let (errors, is_lost) = actix_rt::System::new().block_on(connect_in_vain(late_box()));
        expect_that!(errors, each(matches_pattern!(DialError::BoxLate)));
        expect_that!(is_lost, eq(false));
    }

    // Guards against sound runs that are cut by the time-outs of a late box.
    time_out_is_longer_by_the_own_delay => {
        let late = late_box();
        let answer = || tokio::time::sleep(OWN_DELAY - Duration::from_millis(20));
        let limit = Duration::from_millis(30);
        let system = actix_rt::System::new();
        let waited = system.block_on(async { late.timeout(limit, answer()).await });
        expect_that!(waited, some(anything()));
        let on_time = Saturation::default();
        let waited = system.block_on(async { on_time.timeout(limit, answer()).await });
        expect_that!(waited, none());
    }

    // Guards against a sound version that is taken back because a late box sees all answers late.
    own_delay_is_no_time_of_a_version => {
        let sent_ago = Duration::from_millis(100);
        let on_time = time_so_far(Rc::default(), sent_ago);
        let late = time_so_far(late_box(), sent_ago);
        // 100 ms, and 20 ms without the own delay of 80 ms.
        expect_that!(on_time - late, ge(buckets_in(4.0)));
    }

    // Guards against callers of a late box that are let go because their answers wait in the box's link.
    own_delay_is_no_stall_of_a_caller => {
        let stalls_for = |own_delay: Duration| {
            let mut held = HeldBytes::new(100);
            held.set_own_delay(own_delay);
            let account = held.open("q-1");
            held.resize(account, HeldKind::RelayedPiece, 100).unwrap();
            held.wait_for_caller(account, super::at(0));
            let now = super::at(u64::try_from(MIN_STALL.as_millis()).unwrap() + 100);
            held.make_room(10, BudgetShare::Whole, now).len()
        };
        expect_that!(stalls_for(Duration::ZERO), eq(1));
        expect_that!(stalls_for(Duration::from_millis(200)), eq(0));
    }
}
