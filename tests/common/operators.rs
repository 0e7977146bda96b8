//! Changes a fleet through the operators' command line and reads its status.

use super::{Bench, PARTNER};
use gatepier::lab::fleet::FleetBox;
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

impl Bench {
    /// Returns a client of a box's agent with the operators' certificate.
    pub fn agent_client(&self, name: &str) -> gatepier::wire::client::WireClient {
        let read = |file: &str| std::fs::read(self.fleet.folder.join(file)).unwrap();
        let tls = gatepier::wire::tls::FleetTls::from_pem(
            &read("authority.pem"),
            &read("operators.pem"),
            &read("operators.key"),
        );
        gatepier::wire::client::WireClient::new(self.boxes[name].files.agent, tls.unwrap())
    }

    /// Claims an idempotency key through an agent and returns whether the claim was granted.
    pub async fn claim_key(&self, agent: &gatepier::wire::client::WireClient, id: &str) -> bool {
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

    /// Returns the command lines of the two operators.
    pub fn operators(&self) -> Operators {
        Operators {
            settings: self.fleet.operators.clone(),
        }
    }

    /// Runs `gatepier` as one of the two operators.
    pub async fn operate(&self, operator: usize, args: &[&str]) -> Output {
        self.operators().operate(operator, args).await
    }

    /// Runs `gatepier`, asserts that it succeeds and returns its standard output.
    pub async fn operate_ok(&self, operator: usize, args: &[&str]) -> String {
        let output = self.operate(operator, args).await;
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(
            output.status.success(),
            "gatepier {args:?} failed: {stderr}"
        );
        String::from_utf8(output.stdout).unwrap()
    }

    /// Writes a bundle, proposes it as the first operator and signs it off as the second.
    pub async fn put_bundle_into_force(&self, text: &str) {
        std::fs::write(&self.bundle, text).unwrap();
        let file = self.bundle.to_str().unwrap();
        self.operate_ok(0, &["propose", file]).await;
        self.operate_ok(1, &["sign", file]).await;
    }

    /// Waits until every running router is ready and every claim shard grants claims.
    pub async fn wait_ready(&self) {
        for running in self
            .boxes
            .values()
            .filter(|running| running.router.is_some())
        {
            self.wait_router_ready(&running.files).await;
        }
        self.wait_for("every shard grants claims", async || {
            let shards = self.fleet_shards().await;
            shards.is_some_and(|(owned, granting, expected)| {
                owned == expected && granting == expected
            })
        })
        .await;
    }

    /// Waits until a router's readiness endpoint reports success.
    pub async fn wait_router_ready(&self, files: &FleetBox) {
        let url = format!("http://{}/ready", files.router_metrics);
        self.wait_for(&format!("{} is ready", files.name), async || {
            let sent = self.client.get(&url).send().await;
            sent.is_ok_and(|res| res.status().is_success())
        })
        .await;
    }

    /// Returns the number of owned shards, of shards that grant claims, and of expected shards.
    async fn fleet_shards(&self) -> Option<(u64, u64, u64)> {
        let statuses = self.statuses().await;
        let shards = |position: usize| -> u64 {
            statuses
                .iter()
                .filter_map(|status| status["shards"][position].as_u64())
                .sum()
        };
        let expected = self.platforms.len() as u64 * u64::from(gatepier::claim::SHARDS_PER_HALL);
        Some((shards(0), shards(1), expected))
    }

    /// Returns the status of all agents as reported by `gatepier status`.
    pub async fn statuses(&self) -> Vec<Value> {
        let output = self.operate_ok(0, &["--json", "status"]).await;
        let statuses: Value = serde_json::from_str(&output).unwrap();
        statuses.as_array().unwrap().clone()
    }

    /// Returns the status of one box's agent.
    pub async fn status_of(&self, name: &str) -> Option<Value> {
        self.statuses()
            .await
            .into_iter()
            .find(|status| status["member"]["box_name"] == name)
    }

    /// Returns the bills in the ledger by idempotency key.
    pub async fn ledger(&self) -> BTreeMap<String, gatepier::claim::Bill> {
        let store = gatepier::store::etcd::EtcdStore::new(self.store_address);
        let ledger = gatepier::billing_ledger::read_ledger(&store, PARTNER)
            .await
            .unwrap();
        ledger
            .into_iter()
            .map(|(key, bill)| (key.request_id, bill))
            .collect()
    }

    /// Waits until the agents of the named boxes have a generation or a newer one.
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

/// The command lines of the two operators.
pub struct Operators {
    settings: Vec<PathBuf>,
}

impl Operators {
    /// Runs `gatepier` as one of the two operators.
    pub async fn operate(&self, operator: usize, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_gatepier"));
        command
            .arg("--settings")
            .arg(&self.settings[operator])
            .args(args);
        // The stand-ins are served from this thread, so it must not block.
        actix_rt::task::spawn_blocking(move || command.output().unwrap())
            .await
            .unwrap()
    }
}
