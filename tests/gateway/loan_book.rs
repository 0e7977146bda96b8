//! What a box does with the slots that it has borrowed: it keeps them while its callers need them, and
//! gives them back when they do not, or when their lender asks.

use super::{at, cases};
use gatepier::clock::Now;
use gatepier::gateway::peers::loan_book::{Loan, LoanBook, PendingLoan};
use gatepier::gateway::peers::slot_loans::{LoanKey, SlotMessage};
use gatepier::gateway::place::fleet_view::FleetView;
use gatepier::gateway::place::slots::{
    LOAN_TIMEOUT, LoanId, SLOT_VALIDITY, ServiceSlots, UpstreamSlots,
};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const UPSTREAM: u32 = 7;
const SLOTS: u32 = 6;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

fn lender() -> SocketAddr {
    address(1)
}

fn ask(book: &Rc<LoanBook>) -> PendingLoan {
    let pending = book.ask(lender(), UPSTREAM, Rc::default(), Now::read());
    sent(book);
    pending
}

/// Borrows a slot for a request.
fn borrow(book: &Rc<LoanBook>) -> (LoanKey, Loan) {
    let pending = ask(book);
    let key = pending.key();
    book.record_grant(key, lender(), Now::read());
    (key, pending.take().unwrap())
}

/// Returns the messages to other boxes that wait to be sent.
fn sent(book: &LoanBook) -> Vec<(SocketAddr, SlotMessage)> {
    let next = futures::FutureExt::now_or_never(book.outbox.next());
    next.unwrap_or_default()
}

fn later(now: Now, by: Duration) -> Now {
    Now {
        monotonic: now.monotonic + by,
        ..now
    }
}

