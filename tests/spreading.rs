//! Distribution of a large configuration change between boxes with narrow links.
//!
//! Guards against fetches that never complete on a narrow link. A configuration of 4,200 routes (1
//! MB) takes 0.84 s on a link of 10 Mbit/s. A box used to discard a fetch from a hub that was not
//! complete after 0.8 s, whatever its size, and each response of a hub and a read of the whole
//! store started another fetch in parallel. Boxes with narrow links then received 1.0 to 1.2 MB/s
//! for nine seconds without ever applying the change, and still used the previous version more than
//! three seconds after the confirmation, where boxes with wide links had the change after one
//! second.
//!
//! Two boxes and a proxy that passes 1.25 MB/s reproduce it.

mod common;

use actix_rt::task::JoinHandle;
use futures::future::LocalBoxFuture;
use gatepier::clock::Now;
use gatepier::gateway::Gateway;
use gatepier::gateway::admit::routes::{CallerLimits, RouteTable};
use gatepier::gateway::attempt::headers::HeaderNames;
use gatepier::gateway::attempt::retries::RetryBound;
use gatepier::gateway::control::mirror::Changes;
use gatepier::gateway::control::store::{
    BoxEntry, ControlStore, Item, LimitRecord, Page, RecordWriteResult, RegisteredBox,
    RolloutRecord, Update, WatchResult,
};
use gatepier::gateway::control::store_sync::apply_changes;
use gatepier::gateway::peers::messages;
use gatepier::gateway::settings::{Bounds, GatewaySettings, UnverifiedKeyPolicy};
use gatepier::gateway::versions::exposure::ExposureBound;
use gatepier::lab::fleet::free_address;
use gatepier::lab::proxy::{LinkMode, Proxy};
use gatepier::metrics::Metrics;
use gatepier::store::{StoreError, StoreResult};
use googletest::prelude::*;
use std::cell::Cell;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, UdpSocket};

/// Rate of a link of 10 Mbit/s.
const NARROW_LINK_BYTES_PER_S: u64 = 1_250_000;
/// Time within which a confirmed change has to be in force.
const CONFIG_BOUND: Duration = Duration::from_secs(3);
/// Number of routes of a configuration of about 1 MB.
const LARGE_CONFIG_ROUTES: usize = 4200;
/// The time in milliseconds by which a slow box sends later: with a connection and a request, the
/// first byte of a fetch takes over half a second.
const SLOW_SENDER_DELAY_MS: u64 = 280;
const CONFIG_KEY: &str = "config";

/// A store that cannot be reached, so that boxes learn of changes only from each other.
#[derive(Debug)]
struct UnreachableStore;

fn unreachable<T>() -> LocalBoxFuture<'static, StoreResult<T>> {
    Box::pin(async { Err(StoreError::Unreachable("there is none".to_owned())) })
}

impl ControlStore for UnreachableStore {
    fn decode(&self, item: &Item) -> Option<Update> {
        if item.key != CONFIG_KEY {
            return None;
        }
        let text = String::from_utf8(item.value.clone()?).ok()?;
        let version = text.lines().next()?.parse().ok()?;
        let limits = CallerLimits::default();
        let table = RouteTable::new(version, Vec::new(), HashMap::new(), limits, None);
        Some(Update::Routes(Arc::new(table)))
    }

    fn read_hall<'a>(
        &'a self,
        _hall: &'a str,
    ) -> LocalBoxFuture<'a, StoreResult<Vec<RegisteredBox>>> {
        Box::pin(async { Err(StoreError::Unreachable("there is none".to_owned())) })
    }

    fn is_receiving_response(&self) -> bool {
        false
    }

    fn read_page<'a>(&'a self, _: Option<&'a str>) -> LocalBoxFuture<'a, StoreResult<Page>> {
        unreachable()
    }

    fn read_revision(&self) -> LocalBoxFuture<'_, StoreResult<u64>> {
        unreachable()
    }

    fn watch(&self, _: u64, _: Duration) -> LocalBoxFuture<'_, StoreResult<WatchResult>> {
        unreachable()
    }

    fn register<'a>(
        &'a self,
        _: &'a BoxEntry,
        _: Duration,
    ) -> LocalBoxFuture<'a, StoreResult<u64>> {
        unreachable()
    }

    fn renew(&self, _: u64) -> LocalBoxFuture<'_, StoreResult<bool>> {
        unreachable()
    }

    fn release(&self, _: u64) -> LocalBoxFuture<'_, StoreResult<()>> {
        unreachable()
    }

    fn write_rollout<'a>(
        &'a self,
        _: &'a RolloutRecord,
        _: u64,
    ) -> LocalBoxFuture<'a, StoreResult<RecordWriteResult>> {
        unreachable()
    }

    fn write_limit<'a>(
        &'a self,
        _: &'a LimitRecord,
        _: u64,
    ) -> LocalBoxFuture<'a, StoreResult<RecordWriteResult>> {
        unreachable()
    }
}

