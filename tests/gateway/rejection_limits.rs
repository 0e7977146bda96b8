//! The slots of an upstream that bears few rejections, as many boxes share them.
//!
//! Guards against boxes that together use more slots than there are, against slots that are lost, and
//! against limits that end too early or never.

use super::{at, cases, listed};
use gatepier::clock::WallTime;
use gatepier::gateway::attempt::upstream::Upstream;
use gatepier::gateway::control::change::Change;
use gatepier::gateway::control::state::ControlPlaneState;
use gatepier::gateway::control::store::{LimitRecord, Update};
use gatepier::gateway::place::fleet_view::FleetView;
use gatepier::gateway::place::slots::{
    HeldSlot, LOAN_TIMEOUT, LoanId, ServiceSlots, UpstreamSlots,
};
use gatepier::late_reading::LateReading;
use gatepier::routing::rejection_limit::REJECTION_PERIOD;
use gatepier::routing::signals::{ResponseSignals, SignalHeaders};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const LONG_UPTIME: Duration = Duration::from_secs(60);
const SLOTS: u32 = 6;

fn addresses(count: usize) -> Vec<SocketAddr> {
    let address = |number: usize| {
        let [high, low] = u16::try_from(number).unwrap().to_be_bytes();
        SocketAddr::from(([10, 0, high, low], 7000))
    };
    (0..count).map(address).collect()
}

fn fleet(own: SocketAddr, boxes: &[SocketAddr], uptime: Duration) -> FleetView<'_> {
    FleetView {
        own_address: own,
        box_addresses: boxes,
        uptime,
    }
}

/// Returns the shares of all boxes at an upstream.
fn shares(upstream: u32, slots: u32, boxes: &[SocketAddr], millis: u64) -> Vec<u32> {
    let share = |own: &SocketAddr| {
        let known = UpstreamSlots::new(upstream);
        known.share(slots, fleet(*own, boxes, LONG_UPTIME), at(millis))
    };
    boxes.iter().map(share).collect()
}

fn alone(slots: &UpstreamSlots, millis: u64) -> u32 {
    let boxes = addresses(1);
    slots.share(SLOTS, fleet(boxes[0], &boxes, LONG_UPTIME), at(millis))
}

fn loan(number: u64) -> LoanId {
    LoanId {
        borrower: addresses(1)[0],
        number,
    }
}

fn stated(text: &str) -> Option<u32> {
    let headers = SignalHeaders {
        rejection_limit: Some(text),
        ..SignalHeaders::default()
    };
    ResponseSignals::read(200, headers, WallTime(0)).rejection_limit
}