cases! {
    slot_is_kept_for_the_next_request => {
        let book = Rc::<LoanBook>::default();
        let (key, loan) = borrow(&book);
        expect_that!(book.take_idle(UPSTREAM, Now::read()).is_none(), eq(true), "it is in use");
        drop(loan);
        expect_that!(sent(&book), is_empty());
        expect_that!(book.has_idle(UPSTREAM), eq(true));
        let again = book.take_idle(UPSTREAM, Now::read());
        expect_that!(again.is_some(), eq(true));
        expect_that!(book.has_idle(UPSTREAM), eq(false));
        book.extend_loans(Now::read());
        expect_that!(sent(&book), elements_are![eq(&(lender(), SlotMessage::Extension(key)))]);
    }

    unused_slot_is_given_back_after_the_time_of_a_run => {
        let book = Rc::<LoanBook>::default();
        let (key, loan) = borrow(&book);
        drop(loan);
        let now = Now::read();
        let left = book.return_unused(now).unwrap();
        expect_that!(left, le(ServiceSlots::default().mean_run()));
        expect_that!(sent(&book), is_empty());
        expect_that!(book.return_unused(later(now, left)), none());
        expect_that!(sent(&book), elements_are![eq(&(lender(), SlotMessage::Return(key)))]);
        book.extend_loans(now);
        expect_that!(sent(&book), is_empty(), "it is not held any more");
    }

    recalled_slot_is_given_back_at_once_if_it_is_unused => {
        let book = Rc::<LoanBook>::default();
        let (key, loan) = borrow(&book);
        drop(loan);
        book.recall(key, lender());
        expect_that!(sent(&book), elements_are![eq(&(lender(), SlotMessage::Return(key)))]);
        expect_that!(book.take_idle(UPSTREAM, Now::read()).is_none(), eq(true));
    }

    recalled_slot_is_given_back_after_the_request_that_uses_it => {
        let book = Rc::<LoanBook>::default();
        let (key, loan) = borrow(&book);
        book.recall(key, lender());
        expect_that!(sent(&book), is_empty());
        drop(loan);
        expect_that!(sent(&book), elements_are![eq(&(lender(), SlotMessage::Return(key)))]);
        expect_that!(book.has_idle(UPSTREAM), eq(false));
    }

    // Guards against a slot that is given back between its grant and the request that asked for it.
    slot_that_is_recalled_before_it_is_taken_is_not_used => {
        let book = Rc::<LoanBook>::default();
        let pending = ask(&book);
        let key = pending.key();
        book.record_grant(key, lender(), Now::read());
        book.recall(key, lender());
        expect_that!(sent(&book), elements_are![eq(&(lender(), SlotMessage::Return(key)))]);
        expect_that!(pending.take().is_none(), eq(true));
    }

    slot_that_is_recalled_before_its_grant_arrives_is_not_used => {
        let book = Rc::<LoanBook>::default();
        let pending = ask(&book);
        let key = pending.key();
        book.recall(key, lender());
        book.record_grant(key, lender(), Now::read());
        expect_that!(pending.take().is_none(), eq(true));
        expect_that!(sent(&book), len(eq(2)), "given back twice");
    }

    slot_that_is_lent_after_the_request_was_withdrawn_is_given_back => {
        let book = Rc::<LoanBook>::default();
        let pending = ask(&book);
        let key = pending.key();
        drop(pending);
        expect_that!(sent(&book), elements_are![eq(&(lender(), SlotMessage::Return(key)))]);
        book.record_grant(key, lender(), Now::read());
        expect_that!(sent(&book), elements_are![eq(&(lender(), SlotMessage::Return(key)))]);
        expect_that!(book.has_idle(UPSTREAM), eq(false));
    }

    slot_that_is_lent_to_a_request_that_has_ended_serves_the_next_one => {
        let book = Rc::<LoanBook>::default();
        let pending = ask(&book);
        book.record_grant(pending.key(), lender(), Now::read());
        drop(pending);
        expect_that!(sent(&book), is_empty());
        expect_that!(book.take_idle(UPSTREAM, Now::read()).is_some(), eq(true));
    }

    // Guards against a slot that its lender counts as lent for as long as the borrower extends it.
    recall_of_an_unknown_slot_gives_it_back => {
        let book = Rc::<LoanBook>::default();
        let key = ask(&book).key();
        expect_that!(sent(&book), elements_are![eq(&(lender(), SlotMessage::Return(key)))]);
        book.recall(key, lender());
        expect_that!(sent(&book), elements_are![eq(&(lender(), SlotMessage::Return(key)))]);
    }

    // Guards against a slot that is free while the upstream still runs a request of a former process.
    recall_of_a_slot_of_a_former_process_states_that_its_run_may_go_on => {
        let former = Rc::<LoanBook>::default();
        let key = ask(&former).key();
        let book = Rc::<LoanBook>::default();
        book.recall(key, lender());
        expect_that!(sent(&book), elements_are![eq(&(lender(), SlotMessage::Lost(key)))]);
        let slots = UpstreamSlots::new(UPSTREAM);
        let id = LoanId { borrower: address(2), number: key.number };
        slots.lend(id, at(0));
        slots.abandon_loan(id, Duration::from_millis(200));
        expect_that!(slots.in_use(0, at(100)), eq(1));
        expect_that!(slots.in_use(0, at(200)), eq(0));
    }

    // Guards against a grant of a lender's former process, which the present one knows nothing of.
    slot_that_a_former_process_has_lent_is_not_used => {
        let book = Rc::<LoanBook>::default();
        let pending = ask(&book);
        book.restate_loans(lender(), 5, Now::read());
        expect_that!(sent(&book), elements_are![eq(&(lender(), SlotMessage::AllStated(5)))]);
        book.record_grant(pending.key(), lender(), Now::read());
        expect_that!(pending.take().is_none(), eq(true));
    }

    // Guards against a slot that another box uses while an abandoned run still has it.
    slot_of_an_abandoned_run_is_given_back_after_the_time_of_a_run => {
        let book = Rc::<LoanBook>::default();
        let (key, loan) = borrow(&book);
        let now = Now::read();
        loan.abandon_run(now);
        book.recall(key, lender());
        expect_that!(book.has_idle(UPSTREAM), eq(false));
        expect_that!(sent(&book), is_empty());
        let run = ServiceSlots::default().mean_run();
        expect_that!(book.return_unused(later(now, run / 2)), some(eq(run / 2)));
        book.extend_loans(now);
        expect_that!(sent(&book), elements_are![eq(&(lender(), SlotMessage::Extension(key)))]);
        expect_that!(book.return_unused(later(now, run)), none());
        expect_that!(sent(&book), elements_are![eq(&(lender(), SlotMessage::Return(key)))]);
    }

    // Guards against a request that a frozen box writes after its lender took the slot back.
    request_is_not_written_long_after_the_lender_last_confirmed_the_loan => {
        let book = Rc::<LoanBook>::default();
        let pending = book.ask(lender(), UPSTREAM, Rc::default(), at(1000));
        let key = pending.key();
        book.record_grant(key, lender(), at(9000));
        let loan = pending.take().unwrap();
        expect_that!(loan.write_by(), eq(Duration::from_secs(1) + SLOT_VALIDITY));
        book.extend_loans(at(10_000));
        book.extend_loans(at(12_000));
        expect_that!(loan.write_by(), eq(Duration::from_secs(1) + SLOT_VALIDITY), "no answer yet");
        book.record_grant(key, lender(), at(13_000));
        expect_that!(loan.write_by(), eq(Duration::from_secs(10) + SLOT_VALIDITY));
        expect_that!(SLOT_VALIDITY * 2, le(LOAN_TIMEOUT));
    }

    // Guards against a kept slot whose lender has ended, so that its requests cannot be written.
    slot_is_not_used_again_long_after_its_lender_last_confirmed_it => {
        let book = Rc::<LoanBook>::default();
        let (key, loan) = borrow(&book);
        drop(loan);
        let now = Now::read();
        let late = later(now, SLOT_VALIDITY);
        expect_that!(book.take_idle(UPSTREAM, late).is_none(), eq(true));
        expect_that!(book.return_unused(late), none());
        expect_that!(sent(&book), elements_are![eq(&(lender(), SlotMessage::Return(key)))]);
    }

    // Guards against an answer to a former process's start that is taken for one to the present one.
    answer_to_another_process_is_told_from_the_own_one => {
        let book = Rc::<LoanBook>::default();
        book.announce_start(lender());
        let stated = sent(&book);
        let Some((_, SlotMessage::Started(first))) = stated.first() else {
            panic!("{stated:?}");
        };
        expect_that!(book.is_first_loan(*first), eq(true));
        expect_that!(book.is_first_loan(first.wrapping_add(1)), eq(false));
    }

    // Guards against loans whose messages grow with the callers that are refused.
    lender_without_free_slots_is_asked_less_and_less_often => {
        let book = Rc::<LoanBook>::default();
        let mut asked = 0;
        for millis in 0..10_000 {
            if book.may_ask(lender(), UPSTREAM, at(millis)) {
                asked += 1;
                book.record_denial(ask(&book).key(), lender(), at(millis));
            }
        }
        expect_that!(asked, le(32));
        expect_that!(book.may_ask(lender(), UPSTREAM + 1, at(10_000)), eq(true));
    }

    lender_is_asked_at_once_after_it_has_lent => {
        let book = Rc::<LoanBook>::default();
        for _ in 0..10 {
            let pending = ask(&book);
            book.record_denial(pending.key(), lender(), at(0));
        }
        expect_that!(book.may_ask(lender(), UPSTREAM, at(1)), eq(false));
        let (_key, _loan) = borrow(&book);
        expect_that!(book.may_ask(lender(), UPSTREAM, at(1)), eq(true));
    }

    lenders_are_the_other_boxes_with_a_share_of_the_slots => {
        let boxes: Vec<SocketAddr> = (0..48).map(address).collect();
        for own in &boxes {
            let fleet = FleetView {
                own_address: *own,
                box_addresses: &boxes,
                uptime: Duration::from_secs(60),
            };
            let slots = UpstreamSlots::new(UPSTREAM);
            let own_share = slots.share(SLOTS, fleet, at(0));
            let lent: u32 = slots.lenders(SLOTS, fleet, at(0)).iter().map(|(_, share)| share).sum();
            expect_that!(own_share + lent, eq(SLOTS));
        }
    }

    lent_slots_are_recalled_oldest_first_and_not_twice_at_once => {
        let slots = UpstreamSlots::new(UPSTREAM);
        let loan = |number| LoanId { borrower: address(2), number };
        slots.lend(loan(1), at(0));
        slots.lend(loan(2), at(1));
        expect_that!(slots.recall_oldest(at(10)), some(eq(loan(1))));
        expect_that!(slots.recall_oldest(at(10)), some(eq(loan(2))));
        expect_that!(slots.recall_oldest(at(10)), none());
        expect_that!(slots.recall_oldest(at(1000)), some(eq(loan(1))), "the message may be lost");
    }
}
