//! Writes the settings, keys and certificates of a small fleet into a folder, for the
//! demo and for tests.

use crate::error::{Error, Result};
use crate::keys::{FleetAuthority, OperatorKey, hex};
use crate::session::SessionKey;
use sha2::{Digest as _, Sha256};
use std::fmt::Write as _;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The two operators of each lab fleet; one proposes and the other signs.
pub const OPERATORS: [&str; 2] = ["ada", "bayo"];

const LOOPBACK: u8 = 127;

/// A fleet to be written.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The partner.
    pub partner: String,
    /// The halls, each with its number of entry boxes.
    pub halls: Vec<(String, usize)>,
    /// The organisations; the credential of each is its name with `-key`.
    pub organisations: Vec<String>,
    /// Lines that are added to each router's settings.
    pub router_extra: String,
    /// Lines that are added to each agent's settings.
    pub agent_extra: String,
}

/// Where a box finds the platform.
#[derive(Debug, Clone, Copy)]
pub struct Wiring {
    /// The key-value service.
    pub store: SocketAddr,
    /// The live list.
    pub list: SocketAddr,
    /// The rater.
    pub rater: SocketAddr,
}

/// One box of a written fleet.
#[derive(Debug, Clone)]
pub struct FleetBox {
    /// The box's name.
    pub name: String,
    /// Its hall.
    pub hall: String,
    /// Where its router listens.
    pub router: SocketAddr,
    /// Where its agent listens.
    pub agent: SocketAddr,
    /// Where the router's metrics are read.
    pub router_metrics: SocketAddr,
    /// Where the agent's metrics are read.
    pub agent_metrics: SocketAddr,
    /// The router's settings file.
    pub router_settings: PathBuf,
    /// The agent's settings file.
    pub agent_settings: PathBuf,
}

/// A fleet whose files are written.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// The partner.
    pub partner: String,
    /// The folder with all files.
    pub folder: PathBuf,
    /// The boxes.
    pub boxes: Vec<FleetBox>,
    /// The settings files of the two operators.
    pub operators: Vec<PathBuf>,
    authority: String,
    authority_key: String,
    common: String,
    operator_tables: String,
    credentials: String,
    router_extra: String,
    agent_extra: String,
}

/// Returns the credential of an organisation of a lab fleet.
pub fn credential_of(organisation: &str) -> String {
    format!("{organisation}-key")
}

/// The ports that are given out: below the range from which the system takes those of
/// sockets that ask for none.
const LAB_PORTS: std::ops::Range<u16> = 10_000..32_000;
/// The longest wait for a connection to an address of this machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How many addresses are tried; a drawn one is hardly ever in use.
const ADDRESS_TRIES: usize = 20;

/// Returns a free address of this machine, on a loopback IP and a port drawn at random.
///
/// A port of the system's own range may be taken, before it is listened on, by any socket
/// that listens on all of the machine's addresses and asked for no port; a port of 127.0.0.1
/// may be taken by an outgoing connection. Nothing else uses these.
pub fn free_address() -> Result<SocketAddr> {
    for _ in 0..ADDRESS_TRIES {
        let octet = || rand::random_range(1..=254);
        let ip = Ipv4Addr::new(LOOPBACK, octet(), octet(), octet());
        let address = SocketAddr::from((ip, rand::random_range(LAB_PORTS)));
        if is_free(address) {
            return Ok(address);
        }
    }
    Err(Error::Unreachable("no free address was found".to_owned()))
}

/// Tells whether nobody listens on an address of this machine.
///
/// It asks by a connection and not by listening there itself: a process that is started at
/// that moment by another thread would share the listening socket until it runs its own
/// program, and the address could not be listened on as long as that takes.
pub fn is_free(address: SocketAddr) -> bool {
    let connected = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
    connected.is_err_and(|err| err.kind() == ErrorKind::ConnectionRefused)
}

fn write(file: &Path, text: &str) -> Result<()> {
    std::fs::write(file, text).map_err(|err| Error::File(file.to_owned(), err))
}

impl Fleet {
    /// Writes a fleet without boxes: keys, certificates and operators' settings.
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
        let common = format!(
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
            common,
            operator_tables,
            credentials,
            router_extra: format!("session_key = \"{session_key}\"\n{}", plan.router_extra),
            agent_extra: plan.agent_extra.clone(),
        };
        fleet.issue("operators")?;
        fleet.write_operators(store)?;
        Ok(fleet)
    }

    fn issue(&self, name: &str) -> Result<()> {
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

    /// Writes the operators' settings, which name the agents known so far.
    pub fn write_operators(&mut self, store: SocketAddr) -> Result<()> {
        let agents: Vec<String> = self
            .boxes
            .iter()
            .map(|found| format!("\"{}\"", found.agent))
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
    pub fn add_box(&mut self, name: &str, hall: &str, wiring: Wiring) -> Result<FleetBox> {
        self.issue(name)?;
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
        let head = format!("{}box = \"{name}\"\nhall = \"{hall}\"\n", self.common);
        let router = format!(
            "{head}listen = \"{}\"\nmetrics = \"{}\"\nagent = \"{}\"\nrater = \"{}\"\n{}{}{}",
            added.router,
            added.router_metrics,
            added.agent,
            wiring.rater,
            self.router_extra,
            Self::tls_table(name),
            self.credentials,
        );
        write(&added.router_settings, &router)?;
        let agent = format!(
            "{head}listen = \"{}\"\nmetrics = \"{}\"\nstore = \"{}\"\nlist = \"{}\"\n{}{}{}",
            added.agent,
            added.agent_metrics,
            wiring.store,
            wiring.list,
            Self::tls_table(name),
            self.operator_tables,
            self.agent_extra,
        );
        write(&added.agent_settings, &agent)?;
        self.boxes.push(added.clone());
        Ok(added)
    }
}
