//! The demo: both partners in one process, on threads, with stand-ins around them.
//!
//! It drives the same code as the daemons over real sockets, goes through a bundle's
//! life, and checks the promises from what the stand-ins recorded.

mod checks;
mod requests;
mod stage;

use crate::cli::{Command, Options};
use crate::error::{Error, Result};
use crate::lab::proxy::LinkMode;
use crate::name::VersionName;
use checks::Checks;
use requests::{Sent, send_mixed};
use stage::{Partner, Stage};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const REQUESTS_PER_ROUND: usize = 120;
const PATIENCE: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(20);

/// Runs the demo and tells whether every promise was kept.
pub fn run(serve: bool) -> Result<bool> {
    actix_rt::System::new().block_on(run_stages(serve))
}

/// Prints a line of progress with the time since the start.
fn progress(start: Instant, line: &str) {
    println!("{:>6.2}s  {line}", start.elapsed().as_secs_f64());
}

async fn run_stages(serve: bool) -> Result<bool> {
    let start = Instant::now();
    progress(
        start,
        "starting both partners: 4 boxes each in 2 halls, with stand-ins around them",
    );
    let stage = Stage::start().await?;
    for partner in &stage.partners {
        put_bundle_into_force(partner).await?;
        wait_until_ready(partner).await?;
        progress(
            start,
            &format!(
                "{}: bundle proposed, signed off and in force",
                partner.name()
            ),
        );
    }
    if serve {
        return serve_on(&stage, start).await;
    }
    let mut sent = Vec::new();
    sent.extend(round(&stage, start, "mixed requests").await);
    for partner in &stage.partners {
        roll_and_withdraw(partner, &stage, start, &mut sent).await?;
    }
    cut_and_heal(&stage, start, &mut sent).await?;
    let kept = Checks::new(&stage, &sent).report().await?;
    progress(
        start,
        if kept {
            "every promise was kept"
        } else {
            "A PROMISE WAS BROKEN"
        },
    );
    Ok(kept)
}

async fn round(stage: &Stage, start: Instant, what: &str) -> Vec<Sent> {
    let mut sent = Vec::new();
    for partner in &stage.partners {
        sent.extend(send_mixed(partner, REQUESTS_PER_ROUND).await);
    }
    let answered = sent.iter().filter(|sent| sent.status == 200).count();
    progress(
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
    let deadline = Instant::now() + PATIENCE;
    while !holds().await {
        if Instant::now() >= deadline {
            return Err(Error::Refused(format!("in vain waited until {what}")));
        }
        sleep(POLL).await;
    }
    Ok(())
}

async fn wait_until_ready(partner: &Partner) -> Result<()> {
    let client = crate::http_client::reusing_client();
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

/// Waits until every agent has the newest generation.
async fn wait_in_force(partner: &Partner, generation: u64) -> Result<()> {
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
    stage: &Stage,
    start: Instant,
    sent: &mut Vec<Sent>,
) -> Result<()> {
    let version = &partner.second_version;
    operate(partner, 0, Command::Roll(version.clone(), 50)).await?;
    wait_in_force(partner, 3).await?;
    progress(
        start,
        &format!("{}: {version} rolled out to 50 %", partner.name()),
    );
    sent.extend(round(stage, start, "mixed requests").await);
    let began = Instant::now();
    operate(partner, 1, Command::Withdraw(version.clone())).await?;
    wait_in_force(partner, 4).await?;
    partner.note_withdrawal(version);
    let took = began.elapsed().as_millis();
    progress(
        start,
        &format!(
            "{}: {version} withdrawn, in force after {took} ms",
            partner.name()
        ),
    );
    sent.extend(round(stage, start, "mixed requests").await);
    Ok(())
}

async fn cut_and_heal(stage: &Stage, start: Instant, sent: &mut Vec<Sent>) -> Result<()> {
    let partner = &stage.partners[0];
    let hall = &partner.fleet.boxes[0].hall;
    let links = [format!("store:{hall}"), format!("list:{hall}")];
    links
        .iter()
        .for_each(|link| stage.proxy.set(link, LinkMode::Stalled));
    progress(
        start,
        &format!("{}: hall {hall} is cut off from the store", partner.name()),
    );
    sent.extend(round(stage, start, "mixed requests").await);
    links
        .iter()
        .for_each(|link| stage.proxy.set(link, LinkMode::Open));
    progress(start, &format!("{}: hall {hall} is healed", partner.name()));
    Ok(())
}

/// Stays up and shows how to try the system by hand.
async fn serve_on(stage: &Stage, start: Instant) -> Result<bool> {
    progress(start, "serving until interrupted; try:");
    for partner in &stage.partners {
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
    crate::daemon::wait_for_stop().await;
    Ok(true)
}

/// Returns a version's name, which is known to be well-formed.
fn version(text: &str) -> VersionName {
    VersionName::parse(text).expect("the demo's versions are well-formed")
}