fn headers() -> HeaderNames {
    let name = http::HeaderName::from_static;
    HeaderNames {
        request_id: name("x-request-id"),
        deadline: name("x-deadline"),
        key: name("x-key"),
        organisation: name("x-organisation"),
        expect_instance: name("x-expect"),
        instance: name("x-instance"),
        not_executed: name("x-not-run"),
        signature: name("x-signature"),
        rate_limit: name("x-rate-limit"),
        rejection_limit: name("x-rejection-limit"),
        leaving: name("x-leaving"),
        load: name("x-load"),
        model: name("x-model"),
        prompt_parts: name("x-prompt"),
        session: name("x-session"),
        urgency: name("x-urgency"),
        fetch_from: name("x-fetch"),
        confidence: name("x-confidence"),
        last_event_id: name("last-event-id"),
        reserved: Vec::new(),
    }
}

fn settings(name: &str, peers: SocketAddr) -> GatewaySettings {
    GatewaySettings {
        name: name.to_owned(),
        hall: "ikeja".to_owned(),
        caller_addr: peers,
        readiness_addr: peers,
        peer_addr: peers,
        metrics_addr: peers,
        link_mbps: 10,
        memory_limit: None,
        descriptor_limit: None,
        expects_contention: false,
        is_first_start: false,
        bounds: Bounds {
            grace_period: Duration::from_secs(8),
            revocation_delay: Duration::from_secs(5),
            config_delay: CONFIG_BOUND,
            retries: RetryBound {
                ratio: 0.9,
                slack: 20.0,
                window: Duration::from_secs(10),
            },
            session_idle_limit: Duration::from_secs(5),
            unverified_key_policy: UnverifiedKeyPolicy::Refuse,
            exposure: ExposureBound {
                share: 0.15,
                slack: 30.0,
                rollback: Duration::from_secs(5),
            },
        },
    }
}

/// Starts a box without callers and without a store.
fn start_box(name: &str) -> (Rc<Gateway>, SocketAddr) {
    let (gw, address, _) = start_stoppable_box(name);
    (gw, address)
}

/// Starts the same box and returns also its task that communicates with other boxes.
fn start_stoppable_box(name: &str) -> (Rc<Gateway>, SocketAddr, JoinHandle<()>) {
    let address = free_address().unwrap();
    let metrics = Metrics::new().unwrap();
    let gw = Gateway::new(settings(name, address), headers(), &metrics, Now::read());
    let exchanging = gw.clone();
    let task = actix_rt::spawn(async move {
        messages::exchange(exchanging, Rc::new(UnreachableStore))
            .await
            .unwrap();
    });
    (gw, address, task)
}

/// Registers another box with its address at a box.
fn register_box(gw: &Gateway, name: &str, address: SocketAddr, registered: u64) {
    let entry = BoxEntry {
        name: name.to_owned(),
        hall: "ikeja".to_owned(),
        address,
        link_mbps: 10,
        registered,
    };
    gw.knowledge
        .borrow_mut()
        .apply(Update::Box(entry), Now::read());
}

