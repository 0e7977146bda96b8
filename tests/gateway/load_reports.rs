//! Load reports between boxes: which are sent, how many a box receives, and what they cause.

use super::{at, cases, listed};
use gatepier::gateway::attempt::headers::ReportedLoad;
use gatepier::gateway::attempt::upstream::Upstream;
use gatepier::gateway::peers::datagram::encode;
use gatepier::gateway::peers::load_reports::{
    LastShared, SharedLoadReport, is_worth_sharing, sharing_interval,
};
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;

const LOAD: ReportedLoad = ReportedLoad {
    running: 3,
    waiting: 0,
    slots: 6,
    work_time_percent: Some(100),
};
const INTERVAL: Duration = Duration::from_millis(50);

fn upstream() -> Rc<Upstream> {
    Upstream::new(listed("i-1", "reservations", "ikeja"))
}

fn is_shared(load: ReportedLoad, last: Option<ReportedLoad>, elapsed_ms: u64) -> bool {
    let last = last.map(|load| LastShared {
        load,
        at: at(1000).monotonic,
    });
    is_worth_sharing(load, last, INTERVAL, at(1000 + elapsed_ms))
}

cases! {
    first_report_and_changes_are_shared_at_most_once_an_interval => {
        let busier = ReportedLoad { waiting: 1, ..LOAD };
        let slower = ReportedLoad { work_time_percent: Some(250), ..LOAD };
        expect_that!(is_shared(LOAD, None, 0), eq(true));
        expect_that!(is_shared(busier, Some(LOAD), 49), eq(false));
        expect_that!(is_shared(busier, Some(LOAD), 50), eq(true));
        expect_that!(is_shared(slower, Some(LOAD), 50), eq(true));
    }

    unchanged_load_is_shared_rarely => {
        let similar = ReportedLoad { work_time_percent: Some(108), ..LOAD };
        expect_that!(is_shared(similar, Some(LOAD), 100), eq(false));
        expect_that!(is_shared(similar, Some(LOAD), 300), eq(true));
    }

    any_figures_can_be_compared => {
        let figures = [0, 1, u32::MAX];
        for one in figures {
            for other in figures {
                let load = ReportedLoad { running: one, waiting: one, slots: other, work_time_percent: Some(other) };
                let last = ReportedLoad { running: other, waiting: one, slots: one, work_time_percent: Some(one) };
                is_shared(load, Some(last), 50);
            }
        }
    }

    box_receives_sixty_reports_a_second_however_many_upstreams_there_are => {
        for upstreams in [3, 10, 140] {
            let interval = sharing_interval(upstreams).as_secs_f64();
            expect_that!(upstreams as f64 / interval, near(60.0, 0.1));
        }
        // Fewer upstreams need less.
        expect_that!(1.0 / sharing_interval(1).as_secs_f64(), le(60.0));
        expect_that!(sharing_interval(0), gt(Duration::ZERO));
    }

    box_without_answers_learns_the_work_time_from_others => {
        let (sender, receiver) = (upstream(), upstream());
        sender.record_load_report(ReportedLoad { work_time_percent: Some(250), ..LOAD }, at(0));
        let report = SharedLoadReport::of(&sender, at(30)).unwrap();
        expect_that!(report.is_about(&receiver), eq(true));
        expect_that!(receiver.states_work_time(), eq(false));
        report.apply_to(&receiver, at(5000));
        expect_that!(receiver.states_work_time(), eq(true));
        let wait = receiver.expected_wait(Duration::from_millis(30), at(5000));
        expect_that!(wait.run.as_secs_f64(), near(0.075, 0.003));
        expect_that!(wait.report_age, some(eq(Duration::from_millis(30))));
    }

    report_takes_few_bytes_on_the_wire => {
        let sender = upstream();
        sender.record_load_report(ReportedLoad { work_time_percent: Some(250), waiting: 20, ..LOAD }, at(0));
        let reports = vec![SharedLoadReport::of(&sender, at(40)).unwrap()];
        // The kind of message takes one byte more.
        let bytes = encode(&reports).unwrap().len() + 1;
        println!("{bytes} bytes");
        expect_that!(bytes, le(18));
    }

    report_of_the_former_incarnation_is_not_applied => {
        let former = upstream();
        former.record_load_report(LOAD, at(0));
        let mut entry = former.listed();
        entry.born = Some(7);
        let reborn = Upstream::new(entry);
        expect_that!(SharedLoadReport::of(&former, at(1)).unwrap().is_about(&reborn), eq(false));
    }

    report_that_was_long_on_its_way_is_dropped => {
        let (sender, receiver) = (upstream(), upstream());
        sender.record_load_report(LOAD, at(0));
        SharedLoadReport::of(&sender, at(60_000)).unwrap().apply_to(&receiver, at(60_000));
        expect_that!(receiver.newest_report(), none());
        // A box that has run for less time than a report's age does not count below zero.
        SharedLoadReport::of(&sender, at(4000)).unwrap().apply_to(&receiver, at(10));
        expect_that!(receiver.newest_report(), some(anything()));
    }

    unreadable_reports_are_counted_and_logged_once_a_minute => {
        let upstream = upstream();
        upstream.record_invalid_report();
        upstream.record_invalid_report();
        expect_that!(upstream.take_invalid_reports(at(0)), eq((2, true)));
        expect_that!(upstream.take_invalid_reports(at(1)), eq((0, false)));
        upstream.record_invalid_report();
        expect_that!(upstream.take_invalid_reports(at(59_999)), eq((1, false)));
        upstream.record_invalid_report();
        expect_that!(upstream.take_invalid_reports(at(60_000)), eq((1, true)));
    }
}
