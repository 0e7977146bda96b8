//! Which version of a model serves a request.
//!
//! This is asked anew before each dispatch, each retry and each step of a cascade,
//! so that a version withdrawn meanwhile gets nothing more.

use super::snapshot::Snapshot;
use crate::bundle::Model;
use crate::clock::Now;
use crate::name::VersionName;
use crate::session::Session;
use std::fmt;

const HUNDREDTHS: u64 = 100;

/// What ruled a version out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RuledOut {
    /// The organisation does not allow it.
    NotAllowed,
    /// Operators withdrew it.
    Withdrawn,
    /// The exposure guard suspended it.
    Suspended,
    /// Its dates do not let it serve now.
    NotInService,
    /// Another version serves this session.
    NotChosen,
}

impl fmt::Display for RuledOut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotAllowed => "not allowed to the organisation",
            Self::Withdrawn => "withdrawn",
            Self::Suspended => "suspended by the exposure guard",
            Self::NotInService => "not in service at this time",
            Self::NotChosen => "another version serves the session",
        })
    }
}

/// The versions of a model that were weighed, and the one that serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionChoice {
    /// The version that serves, if any may.
    pub chosen: Option<VersionName>,
    /// Each version with what ruled it out.
    pub weighed: Vec<(VersionName, Option<RuledOut>)>,
}

/// Returns what forbids a version to an organisation at this moment, if anything does.
pub fn ruled_out(
    snapshot: &Snapshot,
    organisation: &str,
    version: &VersionName,
    now: Now,
) -> Option<RuledOut> {
    let bundle = snapshot.bundle.as_ref()?;
    let allowed = bundle.organisations.get(organisation);
    if !allowed.is_some_and(|organisation| organisation.allow.contains(version)) {
        return Some(RuledOut::NotAllowed);
    }
    if snapshot.control.withdrawn.contains(version) {
        return Some(RuledOut::Withdrawn);
    }
    if snapshot.suspended.contains(version) {
        return Some(RuledOut::Suspended);
    }
    let in_service = bundle
        .version(version)
        .is_some_and(|found| found.is_in_service(now.wall));
    (!in_service).then_some(RuledOut::NotInService)
}

/// Chooses the version of a model that serves a session.
///
/// The session's own version comes first as long as it may run. Else the session's
/// id decides by the stage of the roll-out, so that a session whose token was lost
/// mostly gets the same answer again.
pub fn choose_version(
    snapshot: &Snapshot,
    organisation: &str,
    model_name: &str,
    session: &Session,
    now: Now,
) -> VersionChoice {
    let Some(model) = snapshot
        .bundle
        .as_ref()
        .and_then(|bundle| bundle.models.get(model_name))
    else {
        return VersionChoice {
            chosen: None,
            weighed: Vec::new(),
        };
    };
    let name = |version: &str| VersionName {
        model: model_name.to_owned(),
        version: version.to_owned(),
    };
    let mut weighed: Vec<(VersionName, Option<RuledOut>)> = model
        .versions
        .keys()
        .map(|version| name(version))
        .map(|version| {
            let ruled_out = ruled_out(snapshot, organisation, &version, now);
            (version, ruled_out)
        })
        .collect();
    let may_run = |wanted: &VersionName| {
        weighed
            .iter()
            .any(|(version, ruled_out)| version == wanted && ruled_out.is_none())
    };
    let by_stage = preference(snapshot, model, model_name, session)
        .into_iter()
        .map(name);
    let chosen = session
        .pinned_version(model_name)
        .into_iter()
        .chain(by_stage)
        .find(may_run);
    for (version, ruled_out) in &mut weighed {
        if ruled_out.is_none() && chosen.as_ref() != Some(version) {
            *ruled_out = Some(RuledOut::NotChosen);
        }
    }
    VersionChoice { chosen, weighed }
}

/// Returns a model's versions in the order in which a new session is offered them.
fn preference<'a>(
    snapshot: &'a Snapshot,
    model: &'a Model,
    model_name: &str,
    session: &Session,
) -> Vec<&'a str> {
    let rollout = snapshot.control.rollouts.get(model_name);
    let incumbent = rollout
        .and_then(|rollout| rollout.from.as_deref())
        .unwrap_or(&model.incumbent);
    let Some(rollout) = rollout else {
        return vec![incumbent];
    };
    let rolled = rollout.to.as_str();
    if stage_position(&session.id, model_name) < u64::from(rollout.percent) {
        vec![rolled, incumbent]
    } else if rollout.percent == 0 {
        // A roll-out that was taken back to nothing must not catch anybody.
        vec![incumbent]
    } else {
        vec![incumbent, rolled]
    }
}

/// Returns a session's position in a model's roll-out, from 0 to 99.
fn stage_position(session_id: &str, model_name: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(model_name.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(session_id.as_bytes(), seed) % HUNDREDTHS
}
