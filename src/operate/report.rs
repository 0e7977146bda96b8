//! Reports on the fleet: agents, change log, ledger and decisions.

use super::Output;
use crate::billing_ledger::read_ledger;
use crate::change::SignedEntry;
use crate::change_log::ChangeLog;
use crate::decision_record::DecisionRecord;
use crate::error::{Error, Result};
use crate::settings::operator::OperatorSettings;
use crate::store::etcd::EtcdStore;
use crate::wire::client::WireClient;
use crate::wire::message::{AgentStatus, ControlRequest, ControlResponse};
use crate::wire::tls::FleetTls;
use futures::future::join_all;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The timeout of a call to an agent.
const AGENT_CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends a request to all agents and returns each one's address with its response or its error.
async fn call_all_agents(
    settings: &OperatorSettings,
    request: &ControlRequest,
) -> Result<Vec<(SocketAddr, std::result::Result<ControlResponse, String>)>> {
    let tls = FleetTls::load(&settings.tls)?;
    let call = |address: SocketAddr| {
        let tls = tls.clone();
        async move {
            let client = WireClient::new(address, tls);
            let response = client.call(request, AGENT_CALL_TIMEOUT).await;
            (address, response.map_err(|err| err.to_string()))
        }
    };
    Ok(join_all(settings.agents.iter().copied().map(call)).await)
}

pub(super) async fn status(settings: &OperatorSettings) -> Result<Output> {
    let responses = call_all_agents(settings, &ControlRequest::Status).await?;
    let mut lines = vec![format!(
        "{:<22} {:<14} {:>10} {:>12} {:>9} {:>4} {:>6} {:>7} {:>6}",
        "BOX", "HALL", "GENERATION", "BUNDLE", "STORE AGE", "HUB", "PEERS", "SHARDS", "BILLS"
    )];
    let mut values = Vec::new();
    let mut suspensions = BTreeMap::new();
    for (address, response) in responses {
        match response {
            Ok(ControlResponse::Status(status)) => {
                lines.push(status_line(&status));
                for suspension in &status.suspensions {
                    suspensions.insert(suspension.version.to_string(), suspension.reason.clone());
                }
                values.push(json!(*status));
            }
            Ok(_) => lines.push(format!("{address}: unexpected response")),
            Err(err) => {
                lines.push(format!("{address}: no response: {err}"));
                values.push(json!({ "address": address, "error": err }));
            }
        }
    }
    for (version, reason) in suspensions {
        lines.push(format!("suspended: {version}, {reason}"));
    }
    Ok(Output {
        lines,
        value: Value::from(values),
    })
}

fn status_line(status: &AgentStatus) -> String {
    const DIGEST_DIGITS: usize = 12;
    let bundle = status
        .bundle
        .as_deref()
        .map_or("none", |digest| &digest[..DIGEST_DIGITS]);
    let age = status
        .store_age_ms
        .map_or("never".to_owned(), |age| format!("{age} ms"));
    let (owned, granting) = status.shards;
    format!(
        "{:<22} {:<14} {:>10} {:>12} {:>9} {:>4} {:>6} {:>7} {:>6}",
        status.member.box_name,
        status.hall,
        status.generation.0,
        bundle,
        age,
        if status.is_hub { "yes" } else { "no" },
        status.peers_heard,
        format!("{granting}/{owned}"),
        status.bills_waiting,
    )
}

pub(super) async fn audit(settings: &OperatorSettings) -> Result<Output> {
    let store = EtcdStore::new(settings.store);
    let log = ChangeLog::new(&store, &settings.partner, &settings.operators);
    let entries = log.audit().await?;
    let mut lines = Vec::new();
    let mut values = Vec::new();
    for signed in &entries {
        let (line, value) = audit_line(settings, signed);
        lines.push(line);
        values.push(value);
    }
    Ok(Output {
        lines,
        value: Value::from(values),
    })
}

