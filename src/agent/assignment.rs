//! Assignment of duties to agents: the hub that makes a hall's store calls, and the members of
//! shards.
//!
//! Each agent computes the assignment by rendezvous hashing from the live list and from the peers
//! that are in contact, so agents with the same information agree without communication.

use crate::box_list::{AGENT_SERVICE, BoxList, BoxState, ListedBox};
use crate::claim::view::{Member, ShardId};
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the agents of a list in order of preference for a duty.
pub fn rank_agents<'a>(list: &'a BoxList, duty: &str, hall: Option<&str>) -> Vec<&'a ListedBox> {
    let wanted = |listed: &&ListedBox| {
        listed.state == BoxState::Live && hall.is_none_or(|hall| listed.hall == hall)
    };
    let mut agents: Vec<_> = list.of_service(AGENT_SERVICE).filter(wanted).collect();
    agents.sort_by_cached_key(|listed| (Reverse(weight(duty, &listed.name)), listed.name.clone()));
    agents
}

fn weight(duty: &str, box_name: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(duty.as_bytes());
    xxh3_64_with_seed(box_name.as_bytes(), seed)
}

/// Number of agents at the head of a hall's hub order that contact each other in every gossip
/// round.
pub const CLOSELY_WATCHED_HUBS: usize = 3;

/// Returns the agents of a hall in order of preference for the hub.
pub fn hub_order<'a>(list: &'a BoxList, hall: &str) -> Vec<&'a ListedBox> {
    const HUB_DUTY: &str = "hub";
    rank_agents(list, HUB_DUTY, Some(hall))
}

/// Returns whether a box is the hub of its hall: all agents before it in the hub order are silent,
/// or the box is not in the order.
///
/// The first few agents contact each other twice a second, all others contact them only
/// occasionally, so the second argument of `is_silent` selects the silence limit: true if the box
/// is one of the first few.
pub fn is_hub(
    list: &BoxList,
    hall: &str,
    own_name: &str,
    is_silent: impl Fn(&str, bool) -> bool,
) -> bool {
    let order = hub_order(list, hall);
    let Some(position) = order.iter().position(|listed| listed.name == own_name) else {
        return true;
    };
    let is_closely_watched = position < CLOSELY_WATCHED_HUBS;
    order[..position]
        .iter()
        .all(|listed| is_silent(&listed.name, is_closely_watched))
}

/// Returns whether a box is the preferred one of its hall for a duty, among those not silent.
pub fn is_first(
    list: &BoxList,
    duty: &str,
    hall: &str,
    own_name: &str,
    is_silent: impl Fn(&str) -> bool,
) -> bool {
    rank_agents(list, duty, Some(hall))
        .into_iter()
        .find(|listed| listed.name == own_name || !is_silent(&listed.name))
        .is_some_and(|listed| listed.name == own_name)
}

/// Chooses the witness of a shard: an agent of the shard's home hall if one is available, otherwise
/// one of any hall.
pub fn choose_witness(
    list: &BoxList,
    shard: &ShardId,
    excluded: &[&str],
    live_member: impl Fn(&str) -> Option<Member>,
) -> Option<Member> {
    let duty = shard.to_string();
    let home = rank_agents(list, &duty, Some(&shard.hall));
    let anywhere = rank_agents(list, &duty, None);
    home.into_iter()
        .chain(anywhere)
        .filter(|listed| !excluded.contains(&listed.name.as_str()))
        .find_map(|listed| live_member(&listed.name))
}
