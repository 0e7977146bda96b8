//! Asking the hubs for what the store holds, and fetching what they name.
//!
//! A box asks one hub several times a second ([`super::hubs`]) and makes one fetch at a time.
//! See `docs/design/spreading.md`.

use super::fetch::{Progress, Wanted, fetch};
use super::hubs::{Fetching, Question, Told, choose_hubs};
use super::packing::Unusable;
use super::spread::Source;
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::control::follow::{take_changes, take_part};
use crate::gateway::control::mirror::PackedChanges;
use crate::gateway::control::store::{BoxEntry, ControlStore};
use crate::wire::WireError;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// The time between two questions of a box.
const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// The same for a box that was told to ask again for what it lacks: about the time that a
/// sender takes to be free again.
const ASK_AGAIN_INTERVAL: Duration = Duration::from_millis(100);
/// The least time between two questions, however many fetches end or fail.
const LEAST_ASK_INTERVAL: Duration = Duration::from_millis(30);
/// How long an answer may take before the next question goes to another box. The way there
/// and back takes 3 ms and a turn of a busy processor some ten; a hub that was lost was
/// asked for 1.3 s in vain while its last answer alone was looked at.
const ANSWER_WAIT: Duration = Duration::from_millis(250);
/// How old a hub's knowledge may be for the next question to go to it again.
const TRUSTED_AGE: Duration = Duration::from_millis(1300);
/// Boxes that are asked in turn beside the hubs while no hub knows anything fresh.
const OTHERS_ASKED: usize = 4;
/// How many times in a row items may be of no use before they are asked for as a whole.
/// Once happens where two changes overtake each other, and the next question mends it.
const USELESS_BEFORE_WHOLE: u32 = 2;

/// How the boxes that were asked answered, and what this box fetches.
#[derive(Debug, Default)]
pub struct Asking {
    asked: RefCell<HashMap<SocketAddr, Asked>>,
    fetching: Cell<Fetching>,
    /// Whether the next question is due soon, but not at once.
    asks_again: Cell<bool>,
    /// How many times in a row what came was of no use.
    unusable: Cell<u32>,
    /// Rings when the next question should not wait for its usual time.
    ask_now: Notify,
}

/// How a box that was asked behaves.
#[derive(Debug, Clone, Copy, Default)]
struct Asked {
    /// When the question was sent that it has not answered.
    unanswered_since: Option<Duration>,
    /// When it answered last, and how old its knowledge was then.
    answered: Option<(Duration, Duration)>,
}

impl Asking {
    /// Tells whether items have to come as a whole, since differences were of no use.
    fn wants_whole(&self) -> bool {
        self.unusable.get() >= USELESS_BEFORE_WHOLE
    }

    fn ask_again_soon(&self) {
        self.asks_again.set(true);
        self.ask_now.notify_one();
    }

    /// Tells whether a fetch is under way.
    pub fn is_fetching(&self) -> bool {
        self.fetching.get() == Fetching::UnderWay
    }

    fn asks(&self, address: SocketAddr, now: Now) {
        let mut asked = self.asked.borrow_mut();
        let asked = asked.entry(address).or_default();
        asked.unanswered_since.get_or_insert(now.monotonic);
    }

    fn answered(&self, address: SocketAddr, age: Duration, now: Now) {
        let asked = Asked {
            unanswered_since: None,
            answered: Some((now.monotonic, age)),
        };
        self.asked.borrow_mut().insert(address, asked);
    }

    /// Returns whether a box's last answer, and none missing since, is a reason to ask it
    /// again.
    fn is_trusted(&self, address: SocketAddr, now: Now) -> bool {
        let asked = self.asked.borrow();
        let Some(asked) = asked.get(&address) else {
            return false;
        };
        let since = |at: Duration| now.monotonic.saturating_sub(at);
        let is_silent = asked
            .unanswered_since
            .is_some_and(|at| since(at) > ANSWER_WAIT);
        let is_fresh = asked
            .answered
            .is_some_and(|(at, age)| since(at) + age < TRUSTED_AGE);
        is_fresh && !is_silent
    }
}

/// Asks a hub again and again, for as long as the process lives.
pub async fn ask(gw: &Gateway, send: impl AsyncFn(SocketAddr, Question)) {
    let mut turn = 0;
    loop {
        await_next_question(&gw.hub_queries).await;
        let now = Now::read();
        if gw.is_hub() && gw.has_knowledge_within(TRUSTED_AGE, now) {
            continue;
        }
        let Some(hub) = next_hub(gw, &mut turn, now) else {
            continue;
        };
        let question = Question {
            after: gw.mirror.borrow().revision(),
            asked_micros: u64::try_from(now.monotonic.as_micros()).unwrap_or(u64::MAX),
            fetching: gw.hub_queries.fetching.get(),
        };
        if question.fetching != Fetching::UnderWay {
            // A failure is told once; the next hub may know of no other sender.
            gw.hub_queries.fetching.set(Fetching::None);
        }
        gw.hub_queries.asks(hub, now);
        send(hub, question).await;
    }
}

