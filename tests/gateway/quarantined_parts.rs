//! Which requests are withheld from upstreams because a part of their prompts crashes them.

use super::{at, cases};
use gatepier::clock::Now;
use gatepier::crash_ledger::{CrashLedger, CrashRole, MAX_TRACKED_SUBJECTS, QuarantineState};
use gatepier::fingerprint::{Fingerprint, RequestFingerprints};
use googletest::prelude::*;

const SERVICE: &str = "inkmind";

fn part(id: &str) -> Fingerprint {
    Fingerprint::of_part(SERVICE, id)
}

/// A request with shared parts.
fn request(own: u128, parts: &[&str]) -> RequestFingerprints {
    RequestFingerprints {
        own: Fingerprint(own),
        parts: parts.iter().map(|id| part(id)).collect(),
    }
}

/// Records that a request ran at a crash, as any of its subjects that are suspects do on trial.
fn crash(ledger: &mut CrashLedger, incarnation: u32, request: &RequestFingerprints, now: Now) {
    let suspects = ledger.suspects(request, now);
    for subject in request.iter() {
        let role = match suspects.contains(&subject) {
            true => CrashRole::OnTrial,
            false => CrashRole::Concurrent,
        };
        ledger.add_crash(incarnation, subject, role, now);
    }
}

/// A ledger in which requests with the parts, no two alike, ran at the crashes of upstreams 1 and up.
fn ledger_with_crashes(crashes: u32, parts: &[&str], now: Now) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for incarnation in 1..=crashes {
        let request = request(u128::from(incarnation), parts);
        crash(&mut ledger, incarnation, &request, now);
    }
    ledger
}

/// Records that a request was answered whole.
fn answer(ledger: &mut CrashLedger, request: &RequestFingerprints, now: Now) {
    for subject in request.iter() {
        ledger.add_answer(subject, now);
    }
}

fn state(ledger: &CrashLedger, own: u128, parts: &[&str], now: Now) -> QuarantineState {
    ledger.quarantine_state(&request(own, parts), now)
}

fn is_quarantined(state: QuarantineState) -> bool {
    matches!(state, QuarantineState::PartQuarantined(_))
}

