//! Which boxes send to an upstream that only a few may send to.
//!
//! Every box ranks all boxes by the same hash, so they agree on the few without exchanging
//! messages.

use crate::clock::Now;
use std::cell::Cell;
use std::cmp::Reverse;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long a box uses its computed position before it computes it again.
const POSITION_LIFETIME: Duration = Duration::from_millis(500);

/// A box's position in the fleet with regard to an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetPosition {
    /// How many boxes rank above it.
    pub rank: usize,
    /// The number of boxes.
    pub boxes: usize,
    /// How many boxes were known.
    known: usize,
    computed_at: Duration,
}

/// Remembers a box's position for a while.
#[derive(Debug, Default)]
pub struct PositionCache(Cell<Option<FleetPosition>>);

impl PositionCache {
    /// Returns the box's position with regard to an upstream.
    pub fn position(&self, upstream: u32, fleet: FleetView<'_>, now: Now) -> FleetPosition {
        let is_valid = |known: &FleetPosition| {
            let age = now.monotonic.saturating_sub(known.computed_at);
            age < POSITION_LIFETIME && known.known == fleet.box_addresses.len()
        };
        let known = self.0.get().filter(is_valid);
        let position = known.unwrap_or_else(|| FleetPosition {
            rank: fleet.own_rank(upstream),
            boxes: fleet.box_count(),
            known: fleet.box_addresses.len(),
            computed_at: now.monotonic,
        });
        self.0.set(Some(position));
        position
    }
}

/// What a box knows of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetView<'a> {
    /// This box's own address.
    pub own_address: SocketAddr,
    /// The addresses of the boxes that are registered or were until recently, in any order.
    pub box_addresses: &'a [SocketAddr],
    /// How long this box has been up.
    pub uptime: Duration,
}

impl FleetView<'_> {
    /// Returns how many boxes rank above this one for an upstream.
    pub fn own_rank(self, upstream: u32) -> usize {
        let own = rank_weight(upstream, self.own_address);
        let is_above = |address: &&SocketAddr| rank_weight(upstream, **address) > own;
        self.box_addresses.iter().filter(is_above).count()
    }

    /// Returns whether the other boxes leave a rank to this one: they know it, or it knows no other.
    pub fn has_own_rank(self) -> bool {
        self.box_addresses.is_empty() || self.box_addresses.contains(&self.own_address)
    }

    /// Returns the number of boxes, including this one if it is not registered.
    pub fn box_count(self) -> usize {
        self.other_boxes().count() + 1
    }

    /// Returns the `count` other boxes that rank highest for an upstream.
    pub fn highest_ranked_others(self, upstream: u32, count: usize) -> Vec<SocketAddr> {
        let mut ranked: Vec<SocketAddr> = self.other_boxes().collect();
        ranked.sort_by_key(|address| Reverse(rank_weight(upstream, *address)));
        ranked.truncate(count);
        ranked
    }

    /// Returns the other boxes in the order in which they rank for an upstream, each with the number
    /// of boxes above it.
    pub fn ranked_others(self, upstream: u32) -> Vec<(usize, SocketAddr)> {
        let own_rank = self.own_rank(upstream);
        let others = self.highest_ranked_others(upstream, usize::MAX);
        let with_rank = |(position, address): (usize, SocketAddr)| {
            let is_below = position >= own_rank;
            (position + usize::from(is_below), address)
        };
        others.into_iter().enumerate().map(with_rank).collect()
    }

    fn other_boxes(self) -> impl Iterator<Item = SocketAddr> {
        let others = self.box_addresses.iter().copied();
        others.filter(move |address| *address != self.own_address)
    }
}

/// Rendezvous hashing: the weight of a box for an upstream, with the address to break ties.
fn rank_weight(upstream: u32, address: SocketAddr) -> (u64, SocketAddr) {
    let mut bytes = [0; 18];
    match address.ip() {
        IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
    }
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
    (xxh3_64_with_seed(&bytes, upstream.into()), address)
}