async fn await_next_question(asking: &Asking) {
    sleep(LEAST_ASK_INTERVAL).await;
    let rung = asking.ask_now.notified();
    // Whether the time is over or it has rung, the next question is due.
    let _ = tokio::time::timeout(ASK_INTERVAL - LEAST_ASK_INTERVAL, rung).await;
    if asking.asks_again.take() {
        sleep(ASK_AGAIN_INTERVAL - LEAST_ASK_INTERVAL).await;
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
    asked.retain(|entry| entry.address != settings.peer_addr);
    let trusted = asked
        .iter()
        .find(|entry| gw.hub_queries.is_trusted(entry.address, now));
    if let Some(entry) = trusted {
        return Some(entry.address);
    }
    *turn = turn.wrapping_add(1);
    let at = *turn % asked.len().max(1);
    asked.get(at).map(|entry| entry.address)
}

/// Takes what a hub tells, and begins to fetch what did not fit.
pub fn take_told(gw: &Rc<Gateway>, store: &Rc<dyn ControlStore>, told: Told, hub: SocketAddr) {
    let now = Now::read();
    let age = Duration::from_millis(told.age_ms);
    if told.asked_micros.is_some() {
        gw.hub_queries.answered(hub, age, now);
    }
    let own = gw.mirror.borrow().revision();
    if told.revision > own {
        gw.knowledge.borrow_mut().hear_of_newer(told.revision, now);
    }
    let fits = told.changes.is_all || told.changes.after <= own;
    if !fits {
        // News for a box that is further on; the next question brings what this one lacks.
        return;
    }
    gw.telemetry.count_item_bytes("hub", told.changes.len());
    let unpacked = gw.mirror.borrow().unpack(told.changes);
    match (unpacked, told.rest) {
        (Ok(changes), None) => {
            gw.hub_queries.unusable.set(0);
            take_changes(gw, &**store, changes, "hub");
        }
        (Ok(changes), Some(source)) => {
            take_part(gw, &**store, changes, "hub");
            fetch_rest(gw, store, source, hub);
        }
        (Err(err), _) => {
            unusable(gw, &err, hub);
            if gw.hub_queries.wants_whole() {
                fetch_rest(gw, store, Source::Hub, hub);
            }
        }
    }
    if let Some(asked) = told.asked_micros
        && gw.mirror.borrow().revision() >= told.revision
        && let Some(as_of) = Duration::from_micros(asked).checked_sub(age)
    {
        gw.confirm_fresh_as_of(as_of);
    }
}

/// Notes that something came which cannot be used; the next question is due soon.
fn unusable(gw: &Gateway, err: &Unusable, from: SocketAddr) {
    gw.hub_queries
        .unusable
        .set(gw.hub_queries.unusable.get() + 1);
    gw.hub_queries.ask_again_soon();
    let reason = err.to_string();
    log::warn!(from = from.to_string().as_str(), reason = reason.as_str(); "items cannot be used, what was known stays in force");
}

/// Begins to fetch, unless a fetch is under way.
fn fetch_rest(gw: &Rc<Gateway>, store: &Rc<dyn ControlStore>, source: Source, hub: SocketAddr) {
    if gw.hub_queries.is_fetching() {
        return;
    }
    let from = match source {
        Source::Hub => hub,
        Source::Other(address) => address,
        Source::AskAgain => {
            gw.hub_queries.ask_again_soon();
            return;
        }
    };
    gw.hub_queries.fetching.set(Fetching::UnderWay);
    let (gw, store) = (gw.clone(), store.clone());
    actix_rt::spawn(async move {
        let is_taken = fetch_and_take(&gw, &*store, from).await;
        gw.hub_queries.fetching.set(match is_taken {
            true => Fetching::None,
            false => Fetching::Failed(source),
        });
        // The hub learns that its sender is free, and brings the proof of freshness.
        gw.hub_queries.ask_now.notify_one();
    });
}

/// Fetches from a box; false if nothing could be taken.
async fn fetch_and_take(gw: &Gateway, store: &dyn ControlStore, from: SocketAddr) -> bool {
    let began = Now::read();
    let wanted = Wanted {
        after: gw.mirror.borrow().revision(),
        as_a_whole: gw.hub_queries.wants_whole(),
    };
    let progress = Progress::default();
    let fetched = fetch(from, wanted, &progress).await;
    gw.telemetry.count_item_bytes("fetch", progress.bytes());
    let outcome = match fetched {
        Ok(packed) => take_fetched(gw, store, packed),
        Err(err) => Err(FetchError::Lost(err)),
    };
    let took = Now::read().monotonic.saturating_sub(began.monotonic);
    gw.telemetry
        .record_fetch(from, &outcome, progress.bytes(), took);
    if let Err(FetchError::Unusable(err)) = &outcome {
        unusable(gw, err, from);
    }
    outcome.is_ok()
}

/// Why a fetch brought nothing.
#[derive(Debug)]
pub enum FetchError {
    /// The bytes did not come.
    Lost(WireError),
    /// What came cannot be used.
    Unusable(Unusable),
    /// This box has got further on its own in the meantime, or the sender is behind it.
    Behind,
}

impl fmt::Display for FetchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(err) => write!(f, "{err}"),
            Self::Unusable(err) => write!(f, "{err}"),
            Self::Behind => write!(f, "it does not lead on from what this box has"),
        }
    }
}

impl FetchError {
    /// Returns the outcome's name in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Lost(_) => "lost",
            Self::Unusable(_) => "unusable",
            Self::Behind => "behind",
        }
    }
}

fn take_fetched(
    gw: &Gateway,
    store: &dyn ControlStore,
    packed: PackedChanges,
) -> Result<(), FetchError> {
    let own = gw.mirror.borrow().revision();
    if !packed.is_all && packed.after > own || packed.revision < own {
        return Err(FetchError::Behind);
    }
    let changes = gw
        .mirror
        .borrow()
        .unpack(packed)
        .map_err(FetchError::Unusable)?;
    gw.hub_queries.unusable.set(0);
    take_changes(gw, store, changes, "fetch");
    Ok(())
}
