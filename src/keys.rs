//! Operators' keys and the fleet's certificates.
//!
//! Operators sign changes with ed25519 keys. The processes of one partner's
//! fleet know one another by certificates of the fleet's own authority. How both
//! are made, handed out and replaced stands in `docs/OPERATIONS.md`.

use crate::error::{Error, Result};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use ed25519_dalek::{Signature, Signer as _, SigningKey, VerifyingKey};
use rcgen::{BasicConstraints, CertificateParams, IsCa, KeyPair, KeyUsagePurpose};
use std::path::Path;

/// The name that every certificate of a fleet carries; peers check it in place of a host name.
pub const FLEET_SERVER_NAME: &str = "gatepier-fleet";

const KEY_BYTES: usize = 32;
const SIGNATURE_BYTES: usize = 64;

/// An operator's signing key.
#[derive(Debug, Clone)]
pub struct OperatorKey {
    /// The operator's name, as it stands in the audit trail.
    pub operator: String,
    key: SigningKey,
}

impl OperatorKey {
    /// Makes a new key from the machine's random numbers.
    pub fn generate(operator: &str) -> Self {
        let secret: [u8; KEY_BYTES] = rand::random();
        Self {
            operator: operator.to_owned(),
            key: SigningKey::from_bytes(&secret),
        }
    }

    /// Reads a key file, which holds the operator's name and the secret in base64.
    pub fn load(file: &Path) -> Result<Self> {
        let text =
            std::fs::read_to_string(file).map_err(|err| Error::File(file.to_owned(), err))?;
        Self::parse(&text).ok_or_else(|| {
            Error::Key(format!(
                "{} holds no operator key, see `gatepier keygen`",
                file.display()
            ))
        })
    }

    fn parse(text: &str) -> Option<Self> {
        let (operator, secret) = text.trim().split_once(' ')?;
        let secret: [u8; KEY_BYTES] = BASE64.decode(secret).ok()?.try_into().ok()?;
        Some(Self {
            operator: operator.to_owned(),
            key: SigningKey::from_bytes(&secret),
        })
    }

    /// Returns the text of a key file.
    pub fn to_file_text(&self) -> String {
        format!("{} {}\n", self.operator, BASE64.encode(self.key.to_bytes()))
    }

    /// Returns the public half, for the settings of daemons and operators.
    pub fn public(&self) -> PublicKey {
        PublicKey(self.key.verifying_key())
    }

    /// Signs a message and returns the signature in base64.
    pub fn sign(&self, message: &[u8]) -> String {
        BASE64.encode(self.key.sign(message).to_bytes())
    }
}

/// The public half of an operator's key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublicKey(VerifyingKey);

impl PublicKey {
    /// Reads a key from base64.
    pub fn parse(text: &str) -> Option<Self> {
        let bytes: [u8; KEY_BYTES] = BASE64.decode(text).ok()?.try_into().ok()?;
        VerifyingKey::from_bytes(&bytes).ok().map(Self)
    }

    /// Tells whether a signature in base64 is this key's over a message.
    pub fn verifies(&self, message: &[u8], signature: &str) -> bool {
        let bytes = BASE64.decode(signature).ok();
        let bytes: Option<[u8; SIGNATURE_BYTES]> = bytes.and_then(|bytes| bytes.try_into().ok());
        bytes.is_some_and(|bytes| {
            self.0
                .verify_strict(message, &Signature::from_bytes(&bytes))
                .is_ok()
        })
    }
}

impl std::fmt::Display for PublicKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", BASE64.encode(self.0.as_bytes()))
    }
}

/// Returns bytes in hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A fleet's certificate authority, which signs the certificates of its boxes.
#[derive(Debug)]
pub struct FleetAuthority {
    key: KeyPair,
    certificate_pem: String,
    issuer_params: CertificateParams,
}

/// A certificate with its key, both in PEM.
#[derive(Debug, Clone)]
pub struct FleetCertificate {
    /// The certificate.
    pub certificate_pem: String,
    /// Its private key.
    pub key_pem: String,
}

impl FleetAuthority {
    /// Makes a new authority.
    pub fn generate(partner: &str) -> Result<Self> {
        let key = KeyPair::generate().map_err(key_error)?;
        let params = authority_params(partner)?;
        let certificate_pem = params.self_signed(&key).map_err(key_error)?.pem();
        Ok(Self {
            key,
            certificate_pem,
            issuer_params: params,
        })
    }

    /// Reads an authority back from the key that [`Self::key_pem`] gave.
    pub fn from_pem(partner: &str, certificate_pem: &str, key_pem: &str) -> Result<Self> {
        let key = KeyPair::from_pem(key_pem).map_err(key_error)?;
        let issuer_params = authority_params(partner)?;
        Ok(Self {
            key,
            certificate_pem: certificate_pem.to_owned(),
            issuer_params,
        })
    }

    /// Returns the authority's certificate, which every box of the fleet trusts.
    pub fn certificate_pem(&self) -> &str {
        &self.certificate_pem
    }

    /// Returns the authority's private key, which no box needs.
    pub fn key_pem(&self) -> String {
        self.key.serialize_pem()
    }

    /// Issues a certificate for one box.
    pub fn issue(&self) -> Result<FleetCertificate> {
        let key = KeyPair::generate().map_err(key_error)?;
        let names = vec![FLEET_SERVER_NAME.to_owned()];
        let params = CertificateParams::new(names).map_err(key_error)?;
        let issuer = rcgen::Issuer::from_params(&self.issuer_params, &self.key);
        let certificate = params.signed_by(&key, &issuer).map_err(key_error)?;
        Ok(FleetCertificate {
            certificate_pem: certificate.pem(),
            key_pem: key.serialize_pem(),
        })
    }
}

fn authority_params(partner: &str) -> Result<CertificateParams> {
    let mut params = CertificateParams::new(Vec::new()).map_err(key_error)?;
    params
        .distinguished_name
        .push(rcgen::DnType::CommonName, format!("gatepier {partner}"));
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    Ok(params)
}

fn key_error(err: rcgen::Error) -> Error {
    Error::Key(format!("cannot make a certificate: {err}"))
}
