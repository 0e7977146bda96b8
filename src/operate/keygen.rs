//! Generates keys and certificates.

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

const AUTHORITY_CERTIFICATE_FILE: &str = "authority.pem";
const AUTHORITY_KEY_FILE: &str = "authority.key";
/// The file mode of private keys.
const SECRET_FILE_MODE: u32 = 0o600;
/// The file mode of certificates.
const PUBLIC_FILE_MODE: u32 = 0o644;

pub(super) fn run(keygen: &Keygen) -> Result<Output> {
    match keygen {
        Keygen::Operator { name, file } => generate_operator_key(name, file),
        Keygen::Fleet { partner, folder } => generate_fleet_authority(partner, folder),
        Keygen::Box {
            partner,
            name,
            folder,
        } => issue_box_certificate(partner, name, folder),
        Keygen::Session => {
            let key = SessionKey::generate_base64();
            Ok(Output {
                lines: vec![key.clone()],
                value: json!({ "session_key": key }),
            })
        }
    }
}

/// Writes a new file; fails if the file already exists.
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

fn generate_operator_key(name: &str, file: &Path) -> Result<Output> {
    let key = OperatorKey::generate(name);
    write_new(file, &key.to_file_text(), SECRET_FILE_MODE)?;
    let public = key.public().to_string();
    let lines = vec![
        format!(
            "wrote the secret key to {}; add to the settings of daemons and operators:",
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

fn generate_fleet_authority(partner: &str, folder: &Path) -> Result<Output> {
    let authority = FleetAuthority::generate(partner)?;
    std::fs::create_dir_all(folder).map_err(|err| Error::File(folder.to_owned(), err))?;
    write_new(
        &folder.join(AUTHORITY_KEY_FILE),
        &authority.key_pem(),
        SECRET_FILE_MODE,
    )?;
    write_new(
        &folder.join(AUTHORITY_CERTIFICATE_FILE),
        authority.certificate_pem(),
        PUBLIC_FILE_MODE,
    )?;
    let line = format!(
        "wrote the certificate authority of `{partner}` to {}; do not copy \
         {AUTHORITY_KEY_FILE} to the boxes",
        folder.display()
    );
    Ok(Output {
        lines: vec![line],
        value: json!({ "partner": partner }),
    })
}

fn issue_box_certificate(partner: &str, name: &str, folder: &Path) -> Result<Output> {
    let certificate = read(&folder.join(AUTHORITY_CERTIFICATE_FILE))?;
    let key = read(&folder.join(AUTHORITY_KEY_FILE))?;
    let issued = FleetAuthority::from_pem(partner, &certificate, &key)?.issue()?;
    write_new(
        &folder.join(format!("{name}.key")),
        &issued.key_pem,
        SECRET_FILE_MODE,
    )?;
    write_new(
        &folder.join(format!("{name}.pem")),
        &issued.certificate_pem,
        PUBLIC_FILE_MODE,
    )?;
    let line = format!("wrote {name}.pem and {name}.key to {}", folder.display());
    Ok(Output {
        lines: vec![line],
        value: json!({ "box": name }),
    })
}
