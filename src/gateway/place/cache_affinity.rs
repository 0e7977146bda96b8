//! Which engines keep what requests share.
//!
//! An engine keeps the beginnings of prompts that it has read, for each model. All boxes
//! expect the same engines to keep a beginning, by a hash, so they agree without talking to
//! each other. See `docs/design/platform.md`.

use crate::gateway::attempt::upstream::Upstream;
use std::rc::Rc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How many engines are expected to keep the same beginning of prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheReplication {
    /// One of all halls: each one more reads it once more, which takes long and is priced.
    OneEngine,
    /// One in each hall, so that requests need not leave their hall: for models that read
    /// fast, a second read costs less than the ways between halls.
    OneEnginePerHall,
}

/// The engines that are expected to keep one beginning.
#[derive(Debug)]
pub struct CachingEngines {
    instances: Vec<String>,
}

impl CachingEngines {
    /// Finds the engines among candidates that keep the beginning of this name.
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
            CacheReplication::OneEnginePerHall => halls(candidates)
                .iter()
                .filter_map(|hall| {
                    let in_hall = candidates.iter().filter(|found| is_in(found, hall));
                    highest_weight(in_hall, seed)
                })
                .collect(),
        };
        Self { instances }
    }

    /// Tells whether an engine is one of them.
    pub fn contain(&self, upstream: &Upstream) -> bool {
        upstream.with_listed(|listed| self.instances.contains(&listed.instance))
    }
}

/// Returns the rank of an upstream in the order of a seed; the highest goes first.
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

fn halls(candidates: &[&Rc<Upstream>]) -> Vec<String> {
    let mut halls: Vec<String> = candidates
        .iter()
        .map(|upstream| upstream.with_listed(|listed| listed.hall.clone()))
        .collect();
    halls.sort_unstable();
    halls.dedup();
    halls
}

fn is_in(upstream: &Upstream, hall: &str) -> bool {
    upstream.with_listed(|listed| listed.hall == hall)
}
