//! How far a version may be used while nothing proves that it is good, by the operators' bounds.

use super::statistics::RequestCounts;
use std::time::Duration;

/// The part of the operators' share that may be spent without a proof. The rest is for what
/// other boxes send until they are told.
const MAX_SPENT_FRACTION: f64 = 0.9;
/// The part from which a proof that could still grow has to do: the leading box looks four times
/// a second, and boxes go on sending until they hear of its record.
const NEARLY_SPENT_FRACTION: f64 = 0.75;
/// How much of the requests that are to come is counted on; the load may fall.
const EXPECTED_LOAD_FRACTION: f64 = 0.7;
/// The part of the share that the first stage takes at most: it lasts half of the time and
/// leaves as much again for the stages after it.
const FIRST_STAGE_SHARE_FRACTION: f64 = 0.6;
/// The part of the slack that the first stage takes, where requests are few.
const FIRST_STAGE_SLACK_FRACTION: f64 = 0.4;
/// The requests of the first stage that are enough to find a version that is bad beyond doubt.
/// Far fewer than the answers from which the time to stop runs, since the load may double: what
/// is spent here is missing where the versions are compared under load, and a version that slows
/// all its answers twofold shows only there.
const FIRST_STAGE_REQUESTS: f64 = 30.0;
/// The most and the least of the first stage, in thousandths of the sessions. Boxes tell each
/// other which of these the old version serves, so more would be more to tell.
pub const MAX_FIRST_STAGE_PERMILLE: u32 = 120;
const MIN_FIRST_STAGE_PERMILLE: u32 = 3;
/// How many times the share the middle stages may take, for a tenth of the time together.
const MIDDLE_STAGE_SHARE_FACTOR: f64 = 2.7;
/// The answers that may be bad from which the operators' time to stop is taken to run: it runs
/// from the fiftieth bad one, and a fifth of the slowed ones may not be among those that are
/// counted as slow.
const ROLLBACK_CLOCK_RESPONSES: u32 = 40;
/// What stopping takes of that time: the way of the counts, a look, and the word to all.
const STOP_DELAY: Duration = Duration::from_millis(1000);
const PERMILLE: f64 = 1000.0;
/// The shortest time, in seconds, that a rate of requests is told by.
const MIN_RATE_PERIOD_S: f64 = 0.5;

/// What the operators allow a bad version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureBound {
    /// The part of a service's requests between the order and its end.
    pub share: f64,
    /// Requests beyond that part.
    pub slack: f64,
    /// The time from its fiftieth bad answer to its last request.
    pub rollback: Duration,
}

/// How far a roll-out's time has gone.
#[derive(Debug, Clone, Copy)]
pub struct RolloutTime {
    /// The time since the order.
    pub elapsed: Duration,
    /// The time that operators gave.
    pub duration: Duration,
}

impl RolloutTime {
    /// Returns how many requests a second were counted.
    fn request_rate(self, requests: RequestCounts) -> f64 {
        let counted_time = self
            .elapsed
            .saturating_sub(requests.first_at.unwrap_or_default());
        requests.all as f64 / counted_time.as_secs_f64().max(MIN_RATE_PERIOD_S)
    }

    /// Returns how many requests there were before the first that was counted.
    fn uncounted(self, requests: RequestCounts) -> f64 {
        self.request_rate(requests) * requests.first_at.unwrap_or_default().as_secs_f64()
    }

    /// Returns how many requests the whole time will have, by those so far.
    fn expected_total(self, requests: RequestCounts) -> f64 {
        let left = self.duration.saturating_sub(self.elapsed).as_secs_f64();
        self.uncounted(requests)
            + requests.all as f64
            + EXPECTED_LOAD_FRACTION * self.request_rate(requests) * left
    }
}

impl ExposureBound {
    /// Returns the thousandths of the sessions of the first stage: more where requests are so
    /// few that the slack is a part of them.
    pub fn first_stage_permille(&self, requests: RequestCounts, time: RolloutTime) -> u32 {
        let elapsed = time.elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
        let first_half = requests.all as f64 * time.duration.as_secs_f64() / 2.0 / elapsed;
        let slack_fraction = self.slack * FIRST_STAGE_SLACK_FRACTION / first_half.max(1.0);
        let allowed = self.share * FIRST_STAGE_SHARE_FRACTION + slack_fraction;
        let fraction = allowed.min(FIRST_STAGE_REQUESTS / first_half.max(1.0));
        ((fraction * PERMILLE) as u32).clamp(MIN_FIRST_STAGE_PERMILLE, MAX_FIRST_STAGE_PERMILLE)
    }

    /// Returns the thousandths of the sessions that a middle stage may have, of those that it
    /// would have without a bound.
    pub fn middle_stage_permille(&self, desired: u32) -> u32 {
        desired.min((self.share * MIDDLE_STAGE_SHARE_FACTOR * PERMILLE) as u32)
    }

    /// Tells whether a version without a proof has had what it may have.
    pub fn is_exhausted(&self, requests: RequestCounts, time: RolloutTime) -> bool {
        self.spent_fraction(requests, time) >= MAX_SPENT_FRACTION
    }

    /// Tells whether a version without a proof will soon have had what it may have.
    pub fn is_nearly_exhausted(&self, requests: RequestCounts, time: RolloutTime) -> bool {
        self.spent_fraction(requests, time) >= NEARLY_SPENT_FRACTION
    }

    /// Returns how much of what a bad version may get the new one has had.
    ///
    /// What was sent before a box counted is taken to be what the first stage gives at the most. A
    /// box that was restarted at the middle stage would otherwise take that stage's part for the
    /// whole, and take back a sound version for it.
    fn spent_fraction(&self, requests: RequestCounts, time: RolloutTime) -> f64 {
        let allowed = self.share * time.expected_total(requests) + self.slack;
        let uncounted = self.share * FIRST_STAGE_SHARE_FRACTION * time.uncounted(requests);
        (requests.new_version as f64 + uncounted) / allowed.max(f64::MIN_POSITIVE)
    }

    /// Tells whether a version may have all sessions for the rest of the time without a proof: so
    /// little of it is left that the operators' share would do even if it were bad.
    pub fn allows_all_sessions(&self, requests: RequestCounts, time: RolloutTime) -> bool {
        let left = time.duration.saturating_sub(time.elapsed).as_secs_f64();
        let at_end = RequestCounts {
            new_version: requests.new_version + (time.request_rate(requests) * left).ceil() as u64,
            ..requests
        };
        self.spent_fraction(at_end, time) <= MAX_SPENT_FRACTION
    }

    /// Tells whether the time to stop would be running if all answers that may be bad were.
    pub fn is_rollback_clock_running(&self, possibly_bad: u32) -> bool {
        possibly_bad >= ROLLBACK_CLOCK_RESPONSES
    }

    /// Returns how long a version may go without a proof from then on.
    pub fn max_unproven_time(&self) -> Duration {
        self.rollback.saturating_sub(STOP_DELAY)
    }
}
