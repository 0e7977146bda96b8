//! Roll-outs: which version serves whom, and when a version is found bad.

use super::{at, cases};
use gatepier::gateway::control::knowledge::{Knowledge, Rollout};
use gatepier::gateway::control::store::{RolloutOrder, RolloutRecord, RolloutState, Update};
use gatepier::gateway::versions::rollout::{
    Progress, VersionQuery, VersionRule, next_record, version_rule,
};
use gatepier::gateway::versions::sessions::Sessions;
use gatepier::gateway::versions::watch::{
    ENGINE_GUARD, PLAIN_GUARD, Quality, SLOW_ANSWER, Timing, VersionWatch,
};
use gatepier::name::VersionName;
use googletest::prelude::*;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn order() -> RolloutOrder {
    RolloutOrder {
        service: "engine".to_owned(),
        target: "v2".to_owned(),
        duration: 24 * SECOND,
        revision: 10,
    }
}

fn record(state: RolloutState, permille: u32, elapsed: Duration) -> RolloutRecord {
    RolloutRecord {
        service: "engine".to_owned(),
        target: "v2".to_owned(),
        order_revision: 10,
        state,
        permille,
        elapsed_ms: elapsed.as_millis() as u64,
        rejected: Vec::new(),
    }
}

/// Makes what a box knows of a roll-out.
fn known(record: Option<RolloutRecord>) -> Rollout {
    let mut knowledge = Knowledge::default();
    knowledge.apply(Update::RolloutOrdered(order()), at(0));
    if let Some(record) = record {
        knowledge.apply(Update::RolloutStage(record, 11), at(0));
    }
    knowledge.rollout("engine").unwrap().clone()
}

fn query(session: &str) -> VersionQuery<'_> {
    VersionQuery {
        session,
        pinned: None,
        stays_old: false,
        condemned: false,
    }
}

fn served_by_target(rollout: &Rollout, query: VersionQuery<'_>, millis: u64) -> bool {
    version_rule(Some(rollout), query, at(millis)) == VersionRule::Prefer("v2".to_owned())
}

fn progress(seconds: u32, answers: u64) -> Progress {
    Progress {
        elapsed: SECOND * seconds,
        condemned: false,
        answers,
    }
}

fn old() -> VersionName {
    VersionName {
        version: "v1".to_owned(),
        ..target()
    }
}

fn target() -> VersionName {
    VersionName {
        model: "engine".to_owned(),
        version: "v2".to_owned(),
    }
}

