//! Writes the settings, keys and certificates of a small fleet to a folder, for the demo and
//! tests.

use crate::error::{Error, Result};
use crate::keys::{FleetAuthority, OperatorKey, hex};
use crate::session::SessionKey;
use sha2::{Digest as _, Sha256};
use std::fmt::Write as _;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The two operators of each fleet, since a proposed bundle needs the signature of a second one.
pub const OPERATORS: [&str; 2] = ["ada", "bayo"];

const LOOPBACK_OCTET: u8 = 127;

/// The parameters of a fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The partner.
    pub partner: String,
    /// Halls and the number of entry boxes in each.
    pub halls: Vec<(String, usize)>,
    /// The organisations; see [`credential_of`] for their credentials.
    pub organisations: Vec<String>,
    /// Lines appended to each router's settings.
    pub router_extra: String,
    /// Lines appended to each agent's settings.
    pub agent_extra: String,
}

/// The addresses at which a box reaches the platform services.
#[derive(Debug, Clone, Copy)]
pub struct PlatformAddresses {
    /// The key-value service.
    pub store: SocketAddr,
    /// The live list.
    pub list: SocketAddr,
    /// The service that rates answers.
    pub rater: SocketAddr,
}

/// One box of a fleet.
#[derive(Debug, Clone)]
pub struct FleetBox {
    /// The box's name.
    pub name: String,
    /// Its hall.
    pub hall: String,
    /// The listen address of the router.
    pub router: SocketAddr,
    /// The listen address of the agent.
    pub agent: SocketAddr,
    /// The metrics address of the router.
    pub router_metrics: SocketAddr,
    /// The metrics address of the agent.
    pub agent_metrics: SocketAddr,
    /// The router's settings file.
    pub router_settings: PathBuf,
    /// The agent's settings file.
    pub agent_settings: PathBuf,
}

/// A fleet whose files have been written.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// The partner.
    pub partner: String,
    /// The folder that contains all files.
    pub folder: PathBuf,
    /// The boxes added so far.
    pub boxes: Vec<FleetBox>,
    /// The settings files of the two operators.
    pub operators: Vec<PathBuf>,
    authority: String,
    authority_key: String,
    common_settings: String,
    operator_tables: String,
    credentials: String,
    router_extra: String,
    agent_extra: String,
}

/// Returns the bearer credential of an organisation: its name with the suffix `-key`.
pub fn credential_of(organisation: &str) -> String {
    format!("{organisation}-key")
}

/// Ports from which addresses are drawn. They are below the ephemeral port range, from which the
/// operating system assigns ports.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;
/// Timeout of the connection that checks whether an address is in use.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of addresses to check; a random one is rarely in use.
const MAX_ADDRESS_ATTEMPTS: usize = 20;

/// Returns a free local address with a random loopback IP and a random port.
///
/// An ephemeral port could be taken, before the caller listens on it, by any socket that binds to
/// the wildcard address with port 0, and a port of 127.0.0.1 by an outgoing connection. Random
/// loopback IPs and ports below the ephemeral range are not assigned by the operating system.
pub fn free_address() -> Result<SocketAddr> {
    for _ in 0..MAX_ADDRESS_ATTEMPTS {
        let octet = || rand::random_range(1..=254);
        let ip = Ipv4Addr::new(LOOPBACK_OCTET, octet(), octet(), octet());
        let address = SocketAddr::from((ip, rand::random_range(PORT_RANGE)));
        if is_free(address) {
            return Ok(address);
        }
    }
    Err(Error::Unreachable("no free local address found".to_owned()))
}

/// Returns whether no process listens on a local address.
///
/// Checks with a connection rather than by binding the address: a child process forked by another
/// thread at that moment would inherit the listening socket until it calls `exec`, and the address
/// would stay in use for that long.
pub fn is_free(address: SocketAddr) -> bool {
    let connected = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
    connected.is_err_and(|err| err.kind() == ErrorKind::ConnectionRefused)
}

fn write(file: &Path, text: &str) -> Result<()> {
    std::fs::write(file, text).map_err(|err| Error::File(file.to_owned(), err))
}

