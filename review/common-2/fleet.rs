//! The boxes, started with the command of the deploy file, and clients that call them.

use crate::http::Reader;
use crate::record::Record;
use std::io::{ErrorKind, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The deploy file, and the part of its line that comes before the command.
const DEPLOY_FILE: &str = "deploy/system.toml";
/// How long the boxes may take to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A small deployment, with the bounds of the users' page on Panelwave.
pub struct Fleet {
    pub boxes: Vec<BoxProcess>,
    directory: PathBuf,
    store: SocketAddr,
    command: String,
    log: Record,
}

pub struct BoxProcess {
    name: String,
    hall: String,
    first_port: u16,
    child: Mutex<Option<Child>>,
}

impl BoxProcess {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.first_port))
    }

    fn ready(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.first_port + 1))
    }

    fn is_ready(&self) -> bool {
        let asked =
            TcpStream::connect_timeout(&self.ready(), CONNECT_TIMEOUT).and_then(|mut stream| {
                stream.set_read_timeout(Some(CONNECT_TIMEOUT))?;
                stream
                    .write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
                Reader::new(stream).head()
            });
        asked.is_ok_and(|head| head.word(1) == "200")
    }
}

impl Fleet {
    /// Starts a box in each hall and waits until all are ready.
    pub fn start(halls: &[&str], store: SocketAddr, log: &Record) -> Result<Self, String> {
        let deploy = std::fs::read_to_string(DEPLOY_FILE).map_err(|err| err.to_string())?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""));
        let run = run
            .and_then(|rest| rest.strip_suffix('"'))
            .ok_or("no command")?;
        let directory =
            std::env::temp_dir().join(format!("gatepier-review-{}", std::process::id()));
        std::fs::create_dir_all(&directory).map_err(|err| err.to_string())?;
        let mut fleet = Self {
            boxes: Vec::new(),
            directory,
            store,
            command: run.to_owned(),
            log: log.clone(),
        };
        for (index, hall) in halls.iter().enumerate() {
            let first_port = free_ports(index)?;
            fleet.boxes.push(BoxProcess {
                name: format!("front-{hall}-1"),
                hall: (*hall).to_owned(),
                first_port,
                child: Mutex::default(),
            });
        }
        for index in 0..fleet.boxes.len() {
            fleet.spawn(index, true)?;
        }
        let until = Instant::now() + START_TIMEOUT;
        while !fleet.boxes.iter().all(BoxProcess::is_ready) {
            if Instant::now() > until {
                return Err("the boxes do not become ready".to_owned());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        log.note("all boxes are ready");
        Ok(fleet)
    }

    fn spawn(&self, index: usize, is_first: bool) -> Result<(), String> {
        let found = &self.boxes[index];
        let boot = self.directory.join(format!("{}.toml", found.name));
        let text = settings(found, self.store, is_first);
        std::fs::write(&boot, text).map_err(|err| err.to_string())?;
        let output = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.directory.join(format!("{}.log", found.name)))
            .map_err(|err| err.to_string())?;
        let mut words = self.command.split(' ');
        let mut command = Command::new(words.next().unwrap_or_default());
        command.args(words).env_clear().env("GATEPIER_BOOT", &boot);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|err| format!("cannot start {}: {err}", self.command))?;
        self.log.note(&format!("box {} starts", found.name));
        *found.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Kills all boxes at the same moment, and starts them again after a time.
    pub fn kill_all(&self, down: Duration) -> Result<(), String> {
        for found in &self.boxes {
            if let Some(child) = found.child.lock().unwrap().as_mut() {
                let _ = child.kill();
            }
        }
        self.log.note("all boxes are killed");
        for found in &self.boxes {
            if let Some(mut child) = found.child.lock().unwrap().take() {
                let _ = child.wait();
            }
        }
        std::thread::sleep(down);
        (0..self.boxes.len()).try_for_each(|index| self.spawn(index, false))
    }

    /// Returns a box that still runs, by the number of a client and of its try.
    pub fn front(&self, number: usize) -> SocketAddr {
        self.boxes[number % self.boxes.len()].front()
    }

    /// Returns whether a box has ended by itself.
    pub fn has_exited(&self) -> bool {
        self.boxes.iter().any(|found| {
            let mut child = found.child.lock().unwrap();
            child
                .as_mut()
                .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
        })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for found in &self.boxes {
            if let Some(mut child) = found.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        match std::env::var_os("KEEP_LOGS") {
            Some(target) => {
                let _ = std::fs::create_dir_all(&target);
                for found in &self.boxes {
                    let name = format!("{}.log", found.name);
                    let _ =
                        std::fs::copy(self.directory.join(&name), Path::new(&target).join(&name));
                }
            }
            None => {}
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Returns the first of four ports in a row that are free.
fn free_ports(index: usize) -> Result<u16, String> {
    let begin = 10_000 + (std::process::id() % 900) as u16 * 20;
    for step in 0..500_u16 {
        let first = begin + (index as u16) * 4 + step % 2 * 2000 + step * 12;
        if first > 31_000 {
            break;
        }
        let is_free = (first..first + 4).all(|port| {
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
        });
        if is_free {
            return Ok(first);
        }
    }
    Err("no ports are free".to_owned())
}

fn settings(found: &BoxProcess, store: SocketAddr, is_first: bool) -> String {
    let (name, hall, port) = (&found.name, &found.hall, found.first_port);
    let (ready, peers, last) = (port + 1, port + 2, port + 3);
    format!(
        r#"NodeName = "{name}"
Role = "box"
MachineClass = "front"
Serves = ["front"]
Ip = "127.0.0.1"
Zone = "{hall}"
Region = "lagos"
PortRange = [{peers},{last}]
Seeds = []
Bootstrap = {is_first}
LossCounts = false
Discovery = "platform"
Entry = "vip"
BeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","rollout"]
[ListenAddrs]
Front = "127.0.0.1:{port}"
Ready = "127.0.0.1:{ready}"
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = 110
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Tolerate]
Machines = 2
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LostMs = 200
ConfigMs = 2000
BackMs = 250
MaxStretchMs = 5000
StrictRevoke = true
RevokeMs = 5000
BudgetRatio = 0.9
BudgetWindowS = 10
RetrySlack = 58
ExposeShare = 0.15
ExposeSlack = 30
RollbackMs = 5000
RecoverS = 12
PassMs = 120
AgainS = 8.9
SessionS = 5
[Platform]
Addr = "{store}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"#
    )
}

/// What a client sees of one attempt.
#[derive(Debug, Clone)]
pub struct Seen {
    /// The status; none without an answer.
    pub status: Option<u16>,
    /// Whether the answer carries a server's seal.
    pub is_sealed: bool,
    pub retry_after: Option<Duration>,
    /// Whether the answer is whole.
    pub is_whole: bool,
    /// The id of the last event that arrived.
    pub last_event: Option<u32>,
    /// Whether a connection came about.
    pub is_connected: bool,
}

/// Sends one attempt to a box and waits for its answer until a deadline.
pub fn attempt(front: SocketAddr, request: &str, deadline: Instant) -> Seen {
    let mut seen = Seen {
        status: None,
        is_sealed: false,
        retry_after: None,
        is_whole: false,
        last_event: None,
        is_connected: false,
    };
    // What failed is told by what was seen.
    let _ = exchange(front, request, deadline, &mut seen);
    seen
}

fn exchange(
    front: SocketAddr,
    request: &str,
    deadline: Instant,
    seen: &mut Seen,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&front, CONNECT_TIMEOUT)?;
    seen.is_connected = true;
    stream.set_nodelay(true)?;
    stream.write_all(request.as_bytes())?;
    let patience = |stream: &TcpStream| {
        let left = deadline.saturating_duration_since(Instant::now());
        match left.is_zero() {
            true => Err(ErrorKind::TimedOut.into()),
            false => stream.set_read_timeout(Some(left)),
        }
    };
    patience(&stream)?;
    let mut reader = Reader::new(stream);
    let head = reader.head()?;
    seen.status = head.word(1).parse().ok();
    seen.is_sealed = head.header("gatepier-server-seal").is_some();
    let retry_after = head
        .header("retry-after")
        .and_then(|text| text.parse().ok());
    seen.retry_after = retry_after.map(Duration::from_secs_f64);
    if !head.is_chunked() {
        reader.body(&head)?;
        seen.is_whole = true;
        return Ok(());
    }
    let mut text = String::new();
    loop {
        patience(&reader.stream)?;
        let chunk = reader.chunk()?;
        if chunk.is_empty() {
            seen.is_whole = true;
            return Ok(());
        }
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = text.find("\n\n") {
            let id = text[..end]
                .lines()
                .find_map(|line| line.strip_prefix("id: "));
            seen.last_event = id.and_then(|id| id.parse().ok()).or(seen.last_event);
            text.drain(..end + 2);
        }
    }
}
