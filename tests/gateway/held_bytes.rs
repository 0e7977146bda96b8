//! Held memory stays within its budget, and the right requests yield when room runs out.

use super::{at, cases};
use gatepier::gateway::answer::held_bytes::{
    AccountId, BudgetShare, HeldBytes, HeldKind, HolderUrgency, MIN_STALL, MemoryRoom, NoRoom,
    budget,
};
use googletest::prelude::*;

const MEGABYTE: u64 = 1024 * 1024;

/// Opens an account that holds an answer.
fn holder(held: &mut HeldBytes, id: &str, bytes: u64, urgency: (u8, u8)) -> AccountId {
    let account = held.open(id);
    let (organisation, route) = urgency;
    held.set_urgency(
        account,
        HolderUrgency {
            organisation,
            route,
        },
    );
    held.resize(account, HeldKind::RelayedPiece, bytes).unwrap();
    account
}

/// Opens an account that holds an answer and waits for its caller from the start of the test on.
fn stalled(held: &mut HeldBytes, id: &str, bytes: u64, urgency: (u8, u8)) -> AccountId {
    let account = holder(held, id, bytes, urgency);
    held.wait_for_caller(account, at(0));
    account
}

fn stall_ms() -> u64 {
    u64::try_from(MIN_STALL.as_millis()).unwrap()
}

/// Returns the ids of the requests that yield for this many bytes, long after the test's start.
fn yielding(held: &mut HeldBytes, bytes: u64) -> Vec<String> {
    let chosen = held.make_room(bytes, BudgetShare::Whole, at(60_000));
    chosen
        .into_iter()
        .map(|request| request.request_id)
        .collect()
}

/// Returns all orders of the numbers below `count`.
fn orders(count: usize) -> Vec<Vec<usize>> {
    if count == 0 {
        return vec![Vec::new()];
    }
    let insert_everywhere = |order: Vec<usize>| {
        (0..=order.len()).map(move |place| {
            let mut longer = order.clone();
            longer.insert(place, count - 1);
            longer
        })
    };
    orders(count - 1)
        .into_iter()
        .flat_map(insert_everywhere)
        .collect()
}