/// Returns a configuration in the operators' format, with routes whose names are all different.
fn config(version: u64, routes: usize) -> Vec<u8> {
    let mut text = format!("{version}\n");
    let mut random = 0x9e37_79b9_7f4a_7c15_u64;
    for _ in 0..routes {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(99);
        let (name, host, path) = (random >> 30, (random >> 20) % 8, random >> 24);
        writeln!(text, r#"{{"Name":"r-{name:x}","Host":"host{host}.example","PathPrefix":"/{path:x}/","Kind":"idempotent","TimeoutMs":800,"SloMs":120,"Priority":2,"Service":"reader-api","Attempts":2,"Public":false,"Affinity":false,"StreamResume":false,"GapAimMs":0}}"#,).unwrap();
    }
    text.into_bytes()
}

/// Applies a configuration at a box as if it had just been read from the store.
fn apply_config(gw: &Gateway, revision: u64, value: Vec<u8>) {
    let item = Item {
        key: CONFIG_KEY.to_owned(),
        value: Some(value),
        revision,
        created: 1,
    };
    let changes = Changes {
        after: revision - 1,
        revision,
        is_snapshot: false,
        items: vec![item],
    };
    apply_changes(gw, &UnreachableStore, changes, "test");
    gw.knowledge.borrow_mut().confirm(Now::read().monotonic);
}

fn version(gw: &Gateway) -> u64 {
    let knowledge = gw.knowledge.borrow();
    knowledge.routes().map_or(0, |routes| routes.version)
}

/// Waits until a box has a version in force and returns how long it took, or none after the limit.
async fn wait_for_version(gw: &Gateway, wanted: u64, limit: Duration) -> Option<Duration> {
    let began = Instant::now();
    while version(gw) < wanted {
        if began.elapsed() > limit {
            return None;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    Some(began.elapsed())
}

/// Opens a narrow link to a box, for streams and for datagrams, at one address.
async fn narrow_link(proxy: &Proxy, target: SocketAddr) -> SocketAddr {
    let address = proxy.open("link", target).await.unwrap();
    proxy.set("link", LinkMode::Throttled(NARROW_LINK_BYTES_PER_S));
    pass_datagrams(address, target).await;
    address
}

/// Passes datagrams from an address to a box, and its answers back.
async fn pass_datagrams(address: SocketAddr, target: SocketAddr) {
    let near = UdpSocket::bind(address).await.unwrap();
    let far = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    far.connect(target).await.unwrap();
    actix_rt::spawn(async move {
        let (mut there, mut back) = (vec![0; 65_536], vec![0; 65_536]);
        let mut caller = None;
        loop {
            tokio::select! {
                Ok((count, from)) = near.recv_from(&mut there) => {
                    caller = Some(from);
                    let _ = far.send(&there[..count]).await;
                }
                Ok(count) = far.recv(&mut back) => {
                    if let Some(caller) = caller {
                        let _ = near.send_to(&back[..count], caller).await;
                    }
                }
                else => return,
            }
        }
    });
}

cases! {
    large_change_passes_a_narrow_link_within_the_bound => async {
        let (hub, hub_address) = start_box("hub");
        let (follower, _) = start_box("behind");
        let link = narrow_link(&Proxy::default(), hub_address).await;
        register_box(&follower, "hub", link, 1);
        register_box(&hub, "hub", hub_address, 1);
        apply_config(&hub, 10, config(1, 40));
        expect_that!(
            wait_for_version(&follower, 1, CONFIG_BOUND).await,
            some(lt(CONFIG_BOUND))
        );
        apply_config(&hub, 11, config(2, LARGE_CONFIG_ROUTES));
        expect_that!(
            wait_for_version(&follower, 2, CONFIG_BOUND).await,
            some(lt(CONFIG_BOUND))
        );
    };

    change_is_fetched_from_a_box_that_is_slow_to_send => async {
        // Guards against giving a sender up after a fixed time without a byte. A box that is short
        // of processor time takes longer to pack a change or to come to sending it; its receivers
        // turned to other boxes, which were as slow, and began anew with each of them.
        let (hub, hub_address) = start_box("hub");
        let (follower, _) = start_box("behind");
        let proxy = Proxy::default();
        let link = proxy.open("link", hub_address).await.unwrap();
        proxy.set("link", LinkMode::Delayed(SLOW_SENDER_DELAY_MS));
        pass_datagrams(link, hub_address).await;
        register_box(&follower, "hub", link, 1);
        register_box(&hub, "hub", hub_address, 1);
        apply_config(&hub, 10, config(1, 40));
        expect_that!(wait_for_version(&follower, 1, CONFIG_BOUND).await, some(anything()));
        apply_config(&hub, 11, config(2, LARGE_CONFIG_ROUTES));
        expect_that!(
            wait_for_version(&follower, 2, CONFIG_BOUND).await,
            some(lt(CONFIG_BOUND))
        );
    };

    lost_hub_is_replaced_by_the_other_hub_at_the_next_query => async {
        // Guards against choosing the hub only by the age of its last response: boxes then queried
        // a lost hub for 1.3 s more, and got each change late.
        let hubs = [start_stoppable_box("first"), start_stoppable_box("second")];
        let (follower, _) = start_box("behind");
        for (at, (hub, address, _)) in hubs.iter().enumerate() {
            register_box(&follower, &format!("hub-{at}"), *address, at as u64);
            apply_config(hub, 10, config(1, 40));
        }
        wait_for_version(&follower, 1, CONFIG_BOUND).await.unwrap();
        // The box continues to query the hub from which it got the version.
        let queried = usize::from(hubs[1].0.hubs.has_recent_pollers(Now::read()));
        hubs[queried].2.abort();
        apply_config(&hubs[1 - queried].0, 11, config(2, 40));
        expect_that!(
            wait_for_version(&follower, 2, CONFIG_BOUND).await,
            some(lt(Duration::from_millis(1000)))
        );
    };

    corrupt_data_is_not_applied_and_is_requested_at_a_bounded_rate => async {
        let (hub, hub_address) = start_box("hub");
        let (follower, _) = start_box("behind");
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let corrupting = listener.local_addr().unwrap();
        pass_datagrams(corrupting, hub_address).await;
        let fetches = Rc::new(Cell::new(0));
        let counted = fetches.clone();
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                counted.set(counted.get() + 1);
                let _ = stream.write_all(&[0x5a; 4096]).await;
            }
        });
        register_box(&follower, "hub", corrupting, 1);
        register_box(&hub, "hub", hub_address, 1);
        apply_config(&hub, 10, config(1, 40));
        wait_for_version(&follower, 1, CONFIG_BOUND).await.unwrap();
        apply_config(&hub, 11, config(2, LARGE_CONFIG_ROUTES));
        let waited = Duration::from_secs(2);
        expect_that!(wait_for_version(&follower, 2, waited).await, none());
        expect_that!(version(&follower), eq(1));
        // At most ten fetches a second, each after a new query to the hub.
        expect_that!(fetches.get(), all![ge(3), le(21)]);
    };
}
