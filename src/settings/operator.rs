//! Settings of the operators' command-line tool.

use super::agent::read_operators;
use super::reader::Document;
use super::{parent_folder, read_address, read_name, read_tls};
use crate::change::OperatorKeys;
use crate::error::Result;
use crate::wire::tls::TlsFiles;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Settings that the command-line tool needs to operate a partner's fleet.
#[derive(Debug, Clone)]
pub struct OperatorSettings {
    /// The partner.
    pub partner: String,
    /// Address of the platform's key-value service.
    pub store: SocketAddr,
    /// Addresses of agents to query for status and decisions.
    pub agents: Vec<SocketAddr>,
    /// File with the operator's signing key.
    pub key: PathBuf,
    /// Files with a certificate that agents accept.
    pub tls: TlsFiles,
    /// Operators whose signatures are accepted.
    pub operators: OperatorKeys,
}

impl OperatorSettings {
    /// Reads and validates a settings file.
    pub fn load(file: &Path) -> Result<Self> {
        let document = Document::load(file)?;
        document.read(|root| {
            let partner = read_name(root, "partner");
            let store = read_address(root, "store");
            let agents =
                root.parsed_list("agents", super::ADDRESS_EXPECTED, |text| text.parse().ok());
            let key = root.string("key");
            let tls = read_tls(root, parent_folder(file));
            let operators = read_operators(root);
            Some(Self {
                partner: partner?,
                store: store?,
                agents,
                key: parent_folder(file).join(key?),
                tls: tls?,
                operators,
            })
        })
    }
}
