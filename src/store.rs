//! Interface to the platform's key-value service.
//!
//! All state that has to be agreed on or to persist is stored here, and each write affects one key.
//! Support for another service takes one more module like [`etcd`].

pub mod etcd;
pub mod layout;

use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::fmt;

/// Value with the revision at which it was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the store at the last write of the key.
    pub revision: u64,
}

/// Outcome of a conditional write that the store has answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The condition held and the value was written.
    Written,
    /// The condition did not hold; carries the key's current value, if it exists.
    Conflict(Option<Versioned>),
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The call never reached the store.
    Unreachable(String),
    /// The call may have taken effect, but no valid response came.
    AnswerLost(String),
    /// The store refused the call, which had no effect.
    Refused(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "the store is unreachable: {reason}"),
            Self::AnswerLost(reason) => write!(f, "the store's response was lost: {reason}"),
            Self::Refused(reason) => write!(f, "the store refused the call: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Condition of a write, for compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The key must not exist.
    Absent,
    /// The key's last write must have been at this revision.
    Revision(u64),
}

/// Result of a call to the store.
pub type StoreResult<T> = Result<T, StoreError>;

/// The operations that the system needs of the platform's key-value service.
pub trait Store: fmt::Debug {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, StoreResult<Option<Versioned>>>;

    /// Reads the keys with a prefix that sort after a key, in order, up to a limit.
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

    /// Returns the numbers of calls made so far.
    fn calls(&self) -> StoreCalls;
}

/// Numbers of calls that a process has made to the store, by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StoreCalls {
    /// Reads of keys and of prefixes.
    pub reads: u64,
    /// Conditional writes, whether or not they took effect.
    pub writes: u64,
    /// Watches opened.
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

/// Creates a key, and resolves a lost response by reading the key back.
///
/// Returns [`WriteOutcome::Written`] if the key then holds this value, and otherwise the value that
/// was there first. Values must be unique to their writer, by a random id in them.
pub async fn create_with_read_back(
    store: &dyn Store,
    key: &str,
    value: &[u8],
) -> StoreResult<WriteOutcome> {
    match store.write_if(key, Condition::Absent, value).await {
        Ok(WriteOutcome::Conflict(Some(found))) if found.value == value => {
            Ok(WriteOutcome::Written)
        }
        Err(StoreError::AnswerLost(reason)) => read_back(store, key, value, reason).await,
        outcome => outcome,
    }
}

async fn read_back(
    store: &dyn Store,
    key: &str,
    value: &[u8],
    reason: String,
) -> StoreResult<WriteOutcome> {
    let response_lost = |err: StoreError| {
        StoreError::AnswerLost(format!("{reason}; reading the key back failed: {err}"))
    };
    match store.get(key).await.map_err(response_lost)? {
        Some(found) if found.value == value => Ok(WriteOutcome::Written),
        Some(found) => Ok(WriteOutcome::Conflict(Some(found))),
        // The write may still arrive, so an absent key does not prove that it failed.
        None => Err(StoreError::AnswerLost(reason)),
    }
}
