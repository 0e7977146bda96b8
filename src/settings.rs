//! Settings of the daemons and of the command-line tool.

pub mod agent;
pub mod operator;
pub mod reader;
pub mod router;

use crate::name::is_plain_name;
use crate::wire::tls::TlsFiles;
use reader::Section;
use std::net::SocketAddr;
use std::path::Path;

const ADDRESS_EXPECTED: &str = "an IP address and port such as 127.0.0.1:7000";
const NAME_EXPECTED: &str = "a name of letters, digits, `-`, `_` and `.`";

/// Identity of the box that a process runs on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BoxIdentity {
    /// The partner whose fleet the box belongs to.
    pub partner: String,
    /// The box's name, which is not reused after the box has been replaced.
    pub name: String,
    /// The hall that the box is in.
    pub hall: String,
    /// All halls of the partner, in the same order on every box.
    pub halls: Vec<String>,
}

fn read_identity(root: &Section<'_>) -> Option<BoxIdentity> {
    let partner = read_name(root, "partner");
    let name = read_name(root, "box");
    let hall = read_name(root, "hall");
    let halls = root.parsed_list("halls", NAME_EXPECTED, |text| {
        is_plain_name(text).then(|| text.to_owned())
    });
    if let Some(hall) = &hall
        && !halls.contains(hall)
    {
        root.add_finding("hall", format!("`{hall}` is not listed in `halls`"));
    }
    Some(BoxIdentity {
        partner: partner?,
        name: name?,
        hall: hall?,
        halls,
    })
}

fn read_name(section: &Section<'_>, key: &'static str) -> Option<String> {
    section.parsed(key, NAME_EXPECTED, |text| {
        is_plain_name(text).then(|| text.to_owned())
    })
}

fn read_address(section: &Section<'_>, key: &'static str) -> Option<SocketAddr> {
    section.parsed(key, ADDRESS_EXPECTED, |text| text.parse().ok())
}

fn read_optional_address(section: &Section<'_>, key: &'static str) -> Option<SocketAddr> {
    section.optional_parsed(key, ADDRESS_EXPECTED, |text| text.parse().ok())
}

/// Reads the `[tls]` table; relative paths are relative to the settings file's folder.
fn read_tls(root: &Section<'_>, folder: &Path) -> Option<TlsFiles> {
    root.section("tls", |tls| {
        let authority = tls.string("authority");
        let certificate = tls.string("certificate");
        let key = tls.string("key");
        Some(TlsFiles {
            authority: folder.join(authority?),
            certificate: folder.join(certificate?),
            key: folder.join(key?),
        })
    })
}

fn parent_folder(file: &Path) -> &Path {
    file.parent().unwrap_or(Path::new("."))
}