cases! {
    budget_is_never_exceeded => {
        let mut held = HeldBytes::new(100);
        let first = holder(&mut held, "q-1", 60, (0, 0));
        let second = holder(&mut held, "q-2", 40, (0, 0));
        expect_that!(held.resize(second, HeldKind::RequestBody, 1), err(eq(NoRoom)));
        expect_that!(held.resize(first, HeldKind::RelayedPiece, 61), err(eq(NoRoom)));
        expect_that!(held.total(), eq(100));
        held.resize(first, HeldKind::RelayedPiece, 10).unwrap();
        held.resize(second, HeldKind::RequestBody, 50).unwrap();
        expect_that!(held.total(), eq(100));
    }

    bytes_beyond_any_number_do_not_fit => {
        let mut held = HeldBytes::new(u64::MAX);
        let first = holder(&mut held, "q-1", u64::MAX, (0, 0));
        let second = held.open("q-2");
        expect_that!(held.resize(second, HeldKind::RelayedPiece, u64::MAX), err(eq(NoRoom)));
        expect_that!(yielding(&mut held, u64::MAX), is_empty());
        held.close(first);
        expect_that!(held.resize(second, HeldKind::RequestBody, u64::MAX), err(eq(NoRoom)));
        expect_that!(held.resize(second, HeldKind::RelayedPiece, u64::MAX), ok(anything()));
    }

    box_without_a_budget_holds_nothing => {
        let mut held = HeldBytes::new(0);
        let account = held.open("q-1");
        expect_that!(held.room(), eq(MemoryRoom::Exhausted));
        expect_that!(held.resize(account, HeldKind::RequestBody, 0), ok(anything()));
        expect_that!(held.resize(account, HeldKind::RequestBody, 1), err(eq(NoRoom)));
        expect_that!(yielding(&mut held, 1), is_empty());
    }

    budget_leaves_what_the_process_needs => {
        expect_that!(budget(88 * MEGABYTE), eq(32 * MEGABYTE));
        expect_that!(budget(0), eq(0));
        // A box with little memory serves fewer requests rather than none.
        expect_that!(budget(16 * MEGABYTE), eq(2 * MEGABYTE));
        expect_that!(budget(u64::MAX), gt(u64::MAX / 3));
    }

    smaller_budget_keeps_what_is_held_and_takes_no_more => {
        let mut held = HeldBytes::new(100);
        let account = holder(&mut held, "q-1", 80, (0, 0));
        held.set_budget(50);
        expect_that!(held.room(), eq(MemoryRoom::Exhausted));
        expect_that!(held.resize(account, HeldKind::RequestBody, 1), err(eq(NoRoom)));
        held.resize(account, HeldKind::RelayedPiece, 60).unwrap();
        held.resize(account, HeldKind::RelayedPiece, 10).unwrap();
        held.resize(account, HeldKind::RequestBody, 40).unwrap();
        expect_that!(held.total(), eq(50));
    }

    room_is_tight_before_it_is_exhausted => {
        let mut held = HeldBytes::new(100);
        let account = holder(&mut held, "q-1", 74, (0, 0));
        expect_that!(held.room(), eq(MemoryRoom::Free));
        held.resize(account, HeldKind::RelayedPiece, 75).unwrap();
        expect_that!(held.room(), eq(MemoryRoom::Tight));
        held.resize(account, HeldKind::RelayedPiece, 100).unwrap();
        expect_that!(held.room(), eq(MemoryRoom::Exhausted));
    }

    large_bodies_leave_room_for_other_requests => {
        let mut held = HeldBytes::new(4 * MEGABYTE);
        let large = held.open("large");
        held.resize(large, HeldKind::RequestBody, 3 * MEGABYTE).unwrap();
        let other = held.open("other");
        expect_that!(held.resize(other, HeldKind::RequestBody, 65 * 1024), err(eq(NoRoom)));
        expect_that!(held.resize(other, HeldKind::RequestBody, 64 * 1024), ok(anything()));
        expect_that!(held.resize(other, HeldKind::RelayedPiece, MEGABYTE / 2), ok(anything()));
    }

    stalled_requests_yield_to_a_large_body_until_room_is_not_tight => {
        let mut held = HeldBytes::new(4 * MEGABYTE);
        stalled(&mut held, "stalled", 3 * MEGABYTE, (0, 0));
        let share = BudgetShare::of(HeldKind::RequestBody, MEGABYTE);
        expect_that!(share, eq(BudgetShare::UntilTight));
        let chosen = held.make_room(MEGABYTE, share, at(60_000));
        expect_that!(chosen.len(), eq(1));
    }

    sums_are_right_after_every_order_of_release => {
        for order in orders(4) {
            let mut held = HeldBytes::new(1000);
            let accounts: Vec<AccountId> = (0..4).map(|number| {
                let account = holder(&mut held, "q", 10 << number, (0, 0));
                held.resize(account, HeldKind::RequestBody, 1 << number).unwrap();
                account
            }).collect();
            let mut left = 15;
            for number in order {
                held.close(accounts[number]);
                // A second release of the same account changes nothing.
                held.close(accounts[number]);
                left -= 1 << number;
                expect_that!(held.held(HeldKind::RequestBody), eq(left));
                expect_that!(held.held(HeldKind::RelayedPiece), eq(left * 10));
                expect_that!(held.total(), eq(left * 11));
            }
        }
    }

    closed_account_takes_nothing => {
        let mut held = HeldBytes::new(100);
        let account = stalled(&mut held, "q-1", 60, (0, 0));
        held.close(account);
        expect_that!(held.resize(account, HeldKind::RequestBody, 1), err(eq(NoRoom)));
        held.wait_for_caller(account, at(0));
        expect_that!(held.total(), eq(0));
        expect_that!(yielding(&mut held, 101), is_empty());
    }

    least_urgent_organisation_yields_first => {
        let mut held = HeldBytes::new(100);
        stalled(&mut held, "urgent", 60, (0, 9));
        stalled(&mut held, "less-urgent", 40, (1, 0));
        expect_that!(yielding(&mut held, 30), elements_are![eq("less-urgent")]);
    }

    least_urgent_route_of_an_organisation_yields_first => {
        let mut held = HeldBytes::new(100);
        stalled(&mut held, "urgent", 60, (1, 0));
        stalled(&mut held, "less-urgent", 40, (1, 2));
        expect_that!(yielding(&mut held, 30), elements_are![eq("less-urgent")]);
    }

    largest_of_equal_urgency_yields_first => {
        let mut held = HeldBytes::new(100);
        stalled(&mut held, "small", 40, (1, 0));
        stalled(&mut held, "large", 60, (1, 0));
        expect_that!(yielding(&mut held, 30), elements_are![eq("large")]);
    }

    as_many_yield_as_room_is_needed => {
        let mut held = HeldBytes::new(100);
        stalled(&mut held, "first", 40, (2, 0));
        stalled(&mut held, "second", 30, (1, 0));
        stalled(&mut held, "third", 30, (0, 0));
        expect_that!(yielding(&mut held, 50), elements_are![eq("first"), eq("second")]);
    }

    request_whose_caller_makes_progress_stays => {
        let mut held = HeldBytes::new(100);
        let reads = stalled(&mut held, "reads", 60, (9, 9));
        stalled(&mut held, "stalled", 40, (0, 0));
        held.record_progress(reads, at(59_000));
        held.wait_for_caller(reads, at(59_500));
        expect_that!(yielding(&mut held, 10), elements_are![eq("stalled")]);
    }

    request_that_waits_for_its_upstream_stays => {
        let mut held = HeldBytes::new(100);
        holder(&mut held, "waits-for-upstream", 100, (9, 9));
        expect_that!(yielding(&mut held, 10), is_empty());
    }

    request_is_stalled_after_the_stated_time_and_not_before => {
        let mut held = HeldBytes::new(100);
        stalled(&mut held, "q-1", 100, (0, 0));
        expect_that!(held.make_room(10, BudgetShare::Whole, at(stall_ms() - 1)), is_empty());
        let chosen = held.make_room(10, BudgetShare::Whole, at(stall_ms()));
        expect_that!(chosen.len(), eq(1));
        expect_that!(chosen[0].held, eq(100));
        expect_that!(chosen[0].without_progress, eq(MIN_STALL));
    }

    time_that_goes_back_lets_nothing_go => {
        let mut held = HeldBytes::new(100);
        let account = holder(&mut held, "q-1", 100, (0, 0));
        held.wait_for_caller(account, at(5000));
        expect_that!(held.make_room(10, BudgetShare::Whole, at(0)), is_empty());
    }

    nobody_yields_while_there_is_room => {
        let mut held = HeldBytes::new(100);
        stalled(&mut held, "q-1", 50, (9, 9));
        expect_that!(yielding(&mut held, 50), is_empty());
    }

    nobody_yields_in_vain => {
        let mut held = HeldBytes::new(100);
        holder(&mut held, "waits-for-upstream", 60, (0, 0));
        stalled(&mut held, "stalled", 40, (9, 9));
        expect_that!(yielding(&mut held, 41), is_empty());
        expect_that!(held.will_fit(41, BudgetShare::Whole), eq(false));
    }

    request_that_yields_already_is_not_chosen_again => {
        let mut held = HeldBytes::new(100);
        let first = stalled(&mut held, "first", 60, (1, 0));
        stalled(&mut held, "second", 40, (0, 0));
        expect_that!(yielding(&mut held, 50), elements_are![eq("first")]);
        // What it holds counts until its connection has ended, and is not promised twice over.
        expect_that!(held.total(), eq(100));
        expect_that!(yielding(&mut held, 50), is_empty());
        expect_that!(held.will_fit(50, BudgetShare::Whole), eq(true));
        expect_that!(yielding(&mut held, 70), elements_are![eq("second")]);
        held.close(first);
        expect_that!(held.total(), eq(40));
    }
}
