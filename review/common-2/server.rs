//! Stand-ins for servers, which behave as sound ones: they echo the id of an attempt, refuse what is
//! meant for another instance or exceeds their room, and drop a request whose connection closes.

use crate::http::{Head, Reader};
use crate::record::Record;
use crate::store::Store;
use std::io::{ErrorKind, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How often a server writes its entry; the entry of one that crashed goes after three times this.
pub const BEAT: Duration = Duration::from_millis(1200);
/// How often a server looks whether a request's connection is still open.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// What a request takes.
#[derive(Debug, Clone, Copy)]
pub enum Work {
    /// An answer with a length after this time.
    Plain(Duration),
    /// A stream of this many events: the time to read the prompt, and between events.
    Stream(u32, Duration, Duration),
}

/// A request that arrived at a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Duration,
    pub attempt: String,
}

/// What all servers of a case share.
#[derive(Clone)]
pub struct Shared {
    pub store: Arc<Store>,
    pub log: Record,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

/// How the servers of a service are.
#[derive(Debug, Clone)]
pub struct Kind {
    pub service: &'static str,
    pub slots: usize,
    pub queue: usize,
    pub work: Work,
}

pub struct Server {
    pub id: String,
    pub hall: String,
    kind: Kind,
    address: SocketAddr,
    shared: Shared,
    lives: AtomicBool,
    running: AtomicUsize,
    waiting: AtomicUsize,
    connections: Mutex<Vec<TcpStream>>,
}

impl Server {
    /// Starts a server, which writes its entry into the store.
    pub fn start(id: &str, hall: &str, kind: &Kind, shared: &Shared) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let server = Arc::new(Self {
            id: id.to_owned(),
            hall: hall.to_owned(),
            kind: kind.clone(),
            address: listener.local_addr()?,
            shared: shared.clone(),
            lives: AtomicBool::new(true),
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            connections: Mutex::default(),
        });
        let serving = server.clone();
        std::thread::spawn(move || serving.accept(listener));
        server.write_entry("ready");
        shared.log.note(&format!("server {id} starts"));
        Ok(server)
    }

