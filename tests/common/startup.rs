//! Starts a fleet with its stand-ins, and adds or restarts processes and upstreams.

use super::{
    BUNDLE, Bench, BenchPlan, ModelUpstream, PARTNER, POLL_INTERVAL, Process, RunningBox,
    ServiceUpstream, WAIT_TIMEOUT,
};
use gatepier::box_list::AGENT_SERVICE;
use gatepier::box_list::ListedBox;
use gatepier::lab::fleet::Fleet;
use gatepier::lab::fleet::FleetPlan;
use gatepier::lab::fleet::PlatformAddresses;
use gatepier::lab::model::ModelStandIn;
use gatepier::lab::platform::ListChange;
use gatepier::lab::platform::PlatformStandIn;
use gatepier::lab::proxy::Proxy;
use gatepier::lab::server;
use gatepier::lab::service::ServiceStandIn;
use gatepier::lab::store::StoreFaults;
use gatepier::lab::store::StoreStandIn;
use gatepier::name::VersionName;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

impl Bench {
    /// Starts a fleet, activates the default bundle and waits until every router is ready.
    pub async fn start(plan: BenchPlan) -> Self {
        let bench = Self::start_without_bundle(plan).await;
        bench.put_bundle_into_force(BUNDLE).await;
        bench.wait_ready().await;
        bench
    }

    /// Starts a fleet in which no bundle has been proposed.
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
            client: gatepier::http_client::pooled_client(),
            bundle,
            store_address,
            platform_addresses: BTreeMap::new(),
            log_file: folder.path().join("log.jsonl"),
            starts_routers: plan.routers,
            stand_in_addresses: BTreeMap::new(),
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

    /// Applies the same change to the live list of every hall.
    pub fn change_list(&self, change: &ListChange) {
        for platform in self.platforms.values() {
            platform.change(change.clone());
        }
    }

    /// Adds a box to the fleet and the live lists, and starts its processes.
    pub async fn add_box(&mut self, name: &str, hall: &str) {
        let platform = self.platform_addresses[hall];
        let link = async |kind: &str, target| {
            self.proxy
                .open(&format!("{kind}:{name}"), target)
                .await
                .unwrap()
        };
        let addresses = PlatformAddresses {
            store: link("store", self.store_address).await,
            list: link("list", platform).await,
            rater: link("rater", platform).await,
        };
        let files = self.fleet.add_box(name, hall, addresses).unwrap();
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
        if self.starts_routers {
            self.start_router(name);
        }
    }

    /// Adds a model upstream that serves all versions.
    pub async fn add_model(&mut self, name: &str, hall: &str) {
        let stand_in = Arc::new(ModelStandIn::default());
        let address = self.link_upstream(name, serve(stand_in.clone(), 1)).await;
        let versions = ["small/s1", "small/s2", "large/l1"];
        let listed = listed(name, "inkmind", hall, address, &versions);
        self.change_list(&ListChange::Put(vec![listed]));
        self.models.push(ModelUpstream {
            name: name.to_owned(),
            stand_in,
        });
    }

