//! Settings of the operators' command line.

use super::agent::read_operators;
use super::reader::Document;
use super::{folder_of, read_address, read_name, read_tls};
use crate::change::OperatorKeys;
use crate::error::Result;
use crate::wire::tls::TlsFiles;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// What the command line needs to know of a partner's fleet.
#[derive(Debug, Clone)]
pub struct OperatorSettings {
    /// The partner.
    pub partner: String,
    /// The platform's key-value service.
    pub store: SocketAddr,
    /// Agents to ask for status and explanations.
    pub agents: Vec<SocketAddr>,
    /// The operator's signing key.
    pub key: PathBuf,
    /// The certificate that agents accept.
    pub tls: TlsFiles,
    /// The operators whose signatures count.
    pub operators: OperatorKeys,
}

impl OperatorSettings {
    /// Reads and checks a settings file.
    pub fn load(file: &Path) -> Result<Self> {
        let document = Document::load(file)?;
        document.read(|root| {
            let partner = read_name(root, "partner");
            let store = read_address(root, "store");
            let agents =
                root.parsed_list("agents", super::ADDRESS_EXPECTED, |text| text.parse().ok());
            let key = root.text("key");
            let tls = read_tls(root, folder_of(file));
            let operators = read_operators(root);
            Some(Self {
                partner: partner?,
                store: store?,
                agents,
                key: folder_of(file).join(key?),
                tls: tls?,
                operators,
            })
        })
    }
}
