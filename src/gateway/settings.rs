//! What a box has to be told before it can start.

use super::attempt::retries::RetryBound;
use super::versions::exposure::ExposureBound;
use std::net::SocketAddr;
use std::time::Duration;

/// The settings of one box.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// The box's name.
    pub name: String,
    /// Its hall.
    pub hall: String,
    /// Where callers connect.
    pub caller_addr: SocketAddr,
    /// Where the balancer asks whether the box takes new connections.
    pub readiness_addr: SocketAddr,
    /// Where other boxes send what they have seen.
    pub peer_addr: SocketAddr,
    /// Where counters and histograms are served.
    pub metrics_addr: SocketAddr,
    /// The rate of the box's link in megabits a second; 0 where the platform does not say.
    pub link_mbps: u32,
    /// Whether the whole system starts for the first time, so that no box is registered yet.
    pub is_first_start: bool,
    /// The bounds that operators set.
    pub bounds: Bounds,
}

/// The bounds that operators set for all boxes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// The time from the signal to stop to the process's end at the latest.
    pub grace_period: Duration,
    /// The time after which a key that was taken away must not serve any more.
    pub revocation_delay: Duration,
    /// The time after which a confirmed change of the configuration has to be in force.
    pub config_delay: Duration,
    /// How many repeats all boxes together may send.
    pub retries: RetryBound,
    /// The longest pause between two requests of a session.
    pub session_idle_limit: Duration,
    /// What becomes of requests with a key when nothing proves that the key still holds.
    pub unverified_key_policy: UnverifiedKeyPolicy,
    /// How far a bad version may be used.
    pub exposure: ExposureBound,
}

/// What becomes of requests with a key while nothing proves any more that it still holds,
/// because the store and every way around it are away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnverifiedKeyPolicy {
    /// They are refused: the operators want a key that was taken away to stop everywhere
    /// within the bound, on boxes that hear of nothing too.
    Refuse,
    /// Keys that were known last are served on: the operators bear that a box which hears of
    /// nothing serves a key for longer. Nearly all callers would be turned away while the store
    /// is away for more than a few seconds.
    ServeKnown,
}

/// What a key's freshness leaves of the bound for taking keys away: the rest is for the
/// request's way to its upstream and for timers that fire late.
const REVOKE_MARGIN: Duration = Duration::from_millis(600);

/// What a proof's age leaves of the bound for changes: the rest is for timers that fire late.
const CONFIG_MARGIN: Duration = Duration::from_millis(200);

/// The longest time from a change's confirmation until a box in touch has heard of it: a
/// hub's check, the box's question, one datagram that is lost, and the way.
const HEARING: Duration = Duration::from_millis(1200);

/// The part of the bound for changes after which a box that no hub tells anything fresh calls
/// the store itself: the rest is for the call, for reading what it lacks, and for failures.
const OWN_CHECK_PART: f64 = 0.75;
/// The latest that it does so. Where knowledge is older than 2.2 s the store may have been
/// down; a check that began then and met a slow store takes 0.24 s, and a look 0.1 s.
const LATEST_OWN_CHECK: Duration = Duration::from_millis(1850);

/// How much earlier than the operators' grace the process ends, so that it is not killed.
const GRACE_MARGIN: Duration = Duration::from_millis(350);

impl Bounds {
    /// Returns the time from the signal to stop to the process's end at the latest.
    pub fn max_stop_duration(&self) -> Duration {
        self.grace_period.saturating_sub(GRACE_MARGIN)
    }

    /// Returns how old the last proof may be by which keys are served.
    pub fn max_key_proof_age(&self) -> Duration {
        self.revocation_delay.saturating_sub(REVOKE_MARGIN)
    }

    /// Returns how old a proof may be by which a box says that a route or a key does not
    /// exist: within it, all changes are known that callers may count on.
    pub fn max_denial_proof_age(&self) -> Duration {
        self.config_delay.saturating_sub(CONFIG_MARGIN)
    }

    /// Returns the age of knowledge at which a box that is no hub calls the store itself.
    ///
    /// Later is cheaper: while the hubs read everything anew, which takes them a second where
    /// the store's history is gone, each other box calls three times and more if it comes to
    /// this age meanwhile.
    pub fn store_check_age(&self) -> Duration {
        self.config_delay
            .mul_f64(OWN_CHECK_PART)
            .min(LATEST_OWN_CHECK)
    }

    /// Returns how long a box may serve by what it has after it heard of something newer.
    pub fn max_config_lag(&self) -> Duration {
        self.config_delay.saturating_sub(HEARING)
    }
}
