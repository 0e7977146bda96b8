//! Makes keys and certificates.

use super::Output;
use crate::cli::Keygen;
use crate::error::{Error, Result};
use crate::keys::{FleetAuthority, OperatorKey};
use crate::session::SessionKey;
use serde_json::json;
use std::fs::OpenOptions;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::Path;

const AUTHORITY_CERTIFICATE: &str = "authority.pem";
const AUTHORITY_KEY: &str = "authority.key";
const SECRET_MODE: u32 = 0o600;
const PUBLIC_MODE: u32 = 0o644;

pub(super) fn run(keygen: &Keygen) -> Result<Output> {
    match keygen {
        Keygen::Operator { name, file } => operator(name, file),
        Keygen::Fleet { partner, folder } => fleet(partner, folder),
        Keygen::Box {
            partner,
            name,
            folder,
        } => box_certificate(partner, name, folder),
        Keygen::Session => {
            let key = SessionKey::generate_base64();
            Ok(Output {
                lines: vec![key.clone()],
                value: json!({ "session_key": key }),
            })
        }
    }
}

/// Writes a new file; one that exists is never written over.
fn write_new(file: &Path, text: &str, mode: u32) -> Result<()> {
    let error = |err| Error::File(file.to_owned(), err);
    let mut open = OpenOptions::new();
    let mut opened = open
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(file)
        .map_err(error)?;
    opened.write_all(text.as_bytes()).map_err(error)
}

fn read(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).map_err(|err| Error::File(file.to_owned(), err))
}

fn operator(name: &str, file: &Path) -> Result<Output> {
    let key = OperatorKey::generate(name);
    write_new(file, &key.to_file_text(), SECRET_MODE)?;
    let public = key.public().to_string();
    let lines = vec![
        format!(
            "the secret key is in {}; for the settings of daemons and operators:",
            file.display()
        ),
        "[[operator]]".to_owned(),
        format!("name = \"{name}\""),
        format!("key = \"{public}\""),
    ];
    Ok(Output {
        lines,
        value: json!({ "name": name, "key": public }),
    })
}

fn fleet(partner: &str, folder: &Path) -> Result<Output> {
    let authority = FleetAuthority::generate(partner)?;
    std::fs::create_dir_all(folder).map_err(|err| Error::File(folder.to_owned(), err))?;
    write_new(
        &folder.join(AUTHORITY_KEY),
        &authority.key_pem(),
        SECRET_MODE,
    )?;
    write_new(
        &folder.join(AUTHORITY_CERTIFICATE),
        authority.certificate_pem(),
        PUBLIC_MODE,
    )?;
    let line = format!(
        "the authority of `{partner}` is in {}; keep {AUTHORITY_KEY} off the boxes",
        folder.display()
    );
    Ok(Output {
        lines: vec![line],
        value: json!({ "partner": partner }),
    })
}

fn box_certificate(partner: &str, name: &str, folder: &Path) -> Result<Output> {
    let certificate = read(&folder.join(AUTHORITY_CERTIFICATE))?;
    let key = read(&folder.join(AUTHORITY_KEY))?;
    let issued = FleetAuthority::from_pem(partner, &certificate, &key)?.issue()?;
    write_new(
        &folder.join(format!("{name}.key")),
        &issued.key_pem,
        SECRET_MODE,
    )?;
    write_new(
        &folder.join(format!("{name}.pem")),
        &issued.certificate_pem,
        PUBLIC_MODE,
    )?;
    let line = format!("{name}.pem and {name}.key are in {}", folder.display());
    Ok(Output {
        lines: vec![line],
        value: json!({ "box": name }),
    })
}
