//! Checks the guarantees against the records of the stand-ins and the ledger.

use super::environment::{Environment, Partner};
use super::requests::{RequestKind, RequestRecord};
use crate::billing_ledger::read_ledger;
use crate::claim::Bill;
use crate::error::Result;
use crate::lab::model::RunRecord;
use crate::store::etcd::EtcdStore;
use std::collections::{BTreeMap, BTreeSet};

/// Checks one run of the demo.
pub struct GuaranteeChecker<'a> {
    environment: &'a Environment,
    sent: &'a [RequestRecord],
}

/// A guarantee and the number of its violations.
struct Guarantee {
    text: &'static str,
    violations: usize,
}

impl<'a> GuaranteeChecker<'a> {
    /// Returns a checker for the requests of one run.
    pub fn new(environment: &'a Environment, sent: &'a [RequestRecord]) -> Self {
        Self { environment, sent }
    }

    /// Waits for the bills, prints the tables and returns whether all guarantees hold.
    pub async fn report(&self) -> Result<bool> {
        let mut all_hold = true;
        for partner in &self.environment.partners {
            let sent: Vec<&RequestRecord> = self
                .sent
                .iter()
                .filter(|sent| sent.partner == partner.name())
                .collect();
            let ledger = self.wait_for_ledger(partner, &sent).await?;
            print_table(partner, &sent, &ledger);
            for guarantee in check_guarantees(partner, &sent, &ledger) {
                let label = if guarantee.violations == 0 {
                    "kept  "
                } else {
                    "BROKEN"
                };
                println!("  {label}  {}", guarantee.text);
                all_hold &= guarantee.violations == 0;
            }
            println!();
        }
        Ok(all_hold)
    }

    async fn wait_for_ledger(
        &self,
        partner: &Partner,
        sent: &[&RequestRecord],
    ) -> Result<BTreeMap<String, Bill>> {
        let store = EtcdStore::new(self.environment.store);
        let read = async || {
            let ledger = read_ledger(&store, partner.name())
                .await
                .unwrap_or_default();
            let by_id = ledger.into_iter().map(|(key, bill)| (key.request_id, bill));
            by_id.collect::<BTreeMap<_, _>>()
        };
        let has_all_bills = |ledger: &BTreeMap<String, Bill>| {
            sent.iter()
                .filter(|sent| is_billed(partner, sent))
                .all(|sent| ledger.contains_key(&sent.key))
        };
        // A missing bill is reported later as a violation, so the timeout is ignored here.
        let _ = super::wait_until("all bills are in the ledger", async || {
            has_all_bills(&read().await)
        })
        .await;
        Ok(read().await)
    }
}

/// Returns whether a request has to be billed.
fn is_billed(partner: &Partner, sent: &RequestRecord) -> bool {
    let is_model = matches!(sent.kind, RequestKind::Cascade | RequestKind::Stream);
    let is_billed_service = sent.kind == RequestKind::Claimed && partner.service == "portal-api";
    sent.status == 200 && (is_model || is_billed_service)
}

fn check_guarantees(
    partner: &Partner,
    sent: &[&RequestRecord],
    ledger: &BTreeMap<String, Bill>,
) -> Vec<Guarantee> {
    let model_runs: Vec<RunRecord> = partner
        .models
        .iter()
        .flat_map(|model| model.runs())
        .collect();
    let service_runs: Vec<RunRecord> = partner
        .services
        .iter()
        .flat_map(|service| service.runs())
        .collect();
    let ran: BTreeSet<&str> = model_runs
        .iter()
        .chain(&service_runs)
        .map(|run| run.request_id.as_str())
        .collect();
    let mut run_counts: BTreeMap<&str, usize> = BTreeMap::new();
    for run in &service_runs {
        *run_counts.entry(&run.request_id).or_default() += 1;
    }
    let withdrawn = partner.withdrawn.borrow();
    let after_withdrawal = |run: &&RunRecord| {
        withdrawn
            .iter()
            .any(|(version, at)| run.ran == version.to_string() && run.at > *at)
    };
    let billed = sent.iter().filter(|sent| is_billed(partner, sent));
    let answered = sent.iter().filter(|sent| sent.status == 200);
    let refused = sent.iter().filter(|sent| sent.outcome == "not-run");
    vec![
        Guarantee {
            text: "a withdrawn version receives no new work",
            violations: model_runs.iter().filter(after_withdrawal).count(),
        },
        Guarantee {
            text: "each request is billed once",
            violations: billed
                .filter(|sent| !ledger.contains_key(&sent.key))
                .count(),
        },
        Guarantee {
            text: "nothing is billed that did not run",
            violations: ledger
                .keys()
                .filter(|key| !ran.contains(key.as_str()))
                .count(),
        },
        Guarantee {
            text: "a caller gets the whole answer to its own request",
            violations: answered.filter(|sent| !sent.is_own_complete_answer).count(),
        },
        Guarantee {
            text: "a refusal that says \"not run\" is true",
            violations: refused
                .filter(|sent| ran.contains(sent.key.as_str()))
                .count(),
        },
        Guarantee {
            text: "a request that may not be repeated runs at most once",
            violations: run_counts.values().filter(|count| **count > 1).count(),
        },
    ]
}

fn print_table(partner: &Partner, sent: &[&RequestRecord], ledger: &BTreeMap<String, Bill>) {
    println!("\n{}", partner.name());
    println!(
        "  {:<18} {:<12} {:>6} {:>7} {:>7} {:>12}  RAN ON",
        "ORGANISATION", "KIND", "ASKED", "SERVED", "BILLED", "COST MICROS"
    );
    let mut rows: BTreeMap<(&str, RequestKind), Vec<&RequestRecord>> = BTreeMap::new();
    for sent in sent {
        rows.entry((&sent.organisation, sent.kind))
            .or_default()
            .push(sent);
    }
    for ((organisation, kind), sent) in rows {
        let served = sent.iter().filter(|sent| sent.status == 200).count();
        let keys: BTreeSet<&str> = sent.iter().map(|sent| sent.key.as_str()).collect();
        let bills: Vec<&Bill> = keys.iter().filter_map(|key| ledger.get(*key)).collect();
        let cost: u64 = bills.iter().map(|bill| bill.cost_micros).sum();
        let mut versions: BTreeMap<&str, usize> = BTreeMap::new();
        for sent in sent.iter().filter(|sent| !sent.version.is_empty()) {
            *versions.entry(&sent.version).or_default() += 1;
        }
        let versions: Vec<String> = versions
            .iter()
            .map(|(version, count)| format!("{version} x{count}"))
            .collect();
        println!(
            "  {organisation:<18} {:<12} {:>6} {served:>7} {:>7} {cost:>12}  {}",
            kind.name(),
            sent.len(),
            bills.len(),
            versions.join(", ")
        );
    }
}
