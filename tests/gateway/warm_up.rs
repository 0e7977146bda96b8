//! Load: upstreams turn cold, look emptiest to all boxes at once, and fall over when all boxes
//! together send them more than a few requests a second.

use super::{at, cases, listed};
use gatepier::gateway::attempt::upstream::Upstream;
use gatepier::gateway::place::warm_up::{FleetView, WarmUp};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What an upstream bears while it warms up.
const BEARS: WarmUp = WarmUp {
    duration: Duration::from_secs(3),
    requests_per_second: 8.8,
};
/// How often each box would send, if it might.
const TICK_MS: u64 = 10;
/// The time that boxes have been up in most cases.
const LONG_UP: Duration = Duration::from_secs(60);

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(1000 + number).unwrap()))
}

fn addresses(boxes: std::ops::Range<usize>) -> Vec<SocketAddr> {
    boxes.map(address).collect()
}

/// A box that sends an upstream all that it may.
struct SendingBox {
    own: SocketAddr,
    knows: Vec<SocketAddr>,
    up_for: Duration,
    upstream: Rc<Upstream>,
}

impl SendingBox {
    fn new(number: usize, knows: &[SocketAddr], up_for: Duration, instance: &str) -> Self {
        let upstream = Upstream::new(listed(instance, "engine", "ikeja"));
        upstream.begin_warm_up(BEARS.duration, at(0));
        Self {
            own: address(number),
            knows: knows.to_vec(),
            up_for,
            upstream,
        }
    }

    fn left(&self, millis: u64) -> Option<Duration> {
        let fleet = FleetView {
            own_address: self.own,
            box_addresses: &self.knows,
            uptime: self.up_for + Duration::from_millis(millis),
        };
        self.upstream.warm_up_delay(BEARS, fleet, at(millis))
    }

    /// Sends a request if the box may at a moment.
    fn sends(&self, millis: u64) -> bool {
        let may = self.left(millis).is_none();
        if may {
            self.upstream.record_warm_up_send(at(millis));
        }
        may
    }
}

/// Returns when requests go out while an upstream warms up.
fn sent(boxes: &[SendingBox]) -> Vec<u64> {
    let end = u64::try_from(BEARS.duration.as_millis()).unwrap();
    let moments = (0..end).step_by(usize::try_from(TICK_MS).unwrap());
    moments
        .flat_map(|millis| {
            let senders = boxes.iter().filter(move |sender| sender.sends(millis));
            senders.map(move |_| millis).collect::<Vec<u64>>()
        })
        .collect()
}

/// Returns the most requests within any second.
fn most_in_a_second(sent: &[u64]) -> usize {
    let in_second_from = |first: u64| {
        let is_within = |other: &&u64| (first..first + 1000).contains(*other);
        sent.iter().filter(is_within).count()
    };
    sent.iter()
        .map(|first| in_second_from(*first))
        .max()
        .unwrap_or_default()
}

/// Returns the most requests in any second, for the worst of some upstreams.
fn worst(make: impl Fn(&str) -> Vec<SendingBox>) -> usize {
    let of_upstream = |number: usize| most_in_a_second(&sent(&make(&format!("i-{number}"))));
    (0..20).map(of_upstream).max().unwrap()
}

/// The requests in a second over which the operators count an upstream as pressed.
const PRESSED_OVER: usize = 18;

cases! {
    boxes_together_send_no_more_than_a_cold_upstream_bears => {
        let bears = BEARS.requests_per_second as usize + 1;
        for count in [1, 2, 5, 9, 84, 300] {
            let boxes = addresses(0..count);
            let make = |instance: &str| -> Vec<SendingBox> {
                (0..count).map(|number| SendingBox::new(number, &boxes, LONG_UP, instance)).collect()
            };
            // Where there are few boxes, a second may begin and end with turns of the same ones.
            let most = if count < bears { 2 * bears - 4 } else { bears };
            expect_that!(worst(make), le(most), "{count} boxes");
            let in_all = sent(&make("i-0")).len();
            let seconds = BEARS.duration.as_secs() as usize;
            expect_that!(in_all, ge(seconds * 5), "{count} boxes use what it bears");
            expect_that!(in_all, le((seconds + 1) * bears), "{count} boxes");
        }
    }

    halves_that_are_cut_off_from_each_other_press_no_cold_upstream => {
        let half = 42;
        let make = |instance: &str| -> Vec<SendingBox> {
            let of_half = |half: std::ops::Range<usize>| {
                let knows = addresses(half.clone());
                half.map(|number| SendingBox::new(number, &knows, LONG_UP, instance)).collect()
            };
            let mut boxes: Vec<SendingBox> = of_half(0..half);
            boxes.extend(of_half(half..2 * half));
            boxes
        };
        expect_that!(worst(make), le(PRESSED_OVER));
        // One half keeps the others' registrations for longer than their leases.
        let uneven = |instance: &str| -> Vec<SendingBox> {
            let all = addresses(0..2 * half);
            let some = addresses(0..half);
            let knows = |number| if number < half { &some } else { &all };
            (0..2 * half)
                .map(|number| SendingBox::new(number, knows(number), LONG_UP, instance))
                .collect()
        };
        expect_that!(worst(uneven), le(PRESSED_OVER));
    }

    // Guards against boxes that have just started and take themselves for the only ones.
    boxes_that_start_together_wait_until_they_know_each_other => {
        let make = |instance: &str| -> Vec<SendingBox> {
            let alone = |number| SendingBox::new(number, &[address(number)], Duration::ZERO, instance);
            (0..84).map(alone).collect()
        };
        let sent = sent(&make("i-0"));
        expect_that!(sent.iter().filter(|millis| **millis < 1990).count(), eq(0));
    }

    upstream_is_used_in_full_once_it_is_warm => {
        let alone = SendingBox::new(0, &addresses(0..84), LONG_UP, "i-0");
        let end = u64::try_from(BEARS.duration.as_millis()).unwrap();
        expect_that!(alone.left(end), none());
        expect_that!(alone.upstream.is_warming_up(at(end)), eq(false));
    }

    upstream_that_turns_cold_again_is_spared_again => {
        let alone = SendingBox::new(0, &addresses(0..1), LONG_UP, "i-0");
        alone.upstream.begin_warm_up(BEARS.duration, at(5000));
        expect_that!(alone.sends(5000), eq(true));
        expect_that!(alone.left(5010), some(gt(Duration::ZERO)));
    }

    // Guards against an old entry that ends what another reason began.
    shorter_warm_up_does_not_cut_a_longer_one => {
        let alone = SendingBox::new(0, &addresses(0..1), LONG_UP, "i-0");
        alone.upstream.begin_warm_up(Duration::ZERO, at(10));
        expect_that!(alone.upstream.is_warming_up(at(2990)), eq(true));
    }
}
