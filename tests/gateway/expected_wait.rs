//! The expected wait at one upstream: what its reports, their age and this box's own requests say.

use super::{at, cases, listed};
use gatepier::gateway::attempt::headers::ReportedLoad;
use gatepier::gateway::attempt::upstream::{PeerLoad, Upstream};
use gatepier::gateway::place::expected_wait::{ExpectedWait, Queue};
use gatepier::gateway::place::service_time::ServiceTimes;
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;

const SERVICE_TIME: Duration = Duration::from_millis(30);

/// An upstream with four slots.
fn upstream() -> Rc<Upstream> {
    Upstream::new(listed("i-1", "reservations", "ikeja"))
}

fn load(running: u32, waiting: u32, percent: Option<u32>) -> ReportedLoad {
    ReportedLoad {
        running,
        waiting,
        slots: 4,
        work_time_percent: percent,
    }
}

fn wait(upstream: &Upstream, ms: u64) -> ExpectedWait {
    upstream.expected_wait(SERVICE_TIME, at(ms))
}

fn queue_ms(upstream: &Upstream, ms: u64) -> f64 {
    wait(upstream, ms).queue.as_secs_f64() * 1000.0
}

cases! {
    queue_of_a_full_upstream_is_worked_off_by_its_slots => {
        let upstream = upstream();
        upstream.record_load_report(load(4, 8, Some(100)), at(1000));
        // Nine completions come first, one each 7.5 ms.
        expect_that!(queue_ms(&upstream, 1000), near(67.5, 0.1));
        expect_that!(wait(&upstream, 1000).run, eq(SERVICE_TIME));
        expect_that!(wait(&upstream, 1000).report_age, some(eq(Duration::ZERO)));
    }

    stated_work_time_counts_for_the_queue_and_the_run => {
        let upstream = upstream();
        upstream.record_load_report(load(4, 8, Some(250)), at(1000));
        expect_that!(queue_ms(&upstream, 1000), near(168.75, 0.1));
        expect_that!(wait(&upstream, 1000).run, eq(Duration::from_millis(75)));
    }

    wait_grows_with_the_utilization_without_a_step => {
        let queue = Queue::new(4, SERVICE_TIME);
        let waits: Vec<f64> = (0..200).map(|tenths| queue.wait_seconds(f64::from(tenths) / 10.0)).collect();
        let steps: Vec<f64> = waits.windows(2).map(|pair| pair[1] - pair[0]).collect();
        expect_that!(waits[0], eq(0.0));
        expect_that!(steps.iter().copied().fold(f64::INFINITY, f64::min), ge(0.0));
        // No step is larger than a tenth of the four that the last free slot costs.
        expect_that!(steps.iter().copied().fold(0.0, f64::max), lt(0.0075 * 0.4));
        for others in [0.5, 2.0, 3.9, 4.0, 17.0] {
            expect_that!(queue.others_at_wait(queue.wait_seconds(others)), near(others, 1e-6));
        }
    }

    own_requests_since_the_report_count => {
        let upstream = upstream();
        upstream.record_load_report(load(4, 0, Some(100)), at(1000));
        let before = queue_ms(&upstream, 1000);
        let _sent = [upstream.begin_request(), upstream.begin_request()];
        expect_that!(queue_ms(&upstream, 1000), near(before + 15.0, 0.1));
    }

    without_a_report_the_requests_of_all_boxes_count => {
        let upstream = upstream();
        expect_that!(wait(&upstream, 0), eq(ExpectedWait {
            queue: Duration::ZERO, run: SERVICE_TIME, report_age: None,
        }));
        upstream.set_peer_load(PeerLoad { outstanding: 8, ..PeerLoad::default() });
        expect_that!(queue_ms(&upstream, 0), near(37.5, 0.1));
        expect_that!(wait(&upstream, 0).report_age, none());
    }

    old_report_gives_way_to_the_usual_load => {
        // An upstream that is usually half full reports a queue once.
        let upstream = upstream();
        for ms in (0..20_000).step_by(50) {
            upstream.record_load_report(load(2, 0, Some(100)), at(ms));
        }
        let usual = queue_ms(&upstream, 20_000);
        upstream.record_load_report(load(4, 8, Some(250)), at(20_000));
        expect_that!(queue_ms(&upstream, 20_000), gt(100.0));
        expect_that!(queue_ms(&upstream, 20_100), gt(60.0));
        expect_that!(queue_ms(&upstream, 25_000), near(usual, 2.0));
        expect_that!(wait(&upstream, 25_000).run.as_secs_f64(), near(0.030, 0.003));
        // An upstream that reports nothing for long is unknown, not idle by its last report.
        expect_that!(wait(&upstream, 60_000).report_age, none());
    }

    report_that_overtook_a_newer_one_is_dropped => {
        let upstream = upstream();
        upstream.record_load_report(load(4, 8, Some(100)), at(1000));
        upstream.record_shared_report(load(0, 0, Some(100)), at(900).monotonic, at(1001));
        expect_that!(queue_ms(&upstream, 1001), gt(60.0));
    }

    rejection_raises_the_estimate_at_once => {
        let upstream = upstream();
        upstream.record_load_report(load(1, 0, Some(100)), at(900));
        upstream.record_full(at(1000));
        expect_that!(queue_ms(&upstream, 1000), gt(30.0));
        expect_that!(upstream.is_full(8.0), eq(true));
        // A longer queue is seen later: the limit is higher than it was taken for.
        upstream.record_load_report(load(4, 20, Some(100)), at(2000));
        expect_that!(upstream.is_full(8.0), eq(false));
        // The rejection's own report states where the queue ends.
        upstream.record_load_report(load(4, 24, Some(100)), at(3000));
        upstream.record_full(at(3000));
        expect_that!(upstream.is_full(28.0), eq(true));
        expect_that!(upstream.is_full(27.0), eq(false));
    }

    contradictory_and_huge_figures_are_bounded => {
        let times = [0, 1, 100, u32::MAX];
        for running in times {
            for waiting in times {
                for percent in times {
                    let upstream = upstream();
                    let stated = ReportedLoad { slots: 0, ..load(running, waiting, Some(percent)) };
                    upstream.record_load_report(stated, at(0));
                    upstream.record_full(at(0));
                    let found = wait(&upstream, 1);
                    expect_that!(found.run, ge(Duration::from_millis(15)));
                    expect_that!(found.run, le(Duration::from_millis(300)));
                    // 32 times the slots, each at ten times the usual time.
                    expect_that!(found.queue, le(Duration::from_millis(300 * 32)));
                }
            }
        }
        let unused = upstream();
        let entry = unused.listed();
        unused.update_listing(gatepier::gateway::control::store::ListedUpstream { slots: 0, ..entry });
        expect_that!(wait(&unused, 0).queue, eq(Duration::ZERO));
    }

    // A queue limit that follows such a report would never be reached again.
    huge_figure_does_not_hide_that_the_queue_is_full => {
        let upstream = upstream();
        upstream.record_load_report(load(4, 24, None), at(0));
        upstream.record_full(at(0));
        upstream.record_load_report(load(4, u32::MAX, None), at(10));
        upstream.record_full(at(10));
        let occupancy = upstream.load_estimate(Duration::from_millis(30), at(10)).occupancy;
        expect_that!(upstream.is_full(occupancy), eq(true));
    }

    reborn_upstream_starts_without_the_reports_of_the_former => {
        let former = upstream();
        former.record_load_report(load(4, 24, Some(250)), at(0));
        let mut entry = former.listed();
        entry.born = Some(7);
        let reborn = Upstream::new(entry);
        expect_that!(wait(&reborn, 1).queue, eq(Duration::ZERO));
        expect_that!(wait(&reborn, 1).run, eq(SERVICE_TIME));
    }

    service_time_is_unknown_at_first_and_learned_at_the_usual_speed => {
        let times = ServiceTimes::default();
        expect_that!(times.of("reservations").is_measured, eq(false));
        for round in 0..100 {
            // One in five waited unnoticed; the others ran at 2.5 times the usual time.
            let took = if round % 5 == 0 { 400 } else { 75 };
            times.record("reservations", Duration::from_millis(took), 2.5);
        }
        let learned = times.of("reservations");
        expect_that!(learned.is_measured, eq(true));
        expect_that!(learned.usual.as_secs_f64(), near(0.030, 0.002));
    }
}
