//! Whether a single request of a service under load is sent, waits, or is refused.

use super::cases;
use gatepier::gateway::admit::load_decision::{
    CallerHistory, LoadDecision, LoadInputs, ReturnWindow, Standing, decide,
};
use gatepier::gateway::place::expected_wait::ExpectedWait;
use googletest::prelude::*;
use std::time::Duration;

const OBJECTIVE: Duration = Duration::from_millis(150);
const DEADLINE: Duration = Duration::from_millis(1500);
const RUN: Duration = Duration::from_millis(30);
const REPORT_AGE: Duration = Duration::from_millis(50);

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn wait_of(queue: Duration) -> ExpectedWait {
    ExpectedWait {
        queue,
        run: RUN,
        report_age: Some(REPORT_AGE),
    }
}

/// A new request that has just arrived, with a wait at the best upstream.
fn new_request(queue: Duration) -> LoadInputs {
    LoadInputs {
        expected: Some(wait_of(queue)),
        is_full_everywhere: false,
        objective: OBJECTIVE,
        objective_left: OBJECTIVE,
        deadline_left: DEADLINE,
        caller: CallerHistory::New,
        draw: 0,
        standing: Standing::default(),
    }
}

/// A request whose caller has returned after 400 ms.
fn returned_request(queue: Duration) -> LoadInputs {
    LoadInputs {
        deadline_left: millis(1100),
        caller: CallerHistory::Returned,
        ..new_request(queue)
    }
}

fn return_window(decision: LoadDecision) -> Option<ReturnWindow> {
    match decision {
        LoadDecision::Refuse { come_back } => come_back,
        LoadDecision::Send | LoadDecision::Wait { .. } => None,
    }
}

/// All inputs that the extreme figures of reports and clocks may lead to.
fn extreme_inputs() -> Vec<LoadInputs> {
    let mut all = Vec::new();
    for objective in EXTREME_TIMES {
        for deadline_left in EXTREME_TIMES {
            let extreme = extreme_waits().into_iter();
            all.extend(extreme.map(|inputs| LoadInputs {
                objective,
                deadline_left,
                ..inputs
            }));
        }
    }
    all
}

const EXTREME_TIMES: [Duration; 5] = [
    Duration::ZERO,
    millis(1),
    millis(150),
    millis(5000),
    Duration::MAX,
];

fn extreme_waits() -> Vec<LoadInputs> {
    let mut all = Vec::new();
    for queue in EXTREME_TIMES {
        for run in EXTREME_TIMES {
            for left in EXTREME_TIMES {
                for flags in 0..16u8 {
                    let is_set = |bit: u8| flags & (1 << bit) != 0;
                    all.push(LoadInputs {
                        expected: Some(ExpectedWait {
                            queue: queue / 2,
                            run: run / 2,
                            report_age: is_set(0).then_some(left),
                        }),
                        is_full_everywhere: is_set(1),
                        objective: left,
                        objective_left: left,
                        deadline_left: left,
                        caller: match is_set(2) {
                            true => CallerHistory::Returned,
                            false => CallerHistory::New,
                        },
                        draw: flags * 16,
                        standing: Standing {
                            is_less_urgent: is_set(3),
                            is_over_share: is_set(3),
                            has_others_ahead: is_set(3),
                        },
                    });
                }
            }
        }
    }
    all
}

