//! Requests to upstreams that warm up.
//!
//! Guards against overload: a cold upstream looks least loaded to all boxes at once, and fails when
//! all boxes together send it more than a few requests per second.

use super::{at, cases, listed};
use gatepier::gateway::attempt::upstream::Upstream;
use gatepier::gateway::place::fleet_view::FleetView;
use gatepier::gateway::place::warm_up::WarmUp;
use googletest::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What an upstream can handle while it warms up.
const WARM_UP_LIMITS: WarmUp = WarmUp {
    duration: Duration::from_secs(3),
    requests_per_second: 8.8,
};
/// Interval at which each box tries to send, in milliseconds.
const TICK_MS: u64 = 10;
/// How long boxes have been up in most cases.
const LONG_UPTIME: Duration = Duration::from_secs(60);

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(1000 + number).unwrap()))
}

fn addresses(boxes: std::ops::Range<usize>) -> Vec<SocketAddr> {
    boxes.map(address).collect()
}

/// A box that sends an upstream as many requests as it may.
struct SendingBox {
    own: SocketAddr,
    known_boxes: Vec<SocketAddr>,
    uptime: Duration,
    upstream: Rc<Upstream>,
}

impl SendingBox {
    fn new(number: usize, known_boxes: &[SocketAddr], uptime: Duration, instance: &str) -> Self {
        let upstream = Upstream::new(listed(instance, "engine", "ikeja"));
        upstream.begin_warm_up(WARM_UP_LIMITS.duration, at(0));
        Self {
            own: address(number),
            known_boxes: known_boxes.to_vec(),
            uptime,
            upstream,
        }
    }

    fn send_delay(&self, millis: u64) -> Option<Duration> {
        let fleet = FleetView {
            own_address: self.own,
            box_addresses: &self.known_boxes,
            uptime: self.uptime + Duration::from_millis(millis),
        };
        self.upstream
            .warm_up_delay(WARM_UP_LIMITS, fleet, at(millis))
    }

    /// Sends a request at a time if the box may; returns whether it did.
    fn try_send(&self, millis: u64) -> bool {
        let may_send = self.send_delay(millis).is_none();
        if may_send {
            self.upstream.record_warm_up_send(at(millis));
        }
        may_send
    }
}

/// Returns the times in milliseconds at which requests are sent while an upstream warms up.
fn send_times(boxes: &[SendingBox]) -> Vec<u64> {
    let end = u64::try_from(WARM_UP_LIMITS.duration.as_millis()).unwrap();
    let moments = (0..end).step_by(usize::try_from(TICK_MS).unwrap());
    moments
        .flat_map(|millis| {
            let senders = boxes.iter().filter(move |sender| sender.try_send(millis));
            senders.map(move |_| millis).collect::<Vec<u64>>()
        })
        .collect()
}

/// Returns the maximum number of requests within any second.
fn max_in_a_second(sent: &[u64]) -> usize {
    let in_second_from = |first: u64| {
        let is_within = |other: &&u64| (first..first + 1000).contains(*other);
        sent.iter().filter(is_within).count()
    };
    sent.iter()
        .map(|first| in_second_from(*first))
        .max()
        .unwrap_or_default()
}

/// Returns the maximum number of requests within any second, over several upstreams.
fn max_over_upstreams(make: impl Fn(&str) -> Vec<SendingBox>) -> usize {
    let of_upstream = |number: usize| max_in_a_second(&send_times(&make(&format!("i-{number}"))));
    (0..20).map(of_upstream).max().unwrap()
}

/// Number of requests per second above which the operators count an upstream as overloaded.
const OVERLOAD_REQUESTS_PER_SECOND: usize = 18;

cases! {
    boxes_together_stay_within_the_limit_of_a_cold_upstream => {
        let limit = WARM_UP_LIMITS.requests_per_second as usize + 1;
        for count in [1, 2, 5, 9, 84, 300] {
            let boxes = addresses(0..count);
            let make = |instance: &str| -> Vec<SendingBox> {
                (0..count).map(|number| SendingBox::new(number, &boxes, LONG_UPTIME, instance)).collect()
            };
            // With few boxes, a second may begin and end with requests of the same ones.
            let max = if count < limit { 2 * limit - 4 } else { limit };
            expect_that!(max_over_upstreams(make), le(max), "{count} boxes");
            let total = send_times(&make("i-0")).len();
            let seconds = WARM_UP_LIMITS.duration.as_secs() as usize;
            expect_that!(total, ge(seconds * 5), "{count} boxes use the limit");
            expect_that!(total, le((seconds + 1) * limit), "{count} boxes");
        }
    }

    partitioned_halves_do_not_overload_a_cold_upstream => {
        let half = 42;
        let make = |instance: &str| -> Vec<SendingBox> {
            let of_half = |half: std::ops::Range<usize>| {
                let known_boxes = addresses(half.clone());
                half.map(|number| SendingBox::new(number, &known_boxes, LONG_UPTIME, instance)).collect()
            };
            let mut boxes: Vec<SendingBox> = of_half(0..half);
            boxes.extend(of_half(half..2 * half));
            boxes
        };
        expect_that!(max_over_upstreams(make), le(OVERLOAD_REQUESTS_PER_SECOND));
        // One half still has the other half's registrations, although their leases have expired.
        let uneven = |instance: &str| -> Vec<SendingBox> {
            let all = addresses(0..2 * half);
            let some = addresses(0..half);
            let known_boxes = |number| if number < half { &some } else { &all };
            (0..2 * half)
                .map(|number| SendingBox::new(number, known_boxes(number), LONG_UPTIME, instance))
                .collect()
        };
        expect_that!(max_over_upstreams(uneven), le(OVERLOAD_REQUESTS_PER_SECOND));
    }

    // Guards against boxes that have just started and assume that they are the only ones.
    boxes_that_start_together_wait_until_they_know_each_other => {
        let make = |instance: &str| -> Vec<SendingBox> {
            let alone = |number| SendingBox::new(number, &[address(number)], Duration::ZERO, instance);
            (0..84).map(alone).collect()
        };
        let sent = send_times(&make("i-0"));
        expect_that!(sent.iter().filter(|millis| **millis < 1990).count(), eq(0));
    }

    upstream_is_not_limited_once_it_is_warm => {
        let alone = SendingBox::new(0, &addresses(0..84), LONG_UPTIME, "i-0");
        let end = u64::try_from(WARM_UP_LIMITS.duration.as_millis()).unwrap();
        expect_that!(alone.send_delay(end), none());
        expect_that!(alone.upstream.is_warming_up(at(end)), eq(false));
    }

    upstream_that_turns_cold_again_is_limited_again => {
        let alone = SendingBox::new(0, &addresses(0..1), LONG_UPTIME, "i-0");
        alone.upstream.begin_warm_up(WARM_UP_LIMITS.duration, at(5000));
        expect_that!(alone.try_send(5000), eq(true));
        expect_that!(alone.send_delay(5010), some(gt(Duration::ZERO)));
    }

    // Guards against an old registry entry that ends a warm-up with another cause.
    shorter_warm_up_does_not_shorten_a_longer_one => {
        let alone = SendingBox::new(0, &addresses(0..1), LONG_UPTIME, "i-0");
        alone.upstream.begin_warm_up(Duration::ZERO, at(10));
        expect_that!(alone.upstream.is_warming_up(at(2990)), eq(true));
    }
}
