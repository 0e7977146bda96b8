//! How long the requests of each route took lately, for a box that stops: it may run only what it can
//! expect to end.

use crate::clock::Now;
use std::collections::HashMap;
use std::time::Duration;

/// Times are remembered for one to two such windows.
const WINDOW: Duration = Duration::from_secs(30);
/// The fewest requests from which a route's longest time is known.
const MIN_REQUESTS: u32 = 10;
/// How much longer than the longest lately a request may take.
const MARGIN_FACTOR: f64 = 1.25;

/// The longest times of routes, by name.
#[derive(Debug, Default)]
pub struct RunTimes(HashMap<String, Longest>);

/// The requests of a route in this window and in the one before.
#[derive(Debug, Clone, Copy)]
struct Longest {
    began: Duration,
    current: Window,
    previous: Window,
}

#[derive(Debug, Default, Clone, Copy)]
struct Window {
    requests: u32,
    longest: Duration,
}

impl Longest {
    fn begin(now: Now) -> Self {
        Self {
            began: now.monotonic,
            current: Window::default(),
            previous: Window::default(),
        }
    }

    /// Returns the same at a later time.
    fn at(self, now: Now) -> Self {
        let age = now.monotonic.saturating_sub(self.began);
        if age < WINDOW {
            return self;
        }
        let previous = match age < 2 * WINDOW {
            true => self.current,
            false => Window::default(),
        };
        Self {
            previous,
            ..Self::begin(now)
        }
    }
}

impl RunTimes {
    /// Records how long a request of a route took until its whole answer was there.
    pub fn record(&mut self, route: &str, took: Duration, now: Now) {
        let longest = match self.0.get_mut(route) {
            Some(longest) => longest,
            None => self
                .0
                .entry(route.to_owned())
                .or_insert_with(|| Longest::begin(now)),
        };
        *longest = longest.at(now);
        longest.current.requests = longest.current.requests.saturating_add(1);
        longest.current.longest = longest.current.longest.max(took);
    }

    /// Returns how long a request of a route can be expected to take at most; `None` if too few were
    /// answered lately.
    pub fn expected(&self, route: &str, now: Now) -> Option<Duration> {
        let Longest {
            current, previous, ..
        } = self.0.get(route)?.at(now);
        let requests = current.requests.saturating_add(previous.requests);
        let longest = current.longest.max(previous.longest);
        (requests >= MIN_REQUESTS).then(|| longest.mul_f64(MARGIN_FACTOR))
    }

    /// Forgets the routes that were not asked for lately.
    pub fn remove_expired(&mut self, now: Now) {
        let is_recent =
            |longest: &Longest| now.monotonic.saturating_sub(longest.began) < 2 * WINDOW;
        self.0.retain(|_route, longest| is_recent(longest));
    }
}
