//! Knowledge never goes back, and its age is never underestimated.

use super::{at, cases, listed};
use gatepier::gateway::admit::routes::{Caller, Organisation, RouteTable};
use gatepier::gateway::admit::serve::check;
use gatepier::gateway::answer::refusal::Why;
use gatepier::gateway::attempt::retries::RetryBound;
use gatepier::gateway::control::state::{Change, ConfigFreshness, ControlPlaneState};
use gatepier::gateway::control::store::Update;
use gatepier::gateway::settings::{Bounds, UnprovedKeys};
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

fn open(state: &ControlPlaneState, millis: u64) -> usize {
    state.available_upstreams("engine", at(millis)).len()
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
        let of = |config: u64| Bounds { config: Duration::from_millis(config), ..bounds() };
        expect_that!(of(2000).own_check_age(), eq(Duration::from_millis(1500)));
        expect_that!(of(1000).own_check_age(), eq(Duration::from_millis(750)));
        for config in [3000, 4000, 60_000] {
            expect_that!(of(config).own_check_age(), eq(Duration::from_millis(1850)));
        }
    }

    known_key_is_served_on_without_proof_where_operators_bear_it => {
        let organisation = organisation();
        let known = Caller::Known(&organisation);
        let known = Some(known);
        expect_that!(check(known, ConfigFreshness::Unconfirmed, UnprovedKeys::ServeKnown), ok(anything()));
        expect_that!(check(known, ConfigFreshness::Unconfirmed, UnprovedKeys::Refuse), err(eq(Why::Stale)));
        for unproved in [UnprovedKeys::ServeKnown, UnprovedKeys::Refuse] {
            for proof in [ConfigFreshness::Current, ConfigFreshness::KeysValid] {
                expect_that!(check(known, proof, unproved), ok(anything()));
            }
        }
    }

    unknown_key_is_told_to_come_back_until_it_is_proved_unknown => {
        for unproved in [UnprovedKeys::ServeKnown, UnprovedKeys::Refuse] {
            let proved = check(Some(Caller::Unknown), ConfigFreshness::Current, unproved);
            expect_that!(proved, err(eq(Why::UnknownKey)));
            for proof in [ConfigFreshness::KeysValid, ConfigFreshness::Unconfirmed, ConfigFreshness::Outdated] {
                let unsure = check(Some(Caller::Unknown), proof, unproved);
                expect_that!(unsure, err(eq(Why::Stale)));
            }
        }
    }

    missing_route_is_told_to_come_back_until_it_is_proved_missing => {
        // Fails where a box says 404 for whatever it does not know: routes that had been
        // confirmed three seconds before were refused for good by boxes that lacked them.
        for unproved in [UnprovedKeys::ServeKnown, UnprovedKeys::Refuse] {
            expect_that!(check(None, ConfigFreshness::Current, unproved), err(eq(Why::NoRoute)));
            for proof in [ConfigFreshness::KeysValid, ConfigFreshness::Unconfirmed, ConfigFreshness::Outdated] {
                expect_that!(check(None, proof, unproved), err(eq(Why::Stale)));
            }
        }
    }

    box_that_lacks_something_newer_for_too_long_serves_nothing_by_what_it_has => {
        let organisation = organisation();
        for caller in [Caller::Known(&organisation), Caller::Anonymous, Caller::Unknown] {
            for unproved in [UnprovedKeys::ServeKnown, UnprovedKeys::Refuse] {
                let outdated = check(Some(caller), ConfigFreshness::Outdated, unproved);
                expect_that!(outdated, err(eq(Why::Stale)));
            }
        }
        expect_that!(check(Some(Caller::Anonymous), ConfigFreshness::Unconfirmed, UnprovedKeys::Refuse), ok(anything()));
    }

    proof_is_the_newest_only_while_nothing_newer_is_known => {
        let mut state = ControlPlaneState::default();
        expect_that!(state.freshness(&bounds(), at(0)), eq(ConfigFreshness::Unconfirmed));
        state.confirm(at(0).monotonic);
        expect_that!(state.freshness(&bounds(), at(2700)), eq(ConfigFreshness::Current));
        expect_that!(state.freshness(&bounds(), at(2900)), eq(ConfigFreshness::KeysValid));
        expect_that!(state.freshness(&bounds(), at(4500)), eq(ConfigFreshness::Unconfirmed));
        state.confirm(at(5000).monotonic);
        state.record_newer_revision(9, at(5000));
        expect_that!(state.freshness(&bounds(), at(5100)), eq(ConfigFreshness::KeysValid));
        state.record_reached_revision(8);
        expect_that!(state.freshness(&bounds(), at(5100)), eq(ConfigFreshness::KeysValid));
        state.record_reached_revision(9);
        expect_that!(state.freshness(&bounds(), at(5100)), eq(ConfigFreshness::Current));
    }

    something_newer_that_does_not_come_outdates_what_is_known => {
        let mut state = ControlPlaneState::default();
        for millis in (0..=2000).step_by(400) {
            state.record_newer_revision(9 + millis, at(millis));
            state.confirm(at(millis).monotonic);
        }
        expect_that!(state.freshness(&bounds(), at(1700)), eq(ConfigFreshness::KeysValid));
        expect_that!(state.freshness(&bounds(), at(1900)), eq(ConfigFreshness::Outdated));
        // Reaching what was heard of first is enough: more follows all the time.
        state.record_reached_revision(9);
        expect_that!(state.lag(at(2000)), none());
    }

    box_that_was_cut_off_serves_on_by_what_it_has => {
        let mut state = ControlPlaneState::default();
        state.record_newer_revision(9, at(0));
        state.confirm(at(0).monotonic);
        expect_that!(state.freshness(&bounds(), at(1900)), eq(ConfigFreshness::Current));
    }

    older_configuration_is_not_taken => {
        let mut state = ControlPlaneState::default();
        state.apply(routes(7), at(0));
        expect_that!(state.apply(routes(6), at(1)), eq(&Change::Nothing));
        expect_that!(state.routes().unwrap().version, eq(7));
        expect_that!(state.apply(routes(9), at(2)), eq(&Change::Routes(9)));
    }

    unreadable_item_changes_nothing => {
        let mut state = ControlPlaneState::default();
        state.apply(routes(7), at(0));
        let faulty = Update::Faulty { item: "x".to_owned(), reason: "y".to_owned() };
        state.apply(faulty, at(1));
        expect_that!(state.routes().unwrap().version, eq(7));
    }

    age_counts_from_the_question => {
        let mut state = ControlPlaneState::default();
        expect_that!(state.age(at(5)), none());
        state.confirm(at(100).monotonic);
        // A proof that was asked for earlier says less and changes nothing.
        state.confirm(at(50).monotonic);
        expect_that!(state.age(at(400)).unwrap().as_millis(), eq(300));
    }

    draining_upstream_takes_nothing_new => {
        let mut state = ControlPlaneState::default();
        state.apply(upstream("i-1"), at(0));
        let mut draining = listed("i-1", "engine", "ikeja");
        draining.draining = true;
        state.apply(Update::Upstream(Box::new(draining)), at(1));
        expect_that!(open(&state, 2), eq(0));
    }

    entry_that_vanishes_from_a_settled_store_is_gone_at_once => {
        let mut state = ControlPlaneState::default();
        state.apply(upstream("i-1"), at(0));
        state.apply(Update::UpstreamGone("i-1".to_owned()), at(1));
        expect_that!(open(&state, 2), eq(0));
    }

    entry_that_lapsed_with_the_store_is_used_for_two_seconds => {
        // Fails where the end of the grace is looked at only when tidying: a server that
        // had left got requests three seconds later.
        let mut state = lapsed_after_an_outage();
        expect_that!(open(&state, 7900), eq(1));
        expect_that!(open(&state, 8200), eq(0));
        expect_that!(state.remove_lapsed_upstreams(at(8200)).len(), eq(1));
    }

    entry_that_comes_back_is_used_on => {
        let mut state = lapsed_after_an_outage();
        state.apply(upstream("i-1"), at(6500));
        expect_that!(open(&state, 19_000), eq(1));
    }

    grace_begins_once_however_often_the_store_is_heard_of => {
        let mut state = lapsed_after_an_outage();
        state.record_store_contact(at(7000));
        state.record_store_contact(at(8000));
        expect_that!(open(&state, 8200), eq(0));
    }

    entry_that_vanishes_while_others_reach_the_store_is_gone_at_once => {
        // Fails where a hub that alone is turned away by the store makes all boxes keep
        // what vanishes: servers that had left got 38 requests on a grown day.
        let mut state = ControlPlaneState::default();
        state.apply(upstream("i-1"), at(0));
        state.confirm(at(4500).monotonic);
        state.record_store_contact(at(6000));
        state.apply(Update::UpstreamGone("i-1".to_owned()), at(6000));
        expect_that!(open(&state, 6001), eq(0));
    }
}

/// Returns bounds of operators.
fn bounds() -> Bounds {
    Bounds {
        grace: Duration::from_secs(8),
        revoke: Duration::from_secs(5),
        config: Duration::from_secs(3),
        retries: RetryBound {
            ratio: 0.9,
            slack: 20.0,
            window: Duration::from_secs(10),
        },
        session: Duration::from_secs(5),
        unproved_keys: UnprovedKeys::Refuse,
        exposure: ExposureBound {
            share: 0.15,
            slack: 30.0,
            rollback: Duration::from_secs(5),
        },
    }
}

/// Returns what a box knows when an entry vanished with six seconds of outage.
fn lapsed_after_an_outage() -> ControlPlaneState {
    let mut state = ControlPlaneState::default();
    state.apply(upstream("i-1"), at(0));
    state.confirm(at(0).monotonic);
    state.record_store_contact(at(6000));
    state.apply(Update::UpstreamGone("i-1".to_owned()), at(6000));
    state
}