cases! {
    nobody_gets_the_target_before_a_box_leads => {
        let rollout = known(None);
        for session in 0..100 {
            let rule = version_rule(Some(&rollout), query(&session.to_string()), at(1));
            expect_that!(rule.allows("v2"), eq(false));
        }
    }

    first_stage_serves_a_tenth_of_the_sessions => {
        let rollout = known(Some(record(RolloutState::Running, 100, SECOND)));
        let moved = (0..2000)
            .filter(|session| served_by_target(&rollout, query(&session.to_string()), 1))
            .count();
        expect_that!(moved, all!(gt(140), lt(260)));
    }

    session_of_the_old_version_stays_in_the_first_half => {
        // Sessions reach several boxes: hashing alone moved twenty of them on a calm day.
        let rollout = known(Some(record(RolloutState::Running, 1000, SECOND)));
        let stays = VersionQuery { stays_old: true, ..query("s") };
        expect_that!(served_by_target(&rollout, query("s"), 1), eq(true));
        expect_that!(served_by_target(&rollout, stays, 1), eq(false));
        expect_that!(served_by_target(&rollout, stays, 13_000), eq(true));
    }

    session_of_the_target_keeps_it => {
        let rollout = known(Some(record(RolloutState::Running, 0, SECOND)));
        let pinned = VersionQuery { pinned: Some("v2"), ..query("s") };
        expect_that!(served_by_target(&rollout, pinned, 1), eq(true));
    }

    condemned_or_reverted_target_serves_nobody => {
        let running = known(Some(record(RolloutState::Running, 1000, SECOND)));
        let condemned = VersionQuery { condemned: true, pinned: Some("v2"), ..query("s") };
        expect_that!(version_rule(Some(&running), condemned, at(1)).allows("v2"), eq(false));
        let reverted = known(Some(record(RolloutState::Reverted, 0, SECOND)));
        let pinned = VersionQuery { pinned: Some("v2"), ..query("s") };
        expect_that!(version_rule(Some(&reverted), pinned, at(1)).allows("v2"), eq(false));
    }

    stages_wait_for_sessions_to_be_told => {
        let first = next_record(&order(), None, progress(0, 0)).unwrap();
        expect_that!(first.permille, eq(0));
        let second = next_record(&order(), Some(&first), progress(2, 0)).unwrap();
        expect_that!(second.permille, eq(100));
        expect_that!(next_record(&order(), Some(&second), progress(3, 5)), none());
    }

    target_without_answers_is_not_taken_further => {
        let first = record(RolloutState::Running, 100, SECOND);
        expect_that!(next_record(&order(), Some(&first), progress(23, 3)), none());
    }

    good_target_is_done_before_the_deadline => {
        let mut current = next_record(&order(), None, progress(0, 0)).unwrap();
        let mut done_at = None;
        for second in 1..24 {
            if let Some(next) = next_record(&order(), Some(&current), progress(second, 500)) {
                current = next;
            }
            if current.state == RolloutState::Done {
                done_at.get_or_insert(second);
            }
        }
        expect_that!(done_at, some(lt(22)));
    }

    bad_target_is_reverted_and_stays_so => {
        let running = record(RolloutState::Running, 100, SECOND);
        let bad = Progress { condemned: true, ..progress(5, 50) };
        let reverted = next_record(&order(), Some(&running), bad).unwrap();
        expect_that!(reverted.state, eq(RolloutState::Reverted));
        expect_that!(next_record(&order(), Some(&reverted), progress(20, 500)), none());
    }

    new_order_does_not_take_a_rejected_version_for_the_old_one => {
        let mut reverted = record(RolloutState::Reverted, 0, SECOND);
        reverted.rejected = vec!["v2".to_owned()];
        let next_order = RolloutOrder { target: "v3".to_owned(), revision: 20, ..order() };
        let next = next_record(&next_order, Some(&reverted), progress(0, 0)).unwrap();
        expect_that!(next.rejected, elements_are![eq("v2")]);
    }

    failing_version_is_found_bad_within_fifty_answers => {
        let mut watch = VersionWatch::new("box");
        let mut answers = 0;
        while !watch.is_condemned(&target(), PLAIN_GUARD) && answers < 200 {
            let failed = answers % 3 == 0;
            let quality = if failed { Quality::Failed } else { Quality::Whole };
            watch.count(&target(), "recap", quality);
            answers += 1;
        }
        expect_that!(answers, lt(50));
    }

    slow_version_is_found_bad => {
        let mut watch = VersionWatch::new("box");
        for answer in 0..120 {
            let quality = if answer % 3 == 0 { Quality::Slow } else { Quality::Whole };
            watch.count(&target(), "recap", quality);
        }
        expect_that!(watch.is_condemned(&target(), PLAIN_GUARD), eq(true));
    }

    version_bad_on_one_route_is_found => {
        let mut watch = VersionWatch::new("box");
        for answer in 0..100 {
            let quality = if answer % 2 == 0 { Quality::Failed } else { Quality::Whole };
            watch.count(&target(), "recap", quality);
            for _ in 0..9 {
                watch.count(&target(), "caption", Quality::Whole);
            }
        }
        expect_that!(watch.is_condemned(&target(), PLAIN_GUARD), eq(true));
    }

    good_version_with_some_failures_is_kept => {
        let mut watch = VersionWatch::new("box");
        for answer in 0..5000 {
            let quality = match answer % 25 {
                0 => Quality::Failed,
                1 => Quality::Slow,
                _ => Quality::Whole,
            };
            watch.count(&target(), "recap", quality);
            expect_that!(watch.is_condemned(&target(), PLAIN_GUARD), eq(false));
        }
    }

    counts_of_other_boxes_add_up => {
        let mut one = VersionWatch::new("one");
        let mut other = VersionWatch::new("other");
        for _ in 0..5 {
            one.count(&target(), "recap", Quality::Failed);
            other.count(&target(), "recap", Quality::Failed);
        }
        expect_that!(one.is_condemned(&target(), PLAIN_GUARD), eq(false));
        one.merge(&other.own_cells());
        one.merge(&other.own_cells());
        expect_that!(one.answers(&target()), eq(10));
        expect_that!(one.is_condemned(&target(), PLAIN_GUARD), eq(true));
    }

    slow_is_told_against_the_usual_time => {
        let mut watch = VersionWatch::new("box");
        let timing = |kind, took| Timing {
            kind,
            took: Duration::from_millis(took),
            slow_from: SLOW_ANSWER,
        };
        for _ in 0..20 {
            watch.learn_usual(timing("bookmark", 20));
            watch.learn_usual(timing("report", 120));
        }
        expect_that!(watch.is_slow(timing("bookmark", 100)), eq(true));
        expect_that!(watch.is_slow(timing("report", 100)), eq(false));
        expect_that!(watch.is_slow(timing("unheard of", 100)), eq(false));
    }

    plain_version_that_slows_a_quarter_of_its_answers_is_found => {
        let mut watch = VersionWatch::new("box");
        for answer in 0..60 {
            let quality = if answer % 4 == 0 { Quality::Slow } else { Quality::Whole };
            watch.count(&target(), "bookmark", quality);
        }
        expect_that!(watch.is_condemned(&target(), PLAIN_GUARD), eq(true));
    }

    answers_too_short_to_be_timed_hide_no_slow_ones => {
        // Fails where they count as fast ones: half of the users' answers have three events.
        let mut watch = VersionWatch::new("box");
        for answer in 0..80 {
            let quality = if answer % 2 == 0 { Quality::Slow } else { Quality::Untimed };
            watch.count(&target(), "tag", quality);
        }
        expect_that!(watch.is_condemned(&target(), ENGINE_GUARD), eq(true));
    }

    engine_that_slows_nearly_all_answers_is_found_bad => {
        let mut watch = VersionWatch::new("box");
        for answer in 0..40 {
            let quality = if answer % 6 == 0 { Quality::Whole } else { Quality::Slow };
            watch.count(&target(), "recap", quality);
        }
        expect_that!(watch.is_condemned(&target(), ENGINE_GUARD), eq(true));
    }

    engine_that_reads_all_prompts_anew_for_a_while_is_kept => {
        // Fails where an engine is judged as strictly as a plain service: good versions
        // were taken back when a stage moved half of all sessions to them.
        let mut watch = VersionWatch::new("box");
        for answer in 0..100 {
            let quality = if answer % 5 < 2 { Quality::Slow } else { Quality::Whole };
            watch.count(&target(), "recap", quality);
        }
        expect_that!(watch.is_condemned(&target(), ENGINE_GUARD), eq(false));
    }

    failures_that_the_old_version_shows_too_are_no_fault_of_the_new_one => {
        // Fails where a fixed part of failures is tolerated: one bookmark in seven gets 500
        // from every version.
        let mut watch = VersionWatch::new("box");
        for answer in 0..2000 {
            let quality = if answer % 7 == 0 { Quality::Failed } else { Quality::Whole };
            watch.count(&old(), "bookmark", quality);
            watch.count(&target(), "bookmark", quality);
            expect_that!(watch.is_condemned(&target(), PLAIN_GUARD), eq(false));
        }
    }

    version_that_fails_more_than_the_old_one_is_found => {
        let mut watch = VersionWatch::new("box");
        for answer in 0..90 {
            let fails = |one_in: usize| match answer % one_in {
                0 => Quality::Failed,
                _ => Quality::Whole,
            };
            watch.count(&old(), "bookmark", fails(7));
            watch.count(&target(), "bookmark", fails(2));
        }
        expect_that!(watch.is_condemned(&target(), PLAIN_GUARD), eq(true));
    }

    boxes_name_the_sessions_that_the_first_stage_could_move => {
        let mut sessions = Sessions::new(5 * SECOND);
        for session in 0..1000 {
            sessions.served(&session.to_string(), "v1", at(0));
        }
        let old = sessions.old_ones(&order(), at(1000));
        expect_that!(old.len(), all!(gt(60), lt(140)));
        let mut other = Sessions::new(5 * SECOND);
        other.keep_old(10, &old);
        let moved = (0..1000).filter(|session| other.stays_old(&session.to_string(), 10));
        expect_that!(moved.count(), eq(old.len()));
    }

    sessions_end => {
        let mut sessions = Sessions::new(5 * SECOND);
        sessions.served("s", "v1", at(0));
        expect_that!(sessions.version("s", at(4000)), some(eq("v1")));
        expect_that!(sessions.version("s", at(6000)), none());
    }
}
