//! The command line of `gatepier-lab`.

use super::load::LoadPlan;
use crate::error::{Error, Result};
use pico_args::Arguments;
use std::net::SocketAddr;
use std::time::Duration;

/// The help text.
pub const HELP: &str = "\
gatepier-lab - stand-ins and load for gatepier, for tests and measurements only

USAGE:
    gatepier-lab store <ADDRESS>        Run the stand-in of the key-value service
    gatepier-lab platform <ADDRESS>     Run the stand-ins of the live list and the rater
    gatepier-lab model <ADDRESS>        Run the stand-in of a model engine
    gatepier-lab service <ADDRESS>      Run the stand-in of a plain service
    gatepier-lab load <TARGET> [LOAD OPTIONS]
                                        Send an open-loop load and report latencies

LOAD OPTIONS:
        --path <PATH>           [default: /]
        --credential <TEXT>     The bearer credential
        --body <JSON>           Send POST with this body in place of GET
        --rate <N>              Requests a second [default: 100]
        --seconds <N>           [default: 5]
        --threads <N>           [default: 1]
        --json                  Report in JSON

OPTIONS:
    -h, --help                  Print this help
";

const DEFAULT_REQUESTS_PER_SECOND: f64 = 100.0;
const DEFAULT_DURATION_SECONDS: u64 = 5;

/// A parsed command line.
#[derive(Debug, Clone, PartialEq)]
pub enum LabCommand {
    /// Print the help text.
    Help,
    /// Run a stand-in on an address.
    StandIn(StandInKind, SocketAddr),
    /// Generate load.
    Load {
        /// What to send.
        plan: LoadPlan,
        /// Whether to print the report as JSON.
        json: bool,
    },
}

/// The kinds of stand-ins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandInKind {
    /// The key-value service.
    Store,
    /// The live list and the rater.
    Platform,
    /// A model engine.
    Model,
    /// A plain service.
    Service,
}

impl LabCommand {
    /// Parses the arguments of the process.
    pub fn from_env() -> Result<Self> {
        let mut args = Arguments::from_env();
        if args.contains(["-h", "--help"]) {
            return Ok(Self::Help);
        }
        let Some(name) = args.subcommand().map_err(usage_error)? else {
            return Ok(Self::Help);
        };
        let command = match name.as_str() {
            "store" => Self::StandIn(StandInKind::Store, read_address(&mut args)?),
            "platform" => Self::StandIn(StandInKind::Platform, read_address(&mut args)?),
            "model" => Self::StandIn(StandInKind::Model, read_address(&mut args)?),
            "service" => Self::StandIn(StandInKind::Service, read_address(&mut args)?),
            "load" => read_load(&mut args)?,
            other => return Err(Error::Usage(format!("unknown command `{other}`"))),
        };
        match args.finish().first() {
            Some(extra) => Err(Error::Usage(format!(
                "unexpected argument `{}`",
                extra.display()
            ))),
            None => Ok(command),
        }
    }
}

fn read_address(args: &mut Arguments) -> Result<SocketAddr> {
    args.free_from_str().map_err(usage_error)
}

fn read_load(args: &mut Arguments) -> Result<LabCommand> {
    let json = args.contains("--json");
    let path = args.opt_value_from_str("--path").map_err(usage_error)?;
    let credential = args
        .opt_value_from_str("--credential")
        .map_err(usage_error)?;
    let body: Option<String> = args.opt_value_from_str("--body").map_err(usage_error)?;
    let body = body.map(|body| serde_json::from_str(&body)).transpose();
    let body = body.map_err(|err| Error::Usage(format!("--body is not valid JSON: {err}")))?;
    let rate = args.opt_value_from_str("--rate").map_err(usage_error)?;
    let seconds = args.opt_value_from_str("--seconds").map_err(usage_error)?;
    let threads = args.opt_value_from_str("--threads").map_err(usage_error)?;
    let target = read_address(args)?;
    let plan = LoadPlan {
        target,
        path: path.unwrap_or_else(|| "/".to_owned()),
        credential,
        body,
        rate: rate.unwrap_or(DEFAULT_REQUESTS_PER_SECOND),
        duration: Duration::from_secs(seconds.unwrap_or(DEFAULT_DURATION_SECONDS)),
        threads: threads.unwrap_or(1),
    };
    Ok(LabCommand::Load { plan, json })
}

fn usage_error(err: pico_args::Error) -> Error {
    Error::Usage(err.to_string())
}
