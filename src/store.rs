//! The platform's key-value service, behind one trait.
//!
//! Everything that is agreed or has to last goes through here, one key at a time.
//! A new form of the service costs one module like [`etcd`].

pub mod etcd;
pub mod layout;

use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::fmt;

/// A value with the revision at which it was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// The value.
    pub value: Vec<u8>,
    /// The store's revision at the last write of the key.
    pub revision: u64,
}

/// The outcome of a conditional write that the store answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The condition held and the value is written.
    Written,
    /// The condition did not hold; the key holds this.
    Conflict(Option<Versioned>),
}

/// Why the store gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The call never reached the store.
    Unreachable(String),
    /// The call may have taken effect, but no answer came.
    AnswerLost(String),
    /// The store turned the call away and did nothing.
    Refused(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "the store cannot be reached: {reason}"),
            Self::AnswerLost(reason) => write!(f, "the store's answer was lost: {reason}"),
            Self::Refused(reason) => write!(f, "the store turned the call away: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The condition of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The key must not exist.
    Absent,
    /// The key's last write must have been at this revision.
    Revision(u64),
}

/// The result of a call to the store.
pub type StoreResult<T> = Result<T, StoreError>;

/// What the system needs of the platform's key-value service.
pub trait Store: fmt::Debug {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, StoreResult<Option<Versioned>>>;

    /// Reads the keys with a prefix that come after a key, in order, up to a limit.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, StoreResult<Vec<(String, Versioned)>>>;

    /// Writes one key if a condition holds.
    fn write_if<'a>(
        &'a self,
        key: &'a str,
        condition: Condition,
        value: &'a [u8],
    ) -> LocalBoxFuture<'a, StoreResult<WriteOutcome>>;

    /// Waits until a key changes after a revision, or until the store ends the watch.
    fn wait_for_change<'a>(
        &'a self,
        key: &'a str,
        after: u64,
    ) -> LocalBoxFuture<'a, StoreResult<()>>;

    /// Returns the calls made so far.
    fn calls(&self) -> StoreCalls;
}

/// The calls that a process made to the store, by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StoreCalls {
    /// Reads of keys and of prefixes.
    pub reads: u64,
    /// Conditional writes, whether they took effect or not.
    pub writes: u64,
    /// Watches that were opened.
    pub watches: u64,
}

/// Counts calls through a shared reference.
#[derive(Debug, Default)]
pub(crate) struct CallCounter {
    calls: Cell<StoreCalls>,
}

impl CallCounter {
    pub(crate) fn count(&self, update: impl FnOnce(&mut StoreCalls)) {
        let mut calls = self.calls.get();
        update(&mut calls);
        self.calls.set(calls);
    }

    pub(crate) fn get(&self) -> StoreCalls {
        self.calls.get()
    }
}

/// Creates a key, and settles a lost answer by reading the key back.
///
/// Returns what the key holds afterwards: [`WriteOutcome::Written`] if it is this
/// very value, else the value that was there first. The value has to be unlike any
/// other writer's, by a random id in it.
pub async fn create_settled(
    store: &dyn Store,
    key: &str,
    value: &[u8],
) -> StoreResult<WriteOutcome> {
    match store.write_if(key, Condition::Absent, value).await {
        Ok(WriteOutcome::Conflict(Some(found))) if found.value == value => {
            Ok(WriteOutcome::Written)
        }
        Err(StoreError::AnswerLost(reason)) => read_back(store, key, value, reason).await,
        answered => answered,
    }
}

async fn read_back(
    store: &dyn Store,
    key: &str,
    value: &[u8],
    reason: String,
) -> StoreResult<WriteOutcome> {
    let lost = |err: StoreError| StoreError::AnswerLost(format!("{reason}; reading back: {err}"));
    match store.get(key).await.map_err(lost)? {
        Some(found) if found.value == value => Ok(WriteOutcome::Written),
        Some(found) => Ok(WriteOutcome::Conflict(Some(found))),
        // The lost write may still be under way, so an absent key proves nothing.
        None => Err(StoreError::AnswerLost(reason)),
    }
}
