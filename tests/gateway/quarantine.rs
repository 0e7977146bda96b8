//! Which requests are withheld from upstreams because they crash them.

use super::{at, cases};
use gatepier::clock::Now;
use gatepier::crash_ledger::{
    CrashLedger, CrashRecord, CrashRole, MAX_TRACKED_SUBJECTS, QuarantineState,
};
use gatepier::fingerprint::{Fingerprint, RequestIdentity};
use googletest::prelude::*;

const REQUEST: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);

/// A ledger in which a request ran at the crashes of upstreams 1 and up.
fn ledger_with_crashes(request: Fingerprint, crashes: u32, now: Now) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for incarnation in 1..=crashes {
        ledger.add_crash(incarnation, request, CrashRole::Concurrent, now);
    }
    ledger
}

fn record(request: Fingerprint, crashes: &[(u32, CrashRole)]) -> CrashRecord {
    CrashRecord {
        subject: request,
        crashes: crashes.to_vec(),
        age_ms: 0,
    }
}

fn identity<'a>() -> RequestIdentity<'a> {
    RequestIdentity {
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
        expect_that!(ledger.quarantine_state(&REQUEST.into(), at(0)), eq(QuarantineState::Clear));
    }

    request_at_three_crashes_is_put_on_trial => {
        let mut ledger = ledger_with_crashes(REQUEST, 3, at(0));
        expect_that!(ledger.quarantine_state(&REQUEST.into(), at(0)), eq(QuarantineState::Suspect));
        ledger.begin_trial(REQUEST, at(0));
        let state = ledger.quarantine_state(&REQUEST.into(), at(100));
        expect_that!(state, matches_pattern!(QuarantineState::OnTrial(_)));
        ledger.end_trial(REQUEST);
        expect_that!(ledger.quarantine_state(&REQUEST.into(), at(100)), eq(QuarantineState::Suspect));
    }

    crash_on_trial_quarantines_a_request => {
        let mut ledger = ledger_with_crashes(REQUEST, 3, at(0));
        ledger.add_crash(4, REQUEST, CrashRole::OnTrial, at(10));
        expect_that!(ledger.quarantine_state(&REQUEST.into(), at(10)), eq(QuarantineState::Quarantined));
    }

    // Guards against blaming a request for repeated crashes that other requests cause.
    crashes_outside_of_a_trial_never_quarantine_a_request => {
        let ledger = ledger_with_crashes(REQUEST, 9, at(0));
        expect_that!(ledger.quarantine_state(&REQUEST.into(), at(0)), eq(QuarantineState::Suspect));
    }

    answer_clears_a_request_of_all_crashes => {
        let mut ledger = ledger_with_crashes(REQUEST, 3, at(0));
        ledger.begin_trial(REQUEST, at(0));
        expect_that!(ledger.add_answer(REQUEST, at(50)), some(anything()));
        expect_that!(ledger.quarantine_state(&REQUEST.into(), at(50)), eq(QuarantineState::Clear));
        ledger.add_crash(7, REQUEST, CrashRole::Concurrent, at(60));
        ledger.add_crash(8, REQUEST, CrashRole::Concurrent, at(60));
        expect_that!(ledger.quarantine_state(&REQUEST.into(), at(60)), eq(QuarantineState::Clear));
        expect_that!(ledger.add_answer(OTHER, at(50)), none());
    }

    late_record_of_an_old_crash_does_not_undo_an_answer => {
        let mut ledger = ledger_with_crashes(REQUEST, 3, at(0));
        ledger.add_answer(REQUEST, at(50));
        let late: Vec<(u32, CrashRole)> = (1..=3).map(|incarnation| (incarnation, CrashRole::Concurrent)).collect();
        ledger.merge_record(&record(REQUEST, &late), at(60));
        expect_that!(ledger.quarantine_state(&REQUEST.into(), at(60)), eq(QuarantineState::Clear));
    }

    // Either of two requests on trial at the same upstream may have crashed it.
    two_requests_on_trial_at_one_crash_are_both_tried_again => {
        let mut ledger = ledger_with_crashes(REQUEST, 3, at(0));
        ledger.merge_record(&record(OTHER, &[(1, CrashRole::Concurrent), (2, CrashRole::Concurrent), (3, CrashRole::Concurrent)]), at(0));
        ledger.add_crash(4, REQUEST, CrashRole::OnTrial, at(10));
        ledger.add_crash(4, OTHER, CrashRole::OnTrial, at(10));
        expect_that!(ledger.quarantine_state(&REQUEST.into(), at(10)), eq(QuarantineState::Suspect));
        expect_that!(ledger.quarantine_state(&OTHER.into(), at(10)), eq(QuarantineState::Suspect));
        ledger.add_crash(5, REQUEST, CrashRole::OnTrial, at(20));
        expect_that!(ledger.quarantine_state(&REQUEST.into(), at(20)), eq(QuarantineState::Quarantined));
        expect_that!(ledger.quarantine_state(&OTHER.into(), at(20)), eq(QuarantineState::Suspect));
    }

    boxes_that_receive_the_same_records_in_any_order_agree => {
        let records = [
            record(REQUEST, &[(1, CrashRole::Concurrent), (2, CrashRole::Concurrent)]),
            record(REQUEST, &[(2, CrashRole::Concurrent), (3, CrashRole::Concurrent)]),
            record(REQUEST, &[(4, CrashRole::OnTrial)]),
        ];
        for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
            let mut ledger = CrashLedger::default();
            for number in order {
                ledger.merge_record(&records[number], at(0));
                ledger.merge_record(&records[number], at(1));
            }
            expect_that!(ledger.quarantine_state(&REQUEST.into(), at(2)), eq(QuarantineState::Quarantined));
        }
    }

    box_that_received_all_records_agrees_with_the_sender => {
        let mut sender = ledger_with_crashes(REQUEST, 3, at(0));
        sender.add_crash(4, REQUEST, CrashRole::OnTrial, at(10));
        sender.add_crash(5, OTHER, CrashRole::Concurrent, at(10));
        let mut receiver = CrashLedger::default();
        for record in sender.records_for_all_boxes(at(1000)) {
            receiver.merge_record(&record, at(1000));
        }
        expect_that!(receiver.quarantine_state(&REQUEST.into(), at(1000)), eq(QuarantineState::Quarantined));
    }

    requests_are_forgotten_ten_minutes_after_their_last_crash => {
        let mut ledger = ledger_with_crashes(REQUEST, 3, at(0));
        ledger.add_crash(4, REQUEST, CrashRole::OnTrial, at(0));
        expect_that!(ledger.quarantine_state(&REQUEST.into(), at(599_000)), eq(QuarantineState::Quarantined));
        expect_that!(ledger.quarantine_state(&REQUEST.into(), at(601_000)), eq(QuarantineState::Clear));
        expect_that!(ledger.records_for_all_boxes(at(601_000)), is_empty());
    }

    flood_of_requests_does_not_evict_quarantined_ones => {
        let mut ledger = ledger_with_crashes(REQUEST, 3, at(0));
        ledger.add_crash(4, REQUEST, CrashRole::OnTrial, at(0));
        for number in 0..3 * MAX_TRACKED_SUBJECTS {
            let flood = Fingerprint(1_000 + number as u128);
            ledger.add_crash(100 + number as u32, flood, CrashRole::Concurrent, at(1));
        }
        expect_that!(ledger.len(), le(MAX_TRACKED_SUBJECTS));
        expect_that!(ledger.quarantine_state(&REQUEST.into(), at(2)), eq(QuarantineState::Quarantined));
    }

    fingerprints_differ_by_caller_target_and_body => {
        let request = Fingerprint::of(identity());
        expect_that!(Fingerprint::of(identity()), eq(request));
        let others = [
            RequestIdentity { caller: Some("novels"), ..identity() },
            RequestIdentity { caller: None, ..identity() },
            RequestIdentity { method: "PUT", ..identity() },
            RequestIdentity { host: "other.example", ..identity() },
            RequestIdentity { target: "/recap/b", ..identity() },
            RequestIdentity { body: b"another", ..identity() },
            RequestIdentity { target: "/recap/ab", body: b"ody", ..identity() },
        ];
        for other in others {
            expect_that!(Fingerprint::of(other), not(eq(request)));
        }
    }
}
