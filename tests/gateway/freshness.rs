//! Knowledge never goes back, and its age is never underestimated.

use super::{at, cases, listed};
use gatepier::gateway::control::Update;
use gatepier::gateway::knowledge::{Change, Knowledge};
use gatepier::gateway::refusal::Why;
use gatepier::gateway::routes::{Caller, Organisation, RouteTable};
use gatepier::gateway::serve::check_key;
use gatepier::gateway::settings::UnprovedKeys;
use googletest::prelude::*;
use std::sync::Arc;

fn routes(version: u64) -> Update {
    let mut table = RouteTable::default();
    table.version = version;
    Update::Routes(Arc::new(table))
}

fn upstream(instance: &str) -> Update {
    Update::Upstream(Box::new(listed(instance, "engine", "ikeja")))
}

fn open(knowledge: &Knowledge, millis: u64) -> usize {
    knowledge.open_upstreams("engine", at(millis)).len()
}

fn organisation() -> Organisation {
    Organisation {
        name: "comics".to_owned(),
        priority: 0,
    }
}

cases! {
    known_key_is_served_on_without_proof_where_operators_bear_it => {
        let organisation = organisation();
        let known = Caller::Known(&organisation);
        expect_that!(check_key(known, false, UnprovedKeys::ServeKnown), ok(anything()));
        expect_that!(check_key(known, false, UnprovedKeys::Refuse), err(eq(Why::Stale)));
        for unproved in [UnprovedKeys::ServeKnown, UnprovedKeys::Refuse] {
            expect_that!(check_key(known, true, unproved), ok(anything()));
        }
    }

    unknown_key_is_told_to_come_back_until_it_is_proved_unknown => {
        for unproved in [UnprovedKeys::ServeKnown, UnprovedKeys::Refuse] {
            let proved = check_key(Caller::Unknown, true, unproved);
            expect_that!(proved, err(eq(Why::UnknownKey)));
            let unsure = check_key(Caller::Unknown, false, unproved);
            expect_that!(unsure, err(eq(Why::Stale)));
        }
    }

    older_configuration_is_not_taken => {
        let mut knowledge = Knowledge::default();
        knowledge.apply(routes(7), at(0));
        expect_that!(knowledge.apply(routes(6), at(1)), eq(&Change::Nothing));
        expect_that!(knowledge.routes().unwrap().version, eq(7));
        expect_that!(knowledge.apply(routes(9), at(2)), eq(&Change::Routes(9)));
    }

    unreadable_item_changes_nothing => {
        let mut knowledge = Knowledge::default();
        knowledge.apply(routes(7), at(0));
        let faulty = Update::Faulty { item: "x".to_owned(), reason: "y".to_owned() };
        knowledge.apply(faulty, at(1));
        expect_that!(knowledge.routes().unwrap().version, eq(7));
    }

    age_counts_from_the_question => {
        let mut knowledge = Knowledge::default();
        expect_that!(knowledge.age(at(5)), none());
        knowledge.confirm(at(100).monotonic);
        // A proof that was asked for earlier says less and changes nothing.
        knowledge.confirm(at(50).monotonic);
        expect_that!(knowledge.age(at(400)).unwrap().as_millis(), eq(300));
    }

    draining_upstream_takes_nothing_new => {
        let mut knowledge = Knowledge::default();
        knowledge.apply(upstream("i-1"), at(0));
        let mut draining = listed("i-1", "engine", "ikeja");
        draining.draining = true;
        knowledge.apply(Update::Upstream(Box::new(draining)), at(1));
        expect_that!(open(&knowledge, 2), eq(0));
    }

    entry_that_vanishes_from_a_settled_store_is_gone_at_once => {
        let mut knowledge = Knowledge::default();
        knowledge.apply(upstream("i-1"), at(0));
        knowledge.apply(Update::UpstreamGone("i-1".to_owned()), at(1));
        expect_that!(open(&knowledge, 2), eq(0));
    }

    entry_that_lapsed_with_the_store_is_used_for_two_seconds => {
        // Fails where the end of the grace is looked at only when tidying: a server that
        // had left got requests three seconds later.
        let mut knowledge = lapsed_after_an_outage();
        expect_that!(open(&knowledge, 7900), eq(1));
        expect_that!(open(&knowledge, 8200), eq(0));
        expect_that!(knowledge.drop_lapsed(at(8200)).len(), eq(1));
    }

    entry_that_comes_back_is_used_on => {
        let mut knowledge = lapsed_after_an_outage();
        knowledge.apply(upstream("i-1"), at(6500));
        expect_that!(open(&knowledge, 19_000), eq(1));
    }

    grace_begins_once_however_often_the_store_is_heard_of => {
        let mut knowledge = lapsed_after_an_outage();
        knowledge.hear_of_store(at(7000));
        knowledge.hear_of_store(at(8000));
        expect_that!(open(&knowledge, 8200), eq(0));
    }

    entry_that_vanishes_while_others_reach_the_store_is_gone_at_once => {
        // Fails where a hub that alone is turned away by the store makes all boxes keep
        // what vanishes: servers that had left got 38 requests on a grown day.
        let mut knowledge = Knowledge::default();
        knowledge.apply(upstream("i-1"), at(0));
        knowledge.confirm(at(4500).monotonic);
        knowledge.hear_of_store(at(6000));
        knowledge.apply(Update::UpstreamGone("i-1".to_owned()), at(6000));
        expect_that!(open(&knowledge, 6001), eq(0));
    }
}

/// Returns what a box knows when an entry vanished with six seconds of outage.
fn lapsed_after_an_outage() -> Knowledge {
    let mut knowledge = Knowledge::default();
    knowledge.apply(upstream("i-1"), at(0));
    knowledge.confirm(at(0).monotonic);
    knowledge.hear_of_store(at(6000));
    knowledge.apply(Update::UpstreamGone("i-1".to_owned()), at(6000));
    knowledge
}
