//! Test bench that starts a small fleet of real processes. The stand-ins and the
//! fault-injecting proxy run in the test process.

#![allow(dead_code, reason = "each test binary uses a part of the bench")]

mod callers;
mod observation;
mod operators;
mod persistent_connection;
mod process;
pub mod scripted_upstream;
mod startup;

#[allow(unused_imports, reason = "each test binary uses a part of the bench")]
pub use callers::{Answer, CallerView, completion_body, read_answer, streaming_completion_body};
#[allow(unused_imports, reason = "each test binary uses a part of the bench")]
pub use operators::Operators;
#[allow(unused_imports, reason = "each test binary uses a part of the bench")]
pub use persistent_connection::{PersistentConnection, RequestOutcome, connect_over_h2};
pub use process::Process;

use awc::Client;
use gatepier::lab::fleet::{Fleet, FleetBox, free_address};
use gatepier::lab::model::ModelStandIn;
use gatepier::lab::platform::PlatformStandIn;
use gatepier::lab::proxy::Proxy;
use gatepier::lab::service::ServiceStandIn;
use gatepier::lab::store::StoreStandIn;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// The partner that owns every test fleet.
pub const PARTNER: &str = "panelwave";
/// How long to wait for a condition before the test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The bundle that the operators activate by default.
pub const BUNDLE: &str = r#"
partner = "panelwave"

[[model]]
name = "small"
incumbent = "s1"
version = [{ name = "s1", cost_micros = 100 }, { name = "s2", cost_micros = 120 }]

[[model]]
name = "large"
incumbent = "l1"
version = [{ name = "l1", cost_micros = 1000 }]

[[cascade]]
name = "recap"
steps = ["small", "large"]
gate = "inline"
quality = 0.9

[[cascade]]
name = "thread"
steps = ["small", "large"]
gate = "learn"
quality = 0.9

[[organisation]]
name = "comics"
allow = ["small/s1", "small/s2", "large/l1"]
cascades = ["recap", "thread"]
share = 0.5

[[organisation]]
name = "tales"
allow = ["small/s1"]
share = 0.3

[[service]]
name = "reader-api"
repeatable = ["GET", "HEAD"]
billed = ["POST"]
cost_micros = 5
"#;

/// One box and its running processes.
pub struct RunningBox {
    /// The box's addresses and settings files.
    pub files: FleetBox,
    /// The agent process, if running.
    pub agent: Option<Process>,
    /// The router process, if running.
    pub router: Option<Process>,
}

/// A stand-in for a model engine.
pub struct ModelUpstream {
    /// Its name in the live list.
    pub name: String,
    /// The stand-in server.
    pub stand_in: Arc<ModelStandIn>,
}

/// A stand-in for a server of a plain service.
pub struct ServiceUpstream {
    /// Its name in the live list.
    pub name: String,
    /// The stand-in server.
    pub stand_in: Arc<ServiceStandIn>,
}

/// Size and settings of a bench.
pub struct BenchPlan {
    /// Halls and the number of entry boxes in each.
    pub halls: Vec<(&'static str, usize)>,
    /// Number of model upstreams in each hall.
    pub models: usize,
    /// Number of `reader-api` servers in each hall.
    pub services: usize,
    /// Lines appended to each router's settings.
    pub router_extra: String,
    /// Lines appended to each agent's settings.
    pub agent_extra: String,
    /// Whether to start routers as well as agents.
    pub routers: bool,
}

impl Default for BenchPlan {
    fn default() -> Self {
        Self {
            halls: vec![("ikeja", 2)],
            models: 2,
            services: 1,
            router_extra: String::new(),
            agent_extra: String::new(),
            routers: true,
        }
    }
}

/// A running fleet with stand-ins for the platform and the upstreams.
pub struct Bench {
    /// The fleet's settings, keys and certificates.
    pub fleet: Fleet,
    /// The boxes by name.
    pub boxes: BTreeMap<String, RunningBox>,
    /// The key-value store stand-in, shared by all halls.
    pub store: Arc<StoreStandIn>,
    /// The live list stand-in of each hall; a box's address in the list differs by hall.
    pub platforms: BTreeMap<String, Arc<PlatformStandIn>>,
    /// The fault-injecting proxy. Its links are `store:BOX`, `list:BOX` and `rater:BOX` to the
    /// platform, `HALL>BOX` from another hall to a box's agent, and `up:NAME` to an upstream.
    pub proxy: Proxy,
    /// The model upstreams of all halls.
    pub models: Vec<ModelUpstream>,
    /// The `reader-api` servers of all halls.
    pub services: Vec<ServiceUpstream>,
    /// The HTTP client used by the test.
    pub client: Client,
    /// The path of the bundle file that operators propose.
    pub bundle: PathBuf,
    store_address: SocketAddr,
    platform_addresses: BTreeMap<String, SocketAddr>,
    log_file: PathBuf,
    starts_routers: bool,
    stand_in_addresses: BTreeMap<String, SocketAddr>,
    _folder: tempfile::TempDir,
}

/// Runs a test's future on a new actix system.
pub fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// Defines named tests from async blocks, each run on a new actix system.
#[macro_export]
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident => $body:expr;)+) => {
        $(
            $(#[$meta])*
            #[googletest::test]
            fn $name() {
                $crate::common::run($body);
            }
        )+
    };
}

/// Returns an address on which nothing listens.
pub fn unused_address() -> SocketAddr {
    free_address().unwrap()
}
