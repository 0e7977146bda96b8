//! What a box knows after the store was restored from an older copy of itself.
//!
//! Guards against revisions of different epochs that are compared as numbers, and against older
//! items that undo what the box knows before their authors write the newer state again.

use super::{at, cases, listed};
use gatepier::gateway::control::change::Change;
use gatepier::gateway::control::mirror::Mirror;
use gatepier::gateway::control::revision::EpochRevision;
use gatepier::gateway::control::rollout::Rollout;
use gatepier::gateway::control::state::ControlPlaneState;
use gatepier::gateway::control::store::{
    BoxEntry, Item, ListedUpstream, RolloutOrder, RolloutRecord, RolloutState, Update,
};
use googletest::prelude::*;
use std::time::Duration;

/// When the box learns of the restoration, and when lost changes are no longer expected.
const RESTORED_MS: u64 = 10_000;
const SETTLED_MS: u64 = RESTORED_MS + 5000;

fn revision(epoch: u64, revision: u64) -> u64 {
    EpochRevision { epoch, revision }.qualified()
}

/// A state at revision 39 of the first epoch.
fn state_with(updates: Vec<Update>) -> ControlPlaneState {
    let mut state = ControlPlaneState::default();
    state.observe_revision(revision(1, 39), at(0));
    for update in updates {
        state.apply(update, at(0));
    }
    state
}

/// Lets a state learn that the store was restored, at revision 36 of the next epoch.
fn restore(state: &mut ControlPlaneState) {
    state.observe_revision(revision(2, 36), at(RESTORED_MS));
}

fn upstream(draining: bool) -> Update {
    Update::Upstream(Box::new(ListedUpstream {
        draining,
        ..listed("i-1", "api", "ikeja")
    }))
}

fn available(state: &ControlPlaneState, now_ms: u64) -> usize {
    state.available_upstreams("api", at(now_ms)).len()
}

fn order(target: &str, revision: u64) -> RolloutOrder {
    RolloutOrder {
        service: "api".to_owned(),
        target: target.to_owned(),
        duration: Duration::from_secs(20),
        revision,
    }
}

fn record(order_revision: u64, state: RolloutState, elapsed_ms: u64) -> RolloutRecord {
    RolloutRecord {
        service: "api".to_owned(),
        target: "v2".to_owned(),
        order_revision,
        state,
        permille: 100,
        elapsed_ms,
        stage_ms: 0,
        unseen_ms: 0,
        seen: Box::default(),
        rejected: Vec::new(),
    }
}

fn known_target(state: &ControlPlaneState) -> Option<String> {
    let (order, _) = state.rollout("api")?.order.as_ref()?;
    Some(order.target.clone())
}

fn item(key: &str, value: &str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: Some(value.as_bytes().to_vec()),
        revision,
        created: revision,
    }
}

