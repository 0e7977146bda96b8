//! The settings that a box needs to start.

use super::attempt::retries::RetryBound;
use super::versions::exposure::ExposureBound;
use std::net::SocketAddr;
use std::time::Duration;

/// The settings of one box.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// The box's name.
    pub name: String,
    /// The box's hall.
    pub hall: String,
    /// The address that callers connect to.
    pub caller_addr: SocketAddr,
    /// The address of the load balancer's readiness checks.
    pub readiness_addr: SocketAddr,
    /// The address that other boxes send messages to.
    pub peer_addr: SocketAddr,
    /// The address that metrics are served at.
    pub metrics_addr: SocketAddr,
    /// The bandwidth of the box's network link in Mbit/s; 0 if the platform does not provide it.
    pub link_mbps: u32,
    /// The memory limit of the box's process in bytes; `None` if the platform states none, so that
    /// a default holds.
    pub memory_limit: Option<u64>,
    /// The most descriptors that the process may have open; `None` if the platform states none, so that
    /// the limit of the process holds.
    pub descriptor_limit: Option<u64>,
    /// Whether the whole system starts for the first time, so that no box is registered yet.
    pub is_first_start: bool,
    /// Whether connections are expected to run short, so that boxes control their connections to
    /// all services.
    pub expects_contention: bool,
    /// The bounds that operators set.
    pub bounds: Bounds,
}

/// The descriptors that are not for connections: files, listening sockets and the log.
const OWN_DESCRIPTORS: u64 = 200;

impl GatewaySettings {
    /// Returns how many connections of callers the limit on descriptors allows. As many are left for
    /// connections to upstreams and other boxes.
    pub fn max_caller_connections(&self) -> usize {
        let limit = self.descriptor_limit.or_else(descriptor_limit_of_process);
        let connections = limit.map(|limit| limit.saturating_sub(OWN_DESCRIPTORS).max(2) / 2);
        connections.map_or(usize::MAX, |most| {
            usize::try_from(most).unwrap_or(usize::MAX)
        })
    }
}

fn descriptor_limit_of_process() -> Option<u64> {
    rustix::process::getrlimit(rustix::process::Resource::Nofile).current
}

/// The bounds that operators set for all boxes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// The time from the stop signal until the process must have exited.
    pub grace_period: Duration,
    /// The time after which a revoked key must no longer be accepted.
    pub revocation_delay: Duration,
    /// The time after which a confirmed change of the configuration must be in force.
    pub config_delay: Duration,
    /// How many retries all boxes together may send.
    pub retries: RetryBound,
    /// The longest pause between two requests of a session.
    pub session_idle_limit: Duration,
    /// How to treat requests with a key while nothing proves that the key is still valid.
    pub unverified_key_policy: UnverifiedKeyPolicy,
    /// How much traffic a bad version may get.
    pub exposure: ExposureBound,
}

/// How to treat requests with a key while nothing proves that the key is still valid, because
/// neither the store nor any other box with fresh knowledge is reachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnverifiedKeyPolicy {
    /// Refuse them: operators want a revoked key to be rejected everywhere within the bound, also
    /// on boxes that are cut off.
    Refuse,
    /// Serve the keys that were known last: operators accept that a box that is cut off serves a
    /// revoked key for longer. Otherwise nearly all callers would be refused while the store is
    /// down for more than a few seconds.
    ServeKnown,
}

/// How much earlier than the revocation bound a proof of a key expires, which leaves time for the
/// request's way to its upstream and for timers that fire late.
const REVOCATION_MARGIN: Duration = Duration::from_millis(600);

/// How much earlier than the bound for changes a proof expires, which leaves time for timers that
/// fire late.
const CONFIG_MARGIN: Duration = Duration::from_millis(200);

/// The longest time from a change's confirmation until a connected box has learned that it exists:
/// a hub's check, the box's query, one lost datagram, and the network latency.
const MAX_CHANGE_NOTICE_DELAY: Duration = Duration::from_millis(1200);

/// A box to which no hub sends fresh knowledge calls the store itself after this fraction of the
/// bound for changes; the rest is for the call, for reading what it lacks, and for failures.
const STORE_CHECK_FRACTION: f64 = 0.75;
/// The greatest age of knowledge at which it does so. Knowledge older than 2.2 s suggests that the
/// store was down, so a check has to be done before: it takes 0.24 s at a slow store, and the age
/// is polled every 0.1 s.
const MAX_STORE_CHECK_AGE: Duration = Duration::from_millis(1850);

/// How much earlier than the operators' grace period the process exits, so that it is not killed.
const GRACE_MARGIN: Duration = Duration::from_millis(350);

impl Bounds {
    /// Returns the longest time from the stop signal until the process exits.
    pub fn max_stop_duration(&self) -> Duration {
        self.grace_period.saturating_sub(GRACE_MARGIN)
    }

    /// Returns the greatest age of a proof by which known keys are accepted.
    pub fn max_key_proof_age(&self) -> Duration {
        self.revocation_delay.saturating_sub(REVOCATION_MARGIN)
    }

    /// Returns the greatest age of a proof by which a box reports that a route or a key does not
    /// exist: up to it, all changes that callers may rely on are known.
    pub fn max_denial_proof_age(&self) -> Duration {
        self.config_delay.saturating_sub(CONFIG_MARGIN)
    }

    /// Returns the age of knowledge at which a box that is not a hub calls the store itself.
    ///
    /// A higher age costs fewer calls: if the store's history is gone, the hubs take a second to
    /// read everything again, and each other box that reaches this age meanwhile makes three or
    /// more calls.
    pub fn store_check_age(&self) -> Duration {
        self.config_delay
            .mul_f64(STORE_CHECK_FRACTION)
            .min(MAX_STORE_CHECK_AGE)
    }

    /// Returns how long a box may serve by its old configuration after it learned that a newer one
    /// exists.
    pub fn max_config_lag(&self) -> Duration {
        self.config_delay.saturating_sub(MAX_CHANGE_NOTICE_DELAY)
    }
}