cases! {
    shares_of_all_boxes_add_up_to_the_slots => {
        for slots in [1, 3, 6, 24, 64] {
            for count in [1, 2, 5, 9, 20, 85, 300] {
                let boxes = addresses(count);
                for upstream in 0..20 {
                    let total: u32 = shares(upstream, slots, &boxes, 0).iter().sum();
                    expect_that!(total, eq(slots), "{slots} slots, {count} boxes");
                }
            }
        }
    }

    // With fewer slots than boxes, others have them at other upstreams.
    single_slots_are_spread_over_the_boxes => {
        let boxes = addresses(9);
        let mut of_boxes = vec![0; boxes.len()];
        for upstream in 0..300 {
            let shares = shares(upstream, 1, &boxes, 0);
            of_boxes.iter_mut().zip(shares).for_each(|(sum, share)| *sum += share);
        }
        for sum in of_boxes {
            expect_that!(sum, all!(ge(15), le(60)));
        }
    }

    box_that_has_just_started_uses_no_slots => {
        let boxes = addresses(3);
        let slots = UpstreamSlots::new(1);
        let started = fleet(boxes[0], &boxes, Duration::from_millis(100));
        expect_that!(slots.share(SLOTS, started, at(0)), eq(0));
        let later = fleet(boxes[0], &boxes, Duration::from_secs(1));
        expect_that!(slots.share(SLOTS, later, at(900)), eq(2));
    }

    // A box that took itself for the only one must not keep its share for a while.
    share_follows_the_known_boxes_at_once => {
        let boxes = addresses(6);
        let slots = UpstreamSlots::new(1);
        expect_that!(slots.share(SLOTS, fleet(boxes[0], &boxes[..1], LONG_UPTIME), at(0)), eq(SLOTS));
        expect_that!(slots.share(SLOTS, fleet(boxes[0], &boxes, LONG_UPTIME), at(1)), eq(1));
    }

    rejection_pauses_the_upstream_for_the_period_in_which_it_counts => {
        let slots = UpstreamSlots::new(1);
        expect_that!(slots.pause_left(at(0)), none());
        slots.record_rejection(at(0));
        expect_that!(slots.pause_left(at(999)), some(eq(Duration::from_millis(1))));
        expect_that!(slots.pause_left(at(1000)), none());
    }

    rejections_together_reduce_the_slots_once => {
        let slots = UpstreamSlots::new(1);
        for millis in [0, 3, 5] {
            slots.record_rejection(at(millis));
        }
        expect_that!(alone(&slots, 1005), eq(5));
        slots.record_rejection(at(1500));
        expect_that!(alone(&slots, 2500), eq(4));
    }

    slots_are_used_again_some_seconds_after_a_rejection => {
        let slots = UpstreamSlots::new(1);
        slots.record_rejection(at(0));
        expect_that!(alone(&slots, 5000), eq(SLOTS));
    }

    one_slot_is_used_however_many_requests_are_rejected => {
        let slots = UpstreamSlots::new(1);
        for round in 0..50 {
            slots.record_rejection(at(round * 1100));
        }
        expect_that!(alone(&slots, 50 * 1100), ge(1));
    }

    lent_slot_is_used_until_it_is_given_back => {
        let slots = UpstreamSlots::new(1);
        slots.lend(loan(1), at(0));
        slots.lend(loan(2), at(0));
        expect_that!(slots.in_use(3, at(1)), eq(5));
        slots.end_loan(loan(1));
        expect_that!(slots.in_use(3, at(1)), eq(4));
    }

    lent_slot_is_free_once_its_borrower_is_silent => {
        let slots = UpstreamSlots::new(1);
        let timeout = u64::try_from(LOAN_TIMEOUT.as_millis()).unwrap();
        slots.lend(loan(1), at(0));
        slots.lend(loan(1), at(timeout - 1));
        expect_that!(slots.in_use(0, at(timeout + 1)), eq(1));
        expect_that!(slots.in_use(0, at(2 * timeout)), eq(0));
    }

    // An upstream need not notice that its caller has left.
    slot_of_an_abandoned_run_stays_in_use_for_a_while => {
        let upstream = Upstream::new(listed("i-0", "reader-api", "ikeja"));
        let service = Rc::<ServiceSlots>::default();
        let now = gatepier::clock::Now::read();
        let sent = HeldSlot::take(&upstream, service.clone(), None, now);
        sent.record_sent();
        drop(sent);
        expect_that!(upstream.slots().in_use(0, now), eq(1));
        let later = gatepier::clock::Now {
            monotonic: now.monotonic + service.mean_run() * 2,
            ..now
        };
        expect_that!(upstream.slots().in_use(0, later), eq(0));
        let rejected = HeldSlot::take(&upstream, service, None, later);
        rejected.record_sent();
        rejected.record_not_running();
        drop(rejected);
        expect_that!(upstream.slots().in_use(0, later), eq(0));
    }

    answer_to_an_earlier_request_ends_no_limit => {
        let slots = UpstreamSlots::new(1);
        slots.record_statement(Some(3), at(0), at(50));
        slots.record_statement(None, at(40), at(90));
        expect_that!(slots.limit(), some(eq(3.0)));
        slots.record_statement(None, at(60), at(100));
        expect_that!(slots.limit(), none());
    }

    limit_is_over_once_it_was_not_stated_for_long => {
        let slots = UpstreamSlots::new(1);
        slots.record_statement(Some(3), at(0), at(50));
        expect_that!(slots.is_limited(at(20_000)), eq(true));
        expect_that!(slots.is_limited(at(31_000)), eq(false));
    }

    // Guards against boxes that all start at once and know of no limit.
    recorded_limit_is_known_until_the_record_is_gone => {
        let mut knowledge = ControlPlaneState::default();
        let record = |is_limited| LimitRecord { service: "reader-api".to_owned(), is_limited };
        expect_that!(knowledge.limit_record("reader-api"), eq((false, 0)));
        let change = knowledge.apply(Update::LimitRecorded(record(true), 11), at(0));
        expect_that!(change, eq(&Change::Limits("reader-api".to_owned())));
        let change = knowledge.apply(Update::LimitRecorded(record(true), 11), at(0));
        expect_that!(change, eq(&Change::Nothing));
        expect_that!(knowledge.limit_record("reader-api"), eq((true, 11)));
        expect_that!(knowledge.limit_record("inkmind"), eq((false, 0)));
        knowledge.apply(Update::LimitRecorded(record(false), 12), at(0));
        expect_that!(knowledge.limit_record("reader-api"), eq((false, 12)));
        knowledge.apply(Update::LimitRecordGone("reader-api".to_owned()), at(0));
        expect_that!(knowledge.limit_record("reader-api"), eq((false, 0)));
    }

    // Guards against a box that uses slots which the others, who do not list it, use as well.
    box_that_is_not_listed_has_no_share => {
        let boxes = addresses(6);
        let slots = UpstreamSlots::new(1);
        expect_that!(slots.share(SLOTS, fleet(boxes[5], &boxes[..5], LONG_UPTIME), at(0)), eq(0));
        expect_that!(slots.share(SLOTS, fleet(boxes[5], &boxes, LONG_UPTIME), at(0)), eq(1));
        expect_that!(slots.share(SLOTS, fleet(boxes[5], &[], LONG_UPTIME), at(0)), eq(SLOTS));
    }

    invalid_limit_is_the_strictest => {
        expect_that!(stated("4"), some(eq(4)));
        expect_that!(stated("many"), some(eq(0)));
        expect_that!(stated("-1"), some(eq(0)));
        expect_that!(REJECTION_PERIOD, eq(Duration::from_secs(1)));
    }

    // What is read after a deadline is bounded, however it comes.
    late_bytes_are_bounded_by_their_number => {
        let mut late = LateReading::new(None);
        let mut read = 0_usize;
        while late.longest_wait(Duration::ZERO).is_some() {
            late.record(4096, Duration::ZERO, Duration::ZERO);
            read += 4096;
        }
        expect_that!(read, eq(1024 * 1024));
    }

    late_bytes_are_bounded_by_the_wait_for_them => {
        let mut late = LateReading::new(Some(8 * 1024 * 1024));
        let mut waited = Duration::ZERO;
        while late.longest_wait(Duration::ZERO).is_some() {
            waited += Duration::from_millis(20);
            late.record(1, Duration::from_millis(20), Duration::ZERO);
        }
        expect_that!(waited, le(Duration::from_millis(260)));
    }

    bytes_before_the_deadline_are_not_bounded => {
        let mut late = LateReading::new(None);
        let left = Duration::from_secs(1);
        for _ in 0..10_000 {
            late.record(65_536, Duration::from_millis(20), left);
        }
        expect_that!(late.longest_wait(left), some(ge(left)));
    }
}
