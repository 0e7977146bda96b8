//! Checks the promises from what the stand-ins and the ledger recorded.

use super::requests::{Kind, Sent};
use super::stage::{Partner, Stage};
use crate::billing_ledger::read_ledger;
use crate::claim::Bill;
use crate::error::Result;
use crate::lab::model::Run;
use crate::store::etcd::EtcdStore;
use std::collections::{BTreeMap, BTreeSet};

/// What is checked.
pub struct Checks<'a> {
    stage: &'a Stage,
    sent: &'a [Sent],
}

/// One promise, with how often it was broken.
struct Promise {
    text: &'static str,
    broken: usize,
}

impl<'a> Checks<'a> {
    /// Makes the checks of one run.
    pub fn new(stage: &'a Stage, sent: &'a [Sent]) -> Self {
        Self { stage, sent }
    }

    /// Waits for the bills, prints the tables, and tells whether all promises were kept.
    pub async fn report(&self) -> Result<bool> {
        let mut kept = true;
        for partner in &self.stage.partners {
            let sent: Vec<&Sent> = self
                .sent
                .iter()
                .filter(|sent| sent.partner == partner.name())
                .collect();
            let ledger = self.wait_for_ledger(partner, &sent).await?;
            print_table(partner, &sent, &ledger);
            for promise in promises(partner, &sent, &ledger) {
                let mark = if promise.broken == 0 {
                    "kept  "
                } else {
                    "BROKEN"
                };
                println!("  {mark}  {}", promise.text);
                kept &= promise.broken == 0;
            }
            println!();
        }
        Ok(kept)
    }

    async fn wait_for_ledger(
        &self,
        partner: &Partner,
        sent: &[&Sent],
    ) -> Result<BTreeMap<String, Bill>> {
        let store = EtcdStore::new(self.stage.store);
        let read = async || {
            let ledger = read_ledger(&store, partner.name())
                .await
                .unwrap_or_default();
            let by_id = ledger.into_iter().map(|(key, bill)| (key.request_id, bill));
            by_id.collect::<BTreeMap<_, _>>()
        };
        let awaited = |ledger: &BTreeMap<String, Bill>| {
            sent.iter()
                .filter(|sent| is_billed(partner, sent))
                .all(|sent| ledger.contains_key(&sent.key))
        };
        // A bill that stays away is reported as a broken promise below.
        let _ = super::wait_until("all bills are in the ledger", async || {
            awaited(&read().await)
        })
        .await;
        Ok(read().await)
    }
}

/// Tells whether a request has to be billed.
fn is_billed(partner: &Partner, sent: &Sent) -> bool {
    let is_model = matches!(sent.kind, Kind::Cascade | Kind::Stream);
    let is_billed_service = sent.kind == Kind::Claimed && partner.service == "portal-api";
    sent.status == 200 && (is_model || is_billed_service)
}

fn promises(partner: &Partner, sent: &[&Sent], ledger: &BTreeMap<String, Bill>) -> Vec<Promise> {
    let model_runs: Vec<Run> = partner
        .models
        .iter()
        .flat_map(|model| model.runs())
        .collect();
    let service_runs: Vec<Run> = partner
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
    let after_withdrawal = |run: &&Run| {
        withdrawn
            .iter()
            .any(|(version, at)| run.ran == version.to_string() && run.at > *at)
    };
    let billed = sent.iter().filter(|sent| is_billed(partner, sent));
    let answered = sent.iter().filter(|sent| sent.status == 200);
    let refused = sent.iter().filter(|sent| sent.outcome == "not-run");
    vec![
        Promise {
            text: "a withdrawn version receives no new work",
            broken: model_runs.iter().filter(after_withdrawal).count(),
        },
        Promise {
            text: "each request is billed once",
            broken: billed
                .filter(|sent| !ledger.contains_key(&sent.key))
                .count(),
        },
        Promise {
            text: "nothing is billed that did not run",
            broken: ledger
                .keys()
                .filter(|key| !ran.contains(key.as_str()))
                .count(),
        },
        Promise {
            text: "a caller gets the whole answer to its own request",
            broken: answered.filter(|sent| !sent.own_and_whole).count(),
        },
        Promise {
            text: "a refusal that says \"not run\" is true",
            broken: refused
                .filter(|sent| ran.contains(sent.key.as_str()))
                .count(),
        },
        Promise {
            text: "a request that may not be repeated runs at most once",
            broken: run_counts.values().filter(|count| **count > 1).count(),
        },
    ]
}

fn print_table(partner: &Partner, sent: &[&Sent], ledger: &BTreeMap<String, Bill>) {
    println!("\n{}", partner.name());
    println!(
        "  {:<18} {:<12} {:>6} {:>7} {:>7} {:>12}  RAN ON",
        "ORGANISATION", "KIND", "ASKED", "SERVED", "BILLED", "COST MICROS"
    );
    let mut rows: BTreeMap<(&str, Kind), Vec<&Sent>> = BTreeMap::new();
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
