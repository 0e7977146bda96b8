//! Prefill rates that boxes exchange where load is controlled.

use super::{at, cases};
use gatepier::gateway::place::rate_samples::RateSamples;
use googletest::prelude::*;
use std::time::Duration;

const TOKENS: f64 = 36_000.0;

/// A box that measured this time for [`TOKENS`] this many times.
fn measured(count: usize, millis: u64) -> RateSamples {
    let rates = RateSamples::default();
    for _ in 0..count {
        rates.record("largest", TOKENS, Duration::from_millis(millis), at(0));
    }
    rates
}

/// Lets a box receive what another one measured.
fn receive(own: &RateSamples, reporter: &str, other: &RateSamples, millis: u64) {
    own.apply_report(other.report(reporter, at(0)).unwrap(), at(millis));
    own.update_medians(at(millis));
}

fn prefill_millis(rates: &RateSamples) -> Option<u128> {
    rates
        .prefill_time("largest", TOKENS)
        .map(|time| time.as_millis())
}

cases! {
    // How the time of a token grows with the length of the prompt differs between engines.
    long_prompts_have_a_rate_of_their_own => {
        let rates = RateSamples::default();
        for _ in 0..5 {
            rates.record("largest", 2000.0, Duration::from_millis(100), at(0));
            rates.record("largest", 24_000.0, Duration::from_millis(600), at(0));
        }
        rates.update_medians(at(0));
        let millis = |tokens| rates.prefill_time("largest", tokens).map(|time| time.as_millis());
        expect_that!(millis(2000.0), some(eq(100)));
        expect_that!(millis(24_000.0), some(eq(600)));
        // Longer prompts never seem to take less time.
        let times: Vec<_> = (1..50).map(|thousands| millis(f64::from(thousands) * 1000.0)).collect();
        expect_true!(times.is_sorted());
    }

    // A request for the largest model is refused to callers who wait for it if it seems too slow.
    // 85 boxes see one first event of it every few seconds each.
    box_that_never_asked_a_model_knows_its_rate_from_others => {
        let own = RateSamples::default();
        receive(&own, "other", &measured(5, 700), 0);
        expect_that!(prefill_millis(&own), some(eq(700)));
    }

    rate_is_unknown_until_a_few_boxes_measured_it => {
        let own = RateSamples::default();
        receive(&own, "first", &measured(1, 30_000), 0);
        expect_that!(prefill_millis(&own), none());
    }

    one_box_with_wrong_measurements_does_not_move_the_rate => {
        let own = measured(4, 700);
        for number in 0..5 {
            receive(&own, &format!("box-{number}"), &measured(2, 700), 0);
        }
        receive(&own, "wrong", &measured(1000, 30_000), 0);
        expect_that!(prefill_millis(&own), some(eq(700)));
    }

    report_replaces_the_earlier_one_of_its_box => {
        let own = RateSamples::default();
        receive(&own, "other", &measured(8, 700), 0);
        receive(&own, "other", &measured(8, 1400), 1);
        expect_that!(prefill_millis(&own), some(eq(1400)));
    }

    measurements_of_boxes_that_fell_silent_are_dropped => {
        let own = RateSamples::default();
        receive(&own, "gone", &measured(8, 500), 0);
        receive(&own, "other", &measured(8, 1400), 31_000);
        expect_that!(prefill_millis(&own), some(eq(1400)));
        own.update_medians(at(62_000));
        expect_that!(prefill_millis(&own), none());
    }

    reports_of_very_many_boxes_are_bounded => {
        let own = RateSamples::default();
        for number in 0..10_000 {
            receive(&own, &format!("box-{number}"), &measured(1, 700), 0);
        }
        expect_that!(own.reporting_boxes(), le(64));
        expect_that!(prefill_millis(&own), some(eq(700)));
    }

    impossible_measurements_are_ignored => {
        let rates = RateSamples::default();
        for tokens in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e300] {
            rates.record("largest", tokens, Duration::ZERO, at(0));
            rates.record("largest", tokens, Duration::MAX, at(0));
        }
        expect_that!(rates.report("own", at(0)), none());
    }
}
