//! Parses and validates the operators' command line.

use crate::error::{Error, Result};
use crate::name::VersionName;
use pico_args::Arguments;
use std::path::PathBuf;

/// The help text.
pub const HELP: &str = "\
gatepier - a model-aware router for versions and cascades

USAGE:
    gatepier [OPTIONS] <COMMAND>

COMMANDS:
    check <BUNDLE>...               Check bundle files and report all errors
    propose <BUNDLE>                Propose a bundle for your partner's fleet
    sign <BUNDLE>                   Approve a proposed bundle, which puts it into force
    roll <VERSION> <PERCENT>        Move a version's roll-out to a stage
    withdraw <VERSION>              Take a version out of service permanently
    lift <VERSION>                  Lift a suspension imposed by the exposure guard
    status                          Show the state of each agent
    audit                           Show the change log
    ledger                          Show the billed requests, by organisation
    explain <REQUEST-ID> [LOG]...   Show the decisions about a request, as recorded by the agents
                                    or in the given box logs (`-` is standard input)
    keygen operator <NAME> <FILE>   Generate an operator's signing key
    keygen fleet <PARTNER> <DIR>    Generate a fleet's certificate authority
    keygen box <PARTNER> <NAME> <DIR>
                                    Issue a box's certificate, signed by the authority in DIR
    keygen session                  Generate a key for session tokens
    demo [--serve]                  Run both partners' fleets in one process, with simulated
                                    services; --serve keeps them running

OPTIONS:
    -s, --settings <FILE>   The operator's settings [default: operator.toml]
        --json              Print JSON instead of text
    -h, --help              Print this help
    -V, --version           Print the version

A VERSION has the form model/version, such as inkmind-small/2026-11.

EXIT CODES:
    0  done
    1  failed, and nothing was changed
    2  faulty input or command line
    3  the outcome is not known: the store's answer was lost and could not be read back
";

const DEFAULT_SETTINGS: &str = "operator.toml";
const MAX_PERCENT: u8 = 100;

/// The parsed command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The operator's settings file.
    pub settings: PathBuf,
    /// Whether to print JSON instead of text.
    pub json: bool,
    /// The command to run.
    pub command: Command,
}

/// A command with its arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Check bundle files.
    Check(Vec<PathBuf>),
    /// Propose a bundle.
    Propose(PathBuf),
    /// Sign a proposed bundle, which puts it into force.
    Sign(PathBuf),
    /// Move a version's roll-out to a stage, in percent.
    Roll(VersionName, u8),
    /// Take a version out of service permanently.
    Withdraw(VersionName),
    /// Lift a suspension imposed by the exposure guard.
    Lift(VersionName),
    /// Show the state of each agent.
    Status,
    /// Show the change log.
    Audit,
    /// Show the billed requests.
    Ledger,
    /// Show the decisions about a request.
    Explain {
        /// The request's id.
        id: String,
        /// The box logs to read; if empty, the agents are queried instead.
        logs: Vec<PathBuf>,
    },
    /// Generate keys or certificates.
    Keygen(Keygen),
    /// Run the demo.
    Demo {
        /// Whether the demo keeps running after its checks.
        serve: bool,
    },
}

/// The kind of key or certificate to generate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Keygen {
    /// An operator's signing key.
    Operator {
        /// The operator's name.
        name: String,
        /// The key file to write.
        file: PathBuf,
    },
    /// A fleet's certificate authority.
    Fleet {
        /// The partner's name.
        partner: String,
        /// The folder to write the authority's files to.
        folder: PathBuf,
    },
    /// A box's certificate.
    Box {
        /// The partner's name.
        partner: String,
        /// The box's name.
        name: String,
        /// The folder that holds the authority's files; the certificate is written there too.
        folder: PathBuf,
    },
    /// A key for session tokens.
    Session,
}

impl Options {
    /// Parses the process's arguments.
    pub fn from_env() -> Result<Self> {
        Self::parse(Arguments::from_env())
    }

