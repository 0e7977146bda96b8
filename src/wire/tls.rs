//! Mutual TLS within the fleet: both peers present a certificate of the fleet's own authority.

use crate::error::{Error, Result};
use crate::keys::FLEET_SERVER_NAME;
use rustls::pki_types::pem::PemObject as _;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio_rustls::{TlsAcceptor, TlsConnector};

/// Files with a process's certificate and the fleet's certificate authority.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    /// The authority's certificate.
    pub authority: PathBuf,
    /// The process's own certificate.
    pub certificate: PathBuf,
    /// The private key of the process's own certificate.
    pub key: PathBuf,
}

/// TLS identity of a process within its fleet, for both directions.
#[derive(Clone)]
pub struct FleetTls {
    pub(super) acceptor: TlsAcceptor,
    pub(super) connector: TlsConnector,
    pub(super) server_name: ServerName<'static>,
}

impl std::fmt::Debug for FleetTls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FleetTls")
            .field("server_name", &self.server_name)
            .finish_non_exhaustive()
    }
}

impl FleetTls {
    /// Loads the identity from files.
    pub fn load(files: &TlsFiles) -> Result<Self> {
        let authority = read(&files.authority)?;
        let certificate = read(&files.certificate)?;
        let key = read(&files.key)?;
        Self::from_pem(&authority, &certificate, &key)
    }

    /// Creates an identity from PEM data.
    pub fn from_pem(authority: &[u8], certificate: &[u8], key: &[u8]) -> Result<Self> {
        let roots = Arc::new(read_roots(authority)?);
        let chain = read_certificates(certificate)?;
        let key = PrivateKeyDer::from_pem_slice(key).map_err(tls_error)?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
            .build()
            .map_err(tls_error)?;
        let server = ServerConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()
            .map_err(tls_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(tls_error)?;
        let client = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(tls_error)?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)
            .map_err(tls_error)?;
        Ok(Self {
            acceptor: TlsAcceptor::from(Arc::new(server)),
            connector: TlsConnector::from(Arc::new(client)),
            server_name: ServerName::try_from(FLEET_SERVER_NAME).map_err(tls_error)?,
        })
    }
}

fn read(file: &Path) -> Result<Vec<u8>> {
    std::fs::read(file).map_err(|err| Error::File(file.to_owned(), err))
}

fn read_certificates(pem: &[u8]) -> Result<Vec<CertificateDer<'static>>> {
    CertificateDer::pem_slice_iter(pem)
        .collect::<std::result::Result<_, _>>()
        .map_err(tls_error)
}

fn read_roots(pem: &[u8]) -> Result<RootCertStore> {
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates(pem)? {
        roots.add(certificate).map_err(tls_error)?;
    }
    Ok(roots)
}

fn tls_error(err: impl std::fmt::Display) -> Error {
    Error::Key(format!("invalid fleet certificate or key: {err}"))
}
