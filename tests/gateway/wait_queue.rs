//! Who of the waiting requests goes first, and how many may wait.

use super::{at, cases};
use gatepier::clock::Now;
use gatepier::gateway::admit::load_decision::CallerHistory;
use gatepier::gateway::admit::service_demand::ServiceDemand;
use gatepier::gateway::admit::wait_queue::{
    MAX_WAITING, MAX_WAITING_BYTES, Urgency, WaitQueue, Waiter, WaiterId, WaitingPlace,
};
use googletest::prelude::*;
use std::cell::RefCell;
use std::time::{Duration, Instant};

const SERVICE: &str = "booking";
const URGENT: Urgency = Urgency {
    organisation: 1,
    route: 0,
};
const LESS_URGENT: Urgency = Urgency {
    organisation: 1,
    route: 2,
};

fn waiter(organisation: &str) -> Waiter {
    Waiter {
        service: SERVICE.to_owned(),
        organisation: organisation.to_owned(),
        urgency: URGENT,
        came_back: false,
        latest_start: Duration::from_secs(2),
        bytes: 200,
    }
}

fn enter(queue: &mut WaitQueue, waiter: Waiter, now: Now) -> WaiterId {
    queue.enter(waiter, now).unwrap().0
}

/// Returns the requests in the order in which they get room, as indexes into `waiters`.
fn order(waiters: &[Waiter], demand: &ServiceDemand) -> Vec<usize> {
    let mut queue = WaitQueue::default();
    let ids: Vec<WaiterId> = waiters
        .iter()
        .map(|waiter| enter(&mut queue, waiter.clone(), at(0)))
        .collect();
    let mut order = Vec::new();
    while let Some(first) = queue.first(SERVICE, demand, at(0)) {
        order.push(ids.iter().position(|id| *id == first).unwrap());
        queue.leave(first);
    }
    order
}

/// Demand of which one organisation has got most.
fn demand_served_mostly(organisation: &str) -> ServiceDemand {
    let mut demand = ServiceDemand::default();
    for _ in 0..30 {
        demand.record_arrival(SERVICE, organisation, URGENT, at(0));
        demand.record_served(SERVICE, organisation, at(0));
    }
    for other in ["b", "c", "d"] {
        demand.record_arrival(SERVICE, other, URGENT, at(0));
        demand.record_served(SERVICE, other, at(0));
    }
    demand
}

