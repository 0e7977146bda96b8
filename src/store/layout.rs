//! Layout of the keys in the store.

use crate::change::Generation;
use crate::claim::view::{Member, ShardId};

/// Returns the key of an entry of a partner's change log.
pub fn change_key(partner: &str, generation: Generation) -> String {
    format!("{}{:010}", change_prefix(partner), generation.0)
}

/// Returns the key prefix of a partner's change log.
pub fn change_prefix(partner: &str) -> String {
    format!("gatepier/change/{partner}/")
}

/// Returns the key of the hint at the newest entry of a partner's change log.
pub fn head_key(partner: &str) -> String {
    format!("gatepier/head/{partner}")
}

/// Returns the key of a bundle's text.
pub fn bundle_key(digest: &str) -> String {
    format!("gatepier/bundle/{digest}")
}

/// Returns the key of a shard's view.
pub fn view_key(partner: &str, shard: &ShardId) -> String {
    format!("{}{shard}", view_prefix(partner))
}

/// Returns the key prefix of a partner's shard views.
pub fn view_prefix(partner: &str) -> String {
    format!("gatepier/view/{partner}/")
}

/// Returns the key prefix of a partner's ledger.
pub fn ledger_prefix(partner: &str) -> String {
    format!("gatepier/ledger/{partner}/")
}

/// Returns the key of a ledger segment; each agent process numbers its own segments.
pub fn segment_key(partner: &str, writer: &Member, number: u64) -> String {
    format!("{}{writer}/{number:010}", ledger_prefix(partner))
}

/// Returns the key of a version's suspension.
pub fn suspension_key(partner: &str, version: &crate::name::VersionName) -> String {
    format!("{}{version}", suspension_prefix(partner))
}

/// Returns the key prefix of a partner's suspensions.
pub fn suspension_prefix(partner: &str) -> String {
    format!("gatepier/suspended/{partner}/")
}
