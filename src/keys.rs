//! Operators' signing keys and the fleet's certificates.
//!
//! Operators sign changes with ed25519 keys. The processes of one partner's fleet authenticate
//! each other with certificates that the fleet's own authority has issued. `docs/OPERATIONS.md`
//! describes how both are generated, distributed and replaced.

use crate::error::{Error, Result};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use ed25519_dalek::{Signature, Signer as _, SigningKey, VerifyingKey};
use rcgen::{BasicConstraints, CertificateParams, IsCa, KeyPair, KeyUsagePurpose};
use std::path::Path;

/// The subject name in every certificate of a fleet, which peers verify instead of a host name.
pub const FLEET_SERVER_NAME: &str = "gatepier-fleet";

const KEY_BYTES: usize = 32;
const SIGNATURE_BYTES: usize = 64;

/// An operator's signing key.
#[derive(Debug, Clone)]
pub struct OperatorKey {
    /// The operator's name, as shown in the change log.
    pub operator: String,
    key: SigningKey,
}

impl OperatorKey {
    /// Generates a new key from the system's random numbers.
    pub fn generate(operator: &str) -> Self {
        let secret: [u8; KEY_BYTES] = rand::random();
        Self {
            operator: operator.to_owned(),
            key: SigningKey::from_bytes(&secret),
        }
    }

    /// Loads a key file, which contains the operator's name and the secret key in base64.
    pub fn load(file: &Path) -> Result<Self> {
        let text =
            std::fs::read_to_string(file).map_err(|err| Error::File(file.to_owned(), err))?;
        Self::parse(&text).ok_or_else(|| {
            Error::Key(format!(
                "{} is not an operator key file; generate one with `gatepier keygen operator`",
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

    /// Returns the contents of the key file.
    pub fn to_file_text(&self) -> String {
        format!("{} {}\n", self.operator, BASE64.encode(self.key.to_bytes()))
    }

    /// Returns the public key, which the settings of daemons and operators list.
    pub fn public(&self) -> PublicKey {
        PublicKey(self.key.verifying_key())
    }

    /// Signs a message and returns the signature in base64.
    pub fn sign(&self, message: &[u8]) -> String {
        BASE64.encode(self.key.sign(message).to_bytes())
    }
}

/// An operator's public key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublicKey(VerifyingKey);

impl PublicKey {
    /// Parses a key in base64.
    pub fn parse(text: &str) -> Option<Self> {
        let bytes: [u8; KEY_BYTES] = BASE64.decode(text).ok()?.try_into().ok()?;
        VerifyingKey::from_bytes(&bytes).ok().map(Self)
    }

    /// Returns whether this key made a signature, given in base64, of a message.
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

/// Encodes bytes as lower-case hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A fleet's certificate authority, which issues the certificates of its boxes.
#[derive(Debug)]
pub struct FleetAuthority {
    key: KeyPair,
    certificate_pem: String,
    issuer_params: CertificateParams,
}

/// A certificate and its private key, both in PEM.
#[derive(Debug, Clone)]
pub struct FleetCertificate {
    /// The certificate.
    pub certificate_pem: String,
    /// The private key.
    pub key_pem: String,
}

impl FleetAuthority {
    /// Generates a new authority with a self-signed certificate.
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

    /// Restores an authority from its certificate and the key that [`Self::key_pem`] returned.
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

    /// Returns the authority's private key, which must not be copied to the boxes.
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
    Error::Key(format!("cannot create a certificate: {err}"))
}
