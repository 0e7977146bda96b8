//! How far a version may be used while nothing proves that it is good, by the operators' bounds.

use super::observed::Sent;
use std::time::Duration;

/// The part of the operators' share that may be spent without a proof. The rest is for what
/// other boxes send until they are told.
const SPENT_PART: f64 = 0.9;
/// The part from which a proof that could still grow has to do: the leading box looks four times
/// a second, and boxes go on sending until they hear of its record.
const NEARLY_SPENT_PART: f64 = 0.75;
/// How much of the requests that are to come is counted on; the load may fall.
const EXPECTED_PART: f64 = 0.7;
/// The part of the share that the first stage takes at most: it lasts half of the time and
/// leaves as much again for the stages after it.
const FIRST_PART: f64 = 0.6;
/// The part of the slack that the first stage takes, where requests are few.
const FIRST_SLACK_PART: f64 = 0.4;
/// The requests of the first stage that are enough to find a version that is bad beyond doubt.
/// Far fewer than the answers from which the time to stop runs, since the load may double: what
/// is spent here is missing where the versions are compared under load, and a version that slows
/// all its answers twofold shows only there.
const ENOUGH_AT_FIRST: f64 = 30.0;
/// The most and the least of the first stage, in thousandths of the sessions. Boxes tell each
/// other which of these the old version serves, so more would be more to tell.
pub const MOST_AT_FIRST: u32 = 120;
const LEAST_AT_FIRST: u32 = 3;
/// How many times the share the middle stages may take, for a tenth of the time together.
const MIDDLE_TIMES: f64 = 2.7;
/// The answers that may be bad from which the operators' time to stop is taken to run: it runs
/// from the fiftieth bad one, and a fifth of the slowed ones may not be among those that are
/// counted as slow.
const SUSPECTS: u32 = 40;
/// What stopping takes of that time: the way of the counts, a look, and the word to all.
const STOPPING: Duration = Duration::from_millis(1000);
const THOUSAND: f64 = 1000.0;
/// The shortest time, in seconds, that a rate of requests is told by.
const SHORTEST_COUNT: f64 = 0.5;

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
pub struct Span {
    /// The time since the order.
    pub elapsed: Duration,
    /// The time that operators gave.
    pub duration: Duration,
}

impl Span {
    /// Returns how many requests a second were counted.
    fn rate(self, sent: Sent) -> f64 {
        let counted = self.elapsed.saturating_sub(sent.from.unwrap_or_default());
        sent.all as f64 / counted.as_secs_f64().max(SHORTEST_COUNT)
    }

    /// Returns how many requests there were before the first that was counted.
    fn missed(self, sent: Sent) -> f64 {
        self.rate(sent) * sent.from.unwrap_or_default().as_secs_f64()
    }

    /// Returns how many requests the whole time will have, by those so far.
    fn expected(self, sent: Sent) -> f64 {
        let left = self.duration.saturating_sub(self.elapsed).as_secs_f64();
        self.missed(sent) + sent.all as f64 + EXPECTED_PART * self.rate(sent) * left
    }
}

impl ExposureBound {
    /// Returns the thousandths of the sessions of the first stage: more where requests are so
    /// few that the slack is a part of them.
    pub fn first_stage(&self, sent: Sent, span: Span) -> u32 {
        let elapsed = span.elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
        let half = sent.all as f64 * span.duration.as_secs_f64() / 2.0 / elapsed;
        let of_slack = self.slack * FIRST_SLACK_PART / half.max(1.0);
        let allowed = self.share * FIRST_PART + of_slack;
        let part = allowed.min(ENOUGH_AT_FIRST / half.max(1.0));
        ((part * THOUSAND) as u32).clamp(LEAST_AT_FIRST, MOST_AT_FIRST)
    }

    /// Returns the thousandths of the sessions that a middle stage may have, of those that it
    /// would have without a bound.
    pub fn middle_stage(&self, wanted: u32) -> u32 {
        wanted.min((self.share * MIDDLE_TIMES * THOUSAND) as u32)
    }

    /// Tells whether a version without a proof has had what it may have.
    pub fn is_spent(&self, sent: Sent, span: Span) -> bool {
        self.spent_part(sent, span) >= SPENT_PART
    }

    /// Tells whether a version without a proof will soon have had what it may have.
    pub fn is_nearly_spent(&self, sent: Sent, span: Span) -> bool {
        self.spent_part(sent, span) >= NEARLY_SPENT_PART
    }

    /// Returns how much of what a bad version may get the new one has had.
    ///
    /// What was sent before a box counted is taken to be what the first stage gives at the most. A
    /// box that was restarted at the middle stage would otherwise take that stage's part for the
    /// whole, and take back a sound version for it.
    fn spent_part(&self, sent: Sent, span: Span) -> f64 {
        let allowed = self.share * span.expected(sent) + self.slack;
        let missed = self.share * FIRST_PART * span.missed(sent);
        (sent.new as f64 + missed) / allowed.max(f64::MIN_POSITIVE)
    }

    /// Tells whether a version may have all sessions for the rest of the time without a proof: so
    /// little of it is left that the operators' share would do even if it were bad.
    pub fn bears_all(&self, sent: Sent, span: Span) -> bool {
        let left = span.duration.saturating_sub(span.elapsed).as_secs_f64();
        let then = Sent {
            new: sent.new + (span.rate(sent) * left).ceil() as u64,
            ..sent
        };
        self.spent_part(then, span) <= SPENT_PART
    }

    /// Tells whether the time to stop would be running if all answers that may be bad were.
    pub fn is_doubted(&self, suspects: u32) -> bool {
        suspects >= SUSPECTS
    }

    /// Returns how long a version may go without a proof from then on.
    pub fn longest_doubt(&self) -> Duration {
        self.rollback.saturating_sub(STOPPING)
    }
}
