//! Tests of what a process concludes from its own delay: how long it is, how many requests it takes on,
//! and when it asks for new callers to be sent elsewhere. In virtual time.

use gatepier::clock::{Now, WallTime};
use gatepier::http_server::load_shedding::{Lateness, LoadShedder, UnreadConnection};
use gatepier::saturation::Saturation;
use gatepier::saturation::concurrency_limit::{ConcurrencyLimit, MIN_LIMIT};
use gatepier::saturation::connect_times::ConnectTimes;
use gatepier::saturation::delay_window::DelayWindow;
use gatepier::saturation::withdrawal::Withdrawal;
use googletest::prelude::*;
use std::time::Duration;

/// Defines each case as a test.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(
            #[googletest::test]
            fn $name() $body
        )+
    };
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> Now {
    Now {
        monotonic: ms(millis),
        wall: WallTime(0),
    }
}

/// Records a delay in milliseconds each 20 ms, and returns the window and the time of the last one.
fn window_of(delays: &[u64]) -> (DelayWindow, Now) {
    let mut window = DelayWindow::default();
    let mut now = at(0);
    for (index, delay) in delays.iter().enumerate() {
        now = at(1000 + index as u64 * 20);
        window.record(ms(*delay), now);
    }
    (window, now)
}

/// A process that gets a constant number of new requests a second, each of which stays for a while and
/// whose delay grows with the requests beyond those that it can have in progress.
struct Load {
    arrivals_per_tick: u32,
    stays_ticks: usize,
    capacity: u32,
}

/// The results of a load.
struct LoadResult {
    admitted: u32,
    longest_without_admission: u32,
    in_progress_at_end: u32,
    is_withdrawn: bool,
}

const TICK: u64 = 20;

impl Load {
    fn run(&self, ticks: u64) -> LoadResult {
        let shedder = LoadShedder::default();
        let mut in_progress: Vec<(u64, UnreadConnection)> = Vec::new();
        let (mut admitted, mut waited, mut longest) = (0, 0, 0);
        for tick in 0..ticks {
            let now = at(10_000 + tick * TICK);
            in_progress.retain(|(end, _)| *end > tick);
            let excess = (in_progress.len() as u32).saturating_sub(self.capacity);
            let lateness = match excess {
                0 => Lateness::Tolerated,
                1..=10 => Lateness::Noticeable,
                _ => Lateness::Critical,
            };
            shedder.adjust(0, lateness, now);
            waited += 1;
            for _ in 0..self.arrivals_per_tick {
                if let Some(unread) = shedder.admit(0, || true, now) {
                    in_progress.push((tick + self.stays_ticks as u64, unread));
                    admitted += 1;
                    waited = 0;
                }
            }
            longest = longest.max(waited);
        }
        LoadResult {
            admitted,
            longest_without_admission: longest,
            in_progress_at_end: in_progress.len() as u32,
            is_withdrawn: shedder.is_withdrawn(at(10_000 + ticks * TICK)),
        }
    }
}

