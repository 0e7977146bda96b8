//! The agent: the control plane of one entry box.

use gatepier::agent::Agent;
use gatepier::daemon::{self, wait_for_stop_signal};
use gatepier::settings::agent::AgentSettings;

const HELP: &str = "\
gatepier-agent - applies changes and keeps claims and bills on one entry box

USAGE:
    gatepier-agent [--check-settings] <SETTINGS>

OPTIONS:
        --check-settings    Check the settings file, report all errors, and exit
    -h, --help              Print this help
    -V, --version           Print the version

ENVIRONMENT:
    GATEPIER_LOG            The log filter, such as `info` or `gatepier=debug` [default: info]
";

fn main() -> eyre::Result<()> {
    daemon::run_daemon("gatepier-agent", HELP, AgentSettings::load, |settings| {
        actix_rt::System::new().block_on(async {
            let agent = Agent::new(settings)?;
            agent.run(wait_for_stop_signal()).await
        })
    })
}
