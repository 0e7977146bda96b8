//! The router: the data plane of one entry box.

use gatepier::daemon::{self, wait_for_stop_signal};
use gatepier::router;
use gatepier::settings::router::RouterSettings;

const HELP: &str = "\
gatepier-router - serves callers' requests on one entry box

USAGE:
    gatepier-router [--check-settings] <SETTINGS>

OPTIONS:
        --check-settings    Check the settings file, report all errors, and exit
    -h, --help              Print this help
    -V, --version           Print the version

ENVIRONMENT:
    GATEPIER_LOG            The log filter, such as `info` or `gatepier=debug` [default: info]
";

fn main() -> eyre::Result<()> {
    daemon::run_daemon("gatepier-router", HELP, RouterSettings::load, |settings| {
        actix_rt::System::new().block_on(router::run(settings, wait_for_stop_signal()))
    })
}
