//! TLS configuration for connections from callers.

use std::sync;

use rustls::pki_types::{self, pem::PemObject};

use crate::failure;

/// Reads the certificate and key files named in the settings.
pub fn load(tls: &config::Tls) -> Result<sync::Arc<rustls::ServerConfig>, failure::Failure> {
    let certificate = tls.certificate.display().to_string();
    let key = tls.key.display().to_string();
    let bad_certificate = || failure::Failure::Certificate(certificate.clone());
    let bad_key = || failure::Failure::Certificate(key.clone());
    let chain = pki_types::CertificateDer::pem_file_iter(&tls.certificate)
        .map_err(|_| bad_certificate())?
        .collect::<Result<Vec<_>, _>>()
        .map_err(|_| bad_certificate())?;
    let secret = pki_types::PrivateKeyDer::from_pem_file(&tls.key).map_err(|_| bad_key())?;
    let provider = sync::Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|_| bad_certificate())?
        .with_no_client_auth()
        .with_single_cert(chain, secret)
        .map_err(|_| bad_certificate())?;
    Ok(sync::Arc::new(config))
}
