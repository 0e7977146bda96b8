//! Limits how many requests a new version gets while nothing proves that it is good. Operators set
//! the limits.

use super::statistics::RequestCounts;
use std::time::Duration;

/// The fraction of the operators' limit that may be used without a proof. The rest is left for the
/// requests that other boxes send until they learn of the decision.
const MAX_SPENT_FRACTION: f64 = 0.9;
/// The fraction from which [`EvidenceLevel::Sufficient`](super::latency_evidence::EvidenceLevel) is
/// enough, although more evidence could still arrive: the leading box evaluates four times a
/// second, and other boxes keep sending until they receive its record.
const NEARLY_SPENT_FRACTION: f64 = 0.75;
/// The fraction of the present request rate that is expected for the rest of the rollout, since the
/// load may fall.
const EXPECTED_LOAD_FRACTION: f64 = 0.7;
/// The fraction of the operators' share that the first stage uses at most. It lasts half of the
/// rollout and leaves as much again for the stages after it.
const FIRST_STAGE_SHARE_FRACTION: f64 = 0.6;
/// The fraction of the operators' slack that the first stage uses, where requests are few.
const FIRST_STAGE_SLACK_FRACTION: f64 = 0.4;
/// The number of first-stage requests that suffices to detect a clearly bad version. It is far
/// below the number of responses that starts the rollback clock, since the load may double. What is
/// used here is missing from the stages that compare the versions under load, and only those detect
/// a version that slows all responses twofold.
const FIRST_STAGE_REQUESTS: f64 = 30.0;
/// The limits of the first stage, in thousandths of the sessions. Boxes send each other the hashes
/// of those sessions that the old version serves, so a larger stage would mean larger messages.
pub const MAX_FIRST_STAGE_PERMILLE: u32 = 120;
const MIN_FIRST_STAGE_PERMILLE: u32 = 3;
/// The middle stages may take the operators' share times this factor; together they last a tenth of
/// the rollout.
const MIDDLE_STAGE_SHARE_FACTOR: f64 = 2.7;
/// The number of possibly bad responses from which the operators' rollback time is taken to run. It
/// runs from the fiftieth bad response; up to a fifth of the slowed responses may not be among
/// those that count as possibly bad.
const ROLLBACK_CLOCK_RESPONSES: u32 = 40;
/// The part of the rollback time that it takes to stop a version: delivery of the statistics, one
/// evaluation and the notification of all boxes.
const STOP_DELAY: Duration = Duration::from_millis(1000);
const PERMILLE: f64 = 1000.0;
/// The shortest period, in seconds, over which a request rate is computed.
const MIN_RATE_PERIOD_S: f64 = 0.5;

/// The operators' limits on the use of a new version that may be bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureBound {
    /// The fraction of a service's requests between the rollout order and its end.
    pub share: f64,
    /// A number of requests beyond that fraction.
    pub slack: f64,
    /// The time between the fiftieth bad response of a version and the last request sent to it.
    pub rollback: Duration,
}

/// The position in the time of a rollout.
#[derive(Debug, Clone, Copy)]
pub struct RolloutTime {
    /// The time since the order.
    pub elapsed: Duration,
    /// The total time that operators gave.
    pub duration: Duration,
}

impl RolloutTime {
    /// Returns the counted requests per second.
    fn request_rate(self, requests: RequestCounts) -> f64 {
        let counted_time = self
            .elapsed
            .saturating_sub(requests.first_at.unwrap_or_default());
        requests.all as f64 / counted_time.as_secs_f64().max(MIN_RATE_PERIOD_S)
    }

    /// Estimates the number of requests before the first counted one.
    fn uncounted(self, requests: RequestCounts) -> f64 {
        self.request_rate(requests) * requests.first_at.unwrap_or_default().as_secs_f64()
    }

    /// Estimates the number of requests in the whole rollout from those so far.
    fn expected_total(self, requests: RequestCounts) -> f64 {
        let left = self.duration.saturating_sub(self.elapsed).as_secs_f64();
        self.uncounted(requests)
            + requests.all as f64
            + EXPECTED_LOAD_FRACTION * self.request_rate(requests) * left
    }
}

impl ExposureBound {
    /// Returns the size of the first stage, in thousandths of the sessions. It is larger where
    /// requests are so few that the slack is a considerable fraction of them.
    pub fn first_stage_permille(&self, requests: RequestCounts, time: RolloutTime) -> u32 {
        let elapsed = time.elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
        let first_half = requests.all as f64 * time.duration.as_secs_f64() / 2.0 / elapsed;
        let slack_fraction = self.slack * FIRST_STAGE_SLACK_FRACTION / first_half.max(1.0);
        let allowed = self.share * FIRST_STAGE_SHARE_FRACTION + slack_fraction;
        let fraction = allowed.min(FIRST_STAGE_REQUESTS / first_half.max(1.0));
        ((fraction * PERMILLE) as u32).clamp(MIN_FIRST_STAGE_PERMILLE, MAX_FIRST_STAGE_PERMILLE)
    }

    /// Returns the size of a middle stage, in thousandths of the sessions: the desired size, or
    /// less if the operators' share requires it.
    pub fn middle_stage_permille(&self, desired: u32) -> u32 {
        desired.min((self.share * MIDDLE_STAGE_SHARE_FACTOR * PERMILLE) as u32)
    }

    /// Returns whether an unproven version has used up its exposure.
    pub fn is_exhausted(&self, requests: RequestCounts, time: RolloutTime) -> bool {
        self.spent_fraction(requests, time) >= MAX_SPENT_FRACTION
    }

    /// Returns whether an unproven version has used up most of its exposure.
    pub fn is_nearly_exhausted(&self, requests: RequestCounts, time: RolloutTime) -> bool {
        self.spent_fraction(requests, time) >= NEARLY_SPENT_FRACTION
    }

    /// Returns the fraction of the allowed exposure that the new version has used.
    ///
    /// Requests from before a box began to count are estimated at the most that the first stage
    /// allows. Otherwise a box that was restarted during a middle stage would extrapolate that
    /// stage's rate to the whole rollout, and revert a good version because of it.
    fn spent_fraction(&self, requests: RequestCounts, time: RolloutTime) -> f64 {
        let allowed = self.share * time.expected_total(requests) + self.slack;
        let uncounted = self.share * FIRST_STAGE_SHARE_FRACTION * time.uncounted(requests);
        (requests.new_version as f64 + uncounted) / allowed.max(f64::MIN_POSITIVE)
    }

    /// Returns whether an unproven version may serve all sessions for the rest of the rollout: so
    /// little time is left that the exposure stays within the operators' share even if the version
    /// is bad.
    pub fn allows_all_sessions(&self, requests: RequestCounts, time: RolloutTime) -> bool {
        let left = time.duration.saturating_sub(time.elapsed).as_secs_f64();
        let at_end = RequestCounts {
            new_version: requests.new_version + (time.request_rate(requests) * left).ceil() as u64,
            ..requests
        };
        self.spent_fraction(at_end, time) <= MAX_SPENT_FRACTION
    }

    /// Returns whether the operators' rollback time would be running if all possibly bad responses
    /// were bad.
    pub fn is_rollback_clock_running(&self, possibly_bad: u32) -> bool {
        possibly_bad >= ROLLBACK_CLOCK_RESPONSES
    }

    /// Returns how long a version may stay without a proof once the rollback clock runs.
    pub fn max_unproven_time(&self) -> Duration {
        self.rollback.saturating_sub(STOP_DELAY)
    }
}
