//! What one box believes of the speed of an engine.

use super::{at, cases, listed};
use gatepier::gateway::attempt::headers::parse_load;
use gatepier::gateway::attempt::upstream::Upstream;
use gatepier::gateway::peers::datagram;
use gatepier::gateway::peers::engine_speeds::{MAX_REPORTS, SpeedReport};
use gatepier::gateway::place::engine_speed::{EngineSpeed, SPEED_BOUNDS, SpeedBelief, SpeedSource};
use gatepier::gateway::place::event_pace::EventPaces;
use gatepier::gateway::place::prefill_rate::{PrefillModel, PrefillRates};
use googletest::prelude::*;
use std::time::Duration;

fn speed_after(measurements: &[f64]) -> EngineSpeed {
    let speed = EngineSpeed::default();
    for measured in measurements {
        speed.record(*measured, at(0));
    }
    speed
}

const SMALL: PrefillModel<'_> = PrefillModel {
    name: "small",
    price_part: 0.1,
};

cases! {
    unknown_engine_has_the_usual_speed => {
        expect_that!(EngineSpeed::default().belief(at(0)), eq(SpeedBelief::USUAL));
        let work = Duration::from_nanos(123_456_789);
        expect_that!(SpeedBelief::USUAL.time_for(work), eq(work));
    }

    lasting_speed_is_learned_with_growing_confidence => {
        let few = speed_after(&[0.5]).belief(at(0));
        let many = speed_after(&[0.5; 20]).belief(at(0));
        expect_that!(few.speed, all!(gt(0.65), lt(0.9)));
        expect_that!(many.speed, near(0.5, 0.05));
        expect_that!(many.source, eq(SpeedSource::Own));
        expect_that!(many.age, some(eq(Duration::ZERO)));
    }

    confidence_fades_with_age => {
        let speed = speed_after(&[0.5; 20]);
        expect_that!(speed.belief(at(15_000)).speed, lt(0.6));
        expect_that!(speed.belief(at(120_000)), eq(SpeedBelief::USUAL));
    }

    disturbed_measurements_have_little_effect => {
        // Two of ten streams were held up by long prompts.
        let measured: Vec<f64> =
            (0..50).map(|round| if round % 10 < 2 { 0.1 } else { 1.0 }).collect();
        expect_that!(speed_after(&measured).belief(at(0)).speed, near(1.0, 0.15));
    }

    speeds_are_bounded => {
        for measured in [f64::NAN, f64::INFINITY, 0.0, -1.0] {
            expect_that!(speed_after(&[measured; 9]).belief(at(0)), eq(SpeedBelief::USUAL));
        }
        expect_that!(speed_after(&[1e-30; 99]).belief(at(0)).speed, ge(SPEED_BOUNDS.0));
        expect_that!(speed_after(&[1e30; 99]).belief(at(0)).speed, le(SPEED_BOUNDS.1));
    }

    stated_slowdown_counts_for_a_moment => {
        let speed = speed_after(&[]);
        speed.record_statement(250, at(0));
        expect_that!(speed.belief(at(100)).speed, near(0.4, 0.04));
        expect_that!(speed.belief(at(700)).speed, all!(gt(0.4), lt(1.0)));
        expect_that!(speed.belief(at(1000)).speed, eq(1.0));
    }

    stated_slowdown_counts_on_top_of_the_learned_speed => {
        let speed = speed_after(&[0.5; 20]);
        speed.record_statement(100, at(0));
        let usual = speed.belief(at(0)).speed;
        speed.record_statement(200, at(0));
        expect_that!(speed.belief(at(0)).speed, near(usual / 2.0, 0.03));
    }

    statement_of_a_load_report_is_used => {
        let upstream = Upstream::new(listed("i-1", "engine", "ikeja"));
        upstream.record_load_report(parse_load("3,0,8").unwrap(), at(0));
        expect_that!(upstream.speed().belief(at(0)).speed, eq(1.0));
        upstream.record_load_report(parse_load("3,0,8,200").unwrap(), at(0));
        expect_that!(upstream.speed().belief(at(0)).speed, near(0.5, 0.05));
    }

    boxes_learn_from_each_other => {
        // Each of 85 boxes has a single measurement.
        let learner = EngineSpeed::default();
        for _ in 0..20 {
            let measured = speed_after(&[0.55]).measured(at(0)).unwrap();
            learner.merge(measured, at(0));
        }
        let belief = learner.belief(at(0));
        expect_that!(belief.speed, near(0.55, 0.06));
        expect_that!(belief.source, eq(SpeedSource::Peers));
        expect_that!(learner.measured(at(0)), none());
    }

    measurements_of_a_round_fit_one_packet => {
        // 4 kB a second with a round each 0.3 s, regardless of the number of boxes.
        let reports: Vec<SpeedReport> = (0..MAX_REPORTS)
            .map(|number| {
                let upstream = Upstream::new(listed(&format!("i-{number}"), "engine", "ikeja"));
                upstream.speed().record(0.5, at(0));
                SpeedReport::of(&upstream, at(0)).unwrap()
            })
            .collect();
        expect_that!(datagram::encode(&reports).unwrap().len(), le(1200));
    }

    old_measurements_are_not_sent => {
        let speed = speed_after(&[0.5]);
        expect_that!(speed.measured(at(0)), some(anything()));
        expect_that!(speed.measured(at(60_000)), none());
    }

    pace_is_compared_with_streams_of_the_same_model_and_utilization => {
        let paces = EventPaces::default();
        let record = |model, utilization, millis| {
            paces.record("engine", model, utilization, Duration::from_millis(millis))
        };
        for _ in 0..4 {
            expect_that!(record("small", 0.1, 30), none());
        }
        for _ in 0..20 {
            record("small", 0.1, 30);
            record("large", 0.1, 90);
            record("small", 0.9, 60);
        }
        expect_that!(record("small", 0.1, 60), some(near(0.5, 0.05)));
        expect_that!(record("small", 0.9, 60), some(near(1.0, 0.05)));
        expect_that!(record("large", 0.1, 90), some(near(1.0, 0.05)));
        expect_that!(record("small", f64::NAN, 30), some(near(1.0, 0.1)));
        expect_that!(record("small", 0.1, 0), none());
    }

    first_events_are_compared_with_the_settled_rate_of_their_model => {
        let rates = PrefillRates::default();
        let took = |millis: u64| Duration::from_millis(25 + millis);
        expect_that!(rates.measured_speed(SMALL, 6000.0, took(60)), none());
        for _ in 0..60 {
            rates.record(SMALL, 6000.0, took(60));
        }
        expect_that!(rates.measured_speed(SMALL, 6000.0, took(120)), some(near(0.5, 0.04)));
        expect_that!(rates.measured_speed(SMALL, 100.0, took(120)), none());
        expect_that!(rates.measured_speed(SMALL, 6000.0, Duration::ZERO), none());
    }
}
