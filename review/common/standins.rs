//! Stand-ins for the platform's store and for callers, and helpers to start boxes as processes.
//!
//! Only the standard library is used. Everything listens on loopback addresses.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
    fn socket(family: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, address: *const SocketAddrIn, len: u32) -> i32;
}

/// The address of a socket, as the system's C library lays it out.
#[repr(C)]
struct SocketAddrIn {
    family: u16,
    port: u16,
    ip: u32,
    padding: [u8; 8],
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
/// The size of segments on an ordinary network; those of loopback are as large as many answers.
const SEGMENT_BYTES: i32 = 536;
const PR_SET_PDEATHSIG: i32 = 1;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

// ---------------------------------------------------------------------------------------------
// The record

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Opens the record of a case.
pub fn open_record(path: &Path) {
    let file = File::create(path).expect("the record can be created");
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
}

/// Writes a line with the time since the start of the case.
pub fn record(line: impl AsRef<str>) {
    if let Some((file, began)) = RECORD.get() {
        let line = format!("{:9.3} {}\n", began.elapsed().as_secs_f64(), line.as_ref());
        let _ = file.lock().unwrap().write_all(line.as_bytes());
        print!("{line}");
    }
}

/// Returns whether the disruption is to be brought about.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------------------------------------
// HTTP

/// A request or a response as it was received.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether all of the body arrived.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self
            .start
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok());
        status.unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Wire {
    pub stream: TcpStream,
    pub rest: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.rest.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self
                .rest
                .windows(4)
                .position(|window| window == b"\r\n\r\n")
            {
                let head: Vec<u8> = self.rest.drain(..end + 4).collect();
                let head = String::from_utf8_lossy(&head[..end]).into_owned();
                let mut lines = head.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let pairs = lines.filter_map(|line| line.split_once(':'));
                let headers = pairs.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
                return Ok(Some(Message {
                    start,
                    headers: headers.collect(),
                    ..Message::default()
                }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn read_exactly(&mut self, count: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        while self.rest.len() < count {
            if self.fill()? == 0 {
                body.append(&mut self.rest);
                return Ok(false);
            }
        }
        body.extend(self.rest.drain(..count));
        Ok(true)
    }

    fn read_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|window| window == b"\r\n") {
                let line: Vec<u8> = self.rest.drain(..end + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line[..end]).into_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads the body that a head announces; an error counts as its early end.
    pub fn read_body(&mut self, message: &mut Message, is_response: bool) {
        let mut body = Vec::new();
        let is_chunked = message.header("transfer-encoding").is_some();
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok());
        let complete = match length {
            _ if is_chunked => self.read_chunks(&mut body),
            Some(length) => self.read_exactly(length, &mut body),
            None if is_response => loop {
                body.append(&mut self.rest);
                match self.fill() {
                    Ok(0) => break Ok(true),
                    Ok(_) => {}
                    Err(err) => break Err(err),
                }
            },
            None => Ok(true),
        };
        message.is_complete = complete.unwrap_or(false);
        message.body = body;
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(line) = self.read_line()? else {
                return Ok(false);
            };
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return Ok(false);
            };
            if !self.read_exactly(size, body)? {
                return Ok(false);
            }
            if self.read_line()?.is_none() {
                return Ok(false);
            }
            if size == 0 {
                return Ok(true);
            }
        }
    }

    /// Reads a whole request; `None` at the end of the connection.
    pub fn read_request(&mut self) -> Option<Message> {
        let mut message = self.read_head().ok()??;
        self.read_body(&mut message, false);
        message.is_complete.then_some(message)
    }

    /// Reads a response as far as it arrives; `None` if not even its head did.
    pub fn read_response(&mut self) -> Option<Message> {
        let mut message = self.read_head().ok()??;
        self.read_body(&mut message, true);
        Some(message)
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

/// Connects to a box with segments as on a network, and with a small receive buffer.
pub fn connect_with_small_window(to: SocketAddr, buffer_bytes: i32) -> io::Result<TcpStream> {
    use std::os::fd::FromRawFd as _;
    let SocketAddr::V4(to) = to else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let address = SocketAddrIn {
        family: AF_INET as u16,
        port: to.port().to_be(),
        ip: u32::from(*to.ip()).to_be(),
        padding: [0; 8],
    };
    // SAFETY: the pointers are valid during the calls, and the descriptor has one owner.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, 4);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES, 4);
        match connect(fd, &address, 16) {
            0 => Ok(stream),
            _ => Err(io::Error::last_os_error()),
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Base64 and a JSON reader, for the store

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            match at <= group.len() {
                true => text.push(ALPHABET[(bits >> (18 - 6 * at) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// A JSON value, as far as the store needs it.
#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(HashMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut at = 0;
        Self::value(bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Object(fields) => fields.get(name).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    fn skip(bytes: &[u8], at: &mut usize) {
        while bytes
            .get(*at)
            .is_some_and(|byte| b" \t\r\n,:".contains(byte))
        {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Self> {
        Self::skip(bytes, at);
        match bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut fields = HashMap::new();
                loop {
                    Self::skip(bytes, at);
                    if bytes.get(*at)? == &b'}' {
                        *at += 1;
                        return Some(Self::Object(fields));
                    }
                    let Self::Text(name) = Self::value(bytes, at)? else {
                        return None;
                    };
                    fields.insert(name, Self::value(bytes, at)?);
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    if bytes.get(*at)? == &b']' {
                        *at += 1;
                        return Some(Self::List(list));
                    }
                    list.push(Self::value(bytes, at)?);
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                while bytes.get(*at)? != &b'"' {
                    if bytes[*at] == b'\\' {
                        *at += 1;
                    }
                    text.push(*bytes.get(*at)?);
                    *at += 1;
                }
                *at += 1;
                Some(Self::Text(String::from_utf8_lossy(&text).into_owned()))
            }
            _ => {
                let begin = *at;
                while bytes
                    .get(*at)
                    .is_some_and(|byte| !b",]} \r\n".contains(byte))
                {
                    *at += 1;
                }
                let text = std::str::from_utf8(&bytes[begin..*at]).ok()?;
                Some(text.parse().map_or(Self::Null, Self::Number))
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Debug, Clone)]
struct Item {
    value: Option<String>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    items: BTreeMap<String, Item>,
    revision: u64,
    next_lease: u64,
    leases: HashMap<u64, (Duration, Instant)>,
}

/// The store: items with revisions, watches, transactions and leases.
#[derive(Debug)]
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = StoreState {
            revision: 100,
            next_lease: 1,
            ..StoreState::default()
        };
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(Wire::new(stream), &AtomicBool::new(false)));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                let mut state = expiring.state.lock().unwrap();
                let now = Instant::now();
                let over: Vec<u64> = state
                    .leases
                    .iter()
                    .filter(|(_, (_, until))| *until < now)
                    .map(|(id, _)| *id)
                    .collect();
                for lease in over {
                    expiring.end_lease(&mut state, lease);
                }
            }
        });
        store
    }

    /// Serves the same contents at another address, for one box that can be cut off: while the flag
    /// is set, nothing is answered there.
    pub fn open_view(self: &Arc<Self>) -> (SocketAddr, Arc<AtomicBool>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let (store, is_cut) = (self.clone(), Arc::new(AtomicBool::new(false)));
        let flag = is_cut.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, is_cut) = (store.clone(), flag.clone());
                thread::spawn(move || store.serve(Wire::new(stream), &is_cut));
            }
        });
        (address, is_cut)
    }

    fn end_lease(&self, state: &mut StoreState, lease: u64) {
        state.leases.remove(&lease);
        let keys: Vec<String> = state
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease && item.value.is_some())
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            state.revision += 1;
            Self::write(state, &key, None, 0);
        }
        self.changed.notify_all();
    }

    fn write(state: &mut StoreState, key: &str, value: Option<String>, lease: u64) {
        let revision = state.revision;
        let known = state.items.get(key).filter(|known| known.value.is_some());
        let created = known.map_or(revision, |known| known.created);
        state.items.insert(
            key.to_owned(),
            Item {
                value,
                revision,
                created,
                lease,
            },
        );
    }

    /// Writes an item as operators and servers do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        Self::write(&mut state, key, Some(base64(value.as_bytes())), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        Self::write(&mut state, key, None, 0);
        self.changed.notify_all();
    }

    /// Returns how many items there are under a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let state = self.state.lock().unwrap();
        let mut found = state.items.iter();
        let mut count = 0;
        while let Some((key, item)) = found.next() {
            count += usize::from(key.starts_with(prefix) && item.value.is_some());
        }
        count
    }

    fn serve(&self, mut wire: Wire, is_cut: &AtomicBool) {
        while let Some(request) = wire.read_request() {
            // What is sent during a cut is lost, and so is what would be answered then.
            if is_cut.load(Ordering::SeqCst) {
                loop {
                    thread::sleep(Duration::from_secs(1));
                }
            }
            let (status, body) = self.answer(&request);
            while is_cut.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_secs(1));
            }
            let head = format!(
                "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            if !wire.send(head.as_bytes()) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let mut parts = path.trim_start_matches("/-/").split('/');
        let kind = parts.next().unwrap_or_default();
        let id = parts.next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let prefix = query.get("PathPrefix").copied().unwrap_or_default();
        match kind {
            "kv-range" => {
                let state = self.state.lock().unwrap();
                let after = query.get("SinceRev").copied().unwrap_or_default();
                let found = state.items.iter().filter(|(key, item)| {
                    key.starts_with(prefix) && key.as_str() > after && item.value.is_some()
                });
                let items: Vec<String> = found.map(|(key, item)| item_json(key, item)).collect();
                (
                    200,
                    format!(
                        "{{\"Items\":[{}],\"Truncated\":false,\"CurrentRev\":{}}}",
                        items.join(","),
                        state.revision
                    ),
                )
            }
            "kv-watch" => {
                let after: u64 = query
                    .get("SinceRev")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let wait: u64 = query
                    .get("WaitMs")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut state = self.state.lock().unwrap();
                loop {
                    let mut found: Vec<(&String, &Item)> = state
                        .items
                        .iter()
                        .filter(|(key, item)| key.starts_with(prefix) && item.revision > after)
                        .collect();
                    found.sort_by_key(|(_, item)| item.revision);
                    let left = until.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        let events: Vec<String> = found
                            .iter()
                            .map(|(key, item)| item_json(key, item))
                            .collect();
                        let reached = if events.is_empty() {
                            after
                        } else {
                            state.revision
                        };
                        return (
                            200,
                            format!(
                                "{{\"events\":[{}],\"CurrentRev\":{reached}}}",
                                events.join(",")
                            ),
                        );
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            "kv-txn" => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let mut state = self.state.lock().unwrap();
                for row in body.get("ExpectedRev").list() {
                    let known = state.items.get(row.get("PrivateKey").text());
                    let revision = known
                        .filter(|item| item.value.is_some())
                        .map_or(0, |item| item.revision);
                    if revision != row.get("Revision").number() {
                        return (412, "{\"Items\":[]}".to_owned());
                    }
                }
                for put in body.get("Puts").list() {
                    let lease = put.get("Lease").number();
                    if lease != 0 && !state.leases.contains_key(&lease) {
                        return (404, "{}".to_owned());
                    }
                }
                state.revision += 1;
                for put in body.get("Puts").list() {
                    let value = Some(put.get("Value").text().to_owned());
                    Self::write(
                        &mut state,
                        put.get("PrivateKey").text(),
                        value,
                        put.get("Lease").number(),
                    );
                }
                for key in body.get("Remove").list() {
                    Self::write(&mut state, key.text(), None, 0);
                }
                self.changed.notify_all();
                (200, format!("{{\"Revision\":{}}}", state.revision))
            }
            "kv-lease" => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let ttl = Duration::from_millis(body.get("TtlMs").number().max(1000));
                let mut state = self.state.lock().unwrap();
                let lease = state.next_lease;
                state.next_lease += 1;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (
                    200,
                    format!("{{\"Lease\":{lease},\"TtlMs\":{}}}", ttl.as_millis()),
                )
            }
            "kv-keep" => {
                let mut state = self.state.lock().unwrap();
                match state.leases.get_mut(&id) {
                    Some((ttl, until)) => {
                        *until = Instant::now() + *ttl;
                        (200, format!("{{\"TtlMs\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            "kv-lease-end" => {
                let mut state = self.state.lock().unwrap();
                self.end_lease(&mut state, id);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    match &item.value {
        Some(value) => format!(
            "{{\"PrivateKey\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{},\"CreateRevision\":{},\"Lease\":{}}}",
            item.revision, item.created, item.lease
        ),
        None => format!(
            "{{\"PrivateKey\":\"{key}\",\"Revision\":{},\"Tombstone\":true}}",
            item.revision
        ),
    }
}

// ---------------------------------------------------------------------------------------------
// Boxes

/// A box: the project's own program, started as the deploy file does.
pub struct BoxProcess {
    child: Child,
    pub name: String,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    folder: PathBuf,
    settings: PathBuf,
    log: PathBuf,
}

/// What the settings of a box say beside its addresses.
pub struct BoxSettings<'a> {
    pub name: &'a str,
    /// Its own loopback address, so that boxes have different ones.
    pub ip: &'a str,
    pub zone: &'a str,
    pub store: SocketAddr,
    /// The lines before the first table.
    pub top: &'a str,
    /// The further tables.
    pub tables: &'a str,
}

fn free_ports(ip: &str) -> Option<u16> {
    let seed = u64::from(std::process::id()) * 7919 + Instant::now().elapsed().as_nanos() as u64;
    static NEXT: Mutex<u64> = Mutex::new(0);
    for _ in 0..500 {
        let mut next = NEXT.lock().unwrap();
        *next += 1;
        let first = 12_000 + ((seed + *next * 8) % 18_000) as u16;
        drop(next);
        let is_free = (0..4).all(|offset| {
            TcpListener::bind((ip, first + offset)).is_ok()
                && UdpSocket::bind((ip, first + offset)).is_ok()
        });
        if is_free {
            return Some(first);
        }
    }
    None
}

/// Returns the folder for files of this run.
pub fn run_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("gatepier-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

fn spawn(settings: &Path, log: File) -> Child {
    let program =
        std::env::var("GATEPIER_BOX").unwrap_or_else(|_| "target/release/gatepier-box".to_owned());
    let mut command = Command::new(program);
    command
        .env("GATEPIER_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null());
    // A box ends with the case, however that ends.
    // SAFETY: the call accesses no memory of the parent process.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
    let child = command.spawn();
    let Ok(child) = child else {
        record("the program of the boxes cannot be started");
        std::process::exit(NOT_RUN);
    };
    child
}

impl BoxProcess {
    pub fn start(settings: &BoxSettings<'_>) -> Self {
        let BoxSettings {
            name,
            ip,
            zone,
            store,
            top,
            tables,
        } = settings;
        let port = free_ports(ip).expect("free ports");
        let folder = run_folder();
        let file = folder.join(format!("{name}.toml"));
        let text = format!(
            "NodeName = \"{name}\"\nRole = \"box\"\nMachineClass = \"front\"\nServes = [\"front\"]\nIp = \"{ip}\"\n\
             Zone = \"{zone}\"\nPortRange = [{},{}]\n{top}\n[ListenAddrs]\nFront = \"{ip}:{port}\"\nReady = \"{ip}:{}\"\n\
             {tables}\n[Platform]\nAddr = \"{store}\"\nform = \"kv\"\nWritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\n\
             ValueBytes = 1048576\nTtlMinMs = 1000\n",
            port + 2,
            port + 3,
            port + 1,
        );
        std::fs::write(&file, text).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&file, File::create(&log).expect("the log can be written"));
        record(format!("box {name} started with process id {}", child.id()));
        Self {
            child,
            name: (*name).to_owned(),
            caller: format!("{ip}:{port}").parse().unwrap(),
            ready: format!("{ip}:{}", port + 1).parse().unwrap(),
            folder,
            settings: file,
            log,
        }
    }

    pub fn signal(&self, signal: i32) {
        record(format!("box {}: signal {signal}", self.name));
        // SAFETY: it is this case's own child process.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut wire = Wire::new(stream);
        wire.send(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            && wire
                .read_response()
                .is_some_and(|response| response.status() == 200)
    }

    /// Waits until the box is ready; ends the case if it does not become so.
    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(10);
        while !self.is_ready() {
            if Instant::now() > until {
                record(format!("box {} did not become ready", self.name));
                std::process::exit(NOT_RUN);
            }
            thread::sleep(Duration::from_millis(30));
        }
        record(format!("box {} is ready", self.name));
    }

    /// Returns how the process ended, if it did.
    pub fn ended(&mut self) -> Option<String> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.to_string())
    }

    /// Returns the resident memory of the process in bytes.
    pub fn resident_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        record(format!("box {}: killed", self.name));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills the process and starts it again after a time. The settings are the same, but for what
    /// they say of the first start of the whole system.
    pub fn kill_and_restart(&mut self, pause: Duration) {
        self.kill();
        thread::sleep(pause);
        let text = std::fs::read_to_string(&self.settings).expect("the settings can be read");
        let text = text.replace("Bootstrap = true", "Bootstrap = false");
        std::fs::write(&self.settings, text).expect("the settings can be written");
        let log = std::fs::OpenOptions::new()
            .append(true)
            .open(&self.log)
            .expect("the log can be written");
        self.child = spawn(&self.settings, log);
        record(format!(
            "box {} started again with process id {}",
            self.name,
            self.child.id()
        ));
    }

    pub fn log_lines(&self, needle: &str) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines()
            .filter(|line| line.contains(needle))
            .map(str::to_owned)
            .collect()
    }
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