cases! {
    urgent_requests_go_first => {
        let less_urgent = Waiter { urgency: LESS_URGENT, came_back: true, ..waiter("a") };
        expect_that!(order(&[less_urgent, waiter("a")], &ServiceDemand::default()), eq(&[1, 0]));
    }

    organisation_that_is_served_least_goes_before_those_that_came_back => {
        let returned = Waiter { came_back: true, ..waiter("a") };
        let demand = demand_served_mostly("a");
        expect_that!(order(&[returned, waiter("b")], &demand), eq(&[1, 0]));
    }

    those_that_came_back_go_before_new_ones => {
        let returned = Waiter { came_back: true, ..waiter("a") };
        let soon = Waiter { latest_start: Duration::from_secs(1), ..waiter("a") };
        expect_that!(order(&[waiter("a"), soon, returned], &ServiceDemand::default()), eq(&[2, 1, 0]));
    }

    requests_that_can_no_longer_meet_their_deadline_go_last => {
        let mut queue = WaitQueue::default();
        let late = enter(&mut queue, Waiter { latest_start: Duration::from_millis(10), ..waiter("a") }, at(0));
        let later = enter(&mut queue, waiter("a"), at(0));
        expect_that!(queue.first(SERVICE, &ServiceDemand::default(), at(5)), some(eq(late)));
        expect_that!(queue.first(SERVICE, &ServiceDemand::default(), at(20)), some(eq(later)));
    }

    // Neither a kind nor an organisation may wait behind others for ever.
    long_waits_go_before_urgent_requests_and_other_organisations => {
        let demand = demand_served_mostly("a");
        let lowest = Urgency { organisation: u8::MAX, route: u8::MAX };
        let patient = Waiter { latest_start: Duration::from_secs(60), ..waiter("a") };
        for (urgency, waited_millis) in [(URGENT, 600), (LESS_URGENT, 1200), (lowest, 9_000)] {
            let mut queue = WaitQueue::default();
            let old = enter(&mut queue, Waiter { urgency, ..patient.clone() }, at(0));
            let now = at(waited_millis);
            enter(&mut queue, Waiter { organisation: "b".to_owned(), ..patient.clone() }, now);
            expect_that!(queue.first(SERVICE, &demand, now), some(eq(old)), "{urgency:?}");
        }
    }

    services_do_not_wait_for_each_other => {
        let mut queue = WaitQueue::default();
        let other = Waiter { service: "other".to_owned(), ..waiter("a") };
        enter(&mut queue, other, at(0));
        expect_that!(queue.first(SERVICE, &ServiceDemand::default(), at(0)), none());
        expect_that!(queue.has_ahead(&waiter("a"), &ServiceDemand::default(), at(0)), eq(false));
    }

    // Guards against a box that runs out of memory while upstreams are slow.
    queue_is_bounded_in_requests_and_bytes => {
        let mut queue = WaitQueue::default();
        let ids: Vec<WaiterId> =
            (0..MAX_WAITING).map(|_| enter(&mut queue, waiter("a"), at(0))).collect();
        expect_that!(queue.enter(waiter("a"), at(0)).is_none(), eq(true));
        for id in ids {
            queue.leave(id);
        }
        let large = Waiter { bytes: MAX_WAITING_BYTES, ..waiter("a") };
        enter(&mut queue, large, at(0));
        expect_that!(queue.enter(waiter("a"), at(0)).is_none(), eq(true));
    }

    abandoned_requests_leave_the_queue => {
        let queue = RefCell::new(WaitQueue::default());
        let place = WaitingPlace::take(&queue, waiter("a"), at(0));
        expect_that!(queue.borrow().len(), eq(1));
        drop(place);
        expect_that!(queue.borrow().is_empty(), eq(true));
    }

    // The caller of the first one may leave just as it is woken.
    request_that_leaves_passes_its_signal_on => {
        let queue = RefCell::new(WaitQueue::default());
        let demand = ServiceDemand::default();
        let first = WaitingPlace::take(&queue, waiter("a"), at(0)).unwrap();
        let second = WaitingPlace::take(&queue, waiter("a"), at(1)).unwrap();
        queue.borrow().wake_first(SERVICE, &demand, at(2));
        drop(first);
        let began = Instant::now();
        let long = Duration::from_secs(20);
        actix_rt::System::new().block_on(second.woken(long));
        expect_that!(began.elapsed(), lt(long / 2));
    }

    // Guards against callers that gain from repeating at once: they state nearly all of the time.
    only_callers_that_have_used_time_count_as_returned => {
        let mut demand = ServiceDemand::default();
        let deadline = Duration::from_millis(1500);
        for number in 0..200 {
            let mut record = |time| demand.record_caller_time("book", time);
            expect_that!(record(deadline), eq(CallerHistory::New), "{number}");
            let soon = deadline - Duration::from_millis(10 + number % 30);
            expect_that!(record(soon), eq(CallerHistory::RepeatsAtOnce), "{number}");
            let later = Duration::from_millis(900 + number);
            expect_that!(record(later), eq(CallerHistory::Returned), "{number}");
        }
        let mut record = |route, time| demand.record_caller_time(route, time);
        expect_that!(record("book", Duration::ZERO), eq(CallerHistory::Returned));
        expect_that!(record("book", Duration::MAX), eq(CallerHistory::New));
        expect_that!(record("other", Duration::ZERO), eq(CallerHistory::New));
    }

    organisation_is_over_its_share_only_beside_others => {
        expect_that!(demand_served_mostly("a").is_over_share(SERVICE, "a", at(0)), eq(true));
        expect_that!(demand_served_mostly("a").is_over_share(SERVICE, "b", at(0)), eq(false));
        let mut alone = ServiceDemand::default();
        for _ in 0..100 {
            alone.record_arrival(SERVICE, "a", URGENT, at(0));
        }
        expect_that!(alone.is_over_share(SERVICE, "a", at(0)), eq(false));
    }

    // What was served is forgotten, so an organisation pays for a burst only for seconds.
    shares_are_forgotten => {
        let demand = demand_served_mostly("a");
        expect_that!(demand.is_over_share(SERVICE, "a", at(4000)), eq(false));
    }

    state_of_the_demand_is_bounded => {
        let mut demand = ServiceDemand::default();
        for number in 0..5000u64 {
            let name = number.to_string();
            demand.record_arrival(SERVICE, &name, URGENT, at(number));
            demand.record_served(SERVICE, &name, at(number));
            demand.record_served(&name, "a", at(number));
            demand.record_caller_time(&name, Duration::from_secs(1));
        }
        expect_that!(demand.served_per_second(SERVICE, None, at(5000)), gt(0.0));
        expect_that!(demand.served_per_second("4999", None, at(5000)), eq(0.0));
    }
}

/// Reports how long it takes to find who goes first; run it with `--ignored --nocapture`.
#[test]
#[ignore = "measures time, which depends on the machine"]
fn time_to_find_the_first_of_a_thousand() {
    const ROUNDS: u32 = 10_000;
    let mut queue = WaitQueue::default();
    let mut demand = ServiceDemand::default();
    for number in 0..MAX_WAITING {
        let organisation = format!("organisation-{}", number % 24);
        demand.record_served(SERVICE, &organisation, at(0));
        enter(&mut queue, waiter(&organisation), at(number as u64 / 2));
    }
    let began = Instant::now();
    for _ in 0..ROUNDS {
        std::hint::black_box(queue.first(SERVICE, &demand, at(600)));
    }
    println!("{:?} for each decision", began.elapsed() / ROUNDS);
}
