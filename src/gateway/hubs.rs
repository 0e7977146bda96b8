//! Passing on what the store holds, so that few boxes call it.
//!
//! The hubs are the box registered longest and the one registered longest in another
//! hall. The others ask one of them several times a second, with the revision that they
//! have reached, and are told what came since. An answer names the age of the hub's
//! knowledge, and the asking box counts that from its own question, so that no delay on
//! the way makes knowledge look fresher than it is. A hub also tells its askers of news at
//! once. What does not fit into a datagram is fetched over an `h2` stream.
//! See `docs/design/platform.md`.

use super::Gateway;
use super::control::{BoxEntry, ControlStore};
use super::follow::take_changes;
use super::mirror::Changes;
use crate::clock::Now;
use crate::wire::{self, WireError};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// The time between two questions of a box.
const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// How old a hub's knowledge may be for the next question to go to it again.
const TRUSTED_AGE: Duration = Duration::from_millis(1300);
/// Boxes that are asked in turn beside the hubs while no hub knows anything fresh.
const OTHERS_ASKED: usize = 4;
/// How long a box that asked is told of news at once.
const ASKER_LIFETIME: Duration = Duration::from_secs(2);
/// The most bytes of items that go into a datagram.
const DATAGRAM_ITEMS: usize = 12 * 1024;
/// How long a fetch may take.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// The path of fetches.
const FETCH_PATH: &str = "/items";

/// A question to a hub.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Question {
    /// The revision that the asking box has reached.
    after: u64,
    /// The asking box's steady clock when it asked, in microseconds.
    asked_micros: u64,
}

/// A hub's answer, or its news without a question.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Told {
    /// The clock of the question that this answers; none for news.
    asked_micros: Option<u64>,
    /// The age of the hub's knowledge, in milliseconds.
    age_ms: u64,
    /// What came since; none if it does not fit.
    changes: Option<Changes>,
    /// The revision that the hub has reached.
    revision: u64,
}

/// Which boxes asked this one of late, and how the hubs answered.
#[derive(Debug, Default)]
pub struct Hubs {
    askers: RefCell<HashMap<SocketAddr, Duration>>,
    answers: RefCell<HashMap<SocketAddr, HubAnswer>>,
}

/// How a hub answered last.
#[derive(Debug, Clone, Copy)]
struct HubAnswer {
    at: Duration,
    age: Duration,
}

/// Returns the hubs among boxes: the one registered longest, and the one registered
/// longest in another hall, or else the next.
pub fn choose_hubs<'a>(boxes: impl Iterator<Item = &'a BoxEntry>) -> Vec<&'a BoxEntry> {
    let mut boxes: Vec<&BoxEntry> = boxes.collect();
    boxes.sort_by_key(|entry| entry.registered);
    let Some((first, rest)) = boxes.split_first() else {
        return Vec::new();
    };
    let other_hall = rest.iter().find(|entry| entry.hall != first.hall);
    let second = other_hall.or(rest.first());
    std::iter::once(*first).chain(second.copied()).collect()
}

impl Hubs {
    /// Answers a question.
    pub fn answer(&self, gw: &Gateway, question: Question, from: SocketAddr, now: Now) -> Told {
        self.askers.borrow_mut().insert(from, now.monotonic);
        tell(gw, question.after, Some(question.asked_micros), now)
    }

    /// Returns the boxes that asked a short while ago.
    fn askers(&self, now: Now) -> Vec<SocketAddr> {
        let mut askers = self.askers.borrow_mut();
        askers.retain(|_, at| now.monotonic.saturating_sub(*at) < ASKER_LIFETIME);
        askers.keys().copied().collect()
    }

    fn answered(&self, hub: SocketAddr, age: Duration, now: Now) {
        let answer = HubAnswer {
            at: now.monotonic,
            age,
        };
        self.answers.borrow_mut().insert(hub, answer);
    }

    /// Returns whether a hub's last answer is a reason to ask it again.
    fn is_trusted(&self, hub: SocketAddr, now: Now) -> bool {
        let answers = self.answers.borrow();
        answers.get(&hub).is_some_and(|answer| {
            now.monotonic.saturating_sub(answer.at) + answer.age < TRUSTED_AGE
        })
    }
}

