//! The data path of one entry box.

use gatepier::daemon::{self, wait_for_stop_signal};
use gatepier::router;
use gatepier::settings::router::RouterSettings;

const HELP: &str = "\
gatepier-router - serves callers on one entry box

USAGE:
    gatepier-router [--check-settings] <SETTINGS>

OPTIONS:
        --check-settings    Check the settings file, report all faults, and end
    -h, --help              Print this help
    -V, --version           Print the version

ENVIRONMENT:
    GATEPIER_LOG            What is logged, such as `info` or `gatepier=debug`
";

fn main() -> eyre::Result<()> {
    daemon::main("gatepier-router", HELP, RouterSettings::load, |settings| {
        actix_rt::System::new().block_on(router::run(settings, wait_for_stop_signal()))
    })
}
