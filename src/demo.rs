//! The demo: the fleets of both partners in one process, on threads, with stand-ins for all
//! external systems.
//!
//! It runs the code of the daemons over real sockets, takes a bundle through proposal, roll-out and
//! withdrawal, and checks the guarantees against the records of the stand-ins.

mod environment;
mod guarantees;
mod requests;

use crate::cli::{Command, Options};
use crate::error::{Error, Result};
use crate::lab::proxy::LinkMode;
use crate::name::VersionName;
use environment::{Environment, Partner};
use guarantees::GuaranteeChecker;
use requests::{RequestRecord, send_mixed};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const REQUESTS_PER_ROUND: usize = 120;
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the demo and returns whether every guarantee held.
pub fn run(serve: bool) -> Result<bool> {
    actix_rt::System::new().block_on(run_demo(serve))
}

/// Prints a progress line with the time since the start.
fn print_progress(start: Instant, line: &str) {
    println!("{:>6.2}s  {line}", start.elapsed().as_secs_f64());
}

async fn run_demo(serve: bool) -> Result<bool> {
    let start = Instant::now();
    print_progress(
        start,
        "starting both partners: 4 boxes each in 2 halls, with stand-ins around them",
    );
    let environment = Environment::start().await?;
    for partner in &environment.partners {
        put_bundle_into_force(partner).await?;
        wait_until_ready(partner).await?;
        print_progress(
            start,
            &format!(
                "{}: bundle proposed, signed off and in force",
                partner.name()
            ),
        );
    }
    if serve {
        return serve_until_stopped(&environment, start).await;
    }
    let mut sent = Vec::new();
    sent.extend(send_round(&environment, start, "mixed requests").await);
    for partner in &environment.partners {
        roll_and_withdraw(partner, &environment, start, &mut sent).await?;
    }
    partition_and_restore(&environment, start, &mut sent).await?;
    let all_hold = GuaranteeChecker::new(&environment, &sent).report().await?;
    print_progress(
        start,
        if all_hold {
            "every promise was kept"
        } else {
            "A PROMISE WAS BROKEN"
        },
    );
    Ok(all_hold)
}

async fn send_round(environment: &Environment, start: Instant, what: &str) -> Vec<RequestRecord> {
    let mut sent = Vec::new();
    for partner in &environment.partners {
        sent.extend(send_mixed(partner, REQUESTS_PER_ROUND).await);
    }
    let answered = sent.iter().filter(|sent| sent.status == 200).count();
    print_progress(
        start,
        &format!("{what}: {answered} of {} answered", sent.len()),
    );
    sent
}

async fn operate(partner: &Partner, operator: usize, command: Command) -> Result<String> {
    let settings = partner.fleet.operators[operator].clone();
    crate::operate::run(&Options {
        settings,
        json: false,
        command,
    })
    .await
}

async fn put_bundle_into_force(partner: &Partner) -> Result<()> {
    operate(partner, 0, Command::Propose(partner.bundle.clone())).await?;
    operate(partner, 1, Command::Sign(partner.bundle.clone())).await?;
    Ok(())
}

async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) -> Result<()> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        if Instant::now() >= deadline {
            return Err(Error::Refused(format!("timed out waiting until {what}")));
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

async fn wait_until_ready(partner: &Partner) -> Result<()> {
    let client = crate::http_client::pooled_client();
    for found in &partner.fleet.boxes {
        let url = format!("http://{}/ready", found.router_metrics);
        wait_until(&format!("{} is ready", found.name), async || {
            client
                .get(&url)
                .send()
                .await
                .is_ok_and(|res| res.status().is_success())
        })
        .await?;
    }
    wait_until("claims are granted", async || {
        let probe = requests::send_claimed_probe(partner).await;
        probe.iter().all(|sent| sent.status == 200)
    })
    .await
}

/// Waits until every agent has a generation of the configuration.
async fn wait_until_in_force(partner: &Partner, generation: u64) -> Result<()> {
    wait_until("the change is in force", async || {
        let settings = partner.fleet.operators[0].clone();
        let options = Options {
            settings,
            json: true,
            command: Command::Status,
        };
        let Ok(text) = crate::operate::run(&options).await else {
            return false;
        };
        let statuses: Vec<serde_json::Value> = serde_json::from_str(&text).unwrap_or_default();
        !statuses.is_empty()
            && statuses
                .iter()
                .all(|status| status["generation"].as_u64() == Some(generation))
    })
    .await
}

async fn roll_and_withdraw(
    partner: &Partner,
    environment: &Environment,
    start: Instant,
    sent: &mut Vec<RequestRecord>,
) -> Result<()> {
    let version = &partner.second_version;
    operate(partner, 0, Command::Roll(version.clone(), 50)).await?;
    wait_until_in_force(partner, 3).await?;
    print_progress(
        start,
        &format!("{}: {version} rolled out to 50 %", partner.name()),
    );
    sent.extend(send_round(environment, start, "mixed requests").await);
    let began = Instant::now();
    operate(partner, 1, Command::Withdraw(version.clone())).await?;
    wait_until_in_force(partner, 4).await?;
    partner.record_withdrawal(version);
    let took = began.elapsed().as_millis();
    print_progress(
        start,
        &format!(
            "{}: {version} withdrawn, in force after {took} ms",
            partner.name()
        ),
    );
    sent.extend(send_round(environment, start, "mixed requests").await);
    Ok(())
}

async fn partition_and_restore(
    environment: &Environment,
    start: Instant,
    sent: &mut Vec<RequestRecord>,
) -> Result<()> {
    let partner = &environment.partners[0];
    let hall = &partner.fleet.boxes[0].hall;
    let links = [format!("store:{hall}"), format!("list:{hall}")];
    links
        .iter()
        .for_each(|link| environment.proxy.set(link, LinkMode::Stalled));
    print_progress(
        start,
        &format!("{}: hall {hall} is cut off from the store", partner.name()),
    );
    sent.extend(send_round(environment, start, "mixed requests").await);
    links
        .iter()
        .for_each(|link| environment.proxy.set(link, LinkMode::Open));
    print_progress(start, &format!("{}: hall {hall} is healed", partner.name()));
    Ok(())
}

/// Prints commands to try the system and serves until the process is signalled to stop.
async fn serve_until_stopped(environment: &Environment, start: Instant) -> Result<bool> {
    print_progress(start, "serving until interrupted; try:");
    for partner in &environment.partners {
        let router = partner.fleet.boxes[0].router;
        let settings: PathBuf = partner.fleet.operators[0].clone();
        let organisation = &partner.organisations[0];
        println!(
            "\ncurl -s http://{router}/v1/chat/completions -H 'Authorization: Bearer {organisation}-key' \\\n  \
             -d '{{\"model\": \"{}\", \"messages\": []}}' -i\n\
             curl -s -X POST http://{router}/{}/notes -H 'Authorization: Bearer {organisation}-key' \\\n  \
             -H 'Idempotency-Key: note-1' -d 'a note' -i\n\
             gatepier -s {} status",
            partner.cascade,
            partner.service,
            settings.display()
        );
    }
    crate::daemon::wait_for_stop_signal().await;
    Ok(true)
}

/// Parses a version name of the demo, which is known to be well-formed.
fn version(text: &str) -> VersionName {
    VersionName::parse(text).expect("the demo's versions are well-formed")
}