fn tell(gw: &Gateway, after: u64, asked_micros: Option<u64>, now: Now) -> Told {
    let mirror = gw.mirror.borrow();
    let knowledge = gw.knowledge.borrow();
    let changes = mirror.changes_after(after);
    let bytes: usize = changes
        .items
        .iter()
        .map(|item| item.key.len() + item.value.as_ref().map_or(0, Vec::len))
        .sum();
    Told {
        asked_micros,
        age_ms: millis(knowledge.age(now).unwrap_or(Duration::MAX)),
        revision: changes.revision,
        changes: (bytes <= DATAGRAM_ITEMS).then_some(changes),
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Asks a hub again and again, for as long as the process lives.
pub async fn ask(gw: &Gateway, send: impl AsyncFn(SocketAddr, Question)) {
    let mut turn = 0;
    loop {
        sleep(ASK_INTERVAL).await;
        let now = Now::read();
        if gw.is_hub() && gw.knows_within(TRUSTED_AGE, now) {
            continue;
        }
        let Some(hub) = next_hub(gw, &mut turn, now) else {
            continue;
        };
        let question = Question {
            after: gw.mirror.borrow().revision(),
            asked_micros: u64::try_from(now.monotonic.as_micros()).unwrap_or(u64::MAX),
        };
        send(hub, question).await;
    }
}

/// Returns the hub of the own hall, or any whose last answer was fresh; else the hubs and
/// some other boxes take turns, since some may still reach the store.
fn next_hub(gw: &Gateway, turn: &mut usize, now: Now) -> Option<SocketAddr> {
    let settings = gw.settings();
    let knowledge = gw.knowledge.borrow();
    let mut asked = choose_hubs(knowledge.boxes());
    asked.sort_by_key(|hub| hub.hall != settings.hall);
    let mut others = knowledge.boxes_by_age();
    let is_hub = |entry: &&BoxEntry| asked.iter().any(|hub| hub.address == entry.address);
    others.retain(|entry| !is_hub(entry));
    asked.extend(others.into_iter().take(OTHERS_ASKED));
    asked.retain(|entry| entry.address != settings.peers);
    let trusted = asked
        .iter()
        .find(|entry| gw.hubs.is_trusted(entry.address, now));
    if let Some(entry) = trusted {
        return Some(entry.address);
    }
    *turn = turn.wrapping_add(1);
    let at = *turn % asked.len().max(1);
    asked.get(at).map(|entry| entry.address)
}

/// Takes what a hub tells; what did not fit is fetched.
pub async fn take_told(gw: Rc<Gateway>, store: Rc<dyn ControlStore>, told: Told, hub: SocketAddr) {
    let now = Now::read();
    let age = Duration::from_millis(told.age_ms);
    if told.asked_micros.is_some() {
        gw.hubs.answered(hub, age, now);
    }
    let own = gw.mirror.borrow().revision();
    let fitting = told
        .changes
        .filter(|changes| changes.is_all || changes.after <= own);
    match fitting {
        Some(changes) => take_changes(&gw, &*store, changes, "hub"),
        // News that does not fit comes with the answer to the next question.
        None if told.asked_micros.is_none() => return,
        None if told.revision > own => match fetch(hub, own).await {
            Ok(changes) => take_changes(&gw, &*store, changes, "hub fetch"),
            Err(err) => {
                log::warn!("what {hub} has cannot be fetched: {err}");
                return;
            }
        },
        None => {}
    }
    if let Some(asked) = told.asked_micros
        && gw.mirror.borrow().revision() >= told.revision
        && let Some(as_of) = Duration::from_micros(asked).checked_sub(age)
    {
        gw.knowledge.borrow_mut().confirm(as_of);
    }
}

/// Tells askers of news at once, for as long as the process lives.
pub async fn tell_news(gw: &Gateway, send: impl AsyncFn(SocketAddr, Told)) {
    loop {
        let before = gw.mirror.borrow().revision();
        gw.news.notified().await;
        let now = Now::read();
        for asker in gw.hubs.askers(now) {
            send(asker, tell(gw, before, None, now)).await;
        }
    }
}

/// Serves fetches for as long as the process lives.
pub async fn serve_fetches(gw: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let gw = gw.clone();
                actix_rt::spawn(async move {
                    let served = timeout(FETCH_TIMEOUT, serve_fetch(&gw, stream)).await;
                    if let Ok(Err(err)) = served {
                        log::debug!("a fetch of {from} failed: {err}");
                    }
                });
            }
            Err(err) => {
                log::warn!("a fetch cannot be accepted: {err}");
                sleep(ASK_INTERVAL).await;
            }
        }
    }
}

async fn serve_fetch(gw: &Gateway, stream: TcpStream) -> Result<(), WireError> {
    let mut connection = h2::server::handshake(stream).await.map_err(lost)?;
    while let Some(accepted) = connection.accept().await {
        let (req, mut respond) = accepted.map_err(lost)?;
        let changes = match req.uri().query().and_then(|after| after.parse().ok()) {
            Some(after) if req.uri().path() == FETCH_PATH => {
                gw.mirror.borrow().changes_after(after)
            }
            _ => return Err(WireError::NoAnswer("it asks for something else".to_owned())),
        };
        let mut body = respond
            .send_response(http::Response::new(()), false)
            .map_err(lost)?;
        body.send_data(wire::encode(&changes)?, true)
            .map_err(lost)?;
    }
    Ok(())
}

async fn fetch(hub: SocketAddr, after: u64) -> Result<Changes, WireError> {
    let fetching = timeout(FETCH_TIMEOUT, try_fetch(hub, after)).await;
    fetching.map_err(|_| WireError::NoAnswer("out of time".to_owned()))?
}

async fn try_fetch(hub: SocketAddr, after: u64) -> Result<Changes, WireError> {
    let stream = TcpStream::connect(hub)
        .await
        .map_err(|err| WireError::NotSent(err.to_string()))?;
    let (mut sender, connection) = h2::client::handshake(stream).await.map_err(lost)?;
    let driver = actix_rt::spawn(connection);
    let req = http::Request::builder()
        .uri(format!("http://{hub}{FETCH_PATH}?{after}"))
        .body(())
        .map_err(|err| WireError::NotSent(err.to_string()))?;
    let (response, _) = sender.send_request(req, true).map_err(lost)?;
    let mut body = response.await.map_err(lost)?.into_body();
    let answer = wire::read_body(&mut body).await;
    driver.abort();
    wire::decode(&answer?)
}

fn lost(err: h2::Error) -> WireError {
    WireError::NoAnswer(err.to_string())
}
