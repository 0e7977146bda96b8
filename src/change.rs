//! The change log: the operators' changes, in order and signed.
//!
//! Each partner has one append-only log in the store. Creating entry n+1 *is* the change, so one of
//! several racing operators wins, and an entry with a higher generation always replaces one with a
//! lower generation. All functions here are free of I/O. See `docs/design/changes.md`.

use crate::bundle::Bundle;
use crate::clock::WallTime;
use crate::error::{Error, Result};
use crate::keys::{OperatorKey, PublicKey};
use crate::name::VersionName;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Percentage at which a roll-out includes all sessions.
const FULL_PERCENT: u8 = 100;

/// Position of an entry in a partner's log; zero precedes the first entry.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Generation(pub u64);

impl Generation {
    /// Returns the following generation.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl std::fmt::Display for Generation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The public keys of a partner's operators, by operator name.
pub type OperatorKeys = BTreeMap<String, PublicKey>;

/// A change requested by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Action {
    /// Proposes a bundle by its digest.
    Propose {
        /// The digest of the bundle's text.
        digest: String,
        /// The author's signature over the digest.
        signature: String,
    },
    /// Signs off the proposed bundle, which puts it into force.
    Sign {
        /// The digest of the bundle's text.
        digest: String,
        /// The signer's signature over the digest.
        signature: String,
    },
    /// Sets the stage of a model's roll-out.
    Roll {
        /// The version that is rolled out.
        version: VersionName,
        /// The percentage of sessions that it serves.
        percent: u8,
    },
    /// Takes a version out of service permanently.
    Withdraw {
        /// The version.
        version: VersionName,
    },
    /// Lifts a suspension by the exposure guard.
    Lift {
        /// The version.
        version: VersionName,
    },
}

impl std::fmt::Display for Action {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Propose { digest, .. } => write!(f, "propose bundle {digest:.12}"),
            Self::Sign { digest, .. } => write!(f, "sign bundle {digest:.12}"),
            Self::Roll { version, percent } => write!(f, "roll {version} to {percent} %"),
            Self::Withdraw { version } => write!(f, "withdraw {version}"),
            Self::Lift { version } => write!(f, "lift the suspension of {version}"),
        }
    }
}

/// The signatures of a bundle: its author's, and a second operator's once it is signed off.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Approval {
    /// The digest of the bundle's text.
    pub digest: String,
    /// The operator who proposed the bundle.
    pub author: String,
    /// The author's signature over the digest.
    pub author_signature: String,
    /// The operator who signed the bundle off, and that operator's signature over the digest.
    pub sign_off: Option<(String, String)>,
}

/// The stage of a model's roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The version that is being replaced; none means the bundle's incumbent.
    pub from: Option<String>,
    /// The version that is rolled out.
    pub to: String,
    /// The percentage of sessions that `to` serves.
    pub percent: u8,
}

/// The complete state that results from a partner's log up to one of its entries.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ControlState {
    /// The bundle that awaits its sign-off.
    pub proposed: Option<Approval>,
    /// The bundle in force.
    pub in_force: Option<Approval>,
    /// The roll-outs by model.
    pub rollouts: BTreeMap<String, Rollout>,
    /// The versions that are permanently out of service; the set only grows.
    pub withdrawn: BTreeSet<VersionName>,
    /// The generation of the newest lift of each version's suspension.
    pub lifted: BTreeMap<VersionName, Generation>,
}

impl ControlState {
    /// Returns the generation of the newest lift of a version's suspension, zero if there was none.
    pub fn newest_lift(&self, version: &VersionName) -> Generation {
        self.lifted.get(version).copied().unwrap_or_default()
    }
}

/// One entry of a change log: the action, its operator and the complete resulting state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeEntry {
    /// The partner whose log the entry belongs to.
    pub partner: String,
    /// The entry's position.
    pub generation: Generation,
    /// A random id by which a writer recognises its own entry after the store's answer was lost.
    pub operation: String,
    /// The operator who made the change.
    pub operator: String,
    /// Time of the change by the operator's clock.
    pub at: WallTime,
    /// The action.
    pub action: Action,
    /// The state after the action.
    pub state: ControlState,
}

/// The exact text of an entry, which is what was signed, and its signature.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedEntry {
    /// The entry in JSON.
    pub entry: String,
    /// The operator's signature over the text, in base64.
    pub signature: String,
}

impl SignedEntry {
    /// Signs an entry.
    pub fn sign(entry: &ChangeEntry, key: &OperatorKey) -> Self {
        let entry = serde_json::to_string(entry).expect("an entry has only plain fields");
        let signature = key.sign(entry.as_bytes());
        Self { entry, signature }
    }

    /// Parses the entry without verifying its signature; for reports only.
    pub fn parse_unverified(&self) -> Result<ChangeEntry> {
        serde_json::from_str(&self.entry).map_err(|err| {
            Error::Refused(format!(
                "the change log contains an unreadable entry: {err}"
            ))
        })
    }