    /// Adds a `reader-api` server.
    pub async fn add_service(&mut self, name: &str, hall: &str) {
        let stand_in = Arc::new(ServiceStandIn::default());
        let address = self.link_upstream(name, serve(stand_in.clone(), 1)).await;
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

    /// Opens a proxy link to an upstream's stand-in and returns the address of the link, which
    /// boxes use. The stand-in's own address is recorded.
    async fn link_upstream(&mut self, name: &str, stand_in: SocketAddr) -> SocketAddr {
        self.stand_in_addresses.insert(name.to_owned(), stand_in);
        let link = format!("up:{name}");
        self.proxy.open(&link, stand_in).await.unwrap()
    }

    /// Returns the address of an upstream's stand-in, bypassing the proxy.
    pub fn stand_in_address(&self, name: &str) -> SocketAddr {
        self.stand_in_addresses[name]
    }

    /// Returns the store's address.
    pub fn store_address(&self) -> SocketAddr {
        self.store_address
    }

    /// Lists a service's and a model's stand-in by their own addresses, bypassing the proxy, and
    /// waits until the hall's first box has read that revision of the list.
    pub async fn list_without_proxy(&self, service: &str, model: &str, hall: &str) {
        let versions = ["small/s1", "small/s2", "large/l1"];
        let boxes = vec![
            listed(
                service,
                "reader-api",
                hall,
                self.stand_in_address(service),
                &[],
            ),
            listed(
                model,
                "inkmind",
                hall,
                self.stand_in_address(model),
                &versions,
            ),
        ];
        self.change_list(&ListChange::Put(boxes));
        let revision = self.platforms[hall].revision();
        self.wait_for("the changed list has been read", async || {
            let status = self.status_of(&format!("{hall}-1")).await;
            status.is_some_and(|status| status["list_revision"].as_u64() == Some(revision))
        })
        .await;
    }

    /// Lists a `reader-api` server that is not run by the bench.
    pub fn list_service(&self, name: &str, hall: &str, address: SocketAddr) {
        self.change_list(&ListChange::Put(vec![listed(
            name,
            "reader-api",
            hall,
            address,
            &[],
        )]));
    }

    /// Waits until a box's agent has exited, and asserts that it exited with success.
    pub async fn wait_for_agent_exit(&mut self, name: &str) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let succeeded = loop {
            if let Some(succeeded) = self.agent(name).exit_success() {
                break succeeded;
            }
            assert!(
                Instant::now() < deadline,
                "timed out waiting for the agent to exit\n{}",
                self.log_tail()
            );
            actix_rt::time::sleep(POLL_INTERVAL).await;
        };
        assert!(
            succeeded,
            "the agent exited with failure\n{}",
            self.log_tail()
        );
        self.boxes.get_mut(name).unwrap().agent = None;
    }

    /// Starts a box's agent.
    pub fn start_agent(&mut self, name: &str) {
        let agent = self.spawn_agent(name);
        self.boxes.get_mut(name).unwrap().agent = Some(agent);
    }

    /// Starts an agent process with a box's settings and returns it.
    pub fn spawn_agent(&self, name: &str) -> Process {
        let binary = env!("CARGO_BIN_EXE_gatepier-agent");
        let settings = &self.boxes[name].files.agent_settings;
        Process::start(binary, settings, &self.log_file)
    }

    /// Starts a box's router.
    pub fn start_router(&mut self, name: &str) {
        let router = self.spawn_router(name);
        self.boxes.get_mut(name).unwrap().router = Some(router);
    }

    /// Starts a router process with a box's settings and returns it.
    pub fn spawn_router(&self, name: &str) -> Process {
        let binary = env!("CARGO_BIN_EXE_gatepier-router");
        let settings = &self.boxes[name].files.router_settings;
        Process::start(binary, settings, &self.log_file)
    }

    /// Starts a second router on the addresses of a box, and returns it once it is ready to take
    /// over from the first.
    pub async fn start_successor(&self, name: &str) -> Process {
        const READY_LOG: &str = "\"text\":\"ready\"";
        let earlier = self.log_count(READY_LOG);
        let successor = self.spawn_router(name);
        self.wait_for("the successor is ready", async || {
            self.log_count(READY_LOG) > earlier
        })
        .await;
        successor
    }

    /// Returns a box's agent.
    pub fn agent(&mut self, name: &str) -> &mut Process {
        self.boxes.get_mut(name).unwrap().agent.as_mut().unwrap()
    }

    /// Returns a box's router.
    pub fn router(&mut self, name: &str) -> &mut Process {
        self.boxes.get_mut(name).unwrap().router.as_mut().unwrap()
    }

    /// Sets the faults that the store injects.
    pub fn set_store_faults(&self, faults: StoreFaults) {
        self.store.set_faults(faults);
    }
}

fn any_loopback_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn version(text: &str) -> VersionName {
    VersionName::parse(text).unwrap()
}

fn serve<S: server::StandIn>(stand_in: Arc<S>, workers: usize) -> SocketAddr {
    let listener = server::listen(any_loopback_port()).unwrap();
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
