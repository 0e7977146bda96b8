//! Samples of a delay, and the delay that all of them had.

use crate::clock::Now;
use std::collections::VecDeque;
use std::time::Duration;

/// The period whose smallest sample is the standing delay: longer than bursts of work, and than the
/// period over which operating systems share out processor time.
const STANDING_PERIOD: Duration = Duration::from_millis(100);
/// The fewest samples that show a standing delay.
const MIN_SAMPLES: usize = 5;
/// How long samples say something of the present, if no newer one contradicts. The longer the delay,
/// the rarer they are.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(5);
/// The period for which one standing delay is remembered, and the number of these periods. What
/// boxes wait for ends within them.
const HISTORY_PERIOD: Duration = Duration::from_millis(250);
const HISTORY_PERIODS: usize = 40;

/// The samples of the last moments, and the standing delays of the last seconds.
///
/// A standing delay is one that no sample was free of: a queue that does not empty. Single late
/// samples are bursts.
#[derive(Debug, Default)]
pub struct DelayWindow {
    samples: VecDeque<Sample>,
    history: VecDeque<Sample>,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Duration,
    delay: Duration,
}

impl DelayWindow {
    /// Records a sample.
    pub fn record(&mut self, delay: Duration, now: Now) {
        let at = now.monotonic;
        self.samples.push_back(Sample { at, delay });
        while self.samples.len() > MIN_SAMPLES
            && at.saturating_sub(self.samples[1].at) >= STANDING_PERIOD
        {
            self.samples.pop_front();
        }
        let standing = self.standing(now);
        match self.history.back_mut() {
            Some(period) if at.saturating_sub(period.at) < HISTORY_PERIOD => {
                period.delay = period.delay.max(standing);
            }
            _ => self.begin_period(Sample {
                at,
                delay: standing,
            }),
        }
    }

    fn begin_period(&mut self, period: Sample) {
        if self.history.len() == HISTORY_PERIODS {
            self.history.pop_front();
        }
        self.history.push_back(period);
    }

    /// Returns the delay that all samples of the last moments had at least; zero without samples.
    pub fn standing(&self, now: Now) -> Duration {
        let is_recent =
            |sample: &&Sample| now.monotonic.saturating_sub(sample.at) < SAMPLE_LIFETIME;
        let recent = self.samples.iter().filter(is_recent);
        let (count, oldest, least) = recent.fold(
            (0, Duration::MAX, Duration::MAX),
            |(count, oldest, least), sample| {
                (count + 1, oldest.min(sample.at), least.min(sample.delay))
            },
        );
        let is_shown =
            count >= MIN_SAMPLES && now.monotonic.saturating_sub(oldest) >= STANDING_PERIOD;
        match is_shown {
            true => least,
            false => Duration::ZERO,
        }
    }

    /// Returns the longest standing delay since a time on the monotonic clock.
    pub fn longest_since(&self, since: Duration, now: Now) -> Duration {
        let periods = self.history.iter().rev();
        let overlapping = periods.take_while(|period| period.at + HISTORY_PERIOD > since);
        let longest = overlapping.map(|period| period.delay).max();
        longest.unwrap_or_default().max(self.standing(now))
    }
}
