//! Names of models and versions.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The full name of a model's version, written `model/version`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct VersionName {
    /// The model's name, such as `inkmind-small`.
    pub model: String,
    /// The version's name within the model, such as `2026-11`.
    pub version: String,
}

impl VersionName {
    /// Parses a name of the form `model/version`.
    pub fn parse(text: &str) -> Option<Self> {
        let (model, version) = text.split_once('/')?;
        (is_plain_name(model) && is_plain_name(version)).then(|| Self {
            model: model.to_owned(),
            version: version.to_owned(),
        })
    }
}

impl TryFrom<String> for VersionName {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        Self::parse(&text).ok_or_else(|| format!("`{text}` is not of the form model/version"))
    }
}

impl From<VersionName> for String {
    fn from(name: VersionName) -> Self {
        name.to_string()
    }
}

impl fmt::Display for VersionName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.model, self.version)
    }
}

/// Returns whether a name can be used unescaped in store keys, headers and metrics.
pub fn is_plain_name(text: &str) -> bool {
    const MAX_NAME_BYTES: usize = 64;
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_plain)
}
