//! A builder that starts a small fleet of real processes, with the stand-ins and the
//! fault-injecting proxy in the test's own process.

#![allow(dead_code, reason = "each test binary uses a part of the bench")]

use awc::Client;
use gatepier::lab::fleet::{Fleet, FleetBox, FleetPlan, Wiring, credential_of, free_address};
use gatepier::lab::model::ModelStandIn;
use gatepier::lab::platform::{ListChange, PlatformStandIn};
use gatepier::lab::proxy::Proxy;
use gatepier::lab::server;
use gatepier::lab::service::ServiceStandIn;
use gatepier::lab::store::{StoreFaults, StoreStandIn};
use gatepier::live::{AGENT_SERVICE, ListedBox};
use gatepier::name::VersionName;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

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

/// One process of the system.
pub struct Process {
    child: Child,
}

impl Process {
    fn start(binary: &str, settings: &PathBuf, log: &PathBuf) -> Self {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .unwrap();
        let child = Command::new(binary)
            .arg(settings)
            .env("GATEPIER_LOG", "warn,gatepier=info,gatepier::agent=debug")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        Self { child }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        let id = i32::try_from(self.child.id()).unwrap();
        // SAFETY: The call has no memory effects, and the child is not reaped yet, so the
        // id is its own.
        unsafe { libc::kill(id, signal) };
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Returns the memory in kilobytes that the process holds.
    pub fn resident_kilobytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Returns the processor time in seconds that the process has used so far.
    pub fn cpu_seconds(&self) -> f64 {
        const TICKS_A_SECOND: f64 = 100.0;
        const USER_TIME: usize = 11;
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap()
            .split_whitespace()
            .collect();
        let ticks = |position: usize| fields[position].parse::<f64>().unwrap();
        (ticks(USER_TIME) + ticks(USER_TIME + 1)) / TICKS_A_SECOND
    }

    /// Tells whether the process has ended, and whether in success.
    pub fn ended(&mut self) -> Option<bool> {
        self.child
            .try_wait()
            .unwrap()
            .map(|status| status.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

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

/// An answer as a test sees it.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status; zero if the connection broke before one came.
    pub status: u16,
    /// The headers.
    pub headers: BTreeMap<String, String>,
    /// The body as far as it came.
    pub body: String,
    /// Whether the body came whole.
    pub whole: bool,
}

impl Answer {
    /// Returns a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns what the answer says about whether the request ran.
    pub fn outcome(&self) -> &str {
        self.header("gatepier-outcome")
    }
}

fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn version(text: &str) -> VersionName {
    VersionName::parse(text).unwrap()
}

impl Bench {
    /// Starts a fleet, puts the bundle into force and waits until every router serves.
    pub async fn start(plan: BenchPlan) -> Self {
        let bench = Self::start_without_bundle(plan).await;
        bench.put_bundle_into_force(BUNDLE).await;
        bench.wait_ready().await;
        bench
    }

    /// Starts a fleet whose operators have not changed anything yet.
    pub async fn start_without_bundle(plan: BenchPlan) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let store = Arc::new(StoreStandIn::default());
        let store_address = serve(store.clone(), 1);
        let proxy = Proxy::default();
        let fleet_plan = FleetPlan {
            partner: PARTNER.to_owned(),
            halls: plan
                .halls
                .iter()
                .map(|(hall, count)| ((*hall).to_owned(), *count))
                .collect(),
            organisations: vec!["comics".to_owned(), "tales".to_owned()],
            router_extra: plan.router_extra.clone(),
            agent_extra: plan.agent_extra.clone(),
        };
        let fleet = Fleet::write(&fleet_plan, folder.path(), store_address).unwrap();
        let bundle = folder.path().join("bundle.toml");
        let mut bench = Self {
            fleet,
            boxes: BTreeMap::new(),
            store,
            platforms: BTreeMap::new(),
            proxy,
            models: Vec::new(),
            services: Vec::new(),
            client: gatepier::http_client::reusing_client(),
            bundle,
            store_address,
            platform_addresses: BTreeMap::new(),
            log: folder.path().join("log.jsonl"),
            routers: plan.routers,
            direct: BTreeMap::new(),
            _folder: folder,
        };
        for (hall, _) in &plan.halls {
            let platform = Arc::new(PlatformStandIn::default());
            bench
                .platform_addresses
                .insert((*hall).to_owned(), serve(platform.clone(), 1));
            bench.platforms.insert((*hall).to_owned(), platform);
        }
        for (hall, count) in &plan.halls {
            for number in 1..=*count {
                bench.add_box(&format!("{hall}-{number}"), hall).await;
            }
            for number in 1..=plan.models {
                bench
                    .add_model(&format!("{hall}-model-{number}"), hall)
                    .await;
            }
            for number in 1..=plan.services {
                bench
                    .add_service(&format!("{hall}-reader-{number}"), hall)
                    .await;
            }
        }
        bench.fleet.write_operators(store_address).unwrap();
        bench
    }

    /// Changes the list of every hall in the same way.
    pub fn change_list(&self, change: &ListChange) {
        for platform in self.platforms.values() {
            platform.change(change.clone());
        }
    }

    /// Adds a box, lists it and starts its processes.
    pub async fn add_box(&mut self, name: &str, hall: &str) {
        let platform = self.platform_addresses[hall];
        let link = async |kind: &str, target| {
            self.proxy
                .open(&format!("{kind}:{name}"), target)
                .await
                .unwrap()
        };
        let wiring = Wiring {
            store: link("store", self.store_address).await,
            list: link("list", platform).await,
            rater: link("rater", platform).await,
        };
        let files = self.fleet.add_box(name, hall, wiring).unwrap();
        for (from, platform) in &self.platforms {
            let address = if from == hall {
                files.agent
            } else {
                self.proxy
                    .open(&format!("{from}>{name}"), files.agent)
                    .await
                    .unwrap()
            };
            let listed = listed(name, AGENT_SERVICE, hall, address, &[]);
            platform.change(ListChange::Put(vec![listed]));
        }
        let running = RunningBox {
            files,
            agent: None,
            router: None,
        };
        self.boxes.insert(name.to_owned(), running);
        self.start_agent(name);
        if self.routers {
            self.start_router(name);
        }
    }

    /// Adds a model upstream with all versions loaded.
    pub async fn add_model(&mut self, name: &str, hall: &str) {
        let stand_in = Arc::new(ModelStandIn::default());
        let address = serve(stand_in.clone(), 1);
        self.direct.insert(name.to_owned(), address);
        let address = self
            .proxy
            .open(&format!("up:{name}"), address)
            .await
            .unwrap();
        let versions = ["small/s1", "small/s2", "large/l1"];
        let listed = listed(name, "inkmind", hall, address, &versions);
        self.change_list(&ListChange::Put(vec![listed]));
        self.models.push(ModelUpstream {
            name: name.to_owned(),
            stand_in,
        });
    }

    /// Adds a server of `reader-api`.
    pub async fn add_service(&mut self, name: &str, hall: &str) {
        let stand_in = Arc::new(ServiceStandIn::default());
        let address = serve(stand_in.clone(), 1);
        self.direct.insert(name.to_owned(), address);
        let address = self
            .proxy
            .open(&format!("up:{name}"), address)
            .await
            .unwrap();
        self.change_list(&ListChange::Put(vec![listed(
            name,
            "reader-api",
            hall,
            address,
            &[],
        )]));
        self.services.push(ServiceUpstream {
            name: name.to_owned(),
            stand_in,
        });
    }

    /// Returns the address of an upstream's stand-in itself.
    pub fn direct(&self, name: &str) -> SocketAddr {
        self.direct[name]
    }

    /// Returns the store's address.
    pub fn store_address(&self) -> SocketAddr {
        self.store_address
    }

    /// Lists a service's and a model's stand-in by their own addresses, without the proxy,
    /// and waits until the first box uses them.
    pub async fn list_direct(&self, service: &str, model: &str, hall: &str) {
        let versions = ["small/s1", "small/s2", "large/l1"];
        let boxes = vec![
            listed(service, "reader-api", hall, self.direct(service), &[]),
            listed(model, "inkmind", hall, self.direct(model), &versions),
        ];
        self.change_list(&ListChange::Put(boxes));
        let revision = self.platforms[hall].revision();
        self.wait_for("the list is known", async || {
            let status = self.status_of(&format!("{hall}-1")).await;
            status.is_some_and(|status| status["list_revision"].as_u64() == Some(revision))
        })
        .await;
    }

    /// Returns a client of a box's agent.
    pub fn agent_client(&self, name: &str) -> gatepier::wire::client::WireClient {
        let read = |file: &str| std::fs::read(self.fleet.folder.join(file)).unwrap();
        let tls = gatepier::wire::tls::FleetTls::from_pem(
            &read("authority.pem"),
            &read("operators.pem"),
            &read("operators.key"),
        );
        gatepier::wire::client::WireClient::new(self.boxes[name].files.agent, tls.unwrap())
    }

    /// Claims a key through an agent, and tells whether it was granted.
    pub async fn claim_by(&self, agent: &gatepier::wire::client::WireClient, id: &str) -> bool {
        use gatepier::claim::{AttemptId, ClaimKey, ClaimReply};
        use gatepier::wire::message::{ControlRequest, ControlResponse};
        let key = ClaimKey {
            organisation: "comics".to_owned(),
            request_id: id.to_owned(),
        };
        let request = ControlRequest::Claim {
            key,
            attempt: AttemptId::random(),
            relayed: false,
        };
        let answer = agent.call(&request, Duration::from_secs(1)).await;
        matches!(answer, Ok(ControlResponse::Claim(ClaimReply::Granted)))
    }

    /// Lists a server of `reader-api` that the bench does not run.
    pub fn list_service(&self, name: &str, hall: &str, address: SocketAddr) {
        self.change_list(&ListChange::Put(vec![listed(
            name,
            "reader-api",
            hall,
            address,
            &[],
        )]));
    }

    /// Waits until a box's agent has ended, and in success.
    pub async fn wait_for_end_of_agent(&mut self, name: &str) {
        let deadline = Instant::now() + PATIENCE;
        let succeeded = loop {
            if let Some(succeeded) = self.agent(name).ended() {
                break succeeded;
            }
            assert!(
                Instant::now() < deadline,
                "the agent does not end\n{}",
                self.log_tail()
            );
            actix_rt::time::sleep(POLL).await;
        };
        assert!(succeeded, "the agent ended in failure\n{}", self.log_tail());
        self.boxes.get_mut(name).unwrap().agent = None;
    }

    /// Starts a box's agent.
    pub fn start_agent(&mut self, name: &str) {
        let running = self.boxes.get_mut(name).unwrap();
        let binary = env!("CARGO_BIN_EXE_gatepier-agent");
        running.agent = Some(Process::start(
            binary,
            &running.files.agent_settings,
            &self.log,
        ));
    }

    /// Starts a box's router.
    pub fn start_router(&mut self, name: &str) {
        let running = self.boxes.get_mut(name).unwrap();
        let binary = env!("CARGO_BIN_EXE_gatepier-router");
        running.router = Some(Process::start(
            binary,
            &running.files.router_settings,
            &self.log,
        ));
    }

    /// Returns a box's agent.
    pub fn agent(&mut self, name: &str) -> &mut Process {
        self.boxes.get_mut(name).unwrap().agent.as_mut().unwrap()
    }

    /// Returns a box's router.
    pub fn router(&mut self, name: &str) -> &mut Process {
        self.boxes.get_mut(name).unwrap().router.as_mut().unwrap()
    }

    /// Returns the two operators' command lines.
    pub fn operators(&self) -> Operators {
        Operators {
            settings: self.fleet.operators.clone(),
        }
    }

    /// Runs the command line as one of the two operators.
    pub async fn operate(&self, operator: usize, args: &[&str]) -> Output {
        self.operators().operate(operator, args).await
    }

    /// Runs the command line, which has to succeed, and returns what it printed.
    pub async fn operate_ok(&self, operator: usize, args: &[&str]) -> String {
        let output = self.operate(operator, args).await;
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(
            output.status.success(),
            "gatepier {args:?} failed: {stderr}"
        );
        String::from_utf8(output.stdout).unwrap()
    }

    /// Proposes a bundle as the first operator and signs it off as the second.
    pub async fn put_bundle_into_force(&self, text: &str) {
        std::fs::write(&self.bundle, text).unwrap();
        let file = self.bundle.to_str().unwrap();
        self.operate_ok(0, &["propose", file]).await;
        self.operate_ok(1, &["sign", file]).await;
    }

    /// Waits until every running router is ready and every shard of claims grants.
    pub async fn wait_ready(&self) {
        for running in self
            .boxes
            .values()
            .filter(|running| running.router.is_some())
        {
            self.wait_router_ready(&running.files).await;
        }
        self.wait_for("every shard grants", async || {
            let shards = self.fleet_shards().await;
            shards.is_some_and(|(owned, granting, wanted)| owned == wanted && granting == wanted)
        })
        .await;
    }

    /// Waits until a router tells its balancer that it is ready.
    pub async fn wait_router_ready(&self, files: &FleetBox) {
        let url = format!("http://{}/ready", files.router_metrics);
        self.wait_for(&format!("{} is ready", files.name), async || {
            let sent = self.client.get(&url).send().await;
            sent.is_ok_and(|res| res.status().is_success())
        })
        .await;
    }

    /// Returns the shards owned, those that grant, and those that there should be.
    async fn fleet_shards(&self) -> Option<(u64, u64, u64)> {
        let statuses = self.statuses().await;
        let shards = |position: usize| -> u64 {
            statuses
                .iter()
                .filter_map(|status| status["shards"][position].as_u64())
                .sum()
        };
        let wanted = self.platforms.len() as u64 * u64::from(gatepier::claim::SHARDS_PER_HALL);
        Some((shards(0), shards(1), wanted))
    }

    /// Returns how the agents stand, by the command line.
    pub async fn statuses(&self) -> Vec<Value> {
        let output = self.operate_ok(0, &["--json", "status"]).await;
        let statuses: Value = serde_json::from_str(&output).unwrap();
        statuses.as_array().unwrap().clone()
    }

    /// Returns one agent's status.
    pub async fn status_of(&self, name: &str) -> Option<Value> {
        self.statuses()
            .await
            .into_iter()
            .find(|status| status["member"]["box_name"] == name)
    }

    /// Waits until a condition holds, and fails the test if it does not in time.
    pub async fn wait_for(&self, what: &str, mut holds: impl AsyncFnMut() -> bool) {
        let deadline = Instant::now() + PATIENCE;
        while !holds().await {
            assert!(
                Instant::now() < deadline,
                "in vain waited until {what}\n{}",
                self.log_tail()
            );
            actix_rt::time::sleep(POLL).await;
        }
    }

    /// Returns how often the processes' common log contains a text.
    pub fn log_count(&self, text: &str) -> usize {
        std::fs::read_to_string(&self.log)
            .unwrap_or_default()
            .matches(text)
            .count()
    }

    /// Returns the lines of the processes' common log that contain a text.
    pub fn log_lines(&self, text: &str) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().filter(|line| line.contains(text)).collect();
        lines.join("\n")
    }

    /// Returns the text of a router's metrics.
    pub async fn router_metrics(&self, name: &str) -> String {
        let url = format!("http://{}/metrics", self.boxes[name].files.router_metrics);
        read_answer(self.client.get(url).send().await).await.body
    }

    /// Returns the end of the processes' common log.
    pub fn log_tail(&self) -> String {
        const LINES: usize = 25;
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let errors = lines
            .iter()
            .filter(|line| line.starts_with("Error") || line.contains("panicked"));
        let tail = lines[lines.len().saturating_sub(LINES)..].iter();
        errors.chain(tail).copied().collect::<Vec<_>>().join("\n")
    }

    /// Returns what callers need of the bench.
    pub fn caller_view(&self) -> CallerView {
        let router = |(name, running): (&String, &RunningBox)| (name.clone(), running.files.router);
        CallerView {
            routers: self.boxes.iter().map(router).collect(),
            client: gatepier::http_client::reusing_client(),
        }
    }

    /// Returns a request to a box's router as an organisation.
    pub fn request(
        &self,
        name: &str,
        organisation: &str,
        method: &str,
        path: &str,
    ) -> awc::ClientRequest {
        router_request(
            &self.client,
            self.boxes[name].files.router,
            organisation,
            method,
            path,
        )
    }

    /// Asks a box for a completion.
    pub async fn complete(&self, name: &str, organisation: &str, body: Value) -> Answer {
        let request = self.request(name, organisation, "POST", "/v1/chat/completions");
        read_answer(request.send_json(&body).await).await
    }

    /// Asks a box for a completion of a model, as `comics`.
    pub async fn ask(&self, name: &str, model: &str) -> Answer {
        self.complete(name, "comics", question(model)).await
    }

    /// Sends a bookmark, which may not be repeated, under a key.
    pub async fn bookmark(&self, name: &str, key: &str) -> Answer {
        let request = self
            .request(name, "comics", "POST", "/reader-api/bookmarks")
            .insert_header(("idempotency-key", key));
        read_answer(request.send_body("page 7").await).await
    }

    /// Returns how often the services ran the request of a key.
    pub fn bookmark_runs(&self, key: &str) -> usize {
        let runs = self
            .services
            .iter()
            .flat_map(|service| service.stand_in.runs());
        runs.filter(|run| run.request_id == key).count()
    }

    /// Returns the versions that the model upstreams ran, with how often.
    pub fn version_runs(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for run in self.models.iter().flat_map(|model| model.stand_in.runs()) {
            *counts.entry(run.ran).or_default() += 1;
        }
        counts
    }

    /// Sets the store's faults.
    pub fn set_store(&self, faults: StoreFaults) {
        self.store.set_faults(faults);
    }

    /// Returns the ledger's bills by key, as the command line sums them up.
    pub async fn ledger(&self) -> BTreeMap<String, gatepier::claim::Bill> {
        let store = gatepier::store::etcd::EtcdStore::new(self.store_address);
        let ledger = gatepier::ledger::read_ledger(&store, PARTNER)
            .await
            .unwrap();
        ledger
            .into_iter()
            .map(|(key, bill)| (key.request_id, bill))
            .collect()
    }

    /// Waits until every agent that runs has a generation at the least.
    pub async fn wait_generation(&self, names: &[&str], generation: u64) {
        self.wait_for(
            &format!("generation {generation} is in force on {names:?}"),
            async || {
                let statuses = self.statuses().await;
                names.iter().all(|name| {
                    statuses.iter().any(|status| {
                        status["member"]["box_name"] == *name
                            && status["generation"].as_u64() >= Some(generation)
                    })
                })
            },
        )
        .await;
    }
}

/// The two operators' command lines.
pub struct Operators {
    settings: Vec<PathBuf>,
}

impl Operators {
    /// Runs the command line as one of the two.
    pub async fn operate(&self, operator: usize, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_gatepier"));
        command
            .arg("--settings")
            .arg(&self.settings[operator])
            .args(args);
        // The stand-ins run on this thread, so it must not wait.
        actix_rt::task::spawn_blocking(move || command.output().unwrap())
            .await
            .unwrap()
    }
}

/// What callers need of a bench; it stays as it is while processes come and go.
pub struct CallerView {
    routers: BTreeMap<String, SocketAddr>,
    client: Client,
}

impl CallerView {
    /// Returns a request to a box's router as an organisation.
    pub fn request(
        &self,
        name: &str,
        organisation: &str,
        method: &str,
        path: &str,
    ) -> awc::ClientRequest {
        router_request(&self.client, self.routers[name], organisation, method, path)
    }
}

fn router_request(
    client: &Client,
    router: SocketAddr,
    organisation: &str,
    method: &str,
    path: &str,
) -> awc::ClientRequest {
    let url = format!("http://{router}{path}");
    let method = method.parse::<actix_http::Method>().unwrap();
    client
        .request(method, url)
        .bearer_auth(credential_of(organisation))
}

/// Returns the body of a completion request.
pub fn question(model: &str) -> Value {
    json!({ "model": model, "messages": [{ "role": "user", "content": "What happened so far?" }] })
}

/// Returns the body of a streamed completion request.
pub fn streamed_question(model: &str) -> Value {
    let mut body = question(model);
    body["stream"] = Value::from(true);
    body
}

/// Reads an answer, however far it comes.
pub async fn read_answer(
    sent: Result<awc::ClientResponse, awc::error::SendRequestError>,
) -> Answer {
    use futures::StreamExt as _;
    let mut response = match sent {
        Ok(response) => response,
        Err(_) => {
            return Answer {
                status: 0,
                headers: BTreeMap::new(),
                body: String::new(),
                whole: false,
            };
        }
    };
    let headers = response
        .headers()
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_owned()))
        .collect();
    let mut body = Vec::new();
    let mut whole = true;
    while let Some(chunk) = response.next().await {
        match chunk {
            Ok(chunk) => body.extend_from_slice(&chunk),
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    Answer {
        status: response.status().as_u16(),
        headers,
        body,
        whole,
    }
}

fn serve<S: server::StandIn>(stand_in: Arc<S>, workers: usize) -> SocketAddr {
    let listener = server::listen(any_address()).unwrap();
    let address = listener.local_addr().unwrap();
    drop(server::serve(listener, stand_in, workers).unwrap());
    address
}

fn listed(
    name: &str,
    service: &str,
    hall: &str,
    address: SocketAddr,
    versions: &[&str],
) -> ListedBox {
    let versions = versions.iter().map(|text| version(text));
    ListedBox::live(name, service, hall, address, versions)
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
pub fn dead_address() -> SocketAddr {
    free_address().unwrap()
}
