//! Engines that state how long work takes there: usually, and for moments.

use super::{at, cases, listed};
use gatepier::gateway::attempt::upstream::Upstream;
use gatepier::gateway::control::state::ControlPlaneState;
use gatepier::gateway::control::store::Update;
use gatepier::gateway::place::engine_speed::{EngineSpeed, SpeedSource};
use gatepier::gateway::place::stated_speed::update_service_levels;
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;

/// Four engines: the first states that work takes 0.55 of the usual time, the others 1.2 of it.
fn uneven_engines() -> (ControlPlaneState, Vec<Rc<Upstream>>) {
    let mut state = ControlPlaneState::default();
    for number in 0..4 {
        let listed = listed(&format!("i-{number}"), "engine", "ikeja");
        state.apply(Update::Upstream(Box::new(listed)), at(0));
    }
    let mut upstreams: Vec<Rc<Upstream>> = state.upstreams().cloned().collect();
    upstreams.sort_by_key(|upstream| upstream.listed().instance);
    for round in 0..5 {
        for (number, upstream) in upstreams.iter().enumerate() {
            let percent = if number == 0 { 55 } else { 120 };
            upstream.speed().record_statement(percent, at(round));
        }
        update_service_levels(&state);
    }
    (state, upstreams)
}

fn believed(upstream: &Upstream, millis: u64) -> f64 {
    upstream.speed().belief(at(millis)).speed
}

cases! {
    fast_engines_are_known_before_any_answer_is_measured => {
        let (_, upstreams) = uneven_engines();
        expect_that!(believed(&upstreams[0], 5000), near(120.0 / 55.0, 0.1));
        expect_that!(believed(&upstreams[1], 5000), near(1.0, 0.05));
        let source = upstreams[0].speed().belief(at(5000)).source;
        expect_that!(source, eq(SpeedSource::Stated));
    }

    what_was_stated_long_ago_is_not_sent_to_other_boxes => {
        // Otherwise a box that no longer sends to an engine would keep its old level alive.
        let heard = EngineSpeed::default();
        heard.record_statement(55, at(0));
        let receives = |millis| {
            let receiver = EngineSpeed::default();
            if let Some(measured) = heard.measured(at(millis)) {
                receiver.merge(measured, at(millis));
            }
            receiver.statements().level().is_some()
        };
        expect_true!(receives(1000));
        expect_false!(receives(60_000));
    }

    slow_moment_of_a_fast_engine_is_told_from_its_usual_speed => {
        let (_, upstreams) = uneven_engines();
        upstreams[0].speed().record_statement(137, at(1000));
        expect_that!(believed(&upstreams[0], 1100), near(120.0 / 137.0, 0.1));
        expect_that!(believed(&upstreams[0], 2100), ge(1.9));
    }

    engine_first_heard_in_a_slow_moment_is_not_believed_slow_for_long => {
        let (state, _) = uneven_engines();
        let mut state = state;
        let listed = listed("i-9", "engine", "ikeja");
        state.apply(Update::Upstream(Box::new(listed)), at(0));
        update_service_levels(&state);
        let is_new = |upstream: &&Rc<Upstream>| upstream.listed().instance == "i-9";
        let new = state.upstreams().find(is_new).unwrap();
        new.speed().record_statement(300, at(1000));
        expect_that!(believed(new, 1100), near(0.4, 0.05));
        expect_that!(believed(new, 2100), near(1.0, 0.05));
    }

    lasting_slowdown_is_learned_from_statements => {
        let (state, upstreams) = uneven_engines();
        for round in 0..12 {
            upstreams[1].speed().record_statement(240, at(1000 + round * 1000));
            update_service_levels(&state);
        }
        expect_that!(believed(&upstreams[1], 20_000), near(0.5, 0.05));
    }

    statements_heard_by_other_boxes_count => {
        let (_, upstreams) = uneven_engines();
        let learner = EngineSpeed::default();
        learner.set_service_level(1.2_f64.log2());
        learner.merge(upstreams[0].speed().measured(at(5)).unwrap(), at(5));
        expect_that!(learner.belief(at(5)).speed, near(120.0 / 55.0, 0.1));
        // What others heard is not passed on.
        expect_that!(learner.measured(at(5)), none());
    }

    services_whose_engines_all_state_the_same_have_the_usual_speed => {
        let mut state = ControlPlaneState::default();
        for number in 0..3 {
            let listed = listed(&format!("i-{number}"), "engine", "ikeja");
            state.apply(Update::Upstream(Box::new(listed)), at(0));
        }
        for round in 0..20 {
            for upstream in state.upstreams() {
                upstream.speed().record_statement(300, at(round));
            }
            update_service_levels(&state);
        }
        for upstream in state.upstreams() {
            expect_that!(believed(upstream, 5000), near(1.0, 0.05));
        }
    }

    wrong_statements_are_bounded_and_outweighed_by_what_engines_do => {
        for percent in [0, 1, 1_000_000, u32::MAX] {
            let speed = EngineSpeed::default();
            for _ in 0..150 {
                speed.record_statement(percent, at(0));
            }
            // Two and a half times the share of the work, or of the time, at most.
            expect_that!(speed.belief(at(0)).speed, all!(ge(0.4), le(2.5)));
            for _ in 0..40 {
                speed.record(1.0, at(0));
            }
            expect_that!(speed.belief(at(0)).speed, near(1.0, 0.1));
            let age = speed.belief(at(0)).age;
            expect_that!(age, some(eq(Duration::ZERO)));
        }
    }
}
