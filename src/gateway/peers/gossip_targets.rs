//! Chooses the boxes that are sent everything that a box knows, so that boxes which restarted, joined
//! or were cut off receive it too.

use crate::gateway::Gateway;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

/// The time between two rounds. As all boxes do this, each box receives a full set from another one
/// about once per round.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(300);

/// The boxes that were known in the last round, and whose turn it is.
#[derive(Debug)]
pub struct GossipTargets {
    known: HashSet<String>,
    next_peer: usize,
}

impl GossipTargets {
    /// Starts the rounds of a box at an offset of its own, so that not all boxes send to the same
    /// one.
    pub fn new(gw: &Gateway) -> Self {
        let port = usize::from(gw.settings().peer_addr.port());
        let name_sum: usize = gw.incarnation.bytes().map(usize::from).sum();
        Self {
            known: HashSet::new(),
            next_peer: port + name_sum,
        }
    }

    /// Returns the boxes that have registered since the last round, and one other box in turn.
    pub fn next_round(&mut self, gw: &Gateway) -> Vec<SocketAddr> {
        let mut receivers = self.newly_registered(gw);
        let others = gw.other_boxes();
        self.next_peer = self.next_peer.wrapping_add(1);
        let in_turn = self.next_peer.checked_rem(others.len());
        receivers.extend(in_turn.map(|turn| others[turn]));
        receivers
    }

    fn newly_registered(&mut self, gw: &Gateway) -> Vec<SocketAddr> {
        let own = gw.settings().peer_addr;
        let state = gw.knowledge.borrow();
        let joined = state
            .boxes()
            .filter(|entry| entry.address != own && !self.known.contains(&entry.name));
        let joined = joined.map(|entry| entry.address).collect();
        self.known = state.boxes().map(|entry| entry.name.clone()).collect();
        joined
    }
}
