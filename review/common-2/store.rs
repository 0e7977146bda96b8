//! A stand-in for the platform's metadata store, which behaves as a sound one.

use crate::http::{Head, Reader};
use crate::json::{Json, base64};
use std::collections::{BTreeMap, HashMap};
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// How long an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// The most items of a page.
const PAGE_ITEMS: usize = 500;

#[derive(Debug, Clone)]
struct Item {
    /// The value in base64; none if the item was removed.
    value: Option<String>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    next_lease: u64,
    /// The time to live and the end of each lease.
    leases: HashMap<u64, (Duration, Instant)>,
}

pub struct Store {
    pub address: SocketAddr,
    contents: Mutex<Contents>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            contents: Mutex::default(),
            changed: Condvar::new(),
        });
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        Ok(store)
    }

    /// Writes an item as operators and servers do.
    pub fn put(&self, key: &str, value: &str) {
        let mut contents = self.contents.lock().unwrap();
        contents.revision += 1;
        contents.write(key, Some(base64(value.as_bytes())), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut contents = self.contents.lock().unwrap();
        contents.revision += 1;
        contents.write(key, None, 0);
        self.changed.notify_all();
    }

    fn expire(&self) {
        let mut contents = self.contents.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = contents
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            contents.end_lease(lease);
            self.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(head) = reader.head() {
            let Ok(body) = reader.body(&head) else {
                return;
            };
            std::thread::sleep(ANSWER_TIME);
            let (status, answer) = self.answer(&head, &String::from_utf8_lossy(&body));
            let text = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if reader.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.map_or(String::new(), |(_, value)| value.replace("%2F", "/"))
        };
        let id = || {
            path.rsplit('/')
                .next()
                .and_then(|text| text.parse().ok())
                .unwrap_or(0)
        };
        let name = path.strip_prefix("/-/").unwrap_or_default();
        match name.split('/').next().unwrap_or_default() {
            "kv-range" => self.range(&field("PathPrefix"), &field("SinceRev")),
            "kv-key" => self.item(&field("PrivateKey")),
            "kv-watch" => {
                let since = field("SinceRev").parse().unwrap_or(0);
                let wait = field("WaitMs").parse().unwrap_or(0);
                self.watch(&field("PathPrefix"), since, Duration::from_millis(wait))
            }
            "kv-txn" => self.transact(body),
            "kv-lease" => {
                let ttl = Json::parse(body).map_or(0, |asked| asked.number("TtlMs"));
                let mut contents = self.contents.lock().unwrap();
                contents.next_lease += 1;
                let lease = contents.next_lease;
                let ttl_time = Duration::from_millis(ttl);
                contents
                    .leases
                    .insert(lease, (ttl_time, Instant::now() + ttl_time));
                (200, format!("{{\"Lease\":{lease},\"TtlMs\":{ttl}}}"))
            }
            "kv-keep" => match self.contents.lock().unwrap().leases.get_mut(&id()) {
                Some((ttl, end)) => {
                    *end = Instant::now() + *ttl;
                    (200, format!("{{\"TtlMs\":{}}}", ttl.as_millis()))
                }
                None => (404, "{}".to_owned()),
            },
            "kv-lease-end" => {
                self.contents.lock().unwrap().end_lease(id());
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let contents = self.contents.lock().unwrap();
        let live = contents.items.iter().filter(|(key, item)| {
            key.starts_with(prefix) && key.as_str() > after && item.value.is_some()
        });
        let found: Vec<String> = live.map(|(key, item)| item.describe(key)).collect();
        let truncated = found.len() > PAGE_ITEMS;
        let page: Vec<String> = found.into_iter().take(PAGE_ITEMS).collect();
        let (items, revision) = (page.join(","), contents.revision);
        (
            200,
            format!("{{\"Items\":[{items}],\"Truncated\":{truncated},\"CurrentRev\":{revision}}}"),
        )
    }

    fn item(&self, key: &str) -> (u16, String) {
        let contents = self.contents.lock().unwrap();
        match contents.items.get(key).filter(|item| item.value.is_some()) {
            Some(item) => (200, item.describe(key)),
            None => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, prefix: &str, since: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut contents = self.contents.lock().unwrap();
        loop {
            let newer = contents.items.iter();
            let newer =
                newer.filter(|(key, item)| key.starts_with(prefix) && item.revision > since);
            let mut events: Vec<(u64, String)> = newer
                .map(|(key, item)| (item.revision, item.describe(key)))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                events.sort();
                let texts: Vec<String> = events.into_iter().map(|(_, text)| text).collect();
                let (texts, revision) = (texts.join(","), contents.revision);
                return (
                    200,
                    format!("{{\"events\":[{texts}],\"CurrentRev\":{revision}}}"),
                );
            }
            contents = self.changed.wait_timeout(contents, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(asked) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let mut contents = self.contents.lock().unwrap();
        let puts = asked.list("Puts");
        let is_foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if puts.iter().any(|put| is_foreign(put.text("PrivateKey"))) {
            return (403, "{}".to_owned());
        }
        for expected in asked.list("ExpectedRev") {
            let known = contents.items.get(expected.text("PrivateKey"));
            let known = known.filter(|item| item.value.is_some());
            if known.map_or(0, |item| item.revision) != expected.number("Revision") {
                return (412, "{\"Items\":[]}".to_owned());
            }
        }
        for put in puts {
            let lease = put.number("Lease");
            if lease != 0 && !contents.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        contents.revision += 1;
        for put in puts {
            let value = Some(put.text("Value").to_owned());
            contents.write(put.text("PrivateKey"), value, put.number("Lease"));
        }
        for key in asked.list("Remove") {
            if let Json::Text(key) = key {
                contents.write(key, None, 0);
            }
        }
        self.changed.notify_all();
        (200, format!("{{\"Revision\":{}}}", contents.revision))
    }
}

impl Contents {
    fn write(&mut self, key: &str, value: Option<String>, lease: u64) {
        let revision = self.revision;
        let known = self.items.get(key).filter(|item| item.value.is_some());
        let item = Item {
            value,
            revision,
            created: known.map_or(revision, |item| item.created),
            lease,
        };
        self.items.insert(key.to_owned(), item);
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter();
        let held = held.filter(|(_, item)| item.lease == lease && item.value.is_some());
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.write(&key, None, 0);
        }
    }
}

impl Item {
    fn describe(&self, key: &str) -> String {
        let Self {
            value,
            revision,
            created,
            lease,
        } = self;
        match value {
            Some(value) => format!(
                "{{\"PrivateKey\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"CreateRevision\":{created},\"Lease\":{lease}}}"
            ),
            None => {
                format!("{{\"PrivateKey\":\"{key}\",\"Revision\":{revision},\"Tombstone\":true}}")
            }
        }
    }
}