cases! {
    request_is_sent_while_it_fits_its_objective => {
        expect_that!(decide(&new_request(millis(100))), eq(LoadDecision::Send));
    }

    // Callers that come back find room there; being refused again is worst for them.
    last_room_is_for_those_that_came_back => {
        expect_that!(return_window(decide(&new_request(millis(115)))), some(anything()));
        expect_that!(decide(&returned_request(millis(115))), eq(LoadDecision::Send));
    }

    // Where all boxes refuse, no answer brings a new report, and the queue has drained meanwhile.
    reports_older_than_their_queue_are_no_reason_to_refuse => {
        let drained = ExpectedWait { report_age: Some(millis(200)), ..wait_of(millis(150)) };
        let inputs = LoadInputs { expected: Some(drained), ..new_request(RUN) };
        expect_that!(decide(&inputs), eq(LoadDecision::Send));
    }

    // Boxes that see the same room would otherwise all send, or all refuse, until the next report.
    limits_of_requests_are_spread => {
        let is_sent = |draw| {
            decide(&LoadInputs { draw, ..new_request(millis(80)) }) == LoadDecision::Send
        };
        let sent = (0..=u8::MAX).filter(|draw| is_sent(*draw)).count();
        expect_that!(sent, all!(gt(100), lt(156)));
    }

    // An upstream that was overloaded seconds ago may be idle now.
    old_reports_are_no_reason_to_refuse => {
        let old = ExpectedWait { report_age: Some(millis(3000)), ..wait_of(millis(400)) };
        let inputs = LoadInputs { expected: Some(old), ..new_request(RUN) };
        expect_that!(decide(&inputs), eq(LoadDecision::Send));
    }

    // A box that knows nothing would otherwise refuse callers for whom there is room.
    request_is_sent_where_nothing_is_known => {
        let unknown = ExpectedWait { report_age: None, ..wait_of(millis(9000)) };
        let inputs = LoadInputs { expected: Some(unknown), ..new_request(RUN) };
        expect_that!(decide(&inputs), eq(LoadDecision::Send));
        let inputs = LoadInputs { expected: None, ..new_request(RUN) };
        expect_that!(decide(&inputs), eq(LoadDecision::Send));
    }

    no_request_is_refused_while_room_is_free => {
        for mut inputs in extreme_inputs() {
            let Some(expected) = &mut inputs.expected else { continue };
            expected.queue = Duration::ZERO;
            inputs.is_full_everywhere = false;
            expect_that!(decide(&inputs), eq(LoadDecision::Send), "{inputs:?}");
        }
    }

    // The caller can use the time for another attempt.
    new_request_that_does_not_fit_is_refused_at_once_with_a_return_that_fits => {
        let window = return_window(decide(&new_request(millis(300))));
        // 180 ms later the wait has shrunk to the objective, and the margin for new callers takes
        // longer; callers wait for a third of 1500 ms.
        let earliest = OBJECTIVE / 8 + millis(180);
        expect_that!(window, some(eq(ReturnWindow { earliest, latest: millis(500) })));
    }

    // The caller would wait in vain, and be refused again.
    new_request_gets_no_return_where_the_shortage_outlasts_its_patience => {
        let decision = decide(&new_request(millis(800)));
        expect_that!(decision, eq(LoadDecision::Refuse { come_back: None }));
    }

    // A refused caller that may not return is not served at all; a late answer is worth something.
    new_request_that_could_not_return_is_kept => {
        let inputs = LoadInputs { deadline_left: millis(250), ..new_request(millis(125)) };
        expect_that!(decide(&inputs), eq(LoadDecision::Wait { at_most: millis(120) }));
    }

    // Being refused again is worse for a caller than a late answer.
    returned_request_waits_for_room_instead_of_being_refused => {
        let decision = decide(&returned_request(millis(300)));
        expect_that!(decision, eq(LoadDecision::Wait { at_most: millis(120) }));
    }

    // A request that was held must have been offered while an answer would still be in time.
    returned_request_is_offered_before_its_objective_ends => {
        let inputs = LoadInputs { objective_left: RUN, ..returned_request(millis(300)) };
        expect_that!(decide(&inputs), eq(LoadDecision::Send));
    }

    returned_request_is_refused_at_once_if_its_deadline_cannot_be_met => {
        let decision = decide(&returned_request(millis(1100)));
        expect_that!(decision, eq(LoadDecision::Refuse { come_back: None }));
    }

    // Less urgent requests leave the last room to urgent ones, but use what is left over.
    less_urgent_request_leaves_the_last_room => {
        let standing = Standing { is_less_urgent: true, ..Standing::default() };
        let with_wait = |wait| decide(&LoadInputs { standing, ..new_request(wait) });
        expect_that!(with_wait(millis(40)), eq(LoadDecision::Send));
        expect_that!(return_window(with_wait(millis(90))), some(anything()));
    }

    // Each repeat would otherwise be another chance to find room.
    request_that_is_repeated_at_once_leaves_the_last_room => {
        let caller = CallerHistory::RepeatsAtOnce;
        let inputs = LoadInputs { caller, ..new_request(millis(80)) };
        expect_that!(return_window(decide(&inputs)), some(anything()));
    }

    new_request_does_not_overtake_those_that_wait => {
        let standing = Standing { has_others_ahead: true, ..Standing::default() };
        let inputs = LoadInputs { standing, ..new_request(millis(60)) };
        expect_that!(return_window(decide(&inputs)), some(anything()));
    }

    // Room is expected within moments; a refusal that comes late helps the caller less.
    new_request_waits_at_full_upstreams_only_while_a_refusal_is_prompt => {
        let rejected = LoadInputs { is_full_everywhere: true, ..new_request(RUN) };
        expect_that!(decide(&rejected), eq(LoadDecision::Wait { at_most: OBJECTIVE / 8 }));
        let later = LoadInputs { objective_left: OBJECTIVE - OBJECTIVE / 8, ..rejected };
        expect_that!(return_window(decide(&later)), some(anything()));
        let full = LoadInputs { is_full_everywhere: true, ..new_request(millis(300)) };
        expect_that!(return_window(decide(&full)), some(anything()));
    }

    returned_request_waits_at_full_upstreams_until_its_deadline_cannot_be_met => {
        let rejected = LoadInputs { is_full_everywhere: true, ..returned_request(RUN) };
        let decision = decide(&rejected);
        expect_that!(decision, matches_pattern!(LoadDecision::Wait { at_most: gt(millis(1000)) }));
        let at_end = LoadInputs { deadline_left: RUN, ..rejected };
        expect_that!(decide(&at_end), eq(LoadDecision::Refuse { come_back: None }));
    }

    // Reports may be old, contradictory or huge, and clocks may be off.
    returns_and_waits_end_before_the_deadline_whatever_is_reported => {
        for inputs in extreme_inputs() {
            match decide(&inputs) {
                LoadDecision::Send => {}
                LoadDecision::Wait { at_most } => {
                    expect_that!(at_most, all!(gt(Duration::ZERO), le(inputs.deadline_left)));
                }
                LoadDecision::Refuse { come_back: None } => {}
                LoadDecision::Refuse { come_back: Some(window) } => {
                    expect_that!(window.earliest, le(window.latest));
                    expect_that!(window.latest, le(inputs.deadline_left / 3));
                }
            }
        }
    }
}
