//! Reads a partner's change log in the store and appends to it.

use crate::bundle::Bundle;
use crate::change::{
    Action, ChangeEntry, ControlState, Generation, OperatorKeys, SignedEntry, next_state,
};
use crate::clock::Now;
use crate::error::{Error, Result};
use crate::keys::OperatorKey;
use crate::store::layout::{bundle_key, change_key, change_prefix, head_key};
use crate::store::{
    Condition, Store, StoreError, StoreResult, WriteOutcome, create_with_read_back,
};

const AUDIT_PAGE_ENTRIES: usize = 200;

/// Access to a partner's change log in the store.
#[derive(Debug)]
pub struct ChangeLog<'a> {
    store: &'a dyn Store,
    partner: &'a str,
    operators: &'a OperatorKeys,
}

impl<'a> ChangeLog<'a> {
    /// Creates access to the log of a partner with the given operators.
    pub fn new(store: &'a dyn Store, partner: &'a str, operators: &'a OperatorKeys) -> Self {
        Self {
            store,
            partner,
            operators,
        }
    }

    /// Returns the newest valid entry and the last used generation.
    ///
    /// The head is only a hint, so newer entries are read too. An invalid entry uses up its
    /// generation but has no effect.
    pub async fn newest(&self) -> Result<(Option<ChangeEntry>, Generation)> {
        let head_hint = read_head(self.store, self.partner)
            .await
            .map_err(read_error)?
            .0;
        let first = head_hint.max(Generation(1));
        let mut newest = None;
        let mut next = first;
        while let Some(signed) = self.read(next).await? {
            newest = signed.verify(self.partner, self.operators).ok().or(newest);
            next = next.next();
        }
        let last_used = Generation(next.0 - 1);
        if newest.is_none() {
            newest = self.newest_before(first).await?;
        }
        Ok((newest, last_used))
    }

    async fn read(&self, generation: Generation) -> Result<Option<SignedEntry>> {
        read_entry(self.store, self.partner, generation)
            .await
            .map_err(read_error)
    }

    /// Returns the newest valid entry before a generation.
    async fn newest_before(&self, generation: Generation) -> Result<Option<ChangeEntry>> {
        for earlier in (1..generation.0).rev() {
            let signed = self.read(Generation(earlier)).await?;
            let verified =
                signed.and_then(|signed| signed.verify(self.partner, self.operators).ok());
            if verified.is_some() {
                return Ok(verified);
            }
        }
        Ok(None)
    }

    /// Appends an action to the log; returns its entry.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if the action is not allowed or conflicts with a concurrent change;
    /// [`Error::OutcomeUnknown`] if the store's answer was lost and the entry could not be read
    /// back.
    pub async fn append(&self, action: Action, key: &OperatorKey, now: Now) -> Result<ChangeEntry> {
        let (newest, last_used) = self.newest().await?;
        let generation = last_used.next();
        let state = newest.map(|entry| entry.state).unwrap_or_default();
        let bundle = self.bundle_for(&state, &action).await?;
        let next = next_state(&state, &key.operator, &action, generation, bundle.as_ref())?;
        let entry = ChangeEntry {
            partner: self.partner.to_owned(),
            generation,
            operation: uuid::Uuid::new_v4().to_string(),
            operator: key.operator.clone(),
            at: now.wall,
            action,
            state: next,
        };
        self.create(&entry, key).await?;
        if let Err(err) = advance_head(self.store, self.partner, generation).await {
            log::warn!(
                "failed to advance the head of the change log; agents find the entry without it: {err}"
            );
        }
        Ok(entry)
    }

    async fn create(&self, entry: &ChangeEntry, key: &OperatorKey) -> Result<()> {
        let signed = SignedEntry::sign(entry, key);
        let value = serde_json::to_vec(&signed).expect("a signed entry has only plain fields");
        let store_key = change_key(self.partner, entry.generation);
        match create_with_read_back(self.store, &store_key, &value).await {
            Ok(WriteOutcome::Written) => Ok(()),
            Ok(WriteOutcome::Conflict(found)) => Err(conflict_error(entry.generation, found)),
            Err(StoreError::Unreachable(reason) | StoreError::Refused(reason)) => {
                Err(Error::Unreachable(reason))
            }
            Err(StoreError::AnswerLost(reason)) => Err(Error::OutcomeUnknown(format!(
                "entry {} may or may not have been written: {reason}",
                entry.generation
            ))),
        }
    }

