//! Simulated services and a load generator, for tests and measurements only.

use gatepier::daemon::wait_for_stop_signal;
use gatepier::error::Result;
use gatepier::lab::cli::{HELP, LabCommand, StandInKind};
use gatepier::lab::{load, model, platform, server, service, store};
use std::net::SocketAddr;

const WORKER_THREADS: usize = 1;

fn main() -> eyre::Result<()> {
    match LabCommand::from_env() {
        Ok(LabCommand::Help) => print!("{HELP}"),
        Ok(LabCommand::StandIn(kind, address)) => {
            actix_rt::System::new().block_on(run_stand_in(kind, address))?;
        }
        Ok(LabCommand::Load { plan, json }) => {
            let report = load::run(&plan)?;
            let output = if json {
                report.to_json().to_string()
            } else {
                report.to_text()
            };
            println!("{output}");
        }
        Err(err) => {
            eprintln!("{err}");
            std::process::exit(err.exit_code());
        }
    }
    Ok(())
}

async fn run_stand_in(kind: StandInKind, address: SocketAddr) -> Result<()> {
    let listener = server::listen(address)?;
    let handle = match kind {
        StandInKind::Store => {
            server::serve::<store::StoreStandIn>(listener, Default::default(), WORKER_THREADS)
        }
        StandInKind::Platform => {
            server::serve::<platform::PlatformStandIn>(listener, Default::default(), WORKER_THREADS)
        }
        StandInKind::Model => {
            server::serve::<model::ModelStandIn>(listener, Default::default(), WORKER_THREADS)
        }
        StandInKind::Service => {
            server::serve::<service::ServiceStandIn>(listener, Default::default(), WORKER_THREADS)
        }
    }?;
    wait_for_stop_signal().await;
    handle.stop(false).await;
    Ok(())
}