cases! {
    // Guards against taking a single long step of the process for a queue.
    one_late_sample_is_no_standing_delay => {
        let (window, now) = window_of(&[0, 0, 0, 300, 0, 0, 0]);
        expect_that!(window.standing(now), eq(ms(0)));
    }

    // A processor quota that is used up stops a process for most of a tenth of a second, again and again.
    delays_of_a_processor_quota_are_no_standing_delay => {
        let (window, now) = window_of(&[0, 80, 0, 0, 0, 0, 80, 0, 0, 0, 0, 80]);
        expect_that!(window.standing(now), eq(ms(0)));
    }

    delay_that_all_samples_have_stands => {
        let (window, now) = window_of(&[0, 0, 30, 50, 40, 60, 45, 70, 55]);
        expect_that!(window.standing(now), eq(ms(40)));
    }

    delay_is_remembered_for_what_began_before_it_ended => {
        let (mut window, now) = window_of(&[40; 10]);
        let began = now.monotonic - ms(100);
        for millis in (1300..2300).step_by(20) {
            window.record(ms(0), at(millis));
        }
        expect_that!(window.standing(at(2300)), eq(ms(0)));
        expect_that!(window.longest_since(began, at(2300)), eq(ms(40)));
        expect_that!(window.longest_since(ms(1800), at(2300)), eq(ms(0)));
    }

    samples_of_long_ago_say_nothing => {
        let (window, _) = window_of(&[40; 10]);
        expect_that!(window.standing(at(7000)), eq(ms(0)));
    }

    // Guards against taking a far hall for a full link.
    connect_times_are_compared_within_a_hall => {
        let mut times = ConnectTimes::default();
        times.excess("near", ms(3), at(0));
        expect_that!(times.excess("far", ms(40), at(10)), eq(ms(0)));
        expect_that!(times.excess("far", ms(41), at(20)), eq(ms(1)));
        expect_that!(times.excess("near", ms(30), at(30)), eq(ms(27)));
    }

    // Guards against a box that takes a longer way through the network for a full link for good.
    longer_way_is_the_usual_one_after_a_while => {
        let mut times = ConnectTimes::default();
        times.excess("near", ms(3), at(0));
        for second in 1..200 {
            times.excess("near", ms(30), at(second * 1000));
        }
        expect_that!(times.excess("near", ms(30), at(200_000)), eq(ms(0)));
    }

    slow_connects_to_all_upstreams_are_the_delay_of_the_own_link => {
        let saturation = Saturation::default();
        for number in 0..20 {
            let began = at(1000 + number * 20);
            let took = if number < 10 { 3 } else { 63 };
            let now = Now { monotonic: began.monotonic + ms(took), ..began };
            saturation.record_connect("ikeja", began, now);
        }
        expect_that!(saturation.current(at(1450)).network, eq(ms(60)));
    }

    limit_follows_the_requests_that_the_process_can_have_in_progress => {
        let mut limit = ConcurrencyLimit::default();
        expect_that!(limit.has_room(10_000), eq(true));
        limit.adjust(200, true, at(1000));
        expect_that!(limit.get(), some(eq(180)));
        // As long as it is late, the limit falls only as requests end.
        for step in 1..20 {
            limit.adjust(200, true, at(1000 + step * 100));
        }
        expect_that!(limit.get(), some(eq(180)));
        limit.adjust(100, true, at(3000));
        expect_that!(limit.get(), some(eq(90)));
        for step in 0..10 {
            let in_progress = limit.get().unwrap();
            limit.adjust(in_progress, false, at(3100 + step * 100));
        }
        expect_that!(limit.get(), some(ge(140)));
        // Out of use, it ends.
        for step in 0..60 {
            limit.adjust(10, false, at(4200 + step * 100));
        }
        expect_that!(limit.get(), none());
    }

    limit_leaves_a_few_requests_in_any_case => {
        let mut limit = ConcurrencyLimit::default();
        limit.adjust(3, true, at(1000));
        expect_that!(limit.get(), some(eq(MIN_LIMIT)));
    }

    // Guards against a box that takes on what it cannot serve.
    requests_in_progress_stay_near_what_the_process_can_serve => {
        for arrivals_per_tick in [4, 10, 40] {
            let load = Load { arrivals_per_tick, stays_ticks: 60, capacity: 100 };
            let result = load.run(1500);
            expect_that!(result.in_progress_at_end, le(130), "{arrivals_per_tick} a tick");
            // What it can serve: the capacity divided by the time that a request stays.
            let served = 1500 / 60 * 100;
            expect_that!(result.admitted, ge(served * 7 / 10), "{arrivals_per_tick} a tick");
            expect_that!(result.is_withdrawn, eq(true));
        }
    }

    // Guards against a server that is ready and takes no connection.
    some_connections_are_admitted_at_all_times => {
        let load = Load { arrivals_per_tick: 20, stays_ticks: 100_000, capacity: 50 };
        let result = load.run(1500);
        expect_that!(u64::from(result.longest_without_admission) * TICK, le(300));
    }

    nothing_is_limited_within_the_capacity => {
        let load = Load { arrivals_per_tick: 1, stays_ticks: 60, capacity: 100 };
        let result = load.run(1500);
        expect_that!(result.admitted, eq(1500));
        expect_that!(result.is_withdrawn, eq(false));
    }

    short_burst_does_not_withdraw => {
        let mut withdrawal = Withdrawal::default();
        expect_that!(withdrawal.record_full(at(1000)), eq(false));
        expect_that!(withdrawal.record_full(at(1200)), eq(false));
        expect_that!(withdrawal.is_withdrawn(at(1200)), eq(false));
        expect_that!(withdrawal.record_full(at(5000)), eq(false));
    }

    // Guards against a box that is full again each time the load balancer sends callers back.
    returns_that_end_in_being_full_are_further_apart => {
        let mut withdrawal = Withdrawal::default();
        let mut away = Vec::new();
        let mut now = 1000;
        for _ in 0..4 {
            withdrawal.record_full(at(now));
            withdrawal.record_full(at(now + 300));
            let left = (0..100).find(|second| !withdrawal.is_withdrawn(at(now + 300 + second * 1000)));
            away.push(left.unwrap());
            now += 300 + left.unwrap() * 1000 + 500;
        }
        expect_that!(away, elements_are![eq(&10), eq(&20), eq(&40), eq(&40)]);
        // After a long time without, the first one is short again.
        now += 100_000;
        withdrawal.record_full(at(now));
        withdrawal.record_full(at(now + 300));
        expect_that!(withdrawal.is_withdrawn(at(now + 10_400)), eq(false));
    }

    connections_without_memory_for_a_request_are_closed => {
        let shedder = LoadShedder::default();
        let mut admitted = Vec::new();
        for number in 0..5 {
            admitted.extend(shedder.admit(0, || number < 3, at(1000)));
        }
        expect_that!(admitted.len(), eq(3));
        expect_that!(shedder.shed_count(), eq(2));
        expect_that!(shedder.is_full(at(1500)), eq(true));
        expect_that!(shedder.is_full(at(2500)), eq(false));
    }
}
