//! The control path of one entry box.

use gatepier::agent::Agent;
use gatepier::daemon::{self, wait_for_stop_signal};
use gatepier::settings::agent::AgentSettings;

const HELP: &str = "\
gatepier-agent - follows changes, keeps claims and bills on one entry box

USAGE:
    gatepier-agent [--check-settings] <SETTINGS>

OPTIONS:
        --check-settings    Check the settings file, report all faults, and end
    -h, --help              Print this help
    -V, --version           Print the version

ENVIRONMENT:
    GATEPIER_LOG            What is logged, such as `info` or `gatepier=debug`
";

fn main() -> eyre::Result<()> {
    daemon::main("gatepier-agent", HELP, AgentSettings::load, |settings| {
        actix_rt::System::new().block_on(async {
            let agent = Agent::new(settings)?;
            agent.run(wait_for_stop_signal()).await
        })
    })
}