    fn write_entry(&self, state: &str) {
        let engine = match self.kind.work {
            Work::Plain(_) => "",
            Work::Stream(..) => {
                ",\"Phase\":\"unified\",\"Models\":[{\"Name\":\"m0\",\"Version\":1,\"Adapters\":[]}]"
            }
        };
        let (service, slots) = (self.kind.service, self.kind.slots);
        let (address, hall) = (self.address, &self.hall);
        let entry = format!(
            "{{\"Service\":\"{service}\",\"Addr\":\"{address}\",\"Zone\":\"{hall}\",\"Version\":\"v1\",\"Slots\":{slots},\"State\":\"{state}\",\"ColdLeftMs\":0{engine},\"Seq\":1}}"
        );
        self.shared.store.put(&self.key(), &entry);
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn lives(&self) -> bool {
        self.lives.load(Ordering::SeqCst)
    }

    fn end(&self) {
        self.lives.store(false, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Ends without a word; the entry goes after three heartbeats.
    pub fn crash(self: &Arc<Self>) {
        self.shared.log.note(&format!("server {} crashes", self.id));
        self.end();
        let crashed = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(BEAT * 3);
            crashed.shared.store.remove(&crashed.key());
        });
    }

    /// States that it drains, serves on for a time and ends.
    pub fn leave(self: &Arc<Self>, serves_on: Duration) {
        self.write_entry("draining");
        self.shared.log.note(&format!("server {} drains", self.id));
        let leaving = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(serves_on);
            leaving.end();
            leaving.shared.store.remove(&leaving.key());
            leaving
                .shared
                .log
                .note(&format!("server {} has left", leaving.id));
        });
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        while self.lives() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let (serving, clone) = (self.clone(), stream.try_clone());
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(clone) = clone {
                        self.connections.lock().unwrap().push(clone);
                    }
                    std::thread::spawn(move || serving.serve(stream));
                }
                Err(err) if err.kind() == ErrorKind::WouldBlock => {
                    std::thread::sleep(Duration::from_millis(1));
                }
                Err(_) => {}
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Ok(head) = reader.head() {
            if reader.body(&head).is_err() || !self.answer(&mut reader, &head) {
                break;
            }
        }
        let _ = reader.stream.shutdown(std::net::Shutdown::Both);
    }

    /// Answers a request; returns whether the connection stays open.
    fn answer(&self, reader: &mut Reader, head: &Head) -> bool {
        let attempt = head
            .header("gatepier-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let expected = head.header("gatepier-expect-instance");
        if head.word(1) == "/health" {
            let load = self.load();
            let text = format!(
                "HTTP/1.1 200 OK\r\nGatepier-Instance-Id: {}\r\nGatepier-Server-Load: {load}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return reader.stream.write_all(text.as_bytes()).is_ok();
        }
        if expected.is_some_and(|expected| expected != self.id) {
            return self.refuse(reader, &attempt, "421 Misdirected Request");
        }
        let arrival = Arrival {
            at: self.shared.log.now(),
            attempt: attempt.clone(),
        };
        self.shared.arrivals.lock().unwrap().push(arrival);
        if !self.enter(reader) {
            self.shared
                .log
                .note(&format!("server {} refuses {attempt} with 503", self.id));
            return self.refuse(reader, &attempt, "503 Service Unavailable");
        }
        self.shared
            .log
            .note(&format!("server {} runs {attempt}", self.id));
        let is_open = match self.kind.work {
            Work::Plain(time) => self.run_plain(reader, &attempt, time),
            Work::Stream(events, read, pause) => {
                let after = head
                    .header("last-event-id")
                    .and_then(|text| text.parse().ok());
                let after: u32 = after.unwrap_or(0);
                self.run_stream(reader, &attempt, after..events, read, pause)
            }
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        let end = if is_open { "ends" } else { "breaks off" };
        self.shared
            .log
            .note(&format!("server {}: the run of {attempt} {end}", self.id));
        is_open
    }

    fn load(&self) -> String {
        let (running, waiting) = (
            self.running.load(Ordering::SeqCst),
            self.waiting.load(Ordering::SeqCst),
        );
        format!("{running},{waiting},{}", self.kind.slots)
    }

    /// Takes a slot, for which a few requests may wait; false if there is no room.
    fn enter(&self, reader: &Reader) -> bool {
        let take = |running: usize| (running < self.kind.slots).then_some(running + 1);
        let taken = || {
            let order = Ordering::SeqCst;
            self.running.fetch_update(order, order, take).is_ok()
        };
        if taken() {
            return true;
        }
        if self.waiting.fetch_add(1, Ordering::SeqCst) >= self.kind.queue {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            return false;
        }
        let mut has_slot = false;
        while !has_slot && self.wait(&reader.stream, Duration::from_millis(2)) {
            has_slot = taken();
        }
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        has_slot
    }

    /// Waits; false as soon as the caller has closed the connection or the server has ended.
    fn wait(&self, stream: &TcpStream, time: Duration) -> bool {
        let until = Instant::now() + time;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return self.lives();
            }
            let _ = stream.set_read_timeout(Some(left.min(LOOK_INTERVAL)));
            let peeked = stream.peek(&mut [0]);
            let _ = stream.set_read_timeout(None);
            let is_open = match peeked {
                Ok(count) => count > 0,
                Err(err) => matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
            };
            if !is_open || !self.lives() {
                return false;
            }
        }
    }

    fn refuse(&self, reader: &mut Reader, attempt: &str, status: &str) -> bool {
        let text = format!(
            "HTTP/1.1 {status}\r\nGatepier-Attempt-Id: {attempt}\r\nGatepier-Not-Executed: 1\r\nGatepier-Instance-Id: {}\r\nGatepier-Server-Load: {}\r\nContent-Length: 0\r\n\r\n",
            self.id,
            self.load()
        );
        reader.stream.write_all(text.as_bytes()).is_ok()
    }

    fn head(&self, attempt: &str, rest: &str) -> String {
        let (id, load) = (&self.id, self.load());
        format!(
            "HTTP/1.1 200 OK\r\nGatepier-Attempt-Id: {attempt}\r\nGatepier-Server-Seal: seal.{id}.{attempt}\r\nGatepier-Server-Load: {load}\r\n{rest}\r\n\r\n"
        )
    }

    fn run_plain(&self, reader: &mut Reader, attempt: &str, time: Duration) -> bool {
        if !self.wait(&reader.stream, time) {
            return false;
        }
        let body = format!("answer to {attempt}");
        let rest = format!("Content-Length: {}", body.len());
        let text = self.head(attempt, &rest) + &body;
        reader.stream.write_all(text.as_bytes()).is_ok()
    }

    fn run_stream(
        &self,
        reader: &mut Reader,
        attempt: &str,
        events: std::ops::Range<u32>,
        read: Duration,
        pause: Duration,
    ) -> bool {
        let rest = "Content-Type: text/event-stream\r\nGatepier-Weight-Versions: 1\r\nTransfer-Encoding: chunked";
        let mut text = self.head(attempt, rest);
        let mut wait = read;
        for event in events {
            if !self.wait(&reader.stream, wait) {
                return false;
            }
            wait = pause;
            let piece = format!("id: {}\ndata: piece {}\n\n", event + 1, event + 1);
            text.push_str(&format!("{:x}\r\n{piece}\r\n", piece.len()));
            if reader.stream.write_all(text.as_bytes()).is_err() {
                return false;
            }
            text.clear();
        }
        text.push_str("0\r\n\r\n");
        reader.stream.write_all(text.as_bytes()).is_ok()
    }
}
