//! A builder that starts a small fleet of real processes, with the stand-ins and the
//! fault-injecting proxy in the test's own process.

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

/// The partner of every bench.
pub const PARTNER: &str = "panelwave";
/// How long a bench waits for a condition before the test fails.
pub const PATIENCE: Duration = Duration::from_secs(30);

const POLL: Duration = Duration::from_millis(20);

/// The bundle that a bench's operators put into force.
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

/// The processes of one box.
pub struct RunningBox {
    /// The box.
    pub files: FleetBox,
    /// The agent, while it runs.
    pub agent: Option<Process>,
    /// The router, while it runs.
    pub router: Option<Process>,
}

/// An upstream's stand-in.
pub struct ModelUpstream {
    /// Its name in the list.
    pub name: String,
    /// Its stand-in.
    pub stand_in: Arc<ModelStandIn>,
}

/// A plain service's stand-in.
pub struct ServiceUpstream {
    /// Its name in the list.
    pub name: String,
    /// Its stand-in.
    pub stand_in: Arc<ServiceStandIn>,
}

/// How large a bench is.
pub struct BenchPlan {
    /// The halls, each with its number of entry boxes.
    pub halls: Vec<(&'static str, usize)>,
    /// Model upstreams in each hall.
    pub models: usize,
    /// Servers of `reader-api` in each hall.
    pub services: usize,
    /// Lines that are added to each router's settings.
    pub router_extra: String,
    /// Lines that are added to each agent's settings.
    pub agent_extra: String,
    /// Whether routers are started too.
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

/// A running fleet with its surroundings.
pub struct Bench {
    /// The fleet's files.
    pub fleet: Fleet,
    /// The running boxes by name.
    pub boxes: BTreeMap<String, RunningBox>,
    /// The store's stand-in.
    pub store: Arc<StoreStandIn>,
    /// The list's stand-in of each hall, since addresses depend on the hall.
    pub platforms: BTreeMap<String, Arc<PlatformStandIn>>,
    /// The proxy on all links. `store:BOX`, `list:BOX` and `rater:BOX` lead to the
    /// platform, `HALL>BOX` from another hall to a box's agent, `up:NAME` to an upstream.
    pub proxy: Proxy,
    /// The model upstreams.
    pub models: Vec<ModelUpstream>,
    /// The plain services' upstreams.
    pub services: Vec<ServiceUpstream>,
    /// The client of tests.
    pub client: Client,
    /// The bundle file.
    pub bundle: PathBuf,
    store_address: SocketAddr,
    platform_addresses: BTreeMap<String, SocketAddr>,
    log: PathBuf,
    routers: bool,
    direct: BTreeMap<String, SocketAddr>,
    _folder: tempfile::TempDir,
}

/// Runs a test's future on a system of its own.
pub fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// Defines tests by name, each an async block on a system of its own.
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

/// Returns an address at which nothing listens.
pub fn unused_address() -> SocketAddr {
    free_address().unwrap()
}
