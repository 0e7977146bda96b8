//! Cache affinity: which engines are expected to have the shared prefix of a prompt in their cache.
//!
//! An engine caches, for each model, the prefixes of the prompts that it has processed. Every box
//! picks the same engines for a prefix by rendezvous hashing, so boxes agree without exchanging
//! messages. See `docs/design/platform.md`.

use crate::gateway::attempt::upstream::Upstream;
use std::rc::Rc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How many engines are expected to cache the same prompt prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheReplication {
    /// One engine across all halls. Each further engine would compute the prefix once more, which
    /// takes long and is charged for.
    OneEngine,
    /// One engine in each hall, so that requests can stay in their hall. For models with a fast
    /// prefill, computing the prefix twice costs less than traffic between halls.
    OneEnginePerHall,
}

/// The engines that are expected to cache one prefix.
#[derive(Debug)]
pub struct CachingEngines {
    instances: Vec<String>,
}

impl CachingEngines {
    /// Selects the engines among the candidates that are expected to cache a prefix.
    pub fn among(
        candidates: &[&Rc<Upstream>],
        prefix_key: &str,
        replication: CacheReplication,
    ) -> Self {
        let seed = xxh3_64(prefix_key.as_bytes());
        let instances = match replication {
            CacheReplication::OneEngine => highest_weight(candidates.iter(), seed)
                .into_iter()
                .collect(),
            CacheReplication::OneEnginePerHall => highest_weight_by_hall(candidates, seed),
        };
        Self { instances }
    }

    /// Returns whether an engine is one of them.
    pub fn contain(&self, upstream: &Upstream) -> bool {
        upstream.with_listed(|listed| self.instances.contains(&listed.instance))
    }
}

/// Returns the rendezvous-hashing weight of an upstream for a seed; the highest weight wins.
pub fn rendezvous_weight(upstream: &Upstream, seed: u64) -> u64 {
    upstream.with_listed(|listed| xxh3_64_with_seed(listed.instance.as_bytes(), seed))
}

fn highest_weight<'a>(
    upstreams: impl Iterator<Item = &'a &'a Rc<Upstream>>,
    seed: u64,
) -> Option<String> {
    let highest_weight = upstreams.max_by_key(|upstream| rendezvous_weight(upstream, seed))?;
    Some(highest_weight.with_listed(|listed| listed.instance.clone()))
}

/// Returns the instance with the highest weight of each hall.
fn highest_weight_by_hall(candidates: &[&Rc<Upstream>], seed: u64) -> Vec<String> {
    let mut highest: Vec<(u64, &Rc<Upstream>)> = Vec::new();
    for upstream in candidates.iter().copied() {
        let weight = rendezvous_weight(upstream, seed);
        let of_hall = highest
            .iter_mut()
            .find(|(_, known)| share_hall(known, upstream));
        match of_hall {
            Some(known) if weight >= known.0 => *known = (weight, upstream),
            Some(_) => {}
            None => highest.push((weight, upstream)),
        }
    }
    let instance = |(_, upstream): &(u64, &Rc<Upstream>)| {
        upstream.with_listed(|listed| listed.instance.clone())
    };
    highest.iter().map(instance).collect()
}

fn share_hall(one: &Upstream, other: &Upstream) -> bool {
    one.with_listed(|one| other.with_listed(|other| one.hall == other.hall))
}
