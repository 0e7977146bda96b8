//! Which agents of a hall make its store calls and hold its claims.
//!
//! Every agent works this out alone from the live list and from whom it hears, by
//! rendezvous hashing, so that agents with the same knowledge agree without talking.

use crate::box_list::{AGENT_SERVICE, BoxList, BoxState, ListedBox};
use crate::claim::view::{Member, ShardId};
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the agents of a list in the order in which they are preferred for a duty.
pub fn preferred<'a>(list: &'a BoxList, duty: &str, hall: Option<&str>) -> Vec<&'a ListedBox> {
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

/// How many agents at the head of a hall's order of hubs watch each other closely.
pub const WATCHED_HUBS: usize = 3;

/// Returns the agents of a hall in the order in which they are to call the store.
pub fn hub_order<'a>(list: &'a BoxList, hall: &str) -> Vec<&'a ListedBox> {
    const HUB_DUTY: &str = "hub";
    preferred(list, HUB_DUTY, Some(hall))
}

/// Tells whether a box is to call the store for its hall.
///
/// `is_silent` is asked about the agents before it. The first few hear each other twice
/// a second, all others only now and then, so `is_near` tells it which patience to have.
pub fn is_hub(
    list: &BoxList,
    hall: &str,
    me: &str,
    is_silent: impl Fn(&str, bool) -> bool,
) -> bool {
    let order = hub_order(list, hall);
    let Some(position) = order.iter().position(|listed| listed.name == me) else {
        return true;
    };
    let is_near = position < WATCHED_HUBS;
    order[..position]
        .iter()
        .all(|listed| is_silent(&listed.name, is_near))
}

/// Tells whether a box is the first in a hall for a duty, among those that are not silent.
pub fn is_first(
    list: &BoxList,
    duty: &str,
    hall: &str,
    me: &str,
    is_silent: impl Fn(&str) -> bool,
) -> bool {
    preferred(list, duty, Some(hall))
        .into_iter()
        .find(|listed| listed.name == me || !is_silent(&listed.name))
        .is_some_and(|listed| listed.name == me)
}

/// Returns the agent that should witness a shard: of the shard's hall if one is there,
/// else of any hall.
pub fn choose_witness(
    list: &BoxList,
    shard: &ShardId,
    excluded: &[&str],
    heard_lately: impl Fn(&str) -> Option<Member>,
) -> Option<Member> {
    let duty = shard.to_string();
    let home = preferred(list, &duty, Some(&shard.hall));
    let anywhere = preferred(list, &duty, None);
    home.into_iter()
        .chain(anywhere)
        .filter(|listed| !excluded.contains(&listed.name.as_str()))
        .find_map(|listed| heard_lately(&listed.name))
}
