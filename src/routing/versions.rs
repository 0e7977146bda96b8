//! Choice of the model version that serves a request.
//!
//! The choice is repeated before each dispatch, retry and cascade step, so that a version
//! withdrawn in the meantime gets no more requests.

use super::snapshot::Snapshot;
use crate::bundle::Model;
use crate::clock::Now;
use crate::name::VersionName;
use crate::session::Session;
use std::fmt;

/// Sessions are spread evenly over this many positions in a roll-out.
const ROLLOUT_PERCENTILES: u64 = 100;

/// Why a version does not serve a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExclusionReason {
    /// The version is not in the organisation's list of allowed versions.
    NotAllowed,
    /// Operators withdrew the version.
    Withdrawn,
    /// The exposure guard suspended the version.
    Suspended,
    /// The current time is outside the version's dates of service.
    NotInService,
    /// Another version serves this session.
    NotChosen,
}

impl fmt::Display for ExclusionReason {
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

/// The versions of a model that were considered, and the chosen one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionChoice {
    /// The version that serves the request, if any may.
    pub chosen: Option<VersionName>,
    /// Each version with the reason for its exclusion; none for the chosen one.
    pub considered: Vec<(VersionName, Option<ExclusionReason>)>,
}

/// Returns why an organisation may not use a version now, or none if it may.
pub fn exclusion_reason(
    snapshot: &Snapshot,
    organisation: &str,
    version: &VersionName,
    now: Now,
) -> Option<ExclusionReason> {
    let bundle = snapshot.bundle.as_ref()?;
    let allowed = bundle.organisations.get(organisation);
    if !allowed.is_some_and(|organisation| organisation.allow.contains(version)) {
        return Some(ExclusionReason::NotAllowed);
    }
    if snapshot.control.withdrawn.contains(version) {
        return Some(ExclusionReason::Withdrawn);
    }
    if snapshot.suspended.contains(version) {
        return Some(ExclusionReason::Suspended);
    }
    let in_service = bundle
        .version(version)
        .is_some_and(|found| found.is_in_service(now.wall));
    (!in_service).then_some(ExclusionReason::NotInService)
}

/// Chooses the version of a model that serves a session.
///
/// The version recorded in the session is kept as long as it may run. Otherwise the hash of the
/// session id is compared with the percentage of the roll-out, so that a session whose token was
/// lost mostly gets the same version again.
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
            considered: Vec::new(),
        };
    };
    let name = |version: &str| VersionName {
        model: model_name.to_owned(),
        version: version.to_owned(),
    };
    let mut considered: Vec<(VersionName, Option<ExclusionReason>)> = model
        .versions
        .keys()
        .map(|version| name(version))
        .map(|version| {
            let reason = exclusion_reason(snapshot, organisation, &version, now);
            (version, reason)
        })
        .collect();
    let may_run = |candidate: &VersionName| {
        considered
            .iter()
            .any(|(version, reason)| version == candidate && reason.is_none())
    };
    let by_rollout = versions_by_preference(snapshot, model, model_name, session)
        .into_iter()
        .map(name);
    let chosen = session
        .pinned_version(model_name)
        .into_iter()
        .chain(by_rollout)
        .find(may_run);
    for (version, reason) in &mut considered {
        if reason.is_none() && chosen.as_ref() != Some(version) {
            *reason = Some(ExclusionReason::NotChosen);
        }
    }
    VersionChoice { chosen, considered }
}

/// Returns the versions of a model in order of preference for a new session.
fn versions_by_preference<'a>(
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
    let target = rollout.to.as_str();
    if rollout_percentile(&session.id, model_name) < u64::from(rollout.percent) {
        vec![target, incumbent]
    } else if rollout.percent == 0 {
        // A roll-out that was taken back to zero percent must not get any new session.
        vec![incumbent]
    } else {
        vec![incumbent, target]
    }
}

/// Returns the position of a session in the roll-out of a model, from 0 to 99.
fn rollout_percentile(session_id: &str, model_name: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(model_name.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(session_id.as_bytes(), seed) % ROLLOUT_PERCENTILES
}