impl Fleet {
    /// Writes a fleet without boxes: keys, certificates and operator settings.
    pub fn write(plan: &FleetPlan, folder: &Path, store: SocketAddr) -> Result<Self> {
        std::fs::create_dir_all(folder).map_err(|err| Error::File(folder.to_owned(), err))?;
        let authority = FleetAuthority::generate(&plan.partner)?;
        write(&folder.join("authority.pem"), authority.certificate_pem())?;
        let mut operator_tables = String::new();
        for name in OPERATORS {
            let key = OperatorKey::generate(name);
            write(
                &folder.join(format!("{name}.operator")),
                &key.to_file_text(),
            )?;
            let public = key.public();
            let _ = write!(
                operator_tables,
                "[[operator]]\nname = \"{name}\"\nkey = \"{public}\"\n"
            );
        }
        let mut credentials = String::new();
        for organisation in &plan.organisations {
            let digest = hex(&Sha256::digest(credential_of(organisation).as_bytes()));
            let _ = write!(
                credentials,
                "[[credential]]\norganisation = \"{organisation}\"\nsha256 = \"{digest}\"\n"
            );
        }
        let halls: Vec<String> = plan
            .halls
            .iter()
            .map(|(hall, _)| format!("\"{hall}\""))
            .collect();
        let session_key = SessionKey::generate_base64();
        let common_settings = format!(
            "partner = \"{}\"\nhalls = [{}]\n",
            plan.partner,
            halls.join(", ")
        );
        let mut fleet = Self {
            partner: plan.partner.clone(),
            folder: folder.to_owned(),
            boxes: Vec::new(),
            operators: Vec::new(),
            authority: authority.certificate_pem().to_owned(),
            authority_key: authority.key_pem(),
            common_settings,
            operator_tables,
            credentials,
            router_extra: format!("session_key = \"{session_key}\"\n{}", plan.router_extra),
            agent_extra: plan.agent_extra.clone(),
        };
        fleet.issue_certificate("operators")?;
        fleet.write_operators(store)?;
        Ok(fleet)
    }

    fn issue_certificate(&self, name: &str) -> Result<()> {
        let authority =
            FleetAuthority::from_pem(&self.partner, &self.authority, &self.authority_key)?;
        let issued = authority.issue()?;
        write(
            &self.folder.join(format!("{name}.pem")),
            &issued.certificate_pem,
        )?;
        write(&self.folder.join(format!("{name}.key")), &issued.key_pem)
    }

    fn tls_table(name: &str) -> String {
        format!(
            "[tls]\nauthority = \"authority.pem\"\ncertificate = \"{name}.pem\"\nkey = \"{name}.key\"\n"
        )
    }

    /// Writes the operators' settings, which list the agents of all boxes added so far.
    pub fn write_operators(&mut self, store: SocketAddr) -> Result<()> {
        let agents: Vec<String> = self
            .boxes
            .iter()
            .map(|known| format!("\"{}\"", known.agent))
            .collect();
        self.operators.clear();
        for name in OPERATORS {
            let text = format!(
                "partner = \"{}\"\nstore = \"{store}\"\nagents = [{}]\nkey = \"{name}.operator\"\n{}{}",
                self.partner,
                agents.join(", "),
                Self::tls_table("operators"),
                self.operator_tables,
            );
            let file = self.folder.join(format!("{name}.toml"));
            write(&file, &text)?;
            self.operators.push(file);
        }
        Ok(())
    }

    /// Adds a box to the fleet and writes its files.
    pub fn add_box(
        &mut self,
        name: &str,
        hall: &str,
        platform: PlatformAddresses,
    ) -> Result<FleetBox> {
        self.issue_certificate(name)?;
        let added = FleetBox {
            name: name.to_owned(),
            hall: hall.to_owned(),
            router: free_address()?,
            agent: free_address()?,
            router_metrics: free_address()?,
            agent_metrics: free_address()?,
            router_settings: self.folder.join(format!("{name}.router.toml")),
            agent_settings: self.folder.join(format!("{name}.agent.toml")),
        };
        let head = format!(
            "{}box = \"{name}\"\nhall = \"{hall}\"\n",
            self.common_settings
        );
        let router = format!(
            "{head}listen = \"{}\"\nmetrics = \"{}\"\nagent = \"{}\"\nrater = \"{}\"\n{}{}{}",
            added.router,
            added.router_metrics,
            added.agent,
            platform.rater,
            self.router_extra,
            Self::tls_table(name),
            self.credentials,
        );
        write(&added.router_settings, &router)?;
        let agent = format!(
            "{head}listen = \"{}\"\nmetrics = \"{}\"\nstore = \"{}\"\nlist = \"{}\"\n{}{}{}",
            added.agent,
            added.agent_metrics,
            platform.store,
            platform.list,
            Self::tls_table(name),
            self.operator_tables,
            self.agent_extra,
        );
        write(&added.agent_settings, &agent)?;
        self.boxes.push(added.clone());
        Ok(added)
    }
}
