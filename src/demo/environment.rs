//! Starts the demo's agents and routers as threads, and the stand-ins for external systems.

use crate::agent::Agent;
use crate::box_list::{AGENT_SERVICE, ListedBox};
use crate::clock::{Now, WallTime};
use crate::error::{Error, Result};
use crate::lab::fleet::{Fleet, FleetBox, FleetPlan, PlatformAddresses};
use crate::lab::model::{ModelBehaviour, ModelStandIn};
use crate::lab::platform::{ListChange, PlatformStandIn};
use crate::lab::proxy::Proxy;
use crate::lab::server;
use crate::lab::service::ServiceStandIn;
use crate::lab::store::StoreStandIn;
use crate::name::VersionName;
use crate::settings::agent::AgentSettings;
use crate::settings::router::RouterSettings;
use std::cell::RefCell;
use std::future::pending;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

const BOXES_PER_HALL: usize = 2;
const MODELS_PER_HALL: usize = 2;
/// The fraction of good answers of the cheaper versions; bad ones make cascades escalate.
const CHEAP_VERSION_QUALITY: f64 = 0.9;

/// The parameters of one partner's fleet.
struct PartnerScenario {
    name: &'static str,
    bundle: &'static str,
    halls: [&'static str; 2],
    organisations: [&'static str; 2],
    versions: [&'static str; 3],
    cascade: &'static str,
    service: &'static str,
}

const PARTNER_SCENARIOS: [PartnerScenario; 2] = [
    PartnerScenario {
        name: "panelwave",
        bundle: include_str!("../../examples/panelwave/bundle.toml"),
        halls: ["lagos-ikeja", "lagos-lekki"],
        organisations: ["lagos-comics", "naija-tales"],
        versions: [
            "inkmind-small/2026-10",
            "inkmind-small/2026-12",
            "inkmind-large/2026-09",
        ],
        cascade: "caption",
        service: "reader-api",
    },
    PartnerScenario {
        name: "tsion",
        bundle: include_str!("../../examples/tsion/bundle.toml"),
        halls: ["bole", "kazanchis"],
        organisations: ["addis-university", "jimma-college"],
        versions: [
            "similarity-base/7",
            "similarity-base/8",
            "similarity-deep/4",
        ],
        cascade: "report",
        service: "portal-api",
    },
];

/// One partner's fleet and upstreams.
pub struct Partner {
    /// The fleet.
    pub fleet: Fleet,
    /// The path of the bundle file.
    pub bundle: PathBuf,
    /// Two of the partner's organisations.
    pub organisations: Vec<String>,
    /// The version that the demo rolls out and withdraws.
    pub second_version: VersionName,
    /// A cascade with an inline gate.
    pub cascade: String,
    /// The plain service.
    pub service: String,
    /// The model upstreams.
    pub models: Vec<Arc<ModelStandIn>>,
    /// The plain service's upstreams.
    pub services: Vec<Arc<ServiceStandIn>>,
    /// The versions withdrawn so far, and when each withdrawal was in force on all boxes.
    pub withdrawn: RefCell<Vec<(VersionName, WallTime)>>,
}

impl Partner {
    /// Returns the partner's name.
    pub fn name(&self) -> &str {
        &self.fleet.partner
    }

    /// Records that a withdrawal is now in force on all boxes.
    pub fn record_withdrawal(&self, version: &VersionName) {
        self.withdrawn
            .borrow_mut()
            .push((version.clone(), Now::read().wall));
    }
}

/// All fleets, stand-ins and files of the demo.
pub struct Environment {
    /// The partners.
    pub partners: Vec<Partner>,
    /// The proxy between the boxes and the platform stand-ins.
    pub proxy: Proxy,
    /// The store's address.
    pub store: SocketAddr,
    folder: PathBuf,
}

impl Drop for Environment {
    /// Removes the demo's keys and settings. Errors are ignored, since the files are in the system's
    /// temporary directory.
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Environment {
    /// Starts the stand-ins and the fleets of all partners.
    pub async fn start() -> Result<Self> {
        let store = serve(Arc::new(StoreStandIn::default()))?;
        let proxy = Proxy::default();
        let folder = std::env::temp_dir().join(format!("gatepier-demo-{}", std::process::id()));
        let mut partners = Vec::new();
        for scenario in &PARTNER_SCENARIOS {
            partners.push(start_partner(scenario, &folder, store, &proxy).await?);
        }
        Ok(Self {
            partners,
            proxy,
            store,
            folder,
        })
    }
}

fn serve<S: server::StandIn>(stand_in: Arc<S>) -> Result<SocketAddr> {
    let listener = server::listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = listener
        .local_addr()
        .map_err(|err| Error::Unreachable(format!("cannot read the listen address: {err}")))?;
    drop(server::serve(listener, stand_in, 1)?);
    Ok(address)
}

async fn start_partner(
    scenario: &PartnerScenario,
    folder: &Path,
    store: SocketAddr,
    proxy: &Proxy,
) -> Result<Partner> {
    let folder = folder.join(scenario.name);
    let plan = FleetPlan {
        partner: scenario.name.to_owned(),
        halls: scenario
            .halls
            .iter()
            .map(|hall| ((*hall).to_owned(), BOXES_PER_HALL))
            .collect(),
        organisations: scenario
            .organisations
            .iter()
            .map(ToString::to_string)
            .collect(),
        router_extra: "workers = 1\n".to_owned(),
        agent_extra: String::new(),
    };
    let mut fleet = Fleet::write(&plan, &folder, store)?;
    let bundle = folder.join("bundle.toml");
    std::fs::write(&bundle, scenario.bundle).map_err(|err| Error::File(bundle.clone(), err))?;
    let platform = Arc::new(PlatformStandIn::default());
    let platform_address = serve(platform.clone())?;
    let mut models = Vec::new();
    let mut services = Vec::new();
    for hall in scenario.halls {
        for number in 1..=BOXES_PER_HALL {
            let name = format!("{hall}-{number}");
            let link =
                async |kind: &str, target| proxy.open(&format!("{kind}:{name}"), target).await;
            let addresses = PlatformAddresses {
                store: link("store", store).await?,
                list: link("list", platform_address).await?,
                rater: platform_address,
            };
            let added = fleet.add_box(&name, hall, addresses)?;
            list_upstream(&platform, &name, AGENT_SERVICE, hall, added.agent, &[]);
            start_box(&added)?;
        }
        for number in 1..=MODELS_PER_HALL {
            let stand_in = Arc::new(ModelStandIn::default());
            for version in &scenario.versions[..2] {
                stand_in.set_behaviour(
                    version,
                    ModelBehaviour {
                        quality: CHEAP_VERSION_QUALITY,
                        ..ModelBehaviour::default()
                    },
                );
            }
            let address = serve(stand_in.clone())?;
            let name = format!("{hall}-model-{number}");
            list_upstream(&platform, &name, "model", hall, address, &scenario.versions);
            models.push(stand_in);
        }
        let stand_in = Arc::new(ServiceStandIn::default());
        let address = serve(stand_in.clone())?;
        list_upstream(
            &platform,
            &format!("{hall}-service"),
            scenario.service,
            hall,
            address,
            &[],
        );
        services.push(stand_in);
    }
    fleet.write_operators(store)?;
    Ok(Partner {
        fleet,
        bundle,
        organisations: plan.organisations,
        second_version: super::version(scenario.versions[1]),
        cascade: scenario.cascade.to_owned(),
        service: scenario.service.to_owned(),
        models,
        services,
        withdrawn: RefCell::default(),
    })
}

fn list_upstream(
    platform: &PlatformStandIn,
    name: &str,
    service: &str,
    hall: &str,
    address: SocketAddr,
    versions: &[&str],
) {
    let versions = versions.iter().map(|text| super::version(text));
    let listed = ListedBox::live(name, service, hall, address, versions);
    platform.change(ListChange::Put(vec![listed]));
}

/// Runs a box's agent and router on new threads, which run until the process exits.
fn start_box(files: &FleetBox) -> Result<()> {
    let agent = AgentSettings::load(&files.agent_settings)?;
    let router = RouterSettings::load(&files.router_settings)?;
    std::thread::spawn(move || {
        let result =
            actix_rt::System::new().block_on(async { Agent::new(agent)?.run(pending()).await });
        report_exit("agent", result);
    });
    std::thread::spawn(move || {
        let result = actix_rt::System::new().block_on(crate::router::run(router, pending()));
        report_exit("router", result);
    });
    Ok(())
}

fn report_exit(what: &str, result: Result<()>) {
    if let Err(err) = result {
        eprintln!("{what} exited with an error: {err}");
    }
}
