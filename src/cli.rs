//! The operators' command line, turned at once into checked options.

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
    check <BUNDLE>...               Check bundle files and report all faults
    propose <BUNDLE>                Propose a bundle to the own partner's fleet
    sign <BUNDLE>                   Sign a proposed bundle off, which puts it into force
    roll <VERSION> <PERCENT>        Move a model's roll-out to a stage
    withdraw <VERSION>              Take a version out of service for good
    lift <VERSION>                  Lift a suspension that the exposure guard made
    status                          Show how the agents stand
    audit                           Show the change log
    ledger                          Show what was billed, by organisation
    explain <REQUEST-ID> [LOG]...   Show what was decided about a request: ask the agents, or
                                    read boxes' logs (`-` is standard input)
    keygen operator <NAME> <FILE>   Make an operator's signing key
    keygen fleet <PARTNER> <DIR>    Make a fleet's certificate authority
    keygen box <PARTNER> <NAME> <DIR>
                                    Issue a box's certificate from the authority in DIR
    keygen session                  Make a key for session tokens
    demo [--serve]                  Run both partners in one process, with stand-ins

OPTIONS:
    -s, --settings <FILE>   The operator's settings [default: operator.toml]
        --json              Print JSON for scripts
    -h, --help              Print this help
    -V, --version           Print the version

A VERSION is written model/version, such as inkmind-small/2026-11.

EXIT CODES:
    0  done
    1  failed, and nothing was changed
    2  faulty input
    3  the outcome is not known: the store's answer was lost and could not be read back
";

const DEFAULT_SETTINGS: &str = "operator.toml";
const MOST_PERCENT: u8 = 100;

/// The options of one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The operator's settings file.
    pub settings: PathBuf,
    /// Whether JSON is printed.
    pub json: bool,
    /// What is to be done.
    pub command: Command,
}

/// What the command line is asked to do.
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
    /// Sign a bundle off.
    Sign(PathBuf),
    /// Move a roll-out to a stage.
    Roll(VersionName, u8),
    /// Withdraw a version.
    Withdraw(VersionName),
    /// Lift a version's suspension.
    Lift(VersionName),
    /// Show how the agents stand.
    Status,
    /// Show the change log.
    Audit,
    /// Show what was billed.
    Ledger,
    /// Show what was decided about a request.
    Explain {
        /// The request's id.
        id: String,
        /// Logs of boxes; with none, the agents are asked.
        logs: Vec<PathBuf>,
    },
    /// Make keys or certificates.
    Keygen(Keygen),
    /// Run the demo, and stay up if asked to.
    Demo {
        /// Whether the demo stays up.
        serve: bool,
    },
}

/// What keys are to be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Keygen {
    /// An operator's signing key.
    Operator {
        /// The operator.
        name: String,
        /// The file that is written.
        file: PathBuf,
    },
    /// A fleet's certificate authority.
    Fleet {
        /// The partner.
        partner: String,
        /// The folder that is written to.
        folder: PathBuf,
    },
    /// A box's certificate.
    Box {
        /// The partner.
        partner: String,
        /// The box.
        name: String,
        /// The folder with the authority, which is written to.
        folder: PathBuf,
    },
    /// A key for session tokens.
    Session,
}

impl Options {
    /// Reads the process's arguments.
    pub fn from_env() -> Result<Self> {
        Self::parse(Arguments::from_env())
    }

    /// Reads arguments.
    pub fn parse(mut args: Arguments) -> Result<Self> {
        let json = args.contains("--json");
        let settings: Option<PathBuf> = args
            .opt_value_from_str(["-s", "--settings"])
            .map_err(usage)?;
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
    let Some(name) = args.subcommand().map_err(usage)? else {
        return Ok(Command::Help);
    };
    Ok(match name.as_str() {
        "check" => Command::Check(read_files(args)?),
        "propose" => Command::Propose(free(args, "BUNDLE")?.into()),
        "sign" => Command::Sign(free(args, "BUNDLE")?.into()),
        "roll" => Command::Roll(read_version(args)?, read_percent(args)?),
        "withdraw" => Command::Withdraw(read_version(args)?),
        "lift" => Command::Lift(read_version(args)?),
        "status" => Command::Status,
        "audit" => Command::Audit,
        "ledger" => Command::Ledger,
        "explain" => Command::Explain {
            id: free(args, "REQUEST-ID")?,
            logs: read_rest(args),
        },
        "keygen" => Command::Keygen(read_keygen(args)?),
        "demo" => Command::Demo {
            serve: args.contains("--serve"),
        },
        other => return Err(Error::Usage(format!("there is no command `{other}`"))),
    })
}

fn read_files(args: &mut Arguments) -> Result<Vec<PathBuf>> {
    let mut files = vec![PathBuf::from(free(args, "BUNDLE")?)];
    files.extend(read_rest(args));
    Ok(files)
}

/// Returns the files that are left on the command line, which may be none.
fn read_rest(args: &mut Arguments) -> Vec<PathBuf> {
    let next = || args.free_from_str::<PathBuf>().ok();
    std::iter::from_fn(next).collect()
}

fn read_keygen(args: &mut Arguments) -> Result<Keygen> {
    let kind = free(args, "operator, fleet, box or session")?;
    Ok(match kind.as_str() {
        "operator" => Keygen::Operator {
            name: read_name(args, "NAME")?,
            file: free(args, "FILE")?.into(),
        },
        "fleet" => Keygen::Fleet {
            partner: read_name(args, "PARTNER")?,
            folder: free(args, "DIR")?.into(),
        },
        "box" => Keygen::Box {
            partner: read_name(args, "PARTNER")?,
            name: read_name(args, "NAME")?,
            folder: free(args, "DIR")?.into(),
        },
        "session" => Keygen::Session,
        other => return Err(Error::Usage(format!("keygen makes no `{other}`"))),
    })
}

fn free(args: &mut Arguments, what: &str) -> Result<String> {
    args.free_from_str()
        .map_err(|_| Error::Usage(format!("the argument {what} is missing")))
}

fn read_name(args: &mut Arguments, what: &str) -> Result<String> {
    let name = free(args, what)?;
    if crate::name::is_plain_name(&name) {
        return Ok(name);
    }
    Err(Error::Usage(format!(
        "{what} may have letters, digits, `-`, `_` and `.` only"
    )))
}

fn read_version(args: &mut Arguments) -> Result<VersionName> {
    let text = free(args, "VERSION")?;
    VersionName::parse(&text)
        .ok_or_else(|| Error::Usage(format!("`{text}` is not of the form model/version")))
}

fn read_percent(args: &mut Arguments) -> Result<u8> {
    let text = free(args, "PERCENT")?;
    let percent = text.trim_end_matches('%').parse().ok();
    percent
        .filter(|percent| *percent <= MOST_PERCENT)
        .ok_or_else(|| Error::Usage(format!("`{text}` is not a percentage from 0 to 100")))
}

fn usage(err: pico_args::Error) -> Error {
    Error::Usage(err.to_string())
}