    /// Returns the entry if a known operator of the partner signed it and two operators signed the
    /// bundle in force.
    pub fn verify(&self, partner: &str, operators: &OperatorKeys) -> Result<ChangeEntry> {
        let entry = self.parse_unverified()?;
        if entry.partner != partner {
            return Err(Error::Refused(format!(
                "the entry belongs to partner `{}`",
                entry.partner
            )));
        }
        let key = operators.get(&entry.operator);
        if !key.is_some_and(|key| key.verifies(self.entry.as_bytes(), &self.signature)) {
            return Err(Error::Refused(format!(
                "entry {} has no valid signature of `{}`",
                entry.generation, entry.operator
            )));
        }
        if let Some(approval) = &entry.state.in_force {
            verify_approval(approval, operators)?;
        }
        Ok(entry)
    }
}

fn verify_approval(approval: &Approval, operators: &OperatorKeys) -> Result<()> {
    let has_signed = |operator: &String, signature: &str| {
        let key = operators.get(operator);
        key.is_some_and(|key| key.verifies(approval.digest.as_bytes(), signature))
    };
    let has_second_signature = approval
        .sign_off
        .as_ref()
        .is_some_and(|(signer, signature)| {
            *signer != approval.author && has_signed(signer, signature)
        });
    if has_second_signature && has_signed(&approval.author, &approval.author_signature) {
        return Ok(());
    }
    Err(Error::Refused(format!(
        "bundle {:.12} lacks the signatures of two operators",
        approval.digest
    )))
}

/// Decides whether an entry replaces the current one.
///
/// Only an entry with a higher generation does, and none that would return a withdrawn version to
/// service.
pub fn supersedes(new: &ChangeEntry, current: Option<&ChangeEntry>) -> bool {
    current.is_none_or(|current| {
        new.generation > current.generation
            && new.state.withdrawn.is_superset(&current.state.withdrawn)
    })
}

/// Returns the state after an action, or an error with the reason why the action is refused.
///
/// `bundle` is the bundle in force, or the proposed one if the action signs it off.
pub fn next_state(
    state: &ControlState,
    operator: &str,
    action: &Action,
    generation: Generation,
    bundle: Option<&Bundle>,
) -> Result<ControlState> {
    let mut next = state.clone();
    match action {
        Action::Propose { digest, signature } => {
            next.proposed = Some(Approval {
                digest: digest.clone(),
                author: operator.to_owned(),
                author_signature: signature.clone(),
                sign_off: None,
            });
        }
        Action::Sign { digest, signature } => {
            let approval = sign_off(state, operator, digest, signature)?;
            next.proposed = None;
            next.in_force = Some(approval);
            next.rollouts
                .retain(|model, rollout| contains_target(bundle, model, rollout));
        }
        Action::Roll { version, percent } => {
            check_rollout(state, version, *percent, bundle)?;
            next.rollouts
                .insert(version.model.clone(), next_stage(state, version, *percent));
        }
        Action::Withdraw { version } => {
            next.withdrawn.insert(version.clone());
        }
        Action::Lift { version } => {
            next.lifted.insert(version.clone(), generation);
        }
    }
    Ok(next)
}

fn sign_off(
    state: &ControlState,
    operator: &str,
    digest: &str,
    signature: &str,
) -> Result<Approval> {
    let proposed = state
        .proposed
        .as_ref()
        .filter(|proposed| proposed.digest == digest);
    let Some(proposed) = proposed else {
        return Err(Error::Refused(format!(
            "bundle {digest:.12} is not proposed"
        )));
    };
    if proposed.author == operator {
        return Err(Error::Refused(format!(
            "`{operator}` wrote the bundle; another operator has to sign it off"
        )));
    }
    let sign_off = Some((operator.to_owned(), signature.to_owned()));
    Ok(Approval {
        sign_off,
        ..proposed.clone()
    })
}

/// Returns whether a bundle contains the version that a roll-out introduces.
fn contains_target(bundle: Option<&Bundle>, model: &str, rollout: &Rollout) -> bool {
    bundle
        .and_then(|bundle| bundle.models.get(model))
        .is_some_and(|model| model.versions.contains_key(&rollout.to))
}

fn check_rollout(
    state: &ControlState,
    version: &VersionName,
    percent: u8,
    bundle: Option<&Bundle>,
) -> Result<()> {
    let known = bundle.is_some_and(|bundle| bundle.version(version).is_some());
    if !known {
        return Err(Error::Refused(format!(
            "the bundle in force describes no version `{version}`"
        )));
    }
    if state.withdrawn.contains(version) {
        return Err(Error::Refused(format!(
            "`{version}` is permanently withdrawn"
        )));
    }
    if percent > FULL_PERCENT {
        return Err(Error::Refused(format!(
            "a stage of {percent} % is above 100 %"
        )));
    }
    Ok(())
}

fn next_stage(state: &ControlState, version: &VersionName, percent: u8) -> Rollout {
    let from = match state.rollouts.get(&version.model) {
        // A completed roll-out is the starting point of the next one.
        Some(rollout) if rollout.percent == FULL_PERCENT && rollout.to != version.version => {
            Some(rollout.to.clone())
        }
        Some(rollout) => rollout.from.clone(),
        None => None,
    };
    Rollout {
        from,
        to: version.version.clone(),
        percent,
    }
}
