//! Knowledge never goes back, and its age is never underestimated.

use super::{at, cases, listed};
use gatepier::gateway::control::Update;
use gatepier::gateway::knowledge::{Change, Knowledge};
use gatepier::gateway::routes::RouteTable;
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

cases! {
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
        let mut knowledge = Knowledge::default();
        knowledge.apply(upstream("i-1"), at(0));
        knowledge.unsettle_store(at(1000));
        knowledge.apply(Update::UpstreamGone("i-1".to_owned()), at(1001));
        expect_that!(open(&knowledge, 2900), eq(1));
        expect_that!(open(&knowledge, 3200), eq(0));
    }

    entry_that_comes_back_is_used_on => {
        let mut knowledge = Knowledge::default();
        knowledge.apply(upstream("i-1"), at(0));
        knowledge.unsettle_store(at(1000));
        knowledge.apply(Update::UpstreamGone("i-1".to_owned()), at(1001));
        knowledge.apply(upstream("i-1"), at(1500));
        expect_that!(open(&knowledge, 9000), eq(1));
    }

    longer_grace_is_not_cut_by_a_hub => {
        let mut knowledge = Knowledge::default();
        knowledge.unsettle_store(at(1000));
        knowledge.unsettle_for(std::time::Duration::from_millis(10), at(1000));
        expect_that!(knowledge.unsettled_for(at(1000)).as_millis(), gt(2000));
    }
}