    /// Reads the bundle against which an action is validated.
    async fn bundle_for(&self, state: &ControlState, action: &Action) -> Result<Option<Bundle>> {
        let digest = match action {
            Action::Sign { digest, .. } => Some(digest),
            _ => state.in_force.as_ref().map(|approval| &approval.digest),
        };
        let Some(digest) = digest else {
            return Ok(None);
        };
        let text = read_bundle(self.store, digest).await.map_err(read_error)?;
        text.map(|text| Bundle::parse(&text)).transpose()
    }

    /// Stores a bundle's text under its digest; idempotent.
    pub async fn store_bundle(&self, digest: &str, text: &str) -> Result<()> {
        match create_with_read_back(self.store, &bundle_key(digest), text.as_bytes()).await {
            Ok(_) => Ok(()),
            Err(StoreError::Unreachable(reason) | StoreError::Refused(reason)) => {
                Err(Error::Unreachable(reason))
            }
            Err(StoreError::AnswerLost(reason)) => Err(Error::Unreachable(format!(
                "the bundle's text may or may not have been stored: {reason}"
            ))),
        }
    }

    /// Returns all entries in order, including those with an unknown signer or an invalid
    /// signature.
    pub async fn audit(&self) -> Result<Vec<SignedEntry>> {
        let prefix = change_prefix(self.partner);
        let mut after = String::new();
        let mut entries = Vec::new();
        loop {
            let page = self
                .store
                .list(&prefix, &after, AUDIT_PAGE_ENTRIES)
                .await
                .map_err(read_error)?;
            let Some((last, _)) = page.last() else {
                return Ok(entries);
            };
            after = last.clone();
            for (_, found) in &page {
                entries.push(parse_entry(&found.value));
            }
        }
    }
}

fn conflict_error(generation: Generation, found: Option<crate::store::Versioned>) -> Error {
    let other = found
        .and_then(|found| serde_json::from_slice::<SignedEntry>(&found.value).ok())
        .and_then(|signed| signed.parse_unverified().ok());
    let winner = other.map_or_else(
        || "another change".to_owned(),
        |entry| format!("`{}` by {} at {}", entry.action, entry.operator, entry.at),
    );
    Error::Refused(format!(
        "{winner} took generation {generation} first; review it and try again"
    ))
}

fn read_error(err: StoreError) -> Error {
    Error::Unreachable(err.to_string())
}

/// Reads the head, a hint to the newest generation; returns it with its revision in the store, zero
/// if there is none.
pub async fn read_head(store: &dyn Store, partner: &str) -> StoreResult<(Generation, u64)> {
    let found = store.get(&head_key(partner)).await?;
    Ok(found.map_or((Generation(0), 0), |found| {
        let text = String::from_utf8_lossy(&found.value).into_owned();
        (Generation(text.parse().unwrap_or(0)), found.revision)
    }))
}

/// Advances the head to a generation, unless it is there already or further.
pub async fn advance_head(
    store: &dyn Store,
    partner: &str,
    generation: Generation,
) -> StoreResult<()> {
    let (head, revision) = read_head(store, partner).await?;
    if head >= generation {
        return Ok(());
    }
    let condition = match revision {
        0 => Condition::Absent,
        revision => Condition::Revision(revision),
    };
    let value = generation.to_string();
    store
        .write_if(&head_key(partner), condition, value.as_bytes())
        .await
        .map(|_| ())
}

/// Parses an entry. A malformed one still uses up its generation, as an entry whose signature is
/// invalid.
fn parse_entry(value: &[u8]) -> SignedEntry {
    serde_json::from_slice(value).unwrap_or_else(|_| SignedEntry {
        entry: String::from_utf8_lossy(value).into_owned(),
        signature: String::new(),
    })
}

/// Reads one entry.
pub async fn read_entry(
    store: &dyn Store,
    partner: &str,
    generation: Generation,
) -> StoreResult<Option<SignedEntry>> {
    let found = store.get(&change_key(partner, generation)).await?;
    Ok(found.map(|found| parse_entry(&found.value)))
}

/// Reads a bundle's text by its digest; a stored text that does not match the digest is ignored.
pub async fn read_bundle(store: &dyn Store, digest: &str) -> StoreResult<Option<String>> {
    let found = store.get(&bundle_key(digest)).await?;
    let text = found.and_then(|found| String::from_utf8(found.value).ok());
    Ok(text.filter(|text| crate::bundle::digest_of(text) == digest))
}