cases! {
    qualified_revisions_are_ordered_by_epoch_first => {
        expect_that!(revision(2, 1), gt(revision(1, 1_000_000)));
        expect_that!(revision(2, 2), gt(revision(2, 1)));
        expect_that!(revision(0, 39), eq(39), "a store without epochs");
        let split = EpochRevision::from_qualified(revision(3, 17));
        expect_that!((split.epoch, split.revision), eq((3, 17)));
    }

    // Guards against changes at a revision that was already seen, which a hub knows and does not
    // pass on.
    change_at_a_lower_revision_of_a_new_epoch_is_passed_on => {
        let mut hub = Mirror::default();
        hub.apply_snapshot(vec![item("a", "old", revision(1, 20)), item("b", "lost", revision(1, 39))], revision(1, 39));
        let snapshot = vec![item("a", "old", revision(2, 20))];
        let changed = hub.apply_snapshot(snapshot, revision(2, 36));
        expect_that!(changed.len(), eq(2), "the item of the copy, and the one that it lacks");
        expect_that!(hub.apply(vec![item("a", "new", revision(2, 37))], revision(2, 37)).len(), eq(1));
        expect_that!(hub.revision(), eq(revision(2, 37)));
        let changes = hub.changes_after(revision(1, 39), false);
        expect_that!(changes.items.len(), eq(2));
    }

    first_epoch_that_a_box_learns_of_is_no_restoration => {
        let mut state = ControlPlaneState::default();
        state.observe_revision(0, at(0));
        state.observe_revision(revision(7, 20), at(0));
        state.apply(upstream(false), at(0));
        state.apply(Update::UpstreamGone("i-1".to_owned()), at(10));
        expect_that!(state.apply(upstream(false), at(20)), eq(&Change::UpstreamAdded("i-1".to_owned())));
    }

    draining_upstream_stays_so_although_the_copy_lists_it_as_ready => {
        let mut state = state_with(vec![upstream(true)]);
        restore(&mut state);
        state.apply(upstream(false), at(RESTORED_MS));
        expect_that!(available(&state, RESTORED_MS + 100), eq(0));
    }

    upstream_that_was_gone_is_not_used_until_lost_changes_are_written_again => {
        let mut state = state_with(vec![upstream(false), Update::UpstreamGone("i-1".to_owned())]);
        restore(&mut state);
        state.apply(upstream(false), at(RESTORED_MS));
        expect_that!(available(&state, RESTORED_MS + 100), eq(0));
        state.apply_deferred(at(SETTLED_MS - 1));
        expect_that!(available(&state, SETTLED_MS - 1), eq(0));
        state.apply_deferred(at(SETTLED_MS));
        expect_that!(available(&state, SETTLED_MS), eq(1), "it is still listed");
    }

    upstream_that_is_removed_again_is_not_used_later => {
        let mut state = state_with(vec![upstream(false), Update::UpstreamGone("i-1".to_owned())]);
        restore(&mut state);
        state.apply(upstream(false), at(RESTORED_MS));
        state.apply(Update::UpstreamGone("i-1".to_owned()), at(RESTORED_MS + 900));
        state.apply_deferred(at(SETTLED_MS));
        expect_that!(available(&state, SETTLED_MS), eq(0));
    }

    upstream_that_the_copy_lacks_stays_in_use_for_a_while => {
        let mut state = state_with(vec![upstream(false)]);
        restore(&mut state);
        state.apply(Update::UpstreamGone("i-1".to_owned()), at(RESTORED_MS));
        expect_that!(available(&state, RESTORED_MS + 1500), eq(1));
        state.remove_lapsed_upstreams(at(RESTORED_MS + 2500));
        expect_that!(available(&state, RESTORED_MS + 2500), eq(0), "it did not write again");
    }

    evacuation_that_the_copy_lacks_lasts_until_lost_changes_are_written_again => {
        let mut state = state_with(vec![upstream(false), Update::HallEvacuated("ikeja".to_owned())]);
        restore(&mut state);
        state.apply(Update::HallReturned("ikeja".to_owned()), at(RESTORED_MS));
        expect_that!(available(&state, RESTORED_MS + 100), eq(0));
        state.apply_deferred(at(SETTLED_MS));
        expect_that!(available(&state, SETTLED_MS), eq(1));
    }

    evacuation_that_is_written_again_lasts => {
        let mut state = state_with(vec![upstream(false), Update::HallEvacuated("ikeja".to_owned())]);
        restore(&mut state);
        state.apply(Update::HallReturned("ikeja".to_owned()), at(RESTORED_MS));
        state.apply(Update::HallEvacuated("ikeja".to_owned()), at(RESTORED_MS + 900));
        state.apply_deferred(at(SETTLED_MS));
        expect_that!(available(&state, SETTLED_MS), eq(0));
    }

    box_that_the_copy_lacks_stays_a_member_for_a_while => {
        let entry = BoxEntry {
            name: "box-1".to_owned(),
            hall: "ikeja".to_owned(),
            address: "127.0.0.1:1".parse().unwrap(),
            link_mbps: 0,
            registered: 1,
        };
        let mut state = state_with(vec![Update::Box(entry)]);
        restore(&mut state);
        state.apply(Update::BoxGone("box-1".to_owned()), at(RESTORED_MS));
        expect_that!(state.box_count(), eq(1));
        state.apply_deferred(at(SETTLED_MS));
        expect_that!(state.box_count(), eq(0));
    }

    order_that_the_copy_lacks_stays_in_force_until_it_is_written_again => {
        let mut state = state_with(vec![Update::RolloutOrdered(order("v2", revision(1, 38)))]);
        restore(&mut state);
        state.apply(Update::RolloutCancelled("api".to_owned()), at(RESTORED_MS));
        expect_that!(known_target(&state), some(eq("v2")));
        let again = order("v2", revision(2, 37));
        expect_that!(state.apply(Update::RolloutOrdered(again), at(RESTORED_MS + 900)), eq(&Change::Nothing));
        state.apply_deferred(at(SETTLED_MS));
        expect_that!(known_target(&state), some(eq("v2")));
    }

    older_order_of_the_copy_is_not_carried_out_again => {
        let mut state = state_with(vec![Update::RolloutOrdered(order("v3", revision(1, 38)))]);
        restore(&mut state);
        state.apply(Update::RolloutOrdered(order("v2", revision(2, 20))), at(RESTORED_MS));
        expect_that!(known_target(&state), some(eq("v3")));
    }

    order_that_is_given_after_the_restoration_is_carried_out_at_once => {
        let mut state = state_with(vec![Update::RolloutOrdered(order("v2", revision(1, 38)))]);
        restore(&mut state);
        state.apply(Update::RolloutOrdered(order("v3", revision(2, 37))), at(RESTORED_MS + 100));
        expect_that!(known_target(&state), some(eq("v3")));
    }

    record_that_the_copy_lacks_is_kept_to_be_written_again => {
        let mut rollout = Rollout::default();
        rollout.apply_order(order("v2", revision(1, 30)), at(0));
        rollout.apply_record(record(revision(1, 30), RolloutState::Reverted, 9000), revision(1, 39), at(0));
        let older = record(revision(1, 30), RolloutState::Running, 4000);
        expect_that!(rollout.apply_record(older, revision(2, 33), at(RESTORED_MS)), eq(false));
        let known = rollout.record.clone().unwrap();
        expect_that!(known.record.state, eq(RolloutState::Reverted));
        expect_that!(known.is_lost, eq(true));
        expect_that!(known.revision, eq(revision(2, 33)), "the condition of the next write");
        rollout.apply_record(known.record, revision(2, 40), at(RESTORED_MS + 300));
        expect_that!(rollout.record.clone().unwrap().is_lost, eq(false));
        rollout.handle_missing_record();
        let known = rollout.record.unwrap();
        expect_that!((known.is_lost, known.revision), eq((true, 0)));
    }

    record_belongs_to_its_order_although_the_order_has_a_revision_of_another_epoch => {
        let known = record(revision(1, 30), RolloutState::Done, 9000);
        expect_that!(known.is_for(&order("v2", revision(1, 30))), eq(true));
        expect_that!(known.is_for(&order("v2", revision(1, 35))), eq(false), "a later order");
        expect_that!(known.is_for(&order("v2", revision(2, 37))), eq(true));
        expect_that!(known.is_for(&order("v3", revision(2, 37))), eq(false));
    }
}
