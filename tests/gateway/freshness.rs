//! Knowledge never goes back, and its age is never underestimated.

use super::{at, cases, listed};
use gatepier::gateway::admit::routes::{Caller, Organisation, RouteTable};
use gatepier::gateway::admit::serve::check;
use gatepier::gateway::answer::refusal::RefusalReason;
use gatepier::gateway::attempt::retries::RetryBound;
use gatepier::gateway::control::knowledge::{Change, Knowledge, Proof};
use gatepier::gateway::control::store::Update;
use gatepier::gateway::settings::{Bounds, UnverifiedKeyPolicy};
use gatepier::gateway::versions::exposure::ExposureBound;
use googletest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

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
    own_check_follows_from_the_bound_for_changes => {
        // Fails where every fleet calls the store after 1.5 s: where changes have four
        // seconds, 295 boxes called while their hubs were reading everything anew.
        let of = |config: u64| Bounds { config_delay: Duration::from_millis(config), ..bounds() };
        expect_that!(of(2000).store_check_age(), eq(Duration::from_millis(1500)));
        expect_that!(of(1000).store_check_age(), eq(Duration::from_millis(750)));
        for config in [3000, 4000, 60_000] {
            expect_that!(of(config).store_check_age(), eq(Duration::from_millis(1850)));
        }
    }

    known_key_is_served_on_without_proof_where_operators_bear_it => {
        let organisation = organisation();
        let known = Caller::Known(&organisation);
        let known = Some(known);
        expect_that!(check(known, Proof::None, UnverifiedKeyPolicy::ServeKnown), ok(anything()));
        expect_that!(check(known, Proof::None, UnverifiedKeyPolicy::Refuse), err(eq(RefusalReason::Stale)));
        for unproved in [UnverifiedKeyPolicy::ServeKnown, UnverifiedKeyPolicy::Refuse] {
            for proof in [Proof::Newest, Proof::KeysHold] {
                expect_that!(check(known, proof, unproved), ok(anything()));
            }
        }
    }

    unknown_key_is_told_to_come_back_until_it_is_proved_unknown => {
        for unproved in [UnverifiedKeyPolicy::ServeKnown, UnverifiedKeyPolicy::Refuse] {
            let proved = check(Some(Caller::Unknown), Proof::Newest, unproved);
            expect_that!(proved, err(eq(RefusalReason::UnknownKey)));
            for proof in [Proof::KeysHold, Proof::None, Proof::Outdated] {
                let unsure = check(Some(Caller::Unknown), proof, unproved);
                expect_that!(unsure, err(eq(RefusalReason::Stale)));
            }
        }
    }

    missing_route_is_told_to_come_back_until_it_is_proved_missing => {
        // Fails where a box says 404 for whatever it does not know: routes that had been
        // confirmed three seconds before were refused for good by boxes that lacked them.
        for unproved in [UnverifiedKeyPolicy::ServeKnown, UnverifiedKeyPolicy::Refuse] {
            expect_that!(check(None, Proof::Newest, unproved), err(eq(RefusalReason::NoRoute)));
            for proof in [Proof::KeysHold, Proof::None, Proof::Outdated] {
                expect_that!(check(None, proof, unproved), err(eq(RefusalReason::Stale)));
            }
        }
    }

    box_that_lacks_something_newer_for_too_long_serves_nothing_by_what_it_has => {
        let organisation = organisation();
        for caller in [Caller::Known(&organisation), Caller::Anonymous, Caller::Unknown] {
            for unproved in [UnverifiedKeyPolicy::ServeKnown, UnverifiedKeyPolicy::Refuse] {
                let outdated = check(Some(caller), Proof::Outdated, unproved);
                expect_that!(outdated, err(eq(RefusalReason::Stale)));
            }
        }
        expect_that!(check(Some(Caller::Anonymous), Proof::None, UnverifiedKeyPolicy::Refuse), ok(anything()));
    }

    proof_is_the_newest_only_while_nothing_newer_is_known => {
        let mut knowledge = Knowledge::default();
        expect_that!(knowledge.proof(&bounds(), at(0)), eq(Proof::None));
        knowledge.confirm(at(0).monotonic);
        expect_that!(knowledge.proof(&bounds(), at(2700)), eq(Proof::Newest));
        expect_that!(knowledge.proof(&bounds(), at(2900)), eq(Proof::KeysHold));
        expect_that!(knowledge.proof(&bounds(), at(4500)), eq(Proof::None));
        knowledge.confirm(at(5000).monotonic);
        knowledge.hear_of_newer(9, at(5000));
        expect_that!(knowledge.proof(&bounds(), at(5100)), eq(Proof::KeysHold));
        knowledge.reach(8);
        expect_that!(knowledge.proof(&bounds(), at(5100)), eq(Proof::KeysHold));
        knowledge.reach(9);
        expect_that!(knowledge.proof(&bounds(), at(5100)), eq(Proof::Newest));
    }

    something_newer_that_does_not_come_outdates_what_is_known => {
        let mut knowledge = Knowledge::default();
        for millis in (0..=2000).step_by(400) {
            knowledge.hear_of_newer(9 + millis, at(millis));
            knowledge.confirm(at(millis).monotonic);
        }
        expect_that!(knowledge.proof(&bounds(), at(1700)), eq(Proof::KeysHold));
        expect_that!(knowledge.proof(&bounds(), at(1900)), eq(Proof::Outdated));
        // Reaching what was heard of first is enough: more follows all the time.
        knowledge.reach(9);
        expect_that!(knowledge.lag(at(2000)), none());
    }

    box_that_was_cut_off_serves_on_by_what_it_has => {
        let mut knowledge = Knowledge::default();
        knowledge.hear_of_newer(9, at(0));
        knowledge.confirm(at(0).monotonic);
        expect_that!(knowledge.proof(&bounds(), at(1900)), eq(Proof::Newest));
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

/// Returns bounds of operators.
fn bounds() -> Bounds {
    Bounds {
        grace_period: Duration::from_secs(8),
        revocation_delay: Duration::from_secs(5),
        config_delay: Duration::from_secs(3),
        retries: RetryBound {
            ratio: 0.9,
            slack: 20.0,
            window: Duration::from_secs(10),
        },
        session_idle_limit: Duration::from_secs(5),
        unverified_key_policy: UnverifiedKeyPolicy::Refuse,
        exposure: ExposureBound {
            share: 0.15,
            slack: 30.0,
            rollback: Duration::from_secs(5),
        },
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
