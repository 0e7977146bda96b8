//! Session tokens, which keep a session on its versions on every box.
//!
//! The caller carries the token, signed with a key that all boxes of a partner share, so that no
//! box has to store it and any box can be replaced. See `docs/design/sessions.md`.

use crate::name::VersionName;
use base64::Engine as _;
use base64::engine::general_purpose::{STANDARD as BASE64, URL_SAFE_NO_PAD};
use hmac::{Hmac, Mac as _};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::collections::BTreeMap;

/// The request and response header that carries the session token.
pub const SESSION_HEADER: &str = "gatepier-session";

const KEY_BYTES: usize = 32;
const MAX_TOKEN_BYTES: usize = 4096;

/// Key with which a partner's boxes sign session tokens.
#[derive(Clone, PartialEq, Eq)]
pub struct SessionKey([u8; KEY_BYTES]);

impl std::fmt::Debug for SessionKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SessionKey(..)")
    }
}

impl SessionKey {
    /// Parses a key in base64.
    pub fn parse(text: &str) -> Option<Self> {
        BASE64.decode(text).ok()?.try_into().ok().map(Self)
    }

    /// Generates a random key and returns it in base64.
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

/// The content of a session token.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Session {
    /// The session's id.
    pub id: String,
    /// The organisation that the session belongs to.
    pub organisation: String,
    /// The pinned version of each model.
    pub versions: BTreeMap<String, String>,
}

impl Session {
    /// Begins a session of an organisation, with a random id.
    pub fn begin(organisation: &str) -> Self {
        let id = uuid::Uuid::new_v4().simple().to_string();
        Self {
            id,
            organisation: organisation.to_owned(),
            versions: BTreeMap::new(),
        }
    }

    /// Parses a token; returns none if its signature is invalid or its organisation is another one.
    pub fn from_token(token: &str, organisation: &str, key: &SessionKey) -> Option<Self> {
        if token.len() > MAX_TOKEN_BYTES {
            return None;
        }
        let (body, mac) = token.split_once('.')?;
        let body = URL_SAFE_NO_PAD.decode(body).ok()?;
        let mac = URL_SAFE_NO_PAD.decode(mac).ok()?;
        key.mac(&body).verify_slice(&mac).ok()?;
        let session: Self = serde_json::from_slice(&body).ok()?;
        (session.organisation == organisation).then_some(session)
    }

    /// Returns the signed token of the session.
    pub fn to_token(&self, key: &SessionKey) -> String {
        let body = serde_json::to_vec(self).expect("a session has only plain fields");
        let mac = key.mac(&body).finalize().into_bytes();
        format!(
            "{}.{}",
            URL_SAFE_NO_PAD.encode(&body),
            URL_SAFE_NO_PAD.encode(mac)
        )
    }

    /// Returns the version of a model to which the session is pinned.
    pub fn pinned_version(&self, model: &str) -> Option<VersionName> {
        let version = self.versions.get(model)?;
        Some(VersionName {
            model: model.to_owned(),
            version: version.clone(),
        })
    }

    /// Pins the session to a version.
    pub fn pin_version(&mut self, version: &VersionName) {
        self.versions
            .insert(version.model.clone(), version.version.clone());
    }
}
