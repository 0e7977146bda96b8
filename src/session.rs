//! Session tokens, by which a session keeps its version on every box.
//!
//! The token travels with the caller, signed with a key that all boxes of a
//! partner share, so no box has to remember it and any box may be replaced. See
//! `docs/design/sessions.md`.

use crate::name::VersionName;
use base64::Engine as _;
use base64::engine::general_purpose::{STANDARD as BASE64, URL_SAFE_NO_PAD};
use hmac::{Hmac, Mac as _};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::collections::BTreeMap;

/// The request and response header that carries a session's token.
pub const SESSION_HEADER: &str = "gatepier-session";

const KEY_BYTES: usize = 32;
const TOKEN_BYTES_LIMIT: usize = 4096;

/// The key with which a partner's boxes sign session tokens.
#[derive(Clone, PartialEq, Eq)]
pub struct SessionKey([u8; KEY_BYTES]);

impl std::fmt::Debug for SessionKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SessionKey(..)")
    }
}

impl SessionKey {
    /// Reads a key from base64.
    pub fn parse(text: &str) -> Option<Self> {
        BASE64.decode(text).ok()?.try_into().ok().map(Self)
    }

    /// Makes a new key and returns it in base64.
    pub fn generate_base64() -> String {
        let key: [u8; KEY_BYTES] = rand::random();
        BASE64.encode(key)
    }

    fn mac(&self, message: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::new_from_slice(&self.0).expect("any length of key is accepted");
        mac.update(message);
        mac
    }
}

/// What a session's token says.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Session {
    /// The session's id.
    pub id: String,
    /// The organisation that the session belongs to.
    pub organisation: String,
    /// The version that the session keeps, by model.
    pub versions: BTreeMap<String, String>,
}

impl Session {
    /// Begins a session.
    pub fn begin(organisation: &str) -> Self {
        let id = uuid::Uuid::new_v4().simple().to_string();
        Self {
            id,
            organisation: organisation.to_owned(),
            versions: BTreeMap::new(),
        }
    }

    /// Reads a token and checks its signature and its organisation.
    pub fn from_token(token: &str, organisation: &str, key: &SessionKey) -> Option<Self> {
        if token.len() > TOKEN_BYTES_LIMIT {
            return None;
        }
        let (body, mac) = token.split_once('.')?;
        let body = URL_SAFE_NO_PAD.decode(body).ok()?;
        let mac = URL_SAFE_NO_PAD.decode(mac).ok()?;
        key.mac(&body).verify_slice(&mac).ok()?;
        let session: Self = serde_json::from_slice(&body).ok()?;
        (session.organisation == organisation).then_some(session)
    }

    /// Returns the session's token.
    pub fn to_token(&self, key: &SessionKey) -> String {
        let body = serde_json::to_vec(self).expect("a session has only plain fields");
        let mac = key.mac(&body).finalize().into_bytes();
        format!(
            "{}.{}",
            URL_SAFE_NO_PAD.encode(&body),
            URL_SAFE_NO_PAD.encode(mac)
        )
    }

    /// Returns the version that the session keeps of a model.
    pub fn pinned_version(&self, model: &str) -> Option<VersionName> {
        let version = self.versions.get(model)?;
        Some(VersionName {
            model: model.to_owned(),
            version: version.clone(),
        })
    }

    /// Records the version that serves the session from now on.
    pub fn pin_version(&mut self, version: &VersionName) {
        self.versions
            .insert(version.model.clone(), version.version.clone());
    }
}
