//! Which requests are withheld from upstreams because they crash them.

use super::{at, cases};
use gatepier::clock::Now;
use gatepier::crash_ledger::{CrashLedger, CrashRecord, MOST_REQUESTS, Part, Standing};
use gatepier::fingerprint::{Fingerprint, Identity};
use googletest::prelude::*;

const REQUEST: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);

/// A ledger in which a request ran at the crashes of upstreams 1 and up.
fn ledger_with_crashes(request: Fingerprint, crashes: u32, now: Now) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for life in 1..=crashes {
        ledger.crashed(life, request, Part::Present, now);
    }
    ledger
}

fn record(request: Fingerprint, crashes: &[(u32, Part)]) -> CrashRecord {
    CrashRecord {
        request,
        crashes: crashes.to_vec(),
        age_ms: 0,
    }
}

fn identity<'a>() -> Identity<'a> {
    Identity {
        caller: Some("comics"),
        method: "POST",
        host: "app.example",
        target: "/recap/a",
        body: b"body",
    }
}

cases! {
    request_at_two_crashes_is_sent_like_any_other => {
        let ledger = ledger_with_crashes(REQUEST, 2, at(0));
        expect_that!(ledger.standing(REQUEST, at(0)), eq(Standing::Clear));
    }

    request_at_three_crashes_is_put_on_trial => {
        let mut ledger = ledger_with_crashes(REQUEST, 3, at(0));
        expect_that!(ledger.standing(REQUEST, at(0)), eq(Standing::Suspect));
        ledger.begin_trial(REQUEST, at(0));
        let standing = ledger.standing(REQUEST, at(100));
        expect_that!(standing, matches_pattern!(Standing::OnTrial(_)));
        ledger.end_trial(REQUEST);
        expect_that!(ledger.standing(REQUEST, at(100)), eq(Standing::Suspect));
    }

    crash_on_trial_quarantines_a_request => {
        let mut ledger = ledger_with_crashes(REQUEST, 3, at(0));
        ledger.crashed(4, REQUEST, Part::OnTrial, at(10));
        expect_that!(ledger.standing(REQUEST, at(10)), eq(Standing::Quarantined));
    }

    // Guards against blaming a request for repeated crashes that other requests cause.
    crashes_outside_of_a_trial_never_quarantine_a_request => {
        let ledger = ledger_with_crashes(REQUEST, 9, at(0));
        expect_that!(ledger.standing(REQUEST, at(0)), eq(Standing::Suspect));
    }

    answer_clears_a_request_of_all_crashes => {
        let mut ledger = ledger_with_crashes(REQUEST, 3, at(0));
        ledger.begin_trial(REQUEST, at(0));
        expect_that!(ledger.answered(REQUEST, at(50)), some(anything()));
        expect_that!(ledger.standing(REQUEST, at(50)), eq(Standing::Clear));
        ledger.crashed(7, REQUEST, Part::Present, at(60));
        ledger.crashed(8, REQUEST, Part::Present, at(60));
        expect_that!(ledger.standing(REQUEST, at(60)), eq(Standing::Clear));
        expect_that!(ledger.answered(OTHER, at(50)), none());
    }

    late_record_of_an_old_crash_does_not_undo_an_answer => {
        let mut ledger = ledger_with_crashes(REQUEST, 3, at(0));
        ledger.answered(REQUEST, at(50));
        let late: Vec<(u32, Part)> = (1..=3).map(|life| (life, Part::Present)).collect();
        ledger.take(&record(REQUEST, &late), at(60));
        expect_that!(ledger.standing(REQUEST, at(60)), eq(Standing::Clear));
    }

    // Either of two requests on trial at the same upstream may have crashed it.
    two_requests_on_trial_at_one_crash_are_both_tried_again => {
        let mut ledger = ledger_with_crashes(REQUEST, 3, at(0));
        ledger.take(&record(OTHER, &[(1, Part::Present), (2, Part::Present), (3, Part::Present)]), at(0));
        ledger.crashed(4, REQUEST, Part::OnTrial, at(10));
        ledger.crashed(4, OTHER, Part::OnTrial, at(10));
        expect_that!(ledger.standing(REQUEST, at(10)), eq(Standing::Suspect));
        expect_that!(ledger.standing(OTHER, at(10)), eq(Standing::Suspect));
        ledger.crashed(5, REQUEST, Part::OnTrial, at(20));
        expect_that!(ledger.standing(REQUEST, at(20)), eq(Standing::Quarantined));
        expect_that!(ledger.standing(OTHER, at(20)), eq(Standing::Suspect));
    }

    boxes_that_receive_the_same_records_in_any_order_agree => {
        let records = [
            record(REQUEST, &[(1, Part::Present), (2, Part::Present)]),
            record(REQUEST, &[(2, Part::Present), (3, Part::Present)]),
            record(REQUEST, &[(4, Part::OnTrial)]),
        ];
        for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
            let mut ledger = CrashLedger::default();
            for number in order {
                ledger.take(&records[number], at(0));
                ledger.take(&records[number], at(1));
            }
            expect_that!(ledger.standing(REQUEST, at(2)), eq(Standing::Quarantined));
        }
    }

    box_that_received_all_records_agrees_with_the_sender => {
        let mut sender = ledger_with_crashes(REQUEST, 3, at(0));
        sender.crashed(4, REQUEST, Part::OnTrial, at(10));
        sender.crashed(5, OTHER, Part::Present, at(10));
        let mut receiver = CrashLedger::default();
        for record in sender.to_tell(at(1000)) {
            receiver.take(&record, at(1000));
        }
        expect_that!(receiver.standing(REQUEST, at(1000)), eq(Standing::Quarantined));
    }

    requests_are_forgotten_ten_minutes_after_their_last_crash => {
        let mut ledger = ledger_with_crashes(REQUEST, 3, at(0));
        ledger.crashed(4, REQUEST, Part::OnTrial, at(0));
        expect_that!(ledger.standing(REQUEST, at(599_000)), eq(Standing::Quarantined));
        expect_that!(ledger.standing(REQUEST, at(601_000)), eq(Standing::Clear));
        expect_that!(ledger.to_tell(at(601_000)), is_empty());
    }

    flood_of_requests_does_not_evict_quarantined_ones => {
        let mut ledger = ledger_with_crashes(REQUEST, 3, at(0));
        ledger.crashed(4, REQUEST, Part::OnTrial, at(0));
        for number in 0..3 * MOST_REQUESTS {
            let flood = Fingerprint(1_000 + number as u128);
            ledger.crashed(100 + number as u32, flood, Part::Present, at(1));
        }
        expect_that!(ledger.len(), le(MOST_REQUESTS));
        expect_that!(ledger.standing(REQUEST, at(2)), eq(Standing::Quarantined));
    }

    fingerprints_differ_by_caller_target_and_body => {
        let request = Fingerprint::of(identity());
        expect_that!(Fingerprint::of(identity()), eq(request));
        let others = [
            Identity { caller: Some("novels"), ..identity() },
            Identity { caller: None, ..identity() },
            Identity { method: "PUT", ..identity() },
            Identity { host: "other.example", ..identity() },
            Identity { target: "/recap/b", ..identity() },
            Identity { body: b"another", ..identity() },
            Identity { target: "/recap/ab", body: b"ody", ..identity() },
        ];
        for other in others {
            expect_that!(Fingerprint::of(other), not(eq(request)));
        }
    }
}
