//! How long a request is expected to wait at an upstream, and to run there.
//!
//! Placement, admission, retries and `Retry-After` all use this estimate. It is computed from the
//! newest load report and its age, from the requests that this box has sent since, and from the
//! learned time of a request. See `docs/design/load-control.md`.

use std::time::Duration;

/// The expected time of a request at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedWait {
    /// Time until the request starts to run.
    pub queue: Duration,
    /// Time that it then takes.
    pub run: Duration,
    /// The age of the load report; `None` if there is no recent one, so that `queue` counts only
    /// what this box and the reports of other boxes know.
    pub report_age: Option<Duration>,
}

impl ExpectedWait {
    /// Returns the expected time until the answer.
    pub fn total(self) -> Duration {
        self.queue + self.run
    }
}