fn audit_line(settings: &OperatorSettings, signed: &SignedEntry) -> (String, Value) {
    let Ok(entry) = signed.parse_unverified() else {
        let line = "        NOT VALID: the entry cannot be read".to_owned();
        return (line, json!({ "valid": false }));
    };
    let verified = signed.verify(&settings.partner, &settings.operators);
    let validity = match &verified {
        Ok(_) => String::new(),
        Err(err) => format!("  NOT VALID: {err}"),
    };
    let line = format!(
        "{:>6}  {}  {:<12} {}{validity}",
        entry.generation.0, entry.at, entry.operator, entry.action
    );
    let value = json!({
        "generation": entry.generation,
        "at": entry.at.to_string(),
        "operator": entry.operator,
        "action": entry.action,
        "operation": entry.operation,
        "valid": verified.is_ok(),
    });
    (line, value)
}

pub(super) async fn ledger(settings: &OperatorSettings) -> Result<Output> {
    let store = EtcdStore::new(settings.store);
    let ledger = read_ledger(&store, &settings.partner)
        .await
        .map_err(|err| Error::Unreachable(err.to_string()))?;
    let mut totals: BTreeMap<(String, String), (u64, u64, u64)> = BTreeMap::new();
    for bill in ledger.values() {
        let key = (bill.key.organisation.clone(), bill.ran_on.clone());
        let (count, tokens, cost) = totals.entry(key).or_default();
        *count += 1;
        *tokens += bill.tokens;
        *cost += bill.cost_micros;
    }
    let mut lines = vec![format!(
        "{:<24} {:<28} {:>8} {:>10} {:>12}",
        "ORGANISATION", "RAN ON", "BILLS", "TOKENS", "COST MICROS"
    )];
    let mut values = Vec::new();
    for ((organisation, ran_on), (count, tokens, cost)) in totals {
        lines.push(format!(
            "{organisation:<24} {ran_on:<28} {count:>8} {tokens:>10} {cost:>12}"
        ));
        values.push(json!({
            "organisation": organisation,
            "ran_on": ran_on,
            "bills": count,
            "tokens": tokens,
            "cost_micros": cost,
        }));
    }
    Ok(Output {
        lines,
        value: Value::from(values),
    })
}

pub(super) async fn explain(settings: &OperatorSettings, id: &str) -> Result<Output> {
    let responses = call_all_agents(settings, &ControlRequest::Explain(id.to_owned())).await?;
    let mut records = Vec::new();
    let mut failed_agents = Vec::new();
    for (address, response) in responses {
        match response {
            Ok(ControlResponse::Explained(found)) => records.extend(found),
            Ok(_) => failed_agents.push(address.to_string()),
            Err(err) => failed_agents.push(format!("{address} ({err})")),
        }
    }
    if records.is_empty() {
        let failed_agents_note = if failed_agents.is_empty() {
            String::new()
        } else {
            format!("; no usable response from: {}", failed_agents.join(", "))
        };
        return Err(Error::Refused(format!(
            "no agent has a record of request `{id}`{failed_agents_note}"
        )));
    }
    records.sort_by_key(|record| record.at);
    let lines = records.iter().flat_map(explain_lines).collect();
    Ok(Output {
        lines,
        value: json!(records),
    })
}

fn explain_lines(record: &DecisionRecord) -> Vec<String> {
    let reason = record
        .reason
        .as_deref()
        .map_or(String::new(), |reason| format!(", {reason}"));
    let mut lines = vec![
        format!(
            "request {} of {} at {}",
            record.request_id, record.organisation, record.at
        ),
        format!(
            "  asked for {} on box {}, generation {}",
            record.asked_for, record.box_name, record.generation
        ),
    ];
    for (version, ruled_out) in &record.weighed {
        let verdict = ruled_out.as_deref().unwrap_or("chosen");
        lines.push(format!("  weighed   {version}: {verdict}"));
    }
    for (number, tried) in record.tries.iter().enumerate() {
        let (ran_on, upstream, result) = (&tried.ran_on, &tried.upstream, &tried.result);
        lines.push(format!(
            "  try {:<5} {ran_on} on {upstream}: {result}",
            number + 1
        ));
    }
    lines.push(format!(
        "  outcome   {}{reason}, status {}, {} ms",
        record.outcome, record.status, record.took_ms
    ));
    let billed = if record.billed {
        "billed"
    } else {
        "not billed"
    };
    lines.push(format!(
        "  cost      {} tokens, {} micros, {billed}",
        record.tokens, record.cost_micros
    ));
    lines
}