    /// Parses arguments.
    pub fn parse(mut args: Arguments) -> Result<Self> {
        let json = args.contains("--json");
        let settings: Option<PathBuf> = args
            .opt_value_from_str(["-s", "--settings"])
            .map_err(usage_error)?;
        let command = if args.contains(["-h", "--help"]) {
            Command::Help
        } else if args.contains(["-V", "--version"]) {
            Command::Version
        } else {
            read_command(&mut args)?
        };
        if let Some(extra) = args.finish().first() {
            return Err(Error::Usage(format!(
                "unexpected argument `{}`",
                extra.display()
            )));
        }
        let settings = settings.unwrap_or_else(|| DEFAULT_SETTINGS.into());
        Ok(Self {
            settings,
            json,
            command,
        })
    }
}

fn read_command(args: &mut Arguments) -> Result<Command> {
    let Some(name) = args.subcommand().map_err(usage_error)? else {
        return Ok(Command::Help);
    };
    Ok(match name.as_str() {
        "check" => Command::Check(read_files(args)?),
        "propose" => Command::Propose(read_required(args, "BUNDLE")?.into()),
        "sign" => Command::Sign(read_required(args, "BUNDLE")?.into()),
        "roll" => Command::Roll(read_version(args)?, read_percent(args)?),
        "withdraw" => Command::Withdraw(read_version(args)?),
        "lift" => Command::Lift(read_version(args)?),
        "status" => Command::Status,
        "audit" => Command::Audit,
        "ledger" => Command::Ledger,
        "explain" => Command::Explain {
            id: read_required(args, "REQUEST-ID")?,
            logs: read_remaining_files(args),
        },
        "keygen" => Command::Keygen(read_keygen(args)?),
        "demo" => Command::Demo {
            serve: args.contains("--serve"),
        },
        other => return Err(Error::Usage(format!("unknown command `{other}`"))),
    })
}

fn read_files(args: &mut Arguments) -> Result<Vec<PathBuf>> {
    let mut files = vec![PathBuf::from(read_required(args, "BUNDLE")?)];
    files.extend(read_remaining_files(args));
    Ok(files)
}

/// Returns the remaining arguments as files; there may be none.
fn read_remaining_files(args: &mut Arguments) -> Vec<PathBuf> {
    let next = || args.free_from_str::<PathBuf>().ok();
    std::iter::from_fn(next).collect()
}

fn read_keygen(args: &mut Arguments) -> Result<Keygen> {
    let kind = read_required(args, "operator, fleet, box or session")?;
    Ok(match kind.as_str() {
        "operator" => Keygen::Operator {
            name: read_name(args, "NAME")?,
            file: read_required(args, "FILE")?.into(),
        },
        "fleet" => Keygen::Fleet {
            partner: read_name(args, "PARTNER")?,
            folder: read_required(args, "DIR")?.into(),
        },
        "box" => Keygen::Box {
            partner: read_name(args, "PARTNER")?,
            name: read_name(args, "NAME")?,
            folder: read_required(args, "DIR")?.into(),
        },
        "session" => Keygen::Session,
        other => return Err(Error::Usage(format!("unknown kind of key `{other}`"))),
    })
}

fn read_required(args: &mut Arguments, placeholder: &str) -> Result<String> {
    args.free_from_str()
        .map_err(|_| Error::Usage(format!("the argument {placeholder} is missing")))
}

fn read_name(args: &mut Arguments, placeholder: &str) -> Result<String> {
    let name = read_required(args, placeholder)?;
    if crate::name::is_plain_name(&name) {
        return Ok(name);
    }
    Err(Error::Usage(format!(
        "{placeholder} may contain only letters, digits, `-`, `_` and `.`"
    )))
}

fn read_version(args: &mut Arguments) -> Result<VersionName> {
    let text = read_required(args, "VERSION")?;
    VersionName::parse(&text)
        .ok_or_else(|| Error::Usage(format!("`{text}` is not of the form model/version")))
}

fn read_percent(args: &mut Arguments) -> Result<u8> {
    let text = read_required(args, "PERCENT")?;
    let percent = text.trim_end_matches('%').parse().ok();
    percent
        .filter(|percent| *percent <= MAX_PERCENT)
        .ok_or_else(|| Error::Usage(format!("`{text}` is not a percentage from 0 to 100")))
}

fn usage_error(err: pico_args::Error) -> Error {
    Error::Usage(err.to_string())
}
