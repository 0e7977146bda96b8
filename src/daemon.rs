//! Functions shared by the daemons: command line, logging, signals and listening sockets.

use crate::error::{Error, Result};
use flexi_logger::{LogSpecification, Logger, LoggerHandle, json_format};
use socket2::{Domain, Protocol, Socket, Type};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use tokio::signal::unix::{SignalKind, signal};

/// The environment variable with the log filter, such as `info` or `gatepier=debug`.
pub const LOG_VARIABLE: &str = "GATEPIER_LOG";

/// The maximum number of connections that wait to be accepted on one socket.
const LISTEN_BACKLOG_CONNECTIONS: i32 = 1024;

/// The options of a daemon's command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonOptions {
    /// The settings file.
    pub settings: PathBuf,
    /// Whether to check the settings and exit.
    pub check_only: bool,
}

/// The command that a daemon's command line selects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DaemonCommand {
    /// Run the daemon, or only check its settings.
    Run(DaemonOptions),
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
}

impl DaemonCommand {
    /// Parses the process's arguments.
    pub fn from_env() -> Result<Self> {
        let mut args = pico_args::Arguments::from_env();
        if args.contains(["-h", "--help"]) {
            return Ok(Self::Help);
        }
        if args.contains(["-V", "--version"]) {
            return Ok(Self::Version);
        }
        let check_only = args.contains("--check-settings");
        let settings: PathBuf = args
            .free_from_str()
            .map_err(|err| Error::Usage(err.to_string()))?;
        if let Some(extra) = args.finish().first() {
            return Err(Error::Usage(format!(
                "unexpected argument {}",
                extra.display()
            )));
        }
        Ok(Self::Run(DaemonOptions {
            settings,
            check_only,
        }))
    }
}

fn read_log_spec() -> Result<LogSpecification> {
    let text = std::env::var(LOG_VARIABLE).unwrap_or_else(|_| "info".to_owned());
    LogSpecification::parse(&text)
        .map_err(|err| Error::Usage(format!("{LOG_VARIABLE} is `{text}`: {err}")))
}

/// Starts logging JSON lines to standard error.
pub fn start_stderr_logging() -> Result<LoggerHandle> {
    Logger::with(read_log_spec()?)
        .format(json_format)
        .log_to_stderr()
        .start()
        .map_err(|err| Error::Usage(format!("cannot start logging: {err}")))
}

/// Waits for `SIGTERM` or `SIGINT`.
pub async fn wait_for_stop_signal() {
    let term = signal(SignalKind::terminate());
    let int = signal(SignalKind::interrupt());
    let (Ok(mut term), Ok(mut int)) = (term, int) else {
        log::error!("cannot install signal handlers; the process can only be killed");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

/// Runs a daemon: parses the command line, loads the settings, starts logging and calls `run`.
///
/// Errors in the command line or the settings end the process with their exit code.
pub fn run_daemon<S>(
    name: &str,
    help: &str,
    load: impl FnOnce(&std::path::Path) -> Result<S>,
    run: impl FnOnce(S) -> Result<()>,
) -> eyre::Result<()> {
    let options = match DaemonCommand::from_env() {
        Ok(DaemonCommand::Help) => {
            println!("{help}");
            return Ok(());
        }
        Ok(DaemonCommand::Version) => {
            println!("{name} {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        Ok(DaemonCommand::Run(options)) => options,
        Err(err) => exit_with(&err),
    };
    let settings = match load(&options.settings) {
        Ok(settings) => settings,
        Err(err) => exit_with(&err),
    };
    if options.check_only {
        println!("{}: no faults found", options.settings.display());
        return Ok(());
    }
    let _logs = start_stderr_logging()?;
    run(settings)?;
    Ok(())
}

fn exit_with(err: &Error) -> ! {
    eprintln!("{err}");
    std::process::exit(err.exit_code())
}

/// Listens with `SO_REUSEPORT`, so that a new process can take over from a running one on
/// the same address.
pub fn listen_reuse_port(address: SocketAddr) -> Result<TcpListener> {
    let error = |err| Error::Unreachable(format!("cannot listen on {address}: {err}"));
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )
    .map_err(error)?;
    socket.set_reuse_address(true).map_err(error)?;
    socket.set_reuse_port(true).map_err(error)?;
    socket.set_nonblocking(true).map_err(error)?;
    socket.bind(&address.into()).map_err(error)?;
    socket.listen(LISTEN_BACKLOG_CONNECTIONS).map_err(error)?;
    Ok(socket.into())
}

/// Starts logging JSON lines to standard output without ever blocking on its reader.
///
/// See [`crate::log_output`] for what happens when the reader is too slow.
pub fn start_stdout_logging() -> Result<LoggerHandle> {
    let writer = crate::log_output::BoundedLogWriter::start()
        .map_err(|err| Error::Usage(format!("cannot start logging: {err}")))?;
    Logger::with(read_log_spec()?)
        .log_to_writer(Box::new(writer))
        .start()
        .map_err(|err| Error::Usage(format!("cannot start logging: {err}")))
}