cases! {
    part_at_three_crashes_is_put_on_trial => {
        let mut ledger = ledger_with_crashes(2, &["a"], at(0));
        expect_that!(state(&ledger, 90, &["a"], at(0)), eq(QuarantineState::Clear));
        crash(&mut ledger, 3, &request(3, &["a"]), at(0));
        expect_that!(state(&ledger, 90, &["a"], at(0)), eq(QuarantineState::Suspect));
        expect_that!(state(&ledger, 90, &["b"], at(0)), eq(QuarantineState::Clear));
        ledger.begin_trial(part("a"), at(0));
        expect_that!(
            state(&ledger, 91, &["b", "a"], at(1)),
            matches_pattern!(QuarantineState::OnTrial(_))
        );
    }

    // Guards against a part that crashes one upstream after the other, since each request with it is
    // another one.
    crash_on_trial_quarantines_all_requests_with_the_part => {
        let ledger = ledger_with_crashes(4, &["a", "b"], at(0));
        let state = state(&ledger, 90, &["a", "b"], at(1));
        expect_that!(is_quarantined(state), eq(true));
    }

    answer_clears_the_parts_of_a_request => {
        let mut ledger = ledger_with_crashes(3, &["a", "b"], at(0));
        answer(&mut ledger, &request(90, &["a"]), at(5));
        expect_that!(state(&ledger, 91, &["a"], at(6)), eq(QuarantineState::Clear));
        expect_that!(state(&ledger, 91, &["b"], at(6)), eq(QuarantineState::Suspect));
    }

    // Guards against withholding sound requests that share a part with crashing ones.
    part_that_is_answered_beside_a_crashing_one_stays_clear => {
        let mut ledger = CrashLedger::default();
        for incarnation in 1..=6 {
            crash(&mut ledger, incarnation, &request(u128::from(incarnation), &["common", "bad"]), at(0));
            answer(&mut ledger, &request(50, &["common", "sound"]), at(0));
        }
        expect_that!(state(&ledger, 90, &["common", "sound"], at(1)), eq(QuarantineState::Clear));
        expect_that!(is_quarantined(state(&ledger, 90, &["common", "bad"], at(1))), eq(true));
    }

    // Requests that run beside crashing ones break off with them, several times in a row.
    part_at_crashes_that_another_part_explains_stays_clear => {
        let mut ledger = ledger_with_crashes(1, &["bad"], at(0));
        for incarnation in 2..=4 {
            crash(&mut ledger, incarnation, &request(u128::from(incarnation), &["bad"]), at(0));
            crash(&mut ledger, incarnation, &request(60, &["unlucky"]), at(0));
        }
        expect_that!(state(&ledger, 90, &["unlucky"], at(1)), eq(QuarantineState::Clear));
        expect_that!(is_quarantined(state(&ledger, 90, &["bad"], at(1))), eq(true));
    }

    // Guards against blaming the sound one of two parts that always came together.
    only_requests_with_both_of_two_parts_are_quarantined_until_one_is_cleared => {
        let mut ledger = ledger_with_crashes(5, &["a", "b"], at(0));
        expect_that!(is_quarantined(state(&ledger, 90, &["a", "b"], at(1))), eq(true));
        expect_that!(state(&ledger, 90, &["a"], at(1)), eq(QuarantineState::Suspect));
        expect_that!(state(&ledger, 90, &["b"], at(1)), eq(QuarantineState::Suspect));
        answer(&mut ledger, &request(90, &["a"]), at(2));
        expect_that!(state(&ledger, 91, &["a"], at(3)), eq(QuarantineState::Clear));
        expect_that!(is_quarantined(state(&ledger, 91, &["b"], at(3))), eq(true));
    }

    request_that_is_repeated_is_refused_for_itself => {
        let mut ledger = CrashLedger::default();
        for incarnation in 1..=4 {
            crash(&mut ledger, incarnation, &request(7, &["a"]), at(0));
        }
        expect_that!(state(&ledger, 7, &["a"], at(1)), eq(QuarantineState::Quarantined));
        expect_that!(state(&ledger, 8, &["a"], at(1)), eq(QuarantineState::Suspect));
        crash(&mut ledger, 5, &request(8, &["a"]), at(1));
        expect_that!(is_quarantined(state(&ledger, 9, &["a"], at(1))), eq(true));
    }

    // Guards against a part that stays quarantined although the engines were repaired.
    quarantined_part_is_tried_again_ever_more_rarely => {
        let mut ledger = ledger_with_crashes(4, &["a"], at(0));
        expect_that!(is_quarantined(state(&ledger, 90, &["a"], at(19_900))), eq(true));
        expect_that!(state(&ledger, 90, &["a"], at(25_100)), eq(QuarantineState::Suspect));
        crash(&mut ledger, 5, &request(90, &["a"]), at(25_100));
        expect_that!(is_quarantined(state(&ledger, 91, &["a"], at(85_000))), eq(true));
        expect_that!(state(&ledger, 91, &["a"], at(90_200)), eq(QuarantineState::Suspect));
        answer(&mut ledger, &request(91, &["a"]), at(90_200));
        expect_that!(state(&ledger, 92, &["a"], at(90_300)), eq(QuarantineState::Clear));
    }

    // Requests that wait for the same trial would otherwise begin it at several boxes at once.
    requests_are_admitted_to_a_new_trial_at_different_times => {
        let ledger = ledger_with_crashes(4, &["a"], at(0));
        let (early, late) = (0x1_0000, 0x2_fff0);
        expect_that!(state(&ledger, early, &["a"], at(20_100)), eq(QuarantineState::Suspect));
        expect_that!(is_quarantined(state(&ledger, late, &["a"], at(20_100))), eq(true));
    }

    trial_ends_with_the_crash => {
        let mut ledger = ledger_with_crashes(3, &["a"], at(0));
        ledger.begin_trial(part("a"), at(0));
        ledger.add_crash(4, part("a"), CrashRole::OnTrial, at(10));
        // Something else was present at more crashes, so that the trial proved nothing.
        for incarnation in 3..=8 {
            ledger.add_crash(incarnation, part("bad"), CrashRole::Concurrent, at(10));
        }
        expect_that!(state(&ledger, 90, &["a"], at(11)), not(matches_pattern!(QuarantineState::OnTrial(_))));
    }

    boxes_agree_on_parts_whatever_the_order_of_records => {
        let source = ledger_with_crashes(5, &["a", "b"], at(0));
        let mut records = source.records_for_all_boxes(at(0));
        let mut forward = CrashLedger::default();
        let mut backward = CrashLedger::default();
        for record in &records {
            forward.merge_record(record, at(1));
        }
        records.reverse();
        for record in &records {
            backward.merge_record(record, at(1));
            backward.merge_record(record, at(2));
        }
        for ledger in [&forward, &backward] {
            expect_that!(is_quarantined(state(ledger, 90, &["a", "b"], at(3))), eq(true));
        }
    }

    // Crashes of which a part was cleared would otherwise fill its history.
    part_that_was_often_cleared_is_still_found => {
        let mut ledger = CrashLedger::default();
        for incarnation in 1..=40 {
            crash(&mut ledger, incarnation, &request(u128::from(incarnation), &["a"]), at(0));
            answer(&mut ledger, &request(50, &["a"]), at(0));
        }
        for incarnation in 101..=104 {
            crash(&mut ledger, incarnation, &request(u128::from(incarnation), &["a"]), at(1));
        }
        expect_that!(is_quarantined(state(&ledger, 90, &["a"], at(2))), eq(true));
    }

    flood_of_parts_does_not_evict_quarantined_ones => {
        let mut ledger = ledger_with_crashes(4, &["a"], at(0));
        for number in 0..2 * MAX_TRACKED_SUBJECTS {
            let name = format!("flood-{number}");
            ledger.add_crash(1000 + number as u32, part(&name), CrashRole::Concurrent, at(1));
        }
        expect_that!(ledger.len(), le(MAX_TRACKED_SUBJECTS));
        expect_that!(is_quarantined(state(&ledger, 90, &["a"], at(2))), eq(true));
    }

    parts_differ_by_service_and_from_requests => {
        expect_that!(part("a"), eq(Fingerprint::of_part(SERVICE, "a")));
        expect_that!(part("a"), not(eq(Fingerprint::of_part("other", "a"))));
        expect_that!(part("a"), not(eq(part("b"))));
    }
}
