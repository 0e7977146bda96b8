//! Errors on which an operator or a caller of the library can act.
//!
//! Binaries wrap these with `eyre`; [`Error::exit_code`] determines the exit code of the command
//! line. `docs/OPERATIONS.md` lists the exit codes.

use std::fmt;
use std::path::{Path, PathBuf};

/// Exit code of a command that succeeded.
pub const EXIT_DONE: i32 = 0;
/// Exit code of a command that failed and changed nothing.
pub const EXIT_FAILED: i32 = 1;
/// Exit code of a command with invalid input.
pub const EXIT_FAULTY_INPUT: i32 = 2;
/// Exit code of a command whose outcome is unknown because the store's answer was lost and the
/// change could not be read back.
pub const EXIT_OUTCOME_UNKNOWN: i32 = 3;

/// An error in a file with its position, so that all errors can be reported together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The file that contains the error.
    pub file: PathBuf,
    /// The one-based line number.
    pub line: usize,
    /// The one-based column in characters.
    pub column: usize,
    /// What is wrong and what is expected instead.
    pub message: String,
}

impl Finding {
    /// Creates a finding at a byte offset in a file's text.
    pub fn at(file: &Path, text: &str, offset: usize, message: String) -> Self {
        let before = text.get(..offset).unwrap_or(text);
        Self {
            file: file.to_owned(),
            line: before.matches('\n').count() + 1,
            column: before.rsplit('\n').next().unwrap_or("").chars().count() + 1,
            message,
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        write!(f, "{file}:{}:{}: {}", self.line, self.column, self.message)
    }
}

/// An error of the library, classified by what the reader of the message can do about it.
#[derive(Debug)]
pub enum Error {
    /// The file could not be read or written.
    File(PathBuf, std::io::Error),
    /// Files contain errors, each of which is reported with its position.
    Faulty(Vec<Finding>),
    /// A command line argument is invalid.
    Usage(String),
    /// The store, a peer or an upstream could not be reached; nothing was changed.
    Unreachable(String),
    /// A write may or may not have taken effect.
    OutcomeUnknown(String),
    /// The change was refused, for the given reason.
    Refused(String),
    /// A key, signature or certificate is invalid.
    Key(String),
}

impl Error {
    /// Returns the exit code of the command line for this error.
    pub fn exit_code(&self) -> i32 {
        match self {
            Self::Faulty(_) | Self::Usage(_) | Self::Key(_) => EXIT_FAULTY_INPUT,
            Self::OutcomeUnknown(_) => EXIT_OUTCOME_UNKNOWN,
            Self::File(..) | Self::Unreachable(_) | Self::Refused(_) => EXIT_FAILED,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path, err) => write!(f, "cannot use the file {}: {err}", path.display()),
            Self::Faulty(findings) => {
                let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
                write!(f, "{}", lines.join("\n"))
            }
            Self::Usage(message) => write!(f, "{message}; see --help"),
            Self::Unreachable(message) => write!(f, "{message}; nothing was changed, try again"),
            Self::OutcomeUnknown(message) => {
                write!(
                    f,
                    "{message}; the outcome is not known, see `gatepier audit`"
                )
            }
            Self::Refused(message) | Self::Key(message) => write!(f, "{message}"),
        }
    }
}

impl std::error::Error for Error {}

/// The result type of the library.
pub type Result<T> = std::result::Result<T, Error>;
